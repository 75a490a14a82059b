#!/bin/sh
# A worker spoils a stream that may be resumed (case.py). TROUBLE=0 spoils none.
# Writes record.txt beside this file.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/deps ] && [ -f target/review/harness.py ] || exit 2
PYTHONPATH=target/review exec python3 review/1/case.py

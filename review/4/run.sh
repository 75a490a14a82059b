#!/bin/sh
# One open channel of each daemon to the store goes silent, then a route moves (case.py).
# TROUBLE=0 leaves the channels alone. Writes record.txt beside this file.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/deps ] && [ -f target/review/harness.py ] || exit 2
PYTHONPATH=target/review exec python3 review/4/case.py

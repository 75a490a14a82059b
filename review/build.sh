#!/bin/sh
# Builds what the scripts start besides the daemon: the project's stand-ins and the
# reviewer's own, as plain modules below target/review. Needs no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rm -rf target/review/camphorgate_standins
cp -r packages/camphorgate-standins/src/camphorgate_standins target/review/
cp review/harness.py review/scripted_worker.py target/review/
python3 -m compileall -q target/review

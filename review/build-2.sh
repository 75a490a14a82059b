#!/usr/bin/env bash
# Prepares the stand-ins that the scripts of cases 6 to 10 start. Run it at the root of
# the repository, after the build of the deploy file, whose target/deps they need.
set -euo pipefail
cd "$(dirname "$0")/.."
test -d target/deps/camphorgated || { echo "run the deploy file's build first"; exit 1; }
python3 -m compileall -q packages/camphorgate-standins/src review
PYTHONPATH=target/deps:packages/camphorgate-standins/src python3 -S -c '
import camphorgate_standins.hosting_store
import camphorgate_standins.hosting_worker
'
echo "the stand-ins are ready"

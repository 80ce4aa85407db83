#!/usr/bin/env bash
# The scripts review/11 to review/15 start the program of the deploy file and stand-ins in Python
# (review/common-3), which need no build. This only checks that both can run.
set -euo pipefail
cd "$(dirname "$0")/.."
test -x target/src/oleanderledge/cli/oleanderledge
python3 -B -c 'import sys; sys.path.insert(0, "review/common-3"); import fleet'

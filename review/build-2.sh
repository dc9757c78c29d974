#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: plain Python without packages of
# its own, so that it only checks that they compile and the system is built.
set -e
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo 'run the build of the deploy file first' >&2; exit 1; }
for file in review/harness_2.py review/[6-9]/case.py review/10/case.py; do
    [ ! -f "$file" ] || python3 - "$file" <<'PY'
import pathlib
import sys

compile(pathlib.Path(sys.argv[1]).read_text(), sys.argv[1], 'exec')
PY
done

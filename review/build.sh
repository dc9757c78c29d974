#!/usr/bin/env bash
# The stand-ins of the scripts need only the standard library of Python, so
# there is nothing to compile; this checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
python3 - harness.py */case.py <<'PYTHON'
import ast
import pathlib
import sys

for name in sys.argv[1:]:
    ast.parse(pathlib.Path(name).read_text(encoding='utf-8'), name)
PYTHON

#!/bin/sh
# Builds the stand-ins that the scripts start: they are Python without libraries, so they are
# only compiled here, to show errors before a case runs.
cd "$(dirname "$0")/.." || exit 1
exec python3 - <<'PYTHON'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("the stand-ins need Python 3.11")
for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
    print("compiled", path)
PYTHON

#!/bin/sh
# The stand-ins are Python 3 scripts that use only its standard library: checks that they compile.
set -e
cd "$(dirname "$0")"
python3 - lib/*.py */case.py further/*.py <<'PY'
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as f:
        compile(f.read(), path, "exec")
PY

#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10: they are Python, so this only checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
for file in lib-2/*.py [0-9]*/case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
echo "review: stand-ins compile"

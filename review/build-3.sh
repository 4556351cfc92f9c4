#!/bin/sh
# Prepares the stand-ins of the cases 11 to 15. They are Python programs that use only its standard
# library: there is nothing to compile, so this checks that they can be read.
set -e
cd "$(dirname "$0")"
python3 - <<'CHECK'
import glob, sys
if sys.version_info < (3, 9):
    sys.exit("Python 3.9 or later is needed")
for path in sorted(glob.glob("lib-3/*.py") + glob.glob("1[1-5]/*.py")):
    with open(path) as f:
        compile(f.read(), path, "exec")
CHECK

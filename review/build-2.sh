#!/bin/sh
# Builds the stand-ins of review/4 to review/8: nothing to compile, so this checks that
# the Python of the daemons reads them and has all that they import.
set -e
cd "$(dirname "$0")"
python3 -c "import asyncio, tomllib"
for file in parts-2/kit.py [4-8]/case.py others-2/*.py; do
    python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "$file"
done

#!/bin/sh
# The stand-ins are Python 3.11 scripts without dependencies; nothing is compiled. Checks that they can be run.
cd "$(dirname "$0")" || exit 1
for file in standins.py ./[1-5]/*.py; do
    python3 -c 'import ast, asyncio, sys, tomllib; ast.parse(open(sys.argv[1]).read())' "$file" || exit 1
done

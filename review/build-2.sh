#!/bin/sh
# Prepares the cases 6 to 10: run it after the build of the deploy file. The stand-ins are Python scripts that need the
# standard library only, so there is nothing to compile or to fetch: it is checked that the interpreter reads them.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python || sh deploy/build
for script in review/stand-ins-2/rig.py review/[6-9]/case.py review/10/case.py; do
    .venv/bin/python -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$script"
done
echo "the cases 6 to 10 can run"

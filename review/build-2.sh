#!/bin/sh
# Prepares the cases 6 to 10: run it after the build of the deploy file. The stand-ins are Python scripts and
# need no compilation; the journal's and the outbox's store needs the library of the project's own extra
# `store`, which the deploy file's build leaves out. It is installed beside the cases, at the version that
# pyproject.toml names. Without a registry, a slower module with the same two functions takes its place.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python || sh deploy/build
built=review/stand-ins-2/built
rm -rf "$built"
mkdir -p "$built"
extra=$(sed -n 's/^store = \["\(.*\)"\]$/\1/p' pyproject.toml)
if ! .venv/bin/pip -q --disable-pip-version-check install --no-deps --retries 1 --timeout 10 \
    --target "$built" "$extra" 2>/dev/null; then
    rm -rf "$built"
    mkdir -p "$built"
    cp review/stand-ins-2/fallback/google_crc32c.py "$built"
fi
PYTHONPATH="$built" .venv/bin/python -B -P -c 'import google_crc32c as c; assert c.value(b"123456789") == 0xE3069283'
for script in review/stand-ins-2/*.py review/[6-9]/*.py review/10/*.py; do
    test ! -e "$script" || .venv/bin/python -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$script"
done
echo "the cases 6 to 10 can run"

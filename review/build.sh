#!/bin/sh
# Builds what the cases start, after the build of the deploy file. The stand-ins are plain Python and need no
# build. The programs' stores need the library of the project's extra `store` (pyproject.toml), which the deploy
# file's build leaves out: it is put into review/lib in the version that the project pins. Where that can't be
# had, the cases use review/fallback, which computes the same checksum in plain Python.
set -eu
cd "$(dirname "$0")/.."
library=$(sed -n 's/^store = \["\(.*\)"\]$/\1/p' pyproject.toml)
if [ ! -d review/lib/google_crc32c ]; then
    .venv/bin/pip -q install --retries 1 --timeout 10 --no-deps --target review/lib "$library" ||
        echo "review: no $library: the cases use the plain Python checksum" >&2
fi
for file in review/*.py review/*/*.py review/fallback/*.py; do
    .venv/bin/python -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done

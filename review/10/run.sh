#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
exec .venv/bin/python -B review/10/case.py

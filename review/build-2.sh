#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python, of the standard library alone, and run with the
# interpreter that the build of the deploy file has made; there is nothing to fetch.
cd "$(dirname "$0")/.." || exit 1
for folder in review/shared-2 review/6 review/7 review/8 review/9 review/10; do
    [ ! -d "$folder" ] || .venv/bin/python -m compileall -q "$folder" || exit 1
done

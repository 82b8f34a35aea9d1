#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 plays no disruption.
cd "$(dirname "$0")/../.." || exit 2
python=.venv/bin/python
$python -c 'import sys; sys.path.insert(0, "review/shared-2"); import bench2' || exit 2
exec $python review/10/case.py

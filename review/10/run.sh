#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case can't run.
cd "$(dirname "$0")" || exit 2
export PYTHONPATH="$PWD/.." PYTHONDONTWRITEBYTECODE=1
exec python3 case.py

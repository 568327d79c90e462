#!/usr/bin/env bash
# Creates the virtual environment with the locked dependencies and the package.
set -eu
cd "$(dirname "$0")"
venv="${1:-.venv}"
python3 -m venv "$venv"
"$venv/bin/pip" install --quiet --requirement requirements.lock
"$venv/bin/pip" install --quiet --no-deps --editable .

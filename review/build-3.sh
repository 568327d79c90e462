#!/usr/bin/env bash
# The stand-ins of cases 11 to 15 are Python files that need no build step.
# Checks that they compile and that the build of the deploy file is there.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'END'
import pathlib

for path in sorted(pathlib.Path('review').glob('standins3/*.py')):
    compile(path.read_text(), str(path), 'exec')
for path in sorted(pathlib.Path('review').glob('1[1-5]/*.py')):
    compile(path.read_text(), str(path), 'exec')
END
[ -d target/deps ] || { echo 'target/deps is missing: run the build of deploy/system.toml' >&2; exit 1; }

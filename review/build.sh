#!/usr/bin/env bash
# Builds the stand-ins of the scripts: Python sources without dependencies. The
# programs under test come from the build of deploy/system.toml (target/deps).
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins [1-5]

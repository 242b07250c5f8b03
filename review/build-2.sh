#!/usr/bin/env bash
# Prepares the stand-ins that the cases 6 to 10 start. They are one Python module
# of the standard library, so there is nothing to compile: it checks that the
# module can be imported and that the build of the deploy file is there.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
[ -d ../target/deps ] || { echo "build the deploy file first" >&2; exit 1; }
python3 -c 'import lab2; print("stand-ins ready")'

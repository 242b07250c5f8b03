#!/usr/bin/env bash
# Prepares the stand-ins that the cases start; run it after the build of the
# deploy file. All of them are Python modules, so there is nothing to compile:
# it checks that they and the libraries of the build can be imported.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONPATH="$PWD:$PWD/..:$PWD/../target/deps"
export PYTHONDONTWRITEBYTECODE=1
python3 -c 'import lab; print("stand-ins ready")'

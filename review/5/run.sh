#!/usr/bin/env bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. With TROUBLE=0 it plays without the disruption.
set -euo pipefail
cd "$(dirname "$0")"
root="$(cd ../.. && pwd)"
export PYTHONPATH="$root/review:$root:$root/target/deps"
export PYTHONDONTWRITEBYTECODE=1
python3 -c 'import lab' || exit 2
exec python3 case.py

#!/usr/bin/env bash
# Installs the libraries into target/deps, unless a complete installation of the
# same requirements for this interpreter and kind of machine is there.
set -euo pipefail
cd "$(dirname "$0")/.."
interpreter=$(python3 -c 'import sysconfig; print(sysconfig.get_config_var("SOABI"))')
wanted="$interpreter $(sha256sum < deploy/requirements.txt)"
stamp=target/deps/.installed
if [ "$(cat "$stamp" 2>/dev/null)" != "$wanted" ]; then
  rm -rf target/deps
  mkdir -p target/deps
  python3 -m pip install -q --disable-pip-version-check --target target/deps -r deploy/requirements.txt
  # Written last: an installation that was interrupted has none.
  echo "$wanted" > "$stamp"
fi

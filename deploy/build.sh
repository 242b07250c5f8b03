#!/usr/bin/env bash
# Installs the libraries into target/deps, unless a complete installation of the
# same requirements for this interpreter and kind of machine is there.
set -euo pipefail
cd "$(dirname "$0")/.."
interpreter=$(python3 -c 'import sysconfig; print(sysconfig.get_config_var("SOABI"))')
wanted="$interpreter $(sha256sum < deploy/requirements.txt)"
if [ "$(cat target/deps/.installed 2>/dev/null)" != "$wanted" ]; then
  rm -rf target/deps.new
  mkdir -p target/deps.new
  python3 -m pip install -q --disable-pip-version-check --target target/deps.new -r deploy/requirements.txt
  # Written last: an installation that was interrupted has none.
  echo "$wanted" > target/deps.new/.installed
  rm -rf target/deps
  mv target/deps.new target/deps
fi

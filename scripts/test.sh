#!/usr/bin/env bash
# Installs, checks format and lint, builds with sanitizers and passes the tests.
# Tests listed in KNOWN-RED.txt ("test: NAME") are passed over and printed.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/lint.sh
cmake --preset sanitize
cmake --build --preset sanitize
known=$(sed -n 's/^test: \([a-z_]*\).*/\1/p' KNOWN-RED.txt | paste -sd'|')
if [ -s KNOWN-RED.txt ]; then
  echo "known red:"
  cat KNOWN-RED.txt
fi
cd build/sanitize
if [ -n "$known" ]; then
  ctest -j2 --output-on-failure -E "^($known)\$"
else
  ctest -j2 --output-on-failure
fi

#!/usr/bin/env bash
# Installs, builds, and runs the demonstration on a fresh machine.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh >&2
cmake --preset release >&2
cmake --build --preset release >&2
exec scripts/demo.sh "$@"

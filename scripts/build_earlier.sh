#!/usr/bin/env bash
# Builds the router of an earlier commit, which tests run beside this one's: old
# and new builds serve side by side while hosts are replaced one after another.
set -euo pipefail
cd "$(dirname "$0")/.."
commit=aa45938f
folder=build/earlier
stamp="$commit $(uname -m)"
program=$folder/target/dandelion-platform-router
if [ -x "$program" ] && [ "$(cat "$folder/stamp" 2>/dev/null)" = "$stamp" ]; then
  exit 0
fi
rm -rf "$folder"
mkdir -p "$folder/source"
git archive "$commit" CMakeLists.txt daemons include platform src |
  tar -x -C "$folder/source"
cmake -S "$folder/source" -B "$folder/target" -G Ninja \
  -DCMAKE_BUILD_TYPE=Release -DDANDELION_DEPLOY=ON
cmake --build "$folder/target"
echo "$stamp" >"$folder/stamp"

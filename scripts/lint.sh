#!/usr/bin/env bash
# Checks formatting and runs the linter on every source file.
set -euo pipefail
cd "$(dirname "$0")/.."
sources=$(git ls-files '*.cc' '*.h' | grep -v '^src/wire/generated/')
# shellcheck disable=SC2086
clang-format-14 --dry-run --Werror $sources
cmake -S . -B build/lint -G Ninja -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON \
  -DCMAKE_BUILD_TYPE=Debug >/dev/null
# One clang-tidy process per core, each for one file.
git ls-files '*.cc' | grep -v '^src/wire/generated/' | grep -v '^docs/' |
  xargs -P "$(nproc)" -n 1 clang-tidy-14 -p build/lint --quiet \
    --extra-arg=-Wno-unknown-warning-option \
    --extra-arg=-Wno-gnu-statement-expression
echo "format and lint: clean"

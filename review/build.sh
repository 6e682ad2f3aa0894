#!/usr/bin/env bash
# Builds the stand-ins and drivers of the scripts under review/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review -B build/review -G Ninja -DCMAKE_BUILD_TYPE=Release
cmake --build build/review -j "${JOBS:-4}"

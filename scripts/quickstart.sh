#!/usr/bin/env bash
# On a fresh machine, installs the dependencies, builds the programs and runs two
# demos: routers on an emulation of the users' platform, then a fleet of
# dandelion-router.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh >&2
cmake -S . -B build/programs -G Ninja -DCMAKE_BUILD_TYPE=Release \
  -DBUILD_TESTING=OFF >&2
cmake --build build/programs --target dandelion-platform-router \
  dandelion-router dandelionctl dandelion-load dandelion-fakes >&2
export BUILD=build/programs
scripts/platform_demo.sh
exec scripts/demo.sh "$@"

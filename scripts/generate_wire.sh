#!/usr/bin/env bash
# Generates the committed code of the messages between routers from proto/.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc -I proto --cpp_out=src/wire/generated proto/*.proto

#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
for source in review/[6-9]/*.cc review/10/*.cc; do
  [ -f "$source" ] || continue
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" \
    review/common-2/stand_ins.cc -o "$out/$(basename "$source" .cc)"
done

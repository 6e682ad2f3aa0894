#!/usr/bin/env bash
# Installs the build dependencies with apt-get if any is missing.
set -euo pipefail
packages="g++ cmake ninja-build ccache clang-format-14 clang-tidy-14 \
libboost1.81-dev libboost-program-options1.81-dev libnghttp2-dev libfmt-dev \
libprotobuf-dev protobuf-compiler libxxhash-dev libzstd-dev catch2 librapidcheck-dev curl"
missing=0
for package in $packages; do
  dpkg -s "$package" >/dev/null 2>&1 || missing=1
done
if [ "$missing" = 1 ]; then
  apt-get update
  apt-get install -y g++ cmake ninja-build ccache clang-format-14 \
    clang-tidy-14 libboost1.81-dev libboost-program-options1.81-dev \
    libnghttp2-dev libfmt-dev libprotobuf-dev protobuf-compiler \
    libxxhash-dev libzstd-dev catch2 librapidcheck-dev curl
fi

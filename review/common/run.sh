#!/usr/bin/env bash
# Runs the driver of one case in a temporary folder. Called by review/N/run.sh.
# Exit codes: 1 the rule was broken, 0 it held, 2 the case couldn't run.
set -uo pipefail
number=$1
cd "$(dirname "$0")/../.." || exit 2
driver=build/review/review-$number
if [ ! -x "$driver" ] || [ ! -x target/dandelion-platform-router ]; then
  echo "build the deploy file's build and review/build.sh first" >&2
  exit 2
fi
WORK_FOLDER=$(mktemp -d) || exit 2
trap 'rm -rf "$WORK_FOLDER"' EXIT
export WORK_FOLDER RECORD="review/$number/record.txt"
"$driver"
code=$?
if [ "$code" -gt 2 ]; then code=2; fi
exit "$code"

#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
program=target/review-2/error_in_stream
[ -x "$program" ] && [ -x target/dandelion-platform-router ] || exit 2
RECORD="$folder/record.txt" timeout --kill-after=2 118 "$program"
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"

#!/usr/bin/env bash
# Starts a fleet on loopback, holds a chat and makes a booking through it, and
# prints where each turn landed and the hops of the last one. With --keep the
# fleet stays up until interrupted.
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build/release}
source scripts/fleet.sh
trap fleet_stop EXIT
fleet_start
echo "--- a chat of five turns, each through the next router, and a booking"
"$BUILD/dandelion-load" demo \
  --routers 127.0.0.1:21301,127.0.0.1:21302,127.0.0.1:21303 |
  tee "$FLEET_LOGS/demo.txt"
echo "--- hops of the last turn"
"$BUILD/dandelionctl" --admin "$FLEET_ADMIN" explain \
  "$(sed -n 's/^last request: //p' "$FLEET_LOGS/demo.txt")"
echo "--- status"
"$BUILD/dandelionctl" --admin "$FLEET_ADMIN" status
if [ "${1:-}" = --keep ]; then
  echo "--- the fleet is up; logs in $FLEET_LOGS; interrupt to end it"
  wait
fi

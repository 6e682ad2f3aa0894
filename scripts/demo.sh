#!/usr/bin/env bash
# Starts a fleet on loopback, sends a chat and a booking through it, and prints
# the engine that served each turn and the hops of the last turn. With --keep
# the fleet runs until interrupted.
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build/release}
source scripts/fleet.sh
trap fleet_stop EXIT
fleet_start
echo "--- a chat of five turns, each sent to the next router, and a booking"
"$BUILD/dandelion-load" demo \
  --routers 127.0.0.1:21301,127.0.0.1:21302,127.0.0.1:21303 |
  tee "$FLEET_LOGS/demo.txt"
echo "--- hops of the last turn"
"$BUILD/dandelionctl" --admin "$FLEET_ADMIN" explain \
  "$(sed -n 's/^last request: //p' "$FLEET_LOGS/demo.txt")"
echo "--- status"
"$BUILD/dandelionctl" --admin "$FLEET_ADMIN" status
if [ "${1:-}" = --keep ]; then
  echo "--- the fleet is running; logs in $FLEET_LOGS; press Ctrl-C to stop it"
  wait
fi

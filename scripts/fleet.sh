# Functions that start and stop a small fleet on loopback. Set BUILD, then source
# this file. Ports: platform 21001, control listeners of dandelion-fakes
# 21010-21012, engines 21100 and up, booking 21200; router N (1 to 3): clients
# 2130N, peers 2140N, operators 2150N.
FLEET_PIDS=()
FLEET_LOGS=${FLEET_LOGS:-$(mktemp -d)}
export DANDELION_ADMIN_TOKEN=${DANDELION_ADMIN_TOKEN:-quickstart-token}
FLEET_ADMIN=127.0.0.1:21501,127.0.0.1:21502,127.0.0.1:21503

fleet_run() {
  local name=$1
  shift
  "$@" 2>"$FLEET_LOGS/$name.log" &
  FLEET_PIDS+=($!)
}

fleet_stop() {
  local pid
  for pid in "${FLEET_PIDS[@]}"; do
    kill "$pid" 2>/dev/null || true
  done
  wait "${FLEET_PIDS[@]}" 2>/dev/null || true
}

fleet_start() {
  fleet_run platform "$BUILD/dandelion-fakes" platform \
    --address 127.0.0.1:21001 --control-address 127.0.0.1:21010
  fleet_run engines "$BUILD/dandelion-fakes" engine --count 6 \
    --base-port 21100 --control-address 127.0.0.1:21011
  fleet_run booking "$BUILD/dandelion-fakes" service --count 1 \
    --base-port 21200 --control-address 127.0.0.1:21012
  local n zone
  for n in 1 2 3; do
    zone=kolkata-north
    if [ "$n" = 3 ]; then zone=kolkata-south; fi
    fleet_run "router-$n" "$BUILD/dandelion-router" --name "router-$n" \
      --availability-zone "$zone" --platform-address 127.0.0.1:21001 \
      --client-address "127.0.0.1:2130$n" --peer-address "127.0.0.1:2140$n" \
      --admin-address "127.0.0.1:2150$n" \
      --seed-peers 127.0.0.1:21401,127.0.0.1:21402,127.0.0.1:21403
  done
  "$BUILD/dandelion-load" wait --admin "$FLEET_ADMIN" --want live
  "$BUILD/dandelionctl" --admin "$FLEET_ADMIN" config put \
    "$(dirname "${BASH_SOURCE[0]}")/../workloads/quickstart.json"
  "$BUILD/dandelion-load" wait --admin "$FLEET_ADMIN" --want ready --members 3
}

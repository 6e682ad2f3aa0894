#!/usr/bin/env bash
# Runs one workload for each placement policy and seed, each time on a new fleet,
# and prints one JSON line per run.
# Usage: experiment.sh DEPLOYMENT POLICIES SEEDS [dandelion-load settings]
# POLICIES and SEEDS are comma-separated. Optional variables: EXPERIMENT_LOGS
# (folder for logs), ROUTER_SETTINGS (further settings of each router), BEFORE_RUN
# (shell command that is run before the load starts).
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build/release}
deployment=$1
policies=$2
seeds=$3
shift 3
source "workloads/$deployment.sh"
export DANDELION_ADMIN_TOKEN=experiment-token
logs=${EXPERIMENT_LOGS:-$(mktemp -d)}

pids=()
start() {
  "$@" >/dev/null 2>>"$logs/fleet.log" &
  pids+=($!)
}
stop_all() {
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  pids=()
}
trap stop_all EXIT

for policy in ${policies//,/ }; do
  for seed in ${seeds//,/ }; do
    start "$BUILD/dandelion-fakes" platform --address 127.0.0.1:25001 \
      --control-address 127.0.0.1:25002
    start "$BUILD/dandelion-fakes" engine --count "$ENGINES" \
      --base-port 25200 --control-address 127.0.0.1:25003 $ENGINE_SETTINGS
    start "$BUILD/dandelion-fakes" service --count "$PLAIN_ENGINES" \
      --base-port 26200 --control-address 127.0.0.1:25004
    clients=""
    admins=""
    zones=(${ZONES//,/ })
    for ((n = 0; n < ROUTERS; n++)); do
      start "$BUILD/dandelion-router" --name "router-$n" \
        --availability-zone "${zones[$((n % ${#zones[@]}))]}" \
        --platform-address 127.0.0.1:25001 --placement "$policy" \
        --client-address "127.0.0.1:$((27000 + n))" \
        --peer-address "127.0.0.1:$((28000 + n))" \
        --admin-address "127.0.0.1:$((29000 + n))" --log-level warning \
        ${ROUTER_SETTINGS:-}
      clients+="${clients:+,}127.0.0.1:$((27000 + n))"
      admins+="${admins:+,}127.0.0.1:$((29000 + n))"
    done
    "$BUILD/dandelion-load" wait --admin "$admins" --want live >/dev/null
    scripts/make_configuration.sh >"$logs/configuration.json"
    "$BUILD/dandelionctl" --admin "$admins" config put \
      "$logs/configuration.json" >/dev/null
    "$BUILD/dandelion-load" wait --admin "$admins" --members "$ROUTERS" \
      --wait-seconds 60 >/dev/null
    sleep 3
    if [ -n "${BEFORE_RUN:-}" ]; then eval "$BEFORE_RUN"; fi
    # pids[3] is the first router: the three programs started before are fakes.
    cpu_before=$(cat /proc/"${pids[3]}"/stat | awk '{print $14 + $15}')
    summary=$("$BUILD/dandelion-load" run --admin "$admins" \
      --routers "$clients" --engines-control 127.0.0.1:25003 \
      --service-control 127.0.0.1:25004 --platform-control 127.0.0.1:25002 \
      --engines "$ENGINES" --service "$CHAT_SERVICE" \
      --plain-service "$PLAIN_SERVICE" --workspaces "$WORKSPACES" \
      --seed "$seed" $LOAD_SETTINGS "$@" 2>>"$logs/load.log" || true)
    cpu_after=$(cat /proc/"${pids[3]}"/stat | awk '{print $14 + $15}')
    rss=$(awk '/VmRSS/ {print $2}' /proc/"${pids[3]}"/status)
    echo "{\"deployment\":\"$deployment\",\"policy\":\"$policy\",\"routers\":$ROUTERS,\"engines\":$ENGINES,\"router_cpu_ticks\":$((cpu_after - cpu_before)),\"router_rss_kb\":$rss,\"summary\":$summary}"
    stop_all
  done
done

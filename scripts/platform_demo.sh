#!/usr/bin/env bash
# Starts an emulated platform and two routers on loopback, streams a response,
# makes a booking, drains an engine and a router, and explains a request from the
# logs.
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build/release}
logs=$(mktemp -d)
pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
}
trap stop_all EXIT

"$BUILD/dandelion-fakes" platform-site --address 127.0.0.1:24001 --count 3 \
  --control-address 127.0.0.1:24000 2>"$logs/site.log" &
pids+=($!)
for n in 1 2; do
  cat >"$logs/router-$n.conf" <<END
node_name=router-$n
zone=north
ip=127.0.0.1$n
listen.front=127.0.0.1$n:24227
listen.ready=127.0.0.1$n:24220
port_range=24340,24340
platform.address=127.0.0.1:24001
bounds.grace_s=8
END
  DANDELIONSCALE_CONFIG="$logs/router-$n.conf" \
    "$BUILD/dandelion-platform-router" >"$logs/router-$n.log" &
  pids+=($!)
done
fetch() { curl --silent --show-error --max-time 10 "$@"; }
for n in 1 2; do
  until fetch --fail "http://127.0.0.1$n:24220/dandelionscale/ready" 2>/dev/null; do
    sleep 0.1
  done
done
send_request() { # router, path, request id, further arguments of curl
  fetch --header "Host: advice.example" --header "Request-Id: $3" \
    --header "Request-Deadline: 5000" \
    --header "Authorization: Token guild-key" "${@:4}" \
    "http://127.0.0.1$1:24227$2"
}
echo "--- a stream through router 1"
send_request 1 /chat/flame demo-1 --data "my burner flame is yellow" \
  --header "Model: m" --header "Prompt-Prefix: manual:10000,own:20"
echo "--- a booking through router 2"
send_request 2 /book/visit demo-2 --data "Tuesday"
echo "--- an engine drains and router 1 gets SIGTERM; router 2 serves the request"
fetch "http://127.0.0.1:24000/fake/drain?engine=advice-1"
kill -TERM "${pids[1]}"
send_request 2 /chat/flame demo-3 --data "and now?" | tail -n 2
wait "${pids[1]}" || true
echo "--- the first request, explained from the logs"
"$BUILD/dandelionctl" explain demo-1 \
  --log "$logs/router-1.log,$logs/router-2.log"

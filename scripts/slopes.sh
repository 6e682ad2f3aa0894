#!/usr/bin/env bash
# Measures how an idle router's control traffic, CPU time and memory grow with the
# number of routers, engines and workspaces, varied one at a time. Prints a
# Markdown table, which scripts/capacity.sh reads by column number.
set -euo pipefail
cd "$(dirname "$0")/.."
export SESSIONS=0 BOOKINGS=0 CHURN_MS=0 RUN_SECONDS=${RUN_SECONDS:-6}
measure() {
  local parameter=$1 value=$2
  scripts/experiment.sh guild owner 1 2>/dev/null | awk -v parameter="$parameter" \
    -v value="$value" -v seconds="$RUN_SECONDS" '
    function number(name,   text) {
      text = $0
      if (!match(text, "\"" name "\":[0-9.E+-]+")) return 0
      text = substr(text, RSTART, RLENGTH)
      sub(/.*:/, "", text)
      return text + 0
    }
    {
      printf "| %s | %d | %.0f | %.0f | %.0f | %.0f | %.2f | %.1f |\n", parameter,
        value, number("peers"), number("platform"), number("probes"),
        number("total"), number("router_cpu_ticks") / seconds,
        number("router_rss_kb") / 1024
    }'
}
echo "| varied | value | peers B/s | platform B/s | probes B/s | total B/s | CPU % | memory MB |"
echo "|---|---|---|---|---|---|---|---|"
for routers in 2 8 16 32 64; do ROUTERS=$routers measure routers "$routers"; done
for engines in 20 80 240; do ENGINES=$engines measure engines "$engines"; done
# workloads/guild.sh lists 10 workspaces itself.
for extra in 0 2490; do EXTRA_WORKSPACES=$extra measure workspaces $((extra + 10)); done

#!/usr/bin/env bash
# Prints a configuration as JSON, made from the variables of workloads/*.sh.
set -euo pipefail
zones=(${ZONES//,/ })
list() {
  local count=$1 prefix=$2 port=$3 service=$4 i separator=""
  for ((i = 0; i < count; i++)); do
    printf '%s{"name":"%s-%d","service":"%s","availability_zone":"%s","address":"127.0.0.1:%d"}' \
      "$separator" "$prefix" "$i" "$service" \
      "${zones[$((i % ${#zones[@]}))]}" $((port + i))
    separator=","
  done
}
zone_list=$(printf '"%s",' "${zones[@]}")
workspaces=""
for item in ${WORKSPACES//,/ }; do
  workspaces+="${workspaces:+,}{\"name\":\"${item%%:*}\"}"
done
for ((i = 0; i < ${EXTRA_WORKSPACES:-0}; i++)); do
  workspaces+=",{\"name\":\"extra-$i\"}"
done
cat <<JSON
{"availability_zones":[${zone_list%,}],
 "services":[{"name":"$CHAT_SERVICE","kind":"chat","load_factor":1.25},
  {"name":"$PLAIN_SERVICE","kind":"plain","load_factor":2}],
 "engines":[$(list "$ENGINES" chat 25200 "$CHAT_SERVICE"),
  $(list "$PLAIN_ENGINES" plain 26200 "$PLAIN_SERVICE")],
 "workspaces":[$workspaces]}
JSON

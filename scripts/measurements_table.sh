#!/usr/bin/env bash
# Reads lines of experiment.sh and prints medians (lowest to highest) a policy.
set -euo pipefail
awk '
function number(name,   text) {
  text = $0
  if (!match(text, "\"" name "\":[0-9.E+-]+")) return 0
  text = substr(text, RSTART, RLENGTH)
  sub(/.*:/, "", text)
  return text + 0
}
function add(column, value) {
  count[policy, column]++
  values[policy, column, count[policy, column]] = value
}
function show(policy, column, format,   n, i, j, swap) {
  n = count[policy, column]
  for (i = 1; i <= n; i++) sorted[i] = values[policy, column, i]
  for (i = 1; i <= n; i++)
    for (j = i + 1; j <= n; j++)
      if (sorted[j] < sorted[i]) { swap = sorted[i]; sorted[i] = sorted[j]; sorted[j] = swap }
  return sprintf(format " (" format " to " format ")", sorted[int((n + 1) / 2)], sorted[1], sorted[n])
}
{
  match($0, /"policy":"[a-z-]+"/)
  policy = substr($0, RSTART + 10, RLENGTH - 11)
  if (!(policy in seen)) { seen[policy] = 1; order[++policies] = policy }
  add("turns", number("turns"))
  add("refused", number("turns") - number("whole"))
  add("reuse", number("reuse"))
  add("skew", number("skew"))
  add("worst", number("worst_skew"))
  add("violations", number("bound_violations"))
  add("control", number("total"))
  add("first", number("first_token_ms_p95"))
}
END {
  print "| policy | turns | not whole | reuse | skew, time-weighted | bound broken | control B/s a router | first token p95, ms |"
  print "|---|---|---|---|---|---|---|---|"
  for (i = 1; i <= policies; i++) {
    p = order[i]
    printf "| %s | %s | %s | %s | %s | %s | %s | %s |\n", p, show(p, "turns", "%d"), show(p, "refused", "%d"), show(p, "reuse", "%.2f"), show(p, "skew", "%.2f"), show(p, "violations", "%d"), show(p, "control", "%.0f"), show(p, "first", "%.0f")
  }
}'

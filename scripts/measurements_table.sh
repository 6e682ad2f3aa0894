#!/usr/bin/env bash
# Reads the output of experiment.sh and prints a Markdown table with median,
# minimum and maximum per placement policy.
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
function summarize(policy, column, format,   n, i, j, temporary) {
  n = count[policy, column]
  for (i = 1; i <= n; i++) sorted[i] = values[policy, column, i]
  for (i = 1; i <= n; i++)
    for (j = i + 1; j <= n; j++)
      if (sorted[j] < sorted[i]) { temporary = sorted[i]; sorted[i] = sorted[j]; sorted[j] = temporary }
  return sprintf(format " (" format " to " format ")", sorted[int((n + 1) / 2)], sorted[1], sorted[n])
}
{
  match($0, /"policy":"[a-z-]+"/)
  policy = substr($0, RSTART + 10, RLENGTH - 11)
  if (!(policy in seen)) { seen[policy] = 1; order[++policies] = policy }
  add("turns", number("turns"))
  add("incomplete", number("turns") - number("whole"))
  add("reuse", number("reuse"))
  add("skew", number("skew"))
  add("worst", number("worst_skew"))
  add("violations", number("bound_violations"))
  add("control", number("total"))
  add("first", number("first_token_ms_p95"))
}
END {
  print "| policy | turns | incomplete | reuse | skew, time-weighted | load bound violations | control B/s per router | first token p95, ms |"
  print "|---|---|---|---|---|---|---|---|"
  for (i = 1; i <= policies; i++) {
    p = order[i]
    printf "| %s | %s | %s | %s | %s | %s | %s | %s |\n", p, summarize(p, "turns", "%d"), summarize(p, "incomplete", "%d"), summarize(p, "reuse", "%.2f"), summarize(p, "skew", "%.2f"), summarize(p, "violations", "%d"), summarize(p, "control", "%.0f"), summarize(p, "first", "%.0f")
  }
}'

#!/usr/bin/env bash
# Extrapolates a router's control traffic, memory and CPU time to the fleet size
# set in END below, from the measurements in docs/slopes.md and the benchmark
# results in docs/bench.jsonl. Prints Markdown for docs/CAPACITY.md.
# `document` is the size of the configuration in bytes, computed by
#   export ENGINES=600 EXTRA_WORKSPACES=2490
#   source workloads/guild.sh; scripts/make_configuration.sh | wc -c
set -euo pipefail
cd "$(dirname "$0")/.."
session_bytes=$(sed -n 's/.*bytes_per_session":\([0-9.]*\).*/\1/p' docs/bench.jsonl)
decision_ns=$(sed -n 's/.*"warm","ns_per_decision":\([0-9]*\).*/\1/p' docs/bench.jsonl)
view_ms=$(sed -n 's/.*view_rebuild","ms":\([0-9.]*\).*/\1/p' docs/bench.jsonl)
awk -F'|' -v session_bytes="$session_bytes" -v decision_ns="$decision_ns" \
  -v view_ms="$view_ms" '
function trim(s) { gsub(/ /, "", s); return s }
NF > 9 && trim($3) ~ /^[0-9]+$/ {
  what = trim($2); value = trim($3)
  peers[what, value] = $4; platform[what, value] = $5; probes[what, value] = $6
  cpu[what, value] = $8; memory[what, value] = $9
}
END {
  routers = 410; engines = 600; requests = 5500; sessions = 2700000
  workspaces = 2500; changes = 320; services = 7; fan_out = 4; document = 114356
  # Each service adds 13 encoded bytes to a digest and to its reply
  # (proto/peer.proto); 2.5 digests are sent per second (--digest-ms 400). Two
  # services were measured.
  # 64 routers form a tree of 63 links, each counted at both ends.
  link = peers["routers", 64] / (2 * 63 / 64)
  link_services = link + (services - 2) * 13 * 2 * 2.5
  peers_mean = 2 * link_services
  peers_inner = (fan_out + 1) * link_services
  # Each of the 8 routers of workloads/guild.sh probes an eighth of the engines.
  probe = (probes["engines", 240] - probes["engines", 20]) / ((240 - 20) / 8)
  probes_target = probe * engines / routers
  polls = platform["routers", 64]
  config = changes * document / 86400
  memory_target = memory["routers", 64] + (memory["workspaces", 2500] - memory["workspaces", 10]) + sessions / routers * session_bytes / 1048576 + (memory["engines", 240] - memory["engines", 20]) / 220 * engines + (memory["routers", 64] - memory["routers", 8]) / 56 * (routers - 64)
  printf "| per router | mechanism | measured | at target size | limit |\n|---|---|---|---|---|\n"
  printf "| load digests, leaf | `DigestTree`, one link to the parent | %.0f B/s per link | %.0f B/s | |\n", link, link_services
  printf "| load digests, inner node | `DigestTree`, four children, one parent | | %.0f B/s | |\n", peers_inner
  printf "| leases, members, configuration, host list | `MembershipService`, one batch per poll | %.0f B/s at 64 routers | %.0f B/s | |\n", polls, polls
  printf "| engine reports | `EngineProber`, owned engines only | %.0f B/s per engine | %.0f B/s | |\n", probe, probes_target
  printf "| configuration pushes, leaf | `ConfigurationService::Push`, %d changes per day of %d KB, received once | | %.0f B/s mean | |\n", changes, document / 1000, config
  printf "| configuration pushes, inner node | the same, and forwarded to four | | %.0f B/s mean | |\n", config * (fan_out + 1)
  printf "| **total control traffic, leaf** | | | **%.0f B/s** | 4,096 B/s |\n", link_services + polls + probes_target + config
  printf "| **total control traffic, inner node** | | | **%.0f B/s** | 4,096 B/s |\n", peers_inner + polls + probes_target + config * (fan_out + 1)
  printf "| sessions | `SessionMemory` | %.1f B per session | %.0f sessions, %.2f MB | |\n", session_bytes, sessions / routers, sessions / routers * session_bytes / 1048576
  printf "| **memory** | total | %.1f MB at 64 routers | **%.1f MB** | 64 MB |\n", memory["routers", 64], memory_target
  # Divisors: ns per second to percent 1e7; ms per day to percent 864000. A
  # request takes two decisions; 220 changes of members and hosts per day.
  printf "| routing decisions | `OwnerCore::Place` | %d ns | %.4f%% of a core | |\n", decision_ns, requests / routers * 2 * decision_ns / 1e7
  printf "| view rebuilds | `FleetView`, per change of configuration, members or hosts | %.1f ms at 600 engines and 410 routers | %.4f%% of a core | |\n", view_ms, (changes + 220) * view_ms / 864000
  printf "| **total control CPU time** | | %.2f%% of a core, idle at 64 routers | **about %.2f%%** | 2.2%% |\n", cpu["routers", 64], cpu["routers", 64] + requests / routers * 2 * decision_ns / 1e7 + (changes + 220) * view_ms / 864000
  printf "\n| platform, all routers | at target size | limit |\n|---|---|---|\n"
  printf "| lease writes | %.0f /s (lease of 6 s, three renewals) | several hundred |\n", routers / 2
  printf "| reads, one poll per second (2 scans, 2 leases) | %.0f /s | about 2,000 |\n", routers * 4
  printf "| host list | %.0f requests /s | |\n", routers
}' docs/slopes.md

#!/usr/bin/env bash
# Measures the slopes of docs/CAPACITY.md on this machine and extrapolates them
# to the design size.  Prints the tables of that page; fails if a budget is
# exceeded.  CAPACITY_POINTS=FILE reuses the points of an earlier run.
set -eu
cd "$(dirname "$0")/.."
source scripts/lib/measure.sh

points=${CAPACITY_POINTS:-}
if [ -z "$points" ]; then
  points=build/capacity.points
  {
    timeout 120 build/bench/bench_lookup | grep '^slope'
    timeout 200 build/bench/bench_replica | grep '^slope' || :
    bash scripts/capacity_processes.sh
    bash scripts/capacity_state.sh
    bash scripts/capacity_requests.sh
    bash scripts/capacity_traffic.sh
  } >"$points"
fi

# value_at NAME X: prints the value of NAME at size X on the line fitted
# through its points, 0 at least.
value_at () {
  awk -v n="$1" '$1 == "point" && $2 == n { print $3, $4 }' "$points" \
    | measure_fit | awk -v x="$2" '{ v = $2 + $1 * x; if (v < 0) v = 0; printf "%.6g\n", v }'
}

# slope_of NAME: prints the slope of the line through the points of NAME.
slope_of () {
  awk -v n="$1" '$1 == "point" && $2 == n { print $3, $4 }' "$points" \
    | measure_fit | cut -d' ' -f1
}

# largest_value NAME X: prints the largest value of NAME measured at size X, 0
# if there is none.
largest_value () {
  awk -v n="$1" -v x="$2" \
    '$1 == "point" && $2 == n && $3 == x && $4 > m { m = $4 } END { print m + 0 }' "$points"
}

# slope NAME: prints the slope of NAME that a benchmark program reported, 0 if
# there is none.
slope () {
  awk -v n="$1" '$1 == "slope" && $2 == n { print $3; found = 1; exit } END { if (!found) print 0 }' "$points"
}

# calc EXPRESSION: prints the value of an awk expression.
calc () {
  awk "BEGIN { printf \"%.6g\", $1 }"
}

nodes=730 zones=36 processes_a_zone=3 controls=7 blocks=180000
lookups_s=360000 changes_day=1200 restarts_day=260
zone_processes=$((zones * processes_a_zone))
entries_in_zone=$(((nodes + zones - 1) / zones)) # entry VMs of one availability zone
entries_one_lost=$(((entries_in_zone + processes_a_zone - 2) / (processes_a_zone - 1)))
cpu_budget=13000000  # ns of processor time a second: 1.3 % of a core
memory_budget=131072 # kB: 128 MB
bytes_budget=5000    # bytes a second
force_budget=10      # seconds

over_budget=0
# check_budget TEXT VALUE BOUND UNIT: prints one row of the budget table.
check_budget () {
  local verdict
  verdict=$(awk -v v="$2" -v b="$3" 'BEGIN { print v <= b ? "met" : "BROKEN" }')
  [ "$verdict" = met ] || over_budget=$((over_budget + 1))
  printf '| %s | %s %s | %s %s | %s |\n' "$1" "$2" "$4" "$3" "$4" "$verdict"
}

entry_cpu=$(value_at entry.cpu_ns_s $nodes)
entry_bytes=$(value_at entry.bytes_s $nodes)
zone_cpu=$(value_at zone.cpu_ns_s "$entries_one_lost")
zone_bytes=$(value_at zone.bytes_s "$entries_one_lost")
entries_all_up=$(((entries_in_zone + processes_a_zone - 1) / processes_a_zone))
zone_all_up_cpu=$(value_at zone.cpu_ns_s "$entries_all_up")
zone_all_up_bytes=$(value_at zone.bytes_s "$entries_all_up")
leader_cpu=$(value_at control.cpu_ns_s $zone_processes)
leader_bytes=$(value_at control.bytes_s $zone_processes)
state_bytes=$(largest_value state.entry_bytes $blocks)
entry_memory=$(calc "$(largest_value state.entry_rss_kb $blocks) + $(slope_of entry.rss_kb) * $nodes")
zone_memory=$(calc "$(largest_value state.zone_rss_kb $blocks) + ($(value_at zone.rss_kb "$entries_one_lost") - $(value_at zone.rss_kb 4))")
control_memory=$(largest_value state.control_rss_kb $blocks)
lookup_ns=$(slope_of entry.lookup_cpu_ns)
forward_ns=$(slope_of entry.forward_cpu_ns)
lookups_vm=$(calc "$lookups_s / $nodes")
lookup_share=$(calc "$lookup_ns * $lookups_vm / 1e7")
change_entry=$(value_at entry.change_bytes $nodes)
change_zone=$(value_at zone.change_bytes "$entries_one_lost")
change_leader=$(value_at control.change_bytes $zone_processes)

echo "### Slopes measured here"
echo
echo "| role | figure | grows with | at nothing | a unit |"
echo "|---|---|---|---|---|"
for row in "control.cpu_ns_s:zone processes:ns of CPU a second" \
  "control.bytes_s:zone processes:bytes a second" \
  "control.frames_s:zone processes:messages a second" \
  "control.rss_kb:zone processes:kB" \
  "control.change_bytes:zone processes:bytes a change" \
  "zone.cpu_ns_s:entry VMs of the zone:ns of CPU a second" \
  "zone.bytes_s:entry VMs of the zone:bytes a second" \
  "zone.frames_s:entry VMs of the zone:messages a second" \
  "zone.rss_kb:entry VMs of the zone:kB" \
  "zone.change_bytes:entry VMs of the zone:bytes a change" \
  "entry.cpu_ns_s:entry VMs of the fleet:ns of CPU a second" \
  "entry.bytes_s:entry VMs of the fleet:bytes a second" \
  "entry.frames_s:entry VMs of the fleet:messages a second" \
  "entry.rss_kb:entry VMs of the fleet:kB" \
  "entry.change_bytes:entry VMs of the fleet:bytes a change" \
  "state.entry_bytes:client blocks:bytes of a whole state" \
  "state.entry_rss_kb:client blocks:kB" \
  "state.zone_rss_kb:client blocks:kB" \
  "state.control_rss_kb:client blocks:kB" \
  "state.in_force_s:client blocks:seconds until in force" \
  "entry.lookup_cpu_ns:look-ups:ns of CPU" \
  "entry.forward_cpu_ns:forwarded requests:ns of CPU"; do
  IFS=: read -r name size_name unit <<<"$row"
  printf '| %s | %s, %s | %s | %s | %s |\n' "${name%%.*}" "${name#*.}" "$unit" \
    "$size_name" "$(value_at "$name" 0)" "$(slope_of "$name")"
done
echo
echo "### At the size to design for"
echo
echo "| role | CPU | memory | bytes a second | a change |"
echo "|---|---|---|---|---|"
# cpu_percent NS: prints nanoseconds of processor time a second as percent of a
# core.
cpu_percent () { calc "$1 / 1e7"; }
# megabytes KB: prints kilobytes as megabytes with one decimal.
megabytes () { calc "int ($1 / 1024 * 10) / 10"; }
echo "| control leader, $zone_processes zone processes | $(cpu_percent "$leader_cpu") % | $(megabytes "$control_memory") MB | $leader_bytes | $change_leader bytes |"
echo "| zone process, $entries_all_up entry VMs (all $processes_a_zone of the zone up) | $(cpu_percent "$zone_all_up_cpu") % | $(megabytes "$zone_memory") MB | $zone_all_up_bytes | $(value_at zone.change_bytes "$entries_all_up") bytes |"
echo "| zone process, $entries_one_lost entry VMs (one of $processes_a_zone lost) | $(cpu_percent "$zone_cpu") % | $(megabytes "$zone_memory") MB | $zone_bytes | $change_zone bytes |"
echo "| entry VM at rest | $(cpu_percent "$entry_cpu") % | $(megabytes "$entry_memory") MB | $entry_bytes | $change_entry bytes |"
echo "| entry VM, look-up side, $lookups_vm look-ups/s | $lookup_share % | in the above | callers' | - |"
echo "| entry VM, forwarding side, each 100 requests/s | $(calc "$forward_ns * 100 / 1e7") % | in the above | callers' | - |"
echo
echo "### Budget"
echo
echo "| line | at the size | budget | |"
echo "|---|---|---|---|"
check_budget "control on an entry VM, processor time" "$(cpu_percent "$entry_cpu")" "$(cpu_percent $cpu_budget)" "%"
check_budget "entry VM that also runs a zone process, all up" "$(cpu_percent "$(calc "$entry_cpu + $zone_all_up_cpu")")" "$(cpu_percent $cpu_budget)" "%"
check_budget "the same, one zone process of the zone lost" "$(cpu_percent "$(calc "$entry_cpu + $zone_cpu")")" "$(cpu_percent $cpu_budget)" "%"
check_budget "memory of an entry VM" "$(megabytes "$entry_memory")" "$(megabytes $memory_budget)" MB
check_budget "memory of an entry VM that also runs a zone process" "$(megabytes "$(calc "$entry_memory + $zone_memory")")" "$(megabytes $memory_budget)" MB
check_budget "bytes of an entry VM" "$entry_bytes" $bytes_budget bytes/s
check_budget "bytes of an entry VM that also runs a zone process, all up" "$(calc "$entry_bytes + $zone_all_up_bytes")" $bytes_budget bytes/s
check_budget "the same, one zone process of the zone lost" "$(calc "$entry_bytes + $zone_bytes")" $bytes_budget bytes/s
check_budget "bytes of an entry VM while requests run (300/s over 6 entry VMs)" "$(largest_value entry.traffic_bytes_s 300)" $bytes_budget bytes/s
check_budget "bytes of a zone process while requests run (the same)" "$(largest_value zone.traffic_bytes_s 300)" $bytes_budget bytes/s
check_budget "VMs set aside for control" $controls 7 VMs
check_budget "a change of $blocks blocks in force" "$(largest_value state.in_force_s $blocks)" $force_budget s
echo
echo "### Changes and daily failures"
echo
echo "| event | cost |"
echo "|---|---|"
echo "| $changes_day changes a day, an entry VM | $(calc "$change_entry * $changes_day / 86400") bytes/s on average |"
echo "| $changes_day changes a day, a zone process | $(calc "$change_zone * $changes_day / 86400") bytes/s on average |"
echo "| $changes_day changes a day, the leader | $(calc "$change_leader * $changes_day / 86400") bytes/s on average |"
echo "| one restart: the whole state to one VM | $(calc "$state_bytes / 1e6") MB |"
echo "| $restarts_day restarts a day, over the fleet | $(calc "$state_bytes * $restarts_day / 1e6") MB a day, $(calc "$state_bytes * $restarts_day / 86400 / $nodes") bytes/s for each node on average |"
echo "| a rack of 20 VMs comes back in one zone | $(calc "$state_bytes * 20 / 1e6") MB from its zone processes |"
echo "| an availability zone comes back | $(calc "$state_bytes * ($entries_in_zone + $processes_a_zone) / 1e6") MB, of which the control sends $(calc "$state_bytes * $processes_a_zone / 1e6") MB |"
echo "| regions cut off for an hour | $(calc "$changes_day / 24") changes behind: $(calc "$change_entry * $changes_day / 24 / 1e3") kB to each entry VM, by delta |"
echo
if [ $over_budget -gt 0 ]; then
  echo "capacity: $over_budget budget lines broken"
  exit 1
fi
echo "capacity: every budget line met"

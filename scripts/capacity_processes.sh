#!/usr/bin/env bash
# Measures the processor time, memory and bytes of control, zone and entry
# processes at rest and for each change, at three sizes of a cluster on
# loopback.  Prints one line for each point:
#   point ROLE.METRIC X Y
# where X is the size that the value depends on: zone processes for control
# processes, entry VMs of the zone for zone processes, all entry VMs for entry
# processes.
set -eu
cd "$(dirname "$0")/.."
source scripts/lib/cluster.sh
source scripts/lib/measure.sh

window_s=${CAPACITY_WINDOW_S:-6}
changes=${CAPACITY_CHANGES:-12}

# measure_size ZONES ENTRIES: measures a cluster of ZONES availability zones
# with ENTRIES entry VMs each.
measure_size () {
  local zones=$1 entries=$2 i zone name leader
  cluster_dir=$(mktemp -d)
  cluster_controls="" cluster_https=""
  cluster_zone_addresses=() cluster_entry_http=() cluster_entry_zone=()
  cluster_start_controls 3
  for ((i = 1; i <= zones; i++)); do
    zone="z-$i"
    cluster_start_zone "r-$((i % 2))" "$zone" 1
    cluster_start_entries "r-$((i % 2))" "$zone" "$entries"
  done
  for name in "${!cluster_entry_http[@]}"; do cluster_wait_ready "$name"; done
  print_document "$zones" >"$cluster_dir/document.json"
  cluster_ctl submit --wait "$cluster_dir/document.json" >/dev/null
  leader=$(cluster_ctl status --json \
    | tr -d ' \n' | grep -oE '\{[^{}]*"leader":true[^{}]*\}' \
    | grep -oE '"id":[0-9]+' | tail -n 1 | cut -d: -f2)
  cluster_wait_until 20 entries_listed "$zones"
  record_window "$zones" "$entries" "$leader"
  record_changes "$zones" "$entries" "$leader"
  cluster_cleanup
}

# entries_listed N: true when the leader lists at least N entry VMs.
entries_listed () {
  [ "$(cluster_ctl entries | grep -c '^entry-')" -ge "$1" ]
}

# all_in_force COUNT: true when COUNT entry VMs have adopted the leader's
# version.
all_in_force () {
  local version
  version=$(cluster_ctl history | awk 'NR == 2 { print $1 }')
  [ "$(cluster_ctl entries | awk -v v="$version" '$2 == v' | wc -l)" -ge "$1" ]
}

# print_document ZONES: prints declarations of two regions, ZONES zones, one
# service and one workspace.
print_document () {
  local i comma=""
  printf '{"regions":{"r-0":{},"r-1":{}},"zones":{'
  for ((i = 1; i <= $1; i++)); do
    printf '%s"z-%d":{"region":"r-%d"}' "$comma" "$i" $((i % 2))
    comma=,
  done
  printf '},"services":{"s":{"routes":[{"prefix":"/"}]}},'
  printf '"workspaces":{"w":{"rate":100,"burst":100}}}\n'
}

# read_counters ZONES ENTRIES LEADER: prints "NAME CPU_NS BYTES FRAMES" of one
# process of each role.
read_counters () {
  local name
  for name in "control$3" zone-z-1-1 entry-z-1-1; do
    echo "$name $(measure_cpu_ns "$name") $(measure_bytes "$name") $(measure_frames "$name")"
  done
}

# print_points ZONES ENTRIES METRIC CONTROL ZONE ENTRY: prints the point of
# each role.
print_points () {
  echo "point control.$3 $1 $4"
  echo "point zone.$3 $2 $5"
  echo "point entry.$3 $(($1 * $2)) $6"
}

# column_deltas BEFORE AFTER COLUMN DIVISOR: prints the increase of a column,
# divided by DIVISOR, of each process.
column_deltas () {
  paste -d ' ' "$1" "$2" \
    | awk -v c="$3" -v d="$4" '{ printf "%.1f ", ($(c + 4) - $c) / d }'
}

record_window () {
  local before after
  before=$(mktemp) after=$(mktemp)
  read_counters "$@" >"$before"
  # The measured interval itself; nothing is waited for.
  read -rt "$window_s" <> <(:) || :
  read_counters "$@" >"$after"
  print_points "$1" "$2" cpu_ns_s $(column_deltas "$before" "$after" 2 "$window_s")
  print_points "$1" "$2" bytes_s $(column_deltas "$before" "$after" 3 "$window_s")
  print_points "$1" "$2" frames_s $(column_deltas "$before" "$after" 4 "$window_s")
  print_points "$1" "$2" rss_kb "$(measure_rss_kb "control$3")" \
    "$(measure_rss_kb zone-z-1-1)" "$(measure_rss_kb entry-z-1-1)"
  rm -f "$before" "$after"
}

record_changes () {
  local before after i start elapsed_s
  before=$(mktemp) after=$(mktemp)
  read_counters "$@" >"$before"
  start=$(date +%s%N)
  for ((i = 0; i < changes; i++)); do
    cluster_ctl keys issue w >/dev/null
  done
  cluster_wait_until 20 all_in_force $(($1 * $2))
  read_counters "$@" >"$after"
  elapsed_s=$(awk -v a="$start" -v b="$(date +%s%N)" 'BEGIN { print (b - a) / 1e9 }')
  echo "point changes.seconds $(($1 * $2)) $elapsed_s"
  print_points "$1" "$2" change_bytes $(column_deltas "$before" "$after" 3 "$changes")
  print_points "$1" "$2" change_cpu_ns $(column_deltas "$before" "$after" 2 "$changes")
  rm -f "$before" "$after"
}

trap cluster_cleanup EXIT
for size in ${CAPACITY_SIZES:-2x4 4x6 6x10}; do
  measure_size "${size%x*}" "${size#*x}"
done

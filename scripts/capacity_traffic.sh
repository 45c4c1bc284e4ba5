#!/usr/bin/env bash
# Measures the bytes between processes while requests run, at three rates, with
# 3 control VMs, 2 availability zones of 2 zone processes, 3 entry VMs and 4
# backend servers each, and 8 workspaces.  Prints lines
#   point ROLE.traffic_METRIC RATE Y
set -eu
cd "$(dirname "$0")/.."
source scripts/lib/cluster.sh
source scripts/lib/measure.sh
trap cluster_cleanup EXIT
window_s=${CAPACITY_WINDOW_S:-6}

cluster_start_controls 3
for zone in norte-1 sur-1; do
  cluster_start_zone "${zone%-*}" "$zone" 2
  cluster_start_entries "${zone%-*}" "$zone" 3
  cluster_wait_ready "zone-$zone-1" "zone-$zone-2" "entry-$zone-1" \
    "entry-$zone-2" "entry-$zone-3"
  for i in 1 2 3 4; do
    cluster_start_backend "$zone" metering "m-$zone-$i" --slots 5 \
      --connections 900 --service-time-ms 4
  done
done
build/examples/andesvolt >"$cluster_dir/document.json"
cluster_ctl submit --wait "$cluster_dir/document.json" >/dev/null
while read -r workspace rate; do
  echo "$workspace $(cluster_ctl keys issue "$workspace" | sed -n 's/^key //p') $rate"
done < <(sed -nE 's/^ *\{ "([a-z-]+)", ([0-9]+), [0-9]+, [0-9]+ \},$/\1 \2/p' \
  examples/andesvolt.c) >"$cluster_dir/keys"
lookups=$(IFS=,; echo "${cluster_entry_http[*]}")
leader=$(cluster_ctl members list | awk '$6 == "yes" { print $1 }')

# run_load RATE DURATION_MS: runs cy-load.
run_load () {
  build/bin/cy-load --lookup "$lookups" --service metering --path /hourly \
    --keys "$cluster_dir/keys" --duration-ms "$2" --rate "$1" \
    --concurrency 64 >"$cluster_dir/load.json"
}

measure_rate () {
  local name before=() names=("control$leader" zone-norte-1-1 entry-norte-1-1)
  local i=0
  run_load "$1" 3000 || :
  for name in "${names[@]}"; do before+=("$(measure_bytes "$name")"); done
  run_load "$1" $((window_s * 1000)) || :
  for name in "${names[@]}"; do
    awk -v a="${before[i]}" -v b="$(measure_bytes "$name")" -v w="$window_s" \
      -v n="${name%%[0-9-]*}" -v r="$1" \
      'BEGIN { printf "point %s.traffic_bytes_s %d %.1f\n", n, r, (b - a) / w }'
    i=$((i + 1))
  done
}

run_load 100 6000 || : # until the first lease of the quota root has ended
for rate in ${CAPACITY_RATES:-100 300 900}; do
  measure_rate "$rate"
done

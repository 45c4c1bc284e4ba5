#!/usr/bin/env bash
# Demonstration of the zone layout: starts control, zone, entry and backend
# processes on loopback, submits examples/andesvolt, issues keys, sends
# requests, prints the results and stops all processes.  DEMO=short sends fewer
# requests.
set -eu
cd "$(dirname "$0")/.."
source scripts/lib/cluster.sh
trap cluster_cleanup EXIT

requests=${DEMO_REQUESTS:-4000}
[ "${DEMO:-}" = short ] && requests=1200
regions=(norte sur)
zones_of_norte=(norte-1 norte-2)
zones_of_sur=(sur-1 sur-2)

echo "starting 3 control VMs, 4 availability zones, 8 entry VMs"
cluster_start_controls 3
for region in "${regions[@]}"; do
  declare -n zones=zones_of_$region
  for zone in "${zones[@]}"; do
    cluster_start_zone "$region" "$zone" 1
    cluster_start_entries "$region" "$zone" 2
  done
done
for zone in norte-1 norte-2 sur-1 sur-2; do
  cluster_wait_ready "zone-$zone-1" "entry-$zone-1" "entry-$zone-2"
  n=0
  for service in metering metering billing billing contracts contracts; do
    n=$((n + 1))
    cluster_start_backend "$zone" "$service" "$service-$zone-$n" \
      --slots 5 --connections 900 --service-time-ms 4
  done
done

build/examples/andesvolt >"$cluster_dir/andesvolt.json"
cluster_ctl submit --wait "$cluster_dir/andesvolt.json"

# A key for every workspace; the third column is its weight in the load.
: >"$cluster_dir/keys"
while read -r workspace rate; do
  key=$(cluster_ctl keys issue "$workspace" | sed -n 's/^key //p')
  echo "$workspace $key $rate" >>"$cluster_dir/keys"
done < <(sed -nE 's/^ *\{ "([a-z-]+)", ([0-9]+), [0-9]+, [0-9]+ \},$/\1 \2/p' \
  examples/andesvolt.c)
echo "issued $(wc -l <"$cluster_dir/keys") keys"

lookups=$(IFS=,; echo "${cluster_entry_http[*]}")
status=0
# json_number NAME FILE: prints the first number with this name.
json_number () {
  sed -nE "s/^ *\"$1\": ([0-9.]+),?$/\1/p" "$2" | head -n 1
}

# print_row SERVICE FILE: prints one row of the table from a summary of
# cy-load.
print_row () {
  local worst worst_p99
  worst=$(sed -nE 's/^ *"worst_workspace": "(.*)",?$/\1/p' "$2")
  worst_p99=$(awk -v w="\"$worst\": {" \
    'index ($0, w) { found = 1 } found && /"p99_ms"/ { gsub (/[^0-9.]/, "", $2); print $2; exit }' "$2")
  printf '%-10s %8d %8d %8d %8d %7.1f %7.1f %8.2f %8.2f %6.2f %8.2f  %s %.1f\n' \
    "$1" "$(json_number requests "$2")" "$(json_number ok "$2")" \
    "$(json_number not_run "$2")" "$(json_number wrong "$2")" \
    "$(json_number p50_ms "$2")" "$(json_number p99_ms "$2")" \
    "$(json_number waiting "$2")" "$(json_number connect "$2")" \
    "$(json_number link "$2")" "$(json_number backend "$2")" \
    "$worst" "$worst_p99"
}

declare -A paths=([metering]=/hourly [billing]=/statements
  [contracts]=/documents)
printf '%-10s %8s %8s %8s %8s %7s %7s %8s %8s %6s %8s  %s\n' service requests \
  ok not-run wrong 'p50 ms' 'p99 ms' waiting connect link backend \
  'worst-served workspace, its p99 ms'
for service in metering billing contracts; do
  report="$cluster_dir/load-$service.json"
  build/bin/cy-load --lookup "$lookups" --service "$service" \
    --keys "$cluster_dir/keys" --requests $((requests / 3)) \
    --path "${paths[$service]}" --rate 300 --concurrency 32 \
    --post-share 20 --expect-ok-percent 100 \
    --record "$cluster_dir/load-$service.record" >"$report" || status=1
  print_row "$service" "$report"
  grep -A 9 '"codes": {$' "$report" | sed '/}/,$d' || :
done
cluster_ctl status
cluster_ctl why metering
[ $status -eq 0 ] && echo "demo: ok"
exit $status

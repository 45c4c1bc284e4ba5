#!/usr/bin/env bash
# Measures the processor time that lookups and forwarded requests take at an
# entry VM, at three counts each.  Prints lines "point entry.METRIC COUNT
# CPU_NS".
set -eu
cd "$(dirname "$0")/.."
source scripts/lib/cluster.sh
source scripts/lib/measure.sh
trap cluster_cleanup EXIT

cluster_start_controls 1
cluster_start_zone r-0 z-1 1
cluster_start_entries r-0 z-1 1
cluster_wait_ready zone-z-1-1 entry-z-1-1
for i in 1 2 3 4; do
  cluster_start_backend z-1 s "s-$i" --slots 6 --connections 900 \
    --service-time-ms 1
done
echo '{"regions":{"r-0":{}},"zones":{"z-1":{"region":"r-0"}},
  "services":{"s":{"routes":[{"prefix":"/"}]}},
  "workspaces":{"w":{"rate":100000,"burst":100000}}}' \
  >"$cluster_dir/document.json"
cluster_ctl submit --wait "$cluster_dir/document.json" >/dev/null
echo "w $(cluster_ctl keys issue w | sed -n 's/^key //p')" >"$cluster_dir/keys"
entry=${cluster_entry_http[entry-z-1-1]}

answers_lookup () {
  [ "$(curl -s -o /dev/null -w '%{http_code}' "http://$entry/v1/lookup?service=s")" = 200 ]
}
cluster_wait_until 15 answers_lookup

measure_lookups () {
  local before
  before=$(measure_cpu_ns entry-z-1-1)
  build/bench/load_lookup "$entry" s "$1" 8 >/dev/null
  echo "point entry.lookup_cpu_ns $1 $(($(measure_cpu_ns entry-z-1-1) - before))"
}

measure_forwards () {
  local before
  before=$(measure_cpu_ns entry-z-1-1)
  build/bin/cy-load --lookup "$entry" --service s --keys "$cluster_dir/keys" \
    --requests "$1" --concurrency 16 --expect-ok-percent 99 >"$cluster_dir/load.json" || cat "$cluster_dir/load.json" >&2
  echo "point entry.forward_cpu_ns $1 $(($(measure_cpu_ns entry-z-1-1) - before))"
}

measure_lookups 2000 >/dev/null
for count in 5000 10000 20000; do measure_lookups "$count"; done
measure_forwards 1000 >/dev/null
for count in 2000 4000 8000; do measure_forwards "$count"; done

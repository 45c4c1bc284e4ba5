#!/usr/bin/env bash
# A document with 180,000 client blocks in 140 sites, ten regions and 36
# availability zones is in force at every entry VM within 10 s, also after
# every site has moved to another region; no process uses more than 128 MB of
# memory.
set -eu
cd "$(dirname "$0")/../.."
source scripts/lib/cluster.sh
source scripts/lib/operator.sh
trap 'set +e; cluster_cleanup' EXIT
BLOCKS=180000
WAIT_MS=10000   # from submit to in force
MEMORY_KB=128000
cluster_start_controls 3
cluster_wait_until 15 operator_is_leader_known
build/examples/many_blocks | cluster_ctl submit - >/dev/null
for zone in 0 1; do
  cluster_start_zone region-$zone zone-$zone 1
  cluster_start_entries region-$zone zone-$zone 2
done
entries_seen () { [ "$(cluster_ctl --json entries | grep -c '"name": "entry-')" = "$1" ]; }
cluster_wait_until 20 entries_seen 4
for shift in 0 1 2; do
  build/examples/many_blocks $BLOCKS $shift >"$cluster_dir/document"
  start=$(date +%s%3N)
  answer=$(cluster_ctl submit --wait "$cluster_dir/document")
  took=$(($(date +%s%3N) - start))
  grep -q 'in force at 4 entry VMs' <<<"$answer" || operator_fail "$answer"
  echo "$(stat -c %s "$cluster_dir/document") bytes of JSON in force at 4 entry VMs after $took ms"
  [ $took -le $WAIT_MS ] || operator_fail "took $took ms, bound $WAIT_MS"
done
for name in "${!cluster_pid[@]}"; do
  peak=$(sed -nE 's/^VmHWM:\s+([0-9]+) kB/\1/p' "/proc/${cluster_pid[$name]}/status")
  echo "$name: $peak KB at its largest"
  [ "$peak" -le $MEMORY_KB ] || operator_fail "$name takes $peak KB, bound $MEMORY_KB"
done

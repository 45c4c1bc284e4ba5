#!/usr/bin/env bash
# Rolling restart of backend servers and entry VMs under load with SIGTERM: no
# request fails.  A backend server that operators drain receives no new requests
# once drain_notice has passed.
set -u
cd "$(dirname "$0")/../.." || exit 1
source scripts/lib/cluster.sh
source scripts/lib/path.sh
trap cluster_cleanup EXIT
path_start 3 2 || exit 1
backend () {
  cluster_start_backend "$path_zone" billing "$1" --service-time-ms 5
}
for i in 1 2 3 4; do backend "b$i"; done
path_wait_service billing || exit 1
status=0

# stop_one NAME: sends SIGTERM and waits for exit 0.
stop_one () {
  local pid=${cluster_pid[$1]}
  kill -TERM "$pid"
  wait "$pid" || { echo "$1 ended with $?"; status=1; }
  unset "cluster_pid[$1]"
}

path_load roll billing --duration-ms 60000 --rate 600 --concurrency 200 \
  --post-share 40 --timeout-ms 5000 --expect-ok-percent 100 &
load=$!
for i in 1 2 3 4; do stop_one "backend-b$i"; backend "b$i"; done
echo "backend servers restarted"
for i in 1 2 3; do
  name="entry-$path_zone-$i"
  stop_one "$name"
  : >"$cluster_dir/$name.out"
  cluster_start_entry r1 "$path_zone" "$name"
  cluster_wait_ready "$name" || status=1
done
echo "entry VMs restarted"
cluster_ctl drain backend b1 --force >/dev/null || status=1
date +%s%3N >"$cluster_dir/drained"
cluster_wait_until 60 bash -c "! kill -0 $load 2>/dev/null"
wait $load || status=1
grep -E '"(requests|ok|not_run|p99_ms|wrong|errors|skipped)":' "$cluster_dir/roll.json" | head -n 7
sed -n '/"codes"/,/}/p' "$cluster_dir/roll.json" | tr -d '\n'; echo
path_check 4 roll || status=1
last=$(tail -n 1 "$cluster_dir/backend-b1.record" | sed -E 's/.*"unix_ms":([0-9]+).*/\1/')
notice=$((last - $(<"$cluster_dir/drained")))
echo "last new work at b1: $notice ms after the drain was accepted"
[ $notice -le 3000 ] || status=1
exit $status

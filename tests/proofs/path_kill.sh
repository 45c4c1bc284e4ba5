#!/usr/bin/env bash
# SIGKILL of an entry VM, a zone process and a backend server and SIGSTOP of a
# backend server, all under load: no request runs twice or runs and is answered
# "not-run", every answer is complete and belongs to its request, no server
# runs more requests than it has slots, and neither a backend server nor a log
# receives a key.
set -u
cd "$(dirname "$0")/../.." || exit 1
source scripts/lib/cluster.sh
source scripts/lib/path.sh
trap cluster_cleanup EXIT
path_start 3 2 || exit 1
backend () {
  cluster_start_backend "$path_zone" billing "$1" --service-time-ms 5 --lease-ms 900
}
for i in 1 2 3 4; do backend "b$i"; done
path_wait_service billing || exit 1
pause () { read -rt "$1" <> <(:) || :; }

path_load kill billing --duration-ms 14000 --concurrency 24 --post-share 40 \
  --timeout-ms 3000 &
load=$!
pause 2; echo "kill -9 entry VM 1"; cluster_kill "entry-$path_zone-1"
pause 2; echo "kill -9 backend server b1"; cluster_kill backend-b1
pause 2; echo "SIGSTOP backend server b2"; cluster_signal backend-b2 STOP
cluster_start_entry r1 "$path_zone" "entry-$path_zone-1"
backend b1
pause 2; echo "SIGCONT backend server b2"; cluster_signal backend-b2 CONT
pause 1; echo "kill -9 zone process 1"; cluster_kill "zone-$path_zone-1"
wait $load
status=$?
grep -E '"(requests|ok|not_run|p99_ms|wrong|errors)":' "$cluster_dir/kill.json" | head -n 6
sed -n '/"codes"/,/}/p' "$cluster_dir/kill.json" | tr -d '\n'; echo
path_check 4 kill || status=1
# All requests succeed after the faults.
path_load after billing --requests 500 --concurrency 8 --expect-ok-percent 100 \
  || status=1
path_check 4 kill after || status=1
grep -lE 'cyk_[A-Za-z0-9-]+_[A-Za-z0-9]{8}' "$cluster_dir"/*.log "$cluster_dir"/*.out && status=1
exit $status

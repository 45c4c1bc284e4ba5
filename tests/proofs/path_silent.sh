#!/usr/bin/env bash
# Persistent connections to every backend server stop answering while new ones
# work (test_tcp_fake is in between): an idempotent request loses at most its
# first attempt, a non-idempotent one is answered "unknown" and ran at most
# once.
set -u
cd "$(dirname "$0")/../.." || exit 1
source scripts/lib/cluster.sh
source scripts/lib/path.sh
trap cluster_cleanup EXIT
path_start 2 1 || exit 1
for i in 1 2; do
  cluster_free_port; fake=$PORT
  cluster_free_port; real=$PORT
  cluster_start_backend "$path_zone" billing "b$i" --service-time-ms 5 \
    --port "$real" --announce-port "$fake"
  cluster_run "fake$i" build/tests/path/test_tcp_fake "$fake" "$real"
  cluster_wait_ready "fake$i" || exit 1
done
path_wait_service billing || exit 1
status=0
path_load reads billing --duration-ms 8000 --rate 200 --concurrency 100 \
  --timeout-ms 4000 --expect-ok-percent 100 &
reads=$!
path_load writes billing --duration-ms 8000 --rate 50 --concurrency 100 \
  --post-share 100 --timeout-ms 2000 &
writes=$!
for round in 1 2; do
  read -rt 2.5 <> <(:)
  cluster_signal fake1 USR1
  cluster_signal fake2 USR1
  echo "round $round: open connections went silent"
done
wait $reads || { echo "a read failed"; status=1; }
wait $writes
for name in reads writes; do
  echo "$name: $(path_field $name requests) requests, $(path_field $name ok) good, p99 $(path_field $name p99_ms) ms"
  sed -n '/"outcomes"/,/}/p; /"codes"/,/}/p' "$cluster_dir/$name.json" | tr -d '\n'; echo
done
path_check 4 reads writes || status=1
exit $status

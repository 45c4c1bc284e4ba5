#!/usr/bin/env bash
# Runs a backend server with one fault next to good ones, for each fault: no
# answers, false load reports, ten times the service time, closed or reset
# connections, truncated bodies, shedding, a key in the answer.  The results
# that callers receive are correct, and good servers serve the requests within
# the rate.
set -u
cd "$(dirname "$0")/../.." || exit 1
source scripts/lib/cluster.sh
source scripts/lib/path.sh
trap cluster_cleanup EXIT
path_start 2 1 || exit 1
for i in 1 2 3; do
  cluster_start_backend "$path_zone" billing "good$i" --service-time-ms 5
done
path_wait_service billing || exit 1
status=0
printf '%-20s %9s %9s %9s %9s %9s\n' fault requests ok not-run errors p99_ms
for fault in healthy-but-silent lying-load slow10x close-after-read reset \
  truncate shed echo-key; do
  cluster_start_backend "$path_zone" billing "bad-$fault" --service-time-ms 5 \
    --fault "$fault" --drain-ms 0
  cluster_wait_ready "backend-bad-$fault" || exit 1
  path_load "$fault" billing --duration-ms 4000 --concurrency 12 \
    --post-share 40 --timeout-ms 2000 || status=1
  printf '%-20s %9s %9s %9s %9s %9s\n' "$fault" \
    "$(path_field "$fault" requests)" "$(path_field "$fault" ok)" \
    "$(path_field "$fault" not_run)" "$(path_field "$fault" errors)" \
    "$(path_field "$fault" p99_ms)"
  path_check 4 "$fault" || status=1
  awk -v a="$(path_field "$fault" ok)" -v b="$(path_field "$fault" requests)" \
    'BEGIN { exit !(a >= 0.95 * b) }' \
    || { echo "fewer than 95 % good answers beside $fault"; status=1; }
  cluster_kill "backend-bad-$fault"
done
grep -lE 'cyk_[A-Za-z0-9-]+_[A-Za-z0-9]{8}' "$cluster_dir"/*.log "$cluster_dir"/*.out && status=1
exit $status

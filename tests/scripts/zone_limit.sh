#!/usr/bin/env bash
# Guards against more requests to a backend server than the limit that it
# reports in its answers, over all entry VMs of a zone in the tree layout.
set -u
cd "$(dirname "$0")/../.."
source scripts/lib/cluster.sh
source scripts/lib/path.sh
source scripts/lib/arrivals.sh
trap 'cluster_stop; rm -rf "$cluster_dir"' EXIT
failures=0
fail () { echo "FAILED: $*"; failures=$((failures + 1)); }
limit_per_s=5
allowed=$((limit_per_s * 4 * 3 / 2 + 5))

path_start 3 || exit 1
cluster_start_backend "$path_zone" billing steady --slots 8 --service-time-ms 20
cluster_start_backend "$path_zone" billing limited --slots 4 \
  --service-time-ms 5 --limit $limit_per_s
cluster_wait_ready backend-steady backend-limited || exit 1
path_wait_service billing || fail "the service is not served"
path_load calm billing --rate 100 --duration-ms 10000 \
  --concurrency 200 --timeout-ms 2000 --expect-ok-percent 99 || fail "the load driver failed"
record=$cluster_dir/backend-limited.record
start=$(arrivals_of "$record" | head -n 1)
most=$(arrivals_most "$record" $((${start:-0} + 500)))
echo "at most $most requests in 4 s, allowed $allowed"
[ -n "$start" ] || fail "no request reached the server"
[ "$most" -le $allowed ] || fail "$most requests in 4 s, allowed $allowed"
grep -q '"server_limited"' "$cluster_dir"/entry-*.out || fail "no line in the log"
cat "$cluster_dir/calm.json"
echo "$failures failures"
[ $failures -eq 0 ]

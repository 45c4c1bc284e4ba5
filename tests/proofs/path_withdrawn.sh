#!/usr/bin/env bash
# A key is withdrawn while 100 callers are connected with it and long requests
# are in flight: these are answered completely, later requests are refused
# within seconds, and then no request with the key runs.
set -u
cd "$(dirname "$0")/../.." || exit 1
source scripts/lib/cluster.sh
source scripts/lib/path.sh
trap cluster_cleanup EXIT
path_start 2 1 || exit 1
for i in 1 2; do
  cluster_start_backend "$path_zone" billing "b$i" --service-time-ms 5 --slots 100
done
path_wait_service billing || exit 1
status=0
grep '^alfa ' "$cluster_dir/keys" >"$cluster_dir/alfa.keys"
path_keys=$cluster_dir/alfa.keys
id=$(sed -E 's/.* cyk_([A-Za-z0-9-]+)_.*/\1/' "$path_keys")
path_load long billing --path '/?work=2500' --requests 100 --concurrency 100 \
  --timeout-ms 8000 --expect-ok-percent 100 &
long=$!
path_load steady billing --duration-ms 7000 --concurrency 100 --rate 400 &
steady=$!
read -rt 1.5 <> <(:)
cluster_ctl keys withdraw "$id" || status=1
date +%s%3N >"$cluster_dir/withdrawn"
wait $long || { echo "a long answer was cut"; status=1; }
wait $steady
path_check 100 long steady || status=1
withdrawn=$(<"$cluster_dir/withdrawn")
last=$(sed -nE 's/.*"outcome":"ran".*"unix_ms":([0-9]+).*/\1/p' "$cluster_dir/steady.record" | sort -n | tail -n 1)
echo "last request that ran: sent $((last - withdrawn)) ms after the withdrawal was accepted"
[ $((last - withdrawn)) -le 3000 ] || status=1
grep -c '"code":603' "$cluster_dir/steady.record" | sed 's/$/ refused with CY_E_KEY_WITHDRAWN/'
[ "$(grep -c '"code":603' "$cluster_dir/steady.record")" -gt 100 ] || status=1
grep -qE 'cyk_[A-Za-z0-9-]+_[A-Za-z0-9]{8}' "$cluster_dir"/*.log "$cluster_dir"/*.out && status=1
exit $status

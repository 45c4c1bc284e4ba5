#!/usr/bin/env bash
# Guards against a control VM that was replaced while it was paused, is awake
# again and places requests with the drained zones of before: backend servers
# of a zone that is drained meanwhile got requests for good.
set -u
cd "$(dirname "$0")/../.."
source scripts/lib/hubs.sh
hubs_start --instance i1 --slots 8 --record "$cluster_dir/runs"
hubs_declare '"timeout_ms":2000,"goal_ms":900,"attempts":1,"idempotent":true'
sequence=0
renew () {
  sequence=$((sequence + 1))
  hubs_announce "$(hubs_announcement i1 "$served" 8 $sequence)"
}
serves () { renew; hubs_request GET $sequence 1500; [ "$CODE" = 200 ]; }
refuses () { renew; hubs_request GET $sequence 1500; [ "$CODE" = 503 ]; }
cluster_wait_until 15 serves || fail "no request is served: $CODE"

# hub1 has the lowest name of its region, so that it places the requests.
kill -STOP "${cluster_pid[hub1]}"
read -rt 6 <> <(:) || : # longer than the time after which it is replaced
mkdir "$cluster_dir/hub4"
cluster_run hub4 "$cluster_bin/cy-hub" --vm hub4 --zone a --region r1 \
  --regions a=r1,b=r1,c=r2 --host "$net.4" --port "$peer" \
  --control "$net.4:$http" --data "$cluster_dir/hub4" --spare-disks 1 \
  --seeds "$net.1:$http,$net.2:$http,$net.3:$http" \
  --secret-file "$cluster_dir/secret"
is_replaced () { grep -q "adding member .* at $net.4\"" "$cluster_dir"/hub[23].out; }
cluster_wait_until 10 is_replaced || fail "hub4 is not added"
kill -CONT "${cluster_pid[hub1]}"
read -rt 3 <> <(:) || :
cluster_wait_until 10 serves || fail "no request is served after hub1 woke: $CODE"

call PUT "http://$net.2:$http/v1/drained-zones?zone=a" -L
[ "$CODE" = 200 ] || fail "drain: $CODE"
cluster_wait_until 5 refuses || fail "the drained zone still serves after 5 s: $CODE"
runs=$(wc -l <"$cluster_dir/runs")
for i in 1 2 3 4 5 6 7 8; do
  refuses || fail "request $i after the drain: $CODE"
  read -rt 0.5 <> <(:) || :
done
[ "$(wc -l <"$cluster_dir/runs")" = "$runs" ] || fail "the drained zone runs requests"
echo "$failures failures"
[ $failures -eq 0 ]

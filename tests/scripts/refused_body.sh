#!/usr/bin/env bash
# Guards against an entry VM that closes the connection of a request which it
# refuses at the head, instead of answering it, when a body follows.
set -u
cd "$(dirname "$0")/../.."
source scripts/lib/hubs.sh
hubs_start --instance steady --slots 8 --record "$cluster_dir/runs"
for size in 0 4 60000; do
  head -c $size /dev/zero >"$cluster_dir/body"
  hubs_request POST "early-$size" 3000 --data-binary "@$cluster_dir/body"
  [ "$CODE" = 503 ] || fail "no declaration yet, a body of $size bytes: $CODE"
done
hubs_declare '"timeout_ms":3000,"goal_ms":900,"attempts":1,"idempotent":false'
hubs_announce "$(hubs_announcement steady "$served" 8 1)"
ready () { hubs_request POST 0 3000 --data-binary 0123; [ "$CODE" = 200 ]; }
cluster_wait_until 10 ready || fail "no request is served: $CODE"
for size in 0 4 60000; do
  head -c $size /dev/zero >"$cluster_dir/body"
  hubs_request POST "odd-$size" 3000 -H 'Cy-Timeout-Ms: never' \
    --data-binary "@$cluster_dir/body"
  [ "$CODE" = 400 ] || fail "an odd header, a body of $size bytes: $CODE"
done
! grep -q '/x/\(early\|odd\)' "$cluster_dir/runs" || fail "a refused request ran"
echo "$failures failures"
[ $failures -eq 0 ]

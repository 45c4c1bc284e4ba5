#!/usr/bin/env bash
# All processes of a zone are killed: lookups are answered with other zones as
# far as the cap allows, the rest is refused with CY_E_NO_ROOM; no lookup
# returns the lost zone any more, and in the end all are served.
set -eu
cd "$(dirname "$0")/../.."
source scripts/lib/cluster.sh
source scripts/lib/steer.sh
trap 'set +e; cluster_cleanup' EXIT
steer_start
steer_read_shares entry-b1-1
before=$(steer_share_of a1)
echo "before: a1 $before, a2 $(steer_share_of a2)"
for name in zone-a1-1 entry-a1-1 entry-a1-2 backend-shop-a1-1 \
  backend-shop-a1-2 backend-shop-a1-3; do
  cluster_kill "$name"
done
unset "cluster_entry_http[entry-a1-1]" "cluster_entry_http[entry-a1-2]"

start=$SECONDS
last=0
worst=0
samples=""
while [ $((SECONDS - start)) -lt 45 ]; do
  steer_read_shares entry-b1-1
  a1=$(steer_share_of a1)
  refused=$(steer_share_of refused)
  served=$((steer_blocks - a1 - refused))
  samples+="$((SECONDS - start))s:$a1/$refused/$served "
  if [ "$a1" -eq 0 ] && [ "$last" -gt 0 ] && [ $((served - last)) -gt "$worst" ]; then
    worst=$((served - last))
  fi
  last=$served
  [ "$a1" -eq 0 ] && [ "$refused" -eq 0 ] && break
  read -rt 0.4 <> <(:) || :
done
echo "time:to a1/refused/served elsewhere  $samples"
[ "$a1" -eq 0 ] || steer_fail "$a1 blocks are still sent to the lost zone"
[ "$refused" -eq 0 ] || steer_fail "$refused blocks are still refused"
limit=$(awk -v n="$steer_blocks" -v c="$steer_cap" 'BEGIN { print int (n * c + 3 * sqrt (n * c * (1 - c)) + 1) }')
echo "largest landing $worst of $steer_blocks blocks, cap with sampling error $limit"
[ "$worst" -le "$limit" ] || steer_fail "a landing of $worst blocks is above the cap"
steer_is_served a2 || steer_fail "the zone beside it does not serve"
echo "steer_lost: ok"

#!/usr/bin/env bash
# Zones that are isolated from the control VMs continue: lookups are answered
# as before and open routes are served.  After the control VMs are back at most
# one block in twenty changes its zone.
set -eu
cd "$(dirname "$0")/../.."
source scripts/lib/cluster.sh
source scripts/lib/steer.sh
trap 'set +e; cluster_cleanup' EXIT
steer_start
steer_is_settled () {
  steer_read_shares entry-a1-1
  [ "$(steer_share_of a1)" -lt $((steer_blocks * 6 / 10)) ]
}
cluster_wait_until 30 steer_is_settled
read -rt 2 <> <(:) || :
steer_read_shares entry-a1-1
before=$(steer_share_of a1)
cluster_signal control1 STOP
deadline=$((SECONDS + 12))
while [ $SECONDS -lt $deadline ]; do
  steer_read_shares entry-a1-1
  now=$(steer_share_of a1)
  [ "$now" = "$before" ] || { cluster_signal control1 CONT; steer_fail "a1 went from $before to $now blocks while cut off"; }
  for zone in a1 a2 b1 b2; do
    steer_is_served "$zone" >/dev/null || { cluster_signal control1 CONT; steer_fail "$zone does not serve while cut off"; }
  done
  read -rt 0.5 <> <(:) || :
done
echo "cut off for 12 s: a1 kept $before blocks, every zone served"
cluster_signal control1 CONT
deadline=$((SECONDS + 8))
while [ $SECONDS -lt $deadline ]; do
  steer_read_shares entry-a1-1
  change=$(($(steer_share_of a1) - before))
  [ "${change#-}" -le $((steer_blocks / 20)) ] || steer_fail "a1 went from $before to $(steer_share_of a1) blocks afterwards"
  read -rt 0.5 <> <(:) || :
done
echo "steer_cut: ok"

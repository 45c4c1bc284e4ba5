#!/usr/bin/env bash
# `cyctl why` reports the backend servers when they are slow, and does not
# report the network when only a zone process is paused.
set -eu
cd "$(dirname "$0")/../.."
source scripts/lib/cluster.sh
source scripts/lib/steer.sh
trap 'set +e; cluster_cleanup' EXIT
steer_start
build/bin/cy-load --lookup "$(IFS=,; echo "${cluster_entry_http[*]}")" \
  --service shop --keys "$cluster_dir/keys" --path /hourly \
  --duration-ms 75000 --rate 120 --concurrency 32 >"$cluster_dir/load.json" &
load=$!

# steer_verdict SECONDS: prints the verdict and whether the network was at
# fault.
steer_verdict () {
  cluster_ctl --json why shop --since "$1" >"$cluster_dir/why.json"
  sed -nE 's/^ *"(verdict|network_at_fault)": "?([^",]*)"?,?$/\2/p' "$cluster_dir/why.json" | paste -sd: -
}

steer_pause () {
  local deadline=$((SECONDS + $1))
  while [ $SECONDS -lt $deadline ]; do read -rt 0.2 <> <(:) || :; done
}

steer_pause 25
verdict=$(steer_verdict 15)
echo "nothing wrong: $verdict"
[ "$verdict" = "no fault:false" ] || { cat "$cluster_dir/why.json"; steer_fail "the verdict was $verdict"; }

for zone in a1 a2; do
  for n in 1 2 3; do
    cluster_kill "backend-shop-$zone-$n"
    cluster_start_backend "$zone" shop "shop-$zone-$n" --slots 5 \
      --connections 900 --service-time-ms 10 --fault slow10x
  done
done
steer_pause 15
verdict=$(steer_verdict 10)
echo "slow backend servers: $verdict"
[ "$verdict" = "backend server:false" ] || { cat "$cluster_dir/why.json"; steer_fail "the verdict was $verdict"; }

cluster_signal zone-a1-1 STOP
steer_pause 20
verdict=$(steer_verdict 10)
echo "zone process stopped: $verdict"
cluster_signal zone-a1-1 CONT
case $verdict in
  network:*|*:true) cat "$cluster_dir/why.json"; steer_fail "the verdict was $verdict" ;;
esac
kill "$load" 2>/dev/null || :
wait "$load" || :
echo "steer_why: ok"

#!/usr/bin/env bash
# A zone's evacuation is taken back while the two control VMs of its region are
# down.  Its server has just become cold.  Exits with 1 if FAILBACK was broken,
# 0 if it held, 2 if the case couldn't run.  TROUBLE=0: the control VMs stay up.
set -u
CASE=$(cd "$(dirname "$0")" && pwd)
source "$CASE/../stand-2/cluster.sh"

# At most warmupPerS x warmupFactor + warmupSlack requests in a second.  The
# server bears 16 a second and crashes at three times as many.
bound=29 # 16 x 1.5 + 5

start_cluster
configuration 1 "$(route x svc non_idempotent 2000ms 300ms)" "$(service svc)"
declare_configuration 20 || exit 2
backend i-a 1 svc scl-a --slots 6 --work-ms 40 --cold-ms 3000 \
  --crash-per-s 48
backend i-b 2 svc scl-b --slots 6 --work-ms 40
wait_served 1 x

# order CALL: gives an order to the control VMs in turn until it is
# acknowledged.
order () {
  local i
  for ((i = 0; i < 50; i++)); do
    call $((i % 4 > 1 ? 6 : 2 + i % 2)) "/rpc?call=$1&of=scl-a"
    [ "$STATUS" = 200 ] && break
    nap 0.1
  done
  note "operator: $1 of scl-a: $STATUS"
  [ "$STATUS" = 200 ] || exit 2
}
order evacuations.start
$stand load --gates "$(gate_address 1),$(gate_address 2)" --path /x/ \
  --prefix r --workers 24 --pause-ms 100 --for-ms 14000 --record "$runs" &
client=$!
nap 4
if [ "${TROUBLE:-1}" != 0 ]; then
  end hub1
  end hub4
  note "control VMs of scl-a and scl-b lose power"
fi
nap 4

# The server becomes cold right after a heartbeat; the next one, 1.5 s later,
# says so.
beats () { grep -c "heartbeat i-a " "$runs"; }
before=$(beats)
while [ "$(beats)" = "$before" ]; do nap 0.01; done
kill -USR1 "${pid[i-a]}"
note "server i-a is cold for 3 s"
order evacuations.finish
wait $client

sort -n "$runs" >>"$record"
most=$(awk 'BEGIN { n = 0; first = 0 }
  $2 == "arrived" && $3 == "i-a" && $6 > 0 {
    at[n++] = $1; while (at[n - 1] - at[first] >= 1000) first++
    if (n - first > most) most = n - first }
  END { print most + 0 }' "$record")
crashed=$(grep -c ' crashed i-a ' "$runs")
failed=$(grep -c ' answer [^ ]* 50[24] \| answer [^ ]* 0 ' "$runs")
line="cold server i-a: at most $most requests in one second, bound $bound;"
line+=" crashes: $crashed, requests that may have run without an answer: $failed"
note "$line"
echo "$line"
[ "$most" -le $bound ]

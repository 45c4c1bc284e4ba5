#!/usr/bin/env bash
# Guards against a planned stop of a control VM that closes connections of
# operators and backend servers with a call on them unanswered.
set -u
cd "$(dirname "$0")/../.."
source scripts/lib/hubs.sh
hubs_start --instance steady --slots 8
hubs_declare '"timeout_ms":3000,"goal_ms":900,"attempts":1,"idempotent":false'

# calls KIND: sends one call after the other to control VM 1 until it has ended;
# counts those whose connection ended without an answer.
calls () {
  local kind=$1 status cut=0 sent=0 at="http://$net.1:$http/v1"
  while [ ! -e "$cluster_dir/ended" ]; do
    sent=$((sent + 1))
    case $kind in
      read) curl -sS -m 5 -o /dev/null "$at/declaration" ;;
      announce) curl -sS -m 5 -o /dev/null "$at/announce" --data-binary \
        "$(hubs_announcement "$2" "$((served + $3))" 8 $sent)" ;;
      lookup) curl -sS -m 5 -o /dev/null "$at/lookup?zone=a" ;;
    esac 2>/dev/null
    status=$?
    # 7: the listener has closed; nothing was read.
    [ $status -eq 0 ] || [ $status -eq 7 ] || { cut=$((cut + 1)); echo "$kind: curl $status" >>"$cluster_dir/cut"; }
  done
  echo "$kind: $sent sent, $cut without an answer"
}
clients=()
for i in 1 2 3 4; do
  calls read &
  clients+=($!)
  calls announce "other-$i" "$i" &
  clients+=($!)
  calls lookup &
  clients+=($!)
done
read -rt 0.5 <> <(:) || :
status=0
kill "${cluster_pid[hub1]}"
wait "${cluster_pid[hub1]}" || status=$?
[ $status -eq 0 ] || fail "the control VM ended with $status"
: >"$cluster_dir/ended"
wait "${clients[@]}"
[ ! -e "$cluster_dir/cut" ] || fail "$(sort "$cluster_dir/cut" | uniq -c)"
echo "$failures failures"
[ $failures -eq 0 ]

#!/usr/bin/env bash
# Guards against servers that left or drain being used again after a restart of
# all control VMs: a late announcement of before made them ready, though their
# leave or drain had been confirmed.
set -u
cd "$(dirname "$0")/../.."
source scripts/lib/hubs.sh
declare -A port
for name in left drained; do
  cluster_free_port; port[$name]=$PORT
done
hubs_start --instance steady --slots 4
for name in left drained; do
  cluster_run "$name" "$cluster_bin/cy-backend" --service s --zone a \
    --host "$hubs_server" --instance "$name" --port "${port[$name]}" \
    --slots 4 --record "$cluster_dir/$name.runs"
  cluster_wait_ready "$name" || exit 1
done
hubs_declare '"timeout_ms":3000,"goal_ms":2000,"attempts":3,"idempotent":true'

sent=0
steady=0
announce () { # NAME SEQUENCE [INCARNATION [STATE [CONTROL_VM]]]
  hubs_announce "$(hubs_announcement "$1" "${port[$1]}" 4 "$2" "${3:-1000}" \
    "${4:-serving}")" "${5:-2}"
}
keep_steady () {
  steady=$((steady + 1))
  hubs_announce "$(hubs_announcement steady "$served" 4 $steady)"
}
arrivals () { cat "$cluster_dir/$1.runs" 2>/dev/null | grep -c '"/x/'; }
send () { sent=$((sent + 1)); hubs_request GET $sent 3000; }
reaches () { send; [ "$(arrivals "$1")" -gt "$2" ]; }
serves () { keep_steady; send; [ "$CODE" = 200 ]; }
confirmed () { announce "$@"; [ "$CODE" = 200 ]; }
sleep_s () { read -rt "$1" <> <(:) || :; }

# Announces the servers to each control VM as they did before they left, then
# sends requests for 2 s: none may reach them.
check_late () { # WHEN
  local name i end before_left before_drained failed=0
  cluster_wait_until 10 serves || fail "$1: no request is served: $CODE"
  before_left=$(arrivals left)
  before_drained=$(arrivals drained)
  for i in 1 2 3; do
    for name in left drained; do
      announce $name 6 1000 serving $i
    done
  done
  end=$((SECONDS + 3))
  keep_steady
  while [ $SECONDS -lt $end ]; do
    send
    [ "$CODE" = 200 ] || failed=$((failed + 1))
  done
  [ "$(arrivals left)" = "$before_left" ] \
    || fail "$1: $(($(arrivals left) - before_left)) requests reached the server that left"
  [ "$(arrivals drained)" = "$before_drained" ] \
    || fail "$1: $(($(arrivals drained) - before_drained)) requests reached the server that drains"
  [ $failed -le 1 ] || fail "$1: $failed requests failed beside a sound server"
}
restart_controls () {
  local i
  for i in 1 2 3; do cluster_kill hub$i; done
  for i in 1 2 3; do hubs_run_control $i; done
}

announce left 5
announce drained 5
cluster_wait_until 10 reaches left 0 || fail "no request reached the server that leaves later"
cluster_wait_until 10 reaches drained 0 || fail "no request reached the server that drains later"
cluster_wait_until 5 confirmed left 7 1000 gone || fail "leave: $CODE"
cluster_wait_until 5 confirmed drained 7 1000 draining || fail "drain: $CODE"

restart_controls
check_late "after a restart"
restart_controls
sleep_s 0.3
restart_controls
check_late "after two restarts in a row"
cluster_kill gate
hubs_run_gate
restart_controls
check_late "after a restart with the entry VM"
for i in 1 2 3; do cluster_kill hub$i; done
rm -rf "$cluster_dir/hub2" # as many disks as --spare-disks
for i in 1 2 3; do hubs_run_control $i; done
check_late "after a restart with a lost disk"

# A later incarnation under the id of the server that left is used.
before=$(arrivals left)
announce left 1 2000
cluster_wait_until 10 reaches left "$before" || fail "a later incarnation of the server is not used"
# Its own leave counts though the control VMs hold that of the earlier one.
restart_controls
cluster_wait_until 10 serves || fail "no request is served before the second leave: $CODE"
cluster_wait_until 5 confirmed left 3 2000 gone || fail "second leave: $CODE"
sleep_s 2 # for which a server serves on after its leave
before=$(arrivals left)
announce left 2 2000
for i in 1 2 3 4 5 6 7 8 9 10; do send; done
[ "$(arrivals left)" = "$before" ] || fail "a server that left is used as its earlier incarnation had left too"
echo "$failures failures"
[ $failures -eq 0 ]

#!/usr/bin/env bash
# Guards against a budget of repeats that grows by requests which are asked for
# more than once: one whose first backend server takes no connection, and one
# that waits for a slot when its control VM ends.  Each counts once.
set -u
cd "$(dirname "$0")/../.."
source scripts/lib/hubs.sh
cluster_free_port; nobody=$PORT # a port that nobody listens on
hubs_start --instance live --slots 1 --service-time-ms 700
hubs_declare '"timeout_ms":8000,"goal_ms":6000,"attempts":3,"idempotent":true'

sequence=0
announce () { # INSTANCE PORT
  sequence=$((sequence + 1))
  hubs_announce "$(hubs_entry "$1" "$2" 1 $sequence)"
}
sent=0
ask () {
  sent=$((sent + 1))
  renew
  request $sent
}
renew () { announce live "$served"; }
request () { # NUMBER
  hubs_request GET "$1" 8000
  [ "$CODE" = 200 ]
}
counted () { # HUB...: requests that they counted, read once a second
  local sum=0 hub value
  for hub in "$@"; do
    value=$(curl -sS -m 5 "http://$net.$hub:$http/metrics" \
      | sed -n 's/^cy_hub_budget_total{service="s",what="request"} //p')
    sum=$((sum + ${value:-0}))
  done
  echo $sum
}
unsent () { grep -c '"\?event"\?[=: ]*.*attempt_failed.*sent"\?[=:]false' "$cluster_dir/gate.out"; }

# A server that takes no connection.
cluster_wait_until 10 ask || fail "first request: $CODE"
read -rt 1.2 <> <(:) || : # a control VM's counts are read once a second
sent=0
earlier=$(counted 1 2 3)
meets_it () { announce nobody "$nobody"; ask || fail "request $sent: $CODE"; [ "$(unsent)" -gt 0 ]; }
cluster_wait_until 30 meets_it || fail "no attempt met the server without a port"
read -rt 1.2 <> <(:) || :
now=$(($(counted 1 2 3) - earlier))
[ $now = $sent ] || fail "$sent requests were counted as $now"

# The control VM ends while one request runs and another one waits there.
before=$(counted 2 3)
renew
request one & first=$!
read -rt 0.2 <> <(:) || :
request two & second=$!
read -rt 0.2 <> <(:) || :
cluster_kill hub1
wait $first || fail "the request that ran"
wait $second || fail "the request that waited"
read -rt 1.2 <> <(:) || :
after=$(counted 2 3)
[ "$after" = "$before" ] \
  || fail "$((after - before)) requests of hub1 were counted again"
echo "$failures failures"
[ $failures -eq 0 ]

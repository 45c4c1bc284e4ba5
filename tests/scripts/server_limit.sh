#!/usr/bin/env bash
# Guards against more requests to a backend server than the limit that it
# reports in its answers, summed over all entry VMs: while the control VM that
# places requests changes, an entry VM restarts, and no control VM is left.
# Usage: server_limit.sh [native|platform], the dialect of the headers.
set -u
dialect=${1:-native}
cd "$(dirname "$0")/../.."
source scripts/lib/hubs.sh
source scripts/lib/arrivals.sh
hubs_gate_args=(--dialect "$dialect")
if [ "$dialect" = platform ]; then
  hubs_request_id=Cyclamenhaven-Attempt-Id
  hubs_timeout=Cyclamenhaven-Deadline-Ms
fi
limit_per_s=3
allowed=$((limit_per_s * 4 * 3 / 2 + 5))
cluster_free_port; limited_port=$PORT
cluster_free_port; odd_port=$PORT
cluster_free_port; brief_port=$PORT
gate2=$net.12:$listen

run_gate2 () {
  cluster_run gate2 "$cluster_bin/cy-gate" --vm gate2 --zone b --region r1 \
    --regions $hubs_map --listen "$gate2" --peer-port "$peer" \
    --seeds "$hubs_seeds" --secret-file "$cluster_dir/secret" \
    --dialect "$dialect"
}
start_backend () { # NAME PORT FLAGS...
  cluster_run "$1" "$cluster_bin/cy-backend" --service s --zone a \
    --host "$hubs_server" --instance "$1" --port "$2" --slots 4 \
    --dialect "$dialect" --service-time-ms 5 \
    --record "$cluster_dir/$1.runs" "${@:3}"
  cluster_wait_ready "$1" || exit 1
}

# Announces the servers given as NAME=PORT until the control VMs are gone.
sequence=0
announce_all () {
  local server number
  sequence=$((sequence + 1))
  for server in "$@"; do
    for number in 1 2 3; do
      hubs_announce "$(hubs_announcement "${server%=*}" "${server#*=}" 4 \
        $sequence)" $number 2>/dev/null
      [ "$CODE" = 200 ] && break
    done
  done
}

# send_requests MS SERVERS...: sends requests through both entry VMs, one after
# the other at each, and announces SERVERS meanwhile.
sent=0
send_requests () {
  local end=$(($(date +%s%3N) + $1)) gate
  shift
  local pids=()
  for gate in "$hubs_gate" "$gate2"; do
    while [ "$(date +%s%3N)" -lt $end ]; do
      sent=$((sent + 1))
      curl -sS -m 8 -o /dev/null -w '%{http_code}\n' "http://$gate/x/$sent" \
        -H 'Host: a.example' -H "$hubs_request_id: $gate-$RANDOM-$sent" \
        -H "$hubs_timeout: 3000" >>"$cluster_dir/codes" 2>/dev/null
    done &
    pids+=($!)
  done
  while [ "$(date +%s%3N)" -lt $end ]; do
    [ $# -gt 0 ] && announce_all $*
    read -rt 0.5 <> <(:)
  done
  wait "${pids[@]}"
}
# check_limit NAME WHEN ALLOWED: checks the arrivals since the server has had
# time to report its limit.
check_limit () {
  local start most
  start=$(arrivals_of "$cluster_dir/$1.runs" | head -n 1)
  most=$(arrivals_most "$cluster_dir/$1.runs" $((${start:-0} + 500)))
  echo "$2: at most $most requests in 4 s at $1, allowed $3"
  [ -n "$start" ] || fail "$2: no request reached $1"
  [ "$most" -le "$3" ] || fail "$2: $most requests in 4 s at $1, allowed $3"
}

hubs_start --instance steady --slots 8 --dialect "$dialect" --service-time-ms 5
run_gate2
cluster_wait_ready gate2 || exit 1
start_backend limited "$limited_port" --limit $limit_per_s.0
hubs_declare '"timeout_ms":3000,"goal_ms":2000,"attempts":3,"idempotent":true'
both="steady=$served limited=$limited_port"
announce_all $both
cluster_wait_until 10 hubs_request GET 0 3000 || fail "no request is served"

# The limit holds over both entry VMs, and while other control VMs place.
: >"$cluster_dir/codes"
reaches_limited () {
  send_requests 500 $both
  [ -s "$cluster_dir/limited.runs" ]
}
cluster_wait_until 30 reaches_limited || fail "no request reaches the server"
send_requests 5000 $both
check_limit limited "calm" $allowed
for name in gate hub1; do
  grep -q '"server_limited"' "$cluster_dir/$name.out" \
    || fail "$name: no line in the log"
done

# A limit that is no number is logged and ignored; a limit that the answers no
# longer report ends.
start_backend odd "$odd_port" --limit "3 per s"
start_backend brief "$brief_port" --limit 2 --limit-ms 4000
logged () { # FILE EVENT TEXT: true when the log has the event with the text
  grep "\"$2\"" "$cluster_dir/$1.out" | grep -q "$3"
}
limit_ends () {
  send_requests 500 "$both odd=$odd_port brief=$brief_port"
  logged hub1 server_unlimited '"instance":"brief"' \
    && logged gate server_notice_ignored '"value":"3 per s"'
}
cluster_wait_until 40 limit_ends \
  || fail "no log lines of the limit that ended and of the bad one"
logged hub1 server_limited '"instance":"brief"' || fail "brief had no limit"
logged hub1 server_limited '"instance":"odd"' && fail "odd has a limit"
check_limit limited "beside other servers" $allowed
cluster_kill odd
cluster_kill brief

cluster_kill hub1
send_requests 3000 $both
check_limit limited "another control VM places" $allowed
cluster_kill gate
hubs_run_gate
cluster_wait_ready gate || fail "the entry VM does not start again"
send_requests 3000 $both
check_limit limited "an entry VM restarted" $allowed
cluster_kill hub2
cluster_kill hub3
send_requests 5000
check_limit limited "no control VM" $allowed
served_count=$(grep -c '^200' "$cluster_dir/codes")
total=$(grep -c . "$cluster_dir/codes")
echo "$served_count of $total requests served"
[ $((served_count * 100)) -ge $((total * 90)) ] \
  || fail "$served_count of $total requests served beside a sound server"
echo "$failures failures"
[ $failures -eq 0 ]

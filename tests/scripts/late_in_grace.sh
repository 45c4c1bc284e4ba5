#!/usr/bin/env bash
# Guards against a planned stop of an entry VM that cuts requests: one that came
# early and runs longer than a fixed time, though the grace time lasts, and one
# that came late on an open connection and was passed on though it could not end
# in time.  The late one must not run.
set -u
cd "$(dirname "$0")/../.."
source scripts/lib/hubs.sh
hubs_gate_args=(--grace 10s)
hubs_start --instance steady --slots 8 --record "$cluster_dir/runs"
hubs_declare '"timeout_ms":20000,"goal_ms":9000,"attempts":1,"idempotent":false'
hubs_announce "$(hubs_announcement steady "$served" 8 1)"
ready () { hubs_request GET 0 3000; [ "$CODE" = 200 ]; }
cluster_wait_until 10 ready || fail "no request is served: $CODE"

# send FD PATH: sends a request on an open connection.
send () {
  printf 'POST /x/%s HTTP/1.1\r\nHost: a.example\r\nCy-Request-Id: %s\r\nCy-Timeout-Ms: 15000\r\nContent-Length: 0\r\n\r\n' \
    "$2" "${2%%\?*}" >&"$1"
}
# status FD: prints the status of the next answer, "cut" if none comes.
status () {
  local line
  IFS=$' \r' read -rt 12 -u "$1" _ line _ && echo "$line" || echo cut
}
exec {late}<>"/dev/tcp/${hubs_gate%:*}/$listen"
exec {long}<>"/dev/tcp/${hubs_gate%:*}/$listen"
kill "${cluster_pid[gate]}"
read -rt 0.5 <> <(:) || :
send "$long" 'long?work=7000'
read -rt 3 <> <(:) || :
send "$late" 'late?work=9000'
late_status=$(status "$late")
long_status=$(status "$long")
[ "$long_status" = 200 ] || fail "the request of the first second: $long_status"
[ "$late_status" = 503 ] || fail "the late request: $late_status"
! grep -q '/x/late' "$cluster_dir/runs" || fail "the late request ran"
echo "$failures failures"
[ $failures -eq 0 ]

#!/usr/bin/env bash
# Guards against invalid announcements that crash control VMs or displace a
# valid backend server: deeply nested, with numbers or texts out of range, or
# with times in the far future.
set -u
cd "$(dirname "$0")/../.."
source scripts/lib/hubs.sh
hubs_start --instance live --slots 2
hubs_declare '"timeout_ms":2000,"goal_ms":500,"attempts":2,"idempotent":true'

sequence=0
send_request () {
  sequence=$((sequence + 1))
  hubs_announce "$(hubs_announcement live "$served" 2 $sequence)"
  hubs_request GET 1 2000
  [ "$CODE" = 200 ]
}
cluster_wait_until 10 send_request || fail "first request: $CODE"

# expect_refused NAME BODY: BODY must be refused and the valid server must stay
# in use.
expect_refused () {
  hubs_announce "$2"
  [ "$CODE" = 400 ] || fail "$1: $CODE"
  read -rt 0.3 <> <(:) || : # time for the control VMs to exchange announcements
  send_request || fail "after $1: $CODE"
}
nested () { printf '[%.0s' $(seq "$1"); printf ']%.0s' $(seq "$1"); }
int64_max=9223372036854775807
expect_refused "nested 1000 times" "{\"instance\":$(nested 1000)}"
expect_refused "nested 100000 times" "{\"instance\":$(nested 100000)}"
expect_refused "no JSON" $'\377\376{'
expect_refused "a number of 400 digits" "$(hubs_announcement odd 1 2 "$(printf '9%.0s' $(seq 400))")"
expect_refused "a real number out of range" "$(hubs_announcement odd 1 2 1e999)"
expect_refused "port 0" "$(hubs_announcement odd 0 2 1)"
expect_refused "port 65536" "$(hubs_announcement odd 65536 2 1)"
expect_refused "port -1" "$(hubs_announcement odd -1 2 1)"
expect_refused "more slots than all servers may have" "$(hubs_announcement odd 1 $int64_max 1)"
expect_refused "the server's name, started in the far future" "$(hubs_announcement live 1 2 1 $int64_max)"
expect_refused "the server's address, started in the far future" "$(hubs_announcement odd "$served" 2 1 $int64_max)"
expect_refused "the server's next announcement, with the largest sequence number" \
  "$(hubs_announcement live "$served" 2 $int64_max)"
expect_refused "a line end in the name" "$(hubs_announcement 'odd\r\nX: y' 1 2 1)"
for name in hub1 hub2 hub3 gate; do
  kill -0 "${cluster_pid[$name]}" || fail "$name has ended"
done
echo "$failures failures"
[ $failures -eq 0 ]

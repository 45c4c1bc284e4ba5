#!/usr/bin/env bash
# Guards against one odd entry of another writer that ends control VMs or keeps a
# sound backend server from being used: nested deeply, with numbers or texts out
# of range, or later than any clock.
set -u
cd "$(dirname "$0")/../.."
source scripts/lib/hubs.sh
hubs_start --instance live --slots 2
hubs_declare '"timeout_ms":2000,"goal_ms":500,"attempts":2,"idempotent":true'

sequence=0
ask () {
  sequence=$((sequence + 1))
  hubs_announce "$(hubs_entry live "$served" 2 $sequence)"
  hubs_request GET 1 2000
  [ "$CODE" = 200 ]
}
cluster_wait_until 10 ask || fail "first request: $CODE"

# odd NAME BODY: is refused, and the server is used as before.
odd () {
  hubs_announce "$2"
  [ "$CODE" = 400 ] || fail "$1: $CODE"
  read -rt 0.3 <> <(:) || : # until the control VMs have told each other
  ask || fail "after $1: $CODE"
}
nested () { printf '[%.0s' $(seq "$1"); printf ']%.0s' $(seq "$1"); }
most=9223372036854775807
odd "nested 1000 times" "{\"instance\":$(nested 1000)}"
odd "nested 100000 times" "{\"instance\":$(nested 100000)}"
odd "no JSON" $'\377\376{'
odd "a number of 400 digits" "$(hubs_entry odd 1 2 "$(printf '9%.0s' $(seq 400))")"
odd "a real number without end" "$(hubs_entry odd 1 2 1e999)"
odd "port 0" "$(hubs_entry odd 0 2 1)"
odd "port 65536" "$(hubs_entry odd 65536 2 1)"
odd "port -1" "$(hubs_entry odd -1 2 1)"
odd "slots beyond all servers" "$(hubs_entry odd 1 $most 1)"
odd "the server's name, later than any clock" "$(hubs_entry live 1 2 1 $most)"
odd "the server's address, later than any clock" "$(hubs_entry odd "$served" 2 1 $most)"
odd "the server's next word, at the end of counting" \
  "$(hubs_entry live "$served" 2 $most)"
odd "a line end in the name" "$(hubs_entry 'odd\r\nX: y' 1 2 1)"
for name in hub1 hub2 hub3 gate; do
  kill -0 "${cluster_pid[$name]}" || fail "$name has ended"
done
echo "$failures failures"
[ $failures -eq 0 ]

#!/usr/bin/env bash
# Guards against one odd entry of another writer that ends control VMs or keeps a
# sound backend server from being used: nested deeply, with numbers or texts out
# of range, or later than any clock.
set -u
cd "$(dirname "$0")/../.."
source scripts/lib/cluster.sh
trap 'cluster_stop; rm -rf "$cluster_dir"' EXIT
cluster_secrets
net=127.$((RANDOM % 200 + 20)).$((RANDOM % 250))
regions=a=r1,b=r1,c=r2
for name in peer http listen served; do
  cluster_free_port; declare "$name=$PORT"
done
seeds=$net.1:$http,$net.2:$http,$net.3:$http
failures=0

fail () { echo "FAILED: $*"; failures=$((failures + 1)); }

mkdir "$cluster_dir"/hub{1,2,3}
for i in 1 2 3; do
  zone=$(tr 123 abc <<<$i)
  region=$(tr 123 112 <<<$i)
  cluster_run "hub$i" "$cluster_bin/cy-hub" --vm "hub$i" --zone "$zone" \
    --region "r$region" --regions $regions --host "$net.$i" --port "$peer" \
    --control "$net.$i:$http" --seeds "$seeds" --found true \
    --data "$cluster_dir/hub$i" --spare-disks 1 \
    --secret-file "$cluster_dir/secret"
done
cluster_run gate "$cluster_bin/cy-gate" --vm gate --zone a --region r1 \
  --regions $regions --listen "$net.11:$listen" --peer-port "$peer" \
  --seeds "$seeds" --secret-file "$cluster_dir/secret"
cluster_run backend "$cluster_bin/cy-backend" --service s --instance live \
  --zone a --host "$net.30" --port "$served" --slots 2
cluster_wait_ready hub1 hub2 hub3 gate backend || exit 1

# call METHOD URL [CURL ARGS...]: sets CODE.
call () {
  local method=$1 url=$2
  shift 2
  CODE=$(curl -sS -m 8 -X "$method" -o /dev/null -w '%{http_code}' "$@" "$url")
}

cat >"$cluster_dir/document.json" <<'DOCUMENT'
{"number":1,"services":{"s":{"connections":100}},
 "routes":{"r1":{"host":"a.example","prefix":"/x/","timeout_ms":2000,
  "goal_ms":500,"rank":1,"attempts":2,"idempotent":true,"open":true,
  "backends":[{"service":"s","weight":1}]}}}
DOCUMENT
declared () {
  call PUT "http://$net.1:$http/v1/declaration" -L \
    --data-binary "@$cluster_dir/document.json"
  [ "$CODE" = 200 ]
}
cluster_wait_until 10 declared || fail "declaration: $CODE"

sequence=0
entry () { # INSTANCE PORT BORN SEQUENCE [SLOTS]
  echo "{\"instance\":\"$1\",\"service\":\"s\",\"zone\":\"a\",\"host\":\"$net.30\",
    \"port\":$2,\"slots\":${5:-2},\"born_unix_ms\":$3,\"sequence\":$4,
    \"state\":\"serving\"}"
}
announce () { # BODY
  printf '%s' "$1" >"$cluster_dir/entry.json"
  call POST "http://$net.2:$http/v1/announce" \
    --data-binary "@$cluster_dir/entry.json"
}
ask () {
  sequence=$((sequence + 1))
  announce "$(entry live "$served" 1000 $sequence)"
  call GET "http://$net.11:$listen/x/1" -H 'Host: a.example' \
    -H 'Cy-Request-Id: request-1' -H 'Cy-Timeout-Ms: 2000'
  [ "$CODE" = 200 ]
}
cluster_wait_until 10 ask || fail "first request: $CODE"

# odd NAME BODY: is refused, and the server is used as before.
odd () {
  announce "$2"
  [ "$CODE" = 400 ] || fail "$1: $CODE"
  read -rt 0.3 <> <(:) || : # until the control VMs have told each other
  ask || fail "after $1: $CODE"
}
nested () { printf '[%.0s' $(seq "$1"); printf ']%.0s' $(seq "$1"); }
most=9223372036854775807
odd "nested 1000 times" "{\"instance\":$(nested 1000)}"
odd "nested 100000 times" "{\"instance\":$(nested 100000)}"
odd "no JSON" $'\377\376{'
odd "a number of 400 digits" "$(entry odd 1 1000 "$(printf '9%.0s' $(seq 400))")"
odd "a real number without end" "$(entry odd 1 1000 1e999)"
odd "port 0" "$(entry odd 0 1000 1)"
odd "port 65536" "$(entry odd 65536 1000 1)"
odd "port -1" "$(entry odd -1 1000 1)"
odd "slots beyond all servers" "$(entry odd 1 1000 1 $most)"
odd "the server's name, later than any clock" "$(entry live 1 $most 1)"
odd "the server's address, later than any clock" "$(entry odd "$served" $most 1)"
odd "the server's next word, at the end of counting" \
  "$(entry live "$served" 1000 $most)"
odd "a line end in the name" "$(entry 'odd\r\nX: y' 1 1000 1)"
for name in hub1 hub2 hub3 gate; do
  kill -0 "${cluster_pid[$name]}" || fail "$name has ended"
done
echo "$failures failures"
[ $failures -eq 0 ]

#!/usr/bin/env bash
# Guards against a request that ends one backend server after the other: three
# regions, each with a control VM, an entry VM and backend servers, and a path
# that ends each server that runs it.
set -u
cd "$(dirname "$0")/../.."
source scripts/lib/cluster.sh
trap 'cluster_stop; rm -rf "$cluster_dir"' EXIT
cluster_secrets
net=127.$((RANDOM % 200 + 20)).$((RANDOM % 250))
regions=a=r1,b=r2,c=r3
zones=(- a b c)
servers_per_region=3
ended_max=4 # two show it, and one more of each other region may run it then
cluster_free_port; peer=$PORT
cluster_free_port; http=$PORT
cluster_free_port; listen=$PORT
cluster_free_port; served=$PORT
seeds=$net.1:$http,$net.2:$http,$net.3:$http
failures=0

fail () { echo "FAILED: $*"; failures=$((failures + 1)); }

mkdir "$cluster_dir"/hub{1,2,3}
names=()
for r in 1 2 3; do
  cluster_run "hub$r" "$cluster_bin/cy-hub" --vm "hub$r" \
    --zone "${zones[r]}" --region "r$r" --regions $regions \
    --host "$net.$r" --port "$peer" --control "$net.$r:$http" \
    --seeds "$seeds" --found true --data "$cluster_dir/hub$r" \
    --spare-disks 1 --secret-file "$cluster_dir/secret"
  cluster_run "gate$r" "$cluster_bin/cy-gate" --vm "gate$r" \
    --zone "${zones[r]}" --region "r$r" --regions $regions \
    --listen "$net.1$r:$listen" --peer-port "$peer" --seeds "$seeds" \
    --secret-file "$cluster_dir/secret"
  names+=("hub$r" "gate$r")
  for i in $(seq $servers_per_region); do
    cluster_run "i$r$i" "$cluster_bin/cy-backend" --service s \
      --instance "i$r$i" --zone "${zones[r]}" --host "$net.1$r$i" \
      --port "$served" --slots 4 --service-time-ms 20 \
      --poison-path /x/poison --record "$cluster_dir/i$r$i.runs"
    names+=("i$r$i")
  done
done
cluster_wait_ready "${names[@]}" || exit 1

# call METHOD URL [CURL ARGS...]: sets CODE to the HTTP status, and BODY.
call () {
  local method=$1 url=$2
  shift 2
  BODY=$(curl -sS -m 5 -X "$method" -w '\n%{http_code}' "$@" "$url" 2>&1)
  CODE=${BODY##*$'\n'}
  BODY=${BODY%$'\n'*}
}

cat >"$cluster_dir/document.json" <<DOCUMENT
{"number":1,"services":{"s":{"connections":100}},
 "routes":{"r":{"host":"a.example","prefix":"/x/","timeout_ms":2000,
  "goal_ms":1000,"rank":1,"attempts":2,"idempotent":true,"open":true,
  "backends":[{"service":"s","weight":1}]}},
 "workspaces":{}}
DOCUMENT
declaration_accepted () {
  call PUT "http://$net.1:$http/v1/declaration" -L \
    --data-binary "@$cluster_dir/document.json"
  [ "$CODE" = 200 ]
}
cluster_wait_until 10 declaration_accepted || fail "declaration: $CODE $BODY"

sequence=0
announce () { # all servers that run
  local r i
  sequence=$((sequence + 1))
  for r in 1 2 3; do
    for i in $(seq $servers_per_region); do
      runs "i$r$i" || continue
      curl -sS -o /dev/null -m 5 "http://$net.$r:$http/v1/announce" --data \
        "{\"instance\":\"i$r$i\",\"service\":\"s\",\"zone\":\"${zones[r]}\",
          \"host\":\"$net.1$r$i\",\"port\":$served,\"slots\":4,
          \"born_unix_ms\":1000,\"sequence\":$sequence,\"state\":\"serving\"}"
    done
  done
}
runs () { curl -sS -o /dev/null -m 1 "http://$net.1${1:1}:$served/health" 2>/dev/null; }
count_ended () {
  local r i
  ended=0
  for r in 1 2 3; do
    for i in $(seq $servers_per_region); do
      runs "i$r$i" || ended=$((ended + 1))
    done
  done
}
request () { # REGION ID PATH
  call GET "http://$net.1$1:$listen$3" -H 'Host: a.example' \
    -H "Cy-Request-Id: $2"
}
region_serves () { announce; request "$1" "first$1" /x/hello; [ "$CODE" = 200 ]; }
for r in 1 2 3; do
  cluster_wait_until 10 region_serves $r || fail "region $r: $CODE $BODY"
done

# Callers of all regions send the request again and again.
unknown=0 # answers after which it may have run
refused=0 # with the promise that it has not run
other=0
for n in $(seq 10); do
  for r in 1 2 3; do
    request $r "poison$n$r" /x/poison
    case $CODE in
      502) unknown=$((unknown + 1)) ;;
      503) refused=$((refused + 1)) ;;
      *) other=$((other + 1)) ;;
    esac
  done
  [ $((n % 3)) = 0 ] && announce
done
count_ended
echo "$ended servers ended; of 30 requests $unknown were answered 502 and" \
  "$refused 503"
[ $ended -ge 2 ] || fail "no server ended under the request"
[ $ended -le $ended_max ] || fail "$ended servers ended under one request"
[ $unknown -le $ended_max ] || fail "$unknown requests answered 502"
[ $other = 0 ] || fail "$other requests were answered otherwise"
request 1 late /x/poison
grep -q '"name":"CY_E_POISON_REQUEST".*"outcome":"not-run"' <<<"$BODY" \
  || fail "refusal: $CODE $BODY"
grep -q '"retry_after_ms":' <<<"$BODY" || fail "no time to come back: $BODY"
grep -q '"event":"poison_blocked"\|event="poison_blocked"' "$cluster_dir"/hub?.out \
  || fail "no line in the log"

# A control VM that starts without memory knows it from the others.
cluster_kill hub1
cluster_run hub1 "$cluster_bin/cy-hub" --vm hub1 --zone a --region r1 \
  --regions $regions --host "$net.1" --port "$peer" \
  --control "$net.1:$http" --seeds "$seeds" --found true \
  --data "$cluster_dir/hub1" --spare-disks 1 \
  --secret-file "$cluster_dir/secret"
cluster_wait_ready hub1
before=$ended
served_again=0
for n in $(seq 20); do
  announce
  request 1 "again$n" /x/hello
  [ "$CODE" = 200 ] && served_again=$((served_again + 1))
  [ $n -gt 5 ] || continue
  request 1 "poison-again$n" /x/poison
  [ "$CODE" = 503 ] || fail "the request after the restart: $CODE $BODY"
done
count_ended
[ "$ended" = "$before" ] || fail "$ended servers ended, $before before the restart"
[ $served_again -ge 15 ] || fail "$served_again of 20 others were answered"
echo "$failures failures"
[ $failures -eq 0 ]

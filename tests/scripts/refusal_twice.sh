#!/usr/bin/env bash
# Guards against callers that are told "not run, try again" for a request that
# runs: a backend server writes its refusal of a request once more on the kept
# connection, where the answer to the next attempt is due.
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
    --repeat-window 1s --repeat-ratio 1.0 --repeat-fixed 300 \
    --secret-file "$cluster_dir/secret"
done
cluster_run gate "$cluster_bin/cy-gate" --vm gate --zone a --region r1 \
  --regions $regions --listen "$net.11:$listen" --peer-port "$peer" \
  --seeds "$seeds" --secret-file "$cluster_dir/secret"
cluster_run backend "$cluster_bin/cy-backend" --service s --instance twice \
  --zone a --host "$net.30" --port "$served" --slots 2 --service-time-ms 50 --fault refusal-twice \
  --record "$cluster_dir/runs"
cluster_wait_ready hub1 hub2 hub3 gate backend || exit 1

# call METHOD URL [CURL ARGS...]: sets CODE.
call () {
  local method=$1 url=$2
  shift 2
  CODE=$(curl -sS -m 8 -X "$method" -o /dev/null -w '%{http_code}' "$@" "$url")
}

cat >"$cluster_dir/document.json" <<'DOCUMENT'
{"number":1,"services":{"s":{"connections":100}},
 "routes":{"r1":{"host":"a.example","prefix":"/x/","timeout_ms":3000,
  "goal_ms":2000,"rank":1,"attempts":2,"idempotent":false,"open":true,
  "backends":[{"service":"s","weight":1}]}}}
DOCUMENT
declared () {
  call PUT "http://$net.1:$http/v1/declaration" -L \
    --data-binary "@$cluster_dir/document.json"
  [ "$CODE" = 200 ]
}
cluster_wait_until 10 declared || fail "declaration: $CODE"

sequence=0
renew () {
  sequence=$((sequence + 1))
  call POST "http://$net.2:$http/v1/announce" --data \
    "{\"instance\":\"twice\",\"service\":\"s\",\"zone\":\"a\",\"host\":\"$net.30\",
      \"port\":$served,\"slots\":2,\"born_unix_ms\":1000,\"sequence\":$sequence,
      \"state\":\"serving\"}"
}
sent=0
ask () {
  renew
  sent=$((sent + 1))
  call POST "http://$net.11:$listen/x/$sent" -H 'Host: a.example' \
    -H "Cy-Request-Id: request-$sent" -H 'Cy-Timeout-Ms: 3000' -d confirm
}
runs () { grep -c "\"/x/$1\"" "$cluster_dir/runs"; }
refused_by_server () {
  ask
  grep -q 'attempt_failed.*not_run"\?[=:]true' "$cluster_dir/gate.out"
}

# Until a refusal was seen and the budget of repeats has listened for a window.
cluster_wait_until 10 refused_by_server || fail "the server refused nothing"
read -rt 1.5 <> <(:) || :
false_refusals=0
twice=0
for _ in $(seq 40); do
  ask
  ran=$(runs "$sent")
  [ "$ran" -gt 1 ] && twice=$((twice + 1))
  case $CODE in
    503 | 429) [ "$ran" -gt 0 ] && false_refusals=$((false_refusals + 1)) ;;
  esac
done
[ $false_refusals = 0 ] || fail "$false_refusals of 40 requests ran and were refused"
[ $twice = 0 ] || fail "$twice of 40 requests ran twice"
echo "$failures failures"
[ $failures -eq 0 ]

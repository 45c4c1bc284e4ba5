#!/usr/bin/env bash
# Guards against a large declaration that holds up the leader's heartbeats on a
# link between regions until a new election, so that declarations and drained
# zones wait for seconds: in the log it is small enough to pass in less than the
# election timeout.
set -u
cd "$(dirname "$0")/../.."
source scripts/lib/hubs.sh
routes=1700
# A window of 64 KB for each round trip of 110 ms between regions passes 290 KB
# in the election timeout of 500 ms.
append_bytes_max=290000
hubs_start --instance steady --slots 4

{
  echo '{"number":7,"services":{"s":{"connections":100}},"routes":{'
  for ((i = 0; i < routes; i++)); do
    [ $i = 0 ] || echo ,
    printf '"route-%d-of-the-large-declaration":{"host":"shop-%d.example","prefix":"/x/%d/","rank":1,"open":true,"timeout_ms":3000,"goal_ms":2000,"attempts":3,"idempotent":true,"backends":[{"service":"s","weight":1}]}' \
      $i $((i % 40)) $i
  done
  echo '}}'
} >"$cluster_dir/document.json"
text_bytes=$(wc -c <"$cluster_dir/document.json")

# Bytes of the log that all control VMs have sent to others.
log_bytes () {
  local i
  for i in 1 2 3; do curl -s "http://$net.$i:$http/metrics"; done \
    | awk '/^cy_net_sent_bytes_total.*raft/ { s += $NF } END { printf "%.0f\n", s }'
}
cluster_wait_until 10 hubs_put_declaration || fail "declaration: $CODE"
before=$(log_bytes)
sed -i 's/"number":7/"number":8/' "$cluster_dir/document.json"
cluster_wait_until 10 hubs_put_declaration || fail "second declaration: $CODE"
read -rt 1 <> <(:) || : # until both followers have it
sent=$(($(log_bytes) - before))
[ "$text_bytes" -gt $append_bytes_max ] || fail "declaration of $text_bytes bytes is not large"
[ $sent -le $((2 * append_bytes_max)) ] \
  || fail "$sent bytes for a declaration of $text_bytes bytes to 2 followers"

# It is read back in full, also after a restart from the log.
is_read_back () {
  curl -s -L "http://$net.1:$http/v1/declaration" >"$cluster_dir/read.json"
  grep -q '"number": *8' "$cluster_dir/read.json" \
    && [ "$(grep -o 'route-[0-9]*-of-the-large' "$cluster_dir/read.json" | sort -u | wc -l)" = $routes ]
}
cluster_wait_until 10 is_read_back || fail "the declaration is not read back"
for i in 1 2 3; do cluster_kill hub$i; done
for i in 1 2 3; do hubs_run_control $i; done
cluster_wait_until 10 is_read_back || fail "the declaration is not read back after a restart"
echo "$failures failures"
[ $failures -eq 0 ]

#!/usr/bin/env bash
# Guards against a server that is used again after its leave when the leave
# names no start time and reaches control VMs that have restarted and do not
# know the server yet: a late announcement passed for a later incarnation.
set -u
cd "$(dirname "$0")/../.."
source scripts/lib/hubs.sh
hubs_args=(--dialect platform)
hubs_gate_args=(--dialect platform)
hubs_request_id=Cyclamenhaven-Attempt-Id
hubs_timeout=Cyclamenhaven-Deadline-Ms
cluster_free_port; left_port=$PORT
hubs_start --instance steady --slots 4 --dialect platform
cluster_run left "$cluster_bin/cy-backend" --service s --zone a \
  --host "$hubs_server" --instance left --port "$left_port" --slots 4 \
  --dialect platform --record "$cluster_dir/left.runs"
cluster_wait_ready left || exit 1

# rpc CALL [BODY]: makes a call at control VM 2.
rpc () {
  printf '%s' "${2:-}" >"$cluster_dir/call.json"
  call POST "http://$net.2:$http/rpc?call=$1" -L \
    --data-binary "@$cluster_dir/call.json"
}
heartbeat () { # ID PORT SEQUENCE START_MS
  rpc "instances.heartbeat&of=$1" "{\"addr\":\"$hubs_server:$2\",\"born\":$4,
    \"info\":{\"service\":\"s\",\"version\":\"v1\",\"zone\":\"a\",\"slots\":4},
    \"status\":{\"state\":\"ready\",\"seq\":$3,\"warmupLeft\":\"0ms\"}}"
}
declare_route () {
  rpc config.replace '{"version":"r1","routes":{"columns":["name","host",
    "prefix","kind","timeout","latencyGoal","priority","backends",
    "maxAttempts","public","sticky","homeRegions","service"],"rows":[["x",
    "a.example","/x/","idempotent","3000ms","2000ms",1,null,3,true,false,[],
    "s"]]},"services":{"columns":["name","healthPath","maxConns","protocol",
    "tls","warmup","warmupPerS"],"rows":[["s","/health",100,"h1",false,"0ms",
    10.0]]},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,
    "headerTimeout":"3000ms","idleTimeout":"15000ms"}}'
  [ "$CODE" = 200 ]
}

sent=0
steady=0
start=$(($(date +%s%3N) - 60000))
send () { sent=$((sent + 1)); hubs_request GET $sent 3000; }
arrivals () { cat "$cluster_dir/left.runs" 2>/dev/null | grep -c '"/x/'; }
reaches () { send; [ "$(arrivals)" -gt "$1" ]; }
serves () {
  steady=$((steady + 1))
  heartbeat steady "$served" $steady "$start"
  send
  [ "$CODE" = 200 ]
}
leaves () { rpc 'instances.leave&of=left'; [ "$CODE" = 200 ]; }
restart_controls () {
  local i
  for i in 1 2 3; do cluster_kill hub$i; done
  for i in 1 2 3; do hubs_run_control $i; done
  cluster_wait_until 10 serves || fail "no request is served: $CODE"
}

# The server leaves; its announcement SEQUENCE of before arrives late.
check_leave () { # SEQUENCE START_MS WHEN
  local before end
  cluster_wait_until 5 leaves || fail "$3: leave: $CODE"
  read -rt 2 <> <(:) || : # for which a server serves on after its leave
  before=$(arrivals)
  heartbeat left "$left_port" "$1" "$2"
  end=$((SECONDS + 3))
  while [ $SECONDS -lt $end ]; do send; done
  [ "$(arrivals)" = "$before" ] \
    || fail "$3: $(($(arrivals) - before)) requests reached the server that left"
}

cluster_wait_until 10 declare_route || fail "declaration: $CODE"
heartbeat left "$left_port" 5 "$start"
cluster_wait_until 10 reaches 0 || fail "no request reached the server that leaves later"
restart_controls
check_leave 6 "$start" "after a restart"

# A later incarnation under the same id is used, until its own leave.
start_again=$(date +%s%3N)
heartbeat left "$left_port" 1 "$start_again"
before=$(arrivals)
cluster_wait_until 10 reaches "$before" || fail "a later incarnation of the server is not used"
restart_controls
check_leave 2 "$start_again" "after a restart that remembers the earlier leave"
echo "$failures failures"
[ $failures -eq 0 ]

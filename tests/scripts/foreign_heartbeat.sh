#!/usr/bin/env bash
# Guards against heartbeats of other writers that take a backend server out of
# service: with a field missing, of another type or too long, of a service or
# state that is not named, at the address of the server or under its id.  Of two
# real servers that have one address in turn the one that answers is used.
set -u
cd "$(dirname "$0")/../.."
source scripts/lib/hubs.sh
hubs_args=(--dialect platform)
hubs_gate_args=(--dialect platform)
address=$hubs_server:$served      # of the server holder, and of heir later
other=$net.31:$served
late=$net.32:$served
contact_ms=4000                   # until the server that is there is used
beats=$cluster_dir/beats          # one file a server that reports
mkdir -p "$beats"

now_ms () { date +%s%3N; }
sleep_s () { read -rt "$1" <> <(:) || :; }

# configuration VERSION SERVICE=PATH...: declares the services with a route each.
configuration () {
  local version=$1 pair routes= services= limits
  shift
  for pair in "$@"; do
    routes+="${routes:+,}[\"${pair#*=}\",\"a.example\",\"/${pair#*=}/\",\"idempotent\",\"2000ms\",\"900ms\",1,null,2,true,false,[],\"${pair%=*}\"]"
    services+="${services:+,}[\"${pair%=*}\",\"/health\",100,\"h1\",false,\"0ms\",16.0]"
  done
  limits='"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeout":"3s","idleTimeout":"15s"'
  cat >"$cluster_dir/document.json" <<DOCUMENT
{"version":"r$version","routes":{"columns":["name","host","prefix","kind",
"timeout","latencyGoal","priority","backends","maxAttempts","public","sticky",
"homeRegions","service"],"rows":[$routes]},
"services":{"columns":["name","healthPath","maxConns","protocol","tls",
"warmup","warmupPerS"],"rows":[$services]},"limits":{$limits}}
DOCUMENT
}
declared () {
  call POST "http://$net.1:$http/rpc?call=config.replace" -L \
    --data-binary "@$cluster_dir/document.json"
  [ "$CODE" = 200 ]
}

# heartbeat SERVICE ADDRESS SEQUENCE [BORN]: prints one.
heartbeat () {
  echo "{\"addr\":\"$2\",\"born\":${4:-$(now_ms)},\"info\":{\"service\":\"$1\",
\"version\":\"v1\",\"zone\":\"a\",\"slots\":4},\"status\":{\"state\":\"ready\",
\"seq\":$3,\"warmupLeft\":\"0ms\"}}"
}
# send_heartbeat ID BODY [NUMBER]: sets CODE.
send_heartbeat () {
  printf '%s' "$2" >"$cluster_dir/beat.json"
  call POST "http://$net.${3:-2}:$http/rpc?call=instances.heartbeat&of=$1" \
    --data-binary "@$cluster_dir/beat.json"
}

# Sends the heartbeats of all servers in $beats twice a second, in turn to each
# control VM.  A file holds SERVICE ADDRESS BORN; its name is the id.
report_all () {
  local sequence=0 file service at born
  while [ -d "$beats" ]; do
    sequence=$((sequence + 1))
    for file in "$beats"/*; do
      read -r service at born 2>/dev/null <"$file" || continue
      heartbeat "$service" "$at" $sequence "$born" | curl -sS -m 1 -o /dev/null \
        "http://$net.$((sequence % 3 + 1)):$http/rpc?call=instances.heartbeat&of=${file##*/}" \
        --data-binary @- 2>/dev/null
    done
    sleep_s 0.5
  done
}
report () { echo "$2 $3 $(now_ms)" >"$beats/$1"; } # ID SERVICE ADDRESS
report_no_more () { rm -f "$beats/$1"; }

start_server () { # ID SERVICE ADDRESS
  cluster_run "$1" "$cluster_bin/cy-backend" --service "$2" --zone a \
    --host "${3%:*}" --port "${3#*:}" --instance "$1" --slots 4 \
    --dialect platform --record "$cluster_dir/$1.runs"
  cluster_wait_ready "$1" || exit 1
  : >"$cluster_dir/$1.out"
}

# ask PATH: sends a request; sets CODE, and SERVER to the server that answered.
asked=0
ask () {
  asked=$((asked + 1))
  CODE=$(curl -sS -m 4 -o "$cluster_dir/answer" -w '%{http_code}' \
    "http://$hubs_gate/$1/$asked" -H 'Host: a.example' \
    -H "Cyclamenhaven-Attempt-Id: ask-$asked" \
    -H 'Cyclamenhaven-Deadline-Ms: 1500' 2>/dev/null)
  SERVER=$(sed -n 's/.* instance=\([^ ]*\) .*/\1/p' "$cluster_dir/answer")
}
is_served () { ask "$1"; [ "$CODE" = 200 ] && [ "$SERVER" = "$2" ]; }

# check_served MS WHEN PATH=SERVER...: asks for all paths in turn for MS; at
# most one request of a path may be answered otherwise.
check_served () {
  local end=$(($(now_ms) + $1)) when=$2 pair
  local -A missed
  shift 2
  while [ "$(now_ms)" -lt $end ]; do
    for pair in "$@"; do
      is_served "${pair%=*}" "${pair#*=}" \
        || missed[$pair]=$((${missed[$pair]:-0} + 1))
    done
    sleep_s 0.02
  done
  for pair in "${!missed[@]}"; do
    [ "${missed[$pair]}" -le 1 ] \
      || fail "$when: ${missed[$pair]} requests not answered as $pair"
  done
}

hubs_start --instance holder --slots 4 --dialect platform \
  --record "$cluster_dir/holder.runs"
start_server other t "$other"
configuration 1 s=x t=y
cluster_wait_until 15 declared || fail "configuration: $CODE"
report holder s "$address"
report other t "$other"
report_all &
cluster_pid[reports]=$!
cluster_wait_until 10 is_served x holder || fail "no request is served: $CODE"
cluster_wait_until 10 is_served y other || fail "no request is served: $CODE"

# expect CODE NAME ID BODY: the heartbeat is sent to two control VMs and
# answered with CODE, and both servers stay in use.
expect () {
  local number
  for number in 2 3; do
    send_heartbeat "$3" "$4" $number
    [ "$CODE" = "$1" ] || fail "$2: answered $CODE, not $1"
  done
  check_served 400 "$2" x=holder y=other
}
sound=$(heartbeat t "$address" 1)
long=$(printf 'x%.0s' $(seq 101))
# broken NAME PATTERN REPLACEMENT: a heartbeat with a field that is not sound.
broken () { expect 400 "$1" agent-1 "$(sed -z "s/$2/$3/" <<<"$sound")"; }
broken "no address" '"addr":"[^"]*",' ''
broken "an address without a port" '"addr":"[^"]*"' "\"addr\":\"$hubs_server\""
broken "an address that is a number" '"addr":"[^"]*"' '"addr":7'
broken "an address that is a name" '"addr":"[^"]*"' '"addr":"host.example:80"'
broken "no start" '"born":[0-9]*,' ''
broken "a start that is a text" '"born":[0-9]*' '"born":"1"'
broken "a start that is a fraction" '"born":[0-9]*' '"born":1.5'
broken "a start in the far future" '"born":[0-9]*' '"born":9007199254740991'
broken "no info" '"info":{[^}]*},' ''
broken "an info that is a list" '"info":{[^}]*}' '"info":[]'
broken "no service" '"service":"t",' ''
broken "a service that is a number" '"service":"t"' '"service":1'
broken "a service without a name" '"service":"t"' '"service":""'
broken "a service that is too long" '"service":"t"' "\"service\":\"$long\""
broken "no version" '"version":"v1",' ''
broken "a version that is null" '"version":"v1"' '"version":null'
broken "no zone" '"zone":"a",' ''
broken "a zone that is not known" '"zone":"a"' '"zone":"q"'
broken "a zone that is too long" '"zone":"a"' "\"zone\":\"$long\""
broken "no slots" ',"slots":4' ''
broken "slots that are a text" '"slots":4' '"slots":"4"'
broken "slots below 0" '"slots":4' '"slots":-1'
broken "no status" ',"status":{[^}]*}' ''
broken "no state" '"state":"ready",' ''
broken "a state that is not known" '"state":"ready"' '"state":"gone"'
broken "a state that is a number" '"state":"ready"' '"state":1'
broken "no sequence number" '"seq":1,' ''
broken "a sequence number that is a text" '"seq":1' '"seq":"1"'
broken "a sequence number out of range" '"seq":1' '"seq":9223372036854775807'
broken "no time to warm up" ',"warmupLeft":"0ms"' ''
broken "a time to warm up that is a number" '"warmupLeft":"0ms"' '"warmupLeft":0'
expect 400 "no JSON" agent-1 $'\377\376{'
expect 400 "a list" agent-1 "[$sound]"
expect 400 "an id that is too long" "$long" "$sound"

expect 200 "a service that is not declared" agent-2 "$(heartbeat legacy "$address" 1)"
expect 200 "another service at the address" agent-3 "$(heartbeat t "$address" 1)"
expect 200 "the same service at the address" agent-4 "$(heartbeat s "$address" 1)"
expect 200 "the same service, started earlier" agent-5 "$(heartbeat s "$address" 1 1000)"
expect 400 "the server's id, a service that is not declared" holder \
  "$(heartbeat legacy "$address" 1)"
expect 409 "the server's id, started earlier" holder \
  "$(heartbeat s "$address" 1 1000)"
check_served 2000 "after all heartbeats" x=holder y=other
grep -q '"address_conflict"' "$cluster_dir/hub2.out" \
  || fail "no log line of the conflict"
curl -sS -m 2 "http://$net.2:$http/metrics" >"$cluster_dir/metrics"
grep -q '^cy_hub_address_conflicts_total [1-9]' "$cluster_dir/metrics" \
  || fail "the conflict is not counted"
grep -q '^cy_hub_announcements_refused_total{reason="stale"} [1-9]' \
  "$cluster_dir/metrics" || fail "the stale heartbeat is not counted"

# Two real servers have the address in turn; the heartbeats of both go on.
cluster_kill other
report_no_more other
report heir t "$address"
# check_swap PATH SERVER: the server that has the address now is in use in time.
check_swap () {
  local start
  start=$(now_ms)
  until is_served "$1" "$2" || [ $(($(now_ms) - start)) -gt 15000 ]; do
    ask "$([ "$1" = x ] && echo y || echo x)"
    sleep_s 0.02
  done
  echo "$2 is in use after $(($(now_ms) - start)) ms"
  [ $(($(now_ms) - start)) -le $contact_ms ] \
    || fail "$2 is in use after $(($(now_ms) - start)) ms"
  check_served 1500 "after the change to $2" "$1=$2"
}
holder_name=backend
for turn in 1 2 3; do
  cluster_kill $holder_name
  start_server heir t "$address"
  check_swap y heir
  cluster_kill heir
  start_server holder s "$address"
  holder_name=holder
  check_swap x holder
done

# A late heartbeat of a server that crashed arrives after its successor's.
cluster_kill holder
read -r _ _ born <"$beats/holder"
report_no_more holder
start_server heir t "$address"
check_swap y heir
send_heartbeat holder "$(heartbeat s "$address" 100000 "$born")" 3
check_served 3000 "after a late heartbeat" y=heir

# A service is declared after its server has reported.
start_server late u "$late"
report late u "$late"
sleep_s 1.5
configuration 2 s=x t=y u=z
cluster_wait_until 15 declared || fail "second configuration: $CODE"
cluster_wait_until 5 is_served z late || fail "a service that was declared later is not used"
for name in hub1 hub2 hub3 gate; do
  kill -0 "${cluster_pid[$name]}" || fail "$name has ended"
done
echo "$failures failures"
[ $failures -eq 0 ]

# Starts the project's programs with the commands of the deploy file on
# loopback addresses, for the cases 6 to 10.  Sourced by run.sh of a case after
# it has set CASE, its folder.  All processes end with the script.
cd "$CASE/../.." || exit 2
stand=target/review-2/stand
record=$CASE/record.txt
for program in target/bin/cy-hub target/bin/cy-gate $stand; do
  [ -x $program ] || { echo "$program is not built"; exit 2; }
done
: >"$record" || exit 2
work=$(mktemp -d) || exit 2
runs=$work/runs
: >"$runs"
declare -A pid

# Ends all processes that the script started and that still run.
cluster_end () {
  local id
  for id in $(jobs -p); do
    kill -KILL "$id" 2>/dev/null
  done
  wait 2>/dev/null
  rm -rf "$work"
}
trap cluster_end EXIT
trap 'exit 2' INT TERM

now_ms () { date +%s%3N; }
nap () { read -rt "$1" <> <(:) || :; }

# note TEXT...: adds a line with the time, Unix ms, to the record.
note () { echo "$(now_ms) $*" >>"$record"; }

# Sets PORT to a port that no socket uses.
free_port () {
  local hex
  while :; do
    PORT=$((10000 + RANDOM % 20000))
    hex=$(printf ':%04X ' $PORT)
    grep -q "$hex" /proc/net/tcp /proc/net/tcp6 2>/dev/null || return
  done
}

net=127.$((RANDOM % 200 + 20)).$((RANDOM % 250))
for name in peer control lookup front ready server; do
  free_port
  declare "${name}_port=$PORT"
done

# The six zones and three regions of the PPA site, one control VM in each.
zones=(- scl-a ant-a pmc-a scl-b ant-b pmc-b)
regions=scl-a=scl,ant-a=ant,pmc-a=pmc,scl-b=scl,ant-b=ant,pmc-b=pmc
seeds=$net.1:$control_port,$net.2:$control_port,$net.3:$control_port
controls=
for i in 1 2 3 4 5 6; do
  controls+=${controls:+,}$net.$i:$control_port
done

run () {
  local name=$1
  shift
  "$@" >>"$work/$name.log" 2>&1 </dev/null &
  pid[$name]=$!
}

# hub NUMBER BOOTSTRAP: starts control VM NUMBER, 1 to 6.
hub () {
  local zone=${zones[$1]} ip=$net.$1
  mkdir -p "$work/data$1"
  run "hub$1" target/bin/cy-hub --vm "core-$zone-1" --zone "$zone" \
    --region "${zone%-*}" --regions "$regions" --host "$ip" \
    --port "$peer_port" --control "$ip:$control_port" \
    --lookup "$ip:$lookup_port" --metrics-port 7609 --seeds "$seeds" \
    --found "$2" --data "$work/data$1" --spare-disks 2 --repeat-window 10s \
    --repeat-ratio 0.2 --repeat-fixed 144 --dialect platform \
    --secret-file deploy/cluster.secret
}

# gate NUMBER ZONE: starts an entry VM; its address for clients is
# gate_address NUMBER.
gate () {
  local ip=$net.$((10 + $1))
  run "gate$1" target/bin/cy-gate --vm "front-$2-$1" --zone "$2" \
    --region "${2%-*}" --regions "$regions" --peer-port "$peer_port" \
    --listen "$ip:$front_port" --ready "$ip:$ready_port" \
    --metrics-port 7609 --seeds "$seeds" --dialect platform --grace 6s \
    --secret-file deploy/cluster.secret
}
gate_address () { echo "$net.$((10 + $1)):$front_port"; }

# end NAME: kills a process and waits for it.
end () {
  kill -KILL "${pid[$1]}"
  wait "${pid[$1]}" 2>/dev/null
  unset "pid[$1]"
}

# call NUMBER TARGET [ARGS...]: calls control VM NUMBER; sets STATUS and BODY.
call () {
  local to=$1 target=$2
  shift 2
  read -r STATUS BODY < <($stand call --to "$net.$to:$control_port" \
    --target "$target" "$@")
}

# service NAME: prints the row of a service; route NAME SERVICE KIND TIMEOUT
# GOAL: that of a route below /NAME/.
service () { echo "[\"$1\",\"/health\",878,\"h1\",false,\"3s\",16.0]"; }
route () {
  echo "[\"$1\",\"h.example\",\"/$1/\",\"$3\",\"$4\",\"$5\",1,null,2,true,false,[],\"$2\"]"
}

# configuration VERSION ROUTES SERVICES: writes $work/config.json.
configuration () {
  cat >"$work/config.json" <<CONFIG
{"version":"r$1","routes":{"columns":["name","host","prefix","kind","timeout",
"latencyGoal","priority","backends","maxAttempts","public","sticky",
"homeRegions","service"],"rows":[$2]},
"services":{"columns":["name","healthPath","maxConns","protocol","tls",
"warmup","warmupPerS"],"rows":[$3]},
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,
"headerTimeout":"3000ms","idleTimeout":"15000ms"}}
CONFIG
}

# declare_configuration SECONDS: sends the configuration to one control VM
# after the other until it is acknowledged; false after SECONDS.
declare_configuration () {
  local end=$(($(now_ms) + $1 * 1000)) i=1
  while [ "$(now_ms)" -lt $end ]; do
    call $i '/rpc?call=config.replace' --body "$work/config.json"
    note "operator: configuration to control VM $i: $STATUS"
    [ "$STATUS" = 200 ] && return 0
    i=$((i % 6 + 1))
    nap 0.2
  done
  return 1
}

# backend NAME NUMBER SERVICE ZONE [ARGS...]: starts a backend server, which
# reports to the control VMs.
backend () {
  local name=$1 ip=$net.$((30 + $2)) service=$3 zone=$4
  shift 4
  run "$name" $stand server --listen "$ip:$server_port" --id "$name" \
    --service "$service" --zone "$zone" --control "$controls" \
    --record "$runs" "$@"
}

# served GATE PATH: true when one request is answered with 200.
served () {
  : >"$work/probe"
  $stand load --gates "$(gate_address "$1")" --path "/$2/" --prefix \
    "probe$RANDOM" --for-ms 1 --record "$work/probe"
  grep -q ' 200 ' "$work/probe"
}

# wait_served GATE PATH: waits until a request is answered with 200.
wait_served () {
  local i
  for ((i = 0; i < 100; i++)); do
    served "$1" "$2" && return
    nap 0.1
  done
  echo "no request is served before the disruption"
  note "no request is served before the disruption"
  exit 2
}

# start_cluster: starts six control VMs and the entry VMs 1 and 2 in region
# scl, all for the first time.
start_cluster () {
  local i
  for i in 1 2 3 4 5 6; do hub $i true; done
  gate 1 scl-a
  gate 2 scl-b
}

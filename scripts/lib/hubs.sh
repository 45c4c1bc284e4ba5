# Starts a small hub layout on loopback for tests: three control VMs in two
# regions, an entry VM and one backend server.  Sourced, never run; all
# processes are stopped when the script exits.
source scripts/lib/cluster.sh
trap 'cluster_stop; rm -rf "$cluster_dir"' EXIT
cluster_secrets
failures=0
net=127.$((RANDOM % 200 + 20)).$((RANDOM % 250))
for name in peer http listen served; do
  cluster_free_port; declare "$name=$PORT"
done
hubs_gate=$net.11:$listen       # IP:PORT of the entry VM for callers
hubs_server=$net.30             # host of the backend server
hubs_args=()                    # additional flags of the control VMs
hubs_gate_args=()               # additional flags of the entry VM
hubs_request_id=Cy-Request-Id   # headers of requests
hubs_timeout=Cy-Timeout-Ms

fail () { echo "FAILED: $*"; failures=$((failures + 1)); }

hubs_seeds=$net.1:$http,$net.2:$http,$net.3:$http
hubs_map=a=r1,b=r1,c=r2

# hubs_run_control NUMBER [FLAGS...]: starts control VM NUMBER, 1 to 3.
hubs_run_control () {
  local i=$1 zones=(- a b c) regions=(- r1 r1 r2)
  shift
  mkdir -p "$cluster_dir/hub$i"
  cluster_run "hub$i" "$cluster_bin/cy-hub" --vm "hub$i" \
    --zone "${zones[i]}" --region "${regions[i]}" --regions $hubs_map \
    --host "$net.$i" --port "$peer" --control "$net.$i:$http" \
    --seeds "$hubs_seeds" --data "$cluster_dir/hub$i" --spare-disks 1 \
    --secret-file "$cluster_dir/secret" "${hubs_args[@]}" "$@"
}

# hubs_run_gate: starts the entry VM.
hubs_run_gate () {
  cluster_run gate "$cluster_bin/cy-gate" --vm gate --zone a --region r1 \
    --regions $hubs_map --listen "$hubs_gate" --peer-port "$peer" \
    --seeds "$hubs_seeds" --secret-file "$cluster_dir/secret" \
    "${hubs_gate_args[@]}"
}

# hubs_start [FLAGS...]: starts all processes; FLAGS are those of the backend
# server.
hubs_start () {
  local i
  for i in 1 2 3; do
    hubs_run_control $i --found true
  done
  hubs_run_gate
  cluster_run backend "$cluster_bin/cy-backend" --service s --zone a \
    --host "$hubs_server" --port "$served" "$@"
  cluster_wait_ready hub1 hub2 hub3 gate backend || exit 1
}

# call METHOD URL [CURL ARGS...]: sets CODE to the HTTP status.
call () {
  local method=$1 url=$2
  shift 2
  CODE=$(curl -sS -m 8 -X "$method" -o /dev/null -w '%{http_code}' "$@" "$url")
}

# hubs_declare FIELDS: declares service s with a route /x/ that has FIELDS.
hubs_declare () {
  cat >"$cluster_dir/document.json" <<DOCUMENT
{"number":1,"services":{"s":{"connections":100}},
 "routes":{"r1":{"host":"a.example","prefix":"/x/","rank":1,"open":true,
  $1,"backends":[{"service":"s","weight":1}]}}}
DOCUMENT
  cluster_wait_until 10 hubs_put_declaration || fail "declaration: $CODE"
}

# Sends the declaration; true when it is accepted.
hubs_put_declaration () {
  call PUT "http://$net.1:$http/v1/declaration" -L \
    --data-binary "@$cluster_dir/document.json"
  [ "$CODE" = 200 ]
}

# hubs_announcement INSTANCE PORT SLOTS SEQUENCE [INCARNATION [STATE]]: prints
# an announcement.
hubs_announcement () {
  echo "{\"instance\":\"$1\",\"service\":\"s\",\"zone\":\"a\",
    \"host\":\"$hubs_server\",\"port\":$2,\"slots\":$3,\"sequence\":$4,
    \"born_unix_ms\":${5:-1000},\"state\":\"${6:-serving}\"}"
}

# hubs_announce BODY [NUMBER]: sends an announcement to control VM NUMBER, 2 if
# not given; sets CODE.
hubs_announce () {
  printf '%s' "$1" >"$cluster_dir/entry.json"
  call POST "http://$net.${2:-2}:$http/v1/announce" \
    --data-binary "@$cluster_dir/entry.json"
}

# hubs_request METHOD NUMBER TIMEOUT_MS [CURL ARGS...]: sends a request through
# the entry VM; sets CODE.
hubs_request () {
  local method=$1 number=$2 timeout=$3
  shift 3
  call "$method" "http://$hubs_gate/x/$number" -H 'Host: a.example' \
    -H "$hubs_request_id: request-$number" -H "$hubs_timeout: $timeout" "$@"
}

# Helpers for proofs and benchmarks of the request path: one availability zone
# with its zone processes, entry VMs, backend servers and keys.  Sourced after
# cluster.sh, never run.

path_zone=${path_zone:-r1-a}
path_workspaces=${path_workspaces:-"alfa beta gama delta"}
path_rate=${path_rate:-20000}
path_burst=${path_burst:-20000}
path_limits=${path_limits:-'"lookup_ttl_ms": 300'}

# Prints declarations of the services billing and metering: / requires a key,
# /open does not, POST requests to /safe are idempotent.
path_declarations () {
  local w list=""
  for w in $path_workspaces; do
    list+="${list:+, }\"$w\": {\"rate\": $path_rate, \"burst\": $path_burst}"
  done
  cat <<JSON
{
  "regions": {"r1": {}},
  "zones": {"$path_zone": {"region": "r1"}},
  "services": {
    "billing": {"routes": [{"prefix": "/"}, {"prefix": "/open", "open": true},
                           {"prefix": "/safe", "idempotent_post": true}]},
    "metering": {"routes": [{"prefix": "/"}]}
  },
  "workspaces": {$list},
  "limits": {$path_limits}
}
JSON
}

# path_start ENTRIES [ZONES]: starts control VMs, ZONES zone processes and
# ENTRIES entry VMs, and issues a key for each workspace.
path_start () {
  local w
  cluster_start_controls "${path_controls:-1}" || return 1
  path_declarations >"$cluster_dir/declarations.json"
  cluster_wait_until 15 cluster_ctl submit "$cluster_dir/declarations.json" \
    || { cluster_ctl submit "$cluster_dir/declarations.json"; return 1; }
  cluster_start_zone r1 "$path_zone" "${2:-1}"
  cluster_start_entries r1 "$path_zone" "$1"
  for w in $path_workspaces; do
    path_issue_key "$w" >>"$cluster_dir/keys" || return 1
  done
  for w in "${!cluster_entry_zone[@]}"; do
    cluster_wait_ready "$w" || return 1
  done
}

# path_issue_key WORKSPACE: issues a key and prints "WORKSPACE KEY".
path_issue_key () {
  local key
  key=$(cluster_ctl keys issue "$1" | grep -oE 'cyk_[A-Za-z0-9-]+_[A-Za-z0-9_-]+' | head -n 1)
  [ -n "$key" ] && echo "$1 $key"
}

# Prints IP:PORT,... of the entry VMs.
path_entries () {
  cluster_entries_of "$path_zone"
}

# path_serves SERVICE: true when every entry VM serves the open route of
# SERVICE.
path_serves () {
  local address
  for address in $(path_entries | tr , ' '); do
    curl -s -m 3 -o /dev/null -f "http://$address/s/$1/open" || return 1
  done
}

# path_wait_service SERVICE: waits until path_serves succeeds.
path_wait_service () {
  cluster_wait_until 15 path_serves "$1"
}

# path_load NAME SERVICE ARGS...: runs cy-load; writes its record to
# NAME.record and its summary to NAME.json.
path_load () {
  local name=$1 service=$2
  shift 2
  "$cluster_bin/cy-load" --lookup "$(path_entries)" --service "$service" \
    --keys "${path_keys:-$cluster_dir/keys}" --id-prefix "$name" \
    --record "$cluster_dir/$name.record" "$@" \
    >"$cluster_dir/$name.json" 2>"$cluster_dir/$name.err"
}

# path_field NAME FIELD: prints a number of the summary NAME.json.
path_field () {
  sed -nE "s/^ \"$2\": ([0-9.e+-]+),?$/\1/p" "$cluster_dir/$1.json"
}

# path_check SLOTS NAMES...: compares the results that cy-load received in
# these runs with the requests that backend servers ran.  SLOTS is the largest
# allowed number of requests in flight at a server; 0: not checked.
path_check () {
  local slots=$1 name files=()
  shift
  for name in "$@"; do files+=("$cluster_dir/$name.record"); done
  cat "$cluster_dir"/backend-*.record >"$cluster_dir/ran.all" 2>/dev/null
  build/tests/path/test_records "--slots=$slots" "$cluster_dir/ran.all" \
    "${files[@]}"
}

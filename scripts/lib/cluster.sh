# Starts and stops a small cluster on loopback for the demo, the proofs and the
# benchmarks.  Sourced, never run.  Processes are signalled by their id only.

cluster_bin=${cluster_bin:-build/bin}
cluster_dir=${cluster_dir:-$(mktemp -d)}
cluster_name=c-$$
declare -A cluster_pid cluster_used
cluster_controls=""   # IP:PORT,... of control VMs for other processes
cluster_https=""      # http://IP:PORT,... of control VMs for operators
declare -A cluster_zone_addresses   # by zone: IP:PORT,... of its zone processes
declare -A cluster_entry_http       # by entry VM: IP:PORT
declare -A cluster_entry_zone       # by entry VM: zone

# Sets PORT to a free port below the ephemeral range.
cluster_free_port () {
  local hex
  while :; do
    PORT=$((10000 + RANDOM % 22000))
    [ -n "${cluster_used[$PORT]:-}" ] && continue
    hex=$(printf ':%04X ' "$PORT")
    grep -q "$hex" /proc/net/tcp /proc/net/tcp6 2>/dev/null && continue
    cluster_used[$PORT]=1
    return
  done
}

# cluster_run NAME PROGRAM ARGS...: starts a process; its output goes to
# NAME.out and NAME.log.
cluster_run () {
  local name=$1
  shift
  "$@" >>"$cluster_dir/$name.out" 2>>"$cluster_dir/$name.log" </dev/null &
  cluster_pid[$name]=$!
}

# cluster_wait_until SECONDS COMMAND...: repeats COMMAND until it succeeds;
# fails after SECONDS.
cluster_wait_until () {
  local deadline=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    if [ $SECONDS -ge $deadline ]; then
      echo "timed out waiting for: $*" >&2
      return 1
    fi
    read -rt 0.05 <> <(:) || :
  done
}

cluster_is_ready () {
  grep -q '^READY' "$cluster_dir/$1.out"
}

cluster_wait_ready () {
  local name
  for name in "$@"; do
    cluster_wait_until 15 cluster_is_ready "$name" \
      || { tail -q -n 20 "$cluster_dir/$name.log" "$cluster_dir/$name.out" >&2; return 1; }
  done
}

# Writes the shared secret and the tokens of two operators.
cluster_secrets () {
  mkdir -p "$cluster_dir"
  printf 'a-shared-secret-for-loopback-only\n' >"$cluster_dir/secret"
  printf 'alice token-of-alice-0123456789\nbob token-of-bob-0123456789\n' \
    >"$cluster_dir/tokens"
  printf 'token-of-alice-0123456789\n' >"$cluster_dir/alice.token"
  printf 'token-of-bob-0123456789\n' >"$cluster_dir/bob.token"
}

declare -A cluster_control_args     # by member id: arguments of cy-control

# cluster_start_controls N: starts members 1 to N of a new cluster.
cluster_start_controls () {
  local i members="" ports=() https=()
  cluster_secrets
  for ((i = 1; i <= $1; i++)); do
    cluster_free_port; ports[i]=$PORT
    cluster_free_port; https[i]=$PORT
    members+="${members:+,}$i=127.0.0.1:${ports[i]}:${https[i]}"
    cluster_controls+="${cluster_controls:+,}127.0.0.1:${ports[i]}"
    cluster_https+="${cluster_https:+,}http://127.0.0.1:${https[i]}"
  done
  for ((i = 1; i <= $1; i++)); do
    cluster_control_args[$i]="--member-id $i --host 127.0.0.1 \
      --port ${ports[i]} --http-port ${https[i]} --vm control$i \
      --data $cluster_dir/control$i --members $members"
    cluster_start_control "$i"
  done
  for ((i = 1; i <= $1; i++)); do
    cluster_wait_ready "control$i" || return 1
  done
}

cluster_start_control () {
  # shellcheck disable=SC2086
  cluster_run "control$1" "$cluster_bin/cy-control" \
    --cluster "$cluster_name" --secret-file "$cluster_dir/secret" \
    --token-file "$cluster_dir/tokens" ${cluster_control_args[$1]}
}

# cluster_start_zone REGION ZONE COUNT: starts the zone processes of one zone.
cluster_start_zone () {
  local i name
  for ((i = 1; i <= ${3:-1}; i++)); do
    cluster_free_port
    name="zone-$2-$i"
    cluster_zone_addresses[$2]+="${cluster_zone_addresses[$2]:+,}127.0.0.1:$PORT"
    cluster_run "$name" "$cluster_bin/cy-zone" --vm "$name" --zone "$2" \
      --region "$1" --host 127.0.0.1 --port "$PORT" --http-port 0 \
      --controls "$cluster_controls" --cluster "$cluster_name" \
      --secret-file "$cluster_dir/secret"
  done
}

# cluster_start_entries REGION ZONE COUNT: starts entry VMs of one zone.
cluster_start_entries () {
  local i name
  for ((i = 1; i <= $3; i++)); do
    name="entry-$2-$i"
    cluster_free_port
    cluster_entry_http[$name]=127.0.0.1:$PORT
    cluster_entry_zone[$name]=$2
    cluster_start_entry "$1" "$2" "$name"
  done
}

# cluster_start_entry REGION ZONE NAME
cluster_start_entry () {
  cluster_run "$3" "$cluster_bin/cy-entry" --vm "$3" --zone "$2" \
    --region "$1" --host 127.0.0.1 --http-port "${cluster_entry_http[$3]##*:}" \
    --zones "${cluster_zone_addresses[$2]}" --cluster "$cluster_name" \
    --secret-file "$cluster_dir/secret"
}

# cluster_entries_of ZONE: prints IP:PORT,... of the entry VMs of ZONE.
cluster_entries_of () {
  local name list=""
  for name in "${!cluster_entry_zone[@]}"; do
    [ "${cluster_entry_zone[$name]}" = "$1" ] \
      && list+="${list:+,}${cluster_entry_http[$name]}"
  done
  echo "$list"
}

# cluster_start_backend ZONE SERVICE INSTANCE [ARGS...]
cluster_start_backend () {
  local zone=$1 service=$2 instance=$3
  shift 3
  cluster_run "backend-$instance" "$cluster_bin/cy-backend" \
    --service "$service" --instance "$instance" --zone "$zone" \
    --host 127.0.0.1 --port 0 --entries "$(cluster_entries_of "$zone")" \
    --record "$cluster_dir/backend-$instance.record" "$@"
}

# cluster_ctl ARGS...: runs cyctl as the operator $cluster_operator.
cluster_ctl () {
  "$cluster_bin/cyctl" --control "$cluster_https" \
    --token-file "$cluster_dir/${cluster_operator:-alice}.token" "$@"
}

# cluster_signal NAME SIGNAL
cluster_signal () {
  kill "-$2" "${cluster_pid[$1]}"
}

# cluster_kill NAME: ends one process by SIGKILL and reaps it.
cluster_kill () {
  kill -KILL "${cluster_pid[$1]}" 2>/dev/null || :
  wait "${cluster_pid[$1]}" 2>/dev/null || :
  unset "cluster_pid[$1]"
}

# Stops all processes that were started: SIGTERM first, SIGKILL after
# cluster_stop_s seconds.
cluster_stop () {
  local name deadline
  for name in "${!cluster_pid[@]}"; do
    kill -CONT "${cluster_pid[$name]}" 2>/dev/null || :
    kill -TERM "${cluster_pid[$name]}" 2>/dev/null || :
  done
  deadline=$((SECONDS + ${cluster_stop_s:-5}))
  for name in "${!cluster_pid[@]}"; do
    while kill -0 "${cluster_pid[$name]}" 2>/dev/null && [ $SECONDS -lt $deadline ]; do
      read -rt 0.05 <> <(:) || :
    done
    kill -KILL "${cluster_pid[$name]}" 2>/dev/null || :
    wait "${cluster_pid[$name]}" 2>/dev/null || :
  done
  cluster_pid=()
}

cluster_cleanup () {
  cluster_stop
  if [ -z "${CLUSTER_KEEP:-}" ]; then rm -rf "$cluster_dir"; fi
}

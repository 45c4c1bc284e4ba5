# Helpers for the proofs of replication.  Sourced after cluster.sh, never run.

replica_workspace=comercializadora-maipo
replica_rounds=${replica_rounds:-6}

# replica_start N: starts N control VMs and submits declarations.
replica_start () {
  cluster_start_controls "$1" || return 1
  build/examples/andesvolt >"$cluster_dir/document.json"
  cluster_wait_until 20 cluster_ctl submit "$cluster_dir/document.json" \
    --request-id first
}

# replica_url ID: prints http://IP:PORT of a member.
replica_url () {
  local args=${cluster_control_args[$1]}
  args=${args#*--http-port }
  echo "http://127.0.0.1:${args%% *}"
}

# replica_status ID [SECONDS]: prints the status of one member; this request is
# not redirected to the leader.
replica_status () {
  curl -s --max-time "${2:-2}" "$(replica_url "$1")/v1/status" \
    -H "Authorization: Bearer $(<"$cluster_dir/alice.token")"
}

# replica_field ID FIELD: prints a top-level field of the status of a member.
replica_field () {
  replica_status "$1" | tr '{,' '\n\n' | sed -nE "s/^ *\"$2\": *//p" | head -n 1
}

# Sets LEADER to the member that is leader and ready to answer; fails if there
# is none.
replica_find_leader () {
  local id
  for id in "${!cluster_control_args[@]}"; do
    [ -n "${cluster_pid[control$id]:-}" ] || continue
    [ "$(replica_field "$id" ready)" = true ] && { LEADER=$id; return 0; }
  done
  return 1
}

# replica_issue_loop NAME: issues keys until the file "stop" exists.  Appends
# the id of each acknowledged key to acked-NAME, the exit code of every other
# attempt to refused-NAME.
replica_issue_loop () {
  local out n=0
  while [ ! -e "$cluster_dir/stop" ]; do
    n=$((n + 1))
    if out=$(cluster_ctl --timeout 5 keys issue $replica_workspace \
               --request-id "$1-$n" 2>/dev/null); then
      sed -nE 's/^id //p' <<<"$out" >>"$cluster_dir/acked-$1"
    else
      echo "$?" >>"$cluster_dir/refused-$1"
    fi
  done
}

# Issues one key and appends its id to acked-one.
replica_issue () {
  local out
  out=$(cluster_ctl keys issue $replica_workspace) || return 1
  sed -nE 's/^id //p' <<<"$out" >>"$cluster_dir/acked-one"
}

# True when all running members have the version of the leader.
replica_versions_match () {
  local id version
  replica_find_leader || return 1
  version=$(replica_field "$LEADER" version)
  for id in "${!cluster_control_args[@]}"; do
    [ -z "${cluster_pid[control$id]:-}" ] \
      || [ "$(replica_field "$id" version)" = "$version" ] || return 1
  done
}

# Checks that every acknowledged key is listed and prints the counts.
replica_check_acked () {
  local missing
  cluster_ctl keys list | awk 'NR > 1 { print $1 }' | sort \
    >"$cluster_dir/listed"
  cat "$cluster_dir"/acked-* | sort >"$cluster_dir/acked"
  missing=$(comm -23 "$cluster_dir/acked" "$cluster_dir/listed" | wc -l)
  echo "acknowledged $(wc -l <"$cluster_dir/acked"), listed" \
    "$(wc -l <"$cluster_dir/listed"), acknowledged and missing $missing"
  [ "$missing" -eq 0 ] && [ -s "$cluster_dir/acked" ]
}

replica_now_ms () {
  local now=${EPOCHREALTIME/./}
  echo $((now / 1000))
}

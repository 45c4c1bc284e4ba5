# Helpers for the proofs of operator commands.  Sourced after cluster.sh, never
# run.

operator_fail () {
  echo "FAILED: $*" >&2
  exit 1
}

# operator_expect WANTED GOT WHAT: ends the proof if the values differ.
operator_expect () {
  [ "$1" = "$2" ] || operator_fail "$3: wanted $1, got $2"
}

# operator_url N: prints the URL of control VM N.
operator_url () {
  echo "$cluster_https" | cut -d, -f"$1"
}

# operator_at N ARGS...: runs cyctl with control VM N only.
operator_at () {
  local member=$1
  shift
  "$cluster_bin/cyctl" --control "$(operator_url "$member")" \
    --token-file "$cluster_dir/${cluster_operator:-alice}.token" "$@"
}

# operator_status NAME: prints a number from the status of the leader.
operator_status () {
  cluster_ctl --json status | sed -nE "s/^  \"$1\": ([^,]*),?$/\1/p"
}

# True when a quorum confirms the state of the leader.
operator_has_leader () {
  [ "$(operator_status age_ms 2>/dev/null)" -ge 0 ] 2>/dev/null
}

# operator_document RATE: prints declarations of one workspace.
operator_document () {
  printf '{"workspaces":{"coop-azul":{"rate":%s,"burst":10}}}' "$1"
}

# operator_send_and_drop N METHOD PATH BODY: sends a request to control VM N
# and closes the connection without reading an answer.
operator_send_and_drop () {
  local address token
  address=$(operator_url "$1")
  address=${address#http://}
  token=$(cat "$cluster_dir/alice.token")
  exec 9<>"/dev/tcp/${address%:*}/${address##*:}"
  printf '%s %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s' \
    "$2" "$3" "$token" "${#4}" "$4" >&9
  exec 9>&- 9<&-
}

# operator_call N METHOD PATH BODY: sends a request to control VM N and prints
# the body of the answer.
operator_call () {
  curl -s --max-time 10 -X "$2" --data-binary "$4" \
    -H "Authorization: Bearer $(cat "$cluster_dir/alice.token")" \
    "$(operator_url "$1")$3"
}

# Prints the number of the control VM that reports to be leader, 0: none.
operator_leader () {
  local i
  for i in 1 2 3; do
    [ -n "${cluster_pid[control$i]:-}" ] || continue
    if operator_call "$i" GET /v1/status "" | grep -q '^ "leader": true'; then
      echo "$i"
      return
    fi
  done
  echo 0
}

# True when a control VM reports to be leader.
operator_is_leader_known () {
  [ "$(operator_leader)" != 0 ]
}

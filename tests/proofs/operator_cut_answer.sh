#!/usr/bin/env bash
# The client closes the connection after it sent a request.  A retry with the
# same request id receives the first answer at every control VM, also after the
# leader was killed, after a restart of all, after a snapshot and after a
# restart from it.  Another document with the same id is refused.
set -eu
cd "$(dirname "$0")/../.."
source scripts/lib/cluster.sh
source scripts/lib/operator.sh
trap 'set +e; cluster_cleanup' EXIT
cluster_start_controls 3
cluster_wait_until 15 operator_is_leader_known
leader=$(operator_leader)
document=$(operator_document 5)
seed=$(printf '%064d' 42)
issue_body="{\"workspace\":\"coop-azul\",\"seed\":\"$seed\"}"
submit="/v1/submit?base=0&request_id=cut-1"
issue="/v1/keys?request_id=cut-2"

is_version () { [ "$(operator_status version)" = "$1" ]; }

operator_send_and_drop "$leader" POST "$submit" "$document"
cluster_wait_until 10 is_version 1
operator_send_and_drop "$leader" POST "$issue" "$issue_body"
cluster_wait_until 10 is_version 2
operator_document 9 | cluster_ctl submit - >/dev/null
first=$(operator_call "$leader" POST "$submit" "$document")
key=$(operator_call "$leader" POST "$issue" "$issue_body")
grep -q '"version": 1,' <<<"$first" || operator_fail "resend: $first"
grep -q '"key": "cyk_' <<<"$key" || operator_fail "resend of a key: $key"

# same_everywhere WHEN: every running control VM returns the first answers.
same_everywhere () {
  local i
  cluster_wait_until 15 operator_is_leader_known
  expected_version=$(operator_status version)
  cluster_wait_until 15 has_caught_up
  for i in 1 2 3; do
    [ -n "${cluster_pid[control$i]:-}" ] || continue
    operator_expect "$first" "$(operator_call "$i" POST "$submit" "$document")" \
      "$1, control VM $i"
    operator_expect "$key" "$(operator_call "$i" POST "$issue" "$issue_body")" \
      "$1, key, control VM $i"
  done
  operator_expect "$expected_version" "$(operator_status version)" "$1, version"
}

# has_caught_up: true when every running control VM has applied
# $expected_version.
has_caught_up () {
  local i
  for i in 1 2 3; do
    [ -n "${cluster_pid[control$i]:-}" ] || continue
    operator_call "$i" GET /v1/status "" | grep -q "^ \"version\": $expected_version," || return 1
  done
}

restart_all () {
  local i
  for i in 1 2 3; do
    [ -n "${cluster_pid[control$i]:-}" ] && cluster_kill "control$i" || :
  done
  for i in 1 2 3; do cluster_start_control $i; done
}

# has_snapshots N: true when N control VMs have written a snapshot.
has_snapshots () {
  [ "$(ls -d "$cluster_dir"/control?/snapshot-* 2>/dev/null | wc -l)" -ge "$1" ]
}

same_everywhere "with the first leader"
cluster_kill "control$leader" || :
same_everywhere "after the leader was killed"
restart_all
same_everywhere "after all were restarted"
for shift in 1 2 3 4 5 6; do
  build/examples/many_blocks 150000 $shift | cluster_ctl submit - >/dev/null
done
cluster_wait_until 20 has_snapshots 3
same_everywhere "after a snapshot"
restart_all
same_everywhere "after a restart from the snapshot"
# A leader may answer "try again" until it has read and synced its log.
cluster_wait_until 15 operator_has_leader
other=$(operator_call "$(operator_leader)" POST "$submit" "$(operator_document 6)")
grep -q '"code": 404' <<<"$other" || operator_fail "reused id: $other"
lines=$(cluster_ctl --json audit | grep -c '"request_id": "cut-1"')
operator_expect 2 "$lines" "audit lines of the request: accepted, reused"
echo "answers cut: resends alike at every control VM, after a kill, restarts and a snapshot"

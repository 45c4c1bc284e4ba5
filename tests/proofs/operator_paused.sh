#!/usr/bin/env bash
# The followers are paused when the leader receives a change that it must
# refuse: one based on an old version, one with a used request id.  Neither
# refusal can be recorded in time; both must be answered as without the pause.
set -eu
cd "$(dirname "$0")/../.."
source scripts/lib/cluster.sh
source scripts/lib/operator.sh
trap 'set +e; cluster_cleanup' EXIT
PAUSE_S=2 # longer than a refusal waits for its audit line
cluster_start_controls 3
cluster_wait_until 15 operator_is_leader_known
operator_document 1 | cluster_ctl --request-id first submit --base 0 - >/dev/null

# signal_followers SIGNAL: sends SIGNAL to every control VM except the leader.
signal_followers () {
  local i
  for i in 1 2 3; do
    [ "$i" = "$leader" ] || kill -"$1" "${cluster_pid[control$i]}"
  done
}

# refused_during_pause PATH: prints the answer of the leader to a change that
# it receives while the followers are paused.
refused_during_pause () {
  local resumer
  cluster_wait_until 15 operator_is_leader_known
  leader=$(operator_leader)
  signal_followers STOP
  (read -rt "$PAUSE_S" <> <(:) || :; signal_followers CONT) &
  resumer=$!
  operator_call "$leader" POST "$1" "$(operator_document 2)"
  wait "$resumer"
}

answer=$(refused_during_pause "/v1/submit?base=0&request_id=second")
grep -q '"code": 403' <<<"$answer" || operator_fail "old version: $answer"
grep -q 'version 1 by alice (request first) came first' <<<"$answer" \
  || operator_fail "the answer does not name the first request: $answer"
grep -q '"conflict_action": "submit"' <<<"$answer" \
  || operator_fail "the answer does not name the first action: $answer"
answer=$(refused_during_pause "/v1/submit?base=1&request_id=first")
grep -q '"code": 404' <<<"$answer" || operator_fail "reused id: $answer"
operator_expect 1 "$(operator_status version)" "version"
echo "followers paused: both changes refused, the first with the request that came first"

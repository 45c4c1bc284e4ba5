#!/usr/bin/env bash
# The followers stand still when a change arrives that the leader has to
# refuse: one against an old version, one under a used request id.  Neither
# refusal can be recorded in time; both are answered as at any other time.
set -eu
cd "$(dirname "$0")/../.."
source scripts/lib/cluster.sh
source scripts/lib/operator.sh
trap 'set +e; cluster_cleanup' EXIT
PAUSE_S=2 # longer than a refusal waits for its audit line
cluster_start_controls 3
cluster_wait_until 15 operator_leads
operator_document 1 | cluster_ctl --request-id first submit --base 0 - >/dev/null

# followers SIGNAL: sends it to every control VM but the leader.
followers () {
  local i
  for i in 1 2 3; do
    [ "$i" = "$leader" ] || kill -"$1" "${cluster_pid[control$i]}"
  done
}

# refused_during_pause PATH: prints the leader's answer to a change that comes
# while the followers stand still.
refused_during_pause () {
  local waker
  cluster_wait_until 15 operator_leads
  leader=$(operator_leader)
  followers STOP
  (read -rt "$PAUSE_S" <> <(:) || :; followers CONT) &
  waker=$!
  operator_call "$leader" POST "$1" "$(operator_document 2)"
  wait "$waker"
}

answer=$(refused_during_pause "/v1/submit?base=0&request_id=second")
grep -q '"code": 403' <<<"$answer" || operator_fail "old version: $answer"
grep -q 'version 1 by alice (request first) came first' <<<"$answer" \
  || operator_fail "not told who was first: $answer"
grep -q '"conflict_action": "submit"' <<<"$answer" \
  || operator_fail "not told what came first: $answer"
answer=$(refused_during_pause "/v1/submit?base=1&request_id=first")
grep -q '"code": 404' <<<"$answer" || operator_fail "reused id: $answer"
operator_expect 1 "$(operator_status version)" "version"
echo "followers paused: both refusals told, with who came first"

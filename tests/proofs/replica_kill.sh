#!/usr/bin/env bash
# Leader and followers are killed while changes are submitted: no acknowledged
# change is lost, and the cluster accepts changes again each time.
set -u
cd "$(dirname "$0")/../.." || exit 1
source scripts/lib/cluster.sh
source scripts/lib/replica.sh
trap cluster_cleanup EXIT

# issue_at ID: issues one key through this member only.
issue_at () {
  local out
  out=$("$cluster_bin/cyctl" --control "$(replica_url "$1")" --timeout 1 \
    --token-file "$cluster_dir/alice.token" keys issue $replica_workspace \
    2>/dev/null) && sed -nE 's/^id //p' <<<"$out" >>"$cluster_dir/acked-alone"
}

# kill_alone ID: pauses the followers of this leader shortly before it is
# killed; changes that it receives in that time must not be acknowledged.
kill_alone () {
  local id
  for id in 1 2 3; do
    [ "$id" = "$1" ] || cluster_signal "control$id" STOP
  done
  for id in 1 2 3; do issue_at "$1" & issues+=" $!"; done
  read -rt 0.3 <> <(:) || :
  cluster_kill "control$1"
  for id in 1 2 3; do
    [ "$id" = "$1" ] || cluster_signal "control$id" CONT
  done
}

issues=""
replica_start 3 || exit 1
replica_issue_loop a & loops=$!
replica_issue_loop b & loops+=" $!"
for ((round = 1; round <= replica_rounds; round++)); do
  cluster_wait_until 15 replica_find_leader || exit 1
  replica_find_leader
  victim=$LEADER
  [ $((round % 3)) -eq 0 ] && victim=$((LEADER % 3 + 1))
  if [ $((round % 2)) -eq 0 ] && [ "$victim" = "$LEADER" ]; then
    kill_alone "$victim"
  else
    cluster_kill "control$victim"
  fi
  start=$(replica_now_ms)
  cluster_wait_until 15 replica_find_leader || exit 1
  replica_find_leader
  echo "round $round: killed $victim, $LEADER leads after" \
    "$(($(replica_now_ms) - start)) ms"
  cluster_start_control "$victim"
  cluster_wait_until 15 replica_field "$victim" version || exit 1
done
touch "$cluster_dir/stop"
# shellcheck disable=SC2086
wait $loops $issues
cluster_wait_until 15 replica_versions_match \
  || { for id in 1 2 3; do replica_status $id; done; exit 1; }
replica_check_acked || exit 1
cluster_ctl audit --verify || exit 1

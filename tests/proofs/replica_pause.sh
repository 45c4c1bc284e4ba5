#!/usr/bin/env bash
# The leader is paused for longer than its lease while the others continue.
# After it resumes it does not answer as leader before a quorum has answered
# it, also when the others are still paused and no message reports a newer
# leader.
set -u
cd "$(dirname "$0")/../.." || exit 1
source scripts/lib/cluster.sh
source scripts/lib/replica.sh
trap cluster_cleanup EXIT

# True when eight connections to the paused member have sent their request.
requests_are_pending () {
  local url port count
  url=$(replica_url "$old")
  port=$(printf ':%04X' "${url##*:}")
  count=$(awk -v port="$port" '$3 ~ port "$" && $4 == "01"' /proc/net/tcp \
    | wc -l)
  [ "$count" -ge 8 ]
}

replica_start 3 || exit 1
for ((round = 1; round <= 3; round++)); do
  cluster_wait_until 15 replica_find_leader || exit 1
  replica_find_leader
  old=$LEADER
  cluster_signal "control$old" STOP
  paused_pid=${cluster_pid[control$old]}
  unset "cluster_pid[control$old]"   # it receives no requests while paused
  cluster_wait_until 15 replica_find_leader || exit 1
  replica_find_leader
  cluster_wait_until 10 replica_issue || exit 1
  version=$(replica_field "$LEADER" version)
  cluster_pid[control$old]=$paused_pid
  # Requests sent during the pause are answered as soon as the member resumes.
  waiting=""
  for ((i = 0; i < 8; i++)); do
    replica_status "$old" 5 >"$cluster_dir/answer-$i" & waiting+=" $!"
  done
  cluster_wait_until 5 requests_are_pending || exit 1
  cluster_signal "control$old" CONT
  # shellcheck disable=SC2086
  wait $waiting
  stale=0 ready=none answer_version=0
  for ((i = 0; i < 28; i++)); do
    if [ $i -lt 8 ]; then answer=$(<"$cluster_dir/answer-$i")
    else answer=$(replica_status "$old"); fi
    [[ $answer =~ '"ready":'\ *([a-z]*) ]] && ready=${BASH_REMATCH[1]}
    [[ $answer =~ '"version":'\ *([0-9]*) ]] && answer_version=${BASH_REMATCH[1]}
    [ "$ready" = true ] && [ "$answer_version" -lt "$version" ] && stale=$((stale + 1))
  done
  echo "round $round: $old was paused, version $version was accepted meanwhile," \
    "answers as leader of an older state: $stale"
  [ $stale -eq 0 ] || exit 1
done

echo "all three are paused, only the leader resumes"
cluster_wait_until 15 replica_find_leader || exit 1
replica_find_leader
old=$LEADER
for id in "$old" 1 2 3; do cluster_signal "control$id" STOP; done
read -rt 2 <> <(:) || :
replica_status "$old" 5 >"$cluster_dir/answer" & waiting=$!
cluster_signal "control$old" CONT
wait $waiting
grep -qE '"ready": *false' "$cluster_dir/answer" \
  || { cat "$cluster_dir/answer"; exit 1; }
if cluster_ctl --timeout 3 keys issue $replica_workspace; then
  echo "a change was accepted without a quorum"
  exit 1
fi
for id in 1 2 3; do cluster_signal "control$id" CONT; done
cluster_wait_until 15 replica_issue || exit 1
replica_check_acked

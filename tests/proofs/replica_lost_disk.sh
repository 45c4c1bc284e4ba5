#!/usr/bin/env bash
# A member loses its data folder.  With its old id it does not count towards
# the quorum; a new member replaces it.  A second member loses its data folder
# right after the replacement; all acknowledged changes are still there.  A
# member refuses the data folder of another member.
set -u
cd "$(dirname "$0")/../.." || exit 1
source scripts/lib/cluster.sh
source scripts/lib/replica.sh
trap cluster_cleanup EXIT

replica_start 3 || exit 1
for ((i = 0; i < 20; i++)); do replica_issue || exit 1; done

echo "member 3 loses its folder and comes back under its id"
cluster_kill control3
rm -rf "$cluster_dir/control3"
cluster_start_control 3
reports_lost_data () { grep -q 'its data is lost' "$cluster_dir/control3.out"; }
cluster_wait_until 15 reports_lost_data || exit 1
cluster_wait_until 15 replica_issue || exit 1

echo "with member 3 empty and member 2 down there is no quorum"
cluster_kill control2
if cluster_ctl --timeout 4 keys issue $replica_workspace; then
  echo "a change was accepted by one disk of three"
  exit 1
fi
cluster_start_control 2
cluster_wait_until 15 replica_issue || exit 1

echo "member 4 takes its place"
cluster_kill control3
cluster_free_port; port=$PORT
cluster_free_port; http=$PORT
cluster_control_args[4]="--member-id 4 --host 127.0.0.1 --port $port \
  --http-port $http --vm control4 --data $cluster_dir/control4 --join true"
cluster_start_control 4
cluster_wait_ready control4 || exit 1
cluster_ctl members replace 3 4 127.0.0.1 "$port" "$http" || exit 1
cluster_https+=",http://127.0.0.1:$http"

echo "member 1 is lost with its folder right after"
cluster_kill control1
rm -rf "$cluster_dir/control1"
cluster_wait_until 15 replica_issue || exit 1
cluster_ctl members list
replica_check_acked || exit 1
cluster_ctl audit --verify || exit 1

echo "the folder of member 2 is refused to member 4"
cluster_kill control4
cluster_kill control2
cluster_control_args[4]=${cluster_control_args[4]/control4 --join/control2 --join}
cluster_start_control 4
has_exited () { ! kill -0 "${cluster_pid[control4]}"; }
cluster_wait_until 10 has_exited || exit 1
unset "cluster_pid[control4]"
grep 'data folder of member 2' "$cluster_dir/control4.out"

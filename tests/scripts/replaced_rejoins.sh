#!/usr/bin/env bash
# Guards against a control VM that was replaced while it was paused and then
# keeps others out of the log: after two lost disks, one at a time, the
# declaration could not be read any more.  The replaced one joins again.
set -u
cd "$(dirname "$0")/../.."
source scripts/lib/hubs.sh
hubs_start --instance i1 --slots 2
hubs_declare '"timeout_ms":2000,"goal_ms":900,"attempts":1,"idempotent":true'

# start_hub NUMBER ZONE REGION: starts a control VM that founds nothing.
start_hub () {
  mkdir -p "$cluster_dir/hub$1"
  cluster_run "hub$1" "$cluster_bin/cy-hub" --vm "hub$1" --zone "$2" \
    --region "$3" --regions a=r1,b=r1,c=r2 --host "$net.$1" --port "$peer" \
    --control "$net.$1:$http" --data "$cluster_dir/hub$1" --spare-disks 1 \
    --seeds "$net.1:$http,$net.2:$http,$net.3:$http" \
    --secret-file "$cluster_dir/secret"
}

# has_logged TEXT COUNT: true when at least COUNT lines of all control VMs hold
# TEXT.
has_logged () {
  [ "$(cat "$cluster_dir"/hub*.out | grep -c "$1")" -ge "$2" ]
}

# joined NUMBER COUNT: true when a leader has added the control VM COUNT times.
joined () { has_logged "adding member .* at $net.$1\"" "$2"; }

lose_disk () { # NUMBER ZONE REGION
  cluster_kill "hub$1"
  rm -rf "$cluster_dir/hub$1"
  start_hub "$1" "$2" "$3"
}

kill -STOP "${cluster_pid[hub3]}"
read -rt 6 <> <(:) || : # longer than the time after which it is replaced
start_hub 4 c r2
cluster_wait_until 10 joined 4 1 || fail "hub4 is not added"
kill -CONT "${cluster_pid[hub3]}"
read -rt 3 <> <(:) || :
lose_disk 1 a r1
cluster_wait_until 15 joined 1 1 || fail "hub1 is not added after its disk was lost"
read -rt 3 <> <(:) || :
lose_disk 2 b r1
cluster_wait_until 15 joined 2 1 || fail "hub2 is not added after its disk was lost"
cluster_wait_until 15 joined 3 1 || fail "hub3, which was replaced, does not join again"
readable () { call GET "http://$net.4:$http/v1/declaration" -L; [ "$CODE" = 200 ]; }
cluster_wait_until 15 readable || fail "the declaration can't be read: $CODE"
echo "$failures failures"
[ $failures -eq 0 ]

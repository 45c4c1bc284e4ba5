#!/usr/bin/env bash
# cyctl submit --wait returns when every reachable entry VM has the version in
# force, and names an entry VM that does not answer.
set -eu
cd "$(dirname "$0")/../.."
source scripts/lib/cluster.sh
source scripts/lib/operator.sh
trap 'set +e; cluster_cleanup' EXIT
cluster_start_controls 3
cluster_wait_until 15 operator_is_leader_known
build/examples/andesvolt | cluster_ctl submit - >/dev/null
cluster_start_zone norte norte-1 1
cluster_start_zone sur sur-1 1
cluster_start_entries norte norte-1 2
cluster_start_entries sur sur-1 2
entries_seen () { [ "$(cluster_ctl --json entries | grep -c '"name": "entry-')" = "$1" ]; }
cluster_wait_until 20 entries_seen 4

edit () { build/examples/andesvolt | sed "s/\"rate\": 20\b/\"rate\": $1/"; }
for rate in 21 22 23; do
  answer=$(edit $rate | cluster_ctl submit --wait -)
  version=$(sed -n 's/^version \([0-9]*\) accepted$/\1/p' <<<"$answer")
  grep -q "version $version in force at 4 entry VMs" <<<"$answer" || operator_fail "$answer"
  operator_expect 4 "$(cluster_ctl --json entries | grep -c "\"version\": $version,")" \
    "entry VMs with version $version"
done
cluster_signal entry-sur-1-2 STOP
code=0
edit 24 | cluster_ctl submit --wait --wait-time 8 - >"$cluster_dir/answer" 2>&1 || code=$?
cat "$cluster_dir/answer"
operator_expect 6 $code "exit code with an entry VM that is stopped"
grep -q 'not confirmed: entry-sur-1-2' "$cluster_dir/answer" || operator_fail "the paused entry VM is not named"
grep -q 'in force at 3 entry VMs' "$cluster_dir/answer" || operator_fail "the others did not confirm"
cluster_signal entry-sur-1-2 CONT
entries_have () { [ "$(cluster_ctl --json entries | grep -c "\"version\": $1,")" = 4 ]; }
cluster_wait_until 20 entries_have "$(operator_status version)"
edit 25 | cluster_ctl submit --wait - | grep -q 'at 4 entry VMs' || operator_fail "the resumed entry VM does not confirm"

cluster_kill entry-norte-1-1 || :
code=0
edit 26 | cluster_ctl submit --wait --wait-time 20 - >"$cluster_dir/answer" 2>&1 || code=$?
cat "$cluster_dir/answer"
grep -q 'in force at 3 entry VMs' "$cluster_dir/answer" || operator_fail "the others did not confirm"
echo "--wait: 4 entry VMs confirmed; a stopped one was named"

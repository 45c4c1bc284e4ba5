#!/usr/bin/env bash
# One command replaces a control VM that lost its disk and reports when the new
# one counts towards the quorum.  A second VM loses its disk right after the
# replacement; all acknowledged changes are still there.  Then a running leader
# is replaced.
set -eu
cd "$(dirname "$0")/../.."
source scripts/lib/cluster.sh
source scripts/lib/operator.sh
trap 'set +e; cluster_cleanup' EXIT
cluster_start_controls 3
cluster_wait_until 15 operator_is_leader_known
for rate in 1 2 3; do operator_document $rate | cluster_ctl submit - >/dev/null; done
key=$(cluster_ctl keys issue coop-azul | sed -n 's/^id //p')
cluster_ctl keys withdraw "$key" >/dev/null

# start_member ID: starts a control VM that waits to be added.
start_member () {
  cluster_free_port; member_port=$PORT
  cluster_free_port; member_http=$PORT
  cluster_run "control$1" "$cluster_bin/cy-control" --cluster "$cluster_name" \
    --secret-file "$cluster_dir/secret" --token-file "$cluster_dir/tokens" \
    --member-id "$1" --host 127.0.0.1 --port $member_port \
    --http-port $member_http --vm "control$1" --data "$cluster_dir/control$1" \
    --join=true
  cluster_https+=",http://127.0.0.1:$member_http"
}

# leader_id: prints the member id of the leader.
leader_id () { operator_status self; }

lost=$(leader_id)
cluster_kill "control$lost" || :
rm -rf "$cluster_dir/control$lost"
cluster_wait_until 15 operator_has_leader
operator_document 4 | cluster_ctl submit - >/dev/null
start_member 4
answer=$(cluster_ctl members replace "$lost" 4 127.0.0.1 $member_port $member_http)
echo "$answer"
grep -q 'member 4 counts toward the quorum' <<<"$answer" || operator_fail "the answer does not report the new voter"
operator_document 5 | cluster_ctl submit - >/dev/null

second=$(leader_id)
cluster_kill "control$second" || :
rm -rf "$cluster_dir/control$second"
cluster_wait_until 15 operator_has_leader
operator_expect 7 "$(operator_status version)" "version after the second loss"
cluster_ctl show | grep -q '"rate": 5' || operator_fail "the last document is lost"
cluster_ctl keys list | grep -q "^$key .* yes " || operator_fail "the withdrawal is lost"
cluster_ctl audit --verify
start_member 5
cluster_ctl members replace "$second" 5 127.0.0.1 $member_port $member_http

third=$(leader_id)
start_member 6
cluster_ctl members replace "$third" 6 127.0.0.1 $member_port $member_http
operator_expect 3 "$(cluster_ctl --json members list | grep -c '"voter": true')" "voters"
cluster_ctl --json members list | grep -q "\"id\": $third," && operator_fail "member $third is still in"
operator_expect 7 "$(operator_status version)" "version at the end"
operator_document 6 | cluster_ctl submit - >/dev/null
operator_expect 8 "$(operator_status version)" "version after one more submit"
for action in member-add member-remove; do
  operator_expect 3 "$(cluster_ctl --json audit | grep -c "\"action\": \"$action\"")" "$action in the audit trail"
done
cluster_ctl members replace 77 8 127.0.0.1 1 1 2>/dev/null && operator_fail "replaced an unknown member"
operator_expect 3 "$(cluster_ctl --json members list | grep -c '"id"')" "members after a refused replacement"
echo "three members replaced, one after the other; version 8 holds"

#!/usr/bin/env bash
# The audit trail lists refused attempts too and is the same on every control
# VM and after a restart; verification detects an edited or missing line.
set -eu
cd "$(dirname "$0")/../.."
source scripts/lib/cluster.sh
source scripts/lib/operator.sh
trap 'set +e; cluster_cleanup' EXIT
cluster_start_controls 3
cluster_wait_until 15 operator_is_leader_known
for rate in 1 2 3 4 5; do
  operator_document $rate | cluster_ctl submit - >/dev/null
done
operator_document -7 | cluster_operator=bob cluster_ctl submit - 2>"$cluster_dir/bad" \
  && operator_fail "a rate of -7 was accepted"
grep -q 'workspaces.coop-azul.rate: must be a number from 0 to 1e6, is -7' "$cluster_dir/bad" \
  || operator_fail "the wrong field is not named: $(cat "$cluster_dir/bad")"
operator_document 9 | cluster_operator=bob cluster_ctl submit --base 2 - >/dev/null 2>&1 \
  && operator_fail "an old base was accepted"
cluster_ctl --json audit >"$cluster_dir/trail"
for name in CY_E_DECL_FIELD CY_E_VERSION_CONFLICT; do
  grep -q "\"name\": \"$name\"" "$cluster_dir/trail" \
    || operator_fail "$name is not in the audit trail"
done
grep -q 'is -7' "$cluster_dir/trail" || operator_fail "the note is missing"
good=$(cluster_ctl audit --verify)
echo "$good"

# expect_broken FILE WHAT: the trail in FILE must not verify.
expect_broken () {
  local code=0
  "$cluster_bin/cyctl" audit --verify --file "$1" >/dev/null 2>"$cluster_dir/why" || code=$?
  operator_expect 7 $code "$2"
  echo "$2: $(cat "$cluster_dir/why")"
}

"$cluster_bin/cyctl" audit --verify --file "$cluster_dir/trail" >/dev/null
sed 's/"who": "bob"/"who": "eve"/' "$cluster_dir/trail" >"$cluster_dir/edited"
expect_broken "$cluster_dir/edited" "an edited name"
sed '0,/"to_version": 2/s//"to_version": 3/' "$cluster_dir/trail" >"$cluster_dir/edited"
expect_broken "$cluster_dir/edited" "an edited version"
awk '/^    [{]/ { n++ } n != 3' "$cluster_dir/trail" >"$cluster_dir/cut"
grep -q '"index": 3,' "$cluster_dir/cut" && operator_fail "line 3 was not cut"
expect_broken "$cluster_dir/cut" "a line cut out"

last=${good##* }
for i in 1 2 3; do cluster_kill control$i || :; done
for i in 1 2 3; do cluster_start_control $i; done
cluster_wait_until 15 operator_is_leader_known
operator_expect "$last" "$(cluster_ctl audit --verify | sed 's/.* //')" \
  "last hash after a restart of all"
cluster_kill "control$(operator_leader)" || :
cluster_wait_until 15 operator_is_leader_known
operator_expect "$last" "$(cluster_ctl audit --verify | sed 's/.* //')" \
  "last hash at another leader"

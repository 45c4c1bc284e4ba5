#!/usr/bin/env bash
# A key is shown once.  No log, audit line, list, metric or file in a data
# folder contains the text of a key or the token of an operator, before and
# after a withdrawal and a restart.
set -eu
cd "$(dirname "$0")/../.."
source scripts/lib/cluster.sh
source scripts/lib/operator.sh
trap 'set +e; cluster_cleanup' EXIT
cluster_start_controls 3
cluster_wait_until 15 operator_is_leader_known
operator_document 5 | cluster_ctl submit - >/dev/null
secrets=()
ids=()
for i in 1 2 3; do
  answer=$(cluster_ctl keys issue coop-azul)
  id=$(sed -n 's/^id //p' <<<"$answer")
  key=$(sed -n 's/^key //p' <<<"$answer")
  operator_expect "cyk_${id}_" "${key:0:$((${#id} + 5))}" "start of the key"
  ids+=("$id")
  secrets+=("${key#"cyk_${id}_"}")
done
cluster_ctl keys issue coop-azul --expires 5 >"$cluster_dir/issued"
secrets+=("$(sed -n 's/^key cyk_[^_]*_//p' "$cluster_dir/issued")")
rm "$cluster_dir/issued"
operator_expect 4 "$(cluster_ctl --json keys list | grep -c '"withdrawn": false')" "keys listed"
cluster_ctl keys withdraw "${ids[0]}" >/dev/null
cluster_ctl keys withdraw "${ids[0]}" >/dev/null
cluster_ctl keys list | grep -q "^${ids[0]} .* yes " || operator_fail "not listed as withdrawn"

# A rollback to a version before the withdrawal does not restore the key.
cluster_ctl rollback 1 >/dev/null
operator_document 7 | cluster_ctl submit - >/dev/null
cluster_ctl rollback 1 >/dev/null
operator_expect 1 "$(cluster_ctl --json keys list | grep -c '"withdrawn": true')" "withdrawn after a rollback"
cluster_ctl keys withdraw nobody 2>/dev/null && operator_fail "an unknown key was withdrawn"

# Fails if the text of a key or token is in any output or file.
search_secrets () {
  local secret place
  cluster_ctl --json audit >"$cluster_dir/list.audit"
  cluster_ctl --json history >"$cluster_dir/list.history"
  cluster_ctl --json keys list >"$cluster_dir/list.keys"
  cluster_ctl --json show >"$cluster_dir/list.state"
  for i in 1 2 3; do
    curl -s "$(operator_url $i)/metrics" >"$cluster_dir/list.metrics$i"
  done
  for secret in "${secrets[@]}"; do
    place=$(grep -rl -F -- "$secret" "$cluster_dir" || :)
    [ -z "$place" ] || operator_fail "a key's text is in $place"
  done
  for secret in token-of-alice token-of-bob; do
    place=$(grep -rl -F -- "$secret" "$cluster_dir" \
      | grep -v -e '/tokens$' -e '\.token$' || :)
    [ -z "$place" ] || operator_fail "an operator's token is in $place"
  done
}
search_secrets
for i in 1 2 3; do cluster_kill control$i || :; done
for i in 1 2 3; do cluster_start_control $i; done
cluster_wait_until 15 operator_is_leader_known
operator_expect 1 "$(cluster_ctl --json keys list | grep -c '"withdrawn": true')" "withdrawn after a restart"
search_secrets
grep -rqlF -- "${ids[1]}" "$cluster_dir/control1" || operator_fail "the search does not see the data folder"
echo "4 keys issued, 1 withdrawn: no text of a key or token in $(find "$cluster_dir" -type f | wc -l) files"

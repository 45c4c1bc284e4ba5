#!/usr/bin/env bash
# Two operators submit different documents with the same base version at the
# same time to different control VMs.  Exactly one is accepted, the other
# answer names the accepted change, and the version increases by one.
set -eu
cd "$(dirname "$0")/../.."
source scripts/lib/cluster.sh
source scripts/lib/operator.sh
trap 'set +e; cluster_cleanup' EXIT
ROUNDS=${ROUNDS:-20}
cluster_start_controls 3
cluster_wait_until 15 operator_has_leader

# submit_as NAME MEMBER BASE RATE: submits a document and writes the exit code
# to NAME.code.
submit_as () {
  local code=0
  operator_document "$4" | cluster_operator=$1 operator_at "$2" submit \
    --base "$3" - >"$cluster_dir/$1.answer" 2>&1 || code=$?
  echo "$code" >"$cluster_dir/$1.code"
}

wins_alice=0
for ((round = 1; round <= ROUNDS; round++)); do
  base=$((round - 1))
  submit_as alice $((round % 3 + 1)) $base $((2 * round)) &
  alice_pid=$!
  submit_as bob $(((round + 1) % 3 + 1)) $base $((2 * round + 1)) &
  bob_pid=$!
  wait $alice_pid $bob_pid
  codes="$(cat "$cluster_dir/alice.code") $(cat "$cluster_dir/bob.code")"
  case "$codes" in
    "0 3") winner=alice; loser=bob; rate=$((2 * round)); wins_alice=$((wins_alice + 1)) ;;
    "3 0") winner=bob; loser=alice; rate=$((2 * round + 1)) ;;
    *) cat "$cluster_dir"/*.answer; operator_fail "round $round: exit codes $codes" ;;
  esac
  grep -q "version $round by $winner" "$cluster_dir/$loser.answer" \
    || operator_fail "round $round: the answer to $loser does not name $winner"
  grep -q "it was: submit" "$cluster_dir/$loser.answer" \
    || operator_fail "round $round: the answer to $loser does not name the first action"
  operator_expect "$round" "$(operator_status version)" "version"
  cluster_ctl show | grep -q "\"rate\": $rate\$\|\"rate\": $rate," \
    || operator_fail "round $round: the winner's document is not in force"
done
echo "$ROUNDS races: one winner each, alice $wins_alice, bob $((ROUNDS - wins_alice))"

#!/usr/bin/env bash
# Two operators submit with the same base version at the same time to different
# members: exactly one is accepted, and the other answer names the first one.
set -u
cd "$(dirname "$0")/../.." || exit 1
source scripts/lib/cluster.sh
source scripts/lib/replica.sh
trap cluster_cleanup EXIT

submit_as () {   # NAME URL BASE RATE
  sed "s/\"rate\": 300,/\"rate\": $4,/" "$cluster_dir/document.json" \
    >"$cluster_dir/document-$1.json"
  "$cluster_bin/cyctl" --control "$2" --token-file "$cluster_dir/$1.token" \
    submit "$cluster_dir/document-$1.json" --base "$3" \
    >"$cluster_dir/race-$1" 2>&1
}

replica_start 3 || exit 1
for ((round = 1; round <= 20; round++)); do
  cluster_wait_until 15 replica_find_leader || exit 1
  replica_find_leader
  base=$(replica_field "$LEADER" version)
  urls=("$(replica_url 1),$cluster_https" "$(replica_url 2),$cluster_https")
  submit_as alice "${urls[0]}" "$base" $((400 + round)) & a=$!
  submit_as bob "${urls[1]}" "$base" $((600 + round)) & b=$!
  wait $a; first=$?
  wait $b; second=$?
  case "$first $second" in
    "0 3") loser=bob winner=alice ;;
    "3 0") loser=alice winner=bob ;;
    *) echo "round $round: exit codes $first and $second"
       cat "$cluster_dir"/race-*
       exit 1 ;;
  esac
  grep -q "by $winner" "$cluster_dir/race-$loser" \
    || { cat "$cluster_dir/race-$loser"; exit 1; }
done
echo "20 races, one winner each, every other answer names the winner"

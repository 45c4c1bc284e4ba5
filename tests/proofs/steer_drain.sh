#!/usr/bin/env bash
# A zone is drained under load: no request fails, the traffic that shifts to
# other zones in any window stays under the cap, and in the end the zone
# receives no client blocks.  Not checked here: the preview gives the amount in
# advance, and a drain that is ended early leaves the traffic where it is.
set -eu
cd "$(dirname "$0")/../.."
source scripts/lib/cluster.sh
source scripts/lib/steer.sh
trap 'set +e; cluster_cleanup' EXIT
steer_start
steer_read_shares entry-b1-1
echo "before: a1 $(steer_share_of a1), a2 $(steer_share_of a2), b1 $(steer_share_of b1), b2 $(steer_share_of b2)"
before=$(steer_share_of a1)
[ "$before" -gt $((steer_blocks / 4)) ] || steer_fail "a1 has only $before blocks"

build/bin/cy-load --lookup "$(IFS=,; echo "${cluster_entry_http[*]}")" \
  --service shop --keys "$cluster_dir/keys" --path /hourly --duration-ms 22000 --rate 150 --concurrency 16 \
  --spread false --expect-ok-percent 100 >"$cluster_dir/load.json" &
load=$!

read -rt 2 <> <(:) || :
cluster_ctl drain zone a1 >"$cluster_dir/drain.out" || { cat "$cluster_dir/drain.out"; steer_fail "drain refused"; }

# One sample each half second: client blocks that have shifted to other zones.
declare -a gained
start=$SECONDS
while [ $((SECONDS - start)) -lt 17 ]; do
  steer_read_shares entry-b1-1
  gained+=($((before - $(steer_share_of a1))))
  read -rt 0.4 <> <(:) || :
done
echo "gained by other zones, sample by sample: ${gained[*]}"
left=$(steer_share_of a1)
[ "$left" -eq 0 ] || steer_fail "$left blocks are still sent to a1"

# Every step is at most the cap, and there is more than one.
limit=$(awk -v n="$steer_blocks" -v c="$steer_cap" 'BEGIN { print int (n * c + 3 * sqrt (n * c * (1 - c)) + 1) }')
first=0
for g in "${gained[@]}"; do
  if [ "$g" -lt "$before" ] && [ "$g" -gt "$first" ]; then first=$g; fi
done
worst=0
for ((i = 1; i < ${#gained[@]}; i++)); do
  step=$((gained[i] - gained[i - 1]))
  if [ "$step" -gt "$worst" ]; then worst=$step; fi
done
echo "largest step $worst of $steer_blocks blocks, cap with sampling error $limit"
[ "$worst" -le "$limit" ] || steer_fail "a step of $worst blocks is above the cap"
[ "$first" -gt 0 ] || steer_fail "the zone moved in one step"

wait "$load" || { cat "$cluster_dir/load.json"; steer_fail "requests failed during the drain"; }
grep -E '"(requests|ok|not_run|unknown|wrong)":' "$cluster_dir/load.json" | head -5
echo "steer_drain: ok"

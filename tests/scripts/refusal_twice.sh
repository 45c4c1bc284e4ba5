#!/usr/bin/env bash
# Guards against a "not run" answer for a request that runs: a backend server
# sends its refusal of a request a second time on the persistent connection,
# where the answer to the next attempt is expected.
set -u
cd "$(dirname "$0")/../.."
source scripts/lib/hubs.sh
hubs_args=(--repeat-window 1s --repeat-ratio 1.0 --repeat-fixed 300)
hubs_start --instance twice --slots 2 --service-time-ms 50 \
  --fault refusal-twice --record "$cluster_dir/runs"
hubs_declare '"timeout_ms":3000,"goal_ms":2000,"attempts":2,"idempotent":false'

sent=0
send_request () {
  sent=$((sent + 1))
  hubs_announce "$(hubs_announcement twice "$served" 2 $sent)"
  hubs_request POST $sent 3000 -d confirm
}
count_runs () { grep -c "\"/x/$1\"" "$cluster_dir/runs"; }
refused_by_server () {
  send_request
  grep -q 'attempt_failed.*not_run"\?[=:]true' "$cluster_dir/gate.out"
}

# Waits for a refusal, then until the retry budget has covered a full window.
cluster_wait_until 10 refused_by_server || fail "the server refused nothing"
read -rt 1.5 <> <(:) || :
false_refusals=0
twice=0
for _ in $(seq 40); do
  send_request
  ran=$(count_runs "$sent")
  [ "$ran" -gt 1 ] && twice=$((twice + 1))
  case $CODE in
    503 | 429) [ "$ran" -gt 0 ] && false_refusals=$((false_refusals + 1)) ;;
  esac
done
[ $false_refusals = 0 ] || fail "$false_refusals of 40 requests ran and were refused"
[ $twice = 0 ] || fail "$twice of 40 requests ran twice"
echo "$failures failures"
[ $failures -eq 0 ]

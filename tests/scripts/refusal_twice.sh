#!/usr/bin/env bash
# Guards against callers that are told "not run, try again" for a request that
# runs: a backend server writes its refusal of a request once more on the kept
# connection, where the answer to the next attempt is due.
set -u
cd "$(dirname "$0")/../.."
source scripts/lib/hubs.sh
hubs_args=(--repeat-window 1s --repeat-ratio 1.0 --repeat-fixed 300)
hubs_start --instance twice --slots 2 --service-time-ms 50 \
  --fault refusal-twice --record "$cluster_dir/runs"
hubs_declare '"timeout_ms":3000,"goal_ms":2000,"attempts":2,"idempotent":false'

sent=0
ask () {
  sent=$((sent + 1))
  hubs_announce "$(hubs_entry twice "$served" 2 $sent)"
  hubs_request POST $sent 3000 -d confirm
}
runs () { grep -c "\"/x/$1\"" "$cluster_dir/runs"; }
refused_by_server () {
  ask
  grep -q 'attempt_failed.*not_run"\?[=:]true' "$cluster_dir/gate.out"
}

# Until a refusal was seen and the budget of repeats has listened for a window.
cluster_wait_until 10 refused_by_server || fail "the server refused nothing"
read -rt 1.5 <> <(:) || :
false_refusals=0
twice=0
for _ in $(seq 40); do
  ask
  ran=$(runs "$sent")
  [ "$ran" -gt 1 ] && twice=$((twice + 1))
  case $CODE in
    503 | 429) [ "$ran" -gt 0 ] && false_refusals=$((false_refusals + 1)) ;;
  esac
done
[ $false_refusals = 0 ] || fail "$false_refusals of 40 requests ran and were refused"
[ $twice = 0 ] || fail "$twice of 40 requests ran twice"
echo "$failures failures"
[ $failures -eq 0 ]

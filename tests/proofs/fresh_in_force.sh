#!/usr/bin/env bash
# Measures the time from the submission of a change until it is in force at
# every entry VM: the slowest of 60 changes must stay within the stated target
# of 2 s in this small cluster.
set -u
cd "$(dirname "$0")/../.." || exit 1
source scripts/lib/cluster.sh
source scripts/lib/zone.sh
trap cluster_cleanup EXIT
changes=${CHANGES:-60}
bound_ms=2000

zone_start_fleet || exit 1
times=$(for ((i = 0; i < changes; i++)); do
  start=$(date +%s%N)
  zone_submit $((100 + i)) 100 >/dev/null || exit 1
  echo $((($(date +%s%N) - start) / 1000000))
done) || exit 1
sorted=$(sort -n <<<"$times")
worst=$(tail -n 1 <<<"$sorted")
echo "$changes changes, command to in force everywhere:" \
  "median $(sed -n "$((changes / 2))p" <<<"$sorted") ms, worst $worst ms, bound $bound_ms ms"
[ "$(wc -l <<<"$times")" -eq "$changes" ] && [ "$worst" -le $bound_ms ]

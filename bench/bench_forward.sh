#!/usr/bin/env bash
# Compares requests forwarded by an entry VM with requests sent to the stand-in
# backend server directly, both over persistent connections.  Bounds:
# throughput per core at least 0.35 of direct; median added latency at most
# twice the direct median; memory of an entry VM with 1,000 connected callers
# below 64 MB.
set -u
cd "$(dirname "$0")/.." || exit 1
source scripts/lib/cluster.sh
source scripts/lib/path.sh
trap cluster_cleanup EXIT
requests=${REQUESTS:-30000}
rounds=${ROUNDS:-3}
ticks=$(getconf CLK_TCK)

# read_cpu_ticks NAME...: sets CPU to the processor time of these processes, in
# clock ticks.
read_cpu_ticks () {
  local name sum=0 stat
  for name in "$@"; do
    stat=$(<"/proc/${cluster_pid[$name]}/stat")
    # shellcheck disable=SC2086
    set -- ${stat##*) }
    sum=$((sum + ${12} + ${13}))
  done
  CPU=$sum
}

# run_load NAME PROCESSES ARGS...: runs cy-load once; sets SECONDS_USED to the
# processor time of PROCESSES and cy-load in seconds.
run_load () {
  local name=$1 processes=$2 before driver
  shift 2
  # shellcheck disable=SC2086
  read_cpu_ticks $processes; before=$CPU
  TIMEFORMAT='%U %S'
  driver=$( { time "$cluster_bin/cy-load" --service billing \
    --keys "$cluster_dir/keys" "$@" >"$cluster_dir/$name.json"; } 2>&1 )
  # shellcheck disable=SC2086
  read_cpu_ticks $processes
  SECONDS_USED=$(awk -v a="$before" -v b="$CPU" -v t="$ticks" -v d="$driver" \
    'BEGIN { split (d, s, " "); print (b - a) / t + s[1] + s[2] }')
}

path_start 1 || exit 1
cluster_start_backend "$path_zone" billing b1 --slots 64 --record ""
cluster_wait_ready backend-b1 && path_wait_service billing || exit 1
backend=127.0.0.1:$(sed -n 's/.*http=//p' "$cluster_dir/backend-b1.out")
entry=$(path_entries)
name=${!cluster_entry_zone[*]}
fail=0
# check_bound TEXT VALUE OPERATOR BOUND: prints and checks one bound.
check_bound () {
  awk -v v="$2" -v b="$4" -v o="$3" 'BEGIN { exit !(o == ">=" ? v >= b : v <= b) }' \
    && echo "ok    $1: $2 $3 $4" || { echo "BREAK $1: $2 $3 $4"; fail=1; }
}

# median VALUE...: prints the median.
median () {
  printf '%s\n' "$@" | sort -n | sed -n "$((($# + 1) / 2))p"
}

run_load warm "backend-b1 $name" --lookup "$entry" --requests 2000 --concurrency 16
ratios=()
printf '%-6s %12s %12s %8s\n' round "direct/core" "entry/core" ratio
for ((i = 1; i <= rounds; i++)); do
  run_load direct backend-b1 --direct "$backend" --requests "$requests" --concurrency 16
  direct=$(awk -v r="$requests" -v s="$SECONDS_USED" 'BEGIN { printf "%.0f", r / s }')
  run_load through "backend-b1 $name" --lookup "$entry" --requests "$requests" --concurrency 16 \
    --expect-ok-percent 100 || fail=1
  through=$(awk -v r="$requests" -v s="$SECONDS_USED" 'BEGIN { printf "%.0f", r / s }')
  ratio=$(awk -v a="$through" -v b="$direct" 'BEGIN { printf "%.3f", a / b }')
  printf '%-6s %12s %12s %8s\n' "$i" "$direct" "$through" "$ratio"
  ratios+=("$ratio")
done
printf '%-6s %12s %12s %8s\n' round "direct p50" "entry p50" "added/direct"
added=()
for ((i = 1; i <= rounds; i++)); do
  run_load direct1 backend-b1 --direct "$backend" --requests 3000 --concurrency 1
  run_load through1 "backend-b1 $name" --lookup "$entry" --requests 3000 --concurrency 1
  d=$(path_field direct1 p50_ms)
  t=$(path_field through1 p50_ms)
  added+=("$(awk -v d="$d" -v t="$t" 'BEGIN { printf "%.2f", (t - d) / d }')")
  printf '%-6s %12s %12s %8s\n' "$i" "$d" "$t" "${added[-1]}"
done
run_load many "backend-b1 $name" --lookup "$entry" --requests 8000 --concurrency 1000
memory=$(awk '/VmHWM/ { printf "%.1f", $2 / 1024 }' "/proc/${cluster_pid[$name]}/status")
open=$(awk -v p="$(printf '%04X' "${entry##*:}")" '$2 ~ ":" p "$" && $4 == "01"' /proc/net/tcp | wc -l)
echo "entry VM after 1,000 callers: $memory MB at most, connections then open: $open"
check_bound "throughput per core, share of direct" "$(median "${ratios[@]}")" ">=" 0.35
check_bound "median added latency, times direct" "$(median "${added[@]}")" "<=" 2
check_bound "memory with 1,000 callers, MB" "$memory" "<=" 64
exit $fail

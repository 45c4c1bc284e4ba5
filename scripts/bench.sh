#!/usr/bin/env bash
# Runs the benchmark programs given as arguments and the scripts of bench/.
# Fails if one of them exceeds a bound.
set -u
cd "$(dirname "$0")/.." || exit 1
source scripts/lib/tally.sh
run_benchmark () {
  local name=$1
  shift
  echo "== $name"
  if timeout "${BENCH_TIMEOUT_S:-300}" "$@"; then
    passed=$((passed + 1))
  else
    tally_fail "$name" 1
  fi
}
for program in "$@"; do
  run_benchmark "$(basename "$program")" "$program"
done
for script in bench/bench_*.sh; do
  [ -e "$script" ] && run_benchmark "$(basename "$script" .sh)" bash "$script"
done
tally_finish

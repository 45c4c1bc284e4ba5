#!/usr/bin/env bash
# scripts/sanitize.sh thread|address [TARGET...]: builds with a sanitizer in
# build-thread or build-address and runs every test program, or only the
# TARGETs (paths below tests/ such as hub/test_delta).  Ends with "N passed, N
# failed"; the reports of the sanitizer are in the folder reports of the build
# folder.
set -u
cd "$(dirname "$0")/.." || exit 1
kind=${1:-thread}
shift || true
build=build-$kind
case "$kind" in
  thread) flags="-fsanitize=thread -include tests/tsan/locks.h" ;;
  address) flags="-fsanitize=address,undefined" ;;
  *) echo "sanitize: \"$kind\" is not a checker; allowed are thread and address" >&2; exit 2 ;;
esac
make -j "$(nproc)" BUILD="$build" SANITIZE="$flags" build-all tests >"$build.log" 2>&1 \
  || { tail -n 20 "$build.log"; exit 1; }
mkdir -p "$build/reports"
rm -f "$build"/reports/*
export G_SLICE=always-malloc
export TSAN_OPTIONS="suppressions=$PWD/tests/tsan/suppressions log_path=$PWD/$build/reports/thread exitcode=66"
export ASAN_OPTIONS="log_path=$PWD/$build/reports/address detect_leaks=0"
export UBSAN_OPTIONS="print_stacktrace=1 halt_on_error=1 log_path=$PWD/$build/reports/undefined"
programs=("$@")
[ ${#programs[@]} -eq 0 ] && mapfile -t programs < <(cd tests && ls */test_*.c | sed 's/\.c$//')
passed=0 failed=0
for program in "${programs[@]}"; do
  if "$build/tests/$program" >"$build/reports/$(basename "$program").out" 2>&1 </dev/null; then
    passed=$((passed + 1))
  else
    failed=$((failed + 1)); echo "FAILED: $program"
    grep -h SUMMARY "$build"/reports/* 2>/dev/null | sort | uniq -c | sort -rn | head -n 8
  fi
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]

#!/usr/bin/env bash
# cyctl without a cluster: every command has a help text and is named on the
# man page; wrong arguments and unreachable control VMs give the documented
# exit codes.
set -u
cd "$(dirname "$0")/../.."
source scripts/lib/cluster.sh
trap 'rm -rf "$cluster_dir"' EXIT
cyctl=build/bin/cyctl
failures=0

# expect CODE ARGS...: runs cyctl and checks its exit code.
expect () {
  local wanted=$1 got=0
  shift
  "$cyctl" "$@" >"$cluster_dir/out" 2>"$cluster_dir/err" </dev/null || got=$?
  if [ "$got" != "$wanted" ]; then
    echo "cyctl $*: exit code $got, wanted $wanted"
    cat "$cluster_dir/err"
    failures=$((failures + 1))
  fi
}

commands=$("$cyctl" --help | sed -n '/^Commands:/,/^$/s/^  \([a-z]* \{0,1\}[a-z]*\).*/\1/p')
[ "$(wc -l <<<"$commands")" -ge 20 ] || { echo "too few commands"; exit 1; }
while read -r first second; do
  case "$first" in keys | members) set -- "$first" "$second" ;; *) set -- "$first" ;; esac
  expect 0 "$@" --help
  grep -q -- "--control" "$cluster_dir/out" || { echo "$*: no help"; failures=$((failures + 1)); }
  for word in "$@"; do
    grep -qw -- "$word" man/cyctl.1 || { echo "$word is not in man/cyctl.1"; failures=$((failures + 1)); }
  done
done <<<"$commands"

cluster_free_port
unreachable=(--control "http://127.0.0.1:$PORT" --timeout 1)
expect 2
expect 2 nonsense
expect 2 submit
expect 2 submit --nonsense x
expect 2 submit "$cluster_dir/missing"
expect 2 keys
expect 2 drain zone
expect 2 why billing --since 10x
expect 2 members add x 127.0.0.1 1 2
expect 2 "${unreachable[@]}" --timeout 0 status
expect 4 "${unreachable[@]}" status
expect 4 "${unreachable[@]}" keys list
expect 4 "${unreachable[@]}" submit -
expect 4 "${unreachable[@]}" keys withdraw 1
expect 4 "${unreachable[@]}" --token-file "$cluster_dir/missing" status
printf '{"lines":[],"previous":""}' >"$cluster_dir/trail"
expect 0 audit --verify --file "$cluster_dir/trail"
printf '{"lines":[{"index":1,"hash":"00"}],"previous":""}' >"$cluster_dir/trail"
expect 7 audit --verify --file "$cluster_dir/trail"
printf 'no JSON' >"$cluster_dir/trail"
expect 2 audit --verify --file "$cluster_dir/trail"
[ $failures -eq 0 ]

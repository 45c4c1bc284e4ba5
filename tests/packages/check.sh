#!/usr/bin/env bash
# The command `build` of the deploy file may use only system packages that its
# `packages` install, whatever else is installed on this machine.  The build
# runs in a fresh checkout under strace; each file that it opens or runs is
# looked up in the lists of dpkg.  With --list the files are printed too.
#
# `packages` must name the packages of the programs that the build runs, of the
# headers that our sources include and of the libraries that are requested from
# pkg-config.  Packages that these use may be dependencies of a listed package.
set -u
cd "$(dirname "$0")/../.." || exit 1
source tests/packages/trace.sh
export LC_ALL=C.UTF-8
dir=$(mktemp -d)
dir=$(realpath "$dir")
trap 'rm -rf "$dir"' EXIT

# print_closure ESSENTIAL ROOTS: prints the packages that come with ROOTS.
print_closure () {
  awk -v essential="$1" -v roots="$2" -f tests/packages/closure.awk \
    "$dir/installed" | sort
}

# is_metapackage PACKAGE: true when the package has no files.  It represents
# its dependencies: build-essential the compiler, pkg-config pkgconf.
is_metapackage () {
  ! dpkg-query -L "$1" | grep -vE '^(/\.|/usr|/usr/share(/.*)?)$' | grep -q .
}

# check_listed LISTED...: prints the packages that the build uses and LISTED
# does not install; fails if there are any.
check_listed () {
  local package metapackages=""
  for package in "$@"; do
    dpkg-query -W "$package" >/dev/null 2>&1 ||
      { echo "packages: $package is not installed"; return 1; }
    is_metapackage "$package" && metapackages+=" $package"
  done
  print_closure 1 "$*" >"$dir/brought"
  { print_closure 1 "$metapackages"; printf '%s\n' "$@"; } | sort -u >"$dir/named"
  awk -F '\t' -v brought="$dir/brought" -v named="$dir/named" '
    BEGIN { while ((getline line < brought) > 0) comes[line] = 1
            while ((getline line < named) > 0) listed[line] = 1 }
    $2 == "-" { print "packages: no package holds " $3; bad = 1; next }
    !($2 in comes)                { why = "packages do not bring it" }
    $2 in comes && !($2 in listed) && $1 != "open" { why = "packages do not list it" }
    why != "" { print "packages: " $3 " is of " $2 ": " why; bad = 1; why = "" }
    END { exit bad }' "$dir/used"
}

# Prints the number of files of each package.
summary () {
  awk -F '\t' -v named="$dir/named" '
    BEGIN { while ((getline line < named) > 0) listed[line] = 1 }
    $2 == "-" { next }
    { all[$2]++ } $1 == "run" { run[$2]++ } $1 == "include" { inc[$2]++ }
    END { for (p in all)
            printf "%-24s %4d files, %2d run, %2d included by name%s\n", p,
              all[p] - inc[p], run[p], inc[p],
              p in listed ? "" : ", a dependency" }' "$dir/used" | sort
}

command=$(trace_setting build)
mapfile -t listed < <(trace_listed)
if [ -z "$command" ] || [ ${#listed[@]} -eq 0 ]; then
  echo "packages: deploy/system.toml has no line for build or packages"
  exit 1
fi
dpkg-query -W -f '${db:Status-Status}\t${Package}\t${Essential}\t${Provides}\t${Pre-Depends}, ${Depends}\n' |
  sed -n 's/^installed\t//p' >"$dir/installed"
trace_build "$command" "$dir" || { echo "packages: the build failed"; exit 1; }
trace_owners "$dir"
trace_headers "$dir" || { echo "packages: no flags for the headers"; exit 1; }
while read -r module; do
  awk -F '\t' -v file="/$module.pc" '
    substr ($3, length ($3) - length (file) + 1) == file {
      print "module\t" $2 "\t" $3 }' "$dir/used"
done <"$dir/modules" >"$dir/asked"
cat "$dir/asked" >>"$dir/used"

check_listed "${listed[@]}" || exit 1
summary
[ "${1:-}" = --list ] && sort -t $'\t' -k 2,3 "$dir/used"

# Test of this check: it must fail without any of the listed packages, and with
# a file that no listed package installs, such as a library of the tests.
failures=0
for out in "${listed[@]}"; do
  rest=()
  for package in "${listed[@]}"; do
    [ "$package" = "$out" ] || rest+=("$package")
  done
  if check_listed "${rest[@]}" >"$dir/missed"; then
    echo "packages: nothing is missed without $out"
    failures=$((failures + 1))
  fi
done
cp "$dir/used" "$dir/used.real"
for case in open:check:/usr/include/check.h run:git:/usr/bin/git \
  open:-:/usr/local/include/zlib.h; do
  { cat "$dir/used.real"; tr ':' '\t' <<<"$case"; } >"$dir/used"
  if check_listed "${listed[@]}" >"$dir/missed"; then
    echo "packages: $case is not reported"
    failures=$((failures + 1))
  fi
done
exit $((failures > 0))

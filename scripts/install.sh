#!/usr/bin/env bash
# Installs programs, library, headers, man pages and the pkg-config file.
#   scripts/install.sh DESTDIR [PREFIX]
set -eu
cd "$(dirname "$0")/.."
destdir=${1?DESTDIR is missing, may be ''}
prefix=${2:-/usr/local}
version=$(sed -nE 's/^## \[?([0-9]+\.[0-9]+(\.[0-9]+)?).*/\1/p' CHANGELOG.md 2>/dev/null | head -n 1)
root=$destdir$prefix
for program in cy-control cy-zone cy-entry cy-hub cy-gate cyctl; do
  install -D -m 755 "build/bin/$program" "$root/bin/$program"
done
install -D -m 644 build/libcydeclare.a "$root/lib/libcydeclare.a"
for header in cydeclare.h cy_result.h; do
  install -D -m 644 "include/$header" "$root/include/cyclamenhaven/$header"
done
for page in man/*.[13]; do
  install -D -m 644 "$page" "$root/share/man/man${page##*.}/$(basename "$page")"
done
for page in docs/*.md; do
  install -D -m 644 "$page" "$root/share/doc/cyclamenhaven/$(basename "$page")"
done
for example in examples/*.c; do
  install -D -m 644 "$example" "$root/share/doc/cyclamenhaven/examples/$(basename "$example")"
done
mkdir -p "$root/lib/pkgconfig"
sed -e "s|@PREFIX@|$prefix|" -e "s|@VERSION@|${version:-0.1}|" \
  src/declare/libcydeclare.pc.in >"$root/lib/pkgconfig/libcydeclare.pc"
echo "installed into $root"

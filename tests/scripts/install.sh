#!/usr/bin/env bash
# The installation works without the source tree: a program builds against the
# installed library with pkg-config and prints its golden file.
set -eu
cd "$(dirname "$0")/../.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
scripts/install.sh "$folder" /opt/cy
export PKG_CONFIG_PATH=$folder/opt/cy/lib/pkgconfig PKG_CONFIG_SYSROOT_DIR=$folder
cp examples/links.c "$folder/program.c"
(cd "$folder" && cc program.c $(pkg-config --static --cflags --libs libcydeclare) -o program)
"$folder/program" | diff -u tests/declare/golden/links.json -
"$folder/opt/cy/bin/cyctl" --help | grep -q 'keys issue'
for page in cyctl.1 cy-control.1 cy-zone.1 cy-entry.1 cy-hub.1 cy-gate.1 libcydeclare.3; do
  [ -s "$folder/opt/cy/share/man/man${page##*.}/$page" ]
done

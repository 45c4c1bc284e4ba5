#!/usr/bin/env bash
# Every example prints exactly its golden file.
# GOLDEN_WRITE=1 overwrites the golden files.
set -eu
cd "$(dirname "$0")/../.."
golden=tests/declare/golden
count=0
for source in examples/*.c; do
  name=$(basename "$source" .c)
  if [ -n "${GOLDEN_WRITE:-}" ]; then
    "build/examples/$name" >"$golden/$name.json"
  fi
  "build/examples/$name" | diff -u "$golden/$name.json" -
  count=$((count + 1))
done
echo "$count examples print their golden files"
[ "$count" -ge 8 ]

#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for name in join early stale config drain; do
  "${CC:-cc}" -std=gnu11 -D_GNU_SOURCE -O1 -g -Wall -Wextra -I. -pthread \
    -o "target/review/$name" "review/$name.c" review/lib/stand.c
done

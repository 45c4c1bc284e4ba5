#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, into target/review-2/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
${CC:-cc} -std=gnu11 -O2 -Wall -Wextra -pthread -o target/review-2/stand \
  review/stand-2/main.c review/stand-2/server.c review/stand-2/wire.c

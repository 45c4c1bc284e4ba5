#!/usr/bin/env bash
# Runs cppcheck and clang-tidy over the source files given as arguments.
set -eu
cd "$(dirname "$0")/.."
flags=$(pkg-config --cflags glib-2.0 jansson libmicrohttpd libcurl \
  libprotobuf-c ck libxxhash check)
cppcheck --quiet --error-exitcode=1 --inline-suppr --std=c11 \
  --enable=warning,performance,portability --suppress=missingIncludeSystem \
  --suppress=unknownMacro --suppress=nullPointerOutOfMemory -j 4 \
  --library=posix -DCPPCHECK -Isrc -I. -Iinclude "$@"
printf '%s\0' "$@" | xargs -0 -P 6 -n 4 sh -c 'flags=$1; shift; clang-tidy --quiet "$@" -- -std=gnu11 -D_GNU_SOURCE -Isrc -I. -Iinclude -Iproto -Itests $flags 2>/dev/null' sh "$flags"

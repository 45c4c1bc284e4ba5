#!/usr/bin/env bash
# Replays the examples of docs/OPERATIONS.md: the output of cyctl explain for
# each request id, made from the logs in tests/explain/walks, must be on the
# page.
set -u
cd "$(dirname "$0")/../.."
failures=0
normalize_blanks () { tr -s ' \n' '  '; }
page=$(normalize_blanks <docs/OPERATIONS.md)
for walk in 33be17d08adaca8e:full 58a8888d5a791b42:timeout 9e6ce01026d91cc9:lost; do
  timeline=$(build/bin/cyctl explain "${walk%:*}" \
    --logs "tests/explain/walks/${walk#*:}.log" | fold -s -w 74 | normalize_blanks)
  if [[ $timeline != *cause:* || $page != *"$timeline"* ]]; then
    echo "the timeline of ${walk%:*} is not on the page: $timeline"
    failures=$((failures + 1))
  fi
done
[ $failures -eq 0 ]

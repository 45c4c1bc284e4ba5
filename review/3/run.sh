#!/usr/bin/env bash
# Exits with 1 when the rule was broken, 0 when it held, 2 when it could not
# run.  TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/stale review/3/record.txt

#!/usr/bin/env bash
# Prints the table of docs/ERRORS.md from include/cy_result.h.
cd "$(dirname "$0")/.." || exit 1
echo "| number | name | text |"
echo "|---|---|---|"
sed -nE 's/^  X \((CY_[A-Z_]+), ([0-9]+), "(.*)"\).*/| \2 | `\1` | \3 |/p' include/cy_result.h

#!/usr/bin/env bash
# A short run of the fault soak, and a run with every seed that failed before.
set -u
cd "$(dirname "$0")/../.."
bash tests/soak/hub_soak.sh 1 6 || exit 1
while read -r seed _; do
  case "$seed" in '' | '#'*) continue ;; esac
  bash tests/soak/hub_soak.sh "$seed" || exit 1
done <tests/soak/seeds.txt

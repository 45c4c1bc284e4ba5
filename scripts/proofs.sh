#!/usr/bin/env bash
# Runs the failure proofs of docs/PROOFS.md: every script of tests/proofs, or
# only those whose names are given as arguments.
set -u
cd "$(dirname "$0")/.." || exit 1
source scripts/lib/tally.sh
export TEST_TIMEOUT_S=${TEST_TIMEOUT_S:-240}
export TALLY_SHOW=${TALLY_SHOW-1}
names=("$@")
[ ${#names[@]} -eq 0 ] && names=(tests/proofs/*.sh)
for proof in "${names[@]}"; do
  [ -e "$proof" ] || proof="tests/proofs/$proof.sh"
  [ -e "$proof" ] && tally_script "$proof"
done
tally_finish

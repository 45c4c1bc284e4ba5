# Counts the results of test programs and scripts.  Sourced, never run.
passed=0
failed=0
known=0

# tally_is_known NAME: true when an entry of KNOWN-RED.txt starts with NAME.
tally_is_known () {
  [ -s KNOWN-RED.txt ] && grep -qE "^- $1( |:|$)" KNOWN-RED.txt
}

# tally_fail NAME COUNT: counts a failure; known ones are counted separately.
tally_fail () {
  if tally_is_known "$1"; then
    known=$((known + 1))
    echo "KNOWN RED: $1 (see KNOWN-RED.txt)"
  else
    failed=$((failed + $2))
    echo "FAILED: $1"
  fi
}

# tally_check_program PROGRAM: runs a program of the check library and adds its
# counts.
tally_check_program () {
  local name out line checks failures errors status
  name=$(basename "$1")
  out=$(mktemp)
  CK_VERBOSITY=normal timeout "${TEST_TIMEOUT_S:-300}" "$1" >"$out" 2>&1
  status=$?
  line=$(grep -E '^[0-9]+%: Checks:' "$out" | tail -n 1)
  checks=$(sed -nE 's/.*Checks: ([0-9]+),.*/\1/p' <<<"$line")
  failures=$(sed -nE 's/.*Failures: ([0-9]+),.*/\1/p' <<<"$line")
  errors=$(sed -nE 's/.*Errors: ([0-9]+).*/\1/p' <<<"$line")
  if [ -z "$checks" ] || [ "$checks" -eq 0 ]; then
    cat "$out"
    tally_fail "$name" 1
  else
    passed=$((passed + checks - failures - errors))
    if [ $((failures + errors)) -gt 0 ] || [ $status -ne 0 ]; then
      cat "$out"
      local bad_checks=$((failures + errors))
      tally_fail "$name" $((bad_checks > 0 ? bad_checks : 1))
    else
      echo "ok $name ($checks)"
    fi
  fi
  rm -f "$out"
}

# tally_script SCRIPT: runs a test script, which passes with exit code 0.
tally_script () {
  local name out
  name=$(basename "$1" .sh)
  out=$(mktemp)
  if timeout "${TEST_TIMEOUT_S:-300}" bash "$1" >"$out" 2>&1; then
    passed=$((passed + 1))
    echo "ok $name"
    [ -n "${TALLY_SHOW:-}" ] && cat "$out"
  else
    cat "$out"
    tally_fail "$name" 1
  fi
  rm -f "$out"
}

# Prints the totals; fails when a test failed that is not known.
tally_finish () {
  if [ $known -gt 0 ]; then
    echo "known red, passed over: $known"
    cat KNOWN-RED.txt
  fi
  echo "$passed passed, $failed failed"
  [ $failed -eq 0 ]
}

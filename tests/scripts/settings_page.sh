#!/usr/bin/env bash
# docs/SETTINGS.md equals the settings tables that the programs print.  A
# program with an invalid setting does not start and prints its name, its value
# and the allowed values.
set -eu
cd "$(dirname "$0")/../.."
diff docs/SETTINGS.md <(scripts/settings_page.sh)

# refuses TEXT COMMAND...: COMMAND must fail and print TEXT.
refuses () {
  local text=$1 out
  shift
  if out=$("$@" 2>&1 </dev/null); then
    echo "accepted: $*"
    exit 1
  fi
  grep -qF -- "$text" <<<"$out" || { echo "$* printed: $out"; exit 1; }
}
refuses '--port (CY_PORT) is "70000"; allowed is 0 to 65535' \
  build/bin/cy-control --member-id 1 --vm a --port 70000 --data x --cluster c \
  --secret-file x --token-file x
refuses '--member-id (CY_MEMBER_ID) is required' build/bin/cy-control
refuses '--host (CY_HOST) is "localhost"; allowed is an IP number' \
  env CY_HOST=localhost build/bin/cy-control --member-id 1 --vm a --data x \
  --cluster c --secret-file x --token-file x
refuses 'unknown argument "extra"' build/bin/cy-control --member-id 1 extra
refuses '--members (CY_MEMBERS) has "1=127.0.0.1"' build/bin/cy-control \
  --member-id 1 --vm a --data x --cluster c --token-file x \
  --secret-file <(echo 0123456789abcdef) --members 1=127.0.0.1
refuses '--grace (CY_GRACE) is "200ms"; allowed is a time such as 1500ms or 2.5s, 1000ms to 3600000ms' \
  build/bin/cy-gate --vm a --zone a --region r --regions a=r \
  --listen 127.0.0.1:1 --seeds 127.0.0.1:1 --secret-file x --grace 200ms

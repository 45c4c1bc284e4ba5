#!/usr/bin/env bash
# An entry VM was down during 500 changes, among them the withdrawal of a key
# that it had accepted.  After its restart it never accepts that key and
# accepts the newest one.
set -u
cd "$(dirname "$0")/../.." || exit 1
source scripts/lib/cluster.sh
source scripts/lib/zone.sh
trap cluster_cleanup EXIT
changes=${CHANGES:-500}

zone_start_fleet || exit 1
zone_submit 1000 1000 || exit 1
read -r old_id old_key < <(zone_issue_key acme)
entry=${cluster_entry_http[entry-z1-1]}

# status KEY: prints the HTTP status that the entry VM answers, 000: no answer.
status () {
  curl -s -m 2 -o /dev/null -w '%{http_code}' -H "Authorization: Bearer $1" \
    "http://$entry/s/orders/"
}
serves () {
  [ "$(status "$1")" = 200 ]
}

cluster_wait_until 20 serves "$old_key" || exit 1
cluster_kill entry-z1-1
cluster_ctl keys withdraw "$old_id" >/dev/null || exit 1
for ((i = 0; i < changes; i++)); do
  read -r _ new_key < <(zone_issue_key acme)
done
cluster_start_entry r1 z1 entry-z1-1
asked=0 served=0 refused=0 withdrawn=0
deadline=$((SECONDS + 20))
while [ $SECONDS -lt $deadline ] && [ $withdrawn -lt 50 ]; do
  answer=$(status "$old_key")
  asked=$((asked + 1))
  case $answer in
    200) served=$((served + 1)) ;;
    401) withdrawn=$((withdrawn + 1)) ;;
    *) refused=$((refused + 1)) ;;
  esac
done
echo "$changes changes behind: the withdrawn key asked $asked times, served" \
  "$served, refused as withdrawn $withdrawn, not yet answered $refused"
cluster_wait_until 10 serves "$new_key" || exit 1
echo "the newest of $changes keys is served"
[ $served -eq 0 ] && [ $withdrawn -ge 50 ]

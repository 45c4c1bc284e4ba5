#!/usr/bin/env bash
# Measures what leaves of backend servers cost 18 control VMs in 9 availability
# zones, and the same rate of changes in the replicated log: bytes between
# control VMs and writes to disk, a second each.  Then restarts all of them with
# many departures on disk.  Prints lines
#   WAY RATE_A_MINUTE BYTES_A_SECOND WRITES_A_SECOND
set -eu
cd "$(dirname "$0")/.."
source scripts/lib/cluster.sh
trap 'cluster_stop; rm -rf "$cluster_dir"' EXIT
cluster_secrets
window_s=${CAPACITY_WINDOW_S:-20}
restart_count=${CAPACITY_DEPARTURES:-10000}
net=127.$((RANDOM % 200 + 20)).$((RANDOM % 250))
cluster_free_port; peer=$PORT
cluster_free_port; http=$PORT
map="" seeds=""
for zone in a b c d e f g h i; do
  map+="${map:+,}$zone=r$((($(printf '%d' "'$zone") - 97) / 3))"
done
for i in 1 3 5; do seeds+="${seeds:+,}$net.$i:$http"; done

run_control () { # NUMBER [FLAGS...]
  local zone region
  zone=$(printf "\\$(printf '%o' $((97 + ($1 - 1) / 2)))")
  region=r$((($1 - 1) / 6))
  mkdir -p "$cluster_dir/hub$1"
  cluster_run "hub$1" "$cluster_bin/cy-hub" --vm "hub$1" --zone "$zone" \
    --region "$region" --regions "$map" --host "$net.$1" --port "$peer" \
    --control "$net.$1:$http" --seeds "$seeds" --data "$cluster_dir/hub$1" \
    --spare-disks 2 --secret-file "$cluster_dir/secret" "${@:2}"
}
metrics () { # REGULAR EXPRESSION: the sum over all control VMs
  local i
  for i in {1..18}; do curl -s "http://$net.$i:$http/metrics"; done \
    | awk -v p="$1" '$0 ~ p { s += $NF } END { printf "%.0f\n", s }'
}
sent_bytes='^cy_net_sent_bytes_total'
writes='^cy_departure_writes_total|^cy_replica_syncs_total'
leave () { # ID
  printf '{"instance":"%s","service":"s","zone":"a","host":"%s","port":9,"slots":4,"sequence":9,"born_unix_ms":1000,"state":"gone"}' \
    "$1" "$net.99"
}
# post_leaves FIRST COUNT: sends leaves to control VM 2 over a few connections.
post_leaves () {
  local i
  for ((i = $1; i < $1 + $2; i++)); do
    [ "$i" = "$1" ] || echo next
    printf 'url = "http://%s.2:%s/v1/announce"\nrequest = POST\noutput = /dev/null\ndata = "%s"\n' \
      "$net" "$http" "$(leave "i-$i" | sed 's/"/\\"/g')"
  done >"$cluster_dir/leaves"
  curl -sS --no-progress-meter -Z --parallel-max 40 -K "$cluster_dir/leaves"
}
drain () { # METHOD
  curl -s -L -o /dev/null -X "$1" "http://$net.2:$http/v1/drained-zones?zone=i"
}
# measure WAY RATE COMMAND...: runs COMMAND NUMBER at RATE a minute.
measure () {
  local way=$1 rate=$2 i bytes written end
  shift 2
  bytes=$(metrics "$sent_bytes") written=$(metrics "$writes")
  end=$(($(date +%s%3N) + window_s * 1000))
  for ((i = 0; $(date +%s%3N) < end; i++)); do
    [ "$rate" = 0 ] || "$@" $i
    read -rt "$(awk -v r="$rate" 'BEGIN { printf "%.4f", r == 0 ? 1 : 60 / r }')" <> <(:) || :
  done
  awk -v w="$way" -v r="$rate" -v n="$i" -v s="$window_s" \
    -v b=$(($(metrics "$sent_bytes") - bytes)) \
    -v d=$(($(metrics "$writes") - written)) \
    'BEGIN { printf "%s %d %.0f %.1f (%d changes in %d s)\n", w, r, b / s, d / s, r == 0 ? 0 : n, s }'
}
one_leave () { post_leaves $((100000 * ${round:-1} + $1)) 1; }
one_drain () { if (($1 % 2)); then drain DELETE; else drain PUT; fi; }
for i in {1..18}; do
  case $i in 1 | 3 | 5) run_control $i --found true ;; *) run_control $i ;; esac
done
joined () { [ "$(cat "$cluster_dir"/hub*.out | grep -c 'adding member')" -ge 15 ]; }
cluster_wait_until 60 joined
read -rt 3 <> <(:) || :
measure rest 0 true
round=1 measure journal 2 one_leave
round=2 measure journal 1000 one_leave
measure log 2 one_drain
measure log 1000 one_drain

post_leaves 1000000 "$restart_count"
read -rt 2 <> <(:) || :
for i in {1..18}; do cluster_kill "hub$i"; done
ls -l "$cluster_dir/hub2/departures" | awk '{ print "file of departures, bytes:", $5 }'
start=$(date +%s%3N)
for i in {1..18}; do run_control $i; done
restored () { [ "$(cat "$cluster_dir"/hub*.out | grep -c 'read from the disk')" -ge 18 ]; }
cluster_wait_until 60 restored
echo "restart: all have read the disk after $(($(date +%s%3N) - start)) ms"
grep -ho 'departures of [0-9]* backend servers read' "$cluster_dir/hub2.out"
# The late announcement of one of them is refused.
late () { leave i-1000000 | sed 's/"gone"/"serving"/'; }
read -rt 3 <> <(:) || :
curl -s -o /dev/null -X POST --data "$(late)" "http://$net.9:$http/v1/announce"
grep -h 'i-1000000 .*ready' "$cluster_dir"/hub*.out && { echo "a late announcement was taken"; exit 1; }
awk '/^VmHWM:/ { print "peak memory of control VM 2, kB:", $2 }' /proc/"${cluster_pid[hub2]}"/status

#!/usr/bin/env bash
# tests/soak/hub_soak.sh SEED [SECONDS]: runs the hub layout as separate
# processes under random faults drawn from SEED, one after another and
# overlapping: control VMs, entry VMs and backend servers are killed, paused and
# restarted, entry VMs are stopped with SIGTERM, control VMs are replaced for good
# by new ones at other addresses, connections to backend servers stop answering,
# declarations change and zones are drained.  Checked with the records of callers,
# backend servers and the operator:
#   no request runs twice that must not, no request that ran is answered with
#   "not run", no answer belongs to another request; a read never returns a
#   declaration older than an acknowledged one, which is in force at the end; an
#   entry VM exits after SIGTERM; no other process exits; every entry VM serves
#   again after the faults, and as many control VMs may be lost as at the start;
#   a backend server that limits its requests gets no more in any 4 s.
set -u
cd "$(dirname "$0")/../.." || exit 1
source scripts/lib/cluster.sh
source scripts/lib/arrivals.sh
seed=${1:?a seed}
duration_s=${2:-14}
RANDOM=$seed
trap cluster_cleanup EXIT
cluster_secrets
net=127.$((seed % 200 + 20)).$((seed / 200 % 250))
regions=a=r1,b=r2,c=r3
zones=(a b c)
cluster_free_port; peer=$PORT
cluster_free_port; http=$PORT
cluster_free_port; listen=$PORT
seeds=$net.1:$http,$net.2:$http,$net.3:$http
found=true
failures=0

log () { echo "$(date +%T.%3N) $*"; }
fail () { log "FAILED: $*"; failures=$((failures + 1)); }
pause () { read -rt "$1" <> <(:) || :; }

# By control VM, 1 to 3: the last part of its address and the name of its
# process, which change when it is replaced.
host=(- 1 2 3)
hub=(- hub1 hub2 hub3)

start_hub () { # NUMBER
  mkdir -p "$cluster_dir/${hub[$1]}"
  cluster_run "${hub[$1]}" "$cluster_bin/cy-hub" --vm "${hub[$1]}" \
    --zone "${zones[$1 - 1]}" --region "r$1" --regions $regions \
    --host "$net.${host[$1]}" --port "$peer" --control "$net.${host[$1]}:$http" \
    --seeds "$seeds" --found $found --data "$cluster_dir/${hub[$1]}" \
    --spare-disks 1 --secret-file "$cluster_dir/secret"
}

start_gate () { # NUMBER
  cluster_run "gate$1" "$cluster_bin/cy-gate" --vm "gate$1" \
    --zone "${zones[$1 - 1]}" --region "r$1" --regions $regions \
    --listen "$net.1$1:$listen" --peer-port "$peer" --seeds "$seeds" \
    --secret-file "$cluster_dir/secret"
}

# By backend server: port, port of its proxy, start time in Unix ms, sequence
# number of its last announcement.
declare -A served fake incarnation sequence
# start_backend NUMBER: starts a backend server behind the TCP proxy
# test_tcp_fake; each start is a new incarnation.  Server 4 limits its requests.
limit_per_s=4
start_backend () {
  local limit=""
  incarnation[$1]=$(date +%s%3N)
  [ "$1" = 4 ] && limit=$limit_per_s
  cluster_run "backend$1" "$cluster_bin/cy-backend" --service s \
    --instance "i$1" --zone "${zones[($1 - 1) % 3]}" --port "${served[$1]}" \
    --slots 4 --service-time-ms $((10 + RANDOM % 30)) --limit "$limit" \
    --record "$cluster_dir/backend$1-${incarnation[$1]}.record"
  sequence[$1]=0
}

announce () { # NUMBER HUB
  sequence[$1]=$((sequence[$1] + 1))
  curl -s -m 0.4 -o "$cluster_dir/announced" -X POST --data \
    "{\"instance\":\"i$1\",\"service\":\"s\",\"zone\":\"${zones[($1 - 1) % 3]}\",
      \"host\":\"127.0.0.1\",\"port\":${fake[$1]},\"slots\":4,
      \"born_unix_ms\":${incarnation[$1]},\"sequence\":${sequence[$1]},
      \"state\":\"serving\"}" "http://$net.${host[$2]}:$http/v1/announce"
}

# Announces every backend server to a random control VM.
announce_all () {
  local i try
  for i in 1 2 3 4; do
    for try in 1 2 3; do
      announce $i $((RANDOM % 3 + 1)) && break
    done
  done
}

number=0   # number of the newest declaration sent
acked=0    # number of the newest declaration acknowledged
declare_next () {
  local code hub_number=$((RANDOM % 3 + 1))
  number=$((number + 1))
  cat >"$cluster_dir/document.json" <<DOCUMENT
{"number":$number,"services":{"s":{"connections":200}},
 "routes":{$(for i in 1 2 3; do
   echo "\"read$i\":{\"host\":\"$net.1$i\",\"prefix\":\"/r/\",\"open\":true,
     \"timeout_ms\":3000,\"goal_ms\":500,\"attempts\":3,\"idempotent\":true,
     \"backends\":[{\"service\":\"s\",\"weight\":1}]},
    \"write$i\":{\"host\":\"$net.1$i\",\"prefix\":\"/w/\",\"open\":true,
     \"timeout_ms\":3000,\"goal_ms\":500,\"attempts\":3,
     \"backends\":[{\"service\":\"s\",\"weight\":1}]}"
   [ "$i" = 3 ] || echo ,
 done)}}
DOCUMENT
  code=$(curl -s -m 2 -L -o "$cluster_dir/declared" -w '%{http_code}' -X PUT \
    --data-binary "@$cluster_dir/document.json" \
    "http://$net.${host[$hub_number]}:$http/v1/declaration")
  [ "$code" = 200 ] && acked=$number
  case "$code" in 4*) fail "declaration $number refused with $code" ;; esac
}

# read_back NUMBER: reads the declaration at a control VM, which must not be
# older than the newest one acknowledged before the read.
read_back () {
  local before=$acked body read_number
  body=$(curl -s -m 2 -L -f "http://$net.${host[$1]}:$http/v1/declaration") || return 1
  read_number=$(sed -nE 's/.*"number": *([0-9]+).*/\1/p' <<<"$body" | head -n 1)
  [ "${read_number:-0}" -ge "$before" ] \
    || fail "control VM $1 returned declaration ${read_number:-none}, $before was acknowledged"
}

serves () { # GATE
  announce_all
  curl -s -m 3 -f -o "$cluster_dir/got" "http://$net.1$1:$listen/r/"
}

# ------------------------------------------------------------ faults

hubs_down=0 # control VMs that are killed or paused; one at most
pending=() # "UNIX_MS COMMAND": ends a fault at that time

# schedule MS COMMAND...: schedules a command.
schedule () { pending+=("$(($(date +%s%3N) + $1)) ${*:2}"); }

run_pending () {
  local now not_due=() command
  now=$(date +%s%3N)
  local due=("${pending[@]}")
  pending=()
  for command in "${due[@]}"; do
    if [ "${command%% *}" -le "$now" ]; then ${command#* }; else not_due+=("$command"); fi
  done
  pending+=("${not_due[@]}")
}

hub_restart () { log "control VM $1 starts"; found=false; start_hub "$1"; hubs_down=$((hubs_down - 1)); }
hub_resume () { log "control VM $1 resumes"; cluster_signal "${hub[$1]}" CONT; hubs_down=$((hubs_down - 1)); }
gate_restart () { log "entry VM $1 starts"; start_gate "$1"; }
gate_resume () { log "entry VM $1 resumes"; cluster_signal "gate$1" CONT; }
backend_restart () { log "backend server $1 starts"; start_backend "$1"; }
drain () { # PUT|DELETE ZONE
  curl -s -m 2 -f -L -o "$cluster_dir/drained" -X "$1" \
    "http://$net.${host[RANDOM % 3 + 1]}:$http/v1/drained-zones?zone=$2"
}
end_drain () { drain DELETE "$1" || schedule 300 end_drain "$1"; }

replacements=0
# Draws a number below $1 into DRAWN, from a generator of its own, so that the
# other faults of a seed stay as they are.
state=$seed
draw () { state=$(((state * 1103515245 + 12345) % 2147483648)); drawn=$((state / 65536 % $1)); }

# Moves control VM $1 to a new address and starts it there with an empty folder.
hub_move () {
  replacements=$((replacements + 1))
  host[$1]=$((100 + replacements))
  hub[$1]=hub$1-$replacements
  seeds=$net.${host[1]}:$http,$net.${host[2]}:$http,$net.${host[3]}:$http
  found=false
  start_hub "$1"
}

# Starts the successor of control VM $1, which was killed for good.
hub_succeed () {
  log "a new control VM $1 starts at another address"
  hub_move "$1"
  schedule 5000 hub_settle "$1"
}

# Stops process $2, whose successor runs already, as planned.
hub_retire () { # NUMBER PROCESS
  log "$2 is stopped with SIGTERM, control VM $1 has another address"
  cluster_signal "$2" TERM
  schedule 2000 hub_reap "$1" "$2"
}
hub_reap () {
  cluster_kill "$2"
  schedule 3000 hub_settle "$1"
}
hub_settle () { hubs_down=$((hubs_down - 1)); }

# Replaces a control VM now and then, the new one first or the old one first.
replace_hub () {
  local n old
  draw 4
  [ $drawn = 0 ] && [ $hubs_down -eq 0 ] || return
  hubs_down=1
  draw 3; n=$((drawn + 1)) old=${hub[drawn + 1]}
  draw 2
  if [ $drawn = 0 ]; then
    log "control VM $n is killed for good"
    cluster_kill "$old"
    draw 2500; schedule $((500 + drawn)) hub_succeed $n
  else
    log "control VM $n is replaced as planned"
    hub_move $n
    draw 3000; schedule $((1000 + drawn)) hub_retire $n "$old"
  fi
}

gate_check_exit () {
  if kill -0 "${cluster_pid[gate$1]}" 2>/dev/null; then
    fail "entry VM $1 did not exit within 9 s after SIGTERM"
    cluster_kill "gate$1"
  else
    wait "${cluster_pid[gate$1]}" || fail "entry VM $1 exited with $?"
    unset "cluster_pid[gate$1]"
  fi
  gate_restart "$1"
}

# is_up NAME: true when the process runs and no pending command changes it;
# this relies on pending commands having the kind of the process as prefix.
is_up () { [ -n "${cluster_pid[$1]:-}" ] && [[ " ${pending[*]} " != *"${1//[0-9]/}_"*" ${1//[a-z]/}"* ]]; }

inject_fault () {
  local n=$((RANDOM % 3 + 1)) b=$((RANDOM % 4 + 1))
  case $((RANDOM % 10)) in
    0) [ $hubs_down -eq 0 ] || return
       log "control VM $n is killed"; hubs_down=1
       cluster_kill "${hub[n]}"; schedule $((500 + RANDOM % 2500)) hub_restart $n ;;
    1) [ $hubs_down -eq 0 ] || return
       log "control VM $n is paused"; hubs_down=1
       cluster_signal "${hub[n]}" STOP; schedule $((500 + RANDOM % 3500)) hub_resume $n ;;
    2) is_up "gate$n" || return
       log "entry VM $n is killed"
       cluster_kill "gate$n"; schedule $((200 + RANDOM % 1500)) gate_restart $n ;;
    3) is_up "gate$n" || return
       log "entry VM $n is paused"
       cluster_signal "gate$n" STOP; schedule $((300 + RANDOM % 2000)) gate_resume $n ;;
    4) is_up "gate$n" || return
       log "entry VM $n is stopped with SIGTERM"
       cluster_signal "gate$n" TERM; schedule 9000 gate_check_exit $n ;;
    5) is_up "backend$b" || return
       log "backend server $b is killed"
       cluster_kill "backend$b"; schedule $((300 + RANDOM % 1500)) backend_restart $b ;;
    6) log "connections to backend server $b stop answering"
       cluster_signal "fake$b" USR1 ;;
    7) log "zone ${zones[n - 1]} is drained"
       drain PUT "${zones[n - 1]}"
       schedule $((500 + RANDOM % 2000)) end_drain "${zones[n - 1]}" ;;
    8 | 9) declare_next ;;
  esac
}

# is_whole NUMBER: control VM NUMBER counts three voters, all of which live.
is_whole () {
  curl -s -m 2 "http://$net.${host[$1]}:$http/v1/status" \
    | grep -q '"voters":3,"voters_live":3,"losses_borne":1,'
}

# Checks the limit of server 4 from 4 s after each of its starts on.
limited_most=0
check_limit () {
  local record start most allowed=$((limit_per_s * 4 * 3 / 2 + 5))
  for record in "$cluster_dir"/backend4-*.record; do
    start=${record##*-}
    most=$(arrivals_most "$record" $((${start%.record} + 4000)))
    [ "$most" -le $allowed ] \
      || fail "$most requests in 4 s at a server that allows $allowed"
    limited_most=$((most > limited_most ? most : limited_most))
  done
}

# ------------------------------------------------------------ main

for i in 1 2 3; do start_hub $i; start_gate $i; done
for i in 1 2 3 4; do
  cluster_free_port; fake[$i]=$PORT
  cluster_free_port; served[$i]=$PORT
  start_backend $i
  cluster_run "fake$i" build/tests/path/test_tcp_fake "${fake[$i]}" "${served[$i]}"
done
cluster_wait_ready hub1 hub2 hub3 gate1 gate2 gate3 fake1 fake2 fake3 fake4 || exit 1
declare_first () { number=0; declare_next; [ $acked -ge 1 ]; }
cluster_wait_until 15 declare_first || { fail "no first declaration"; exit 1; }
for i in 1 2 3; do cluster_wait_until 15 serves $i || fail "entry VM $i never served"; done

targets=$net.11:$listen,$net.12:$listen,$net.13:$listen
for kind in r w; do
  cluster_run "load-$kind" "$cluster_bin/cy-load" --direct "$targets" \
    --service s --keys <(echo "none none") --path "/$kind/" --rate 60 \
    --concurrency 60 --timeout-ms 3000 --duration-ms $((duration_s * 1000)) \
    --post-share $([ $kind = w ] && echo 100 || echo 0) --id-prefix "$kind" \
    --seed "$seed" --record "$cluster_dir/load-$kind.record"
done
deadline=$((SECONDS + duration_s))
while [ $SECONDS -lt $deadline ]; do
  inject_fault
  replace_hub
  run_pending
  announce_all
  read_back $((RANDOM % 3 + 1))
  pause "0.$((RANDOM % 6 + 1))"
done
while [ ${#pending[@]} -gt 0 ]; do run_pending; announce_all; pause 0.2; done
for kind in r w; do wait "${cluster_pid[load-$kind]}"; unset "cluster_pid[load-$kind]"; done

for name in "${!cluster_pid[@]}"; do
  kill -0 "${cluster_pid[$name]}" 2>/dev/null || fail "$name exited unexpectedly"
done
for i in 1 2 3; do
  cluster_wait_until 15 serves $i || fail "entry VM $i does not serve after the faults"
  cluster_wait_until 15 read_back $i || fail "control VM $i cannot read back"
  cluster_wait_until 25 is_whole $i || fail "control VM $i does not count three live voters"
done
grep -hE '"level":"(critical|error)"' "$cluster_dir"/*.out | head -n 3 | grep . \
  && fail "an error in a log"
cat "$cluster_dir"/backend*.record >"$cluster_dir/ran.all"
build/tests/path/test_records "$cluster_dir/ran.all" "$cluster_dir"/load-{r,w}.record \
  || fail "records"
check_limit
if [ $failures -gt 0 ]; then
  ps -o pid,stat,time,args -p "$(IFS=,; echo "${cluster_pid[*]}")" | cut -c1-100
  for i in 1 2 3; do tail -n 3 "$cluster_dir/${hub[i]}.out" | cut -c1-300; done
fi
log "seed $seed: $(grep -c . "$cluster_dir/ran.all") runs, declarations sent $number, newest acknowledged $acked, control VMs replaced $replacements, most in 4 s at the limited server $limited_most, $failures failures"
if [ $failures -gt 0 ] && [ -n "${SOAK_KEEP:-}" ]; then cp -r "$cluster_dir" "$SOAK_KEEP/$seed"; fi
[ $failures -eq 0 ]

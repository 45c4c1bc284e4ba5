#!/usr/bin/env bash
# Guards against a planned stop of an entry VM that passes on requests whose
# body ends late in the grace time, and cuts them.  Every request that was sent
# whole gets an answer; what is refused with 503 never runs.  The same for
# requests that wait for a slot, and for a body that the stop overtakes.
set -u
cd "$(dirname "$0")/../.."
source scripts/lib/hubs.sh
work_ms=1300
hubs_gate_args=(--grace 6s)
hubs_start --instance steady --slots 16 --record "$cluster_dir/runs" \
  --service-time-ms $work_ms
cat >"$cluster_dir/document.json" <<DOCUMENT
{"number":1,"services":{"s":{"connections":100}},
 "routes":{"once":{"host":"a.example","prefix":"/once/","rank":1,"open":true,
   "timeout_ms":20000,"goal_ms":9000,"attempts":2,"idempotent":false,
   "backends":[{"service":"s","weight":1}]},
  "again":{"host":"a.example","prefix":"/again/","rank":1,"open":true,
   "timeout_ms":20000,"goal_ms":9000,"attempts":2,"idempotent":true,
   "backends":[{"service":"s","weight":1}]}}}
DOCUMENT
cluster_wait_until 10 hubs_put_declaration || fail "declaration: $CODE"
now_ms () { date +%s%3N; }
# until MS: waits until MS after the SIGTERM.
until_ms () {
  local left=$((started + $1 - $(now_ms)))
  [ $left -le 0 ] || read -rt "$(printf '%d.%03d' $((left / 1000)) $((left % 1000)))" <> <(:) || :
}

# upload NAME[?QUERY] METHOD ROUTE FRAMING FROM_MS TO_MS: sends a request whose body
# takes from FROM_MS to TO_MS after the SIGTERM, in 8 parts; FRAMING is length,
# chunked, large (256 KB with a length) or none.  Stores the answer's head in answer.NAME, and in sent.NAME
# when the last byte was sent.
upload () {
  local target=$1 name=${1%%\?*} method=$2 route=$3 framing=$4 from=$5 to=$6 i line fd
  local part=0123456789abcdef headers=
  case $framing in
    large)
      part=$(printf '%032768d' 0)
      headers=$'Content-Length: 262144\r\n' ;;
    length) headers=$'Content-Length: 128\r\n' ;;
    chunked) headers=$'Transfer-Encoding: chunked\r\n' ;;
  esac
  trap '' PIPE # the answer may come and the connection end before the body does
  exec {fd}<>"/dev/tcp/${hubs_gate%:*}/$listen" || return
  until_ms "$from"
  printf '%s /%s/%s HTTP/1.1\r\nHost: a.example\r\nCy-Request-Id: %s\r\nCy-Timeout-Ms: 15000\r\n%s\r\n' \
    "$method" "$route" "$target" "$name" "$headers" >&"$fd"
  for ((i = 1; i <= 8; i++)); do
    [ "$framing" = none ] && break
    until_ms $((from + (to - from) * i / 8))
    [ "$framing" = chunked ] && printf '10\r\n' >&"$fd"
    printf '%s' $part >&"$fd"
    [ "$framing" = chunked ] && printf '\r\n' >&"$fd"
  done 2>/dev/null
  [ "$framing" = chunked ] && printf '0\r\n\r\n' >&"$fd" 2>/dev/null
  echo $(($(now_ms) - started)) >"$cluster_dir/sent.$name"
  while IFS=$'\r' read -rt 12 -u "$fd" line _ && [ -n "$line" ]; do
    echo "$line" >>"$cluster_dir/answer.$name"
  done 2>/dev/null
  [ -e "$cluster_dir/answer.$name" ] && read -rt 1 -u "$fd" line 2>/dev/null
  echo "$line" >"$cluster_dir/body.$name"
  echo $(($(now_ms) - started)) >"$cluster_dir/ended.$name"
}

# check NAME [STATUS...]: the answer must come, with one of STATUS (200 or 503
# if none is given), and be true.
check () {
  local name=$1 status=cut ran=no
  shift
  [ -e "$cluster_dir/answer.$name" ] \
    && read -r _ status _ <"$cluster_dir/answer.$name"
  grep -q "/$name[\"?]" "$cluster_dir/runs" && ran=yes
  local sent ended
  sent=$(cat "$cluster_dir/sent.$name" 2>/dev/null)
  ended=$(cat "$cluster_dir/ended.$name" 2>/dev/null)
  local seen="sent after ${sent:-?} ms, $status after ${ended:-?} ms, ran: $ran"
  echo "$name: $seen"
  case $status in
    200) [ $ran = yes ] || fail "$name: $seen" ;;
    503)
      [ $ran = no ] || fail "$name: $seen"
      grep -qi '^Retry-After: [0-9]' "$cluster_dir/answer.$name" \
        || fail "$name: no Retry-After"
      grep -qi '^Connection: close' "$cluster_dir/answer.$name" \
        || fail "$name: no Connection: close"
      grep -qE "$refused_with" "$cluster_dir/body.$name" \
        || fail "$name: $(cat "$cluster_dir/body.$name")" ;;
    502 | 504) ;; # promise nothing; only for what check is told to expect
    *) fail "$name: $seen" ;;
  esac
  [ $# -gt 0 ] || set -- 200 503
  [[ " $* " = *" $status "* ]] || fail "$name: $status, not $*"
}

# report SLOTS: the backend server reports SLOTS slots; the number of the report
# is the time, which goes on in the subshells.
report () {
  hubs_announce "$(hubs_announcement steady "$served" "$1" "$(now_ms)")"
}
# serves SLOTS: true when a request of each route was answered, and measured.
serves () {
  local route
  report "$1"
  for route in once again; do
    call GET "http://$hubs_gate/$route/ready" -H 'Host: a.example' \
      -H 'Cy-Timeout-Ms: 3000'
    [ "$CODE" = 200 ] || return 1
  done
}
# begin SLOTS: waits until requests are served, and goes on reporting for the
# length of a stop.
begin () {
  cluster_wait_until 20 serves "$1" || fail "no request is served: $CODE"
  names=()
  clients=()
  (
    for ((i = 0; i < 20; i++)); do
      read -rt 0.5 <> <(:) || :
      report "$1"
    done
  ) &
  reporter=$!
}
# client UPLOAD_ARGS...: an upload beside the others.
client () {
  upload "$@" &
  clients+=($!)
}
stop_gate () {
  started=$(now_ms)
  kill "${cluster_pid[gate]}"
}
# gate_ms TEXT: prints the time of the last line with TEXT in the entry VM's log.
gate_ms () {
  date +%s%3N -d "$(grep "$1" "$cluster_dir/gate.out" | tail -n 1 \
    | sed 's/.*"time":"\([^"]*\)".*/\1/')"
}
# The stop must end before the grace time does.
await_gate () {
  local status=0
  wait "${cluster_pid[gate]}" || status=$?
  [ $status -eq 0 ] || fail "the entry VM ended with $status"
  [ $(($(gate_ms '"event":"stop"') - $(gate_ms 'planned stop: no'))) -lt 6000 ] \
    || fail "the stop took the grace time"
  wait "${clients[@]}" "$reporter"
}

echo "bodies that end late:"
refused_with=CY_E_STOPPING
begin 16
# Passed on before the SIGTERM, as its body is longer than the entry VM's buffer.
started=$(($(now_ms) + 3000))
client streamed POST once large -2900 7100
until_ms 0
stop_gate
for framing in length chunked; do
  for kind in POST:once GET:again; do
    for end in 900 2800 3300 3800 4200 4600 5000 5400; do
      # Heads that come later than 2.9 s are refused at once.
      name=$framing-${kind%:*}-$end
      names+=("$name")
      client "$name" "${kind%:*}" "${kind#*:}" $framing 500 $end
    done
  done
done
client overtaken-length POST once length 2000 7000
client overtaken-chunked POST once chunked 2000 7000
client head-late POST once length 3200 7000
client streamed-late POST once large 100 5300
client 'long?work=9000' POST once none 100 0
await_gate
for name in "${names[@]}"; do
  case $name in
    *-900) check "$name" 200 ;;
    *) check "$name" ;;
  esac
done
for name in overtaken-length overtaken-chunked head-late streamed-late; do
  check "$name" 503
done
check streamed 502 504
check long 504
[ "$(cat "$cluster_dir/ended.long")" -ge 5500 ] || fail "long is ended early"

echo "requests that wait for a slot:"
refused_with='CY_E_STOPPING|CY_E_NO_ROOM'
hubs_run_gate
begin 2
stop_gate
for i in 1 2 3 4 5 6 7 8 9 10 11 12; do
  names+=("wait-$i")
  client "wait-$i" POST once none $((200 + i * 10)) 0
done
await_gate
for name in "${names[@]}"; do
  check "$name"
done
echo "$failures failures"
[ $failures -eq 0 ]

#!/usr/bin/env bash
# Guards against a planned stop of an entry VM that closes a connection behind
# one answer although the next request had arrived on it: requests that were
# sent ahead get an answer each, and the last one says that the connection ends.
set -u
cd "$(dirname "$0")/../.."
source scripts/lib/hubs.sh
hubs_gate_args=(--grace 6s)
hubs_start --instance steady --slots 16 --record "$cluster_dir/runs" \
  --service-time-ms 600
hubs_declare '"timeout_ms":5200,"goal_ms":3000,"attempts":1,"idempotent":false'
sequence=0
ready () {
  sequence=$((sequence + 1))
  hubs_announce "$(hubs_announcement steady "$served" 16 $sequence)"
  hubs_request GET 0 3000
  [ "$CODE" = 200 ]
}
cluster_wait_until 10 ready || fail "no request is served: $CODE"
wait_ms () { read -rt "$(printf '%d.%03d' $(($1 / 1000)) $(($1 % 1000)))" <> <(:) || :; }

# post NAME FRAMING: adds a request with a body of 4 bytes to REQUESTS, which are
# sent by one write: one that crosses the close of a connection isn't answered.
REQUESTS=
post () {
  local length=$'Content-Length: 4\r\n\r\nbody'
  [ "$2" = chunked ] && length=$'Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n'
  REQUESTS+="POST /x/$1 HTTP/1.1"$'\r\nHost: a.example\r\nCy-Timeout-Ms: 5200\r\n'
  REQUESTS+="Cy-Request-Id: $1"$'\r\n'"$length"
}
# send FD: sends REQUESTS.  printf would write line by line.
send () {
  printf '%s' "$REQUESTS" >"$cluster_dir/requests.$BASHPID"
  cat "$cluster_dir/requests.$BASHPID" >&"$1"
  REQUESTS=
}
# read_answers FD NAME: stores the statuses on the connection, and the names of
# those with "Connection: close", until it ends.
read_answers () {
  local line value length=0 status=0
  : >"$cluster_dir/answers.$2"
  while IFS=$'\r' read -rt 10 -u "$1" line _; do
    value=${line##* }
    case $line in
      HTTP/1.1\ *) value=${line#* }; status=${value%% *} ;;
      [Cc]ontent-[Ll]ength:*) length=$value ;;
      [Cc]onnection:\ [Cc]lose) status+=-close ;;
      '')
        echo "$status" >>"$cluster_dir/answers.$2"
        read -rN "$length" -t 5 -u "$1" line
        length=0 ;;
    esac
  done
}
# expect NAME ANSWER...
expect () {
  local name=$1 seen
  shift
  seen=$(tr '\n' ' ' <"$cluster_dir/answers.$name")
  echo "$name: $seen"
  [ "$seen" = "$* " ] || fail "$name: $seen, not $*"
}

clients=()
# client NAME SECOND_AFTER_MS FRAMING: three requests, two at once and a third
# later.
client () {
  local fd
  exec {fd}<>"/dev/tcp/${hubs_gate%:*}/$listen"
  case $1 in
    busy*) post "$1" length ;;
    *)
      post "$1-1" length
      post "$1-2" "$3"
      [ "$2" = 0 ] || { send "$fd"; wait_ms "$2"; }
      post "$1-3" length ;;
  esac
  send "$fd"
  read_answers "$fd" "${1%%\?*}"
}
kill "${cluster_pid[gate]}"
wait_ms 300
client at-once 0 length 2>/dev/null &
clients+=($!)
client while-served 200 length 2>/dev/null &
clients+=($!)
client chunked-late 800 chunked 2>/dev/null &
clients+=($!)
# Work that keeps the process until then.
client 'busy?work=3400' 0 length 2>/dev/null &
clients+=($!)
exec {kept}<>"/dev/tcp/${hubs_gate%:*}/$listen"
wait_ms 2900
trap '' PIPE # a closed connection is seen by its answers
for i in 1 2 3; do post late-$i length; done
send "$kept" 2>/dev/null
read_answers "$kept" late
wait "${clients[@]}"
expect at-once 200 200 200-close
expect while-served 200 200 200-close
expect chunked-late 200 200 200-close
expect busy 200-close
expect late 503 503 503-close
! grep -q '/x/late' "$cluster_dir/runs" || fail "a late request ran"
[ "$(grep -c '/x/[a-z]' "$cluster_dir/runs")" = 10 ] || fail "not each ran once"
echo "$failures failures"
[ $failures -eq 0 ]

# Helpers for the proofs of steering: two regions of two availability zones
# each with entry VMs, backend servers and one service.  Sourced after
# cluster.sh, never run.

steer_cap=${steer_cap:-0.25}
steer_window_ms=${steer_window_ms:-4000}
steer_blocks=${steer_blocks:-250}

steer_fail () {
  echo "FAILED: $*" >&2
  exit 1
}

steer_declarations () {
  cat <<JSON
{
  "regions": {"a": {}, "b": {}},
  "zones": {"a1": {"region": "a"}, "a2": {"region": "a"},
            "b1": {"region": "b"}, "b2": {"region": "b"}},
  "services": {"shop": {"routes": [{"prefix": "/"}, {"prefix": "/open", "open": true}]}},
  "workspaces": {"w": {"rate": 20000, "burst": 20000}},
  "caps": {"shop": {"service": "shop", "fraction": $steer_cap,
                    "window_ms": $steer_window_ms}},
  "blocks": {"near": {"region": "a", "prefixes": ["10.0.0.0/8", "127.0.0.0/8"]}},
  "limits": {"lookup_ttl_ms": 500}
}
JSON
}

# steer_start [BACKEND ARGS...]: starts the cluster and waits until it serves
# and steers.
steer_start () {
  local zone n
  cluster_start_controls 1 || return 1
  steer_declarations >"$cluster_dir/declarations.json"
  cluster_wait_until 15 cluster_ctl submit "$cluster_dir/declarations.json" \
    || { cluster_ctl submit "$cluster_dir/declarations.json"; return 1; }
  echo "w $(cluster_ctl keys issue w | sed -n 's/^key //p')" >"$cluster_dir/keys"
  for zone in a1 a2 b1 b2; do
    cluster_start_zone "${zone%?}" "$zone" 1
    cluster_start_entries "${zone%?}" "$zone" 2
  done
  for zone in a1 a2 b1 b2; do
    cluster_wait_ready "zone-$zone-1" "entry-$zone-1" "entry-$zone-2" || return 1
    for n in 1 2 3; do
      cluster_start_backend "$zone" shop "shop-$zone-$n" --slots 5 \
        --connections 900 --service-time-ms 10 "$@"
    done
  done
  cluster_wait_until 20 steer_is_served b2
  cluster_wait_until 20 steer_is_region_split
}

# steer_is_served ZONE: true when the zone serves the open route.
steer_is_served () {
  curl -sf --max-time 2 "http://${cluster_entry_http[entry-$1-1]}/s/shop/open"
}

# True when every zone of region a receives some of the client blocks.
steer_is_region_split () {
  steer_read_shares entry-b1-1 20
  [ "${steer_share[a1]:-0}" -gt 0 ] && [ "${steer_share[a2]:-0}" -gt 0 ]
}

declare -A steer_share # by zone, or "refused": client blocks

# steer_read_shares VM [BLOCKS]: sends VM a lookup for each of BLOCKS client
# blocks and sets steer_share[ZONE] to the number of blocks whose first choice
# is ZONE, steer_share[refused] to the number of refused lookups.
steer_read_shares () {
  local blocks=${2:-$steer_blocks} zone
  steer_share=()
  while read -r zone; do
    steer_share[$zone]=$((${steer_share[$zone]:-0} + 1))
  done < <(curl -s --max-time 10 \
      "http://${cluster_entry_http[$1]}/v1/lookup?service=shop&client=10.1.[1-$blocks].9" \
    | grep -oE '"entry_vms":\[\{[^}]*"zone":"[^"]*"|CY_E_NO_ROOM' \
    | sed -E 's/.*"zone":"([^"]*)"/\1/; s/.*NO_ROOM.*/refused/')
}

# steer_share_of ZONE: prints its number of client blocks.
steer_share_of () {
  echo "${steer_share[$1]:-0}"
}

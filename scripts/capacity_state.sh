#!/usr/bin/env bash
# Measures the memory of each process and the time until declarations are in
# force, for increasing numbers of client blocks in 140 sites up to the design
# size.  Prints lines
#   point state.METRIC BLOCKS Y
set -eu
cd "$(dirname "$0")/.."
source scripts/lib/cluster.sh
source scripts/lib/measure.sh
trap cluster_cleanup EXIT

sites=140

# print_document BLOCKS: prints declarations with BLOCKS client blocks, spread
# over the sites.
print_document () {
  awk -v blocks="$1" -v sites="$sites" 'BEGIN {
    printf "{\"regions\":{\"r-0\":{}},\"zones\":{\"z-1\":{\"region\":\"r-0\"}},"
    printf "\"services\":{\"s\":{\"routes\":[{\"prefix\":\"/\"}]}},"
    printf "\"workspaces\":{\"w\":{\"rate\":100,\"burst\":100}},\"blocks\":{"
    for (s = 0; s < sites; s++) {
      printf "%s\"site-%03d\":{\"region\":\"r-0\",\"prefixes\":[", s ? "," : "", s
      n = 0
      for (b = s; b < blocks; b += sites)
        printf "%s\"%d.%d.%d.0/24\"", n++ ? "," : "", 11 + int (b / 65536), int (b / 256) % 256, b % 256
      printf "]}"
    }
    printf "}}\n" }'
}

cluster_start_controls 3
cluster_start_zone r-0 z-1 1
cluster_start_entries r-0 z-1 2
cluster_wait_ready zone-z-1-1 entry-z-1-1 entry-z-1-2
for blocks in ${CAPACITY_BLOCKS:-20000 60000 180000}; do
  print_document "$blocks" >"$cluster_dir/document.json"
  before=$(measure_bytes entry-z-1-1)
  start=$(date +%s%N)
  cluster_ctl submit --wait "$cluster_dir/document.json" >/dev/null
  end=$(date +%s%N)
  echo "point state.document_bytes $blocks $(wc -c <"$cluster_dir/document.json")"
  awk -v a="$start" -v b="$end" -v n="$blocks" \
    'BEGIN { printf "point state.in_force_s %d %.3f\n", n, (b - a) / 1e9 }'
  echo "point state.entry_bytes $blocks $(($(measure_bytes entry-z-1-1) - before))"
  for name in control1 control2 control3 zone-z-1-1 entry-z-1-1; do
    echo "point state.${name%%[0-9-]*}_rss_kb $blocks $(measure_rss_kb "$name")"
  done
done

# Reads processor time, memory and byte counters of running processes, and fits
# lines through measured points.  Sourced after cluster.sh, never run.

# measure_cpu_ns NAME: prints the processor time of all threads in nanoseconds.
measure_cpu_ns () {
  cat /proc/"${cluster_pid[$1]}"/task/*/schedstat | awk '{ s += $1 } END { printf "%.0f\n", s }'
}

# measure_rss_kb NAME: prints the resident memory in kilobytes.
measure_rss_kb () {
  awk '/^VmRSS:/ { print $2 }' /proc/"${cluster_pid[$1]}"/status
}

# measure_http NAME: prints IP:PORT of the HTTP server from the READY line.
measure_http () {
  sed -nE 's/^READY .*http=([0-9]+).*/127.0.0.1:\1/p' "$cluster_dir/$1.out" \
    | tail -n 1
}

# measure_bytes NAME: prints the bytes exchanged with other processes so far.
measure_bytes () {
  curl -s "http://$(measure_http "$1")/metrics" \
    | awk '/^cy_net_bytes_(in|out)_total/ { s += $2 } END { printf "%.0f\n", s }'
}

# measure_frames NAME: prints the messages exchanged with other processes so
# far.
measure_frames () {
  curl -s "http://$(measure_http "$1")/metrics" \
    | awk '/^cy_net_frames_(in|out)_total/ { s += $2 } END { printf "%.0f\n", s }'
}

# measure_fit: reads lines "X Y", prints "SLOPE INTERCEPT" of the least-squares
# line; fails with fewer than three points.
measure_fit () {
  awk '{ n++; sx += $1; sy += $2; sxx += $1 * $1; sxy += $1 * $2 }
    END { d = n * sxx - sx * sx
      if (n < 3 || d == 0) exit 1
      b = (n * sxy - sx * sy) / d
      printf "%.6g %.6g\n", b, (sy - b * sx) / n }'
}

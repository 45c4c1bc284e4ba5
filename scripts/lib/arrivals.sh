# Arrivals at a stand-in backend server, from its record.  Sourced, never run.

# arrivals_of RECORD: prints the times of the arrivals, Unix ms.
arrivals_of () {
  sed -nE 's/.*"unix_ms": *([0-9]+).*/\1/p' "$1"
}

# arrivals_most RECORD FROM_MS: prints the most arrivals in 4 s, from FROM_MS on.
arrivals_most () {
  arrivals_of "$1" | awk -v from="$2" -v span=4000 '
    BEGIN { first = 1 }
    $1 >= from { times[++n] = $1; while (times[n] - times[first] >= span)
      first++; if (n - first + 1 > most) most = n - first + 1 }
    END { print most + 0 }'
}

# Runs a build in a fresh checkout and records the files of the system that it
# uses.  Sourced, never run.

# Settings of the base system that every linker and loader reads.  A library
# that is found through them counts for the package that contains it.
trace_settings='^/etc/(ld[.]so[.](cache|preload|conf|conf[.]d/.*)|alternatives/.*)$'

# trace_setting NAME: prints the value of a one-line string setting of
# deploy/system.toml.
trace_setting () {
  sed -nE "s/^$1 *= *\"(.*)\"[^\"]*\$/\1/p" deploy/system.toml
}

# Prints the packages that deploy/system.toml lists, one a line.
trace_listed () {
  sed -nE 's/^packages *= *\[(.*)\].*/\1/p' deploy/system.toml |
    tr -d '" ' | tr ',' '\n'
}

# trace_build COMMAND DIR: copies the tracked files to DIR/tree, runs COMMAND
# there with a plain environment and writes to DIR/calls the files that it
# opened or ran, "run|open<TAB>path", and to DIR/modules the modules that it
# requested from pkg-config.  Fails when the build fails.
trace_build () {
  local command=$1 dir=$2
  mkdir -p "$dir/tree" "$dir/tmp" "$dir/trace"
  git ls-files -z | tar --null -T - -c | tar -x -C "$dir/tree" || return 1
  (cd "$dir/tree" && env -i HOME="$dir/tmp" TMPDIR="$dir/tmp" LC_ALL=C \
    PATH=/usr/local/sbin:/usr/local/bin:/usr/sbin:/usr/bin:/sbin:/bin \
    strace -ff --seccomp-bpf -qq -s 65536 -e trace=execve,open,openat \
    -o "$dir/trace/process" sh -c "$command") >"$dir/build.log" 2>&1 ||
    { tail -n 20 "$dir/build.log"; return 1; }
  cat "$dir/trace/"* | grep -vE '= -1 E|^(---|\+\+\+)' >"$dir/trace.all"
  sed -nE 's/^execve\("([^"]+)".*/run\t\1/p
           s/^open(at\(AT_FDCWD, |\()"([^"]+)".*/open\t\2/p' \
    "$dir/trace.all" | sort -u >"$dir/calls"
  sed -nE 's/^execve\("[^"]*pkg-config", \[(.*)\].*/\1/p' "$dir/trace.all" |
    tr -d '" ' | tr ',' '\n' | grep -vE '^-|pkg-config$' |
    sort -u >"$dir/modules"
}

# trace_owners DIR: reads DIR/calls and writes DIR/used, one line for each file
# outside the checkout: "run|open<TAB>package<TAB>path", with "-" for a file
# that belongs to no package.  A link and its target both count, each with its
# package: libz.so belongs to zlib1g-dev, its target to zlib1g.
trace_owners () {
  local dir=$1 how path real
  while IFS=$'\t' read -r how path; do
    case $path in /*) ;; *) path=$dir/tree/$path ;; esac
    path=$(realpath -s -m "$path")
    real=$(realpath -m "$path")
    case $real in "$dir"/* | /proc/* | /dev/* | /sys/*) continue ;; esac
    [ -d "$real" ] || printf '%s\t%s\t%s\n' "$how" "$path" "$real"
  done <"$dir/calls" | sort -u |
    awk -F '\t' -v settings="$trace_settings" '$2 !~ settings' >"$dir/files"
  # /lib and /usr/lib are the same folder; packages use either name.
  cut -f 2- "$dir/files" | tr '\t' '\n' | sort -u |
    sed -E 'p; s,^/usr/,/,; t; s,^,/usr,' |
    xargs -r dpkg-query -S 2>/dev/null | grep -v '^diversion ' |
    sed -E 's/^([^:,]+)[^/]*: (.*)$/\2\t\1/' >"$dir/owners"
  awk -F '\t' -v owners="$dir/owners" '
    function owner (path)
    {
      if (path in of)
        return of[path]
      if (path ~ /^\/usr\//)
        path = substr (path, 5)
      else
        path = "/usr" path
      return path in of ? of[path] : "-"
    }
    BEGIN { while ((getline line < owners) > 0)
              { split (line, field, "\t"); of[field[1]] = field[2] } }
    { link = owner($2); target = owner($3)
      # The link cc of update-alternatives belongs to no package, its target does.
      if (link != "-")
        print $1 "\t" link "\t" $2
      if (target != link || target == "-")
        print $1 "\t" target "\t" $3 }
  ' "$dir/files" | sort -u >"$dir/used"
}

# trace_headers DIR: appends to DIR/used a line "include<TAB>package<TAB>path"
# for each system header that a compiled file of the checkout includes
# directly.
trace_headers () {
  local dir=$1 flags header path owner
  # shellcheck disable=SC2046
  flags=$(pkg-config --cflags $(cat "$dir/modules")) || return 1
  sed -nE 's/^open\t(.*\.[ch])$/\1/p' "$dir/calls" | grep -v '^/' |
    (cd "$dir/tree" && xargs sed -nE 's/^ *# *include *<([^>]+)>.*/\1/p') |
    sort -u >"$dir/headers"
  while read -r header; do
    # shellcheck disable=SC2086
    path=$(printf '#include <%s>\n' "$header" |
      cc -D_GNU_SOURCE $flags -x c -E -H -o /dev/null - 2>&1 |
      sed -n 's/^\. //p' | head -n 1)
    path=$(realpath -s -m "${path:-/$header}")
    owner=$(awk -F '\t' -v path="$path" '$3 == path { print $2; exit }' \
      "$dir/used")
    printf 'include\t%s\t%s\n' "${owner:--}" "$path"
  done <"$dir/headers" >"$dir/includes"
  cat "$dir/includes" >>"$dir/used"
}

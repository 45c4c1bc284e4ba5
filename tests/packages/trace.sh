# Runs a build in a fresh checkout and records what it takes from the system.
# Sourced, never run.

# Settings of the base system that every linker and loader reads whole.  A
# library that is found through them is judged by its own package.
trace_settings='^/etc/(ld[.]so[.](cache|preload|conf|conf[.]d/.*)|alternatives/.*)$'

# Prints the value of a one-line string setting $1 of deploy/system.toml.
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
# opened or ran, "run|open<TAB>path", and to DIR/modules what pkg-config was
# asked for.  Fails when the build fails.
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
# outside the checkout: "run|open<TAB>package<TAB>path", "-" for a file that no
# package holds.
# A link and the file that it leads to count both, with their own packages:
# libz.so is of zlib1g-dev, the library behind it of zlib1g.
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
  # /lib and /usr/lib are one folder, and packages name either.
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
    { direct = owner($2); behind = owner($3)
      # The link cc of update-alternatives is of no package, its target is.
      if (direct != "-")
        print $1 "\t" direct "\t" $2
      if (behind != direct || behind == "-")
        print $1 "\t" behind "\t" $3 }
  ' "$dir/files" | sort -u >"$dir/used"
}

# trace_headers DIR: appends to DIR/used a line "include<TAB>package<TAB>path"
# for each system header that a compiled file of the checkout names itself.
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

# Prints the packages that come with the ones in `roots`: their dependencies,
# and the dependencies of those.  Recommended packages are left out, since an
# installation may do without them.
#
# Input: dpkg-query's lines "name<TAB>essential<TAB>provides<TAB>depends".
# Variables: roots (names, blank between them), essential (1: the packages of
# the base system are roots too).

function bare (name)
{
  sub (/^ +/, "", name)
  sub (/[ :(].*/, "", name)
  return name
}

# The installed package that meets a dependency, or "".  A virtual name that
# several installed packages provide stands for none of them: which one a
# clean machine gets is not known.
function provider (name)
{
  if (name in depends)
    return name
  return provider_count[name] == 1 ? provided_by[name] : ""
}

function add (name)
{
  if (name != "" && !(name in found))
    {
      found[name] = 1
      queue[++last] = name
    }
}

BEGIN { FS = "\t" }

{
  depends[$1] = $4
  if (essential && $2 == "yes")
    add($1)
  count = split ($3, names, ",")
  for (i = 1; i <= count; i++)
    {
      virtual = bare(names[i])
      provided_by[virtual] = $1
      provider_count[virtual]++
    }
}

END {
  count = split (roots, names, " ")
  for (i = 1; i <= count; i++)
    add(provider(names[i]))
  for (first = 1; first <= last; first++)
    {
      count = split (depends[queue[first]], wanted, ",")
      for (i = 1; i <= count; i++)
        {
          choices = split (wanted[i], choice, "|")
          for (c = 1; c <= choices; c++)
            if ((name = provider(bare(choice[c]))) != "")
              {
                add(name)
                break
              }
        }
    }
  for (name in found)
    print name
}

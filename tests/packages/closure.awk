# Prints the packages in `roots` and all of their direct and indirect
# dependencies.  Recommended packages are left out, since an installation may
# omit them.
#
# Input: lines of dpkg-query "name<TAB>essential<TAB>provides<TAB>depends".
# Variables: roots (names separated by blanks), essential (1: the packages of
# the base system are roots too).

function strip_name (name)
{
  sub (/^ +/, "", name)
  sub (/[ :(].*/, "", name)
  return name
}

# Returns the installed package that satisfies a dependency, or "".  A virtual
# name that several installed packages provide counts for none of them, because
# a clean machine may install any of them.
function provider (name)
{
  if (name in depends)
    return name
  return provider_count[name] == 1 ? provided_by[name] : ""
}

function add_package (name)
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
    add_package($1)
  count = split ($3, names, ",")
  for (i = 1; i <= count; i++)
    {
      virtual = strip_name(names[i])
      provided_by[virtual] = $1
      provider_count[virtual]++
    }
}

END {
  count = split (roots, names, " ")
  for (i = 1; i <= count; i++)
    add_package(provider(names[i]))
  for (first = 1; first <= last; first++)
    {
      count = split (depends[queue[first]], wanted, ",")
      for (i = 1; i <= count; i++)
        {
          choices = split (wanted[i], choice, "|")
          for (c = 1; c <= choices; c++)
            if ((name = provider(strip_name(choice[c]))) != "")
              {
                add_package(name)
                break
              }
        }
    }
  for (name in found)
    print name
}

#include "core/cyp_names.h"

void
cyp_names_start (struct cyp_names *names, unsigned max)
{
  names->ids = g_hash_table_new (g_str_hash, g_str_equal);
  names->names = g_ptr_array_new_with_free_func (g_free);
  names->max = max;
}

void
cyp_names_clear (struct cyp_names *names)
{
  g_hash_table_destroy (names->ids);
  g_ptr_array_unref (names->names);
}

unsigned
cyp_names_add (struct cyp_names *names, const char *name)
{
  unsigned id = cyp_names_find (names, name);
  if (id != CYP_NAME_NONE)
    return id;
  if (names->names->len == names->max)
    return CYP_NAME_NONE;
  char *copy = g_strdup (name);
  g_ptr_array_add (names->names, copy);
  g_hash_table_insert (names->ids, copy, GUINT_TO_POINTER (names->names->len));
  return names->names->len - 1;
}

unsigned
cyp_names_find (const struct cyp_names *names, const char *name)
{
  unsigned found = GPOINTER_TO_UINT (g_hash_table_lookup (names->ids, name));
  return found == 0 ? CYP_NAME_NONE : found - 1;
}

const char *
cyp_names_get (const struct cyp_names *names, unsigned id)
{
  return g_ptr_array_index (names->names, id);
}

unsigned
cyp_names_count (const struct cyp_names *names)
{
  return names->names->len;
}

/* Differences between a document and the state in force.  */

#include <string.h>

#include "core/cyj_document.h"

/* Bytes of a list above which a line shows the number of elements instead.  */
#define LIST_SHOWN_BYTES_MAX 60

static void
object_free (gpointer data)
{
  cy__object__free_unpacked (data, NULL);
}

/* ------------------------------------------------------------ describing */

/* Returns VALUE as JSON text, a long list as "list of COUNT"; freed by
   g_free.  */
static char *
format_value (const json_t *value)
{
  char *text = json_dumps (value, JSON_ENCODE_ANY | JSON_COMPACT
                                      | JSON_REAL_PRECISION (15));
  char *shown = json_is_array (value) && strlen (text) > LIST_SHOWN_BYTES_MAX
                    ? g_strdup_printf ("list of %zu", json_array_size (value))
                    : g_strdup (text);
  free (text);
  return shown;
}

/* Appends the fields of NEXT that differ from OLD, "rate 1 -> 2".  Without an
   OLD (NULL) appends all fields of NEXT, "rate 2".  */
static void
append_fields (GString *line, const json_t *old, const json_t *next)
{
  const char *name;
  json_t *value;
  const char *separator = " ";
  json_object_foreach ((json_t *)next, name, value)
  {
    json_t *before = json_object_get (old, name);
    if (old != NULL && json_equal (before, value))
      continue;
    g_string_append_printf (line, "%s%s ", separator, name);
    separator = ", ";
    if (old != NULL)
      {
        char *from
            = before != NULL ? format_value (before) : g_strdup ("none");
        g_string_append_printf (line, "%s -> ", from);
        g_free (from);
      }
    char *to = format_value (value);
    g_string_append (line, to);
    g_free (to);
  }
}

static char *
describe_change (const Cy__Object *old, const Cy__Object *next)
{
  GString *line = g_string_new (NULL);
  if (next->deleted)
    g_string_append_printf (line, "- %s", next->key);
  else
    {
      json_t *before = old != NULL ? cyj_object_json (old) : NULL;
      json_t *after = cyj_object_json (next);
      g_string_append_printf (line, "%s %s", old != NULL ? "~" : "+",
                              next->key);
      if (json_object_size (after) > 0)
        g_string_append_c (line, ':');
      append_fields (line, before, after);
      json_decref (before);
      json_decref (after);
    }
  return g_string_free (line, FALSE);
}

static void
diff_init (struct cyj_diff *diff)
{
  memset (diff, 0, sizeof *diff);
  diff->objects = g_ptr_array_new_with_free_func (object_free);
  diff->lines = g_ptr_array_new_with_free_func (g_free);
}

static void
diff_add (struct cyj_diff *diff, const Cy__Object *old, const Cy__Object *next)
{
  g_ptr_array_add (diff->objects, cys_object_copy (next));
  g_ptr_array_add (diff->lines, describe_change (old, next));
  if (next->deleted)
    diff->deletes++;
  else
    diff->puts++;
}

void
cyj_diff_describe (const GPtrArray *objects, const struct cys_state *state,
                   struct cyj_diff *diff)
{
  diff_init (diff);
  for (guint i = 0; i < objects->len; i++)
    {
      const Cy__Object *object = g_ptr_array_index (objects, i);
      diff_add (diff, cys_state_get (state, object->key), object);
    }
}

/* ------------------------------------------------------------- comparing */

/* Search for objects that the state has and the document does not declare.  */
struct deletion_scan
{
  GHashTable *declared; /* set of keys that the document declares */
  struct cyj_diff *diff;
};

static bool
add_if_undeclared (const Cy__Object *object, void *context)
{
  struct deletion_scan *scan = context;
  if (!g_hash_table_contains (scan->declared, object->key))
    {
      Cy__Object deletion = CY__OBJECT__INIT;
      deletion.key = object->key;
      deletion.deleted = true;
      diff_add (scan->diff, object, &deletion);
    }
  return true;
}

void
cyj_diff_make (const struct cyj_document *document,
               const struct cys_state *state, struct cyj_diff *diff)
{
  struct deletion_scan scan
      = { g_hash_table_new (g_str_hash, g_str_equal), diff };
  diff_init (diff);
  for (guint i = 0; i < document->objects->len; i++)
    {
      Cy__Object *next = g_ptr_array_index (document->objects, i);
      const Cy__Object *old = cys_state_get (state, next->key);
      g_hash_table_add (scan.declared, next->key);
      if (old == NULL || !cys_object_same_body (old, next))
        diff_add (diff, old, next);
    }
  for (const struct cyj_kind *kind = cyj_kinds; kind->section != NULL; kind++)
    cys_state_each (state, kind->prefix, add_if_undeclared, &scan);
  g_hash_table_destroy (scan.declared);
}

void
cyj_diff_clear (struct cyj_diff *diff)
{
  g_ptr_array_free (diff->objects, TRUE);
  g_ptr_array_free (diff->lines, TRUE);
  memset (diff, 0, sizeof *diff);
}

char *
cyj_diff_make_note (const struct cyj_diff *diff)
{
  GString *note = g_string_new (NULL);
  for (guint i = 0; i < diff->lines->len; i++)
    {
      const char *line = g_ptr_array_index (diff->lines, i);
      if (note->len + strlen (line) + 40 > CYJ_NOTE_MAX)
        {
          g_string_append_printf (note, "; %u more", diff->lines->len - i);
          break;
        }
      g_string_append_printf (note, "%s%s", i > 0 ? "; " : "", line);
    }
  return g_string_free (note, FALSE);
}

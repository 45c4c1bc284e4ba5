/* Deltas and full states from parent to child.

   A delta always holds complete versions, so that a child never reports a
   version of which it lacks an object.  A delta of several versions above the
   size limit is replaced by the full state, sent in chunks in key order; the
   last chunk adds the objects that changed since the first chunk was sent.  A
   cursor is "VERSION:KEY": the version when the first chunk was sent, and the
   last key sent.  */

#include <inttypes.h>
#include <string.h>

#include "core/cys_internal.h"

/* --------------------------------------------------------------- parent */

static void
append_entry (GPtrArray *objects, const struct cys_entry *entry)
{
  g_ptr_array_add (objects, entry->object);
}

static void
set_answer_objects (Cy__SyncAnswer *answer, GPtrArray *objects)
{
  answer->n_objects = objects->len;
  answer->objects = (Cy__Object **)g_ptr_array_free (objects, FALSE);
}

/* Returns the link of the oldest entry that is newer than VERSION, NULL if
   there is none.  *BYTES gets the packed bytes of all entries newer than
   VERSION, *ONE_VERSION whether all of them have the current version.  */
static GList *
find_delta_start (const struct cys_state *state, uint64_t version,
                  size_t *bytes, bool *one_version)
{
  GList *start = NULL;
  *bytes = 0;
  *one_version = true;
  for (GList *link = state->table.by_version.tail; link != NULL;
       link = link->prev)
    {
      const struct cys_entry *entry = link->data;
      if (entry->object->version <= version)
        break;
      *bytes += entry->packed_size;
      if (entry->object->version != state->version)
        *one_version = false;
      start = link;
    }
  return start;
}

static bool
parse_cursor (const char *cursor, uint64_t *version, const char **key)
{
  char *end = NULL;
  if (cursor == NULL || cursor[0] == '\0')
    return false;
  *version = g_ascii_strtoull (cursor, &end, 10);
  if (*end != ':')
    return false;
  *key = end + 1;
  return true;
}

static void
add_newer (const struct cys_state *state, uint64_t version, GPtrArray *objects)
{
  size_t bytes;
  bool one_version;
  GList *link = find_delta_start (state, version, &bytes, &one_version);
  for (; link != NULL; link = link->next)
    append_entry (objects, link->data);
}

static void
fill_chunk (const struct cys_state *state, const char *cursor,
            size_t max_bytes, Cy__SyncAnswer *answer)
{
  uint64_t version = state->version;
  const char *key = "";
  if (!parse_cursor (cursor, &version, &key) || version > state->version
      || version < state->oldest_delta)
    {
      version = state->version;
      key = "";
      cursor = "";
    }
  GPtrArray *objects = g_ptr_array_new ();
  size_t bytes = 0;
  GTreeNode *node = g_tree_upper_bound (state->table.by_key, key);
  for (; node != NULL; node = g_tree_node_next (node))
    {
      const struct cys_entry *entry = g_tree_node_value (node);
      if (entry->object->deleted)
        continue;
      if (objects->len > 0 && bytes + entry->packed_size > max_bytes)
        break;
      bytes += entry->packed_size;
      append_entry (objects, entry);
      key = entry->object->key;
    }
  answer->more = node != NULL;
  if (!answer->more)
    add_newer (state, version, objects);
  answer->from_version = 0;
  answer->after = g_strdup (cursor);
  answer->cursor = answer->more
                       ? g_strdup_printf ("%" PRIu64 ":%s", version, key)
                       : g_strdup ("");
  set_answer_objects (answer, objects);
}

cy_result
cys_state_make_delta (const struct cys_state *state, uint64_t version,
                      const char *cursor, size_t max_bytes,
                      Cy__SyncAnswer *answer)
{
  size_t bytes;
  bool one_version;
  answer->to_version = state->version;
  if (version >= state->version)
    {
      answer->from_version = state->version;
      return CY_OK;
    }
  if (version == 0 || version < state->oldest_delta
      || (cursor != NULL && cursor[0] != '\0'))
    {
      fill_chunk (state, cursor, max_bytes, answer);
      return CY_OK;
    }
  GList *link = find_delta_start (state, version, &bytes, &one_version);
  if (bytes > max_bytes && !one_version)
    {
      fill_chunk (state, NULL, max_bytes, answer);
      return CY_OK;
    }
  GPtrArray *objects = g_ptr_array_new ();
  for (; link != NULL; link = link->next)
    append_entry (objects, link->data);
  answer->from_version = version;
  set_answer_objects (answer, objects);
  return CY_OK;
}

static void
clear_string (char **string)
{
  if (*string != protobuf_c_empty_string)
    g_free (*string);
  *string = (char *)protobuf_c_empty_string;
}

void
cys_state_answer_clear (Cy__SyncAnswer *answer)
{
  g_free (answer->objects);
  answer->objects = NULL;
  answer->n_objects = 0;
  clear_string (&answer->cursor);
  clear_string (&answer->after);
}

/* ---------------------------------------------------------------- child */

void
cys_chunks_clear (struct cys_state *state)
{
  if (state->chunk_objects != NULL)
    {
      for (guint i = 0; i < state->chunk_objects->len; i++)
        cy__object__free_unpacked (g_ptr_array_index (state->chunk_objects, i),
                                   NULL);
      g_ptr_array_free (state->chunk_objects, TRUE);
    }
  g_free (state->chunk_cursor);
  state->chunk_objects = NULL;
  state->chunk_cursor = NULL;
}

static void
apply_delta (struct cys_state *state, const Cy__SyncAnswer *answer)
{
  for (size_t i = 0; i < answer->n_objects; i++)
    {
      const Cy__Object *object = answer->objects[i];
      if (object->version > state->version)
        cys_table_put (&state->table, cys_object_copy (object));
    }
  state->version = answer->to_version;
  cys_state_prune (state);
}

static gint
compare_versions (gconstpointer a, gconstpointer b)
{
  const Cy__Object *left = *(Cy__Object *const *)a;
  const Cy__Object *right = *(Cy__Object *const *)b;
  if (left->version != right->version)
    return left->version < right->version ? -1 : 1;
  return 0;
}

static void
replace_table (struct cys_state *state, uint64_t version)
{
  GPtrArray *objects = state->chunk_objects;
  cys_table_clear (&state->table);
  cys_table_init (&state->table);
  g_ptr_array_sort (objects, compare_versions);
  for (guint i = 0; i < objects->len; i++)
    cys_table_put (&state->table, g_ptr_array_index (objects, i));
  g_ptr_array_set_size (objects, 0);
  state->version = version;
  state->oldest_delta = version;
  cys_chunks_clear (state);
}

static cy_result
apply_chunk (struct cys_state *state, const Cy__SyncAnswer *answer)
{
  bool first = answer->after[0] == '\0';
  if (!first && g_strcmp0 (answer->after, state->chunk_cursor) != 0)
    return CY_E_AGAIN;
  if (first)
    {
      cys_chunks_clear (state);
      state->chunk_objects = g_ptr_array_new ();
    }
  for (size_t i = 0; i < answer->n_objects; i++)
    g_ptr_array_add (state->chunk_objects,
                     cys_object_copy (answer->objects[i]));
  g_free (state->chunk_cursor);
  state->chunk_cursor = g_strdup (answer->cursor);
  if (!answer->more)
    replace_table (state, answer->to_version);
  return CY_OK;
}

cy_result
cys_state_apply_answer (struct cys_state *state, const Cy__SyncAnswer *answer)
{
  if (answer->to_version < state->version)
    return CY_E_AGAIN;
  if (answer->from_version == 0 && answer->to_version > 0)
    return apply_chunk (state, answer);
  if (answer->from_version > state->version)
    return CY_E_AGAIN;
  apply_delta (state, answer);
  return CY_OK;
}

/* The objects that recent changes replaced, from which a rollback restores an
   older version as a new change.  */

#include <string.h>

#include "core/cys_internal.h"

static void
record_free (gpointer data)
{
  cy__undo_record__free_unpacked (data, NULL);
}

void
cys_undo_init (struct cys_undo *undo)
{
  g_queue_init (&undo->records);
  undo->packed_bytes = 0;
}

void
cys_undo_clear (struct cys_undo *undo)
{
  g_queue_clear_full (&undo->records, record_free);
  undo->packed_bytes = 0;
}

Cy__UndoRecord *
cys_undo_record_create (uint64_t version, size_t objects)
{
  Cy__UndoRecord *record = g_new (Cy__UndoRecord, 1);
  cy__undo_record__init (record);
  record->version = version;
  record->before = g_new0 (Cy__Object *, objects);
  return record;
}

static Cy__Object *
make_tombstone (const char *key)
{
  Cy__Object *object = g_new (Cy__Object, 1);
  cy__object__init (object);
  object->key = g_strdup (key);
  object->deleted = true;
  return object;
}

void
cys_undo_record_add (Cy__UndoRecord *record, const struct cys_table *table,
                     const char *key)
{
  const struct cys_entry *entry = cys_table_find (table, key);
  record->before[record->n_before++]
      = entry != NULL ? cys_object_copy (entry->object) : make_tombstone (key);
}

void
cys_undo_append (struct cys_undo *undo, Cy__UndoRecord *record)
{
  g_queue_push_tail (&undo->records, record);
  undo->packed_bytes += cy__undo_record__get_packed_size (record);
  while (undo->records.length > CYS_UNDO_VERSIONS
         || (undo->packed_bytes > CYS_UNDO_BYTES && undo->records.length > 1))
    {
      Cy__UndoRecord *oldest = g_queue_pop_head (&undo->records);
      undo->packed_bytes -= cy__undo_record__get_packed_size (oldest);
      record_free (oldest);
    }
}

/* Keys, drains and members are not part of a declaration, so a rollback must
   not change them.  */
static bool
is_declaration (const char *key)
{
  return !g_str_has_prefix (key, "key/") && !g_str_has_prefix (key, "drain/")
         && !g_str_has_prefix (key, "member/");
}

cy_result
cys_state_collect_rollback (const struct cys_state *state, uint64_t version,
                            void *objects)
{
  if (version >= state->version)
    return CY_E_ARGUMENT;
  const Cy__UndoRecord *oldest
      = g_queue_peek_head ((GQueue *)&state->undo.records);
  if (oldest == NULL || oldest->version > version + 1)
    return CY_E_NOT_FOUND;
  GHashTable *replaced = g_hash_table_new (g_str_hash, g_str_equal);
  GList *link = state->undo.records.tail;
  for (; link != NULL; link = link->prev)
    {
      const Cy__UndoRecord *record = link->data;
      if (record->version <= version)
        break;
      for (size_t i = record->n_before; i-- > 0;)
        if (is_declaration (record->before[i]->key))
          g_hash_table_insert (replaced, record->before[i]->key,
                               record->before[i]);
    }
  GList *keys
      = g_list_sort (g_hash_table_get_keys (replaced), (GCompareFunc)strcmp);
  for (link = keys; link != NULL; link = link->next)
    {
      Cy__Object *old = g_hash_table_lookup (replaced, link->data);
      const Cy__Object *current = cys_state_get (state, link->data);
      bool same = current == NULL ? old->deleted
                                  : cys_object_same_body (current, old);
      if (!same)
        g_ptr_array_add (objects, old);
    }
  g_list_free (keys);
  g_hash_table_destroy (replaced);
  return CY_OK;
}

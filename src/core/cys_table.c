/* Table of objects, indexed by key and ordered by version.  */

#include <string.h>

#include "core/cy_copy.h"
#include "core/cys_internal.h"

/* ----------------------------------------------------------- objects */

Cy__Object *
cys_object_copy (const Cy__Object *object)
{
  return cy_copy (object);
}

/* Packs OBJECT without its version; freed by g_free.  */
static uint8_t *
pack_body (const Cy__Object *object, size_t *size)
{
  Cy__Object unversioned = *object;
  unversioned.version = 0;
  *size = cy__object__get_packed_size (&unversioned);
  uint8_t *bytes = g_malloc (*size + 1);
  cy__object__pack (&unversioned, bytes);
  return bytes;
}

bool
cys_object_same_body (const Cy__Object *a, const Cy__Object *b)
{
  size_t size_a, size_b;
  uint8_t *bytes_a = pack_body (a, &size_a);
  uint8_t *bytes_b = pack_body (b, &size_b);
  bool same = size_a == size_b && memcmp (bytes_a, bytes_b, size_a) == 0;
  g_free (bytes_a);
  g_free (bytes_b);
  return same;
}

/* ------------------------------------------------------------- table */

static gint
compare_keys (gconstpointer a, gconstpointer b, gpointer unused)
{
  (void)unused;
  return strcmp (a, b);
}

static void
entry_free (gpointer data)
{
  struct cys_entry *entry = data;
  cy__object__free_unpacked (entry->object, NULL);
  g_free (entry);
}

void
cys_table_init (struct cys_table *table)
{
  table->by_key = g_tree_new_full (compare_keys, NULL, NULL, entry_free);
  g_queue_init (&table->by_version);
  g_queue_init (&table->tombstones);
}

void
cys_table_clear (struct cys_table *table)
{
  g_tree_destroy (table->by_key);
  g_queue_init (&table->by_version);
  g_queue_init (&table->tombstones);
}

struct cys_entry *
cys_table_find (const struct cys_table *table, const char *key)
{
  return g_tree_lookup (table->by_key, key);
}

static void
entry_unlink (struct cys_table *table, struct cys_entry *entry)
{
  g_queue_unlink (&table->by_version, &entry->version_link);
  if (entry->object->deleted)
    g_queue_unlink (&table->tombstones, &entry->tombstone_link);
}

void
cys_table_remove (struct cys_table *table, struct cys_entry *entry)
{
  entry_unlink (table, entry);
  g_tree_remove (table->by_key, entry->object->key);
}

void
cys_table_put (struct cys_table *table, Cy__Object *object)
{
  struct cys_entry *old = cys_table_find (table, object->key);
  if (old != NULL)
    cys_table_remove (table, old);
  struct cys_entry *entry = g_new0 (struct cys_entry, 1);
  entry->object = object;
  entry->packed_size = cy__object__get_packed_size (object);
  entry->version_link.data = entry;
  entry->tombstone_link.data = entry;
  g_tree_insert (table->by_key, object->key, entry);
  g_queue_push_tail_link (&table->by_version, &entry->version_link);
  if (object->deleted)
    g_queue_push_tail_link (&table->tombstones, &entry->tombstone_link);
}

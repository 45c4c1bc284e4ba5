#include "core/cyt_soft_state.h"

#include "core/cy_copy.h"

#include <ck_queue.h>
#include <glib.h>
#include <string.h>

#define TOMBSTONES_MAX 20000 /* removed keys that are kept for deltas */

struct item
{
  CK_LIST_ENTRY (item) link; /* in newest_first */
  Cy__Object *object;        /* object->version is the sequence number */
  cy_time_ns expires_at;     /* 0: no expiry */
};

struct cyt_soft_state
{
  uint64_t epoch;
  uint64_t sequence;
  /* Oldest sequence number for which a delta can be computed.  */
  uint64_t oldest_sequence;
  GTree *items; /* struct item by key, including tombstones */
  CK_LIST_HEAD (item_list, item) newest_first; /* by sequence number */
  guint tombstone_count;
};

/* ------------------------------------------------------------ items */

/* Returns true when A and B are equal except for the sequence number.  */
static bool
object_equal (const Cy__Object *a, const Cy__Object *b)
{
  Cy__Object left = *a;
  Cy__Object right = *b;
  left.version = 0;
  right.version = 0;
  size_t length = cy__object__get_packed_size (&left);
  if (length != cy__object__get_packed_size (&right))
    return false;
  uint8_t *bytes = g_malloc (2 * length + 1);
  cy__object__pack (&left, bytes);
  cy__object__pack (&right, bytes + length);
  bool equal = memcmp (bytes, bytes + length, length) == 0;
  g_free (bytes);
  return equal;
}

static void
item_free (gpointer data)
{
  struct item *item = data;
  cy__object__free_unpacked (item->object, NULL);
  g_free (item);
}

static gint
compare_keys (gconstpointer a, gconstpointer b, gpointer unused)
{
  (void)unused;
  return strcmp (a, b);
}

struct cyt_soft_state *
cyt_soft_state_create (uint64_t epoch)
{
  struct cyt_soft_state *soft = g_new0 (struct cyt_soft_state, 1);
  soft->epoch = epoch;
  soft->items = g_tree_new_full (compare_keys, NULL, NULL, item_free);
  CK_LIST_INIT (&soft->newest_first);
  return soft;
}

void
cyt_soft_state_destroy (struct cyt_soft_state *soft)
{
  if (soft == NULL)
    return;
  g_tree_destroy (soft->items);
  g_free (soft);
}

uint64_t
cyt_soft_state_epoch (const struct cyt_soft_state *soft)
{
  return soft->epoch;
}

uint64_t
cyt_soft_state_sequence (const struct cyt_soft_state *soft)
{
  return soft->sequence;
}

/* ------------------------------------------------------------ changes */

/* Stores OBJECT as the newest content of its key and takes ownership of it. */
static void
item_store (struct cyt_soft_state *soft, Cy__Object *object,
            cy_time_ns expires_at)
{
  struct item *item = g_tree_lookup (soft->items, object->key);
  if (item != NULL)
    {
      if (item->object->deleted)
        soft->tombstone_count--;
      CK_LIST_REMOVE (item, link);
      g_tree_remove (soft->items, object->key);
    }
  item = g_new0 (struct item, 1);
  item->object = object;
  item->expires_at = expires_at;
  if (object->deleted)
    soft->tombstone_count++;
  g_tree_insert (soft->items, object->key, item);
  CK_LIST_INSERT_HEAD (&soft->newest_first, item, link);
}

/* Removes all tombstones.  Children with an older sequence number then receive
   the full table.  */
static void
remove_tombstones (struct cyt_soft_state *soft)
{
  struct item *item = NULL, *next = NULL;
  CK_LIST_FOREACH_SAFE (item, &soft->newest_first, link, next)
  {
    if (!item->object->deleted)
      continue;
    CK_LIST_REMOVE (item, link);
    g_tree_remove (soft->items, item->object->key);
  }
  soft->tombstone_count = 0;
  soft->oldest_sequence = soft->sequence;
}

static void
store_tombstone (struct cyt_soft_state *soft, const char *key)
{
  Cy__Object tombstone = CY__OBJECT__INIT;
  tombstone.key = (char *)key;
  tombstone.deleted = true;
  tombstone.version = ++soft->sequence;
  item_store (soft, cy_copy (&tombstone), 0);
  if (soft->tombstone_count > TOMBSTONES_MAX)
    remove_tombstones (soft);
}

bool
cyt_soft_state_put (struct cyt_soft_state *soft, const Cy__Object *object,
                    cy_time_ns expires_at)
{
  struct item *item = g_tree_lookup (soft->items, object->key);
  if (item != NULL && object_equal (item->object, object))
    {
      item->expires_at = expires_at;
      return false;
    }
  Cy__Object *copy = cy_copy (object);
  copy->version = ++soft->sequence;
  item_store (soft, copy, expires_at);
  return true;
}

bool
cyt_soft_state_remove (struct cyt_soft_state *soft, const char *key)
{
  const struct item *item = g_tree_lookup (soft->items, key);
  if (item == NULL || item->object->deleted)
    return false;
  store_tombstone (soft, key);
  return true;
}

uint32_t
cyt_soft_state_expire (struct cyt_soft_state *soft, cy_time_ns now)
{
  GPtrArray *expired_keys = g_ptr_array_new_with_free_func (g_free);
  struct item *item = NULL;
  CK_LIST_FOREACH (item, &soft->newest_first, link)
  {
    if (!item->object->deleted && item->expires_at != 0
        && item->expires_at <= now)
      g_ptr_array_add (expired_keys, g_strdup (item->object->key));
  }
  for (guint i = 0; i < expired_keys->len; i++)
    store_tombstone (soft, g_ptr_array_index (expired_keys, i));
  uint32_t count = expired_keys->len;
  g_ptr_array_free (expired_keys, TRUE);
  return count;
}

/* ------------------------------------------------------------ reading */

const Cy__Object *
cyt_soft_state_get (const struct cyt_soft_state *soft, const char *key)
{
  const struct item *item = g_tree_lookup (soft->items, key);
  return item == NULL || item->object->deleted ? NULL : item->object;
}

void
cyt_soft_state_each (const struct cyt_soft_state *soft, const char *prefix,
                     cyt_each_fn each, void *context)
{
  GTreeNode *node = g_tree_lower_bound (soft->items, prefix);
  for (; node != NULL; node = g_tree_node_next (node))
    {
      const struct item *item = g_tree_node_value (node);
      if (!g_str_has_prefix (item->object->key, prefix))
        return;
      if (!item->object->deleted && !each (item->object, context))
        return;
    }
}

void
cyt_soft_state_delta (const struct cyt_soft_state *soft, uint64_t epoch,
                      uint64_t sequence, cyt_filter_fn filter, void *context,
                      Cy__SyncAnswer *answer)
{
  bool is_full = epoch != soft->epoch || sequence < soft->oldest_sequence
                 || sequence > soft->sequence;
  GPtrArray *objects = g_ptr_array_new ();
  const struct item *item = NULL;
  CK_LIST_FOREACH (item, &soft->newest_first, link)
  {
    if (!is_full && item->object->version <= sequence)
      break;
    if (is_full && item->object->deleted)
      continue;
    if (item->object->deleted || filter == NULL
        || filter (item->object, context))
      g_ptr_array_add (objects, item->object);
  }
  answer->soft_epoch = soft->epoch;
  answer->soft_from = is_full ? 0 : sequence;
  answer->soft_to = soft->sequence;
  answer->n_soft = objects->len;
  answer->soft = (Cy__Object **)g_ptr_array_free (objects, FALSE);
}

void
cyt_soft_state_answer_clear (Cy__SyncAnswer *answer)
{
  g_free (answer->soft);
  answer->soft = NULL;
  answer->n_soft = 0;
}

/* ------------------------------------------------------------ syncing */

/* Removes every key that the full table in ANSWER does not contain.  */
static void
remove_missing (struct cyt_soft_state *soft, const Cy__SyncAnswer *answer)
{
  GHashTable *received_keys = g_hash_table_new (g_str_hash, g_str_equal);
  for (size_t i = 0; i < answer->n_soft; i++)
    g_hash_table_add (received_keys, answer->soft[i]->key);
  struct item *item = NULL, *next = NULL;
  CK_LIST_FOREACH_SAFE (item, &soft->newest_first, link, next)
  {
    if (g_hash_table_contains (received_keys, item->object->key))
      continue;
    CK_LIST_REMOVE (item, link);
    g_tree_remove (soft->items, item->object->key);
  }
  g_hash_table_destroy (received_keys);
  soft->tombstone_count = 0;
}

cy_result
cyt_soft_state_sync (struct cyt_soft_state *soft, const Cy__SyncAnswer *answer)
{
  bool is_full = answer->soft_from == 0;
  if (!is_full
      && (answer->soft_epoch != soft->epoch
          || answer->soft_from > soft->sequence))
    return CY_E_AGAIN;
  if (!is_full && answer->soft_to <= soft->sequence)
    return CY_OK;
  if (is_full)
    {
      remove_missing (soft, answer);
      soft->oldest_sequence = answer->soft_to;
    }
  soft->epoch = answer->soft_epoch;
  for (size_t i = answer->n_soft; i > 0; i--)
    item_store (soft, cy_copy (answer->soft[i - 1]), 0);
  soft->sequence = answer->soft_to;
  return CY_OK;
}

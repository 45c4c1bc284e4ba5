#include "core/cyt_soft_state.h"

#include "core/cy_copy.h"

#include <ck_queue.h>
#include <glib.h>
#include <string.h>

#define CYT_TOMBSTONES_MAX 20000 /* removed keys remembered for deltas */

struct item
{
  CK_LIST_ENTRY (item) link; /* newest first */
  Cy__Object *object;        /* version holds the sequence */
  cy_time_ns expires;        /* 0: never */
};

struct cyt_soft_state
{
  uint64_t epoch;
  uint64_t sequence;
  uint64_t oldest; /* deltas can start from here */
  GTree *items;    /* struct item by key, tombstones too */
  CK_LIST_HEAD (item_list, item) newest;
  guint tombstones;
};

/* ------------------------------------------------------------ items */

/* True when both carry the same, apart from the sequence.  */
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
  CK_LIST_INIT (&soft->newest);
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

/* Makes OBJECT, which is taken over, the newest content of its key.  */
static void
store (struct cyt_soft_state *soft, Cy__Object *object, cy_time_ns expires)
{
  struct item *item = g_tree_lookup (soft->items, object->key);
  if (item != NULL)
    {
      if (item->object->deleted)
        soft->tombstones--;
      CK_LIST_REMOVE (item, link);
      g_tree_remove (soft->items, object->key);
    }
  item = g_new0 (struct item, 1);
  item->object = object;
  item->expires = expires;
  if (object->deleted)
    soft->tombstones++;
  g_tree_insert (soft->items, object->key, item);
  CK_LIST_INSERT_HEAD (&soft->newest, item, link);
}

/* Forgets every tombstone; older children get the whole table.  */
static void
drop_tombstones (struct cyt_soft_state *soft)
{
  struct item *item = NULL, *next = NULL;
  CK_LIST_FOREACH_SAFE (item, &soft->newest, link, next)
  {
    if (!item->object->deleted)
      continue;
    CK_LIST_REMOVE (item, link);
    g_tree_remove (soft->items, item->object->key);
  }
  soft->tombstones = 0;
  soft->oldest = soft->sequence;
}

static void
bury (struct cyt_soft_state *soft, const char *key)
{
  Cy__Object tombstone = CY__OBJECT__INIT;
  tombstone.key = (char *)key;
  tombstone.deleted = true;
  tombstone.version = ++soft->sequence;
  store (soft, cy_copy (&tombstone), 0);
  if (soft->tombstones > CYT_TOMBSTONES_MAX)
    drop_tombstones (soft);
}

bool
cyt_soft_state_put (struct cyt_soft_state *soft, const Cy__Object *object,
                    cy_time_ns expires)
{
  struct item *item = g_tree_lookup (soft->items, object->key);
  if (item != NULL && object_equal (item->object, object))
    {
      item->expires = expires;
      return false;
    }
  Cy__Object *copy = cy_copy (object);
  copy->version = ++soft->sequence;
  store (soft, copy, expires);
  return true;
}

bool
cyt_soft_state_remove (struct cyt_soft_state *soft, const char *key)
{
  const struct item *item = g_tree_lookup (soft->items, key);
  if (item == NULL || item->object->deleted)
    return false;
  bury (soft, key);
  return true;
}

uint32_t
cyt_soft_state_expire (struct cyt_soft_state *soft, cy_time_ns now)
{
  GPtrArray *gone = g_ptr_array_new_with_free_func (g_free);
  struct item *item = NULL;
  CK_LIST_FOREACH (item, &soft->newest, link)
  {
    if (!item->object->deleted && item->expires != 0 && item->expires <= now)
      g_ptr_array_add (gone, g_strdup (item->object->key));
  }
  for (guint i = 0; i < gone->len; i++)
    bury (soft, g_ptr_array_index (gone, i));
  uint32_t count = gone->len;
  g_ptr_array_free (gone, TRUE);
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
                      uint64_t sequence, cyt_wanted_fn wanted, void *context,
                      Cy__SyncAnswer *answer)
{
  bool whole = epoch != soft->epoch || sequence < soft->oldest
               || sequence > soft->sequence;
  GPtrArray *objects = g_ptr_array_new ();
  const struct item *item = NULL;
  CK_LIST_FOREACH (item, &soft->newest, link)
  {
    if (!whole && item->object->version <= sequence)
      break;
    if (whole && item->object->deleted)
      continue;
    if (item->object->deleted || wanted == NULL
        || wanted (item->object, context))
      g_ptr_array_add (objects, item->object);
  }
  answer->soft_epoch = soft->epoch;
  answer->soft_from = whole ? 0 : sequence;
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

/* Removes every key that ANSWER, a whole table, does not name.  */
static void
remove_missing (struct cyt_soft_state *soft, const Cy__SyncAnswer *answer)
{
  GHashTable *named = g_hash_table_new (g_str_hash, g_str_equal);
  for (size_t i = 0; i < answer->n_soft; i++)
    g_hash_table_add (named, answer->soft[i]->key);
  struct item *item = NULL, *next = NULL;
  CK_LIST_FOREACH_SAFE (item, &soft->newest, link, next)
  {
    if (g_hash_table_contains (named, item->object->key))
      continue;
    CK_LIST_REMOVE (item, link);
    g_tree_remove (soft->items, item->object->key);
  }
  g_hash_table_destroy (named);
  soft->tombstones = 0;
}

cy_result
cyt_soft_state_sync (struct cyt_soft_state *soft, const Cy__SyncAnswer *answer)
{
  bool whole = answer->soft_from == 0;
  if (!whole
      && (answer->soft_epoch != soft->epoch
          || answer->soft_from > soft->sequence))
    return CY_E_AGAIN;
  if (!whole && answer->soft_to <= soft->sequence)
    return CY_OK;
  if (whole)
    {
      remove_missing (soft, answer);
      soft->oldest = answer->soft_to;
    }
  soft->epoch = answer->soft_epoch;
  for (size_t i = answer->n_soft; i > 0; i--)
    store (soft, cy_copy (answer->soft[i - 1]), 0);
  soft->sequence = answer->soft_to;
  return CY_OK;
}

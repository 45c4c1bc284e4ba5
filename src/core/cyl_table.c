#include "core/cyl_table.h"

#include <ck_pr.h>
#include <glib.h>
#include <string.h>

#define ROOT_BITS         16
#define NODE_BITS         8
#define INDEX_ENTRY_BYTES 64   /* bytes; estimated size of one index entry */
#define LENGTH_UNSET      0xff /* slot without a site */
/* Maximum number of nodes on one search path.  */
#define STEPS_MAX ((128 - ROOT_BITS) / NODE_BITS + 1)

enum child_kind
{
  CHILD_LEAF,
  CHILD_NODE
};

/* Common first member of a leaf and of a node.  */
struct child
{
  enum child_kind kind;
};

struct leaf_entry
{
  uint64_t high;
  uint64_t low;
  uint16_t site;
  uint8_t length;
};

/* Immutable after publication.  The entries are sorted by length, longest
   first.  */
struct leaf
{
  struct child child;
  uint32_t count;
  struct leaf_entry entries[];
};

/* Readers access SITE and SLOT.  Only the writer accesses LENGTH, the length
   of the prefix whose site the slot holds, or LENGTH_UNSET.  */
struct node
{
  struct child child;
  uint8_t depth; /* number of address bits above this node */
  uint8_t bits;  /* number of address bits that select a slot */
  uint16_t *site;
  uint8_t *length;
  struct child **slot;
};

struct cyl_table
{
  struct cyl_reclaim reclaim;
  struct node *v4;
  struct node *v6;
  /* Maps each prefix that ends in a node to its struct index_entry.  */
  GHashTable *index;
  size_t count; /* number of prefixes */
  size_t bytes; /* approximate memory use */
};

struct index_entry
{
  struct cyl_prefix prefix;
  uint16_t site;
};

static guint
index_hash (gconstpointer key)
{
  const struct cyl_prefix *prefix = key;
  uint64_t hash = prefix->address.high ^ (prefix->address.low * 31);
  hash = (hash + prefix->length) * UINT64_C (0x9e3779b97f4a7c15);
  return (guint)(hash >> 32);
}

static gboolean
index_equal (gconstpointer a, gconstpointer b)
{
  const struct cyl_prefix *left = a;
  const struct cyl_prefix *right = b;
  return left->address.high == right->address.high
         && left->address.low == right->address.low
         && left->length == right->length
         && left->address.v6 == right->address.v6;
}

static inline unsigned
slot_index (const struct node *node, uint64_t high, uint64_t low)
{
  unsigned shift = 64 - node->bits;
  if (node->depth < 64)
    return (unsigned)((high << node->depth) >> shift);
  return (unsigned)((low << (node->depth - 64)) >> shift);
}

static inline bool
entry_matches_address (const struct leaf_entry *entry, uint64_t high,
                       uint64_t low)
{
  uint64_t differ_high = high ^ entry->high;
  if (entry->length < 64)
    return differ_high >> (64 - entry->length) == 0;
  if (differ_high != 0)
    return false;
  uint64_t differ_low = low ^ entry->low;
  return entry->length == 64 || differ_low >> (128 - entry->length) == 0;
}

static size_t
leaf_size (uint32_t count)
{
  return sizeof (struct leaf) + count * sizeof (struct leaf_entry);
}

static size_t
node_size (unsigned bits)
{
  size_t slots = (size_t)1 << bits;
  size_t bytes_per_slot
      = sizeof (uint16_t) + sizeof (uint8_t) + sizeof (void *);
  return sizeof (struct node) + slots * bytes_per_slot;
}

static struct node *
node_create (struct cyl_table *table, unsigned depth, unsigned bits)
{
  size_t slots = (size_t)1 << bits;
  size_t size = node_size (bits);
  struct node *node = g_malloc0 (size);
  node->child.kind = CHILD_NODE;
  node->depth = (uint8_t)depth;
  node->bits = (uint8_t)bits;
  node->slot = (struct child **)(node + 1);
  node->site = (uint16_t *)(node->slot + slots);
  node->length = (uint8_t *)(node->site + slots);
  memset (node->site, 0xff, slots * sizeof (uint16_t));
  memset (node->length, LENGTH_UNSET, slots);
  table->bytes += size;
  return node;
}

static void
child_destroy (struct child *child)
{
  if (child == NULL)
    return;
  switch (child->kind)
    {
    case CHILD_LEAF:
      break;
    case CHILD_NODE:
      {
        struct node *node = (struct node *)child;
        for (size_t i = 0; i < (size_t)1 << node->bits; i++)
          child_destroy (node->slot[i]);
        break;
      }
    }
  g_free (child);
}

struct cyl_table *
cyl_table_create (const struct cyl_reclaim *reclaim)
{
  struct cyl_table *table = g_new0 (struct cyl_table, 1);
  table->reclaim = *reclaim;
  table->v4 = node_create (table, 0, ROOT_BITS);
  table->v6 = node_create (table, 0, ROOT_BITS);
  table->index = g_hash_table_new_full (index_hash, index_equal, NULL, g_free);
  return table;
}

void
cyl_table_destroy (struct cyl_table *table)
{
  if (table == NULL)
    return;
  child_destroy (&table->v4->child);
  child_destroy (&table->v6->child);
  g_hash_table_destroy (table->index);
  g_free (table);
}

/* Returns the first slot of NODE that PREFIX covers and sets COUNT to the
   number of covered slots.  */
static unsigned
covered_slots (const struct node *node, const struct cyl_prefix *prefix,
               unsigned *count)
{
  *count = 1u << (node->depth + node->bits - prefix->length);
  return slot_index (node, prefix->address.high, prefix->address.low);
}

/* Stores PREFIX in the slots that it covers, except those that hold a longer
   prefix.  */
static void
node_put (struct cyl_table *table, struct node *node,
          const struct cyl_prefix *prefix, uint16_t site)
{
  unsigned count;
  unsigned first = covered_slots (node, prefix, &count);
  for (unsigned i = first; i < first + count; i++)
    {
      bool has_longer = node->length[i] != LENGTH_UNSET
                        && node->length[i] > prefix->length;
      if (has_longer)
        continue;
      node->length[i] = prefix->length;
      ck_pr_store_16 (&node->site[i], site);
    }
  struct index_entry *entry = g_new (struct index_entry, 1);
  entry->prefix = *prefix;
  entry->site = site;
  if (!g_hash_table_replace (table->index, &entry->prefix, entry))
    return;
  table->count++;
  table->bytes += INDEX_ENTRY_BYTES;
}

static struct cyl_prefix
entry_prefix (const struct leaf_entry *entry, bool v6)
{
  return (struct cyl_prefix){ .address = { entry->high, entry->low, v6 },
                              .length = entry->length };
}

static struct leaf *
leaf_create (struct cyl_table *table, uint32_t count)
{
  struct leaf *leaf = g_malloc (leaf_size (count));
  leaf->child.kind = CHILD_LEAF;
  leaf->count = count;
  table->bytes += leaf_size (count);
  return leaf;
}

static void
leaf_retire (struct cyl_table *table, struct leaf *leaf)
{
  table->bytes -= leaf_size (leaf->count);
  table->reclaim.retire (leaf, table->reclaim.context);
}

static void
slot_publish (struct node *node, unsigned slot, struct child *child)
{
  ck_pr_fence_store ();
  ck_pr_store_ptr (&node->slot[slot], child);
}

static bool
entry_has_prefix (const struct leaf_entry *entry,
                  const struct cyl_prefix *prefix)
{
  return entry->length == prefix->length && entry->high == prefix->address.high
         && entry->low == prefix->address.low;
}

/* Replaces the leaf of SLOT, which may be NULL, by a leaf that also contains
   PREFIX.  Returns the new leaf.  */
static struct leaf *
leaf_put (struct cyl_table *table, struct node *node, unsigned slot,
          const struct cyl_prefix *prefix, uint16_t site)
{
  struct leaf *previous = (struct leaf *)node->slot[slot];
  uint32_t count = previous == NULL ? 0 : previous->count;
  bool is_present = false;
  for (uint32_t i = 0; i < count; i++)
    is_present
        = is_present || entry_has_prefix (&previous->entries[i], prefix);
  struct leaf *leaf = leaf_create (table, is_present ? count : count + 1);
  uint32_t to = 0;
  uint32_t from = 0;
  while (from < count && previous->entries[from].length > prefix->length)
    leaf->entries[to++] = previous->entries[from++];
  leaf->entries[to++]
      = (struct leaf_entry){ prefix->address.high, prefix->address.low, site,
                             prefix->length };
  for (; from < count; from++)
    if (!entry_has_prefix (&previous->entries[from], prefix))
      leaf->entries[to++] = previous->entries[from];
  if (!is_present)
    table->count++;
  slot_publish (node, slot, &leaf->child);
  if (previous != NULL)
    leaf_retire (table, previous);
  return leaf;
}

static void trie_put (struct cyl_table *table, struct node *node,
                      const struct cyl_prefix *prefix, uint16_t site);

/* Replaces the leaf LEAF of SLOT, which has too many entries, by a node.  */
static void
leaf_replace_by_node (struct cyl_table *table, struct node *node,
                      unsigned slot, struct leaf *leaf, bool v6)
{
  struct node *inner
      = node_create (table, node->depth + node->bits, NODE_BITS);
  table->count -= leaf->count;
  for (uint32_t i = 0; i < leaf->count; i++)
    {
      struct cyl_prefix prefix = entry_prefix (&leaf->entries[i], v6);
      trie_put (table, inner, &prefix, leaf->entries[i].site);
    }
  slot_publish (node, slot, &inner->child);
  leaf_retire (table, leaf);
}

static void
trie_put (struct cyl_table *table, struct node *node,
          const struct cyl_prefix *prefix, uint16_t site)
{
  while (prefix->length > node->depth + node->bits)
    {
      unsigned slot
          = slot_index (node, prefix->address.high, prefix->address.low);
      struct child *child = node->slot[slot];
      if (child == NULL || child->kind == CHILD_LEAF)
        {
          struct leaf *leaf = leaf_put (table, node, slot, prefix, site);
          if (leaf->count > CYL_LEAF_MAX)
            leaf_replace_by_node (table, node, slot, leaf, prefix->address.v6);
          return;
        }
      node = (struct node *)child;
    }
  node_put (table, node, prefix, site);
}

void
cyl_table_put (struct cyl_table *table, const struct cyl_prefix *prefix,
               uint16_t site)
{
  struct node *root = prefix->address.v6 ? table->v6 : table->v4;
  trie_put (table, root, prefix, site);
}

static uint64_t
length_mask (unsigned length)
{
  if (length == 0)
    return 0;
  return length >= 64 ? UINT64_MAX : UINT64_MAX << (64 - length);
}

/* Returns the longest prefix that is shorter than PREFIX, ends in NODE and
   contains PREFIX; NULL if there is none.  */
static const struct index_entry *
node_find_shorter (const struct cyl_table *table, const struct node *node,
                   const struct cyl_prefix *prefix)
{
  unsigned shortest = node->depth == 0 ? 0 : node->depth + 1;
  for (unsigned length = prefix->length; length-- > shortest;)
    {
      struct cyl_prefix shorter = *prefix;
      shorter.length = (uint8_t)length;
      shorter.address.high &= length_mask (length);
      shorter.address.low &= length_mask (length <= 64 ? 0 : length - 64);
      const struct index_entry *entry
          = g_hash_table_lookup (table->index, &shorter);
      if (entry != NULL)
        return entry;
    }
  return NULL;
}

static cy_result
node_remove (struct cyl_table *table, struct node *node,
             const struct cyl_prefix *prefix)
{
  if (!g_hash_table_remove (table->index, prefix))
    return CY_E_NOT_FOUND;
  table->count--;
  table->bytes -= INDEX_ENTRY_BYTES;
  const struct index_entry *shorter = node_find_shorter (table, node, prefix);
  uint16_t site = shorter == NULL ? CYL_SITE_NONE : shorter->site;
  uint8_t length = shorter == NULL ? LENGTH_UNSET : shorter->prefix.length;
  unsigned count;
  unsigned first = covered_slots (node, prefix, &count);
  for (unsigned i = first; i < first + count; i++)
    {
      if (node->length[i] != prefix->length)
        continue;
      node->length[i] = length;
      ck_pr_store_16 (&node->site[i], site);
    }
  return CY_OK;
}

static cy_result
leaf_remove (struct cyl_table *table, struct node *node, unsigned slot,
             const struct cyl_prefix *prefix)
{
  struct leaf *previous = (struct leaf *)node->slot[slot];
  uint32_t position = 0;
  while (position < previous->count
         && !entry_has_prefix (&previous->entries[position], prefix))
    position++;
  if (position == previous->count)
    return CY_E_NOT_FOUND;
  struct leaf *leaf = NULL;
  if (previous->count > 1)
    {
      leaf = leaf_create (table, previous->count - 1);
      memcpy (leaf->entries, previous->entries,
              position * sizeof *previous->entries);
      memcpy (leaf->entries + position, previous->entries + position + 1,
              (previous->count - position - 1) * sizeof *previous->entries);
    }
  slot_publish (node, slot, leaf == NULL ? NULL : &leaf->child);
  leaf_retire (table, previous);
  table->count--;
  return CY_OK;
}

cy_result
cyl_table_remove (struct cyl_table *table, const struct cyl_prefix *prefix)
{
  struct node *node = prefix->address.v6 ? table->v6 : table->v4;
  while (prefix->length > node->depth + node->bits)
    {
      unsigned slot
          = slot_index (node, prefix->address.high, prefix->address.low);
      struct child *child = node->slot[slot];
      if (child == NULL)
        return CY_E_NOT_FOUND;
      if (child->kind == CHILD_LEAF)
        return leaf_remove (table, node, slot, prefix);
      node = (struct node *)child;
    }
  return node_remove (table, node, prefix);
}

uint16_t
cyl_table_get (const struct cyl_table *table, const struct cyl_prefix *prefix)
{
  const struct node *node = prefix->address.v6 ? table->v6 : table->v4;
  while (prefix->length > node->depth + node->bits)
    {
      unsigned slot
          = slot_index (node, prefix->address.high, prefix->address.low);
      const struct child *child = node->slot[slot];
      if (child == NULL)
        return CYL_SITE_NONE;
      if (child->kind == CHILD_LEAF)
        {
          const struct leaf *leaf = (const struct leaf *)child;
          for (uint32_t i = 0; i < leaf->count; i++)
            if (entry_has_prefix (&leaf->entries[i], prefix))
              return leaf->entries[i].site;
          return CYL_SITE_NONE;
        }
      node = (const struct node *)child;
    }
  const struct index_entry *entry = g_hash_table_lookup (table->index, prefix);
  return entry == NULL ? CYL_SITE_NONE : entry->site;
}

static inline uint16_t
leaf_find (const struct leaf *leaf, uint64_t high, uint64_t low)
{
  for (uint32_t i = 0; i < leaf->count; i++)
    if (entry_matches_address (&leaf->entries[i], high, low))
      return leaf->entries[i].site;
  return CYL_SITE_NONE;
}

/* Node and slot on the path of a search.  */
struct search_step
{
  const struct node *node;
  unsigned slot;
};

uint16_t
cyl_table_find (const struct cyl_table *table,
                const struct cyl_address *address)
{
  struct search_step steps[STEPS_MAX];
  unsigned count = 0;
  const struct node *node = address->v6 ? table->v6 : table->v4;
  while (node != NULL)
    {
      unsigned slot = slot_index (node, address->high, address->low);
      const struct child *child = ck_pr_load_ptr (&node->slot[slot]);
      steps[count++] = (struct search_step){ node, slot };
      node = NULL;
      if (child == NULL)
        break;
      if (child->kind == CHILD_NODE)
        {
          node = (const struct node *)child;
          continue;
        }
      uint16_t site = leaf_find ((const struct leaf *)child, address->high,
                                 address->low);
      if (site != CYL_SITE_NONE)
        return site;
    }
  while (count-- > 0)
    {
      uint16_t site
          = ck_pr_load_16 (&steps[count].node->site[steps[count].slot]);
      if (site != CYL_SITE_NONE)
        return site;
    }
  return CYL_SITE_NONE;
}

size_t
cyl_table_count (const struct cyl_table *table)
{
  return table->count;
}

size_t
cyl_table_bytes (const struct cyl_table *table)
{
  return table->bytes;
}

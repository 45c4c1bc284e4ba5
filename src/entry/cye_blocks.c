#include "entry/cye_blocks.h"

#include <glib.h>

#include "core/cyp_names.h"

/* One site and its prefixes in the table.  */
struct site
{
  uint64_t version;    /* of the declared object that was applied */
  uint64_t last_round; /* last update round in which the site was declared */
  uint16_t number;
  GArray *prefixes; /* struct cyl_prefix, sorted */
};

struct cye_blocks
{
  struct cyl_table *table;
  cye_site_fn site_number;
  void *context;
  uint64_t state_version; /* of the last update */
  uint64_t round;         /* count of updates */
  GHashTable *sites;      /* site name to struct site */
  GArray *removals;       /* struct removal, applied after all additions of an
                           update */
};

/* A prefix that site NUMBER no longer has.  */
struct removal
{
  struct cyl_prefix prefix;
  uint16_t number;
};

static void
site_destroy (gpointer data)
{
  struct site *site = data;
  g_array_unref (site->prefixes);
  g_free (site);
}

struct cye_blocks *
cye_blocks_create (struct cyl_table *table, cye_site_fn site_number,
                   void *context)
{
  struct cye_blocks *blocks = g_new0 (struct cye_blocks, 1);
  blocks->table = table;
  blocks->site_number = site_number;
  blocks->context = context;
  blocks->sites
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, site_destroy);
  blocks->removals = g_array_new (FALSE, FALSE, sizeof (struct removal));
  return blocks;
}

void
cye_blocks_destroy (struct cye_blocks *blocks)
{
  if (blocks == NULL)
    return;
  g_hash_table_destroy (blocks->sites);
  g_array_unref (blocks->removals);
  g_free (blocks);
}

static gint
compare_prefixes (gconstpointer a, gconstpointer b)
{
  const struct cyl_prefix *left = a;
  const struct cyl_prefix *right = b;
  if (left->address.v6 != right->address.v6)
    return left->address.v6 ? 1 : -1;
  if (left->address.high != right->address.high)
    return left->address.high < right->address.high ? -1 : 1;
  if (left->address.low != right->address.low)
    return left->address.low < right->address.low ? -1 : 1;
  return (gint)left->length - (gint)right->length;
}

static GArray *
prefixes_read (const Cy__ClientBlocks *from)
{
  GArray *prefixes = g_array_sized_new (
      FALSE, FALSE, sizeof (struct cyl_prefix), (guint)from->n_prefixes);
  for (size_t i = 0; i < from->n_prefixes; i++)
    {
      struct cyl_prefix prefix;
      if (cyl_prefix_parse (from->prefixes[i], &prefix) == CY_OK)
        g_array_append_val (prefixes, prefix);
    }
  g_array_sort (prefixes, compare_prefixes);
  return prefixes;
}

static void
defer_removal (struct cye_blocks *blocks, const struct cyl_prefix *prefix,
               uint16_t number)
{
  struct removal removal = { *prefix, number };
  g_array_append_val (blocks->removals, removal);
}

/* Removes the prefixes in blocks->removals from the table, except those that
   have moved to another site.  */
static void
apply_removals (struct cye_blocks *blocks)
{
  for (guint i = 0; i < blocks->removals->len; i++)
    {
      const struct removal *removal
          = &g_array_index (blocks->removals, struct removal, i);
      if (cyl_table_get (blocks->table, &removal->prefix) == removal->number)
        cyl_table_remove (blocks->table, &removal->prefix);
    }
  g_array_set_size (blocks->removals, 0);
}

/* Compares the sorted arrays BEFORE and AFTER: defers the removal of prefixes
   that are only in BEFORE, adds those that are only in AFTER.  */
static void
update_prefixes (struct cye_blocks *blocks, const GArray *before,
                 const GArray *after, uint16_t number)
{
  guint old = 0;
  guint new = 0;
  while (old < before->len || new < after->len)
    {
      const struct cyl_prefix *from
          = &g_array_index (before, struct cyl_prefix, old);
      const struct cyl_prefix *to
          = &g_array_index (after, struct cyl_prefix, new);
      gint order = old == before->len  ? 1
                   : new == after->len ? -1
                                       : compare_prefixes (from, to);
      if (order < 0)
        defer_removal (blocks, from, number);
      if (order > 0)
        cyl_table_put (blocks->table, to, number);
      old += order <= 0;
      new += order >= 0;
    }
}

static bool
update_site (const Cy__Object *object, void *context)
{
  struct cye_blocks *blocks = context;
  if (object->body_case != CY__OBJECT__BODY_BLOCKS)
    return true;
  const char *name = object->blocks->site;
  struct site *site = g_hash_table_lookup (blocks->sites, name);
  unsigned number = blocks->site_number (blocks->context, name);
  if (number == CYP_NAME_NONE)
    return true;
  if (site == NULL)
    {
      site = g_new0 (struct site, 1);
      site->number = (uint16_t)number;
      site->prefixes = g_array_new (FALSE, FALSE, sizeof (struct cyl_prefix));
      g_hash_table_insert (blocks->sites, g_strdup (name), site);
    }
  site->last_round = blocks->round;
  if (site->version == object->version)
    return true;
  GArray *prefixes = prefixes_read (object->blocks);
  update_prefixes (blocks, site->prefixes, prefixes, site->number);
  g_array_unref (site->prefixes);
  site->prefixes = prefixes;
  site->version = object->version;
  return true;
}

static gboolean
remove_if_undeclared (gpointer key, gpointer value, gpointer context)
{
  (void)key;
  struct cye_blocks *blocks = context;
  struct site *site = value;
  if (site->last_round == blocks->round)
    return FALSE;
  for (guint i = 0; i < site->prefixes->len; i++)
    defer_removal (blocks,
                   &g_array_index (site->prefixes, struct cyl_prefix, i),
                   site->number);
  return TRUE;
}

void
cye_blocks_update (struct cye_blocks *blocks, const struct cys_state *state)
{
  if (blocks->state_version == cys_state_version (state))
    return;
  blocks->state_version = cys_state_version (state);
  blocks->round++;
  cys_state_each (state, "blocks/", update_site, blocks);
  g_hash_table_foreach_remove (blocks->sites, remove_if_undeclared, blocks);
  apply_removals (blocks);
}

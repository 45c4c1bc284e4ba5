#include "core/cym_quota.h"

#include <math.h>

#include "core/cyf_freshness.h"

#define DEMAND_MS 1000.0 /* ms over which demand is averaged */

/* This placer's part of one workspace's bucket.  */
struct part
{
  double rate;   /* declared, tokens a second; 0: no limit */
  double burst;  /* declared, tokens */
  double level;  /* tokens; below zero: owed */
  double demand; /* requests a second */
  cy_time_ns filled;
  cy_time_ns asked; /* when demand was last updated */
  bool listed;
};

struct cym_quota
{
  GHashTable *parts; /* name to struct part */
  double share;
};

struct cym_quota *
cym_quota_create (void)
{
  struct cym_quota *quota = g_new0 (struct cym_quota, 1);
  quota->parts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return quota;
}

void
cym_quota_destroy (struct cym_quota *quota)
{
  if (quota == NULL)
    return;
  g_hash_table_destroy (quota->parts);
  g_free (quota);
}

/* ------------------------------------------------------------ one part */

static double
part_rate (const struct cym_quota *quota, const struct part *part)
{
  return part->rate * quota->share;
}

static double
part_burst (const struct cym_quota *quota, const struct part *part)
{
  return part->burst * quota->share;
}

/* Lets tokens come in up to NOW.  The clock may be fast by the drift bound. */
static void
part_fill (const struct cym_quota *quota, struct part *part, cy_time_ns now)
{
  if (now <= part->filled)
    return;
  double seconds
      = (double)cyf_narrow_span (now - part->filled) / (double)CY_NS_PER_S;
  part->filled = now;
  part->level = fmin (part->level + part_rate (quota, part) * seconds,
                      part_burst (quota, part));
}

/* Lets the measured demand decay up to NOW, then adds COUNT requests.  */
static void
part_demand (struct part *part, double count, cy_time_ns now)
{
  double passed = (double)(now - part->asked) / (double)CY_NS_PER_MS;
  if (passed > 0)
    {
      part->demand *= exp (-passed / DEMAND_MS);
      part->asked = now;
    }
  part->demand += count * 1000.0 / DEMAND_MS;
}

static struct part *
part_find (struct cym_quota *quota, const char *workspace, cy_time_ns now)
{
  struct part *part = g_hash_table_lookup (quota->parts, workspace);
  if (part != NULL && part->rate > 0)
    part_fill (quota, part, now);
  return part;
}

/* ------------------------------------------------------------ declaring */

static gboolean
is_unlisted (gpointer name, gpointer value, gpointer unused)
{
  (void)name;
  (void)unused;
  return !((struct part *)value)->listed;
}

static void
declare (struct cym_quota *quota, const struct cyi_workspace *workspace,
         bool full, cy_time_ns now)
{
  struct part *part = g_hash_table_lookup (quota->parts, workspace->name);
  bool new = part == NULL;
  if (new)
    {
      part = g_new0 (struct part, 1);
      part->filled = now;
      part->asked = now;
      g_hash_table_insert (quota->parts, g_strdup (workspace->name), part);
    }
  else
    part_fill (quota, part, now);
  part->rate = workspace->rate;
  part->burst = workspace->burst;
  part->listed = true;
  double top = part_burst (quota, part);
  part->level = new ? (full ? top : 0) : fmin (part->level, top);
}

void
cym_quota_declare (struct cym_quota *quota,
                   const struct cyi_document *document, bool full,
                   cy_time_ns now)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, quota->parts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct part *)value)->listed = false;
  for (guint i = 0; i < document->workspaces->len; i++)
    declare (quota, g_ptr_array_index (document->workspaces, i), full, now);
  g_hash_table_foreach_remove (quota->parts, is_unlisted, NULL);
}

void
cym_quota_share (struct cym_quota *quota, double share, cy_time_ns now)
{
  GHashTableIter iter;
  gpointer value;
  if (share == quota->share)
    return;
  g_hash_table_iter_init (&iter, quota->parts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    part_fill (quota, value, now);
  quota->share = share;
  g_hash_table_iter_init (&iter, quota->parts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct part *part = value;
      part->level = fmin (part->level, part_burst (quota, part));
    }
}

/* ------------------------------------------------------------ tokens */

bool
cym_quota_take (struct cym_quota *quota, const char *workspace, cy_time_ns now)
{
  struct part *part = part_find (quota, workspace, now);
  if (part == NULL)
    return false;
  if (part->rate <= 0)
    return true;
  part_demand (part, 1, now);
  double owed = part_rate (quota, part) * CYM_OVERDRAFT_MS / 1000.0;
  if (part->level - 1 < -owed)
    return false;
  part->level -= 1;
  return true;
}

bool
cym_quota_may (struct cym_quota *quota, const char *workspace,
               unsigned waiting, cy_time_ns now)
{
  struct part *part = part_find (quota, workspace, now);
  if (part == NULL)
    return false;
  if (part->rate <= 0)
    return true;
  double owed = part_rate (quota, part) * CYM_OVERDRAFT_MS / 1000.0;
  double soon = part_rate (quota, part) * CYM_WAIT_MS / 1000.0;
  bool may = part->level - 1 - waiting + soon >= -owed;
  if (!may)
    part_demand (part, 1, now);
  return may;
}

uint32_t
cym_quota_wait_ms (struct cym_quota *quota, const char *workspace,
                   cy_time_ns now)
{
  const struct part *part = part_find (quota, workspace, now);
  if (part == NULL || part->rate <= 0)
    return 0;
  double rate = part_rate (quota, part);
  if (rate <= 0)
    return 1000;
  /* Those that ask beyond the rate come back spread over time.  */
  double excess = fmax (part->demand / rate, 1);
  return (uint32_t)fmin ((1 - fmin (part->level, 0)) * 1000 * excess / rate,
                         10000);
}

/* ------------------------------------------------------------ a matcher */

static bool
take_token (void *context, const char *workspace, cy_time_ns now)
{
  return cym_quota_take (context, workspace, now);
}

static bool
has_token (void *context, const char *workspace, unsigned waiting,
           cy_time_ns now)
{
  return cym_quota_may (context, workspace, waiting, now);
}

static uint32_t
token_wait_ms (void *context, const char *workspace, cy_time_ns now)
{
  return cym_quota_wait_ms (context, workspace, now);
}

void
cym_quota_serve (struct cym_quota *quota, struct cym_options *options)
{
  options->take_token = take_token;
  options->has_token = has_token;
  options->token_wait_ms = token_wait_ms;
  options->context = quota;
}

/* ------------------------------------------------------------ gifts */

void
cym_quota_needs (struct cym_quota *quota, cy_time_ns now, cym_need_fn each,
                 void *context)
{
  GHashTableIter iter;
  gpointer name;
  gpointer value;
  g_hash_table_iter_init (&iter, quota->parts);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      struct part *part = value;
      if (part->rate <= 0)
        continue;
      part_fill (quota, part, now);
      part_demand (part, 0, now);
      double want = part->demand * CYM_SHORT_MS / 1000.0;
      double room = part_burst (quota, part) - part->level;
      if (part->demand >= 1 && part->level < fmin (want, room + part->level)
          && room >= 1)
        each (name, fmin (part->demand * CYM_KEEP_MS / 1000.0, room), context);
    }
}

double
cym_quota_give (struct cym_quota *quota, const char *workspace, double tokens,
                cy_time_ns now)
{
  struct part *part = part_find (quota, workspace, now);
  if (part == NULL || part->rate <= 0 || !(tokens > 0))
    return 0;
  part_demand (part, 0, now);
  double keep = part->demand * CYM_KEEP_MS / 1000.0 + 1;
  double spare = part->level - keep;
  double gift = fmin (tokens, spare / 2);
  if (gift < 1)
    return 0;
  part->level -= gift;
  return gift;
}

void
cym_quota_receive (struct cym_quota *quota, const char *workspace,
                   double tokens, cy_time_ns now)
{
  struct part *part = part_find (quota, workspace, now);
  if (part == NULL || part->rate <= 0 || !(tokens > 0))
    return;
  part->level = fmin (part->level + tokens, part_burst (quota, part));
}

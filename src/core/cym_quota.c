#include "core/cym_quota.h"

#include <math.h>

#include "core/cyf_freshness.h"

#define DEMAND_MS 1000.0 /* time constant in ms of the measured demand */

/* This placer's part of the token bucket of one workspace.  */
struct workspace_bucket
{
  double rate;   /* declared rate of the workspace, tokens/s; 0: no limit */
  double burst;  /* declared burst of the workspace, tokens */
  double tokens; /* available tokens of this placer; below 0: overdraft */
  double demand; /* measured demand of this placer, requests/s */
  cy_time_ns refilled_at;       /* time up to which tokens were added */
  cy_time_ns demand_updated_at; /* time up to which the demand has decayed */
  bool listed; /* the document that is being applied has the workspace */
};

struct cym_quota
{
  GHashTable *buckets; /* workspace to struct workspace_bucket */
  double share;        /* part of all rates and bursts, 0 to 1 */
};

struct cym_quota *
cym_quota_create (void)
{
  struct cym_quota *quota = g_new0 (struct cym_quota, 1);
  quota->buckets
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return quota;
}

void
cym_quota_destroy (struct cym_quota *quota)
{
  if (quota == NULL)
    return;
  g_hash_table_destroy (quota->buckets);
  g_free (quota);
}

/* ------------------------------------------------------------ one bucket */

static double
bucket_rate (const struct cym_quota *quota,
             const struct workspace_bucket *bucket)
{
  return bucket->rate * quota->share;
}

static double
bucket_burst (const struct cym_quota *quota,
              const struct workspace_bucket *bucket)
{
  return bucket->burst * quota->share;
}

/* Adds the tokens that BUCKET has gained up to NOW.  The elapsed time is
   narrowed, as this clock may be fast by the drift bound.  */
static void
bucket_refill (const struct cym_quota *quota, struct workspace_bucket *bucket,
               cy_time_ns now)
{
  if (now <= bucket->refilled_at)
    return;
  double elapsed_s = (double)cyf_narrow_span (now - bucket->refilled_at)
                     / (double)CY_NS_PER_S;
  bucket->refilled_at = now;
  bucket->tokens
      = fmin (bucket->tokens + bucket_rate (quota, bucket) * elapsed_s,
              bucket_burst (quota, bucket));
}

/* Applies the decay of the measured demand up to NOW, then adds COUNT
   requests.  */
static void
bucket_add_demand (struct workspace_bucket *bucket, double count,
                   cy_time_ns now)
{
  double elapsed_ms
      = (double)(now - bucket->demand_updated_at) / (double)CY_NS_PER_MS;
  if (elapsed_ms > 0)
    {
      bucket->demand *= exp (-elapsed_ms / DEMAND_MS);
      bucket->demand_updated_at = now;
    }
  bucket->demand += count * 1000.0 / DEMAND_MS;
}

static struct workspace_bucket *
bucket_find (struct cym_quota *quota, const char *workspace, cy_time_ns now)
{
  struct workspace_bucket *bucket
      = g_hash_table_lookup (quota->buckets, workspace);
  if (bucket != NULL && bucket->rate > 0)
    bucket_refill (quota, bucket, now);
  return bucket;
}

/* ------------------------------------------------------------ declaration */

static gboolean
is_unlisted (gpointer name, gpointer value, gpointer unused)
{
  (void)name;
  (void)unused;
  return !((struct workspace_bucket *)value)->listed;
}

static void
bucket_declare (struct cym_quota *quota, const struct cyi_workspace *workspace,
                bool full, cy_time_ns now)
{
  struct workspace_bucket *bucket
      = g_hash_table_lookup (quota->buckets, workspace->name);
  bool is_new = bucket == NULL;
  if (is_new)
    {
      bucket = g_new0 (struct workspace_bucket, 1);
      bucket->refilled_at = now;
      bucket->demand_updated_at = now;
      g_hash_table_insert (quota->buckets, g_strdup (workspace->name), bucket);
    }
  else
    bucket_refill (quota, bucket, now);
  bucket->rate = workspace->rate;
  bucket->burst = workspace->burst;
  bucket->listed = true;
  double capacity = bucket_burst (quota, bucket);
  bucket->tokens
      = is_new ? (full ? capacity : 0) : fmin (bucket->tokens, capacity);
}

void
cym_quota_declare (struct cym_quota *quota,
                   const struct cyi_document *document, bool full,
                   cy_time_ns now)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, quota->buckets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct workspace_bucket *)value)->listed = false;
  for (guint i = 0; i < document->workspaces->len; i++)
    bucket_declare (quota, g_ptr_array_index (document->workspaces, i), full,
                    now);
  g_hash_table_foreach_remove (quota->buckets, is_unlisted, NULL);
}

void
cym_quota_set_share (struct cym_quota *quota, double share, cy_time_ns now)
{
  GHashTableIter iter;
  gpointer value;
  if (share == quota->share)
    return;
  g_hash_table_iter_init (&iter, quota->buckets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    bucket_refill (quota, value, now);
  quota->share = share;
  g_hash_table_iter_init (&iter, quota->buckets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct workspace_bucket *bucket = value;
      bucket->tokens = fmin (bucket->tokens, bucket_burst (quota, bucket));
    }
}

/* ------------------------------------------------------------ tokens */

bool
cym_quota_take_token (struct cym_quota *quota, const char *workspace,
                      cy_time_ns now)
{
  struct workspace_bucket *bucket = bucket_find (quota, workspace, now);
  if (bucket == NULL)
    return false;
  if (bucket->rate <= 0)
    return true;
  bucket_add_demand (bucket, 1, now);
  double overdraft = bucket_rate (quota, bucket) * CYM_OVERDRAFT_MS / 1000.0;
  if (bucket->tokens - 1 < -overdraft)
    return false;
  bucket->tokens -= 1;
  return true;
}

bool
cym_quota_may_wait (struct cym_quota *quota, const char *workspace,
                    unsigned waiting, cy_time_ns now)
{
  struct workspace_bucket *bucket = bucket_find (quota, workspace, now);
  if (bucket == NULL)
    return false;
  if (bucket->rate <= 0)
    return true;
  double overdraft = bucket_rate (quota, bucket) * CYM_OVERDRAFT_MS / 1000.0;
  double arriving = bucket_rate (quota, bucket) * CYM_TOKEN_WAIT_MS / 1000.0;
  bool may_wait = bucket->tokens - 1 - waiting + arriving >= -overdraft;
  if (!may_wait)
    bucket_add_demand (bucket, 1, now);
  return may_wait;
}

uint32_t
cym_quota_wait_ms (struct cym_quota *quota, const char *workspace,
                   cy_time_ns now)
{
  const struct workspace_bucket *bucket = bucket_find (quota, workspace, now);
  if (bucket == NULL || bucket->rate <= 0)
    return 0;
  double rate = bucket_rate (quota, bucket);
  if (rate <= 0)
    return 1000;
  /* When callers exceed the rate, a longer wait spreads their returns over
     time.  */
  double excess = fmax (bucket->demand / rate, 1);
  return (uint32_t)fmin ((1 - fmin (bucket->tokens, 0)) * 1000 * excess / rate,
                         10000);
}

/* ------------------------------------------------------------ matcher */

static bool
take_token (void *context, const char *workspace, cy_time_ns now)
{
  return cym_quota_take_token (context, workspace, now);
}

static bool
has_token (void *context, const char *workspace, unsigned waiting,
           cy_time_ns now)
{
  return cym_quota_may_wait (context, workspace, waiting, now);
}

static uint32_t
token_wait_ms (void *context, const char *workspace, cy_time_ns now)
{
  return cym_quota_wait_ms (context, workspace, now);
}

void
cym_quota_attach (struct cym_quota *quota, struct cym_options *options)
{
  options->take_token = take_token;
  options->has_token = has_token;
  options->token_wait_ms = token_wait_ms;
  options->context = quota;
}

/* ------------------------------------------------------------ transfers */

void
cym_quota_each_need (struct cym_quota *quota, cy_time_ns now, cym_need_fn each,
                     void *context)
{
  GHashTableIter iter;
  gpointer name;
  gpointer value;
  g_hash_table_iter_init (&iter, quota->buckets);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      struct workspace_bucket *bucket = value;
      if (bucket->rate <= 0)
        continue;
      bucket_refill (quota, bucket, now);
      bucket_add_demand (bucket, 0, now);
      double minimum = bucket->demand * CYM_TOKEN_MINIMUM_MS / 1000.0;
      double free_capacity = bucket_burst (quota, bucket) - bucket->tokens;
      if (bucket->demand >= 1
          && bucket->tokens < fmin (minimum, free_capacity + bucket->tokens)
          && free_capacity >= 1)
        each (name,
              fmin (bucket->demand * CYM_TOKEN_RESERVE_MS / 1000.0,
                    free_capacity),
              context);
    }
}

double
cym_quota_donate (struct cym_quota *quota, const char *workspace,
                  double tokens, cy_time_ns now)
{
  struct workspace_bucket *bucket = bucket_find (quota, workspace, now);
  if (bucket == NULL || bucket->rate <= 0 || !(tokens > 0))
    return 0;
  bucket_add_demand (bucket, 0, now);
  double reserve = bucket->demand * CYM_TOKEN_RESERVE_MS / 1000.0 + 1;
  double spare = bucket->tokens - reserve;
  double transfer = fmin (tokens, spare / 2);
  if (transfer < 1)
    return 0;
  bucket->tokens -= transfer;
  return transfer;
}

void
cym_quota_receive (struct cym_quota *quota, const char *workspace,
                   double tokens, cy_time_ns now)
{
  struct workspace_bucket *bucket = bucket_find (quota, workspace, now);
  if (bucket == NULL || bucket->rate <= 0 || !(tokens > 0))
    return;
  bucket->tokens
      = fmin (bucket->tokens + tokens, bucket_burst (quota, bucket));
}

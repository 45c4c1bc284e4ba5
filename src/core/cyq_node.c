#include "core/cyq_node.h"

#include "core/cyf_freshness.h"
#include "core/cyq_internal.h"

struct cyq_node *
cyq_node_create (const struct cyq_options *options)
{
  struct cyq_node *node = g_new0 (struct cyq_node, 1);
  node->options = *options;
  CK_LIST_INIT (&node->pools);
  CK_LIST_INIT (&node->sessions);
  node->pool_by_workspace = g_hash_table_new (g_str_hash, g_str_equal);
  return node;
}

static void
pool_free (struct cyq_pool *pool)
{
  g_free (pool->workspace);
  g_free (pool);
}

void
cyq_node_destroy (struct cyq_node *node)
{
  if (node == NULL)
    return;
  while (!CK_LIST_EMPTY (&node->sessions))
    cyq_session_end (CK_LIST_FIRST (&node->sessions), node->now);
  struct cyq_pool *pool = NULL, *next = NULL;
  CK_LIST_FOREACH_SAFE (pool, &node->pools, link, next)
  pool_free (pool);
  g_hash_table_destroy (node->pool_by_workspace);
  g_free (node);
}

/* ------------------------------------------------------------ pools */

struct cyq_pool *
cyq_pool_find (const struct cyq_node *node, const char *workspace)
{
  return g_hash_table_lookup (node->pool_by_workspace, workspace);
}

struct cyq_pool *
cyq_pool_get (struct cyq_node *node, const char *workspace)
{
  struct cyq_pool *pool = cyq_pool_find (node, workspace);
  if (pool != NULL)
    return pool;
  pool = g_new0 (struct cyq_pool, 1);
  pool->workspace = g_strdup (workspace);
  pool->bucket.filled_at = node->now;
  CK_LIST_INIT (&pool->holdings);
  CK_LIST_INSERT_HEAD (&node->pools, pool, link);
  g_hash_table_insert (node->pool_by_workspace, pool->workspace, pool);
  return pool;
}

struct cyq_share
cyq_holding_share (const struct cyq_holding *holding)
{
  return cyq_share_difference (&holding->granted, &holding->returned);
}

struct cyq_share
cyq_pool_outstanding (const struct cyq_pool *pool)
{
  struct cyq_share sum = { 0 };
  const struct cyq_holding *holding = NULL;
  CK_LIST_FOREACH (holding, &pool->holdings, pool_link)
  {
    struct cyq_share held = cyq_holding_share (holding);
    cyq_share_add (&sum, &held);
  }
  return sum;
}

/* Drops every share after the lease from the grantor has ended.  */
static void
drop_all_shares (struct cyq_node *node)
{
  while (!CK_LIST_EMPTY (&node->sessions))
    cyq_session_end (CK_LIST_FIRST (&node->sessions), node->now);
  struct cyq_pool *pool = NULL;
  CK_LIST_FOREACH (pool, &node->pools, link)
  {
    static const struct cyq_share none;
    pool->bucket.share = none;
    pool->bucket.remainder = 0;
    pool->granted = none;
    pool->granted_reported = none;
    pool->returned = none;
    pool->returned_confirmed = none;
    pool->claim = none;
    pool->recall = none;
    pool->demand_reported = 0;
    pool->want_reported = 0;
  }
  node->established = false;
  node->session++;
  node->grantor_epoch = 0;
  node->lease_end = 0;
}

/* True if SESSION's holder certainly has no shares left.  At a root, a quorum
   must have confirmed the root after the lease ended; without it the holder
   may have claimed its shares from a later root.  */
static bool
session_has_ended (const struct cyq_node *node,
                   const struct cyq_session *session)
{
  cy_time_ns confirmed = node->now;
  if (node->options.is_root)
    confirmed = node->lease_end - node->options.term_ms * CY_NS_PER_MS;
  return node->now >= session->lease_end && confirmed >= session->lease_end;
}

void
cyq_node_advance (struct cyq_node *node, cy_time_ns now)
{
  if (now > node->now)
    node->now = now;
  if (!node->options.is_root && node->lease_end != 0
      && node->now >= node->lease_end)
    drop_all_shares (node);
  struct cyq_session *session = NULL, *next = NULL;
  CK_LIST_FOREACH_SAFE (session, &node->sessions, link, next)
  {
    if (session_has_ended (node, session))
      cyq_session_end (session, node->now);
  }
}

void
cyq_node_tick (struct cyq_node *node, cy_time_ns now)
{
  cyq_node_advance (node, now);
  cyq_measure_demand (node);
  struct cyq_pool *pool = NULL;
  CK_LIST_FOREACH (pool, &node->pools, link)
  {
    cyq_bucket_fill (&pool->bucket, node->now);
    cyq_pool_distribute (node, pool);
    cyq_return_surplus (node, pool);
  }
}

/* ------------------------------------------------------------ root */

void
cyq_root_reconcile (struct cyq_node *node, struct cyq_pool *pool)
{
  struct cyq_share outstanding = cyq_pool_outstanding (pool);
  struct cyq_share *local = &pool->bucket.share;
  int64_t rate = pool->rate - outstanding.rate;
  int64_t burst = pool->burst - outstanding.burst;
  if (node->now < node->claims_until)
    {
      rate = MIN (local->rate, rate);
      burst = MIN (local->burst, burst);
    }
  local->rate = rate;
  local->burst = burst;
  local->level = MAX (0, MIN (local->level, burst));
}

void
cyq_node_declare (struct cyq_node *node, const char *workspace, int64_t rate,
                  int64_t burst, bool new, cy_time_ns now)
{
  cyq_node_advance (node, now);
  struct cyq_pool *pool = cyq_pool_get (node, workspace);
  cyq_bucket_fill (&pool->bucket, node->now);
  bool starts_full = new && !pool->declared &&CK_LIST_EMPTY (&pool->holdings);
  pool->declared = true;
  pool->rate = MAX (rate, 0);
  pool->burst = MAX (burst, 0);
  cyq_root_reconcile (node, pool);
  struct cyq_session *session = NULL;
  CK_LIST_FOREACH (session, &node->sessions, link)
  cyq_session_add_pools (node, session);
  if (starts_full)
    pool->bucket.share
        = (struct cyq_share){ pool->rate, pool->burst, pool->burst };
}

void
cyq_node_accept_claims_until (struct cyq_node *node, cy_time_ns until)
{
  node->claims_until = until;
}

void
cyq_node_set_authority_end (struct cyq_node *node, cy_time_ns end)
{
  bool accepted_claims = node->claims_until != 0;
  if (end > node->lease_end)
    node->lease_end = end;
  if (!accepted_claims || node->now < node->claims_until)
    return;
  node->claims_until = 0;
  struct cyq_pool *pool = NULL;
  CK_LIST_FOREACH (pool, &node->pools, link)
  {
    cyq_bucket_fill (&pool->bucket, node->now);
    cyq_root_reconcile (node, pool);
  }
}

/* ------------------------------------------------------------ leaf */

void
cyq_node_record_arrival (struct cyq_node *node, const char *workspace)
{
  cyq_pool_get (node, workspace)->arrived += CYQ_ONE_REQUEST;
}

bool
cyq_node_take_token (struct cyq_node *node, const char *workspace,
                     cy_time_ns now)
{
  cyq_node_advance (node, now);
  struct cyq_pool *pool = cyq_pool_find (node, workspace);
  if (pool == NULL || node->lease_end == 0)
    return false;
  cyq_bucket_fill (&pool->bucket, node->now);
  return cyq_bucket_take (&pool->bucket);
}

void
cyq_node_set_waiting (struct cyq_node *node, const char *workspace,
                      uint32_t waiting, cy_time_ns now)
{
  cyq_node_advance (node, now);
  cyq_pool_get (node, workspace)->waiting = (int64_t)waiting * CYQ_ONE_REQUEST;
}

struct cyq_share
cyq_node_held (const struct cyq_node *node, const char *workspace)
{
  struct cyq_share held = { 0 };
  const struct cyq_pool *pool = cyq_pool_find (node, workspace);
  if (pool == NULL)
    return held;
  held = cyq_pool_outstanding (pool);
  cyq_share_add (&held, &pool->bucket.share);
  return held;
}

bool
cyq_node_is_exhausted (const struct cyq_node *node, const char *workspace)
{
  const struct cyq_pool *pool = cyq_pool_find (node, workspace);
  return pool != NULL && pool->exhausted;
}

cy_time_ns
cyq_node_lease_end (const struct cyq_node *node)
{
  return node->lease_end;
}

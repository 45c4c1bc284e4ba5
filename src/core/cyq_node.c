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
  node->by_workspace = g_hash_table_new (g_str_hash, g_str_equal);
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
  g_hash_table_destroy (node->by_workspace);
  g_free (node);
}

/* ------------------------------------------------------------ pools */

struct cyq_pool *
cyq_pool_find (const struct cyq_node *node, const char *workspace)
{
  return g_hash_table_lookup (node->by_workspace, workspace);
}

struct cyq_pool *
cyq_pool_get (struct cyq_node *node, const char *workspace)
{
  struct cyq_pool *pool = cyq_pool_find (node, workspace);
  if (pool != NULL)
    return pool;
  pool = g_new0 (struct cyq_pool, 1);
  pool->workspace = g_strdup (workspace);
  pool->bucket.filled = node->now;
  CK_LIST_INIT (&pool->outs);
  CK_LIST_INSERT_HEAD (&node->pools, pool, link);
  g_hash_table_insert (node->by_workspace, pool->workspace, pool);
  return pool;
}

struct cyq_share
cyq_out_held (const struct cyq_out *out)
{
  return cyq_share_difference (&out->given, &out->returned);
}

struct cyq_share
cyq_pool_out (const struct cyq_pool *pool)
{
  struct cyq_share sum = { 0 };
  const struct cyq_out *out = NULL;
  CK_LIST_FOREACH (out, &pool->outs, in_pool)
  {
    struct cyq_share held = cyq_out_held (out);
    cyq_share_add (&sum, &held);
  }
  return sum;
}

/* Drops everything that was held from the giver: its lease has run out.  */
static void
drop_held (struct cyq_node *node)
{
  while (!CK_LIST_EMPTY (&node->sessions))
    cyq_session_end (CK_LIST_FIRST (&node->sessions), node->now);
  struct cyq_pool *pool = NULL;
  CK_LIST_FOREACH (pool, &node->pools, link)
  {
    static const struct cyq_share none;
    pool->bucket.share = none;
    pool->bucket.rest = 0;
    pool->given = none;
    pool->given_said = none;
    pool->returned = none;
    pool->returned_seen = none;
    pool->claim = none;
    pool->recall = none;
    pool->demand_said = 0;
    pool->want_said = 0;
  }
  node->established = false;
  node->session++;
  node->giver_epoch = 0;
  node->end = 0;
}

/* True when SESSION's holder can hold nothing any more.  A root must have been
   confirmed since the lease ended: else the holder may have gone to a later
   root and claimed there what it had.  */
static bool
has_ended (const struct cyq_node *node, const struct cyq_session *session)
{
  cy_time_ns confirmed = node->now;
  if (node->options.root)
    confirmed = node->end - node->options.term_ms * CY_NS_PER_MS;
  return node->now >= session->end && confirmed >= session->end;
}

void
cyq_advance (struct cyq_node *node, cy_time_ns now)
{
  if (now > node->now)
    node->now = now;
  if (!node->options.root && node->end != 0 && node->now >= node->end)
    drop_held (node);
  struct cyq_session *session = NULL, *next = NULL;
  CK_LIST_FOREACH_SAFE (session, &node->sessions, link, next)
  {
    if (has_ended (node, session))
      cyq_session_end (session, node->now);
  }
}

void
cyq_node_tick (struct cyq_node *node, cy_time_ns now)
{
  cyq_advance (node, now);
  cyq_measure (node);
  struct cyq_pool *pool = NULL;
  CK_LIST_FOREACH (pool, &node->pools, link)
  {
    cyq_bucket_fill (&pool->bucket, node->now);
    cyq_serve (node, pool);
    cyq_return_surplus (node, pool);
  }
}

/* ------------------------------------------------------------ root */

void
cyq_reconcile (struct cyq_node *node, struct cyq_pool *pool)
{
  struct cyq_share out = cyq_pool_out (pool);
  struct cyq_share *own = &pool->bucket.share;
  int64_t rate = pool->rate - out.rate;
  int64_t burst = pool->burst - out.burst;
  if (node->now < node->adopting)
    {
      rate = MIN (own->rate, rate);
      burst = MIN (own->burst, burst);
    }
  own->rate = rate;
  own->burst = burst;
  own->level = MAX (0, MIN (own->level, burst));
}

void
cyq_node_declare (struct cyq_node *node, const char *workspace, int64_t rate,
                  int64_t burst, bool new, cy_time_ns now)
{
  cyq_advance (node, now);
  struct cyq_pool *pool = cyq_pool_get (node, workspace);
  cyq_bucket_fill (&pool->bucket, node->now);
  bool first = new && !pool->declared &&CK_LIST_EMPTY (&pool->outs);
  pool->declared = true;
  pool->rate = MAX (rate, 0);
  pool->burst = MAX (burst, 0);
  cyq_reconcile (node, pool);
  struct cyq_session *session = NULL;
  CK_LIST_FOREACH (session, &node->sessions, link)
  cyq_session_cover (node, session);
  if (first)
    pool->bucket.share
        = (struct cyq_share){ pool->rate, pool->burst, pool->burst };
}

void
cyq_node_accept_claims_until (struct cyq_node *node, cy_time_ns until)
{
  node->adopting = until;
}

void
cyq_node_set_authority_end (struct cyq_node *node, cy_time_ns end)
{
  bool was_adopting = node->adopting != 0;
  if (end > node->end)
    node->end = end;
  if (!was_adopting || node->now < node->adopting)
    return;
  node->adopting = 0;
  struct cyq_pool *pool = NULL;
  CK_LIST_FOREACH (pool, &node->pools, link)
  {
    cyq_bucket_fill (&pool->bucket, node->now);
    cyq_reconcile (node, pool);
  }
}

/* ------------------------------------------------------------ leaf */

void
cyq_node_record_arrival (struct cyq_node *node, const char *workspace)
{
  cyq_pool_get (node, workspace)->arrived += CYQ_ONE;
}

bool
cyq_node_take_token (struct cyq_node *node, const char *workspace,
                     cy_time_ns now)
{
  cyq_advance (node, now);
  struct cyq_pool *pool = cyq_pool_find (node, workspace);
  if (pool == NULL || node->end == 0)
    return false;
  cyq_bucket_fill (&pool->bucket, node->now);
  return cyq_bucket_take (&pool->bucket);
}

void
cyq_node_set_waiting (struct cyq_node *node, const char *workspace,
                      uint32_t waiting, cy_time_ns now)
{
  cyq_advance (node, now);
  cyq_pool_get (node, workspace)->waiting = (int64_t)waiting * CYQ_ONE;
}

struct cyq_share
cyq_node_held (const struct cyq_node *node, const char *workspace)
{
  struct cyq_share held = { 0 };
  const struct cyq_pool *pool = cyq_pool_find (node, workspace);
  if (pool == NULL)
    return held;
  held = cyq_pool_out (pool);
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
  return node->end;
}

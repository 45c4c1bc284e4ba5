/* The holder's side of a session.

   A session starts with an ask of epoch 0, which claims what is held from an
   earlier giver; until the giver has answered it, nothing is returned.  */

#include "core/cyf_freshness.h"
#include "core/cyq_internal.h"

#define DEMAND_STEP_SHIFT 2   /* told anew when it moved by a quarter */
#define RETURN_MS         40  /* ms between two asks about returns alone */
#define IDLE_RENEWALS     10  /* renewals that an idle leaf leaves out */
#define ASK_GAP_MS        5   /* ms at least between two asks */
#define DEMAND_MS         250 /* ms between two asks about demand alone */

/* ------------------------------------------------------------ asks */

int64_t
cyq_pool_missing_tokens (const struct cyq_node *node,
                         const struct cyq_pool *pool)
{
  (void)node;
  int64_t want = pool->waiting;
  const struct cyq_out *out = NULL;
  CK_LIST_FOREACH (out, &pool->outs, in_pool)
  want += out->want;
  want -= pool->bucket.share.level;
  return want <= 0 ? 0 : cyq_whole (want + CYQ_ONE - 1);
}

static bool
demand_moved (const struct cyq_node *node, const struct cyq_pool *pool)
{
  int64_t demand = cyq_expected_demand (node, pool);
  int64_t said = pool->demand_said;
  int64_t change = llabs (demand - said);
  if (demand == 0 || said == 0)
    return demand != said;
  return change > (said >> DEMAND_STEP_SHIFT) && change > CYQ_ONE / 10;
}

/* True when the giver should hear of POOL now rather than at the next
   renewal.  */
static bool
is_urgent (const struct cyq_node *node, const struct cyq_pool *pool)
{
  int64_t want = cyq_pool_missing_tokens (node, pool);
  bool rested = node->now - node->last_ask >= DEMAND_MS * CY_NS_PER_MS;
  bool owes = !cyq_share_equal (&pool->returned, &pool->returned_seen);
  bool paused = node->now - node->last_ask >= RETURN_MS * CY_NS_PER_MS;
  return (owes && paused) || want > pool->want_said
         || (want == 0 && pool->want_said != 0)
         || (rested && demand_moved (node, pool));
}

static bool
is_due (const struct cyq_node *node, const struct cyq_pool *pool)
{
  return is_urgent (node, pool)
         || !cyq_share_equal (&pool->given, &pool->given_said)
         || (!node->established && !cyq_share_is_zero (&pool->claim));
}

static Cy__QuotaItem *
write_item (struct cyq_node *node, struct cyq_pool *pool)
{
  Cy__QuotaItem *item = g_new (Cy__QuotaItem, 1);
  cy__quota_item__init (item);
  item->workspace = g_strdup (pool->workspace);
  item->given = cyq_share_write (&pool->given);
  item->returned = cyq_share_write (&pool->returned);
  item->demand = cyq_expected_demand (node, pool);
  item->want = cyq_pool_missing_tokens (node, pool);
  if (!node->established && !cyq_share_is_zero (&pool->claim))
    item->claim = cyq_share_write (&pool->claim);
  pool->given_said = pool->given;
  pool->demand_said = item->demand;
  pool->want_said = item->want;
  return item;
}

/* Starts a session in which what is still held is claimed.  */
static void
start_session (struct cyq_node *node)
{
  node->session++;
  node->established = false;
  node->giver_epoch = 0;
  struct cyq_pool *pool = NULL;
  CK_LIST_FOREACH (pool, &node->pools, link)
  {
    static const struct cyq_share none;
    pool->claim = cyq_share_difference (&pool->given, &pool->returned);
    pool->claim.level = 0;
    pool->given = pool->claim;
    pool->given_said = none;
    pool->returned = none;
    pool->returned_seen = none;
    pool->demand_said = 0;
    pool->want_said = 0;
  }
}

/* True when an ask has waited long enough for its answer, so that the next
   may carry the same again.  */
static bool
may_repeat (const struct cyq_node *node)
{
  return node->last_answer >= node->last_ask
         || node->now - node->last_ask >= CYQ_RENEW_MS * CY_NS_PER_MS / 4;
}

/* True at a leaf that holds nothing: its lease may run out.  */
static bool
is_idle (const struct cyq_node *node)
{
  if (node->options.claims)
    return false;
  const struct cyq_pool *pool = NULL;
  CK_LIST_FOREACH (pool, &node->pools, link)
  {
    struct cyq_share held
        = cyq_share_difference (&pool->given, &pool->returned_seen);
    if (held.rate != 0 || held.burst != 0)
      return false;
  }
  return true;
}

Cy__QuotaAsk *
cyq_node_request (struct cyq_node *node, cy_time_ns now)
{
  cyq_advance (node, now);
  if (node->options.root
      || (node->last_ask != 0
          && node->now - node->last_ask < ASK_GAP_MS * CY_NS_PER_MS))
    return NULL;
  int64_t renew_ms = CYQ_RENEW_MS * (is_idle (node) ? IDLE_RENEWALS : 1);
  bool due = node->last_ask == 0
             || node->now - node->last_ask >= renew_ms * CY_NS_PER_MS;
  GPtrArray *items = g_ptr_array_new ();
  struct cyq_pool *pool = NULL;
  CK_LIST_FOREACH (pool, &node->pools, link)
  {
    cyq_return_surplus (node, pool);
    due = due || (is_urgent (node, pool) && may_repeat (node));
  }
  CK_LIST_FOREACH (pool, &node->pools, link)
  {
    if (due && is_due (node, pool))
      g_ptr_array_add (items, write_item (node, pool));
  }
  if (!due)
    {
      g_ptr_array_free (items, TRUE);
      return NULL;
    }
  Cy__QuotaAsk *ask = g_new (Cy__QuotaAsk, 1);
  cy__quota_ask__init (ask);
  ask->incarnation = node->options.incarnation;
  ask->session = node->session;
  ask->epoch = node->giver_epoch;
  ask->number = ++node->ask_number;
  ask->leaving = node->leaving;
  ask->n_items = items->len;
  ask->items = (Cy__QuotaItem **)g_ptr_array_free (items, FALSE);
  node->asked[ask->number % CYQ_ASKS_MAX] = node->now;
  node->last_ask = node->now;
  return ask;
}

/* ------------------------------------------------------------ answers */

static void
take_item (struct cyq_node *node, const Cy__QuotaItem *item)
{
  struct cyq_pool *pool = cyq_pool_get (node, item->workspace);
  cyq_bucket_fill (&pool->bucket, node->now);
  struct cyq_share said = cyq_share_read (item->given);
  struct cyq_share sum = { MAX (pool->given.rate, said.rate),
                           MAX (pool->given.burst, said.burst),
                           MAX (pool->given.level, said.level) };
  struct cyq_share got = cyq_share_difference (&sum, &pool->given);
  pool->given = sum;
  cyq_bucket_add (&pool->bucket, &got);
  struct cyq_share seen = cyq_share_read (item->returned);
  pool->returned_seen.rate = MAX (pool->returned_seen.rate, seen.rate);
  pool->returned_seen.burst = MAX (pool->returned_seen.burst, seen.burst);
  pool->returned_seen.level = MAX (pool->returned_seen.level, seen.level);
  pool->exhausted = item->exhausted;
  pool->floor = cyq_share_read (item->floor);
  if (item->recall != NULL)
    {
      pool->recall = cyq_share_read (item->recall);
      pool->recalled = node->now;
    }
  cyq_serve (node, pool);
  cyq_return_surplus (node, pool);
}

static void
renew (struct cyq_node *node, const Cy__QuotaAnswer *answer)
{
  uint64_t number = answer->number;
  if (number == 0 || answer->term_ms == 0 || number > node->ask_number
      || number + CYQ_ASKS_MAX <= node->ask_number)
    return;
  cy_time_ns term = (cy_time_ns)answer->term_ms * CY_NS_PER_MS;
  cy_time_ns end = node->asked[number % CYQ_ASKS_MAX] + cyf_narrow_span (term);
  node->end = MAX (node->end, end);
}

cy_result
cyq_node_receive_answer (struct cyq_node *node, const Cy__QuotaAnswer *answer,
                         cy_time_ns now)
{
  cyq_advance (node, now);
  if (answer->incarnation != node->options.incarnation
      || answer->session != node->session || answer->epoch == 0)
    return CY_E_AGAIN;
  if (!node->options.claims && node->established && answer->unknown)
    return CY_E_LEASE_UNKNOWN;
  if (node->established && answer->epoch != node->giver_epoch)
    {
      /* Another giver answers: claim what is held, unless it is older.  */
      if (answer->epoch > node->giver_epoch)
        start_session (node);
      return CY_E_AGAIN;
    }
  node->last_answer = node->now;
  if (answer->unknown)
    {
      if (node->end == 0)
        start_session (node);
      return CY_E_LEASE_UNKNOWN;
    }
  if (!node->established && answer->number == 0)
    return CY_E_AGAIN;
  node->established = true;
  node->giver_epoch = answer->epoch;
  renew (node, answer);
  if (node->end <= node->now)
    return CY_E_AGAIN;
  for (size_t i = 0; i < answer->n_items; i++)
    take_item (node, answer->items[i]);
  return CY_OK;
}

/* ------------------------------------------------------------ returns */

void
cyq_pool_return (struct cyq_pool *pool, const struct cyq_share *share)
{
  if (cyq_share_is_zero (share))
    return;
  cyq_bucket_remove (&pool->bucket, share);
  cyq_share_add (&pool->returned, share);
}

bool
cyq_node_return_all (struct cyq_node *node, cy_time_ns now)
{
  cyq_advance (node, now);
  node->leaving = true;
  bool done = true;
  struct cyq_pool *pool = NULL;
  CK_LIST_FOREACH (pool, &node->pools, link)
  {
    cyq_bucket_fill (&pool->bucket, node->now);
    pool->waiting = 0;
    pool->demand = 0;
    if (node->established)
      cyq_pool_return (pool, &(struct cyq_share){ pool->bucket.share.rate,
                                                  pool->bucket.share.burst,
                                                  pool->bucket.share.level });
    struct cyq_share left
        = cyq_share_difference (&pool->given, &pool->returned_seen);
    done = done && left.rate == 0 && left.burst == 0;
  }
  return done || !node->established;
}

/* The holder's side of a session.

   A session starts with a request of epoch 0, which claims the shares of an
   earlier grantor.  The holder returns nothing until the grantor has answered
   that request.  */

#include "core/cyf_freshness.h"
#include "core/cyq_internal.h"

/* A change of the demand is reported if it exceeds the last reported demand
   shifted right by this, which is a quarter.  */
#define DEMAND_STEP_SHIFT 2

#define RETURN_REPORT_MS 40 /* minimum interval of requests for returns */

/* An idle leaf renews after this number of renewal intervals.  */
#define IDLE_RENEWAL_FACTOR 10

#define REQUEST_GAP_MS   5   /* minimum interval of requests of any kind */
#define DEMAND_REPORT_MS 250 /* minimum interval of requests for demand */

/* ------------------------------------------------------------ requests */

int64_t
cyq_pool_missing_tokens (const struct cyq_node *node,
                         const struct cyq_pool *pool)
{
  (void)node;
  int64_t want = pool->waiting;
  const struct cyq_holding *holding = NULL;
  CK_LIST_FOREACH (holding, &pool->holdings, pool_link)
  want += holding->want;
  want -= pool->bucket.share.level;
  return want <= 0 ? 0 : cyq_round_down (want + CYQ_ONE_REQUEST - 1);
}

static bool
has_demand_changed (const struct cyq_node *node, const struct cyq_pool *pool)
{
  int64_t demand = cyq_expected_demand (node, pool);
  int64_t reported = pool->demand_reported;
  int64_t change = llabs (demand - reported);
  if (demand == 0 || reported == 0)
    return demand != reported;
  return change > (reported >> DEMAND_STEP_SHIFT)
         && change > CYQ_ONE_REQUEST / 10;
}

/* True if the grantor must learn of a change of POOL before the next
   renewal.  */
static bool
is_urgent (const struct cyq_node *node, const struct cyq_pool *pool)
{
  int64_t want = cyq_pool_missing_tokens (node, pool);
  bool may_report_demand
      = node->now - node->last_request >= DEMAND_REPORT_MS * CY_NS_PER_MS;
  bool returns_unconfirmed
      = !cyq_share_equal (&pool->returned, &pool->returned_confirmed);
  bool may_report_returns
      = node->now - node->last_request >= RETURN_REPORT_MS * CY_NS_PER_MS;
  return (returns_unconfirmed && may_report_returns)
         || want > pool->want_reported
         || (want == 0 && pool->want_reported != 0)
         || (may_report_demand && has_demand_changed (node, pool));
}

static bool
is_due (const struct cyq_node *node, const struct cyq_pool *pool)
{
  return is_urgent (node, pool)
         || !cyq_share_equal (&pool->granted, &pool->granted_reported)
         || (!node->established && !cyq_share_is_zero (&pool->claim));
}

static Cy__QuotaItem *
write_item (struct cyq_node *node, struct cyq_pool *pool)
{
  Cy__QuotaItem *item = g_new (Cy__QuotaItem, 1);
  cy__quota_item__init (item);
  item->workspace = g_strdup (pool->workspace);
  item->given = cyq_share_write (&pool->granted);
  item->returned = cyq_share_write (&pool->returned);
  item->demand = cyq_expected_demand (node, pool);
  item->want = cyq_pool_missing_tokens (node, pool);
  if (!node->established && !cyq_share_is_zero (&pool->claim))
    item->claim = cyq_share_write (&pool->claim);
  pool->granted_reported = pool->granted;
  pool->demand_reported = item->demand;
  pool->want_reported = item->want;
  return item;
}

/* Starts a session that claims the shares that the node still holds.  */
static void
start_session (struct cyq_node *node)
{
  node->session++;
  node->established = false;
  node->grantor_epoch = 0;
  struct cyq_pool *pool = NULL;
  CK_LIST_FOREACH (pool, &node->pools, link)
  {
    static const struct cyq_share none;
    pool->claim = cyq_share_difference (&pool->granted, &pool->returned);
    pool->claim.level = 0;
    pool->granted = pool->claim;
    pool->granted_reported = none;
    pool->returned = none;
    pool->returned_confirmed = none;
    pool->demand_reported = 0;
    pool->want_reported = 0;
  }
}

/* True if the last request was answered, or sent so long ago that its content
   may be sent again.  */
static bool
may_resend (const struct cyq_node *node)
{
  return node->last_answer >= node->last_request
         || node->now - node->last_request
                >= CYQ_RENEW_INTERVAL_MS * CY_NS_PER_MS / 4;
}

/* True at a leaf that holds no share; its lease may end.  */
static bool
is_idle (const struct cyq_node *node)
{
  if (node->options.may_claim)
    return false;
  const struct cyq_pool *pool = NULL;
  CK_LIST_FOREACH (pool, &node->pools, link)
  {
    struct cyq_share held
        = cyq_share_difference (&pool->granted, &pool->returned_confirmed);
    if (held.rate != 0 || held.burst != 0)
      return false;
  }
  return true;
}

Cy__QuotaAsk *
cyq_node_request (struct cyq_node *node, cy_time_ns now)
{
  cyq_node_advance (node, now);
  if (node->options.is_root
      || (node->last_request != 0
          && node->now - node->last_request < REQUEST_GAP_MS * CY_NS_PER_MS))
    return NULL;
  int64_t renew_ms
      = CYQ_RENEW_INTERVAL_MS * (is_idle (node) ? IDLE_RENEWAL_FACTOR : 1);
  bool due = node->last_request == 0
             || node->now - node->last_request >= renew_ms * CY_NS_PER_MS;
  GPtrArray *items = g_ptr_array_new ();
  struct cyq_pool *pool = NULL;
  CK_LIST_FOREACH (pool, &node->pools, link)
  {
    cyq_return_surplus (node, pool);
    due = due || (is_urgent (node, pool) && may_resend (node));
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
  ask->epoch = node->grantor_epoch;
  ask->number = ++node->request_number;
  ask->leaving = node->leaving;
  ask->n_items = items->len;
  ask->items = (Cy__QuotaItem **)g_ptr_array_free (items, FALSE);
  node->request_times[ask->number % CYQ_REQUESTS_MAX] = node->now;
  node->last_request = node->now;
  return ask;
}

/* ------------------------------------------------------------ answers */

static void
process_item (struct cyq_node *node, const Cy__QuotaItem *item)
{
  struct cyq_pool *pool = cyq_pool_get (node, item->workspace);
  cyq_bucket_fill (&pool->bucket, node->now);
  struct cyq_share reported = cyq_share_read (item->given);
  struct cyq_share sum = { MAX (pool->granted.rate, reported.rate),
                           MAX (pool->granted.burst, reported.burst),
                           MAX (pool->granted.level, reported.level) };
  struct cyq_share gained = cyq_share_difference (&sum, &pool->granted);
  pool->granted = sum;
  cyq_bucket_add (&pool->bucket, &gained);
  struct cyq_share confirmed = cyq_share_read (item->returned);
  pool->returned_confirmed.rate
      = MAX (pool->returned_confirmed.rate, confirmed.rate);
  pool->returned_confirmed.burst
      = MAX (pool->returned_confirmed.burst, confirmed.burst);
  pool->returned_confirmed.level
      = MAX (pool->returned_confirmed.level, confirmed.level);
  pool->exhausted = item->exhausted;
  pool->floor = cyq_share_read (item->floor);
  if (item->recall != NULL)
    {
      pool->recall = cyq_share_read (item->recall);
      pool->recalled_at = node->now;
    }
  cyq_pool_distribute (node, pool);
  cyq_return_surplus (node, pool);
}

static void
extend_lease (struct cyq_node *node, const Cy__QuotaAnswer *answer)
{
  uint64_t number = answer->number;
  if (number == 0 || answer->term_ms == 0 || number > node->request_number
      || number + CYQ_REQUESTS_MAX <= node->request_number)
    return;
  cy_time_ns term = (cy_time_ns)answer->term_ms * CY_NS_PER_MS;
  cy_time_ns lease_end = node->request_times[number % CYQ_REQUESTS_MAX]
                         + cyf_narrow_span (term);
  node->lease_end = MAX (node->lease_end, lease_end);
}

cy_result
cyq_node_receive_answer (struct cyq_node *node, const Cy__QuotaAnswer *answer,
                         cy_time_ns now)
{
  cyq_node_advance (node, now);
  if (answer->incarnation != node->options.incarnation
      || answer->session != node->session || answer->epoch == 0)
    return CY_E_AGAIN;
  if (!node->options.may_claim && node->established && answer->unknown)
    return CY_E_LEASE_UNKNOWN;
  if (node->established && answer->epoch != node->grantor_epoch)
    {
      /* Claim the held shares from a new grantor, not from an older one.  */
      if (answer->epoch > node->grantor_epoch)
        start_session (node);
      return CY_E_AGAIN;
    }
  node->last_answer = node->now;
  if (answer->unknown)
    {
      if (node->lease_end == 0)
        start_session (node);
      return CY_E_LEASE_UNKNOWN;
    }
  if (!node->established && answer->number == 0)
    return CY_E_AGAIN;
  node->established = true;
  node->grantor_epoch = answer->epoch;
  extend_lease (node, answer);
  if (node->lease_end <= node->now)
    return CY_E_AGAIN;
  for (size_t i = 0; i < answer->n_items; i++)
    process_item (node, answer->items[i]);
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
  cyq_node_advance (node, now);
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
        = cyq_share_difference (&pool->granted, &pool->returned_confirmed);
    done = done && left.rate == 0 && left.burst == 0;
  }
  return done || !node->established;
}

/* The grantor's side of a session.  */

#include <string.h>

#include "core/cyf_freshness.h"
#include "core/cyq_internal.h"

/* ------------------------------------------------------------ sessions */

static struct cyq_session *
session_find (const struct cyq_node *node, const char *holder,
              uint64_t incarnation, uint64_t number)
{
  struct cyq_session *session = NULL;
  CK_LIST_FOREACH (session, &node->sessions, link)
  {
    if (session->incarnation == incarnation && session->number == number
        && strcmp (session->holder, holder) == 0)
      return session;
  }
  return NULL;
}

static struct cyq_session *
session_create (struct cyq_node *node, const char *holder,
                const Cy__QuotaAsk *ask)
{
  struct cyq_session *session = g_new0 (struct cyq_session, 1);
  session->holder = g_strdup (holder);
  session->incarnation = ask->incarnation;
  session->number = ask->session;
  session->lease_end = node->now;
  CK_LIST_INIT (&session->holdings);
  CK_LIST_INSERT_HEAD (&node->sessions, session, link);
  return session;
}

void
cyq_session_end (struct cyq_session *session, cy_time_ns now)
{
  struct cyq_holding *holding = NULL, *next = NULL;
  CK_LIST_FOREACH_SAFE (holding, &session->holdings, session_link, next)
  {
    struct cyq_share returned = cyq_holding_share (holding);
    returned.level = 0; /* the holder may have spent all tokens */
    cyq_bucket_fill (&holding->pool->bucket, now);
    cyq_bucket_add (&holding->pool->bucket, &returned);
    CK_LIST_REMOVE (holding, pool_link);
    g_free (holding);
  }
  CK_LIST_REMOVE (session, link);
  g_free (session->holder);
  g_free (session);
}

static struct cyq_holding *
holding_get (struct cyq_session *session, struct cyq_pool *pool)
{
  struct cyq_holding *holding = NULL;
  CK_LIST_FOREACH (holding, &session->holdings, session_link)
  {
    if (holding->pool == pool)
      return holding;
  }
  holding = g_new0 (struct cyq_holding, 1);
  holding->pool = pool;
  holding->session = session;
  CK_LIST_INSERT_HEAD (&pool->holdings, holding, pool_link);
  CK_LIST_INSERT_HEAD (&session->holdings, holding, session_link);
  return holding;
}

void
cyq_session_add_pools (struct cyq_node *node, struct cyq_session *session)
{
  struct cyq_pool *pool = NULL;
  CK_LIST_FOREACH (pool, &node->pools, link)
  {
    if (pool->declared)
      holding_get (session, pool);
  }
}

void
cyq_holding_grant (struct cyq_holding *holding, const struct cyq_share *share)
{
  cyq_bucket_remove (&holding->pool->bucket, share);
  cyq_share_add (&holding->granted, share);
  holding->send_due = true;
}

/* ------------------------------------------------------------ requests */

/* The later of two reported sums: a sum over a session never decreases.  */
static struct cyq_share
later_sum (const struct cyq_share *known, const struct cyq_share *reported)
{
  return (struct cyq_share){ MAX (known->rate, reported->rate),
                             MAX (known->burst, reported->burst),
                             MAX (known->level, reported->level) };
}

static void
process_item (struct cyq_node *node, struct cyq_session *session,
              const Cy__QuotaItem *item, bool is_new)
{
  struct cyq_pool *pool = cyq_pool_get (node, item->workspace);
  cyq_bucket_fill (&pool->bucket, node->now);
  struct cyq_holding *holding = holding_get (session, pool);
  if (is_new && item->claim != NULL)
    {
      struct cyq_share claim = cyq_share_read (item->claim);
      claim.level = 0;
      cyq_share_add (&holding->granted, &claim);
      cyq_root_reconcile (node, pool);
    }
  struct cyq_share reported = cyq_share_read (item->returned);
  struct cyq_share sum = later_sum (&holding->returned, &reported);
  struct cyq_share newly_returned
      = cyq_share_difference (&sum, &holding->returned);
  holding->returned = sum;
  cyq_bucket_add (&pool->bucket, &newly_returned);
  struct cyq_share confirmed = cyq_share_read (item->given);
  holding->granted_confirmed
      = later_sum (&holding->granted_confirmed, &confirmed);
  holding->demand = item->demand;
  int64_t in_transit
      = holding->granted.level - holding->granted_confirmed.level;
  holding->want = MAX (0, item->want - in_transit);
  holding->send_due = true;
}

static Cy__QuotaAnswer *
answer_create (const struct cyq_node *node, uint64_t incarnation,
               uint64_t session)
{
  Cy__QuotaAnswer *answer = g_new (Cy__QuotaAnswer, 1);
  cy__quota_answer__init (answer);
  answer->incarnation = incarnation;
  answer->session = session;
  answer->epoch = node->options.epoch;
  return answer;
}

static Cy__QuotaItem *
write_item (const struct cyq_node *node, struct cyq_holding *holding)
{
  Cy__QuotaItem *item = g_new (Cy__QuotaItem, 1);
  cy__quota_item__init (item);
  item->workspace = g_strdup (holding->pool->workspace);
  item->given = cyq_share_write (&holding->granted);
  item->returned = cyq_share_write (&holding->returned);
  if (!cyq_share_is_zero (&holding->recall))
    {
      item->recall = cyq_share_write (&holding->recall);
      holding->recall = (struct cyq_share){ 0 };
    }
  struct cyq_share floor = cyq_floor_share (node, holding->pool);
  if (!cyq_share_is_zero (&floor))
    item->floor = cyq_share_write (&floor);
  item->exhausted = holding->pool->exhausted;
  holding->exhausted_sent = holding->pool->exhausted;
  holding->send_due = false;
  return item;
}

/* Writes the items that SESSION's holder lacks or has not confirmed to
   ANSWER.  */
static void
write_items (const struct cyq_node *node, struct cyq_session *session,
             Cy__QuotaAnswer *answer)
{
  GPtrArray *items = g_ptr_array_new ();
  struct cyq_holding *holding = NULL;
  CK_LIST_FOREACH (holding, &session->holdings, session_link)
  {
    if (holding->send_due || !cyq_share_is_zero (&holding->recall)
        || !cyq_share_equal (&holding->granted, &holding->granted_confirmed)
        || holding->exhausted_sent != holding->pool->exhausted)
      g_ptr_array_add (items, write_item (node, holding));
  }
  answer->n_items = items->len;
  answer->items = (Cy__QuotaItem **)g_ptr_array_free (items, FALSE);
}

/* Extends SESSION's lease and writes the term of the lease into ANSWER.  The
   lease is not extended when the session is overdue or when the node's own
   lease has less than 1 ms left.  */
static void
extend_lease (struct cyq_node *node, struct cyq_session *session,
              Cy__QuotaAnswer *answer)
{
  int64_t left_ms = (node->lease_end - node->now) / CY_NS_PER_MS;
  int64_t term_ms = MIN (left_ms, (int64_t)node->options.term_ms);
  if (term_ms <= 0 || cyq_session_is_overdue (node, session))
    return;
  answer->term_ms = (uint32_t)term_ms;
  cy_time_ns lease_end = node->now + cyf_widen_span (term_ms * CY_NS_PER_MS);
  session->lease_end = MAX (session->lease_end, lease_end);
}

static bool
has_claim (const Cy__QuotaAsk *ask)
{
  for (size_t i = 0; i < ask->n_items; i++)
    if (ask->items[i]->claim != NULL)
      return true;
  return false;
}

Cy__QuotaAnswer *
cyq_node_grant (struct cyq_node *node, const char *holder,
                const Cy__QuotaAsk *ask, cy_time_ns now)
{
  cyq_node_advance (node, now);
  Cy__QuotaAnswer *answer
      = answer_create (node, ask->incarnation, ask->session);
  answer->number = ask->number;
  struct cyq_session *session
      = session_find (node, holder, ask->incarnation, ask->session);
  bool is_new = session == NULL;
  bool accepts_claims
      = node->options.is_root && node->now < node->claims_until;
  if (node->lease_end <= node->now)
    {
      answer->epoch = 0; /* the node has no lease and can confirm nothing */
      return answer;
    }
  bool other_epoch = ask->epoch != 0 && ask->epoch != node->options.epoch;
  if (other_epoch
      || (is_new && (ask->epoch != 0 || (has_claim (ask) && !accepts_claims))))
    {
      answer->unknown = true;
      return answer;
    }
  if (is_new)
    session = session_create (node, holder, ask);
  if (is_new && node->options.is_root)
    cyq_session_add_pools (node, session);
  session->leaving = ask->leaving;
  extend_lease (node, session, answer);
  for (size_t i = 0; i < ask->n_items; i++)
    process_item (node, session, ask->items[i], is_new);
  for (size_t i = 0; i < ask->n_items; i++)
    cyq_pool_distribute (node, cyq_pool_get (node, ask->items[i]->workspace));
  write_items (node, session, answer);
  return answer;
}

Cy__QuotaAnswer *
cyq_node_push (struct cyq_node *node, const char *holder, cy_time_ns now)
{
  cyq_node_advance (node, now);
  struct cyq_session *session = NULL;
  struct cyq_session *newest = NULL;
  CK_LIST_FOREACH (session, &node->sessions, link)
  {
    if (strcmp (session->holder, holder) == 0
        && (newest == NULL || session->lease_end > newest->lease_end))
      newest = session;
  }
  if (newest == NULL)
    return NULL;
  bool due = false;
  const struct cyq_holding *holding = NULL;
  CK_LIST_FOREACH (holding, &newest->holdings, session_link)
  {
    due = due || holding->send_due || !cyq_share_is_zero (&holding->recall)
          || holding->exhausted_sent != holding->pool->exhausted;
  }
  if (!due)
    return NULL;
  Cy__QuotaAnswer *answer
      = answer_create (node, newest->incarnation, newest->number);
  write_items (node, newest, answer);
  return answer;
}

/* The giver's side of a session.  */

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
  session->end = node->now;
  CK_LIST_INIT (&session->outs);
  CK_LIST_INSERT_HEAD (&node->sessions, session, link);
  return session;
}

void
cyq_session_end (struct cyq_session *session, cy_time_ns now)
{
  struct cyq_out *out = NULL, *next = NULL;
  CK_LIST_FOREACH_SAFE (out, &session->outs, in_session, next)
  {
    struct cyq_share back = cyq_out_held (out);
    back.level = 0; /* the holder may have spent it all */
    cyq_bucket_fill (&out->pool->bucket, now);
    cyq_bucket_add (&out->pool->bucket, &back);
    CK_LIST_REMOVE (out, in_pool);
    g_free (out);
  }
  CK_LIST_REMOVE (session, link);
  g_free (session->holder);
  g_free (session);
}

static struct cyq_out *
out_get (struct cyq_session *session, struct cyq_pool *pool)
{
  struct cyq_out *out = NULL;
  CK_LIST_FOREACH (out, &session->outs, in_session)
  {
    if (out->pool == pool)
      return out;
  }
  out = g_new0 (struct cyq_out, 1);
  out->pool = pool;
  out->session = session;
  CK_LIST_INSERT_HEAD (&pool->outs, out, in_pool);
  CK_LIST_INSERT_HEAD (&session->outs, out, in_session);
  return out;
}

void
cyq_session_cover (struct cyq_node *node, struct cyq_session *session)
{
  struct cyq_pool *pool = NULL;
  CK_LIST_FOREACH (pool, &node->pools, link)
  {
    if (pool->declared)
      out_get (session, pool);
  }
}

void
cyq_out_grant (struct cyq_out *out, const struct cyq_share *share)
{
  cyq_bucket_remove (&out->pool->bucket, share);
  cyq_share_add (&out->given, share);
  out->due = true;
}

/* ------------------------------------------------------------ asks */

/* The later of two sums; a sum never falls.  */
static struct cyq_share
later_sum (const struct cyq_share *held, const struct cyq_share *said)
{
  return (struct cyq_share){ MAX (held->rate, said->rate),
                             MAX (held->burst, said->burst),
                             MAX (held->level, said->level) };
}

static void
take_item (struct cyq_node *node, struct cyq_session *session,
           const Cy__QuotaItem *item, bool first)
{
  struct cyq_pool *pool = cyq_pool_get (node, item->workspace);
  cyq_bucket_fill (&pool->bucket, node->now);
  struct cyq_out *out = out_get (session, pool);
  if (first && item->claim != NULL)
    {
      struct cyq_share claim = cyq_share_read (item->claim);
      claim.level = 0;
      cyq_share_add (&out->given, &claim);
      cyq_reconcile (node, pool);
    }
  struct cyq_share said = cyq_share_read (item->returned);
  struct cyq_share sum = later_sum (&out->returned, &said);
  struct cyq_share back = cyq_share_difference (&sum, &out->returned);
  out->returned = sum;
  cyq_bucket_add (&pool->bucket, &back);
  struct cyq_share seen = cyq_share_read (item->given);
  out->given_seen = later_sum (&out->given_seen, &seen);
  out->demand = item->demand;
  int64_t under_way = out->given.level - out->given_seen.level;
  out->want = MAX (0, item->want - under_way);
  out->due = true;
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
write_item (const struct cyq_node *node, struct cyq_out *out)
{
  Cy__QuotaItem *item = g_new (Cy__QuotaItem, 1);
  cy__quota_item__init (item);
  item->workspace = g_strdup (out->pool->workspace);
  item->given = cyq_share_write (&out->given);
  item->returned = cyq_share_write (&out->returned);
  if (!cyq_share_is_zero (&out->recall))
    {
      item->recall = cyq_share_write (&out->recall);
      out->recall = (struct cyq_share){ 0 };
    }
  struct cyq_share floor = cyq_floor_of (node, out->pool);
  if (!cyq_share_is_zero (&floor))
    item->floor = cyq_share_write (&floor);
  item->exhausted = out->pool->exhausted;
  out->told_exhausted = out->pool->exhausted;
  out->due = false;
  return item;
}

/* Adds every item that the holder has to be told.  */
static void
write_items (const struct cyq_node *node, struct cyq_session *session,
             Cy__QuotaAnswer *answer)
{
  GPtrArray *items = g_ptr_array_new ();
  struct cyq_out *out = NULL;
  CK_LIST_FOREACH (out, &session->outs, in_session)
  {
    if (out->due || !cyq_share_is_zero (&out->recall)
        || !cyq_share_equal (&out->given, &out->given_seen)
        || out->told_exhausted != out->pool->exhausted)
      g_ptr_array_add (items, write_item (node, out));
  }
  answer->n_items = items->len;
  answer->items = (Cy__QuotaItem **)g_ptr_array_free (items, FALSE);
}

/* Extends SESSION's lease and tells its term.  */
static void
renew (struct cyq_node *node, struct cyq_session *session,
       Cy__QuotaAnswer *answer)
{
  int64_t left_ms = (node->end - node->now) / CY_NS_PER_MS;
  int64_t term_ms = MIN (left_ms, (int64_t)node->options.term_ms);
  if (term_ms <= 0 || cyq_session_is_overdue (node, session))
    return;
  answer->term_ms = (uint32_t)term_ms;
  cy_time_ns end = node->now + cyf_widen_span (term_ms * CY_NS_PER_MS);
  session->end = MAX (session->end, end);
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
  cyq_advance (node, now);
  Cy__QuotaAnswer *answer
      = answer_create (node, ask->incarnation, ask->session);
  answer->number = ask->number;
  struct cyq_session *session
      = session_find (node, holder, ask->incarnation, ask->session);
  bool first = session == NULL;
  bool adopts = node->options.root && node->now < node->adopting;
  if (node->end <= node->now)
    {
      answer->epoch = 0; /* has nothing to give, knows nothing */
      return answer;
    }
  bool other = ask->epoch != 0 && ask->epoch != node->options.epoch;
  if (other || (first && (ask->epoch != 0 || (has_claim (ask) && !adopts))))
    {
      answer->unknown = true;
      return answer;
    }
  if (first)
    session = session_create (node, holder, ask);
  if (first && node->options.root)
    cyq_session_cover (node, session);
  session->leaving = ask->leaving;
  renew (node, session, answer);
  for (size_t i = 0; i < ask->n_items; i++)
    take_item (node, session, ask->items[i], first);
  for (size_t i = 0; i < ask->n_items; i++)
    cyq_serve (node, cyq_pool_get (node, ask->items[i]->workspace));
  write_items (node, session, answer);
  return answer;
}

Cy__QuotaAnswer *
cyq_node_push (struct cyq_node *node, const char *holder, cy_time_ns now)
{
  cyq_advance (node, now);
  struct cyq_session *session = NULL;
  struct cyq_session *newest = NULL;
  CK_LIST_FOREACH (session, &node->sessions, link)
  {
    if (strcmp (session->holder, holder) == 0
        && (newest == NULL || session->end > newest->end))
      newest = session;
  }
  if (newest == NULL)
    return NULL;
  bool due = false;
  const struct cyq_out *out = NULL;
  CK_LIST_FOREACH (out, &newest->outs, in_session)
  {
    due = due || out->due || !cyq_share_is_zero (&out->recall)
          || out->told_exhausted != out->pool->exhausted;
  }
  if (!due)
    return NULL;
  Cy__QuotaAnswer *answer
      = answer_create (node, newest->incarnation, newest->number);
  write_items (node, newest, answer);
  return answer;
}

#include "core/cyb_credits_internal.h"

#include <stdlib.h>
#include <string.h>

/* ------------------------------------------------------------ sharing */

/* Slots of SERVER that this ledger may give out.  */
uint32_t
cyb_credits_limit (const struct cyb_credits *ledger,
                   const struct server *server)
{
  uint32_t asking = g_hash_table_size (ledger->askers);
  if (!server->listed || server->draining)
    return 0;
  if (asking >= ledger->known)
    return server->slots;
  return server->slots * asking / ledger->known;
}

static int
compare_turns (const void *a, const void *b)
{
  const struct holder *left = *(struct holder *const *)a;
  const struct holder *right = *(struct holder *const *)b;
  return left->turn < right->turn ? -1 : left->turn > right->turn;
}

/* Gives the credits left over by rounding to those that want one, the one
   that waited longest first; a turn lasts CYB_CREDITS_MIN_HOLD_MS.  */
static void
share_rest (struct holder **holders, guint count, uint32_t rest,
            cy_time_ns now)
{
  if (count > 0)
    qsort (holders, count, sizeof (struct holder *), compare_turns);
  for (int round = 0; round < 2; round++)
    for (guint i = 0; i < count && rest > 0; i++)
      {
        struct holder *holder = holders[i];
        bool in_turn
            = now - holder->turn < CYB_CREDITS_MIN_HOLD_MS * CY_NS_PER_MS;
        if (holder->share >= holder->demand || in_turn != (round == 0))
          continue;
        if (!in_turn)
          holder->turn = now;
        holder->share++;
        rest--;
      }
}

/* Shares TOTAL credits max-min fairly; what nobody wants is spread for
   bursts.  */
static void
share_out (struct service *service, uint32_t total, cy_time_ns now)
{
  struct holder *holder = NULL;
  GPtrArray *hungry = g_ptr_array_new ();
  uint32_t count = 0;
  CK_LIST_FOREACH (holder, &service->holders, entry)
  {
    holder->share = 0;
    count++;
    if (holder->demand > 0)
      g_ptr_array_add (hungry, holder);
  }
  uint32_t left = total;
  while (hungry->len > 0 && left >= hungry->len)
    {
      uint32_t each = left / hungry->len;
      for (guint i = hungry->len; i-- > 0;)
        {
          holder = g_ptr_array_index (hungry, i);
          uint32_t more = MIN (each, holder->demand - holder->share);
          holder->share += more;
          left -= more;
          if (holder->share == holder->demand)
            g_ptr_array_remove_index_fast (hungry, i);
        }
    }
  uint32_t wanted = hungry->len;
  share_rest ((struct holder **)hungry->pdata, hungry->len, left, now);
  g_ptr_array_free (hungry, TRUE);
  if (wanted > 0 || count == 0)
    return;
  CK_LIST_FOREACH (holder, &service->holders, entry)
  {
    holder->share += left / count;
  }
}

/* Lowers HOLDER's targets until they sum up to its share, where it holds
   most.  */
static void
lower_targets (struct service *service, struct holder *holder)
{
  uint32_t sum = 0;
  struct server *server = NULL;
  struct grant *grant = NULL;
  CK_LIST_FOREACH (server, &service->servers, entry)
  {
    CK_LIST_FOREACH (grant, &server->grants, entry)
    {
      if (grant->holder != holder)
        continue;
      bool gone = !server->listed || server->draining;
      grant->target = gone ? 0 : grant->given;
      sum += grant->target;
    }
  }
  while (sum > holder->share)
    {
      struct grant *most = NULL;
      CK_LIST_FOREACH (server, &service->servers, entry)
      {
        CK_LIST_FOREACH (grant, &server->grants, entry)
        {
          if (grant->holder == holder
              && (most == NULL || grant->target > most->target))
            most = grant;
        }
      }
      if (most == NULL)
        return;
      most->target--;
      sum--;
    }
}

static struct server *
freest_server (const struct cyb_credits *ledger, const struct service *service,
               const char *entry)
{
  struct server *best = NULL;
  uint32_t best_free = 0;
  guint best_hash = 0;
  struct server *server = NULL;
  CK_LIST_FOREACH (server, &service->servers, entry)
  {
    uint32_t limit = cyb_credits_limit (ledger, server);
    if (server->given >= limit)
      continue;
    uint32_t left = limit - server->given;
    guint hash = g_str_hash (server->instance) * 31 ^ g_str_hash (entry);
    if (best == NULL || left > best_free
        || (left == best_free && hash > best_hash))
      {
        best = server;
        best_free = left;
        best_hash = hash;
      }
  }
  return best;
}

/* Gives HOLDER what is free, up to its share; true when it got any.  */
bool
cyb_credits_grant_free (struct cyb_credits *ledger, struct service *service,
                        struct holder *holder, cy_time_ns now)
{
  struct server *server = NULL;
  bool given = false;
  if (now < ledger->learning)
    return false;
  while (holder->held < holder->share
         && (server = freest_server (ledger, service, holder->name)) != NULL)
    {
      struct grant *grant = cyb_credits_grant (server, holder);
      grant->until = now + cyb_credits_lease ();
      cyb_credits_set_grant (server, grant, grant->given + 1);
      grant->target = grant->given;
      given = true;
    }
  return given;
}

void
cyb_credits_rebalance (struct cyb_credits *ledger, struct service *service,
                       struct holder *asker, cy_time_ns now)
{
  uint32_t total = 0;
  struct server *server = NULL;
  CK_LIST_FOREACH (server, &service->servers, entry)
  {
    total += cyb_credits_limit (ledger, server);
  }
  share_out (service, total, now);
  struct holder *holder = NULL;
  CK_LIST_FOREACH (holder, &service->holders, entry)
  {
    lower_targets (service, holder);
  }
  cyb_credits_grant_free (ledger, service, asker, now);
}

#include "core/cyb_credits_internal.h"

#include <stdlib.h>
#include <string.h>

/* ------------------------------------------------------------ sharing */

uint32_t
cyb_credits_server_limit (const struct cyb_credits *ledger,
                          const struct server *server)
{
  uint32_t requesting = g_hash_table_size (ledger->request_times);
  if (!server->listed || server->draining)
    return 0;
  if (requesting >= ledger->entry_count)
    return server->slots;
  return server->slots * requesting / ledger->entry_count;
}

static int
compare_scarce_since (const void *a, const void *b)
{
  const struct holder *left = *(struct holder *const *)a;
  const struct holder *right = *(struct holder *const *)b;
  return left->scarce_since < right->scarce_since
             ? -1
             : left->scarce_since > right->scarce_since;
}

/* Gives the REMAINDER credits that a division left over to entry VMs with
   unmet demand.  An entry VM that got such a credit less than
   CYB_CREDITS_MIN_HOLD_MS ago keeps it.  The other entry VMs follow, ordered
   by the time at which they last got such a credit, oldest first.  */
static void
divide_remainder (struct holder **holders, guint count, uint32_t remainder,
                  cy_time_ns now)
{
  if (count > 0)
    qsort (holders, count, sizeof (struct holder *), compare_scarce_since);
  for (int round = 0; round < 2; round++)
    for (guint i = 0; i < count && remainder > 0; i++)
      {
        struct holder *holder = holders[i];
        bool is_holding = now - holder->scarce_since
                          < CYB_CREDITS_MIN_HOLD_MS * CY_NS_PER_MS;
        if (holder->share >= holder->demand || is_holding != (round == 0))
          continue;
        if (!is_holding)
          holder->scarce_since = now;
        holder->share++;
        remainder--;
      }
}

/* Divides TOTAL credits max-min fairly by demand.  Credits beyond all demand
   are divided equally, so that an entry VM can serve a burst at once.  */
static void
divide_credits (struct service *service, uint32_t total, cy_time_ns now)
{
  struct holder *holder = NULL;
  GPtrArray *unmet = g_ptr_array_new ();
  uint32_t count = 0;
  CK_LIST_FOREACH (holder, &service->holders, link)
  {
    holder->share = 0;
    count++;
    if (holder->demand > 0)
      g_ptr_array_add (unmet, holder);
  }
  uint32_t remainder = total;
  while (unmet->len > 0 && remainder >= unmet->len)
    {
      uint32_t per_holder = remainder / unmet->len;
      for (guint i = unmet->len; i-- > 0;)
        {
          holder = g_ptr_array_index (unmet, i);
          uint32_t more = MIN (per_holder, holder->demand - holder->share);
          holder->share += more;
          remainder -= more;
          if (holder->share == holder->demand)
            g_ptr_array_remove_index_fast (unmet, i);
        }
    }
  uint32_t unmet_count = unmet->len;
  divide_remainder ((struct holder **)unmet->pdata, unmet->len, remainder,
                    now);
  g_ptr_array_free (unmet, TRUE);
  if (unmet_count > 0 || count == 0)
    return;
  CK_LIST_FOREACH (holder, &service->holders, link)
  {
    holder->share += remainder / count;
  }
}

/* Lowers HOLDER's targets until their sum is its share.  Each step lowers the
   highest target.  */
static void
lower_targets (struct service *service, struct holder *holder)
{
  uint32_t sum = 0;
  struct server *server = NULL;
  struct grant *grant = NULL;
  CK_LIST_FOREACH (server, &service->servers, link)
  {
    CK_LIST_FOREACH (grant, &server->grants, link)
    {
      if (grant->holder != holder)
        continue;
      bool unusable = !server->listed || server->draining;
      grant->target = unusable ? 0 : grant->granted;
      sum += grant->target;
    }
  }
  while (sum > holder->share)
    {
      struct grant *highest = NULL;
      CK_LIST_FOREACH (server, &service->servers, link)
      {
        CK_LIST_FOREACH (grant, &server->grants, link)
        {
          if (grant->holder == holder
              && (highest == NULL || grant->target > highest->target))
            highest = grant;
        }
      }
      if (highest == NULL)
        return;
      highest->target--;
      sum--;
    }
}

/* Returns the server with the most credits that may still be granted, NULL if
   there are none.  The hash lets entry VMs choose different servers among
   equal ones.  */
static struct server *
find_freest_server (const struct cyb_credits *ledger,
                    const struct service *service, const char *entry_vm)
{
  struct server *best = NULL;
  uint32_t best_free = 0;
  guint best_hash = 0;
  struct server *server = NULL;
  CK_LIST_FOREACH (server, &service->servers, link)
  {
    uint32_t limit = cyb_credits_server_limit (ledger, server);
    if (server->granted >= limit)
      continue;
    uint32_t free_credits = limit - server->granted;
    guint hash = g_str_hash (server->instance) * 31 ^ g_str_hash (entry_vm);
    if (best == NULL || free_credits > best_free
        || (free_credits == best_free && hash > best_hash))
      {
        best = server;
        best_free = free_credits;
        best_hash = hash;
      }
  }
  return best;
}

bool
cyb_credits_grant_free (struct cyb_credits *ledger, struct service *service,
                        struct holder *holder, cy_time_ns now)
{
  struct server *server = NULL;
  bool granted = false;
  if (now < ledger->no_grants_until)
    return false;
  while (holder->held < holder->share
         && (server = find_freest_server (ledger, service, holder->name))
                != NULL)
    {
      struct grant *grant = cyb_credits_get_grant (server, holder);
      grant->lease_end = now + cyb_credits_lease_ns ();
      cyb_credits_set_grant (server, grant, grant->granted + 1);
      grant->target = grant->granted;
      granted = true;
    }
  return granted;
}

void
cyb_credits_rebalance (struct cyb_credits *ledger, struct service *service,
                       struct holder *requester, cy_time_ns now)
{
  uint32_t total = 0;
  struct server *server = NULL;
  CK_LIST_FOREACH (server, &service->servers, link)
  {
    total += cyb_credits_server_limit (ledger, server);
  }
  divide_credits (service, total, now);
  struct holder *holder = NULL;
  CK_LIST_FOREACH (holder, &service->holders, link)
  {
    lower_targets (service, holder);
  }
  cyb_credits_grant_free (ledger, service, requester, now);
}

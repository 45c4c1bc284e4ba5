#include "core/cyb_credits_internal.h"

#include <stdlib.h>
#include <string.h>

/* ------------------------------------------------------------ asks */

/* Takes in what ENTRY says it holds at one backend server.  */
static void
take_item (struct cyb_credits *ledger, struct service *service,
           struct holder *holder, const Cy__SlotItem *item, cy_time_ns now)
{
  struct server *server
      = cyb_credits_server (service, item->instance, item->incarnation);
  if (server == NULL)
    return;
  struct grant *grant = cyb_credits_grant (server, holder);
  uint32_t held = MIN (item->held, server->slots);
  if (held > grant->given)
    {
      uint32_t limit = cyb_credits_limit (ledger, server);
      uint32_t room = server->given < limit ? limit - server->given : 0;
      uint32_t known = MIN (held, grant->given + room);
      held = now < ledger->learning ? held : MAX (item->used, known);
    }
  cyb_credits_set_grant (server, grant, held);
  grant->until = now + cyb_credits_lease ();
  holder->until = grant->until;
}

static void
take_ask (struct cyb_credits *ledger, const char *entry,
          const Cy__SlotAsk *ask, cy_time_ns now)
{
  cy_time_ns *last = g_new (cy_time_ns, 1);
  *last = now;
  if (g_hash_table_size (ledger->askers) == 0)
    ledger->learning = now + cyb_credits_lease ();
  g_hash_table_insert (ledger->askers, g_strdup (entry), last);
  for (size_t i = 0; i < ask->n_items; i++)
    {
      struct service *service
          = cyb_credits_service (ledger, ask->items[i]->service);
      cyb_credits_holder (service, entry)->demand = 0;
    }
  for (size_t i = 0; i < ask->n_items; i++)
    {
      const Cy__SlotItem *item = ask->items[i];
      struct service *service = cyb_credits_service (ledger, item->service);
      struct holder *holder = cyb_credits_holder (service, entry);
      take_item (ledger, service, holder, item, now);
      holder->demand += item->used;
    }
}

/* What waits is told with every backend server of the service; it counts
   once.  */
static void
add_waiting (struct cyb_credits *ledger, const char *entry,
             const Cy__SlotAsk *ask)
{
  GHashTable *seen = g_hash_table_new (g_str_hash, g_str_equal);
  for (size_t i = 0; i < ask->n_items; i++)
    {
      const Cy__SlotItem *item = ask->items[i];
      if (item->wanted == 0 || !g_hash_table_add (seen, item->service))
        continue;
      struct service *service = cyb_credits_service (ledger, item->service);
      cyb_credits_holder (service, entry)->demand += item->wanted;
    }
  g_hash_table_destroy (seen);
}

static Cy__SlotItem *
answer_item (const struct service *service, const struct server *server,
             const struct grant *grant)
{
  Cy__SlotItem *item = g_new (Cy__SlotItem, 1);
  cy__slot_item__init (item);
  item->service = g_strdup (service->name);
  item->instance = g_strdup (server->instance);
  item->incarnation = server->incarnation;
  item->granted = grant->target;
  item->lease_ms = CYB_CREDITS_LEASE_MS;
  return item;
}

/* Collects the grants of ENTRY in SERVICE; ONLY_UNTOLD: those that must go
   down.  */
static void
collect (struct service *service, const char *entry, bool only_untold,
         GPtrArray *items)
{
  struct server *server = NULL;
  CK_LIST_FOREACH (server, &service->servers, entry)
  {
    struct grant *grant = NULL;
    CK_LIST_FOREACH (grant, &server->grants, entry)
    {
      if (strcmp (grant->holder->name, entry) != 0
          || (only_untold && grant->target >= grant->told))
        continue;
      grant->told = grant->target;
      g_ptr_array_add (items, answer_item (service, server, grant));
    }
  }
}

static void
finish_answer (GPtrArray *items, Cy__SlotAnswer *answer)
{
  cy__slot_answer__init (answer);
  answer->n_items = items->len;
  answer->items = (Cy__SlotItem **)(void *)g_ptr_array_free (items, FALSE);
}

void
cyb_credits_request (struct cyb_credits *ledger, const char *entry,
                     const Cy__SlotAsk *ask, Cy__SlotAnswer *answer)
{
  cy_time_ns now = cy_clock_now (ledger->clock);
  GPtrArray *items = g_ptr_array_new ();
  GHashTable *done = g_hash_table_new (NULL, NULL);
  cyb_credits_expire (ledger);
  take_ask (ledger, entry, ask, now);
  add_waiting (ledger, entry, ask);
  for (size_t i = 0; i < ask->n_items; i++)
    {
      struct service *service
          = cyb_credits_service (ledger, ask->items[i]->service);
      if (!g_hash_table_add (done, service))
        continue;
      cyb_credits_rebalance (ledger, service,
                             cyb_credits_holder (service, entry), now);
      collect (service, entry, false, items);
    }
  g_hash_table_destroy (done);
  finish_answer (items, answer);
}

bool
cyb_credits_top_up (struct cyb_credits *ledger, const char *entry,
                    Cy__SlotAnswer *answer)
{
  cy_time_ns now = cy_clock_now (ledger->clock);
  GPtrArray *items = g_ptr_array_new ();
  bool given = false;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, ledger->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct service *service = value;
      struct holder *holder = NULL;
      CK_LIST_FOREACH (holder, &service->holders, entry)
      {
        if (strcmp (holder->name, entry) != 0 || now >= holder->until
            || !cyb_credits_grant_free (ledger, service, holder, now))
          continue;
        given = true;
        collect (service, entry, false, items);
      }
    }
  finish_answer (items, answer);
  if (!given)
    cyb_credits_answer_clear (answer);
  return given;
}

void
cyb_credits_answer_clear (Cy__SlotAnswer *answer)
{
  for (size_t i = 0; i < answer->n_items; i++)
    {
      g_free (answer->items[i]->service);
      g_free (answer->items[i]->instance);
      g_free (answer->items[i]);
    }
  g_free (answer->items);
}

void
cyb_credits_recall (struct cyb_credits *ledger, cyb_recall_fn recall,
                    void *context)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, ledger->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct service *service = value;
      struct holder *holder = NULL;
      CK_LIST_FOREACH (holder, &service->holders, entry)
      {
        Cy__SlotAnswer answer;
        GPtrArray *items = g_ptr_array_new ();
        collect (service, holder->name, true, items);
        finish_answer (items, &answer);
        if (answer.n_items > 0)
          recall (holder->name, &answer, context);
        cyb_credits_answer_clear (&answer);
      }
    }
}

uint32_t
cyb_credits_granted (const struct cyb_credits *ledger,
                     const char *service_name, const char *instance)
{
  const struct service *service
      = g_hash_table_lookup (ledger->services, service_name);
  const struct server *server = NULL;
  uint32_t given = 0;
  if (service == NULL)
    return 0;
  CK_LIST_FOREACH (server, &service->servers, entry)
  {
    if (strcmp (server->instance, instance) == 0)
      given += server->given;
  }
  return given;
}

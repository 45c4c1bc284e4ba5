#include "core/cyb_credits_internal.h"

#include <stdlib.h>
#include <string.h>

/* ------------------------------------------------------------ requests */

/* Applies the credits that HOLDER reports at one backend server.  A report
   above the recorded grant counts in full while the ledger grants nothing new;
   later only as far as free slots and the requests in flight cover it.  */
static void
apply_item (struct cyb_credits *ledger, struct service *service,
            struct holder *holder, const Cy__SlotItem *item, cy_time_ns now)
{
  struct server *server
      = cyb_credits_find_server (service, item->instance, item->incarnation);
  if (server == NULL)
    return;
  struct grant *grant = cyb_credits_get_grant (server, holder);
  uint32_t held = MIN (item->held, server->slots);
  if (held > grant->granted)
    {
      uint32_t limit = cyb_credits_server_limit (ledger, server);
      uint32_t free_slots
          = server->granted < limit ? limit - server->granted : 0;
      uint32_t covered = MIN (held, grant->granted + free_slots);
      held = now < ledger->no_grants_until ? held : MAX (item->used, covered);
    }
  cyb_credits_set_grant (server, grant, held);
  grant->lease_end = now + cyb_credits_lease_ns ();
  holder->lease_end = grant->lease_end;
}

static void
apply_request (struct cyb_credits *ledger, const char *entry,
               const Cy__SlotAsk *ask, cy_time_ns now)
{
  cy_time_ns *last = g_new (cy_time_ns, 1);
  *last = now;
  if (g_hash_table_size (ledger->request_times) == 0)
    ledger->no_grants_until = now + cyb_credits_lease_ns ();
  g_hash_table_insert (ledger->request_times, g_strdup (entry), last);
  for (size_t i = 0; i < ask->n_items; i++)
    {
      struct service *service
          = cyb_credits_get_service (ledger, ask->items[i]->service);
      cyb_credits_get_holder (service, entry)->demand = 0;
    }
  for (size_t i = 0; i < ask->n_items; i++)
    {
      const Cy__SlotItem *item = ask->items[i];
      struct service *service
          = cyb_credits_get_service (ledger, item->service);
      struct holder *holder = cyb_credits_get_holder (service, entry);
      apply_item (ledger, service, holder, item, now);
      holder->demand += item->used;
    }
}

/* Adds waiting requests to the demand.  ASK repeats their number with every
   backend server of a service; it counts once per service.  */
static void
add_waiting (struct cyb_credits *ledger, const char *entry,
             const Cy__SlotAsk *ask)
{
  GHashTable *counted = g_hash_table_new (g_str_hash, g_str_equal);
  for (size_t i = 0; i < ask->n_items; i++)
    {
      const Cy__SlotItem *item = ask->items[i];
      if (item->wanted == 0 || !g_hash_table_add (counted, item->service))
        continue;
      struct service *service
          = cyb_credits_get_service (ledger, item->service);
      cyb_credits_get_holder (service, entry)->demand += item->wanted;
    }
  g_hash_table_destroy (counted);
}

static Cy__SlotItem *
create_item (const struct service *service, const struct server *server,
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

/* Appends the grants of ENTRY in SERVICE to ITEMS; with ONLY_REDUCED only
   those whose target is below the one last sent.  */
static void
collect_items (struct service *service, const char *entry, bool only_reduced,
               GPtrArray *items)
{
  struct server *server = NULL;
  CK_LIST_FOREACH (server, &service->servers, link)
  {
    struct grant *grant = NULL;
    CK_LIST_FOREACH (grant, &server->grants, link)
    {
      if (strcmp (grant->holder->name, entry) != 0
          || (only_reduced && grant->target >= grant->target_sent))
        continue;
      grant->target_sent = grant->target;
      g_ptr_array_add (items, create_item (service, server, grant));
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
  apply_request (ledger, entry, ask, now);
  add_waiting (ledger, entry, ask);
  for (size_t i = 0; i < ask->n_items; i++)
    {
      struct service *service
          = cyb_credits_get_service (ledger, ask->items[i]->service);
      if (!g_hash_table_add (done, service))
        continue;
      cyb_credits_rebalance (ledger, service,
                             cyb_credits_get_holder (service, entry), now);
      collect_items (service, entry, false, items);
    }
  g_hash_table_destroy (done);
  finish_answer (items, answer);
}

bool
cyb_credits_grant_freed (struct cyb_credits *ledger, const char *entry,
                         Cy__SlotAnswer *answer)
{
  cy_time_ns now = cy_clock_now (ledger->clock);
  GPtrArray *items = g_ptr_array_new ();
  bool granted = false;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, ledger->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct service *service = value;
      struct holder *holder = NULL;
      CK_LIST_FOREACH (holder, &service->holders, link)
      {
        if (strcmp (holder->name, entry) != 0 || now >= holder->lease_end
            || !cyb_credits_grant_free (ledger, service, holder, now))
          continue;
        granted = true;
        collect_items (service, entry, false, items);
      }
    }
  finish_answer (items, answer);
  if (!granted)
    cyb_credits_answer_clear (answer);
  return granted;
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
cyb_credits_send_recalls (struct cyb_credits *ledger, cyb_recall_fn recall,
                          void *context)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, ledger->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct service *service = value;
      struct holder *holder = NULL;
      CK_LIST_FOREACH (holder, &service->holders, link)
      {
        Cy__SlotAnswer answer;
        GPtrArray *items = g_ptr_array_new ();
        collect_items (service, holder->name, true, items);
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
  uint32_t granted = 0;
  if (service == NULL)
    return 0;
  CK_LIST_FOREACH (server, &service->servers, link)
  {
    if (strcmp (server->instance, instance) == 0)
      granted += server->granted;
  }
  return granted;
}

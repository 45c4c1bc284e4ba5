/* Exchange among regions: tokens of the rates of workspaces, and slots of
   backend servers.

   The placer of a region reports the slots of other regions that it could use:
   for requests that only another region may serve, and for spillover, requests
   without a free slot in the local region.  The placer of the other region
   serves the first kind like local requests and lends spare slots to the
   second.  A loan names a server and a count of slots; it ends when no message
   of the lender arrives within CYC_PEER_TIMEOUT_MS.  */

#include <math.h>
#include <string.h>

#include "hub/cyc_internal.h"

#define RESERVED_SHARE 0.08 /* share of the local slots that is never lent */

/* ------------------------------------------------------------ tokens */

static void
add_token_need (const char *workspace, double tokens, void *context)
{
  GPtrArray *needs = context;
  Cy__TokenNeed *need = g_new (Cy__TokenNeed, 1);
  cy__token_need__init (need);
  need->workspace = g_strdup (workspace);
  need->tokens = tokens;
  g_ptr_array_add (needs, need);
}

/* Sends PEER the tokens of NEED that are spare here.  */
static void
send_tokens (struct cyc_hub *hub, const struct cyc_peer *peer,
             const Cy__TokenNeed *need)
{
  Cy__Envelope envelope = CY__ENVELOPE__INIT;
  Cy__TokenGift gift = CY__TOKEN_GIFT__INIT;
  if (peer->conn == NULL || !cyn_conn_is_open (peer->conn))
    return;
  gift.workspace = need->workspace;
  gift.tokens = cym_quota_donate (hub->quota, need->workspace, need->tokens,
                                  cyc_now (hub));
  if (gift.tokens <= 0)
    return;
  envelope.body_case = CY__ENVELOPE__BODY_TOKEN_GIFT;
  envelope.token_gift = &gift;
  cyn_conn_send (peer->conn, &envelope);
}

void
cyc_lending_receive_tokens (struct cyc_hub *hub, const Cy__TokenGift *gift)
{
  cym_quota_receive (hub->quota, gift->workspace, gift->tokens, cyc_now (hub));
}

/* ------------------------------------------------------------ sending */

static void
add_home_need (const char *region, double slots, void *context)
{
  GPtrArray *needs = context;
  if (slots < CYM_LOAN_MIN_SLOTS)
    return;
  Cy__HomeNeed *need = g_new (Cy__HomeNeed, 1);
  cy__home_need__init (need);
  need->region = g_strdup (region);
  need->slots = slots;
  g_ptr_array_add (needs, need);
}

struct need_collector
{
  struct cyc_hub *hub;
  GPtrArray *needs; /* Cy__SlotNeed */
};

static void
add_slot_need (const char *service, void *context)
{
  struct need_collector *collector = context;
  struct cyc_hub *hub = collector->hub;
  struct cym_demand demand;
  cy_time_ns now = cyc_now (hub);
  GPtrArray *homes = g_ptr_array_new ();
  cym_match_get_demand (hub->match, service, now, &demand);
  cym_match_each_remote_demand (hub->match, service, now, add_home_need,
                                homes);
  double slots = fmax (
      demand.wanted_slots - demand.local_slots * (1 - RESERVED_SHARE), 0);
  if (slots < CYM_LOAN_MIN_SLOTS && homes->len == 0)
    {
      g_ptr_array_unref (homes);
      return;
    }
  Cy__SlotNeed *need = g_new (Cy__SlotNeed, 1);
  cy__slot_need__init (need);
  need->service = g_strdup (service);
  need->slots = slots;
  need->n_homes = homes->len;
  need->homes = (Cy__HomeNeed **)(void *)g_ptr_array_free (homes, FALSE);
  g_ptr_array_add (collector->needs, need);
}

static void
add_loan (const struct cym_loan *held, void *context)
{
  GPtrArray *list = context;
  Cy__Loan *loan = g_new (Cy__Loan, 1);
  cy__loan__init (loan);
  loan->region = g_strdup (held->region);
  loan->instance = g_strdup (held->server);
  loan->born = held->incarnation;
  loan->slots = held->slots;
  g_ptr_array_add (list, loan);
}

static void
fill_loans (struct cyc_hub *hub, Cy__HubSync *sync)
{
  GPtrArray *list = g_ptr_array_new ();
  cym_loans_each (hub->loans, add_loan, list);
  sync->n_loans = list->len;
  sync->loans = (Cy__Loan **)(void *)g_ptr_array_free (list, FALSE);
}

void
cyc_lending_fill_sync (struct cyc_hub *hub, Cy__HubSync *sync)
{
  GPtrArray *tokens = g_ptr_array_new ();
  struct need_collector collector = { hub, g_ptr_array_new () };
  sync->attached = hub->attached_entries;
  if (hub->attached_entries > 0)
    {
      cym_quota_each_need (hub->quota, cyc_now (hub), add_token_need, tokens);
      cym_match_each_service (hub->match, add_slot_need, &collector);
    }
  sync->n_token_needs = tokens->len;
  sync->token_needs
      = (Cy__TokenNeed **)(void *)g_ptr_array_free (tokens, FALSE);
  sync->n_slot_needs = collector.needs->len;
  sync->slot_needs
      = (Cy__SlotNeed **)(void *)g_ptr_array_free (collector.needs, FALSE);
  fill_loans (hub, sync);
}

void
cyc_lending_clear_sync (Cy__HubSync *sync)
{
  for (size_t i = 0; i < sync->n_token_needs; i++)
    cy__token_need__free_unpacked (sync->token_needs[i], NULL);
  for (size_t i = 0; i < sync->n_slot_needs; i++)
    cy__slot_need__free_unpacked (sync->slot_needs[i], NULL);
  for (size_t i = 0; i < sync->n_loans; i++)
    cy__loan__free_unpacked (sync->loans[i], NULL);
  g_free (sync->token_needs);
  g_free (sync->slot_needs);
  g_free (sync->loans);
}

/* ------------------------------------------------------------ borrowing */

static void
return_loans (struct cyc_hub *hub, struct cyc_peer *peer)
{
  GHashTableIter iter;
  gpointer id;
  gpointer born;
  g_hash_table_iter_init (&iter, peer->borrowed);
  while (g_hash_table_iter_next (&iter, &id, &born))
    cym_match_set_loan (hub->match, id, *(uint64_t *)born, 0, cyc_now (hub));
  g_hash_table_remove_all (peer->borrowed);
}

static void
receive_loans (struct cyc_hub *hub, struct cyc_peer *peer,
               const Cy__HubSync *sync)
{
  GHashTable *current
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  GHashTableIter iter;
  gpointer id;
  gpointer born;
  for (size_t i = 0; i < sync->n_loans; i++)
    {
      const Cy__Loan *loan = sync->loans[i];
      if (strcmp (loan->region, hub->options.region) != 0)
        continue;
      g_hash_table_insert (current, g_strdup (loan->instance),
                           g_memdup2 (&loan->born, sizeof loan->born));
      cym_match_set_loan (hub->match, loan->instance, loan->born, loan->slots,
                          cyc_now (hub));
    }
  g_hash_table_iter_init (&iter, peer->borrowed);
  while (g_hash_table_iter_next (&iter, &id, &born))
    if (!g_hash_table_contains (current, id))
      cym_match_set_loan (hub->match, id, *(uint64_t *)born, 0, cyc_now (hub));
  g_hash_table_destroy (peer->borrowed);
  peer->borrowed = current;
}

/* ----------------------------------------------------------- loan requests */

static void
loan_request_free (gpointer data)
{
  g_free (data);
}

static struct cyc_loan_request *
loan_request_get (struct cyc_hub *hub, const char *region, const char *service)
{
  char *key = g_strconcat (region, "/", service, NULL);
  struct cyc_loan_request *request
      = g_hash_table_lookup (hub->loan_requests, key);
  if (request != NULL)
    {
      g_free (key);
      return request;
    }
  request = g_new0 (struct cyc_loan_request, 1);
  g_strlcpy (request->region, region, sizeof request->region);
  g_strlcpy (request->service, service, sizeof request->service);
  g_hash_table_insert (hub->loan_requests, key, request);
  return request;
}

static double
slots_homed_here (const struct cyc_hub *hub, const Cy__SlotNeed *need)
{
  for (size_t i = 0; i < need->n_homes; i++)
    if (strcmp (need->homes[i]->region, hub->options.region) == 0)
      return need->homes[i]->slots;
  return 0;
}

/* Records the slots of this region that the placer of another region could
   use.  */
static void
receive_loan_requests (struct cyc_hub *hub, const struct cyc_peer *peer,
                       const Cy__HubSync *sync)
{
  cy_time_ns now = cyc_now (hub);
  if (sync->attached == 0 || peer->region == NULL
      || strcmp (peer->region, hub->options.region) == 0)
    return;
  for (size_t i = 0; i < sync->n_slot_needs; i++)
    {
      const Cy__SlotNeed *need = sync->slot_needs[i];
      struct cyc_loan_request *request
          = loan_request_get (hub, peer->region, need->service);
      request->spillover_slots = need->slots;
      request->homed_slots = slots_homed_here (hub, need);
      request->received_at = now;
    }
}

void
cyc_lending_receive (struct cyc_hub *hub, struct cyc_peer *peer,
                     const Cy__HubSync *sync)
{
  for (size_t i = 0; i < sync->n_token_needs; i++)
    send_tokens (hub, peer, sync->token_needs[i]);
  if (!sync->rests)
    return;
  receive_loans (hub, peer, sync);
  receive_loan_requests (hub, peer, sync);
}

/* ------------------------------------------------------------ lending */

/* Slots of one service here that the other regions could use, summed over
   these regions.  */
struct loan_request_sums
{
  double homed_slots;
  double spillover_slots;
};

static struct loan_request_sums
sum_loan_requests (struct cyc_hub *hub, const char *service)
{
  struct loan_request_sums sums = { 0, 0 };
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, hub->loan_requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct cyc_loan_request *request = value;
      if (strcmp (request->service, service) != 0)
        continue;
      sums.homed_slots += request->homed_slots;
      sums.spillover_slots += request->spillover_slots;
    }
  return sums;
}

static void
update_loan (struct cyc_hub *hub, struct cyc_loan_request *request,
             cy_time_ns now)
{
  struct cym_demand demand;
  struct loan_request_sums sums = sum_loan_requests (hub, request->service);
  cym_match_get_demand (hub->match, request->service, now, &demand);
  double local_demand = demand.wanted_slots + sums.homed_slots;
  double fair_share = cym_loan_target_fair_share (&demand, sums.homed_slots);
  double spare_slots
      = fmax (demand.local_slots * (1 - RESERVED_SHARE) - local_demand, 0);
  double spillover_share = sums.spillover_slots > spare_slots
                               ? spare_slots / sums.spillover_slots
                               : 1;
  uint32_t slots = cym_loan_target_step (
      &request->target, request->homed_slots * fair_share,
      request->spillover_slots * spillover_share);
  cym_loans_set (hub->loans, request->region, request->service, slots, now);
}

void
cyc_lending_heartbeat (struct cyc_hub *hub)
{
  cy_time_ns now = cyc_now (hub);
  struct cyc_peer *peer = NULL;
  GHashTableIter iter;
  gpointer value;
  CK_LIST_FOREACH (peer, &hub->peers, entry)
  {
    if (!cyc_peer_is_live (peer, now))
      return_loans (hub, peer);
  }
  g_hash_table_iter_init (&iter, hub->loan_requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct cyc_loan_request *request = value;
      if (now - request->received_at > CYC_PEER_TIMEOUT_MS * CY_NS_PER_MS
          || hub->attached_entries == 0)
        {
          request->homed_slots = 0;
          request->spillover_slots = 0;
        }
      update_loan (hub, request, now);
    }
}

/* ------------------------------------------------------------ lifecycle */

void
cyc_lending_create (struct cyc_hub *hub)
{
  hub->loans = cym_loans_create (hub->match);
  hub->loan_requests = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                              loan_request_free);
}

void
cyc_lending_destroy (struct cyc_hub *hub)
{
  cym_loans_destroy (hub->loans);
  g_hash_table_destroy (hub->loan_requests);
}

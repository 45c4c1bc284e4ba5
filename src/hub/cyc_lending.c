/* What regions give each other: tokens of a workspace's rate, and slots of
   backend servers.

   The placer of a region tells what slots it could use: for requests that only
   another region may serve, and for those that find no room in its own.  The
   placer there serves the first like its own and lends to the second what is
   spare.  A loan names a server and a count of slots; it holds while the
   lender is heard.  */

#include <math.h>
#include <string.h>

#include "hub/cyc_internal.h"

#define SPARE_KEPT 0.08 /* of the slots that are lent to nobody */

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

/* Gives PEER what it lacks and is spare here.  */
static void
give_tokens (struct cyc_hub *hub, const struct cyc_peer *peer,
             const Cy__TokenNeed *need)
{
  Cy__Envelope envelope = CY__ENVELOPE__INIT;
  Cy__TokenGift gift = CY__TOKEN_GIFT__INIT;
  if (peer->conn == NULL || !cyn_conn_is_open (peer->conn))
    return;
  gift.workspace = need->workspace;
  gift.tokens = cym_quota_give (hub->quota, need->workspace, need->tokens,
                                cyc_now (hub));
  if (gift.tokens <= 0)
    return;
  envelope.body_case = CY__ENVELOPE__BODY_TOKEN_GIFT;
  envelope.token_gift = &gift;
  cyn_conn_send (peer->conn, &envelope);
}

void
cyc_lending_gift (struct cyc_hub *hub, const Cy__TokenGift *gift)
{
  cym_quota_receive (hub->quota, gift->workspace, gift->tokens, cyc_now (hub));
}

/* ------------------------------------------------------------ telling */

static void
add_home_need (const char *region, double slots, void *context)
{
  GPtrArray *homes = context;
  if (slots < CYM_LOAN_LEAST)
    return;
  Cy__HomeNeed *need = g_new (Cy__HomeNeed, 1);
  cy__home_need__init (need);
  need->region = g_strdup (region);
  need->slots = slots;
  g_ptr_array_add (homes, need);
}

struct telling
{
  struct cyc_hub *hub;
  GPtrArray *needs; /* Cy__SlotNeed */
};

static void
add_slot_need (const char *service, void *context)
{
  struct telling *telling = context;
  struct cyc_hub *hub = telling->hub;
  struct cym_demand demand;
  cy_time_ns now = cyc_now (hub);
  GPtrArray *homes = g_ptr_array_new ();
  cym_match_demand (hub->match, service, now, &demand);
  cym_match_each_home (hub->match, service, now, add_home_need, homes);
  double slots = fmax (demand.local - demand.own * (1 - SPARE_KEPT), 0);
  if (slots < CYM_LOAN_LEAST && homes->len == 0)
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
  g_ptr_array_add (telling->needs, need);
}

static void
add_loan (const struct cym_loan *held, void *context)
{
  GPtrArray *list = context;
  Cy__Loan *loan = g_new (Cy__Loan, 1);
  cy__loan__init (loan);
  loan->region = g_strdup (held->region);
  loan->instance = g_strdup (held->server);
  loan->born = held->born;
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
cyc_lending_fill (struct cyc_hub *hub, Cy__HubSync *sync)
{
  GPtrArray *tokens = g_ptr_array_new ();
  struct telling telling = { hub, g_ptr_array_new () };
  sync->attached = hub->attached;
  if (hub->attached > 0)
    {
      cym_quota_needs (hub->quota, cyc_now (hub), add_token_need, tokens);
      cym_match_each_service (hub->match, add_slot_need, &telling);
    }
  sync->n_token_needs = tokens->len;
  sync->token_needs
      = (Cy__TokenNeed **)(void *)g_ptr_array_free (tokens, FALSE);
  sync->n_slot_needs = telling.needs->len;
  sync->slot_needs
      = (Cy__SlotNeed **)(void *)g_ptr_array_free (telling.needs, FALSE);
  fill_loans (hub, sync);
}

void
cyc_lending_clear (Cy__HubSync *sync)
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
lend_nothing (struct cyc_hub *hub, struct cyc_peer *peer)
{
  GHashTableIter iter;
  gpointer id;
  gpointer born;
  g_hash_table_iter_init (&iter, peer->lent);
  while (g_hash_table_iter_next (&iter, &id, &born))
    cym_match_set_loan (hub->match, id, *(uint64_t *)born, 0, cyc_now (hub));
  g_hash_table_remove_all (peer->lent);
}

static void
take_loans (struct cyc_hub *hub, struct cyc_peer *peer,
            const Cy__HubSync *sync)
{
  GHashTable *fresh
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  GHashTableIter iter;
  gpointer id;
  gpointer born;
  for (size_t i = 0; i < sync->n_loans; i++)
    {
      const Cy__Loan *loan = sync->loans[i];
      if (strcmp (loan->region, hub->options.region) != 0)
        continue;
      g_hash_table_insert (fresh, g_strdup (loan->instance),
                           g_memdup2 (&loan->born, sizeof loan->born));
      cym_match_set_loan (hub->match, loan->instance, loan->born, loan->slots,
                          cyc_now (hub));
    }
  g_hash_table_iter_init (&iter, peer->lent);
  while (g_hash_table_iter_next (&iter, &id, &born))
    if (!g_hash_table_contains (fresh, id))
      cym_match_set_loan (hub->match, id, *(uint64_t *)born, 0, cyc_now (hub));
  g_hash_table_destroy (peer->lent);
  peer->lent = fresh;
}

/* ------------------------------------------------------------ wants */

static void
want_free (gpointer data)
{
  g_free (data);
}

static struct cyc_loan_request *
want_get (struct cyc_hub *hub, const char *region, const char *service)
{
  char *key = g_strconcat (region, "/", service, NULL);
  struct cyc_loan_request *want = g_hash_table_lookup (hub->wants, key);
  if (want != NULL)
    {
      g_free (key);
      return want;
    }
  want = g_new0 (struct cyc_loan_request, 1);
  g_strlcpy (want->region, region, sizeof want->region);
  g_strlcpy (want->service, service, sizeof want->service);
  g_hash_table_insert (hub->wants, key, want);
  return want;
}

static double
homed_here (const struct cyc_hub *hub, const Cy__SlotNeed *need)
{
  for (size_t i = 0; i < need->n_homes; i++)
    if (strcmp (need->homes[i]->region, hub->options.region) == 0)
      return need->homes[i]->slots;
  return 0;
}

/* Notes what the placer of another region could use here.  */
static void
take_wants (struct cyc_hub *hub, const struct cyc_peer *peer,
            const Cy__HubSync *sync)
{
  cy_time_ns now = cyc_now (hub);
  if (sync->attached == 0 || peer->region == NULL
      || strcmp (peer->region, hub->options.region) == 0)
    return;
  for (size_t i = 0; i < sync->n_slot_needs; i++)
    {
      const Cy__SlotNeed *need = sync->slot_needs[i];
      struct cyc_loan_request *want
          = want_get (hub, peer->region, need->service);
      want->spill = need->slots;
      want->homed = homed_here (hub, need);
      want->at = now;
    }
}

void
cyc_lending_take (struct cyc_hub *hub, struct cyc_peer *peer,
                  const Cy__HubSync *sync)
{
  for (size_t i = 0; i < sync->n_token_needs; i++)
    give_tokens (hub, peer, sync->token_needs[i]);
  if (!sync->rests)
    return;
  take_loans (hub, peer, sync);
  take_wants (hub, peer, sync);
}

/* ------------------------------------------------------------ lending */

/* Sums over the regions that want slots of one service.  */
struct sums
{
  double homed;
  double spill;
};

static struct sums
sum_wants (struct cyc_hub *hub, const char *service)
{
  struct sums sums = { 0, 0 };
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, hub->wants);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct cyc_loan_request *want = value;
      if (strcmp (want->service, service) != 0)
        continue;
      sums.homed += want->homed;
      sums.spill += want->spill;
    }
  return sums;
}

static void
serve_want (struct cyc_hub *hub, struct cyc_loan_request *want, cy_time_ns now)
{
  struct cym_demand demand;
  struct sums sums = sum_wants (hub, want->service);
  cym_match_demand (hub->match, want->service, now, &demand);
  double all = demand.local + sums.homed;
  double fair = cym_loan_target_fair_share (&demand, sums.homed);
  double spare = fmax (demand.own * (1 - SPARE_KEPT) - all, 0);
  double part = sums.spill > spare ? spare / sums.spill : 1;
  uint32_t slots = cym_loan_target_step (&want->lent, want->homed * fair,
                                         want->spill * part);
  cym_loans_set (hub->loans, want->region, want->service, slots, now);
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
      lend_nothing (hub, peer);
  }
  g_hash_table_iter_init (&iter, hub->wants);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct cyc_loan_request *want = value;
      if (now - want->at > CYC_LIVE_MS * CY_NS_PER_MS || hub->attached == 0)
        {
          want->homed = 0;
          want->spill = 0;
        }
      serve_want (hub, want, now);
    }
}

/* ------------------------------------------------------------ life */

void
cyc_lending_create (struct cyc_hub *hub)
{
  hub->loans = cym_loans_create (hub->match);
  hub->wants
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, want_free);
}

void
cyc_lending_destroy (struct cyc_hub *hub)
{
  cym_loans_destroy (hub->loans);
  g_hash_table_destroy (hub->wants);
}

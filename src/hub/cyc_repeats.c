/* Tells the other control VMs what this one placed of each service, and hears
   the same from them, so that one budget of repeats holds for the fleet.  */

#include <string.h>

#include "hub/cyc_internal.h"

#define GAP_MS (4 * CYC_BEAT_MS) /* ms without a word: messages were lost */

/* ------------------------------------------------------------ telling */

static void
add_count (const char *service, uint64_t requests, uint64_t repeats,
           void *context)
{
  GPtrArray *list = context;
  Cy__PlacedCount *count = g_new (Cy__PlacedCount, 1);
  cy__placed_count__init (count);
  count->service = g_strdup (service);
  count->requests = requests;
  count->repeats = repeats;
  g_ptr_array_add (list, count);
}

void
cyc_repeats_fill (struct cyc_hub *hub, Cy__HubSync *sync)
{
  GPtrArray *list = g_ptr_array_new ();
  cym_match_each_count (hub->match, add_count, list);
  sync->n_placed = list->len;
  sync->placed = (Cy__PlacedCount **)(void *)g_ptr_array_free (list, FALSE);
}

void
cyc_repeats_clear (Cy__HubSync *sync)
{
  for (size_t i = 0; i < sync->n_placed; i++)
    cy__placed_count__free_unpacked (sync->placed[i], NULL);
  g_free (sync->placed);
}

/* ------------------------------------------------------------ hearing */

static void
hear_count (struct cyc_hub *hub, struct cyc_peer *peer,
            const Cy__PlacedCount *count, cy_time_ns now)
{
  struct cym_repeats_told *told
      = g_hash_table_lookup (peer->placed, count->service);
  uint64_t requests = count->requests;
  uint64_t repeats = count->repeats;
  bool same = strcmp (peer->region, hub->options.region) == 0;
  if (told == NULL)
    {
      told = g_new0 (struct cym_repeats_told, 1);
      g_hash_table_insert (peer->placed, g_strdup (count->service), told);
    }
  cym_repeats_news (told, GAP_MS * CY_NS_PER_MS, &requests, &repeats, now);
  cym_match_hear_repeats (hub->match, count->service,
                          same ? CYM_REPEATS_REGION : CYM_REPEATS_ELSEWHERE,
                          (uint32_t)requests, (uint32_t)repeats, now);
}

void
cyc_repeats_take (struct cyc_hub *hub, struct cyc_peer *peer,
                  const Cy__HubSync *sync)
{
  if (!sync->rests || peer->region == NULL)
    return;
  peer->attached = sync->attached;
  for (size_t i = 0; i < sync->n_placed; i++)
    hear_count (hub, peer, sync->placed[i], cyc_now (hub));
}

static bool
is_placer (const struct cyc_peer *peer, cy_time_ns now)
{
  return peer->region != NULL && peer->attached > 0
         && cyc_peer_is_live (peer, now);
}

/* Counts PEER's region when no placer before it in the list is of the same. */
static bool
is_first_of_region (const struct cyc_hub *hub, const struct cyc_peer *peer,
                    cy_time_ns now)
{
  const struct cyc_peer *other = NULL;
  CK_LIST_FOREACH (other, &hub->peers, entry)
  {
    if (other == peer)
      return true;
    if (is_placer (other, now) && strcmp (other->region, peer->region) == 0)
      return false;
  }
  return true;
}

void
cyc_repeats_beat (struct cyc_hub *hub)
{
  cy_time_ns now = cyc_now (hub);
  const struct cyc_peer *peer = NULL;
  size_t regions = 1;
  CK_LIST_FOREACH (peer, &hub->peers, entry)
  {
    if (is_placer (peer, now)
        && strcmp (peer->region, hub->options.region) != 0)
      regions += is_first_of_region (hub, peer, now);
  }
  cym_match_hear_all (hub->match,
                      regions >= cyc_topology_regions (hub->options.topology));
}

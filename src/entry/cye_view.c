#include "entry/cye_view.h"

#include <math.h>
#include <string.h>

#define CHOSEN_ZONE_VMS 3 /* VMs of the chosen zone in one answer, at most */
#define SPARE_ZONE_VMS  2 /* VMs of each other zone in one answer, at most */

void
cye_view_destroy (struct cye_view *view)
{
  if (view == NULL)
    return;
  for (size_t i = 0; i < (size_t)view->service_count * view->region_count; i++)
    g_free (view->distributions[i]);
  g_free (view->distributions);
  g_hash_table_destroy (view->services);
  g_free (view->vms);
  g_free (view->zones);
  g_free (view->order);
  g_free (view->site_region);
  g_free (view);
}

/* Hashes two numbers to a uniform value in (0, 1).  */
static double
hash_to_unit (uint64_t a, uint64_t b)
{
  uint64_t z = a ^ (b * UINT64_C (0x9e3779b97f4a7c15));
  z = (z ^ (z >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94d049bb133111eb);
  z ^= z >> 31;
  return ((double)(z >> 11) + 0.5) * 0x1p-53;
}

/* Score of OWNER (the seed of a VM or a zone) in weighted rendezvous hashing.
   The owner with the largest score is chosen, so that a change of one weight
   moves only callers from or to the owner of that weight.  */
static double
score_of (uint64_t seed, uint64_t owner, double weight)
{
  return -weight / log (hash_to_unit (seed, owner));
}

static bool
is_serving (const struct cye_zone_view *zone)
{
  return zone->count > 0 && !zone->drained;
}

/* Adds up to MAX VMs of ZONE to ANSWER, from the largest score down.  */
static void
add_vms (const struct cye_view *view, const struct cye_zone_view *zone,
         uint64_t seed, unsigned max, struct cye_answer *answer)
{
  double upper_limit = INFINITY;
  while (max > 0 && answer->count < CYE_LOOKUP_VMS_MAX)
    {
      const struct cye_vm *best = NULL;
      double best_score = -1;
      for (uint32_t i = 0; i < zone->count; i++)
        {
          const struct cye_vm *vm = &view->vms[zone->first_vm + i];
          double score = score_of (seed, vm->seed, vm->weight);
          if (score < upper_limit && score > best_score)
            {
              best = vm;
              best_score = score;
            }
        }
      if (best == NULL)
        return;
      answer->choices[answer->count++] = best->choice;
      upper_limit = best_score;
      max--;
    }
}

/* Adds VMs of the zones other than CHOSEN in the order of ORDER, those of
   reachable zones first.  */
static void
add_spares (const struct cye_view *view, const uint16_t *order,
            unsigned chosen, uint64_t seed, struct cye_answer *answer)
{
  for (int unreachable = 0; unreachable <= 1; unreachable++)
    for (uint32_t i = 0; i < view->zone_count; i++)
      {
        const struct cye_zone_view *zone = &view->zones[order[i]];
        if (order[i] == chosen || !is_serving (zone)
            || zone->unreachable != unreachable)
          continue;
        add_vms (view, zone, seed, SPARE_ZONE_VMS, answer);
      }
}

/* Returns the zone that serves a caller, view->zone_count when the caller is
   refused.  The weights add up to less than 1 when the plan refuses a share of
   the callers.  */
static unsigned
choose_zone (const struct cye_view *view,
             const struct cye_distribution *distribution, uint64_t seed)
{
  unsigned best = view->zone_count;
  double best_score = -1;
  double sum = 0;
  for (unsigned i = 0; i < distribution->count; i++)
    {
      const struct cye_zone_view *zone
          = &view->zones[distribution->shares[i].zone];
      double weight = distribution->shares[i].weight;
      if (zone->count == 0)
        continue;
      sum += weight;
      double score = score_of (seed, zone->seed, weight);
      if (score > best_score)
        {
          best = distribution->shares[i].zone;
          best_score = score;
        }
    }
  bool refuses = sum < 1 - CYP_WEIGHT_MIN * view->zone_count;
  if (refuses && score_of (seed, 0, 1 - sum) > best_score)
    return view->zone_count;
  return best;
}

cy_result
cye_view_choose (const struct cye_view *view, const char *service,
                 unsigned origin, uint64_t seed, struct cye_answer *answer)
{
  answer->count = 0;
  answer->ttl_ms = view->ttl_ms;
  unsigned service_number
      = GPOINTER_TO_UINT (g_hash_table_lookup (view->services, service));
  if (service_number == 0)
    return CY_E_SERVICE_UNKNOWN;
  const struct cye_distribution *distribution
      = view->distributions[(service_number - 1) * view->region_count
                            + origin];
  unsigned chosen = choose_zone (view, distribution, seed);
  if (chosen == view->zone_count)
    return CY_E_NO_ROOM;
  const struct cye_zone_view *zone = &view->zones[chosen];
  add_vms (view, zone, seed, CHOSEN_ZONE_VMS, answer);
  const uint16_t *order = view->order + (size_t)origin * view->zone_count;
  add_spares (view, order, chosen, seed, answer);
  if (distribution->in_transition || zone->has_planned_work || zone->drained)
    answer->ttl_ms = MIN (view->ttl_ms, CYE_TTL_SHORT_MS);
  return answer->count > 0 ? CY_OK : CY_E_NO_ROOM;
}

void
cye_view_other_zones (const struct cye_view *view, struct cye_answer *answer)
{
  answer->count = 0;
  answer->ttl_ms = MIN (view->ttl_ms, CYE_TTL_SHORT_MS);
  const uint16_t *order
      = view->order + (size_t)view->local_region * view->zone_count;
  add_spares (view, order, view->local_zone,
              view->zones[view->local_zone].seed, answer);
}

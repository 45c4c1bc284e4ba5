/* A plan run ahead of time, for the preview of a drain.  */

#include <math.h>

#include "core/cyp_internal.h"

#define STEP CY_NS_PER_S /* ns between two runs */
#define QUIET_EXTRA                                                           \
  (30 * CY_NS_PER_S)     /* ns past the window without a move                 \
                          */
#define LEAST_MOVED 1e-4 /* requests a second */

/* Lets every zone that is in reach measure what the plan sends it.  */
static void
measure_expected (struct cyp_service *service, unsigned zones, cy_time_ns now)
{
  for (unsigned z = 0; z < zones; z++)
    {
      struct cyp_cell *cell = service->cells[z];
      if (cell == NULL || cell->room.state == CYP_ZONE_HELD
          || cell->room.state == CYP_ZONE_UNKNOWN)
        continue;
      cell->observed = now;
      cell->served = cell->room.expected_per_s;
      cell->refused = 0;
      cell->offered = cell->served;
    }
}

static double
left_on_drained (const struct cyp_plan *plan,
                 const struct cyp_topology *topology)
{
  double left = 0;
  for (unsigned s = 0; s < topology->services; s++)
    for (unsigned z = 0; z < topology->zones && plan->services[s]; z++)
      if (topology->zone_drained[z])
        left += cyp_plan_room (plan, s, z).expected_per_s;
  return left;
}

static cy_time_ns
longest_window (const struct cyp_topology *topology)
{
  cy_time_ns longest = 0;
  for (unsigned s = 0; s < topology->services; s++)
    if (topology->cap[s].window > longest)
      longest = topology->cap[s].window;
  return longest;
}

struct cyp_rehearsal
cyp_plan_rehearse (struct cyp_plan *plan, const struct cyp_topology *topology,
                   cy_time_ns now, cy_time_ns limit)
{
  cy_time_ns quiet = longest_window (topology) + QUIET_EXTRA;
  cy_time_ns start = now;
  struct cyp_rehearsal result = { 0, INFINITY };
  while (now - start <= limit && now - start - result.lasts <= quiet)
    {
      for (unsigned s = 0; s < topology->services; s++)
        if (plan->services[s] != NULL)
          measure_expected (plan->services[s], topology->zones, now);
      cyp_plan_run (plan, topology, now);
      double left = left_on_drained (plan, topology);
      if (result.left - left > LEAST_MOVED)
        result.lasts = now - start;
      result.left = left;
      if (left < LEAST_MOVED)
        break;
      now += STEP;
    }
  return result;
}

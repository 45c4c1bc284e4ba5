/* Simulation of a plan for the preview of a drain.  */

#include <math.h>

#include "core/cyp_internal.h"

#define STEP_NS CY_NS_PER_S /* ns; simulated time between two runs */
/* Simulated time past the cap window without a move, in ns, after which the
   simulation ends.  */
#define IDLE_EXTRA_NS (30 * CY_NS_PER_S)
/* Requests a second; smaller changes do not count as a move.  */
#define MOVED_MIN_PER_S 1e-4

/* Sets the measurements of every zone with recent measurements to the load
   that the plan assigns to it.  */
static void
simulate_measurements (struct cyp_service *service, unsigned zones,
                       cy_time_ns now)
{
  for (unsigned z = 0; z < zones; z++)
    {
      struct cyp_cell *cell = service->cells[z];
      if (cell == NULL || cell->capacity.state == CYP_ZONE_HELD
          || cell->capacity.state == CYP_ZONE_UNKNOWN)
        continue;
      cell->measured_at = now;
      cell->served_per_s = cell->capacity.expected_per_s;
      cell->refused_per_s = 0;
      cell->offered_per_s = cell->served_per_s;
    }
}

static double
drained_load_per_s (const struct cyp_plan *plan,
                    const struct cyp_topology *topology)
{
  double remaining_per_s = 0;
  for (unsigned s = 0; s < topology->services; s++)
    for (unsigned z = 0; z < topology->zones && plan->services[s]; z++)
      if (topology->zone_drained[z])
        remaining_per_s += cyp_plan_zone_capacity (plan, s, z).expected_per_s;
  return remaining_per_s;
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

struct cyp_simulation
cyp_plan_simulate (struct cyp_plan *plan, const struct cyp_topology *topology,
                   cy_time_ns now, cy_time_ns limit)
{
  cy_time_ns idle_limit = longest_window (topology) + IDLE_EXTRA_NS;
  cy_time_ns start = now;
  struct cyp_simulation result = { 0, INFINITY };
  while (now - start <= limit && now - start - result.duration <= idle_limit)
    {
      for (unsigned s = 0; s < topology->services; s++)
        if (plan->services[s] != NULL)
          simulate_measurements (plan->services[s], topology->zones, now);
      cyp_plan_run (plan, topology, now);
      double remaining_per_s = drained_load_per_s (plan, topology);
      if (result.remaining_per_s - remaining_per_s > MOVED_MIN_PER_S)
        result.duration = now - start;
      result.remaining_per_s = remaining_per_s;
      if (remaining_per_s < MOVED_MIN_PER_S)
        break;
      now += STEP_NS;
    }
  return result;
}

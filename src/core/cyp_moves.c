/* Traffic moves of one run, each within the limits of cap, capacity and
   links.  */

#include <math.h>

#include "core/cyp_internal.h"

#define REFUSED_SLICES 4 /* rounds in which refused traffic is distributed */
#define MOVE_MIN_SHARE 0.005 /* share; smaller optional moves are not made */
#define ALL_REGIONS    CYP_REGIONS_MAX
#define ZONE_NONE      CYP_ZONES_MAX

/* Traffic to be moved and the zones that may receive it.  */
struct target
{
  unsigned origin; /* region of the callers whose traffic moves */
  /* Zone that the traffic leaves; ZONE_NONE for refused traffic.  */
  unsigned excluded_zone;
  unsigned region_limit; /* number of nearest regions that may receive it */
  double reserve; /* share of capacity kept free in addition to the headroom */
};

static struct cyp_flow *
started_flow (const struct cyp_run *run, unsigned origin)
{
  struct cyp_flow *flow = run->service->flows[origin];
  return flow != NULL && flow->shift.started ? flow : NULL;
}

static bool
is_open (const struct cyp_run *run, unsigned zone)
{
  const struct cyp_cell *cell = run->service->cells[zone];
  return cell != NULL && cell->capacity.state == CYP_ZONE_OPEN;
}

/* Returns the requests a second that may be added to ZONE.  Recently added and
   new traffic cost more until the caches are warm.  */
static double
zone_spare_capacity (const struct cyp_run *run, unsigned zone, double reserve)
{
  if (!is_open (run, zone))
    return 0;
  const struct cyp_cell *cell = run->service->cells[zone];
  double limit_per_s = (1 - run->topology->headroom - reserve)
                       * cell->capacity.capacity_per_s;
  double used_per_s
      = run->load_per_s[zone] + (CYP_COLD_FACTOR - 1) * cell->cold_per_s;
  double spare = (limit_per_s - used_per_s) / CYP_COLD_FACTOR;
  return spare > 0 ? spare : 0;
}

static double
link_spare_capacity (const struct cyp_run *run, unsigned from, unsigned to)
{
  if (from == to)
    return INFINITY;
  double limit_bits_per_s = (1 - run->topology->headroom)
                            * run->topology->link_bits_per_s[from][to];
  double spare = (limit_bits_per_s - run->link_bits_used[from][to])
                 / CYP_DEFAULT_REQUEST_BITS;
  return spare > 0 ? spare : 0;
}

/* Assigns ADDED_PER_S requests a second of ORIGIN to ZONE.  */
static void
zone_add_traffic (struct cyp_run *run, unsigned origin, unsigned zone,
                  double added_per_s)
{
  struct cyp_flow *flow = run->service->flows[origin];
  struct cyp_cell *cell = run->service->cells[zone];
  double share = added_per_s / flow->demand_per_s;
  unsigned region = run->topology->zone_region[zone];
  flow->shift.weight[zone] += share;
  run->load_per_s[zone] += added_per_s;
  run->planned_per_s[zone] += added_per_s;
  run->link_bits_used[origin][region]
      += added_per_s * CYP_DEFAULT_REQUEST_BITS;
  run->remaining_share[origin]
      = fmax (0, run->remaining_share[origin] - share);
  cell->cold_per_s += added_per_s;
  cyp_ledger_add (&flow->shift.ledger, &run->topology->cap[run->service_id],
                  share, run->now);
}

/* Returns the requests a second that may be moved to REGION from other
   regions: the sum over the zones of REGION, so that the spare capacity that
   an overloaded zone of REGION needs stays free.  */
static double
region_spare_capacity (const struct cyp_run *run, unsigned region,
                       double reserve)
{
  double spare = 0;
  for (unsigned z = 0; z < run->topology->zones; z++)
    {
      const struct cyp_cell *cell = run->service->cells[z];
      if (run->topology->zone_region[z] != region || cell == NULL)
        continue;
      double limit_per_s = 0;
      if (is_open (run, z))
        limit_per_s = (1 - run->topology->headroom - reserve)
                      * cell->capacity.capacity_per_s;
      else if (cell->capacity.state == CYP_ZONE_HELD)
        limit_per_s = fmin (cell->capacity.capacity_per_s, run->load_per_s[z]);
      spare += limit_per_s - run->load_per_s[z]
               - (CYP_COLD_FACTOR - 1) * cell->cold_per_s;
    }
  return spare > 0 ? spare / CYP_COLD_FACTOR : 0;
}

static bool
is_source_region (const struct cyp_run *run, const struct target *target,
                  unsigned region)
{
  return target->excluded_zone != ZONE_NONE
         && run->topology->zone_region[target->excluded_zone] == region;
}

static double
region_add_traffic (struct cyp_run *run, const struct target *target,
                    unsigned region, double wanted_per_s)
{
  double spare[CYP_ZONES_MAX] = { 0 };
  double total_spare = 0;
  for (unsigned z = 0; z < run->topology->zones; z++)
    {
      if (run->topology->zone_region[z] != region
          || z == target->excluded_zone)
        continue;
      spare[z] = zone_spare_capacity (run, z, target->reserve);
      total_spare += spare[z];
    }
  double accepted_per_s = fmin (wanted_per_s, total_spare);
  accepted_per_s = fmin (accepted_per_s,
                         link_spare_capacity (run, target->origin, region));
  if (!is_source_region (run, target, region))
    accepted_per_s = fmin (
        accepted_per_s, region_spare_capacity (run, region, target->reserve));
  if (accepted_per_s <= 0)
    return 0;
  for (unsigned z = 0; z < run->topology->zones; z++)
    if (spare[z] > 0)
      zone_add_traffic (run, target->origin, z,
                        accepted_per_s * spare[z] / total_spare);
  return accepted_per_s;
}

/* Assigns up to WANTED_PER_S requests a second to the nearest regions with
   spare capacity.  Returns the requests a second that were assigned.  */
static double
add_to_nearest (struct cyp_run *run, const struct target *target,
                double wanted_per_s)
{
  double demand_per_s = run->service->flows[target->origin]->demand_per_s;
  double added_per_s = 0;
  wanted_per_s = fmin (wanted_per_s,
                       run->remaining_share[target->origin] * demand_per_s);
  for (unsigned i = 0; i < run->topology->regions && i < target->region_limit;
       i++)
    {
      if (wanted_per_s - added_per_s <= 0)
        break;
      unsigned region = run->regions_by_latency[target->origin][i];
      added_per_s += region_add_traffic (run, target, region,
                                         wanted_per_s - added_per_s);
    }
  return added_per_s;
}

static void
zone_remove_traffic (struct cyp_run *run, unsigned origin, unsigned zone,
                     double removed_per_s)
{
  struct cyp_flow *flow = run->service->flows[origin];
  double *weight = &flow->shift.weight[zone];
  *weight -= removed_per_s / flow->demand_per_s;
  if (*weight < CYP_WEIGHT_MIN)
    *weight = 0;
  run->load_per_s[zone] = fmax (0, run->load_per_s[zone] - removed_per_s);
  run->planned_per_s[zone]
      = fmax (0, run->planned_per_s[zone] - removed_per_s);
  run->link_bits_used[origin][run->topology->zone_region[zone]]
      -= removed_per_s * CYP_DEFAULT_REQUEST_BITS;
}

/* Moves up to WANTED_PER_S requests a second of the origin's traffic out of
   the excluded zone of TARGET.  Returns the requests a second moved.  */
static double
move_traffic (struct cyp_run *run, const struct target *target,
              double wanted_per_s)
{
  double moved_per_s = add_to_nearest (run, target, wanted_per_s);
  if (moved_per_s > 0)
    zone_remove_traffic (run, target->origin, target->excluded_zone,
                         moved_per_s);
  return moved_per_s;
}

static double
flow_refused_per_s (const struct cyp_run *run, const struct cyp_flow *flow)
{
  double sum = 0;
  for (unsigned z = 0; z < run->topology->zones; z++)
    sum += flow->shift.weight[z];
  double refused_per_s = (1 - sum) * flow->demand_per_s;
  return refused_per_s > CYP_WEIGHT_MIN * CYP_ZONES_MAX * flow->demand_per_s
             ? refused_per_s
             : 0;
}

/* Assigns refused traffic to zones, one slice per origin and round, so that
   the origins share scarce capacity.  */
static void
place_refused (struct cyp_run *run)
{
  unsigned regions = run->topology->regions;
  double wanted_per_s[CYP_REGIONS_MAX] = { 0 };
  for (unsigned o = 0; o < regions; o++)
    if (started_flow (run, o) != NULL)
      wanted_per_s[o] = flow_refused_per_s (run, started_flow (run, o));
  for (unsigned slice = 0; slice < REFUSED_SLICES; slice++)
    for (unsigned i = 0; i < regions; i++)
      {
        unsigned o = (run->rotation + i) % regions;
        struct target target = { o, ZONE_NONE, ALL_REGIONS, 0 };
        if (wanted_per_s[o] > 0
            && add_to_nearest (run, &target, wanted_per_s[o] / REFUSED_SLICES)
                   > 0)
          run->service->calm_since = run->now;
      }
}

/* Moves up to EXCESS_PER_S requests a second out of ZONE, from every origin in
   proportion to its traffic.  */
static void
move_out_of_zone (struct cyp_run *run, unsigned zone, double excess_per_s,
                  double reserve)
{
  double origin_per_s[CYP_REGIONS_MAX] = { 0 };
  double total_per_s = 0;
  for (unsigned o = 0; o < run->topology->regions; o++)
    {
      const struct cyp_flow *flow = started_flow (run, o);
      if (flow != NULL)
        origin_per_s[o] = flow->demand_per_s * flow->shift.weight[zone];
      total_per_s += origin_per_s[o];
    }
  for (unsigned o = 0; o < run->topology->regions && total_per_s > 0; o++)
    {
      struct target target = { o, zone, ALL_REGIONS, reserve };
      double wanted_per_s = fmin (
          origin_per_s[o], excess_per_s * origin_per_s[o] / total_per_s);
      if (wanted_per_s > 0 && move_traffic (run, &target, wanted_per_s) > 0)
        run->service->calm_since = run->now;
    }
}

static void
empty_drained_zones (struct cyp_run *run)
{
  for (unsigned z = 0; z < run->topology->zones; z++)
    {
      const struct cyp_cell *cell = run->service->cells[z];
      if (cell != NULL && cell->capacity.state == CYP_ZONE_DRAINED)
        move_out_of_zone (run, z, INFINITY, 0);
    }
}

/* Returns true while so many caches of ZONE are cold that the measurements
   understate its capacity.  */
static bool
has_cold_caches (const struct cyp_run *run, unsigned zone)
{
  const struct cyp_cell *cell = run->service->cells[zone];
  return cell->cold_per_s > CYP_HYSTERESIS * cell->capacity.capacity_per_s;
}

/* Moves traffic out of zones that are loaded above their capacity less
   headroom.  A zone counts as overloaded when both its planned and its
   measured load exceed the limit.  A zone with cold caches, which appears
   slow, counts only if it is saturated.  */
static void
relieve_overloaded (struct cyp_run *run)
{
  double limit = 1 - run->topology->headroom;
  double trigger = limit + fmax (CYP_HYSTERESIS, run->topology->headroom / 2);
  for (unsigned z = 0; z < run->topology->zones; z++)
    {
      const struct cyp_cell *cell = run->service->cells[z];
      if (!is_open (run, z)
          || (has_cold_caches (run, z) && !cell->is_saturated))
        continue;
      double capacity_per_s = cell->capacity.capacity_per_s;
      double load_per_s = fmin (run->planned_per_s[z], cell->offered_per_s);
      if (load_per_s > trigger * capacity_per_s)
        move_out_of_zone (run, z, load_per_s - limit * capacity_per_s,
                          load_per_s > capacity_per_s ? 0 : CYP_HYSTERESIS);
    }
}

/* Returns the number of regions that are nearer to ORIGIN than the region of
   ZONE.  */
static unsigned
count_nearer_regions (const struct cyp_run *run, unsigned origin,
                      unsigned zone)
{
  const double *ms = run->topology->link_ms[origin];
  unsigned region = run->topology->zone_region[zone];
  unsigned nearer = 0;
  for (unsigned r = 0; r < run->topology->regions; r++)
    nearer += ms[r] < ms[region];
  return nearer;
}

/* Moves ORIGIN's traffic back from farther to nearer regions.  */
static void
move_to_nearer_regions (struct cyp_run *run, unsigned origin)
{
  struct cyp_flow *flow = started_flow (run, origin);
  for (unsigned z = 0; flow != NULL && z < run->topology->zones; z++)
    {
      if (flow->shift.weight[z] < MOVE_MIN_SHARE || !is_open (run, z))
        continue;
      struct target target
          = { origin, z, count_nearer_regions (run, origin, z),
              2 * CYP_HYSTERESIS };
      move_traffic (run, &target, flow->demand_per_s * flow->shift.weight[z]);
    }
}

static double
zone_utilization (const struct cyp_run *run, unsigned zone)
{
  double capacity_per_s = run->service->cells[zone]->capacity.capacity_per_s;
  return capacity_per_s > 0 ? run->planned_per_s[zone] / capacity_per_s : 0;
}

/* Returns the share of ORIGIN's traffic that is served in other regions or
   refused.  */
static double
remote_share (const struct cyp_run *run, unsigned origin)
{
  double share = 1;
  for (unsigned z = 0; z < run->topology->zones; z++)
    if (run->topology->zone_region[z] == origin)
      share -= started_flow (run, origin)->shift.weight[z];
  return share;
}

/* Equalizes the utilization of the most and the least utilized open zone of
   REGION.  */
static void
balance_region (struct cyp_run *run, unsigned region)
{
  unsigned fullest = ZONE_NONE;
  unsigned emptiest = ZONE_NONE;
  for (unsigned z = 0; z < run->topology->zones; z++)
    {
      if (run->topology->zone_region[z] != region || !is_open (run, z))
        continue;
      if (has_cold_caches (run, z))
        return;
      if (fullest == ZONE_NONE
          || zone_utilization (run, z) > zone_utilization (run, fullest))
        fullest = z;
      if (emptiest == ZONE_NONE
          || zone_utilization (run, z) < zone_utilization (run, emptiest))
        emptiest = z;
    }
  if (fullest == emptiest
      || zone_utilization (run, fullest) - zone_utilization (run, emptiest)
             < CYP_BALANCE_HYSTERESIS)
    return;
  double fullest_capacity
      = run->service->cells[fullest]->capacity.capacity_per_s;
  double emptiest_capacity
      = run->service->cells[emptiest]->capacity.capacity_per_s;
  double excess_per_s = (run->planned_per_s[fullest] * emptiest_capacity
                         - run->planned_per_s[emptiest] * fullest_capacity)
                        / (fullest_capacity + emptiest_capacity);
  /* Only local traffic is moved, and only when none of it is served in other
     regions: the spare capacity of the emptier zone is needed first to bring
     that traffic back.  */
  if (started_flow (run, region) == NULL
      || remote_share (run, region) > MOVE_MIN_SHARE)
    return;
  struct target target = { region, fullest, 1, CYP_HYSTERESIS };
  const struct cyp_flow *flow = started_flow (run, region);
  move_traffic (
      run, &target,
      fmin (excess_per_s, flow->demand_per_s * flow->shift.weight[fullest]));
}

/* Refuses traffic of other regions in a saturated ZONE when no other zone can
   accept it.  The plan itself sent that traffic to the zone.  */
static void
shed_remote (struct cyp_run *run, unsigned zone)
{
  const struct cyp_cell *cell = run->service->cells[zone];
  double load_per_s = fmin (run->planned_per_s[zone], cell->offered_per_s);
  double excess_per_s = load_per_s - cell->capacity.capacity_per_s;
  if (!cell->is_saturated || excess_per_s <= CYP_HYSTERESIS * load_per_s)
    return;
  double remote_per_s = 0;
  unsigned region = run->topology->zone_region[zone];
  for (unsigned o = 0; o < run->topology->regions; o++)
    if (o != region && started_flow (run, o) != NULL)
      remote_per_s += started_flow (run, o)->demand_per_s
                      * started_flow (run, o)->shift.weight[zone];
  for (unsigned o = 0; o < run->topology->regions && remote_per_s > 0; o++)
    {
      const struct cyp_flow *flow = started_flow (run, o);
      if (o == region || flow == NULL)
        continue;
      double portion
          = flow->demand_per_s * flow->shift.weight[zone] / remote_per_s;
      zone_remove_traffic (run, o, zone,
                           portion * fmin (excess_per_s, remote_per_s));
    }
}

void
cyp_moves_apply (struct cyp_run *run)
{
  place_refused (run);
  empty_drained_zones (run);
  relieve_overloaded (run);
  for (unsigned z = 0; z < run->topology->zones; z++)
    if (is_open (run, z))
      shed_remote (run, z);
  if (run->now - run->service->calm_since < CYP_CALM_PERIOD_NS)
    return;
  for (unsigned o = 0; o < run->topology->regions; o++)
    move_to_nearer_regions (run, o);
  for (unsigned r = 0; r < run->topology->regions; r++)
    balance_region (run, r);
}

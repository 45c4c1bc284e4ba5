#include "core/cyp_plan.h"

#include <math.h>
#include <string.h>

#include "core/cyp_internal.h"

/* Time constant in ns of the smoothing of demand.  */
#define DEMAND_TIME_CONSTANT_NS (3 * CY_NS_PER_S)
/* Time constant in ns of the smoothing of demand while callers move between
   zones.  */
#define DEMAND_SHIFT_TIME_CONSTANT_NS (20 * CY_NS_PER_S)
/* Share of an origin's traffic in transition from which callers count as
   moving.  */
#define SHIFTING_SHARE_MIN 0.05
/* Share of the assigned weights that must be in effect for a measurement of
   demand.  */
#define ARRIVED_SHARE_MIN 0.25
/* Share of a zone's expected traffic that must come from one origin for the
   zone to measure the demand of that origin.  */
#define DOMINANT_SHARE 0.9
/* Time constant with which callers follow new weights, in ns.  */
#define LOOKUP_TIME_CONSTANT_NS (5 * CY_NS_PER_S)

struct cyp_plan *
cyp_plan_create (void)
{
  return g_new0 (struct cyp_plan, 1);
}

static void
service_destroy (struct cyp_service *service)
{
  for (unsigned z = 0; z < CYP_ZONES_MAX; z++)
    g_free (service->cells[z]);
  for (unsigned r = 0; r < CYP_REGIONS_MAX; r++)
    g_free (service->flows[r]);
  g_free (service);
}

void
cyp_plan_destroy (struct cyp_plan *plan)
{
  if (plan == NULL)
    return;
  for (unsigned s = 0; s < CYP_SERVICES_MAX; s++)
    if (plan->services[s] != NULL)
      service_destroy (plan->services[s]);
  g_free (plan);
}

static struct cyp_service *
service_copy (const struct cyp_service *from)
{
  struct cyp_service *service = g_memdup2 (from, sizeof *from);
  for (unsigned z = 0; z < CYP_ZONES_MAX; z++)
    service->cells[z] = g_memdup2 (from->cells[z], sizeof *from->cells[z]);
  for (unsigned r = 0; r < CYP_REGIONS_MAX; r++)
    service->flows[r] = g_memdup2 (from->flows[r], sizeof *from->flows[r]);
  return service;
}

struct cyp_plan *
cyp_plan_copy (const struct cyp_plan *plan)
{
  struct cyp_plan *copy = g_memdup2 (plan, sizeof *plan);
  for (unsigned s = 0; s < CYP_SERVICES_MAX; s++)
    if (plan->services[s] != NULL)
      copy->services[s] = service_copy (plan->services[s]);
  return copy;
}

static struct cyp_service *
service_get (struct cyp_plan *plan, unsigned service)
{
  if (plan->services[service] == NULL)
    plan->services[service] = g_new0 (struct cyp_service, 1);
  return plan->services[service];
}

static struct cyp_flow *
flow_get (struct cyp_service *service, unsigned origin)
{
  if (service->flows[origin] == NULL)
    service->flows[origin] = g_new0 (struct cyp_flow, 1);
  return service->flows[origin];
}

void
cyp_plan_adopt (struct cyp_plan *plan, unsigned service, unsigned origin,
                const double *weights, unsigned zones,
                const struct cyp_cap *cap, cy_time_ns now)
{
  struct cyp_flow *flow = flow_get (service_get (plan, service), origin);
  cyp_shift_start (&flow->shift, weights, zones);
  memcpy (flow->effective_weight, weights, zones * sizeof *weights);
  cyp_ledger_add (&flow->shift.ledger, cap, cap->fraction, now);
  flow->demand_per_s = fmax (flow->demand_per_s, CYP_DEMAND_MIN_PER_S);
}

static enum cyp_zone_state
classify_zone (const struct cyp_run *run, unsigned zone)
{
  const struct cyp_cell *cell = run->service->cells[zone];
  if (run->topology->zone_lost[zone] || !run->topology->zone_declared[zone])
    return CYP_ZONE_LOST;
  if (cell == NULL || !cell->is_measured)
    return CYP_ZONE_UNKNOWN;
  if (run->now - cell->measured_at > CYP_STALE_AFTER_NS)
    return CYP_ZONE_HELD;
  if (cell->empty_since != 0
      && run->now - cell->empty_since >= CYP_EMPTY_TIMEOUT_NS)
    return CYP_ZONE_LOST;
  if (run->topology->zone_drained[zone])
    return CYP_ZONE_DRAINED;
  return CYP_ZONE_OPEN;
}

static void
zones_classify (struct cyp_run *run, cy_time_ns elapsed)
{
  for (unsigned z = 0; z < run->topology->zones; z++)
    {
      struct cyp_cell *cell = run->service->cells[z];
      enum cyp_zone_state state = classify_zone (run, z);
      if (cell == NULL)
        continue;
      if (state != cell->capacity.state)
        run->service->calm_since = run->now;
      cell->capacity.state = state;
      cyp_cell_warm_up (cell, elapsed);
      cell->capacity.capacity_per_s
          = cyp_cell_capacity (run->service, z, run->now);
    }
}

/* Sets the weights of lost zones to 0, and the effective weights too, because
   callers of a lost zone look up again at once.  */
static void
zones_drop_lost (struct cyp_run *run)
{
  for (unsigned o = 0; o < run->topology->regions; o++)
    {
      struct cyp_flow *flow = run->service->flows[o];
      for (unsigned z = 0; flow != NULL && z < run->topology->zones; z++)
        {
          const struct cyp_cell *cell = run->service->cells[z];
          enum cyp_zone_state state
              = cell == NULL ? classify_zone (run, z) : cell->capacity.state;
          if (state == CYP_ZONE_LOST)
            flow->shift.weight[z] = flow->effective_weight[z] = 0;
        }
    }
}

/* Updates the effective weights.  Callers cache a lookup's answer, so they
   follow new weights with a delay.  */
static void
effective_weights_update (struct cyp_run *run, cy_time_ns elapsed)
{
  double fraction
      = 1 - exp (-(double)elapsed / (double)LOOKUP_TIME_CONSTANT_NS);
  for (unsigned o = 0; o < run->topology->regions; o++)
    {
      struct cyp_flow *flow = run->service->flows[o];
      for (unsigned z = 0; flow != NULL && z < run->topology->zones; z++)
        flow->effective_weight[z]
            += fraction * (flow->shift.weight[z] - flow->effective_weight[z]);
    }
}

static double
shifting_share (const struct cyp_run *run, const struct cyp_flow *flow)
{
  double share = 0;
  for (unsigned z = 0; z < run->topology->zones; z++)
    share += fabs (flow->shift.weight[z] - flow->effective_weight[z]);
  return share / 2;
}

/* Sums of one run from which the demand is estimated.  */
struct demand_sums
{
  /* Requests a second that each zone receives by the previous estimates.  */
  double expected_per_s[CYP_ZONES_MAX];
  double total_offered_per_s;  /* offered to all measured zones */
  double total_expected_per_s; /* expected in all measured zones */
};

static void
demand_sums_add (const struct cyp_run *run, struct demand_sums *sums)
{
  for (unsigned z = 0; z < run->topology->zones; z++)
    {
      const struct cyp_cell *cell = run->service->cells[z];
      bool is_measured = cell != NULL
                         && (cell->capacity.state == CYP_ZONE_OPEN
                             || cell->capacity.state == CYP_ZONE_DRAINED);
      if (!is_measured)
        continue;
      for (unsigned o = 0; o < run->topology->regions; o++)
        if (run->service->flows[o] != NULL)
          sums->expected_per_s[z]
              += run->service->flows[o]->demand_per_s
                 * run->service->flows[o]->effective_weight[z];
      sums->total_offered_per_s += cell->offered_per_s;
      sums->total_expected_per_s += sums->expected_per_s[z];
    }
}

/* Returns the measured demand of FLOW in requests a second.  It is measured on
   zones that serve almost only FLOW.  Without enough of these, the demand is
   scaled by the change of the total traffic.  */
static double
demand_measured (const struct cyp_run *run, const struct cyp_flow *flow,
                 const struct demand_sums *sums)
{
  double sent_per_s = 0;
  double arrived_share = 0;
  double assigned_share = 0;
  for (unsigned z = 0; z < run->topology->zones; z++)
    {
      double own_per_s = flow->demand_per_s * flow->effective_weight[z];
      assigned_share += flow->shift.weight[z];
      if (sums->expected_per_s[z] <= 0
          || own_per_s < DOMINANT_SHARE * sums->expected_per_s[z])
        continue;
      double others_per_s = sums->expected_per_s[z] - own_per_s;
      sent_per_s
          += fmax (0, run->service->cells[z]->offered_per_s - others_per_s);
      arrived_share += flow->effective_weight[z];
    }
  if (arrived_share
      >= fmax (ARRIVED_SHARE_MIN * assigned_share, CYP_HYSTERESIS))
    return sent_per_s / arrived_share;
  if (sums->total_expected_per_s <= 0)
    return flow->demand_per_s;
  return flow->demand_per_s * sums->total_offered_per_s
         / sums->total_expected_per_s;
}

/* Estimates the demand of each origin from the measurements of the zones and
   the effective weights.  */
static void
demand_update (struct cyp_run *run, cy_time_ns elapsed)
{
  struct demand_sums sums = { 0 };
  double measured_per_s[CYP_REGIONS_MAX] = { 0 };
  demand_sums_add (run, &sums);
  for (unsigned o = 0; o < run->topology->regions; o++)
    if (run->service->flows[o] != NULL)
      measured_per_s[o] = demand_measured (run, run->service->flows[o], &sums);
  for (unsigned o = 0; o < run->topology->regions; o++)
    {
      struct cyp_flow *flow = run->service->flows[o];
      if (flow == NULL)
        continue;
      bool is_shifting = shifting_share (run, flow) > SHIFTING_SHARE_MIN;
      double time_constant = is_shifting ? DEMAND_SHIFT_TIME_CONSTANT_NS
                                         : DEMAND_TIME_CONSTANT_NS;
      double fraction = 1 - exp (-(double)elapsed / time_constant);
      flow->demand_per_s
          += fraction * (measured_per_s[o] - flow->demand_per_s);
      flow->demand_per_s = fmax (flow->demand_per_s, CYP_DEMAND_MIN_PER_S);
    }
}

static void
regions_sort (struct cyp_run *run)
{
  unsigned regions = run->topology->regions;
  for (unsigned o = 0; o < regions; o++)
    for (unsigned r = 0; r < regions; r++)
      {
        const double *latency_ms = run->topology->link_ms[o];
        unsigned index = r;
        while (index > 0
               && latency_ms[run->regions_by_latency[o][index - 1]]
                      > latency_ms[r])
          {
            run->regions_by_latency[o][index]
                = run->regions_by_latency[o][index - 1];
            index--;
          }
        run->regions_by_latency[o][index] = (uint16_t)r;
      }
}

/* Returns true when every declared zone has reported a measurement, or
   CYP_START_TIMEOUT_NS has passed since the first run.  */
static bool
may_start (const struct cyp_run *run)
{
  if (run->now - run->service->first_run_at >= CYP_START_TIMEOUT_NS)
    return true;
  for (unsigned z = 0; z < run->topology->zones; z++)
    if (run->topology->zone_declared[z]
        && (run->service->cells[z] == NULL
            || !run->service->cells[z]->is_measured))
      return false;
  return true;
}

/* Returns true when ORIGIN has no weights yet or the service has no traffic,
   so that new weights shift no traffic.  */
static bool
may_place (const struct cyp_run *run, unsigned origin)
{
  const struct cyp_flow *flow = run->service->flows[origin];
  if (flow == NULL || !flow->shift.started)
    return true;
  double offered_per_s = flow->demand_per_s;
  for (unsigned z = 0; z < run->topology->zones; z++)
    {
      const struct cyp_cell *cell = run->service->cells[z];
      if (cell == NULL)
        continue;
      if (cell->capacity.state == CYP_ZONE_HELD)
        return false;
      offered_per_s += cell->offered_per_s;
    }
  return offered_per_s < CYP_IDLE_PER_S;
}

/* Sets the initial weights of ORIGIN: the open zones of the nearest region
   that has any, in proportion to their capacity.  */
static void
flow_start (struct cyp_run *run, unsigned origin)
{
  double weights[CYP_ZONES_MAX] = { 0 };
  double total_per_s = 0;
  for (unsigned rank = 0; rank < run->topology->regions && total_per_s <= 0;
       rank++)
    for (unsigned z = 0; z < run->topology->zones; z++)
      {
        const struct cyp_cell *cell = run->service->cells[z];
        if (cell == NULL || cell->capacity.state != CYP_ZONE_OPEN
            || run->topology->zone_region[z]
                   != run->regions_by_latency[origin][rank])
          continue;
        weights[z] = cell->capacity.capacity_per_s;
        total_per_s += weights[z];
      }
  if (total_per_s <= 0)
    return;
  for (unsigned z = 0; z < run->topology->zones; z++)
    weights[z] /= total_per_s;
  struct cyp_flow *flow = flow_get (run->service, origin);
  cyp_shift_start (&flow->shift, weights, run->topology->zones);
  memcpy (flow->effective_weight, weights, sizeof flow->effective_weight);
  flow->demand_per_s = fmax (flow->demand_per_s, CYP_DEMAND_MIN_PER_S);
}

/* Computes the load of zones and links from the current weights.  A zone that
   measures a higher load counts with the measured load.  */
static void
expected_loads_compute (struct cyp_run *run)
{
  const struct cyp_topology *topology = run->topology;
  for (unsigned o = 0; o < topology->regions; o++)
    {
      const struct cyp_flow *flow = run->service->flows[o];
      if (flow == NULL)
        continue;
      run->remaining_share[o] = cyp_ledger_remaining (
          &flow->shift.ledger, &topology->cap[run->service_id], run->now);
      for (unsigned z = 0; z < topology->zones; z++)
        {
          double load_per_s = flow->demand_per_s * flow->shift.weight[z];
          run->planned_per_s[z] += load_per_s;
          run->link_bits_used[o][topology->zone_region[z]]
              += load_per_s * CYP_DEFAULT_REQUEST_BITS;
        }
    }
  for (unsigned z = 0; z < topology->zones; z++)
    {
      const struct cyp_cell *cell = run->service->cells[z];
      run->load_per_s[z] = run->planned_per_s[z];
      if (cell != NULL && cell->capacity.state == CYP_ZONE_OPEN)
        run->load_per_s[z] = fmax (run->load_per_s[z], cell->offered_per_s);
    }
}

static void
service_run (struct cyp_plan *plan, const struct cyp_topology *topology,
             unsigned service_id, cy_time_ns now)
{
  struct cyp_run run = { .topology = topology,
                         .service = plan->services[service_id],
                         .service_id = service_id,
                         .rotation = plan->rotation,
                         .now = now };
  cy_time_ns elapsed = plan->last_run_at == 0 ? 0 : now - plan->last_run_at;
  zones_classify (&run, elapsed);
  regions_sort (&run);
  effective_weights_update (&run, elapsed);
  demand_update (&run, elapsed);
  zones_drop_lost (&run);
  if (run.service->first_run_at == 0)
    run.service->first_run_at = now;
  bool is_ready = may_start (&run);
  for (unsigned o = 0; is_ready && o < topology->regions; o++)
    if (may_place (&run, o))
      flow_start (&run, o);
  expected_loads_compute (&run);
  cyp_moves_apply (&run);
  for (unsigned z = 0; z < topology->zones; z++)
    if (run.service->cells[z] != NULL)
      run.service->cells[z]->capacity.expected_per_s = run.load_per_s[z];
}

void
cyp_plan_run (struct cyp_plan *plan, const struct cyp_topology *topology,
              cy_time_ns now)
{
  for (unsigned s = 0; s < topology->services; s++)
    if (plan->services[s] != NULL)
      service_run (plan, topology, s, now);
  plan->last_run_at = now;
  plan->rotation++;
}

const double *
cyp_plan_weights (const struct cyp_plan *plan, unsigned service,
                  unsigned origin)
{
  const struct cyp_service *state = plan->services[service];
  if (state == NULL || state->flows[origin] == NULL
      || !state->flows[origin]->shift.started)
    return NULL;
  return state->flows[origin]->shift.weight;
}

double
cyp_plan_demand (const struct cyp_plan *plan, unsigned service,
                 unsigned origin)
{
  const struct cyp_service *state = plan->services[service];
  if (state == NULL || state->flows[origin] == NULL)
    return 0;
  return state->flows[origin]->demand_per_s;
}

struct cyp_zone_capacity
cyp_plan_zone_capacity (const struct cyp_plan *plan, unsigned service,
                        unsigned zone)
{
  const struct cyp_service *state = plan->services[service];
  if (state == NULL || state->cells[zone] == NULL)
    return (struct cyp_zone_capacity){ CYP_ZONE_UNKNOWN, 0, 0 };
  return state->cells[zone]->capacity;
}

double
cyp_plan_capacity_without (const struct cyp_plan *plan, unsigned service,
                           unsigned zone, unsigned slots)
{
  const struct cyp_service *state = plan->services[service];
  if (state == NULL || state->cells[zone] == NULL
      || state->cells[zone]->slots <= 0)
    return 0;
  double portion = 1 - slots / state->cells[zone]->slots;
  return portion > 0 ? portion * state->cells[zone]->capacity.capacity_per_s
                     : 0;
}

bool
cyp_plan_can_spare (const struct cyp_plan *plan, unsigned service,
                    double headroom)
{
  const struct cyp_service *state = plan->services[service];
  unsigned open_count = 0;
  for (unsigned z = 0; state != NULL && z < CYP_ZONES_MAX; z++)
    {
      const struct cyp_cell *cell = state->cells[z];
      if (cell == NULL || cell->capacity.state != CYP_ZONE_OPEN)
        continue;
      unsigned slots = (unsigned)ceil (cell->slots_per_backend);
      double remaining_per_s
          = cyp_plan_capacity_without (plan, service, z, slots);
      if (cell->capacity.expected_per_s > (1 - headroom) * remaining_per_s)
        return false;
      open_count++;
    }
  return open_count > 0;
}

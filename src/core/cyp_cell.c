/* State of one service in one zone: load, capacity and warm-up.  */

#include <math.h>

#include "core/cyp_internal.h"

/* Time constant of the smoothing of measurements, in ns.  */
#define MEASUREMENT_TIME_CONSTANT_NS (3 * CY_NS_PER_S)
/* Share of slots in use from which a zone is saturated.  */
#define SATURATED_SLOT_SHARE 0.95
/* Share of the offered requests that are refused above which a zone is
   saturated.  */
#define SATURATED_REFUSED_SHARE 0.02
/* Relative growth a second of the trusted slots of a backend server.  */
#define SLOT_GROWTH_PER_S 0.0002
/* Offered requests a second up to which refusals count as noise.  */
#define OFFERED_MIN_PER_S 1
/* Share of the slots' capacity a second by which the ceiling of a zone that is
   not saturated rises.  */
#define CEILING_GROWTH_PER_S 0.02
/* Share of the slots' capacity up to which the ceiling may rise without served
   requests.  */
#define CEILING_MIN_SHARE 0.02
/* The ceiling may rise up to this multiple of the served requests.  */
#define CEILING_SERVED_FACTOR 4
/* Time constant in s of the decay of failed_probes.  */
#define FAILED_PROBES_TIME_CONSTANT_S 300.0

static struct cyp_cell *
cell_get (struct cyp_plan *plan, unsigned service, unsigned zone)
{
  if (plan->services[service] == NULL)
    plan->services[service] = g_new0 (struct cyp_service, 1);
  struct cyp_cell **cell = &plan->services[service]->cells[zone];
  if (*cell == NULL)
    *cell = g_new0 (struct cyp_cell, 1);
  return *cell;
}

static double
smooth_value (double previous, double measured, cy_time_ns elapsed)
{
  double fraction
      = 1 - exp (-(double)elapsed / (double)MEASUREMENT_TIME_CONSTANT_NS);
  return previous + fraction * (measured - previous);
}

static void
cell_start (struct cyp_cell *cell, const struct cyp_load *load)
{
  cell->is_measured = true;
  if (load->backends > 0)
    cell->slots_per_backend = (double)load->slots / load->backends;
  cell->warm_slots = load->slots;
  cell->served_per_s = load->requests_per_s;
  cell->refused_per_s = load->refused_per_s;
  cell->in_flight = load->in_flight;
  cell->service_time_ms = load->service_time_ms;
}

static void
cell_smooth (struct cyp_cell *cell, const struct cyp_load *load,
             cy_time_ns elapsed)
{
  cell->served_per_s
      = smooth_value (cell->served_per_s, load->requests_per_s, elapsed);
  cell->refused_per_s
      = smooth_value (cell->refused_per_s, load->refused_per_s, elapsed);
  cell->in_flight = smooth_value (cell->in_flight, load->in_flight, elapsed);
  if (load->service_time_ms <= 0)
    return;
  cell->service_time_ms = cell->service_time_ms <= 0
                              ? load->service_time_ms
                              : smooth_value (cell->service_time_ms,
                                              load->service_time_ms, elapsed);
}

static double zone_service_time_ms (const struct cyp_service *service,
                                    unsigned zone);

/* The rate that a saturated zone serves is its capacity, whatever slots its
   servers report.  Without saturation the ceiling rises again; every raise
   that led to saturation slows it down.  */
static void
ceiling_update (const struct cyp_service *service, unsigned zone,
                const struct cyp_load *load, cy_time_ns elapsed)
{
  struct cyp_cell *cell = service->cells[zone];
  double slot_capacity
      = cell->slots * 1000 / zone_service_time_ms (service, zone);
  double offered_per_s = load->requests_per_s + load->refused_per_s;
  bool slots_full = cell->in_flight >= SATURATED_SLOT_SHARE * cell->slots;
  bool is_refusing
      = offered_per_s > OFFERED_MIN_PER_S
        && load->refused_per_s > SATURATED_REFUSED_SHARE * offered_per_s;
  double served_per_s = fmax (cell->served_per_s, load->requests_per_s);
  double elapsed_s = (double)elapsed / (double)CY_NS_PER_S;
  if (cell->slots > 0 && (slots_full || is_refusing))
    {
      if (cell->ceiling_per_s <= 0 || !cell->is_saturated)
        cell->failed_probes++;
      cell->ceiling_per_s = fmax (served_per_s, CYP_DEMAND_MIN_PER_S);
      cell->is_saturated = true;
      return;
    }
  cell->is_saturated = false;
  cell->failed_probes *= exp (-elapsed_s / FAILED_PROBES_TIME_CONSTANT_S);
  double ceiling_limit = fmax (CEILING_MIN_SHARE * slot_capacity,
                               CEILING_SERVED_FACTOR * served_per_s);
  if (cell->ceiling_per_s > 0 && cell->ceiling_per_s < ceiling_limit)
    cell->ceiling_per_s += slot_capacity * CEILING_GROWTH_PER_S * elapsed_s
                           * exp2 (-2 * (cell->failed_probes - 1));
  if (cell->ceiling_per_s >= slot_capacity)
    cell->ceiling_per_s = 0;
}

/* Returns the slots of a zone that are trusted.  When backend servers report
   more slots each than before, the trusted slots grow slowly, so that a false
   report does not attract traffic.  More servers count at once.  */
static double
trusted_slots (struct cyp_cell *cell, const struct cyp_load *load,
               cy_time_ns elapsed)
{
  if (load->backends == 0)
    return 0;
  double reported_per_backend = (double)load->slots / load->backends;
  if (cell->slots_per_backend <= 0)
    cell->slots_per_backend = reported_per_backend;
  if (reported_per_backend > cell->slots_per_backend)
    cell->slots_per_backend
        *= 1 + SLOT_GROWTH_PER_S * (double)elapsed / (double)CY_NS_PER_S;
  return fmin (reported_per_backend, cell->slots_per_backend) * load->backends;
}

void
cyp_plan_observe (struct cyp_plan *plan, unsigned service, unsigned zone,
                  const struct cyp_load *load, cy_time_ns now)
{
  struct cyp_cell *cell = cell_get (plan, service, zone);
  bool is_first = !cell->is_measured;
  cy_time_ns elapsed = is_first ? 0 : now - cell->measured_at;
  if (is_first)
    cell_start (cell, load);
  else
    cell->previous_capacity_per_s
        = cyp_cell_capacity (plan->services[service], zone, now);
  cell_smooth (cell, load, elapsed);
  cell->measured_at = now;
  cell->slots = trusted_slots (cell, load, elapsed);
  cell->warm_slots = fmin (cell->warm_slots, cell->slots);
  cell->offered_per_s = cell->served_per_s + cell->refused_per_s;
  if (cell->cold_per_s < CYP_HYSTERESIS * cell->offered_per_s)
    cell->warm_service_time_ms = cell->service_time_ms;
  bool is_empty = load->backends == 0 || load->slots == 0;
  if (!is_empty)
    cell->empty_since = 0;
  else if (cell->empty_since == 0)
    cell->empty_since = is_first ? now - CYP_EMPTY_TIMEOUT_NS : now;
  ceiling_update (plan->services[service], zone, load, elapsed);
}

/* Returns the service time with warm caches in ms.  Recently added traffic
   takes longer; zone_spare_capacity accounts for that cost, so it is removed
   here.  */
static double
cell_warm_service_time_ms (const struct cyp_cell *cell)
{
  double cold_share = cell->offered_per_s > 0
                          ? fmin (1, cell->cold_per_s / cell->offered_per_s)
                          : 0;
  if (cold_share < CYP_HYSTERESIS || cell->warm_service_time_ms <= 0)
    return cell->service_time_ms;
  return fmax (cell->warm_service_time_ms,
               cell->service_time_ms
                   / (1 + (CYP_COLD_FACTOR - 1) * cold_share));
}

/* Returns the service time of ZONE in ms; without a measurement, the longest
   of the other zones.  */
static double
zone_service_time_ms (const struct cyp_service *service, unsigned zone)
{
  if (service->cells[zone]->service_time_ms > 0)
    return cell_warm_service_time_ms (service->cells[zone]);
  double longest_ms = 0;
  for (unsigned z = 0; z < CYP_ZONES_MAX; z++)
    if (service->cells[z] != NULL)
      longest_ms
          = fmax (longest_ms, cell_warm_service_time_ms (service->cells[z]));
  return longest_ms > 0 ? longest_ms : CYP_DEFAULT_SERVICE_TIME_MS;
}

double
cyp_cell_capacity (const struct cyp_service *service, unsigned zone,
                   cy_time_ns now)
{
  const struct cyp_cell *cell = service->cells[zone];
  double capacity_per_s
      = cell->warm_slots * 1000 / zone_service_time_ms (service, zone);
  if (cell->ceiling_per_s > 0)
    capacity_per_s = fmin (capacity_per_s, cell->ceiling_per_s);
  bool is_aging = now - cell->measured_at > CYP_AGING_AFTER_NS;
  if (is_aging && cell->previous_capacity_per_s > 0)
    capacity_per_s = fmin (capacity_per_s, cell->previous_capacity_per_s);
  return capacity_per_s;
}

void
cyp_cell_warm_up (struct cyp_cell *cell, cy_time_ns elapsed)
{
  double fraction = (double)elapsed / (double)CYP_WARM_UP_NS;
  cell->cold_per_s *= exp (-fraction);
  cell->warm_slots
      = fmin (cell->slots, cell->warm_slots + cell->slots * fraction);
}

/* The steering plan: computes weights over availability zones, per service
   and region of origin, from delayed measurements of the zones.

   The owner adds measurements with cyp_plan_observe and calls cyp_plan_run
   once every planning interval.  A run moves traffic in the following order.
   Each move stays within the cap of the service, the capacity of the zone less
   headroom, and the limit of the link:

     1. refused traffic, to the nearest zone with spare capacity;
     2. out of drained zones;
     3. out of zones that are loaded above their capacity less headroom;
     4. back to nearer regions, and between zones of a region (only after
        CYP_CALM_PERIOD_NS without forced moves and without changes of zone
        states, and when the gain exceeds the hysteresis).

   The weight of a lost zone is set to 0 at once; traffic that fits in no other
   zone is refused.  A zone whose measurements are out of date keeps its
   traffic and receives no additional traffic.  Not thread-safe: callers must
   serialize the calls for one plan.  */

#ifndef CYP_PLAN_H
#define CYP_PLAN_H

#include "core/cyp_topology.h"

/* Maximum age in ns of a measurement; a zone with an older one keeps its
   traffic and receives no more.  */
#define CYP_STALE_AFTER_NS (5 * CY_NS_PER_S)
/* Age in ns of a measurement above which the lower of the last two capacities
   is used.  */
#define CYP_AGING_AFTER_NS (2 * CY_NS_PER_S)
/* Time in ns without backend servers after which a zone counts as lost.  */
#define CYP_EMPTY_TIMEOUT_NS (1 * CY_NS_PER_S)
/* Maximum wait for the first measurement of every zone, in ns.  */
#define CYP_START_TIMEOUT_NS (5 * CY_NS_PER_S)
/* Time in ns without forced moves and without changes of zone states before
   optional moves are made.  */
#define CYP_CALM_PERIOD_NS (10 * CY_NS_PER_S)
/* Warm-up time of a backend server and time constant of cache warm-up, in
   ns.  */
#define CYP_WARM_UP_NS (30 * CY_NS_PER_S)
/* Cost of a request on a cold cache, relative to a warm cache.  */
#define CYP_COLD_FACTOR 1.5
/* Hysteresis of load levels, as a share of a zone's capacity.  */
#define CYP_HYSTERESIS 0.05
/* Difference in utilization, as a share of capacity, from which traffic moves
   between zones of a region.  */
#define CYP_BALANCE_HYSTERESIS 0.15
/* Service time in ms that is assumed until one is measured.  */
#define CYP_DEFAULT_SERVICE_TIME_MS 50.0
/* Assumed traffic of one request on a link between regions, in bits.  */
#define CYP_DEFAULT_REQUEST_BITS 131072.0

/* A zone's measurement of one service.  */
struct cyp_load
{
  unsigned backends;      /* number of healthy backend servers */
  unsigned slots;         /* slots of the healthy backend servers */
  double in_flight;       /* requests in service */
  double requests_per_s;  /* requests served a second */
  double refused_per_s;   /* requests a second refused without a free slot */
  double service_time_ms; /* mean service time in ms; 0 when not measured */
};

/* State of a zone for one service, as classified by a run.  */
enum cyp_zone_state
{
  CYP_ZONE_UNKNOWN, /* no measurement received */
  CYP_ZONE_OPEN,    /* may receive traffic */
  CYP_ZONE_HELD,    /* last measurement older than CYP_STALE_AFTER_NS */
  CYP_ZONE_DRAINED, /* drained by an operator; its traffic is moved away */
  /* The zone has no backend servers, is not declared, or is unreachable by
     the zone_lost of the topology.  */
  CYP_ZONE_LOST
};

/* State and capacity of one zone in the latest run, for previews and
   tests.  */
struct cyp_zone_capacity
{
  enum cyp_zone_state state;
  /* Requests a second that the zone can serve, headroom included.  */
  double capacity_per_s;
  /* Requests a second once all callers follow the current weights.  */
  double expected_per_s;
};

struct cyp_plan;

/* Returns an empty plan; the caller frees it with cyp_plan_destroy.  */
struct cyp_plan *cyp_plan_create (void);
/* Frees PLAN; NULL is allowed.  */
void cyp_plan_destroy (struct cyp_plan *plan);

/* Returns a deep copy of PLAN for simulations; the caller frees it with
   cyp_plan_destroy.  */
struct cyp_plan *cyp_plan_copy (const struct cyp_plan *plan);

/* Adds LOAD, which ZONE measured for SERVICE at NOW.  */
void cyp_plan_observe (struct cyp_plan *plan, unsigned service, unsigned zone,
                       const struct cyp_load *load, cy_time_ns now);

/* Adopts the weights that a previous leader published.  The share that the
   previous leader moved within the window is unknown, so the full cap counts
   as used.  */
void cyp_plan_adopt (struct cyp_plan *plan, unsigned service, unsigned origin,
                     const double *weights, unsigned zones,
                     const struct cyp_cap *cap, cy_time_ns now);

/* Runs one step of the plan at NOW: updates the weights of all services.  */
void cyp_plan_run (struct cyp_plan *plan, const struct cyp_topology *topology,
                   cy_time_ns now);

/* Result of simulating a drain.  */
struct cyp_simulation
{
  cy_time_ns duration;    /* ns from the start to the last move of traffic */
  double remaining_per_s; /* requests a second that remain on drained zones */
};

/* Simulates runs of PLAN with the zones that TOPOLOGY drains, until no traffic
   moves any more or LIMIT ns of simulated time have passed.  Every zone with
   recent measurements is assumed to serve exactly the load that the plan
   assigns to it.  Modifies PLAN, so callers pass a copy.  */
struct cyp_simulation cyp_plan_simulate (struct cyp_plan *plan,
                                         const struct cyp_topology *topology,
                                         cy_time_ns now, cy_time_ns limit);

/* Returns the CYP_ZONES_MAX weights of ORIGIN, or NULL when ORIGIN has none
   yet.  The array belongs to PLAN.  */
const double *cyp_plan_weights (const struct cyp_plan *plan, unsigned service,
                                unsigned origin);

/* Returns the estimated demand of the callers of ORIGIN in requests a
   second.  */
double cyp_plan_demand (const struct cyp_plan *plan, unsigned service,
                        unsigned origin);

/* Returns the state and capacity of ZONE in the latest run.  */
struct cyp_zone_capacity cyp_plan_zone_capacity (const struct cyp_plan *plan,
                                                 unsigned service,
                                                 unsigned zone);

/* Returns the capacity of ZONE with SLOTS slots fewer, in requests a
   second.  */
double cyp_plan_capacity_without (const struct cyp_plan *plan,
                                  unsigned service, unsigned zone,
                                  unsigned slots);

/* Returns true when every open zone of SERVICE can serve its expected load
   within its capacity less HEADROOM with one backend server fewer.  Returns
   false when SERVICE has no open zone.  */
bool cyp_plan_can_spare (const struct cyp_plan *plan, unsigned service,
                         double headroom);

#endif /* CYP_PLAN_H */

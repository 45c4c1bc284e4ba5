/* Internal state of the steering plan: the state of each zone and origin per
   service, and the working data of one run.  Shared by the cyp_*.c files.  */

#ifndef CYP_INTERNAL_H
#define CYP_INTERNAL_H

#include "core/cyp_plan.h"

/* Services with fewer requests a second count as unused.  */
#define CYP_IDLE_PER_S 0.1
/* Lower bound of estimated demand in requests a second; a demand of 0 would
   leave shares undefined.  */
#define CYP_DEMAND_MIN_PER_S 0.001

/* State of one service in one zone.  Rates are in requests a second; smoothed
   values are exponential moving averages of the measurements.  */
struct cyp_cell
{
  bool is_measured;       /* a measurement was received */
  cy_time_ns measured_at; /* time of the newest measurement */
  /* Time at which the last backend server disappeared, 0 while there are
     any.  */
  cy_time_ns empty_since;
  double slots; /* reported slots of the zone, as far as they are trusted */
  double slots_per_backend; /* trusted slots of one backend server */
  /* Slots of servers that are warmed up; at most SLOTS, grows while servers
     warm up.  */
  double warm_slots;
  double offered_per_s;   /* sum of served and refused requests */
  double served_per_s;    /* smoothed rate of served requests */
  double refused_per_s;   /* smoothed rate of refused requests */
  double in_flight;       /* requests in service, smoothed */
  double service_time_ms; /* smoothed mean; 0 when not measured */
  /* Service time when the caches were last warm; 0 when not known.  */
  double warm_service_time_ms;
  /* Limit on the capacity, in requests a second: the rate that the zone served
     while it was saturated, raised slowly afterwards; 0: no limit.  */
  double ceiling_per_s;
  bool is_saturated; /* the newest measurement shows saturation */
  /* Number of times that a raised ceiling led to saturation; decays over
     time.  */
  double failed_probes;
  /* Capacity by the measurement before the newest.  */
  double previous_capacity_per_s;
  double cold_per_s; /* recently added traffic, which finds cold caches */
  struct cyp_zone_capacity capacity; /* result of the latest run */
};

/* Traffic of one service from the callers of one region.  */
struct cyp_flow
{
  double demand_per_s; /* requests a second, estimated */
  /* Estimated shares that callers use now; they follow the weights with a
     delay.  */
  double effective_weight[CYP_ZONES_MAX];
  struct cyp_shift shift; /* published weights */
};

struct cyp_service
{
  cy_time_ns first_run_at; /* 0 before the first run */
  /* Time of the last forced move or change of a zone's state.  */
  cy_time_ns calm_since;
  struct cyp_cell *cells[CYP_ZONES_MAX];   /* by zone; NULL: not measured */
  struct cyp_flow *flows[CYP_REGIONS_MAX]; /* by origin; NULL: no weights */
};

struct cyp_plan
{
  cy_time_ns last_run_at; /* 0 before the first run */
  /* Run counter; rotates the origin that is served first.  */
  unsigned rotation;
  struct cyp_service *services[CYP_SERVICES_MAX];
};

/* Working data of one run for one service.  */
struct cyp_run
{
  const struct cyp_topology *topology;
  struct cyp_service *service;
  unsigned service_id;
  unsigned rotation; /* copy of the plan's rotation */
  cy_time_ns now;
  /* Share that may still be moved under the cap, by origin.  */
  double remaining_share[CYP_REGIONS_MAX];
  /* Larger of planned and measured load of a zone, in requests a second.  */
  double load_per_s[CYP_ZONES_MAX];
  /* Load of a zone by the weights, in requests a second.  */
  double planned_per_s[CYP_ZONES_MAX];
  /* Planned traffic from origin to region, in bits a second.  */
  double link_bits_used[CYP_REGIONS_MAX][CYP_REGIONS_MAX];
  /* Regions by origin, nearest first.  */
  uint16_t regions_by_latency[CYP_REGIONS_MAX][CYP_REGIONS_MAX];
};

/* Returns the requests a second that ZONE can serve, headroom included.  */
double cyp_cell_capacity (const struct cyp_service *service, unsigned zone,
                          cy_time_ns now);

/* Advances the warm-up of servers and caches by ELAPSED ns.  */
void cyp_cell_warm_up (struct cyp_cell *cell, cy_time_ns elapsed);

/* Moves traffic between zones: updates the weights of the flows of RUN.  */
void cyp_moves_apply (struct cyp_run *run);

#endif /* CYP_INTERNAL_H */

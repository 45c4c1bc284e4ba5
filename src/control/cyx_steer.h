/* State of the steering planner, shared by the files that apply measurements,
   make plans, report verdicts and preview drains.  Loop's thread.  */

#ifndef CYX_STEER_H
#define CYX_STEER_H

#include "control/cyx_planner.h"
#include "core/cyp_plan.h"
#include "core/cyv_verdict.h"

/* Time in which a new leader waits for the plan in force before it makes
   plans.  */
#define CYX_PLAN_ADOPTION_MS 3000

/* Time without a new status of a zone after which the probes of the other
   zones decide whether the zone is lost.  */
#define CYX_ZONE_STATUS_TIMEOUT_MS 6000

/* Number of zones whose probes of a zone must fail before the zone counts as
   lost.  If fewer zones probe it, the probes of all of them must fail.  */
#define CYX_LOSS_OBSERVERS_MIN 2

/* Longest time that the preview of a drain simulates.  */
#define CYX_PREVIEW_SPAN_MAX_NS (2 * 3600 * CY_NS_PER_S)

/* State of one zone, from the zone statuses that it reported.  */
struct cyx_zone_observation
{
  uint64_t digest;                     /* XXH3 of the newest zone status */
  cy_time_ns changed_at;               /* time DIGEST last changed, 0: never */
  bool was_reported[CYP_SERVICES_MAX]; /* services in any status so far */
  uint64_t probed;                     /* bit Z: this zone has probed zone Z */
  uint64_t probed_lost; /* bit Z: the newest probes of zone Z failed */
};

struct cyx_planner
{
  const struct cy_clock *clock;
  struct cyp_catalog catalog;
  struct cyp_topology topology;
  struct cyp_plan *plan;
  struct cyv_series *series;
  struct cyx_zone_observation zones[CYP_ZONES_MAX];
  cy_time_ns first_plan_at; /* first call of cyx_planner_plan, 0: none yet */
  uint64_t last_number;     /* number of the newest plan */
  /* Number of the plan in force by service and origin region, 0: none.  */
  uint64_t published_number[CYP_SERVICES_MAX][CYP_REGIONS_MAX];
};

/* Adds the new zone statuses of SOFT to the plan's measurements and to the
   time series.  */
void cyx_measure_apply (struct cyx_planner *planner,
                        const struct cyt_soft_state *soft);

/* Marks the zones as lost that send no status and that the other zones cannot
   reach by probes.  */
void cyx_measure_mark_lost (struct cyx_planner *planner);

#endif /* CYX_STEER_H */

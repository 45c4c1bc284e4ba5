/* Shared by the files of the planner: its state, and the parts that take in
   measurements, tell the verdict and preview drains.  Loop's thread.  */

#ifndef CYX_STEER_H
#define CYX_STEER_H

#include "control/cyx_planner.h"
#include "core/cyp_plan.h"
#include "core/cyv_verdict.h"

#define CYX_ADOPT_MS  3000 /* ms a new leader waits for the plan in force */
#define CYX_SILENT_MS 6000 /* ms without a status before probes decide */
#define CYX_OBSERVERS 2    /* zones that must have lost a zone, or all */
#define CYX_PREVIEW   (2 * 3600 * CY_NS_PER_S) /* ns; longest rehearsal */

/* What the planner keeps of a zone's status.  */
struct cyx_zone_feed
{
  uint64_t digest;            /* of the newest status */
  cy_time_ns changed;         /* when its content last changed; 0: never */
  bool had[CYP_SERVICES_MAX]; /* services that it reported last */
  uint64_t probed;            /* bits: zones that it has probed */
  uint64_t lost_seen;         /* bits: of them, lost when last probed */
};

struct cyx_planner
{
  const struct cy_clock *clock;
  struct cyp_catalog catalog;
  struct cyp_topology topology;
  struct cyp_plan *plan;
  struct cyv_series *series;
  struct cyx_zone_feed zones[CYP_ZONES_MAX];
  cy_time_ns first_plan; /* 0 before the first call */
  uint64_t number;       /* of the newest plan */
  uint64_t put[CYP_SERVICES_MAX]
              [CYP_REGIONS_MAX]; /* number of ours in force */
};

/* Takes the zone statuses of SOFT into the plan and the time series.  */
void cyx_measure_take (struct cyx_planner *planner,
                       const struct cyt_soft_state *soft);

/* Marks in the topology the zones that are out of everyone's reach.  */
void cyx_measure_mark_lost (struct cyx_planner *planner);

#endif /* CYX_STEER_H */

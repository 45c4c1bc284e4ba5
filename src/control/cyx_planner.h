/* The leader's steering planner: makes plan objects from the zone statuses in
   the soft state once every planning interval, and keeps the time series that
   `why` reads.  Loop's thread.  */

#ifndef CYX_PLANNER_H
#define CYX_PLANNER_H

#include <stdbool.h>
#include <stdint.h>

#include "core/cy_clock.h"
#include "core/cys_state.h"
#include "core/cyt_soft_state.h"

#define CYX_PLAN_INTERVAL_MS 1000 /* interval between two plans */

struct cyx_planner;

struct cyx_planner *cyx_planner_create (const struct cy_clock *clock);
void cyx_planner_destroy (struct cyx_planner *planner);

/* Adds the new measurements of SOFT.  */
void cyx_planner_observe (struct cyx_planner *planner,
                          const struct cys_state *state,
                          const struct cyt_soft_state *soft);

/* Makes one plan and puts its objects into SOFT.  Called on the leader
   only.  */
void cyx_planner_plan (struct cyx_planner *planner,
                       const struct cys_state *state,
                       struct cyt_soft_state *soft);

/* See cyx_control_why and cyx_control_preview.  */
char *cyx_planner_why (const struct cyx_planner *planner,
                       const struct cys_state *state, const char *service,
                       const char *workspace, int64_t since_ms);
char *cyx_planner_preview (const struct cyx_planner *planner,
                           const struct cys_state *state,
                           const struct cyt_soft_state *soft, const char *kind,
                           const char *name, bool *fits);

#endif /* CYX_PLANNER_H */

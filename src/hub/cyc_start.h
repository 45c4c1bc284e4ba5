/* Checks of cy-hub and cy-gate at start.  */

#ifndef CYC_START_H
#define CYC_START_H

#include "core/cyc_topology.h"
#include "hub/cyc_call.h"

/* Checks settings that depend on each other.  Prints one line that names the
   invalid setting; CY_E_SETTING_INVALID.  The caller destroys *TOPOLOGY.  */
cy_result cyc_start_check (const char *dialect_text, const char *regions,
                           const char *zone, enum cyc_dialect *dialect,
                           struct cyc_topology **topology);

/* Calls OPEN every PAUSE_MS until it returns another result than
   CY_E_STORE_FULL, and returns that result.  So a control VM with a full disk
   waits for space instead of restarting in a loop.  CY_E_STOPPING: SIGTERM or
   SIGINT arrived meanwhile; the caller must have blocked them.  */
typedef cy_result (*cyc_open_fn) (void *context);
cy_result cyc_start_wait_for_space (cyc_open_fn open, void *context,
                                    int64_t pause_ms);

#endif /* CYC_START_H */

/* Calls from HTTP threads that run in the loop's thread.  */

#ifndef CYX_CALLS_H
#define CYX_CALLS_H

#include "control/cyx_control.h"
#include "net/cyn_loop.h"

/* Parts of a control VM that only cyx_calls.c uses.  */
struct cyn_loop *cyx_control_loop (struct cyx_control *control);
struct cyx_replica *cyx_control_replica (struct cyx_control *control);
const struct cys_state *cyx_control_state (struct cyx_control *control);
uint64_t cyx_control_member_id (const struct cyx_control *control);

#endif /* CYX_CALLS_H */

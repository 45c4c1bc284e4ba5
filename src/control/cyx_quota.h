/* The root of every workspace's quota, on the leader among the control VMs.

   Every leader term has a new root with the term as its epoch.  The new root
   adopts the leases that zone processes still hold from the former root and
   grants the remaining quota only after every lease of the former root has
   ended.  Loop's thread.  */

#ifndef CYX_QUOTA_H
#define CYX_QUOTA_H

#include "control/cyx_replica.h"
#include "core/cy_clock.h"
#include "core/cys_state.h"
#include "net/cyn_conn.h"

struct cyx_quota;

struct cyx_quota *cyx_quota_create (const struct cys_state *state,
                                    const struct cyx_replica *replica,
                                    const struct cy_clock *clock);
void cyx_quota_destroy (struct cyx_quota *quota);

/* AGE is the age of the leader's confirmation in ns, -1 if there is none.  */
void cyx_quota_tick (struct cyx_quota *quota, cy_time_ns age);
void cyx_quota_answer (struct cyx_quota *quota, struct cyn_conn *conn,
                       const Cy__QuotaAsk *ask, cy_time_ns age);

/* Sends the grants that the zone process on CONN should receive without a
   request.  */
void cyx_quota_push (struct cyx_quota *quota, struct cyn_conn *conn);

/* Call after the declared state changed.  */
void cyx_quota_state_changed (struct cyx_quota *quota);

#endif /* CYX_QUOTA_H */

/* One control VM: the declared state on top of the replica, for the
   operators' HTTP interface and the fan-out to the zones.  */

#ifndef CYX_CONTROL_H
#define CYX_CONTROL_H

#include <stdbool.h>
#include <stdint.h>

#include "control/cyx_replica.h"
#include "core/cys_state.h"
#include "core/cyt_soft_state.h"
#include "cy.pb-c.h"
#include "cy_result.h"

struct cyx_control;

/* Outcome of cyx_control_propose; cleared by cyx_outcome_clear.  */
struct cyx_outcome
{
  cy_result result;   /* result of replication, or of applying the change */
  uint64_t version;   /* version of the declared state after the change */
  char *conflict_who; /* operator of the conflicting change, or NULL */
  char *conflict_request_id; /* request id of that change, or NULL */
  char *leader_host;         /* set with CY_E_NOT_LEADER; NULL: unknown */
  uint16_t leader_http_port;
};
void cyx_outcome_clear (struct cyx_outcome *outcome);

/* Proposes a copy of CHANGE with the current time in it and waits until that
   is committed and applied, at most TIMEOUT_MS.  Any thread but the loop's. */
void cyx_control_propose (struct cyx_control *control, Cy__Change *change,
                          uint32_t timeout_ms, struct cyx_outcome *outcome);

/* Calls READ while the declared state and the soft state are locked.  READ
   must be short, since the loop's thread waits for the lock.  Any thread.  */
typedef void (*cyx_read_fn) (const struct cys_state *state,
                             const struct cyt_soft_state *soft, void *context);
void cyx_control_read (struct cyx_control *control, cyx_read_fn read,
                       void *context);

/* Status of one member.  */
struct cyx_member_status
{
  uint64_t id;
  char *host;
  uint16_t port;
  uint16_t http_port;
  bool voter;
  bool leader;
  uint64_t acknowledged_index; /* last index on its disk, 0: unknown here */
};

struct cyx_status
{
  uint64_t self_id; /* member id of this control VM */
  bool leader;
  bool ready;
  uint64_t term;
  uint64_t committed_index; /* highest committed log index */
  uint64_t version;         /* version of the declared state */
  int64_t age_ms; /* age of the leader's confirmation, -1: not confirmed */
  struct cyx_member_status *members;
  size_t member_count;
};
void cyx_control_status (struct cyx_control *control,
                         struct cyx_status *status);
void cyx_status_clear (struct cyx_status *status);

/* Add or remove a member and wait like cyx_control_propose.  */
void cyx_control_add_member (struct cyx_control *control,
                             const Cy__Member *member, uint32_t timeout_ms,
                             struct cyx_outcome *outcome);
void cyx_control_remove_member (struct cyx_control *control, uint64_t id,
                                uint32_t timeout_ms,
                                struct cyx_outcome *outcome);

/* One entry VM below the zone processes that are connected to this control
   VM, as last reported.  */
struct cyx_child
{
  char *name;
  uint64_t version; /* version of the declared state in force on the VM */
  int64_t age_ms;   /* ms since the entry VM last reported */
};

/* Returns a copy of the status of every entry VM; the caller frees it with
   cyx_children_clear.  Any thread.  */
struct cyx_child *cyx_control_children (struct cyx_control *control,
                                        size_t *count);
void cyx_children_clear (struct cyx_child *children, size_t count);

/* Returns the verdict on SERVICE over the last SINCE_MS as JSON text, for
   `why`; freed by g_free.  WORKSPACE may be NULL.  Any thread.  */
char *cyx_control_why (struct cyx_control *control, const char *service,
                       const char *workspace, int64_t since_ms);

/* Returns the preview of a drain as JSON text: which requests would move to
   which zones and how long that takes under the cap.  *FITS: the remaining
   zones have the capacity.  Freed by g_free.  Any thread.  */
char *cyx_control_preview (struct cyx_control *control, const char *kind,
                           const char *name, bool *fits);

#endif /* CYX_CONTROL_H */

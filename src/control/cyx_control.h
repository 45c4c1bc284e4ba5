/* One control VM: the declared state on top of the replica, for the
   operators' HTTP side and the zones' fan-out.  */

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

/* What cyx_control_propose has to say; cleared by cyx_outcome_clear.  */
struct cyx_outcome
{
  cy_result result; /* of the replication, or of the change itself */
  uint64_t version; /* in force after the change */
  char *conflict_who;
  char *conflict_request_id;
  char *leader_host; /* with CY_E_NOT_LEADER, NULL if unknown */
  uint16_t leader_http_port;
};
void cyx_outcome_clear (struct cyx_outcome *outcome);

/* Proposes CHANGE and waits until it is committed and applied, at most
   TIMEOUT_MS.  Stamps CHANGE's time.  Any thread but the loop's.  */
void cyx_control_propose (struct cyx_control *control, Cy__Change *change,
                          uint32_t timeout_ms, struct cyx_outcome *outcome);

/* Calls READ with the state and the soft objects locked.  READ must be short.
   Any thread.  */
typedef void (*cyx_read_fn) (const struct cys_state *state,
                             const struct cyt_soft_state *soft, void *context);
void cyx_control_read (struct cyx_control *control, cyx_read_fn read,
                       void *context);

/* One member as the status shows it.  */
struct cyx_member_status
{
  uint64_t id;
  char *host;
  uint16_t port;
  uint16_t http_port;
  bool voter;
  bool leader;
  uint64_t match; /* log index on disk as the leader knows it */
};

struct cyx_status
{
  uint64_t self;
  bool leader;
  bool ready;
  uint64_t term;
  uint64_t committed;
  uint64_t version;
  int64_t age_ms; /* -1: not confirmed */
  struct cyx_member_status *members;
  size_t member_count;
};
void cyx_control_status (struct cyx_control *control,
                         struct cyx_status *status);
void cyx_status_clear (struct cyx_status *status);

/* Adds or removes a member and waits like cyx_control_propose.  */
void cyx_control_add_member (struct cyx_control *control,
                             const Cy__Member *member, uint32_t timeout_ms,
                             struct cyx_outcome *outcome);
void cyx_control_remove_member (struct cyx_control *control, uint64_t id,
                                uint32_t timeout_ms,
                                struct cyx_outcome *outcome);

/* One entry VM or zone process that syncs from this VM, or below it, as last
   reported.  */
struct cyx_child
{
  char *name;
  uint64_t version; /* declared state in force there */
  int64_t age_ms;   /* since it was heard of */
};

/* Copies what is known of every entry VM; the caller frees with
   cyx_children_clear.  Any thread.  */
struct cyx_child *cyx_control_children (struct cyx_control *control,
                                        size_t *count);
void cyx_children_clear (struct cyx_child *children, size_t count);

/* Answers `why`: JSON text of the verdict on SERVICE (WORKSPACE may be NULL)
   over the last SINCE_MS; freed by g_free.  Any thread.  */
char *cyx_control_why (struct cyx_control *control, const char *service,
                       const char *workspace, int64_t since_ms);

/* Answers a drain's preview: JSON text that says what would move, where to,
   how long that takes under the cap and whether there is room, which is
   *FITS; freed by g_free.  Any thread.  */
char *cyx_control_preview (struct cyx_control *control, const char *kind,
                           const char *name, bool *fits);

#endif /* CYX_CONTROL_H */

/* Parent's end of the synchronisation with one child: answers requests for the
   declared state and the soft objects, and pushes changes.  Used by control
   VMs for zone processes and by zone processes for entry VMs.  All calls are
   in the loop's thread.  */

#ifndef CYZ_CHILD_H
#define CYZ_CHILD_H

#include <stdbool.h>
#include <stdint.h>

#include "core/cy_clock.h"
#include "core/cys_state.h"
#include "core/cyt_soft_state.h"
#include "cy.pb-c.h"
#include "net/cyn_conn.h"

/* Maximum of declared objects in one message, in bytes.  */
#define CYZ_CHUNK_MAX_BYTES (256u << 10)

/* Content that the parent sends to its children.  */
struct cyz_source
{
  const struct cys_state *state;
  const struct cyt_soft_state *soft;
  cy_time_ns age; /* age of the state's confirmation, -1: not confirmed */
};

struct cyz_child
{
  struct cyn_conn *conn;
  bool gets_pushes;       /* the child requested content and gets pushes */
  uint64_t version;       /* declared version that the child has */
  uint64_t soft_epoch;    /* epoch of the child's soft objects */
  uint64_t soft_sequence; /* sequence number of the child's soft objects */
};

/* Answers ASK, which was received as request number REQUEST.  */
void cyz_child_answer (struct cyz_child *child,
                       const struct cyz_source *source, uint64_t request,
                       const Cy__SyncAsk *ask);

/* Pushes the changes that CHILD lacks, if CHILD gets pushes.  */
void cyz_child_push (struct cyz_child *child, const struct cyz_source *source);

#endif /* CYZ_CHILD_H */

/* A parent's side towards one child: answers its questions for the declared
   state and the soft objects, and pushes what is new.  The control VM uses it
   towards zone processes, the zone process towards entry VMs.  Loop's
   thread.  */

#ifndef CYZ_CHILD_H
#define CYZ_CHILD_H

#include <stdbool.h>
#include <stdint.h>

#include "core/cy_clock.h"
#include "core/cys_state.h"
#include "core/cyt_soft_state.h"
#include "cy.pb-c.h"
#include "net/cyn_conn.h"

#define CYZ_PIECE_BYTES                                                       \
  (256u << 10) /* bytes of declared objects a message                         \
                */

/* What the parent has to hand out.  */
struct cyz_source
{
  const struct cys_state *state;
  const struct cyt_soft_state *soft;
  cy_time_ns age; /* of the state's confirmation, -1: not confirmed */
};

struct cyz_child
{
  struct cyn_conn *conn;
  bool follows;     /* asked for content: gets pushes */
  uint64_t version; /* declared state that the child holds */
  uint64_t soft_epoch;
  uint64_t soft_sequence;
};

/* Answers ASK, which came in as request number REQUEST.  */
void cyz_child_answer (struct cyz_child *child,
                       const struct cyz_source *source, uint64_t request,
                       const Cy__SyncAsk *ask);

/* Pushes what CHILD does not hold yet, if it follows.  */
void cyz_child_push (struct cyz_child *child, const struct cyz_source *source);

#endif /* CYZ_CHILD_H */

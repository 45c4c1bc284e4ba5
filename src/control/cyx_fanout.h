/* The control VM's side towards the zone processes: answers their questions
   for state, takes their reports and holds the root of every quota.  Loop's
   thread.  */

#ifndef CYX_FANOUT_H
#define CYX_FANOUT_H

#include "control/cyx_control.h"
#include "core/cyt_soft_state.h"

struct cyx_fanout;

struct cyx_fanout_options
{
  struct cyn_loop *loop;
  const struct cys_state *state; /* changes only in the loop's thread */
  struct cyt_soft_state *soft;   /* owned by the control, filled by reports */
  const struct cyx_replica *replica;
  /* Called after soft objects changed.  */
  void (*on_soft) (void *context);
  void *context;
};

struct cyx_fanout *
cyx_fanout_create (const struct cyx_fanout_options *options);
void cyx_fanout_destroy (struct cyx_fanout *fanout);

/* Connections of role "zone"; the control's listener hands them on.  */
void cyx_fanout_open (struct cyx_fanout *fanout, struct cyn_conn *conn);
void cyx_fanout_message (struct cyx_fanout *fanout, struct cyn_conn *conn,
                         const Cy__Envelope *message);
void cyx_fanout_close (struct cyx_fanout *fanout, struct cyn_conn *conn);

/* The declared state went up: push the delta.  */
void cyx_fanout_state_changed (struct cyx_fanout *fanout);

/* The replica's role or term changed.  */
void cyx_fanout_role_changed (struct cyx_fanout *fanout);

/* What is known of the entry VMs below.  */
struct cyx_child *cyx_fanout_children (const struct cyx_fanout *fanout,
                                       size_t *count);

#endif /* CYX_FANOUT_H */

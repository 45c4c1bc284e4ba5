/* The control VM's connections to the zone processes: sends them the declared
   and the soft state, merges their reports and serves the root of every quota.
   Loop's thread.  */

#ifndef CYX_FANOUT_H
#define CYX_FANOUT_H

#include "control/cyx_control.h"
#include "core/cyt_soft_state.h"

struct cyx_fanout;

struct cyx_fanout_options
{
  struct cyn_loop *loop;
  const struct cys_state *state; /* changed in the loop's thread only */
  struct cyt_soft_state *soft;   /* borrowed; reports change it */
  const struct cyx_replica *replica;
  /* Called after reports changed SOFT; may be NULL.  */
  void (*on_soft_changed) (void *context);
  void *context;
};

struct cyx_fanout *
cyx_fanout_create (const struct cyx_fanout_options *options);
void cyx_fanout_destroy (struct cyx_fanout *fanout);

/* Callbacks for connections of role "zone", called by the listener's
   handlers.  */
void cyx_fanout_open (struct cyx_fanout *fanout, struct cyn_conn *conn);
void cyx_fanout_message (struct cyx_fanout *fanout, struct cyn_conn *conn,
                         const Cy__Envelope *message);
void cyx_fanout_close (struct cyx_fanout *fanout, struct cyn_conn *conn);

/* Call after the declared state changed: pushes the delta to the zones.  */
void cyx_fanout_state_changed (struct cyx_fanout *fanout);

/* Call after the replica's role, term or leader changed.  */
void cyx_fanout_role_changed (struct cyx_fanout *fanout);

/* See cyx_control_children.  */
struct cyx_child *cyx_fanout_children (const struct cyx_fanout *fanout,
                                       size_t *count);

#endif /* CYX_FANOUT_H */

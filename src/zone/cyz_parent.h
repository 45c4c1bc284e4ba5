/* Child's end of the synchronisation with its parents: the control VMs of a
   zone process, the zone processes of an entry VM.

   Keeps a connection to every parent.  Requests the declared state and the
   soft objects from one of them, the current parent, records the age of the
   state's confirmation and switches to another parent if the current one no
   longer confirms.  All calls are in the loop's thread.  */

#ifndef CYZ_PARENT_H
#define CYZ_PARENT_H

#include <stdbool.h>
#include <stdint.h>

#include "core/cy_clock.h"
#include "core/cyf_freshness.h"
#include "core/cys_state.h"
#include "core/cyt_soft_state.h"
#include "cy.pb-c.h"
#include "cy_result.h"
#include "net/cyn_conn.h"
#include "net/cyn_loop.h"

#define CYZ_REQUEST_INTERVAL_MS 500  /* of requests to the current parent */
#define CYZ_STANDBY_INTERVAL_MS 2000 /* of requests to other parents */
#define CYZ_SWITCH_TIMEOUT_MS   900  /* without a confirmation, then switch */
#define CYZ_RECONNECT_MIN_MS    100  /* delay of the first reconnection */
#define CYZ_RECONNECT_MAX_MS    2000 /* maximum delay of a reconnection */

struct cyz_parent;

/* Any function may be NULL.  */
struct cyz_parent_events
{
  /* The declared state or the parent's soft objects changed.  */
  void (*on_change) (void *context);
  /* The parent confirmed the state again.  */
  void (*on_confirmed) (void *context);
  /* A connected parent sent a message other than a sync answer or a redirect
     to another parent.  */
  void (*on_message) (struct cyn_conn *conn, const Cy__Envelope *message,
                      void *context);
  void (*on_open) (struct cyn_conn *conn, void *context);
  void (*on_close) (struct cyn_conn *conn, void *context);
  /* The current parent changed; CONN is NULL if there is none.  */
  void (*on_current) (struct cyn_conn *conn, void *context);
  void *context;
};

struct cyz_parent_options
{
  struct cyn_loop *loop;
  const struct cyn_identity *identity;
  const char *addresses;    /* "IP:PORT,IP:PORT" */
  bool in_preference_order; /* earlier addresses are preferred */
  const struct cy_random *random;
  struct cyz_parent_events events;
};

struct cyz_parent *
cyz_parent_create (const struct cyz_parent_options *options);
void cyz_parent_destroy (struct cyz_parent *parent);

const struct cys_state *cyz_parent_state (const struct cyz_parent *parent);
const struct cyt_soft_state *cyz_parent_soft (const struct cyz_parent *parent);
const struct cyf_freshness *
cyz_parent_freshness (const struct cyz_parent *parent);

/* Connection to the current parent, NULL if none is open.  */
struct cyn_conn *cyz_parent_current (const struct cyz_parent *parent);

/* Sends MESSAGE to every connected parent.  */
void cyz_parent_broadcast (struct cyz_parent *parent,
                           const Cy__Envelope *message);

#endif /* CYZ_PARENT_H */

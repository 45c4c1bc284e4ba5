/* A child's side towards its parents: a zone process towards the control VMs,
   an entry VM towards the zone processes of its zone.

   Keeps a connection to every parent, asks one of them, the current, for the
   declared state and the soft objects, proves the state's age and moves to
   another parent when the current one stops confirming.  Loop's thread.  */

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

#define CYZ_ASK_MS     500  /* ms between two asks to the current parent */
#define CYZ_STANDBY_MS 2000 /* ms between two asks to another parent */
#define CYZ_SWITCH_MS                                                         \
  900                     /* ms without a confirmation until another is       \
                             asked */
#define CYZ_DIAL_MS  100  /* ms until the first new try to connect */
#define CYZ_DIAL_MAX 2000 /* ms at most between two tries */

struct cyz_parent;

/* Any function may be NULL.  */
struct cyz_parent_events
{
  /* The declared state or the parent's soft objects changed.  */
  void (*on_change) (void *context);
  /* The state was confirmed anew.  */
  void (*on_confirmed) (void *context);
  /* Any other message of an open parent.  */
  void (*on_message) (struct cyn_conn *conn, const Cy__Envelope *message,
                      void *context);
  void (*on_open) (struct cyn_conn *conn, void *context);
  void (*on_close) (struct cyn_conn *conn, void *context);
  /* Another parent, or none (NULL), is now the current one.  */
  void (*on_current) (struct cyn_conn *conn, void *context);
  void *context;
};

struct cyz_parent_options
{
  struct cyn_loop *loop;
  const struct cyn_identity *identity;
  const char *addresses; /* "IP:PORT,IP:PORT" */
  bool ranked;           /* earlier addresses are preferred */
  const struct cy_random *random;
  struct cyz_parent_events events;
};

struct cyz_parent *
cyz_parent_create (const struct cyz_parent_options *options);
void cyz_parent_destroy (struct cyz_parent *parent);

const struct cys_state *cyz_parent_state (const struct cyz_parent *parent);
const struct cyt_soft_state *cyz_parent_soft (const struct cyz_parent *parent);
const struct cyf_freshness *cyz_parent_fresh (const struct cyz_parent *parent);

/* Connection to the current parent, NULL when there is none open.  */
struct cyn_conn *cyz_parent_current (const struct cyz_parent *parent);

/* Sends MESSAGE to every open parent.  */
void cyz_parent_broadcast (struct cyz_parent *parent,
                           const Cy__Envelope *message);

#endif /* CYZ_PARENT_H */

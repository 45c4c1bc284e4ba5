/* The entry VM's side towards the zone process of its availability zone:
   keeps the declared state and the soft objects, proves their age, holds the
   quota leases and reports upward.  The agent runs in its loop's thread;
   functions marked "any thread" may be called by HTTP threads.  */

#ifndef CYE_AGENT_H
#define CYE_AGENT_H

#include <stdbool.h>
#include <stdint.h>

#include "core/cy_clock.h"
#include "core/cys_state.h"
#include "core/cyt_soft_state.h"
#include "cy.pb-c.h"
#include "cy_result.h"
#include "net/cyn_conn.h"
#include "net/cyn_loop.h"

struct cye_agent;

/* Events, in the loop's thread.  */
struct cye_agent_events
{
  /* The declared state or the soft objects changed.  */
  void (*on_view) (const struct cys_state *state,
                   const struct cyt_soft_state *soft, void *context);
  /* A message for another module, such as a slot answer.  */
  void (*on_message) (const Cy__Envelope *message, void *context);
  /* The connection to the zone process opened or closed.  */
  void (*on_link) (bool open, void *context);
  void *context;
};

struct cye_agent_options
{
  struct cyn_loop *loop;
  const struct cyn_identity *identity;
  const char *zones; /* "IP:PORT,IP:PORT" of the zone processes */
  struct cye_agent_events events;
};

struct cye_agent *cye_agent_create (const struct cye_agent_options *options);
void cye_agent_destroy (struct cye_agent *agent);

/* Age of the confirmation of the declared state, in nanoseconds, INT64_MAX
   when there is none.  Any thread, lock-free.  */
cy_time_ns cye_agent_age (const struct cye_agent *agent);

/* Verdict on one request's admission.  */
enum cye_admission
{
  CYE_ADMITTED, /* one token was taken */
  CYE_WAITING,  /* the callback follows */
  CYE_REFUSED   /* over the rate */
};

/* Called once after CYE_WAITING with CY_OK (a token was taken) or a refusal.
   Loop's thread.  */
typedef void (*cye_admitted_fn) (cy_result result, void *context);

/* Takes one token of WORKSPACE, waiting for the zone at most until DEADLINE.
   Any thread.  */
enum cye_admission cye_agent_admit (struct cye_agent *agent,
                                    const char *workspace, cy_time_ns deadline,
                                    cye_admitted_fn admitted, void *context);

/* Milliseconds after which WORKSPACE is likely to be admitted again, for
   Retry-After.  Any thread.  */
uint32_t cye_agent_retry_after_ms (struct cye_agent *agent,
                                   const char *workspace);

/* Reports OBJECT (a soft object of this VM: its own entry status, a backend
   server that announced itself here, a split) upward with the next report;
   copies it.  Any thread.  */
void cye_agent_report (struct cye_agent *agent, const Cy__Object *object);

/* Sends MESSAGE to the zone process; dropped when there is no connection.
   Loop's thread.  */
cy_result cye_agent_send (struct cye_agent *agent,
                          const Cy__Envelope *message);

#endif /* CYE_AGENT_H */

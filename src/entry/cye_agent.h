/* The client side of the connections from an entry VM to the zone processes
   of its availability zone.  The agent keeps a copy of the declared state and
   of the soft objects, measures the age of that copy, holds the quota leases
   and reports the soft objects of its VM.  The agent runs in its loop's
   thread; functions marked "any thread" may be called by HTTP threads.  */

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

/* Callbacks, called in the loop's thread.  */
struct cye_agent_events
{
  /* The declared state or the soft objects changed.  */
  void (*on_view) (const struct cys_state *state,
                   const struct cyt_soft_state *soft, void *context);
  /* A message arrived that the agent does not process, such as a slot
     answer.  */
  void (*on_message) (const Cy__Envelope *message, void *context);
  /* The connection to the zone process opened or closed.  */
  void (*on_link) (bool open, void *context);
  void *context;
};

struct cye_agent_options
{
  struct cyn_loop *loop;
  const struct cyn_identity *identity;
  const char *zones; /* addresses of the zone processes, "IP:PORT,IP:PORT" */
  struct cye_agent_events events;
};

struct cye_agent *cye_agent_create (const struct cye_agent_options *options);
void cye_agent_destroy (struct cye_agent *agent);

/* Returns the time since a zone process last confirmed the declared state, in
   nanoseconds; INT64_MAX when none has confirmed it.  Any thread,
   lock-free.  */
cy_time_ns cye_agent_confirmation_age (const struct cye_agent *agent);

/* Verdict on the admission of one request.  */
enum cye_admission
{
  CYE_ADMITTED, /* one token was taken */
  CYE_WAITING,  /* the callback reports the verdict */
  CYE_REFUSED   /* the workspace is over its rate */
};

/* Called once after CYE_WAITING with CY_OK (a token was taken) or a refusal.
   Loop's thread.  */
typedef void (*cye_admitted_fn) (cy_result result, void *context);

/* Takes one token of WORKSPACE; without a token the request waits for a grant
   of the zone, at most until DEADLINE.  Any thread.  */
enum cye_admission cye_agent_admit (struct cye_agent *agent,
                                    const char *workspace, cy_time_ns deadline,
                                    cye_admitted_fn admitted, void *context);

/* Returns the milliseconds after which a request of WORKSPACE is likely to be
   admitted, for Retry-After.  Any thread.  */
uint32_t cye_agent_retry_after_ms (struct cye_agent *agent,
                                   const char *workspace);

/* Adds OBJECT to the next report to the zone processes: a soft object of this
   VM, such as its entry status, a backend server that announced itself here
   or a time split.  Copies OBJECT.  Any thread.  */
void cye_agent_report (struct cye_agent *agent, const Cy__Object *object);

/* Sends MESSAGE to the current zone process.  Returns CY_E_CLOSED and drops
   MESSAGE when there is no connection.  Loop's thread.  */
cy_result cye_agent_send (struct cye_agent *agent,
                          const Cy__Envelope *message);

#endif /* CYE_AGENT_H */

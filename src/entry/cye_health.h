/* Health probes of the backend servers, requests to /health.  Failed probes
   make a backend server unavailable; a successful probe only ends that state,
   because the results of requests outweigh a probe.  Each probe opens a new
   connection: the server's kernel accepts it, so the connect time measures
   the network and not the backend server.  Loop's thread.  */

#ifndef CYE_HEALTH_H
#define CYE_HEALTH_H

#include "entry/cye_slots.h"
#include "net/cyn_loop.h"

#define CYE_HEALTH_INTERVAL_MS 1000 /* ms between probes of one server */
#define CYE_HEALTH_TIMEOUT_MS  1000 /* ms until an unanswered probe fails */

/* Consecutive failed probes that make a backend server unavailable.  */
#define CYE_HEALTH_FAILURES_MAX 2

struct cye_health;

struct cye_health *cye_health_create (struct cyn_loop *loop,
                                      struct cye_slots *slots);
void cye_health_destroy (struct cye_health *health);

#endif /* CYE_HEALTH_H */

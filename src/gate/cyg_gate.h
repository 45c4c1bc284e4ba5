/* One entry VM of the hub layout: connections to control VMs, the worker that
   serves callers, and the HTTP servers for readiness and metrics, all on one
   loop.  */

#ifndef CYG_GATE_H
#define CYG_GATE_H

#include <stdint.h>

#include "core/cyc_topology.h"
#include "cy_result.h"
#include "hub/cyc_call.h"
#include "net/cyn_conn.h"
#include "net/cyn_loop.h"

struct cyg_gate;

struct cyg_gate_options
{
  struct cyn_loop *loop;
  const struct cyn_identity *identity; /* of role "entry" */
  const struct cyc_topology *topology;
  const char *region;
  const char *host;
  uint16_t port;         /* for callers */
  uint16_t ready_port;   /* 0: no server */
  uint16_t metrics_port; /* 0: no server */
  uint16_t peer_port;    /* of control VMs, for other processes */
  const char *seeds;     /* "IP:PORT,..." with HTTP ports of control VMs */
  enum cyc_dialect dialect;
  cy_time_ns grace; /* ns from the start of a planned stop until the process is
                       killed */
};

cy_result cyg_gate_create (const struct cyg_gate_options *options,
                           struct cyg_gate **gate);
void cyg_gate_destroy (struct cyg_gate *gate);

/* Planned stop: reports to control VMs that this VM is not ready, serves the
   callers that still connect for a while, finishes open requests, then calls
   STOPPED.  */
void cyg_gate_leave (struct cyg_gate *gate, cyn_callback stopped,
                     void *context);

#endif /* CYG_GATE_H */

/* HTTP server of a control VM: parses calls, executes them at the hub and
   answers.  Runs in the loop's thread.  */

#ifndef CYC_HTTP_H
#define CYC_HTTP_H

#include "hub/cyc_call.h"
#include "hub/cyc_hub.h"

struct cyc_http;

/* Serves calls of DIALECT on HOST and PORT.  */
cy_result cyc_http_create (struct cyc_hub *hub, struct cyn_loop *loop,
                           enum cyc_dialect dialect, const char *host,
                           uint16_t port, struct cyc_http **http);

/* Stops accepting connections; open calls continue.  */
void cyc_http_quiesce (struct cyc_http *http);
void cyc_http_destroy (struct cyc_http *http);

/* Returns the HTTP status of a call that ended with RESULT.  */
unsigned cyc_http_status (cy_result result);

#endif /* CYC_HTTP_H */

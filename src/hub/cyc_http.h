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

/* Stops accepting connections.  Open calls continue, and each answer ends its
   connection.  */
void cyc_http_quiesce (struct cyc_http *http);

/* Count of calls of which a part was received and that are not answered.  */
unsigned cyc_http_open_calls (const struct cyc_http *http);

/* Sends the answers to the calls that the hub ended when it was destroyed;
   further calls are refused.  */
void cyc_http_finish (struct cyc_http *http);
void cyc_http_destroy (struct cyc_http *http);

/* Returns the HTTP status of a call that ended with RESULT.  */
unsigned cyc_http_status (cy_result result);

#endif /* CYC_HTTP_H */

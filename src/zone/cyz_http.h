/* HTTP server of a zone process for /metrics, /healthz and /readyz.  Runs in a
   thread of libmicrohttpd and so answers while the loop is busy.  */

#ifndef CYZ_HTTP_H
#define CYZ_HTTP_H

#include <stdbool.h>
#include <stdint.h>

#include "cy_result.h"

struct cyz_http;

/* Starts a server that listens on HOST and PORT (0: any free port).  */
cy_result cyz_http_create (const char *host, uint16_t port,
                           struct cyz_http **http);
void cyz_http_destroy (struct cyz_http *http);
uint16_t cyz_http_port (const struct cyz_http *http);

/* Sets the state that /readyz reports.  Any thread may call.  */
void cyz_http_set_ready (struct cyz_http *http, bool ready);

#endif /* CYZ_HTTP_H */

/* The operators' HTTP interface of a control VM, on libmicrohttpd.  Paths and
   JSON: docs/OPERATIONS.md.  */

#ifndef CYO_HTTP_H
#define CYO_HTTP_H

#include <stdint.h>

#include "control/cyx_control.h"

struct cyo_http;

/* Listens on HOST and PORT (0: any free port).  TOKEN_FILE holds one line
   "NAME TOKEN" for each operator.  CY_E_SETTING_INVALID when HOST is no IP
   address or the file cannot be read, CY_E_IO when the port cannot be
   opened.  */
cy_result cyo_http_create (struct cyx_control *control, const char *host,
                           uint16_t port, const char *token_file,
                           struct cyo_http **http);
uint16_t cyo_http_port (const struct cyo_http *http);
void cyo_http_destroy (struct cyo_http *http);

#endif /* CYO_HTTP_H */

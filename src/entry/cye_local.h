/* Requests that an entry VM answers without a backend server: lookups,
   announcements, metrics and health checks.  The functions run in a worker's
   thread.  */

#ifndef CYE_LOCAL_H
#define CYE_LOCAL_H

#include <microhttpd.h>
#include <stdbool.h>

#include "entry/cye_shared.h"

/* True when cye_local_answer answers URI.  */
bool cye_local_handles (const char *uri);

/* Returns the response to METHOD on URI with the BODY_LENGTH bytes of BODY and
   stores its HTTP status in *STATUS.  The caller destroys the response.  */
struct MHD_Response *cye_local_answer (struct cye_shared *shared,
                                       struct MHD_Connection *connection,
                                       const char *method, const char *uri,
                                       const char *body, size_t body_length,
                                       unsigned *status);

#endif /* CYE_LOCAL_H */

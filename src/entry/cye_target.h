/* Parses and checks request targets of the form /s/SERVICE/PATH?QUERY.  No
   shared state; any thread.  */

#ifndef CYE_TARGET_H
#define CYE_TARGET_H

#include <stdbool.h>

#include "cy_result.h"

#define CYE_SERVICE_MAX 128 /* bytes of a service's name, with the zero */

struct cye_target
{
  char service[CYE_SERVICE_MAX];
  const char
      *raw;   /* path and query for the backend server; points into the URI */
  char *path; /* decoded path without the query, to find the route */
};

/* Parses URI; TARGET keeps pointers into it.  CY_E_REQUEST_MALFORMED: URI has
   another form, a forbidden byte, an invalid percent-encoding, or a path with
   dot segments or empty segments, which a backend server could resolve to
   another path.  The caller clears TARGET in any case.  */
cy_result cye_target_parse (const char *uri, struct cye_target *target);
void cye_target_clear (struct cye_target *target);

/* True when TEXT contains something of the form of a key, plain or
   percent-encoded.  */
bool cye_target_has_key (const char *text);

#endif /* CYE_TARGET_H */

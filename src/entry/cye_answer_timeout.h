/* How long an entry VM waits for a backend server's first byte before it takes
   the connection for dead.  */

#ifndef CYE_ANSWER_TIMEOUT_H
#define CYE_ANSWER_TIMEOUT_H

#include <stdbool.h>

#include "entry/cye_shared.h"

struct cye_attempt
{
  enum cye_layout layout;
  bool kept;        /* its connection served others before */
  bool leaving;     /* a planned stop is under way */
  cy_time_ns usual; /* time to answer, 0: not known */
  cy_time_ns time;  /* that it had when it was sent */
};

/* Silence that says something of a server or its connection, ns.  */
cy_time_ns cye_answer_timeout_min (cy_time_ns usual);

/* Silence after which ATTEMPT is given up and made anew, ns; INT64_MAX: it
   goes on to the end of its time.  */
cy_time_ns cye_answer_timeout (const struct cye_attempt *attempt);

#endif /* CYE_ANSWER_TIMEOUT_H */

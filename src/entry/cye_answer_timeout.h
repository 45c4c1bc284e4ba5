/* Answer timeout: how long an entry VM waits for the first byte of a backend
   server's answer before it ends the attempt.  */

#ifndef CYE_ANSWER_TIMEOUT_H
#define CYE_ANSWER_TIMEOUT_H

#include <stdbool.h>

#include "entry/cye_shared.h"

struct cye_attempt
{
  enum cye_layout layout;
  bool reused_connection;  /* the connection served earlier requests */
  bool stopping;           /* a planned stop is in progress */
  cy_time_ns expected_ns;  /* expected time to answer, 0: unknown */
  cy_time_ns available_ns; /* time left until the deadline when the request was
                             sent */
};

/* Time without an answer, ns, after which the server or its connection counts
   as failed.  EXPECTED_NS is the expected time to answer, 0: unknown.  */
cy_time_ns cye_answer_timeout_min (cy_time_ns expected_ns);

/* Time without an answer, ns, after which ATTEMPT is ended and retried.
   INT64_MAX: it continues until its deadline.  */
cy_time_ns cye_answer_timeout (const struct cye_attempt *attempt);

#endif /* CYE_ANSWER_TIMEOUT_H */

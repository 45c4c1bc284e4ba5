#include "entry/cye_answer_timeout.h"

#include <glib.h>

/* Covers the loss of several consecutive TCP segments.  */
#define ANSWER_TIMEOUT_MIN_MS 500
#define ANSWER_TIMEOUT_FACTOR 8 /* multiple of the expected time to answer */

cy_time_ns
cye_answer_timeout_min (cy_time_ns expected_ns)
{
  return MAX (ANSWER_TIMEOUT_MIN_MS * CY_NS_PER_MS,
              ANSWER_TIMEOUT_FACTOR * expected_ns);
}

cy_time_ns
cye_answer_timeout (const struct cye_attempt *attempt)
{
  cy_time_ns timeout_min = cye_answer_timeout_min (attempt->expected_ns);
  /* A planned stop must not end a request that a server works on.  */
  if (attempt->stopping)
    return INT64_MAX;
  /* In the hub layout a new connection is not timed out, as a server may be in
     its cold start or slow.  */
  if (!attempt->reused_connection && attempt->layout == CYE_HUB)
    return INT64_MAX;
  if (attempt->reused_connection && attempt->expected_ns > 0)
    return timeout_min;
  /* Allows for long work, and leaves half of the time for a retry.  */
  return MAX (timeout_min, attempt->available_ns / 2);
}

#include "entry/cye_answer_timeout.h"

#include <glib.h>

#define SILENT_LEAST_MS 500 /* ms; several lost segments in a row */
#define SILENT_TIMES    8   /* the same, of the usual time to answer */

cy_time_ns
cye_answer_timeout_min (cy_time_ns usual)
{
  return MAX (SILENT_LEAST_MS * CY_NS_PER_MS, SILENT_TIMES * usual);
}

cy_time_ns
cye_answer_timeout (const struct cye_attempt *attempt)
{
  cy_time_ns least = cye_answer_timeout_min (attempt->usual);
  /* A stop must not end an answer that a server is at work on.  */
  if (attempt->leaving)
    return INT64_MAX;
  /* At a hub a new connection is trusted: servers there may be cold or slow.
   */
  if (!attempt->kept && attempt->layout == CYE_HUB)
    return INT64_MAX;
  if (attempt->kept && attempt->usual > 0)
    return least;
  /* Long work is no silence; another attempt still fits into the other half.
   */
  return MAX (least, attempt->time / 2);
}

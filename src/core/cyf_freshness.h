/* Age of the declared state that a child has from its parent.

   No two clocks are compared.  The child stores when it sends a request.  The
   answer carries the age of the parent's own confirmation.  The child's
   confirmation is as old as the request plus that age.  Spans are widened by
   the bound on the drift between two monotonic clocks.  Not thread-safe: the
   caller serialises access.  */

#ifndef CYF_FRESHNESS_H
#define CYF_FRESHNESS_H

#include <stdbool.h>
#include <stdint.h>

#include "core/cy_clock.h"

#define CYF_DRIFT_PPM    500 /* most drift between the clocks of two VMs */
#define CYF_REQUESTS_MAX 16  /* latest requests that are stored */
#define CYF_AGE_UNKNOWN  INT64_MAX /* nothing was confirmed yet */

/* Zeroed memory is a valid initial state.  */
struct cyf_freshness
{
  bool confirmed; /* an answer has confirmed the state */
  /* All changes that were accepted before this time are in the state.  */
  cy_time_ns confirmed_at;
  uint64_t last_number; /* number of the latest request, 0: none yet */
  /* Times of the latest requests, at index number modulo CYF_REQUESTS_MAX.  */
  cy_time_ns sent_at[CYF_REQUESTS_MAX];
};

/* Widens SPAN, in ns, by the drift bound.  */
cy_time_ns cyf_widen_span (cy_time_ns span);

/* Narrows SPAN, in ns, by the drift bound.  */
cy_time_ns cyf_narrow_span (cy_time_ns span);

/* Stores that a request is sent at NOW.  Returns the number of the request,
   which is never 0.  */
uint64_t cyf_freshness_record_request (struct cyf_freshness *freshness,
                                       cy_time_ns now);

/* Sets SENT_AT to the time of request NUMBER.  False when the number is
   unknown or no longer stored.  */
bool cyf_freshness_request_time (const struct cyf_freshness *freshness,
                                 uint64_t number, cy_time_ns *sent_at);

/* Processes an answer to request NUMBER that confirms the state; the changes
   in the answer must be applied before.  AGE, in ns, is that of the parent's
   own confirmation.  The confirmation never becomes older.  False when the
   answer confirms nothing.  */
bool cyf_freshness_confirm (struct cyf_freshness *freshness, uint64_t number,
                            cy_time_ns age);

/* Returns the age of the confirmation at NOW in ns, CYF_AGE_UNKNOWN if nothing
   was confirmed yet.  */
cy_time_ns cyf_freshness_age (const struct cyf_freshness *freshness,
                              cy_time_ns now);

#endif /* CYF_FRESHNESS_H */

/* Age of a child's confirmation of the declared state, by asking.

   No two clocks are compared.  A child notes when it asks; the answer carries
   the age of the parent's own confirmation; the child's confirmation dates
   from when it asked, minus that age.  Spans are widened by the bound on how
   far two monotonic clocks drift apart.  The caller serialises access.  */

#ifndef CYF_FRESHNESS_H
#define CYF_FRESHNESS_H

#include <stdbool.h>
#include <stdint.h>

#include "core/cy_clock.h"

#define CYF_DRIFT_PPM    500 /* bound on drift between two VMs' clocks */
#define CYF_REQUESTS_MAX 16  /* asks remembered while unanswered */
#define CYF_AGE_UNKNOWN  INT64_MAX

struct cyf_freshness
{
  bool confirmed;
  cy_time_ns since; /* everything accepted before is held here */
  uint64_t next;    /* number of the next ask */
  cy_time_ns asked[CYF_REQUESTS_MAX];
};

/* Widens SPAN by the drift bound.  */
cy_time_ns cyf_widen_span (cy_time_ns span);

/* Narrows SPAN by the drift bound.  */
cy_time_ns cyf_narrow_span (cy_time_ns span);

/* Notes an ask at NOW and returns its number, which is never 0.  */
uint64_t cyf_freshness_record_request (struct cyf_freshness *fresh,
                                       cy_time_ns now);

/* Reads when ask NUMBER was made; false when it is unknown or too old.  */
bool cyf_freshness_request_time (const struct cyf_freshness *fresh,
                                 uint64_t number, cy_time_ns *asked);

/* Takes in a confirming answer to ask NUMBER whose content is applied.  AGE
   is that of the parent's own confirmation.  Never goes back.  Returns false
   when the answer confirms nothing.  */
bool cyf_freshness_confirm (struct cyf_freshness *fresh, uint64_t number,
                            cy_time_ns age);

/* Age at NOW in nanoseconds, CYF_AGE_UNKNOWN before the first answer.  */
cy_time_ns cyf_freshness_age (const struct cyf_freshness *fresh,
                              cy_time_ns now);

#endif /* CYF_FRESHNESS_H */

/* Time breakdown of this entry VM's requests, summed per service and reported
   once per second.  Any thread unless noted otherwise.  */

#ifndef CYE_TIME_SPLIT_H
#define CYE_TIME_SPLIT_H

#include <stdint.h>

#include "core/cy_clock.h"
#include "cy.pb-c.h"
#include "cy_result.h"
#include "entry/cye_slots.h"

#define CYE_HISTOGRAM_BUCKETS 20 /* upper bounds double from 0.125 ms */

/* Time breakdown of one request, ns.  */
struct cye_times
{
  cy_time_ns caller;  /* receiving the caller's body, and waiting until the
                         caller reads the answer */
  cy_time_ns waiting; /* waiting for a token and for slots */
  cy_time_ns connect; /* opening the connection to the backend server */
  cy_time_ns link;    /* round trip to the backend server */
  cy_time_ns backend; /* work of the backend server */
  cy_time_ns total;   /* from the request's head to its answer */
};

struct cye_time_split;

struct cye_time_split *cye_time_split_create (const char *zone);
void cye_time_split_destroy (struct cye_time_split *split);

/* Counts a request of SERVICE that a backend server answered.  */
void cye_time_split_answered (struct cye_time_split *split,
                              const char *service,
                              const struct cye_times *times);

/* Counts a request of SERVICE that ended with RESULT without an answer of a
   backend server.  CONNECTED: whether a connection to one was open.  */
void cye_time_split_failed (struct cye_time_split *split, const char *service,
                            cy_result result, int connected);

/* Counts a request of SERVICE whose caller left before the answer's end.  */
void cye_time_split_caller_left (struct cye_time_split *split,
                                 const char *service);

/* Returns the sums since the last call as soft-state object split/VM and
   resets them.  The caller frees it with cy__object__free_unpacked.  Loop's
   thread.  */
Cy__Object *cye_time_split_collect (struct cye_time_split *split,
                                    const char *vm, int64_t unix_ms,
                                    uint32_t interval_ms,
                                    struct cye_slots *slots);

/* Requests per second, answered and refused, in the last reported interval. */
double cye_time_split_rate (const struct cye_time_split *split);

#endif /* CYE_TIME_SPLIT_H */

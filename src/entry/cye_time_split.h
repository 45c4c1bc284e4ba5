/* Measurements of this entry VM: where its requests spent their time, summed
   up by service and reported once a second.  Any thread.  */

#ifndef CYE_TIME_SPLIT_H
#define CYE_TIME_SPLIT_H

#include <stdint.h>

#include "core/cy_clock.h"
#include "cy.pb-c.h"
#include "cy_result.h"
#include "entry/cye_slots.h"

#define CYE_HISTOGRAM_BUCKETS 20 /* powers of two from 0.125 ms */

/* One request's split of time.  */
struct cye_times
{
  cy_time_ns caller;  /* reading its body, and waiting for it to read */
  cy_time_ns waiting; /* for a token and for a slot */
  cy_time_ns connect;
  cy_time_ns link; /* round trip to the backend server */
  cy_time_ns backend;
  cy_time_ns total;
};

struct cye_time_split;

struct cye_time_split *cye_time_split_create (const char *zone);
void cye_time_split_destroy (struct cye_time_split *split);

/* A request of SERVICE was answered by a backend server.  */
void cye_time_split_answered (struct cye_time_split *split,
                              const char *service,
                              const struct cye_times *times);

/* A request of SERVICE ended with RESULT before that.  CONNECTED tells
   whether a connection to the backend server was open.  */
void cye_time_split_failed (struct cye_time_split *split, const char *service,
                            cy_result result, int connected);

void cye_time_split_caller_left (struct cye_time_split *split,
                                 const char *service);

/* Takes what was measured since the last call as the soft object split/VM;
   freed by cy__object__free_unpacked.  Loop's thread.  */
Cy__Object *cye_time_split_take (struct cye_time_split *split, const char *vm,
                                 int64_t unix_ms, uint32_t interval_ms,
                                 struct cye_slots *slots);

/* Requests answered and refused a second in the interval taken last.  */
double cye_time_split_rate (const struct cye_time_split *split);

#endif /* CYE_TIME_SPLIT_H */

/* Budget of repeats: requests that are sent to a second backend server, as a
   share of the requests of the service in a window and a fixed part besides.
   It binds what reaches servers from all placers, in every span of a window's
   length, wherever it begins, against the requests of that span, the one
   before it or the one half a window before it: when a repeat is allowed
   nobody knows whether requests will go on.

   Each region has what its own requests of the window before the span allow.
   These add up to that window of the fleet, however the requests are split and
   whenever placers move, and are known when the span begins.  What the fleet's
   best window allows beyond is split evenly, by the counts that the placers
   tell each other.  Neither part shrinks while the span lasts: what a region
   took early is never owed to another one later.

   Counts are of the moment at which a placer hears of a request or grants a
   repeat.  Requests were sent up to CYM_RETRY_COUNT_DELAY_MS before, repeats
   arrive up to CYM_RETRY_TRANSIT_MS later: each window is taken at its worst
   within these bounds.  Pure, one thread at a time.  */

#ifndef CYM_RETRY_BUDGET_H
#define CYM_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#include "core/cy_clock.h"

/* Slices of the window, slices at most for each of the times below, and slices
   that are kept.  */
#define CYM_RETRY_SLICES        100
#define CYM_RETRY_SLICES_MARGIN 25
#define CYM_RETRY_SLICES_KEPT   (2 * CYM_RETRY_SLICES + CYM_RETRY_SLICES_MARGIN)

/* ms from a caller's request until its placer has counted it, and until the
   placers of other regions have heard of that.  */
#define CYM_RETRY_COUNT_DELAY_MS  200
#define CYM_RETRY_REPORT_DELAY_MS 400

/* ms from the grant of a repeat until it reaches its server.  An entry VM that
   can't send it in time gives it up, see CYE_REPEAT_MS.  */
#define CYM_RETRY_TRANSIT_MS 500

/* How many repeats are allowed.  */
struct cym_retry_limits
{
  cy_time_ns window;
  double ratio;     /* of the requests in the window */
  double fixed;     /* besides, in any window, in one region */
  unsigned regions; /* of the fleet, 0 counts as 1 */
};

/* Which placer a count is of.  */
enum cym_retry_source
{
  CYM_RETRY_LOCAL,
  CYM_RETRY_SAME_REGION,  /* another one of the same region */
  CYM_RETRY_OTHER_REGION, /* one of another region */
  CYM_RETRY_SOURCE_COUNT
};

struct cym_retry_counts
{
  uint32_t requests[CYM_RETRY_SLICES_KEPT];
  uint32_t repeats[CYM_RETRY_SLICES_KEPT];
};

struct cym_retry_budget
{
  struct cym_retry_counts of[CYM_RETRY_SOURCE_COUNT];
  uint64_t requests; /* own, since the start */
  uint64_t repeats;
  uint64_t refused;  /* for its owner to count */
  int64_t slice;     /* number of the newest slice since time 0 */
  cy_time_ns since;  /* of the first call, 0: none yet */
  cy_time_ns missed; /* others' counts are not complete before, 0: they are */
};

/* What this placer knows of the others.  */
struct cym_retry_view
{
  double share; /* of the region's requests that it places, 0 to 1 */
  bool all;     /* it hears the placers of all regions */
};

/* Listens from NOW on: to be called before the first request may come, so that
   the repeats of other placers of the last window are known by then.  */
void cym_retry_budget_start (struct cym_retry_budget *repeats,
                             const struct cym_retry_limits *bounds,
                             cy_time_ns now);

/* A request came in.  */
void cym_retry_budget_record_request (struct cym_retry_budget *repeats,
                                      const struct cym_retry_limits *bounds,
                                      cy_time_ns now);

/* Another placer tells what it counted since it last did.  */
void cym_retry_budget_add_remote (struct cym_retry_budget *repeats,
                                  const struct cym_retry_limits *bounds,
                                  enum cym_retry_source source,
                                  uint32_t requests, uint32_t taken,
                                  cy_time_ns now);

/* Others counted requests until NOW that this placer has not heard of.  */
void cym_retry_budget_record_missed (struct cym_retry_budget *repeats,
                                     cy_time_ns now);

/* What another placer said last: what it counted since its start.  */
struct cym_retry_last_report
{
  uint64_t requests;
  uint64_t repeats;
  cy_time_ns at; /* 0: never */
};

/* Notes that it says REQUESTS and REPEATS now, and leaves in both what is new.
   Nothing is new the first time: how much of it is of the last window is not
   known.  After more than GAP without a word the requests are left out, as
   they may be older than the newest slice.  Returns false when some were lost
   since the last word: after a gap, or as it started anew.  */
bool cym_retry_report_delta (struct cym_retry_last_report *told,
                             cy_time_ns gap, uint64_t *requests,
                             uint64_t *repeats, cy_time_ns now);

/* True when the budget has COUNT more repeats.  */
bool cym_retry_budget_has (struct cym_retry_budget *repeats,
                           const struct cym_retry_limits *bounds,
                           const struct cym_retry_view *view, uint32_t count,
                           cy_time_ns now);

/* Takes one repeat, which is sent now; false when the budget is spent.  */
bool cym_retry_budget_take (struct cym_retry_budget *repeats,
                            const struct cym_retry_limits *bounds,
                            const struct cym_retry_view *view, cy_time_ns now);

#endif /* CYM_RETRY_BUDGET_H */

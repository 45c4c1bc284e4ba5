/* Retry budget of a service: how many requests may be sent to a second backend
   server.  The limit is a ratio of the requests in a window plus a fixed
   number.  It holds for the retries that reach servers from all placers, in
   every span of a window's length, wherever the span begins.  The requests are
   those of the span, of the window before it or of the window that begins half
   a window before it, whichever has most: when a retry is allowed, it is
   not known whether more requests will follow.

   Each region may use what its own requests in the window before the span
   allow.  These numbers add up to the number of the whole fleet, however the
   requests are divided among regions and whenever placers change, and they are
   known when the span begins.  What the fleet's best window allows beyond that
   is divided evenly, by the counts that placers report to each other.  Neither
   part shrinks during the span, so a region that uses its part early takes
   nothing from another one later.

   A placer counts requests when it receives them and retries when it grants
   them.  Requests were sent up to CYM_RETRY_COUNT_DELAY_MS earlier, and
   retries arrive up to CYM_RETRY_TRANSIT_MS later.  Each window is evaluated
   for the worst case within these bounds.

   Does no I/O and reads no clock.  Not thread-safe: one thread at a time.  */

#ifndef CYM_RETRY_BUDGET_H
#define CYM_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#include "core/cy_clock.h"

/* Counts are kept in slices of the window: slices of one window, the most
   slices that each of the delays below may cover, and the slices that are
   stored.  */
#define CYM_RETRY_SLICES        100
#define CYM_RETRY_SLICES_MARGIN 25
#define CYM_RETRY_SLICES_KEPT   (2 * CYM_RETRY_SLICES + CYM_RETRY_SLICES_MARGIN)

/* Longest time in ms from sending of a caller's request until a placer has
   counted it, and from then until the placers of other regions have received
   the count.  */
#define CYM_RETRY_COUNT_DELAY_MS  200
#define CYM_RETRY_REPORT_DELAY_MS 400

/* Longest time in ms from the grant of a retry until it reaches its server. An
   entry VM that cannot send the retry in time drops it, see
   CYE_RETRY_GRANT_MS.  */
#define CYM_RETRY_TRANSIT_MS 500

/* How many retries are allowed.  */
struct cym_retry_limits
{
  cy_time_ns window;
  double ratio;     /* retries per request of the window */
  double fixed;     /* additional retries in any window, in one region */
  unsigned regions; /* regions of the fleet, 0 counts as 1 */
};

/* The placer that a count comes from.  */
enum cym_retry_source
{
  CYM_RETRY_LOCAL,        /* this placer */
  CYM_RETRY_SAME_REGION,  /* another placer of the same region */
  CYM_RETRY_OTHER_REGION, /* a placer of another region */
  CYM_RETRY_SOURCE_COUNT
};

/* Counts by slice, at index slice number modulo CYM_RETRY_SLICES_KEPT.  */
struct cym_retry_counts
{
  uint32_t requests[CYM_RETRY_SLICES_KEPT];
  uint32_t retries[CYM_RETRY_SLICES_KEPT];
};

/* Zeroed memory is a valid initial state.  */
struct cym_retry_budget
{
  struct cym_retry_counts counts[CYM_RETRY_SOURCE_COUNT];
  uint64_t requests;     /* requests that this placer has counted */
  uint64_t retries;      /* retries that this placer has granted */
  uint64_t refused;      /* retries refused, counted by the owner */
  int64_t newest_slice;  /* number of the newest slice since time 0 */
  cy_time_ns started_at; /* time of the first call, 0: none yet */
  /* Counts of other placers before this time are incomplete, 0: complete.  */
  cy_time_ns incomplete_until;
};

/* Part of this placer in the region, and whether it has the reports of all
   other placers.  */
struct cym_retry_view
{
  double share; /* part of the region's requests that it places, 0 to 1 */
  bool all_placers_known; /* the placers of all regions report their counts */
};

/* Starts the counting at NOW.  Call it before the first request may arrive, so
   that the retries of other placers in the last window are known by then.  */
void cym_retry_budget_start (struct cym_retry_budget *budget,
                             const struct cym_retry_limits *limits,
                             cy_time_ns now);

/* Counts one request that this placer has received.  */
void cym_retry_budget_record_request (struct cym_retry_budget *budget,
                                      const struct cym_retry_limits *limits,
                                      cy_time_ns now);

/* Adds REQUESTS and RETRIES that another placer of kind SOURCE has counted
   since its previous report.  */
void cym_retry_budget_add_remote (struct cym_retry_budget *budget,
                                  const struct cym_retry_limits *limits,
                                  enum cym_retry_source source,
                                  uint32_t requests, uint32_t retries,
                                  cy_time_ns now);

/* Records that requests which other placers counted before NOW were never
   reported to this placer.  */
void cym_retry_budget_record_missed (struct cym_retry_budget *budget,
                                     cy_time_ns now);

/* The latest report of another placer: its counts since its start.  */
struct cym_retry_last_report
{
  uint64_t requests;
  uint64_t retries;
  cy_time_ns received_at; /* time of receipt, 0: no report yet */
};

/* Stores REQUESTS and RETRIES, which another placer reports now, in
   LAST_REPORT and reduces both to the change since the previous report.  The
   change is 0 at the first report: it is unknown how much of the counts
   belongs to the latest window.  When the previous report is older than GAP,
   the change of REQUESTS is 0, as the requests may be older than the newest
   slice.  Returns false when counts were lost since the previous report: after
   such a gap, or when the other placer has restarted.  */
bool cym_retry_report_delta (struct cym_retry_last_report *last_report,
                             cy_time_ns gap, uint64_t *requests,
                             uint64_t *retries, cy_time_ns now);

/* True when the budget allows COUNT more retries.  */
bool cym_retry_budget_has (struct cym_retry_budget *budget,
                           const struct cym_retry_limits *limits,
                           const struct cym_retry_view *view, uint32_t count,
                           cy_time_ns now);

/* Grants one retry, which must be sent now.  False: the budget is used up.  */
bool cym_retry_budget_take (struct cym_retry_budget *budget,
                            const struct cym_retry_limits *limits,
                            const struct cym_retry_view *view, cy_time_ns now);

#endif /* CYM_RETRY_BUDGET_H */

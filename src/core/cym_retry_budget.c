#include "core/cym_retry_budget.h"

#include <math.h>
#include <sys/param.h>

/* Slices in half a window.  */
#define HALF_WINDOW_SLICES (CYM_RETRY_SLICES / 2)

/* Clears the slices that have passed since the newest one.  */
static void
advance_window (struct cym_retry_budget *budget,
                const struct cym_retry_limits *limits, cy_time_ns now)
{
  int64_t slice = now / (limits->window / CYM_RETRY_SLICES);
  int64_t passed = slice - budget->newest_slice;
  if (budget->started_at == 0)
    budget->started_at = now;
  if (passed <= 0)
    return;
  for (int64_t i = 1; i <= passed && i <= CYM_RETRY_SLICES_KEPT; i++)
    for (int source = 0; source < CYM_RETRY_SOURCE_COUNT; source++)
      {
        int64_t index = (budget->newest_slice + i) % CYM_RETRY_SLICES_KEPT;
        budget->counts[source].requests[index] = 0;
        budget->counts[source].retries[index] = 0;
      }
  budget->newest_slice = slice;
}

void
cym_retry_budget_start (struct cym_retry_budget *budget,
                        const struct cym_retry_limits *limits, cy_time_ns now)
{
  advance_window (budget, limits, now);
}

void
cym_retry_budget_add_remote (struct cym_retry_budget *budget,
                             const struct cym_retry_limits *limits,
                             enum cym_retry_source source, uint32_t requests,
                             uint32_t retries, cy_time_ns now)
{
  advance_window (budget, limits, now);
  int64_t index = budget->newest_slice % CYM_RETRY_SLICES_KEPT;
  budget->counts[source].requests[index] += requests;
  budget->counts[source].retries[index] += retries;
}

void
cym_retry_budget_record_request (struct cym_retry_budget *budget,
                                 const struct cym_retry_limits *limits,
                                 cy_time_ns now)
{
  cym_retry_budget_add_remote (budget, limits, CYM_RETRY_LOCAL, 1, 0, now);
  budget->requests++;
}

void
cym_retry_budget_record_missed (struct cym_retry_budget *budget,
                                cy_time_ns now)
{
  budget->incomplete_until = MAX (budget->incomplete_until, now);
}

bool
cym_retry_report_delta (struct cym_retry_last_report *last_report,
                        cy_time_ns gap, uint64_t *requests, uint64_t *retries,
                        cy_time_ns now)
{
  struct cym_retry_last_report previous = *last_report;
  *last_report = (struct cym_retry_last_report){ *requests, *retries, now };
  if (previous.received_at == 0)
    previous = *last_report;
  bool restarted
      = previous.requests > *requests || previous.retries > *retries;
  bool gap_exceeded = now - previous.received_at > gap;
  /* The other placer has restarted, so its counts began at 0.  */
  if (restarted)
    {
      previous.requests = 0;
      previous.retries = 0;
    }
  *requests = gap_exceeded ? 0 : *requests - previous.requests;
  *retries -= previous.retries;
  return !restarted && !gap_exceeded;
}

/* ------------------------------------------------------------ windows */

/* Running sums of the counts: entry I is the sum over the newest I slices.  */
struct slice_sums
{
  uint32_t requests[CYM_RETRY_SLICES_KEPT + 1];
  uint32_t retries[CYM_RETRY_SLICES_KEPT + 1];
};

/* Fills SUMS with the running sums over the sources FIRST to LAST.  */
static void
sum_counts (const struct cym_retry_budget *budget, enum cym_retry_source first,
            enum cym_retry_source last, struct slice_sums *sums)
{
  sums->requests[0] = 0;
  sums->retries[0] = 0;
  for (int i = 0; i < CYM_RETRY_SLICES_KEPT; i++)
    {
      int64_t index = (budget->newest_slice - i) % CYM_RETRY_SLICES_KEPT;
      uint32_t requests = 0;
      uint32_t retries = 0;
      for (int source = (int)first; source <= (int)last; source++)
        {
          requests += budget->counts[source].requests[index];
          retries += budget->counts[source].retries[index];
        }
      sums->requests[i + 1] = sums->requests[i] + requests;
      sums->retries[i + 1] = sums->retries[i] + retries;
    }
}

/* Returns the requests in the slices from number FROM down to number TO + 1.
   Slices are numbered into the past, the newest is 0; those below 0 are in the
   future and empty.  */
static uint32_t
requests_between (const struct slice_sums *sums, int to, int from)
{
  return sums->requests[MAX (from + 1, 0)] - sums->requests[MAX (to + 1, 0)];
}

/* Requests in the three windows around, after and before one moment within a
   slice.  Slices that a window contains only in part are left out.  */
struct nearby_requests
{
  double around;    /* window with the moment in the middle */
  double following; /* window that begins at the moment */
  double preceding; /* window that ends at the moment */
};

/* Requests near a moment within slice SLICE, numbered as in requests_between.
 */
static struct nearby_requests
requests_near (const struct slice_sums *sums, int slice)
{
  return (struct nearby_requests){
    .around = requests_between (sums, slice - HALF_WINDOW_SLICES,
                                slice + HALF_WINDOW_SLICES - 1),
    .following = requests_between (sums, slice - CYM_RETRY_SLICES, slice - 1),
    .preceding = requests_between (sums, slice, slice + CYM_RETRY_SLICES - 1),
  };
}

/* ------------------------------------------------------------ budget */

/* Converts MS to slices, rounded up, at most CYM_RETRY_SLICES_MARGIN.  */
static int
slices_for_ms (const struct cym_retry_limits *limits, int64_t ms)
{
  cy_time_ns slice_ns = limits->window / CYM_RETRY_SLICES;
  int64_t count = (ms * CY_NS_PER_MS + slice_ns - 1) / slice_ns;
  return (int)MIN (count, CYM_RETRY_SLICES_MARGIN);
}

/* Number of requests that the retries of a region are compared with: those of
   the region in the preceding window, which no longer change, plus an even
   part of what the fleet's best window has beyond its preceding one, which
   only grows.  */
static double
budget_base (const struct nearby_requests *local,
             const struct nearby_requests *others, unsigned region_count)
{
  double preceding = local->preceding + others->preceding;
  double best = fmax (local->around + others->around,
                      local->following + others->following);
  return local->preceding + fmax (best - preceding, 0) / MAX (region_count, 1);
}

/* Smallest budget_base of a window that begins within slice SLICE.  The counts
   of this region may be up to COUNT_DELAY slices late, those of OTHERS up to
   COUNT_DELAY + REPORT_DELAY.  OTHERS is NULL when not all placers report.  */
static double
budget_base_min (const struct slice_sums *local,
                 const struct slice_sums *others, unsigned region_count,
                 int slice, int count_delay, int report_delay)
{
  const struct nearby_requests local_requests[]
      = { requests_near (local, slice),
          requests_near (local, slice - count_delay) };
  if (others == NULL)
    return fmin (local_requests[0].preceding, local_requests[1].preceding);
  const struct nearby_requests other_requests[]
      = { requests_near (others, slice),
          requests_near (others, slice - count_delay - report_delay) };
  double minimum = INFINITY;
  for (int i = 0; i < 4; i++)
    minimum
        = fmin (minimum, budget_base (&local_requests[i / 2],
                                      &other_requests[i % 2], region_count));
  return minimum;
}

/* True when the counts of the window before slice SLICE are complete.  If
   counts are missing there, the load seems to have grown after that window,
   which would raise the budget.  */
static bool
is_complete (const struct cym_retry_budget *budget,
             const struct cym_retry_limits *limits, int slice, cy_time_ns now)
{
  cy_time_ns slice_ns = limits->window / CYM_RETRY_SLICES;
  return budget->incomplete_until == 0
         || now - (slice + CYM_RETRY_SLICES) * slice_ns
                >= budget->incomplete_until;
}

bool
cym_retry_budget_has (struct cym_retry_budget *budget,
                      const struct cym_retry_limits *limits,
                      const struct cym_retry_view *view, uint32_t count,
                      cy_time_ns now)
{
  struct slice_sums local;
  struct slice_sums region;
  struct slice_sums others;
  const int transit = slices_for_ms (limits, CYM_RETRY_TRANSIT_MS);
  const int count_delay = slices_for_ms (limits, CYM_RETRY_COUNT_DELAY_MS);
  const int report_delay = slices_for_ms (limits, CYM_RETRY_REPORT_DELAY_MS);
  advance_window (budget, limits, now);
  sum_counts (budget, CYM_RETRY_LOCAL, CYM_RETRY_LOCAL, &local);
  sum_counts (budget, CYM_RETRY_LOCAL, CYM_RETRY_SAME_REGION, &region);
  sum_counts (budget, CYM_RETRY_OTHER_REGION, CYM_RETRY_OTHER_REGION, &others);
  /* During the first window the retries of other placers are not all known:
     they may have used the fixed part.  */
  double fixed = now - budget->started_at < limits->window ? 0 : limits->fixed;
  /* Retries that were granted in slice FIRST or later may arrive in slice
     SLICE or later.  */
  for (int first = 0; first <= CYM_RETRY_SLICES + transit; first++)
    {
      int slice = first - transit;
      bool others_known
          = view->all_placers_known
            && is_complete (budget, limits, slice + count_delay + report_delay,
                            now);
      double base = budget_base_min (&region, others_known ? &others : NULL,
                                     limits->regions, slice, count_delay,
                                     report_delay);
      if (region.retries[first + 1] + count > base * limits->ratio + fixed)
        return false;
      if (view->share >= 1)
        continue;
      /* Other placers of the region may grant retries at the same moment.  */
      base = budget_base_min (&local, NULL, 1, slice, count_delay,
                              report_delay);
      if (local.retries[first + 1] + count
          > base * limits->ratio + fixed * view->share)
        return false;
    }
  return true;
}

bool
cym_retry_budget_take (struct cym_retry_budget *budget,
                       const struct cym_retry_limits *limits,
                       const struct cym_retry_view *view, cy_time_ns now)
{
  if (!cym_retry_budget_has (budget, limits, view, 1, now))
    return false;
  budget->counts[CYM_RETRY_LOCAL]
      .retries[budget->newest_slice % CYM_RETRY_SLICES_KEPT]++;
  budget->retries++;
  return true;
}

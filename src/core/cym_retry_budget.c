#include "core/cym_retry_budget.h"

#include <math.h>
#include <sys/param.h>

#define HALF (CYM_RETRY_SLICES / 2)

/* Clears the slices that have passed since the newest one.  */
static void
turn (struct cym_retry_budget *repeats, const struct cym_retry_limits *bounds,
      cy_time_ns now)
{
  int64_t slice = now / (bounds->window / CYM_RETRY_SLICES);
  int64_t passed = slice - repeats->slice;
  if (repeats->since == 0)
    repeats->since = now;
  if (passed <= 0)
    return;
  for (int64_t i = 1; i <= passed && i <= CYM_RETRY_SLICES_KEPT; i++)
    for (int source = 0; source < CYM_RETRY_SOURCE_COUNT; source++)
      {
        int64_t at = (repeats->slice + i) % CYM_RETRY_SLICES_KEPT;
        repeats->of[source].requests[at] = 0;
        repeats->of[source].repeats[at] = 0;
      }
  repeats->slice = slice;
}

void
cym_retry_budget_start (struct cym_retry_budget *repeats,
                        const struct cym_retry_limits *bounds, cy_time_ns now)
{
  turn (repeats, bounds, now);
}

void
cym_retry_budget_add_remote (struct cym_retry_budget *repeats,
                             const struct cym_retry_limits *bounds,
                             enum cym_retry_source source, uint32_t requests,
                             uint32_t taken, cy_time_ns now)
{
  turn (repeats, bounds, now);
  int64_t at = repeats->slice % CYM_RETRY_SLICES_KEPT;
  repeats->of[source].requests[at] += requests;
  repeats->of[source].repeats[at] += taken;
}

void
cym_retry_budget_record_request (struct cym_retry_budget *repeats,
                                 const struct cym_retry_limits *bounds,
                                 cy_time_ns now)
{
  cym_retry_budget_add_remote (repeats, bounds, CYM_RETRY_LOCAL, 1, 0, now);
  repeats->requests++;
}

void
cym_retry_budget_record_missed (struct cym_retry_budget *repeats,
                                cy_time_ns now)
{
  repeats->missed = MAX (repeats->missed, now);
}

bool
cym_retry_report_delta (struct cym_retry_last_report *told, cy_time_ns gap,
                        uint64_t *requests, uint64_t *repeats, cy_time_ns now)
{
  struct cym_retry_last_report last = *told;
  *told = (struct cym_retry_last_report){ *requests, *repeats, now };
  if (last.at == 0)
    last = *told;
  bool anew = last.requests > *requests || last.repeats > *repeats;
  bool silent = now - last.at > gap;
  /* It counts from 0.  */
  if (anew)
    {
      last.requests = 0;
      last.repeats = 0;
    }
  *requests = silent ? 0 : *requests - last.requests;
  *repeats -= last.repeats;
  return !anew && !silent;
}

/* ------------------------------------------------------------ windows */

/* Sums over the newest slices: entry I is that of the newest I.  */
struct sums
{
  uint32_t requests[CYM_RETRY_SLICES_KEPT + 1];
  uint32_t repeats[CYM_RETRY_SLICES_KEPT + 1];
};

/* Sums up the sources from FROM to LAST.  */
static void
sum_up (const struct cym_retry_budget *repeats, enum cym_retry_source from,
        enum cym_retry_source last, struct sums *sums)
{
  sums->requests[0] = 0;
  sums->repeats[0] = 0;
  for (int i = 0; i < CYM_RETRY_SLICES_KEPT; i++)
    {
      int64_t at = (repeats->slice - i) % CYM_RETRY_SLICES_KEPT;
      uint32_t requests = 0;
      uint32_t taken = 0;
      for (int source = (int)from; source <= (int)last; source++)
        {
          requests += repeats->of[source].requests[at];
          taken += repeats->of[source].repeats[at];
        }
      sums->requests[i + 1] = sums->requests[i] + requests;
      sums->repeats[i + 1] = sums->repeats[i] + taken;
    }
}

/* Requests in the slices from FROM to the one before TO, numbered from the
   newest, which is 0, into the past; those below 0 are still to come.  */
static uint32_t
asked_between (const struct sums *sums, int to, int from)
{
  return sums->requests[MAX (from + 1, 0)] - sums->requests[MAX (to + 1, 0)];
}

/* Requests near a moment in slice AT, without the slices that a window holds
   in part: of the window around it, the one that follows and the one before.
 */
struct asked
{
  double around;
  double since;
  double before;
};

static struct asked
asked_near (const struct sums *sums, int at)
{
  return (struct asked){
    .around = asked_between (sums, at - HALF, at + HALF - 1),
    .since = asked_between (sums, at - CYM_RETRY_SLICES, at - 1),
    .before = asked_between (sums, at, at + CYM_RETRY_SLICES - 1),
  };
}

/* ------------------------------------------------------------ budget */

/* MS in slices, rounded up; at most what is kept allows for.  */
static int
slices_of (const struct cym_retry_limits *bounds, int64_t ms)
{
  cy_time_ns slice = bounds->window / CYM_RETRY_SLICES;
  int64_t count = (ms * CY_NS_PER_MS + slice - 1) / slice;
  return (int)MIN (count, CYM_RETRY_SLICES_MARGIN);
}

/* Requests that a region's repeats are held against: its OWN of the window
   before, which no longer change, and an even part of what the best window of
   the fleet holds beyond, which only grows.  */
static double
asked_for (const struct asked *own, const struct asked *others,
           unsigned regions)
{
  double before = own->before + others->before;
  double best
      = fmax (own->around + others->around, own->since + others->since);
  return own->before + fmax (best - before, 0) / MAX (regions, 1);
}

/* The same for a window from slice AT on, at the least: counts of callers of
   this region came up to LATE slices late, those of the others, which are NULL
   if not all are heard, up to LATE and TOLD.  */
static double
asked_least (const struct sums *own, const struct sums *others,
             unsigned regions, int at, int late, int told)
{
  const struct asked mine[]
      = { asked_near (own, at), asked_near (own, at - late) };
  if (others == NULL)
    return fmin (mine[0].before, mine[1].before);
  const struct asked theirs[]
      = { asked_near (others, at), asked_near (others, at - late - told) };
  double least = INFINITY;
  for (int i = 0; i < 4; i++)
    least = fmin (least, asked_for (&mine[i / 2], &theirs[i % 2], regions));
  return least;
}

/* True when nothing was missed of the window before slice AT.  What was would
   pass for a load that has grown since.  */
static bool
is_complete (const struct cym_retry_budget *repeats,
             const struct cym_retry_limits *bounds, int at, cy_time_ns now)
{
  cy_time_ns slice = bounds->window / CYM_RETRY_SLICES;
  return repeats->missed == 0
         || now - (at + CYM_RETRY_SLICES) * slice >= repeats->missed;
}

bool
cym_retry_budget_has (struct cym_retry_budget *repeats,
                      const struct cym_retry_limits *bounds,
                      const struct cym_retry_view *view, uint32_t count,
                      cy_time_ns now)
{
  struct sums own;
  struct sums region;
  struct sums others;
  const int way = slices_of (bounds, CYM_RETRY_TRANSIT_MS);
  const int late = slices_of (bounds, CYM_RETRY_COUNT_DELAY_MS);
  const int told = slices_of (bounds, CYM_RETRY_REPORT_DELAY_MS);
  turn (repeats, bounds, now);
  sum_up (repeats, CYM_RETRY_LOCAL, CYM_RETRY_LOCAL, &own);
  sum_up (repeats, CYM_RETRY_LOCAL, CYM_RETRY_SAME_REGION, &region);
  sum_up (repeats, CYM_RETRY_OTHER_REGION, CYM_RETRY_OTHER_REGION, &others);
  /* Before it has listened for a window, others may have spent the fixed
     part.  */
  double fixed = now - repeats->since < bounds->window ? 0 : bounds->fixed;
  /* What was taken from slice FIRST on may arrive from slice AT on.  */
  for (int first = 0; first <= CYM_RETRY_SLICES + way; first++)
    {
      int at = first - way;
      bool all
          = view->all && is_complete (repeats, bounds, at + late + told, now);
      double asked = asked_least (&region, all ? &others : NULL,
                                  bounds->regions, at, late, told);
      if (region.repeats[first + 1] + count > asked * bounds->ratio + fixed)
        return false;
      if (view->share >= 1)
        continue;
      /* Other placers of the region may take at the same moment.  */
      asked = asked_least (&own, NULL, 1, at, late, told);
      if (own.repeats[first + 1] + count
          > asked * bounds->ratio + fixed * view->share)
        return false;
    }
  return true;
}

bool
cym_retry_budget_take (struct cym_retry_budget *repeats,
                       const struct cym_retry_limits *bounds,
                       const struct cym_retry_view *view, cy_time_ns now)
{
  if (!cym_retry_budget_has (repeats, bounds, view, 1, now))
    return false;
  repeats->of[CYM_RETRY_LOCAL]
      .repeats[repeats->slice % CYM_RETRY_SLICES_KEPT]++;
  repeats->repeats++;
  return true;
}

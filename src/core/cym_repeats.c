#include "core/cym_repeats.h"

#include <sys/param.h>

#define HALF (CYM_REPEATS_SLICES / 2)

/* Clears the slices that have passed since the newest one.  */
static void
turn (struct cym_repeats *repeats, const struct cym_repeat_bounds *bounds,
      cy_time_ns now)
{
  int64_t slice = now / (bounds->window / CYM_REPEATS_SLICES);
  int64_t passed = slice - repeats->slice;
  if (repeats->since == 0)
    repeats->since = now;
  if (passed <= 0)
    return;
  for (int64_t i = 1; i <= passed && i <= CYM_REPEATS_KEPT; i++)
    for (int source = 0; source < CYM_REPEATS_SOURCES; source++)
      {
        int64_t at = (repeats->slice + i) % CYM_REPEATS_KEPT;
        repeats->of[source].requests[at] = 0;
        repeats->of[source].repeats[at] = 0;
      }
  repeats->slice = slice;
}

void
cym_repeats_listen (struct cym_repeats *repeats,
                    const struct cym_repeat_bounds *bounds, cy_time_ns now)
{
  turn (repeats, bounds, now);
}

void
cym_repeats_hear (struct cym_repeats *repeats,
                  const struct cym_repeat_bounds *bounds,
                  enum cym_repeats_source source, uint32_t requests,
                  uint32_t taken, cy_time_ns now)
{
  turn (repeats, bounds, now);
  int64_t at = repeats->slice % CYM_REPEATS_KEPT;
  repeats->of[source].requests[at] += requests;
  repeats->of[source].repeats[at] += taken;
}

void
cym_repeats_request (struct cym_repeats *repeats,
                     const struct cym_repeat_bounds *bounds, cy_time_ns now)
{
  cym_repeats_hear (repeats, bounds, CYM_REPEATS_OWN, 1, 0, now);
  repeats->requests++;
}

void
cym_repeats_news (struct cym_repeats_told *told, cy_time_ns gap,
                  uint64_t *requests, uint64_t *repeats, cy_time_ns now)
{
  struct cym_repeats_told last = *told;
  *told = (struct cym_repeats_told){ *requests, *repeats, now };
  if (last.at == 0)
    last = *told;
  /* It started anew and counts from 0.  */
  if (last.requests > *requests || last.repeats > *repeats)
    {
      last.requests = 0;
      last.repeats = 0;
    }
  *requests = now - last.at > gap ? 0 : *requests - last.requests;
  *repeats -= last.repeats;
}

/* ------------------------------------------------------------ windows */

/* Sums over the newest slices: entry I is that of the newest I.  */
struct sums
{
  uint32_t requests[CYM_REPEATS_KEPT + 1];
  uint32_t repeats[CYM_REPEATS_KEPT + 1];
};

/* Sums up the sources from CYM_REPEATS_OWN to LAST.  */
static void
sum_up (const struct cym_repeats *repeats, enum cym_repeats_source last,
        struct sums *sums)
{
  sums->requests[0] = 0;
  sums->repeats[0] = 0;
  for (int i = 0; i < CYM_REPEATS_KEPT; i++)
    {
      int64_t at = (repeats->slice - i) % CYM_REPEATS_KEPT;
      uint32_t requests = 0;
      uint32_t taken = 0;
      for (int source = 0; source <= (int)last; source++)
        {
          requests += repeats->of[source].requests[at];
          taken += repeats->of[source].repeats[at];
        }
      sums->requests[i + 1] = sums->requests[i] + requests;
      sums->repeats[i + 1] = sums->repeats[i] + taken;
    }
}

/* Requests of the window around the start of the span that began in the
   COUNTth newest slice, as far as they have come in.  */
static uint32_t
asked_around (const struct sums *sums, int count)
{
  return sums->requests[count - 1 + HALF]
         - sums->requests[count > HALF ? count - HALF : 0];
}

/* The most of that window, the one of the span itself and the one before.  */
static uint32_t
asked_most (const struct sums *sums, int count)
{
  uint32_t before
      = sums->requests[count - 1 + CYM_REPEATS_SLICES] - sums->requests[count];
  uint32_t most = MAX (sums->requests[count - 1], before);
  return MAX (most, asked_around (sums, count));
}

/* ------------------------------------------------------------ budget */

/* True when the budget has one more.  */
static bool
has_one (struct cym_repeats *repeats, const struct cym_repeat_bounds *bounds,
         const struct cym_repeat_view *view, cy_time_ns now)
{
  struct sums own;
  struct sums region;
  struct sums fleet;
  turn (repeats, bounds, now);
  sum_up (repeats, CYM_REPEATS_OWN, &own);
  sum_up (repeats, CYM_REPEATS_REGION, &region);
  sum_up (repeats, CYM_REPEATS_ELSEWHERE, &fleet);
  /* Before it has listened for a window, others may have spent the fixed
     part.  */
  double fixed = now - repeats->since < bounds->window ? 0 : bounds->fixed;
  for (int count = 1; count <= CYM_REPEATS_SLICES + 1; count++)
    {
      double asked = asked_around (&region, count);
      if (view->all)
        asked += (double)(asked_most (&fleet, count)
                          - asked_around (&fleet, count))
                 / MAX (bounds->regions, 1);
      if (region.repeats[count] + 1 > asked * bounds->ratio + fixed)
        return false;
      /* Other placers of the region may take at the same moment.  */
      if (view->share < 1
          && own.repeats[count] + 1
                 > asked_around (&own, count) * bounds->ratio
                       + fixed * view->share)
        return false;
    }
  return true;
}

bool
cym_repeats_take (struct cym_repeats *repeats,
                  const struct cym_repeat_bounds *bounds,
                  const struct cym_repeat_view *view, cy_time_ns now)
{
  if (!has_one (repeats, bounds, view, now))
    {
      repeats->refused++;
      return false;
    }
  repeats->of[CYM_REPEATS_OWN].repeats[repeats->slice % CYM_REPEATS_KEPT]++;
  repeats->repeats++;
  return true;
}

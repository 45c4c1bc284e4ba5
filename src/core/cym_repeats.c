#include "core/cym_repeats.h"

#include <sys/param.h>

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
    {
      repeats->requests[(repeats->slice + i) % CYM_REPEATS_KEPT] = 0;
      repeats->repeats[(repeats->slice + i) % CYM_REPEATS_KEPT] = 0;
    }
  repeats->slice = slice;
}

void
cym_repeats_request (struct cym_repeats *repeats,
                     const struct cym_repeat_bounds *bounds, cy_time_ns now)
{
  turn (repeats, bounds, now);
  repeats->requests[repeats->slice % CYM_REPEATS_KEPT]++;
}

/* Sums over the newest slices: SUMS[i] is that of the newest I.  */
static void
sum_up (const struct cym_repeats *repeats, const uint32_t *counts,
        uint32_t *sums)
{
  sums[0] = 0;
  for (int i = 0; i < CYM_REPEATS_KEPT; i++)
    sums[i + 1] = sums[i] + counts[(repeats->slice - i) % CYM_REPEATS_KEPT];
}

/* Requests of the window around the start of the span that began in the
   COUNTth newest slice: half a window before it and half a window after, as
   far as they have come in.  */
static uint32_t
asked_around (const uint32_t *sums, int count)
{
  const int half = CYM_REPEATS_SLICES / 2;
  return sums[count - 1 + half] - sums[count > half ? count - half : 0];
}

bool
cym_repeats_take (struct cym_repeats *repeats,
                  const struct cym_repeat_bounds *bounds, double share,
                  cy_time_ns now)
{
  uint32_t requests[CYM_REPEATS_KEPT + 1];
  uint32_t taken[CYM_REPEATS_KEPT + 1];
  turn (repeats, bounds, now);
  sum_up (repeats, repeats->requests, requests);
  sum_up (repeats, repeats->repeats, taken);
  double begun = (double)(now - repeats->since) / (double)bounds->window;
  double fixed = bounds->fixed * share * (begun < 1 ? begun : 1);
  for (int count = 1; count <= CYM_REPEATS_SLICES + 1; count++)
    if (taken[count] + 1
        > asked_around (requests, count) * bounds->ratio + fixed)
      return false;
  repeats->repeats[repeats->slice % CYM_REPEATS_KEPT]++;
  return true;
}

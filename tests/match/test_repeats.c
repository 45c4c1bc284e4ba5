/* The budget of repeats against callers that take all they get.  */

#include <glib.h>

#include "core/cym_repeats.h"
#include "cy_test.h"

#define MS      CY_NS_PER_MS
#define STEPS   600 /* of STEP_MS */
#define STEP_MS 100
#define WINDOW  (100 * STEP_MS) /* ms */

#define N(array) (sizeof (array) / sizeof ((array)[0]))

static const struct cym_repeat_bounds bounds
    = { .window = WINDOW * MS, .ratio = 0.2, .fixed = 50 };

/* One load: requests in a step, as a wave between LOW and HIGH.  */
static const struct
{
  const char *pattern;
  unsigned low;
  unsigned high;
  unsigned period;  /* steps */
  unsigned pause;   /* steps between two times that repeats are asked for */
  int64_t shift_ms; /* of the first step against the slices */
  unsigned moves;   /* step at which another counter follows, 0: none */
  unsigned regions; /* each with a counter, their waves in turn */
} loads[] = {
  { "steady", 10, 10, 50, 1, 0, 0, 1 },
  { "steady, asked for every 9.2 s", 10, 10, 50, 92, 950, 0, 1 },
  { "nothing but repeats, every 9.2 s", 0, 0, 50, 92, 950, 0, 1 },
  { "waves", 0, 40, 60, 1, 330, 0, 1 },
  { "waves, asked for every 9.6 s", 0, 40, 60, 96, 950, 0, 1 },
  { "the placer moves", 10, 10, 50, 1, 0, 300, 1 },
  { "the placer moves, nothing but repeats", 0, 0, 50, 1, 0, 300, 1 },
  { "three regions, waves in turn", 5, 15, 120, 1, 330, 0, 3 },
  { "three regions, short waves in turn", 0, 40, 60, 1, 330, 0, 3 },
  { "three regions, the placers move", 0, 40, 60, 1, 330, 300, 3 },
};

static unsigned
sum_from (const unsigned *counts, int from)
{
  unsigned sum = 0;
  for (int i = MAX (from, 0); i < from + WINDOW / STEP_MS; i++)
    sum += counts[i];
  return sum;
}

/* Requests that a span of repeats is held against: nobody knows at the time of
   a repeat that requests will stop, so those of the window before or half a
   window before count too.  */
static unsigned
asked_around (const unsigned *requests, int from)
{
  unsigned asked = sum_from (requests, from);
  asked = MAX (asked, sum_from (requests, from - WINDOW / STEP_MS / 2));
  return MAX (asked, sum_from (requests, from - WINDOW / STEP_MS));
}

#define REGIONS_MOST 3

START_TEST (test_any_span)
{
  struct cym_repeats counters[REGIONS_MOST][2] = { 0 };
  unsigned requests[STEPS] = { 0 };
  unsigned repeats[STEPS] = { 0 };
  unsigned sum = 0;
  for (unsigned step = 0; step < STEPS; step++)
    {
      cy_time_ns now
          = 1000 * CY_NS_PER_S + (loads[_i].shift_ms + step * STEP_MS) * MS;
      for (unsigned region = 0; region < loads[_i].regions; region++)
        {
          bool moved = loads[_i].moves > 0 && step >= loads[_i].moves;
          struct cym_repeats *at = &counters[region][moved];
          unsigned later = 2 * loads[_i].period * region / loads[_i].regions;
          bool high = (step + later) / loads[_i].period % 2 == 0;
          unsigned asked = high ? loads[_i].high : loads[_i].low;
          for (unsigned i = 0; i < asked; i++)
            cym_repeats_request (at, &bounds, now);
          requests[step] += asked;
          while (
              step % loads[_i].pause == 0
              && cym_repeats_take (at, &bounds, 1.0 / loads[_i].regions, now))
            repeats[step]++;
        }
      sum += repeats[step];
    }
  for (int from = 0; from + WINDOW / STEP_MS <= STEPS; from++)
    {
      unsigned asked = asked_around (requests, from);
      unsigned again = sum_from (repeats, from);
      ck_assert_msg (again <= asked * bounds.ratio + bounds.fixed,
                     "%s: %u repeats in 10 s from step %d, %u requests",
                     loads[_i].pattern, again, from, asked);
    }
  /* The budget is there to be used.  */
  ck_assert_uint_ge (sum, (unsigned)bounds.fixed);
}
END_TEST

/* Two placers of one region have half of the fixed part each.  */
START_TEST (test_share)
{
  struct cym_repeats counter = { 0 };
  unsigned taken = 0;
  cym_repeats_request (&counter, &bounds, 1000 * CY_NS_PER_S);
  while (cym_repeats_take (&counter, &bounds, 0.5, 1020 * CY_NS_PER_S))
    taken++;
  ck_assert_uint_eq (taken, (unsigned)bounds.fixed / 2);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("repeats");
  TCase *tcase = tcase_create ("repeats");
  tcase_add_loop_test (tcase, test_any_span, 0, N (loads));
  tcase_add_test (tcase, test_share);
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}

/* The budget of repeats against callers that take all they get.  */

#include <glib.h>
#include <string.h>

#include "core/cym_retry_budget.h"
#include "cy_test.h"

#define MS      CY_NS_PER_MS
#define STEPS   600 /* of STEP_MS */
#define STEP_MS 100
#define WINDOW  (100 * STEP_MS) /* ms */

#define N(array) (sizeof (array) / sizeof ((array)[0]))

static const struct cym_retry_limits bounds
    = { .window = WINDOW * MS, .ratio = 0.2, .fixed = 50 };

/* One load: requests in a step, as a wave between LOW and HIGH.  */
static const struct
{
  const char *pattern;
  unsigned low;
  unsigned high;
  unsigned period;  /* steps */
  unsigned pause;   /* steps between two times that repeats are asked for, the
                       counter that follows is asked at each step */
  int64_t shift_ms; /* of the first step against the slices */
  unsigned moves;   /* step at which another counter follows, which is asked at
                       every step, 0: none */
  unsigned regions; /* each with a placer, their waves in turn */
  bool cut;         /* regions do not hear each other */
} loads[] = {
  { "steady", 10, 10, 50, 1, 0, 0, 1, false },
  { "steady, asked for every 9.2 s", 10, 10, 50, 92, 950, 0, 1, false },
  { "nothing but repeats, every 9.2 s", 0, 0, 50, 92, 950, 0, 1, false },
  { "waves", 0, 40, 60, 1, 330, 0, 1, false },
  { "waves, asked for every 9.6 s", 0, 40, 60, 96, 950, 0, 1, false },
  { "the placer moves", 10, 10, 50, 1, 0, 300, 1, false },
  { "the placer moves, nothing but repeats", 0, 0, 50, 1, 0, 300, 1, false },
  { "the placer moves after a burst of repeats", 0, 0, 50, 150, 0, 151, 1,
    false },
  { "three regions, waves in turn", 5, 15, 120, 1, 330, 0, 3, false },
  { "three regions, short waves in turn", 0, 40, 60, 1, 330, 0, 3, false },
  { "three regions, the placers move", 0, 40, 60, 1, 330, 300, 3, false },
  { "three regions, cut off, waves in turn", 0, 40, 60, 1, 330, 0, 3, true },
  { "three regions begin at once", 10, 10, 50, 1, 0, 0, 3, false },
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
#define BEAT         3 /* steps between two times that placers tell counts */

/* A placer, and how far it has told the others what it counted.  */
struct placer
{
  struct cym_retry_budget counter;
  uint64_t told_requests;
  uint64_t told_repeats;
};

static struct placer placers[REGIONS_MOST][2];

/* Placer PLACER of REGION tells all others.  */
static void
tell (unsigned region, unsigned placer, bool cut, cy_time_ns now)
{
  struct placer *self = &placers[region][placer];
  struct cym_retry_budget *own = &self->counter;
  for (unsigned to = 0; to < REGIONS_MOST; to++)
    for (unsigned i = 0; i < 2; i++)
      if ((to != region || i != placer) && (to == region || !cut))
        cym_retry_budget_add_remote (
            &placers[to][i].counter, &bounds,
            to == region ? CYM_RETRY_SAME_REGION : CYM_RETRY_OTHER_REGION,
            (uint32_t)(own->requests - self->told_requests),
            (uint32_t)(own->repeats - self->told_repeats), now);
  self->told_requests = own->requests;
  self->told_repeats = own->repeats;
}

START_TEST (test_any_span)
{
  unsigned requests[STEPS] = { 0 };
  unsigned repeats[STEPS] = { 0 };
  unsigned sum = 0;
  const unsigned regions = loads[_i].regions;
  const struct cym_retry_limits part = { .window = bounds.window,
                                         .ratio = bounds.ratio,
                                         .fixed = bounds.fixed / regions,
                                         .regions = regions };
  const struct cym_retry_view view = { 1, !loads[_i].cut };
  memset (placers, 0, sizeof placers);
  for (unsigned step = 0; step < STEPS; step++)
    {
      cy_time_ns now
          = 1000 * CY_NS_PER_S + (loads[_i].shift_ms + step * STEP_MS) * MS;
      bool moved = loads[_i].moves > 0 && step >= loads[_i].moves;
      for (unsigned region = 0; region < regions; region++)
        {
          struct cym_retry_budget *at = &placers[region][moved].counter;
          unsigned later = 2 * loads[_i].period * region / regions;
          bool high = (step + later) / loads[_i].period % 2 == 0;
          unsigned asked = high ? loads[_i].high : loads[_i].low;
          bool asks = moved || step % loads[_i].pause == 0;
          for (unsigned i = 0; i < asked; i++)
            cym_retry_budget_record_request (at, &part, now);
          requests[step] += asked;
          while (asks && cym_retry_budget_take (at, &part, &view, now))
            repeats[step]++;
        }
      for (unsigned i = 0; step % BEAT == 0 && i < 2 * regions; i++)
        tell (i / 2, i % 2, loads[_i].cut, now);
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
  struct cym_retry_budget counter = { 0 };
  const struct cym_retry_view half = { 0.5, true };
  unsigned taken = 0;
  cym_retry_budget_record_request (&counter, &bounds, 1000 * CY_NS_PER_S);
  while (cym_retry_budget_take (&counter, &bounds, &half, 1020 * CY_NS_PER_S))
    taken++;
  ck_assert_uint_eq (taken, (unsigned)bounds.fixed / 2);
}
END_TEST

/* All that a fleet may repeat when its load has just begun, and how much of it
   one of three regions has that hears the others or not.  */
START_TEST (test_load_begins)
{
  static const struct
  {
    unsigned regions;
    bool all;
    unsigned least;
  } cases[] = {
    { 1, true, 100 }, /* a fifth of 500 */
    { 3, true, 33 },
    { 3, false, 0 },
  };
  for (unsigned i = 0; i < N (cases); i++)
    {
      struct cym_retry_budget counter = { 0 };
      const struct cym_retry_limits part = { .window = bounds.window,
                                             .ratio = bounds.ratio,
                                             .regions = cases[i].regions };
      const struct cym_retry_view view = { 1, cases[i].all };
      unsigned taken = 0;
      cy_time_ns now = 1000 * CY_NS_PER_S;
      for (unsigned second = 0; second < 5; second++, now += CY_NS_PER_S)
        for (unsigned request = 0; request < 100; request++)
          cym_retry_budget_record_request (&counter, &part, now);
      while (cym_retry_budget_take (&counter, &part, &view, now))
        taken++;
      ck_assert_uint_ge (taken, cases[i].least);
      ck_assert_uint_le (taken, 100);
    }
}
END_TEST

/* What a placer says, in turn.  */
START_TEST (test_news)
{
  static const struct
  {
    const char *what;
    int64_t at_ms;
    uint64_t requests, repeats;
    uint64_t new_requests, new_repeats;
    bool complete; /* nothing was lost since the last word */
  } said[] = {
    { "the first time", 0, 500, 20, 0, 0, true },
    { "the next time", 250, 540, 23, 40, 3, true },
    { "nothing new", 500, 540, 23, 0, 0, true },
    { "after a cut", 3000, 900, 50, 0, 27, false },
    { "it is heard again", 3250, 940, 51, 40, 1, true },
    { "it started anew", 3500, 30, 2, 30, 2, false },
  };
  struct cym_retry_last_report told = { 0 };
  for (unsigned i = 0; i < N (said); i++)
    {
      uint64_t requests = said[i].requests;
      uint64_t repeats = said[i].repeats;
      bool complete
          = cym_retry_report_delta (&told, 1000 * MS, &requests, &repeats,
                                    1000 * CY_NS_PER_S + said[i].at_ms * MS);
      ck_assert_msg (complete == said[i].complete, "%s", said[i].what);
      ck_assert_msg (requests == said[i].new_requests
                         && repeats == said[i].new_repeats,
                     "%s: %u and %u are new", said[i].what, (unsigned)requests,
                     (unsigned)repeats);
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("repeats");
  TCase *tcase = tcase_create ("repeats");
  tcase_add_loop_test (tcase, test_any_span, 0, N (loads));
  tcase_add_test (tcase, test_share);
  tcase_add_test (tcase, test_load_begins);
  tcase_add_test (tcase, test_news);
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}

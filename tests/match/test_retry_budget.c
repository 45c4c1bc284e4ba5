/* Retry budget under callers that use every retry they can get: limits in any
   window, reports between placers, and the part of each region.  */

#include <glib.h>
#include <string.h>

#include "core/cym_retry_budget.h"
#include "cy_test.h"

#define MS      CY_NS_PER_MS
#define STEPS   600 /* steps of one run */
#define STEP_MS 100
#define WINDOW  (100 * STEP_MS) /* window of the budget, ms */

#define COUNT_OF(array) (sizeof (array) / sizeof ((array)[0]))

static const struct cym_retry_limits limits
    = { .window = WINDOW * MS, .ratio = 0.2, .fixed = 50 };

/* One load: PERIOD steps with HIGH requests each, then PERIOD steps with LOW
   requests each, and so on.  */
static const struct
{
  const char *pattern;
  unsigned low;
  unsigned high;
  unsigned period;
  /* Steps from one attempt to take retries to the next.  A placer that has
     taken over tries to take retries in each step.  */
  unsigned attempt_steps;
  int64_t shift_ms; /* offset of the first step to the slices */
  /* Step at which another placer takes over, 0: none.  */
  unsigned takeover_step;
  /* Regions, each with one placer; their waves are shifted evenly.  */
  unsigned regions;
  bool is_isolated; /* placers of different regions receive no reports */
} loads[] = {
  { "steady", 10, 10, 50, 1, 0, 0, 1, false },
  { "steady, retries taken every 9.2 s", 10, 10, 50, 92, 950, 0, 1, false },
  { "retries only, taken every 9.2 s", 0, 0, 50, 92, 950, 0, 1, false },
  { "waves", 0, 40, 60, 1, 330, 0, 1, false },
  { "waves, retries taken every 9.6 s", 0, 40, 60, 96, 950, 0, 1, false },
  { "another placer takes over", 10, 10, 50, 1, 0, 300, 1, false },
  { "another placer takes over, retries only", 0, 0, 50, 1, 0, 300, 1, false },
  { "another placer takes over after a burst of retries", 0, 0, 50, 150, 0,
    151, 1, false },
  { "three regions, waves shifted", 5, 15, 120, 1, 330, 0, 3, false },
  { "three regions, short waves shifted", 0, 40, 60, 1, 330, 0, 3, false },
  { "three regions, other placers take over", 0, 40, 60, 1, 330, 300, 3,
    false },
  { "three regions without reports, waves shifted", 0, 40, 60, 1, 330, 0, 3,
    true },
  { "three regions start at the same time", 10, 10, 50, 1, 0, 0, 3, false },
};

static unsigned
sum_from (const unsigned *counts, int from)
{
  unsigned sum = 0;
  for (int i = MAX (from, 0); i < from + WINDOW / STEP_MS; i++)
    sum += counts[i];
  return sum;
}

/* Requests that the retries from step FROM on are compared with: the most of
   the window that begins there, the window that begins half a window earlier
   and the window that ends there.  When a retry is allowed it is not
   known whether more requests will follow.  */
static unsigned
comparable_requests (const unsigned *requests, int from)
{
  unsigned requests_max = sum_from (requests, from);
  requests_max
      = MAX (requests_max, sum_from (requests, from - WINDOW / STEP_MS / 2));
  return MAX (requests_max, sum_from (requests, from - WINDOW / STEP_MS));
}

#define REGIONS_MAX  3
#define REPORT_STEPS 3 /* steps from one report of a placer to the next */

/* A placer, and the counts that it has reported to the others.  */
struct placer
{
  struct cym_retry_budget counter;
  uint64_t reported_requests;
  uint64_t reported_retries;
};

static struct placer placers[REGIONS_MAX][2];

/* Sends a report of placer PLACER of REGION to all other placers.
   IS_ISOLATED: only to the other placers of the region.  */
static void
send_report (unsigned region, unsigned placer, bool is_isolated,
             cy_time_ns now)
{
  struct placer *sender = &placers[region][placer];
  struct cym_retry_budget *counter = &sender->counter;
  for (unsigned receiver_region = 0; receiver_region < REGIONS_MAX;
       receiver_region++)
    for (unsigned i = 0; i < 2; i++)
      if ((receiver_region != region || i != placer)
          && (receiver_region == region || !is_isolated))
        cym_retry_budget_add_remote (
            &placers[receiver_region][i].counter, &limits,
            receiver_region == region ? CYM_RETRY_SAME_REGION
                                      : CYM_RETRY_OTHER_REGION,
            (uint32_t)(counter->requests - sender->reported_requests),
            (uint32_t)(counter->retries - sender->reported_retries), now);
  sender->reported_requests = counter->requests;
  sender->reported_retries = counter->retries;
}

/* Guards against more retries in some window than the limit allows, under
   every load, after another placer has taken over and with several regions. */
START_TEST (test_any_span)
{
  unsigned requests[STEPS] = { 0 };
  unsigned retries[STEPS] = { 0 };
  unsigned sum = 0;
  const unsigned regions = loads[_i].regions;
  const struct cym_retry_limits region_limits
      = { .window = limits.window,
          .ratio = limits.ratio,
          .fixed = limits.fixed / regions,
          .regions = regions };
  const struct cym_retry_view view = { 1, !loads[_i].is_isolated };
  memset (placers, 0, sizeof placers);
  for (unsigned step = 0; step < STEPS; step++)
    {
      cy_time_ns now
          = 1000 * CY_NS_PER_S + (loads[_i].shift_ms + step * STEP_MS) * MS;
      bool taken_over
          = loads[_i].takeover_step > 0 && step >= loads[_i].takeover_step;
      for (unsigned region = 0; region < regions; region++)
        {
          struct cym_retry_budget *budget
              = &placers[region][taken_over].counter;
          unsigned shift_steps = 2 * loads[_i].period * region / regions;
          bool high = (step + shift_steps) / loads[_i].period % 2 == 0;
          unsigned request_count = high ? loads[_i].high : loads[_i].low;
          bool takes_retries
              = taken_over || step % loads[_i].attempt_steps == 0;
          for (unsigned i = 0; i < request_count; i++)
            cym_retry_budget_record_request (budget, &region_limits, now);
          requests[step] += request_count;
          while (takes_retries
                 && cym_retry_budget_take (budget, &region_limits, &view, now))
            retries[step]++;
        }
      for (unsigned i = 0; step % REPORT_STEPS == 0 && i < 2 * regions; i++)
        send_report (i / 2, i % 2, loads[_i].is_isolated, now);
      sum += retries[step];
    }
  for (int from = 0; from + WINDOW / STEP_MS <= STEPS; from++)
    {
      unsigned request_count = comparable_requests (requests, from);
      unsigned retry_count = sum_from (retries, from);
      ck_assert_msg (retry_count
                         <= request_count * limits.ratio + limits.fixed,
                     "%s: %u retries in 10 s from step %d, %u requests",
                     loads[_i].pattern, retry_count, from, request_count);
    }
  /* Guards against a budget that allows too little.  */
  ck_assert_uint_ge (sum, (unsigned)limits.fixed);
}
END_TEST

/* Two placers of one region may use half of the fixed part each.  */
START_TEST (test_share)
{
  struct cym_retry_budget counter = { 0 };
  const struct cym_retry_view half = { 0.5, true };
  unsigned taken = 0;
  cym_retry_budget_record_request (&counter, &limits, 1000 * CY_NS_PER_S);
  while (cym_retry_budget_take (&counter, &limits, &half, 1020 * CY_NS_PER_S))
    taken++;
  ck_assert_uint_eq (taken, (unsigned)limits.fixed / 2);
}
END_TEST

/* A load that began five seconds ago: retries that the fleet may use, and the
   least that one of three regions gets, with and without reports of the other
   placers.  */
START_TEST (test_load_begins)
{
  static const struct
  {
    unsigned regions;
    bool all_placers_known;
    unsigned min;
  } cases[] = {
    { 1, true, 100 }, /* a fifth of 500 */
    { 3, true, 33 },
    { 3, false, 0 },
  };
  for (unsigned i = 0; i < COUNT_OF (cases); i++)
    {
      struct cym_retry_budget counter = { 0 };
      const struct cym_retry_limits region_limits
          = { .window = limits.window,
              .ratio = limits.ratio,
              .regions = cases[i].regions };
      const struct cym_retry_view view = { 1, cases[i].all_placers_known };
      unsigned taken = 0;
      cy_time_ns now = 1000 * CY_NS_PER_S;
      for (unsigned second = 0; second < 5; second++, now += CY_NS_PER_S)
        for (unsigned request = 0; request < 100; request++)
          cym_retry_budget_record_request (&counter, &region_limits, now);
      while (cym_retry_budget_take (&counter, &region_limits, &view, now))
        taken++;
      ck_assert_uint_ge (taken, cases[i].min);
      ck_assert_uint_le (taken, 100);
    }
}
END_TEST

/* Changes between consecutive reports of a placer.  Guards against counting
   requests twice or counting old ones as new, after a gap or a restart.  */
START_TEST (test_report_delta)
{
  static const struct
  {
    const char *pattern;
    int64_t received_at_ms; /* time of receipt after the first report */
    uint64_t requests, retries;
    uint64_t new_requests, new_retries;
    bool complete; /* no counts were lost since the previous report */
  } reports[] = {
    { "first report", 0, 500, 20, 0, 0, true },
    { "next report", 250, 540, 23, 40, 3, true },
    { "no change", 500, 540, 23, 0, 0, true },
    { "after a gap", 3000, 900, 50, 0, 27, false },
    { "next report after the gap", 3250, 940, 51, 40, 1, true },
    { "after a restart", 3500, 30, 2, 30, 2, false },
  };
  struct cym_retry_last_report last_report = { 0 };
  for (unsigned i = 0; i < COUNT_OF (reports); i++)
    {
      uint64_t requests = reports[i].requests;
      uint64_t retries = reports[i].retries;
      bool complete = cym_retry_report_delta (
          &last_report, 1000 * MS, &requests, &retries,
          1000 * CY_NS_PER_S + reports[i].received_at_ms * MS);
      ck_assert_msg (complete == reports[i].complete, "%s",
                     reports[i].pattern);
      ck_assert_msg (requests == reports[i].new_requests
                         && retries == reports[i].new_retries,
                     "%s: %u and %u are new", reports[i].pattern,
                     (unsigned)requests, (unsigned)retries);
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("repeats");
  TCase *tcase = tcase_create ("repeats");
  tcase_add_loop_test (tcase, test_any_span, 0, COUNT_OF (loads));
  tcase_add_test (tcase, test_share);
  tcase_add_test (tcase, test_load_begins);
  tcase_add_test (tcase, test_report_delta);
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}

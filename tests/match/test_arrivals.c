/* Retry budget as a service sees it: counted by the times at which requests
   are sent and retries arrive.  These differ from the times at which a placer
   counts them.  */

#include <glib.h>
#include <math.h>
#include <string.h>

#include "core/cym_retry_budget.h"
#include "cy_test.h"

#define MS                   CY_NS_PER_MS
#define STEP_MS              10
#define STEPS                4500              /* steps of one run */
#define WINDOW               (10000 / STEP_MS) /* window of the budget, steps */
#define REPORT_STEPS         25 /* steps from one report to the next */
#define REPORT_TRANSIT_STEPS 4  /* transit time of a report, steps */
#define REGIONS              3
#define BURST_FACTOR         1.7 /* factor of the requests in a burst */

/* One load of three regions.  Requests reach the placer of the region and
   retries reach their server after a random delay.  */
static const struct
{
  const char *pattern;
  unsigned request_rate; /* mean requests per step in a region */
  double amplitude;      /* amplitude of a sine wave, as a ratio of the rate */
  unsigned period;       /* steps of the wave; regions are a third apart */
  unsigned burst_on;     /* first step with BURST_FACTOR times the requests */
  unsigned burst_off;    /* step after the last such step, 0: no burst */
  unsigned shed_on;      /* first step in which servers decline requests */
  unsigned shed_off;     /* step after the last such step */
  unsigned retries_wanted; /* retries that a region needs in such a step */
  unsigned request_delay; /* most steps until a placer has counted a request */
  unsigned retry_delay;   /* most steps until a retry arrives */
  int64_t shift_ms;       /* offset of the first step to the slices */
  unsigned restart_step; /* step at which the first placer restarts, 0: none */
} loads[] = {
  { "servers shed half of a steady load, retries arrive at once", 4, 0, 100, 0,
    0, 1300, 2200, 3, 0, 0, 0, 0 },
  { "servers shed half of a steady load, retries arrive up to "
    "0.3 s later",
    4, 0, 100, 0, 0, 1300, 2200, 3, 0, 30, 0, 0 },
  { "servers shed half of a steady load, late retries, start within a slice",
    4, 0, 100, 0, 0, 1300, 2200, 3, 0, 30, 250, 0 },
  { "servers shed for long, retries arrive up to 0.3 s later", 4, 0, 100, 0, 0,
    1000, 4500, 3, 0, 30, 130, 0 },
  { "waves, requests reach placers up to 0.15 s later", 4, 0.55, 3600, 0, 0,
    1300, 4500, 3, 15, 0, 0, 0 },
  { "short waves, requests reach placers up to 0.15 s later", 4, 0.9, 1400, 0,
    0, 1300, 4500, 3, 15, 0, 170, 0 },
  { "a burst just before the servers shed", 2, 0, 100, 1220, 1290, 1300, 3500,
    3, 15, 0, 0, 0 },
  { "a burst a window before the end", 2, 0, 100, 1200, 1250, 1600, 4500, 3,
    15, 0, 330, 0 },
  { "a burst while servers shed, all delays", 2, 0.5, 1800, 1500, 1620, 1300,
    4500, 3, 15, 30, 480, 0 },
  { "one region's load falls and another one's rises while servers shed", 4,
    0.9, 3600, 640, 860, 1300, 3800, 9, 20, 45, 70, 0 },
  { "load moves between regions in short waves, all delays", 4, 0.9, 1400, 640,
    860, 1300, 3800, 9, 20, 45, 70, 0 },
  { "load moves between regions, late requests, start within a slice", 4, 0.9,
    3600, 340, 560, 1000, 3500, 9, 20, 0, 430, 0 },
  { "the placer of the region with the least load restarts, then servers "
    "shed",
    4, 0.9, 3600, 0, 0, 3000, 4500, 9, 20, 45, 70, 2700 },
  { "a placer restarts, then servers shed, no delays", 4, 0.9, 3600, 0, 0,
    2900, 4400, 9, 0, 0, 0, 2600 },
};

static const struct cym_retry_limits limits
    = { .window = WINDOW * STEP_MS * MS,
        .ratio = 0.2,
        .fixed = 80,
        .regions = REGIONS };

/* Requests sent and retries that arrived in all regions, by step.  */
struct record
{
  unsigned sent[STEPS];
  unsigned arrived[STEPS + 100];
};

struct placer
{
  struct cym_retry_budget counter;
  unsigned due[STEPS + 100];  /* requests that the placer counts, by step */
  uint64_t reported_requests; /* counts at the latest report */
  uint64_t reported_retries;
  /* Reports that the other placers receive, by step of receipt.  */
  struct
  {
    uint32_t requests;
    uint32_t retries;
  } report[STEPS + REPORT_TRANSIT_STEPS];
};

/* Random number of requests that REGION sends in a step.  */
static unsigned
requests_sent (unsigned load, unsigned region, unsigned step, GRand *random)
{
  double phase = (double)step / loads[load].period + (double)region / REGIONS;
  double request_rate = loads[load].request_rate
                        * (1 + loads[load].amplitude * sin (2 * G_PI * phase));
  if (step >= loads[load].burst_on && step < loads[load].burst_off)
    request_rate *= BURST_FACTOR;
  return (unsigned)(request_rate + g_rand_double (random));
}

/* Restarts PLACER without its counts.  Counts that the other placers reported
   before the restart never reach it.  */
static void
restart (struct placer *placer, cy_time_ns now)
{
  memset (&placer->counter, 0, sizeof placer->counter);
  placer->reported_requests = 0;
  placer->reported_retries = 0;
  cym_retry_budget_start (&placer->counter, &limits, now);
  cym_retry_budget_record_missed (&placer->counter, now);
}

/* Runs one step of one region: sends and counts requests, processes received
   reports, takes retries and sends a report if one is due.  */
static void
run_step (unsigned load, struct placer *placers, unsigned region,
          unsigned step, GRand *random, struct record *record)
{
  struct placer *placer = &placers[region];
  cy_time_ns now
      = 1000 * CY_NS_PER_S + (loads[load].shift_ms + step * STEP_MS) * MS;
  const struct cym_retry_view view = { 1, true };
  if (region == 0 && loads[load].restart_step > 0
      && step == loads[load].restart_step)
    restart (placer, now);
  unsigned sent = requests_sent (load, region, step, random);
  record->sent[step] += sent;
  for (unsigned i = 0; i < sent; i++)
    placer->due[step
                + (unsigned)g_rand_int_range (
                    random, 0, (int)loads[load].request_delay + 1)]++;
  for (unsigned i = 0; i < placer->due[step]; i++)
    cym_retry_budget_record_request (&placer->counter, &limits, now);
  for (unsigned other = 0; other < REGIONS; other++)
    if (other != region && placers[other].report[step].requests > 0)
      cym_retry_budget_add_remote (&placer->counter, &limits,
                                   CYM_RETRY_OTHER_REGION,
                                   placers[other].report[step].requests,
                                   placers[other].report[step].retries, now);
  if (step >= loads[load].shed_on && step < loads[load].shed_off)
    for (unsigned i = 0; i < loads[load].retries_wanted; i++)
      if (cym_retry_budget_take (&placer->counter, &limits, &view, now))
        record->arrived[step
                        + (unsigned)g_rand_int_range (
                            random, 0, (int)loads[load].retry_delay + 1)]++;
  if ((step + 7 * region) % REPORT_STEPS != 0)
    return;
  placer->report[step + REPORT_TRANSIT_STEPS].requests
      = (uint32_t)(placer->counter.requests - placer->reported_requests);
  placer->report[step + REPORT_TRANSIT_STEPS].retries
      = (uint32_t)(placer->counter.retries - placer->reported_retries);
  placer->reported_requests = placer->counter.requests;
  placer->reported_retries = placer->counter.retries;
}

static unsigned
sum_from (const unsigned *counts, int from)
{
  unsigned sum = 0;
  for (int i = MAX (from, 0); i < MIN (from + WINDOW, STEPS); i++)
    sum += counts[i];
  return sum;
}

/* Requests that the retries from step FROM on are compared with: the most of
   the window that begins there, the window that begins half a window earlier
   and the window that ends there.  */
static unsigned
comparable_requests (const struct record *record, int from)
{
  unsigned requests_max = sum_from (record->sent, from);
  requests_max
      = MAX (requests_max, sum_from (record->sent, from - WINDOW / 2));
  return MAX (requests_max, sum_from (record->sent, from - WINDOW));
}

/* Guards against more retries in some window than the limit allows for the
   requests of the service's callers, although every placer is within the limit
   by its own counts.  */
START_TEST (test_arrivals_in_any_window)
{
  struct placer *placers = g_new0 (struct placer, REGIONS);
  struct record *record = g_new0 (struct record, 1);
  GRand *random = g_rand_new_with_seed (22);
  double largest_excess = -1e9;
  int largest_excess_at = 0;
  unsigned arrived = 0;
  const unsigned retries_wanted = REGIONS * loads[_i].retries_wanted
                                  * (loads[_i].shed_off - loads[_i].shed_on);
  for (unsigned step = 0; step < STEPS; step++)
    for (unsigned region = 0; region < REGIONS; region++)
      run_step ((unsigned)_i, placers, region, step, random, record);
  for (int from = 0; from + WINDOW <= STEPS; from++)
    {
      double allowed = comparable_requests (record, from) * limits.ratio
                       + limits.fixed * REGIONS;
      double excess = sum_from (record->arrived, from) - allowed;
      if (excess > largest_excess)
        {
          largest_excess = excess;
          largest_excess_at = from;
        }
    }
  for (unsigned step = 0; step < STEPS; step++)
    arrived += record->arrived[step];
  ck_assert_msg (
      largest_excess <= 0, "%s: %.1f retries too many in 10 s from %d ms",
      loads[_i].pattern, largest_excess, largest_excess_at * STEP_MS);
  /* Guards against a budget that allows too little: nine tenths of it are used
     in the fullest window (all but the part of one region after a restart, as
     that placer lacks counts), or all wanted retries were granted.  */
  double unused_max = loads[_i].restart_step > 0 ? 1.0 / REGIONS : 0.1;
  ck_assert_msg (
      largest_excess >= -unused_max
                            * comparable_requests (record, largest_excess_at)
                            * limits.ratio
          || arrived + 10 >= retries_wanted,
      "%s: %.1f retries unused in the fullest window", loads[_i].pattern,
      -largest_excess);
  g_rand_free (random);
  g_free (placers);
  g_free (record);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("arrivals");
  TCase *tcase = tcase_create ("arrivals");
  tcase_add_loop_test (tcase, test_arrivals_in_any_window, 0,
                       G_N_ELEMENTS (loads));
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}

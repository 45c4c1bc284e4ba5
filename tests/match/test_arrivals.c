/* The budget of repeats as a service sees it: by the moment at which requests
   are sent and repeats arrive, not by that at which a placer counts them.  */

#include <glib.h>
#include <math.h>
#include <string.h>

#include "core/cym_retry_budget.h"
#include "cy_test.h"

#define MS      CY_NS_PER_MS
#define STEP_MS 10
#define STEPS   4500              /* of STEP_MS */
#define WINDOW  (10000 / STEP_MS) /* steps */
#define BEAT    25                /* steps between two words of a placer */
#define WIRE    4                 /* steps that they take to the others */
#define REGIONS 3
#define BURST   1.7 /* times the usual requests */

/* Three regions whose callers and servers are some way from their placer.  */
static const struct
{
  const char *pattern;
  unsigned rate;     /* requests a step in a region, before the wave */
  double swing;      /* of the wave, as a share of RATE */
  unsigned period;   /* steps of the wave; regions are a third apart */
  unsigned burst_on; /* steps with BURST times the requests, 0: none */
  unsigned burst_off;
  unsigned shed_on; /* steps in which the servers decline requests */
  unsigned shed_off;
  unsigned wanted;  /* repeats that a region wants in such a step */
  unsigned lag;     /* steps until a placer has counted a request, at most */
  unsigned way;     /* steps until a repeat arrives, at most */
  int64_t shift_ms; /* of the first step against the slices */
  unsigned anew;    /* step at which the first placer starts anew, 0: none */
} loads[] = {
  { "servers shed half of a steady load, repeats arrive at once", 4, 0, 100, 0,
    0, 1300, 2200, 3, 0, 0, 0, 0 },
  { "servers shed half of a steady load, repeats are on their way for up to "
    "0.3 s",
    4, 0, 100, 0, 0, 1300, 2200, 3, 0, 30, 0, 0 },
  { "the same, begun in the middle of a slice", 4, 0, 100, 0, 0, 1300, 2200, 3,
    0, 30, 250, 0 },
  { "servers shed for long, repeats are on their way for up to 0.3 s", 4, 0,
    100, 0, 0, 1000, 4500, 3, 0, 30, 130, 0 },
  { "waves, placers hear of requests up to 0.15 s late", 4, 0.55, 3600, 0, 0,
    1300, 4500, 3, 15, 0, 0, 0 },
  { "short waves, placers hear of requests up to 0.15 s late", 4, 0.9, 1400, 0,
    0, 1300, 4500, 3, 15, 0, 170, 0 },
  { "a burst just before the servers shed", 2, 0, 100, 1220, 1290, 1300, 3500,
    3, 15, 0, 0, 0 },
  { "a burst a window before the end", 2, 0, 100, 1200, 1250, 1600, 4500, 3,
    15, 0, 330, 0 },
  { "a burst while they shed, all late", 2, 0.5, 1800, 1500, 1620, 1300, 4500,
    3, 15, 30, 480, 0 },
  { "one region's load falls and another one's rises while servers shed", 4,
    0.9, 3600, 640, 860, 1300, 3800, 9, 20, 45, 70, 0 },
  { "the same in short waves, all late", 4, 0.9, 1400, 640, 860, 1300, 3800, 9,
    20, 45, 70, 0 },
  { "the same, begun in the middle of a slice", 4, 0.9, 3600, 340, 560, 1000,
    3500, 9, 20, 0, 430, 0 },
  { "the placer of the region with the least load starts anew, then servers "
    "shed",
    4, 0.9, 3600, 0, 0, 3000, 4500, 9, 20, 45, 70, 2700 },
  { "the same, nobody is late", 4, 0.9, 3600, 0, 0, 2900, 4400, 9, 0, 0, 0,
    2600 },
};

static const struct cym_retry_limits bounds
    = { .window = WINDOW * STEP_MS * MS,
        .ratio = 0.2,
        .fixed = 80,
        .regions = REGIONS };

/* What happened, by step, over all regions.  */
struct record
{
  unsigned sent[STEPS];
  unsigned arrived[STEPS + 100];
};

struct placer
{
  struct cym_retry_budget counter;
  unsigned due[STEPS + 100]; /* requests that it counts at a step */
  uint64_t said_requests;
  uint64_t said_repeats;
  struct
  {
    uint32_t requests;
    uint32_t repeats;
  } word[STEPS + WIRE]; /* that reaches the others at a step */
};

/* Requests of REGION in a step, as whole ones.  */
static unsigned
sent_in (unsigned load, unsigned region, unsigned step, GRand *random)
{
  double turn = (double)step / loads[load].period + (double)region / REGIONS;
  double rate
      = loads[load].rate * (1 + loads[load].swing * sin (2 * G_PI * turn));
  if (step >= loads[load].burst_on && step < loads[load].burst_off)
    rate *= BURST;
  return (unsigned)(rate + g_rand_double (random));
}

/* Forgets all; the others have been counting for long.  */
static void
start_anew (struct placer *placer, cy_time_ns now)
{
  memset (&placer->counter, 0, sizeof placer->counter);
  placer->said_requests = 0;
  placer->said_repeats = 0;
  cym_retry_budget_start (&placer->counter, &bounds, now);
  cym_retry_budget_record_missed (&placer->counter, now);
}

static void
run_step (unsigned load, struct placer *placers, unsigned region,
          unsigned step, GRand *random, struct record *record)
{
  struct placer *placer = &placers[region];
  cy_time_ns now
      = 1000 * CY_NS_PER_S + (loads[load].shift_ms + step * STEP_MS) * MS;
  const struct cym_retry_view view = { 1, true };
  if (region == 0 && loads[load].anew > 0 && step == loads[load].anew)
    start_anew (placer, now);
  unsigned sent = sent_in (load, region, step, random);
  record->sent[step] += sent;
  for (unsigned i = 0; i < sent; i++)
    placer->due[step
                + (unsigned)g_rand_int_range (random, 0,
                                              (int)loads[load].lag + 1)]++;
  for (unsigned i = 0; i < placer->due[step]; i++)
    cym_retry_budget_record_request (&placer->counter, &bounds, now);
  for (unsigned other = 0; other < REGIONS; other++)
    if (other != region && placers[other].word[step].requests > 0)
      cym_retry_budget_add_remote (&placer->counter, &bounds,
                                   CYM_RETRY_OTHER_REGION,
                                   placers[other].word[step].requests,
                                   placers[other].word[step].repeats, now);
  if (step >= loads[load].shed_on && step < loads[load].shed_off)
    for (unsigned i = 0; i < loads[load].wanted; i++)
      if (cym_retry_budget_take (&placer->counter, &bounds, &view, now))
        record->arrived[step
                        + (unsigned)g_rand_int_range (
                            random, 0, (int)loads[load].way + 1)]++;
  if ((step + 7 * region) % BEAT != 0)
    return;
  placer->word[step + WIRE].requests
      = (uint32_t)(placer->counter.requests - placer->said_requests);
  placer->word[step + WIRE].repeats
      = (uint32_t)(placer->counter.repeats - placer->said_repeats);
  placer->said_requests = placer->counter.requests;
  placer->said_repeats = placer->counter.repeats;
}

static unsigned
sum_from (const unsigned *counts, int from)
{
  unsigned sum = 0;
  for (int i = MAX (from, 0); i < MIN (from + WINDOW, STEPS); i++)
    sum += counts[i];
  return sum;
}

/* The most requests of the span itself, the one half a window before it and
   the one before it.  */
static unsigned
asked_for (const struct record *record, int from)
{
  unsigned asked = sum_from (record->sent, from);
  asked = MAX (asked, sum_from (record->sent, from - WINDOW / 2));
  return MAX (asked, sum_from (record->sent, from - WINDOW));
}

/* Guards against more repeats in some window than the service's callers
   allow, though every placer kept to its own counts.  */
START_TEST (test_arrivals_in_any_window)
{
  struct placer *placers = g_new0 (struct placer, REGIONS);
  struct record *record = g_new0 (struct record, 1);
  GRand *random = g_rand_new_with_seed (22);
  double worst = -1e9;
  int worst_at = 0;
  unsigned all = 0;
  const unsigned wanted
      = REGIONS * loads[_i].wanted * (loads[_i].shed_off - loads[_i].shed_on);
  for (unsigned step = 0; step < STEPS; step++)
    for (unsigned region = 0; region < REGIONS; region++)
      run_step ((unsigned)_i, placers, region, step, random, record);
  for (int from = 0; from + WINDOW <= STEPS; from++)
    {
      double allowed
          = asked_for (record, from) * bounds.ratio + bounds.fixed * REGIONS;
      double over = sum_from (record->arrived, from) - allowed;
      if (over > worst)
        {
          worst = over;
          worst_at = from;
        }
    }
  for (unsigned step = 0; step < STEPS; step++)
    all += record->arrived[step];
  ck_assert_msg (worst <= 0, "%s: %.1f repeats too many in 10 s from %d ms",
                 loads[_i].pattern, worst, worst_at * STEP_MS);
  /* The budget is there to be used: nine tenths of it in the fullest window,
     without the part of a region whose placer knows too little, or all that
     was wanted.  */
  double left = loads[_i].anew > 0 ? 1.0 / REGIONS : 0.1;
  ck_assert_msg (worst >= -left * asked_for (record, worst_at) * bounds.ratio
                     || all + 10 >= wanted,
                 "%s: %.1f repeats are left in the fullest window",
                 loads[_i].pattern, -worst);
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

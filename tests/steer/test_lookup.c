/* Look-ups of an entry VM: where callers are sent, what is never named, how
   stable answers are, and how fast they move.  */

#include <glib.h>
#include <pthread.h>
#include <ck_pr.h>
#include <string.h>

#include "cy_test.h"
#include "entry/cye_lookup.h"
#include "steer/steer_state.h"

static const char *const zones[] = { "a1", "a2", "b1", "b2", NULL };

struct fixture
{
  struct cy_fake_clock fake;
  struct cy_clock clock;
  uint64_t seed;
  struct cy_random random;
  struct cys_state *state;
  struct cyt_soft_state *soft;
  struct cye_lookup *lookup;
};

/* Two regions of two zones with three entry VMs each; VM a1-0 looks up.  */
static void
start (struct fixture *at)
{
  memset (at, 0, sizeof *at);
  at->fake.now = 1000 * CY_NS_PER_S;
  at->clock = cy_fake_clock_interface (&at->fake);
  at->seed = 5;
  at->random = cy_seeded_random (&at->seed);
  at->state = cys_state_create ();
  at->soft = cyt_soft_state_create (1);
  steer_declare_service (at->state, "s");
  steer_declare_cap (at->state, "", 0.1, 10000);
  char *near[] = { (char *)"10.1.0.0/16" };
  char *far[] = { (char *)"10.2.0.0/16" };
  for (size_t z = 0; zones[z] != NULL; z++)
    {
      steer_declare_zone (at->state, zones[z], z < 2 ? "a" : "b");
      for (int i = 0; i < 3; i++)
        {
          char *vm = g_strdup_printf ("%s-%d", zones[z], i);
          steer_put_entry (at->soft, vm, zones[z], "serving");
          g_free (vm);
        }
    }
  steer_declare_blocks (at->state, "near", "a", near, 1);
  steer_declare_blocks (at->state, "far", "b", far, 1);
  at->lookup = cye_lookup_create ("a1", "a", &at->clock, &at->random);
  cye_lookup_update (at->lookup, at->state, at->soft);
}

static void
stop (struct fixture *at)
{
  cye_lookup_destroy (at->lookup);
  cyt_soft_state_destroy (at->soft);
  cys_state_destroy (at->state);
}

static cy_result
ask (struct fixture *at, unsigned net, unsigned block,
     struct cye_answer *answer)
{
  char client[32];
  g_snprintf (client, sizeof client, "10.%u.%u.9", net, block);
  return cye_lookup_answer (at->lookup, client, "s", answer);
}

/* Of 250 client blocks of NET, how many are sent to ZONE first; NULL: are
   refused.  */
static unsigned
count_first (struct fixture *at, unsigned net, const char *zone)
{
  unsigned count = 0;
  for (unsigned block = 0; block < 250; block++)
    {
      struct cye_answer answer;
      cy_result result = ask (at, net, block, &answer);
      if (result == CY_OK)
        count += zone != NULL && strcmp (answer.choices[0].zone, zone) == 0;
      else
        count += zone == NULL;
    }
  return count;
}

static bool
names (const struct cye_answer *answer, const char *vm)
{
  for (size_t i = 0; i < answer->count; i++)
    if (strcmp (answer->choices[i].vm, vm) == 0)
      return true;
  return false;
}

START_TEST (test_without_a_plan)
{
  struct fixture at;
  start (&at);
  struct cye_answer answer;
  ck_assert_int_eq (ask (&at, 1, 7, &answer), CY_OK);
  ck_assert_str_eq (answer.choices[0].zone, "a1");
  ck_assert_str_eq (answer.choices[0].region, "a");
  ck_assert_str_ne (answer.choices[answer.count - 1].zone, "a1");
  ck_assert_uint_eq (count_first (&at, 2, "b1") + count_first (&at, 2, "b2"),
                     250);
  ck_assert_int_eq (cye_lookup_answer (at.lookup, "10.1.0.1", "none", &answer),
                    CY_E_SERVICE_UNKNOWN);
  ck_assert_int_eq (cye_lookup_answer (at.lookup, "nonsense", "s", &answer),
                    CY_OK);
  stop (&at);
}
END_TEST

START_TEST (test_plan_weights_and_stability)
{
  struct fixture at;
  start (&at);
  static const double weights[] = { 0, 0, 0.8, 0.2 };
  steer_put_plan (at.soft, "s", "b", zones, weights, 1);
  cye_lookup_destroy (at.lookup);
  at.lookup = cye_lookup_create ("a1", "a", &at.clock, &at.random);
  cye_lookup_update (at.lookup, at.state, at.soft);
  unsigned first = count_first (&at, 2, "b1");
  ck_assert_uint_gt (first, 180);
  ck_assert_uint_lt (first, 220);
  struct cye_answer before;
  struct cye_answer after;
  for (unsigned block = 0; block < 250; block++)
    {
      ask (&at, 2, block, &before);
      cye_lookup_update (at.lookup, at.state, at.soft);
      ask (&at, 2, block, &after);
      ck_assert_str_eq (before.choices[0].vm, after.choices[0].vm);
      ck_assert_uint_le (after.count, CYE_LOOKUP_VMS_MAX);
    }
  stop (&at);
}
END_TEST

struct leaving_row
{
  const char *name;
  const char *state; /* of the VM, NULL: as before */
  bool drained;      /* by the operator */
  bool expired;
};

static const struct leaving_row leaving_rows[] = {
  { "leaving", "leaving", false, false },
  { "drained", NULL, true, false },
  { "expired", NULL, false, true },
};

START_TEST (test_vm_that_leaves_is_never_named)
{
  const struct leaving_row *row = &leaving_rows[_i];
  struct fixture at;
  start (&at);
  if (row->state != NULL)
    steer_put_entry (at.soft, "a1-1", "a1", row->state);
  if (row->drained)
    steer_declare_drain (at.state, "entry", "a1-1", false);
  if (row->expired)
    cyt_soft_state_remove (at.soft, "entry/a1-1");
  cye_lookup_update (at.lookup, at.state, at.soft);
  for (unsigned block = 0; block < 250; block++)
    {
      struct cye_answer answer;
      ck_assert_int_eq (ask (&at, 1, block, &answer), CY_OK);
      ck_assert_msg (!names (&answer, "a1-1"), "%s", row->name);
      if (row->state != NULL)
        ck_assert_uint_le (answer.ttl_ms, 1000);
    }
  stop (&at);
}
END_TEST

/* Slept through plans: one cap's worth a window, whatever the plan says.  */
START_TEST (test_bounded_shift)
{
  struct fixture at;
  start (&at);
  static const double weights[] = { 0, 1, 0, 0 };
  steer_put_plan (at.soft, "s", "a", zones, weights, 9);
  unsigned last = 0;
  for (unsigned window = 0; window < 10; window++)
    {
      for (unsigned step = 0; step < 10; step++)
        {
          cye_lookup_update (at.lookup, at.state, at.soft);
          at.fake.now += CY_NS_PER_S;
        }
      unsigned moved = count_first (&at, 1, "a2");
      ck_assert_uint_le (moved, last + 45);
      last = moved;
    }
  ck_assert_uint_eq (last, 250);
  stop (&at);
}
END_TEST

/* A zone whose entry VMs are all gone: its callers are refused but for what
   the cap lets land elsewhere.  */
START_TEST (test_lost_zone)
{
  struct fixture at;
  start (&at);
  static const double before[] = { 0, 0, 0.5, 0.5 };
  static const double after[] = { 0, 0, 0, 1 };
  steer_put_plan (at.soft, "s", "b", zones, before, 1);
  cye_lookup_destroy (at.lookup);
  at.lookup = cye_lookup_create ("a1", "a", &at.clock, &at.random);
  cye_lookup_update (at.lookup, at.state, at.soft);
  for (int i = 0; i < 3; i++)
    {
      char *key = g_strdup_printf ("entry/b1-%d", i);
      cyt_soft_state_remove (at.soft, key);
      g_free (key);
    }
  steer_put_plan (at.soft, "s", "b", zones, after, 2);
  at.fake.now += CY_NS_PER_S;
  cye_lookup_update (at.lookup, at.state, at.soft);
  ck_assert_uint_eq (count_first (&at, 2, "b1"), 0);
  unsigned refused = count_first (&at, 2, NULL);
  ck_assert_uint_gt (refused, 70);
  ck_assert_uint_lt (refused, 130);
  stop (&at);
}
END_TEST

START_TEST (test_elsewhere)
{
  struct fixture at;
  start (&at);
  struct cye_answer answer;
  cye_lookup_elsewhere (at.lookup, "s", &answer);
  ck_assert_uint_gt (answer.count, 0);
  ck_assert_str_eq (answer.choices[0].zone, "a2");
  for (size_t i = 0; i < answer.count; i++)
    ck_assert_str_ne (answer.choices[i].zone, "a1");
  stop (&at);
}
END_TEST

/* One block moves to another site while readers look up.  */
struct reading
{
  struct fixture *at;
  unsigned stop;
  unsigned asked;
  unsigned wrong;
};

static void *
read_on (void *context)
{
  struct reading *reading = context;
  while (!ck_pr_load_uint (&reading->stop))
    {
      struct cye_answer answer;
      if (ask (reading->at, 1, 3, &answer) != CY_OK || answer.count == 0)
        ck_pr_inc_uint (&reading->wrong);
      ck_pr_inc_uint (&reading->asked);
    }
  return NULL;
}

START_TEST (test_readers_during_updates)
{
  struct fixture at;
  start (&at);
  struct reading reading = { &at, 0, 0, 0 };
  pthread_t threads[3];
  for (size_t i = 0; i < 3; i++)
    ck_assert_int_eq (pthread_create (&threads[i], NULL, read_on, &reading),
                      0);
  char *here[] = { (char *)"10.1.0.0/16" };
  for (unsigned round = 0; round < 400; round++)
    {
      bool far = round % 2 == 1;
      steer_declare_blocks (at.state, "near", "a", here, far ? 0 : 1);
      steer_declare_blocks (at.state, "far", "b", here, far ? 1 : 0);
      cye_lookup_update (at.lookup, at.state, at.soft);
      struct cye_answer answer;
      ask (&at, 1, 3, &answer);
      ck_assert_str_eq (answer.choices[0].region, far ? "b" : "a");
    }
  while (ck_pr_load_uint (&reading.asked) < 1000)
    sched_yield ();
  ck_pr_store_uint (&reading.stop, 1);
  for (size_t i = 0; i < 3; i++)
    pthread_join (threads[i], NULL);
  ck_assert_uint_eq (reading.wrong, 0);
  stop (&at);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("lookup");
  TCase *tcase = tcase_create ("answers");
  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, test_without_a_plan);
  tcase_add_test (tcase, test_plan_weights_and_stability);
  tcase_add_loop_test (tcase, test_vm_that_leaves_is_never_named, 0,
                       G_N_ELEMENTS (leaving_rows));
  tcase_add_test (tcase, test_bounded_shift);
  tcase_add_test (tcase, test_lost_zone);
  tcase_add_test (tcase, test_elsewhere);
  tcase_add_test (tcase, test_readers_during_updates);
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}

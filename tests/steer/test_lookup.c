/* Lookups of an entry VM: the zone that callers receive, VMs that are never
   returned, the stability of answers, and the cap on shifts.  */

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

/* Creates two regions of two zones with three entry VMs each; the lookup is
   that of an entry VM in zone a1.  */
static void
fixture_start (struct fixture *fixture)
{
  memset (fixture, 0, sizeof *fixture);
  fixture->fake.now = 1000 * CY_NS_PER_S;
  fixture->clock = cy_fake_clock_interface (&fixture->fake);
  fixture->seed = 5;
  fixture->random = cy_seeded_random (&fixture->seed);
  fixture->state = cys_state_create ();
  fixture->soft = cyt_soft_state_create (1);
  steer_declare_service (fixture->state, "s");
  steer_declare_cap (fixture->state, "", 0.1, 10000);
  char *near[] = { (char *)"10.1.0.0/16" };
  char *far[] = { (char *)"10.2.0.0/16" };
  for (size_t z = 0; zones[z] != NULL; z++)
    {
      steer_declare_zone (fixture->state, zones[z], z < 2 ? "a" : "b");
      for (int i = 0; i < 3; i++)
        {
          char *vm = g_strdup_printf ("%s-%d", zones[z], i);
          steer_put_entry (fixture->soft, vm, zones[z], "serving");
          g_free (vm);
        }
    }
  steer_declare_blocks (fixture->state, "near", "a", near, 1);
  steer_declare_blocks (fixture->state, "far", "b", far, 1);
  fixture->lookup
      = cye_lookup_create ("a1", "a", &fixture->clock, &fixture->random);
  cye_lookup_update (fixture->lookup, fixture->state, fixture->soft);
}

static void
fixture_stop (struct fixture *fixture)
{
  cye_lookup_destroy (fixture->lookup);
  cyt_soft_state_destroy (fixture->soft);
  cys_state_destroy (fixture->state);
}

static cy_result
look_up (struct fixture *fixture, unsigned net, unsigned block,
         struct cye_answer *answer)
{
  char client[32];
  g_snprintf (client, sizeof client, "10.%u.%u.9", net, block);
  return cye_lookup_answer (fixture->lookup, client, "s", answer);
}

/* Returns how many of 250 client blocks of NET get ZONE as their first choice;
   NULL counts the refused blocks.  */
static unsigned
count_first (struct fixture *fixture, unsigned net, const char *zone)
{
  unsigned count = 0;
  for (unsigned block = 0; block < 250; block++)
    {
      struct cye_answer answer;
      cy_result result = look_up (fixture, net, block, &answer);
      if (result == CY_OK)
        count += zone != NULL && strcmp (answer.choices[0].zone, zone) == 0;
      else
        count += zone == NULL;
    }
  return count;
}

static bool
answer_contains_vm (const struct cye_answer *answer, const char *vm)
{
  for (size_t i = 0; i < answer->count; i++)
    if (strcmp (answer->choices[i].vm, vm) == 0)
      return true;
  return false;
}

START_TEST (test_without_plan)
{
  struct fixture fixture;
  fixture_start (&fixture);
  struct cye_answer answer;
  ck_assert_int_eq (look_up (&fixture, 1, 7, &answer), CY_OK);
  ck_assert_str_eq (answer.choices[0].zone, "a1");
  ck_assert_str_eq (answer.choices[0].region, "a");
  ck_assert_str_ne (answer.choices[answer.count - 1].zone, "a1");
  ck_assert_uint_eq (
      count_first (&fixture, 2, "b1") + count_first (&fixture, 2, "b2"), 250);
  ck_assert_int_eq (
      cye_lookup_answer (fixture.lookup, "10.1.0.1", "none", &answer),
      CY_E_SERVICE_UNKNOWN);
  ck_assert_int_eq (
      cye_lookup_answer (fixture.lookup, "nonsense", "s", &answer), CY_OK);
  fixture_stop (&fixture);
}
END_TEST

START_TEST (test_plan_weights_and_stability)
{
  struct fixture fixture;
  fixture_start (&fixture);
  static const double weights[] = { 0, 0, 0.8, 0.2 };
  steer_put_plan (fixture.soft, "s", "b", zones, weights, 1);
  cye_lookup_destroy (fixture.lookup);
  fixture.lookup
      = cye_lookup_create ("a1", "a", &fixture.clock, &fixture.random);
  cye_lookup_update (fixture.lookup, fixture.state, fixture.soft);
  unsigned first = count_first (&fixture, 2, "b1");
  ck_assert_uint_gt (first, 180);
  ck_assert_uint_lt (first, 220);
  struct cye_answer before;
  struct cye_answer after;
  for (unsigned block = 0; block < 250; block++)
    {
      look_up (&fixture, 2, block, &before);
      cye_lookup_update (fixture.lookup, fixture.state, fixture.soft);
      look_up (&fixture, 2, block, &after);
      ck_assert_str_eq (before.choices[0].vm, after.choices[0].vm);
      ck_assert_uint_le (after.count, CYE_LOOKUP_VMS_MAX);
    }
  fixture_stop (&fixture);
}
END_TEST

struct removal_row
{
  const char *name;
  const char *state; /* new state of the VM; NULL: unchanged */
  bool is_drained;   /* the operator drains the VM */
  bool is_expired;
};

static const struct removal_row removal_rows[] = {
  { "leaving", "leaving", false, false },
  { "drained", NULL, true, false },
  { "expired", NULL, false, true },
};

START_TEST (test_leaving_vm_is_not_returned)
{
  const struct removal_row *row = &removal_rows[_i];
  struct fixture fixture;
  fixture_start (&fixture);
  if (row->state != NULL)
    steer_put_entry (fixture.soft, "a1-1", "a1", row->state);
  if (row->is_drained)
    steer_declare_drain (fixture.state, "entry", "a1-1", false);
  if (row->is_expired)
    cyt_soft_state_remove (fixture.soft, "entry/a1-1");
  cye_lookup_update (fixture.lookup, fixture.state, fixture.soft);
  for (unsigned block = 0; block < 250; block++)
    {
      struct cye_answer answer;
      ck_assert_int_eq (look_up (&fixture, 1, block, &answer), CY_OK);
      ck_assert_msg (!answer_contains_vm (&answer, "a1-1"), "%s", row->name);
      if (row->state != NULL)
        ck_assert_uint_le (answer.ttl_ms, 1000);
    }
  fixture_stop (&fixture);
}
END_TEST

/* After missed plans, the entry VM still moves at most one cap a window,
   whatever the plan contains.  */
START_TEST (test_bounded_shift)
{
  struct fixture fixture;
  fixture_start (&fixture);
  static const double weights[] = { 0, 1, 0, 0 };
  steer_put_plan (fixture.soft, "s", "a", zones, weights, 9);
  unsigned last = 0;
  for (unsigned window = 0; window < 10; window++)
    {
      for (unsigned step = 0; step < 10; step++)
        {
          cye_lookup_update (fixture.lookup, fixture.state, fixture.soft);
          fixture.fake.now += CY_NS_PER_S;
        }
      unsigned moved = count_first (&fixture, 1, "a2");
      ck_assert_uint_le (moved, last + 45);
      last = moved;
    }
  ck_assert_uint_eq (last, 250);
  fixture_stop (&fixture);
}
END_TEST

/* When all entry VMs of a zone are removed, its callers move to other zones
   within the cap; the others are refused.  */
START_TEST (test_lost_zone)
{
  struct fixture fixture;
  fixture_start (&fixture);
  static const double before[] = { 0, 0, 0.5, 0.5 };
  static const double after[] = { 0, 0, 0, 1 };
  steer_put_plan (fixture.soft, "s", "b", zones, before, 1);
  cye_lookup_destroy (fixture.lookup);
  fixture.lookup
      = cye_lookup_create ("a1", "a", &fixture.clock, &fixture.random);
  cye_lookup_update (fixture.lookup, fixture.state, fixture.soft);
  for (int i = 0; i < 3; i++)
    {
      char *key = g_strdup_printf ("entry/b1-%d", i);
      cyt_soft_state_remove (fixture.soft, key);
      g_free (key);
    }
  steer_put_plan (fixture.soft, "s", "b", zones, after, 2);
  fixture.fake.now += CY_NS_PER_S;
  cye_lookup_update (fixture.lookup, fixture.state, fixture.soft);
  ck_assert_uint_eq (count_first (&fixture, 2, "b1"), 0);
  unsigned refused = count_first (&fixture, 2, NULL);
  ck_assert_uint_gt (refused, 70);
  ck_assert_uint_lt (refused, 130);
  fixture_stop (&fixture);
}
END_TEST

START_TEST (test_answer_without_local_zone)
{
  struct fixture fixture;
  fixture_start (&fixture);
  struct cye_answer answer;
  cye_lookup_other_zones (fixture.lookup, "s", &answer);
  ck_assert_uint_gt (answer.count, 0);
  ck_assert_str_eq (answer.choices[0].zone, "a2");
  for (size_t i = 0; i < answer.count; i++)
    ck_assert_str_ne (answer.choices[i].zone, "a1");
  fixture_stop (&fixture);
}
END_TEST

/* Readers that look up a block while it moves between two sites.  */
struct reader
{
  struct fixture *fixture;
  unsigned stop;
  unsigned lookup_count;
  unsigned wrong_count;
};

static void *
reader_run (void *context)
{
  struct reader *reader = context;
  while (!ck_pr_load_uint (&reader->stop))
    {
      struct cye_answer answer;
      if (look_up (reader->fixture, 1, 3, &answer) != CY_OK
          || answer.count == 0)
        ck_pr_inc_uint (&reader->wrong_count);
      ck_pr_inc_uint (&reader->lookup_count);
    }
  return NULL;
}

START_TEST (test_readers_during_updates)
{
  struct fixture fixture;
  fixture_start (&fixture);
  struct reader reader = { &fixture, 0, 0, 0 };
  pthread_t threads[3];
  for (size_t i = 0; i < 3; i++)
    ck_assert_int_eq (pthread_create (&threads[i], NULL, reader_run, &reader),
                      0);
  char *here[] = { (char *)"10.1.0.0/16" };
  for (unsigned round = 0; round < 400; round++)
    {
      bool far = round % 2 == 1;
      steer_declare_blocks (fixture.state, "near", "a", here, far ? 0 : 1);
      steer_declare_blocks (fixture.state, "far", "b", here, far ? 1 : 0);
      cye_lookup_update (fixture.lookup, fixture.state, fixture.soft);
      struct cye_answer answer;
      look_up (&fixture, 1, 3, &answer);
      ck_assert_str_eq (answer.choices[0].region, far ? "b" : "a");
    }
  while (ck_pr_load_uint (&reader.lookup_count) < 1000)
    sched_yield ();
  ck_pr_store_uint (&reader.stop, 1);
  for (size_t i = 0; i < 3; i++)
    pthread_join (threads[i], NULL);
  ck_assert_uint_eq (reader.wrong_count, 0);
  fixture_stop (&fixture);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("lookup");
  TCase *tcase = tcase_create ("answers");
  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, test_without_plan);
  tcase_add_test (tcase, test_plan_weights_and_stability);
  tcase_add_loop_test (tcase, test_leaving_vm_is_not_returned, 0,
                       G_N_ELEMENTS (removal_rows));
  tcase_add_test (tcase, test_bounded_shift);
  tcase_add_test (tcase, test_lost_zone);
  tcase_add_test (tcase, test_answer_without_local_zone);
  tcase_add_test (tcase, test_readers_during_updates);
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}

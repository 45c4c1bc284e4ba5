/* The leader's planner with soft objects as input: plans, a new leader, zones
   without measurements, lost zones, drains with their preview, and the verdict
   as JSON.  */

#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "control/cyx_planner.h"
#include "cy_test.h"
#include "steer/steer_state.h"

#define ZONES 4

static const char *const zones[] = { "a1", "a2", "b1", "b2", NULL };

struct fixture
{
  struct cy_fake_clock fake;
  struct cy_clock clock;
  struct cys_state *state;
  struct cyt_soft_state *soft;
  struct cyx_planner *planner;
  bool is_unreported[ZONES];
  double rate_per_s; /* requests a second of each zone */
};

static void
fixture_start (struct fixture *fixture, double rate)
{
  memset (fixture, 0, sizeof *fixture);
  fixture->fake.now = 1000 * CY_NS_PER_S;
  fixture->clock = cy_fake_clock_interface (&fixture->fake);
  fixture->state = cys_state_create ();
  fixture->soft = cyt_soft_state_create (1);
  fixture->rate_per_s = rate;
  for (unsigned z = 0; z < ZONES; z++)
    steer_declare_zone (fixture->state, zones[z], z < 2 ? "a" : "b");
  steer_declare_service (fixture->state, "s");
  steer_declare_cap (fixture->state, "s", 0.25, 10000);
  fixture->planner = cyx_planner_create (&fixture->clock);
}

static void
fixture_stop (struct fixture *fixture)
{
  cyx_planner_destroy (fixture->planner);
  cyt_soft_state_destroy (fixture->soft);
  cys_state_destroy (fixture->state);
}

static const char *
find_lost_peer (const struct fixture *fixture, unsigned z)
{
  for (unsigned other = 0; other < ZONES; other++)
    if (other != z && fixture->is_unreported[other])
      return zones[other];
  return NULL;
}

/* Advances the clock by SECONDS.  Every second, each zone reports its status
   and the planner runs.  */
static void
run_seconds (struct fixture *fixture, unsigned seconds)
{
  for (unsigned s = 0; s < seconds; s++)
    {
      fixture->fake.now += CY_NS_PER_S;
      for (unsigned z = 0; z < ZONES; z++)
        if (!fixture->is_unreported[z])
          steer_put_status (
              fixture->soft, zones[z], "s", 20, fixture->rate_per_s,
              fixture->fake.now / CY_NS_PER_MS, find_lost_peer (fixture, z));
      cyx_planner_observe (fixture->planner, fixture->state, fixture->soft);
      cyx_planner_plan (fixture->planner, fixture->state, fixture->soft);
    }
}

static double
plan_weight (const struct fixture *fixture, const char *origin,
             const char *zone)
{
  char *key = g_strconcat ("plan/s/", origin, NULL);
  const Cy__Object *object = cyt_soft_state_get (fixture->soft, key);
  g_free (key);
  if (object == NULL)
    return -1;
  for (size_t i = 0; i < object->plan->n_weights; i++)
    if (strcmp (object->plan->weights[i]->zone, zone) == 0)
      return object->plan->weights[i]->weight;
  return 0;
}

static uint64_t
plan_number (const struct fixture *fixture, const char *origin)
{
  char *key = g_strconcat ("plan/s/", origin, NULL);
  const Cy__Object *object = cyt_soft_state_get (fixture->soft, key);
  g_free (key);
  return object == NULL ? 0 : object->plan->number;
}

START_TEST (test_nearest_zones_first)
{
  struct fixture fixture;
  fixture_start (&fixture, 100);
  run_seconds (&fixture, 20);
  ck_assert_double_eq_tol (plan_weight (&fixture, "a", "a1"), 0.5, 0.01);
  ck_assert_double_eq_tol (plan_weight (&fixture, "a", "a2"), 0.5, 0.01);
  ck_assert_double_eq (plan_weight (&fixture, "a", "b1"), 0);
  ck_assert_double_eq_tol (plan_weight (&fixture, "b", "b2"), 0.5, 0.01);
  fixture_stop (&fixture);
}
END_TEST

START_TEST (test_new_leader_adopts_weights)
{
  struct fixture fixture;
  fixture_start (&fixture, 100);
  static const char *const near[] = { "a1", "a2", NULL };
  static const double current_weights[] = { 0.9, 0.1 };
  uint64_t number = (uint64_t)cy_clock_unix_ms (&fixture.clock) + 5000000;
  steer_put_plan (fixture.soft, "s", "a", near, current_weights, number);
  run_seconds (&fixture, 4);
  ck_assert_double_eq_tol (plan_weight (&fixture, "a", "a1"), 0.9, 0.01);
  ck_assert_uint_eq (plan_number (&fixture, "a"), number);
  run_seconds (&fixture, 40);
  ck_assert_double_lt (plan_weight (&fixture, "a", "a1"), 0.9);
  ck_assert_uint_gt (plan_number (&fixture, "a"), number);
  fixture_stop (&fixture);
}
END_TEST

START_TEST (test_weights_kept_without_measurements)
{
  struct fixture fixture;
  fixture_start (&fixture, 100);
  run_seconds (&fixture, 20);
  uint64_t number = plan_number (&fixture, "a");
  for (unsigned z = 0; z < ZONES; z++)
    fixture.is_unreported[z] = true;
  run_seconds (&fixture, 120);
  ck_assert_uint_eq (plan_number (&fixture, "a"), number);
  ck_assert_double_eq_tol (plan_weight (&fixture, "a", "a1"), 0.5, 0.01);
  fixture_stop (&fixture);
}
END_TEST

/* A zone that reports nothing and loses all probes is lost: its weight becomes
   0 at once, and other zones receive the traffic within the cap.  A zone that
   only reports nothing keeps its weight.  */
START_TEST (test_lost_zone)
{
  struct fixture fixture;
  fixture_start (&fixture, 100);
  run_seconds (&fixture, 20);
  fixture.is_unreported[0] = true;
  run_seconds (&fixture, 5);
  ck_assert_double_gt (plan_weight (&fixture, "a", "a1"), 0.4);
  run_seconds (&fixture, 3);
  ck_assert_double_eq (plan_weight (&fixture, "a", "a1"), 0);
  double other_weight = plan_weight (&fixture, "a", "a2")
                        + plan_weight (&fixture, "a", "b1")
                        + plan_weight (&fixture, "a", "b2");
  ck_assert_double_le (other_weight, 0.76);
  run_seconds (&fixture, 60);
  other_weight = plan_weight (&fixture, "a", "a2")
                 + plan_weight (&fixture, "a", "b1")
                 + plan_weight (&fixture, "a", "b2");
  ck_assert_double_eq_tol (other_weight, 1, 0.01);
  fixture_stop (&fixture);
}
END_TEST

struct drain_row
{
  const char *name;
  const char *kind;
  const char *drained_name;
  double rate_per_s; /* requests a second of each zone; its capacity is 500 */
  bool fits;
};

static const struct drain_row drain_rows[] = {
  { "a zone, with spare capacity", "zone", "a1", 150, true },
  { "a zone, without spare capacity", "zone", "a1", 420, false },
  { "a region, with spare capacity", "region", "b", 150, true },
  { "a region, without spare capacity", "region", "b", 300, false },
  { "an unknown zone", "zone", "c9", 100, false },
  { "an entry VM with others beside it", "entry", "a1-0", 100, true },
  { "the last entry VM of its zone", "entry", "b1-0", 100, false },
  { "a backend server, with spare capacity", "backend", "s/s-1", 100, true },
  { "a backend server, without spare capacity", "backend", "s/s-1", 420,
    false },
  { "a backend server of an unknown service", "backend", "t/s-1", 100, false },
};

START_TEST (test_preview)
{
  const struct drain_row *row = &drain_rows[_i];
  struct fixture fixture;
  fixture_start (&fixture, row->rate_per_s);
  steer_put_entry (fixture.soft, "a1-0", "a1", "serving");
  steer_put_entry (fixture.soft, "a1-1", "a1", "serving");
  steer_put_entry (fixture.soft, "b1-0", "b1", "serving");
  run_seconds (&fixture, 40);
  uint64_t number = plan_number (&fixture, "a");
  bool fits = false;
  char *text
      = cyx_planner_preview (fixture.planner, fixture.state, fixture.soft,
                             row->kind, row->drained_name, &fits);
  json_t *json = json_loads (text, 0, NULL);
  ck_assert_ptr_nonnull (json);
  ck_assert_msg (fits == row->fits, "%s: %s", row->name, text);
  ck_assert_int_eq (json_is_true (json_object_get (json, "fits")), fits);
  ck_assert_uint_eq (plan_number (&fixture, "a"), number);
  json_decref (json);
  g_free (text);
  fixture_stop (&fixture);
}
END_TEST

/* A drain stays within the cap, can be cancelled half-way, and completes
   within the time of its preview.  */
START_TEST (test_drain_and_undrain)
{
  struct fixture fixture;
  fixture_start (&fixture, 150);
  run_seconds (&fixture, 40);
  bool fits = false;
  char *text = cyx_planner_preview (fixture.planner, fixture.state,
                                    fixture.soft, "zone", "a1", &fits);
  json_t *json = json_loads (text, 0, NULL);
  json_int_t seconds = json_integer_value (json_object_get (json, "seconds"));
  json_decref (json);
  g_free (text);
  steer_declare_drain (fixture.state, "zone", "a1", false);
  double before = plan_weight (&fixture, "a", "a1");
  run_seconds (&fixture, 5);
  double half = plan_weight (&fixture, "a", "a1");
  ck_assert_double_ge (half, before - 0.2501);
  ck_assert_double_lt (half, before);
  steer_declare_drain (fixture.state, "zone", "a1", true);
  run_seconds (&fixture, 8);
  ck_assert_double_ge (plan_weight (&fixture, "a", "a1"), half - 0.01);
  run_seconds (&fixture, 120);
  ck_assert_double_gt (plan_weight (&fixture, "a", "a1"), half);
  steer_declare_drain (fixture.state, "zone", "a1", false);
  run_seconds (&fixture, (unsigned)seconds + 15);
  ck_assert_double_eq (plan_weight (&fixture, "a", "a1"), 0);
  fixture_stop (&fixture);
}
END_TEST

START_TEST (test_verdict_json)
{
  struct fixture fixture;
  fixture_start (&fixture, 100);
  run_seconds (&fixture, 60);
  char *text
      = cyx_planner_why (fixture.planner, fixture.state, "s", NULL, 30 * 1000);
  json_t *json = json_loads (text, 0, NULL);
  ck_assert_str_eq (json_string_value (json_object_get (json, "verdict")),
                    "no fault");
  ck_assert (json_is_false (json_object_get (json, "network_at_fault")));
  json_decref (json);
  g_free (text);
  text = cyx_planner_why (fixture.planner, fixture.state, "none", "w",
                          30 * 1000);
  ck_assert_str_eq (text,
                    "{\n"
                    "  \"service\": \"none\",\n"
                    "  \"workspace\": \"w\",\n"
                    "  \"verdict\": \"not known\",\n"
                    "  \"network_at_fault\": null,\n"
                    "  \"summary\": \"Verdict: not known. Whether the network "
                    "was at fault is not known.\",\n"
                    "  \"from\": null,\n"
                    "  \"to\": null,\n"
                    "  \"requests\": 0.0,\n"
                    "  \"requests_affected\": {},\n"
                    "  \"between\": [],\n"
                    "  \"evidence\": []\n"
                    "}");
  g_free (text);
  fixture_stop (&fixture);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("planner");
  TCase *tcase = tcase_create ("plans");
  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, test_nearest_zones_first);
  tcase_add_test (tcase, test_new_leader_adopts_weights);
  tcase_add_test (tcase, test_weights_kept_without_measurements);
  tcase_add_test (tcase, test_lost_zone);
  tcase_add_loop_test (tcase, test_preview, 0, G_N_ELEMENTS (drain_rows));
  tcase_add_test (tcase, test_drain_and_undrain);
  tcase_add_test (tcase, test_verdict_json);
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}

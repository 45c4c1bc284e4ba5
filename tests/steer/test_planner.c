/* The leader's planner over real soft objects: plans, a new leader, silent and
   lost zones, drains with their preview, and the verdict's JSON.  */

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
  bool silent[ZONES];
  double rate; /* of each zone */
};

static void
start (struct fixture *at, double rate)
{
  memset (at, 0, sizeof *at);
  at->fake.now = 1000 * CY_NS_PER_S;
  at->clock = cy_fake_clock_interface (&at->fake);
  at->state = cys_state_create ();
  at->soft = cyt_soft_state_create (1);
  at->rate = rate;
  for (unsigned z = 0; z < ZONES; z++)
    steer_declare_zone (at->state, zones[z], z < 2 ? "a" : "b");
  steer_declare_service (at->state, "s");
  steer_declare_cap (at->state, "s", 0.25, 10000);
  at->planner = cyx_planner_create (&at->clock);
}

static void
stop (struct fixture *at)
{
  cyx_planner_destroy (at->planner);
  cyt_soft_state_destroy (at->soft);
  cys_state_destroy (at->state);
}

static const char *
lost_peer (const struct fixture *at, unsigned z)
{
  for (unsigned other = 0; other < ZONES; other++)
    if (other != z && at->silent[other])
      return zones[other];
  return NULL;
}

/* Lets SECONDS pass with a status of each zone and a plan every second.  */
static void
pass (struct fixture *at, unsigned seconds)
{
  for (unsigned s = 0; s < seconds; s++)
    {
      at->fake.now += CY_NS_PER_S;
      for (unsigned z = 0; z < ZONES; z++)
        if (!at->silent[z])
          steer_put_status (at->soft, zones[z], "s", 20, at->rate,
                            at->fake.now / CY_NS_PER_MS, lost_peer (at, z));
      cyx_planner_observe (at->planner, at->state, at->soft);
      cyx_planner_plan (at->planner, at->state, at->soft);
    }
}

static double
weight_of (const struct fixture *at, const char *origin, const char *zone)
{
  char *key = g_strconcat ("plan/s/", origin, NULL);
  const Cy__Object *object = cyt_soft_state_get (at->soft, key);
  g_free (key);
  if (object == NULL)
    return -1;
  for (size_t i = 0; i < object->plan->n_weights; i++)
    if (strcmp (object->plan->weights[i]->zone, zone) == 0)
      return object->plan->weights[i]->weight;
  return 0;
}

static uint64_t
number_of (const struct fixture *at, const char *origin)
{
  char *key = g_strconcat ("plan/s/", origin, NULL);
  const Cy__Object *object = cyt_soft_state_get (at->soft, key);
  g_free (key);
  return object == NULL ? 0 : object->plan->number;
}

START_TEST (test_nearest_zones_first)
{
  struct fixture at;
  start (&at, 100);
  pass (&at, 20);
  ck_assert_double_eq_tol (weight_of (&at, "a", "a1"), 0.5, 0.01);
  ck_assert_double_eq_tol (weight_of (&at, "a", "a2"), 0.5, 0.01);
  ck_assert_double_eq (weight_of (&at, "a", "b1"), 0);
  ck_assert_double_eq_tol (weight_of (&at, "b", "b2"), 0.5, 0.01);
  stop (&at);
}
END_TEST

START_TEST (test_new_leader_adopts)
{
  struct fixture at;
  start (&at, 100);
  static const char *const near[] = { "a1", "a2", NULL };
  static const double in_force[] = { 0.9, 0.1 };
  uint64_t number = (uint64_t)cy_clock_unix_ms (&at.clock) + 5000000;
  steer_put_plan (at.soft, "s", "a", near, in_force, number);
  pass (&at, 4);
  ck_assert_double_eq_tol (weight_of (&at, "a", "a1"), 0.9, 0.01);
  ck_assert_uint_eq (number_of (&at, "a"), number);
  pass (&at, 40);
  ck_assert_double_lt (weight_of (&at, "a", "a1"), 0.9);
  ck_assert_uint_gt (number_of (&at, "a"), number);
  stop (&at);
}
END_TEST

START_TEST (test_silence_holds)
{
  struct fixture at;
  start (&at, 100);
  pass (&at, 20);
  uint64_t number = number_of (&at, "a");
  for (unsigned z = 0; z < ZONES; z++)
    at.silent[z] = true;
  pass (&at, 120);
  ck_assert_uint_eq (number_of (&at, "a"), number);
  ck_assert_double_eq_tol (weight_of (&at, "a", "a1"), 0.5, 0.01);
  stop (&at);
}
END_TEST

/* Silent and out of the others' reach: weight goes at once, lands by the cap.
   Silent alone would hold.  */
START_TEST (test_lost_zone)
{
  struct fixture at;
  start (&at, 100);
  pass (&at, 20);
  at.silent[0] = true;
  pass (&at, 5);
  ck_assert_double_gt (weight_of (&at, "a", "a1"), 0.4);
  pass (&at, 3);
  ck_assert_double_eq (weight_of (&at, "a", "a1"), 0);
  double elsewhere = weight_of (&at, "a", "a2") + weight_of (&at, "a", "b1")
                     + weight_of (&at, "a", "b2");
  ck_assert_double_le (elsewhere, 0.76);
  pass (&at, 60);
  elsewhere = weight_of (&at, "a", "a2") + weight_of (&at, "a", "b1")
              + weight_of (&at, "a", "b2");
  ck_assert_double_eq_tol (elsewhere, 1, 0.01);
  stop (&at);
}
END_TEST

struct drain_row
{
  const char *name;
  const char *kind;
  const char *what;
  double rate; /* of each zone; its room is 500 */
  bool fits;
};

static const struct drain_row drain_rows[] = {
  { "a zone, with room", "zone", "a1", 150, true },
  { "a zone, without room", "zone", "a1", 420, false },
  { "a region, with room", "region", "b", 150, true },
  { "a region, without room", "region", "b", 300, false },
  { "an unknown zone", "zone", "c9", 100, false },
  { "an entry VM with others beside it", "entry", "a1-0", 100, true },
  { "the last entry VM of its zone", "entry", "b1-0", 100, false },
  { "a backend server, with room", "backend", "s/s-1", 100, true },
  { "a backend server, without room", "backend", "s/s-1", 420, false },
  { "a backend server of an unknown service", "backend", "t/s-1", 100, false },
};

START_TEST (test_preview)
{
  const struct drain_row *row = &drain_rows[_i];
  struct fixture at;
  start (&at, row->rate);
  steer_put_entry (at.soft, "a1-0", "a1", "serving");
  steer_put_entry (at.soft, "a1-1", "a1", "serving");
  steer_put_entry (at.soft, "b1-0", "b1", "serving");
  pass (&at, 40);
  uint64_t number = number_of (&at, "a");
  bool fits = false;
  char *text = cyx_planner_preview (at.planner, at.state, at.soft, row->kind,
                                    row->what, &fits);
  json_t *json = json_loads (text, 0, NULL);
  ck_assert_ptr_nonnull (json);
  ck_assert_msg (fits == row->fits, "%s: %s", row->name, text);
  ck_assert_int_eq (json_is_true (json_object_get (json, "fits")), fits);
  ck_assert_uint_eq (number_of (&at, "a"), number);
  json_decref (json);
  g_free (text);
  stop (&at);
}
END_TEST

/* A drain runs under the cap, can be stopped half way, and takes as long as
   its preview said.  */
START_TEST (test_drain_and_undrain)
{
  struct fixture at;
  start (&at, 150);
  pass (&at, 40);
  bool fits = false;
  char *text = cyx_planner_preview (at.planner, at.state, at.soft, "zone",
                                    "a1", &fits);
  json_t *json = json_loads (text, 0, NULL);
  json_int_t seconds = json_integer_value (json_object_get (json, "seconds"));
  json_decref (json);
  g_free (text);
  steer_declare_drain (at.state, "zone", "a1", false);
  double before = weight_of (&at, "a", "a1");
  pass (&at, 5);
  double half = weight_of (&at, "a", "a1");
  ck_assert_double_ge (half, before - 0.2501);
  ck_assert_double_lt (half, before);
  steer_declare_drain (at.state, "zone", "a1", true);
  pass (&at, 8);
  ck_assert_double_ge (weight_of (&at, "a", "a1"), half - 0.01);
  pass (&at, 120);
  ck_assert_double_gt (weight_of (&at, "a", "a1"), half);
  steer_declare_drain (at.state, "zone", "a1", false);
  pass (&at, (unsigned)seconds + 15);
  ck_assert_double_eq (weight_of (&at, "a", "a1"), 0);
  stop (&at);
}
END_TEST

START_TEST (test_why)
{
  struct fixture at;
  start (&at, 100);
  pass (&at, 60);
  char *text = cyx_planner_why (at.planner, at.state, "s", NULL, 30 * 1000);
  json_t *json = json_loads (text, 0, NULL);
  ck_assert_str_eq (json_string_value (json_object_get (json, "verdict")),
                    "no fault");
  ck_assert (json_is_false (json_object_get (json, "network_at_fault")));
  json_decref (json);
  g_free (text);
  text = cyx_planner_why (at.planner, at.state, "none", "w", 30 * 1000);
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
  stop (&at);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("planner");
  TCase *tcase = tcase_create ("plans");
  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, test_nearest_zones_first);
  tcase_add_test (tcase, test_new_leader_adopts);
  tcase_add_test (tcase, test_silence_holds);
  tcase_add_test (tcase, test_lost_zone);
  tcase_add_loop_test (tcase, test_preview, 0, G_N_ELEMENTS (drain_rows));
  tcase_add_test (tcase, test_drain_and_undrain);
  tcase_add_test (tcase, test_why);
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}

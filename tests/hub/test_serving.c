/* Use of the declaration of a control VM after a start.  Guards against
   serving an outdated declaration from the disk while there is a leader or no
   majority, and against serving none after a loss of power at all VMs.  */

#include <glib.h>

#include "core/cyc_serving.h"
#include "cy_test.h"

#define START_TIME (1000 * CY_NS_PER_S)

struct check
{
  int at_ms;
  bool has_declaration;
  bool isolated;
  bool has_leader;
  bool caught_up; /* the VM holds everything of the leader from now on */
  bool serves;    /* expected after the check */
  bool starts;    /* expected: this check starts serving from the disk */
};

struct scenario
{
  const char *name;
  struct check checks[8];
};

static const struct scenario scenarios[] = {
  { "power loss at all VMs: serves with a majority, before there is a leader",
    { { 0, true, true, false, false, false, false },
      { 300, true, true, false, false, false, false },
      { 400, true, false, false, false, true, true },
      { 650, true, false, false, false, true, false },
      { 900, true, false, true, false, true, false },
      { 1100, true, false, true, true, true, false },
      { 9000, true, true, false, true, true, false } } },
  { "restart of one VM: waits until it has caught up with the leader",
    { { 0, true, true, false, false, false, false },
      { 200, true, false, true, false, false, false },
      { 400, true, false, true, true, true, false } } },
  { "isolated start: does not serve a declaration that may be outdated",
    { { 0, true, true, false, false, false, false },
      { 5000, true, true, false, false, false, false } } },
  { "empty disk: nothing to serve",
    { { 0, false, true, false, false, false, false },
      { 400, false, false, false, false, false, false },
      { 900, false, false, true, false, false, false } } },
  { "never catches up: stops serving soon after there is a leader",
    { { 0, true, false, false, false, true, true },
      { 250, true, false, true, false, true, false },
      { CYC_SERVE_FROM_DISK_MS - 1, true, false, true, false, true, false },
      { CYC_SERVE_FROM_DISK_MS, true, false, true, false, false, false } } },
  { "isolated before there is a leader: stops serving, then starts again",
    { { 0, true, false, false, false, true, true },
      { 250, true, true, false, false, true, false },
      { CYC_SERVE_FROM_DISK_MS, true, true, false, false, false, false },
      { 4000, true, false, false, false, true, true } } },
};

START_TEST (test_scenarios)
{
  const struct scenario *scenario = &scenarios[_i];
  struct cyc_serving serving = { 0 };
  for (size_t i = 0; i < G_N_ELEMENTS (scenario->checks); i++)
    {
      const struct check *check = &scenario->checks[i];
      struct cyc_serving_input input
          = { check->has_declaration, check->isolated, check->has_leader };
      cy_time_ns now = START_TIME + check->at_ms * CY_NS_PER_MS;
      if (i > 0 && check->at_ms == 0)
        break;
      bool starts = cyc_serving_update (&serving, &input, now);
      serving.caught_up = serving.caught_up || check->caught_up;
      ck_assert_msg (starts == check->starts, "%s: at %d ms starts %d",
                     scenario->name, check->at_ms, starts);
      ck_assert_msg (cyc_serving_is_allowed (&serving, now) == check->serves,
                     "%s: at %d ms", scenario->name, check->at_ms);
    }
}
END_TEST

struct lag_check
{
  int at_ms;
  uint64_t applied;
  uint64_t committed; /* highest index that a peer reported */
  bool catches_up;    /* before the check, the VM holds all of the leader */
  bool stops;         /* expected: this check stops serving */
  bool serves;        /* expected after the check */
};

struct lag_scenario
{
  const char *name;
  bool caught_up; /* at the start */
  bool no_leader; /* it serves from the disk while it may */
  struct lag_check checks[8];
};

/* Guards against a control VM that is reachable but gets no more records, as
   its member was removed or its disk keeps nothing: it placed requests with
   the drained zones of before.  */
static const struct lag_scenario lag_scenarios[] = {
  { "follows the log: serves",
    true,
    false,
    { { 0, 5, 5, false, false, true },
      { 250, 5, 6, false, false, true },
      { 500, 6, 6, false, false, true },
      { 9000, 6, 6, false, false, true } } },
  { "gets no more records: stops, and stays so",
    true,
    false,
    { { 0, 5, 5, false, false, true },
      { 1000, 5, 6, false, false, true },
      { 1000 + CYC_LAG_MAX_MS - 1, 5, 6, false, false, true },
      { 1000 + CYC_LAG_MAX_MS, 5, 7, false, true, false },
      { 60000, 5, 9, false, false, false } } },
  { "is always behind a busy log, but follows",
    true,
    false,
    { { 0, 5, 8, false, false, true },
      { 1500, 8, 12, false, false, true },
      { 3000, 12, 16, false, false, true },
      { 4500, 16, 20, false, false, true } } },
  { "follows too slowly",
    true,
    false,
    { { 0, 5, 8, false, false, true },
      { 1500, 7, 12, false, false, true },
      { CYC_LAG_MAX_MS, 7, 16, false, true, false } } },
  { "stopped, then caught up: serves again",
    true,
    false,
    { { 0, 5, 6, false, false, true },
      { CYC_LAG_MAX_MS, 5, 6, false, true, false },
      { 4000, 6, 6, true, false, true },
      { 9000, 6, 6, false, false, true } } },
  { "no peer is reachable: serves on",
    true,
    false,
    { { 0, 5, 5, false, false, true }, { 9000, 5, 0, false, false, true } } },
  { "from the disk, its peers have more: stops, until it has as much",
    false,
    true,
    { { 0, 3, 6, false, false, true },
      { CYC_LAG_MAX_MS - 1, 3, 6, false, false, true },
      { CYC_LAG_MAX_MS, 3, 6, false, true, false },
      { 9000, 3, 6, false, false, false },
      { 9250, 6, 6, false, false, true } } },
  { "after a restart: waits for the leader, not for time",
    false,
    false,
    { { 0, 3, 6, false, false, false },
      { 9000, 3, 6, false, false, false },
      { 9250, 6, 6, true, false, true } } },
};

START_TEST (test_lag)
{
  const struct lag_scenario *scenario = &lag_scenarios[_i];
  struct cyc_serving serving = { .caught_up = scenario->caught_up };
  struct cyc_serving_input input
      = { .has_declaration = true, .has_leader = !scenario->no_leader };
  for (size_t i = 0; i < G_N_ELEMENTS (scenario->checks); i++)
    {
      const struct lag_check *check = &scenario->checks[i];
      cy_time_ns now = START_TIME + check->at_ms * CY_NS_PER_MS;
      if (i > 0 && check->at_ms == 0)
        break;
      if (check->catches_up)
        cyc_serving_catch_up (&serving);
      bool stops = cyc_serving_follow (&serving, check->applied,
                                       check->committed, now);
      ck_assert_msg (stops == check->stops, "%s: at %d ms stops %d",
                     scenario->name, check->at_ms, stops);
      cyc_serving_update (&serving, &input, now);
      ck_assert_msg (cyc_serving_is_allowed (&serving, now) == check->serves,
                     "%s: at %d ms", scenario->name, check->at_ms);
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("standing");
  TCase *tcase = tcase_create ("standing");
  tcase_add_loop_test (tcase, test_scenarios, 0, G_N_ELEMENTS (scenarios));
  tcase_add_loop_test (tcase, test_lag, 0, G_N_ELEMENTS (lag_scenarios));
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}

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
  struct cyc_serving serving = { false, 0 };
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

int
main (void)
{
  Suite *suite = suite_create ("standing");
  TCase *tcase = tcase_create ("standing");
  tcase_add_loop_test (tcase, test_scenarios, 0, G_N_ELEMENTS (scenarios));
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}

/* Time without an answer after which an attempt ends.  */

#include "cy_test.h"
#include "entry/cye_answer_timeout.h"

#define MS    CY_NS_PER_MS
#define NEVER INT64_MAX

static const struct
{
  const char *pattern;
  struct cye_attempt attempt;
  cy_time_ns timeout;
} cases[] = {
  { "kept, short work",
    { CYE_HUB, true, false, 10 * MS, 4000 * MS },
    500 * MS },
  { "kept, long work",
    { CYE_HUB, true, false, 200 * MS, 4000 * MS },
    1600 * MS },
  { "kept, no answer of its kind yet",
    { CYE_HUB, true, false, 0, 1500 * MS },
    750 * MS },
  { "kept, not known, little time",
    { CYE_TREE, true, false, 0, 600 * MS },
    500 * MS },
  { "kept, planned stop", { CYE_HUB, true, true, 10 * MS, 4000 * MS }, NEVER },
  { "kept, planned stop of a tree",
    { CYE_TREE, true, true, 10 * MS, 4000 * MS },
    NEVER },
  { "new, hub", { CYE_HUB, false, false, 10 * MS, 4000 * MS }, NEVER },
  { "new, tree", { CYE_TREE, false, false, 10 * MS, 4000 * MS }, 2000 * MS },
  { "new, tree, long work",
    { CYE_TREE, false, false, 400 * MS, 4000 * MS },
    3200 * MS },
};

START_TEST (test_answer_timeout)
{
  ck_assert_msg (cye_answer_timeout (&cases[_i].attempt) == cases[_i].timeout,
                 "%s: %lld ms", cases[_i].pattern,
                 (long long)(cye_answer_timeout (&cases[_i].attempt) / MS));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("answer_timeout");
  TCase *tcase = tcase_create ("answer_timeout");
  tcase_add_loop_test (tcase, test_answer_timeout, 0,
                       sizeof cases / sizeof cases[0]);
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}

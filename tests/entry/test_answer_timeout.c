/* When silence of a backend server ends an attempt.  */

#include "cy_test.h"
#include "entry/cye_answer_timeout.h"

#define MS    CY_NS_PER_MS
#define NEVER INT64_MAX

static const struct
{
  const char *what;
  struct cye_attempt attempt;
  cy_time_ns patience;
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

START_TEST (test_patience)
{
  ck_assert_msg (cye_answer_timeout (&cases[_i].attempt) == cases[_i].patience,
                 "%s: %lld ms", cases[_i].what,
                 (long long)(cye_answer_timeout (&cases[_i].attempt) / MS));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("patience");
  TCase *tcase = tcase_create ("patience");
  tcase_add_loop_test (tcase, test_patience, 0,
                       sizeof cases / sizeof cases[0]);
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}

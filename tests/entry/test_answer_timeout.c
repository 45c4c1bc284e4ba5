/* Answer timeout of an attempt.  Guards against attempts that wait on a dead
   connection, and against ending long work of a server, or any work during a
   planned stop.  */

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
  { "reused connection, short work",
    { CYE_HUB, true, false, 10 * MS, 4000 * MS },
    500 * MS },
  { "reused connection, long work",
    { CYE_HUB, true, false, 200 * MS, 4000 * MS },
    1600 * MS },
  { "reused connection, expected time unknown",
    { CYE_HUB, true, false, 0, 1500 * MS },
    750 * MS },
  { "reused connection, expected time unknown, little time left",
    { CYE_TREE, true, false, 0, 600 * MS },
    500 * MS },
  { "reused connection, planned stop, hub layout",
    { CYE_HUB, true, true, 10 * MS, 4000 * MS },
    NEVER },
  { "reused connection, planned stop, tree layout",
    { CYE_TREE, true, true, 10 * MS, 4000 * MS },
    NEVER },
  { "new connection, hub layout",
    { CYE_HUB, false, false, 10 * MS, 4000 * MS },
    NEVER },
  { "new connection, tree layout",
    { CYE_TREE, false, false, 10 * MS, 4000 * MS },
    2000 * MS },
  { "new connection, tree layout, long work",
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

/* When a control VM's declaration may be used: table of what it sees after a
   start, time by time.  */

#include <glib.h>

#include "core/cyc_serving.h"
#include "cy_test.h"

#define START (1000 * CY_NS_PER_S)

struct look
{
  int ms;
  bool has;
  bool isolated;
  bool led;
  bool current; /* it has all that the leader has from now on */
  bool serves;  /* expected afterwards */
  bool begins;  /* expected of the look */
};

struct story
{
  const char *name;
  struct look looks[8];
};

static const struct story stories[] = {
  { "all lost power: serves once a majority is there, a leader comes later",
    { { 0, true, true, false, false, false, false },
      { 300, true, true, false, false, false, false },
      { 400, true, false, false, false, true, true },
      { 650, true, false, false, false, true, false },
      { 900, true, false, true, false, true, false },
      { 1100, true, false, true, true, true, false },
      { 9000, true, true, false, true, true, false } } },
  { "started alone: the others have a leader, it waits until it is current",
    { { 0, true, true, false, false, false, false },
      { 200, true, false, true, false, false, false },
      { 400, true, false, true, true, true, false } } },
  { "started cut off: does not serve what may be old",
    { { 0, true, true, false, false, false, false },
      { 5000, true, true, false, false, false, false } } },
  { "an empty disk: there is nothing to serve",
    { { 0, false, true, false, false, false, false },
      { 400, false, false, false, false, false, false },
      { 900, false, false, true, false, false, false } } },
  { "never becomes current: ends soon after there is a leader",
    { { 0, true, false, false, false, true, true },
      { 250, true, false, true, false, true, false },
      { CYC_SERVE_FROM_DISK_MS - 1, true, false, true, false, true, false },
      { CYC_SERVE_FROM_DISK_MS, true, false, true, false, false, false } } },
  { "cut off before there is a leader: ends, and begins anew",
    { { 0, true, false, false, false, true, true },
      { 250, true, true, false, false, true, false },
      { CYC_SERVE_FROM_DISK_MS, true, true, false, false, false, false },
      { 4000, true, false, false, false, true, true } } },
};

START_TEST (test_stories)
{
  const struct story *story = &stories[_i];
  struct cyc_serving standing = { false, 0 };
  for (size_t i = 0; i < G_N_ELEMENTS (story->looks); i++)
    {
      const struct look *look = &story->looks[i];
      struct cyc_serving_input facts
          = { look->has, look->isolated, look->led };
      cy_time_ns now = START + look->ms * CY_NS_PER_MS;
      if (i > 0 && look->ms == 0)
        break;
      bool begins = cyc_serving_update (&standing, &facts, now);
      standing.caught_up = standing.caught_up || look->current;
      ck_assert_msg (begins == look->begins, "%s: at %d ms begins %d",
                     story->name, look->ms, begins);
      ck_assert_msg (cyc_serving_is_allowed (&standing, now) == look->serves,
                     "%s: at %d ms", story->name, look->ms);
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("standing");
  TCase *tcase = tcase_create ("standing");
  tcase_add_loop_test (tcase, test_stories, 0, G_N_ELEMENTS (stories));
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}

/* Up to which change of a register its departures are on disk.  A change must
   never count as stored before the write of its departures.  */

#include <glib.h>

#include "core/cyc_stored.h"
#include "cy_test.h"

struct step
{
  uint64_t sequence; /* 0: end of the list */
  uint64_t ticket;
  uint64_t written;
  uint64_t stored; /* expected */
};

static const struct
{
  const char *name;
  struct step steps[6];
} rows[] = {
  { "changes without departures", { { 5, 1, 1, 5 }, { 9, 1, 1, 9 } } },
  { "a departure waits for its write",
    { { 5, 1, 1, 5 }, { 6, 2, 1, 5 }, { 6, 2, 2, 6 } } },
  { "changes after a departure wait with it",
    { { 6, 2, 1, 0 }, { 8, 2, 1, 0 }, { 8, 2, 2, 8 } } },
  { "a later departure does not hold back an earlier one",
    { { 6, 2, 1, 0 },
      { 7, 3, 1, 0 },
      { 7, 3, 2, 6 },
      { 8, 4, 3, 7 },
      { 8, 4, 4, 8 } } },
  { "writes that run ahead of a departure of another register",
    { { 6, 2, 1, 0 }, { 6, 9, 8, 6 }, { 7, 9, 8, 6 }, { 7, 9, 9, 7 } } },
  { "before the first write after a start",
    { { 4, 1, 0, 0 }, { 4, 1, 1, 4 } } },
};

START_TEST (test_follow)
{
  struct cyc_stored stored = { 0 };
  for (const struct step *step = rows[_i].steps; step->sequence != 0; step++)
    {
      uint64_t before = stored.sequence;
      bool increased = cyc_stored_follow (&stored, step->sequence,
                                          step->ticket, step->written);
      ck_assert_msg (stored.sequence == step->stored, "%s, step %d: %lu",
                     rows[_i].name, (int)(step - rows[_i].steps),
                     stored.sequence);
      ck_assert (increased == (stored.sequence > before));
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("stored");
  TCase *all = tcase_create ("all");
  tcase_add_loop_test (all, test_follow, 0, G_N_ELEMENTS (rows));
  suite_add_tcase (suite, all);
  return cy_test_run (suite);
}

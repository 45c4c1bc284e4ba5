/* When an entry VM is sent a declaration, as a table of moments.  */

#include "core/cyi_sending.h"
#include "cy_test.h"

#define N(array) (sizeof (array) / sizeof ((array)[0]))

/* Times in ms; 0 is the moment at which declaration 7 was adopted.  */
static const struct
{
  const char *moment;
  bool attached;
  int opened;
  uint64_t held;
  uint64_t sent;
  uint64_t sent_over;
  int sent_at;
  int now;
  bool due;
} rows[] = {
  { "the placer sends at once", true, -5000, 6, 0, 0, 0, 1, true },
  { "another one waits", false, -5000, 6, 0, 0, 0, 1, false },
  { "and sends when it did not come", false, -5000, 6, 0, 0, 0, 1201, true },
  { "held already", true, -5000, 7, 0, 0, 0, 5000, false },
  { "a newer one is held", true, -5000, 8, 0, 0, 0, 5000, false },
  { "a new connection waits too", false, 3000, 0, 0, 0, 0, 3500, false },
  { "a new connection of its own", true, 3000, 0, 0, 0, 0, 3001, true },
  { "a new connection that nobody served", false, 3000, 0, 0, 0, 0, 4300,
    true },
  /* A report that was on its way, or one while the link is still full.  */
  { "a report while it is on its way", true, -5000, 6, 7, 6, 1, 300, false },
  { "many reports later", true, -5000, 6, 7, 6, 1, 1200, false },
  { "it should have come", true, -5000, 6, 7, 6, 1, 1202, true },
  { "another one came meanwhile", true, -5000, 5, 7, 4, 1, 300, true },
  { "an older one was sent before", true, -5000, 6, 6, 5, -300, 1, true },
};

START_TEST (test_moments)
{
  struct cyi_sending to = { .attached = rows[_i].attached,
                            .held = rows[_i].held,
                            .sent = rows[_i].sent,
                            .sent_over = rows[_i].sent_over };
  cy_time_ns zero = 1000 * CY_NS_PER_S;
  to.opened = zero + rows[_i].opened * CY_NS_PER_MS;
  to.sent_at = zero + rows[_i].sent_at * CY_NS_PER_MS;
  cy_time_ns now = zero + rows[_i].now * CY_NS_PER_MS;
  ck_assert_msg (cyi_sending_due (&to, 7, zero, now) == rows[_i].due, "%s",
                 rows[_i].moment);
  if (!rows[_i].due)
    return;
  cyi_sending_note (&to, 7, now);
  ck_assert (!cyi_sending_due (&to, 7, zero, now + CY_NS_PER_MS));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("sending");
  TCase *tcase = tcase_create ("sending");
  tcase_add_loop_test (tcase, test_moments, 0, N (rows));
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}

/* Guards against a planned stop that takes requests which it cannot finish:
   they were passed on late in the grace time and cut at its end.  */

#include <glib.h>

#include "cy_test.h"
#include "entry/cye_leave.h"

#define MS CY_NS_PER_MS

static const struct
{
  const char *pattern;
  int64_t grace_ms;
  int64_t at_ms;         /* after the start of the planned stop */
  int64_t busy_until_ms; /* end of the last open request, 0: none */
  bool takes_connections;
  bool takes_requests;
  bool is_over;
} rows[] = {
  { "just begun", 6000, 0, 0, true, true, false },
  { "callers with a cached lookup", 6000, 2299, 0, true, true, false },
  { "no new connections", 6000, 2300, 0, false, true, false },
  { "idle for the shortest time", 6000, 2600, 0, false, true, true },
  { "open requests", 6000, 2600, 9999, false, true, false },
  { "the last request is taken", 6000, 2899, 9999, false, true, false },
  { "late in the grace time", 6000, 2900, 9999, false, false, false },
  { "just before the end", 6000, 5599, 9999, false, false, false },
  { "the grace time ends", 6000, 5600, 9999, false, false, true },
  { "a request just ended", 6000, 3950, 3900, false, false, false },
  { "idle after the last request", 6000, 4200, 3900, false, false, true },
  { "a long grace time is used", 10000, 5600, 9999, false, false, false },
  { "the end of a long grace time", 10000, 9600, 9999, false, false, true },
  { "a short grace time: early enough", 3000, 1499, 9999, true, true, false },
  { "a short grace time: too late", 3000, 1500, 9999, true, false, false },
};

START_TEST (test_course)
{
  struct cye_leave leave = { 0 };
  cy_time_ns start = 50 * CY_NS_PER_S;
  ck_assert (cye_leave_takes_connections (&leave, start));
  ck_assert (cye_leave_takes_requests (&leave, start));
  cye_leave_begin (&leave, rows[_i].grace_ms * MS, start);
  for (int64_t ms = 0; ms < rows[_i].at_ms; ms += 50)
    cye_leave_is_over (&leave, ms < rows[_i].busy_until_ms, start + ms * MS);
  cy_time_ns now = start + rows[_i].at_ms * MS;
  bool busy = rows[_i].at_ms < rows[_i].busy_until_ms;
  ck_assert_msg (
      cye_leave_takes_connections (&leave, now) == rows[_i].takes_connections
          && cye_leave_takes_requests (&leave, now) == rows[_i].takes_requests
          && cye_leave_is_over (&leave, busy, now) == rows[_i].is_over,
      "%s", rows[_i].pattern);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("leave");
  TCase *tcase = tcase_create ("leave");
  tcase_add_loop_test (tcase, test_course, 0, G_N_ELEMENTS (rows));
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}

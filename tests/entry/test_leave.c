/* Guards against a planned stop that takes requests which it cannot finish:
   they were passed on late in the grace time and cut at its end, those without
   a body and those whose body ends late.  */

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
  { "just before the last answers", 6000, 5599, 9999, false, false, false },
  { "the last answers are sent", 6000, 5600, 9999, false, false, false },
  { "nothing is open after them", 6000, 5800, 5640, false, false, true },
  { "just before the end", 6000, 5799, 9999, false, false, false },
  { "the grace time ends", 6000, 5800, 9999, false, false, true },
  { "a request just ended", 6000, 3950, 3900, false, false, false },
  { "idle after the last request", 6000, 4200, 3900, false, false, true },
  { "a long grace time is used", 10000, 5800, 9999, false, false, false },
  { "the end of a long grace time", 10000, 9800, 9999, false, false, true },
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

#define UNKNOWN INT64_MIN

/* Times in ms.  */
static const struct
{
  const char *pattern;
  int64_t grace;
  int64_t at;       /* after the start of the planned stop */
  int64_t deadline; /* after the start, UNKNOWN: the latest possible */
  int64_t answer;   /* expected time to answer, UNKNOWN */
  int64_t body;     /* expected time until the body ends, UNKNOWN */
  bool may_pass_on;
} judgements[] = {
  { "short work, early", 6000, 0, 9000, 20, 0, true },
  { "short work, late", 6000, 5000, 9000, 20, 0, true },
  { "too late for any work", 6000, 5001, 9000, 0, 0, false },
  { "after the last answers", 6000, 5700, 9000, 20, 0, false },
  { "work of 1.3 s, in time", 6000, 3000, 9000, 1300, 0, true },
  { "work of 1.3 s, late", 6000, 3001, 9000, 1300, 0, false },
  { "review 6", 6000, 4357, 8600, 1300, 0, false },
  { "work longer than the grace", 6000, 0, 60000, 20000, 0, false },
  { "a longer grace", 60000, 0, 90000, 15000, 0, true },
  { "a deadline in time", 6000, 2000, 5600, 20000, 0, true },
  { "a deadline after the end", 6000, 2000, 5601, 20000, 0, false },
  { "late, a deadline in time", 6000, 5500, 5600, 5, 0, true },
  { "not measured", 6000, 0, 9000, UNKNOWN, 0, false },
  { "not measured, in time", 6000, 0, 5600, UNKNOWN, 0, true },
  { "a body in transit", 6000, 1200, 9000, 200, 4000, true },
  { "a body in transit, late", 6000, 1201, 9000, 200, 4000, false },
  { "a body of unknown length", 6000, 0, 9000, 20, UNKNOWN, false },
  { "such a body, in time", 6000, 0, 5000, 20, UNKNOWN, true },
  { "no limits", 6000, 0, UNKNOWN, INT64_MAX / MS, INT64_MAX / MS, false },
};

static cy_time_ns
ns_of (int64_t ms)
{
  return ms == UNKNOWN ? CYE_LEAVE_UNKNOWN : ms * MS;
}

START_TEST (test_judgement)
{
  struct cye_leave leave = { 0 };
  cy_time_ns start = 50 * CY_NS_PER_S;
  cy_time_ns now = start + judgements[_i].at * MS;
  int64_t deadline = judgements[_i].deadline;
  struct cye_leave_request request
      = { .deadline = deadline == UNKNOWN ? INT64_MAX : start + deadline * MS,
          .answer_ns = ns_of (judgements[_i].answer),
          .body_ns = ns_of (judgements[_i].body) };
  cye_leave_begin (&leave, judgements[_i].grace * MS, start);
  bool may_pass_on
      = cye_leave_may_pass_on (cye_leave_answers_at (&leave), &request, now);
  ck_assert_msg (may_pass_on == judgements[_i].may_pass_on, "%s",
                 judgements[_i].pattern);
  ck_assert_msg (cye_leave_may_pass_on (0, &request, now),
                 "%s, no planned stop", judgements[_i].pattern);
}
END_TEST

static const struct
{
  const char *pattern;
  int64_t length; /* bytes, below 0: not known */
  uint64_t received;
  int64_t elapsed; /* ms */
  int64_t left;    /* ms, UNKNOWN */
} bodies[] = {
  { "all received", 1000, 1000, 500, 0 },
  { "more than announced", 1000, 1001, 500, 0 },
  { "half received", 1000, 500, 500, 500 },
  { "a tenth received", 1000, 100, 500, 4500 },
  { "nothing received", 1000, 0, 500, UNKNOWN },
  { "chunked", -2, 500, 500, UNKNOWN },
  { "hardly begun", INT64_MAX, 1, INT64_MAX / MS, 3600000 },
};

START_TEST (test_body)
{
  cy_time_ns left = cye_leave_body_ns (bodies[_i].length, bodies[_i].received,
                                       bodies[_i].elapsed * MS);
  ck_assert_msg (left == ns_of (bodies[_i].left), "%s", bodies[_i].pattern);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("leave");
  TCase *tcase = tcase_create ("leave");
  tcase_add_loop_test (tcase, test_course, 0, G_N_ELEMENTS (rows));
  tcase_add_loop_test (tcase, test_judgement, 0, G_N_ELEMENTS (judgements));
  tcase_add_loop_test (tcase, test_body, 0, G_N_ELEMENTS (bodies));
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}

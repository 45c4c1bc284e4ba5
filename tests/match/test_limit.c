/* Guards against more requests to a server than the limit that it reports in
   its answers, and against a limit that is lost or kept for too long.  */

#include "core/cym_limit.h"
#include "core/cym_notices.h"
#include "match_world.h"

#define MS CY_NS_PER_MS

/* ------------------------------------------------------------ parsing */

static const struct
{
  const char *text;
  bool valid;
  double per_s;
} limit_texts[] = {
  { "3.1", true, 3.1 },
  { "0", true, 0 },
  { "0.25", true, 0.25 },
  { "120", true, 120 },
  { "1000000000", true, 1e9 },
  { "1000000001", false, 0 },
  { "99999999999999999999", false, 0 },
  { "", false, 0 },
  { ".5", false, 0 },
  { "1.2.3", false, 0 },
  { "-1", false, 0 },
  { "+1", false, 0 },
  { "1e3", false, 0 },
  { "0x10", false, 0 },
  { "inf", false, 0 },
  { "nan", false, 0 },
  { "3 per s", false, 0 },
  { "1,5", false, 0 },
};

START_TEST (test_limit_text)
{
  double per_s = 0;
  bool valid = cym_limit_parse (limit_texts[_i].text, &per_s);
  ck_assert_msg (valid == limit_texts[_i].valid
                     && fabs (per_s - limit_texts[_i].per_s) < 1e-9,
                 "\"%s\": %d, %g", limit_texts[_i].text, valid, per_s);
}
END_TEST

/* ------------------------------------------------------------ order */

/* Answer of a server.  */
struct answer
{
  double per_s; /* INFINITY: without a limit */
  int64_t sent_ms;
  int64_t received_ms; /* 0: end of the list */
};

static const struct
{
  const char *pattern;
  struct answer answers[5];
  double per_s; /* limit afterwards, INFINITY: none */
} orders[] = {
  { "none", { { INFINITY, 1, 5 } }, INFINITY },
  { "named", { { 3, 1, 5 } }, 3 },
  { "named, then an answer to an earlier request without it",
    { { 3, 1, 5 }, { INFINITY, 4, 9 } },
    3 },
  { "named, then an answer to a later request without it",
    { { 3, 1, 5 }, { INFINITY, 6, 9 } },
    INFINITY },
  { "lowered by an answer to an earlier request",
    { { 3, 1, 5 }, { 2, 4, 9 } },
    2 },
  { "raised by an answer to an earlier request",
    { { 3, 1, 5 }, { 4, 4, 9 } },
    3 },
  { "raised by an answer to a later request",
    { { 3, 1, 5 }, { 4, 6, 9 } },
    4 },
  { "confirmed late, then an answer to a request between",
    { { 3, 1, 5 }, { 3, 2, 8 }, { INFINITY, 6, 9 } },
    3 },
  { "lifted, then a report from before",
    { { 3, 1, 5 }, { INFINITY, 6, 9 }, { 3, 5, 5 } },
    INFINITY },
  { "lifted, then named again",
    { { 3, 1, 5 }, { INFINITY, 6, 9 }, { 3, 10, 12 } },
    3 },
  { "no request at all", { { 0, 1, 5 }, { INFINITY, 6, 9 } }, INFINITY },
};

START_TEST (test_order)
{
  struct cym_limit limit;
  double before = INFINITY;
  cym_limit_init (&limit);
  for (const struct answer *answer = orders[_i].answers;
       answer->received_ms != 0; answer++)
    {
      bool changed
          = cym_limit_record (&limit, answer->per_s, answer->sent_ms * MS,
                              answer->received_ms * MS);
      bool differs = limit.per_s < before || limit.per_s > before;
      ck_assert_msg (changed == differs, "%s", orders[_i].pattern);
      before = limit.per_s;
    }
  ck_assert_msg (!(limit.per_s < orders[_i].per_s)
                     && !(limit.per_s > orders[_i].per_s),
                 "%s: %g", orders[_i].pattern, limit.per_s);
}
END_TEST

/* ------------------------------------------------------------ notices */

static void
find_limit (const char *id, uint64_t incarnation,
            const struct cym_notice *notice, void *context)
{
  (void)id;
  (void)incarnation;
  *(double *)context = notice->limit.per_s;
}

/* What an entry VM reports to a control VM that starts to place.  */
START_TEST (test_notice)
{
  struct cym_notices *notices = cym_notices_create ();
  double listed = INFINITY;
  cym_notices_record_limit (notices, "a", 7, INFINITY, MS, 2 * MS);
  cym_notices_each (notices, 3 * MS, find_limit, &listed);
  ck_assert (isinf (listed));
  ck_assert (cym_notices_record_limit (notices, "a", 7, 3, MS, 2 * MS));
  ck_assert (cym_notices_allow (notices, "a", 7, 3 * MS));
  cym_notices_each (notices, 3 * MS, find_limit, &listed);
  ck_assert (fabs (listed - 3) < 1e-9);
  ck_assert (isinf (cym_notices_get (notices, "a", 8).limit.per_s));
  listed = INFINITY;
  cym_notices_each (notices, (2 + CYM_LIMIT_KEPT_S * 1000) * MS, find_limit,
                    &listed);
  ck_assert (isinf (listed));
  cym_notices_destroy (notices);
}
END_TEST

/* ------------------------------------------------------------ register */

/* Returns the limit of server i0, INFINITY for none.  */
static double
limit_of_first (void)
{
  return cym_match_find (sim.match, "i0")->limit.per_s;
}

static bool
record (uint64_t incarnation, double per_s)
{
  return cym_match_record_limit (sim.match, "i0", incarnation, per_s, sim.now,
                                 sim.now);
}

/* A control VM that has just started learns the limit before the server.  */
START_TEST (test_limit_before_register)
{
  sim_create ();
  ck_assert (record (1, 3));
  sim_put_servers (2, 4, 0, 0);
  ck_assert (fabs (limit_of_first () - 3) < 1e-9);
  ck_assert_uint_eq (cym_match_count_limited (sim.match), 1);
  sim_destroy ();
}
END_TEST

/* The limit outlasts a time without announcements.  */
START_TEST (test_limit_outlasts_register)
{
  sim_create ();
  sim_put_servers (2, 4, 0, 0);
  record (1, 3);
  sim_put_servers (0, 4, 0, 0);
  ck_assert_uint_eq (cym_match_count_limited (sim.match), 0);
  sim_put_servers (2, 4, 0, 0);
  ck_assert (fabs (limit_of_first () - 3) < 1e-9);
  sim_destroy ();
}
END_TEST

/* A limit of another incarnation does not bind.  */
START_TEST (test_limit_of_other_incarnation)
{
  sim_create ();
  sim_put_servers (2, 4, 0, 0);
  record (2, 3);
  ck_assert (isinf (limit_of_first ()));
  sim_destroy ();
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("limit");
  TCase *tcase = tcase_create ("limit");
  tcase_add_loop_test (tcase, test_limit_text, 0, G_N_ELEMENTS (limit_texts));
  tcase_add_loop_test (tcase, test_order, 0, G_N_ELEMENTS (orders));
  tcase_add_test (tcase, test_notice);
  tcase_add_test (tcase, test_limit_before_register);
  tcase_add_test (tcase, test_limit_outlasts_register);
  tcase_add_test (tcase, test_limit_of_other_incarnation);
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}

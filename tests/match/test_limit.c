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

/* ------------------------------------------------------------ placing */

/* Load of 60 requests/s of 50 ms.  */
static const struct workload busy
    = { "r", "w", 60, 50, 50, 0, 300, 1000, 1, NULL };

#define WINDOW_S          4
#define STEP_MS           50
#define STEPS_IN(seconds) ((int)((seconds)*1000 / STEP_MS))

/* Requests that have been placed at server ID.  */
static uint64_t
placed_at (const char *id)
{
  const struct cym_server *server = cym_match_find (sim.match, id);
  return server->finished_count + server->in_flight;
}

/* Runs BUSY for SECONDS s.  Returns the most requests that server ID got in
   WINDOW_S s, from the end of the first second on.  */
static uint64_t
most_in_window (const char *id, int seconds)
{
  GArray *counts = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  uint64_t most = 0;
  sim_run (&busy, 1, 1000);
  for (int i = 0; i <= STEPS_IN (seconds); i++)
    {
      uint64_t count = placed_at (id);
      g_array_append_val (counts, count);
      int from = MAX (i - STEPS_IN (WINDOW_S), 0);
      most = MAX (most, count - g_array_index (counts, uint64_t, from));
      sim_run (&busy, 1, STEP_MS);
    }
  g_array_free (counts, TRUE);
  return most;
}

/* The rule for one of SHARES matchers that use a limit together.  */
static uint64_t
allowed (double per_s, double share)
{
  return (uint64_t)((per_s * WINDOW_S * 1.5 + 5) * share);
}

static const struct
{
  const char *pattern;
  double per_s;
  double share;      /* of the region, of this matcher */
  uint32_t lent_out; /* of the 4 slots of the server */
  double used;       /* share of the limit that is used at least */
} rates[] = {
  { "a limit of a few a second", 3, 1, 0, 0.9 },
  { "a fraction", 6.4, 1, 0, 0.9 },
  { "below one a second", 0.5, 1, 0, 0.9 },
  { "above the load", 500, 1, 0, 0 },
  { "none at all", 0, 1, 0, 0 },
  { "half of the region", 6, 0.5, 0, 0.4 },
  { "half of the slots are lent", 6, 1, 2, 0.4 },
};

/* A server gets no more than its limit, and what it takes is used; requests
   that it does not take go to the other server.  */
START_TEST (test_rate)
{
  sim_create ();
  sim_put_servers (2, 16, 0, 0);
  cym_match_set_share (sim.match, rates[_i].share);
  cym_match_find (sim.match, "i0")->lent_out = rates[_i].lent_out * 4;
  sim_run (&busy, 1, 1000);
  sim.limited[0] = true;
  sim.limits[0] = rates[_i].per_s;
  uint64_t before = placed_at ("i0");
  uint64_t most = most_in_window ("i0", 20);
  double share = rates[_i].share * (1 - rates[_i].lent_out / 4.0);
  double per_s = (double)(placed_at ("i0") - before) / 21;
  ck_assert_msg (most <= allowed (rates[_i].per_s, share), "%s: %d",
                 rates[_i].pattern, (int)most);
  ck_assert_msg (per_s >= rates[_i].per_s * rates[_i].used, "%s: %g",
                 rates[_i].pattern, per_s);
  ck_assert_uint_eq (sim.counts[0].refused, 0);
  sim_destroy ();
}
END_TEST

/* The borrower of 2 of 8 slots uses a quarter of the limit.  */
START_TEST (test_rate_of_borrower)
{
  sim_create ();
  sim_put_servers (0, 4, 0, 8);
  cym_match_set_loan (sim.match, "i40", 1, 2, sim.now);
  sim_run (&busy, 1, 1000);
  sim.limited[40] = true;
  sim.limits[40] = 12;
  uint64_t most = most_in_window ("i40", 12);
  ck_assert_uint_ge (most, (uint64_t)(12 * WINDOW_S * 0.25 * 0.9));
  ck_assert_uint_le (most, allowed (12, 0.25));
  sim_destroy ();
}
END_TEST

/* The server's limit is lowered, raised and lifted.  */
START_TEST (test_limit_changes)
{
  static const struct
  {
    bool limited;
    double per_s;
  } steps[] = { { true, 6 }, { true, 2 }, { true, 4 }, { false, 0 } };
  sim_create ();
  sim_put_servers (2, 16, 0, 0);
  sim_run (&busy, 1, 1000);
  for (unsigned i = 0; i < G_N_ELEMENTS (steps); i++)
    {
      sim.limited[0] = steps[i].limited;
      sim.limits[0] = steps[i].per_s;
      uint64_t most = most_in_window ("i0", 8);
      if (steps[i].limited)
        ck_assert_uint_le (most, allowed (steps[i].per_s, 1));
      else
        ck_assert_uint_ge (most, 60);
    }
  sim_destroy ();
}
END_TEST

static const struct
{
  const char *pattern;
  struct cym_load load; /* of an answer to a request that was sent later */
  enum cym_outcome outcome;
  bool lifts;
} lifts[] = {
  { "a success without the limit", { .unlimited = true }, CYM_ANSWERED, true },
  { "a success with a limit that can't be read", { 0 }, CYM_ANSWERED, false },
  { "an error without the limit", { 0 }, CYM_ERROR, false },
  { "a refusal without the limit", { 0 }, CYM_NOT_RUN, false },
  { "a success that broke off", { .unlimited = true }, CYM_BROKEN, false },
  { "another server at the address", { 0 }, CYM_WRONG_SERVER, false },
  { "no answer", { 0 }, CYM_TIMED_OUT, false },
};

/* What shows that a limit has ended.  */
START_TEST (test_lift)
{
  struct cym_request request
      = { .service = "s", .route = "r", .workspace = "w", .zone = "a" };
  sim_create ();
  sim_put_servers (1, 4, 0, 0);
  record (1, 3);
  sim.now += CY_NS_PER_S;
  request.goal_at = sim.now + CY_NS_PER_S;
  request.deadline_at = sim.now + CY_NS_PER_S;
  ck_assert_int_eq (cym_match_place (sim.match, &request, sim.now), CY_OK);
  sim.now += MS;
  cym_match_finish (sim.match, &request, lifts[_i].outcome, MS,
                    &lifts[_i].load, sim.now);
  ck_assert_msg (isinf (limit_of_first ()) == lifts[_i].lifts, "%s",
                 lifts[_i].pattern);
  sim_destroy ();
}
END_TEST

/* All servers have limits below the load: what can't be served is refused at
   once and told when to come back, the limits are used.  */
START_TEST (test_all_limited)
{
  sim_create ();
  sim_put_servers (2, 4, 0, 0);
  sim_run (&busy, 1, 1000);
  for (unsigned i = 0; i < 2; i++)
    {
      sim.limited[i] = true;
      sim.limits[i] = 10;
    }
  sim_run (&busy, 1, 1000);
  memset (sim.counts, 0, sizeof sim.counts);
  sim_run (&busy, 1, 10000);
  const struct request_counts *counts = &sim.counts[0];
  ck_assert_uint_eq (counts->refused_late, 0);
  ck_assert_uint_ge (counts->on_time, 180);
  ck_assert_uint_le (counts->on_time, 210);
  struct cym_request request
      = { .service = "s", .route = "r", .workspace = "w", .zone = "a" };
  request.goal_at = sim.now + MS;
  request.deadline_at = sim.now + MS;
  ck_assert_int_ne (cym_match_place (sim.match, &request, sim.now), CY_OK);
  ck_assert_uint_ge (request.retry_after_ms, 50);
  sim_destroy ();
}
END_TEST

/* A new placer does not know what the former one has placed: it starts with
   no request to give away.  */
START_TEST (test_new_placer_starts_empty)
{
  sim_create ();
  record (1, 3);
  sim.now += 30 * CY_NS_PER_S;
  sim_put_servers (1, 16, 0, 0);
  sim.limited[0] = true;
  sim.limits[0] = 3;
  uint64_t most = most_in_window ("i0", 8);
  ck_assert_uint_le (most, allowed (3, 1));
  ck_assert_uint_le (placed_at ("i0"), 3 * 9 + 2);
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
  tcase_add_loop_test (tcase, test_rate, 0, G_N_ELEMENTS (rates));
  tcase_add_test (tcase, test_rate_of_borrower);
  tcase_add_test (tcase, test_limit_changes);
  tcase_add_loop_test (tcase, test_lift, 0, G_N_ELEMENTS (lifts));
  tcase_add_test (tcase, test_all_limited);
  tcase_add_test (tcase, test_new_placer_starts_empty);
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}

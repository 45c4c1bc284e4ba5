/* Guards against requests to a server that has asked for none in an answer: it
   leaves, or wants no request of one entry VM for a time.  */

#include "core/cym_notices.h"
#include "match_world.h"

#define MS CY_NS_PER_MS

/* ------------------------------------------------------------ parsing */

static const struct
{
  const char *text;
  bool valid;
  uint32_t ms;
} pause_texts[] = {
  { "2", true, 2000 },
  { "0", true, 0 },
  { "0.25", true, 250 },
  { "1.0004", true, 1001 },
  { "3600", true, CYM_PAUSE_MAX_MS },
  { "3601", true, CYM_PAUSE_MAX_MS },
  { "99999999999999999999", true, CYM_PAUSE_MAX_MS },
  { "", false, 0 },
  { " ", false, 0 },
  { ".", false, 0 },
  { ".5", false, 0 },
  { "1.2.3", false, 0 },
  { "-1", false, 0 },
  { "+1", false, 0 },
  { "1e3", false, 0 },
  { "0x10", false, 0 },
  { "inf", false, 0 },
  { "nan", false, 0 },
  { "2 s", false, 0 },
  { "1,5", false, 0 },
  { "Wed, 21 Oct 2026 07:28:00 GMT", false, 0 },
};

START_TEST (test_pause_text)
{
  uint32_t ms = 0;
  bool valid = cym_pause_parse (pause_texts[_i].text, &ms);
  ck_assert_msg (valid == pause_texts[_i].valid && ms == pause_texts[_i].ms,
                 "\"%s\": %d, %u ms", pause_texts[_i].text, valid, ms);
}
END_TEST

/* ------------------------------------------------------------ order */

/* An answer of one incarnation of server "a".  */
struct answer
{
  int64_t at_ms;
  uint64_t incarnation; /* 0: end of the list */
  bool leaving;
  uint32_t pause_ms;
};

static const struct
{
  const char *pattern;
  struct answer answers[4];
  uint64_t incarnation; /* that the next request is for */
  int64_t at_ms;        /* time of that request */
  bool allowed;
} orders[] = {
  { "no notice", { { 0, 1, false, 0 } }, 1, 1, true },
  { "leaves", { { 0, 1, true, 0 } }, 1, 1, false },
  { "leaves, much later", { { 0, 1, true, 0 } }, 1, 500000, false },
  { "leaves, then a good answer that was sent before",
    { { 0, 1, true, 0 }, { 5, 1, false, 0 } },
    1,
    6,
    false },
  { "leaves, another incarnation", { { 0, 1, true, 0 } }, 2, 1, true },
  { "leaves, then an answer of an earlier incarnation",
    { { 0, 2, true, 0 }, { 5, 1, true, 0 } },
    2,
    6,
    false },
  { "the earlier incarnation leaves after the later one answered",
    { { 0, 2, false, 1 }, { 5, 1, true, 0 } },
    2,
    6,
    true },
  { "paused", { { 0, 1, false, 2000 } }, 1, 1999, false },
  { "the pause is over", { { 0, 1, false, 2000 } }, 1, 2000, true },
  { "paused, then a good answer that was sent before",
    { { 0, 1, false, 2000 }, { 5, 1, false, 0 } },
    1,
    1999,
    false },
  { "a shorter pause does not end a longer one",
    { { 0, 1, false, 2000 }, { 100, 1, false, 200 } },
    1,
    1999,
    false },
  { "a later pause extends",
    { { 0, 1, false, 2000 }, { 1500, 1, false, 2000 } },
    1,
    3499,
    false },
  { "paused, another incarnation", { { 0, 1, false, 2000 } }, 2, 1, true },
  { "paused, then leaves",
    { { 0, 1, false, 2000 }, { 5, 1, true, 0 } },
    1,
    9000,
    false },
};

START_TEST (test_order)
{
  struct cym_notices *notices = cym_notices_create ();
  for (const struct answer *answer = orders[_i].answers;
       answer->incarnation != 0; answer++)
    {
      struct cym_load load
          = { .leaving = answer->leaving, .pause_ms = answer->pause_ms };
      cym_notices_record (notices, "a", answer->incarnation, &load,
                          answer->at_ms * MS);
    }
  bool allowed = cym_notices_allow (notices, "a", orders[_i].incarnation,
                                    orders[_i].at_ms * MS);
  ck_assert_msg (allowed == orders[_i].allowed, "%s: %d", orders[_i].pattern,
                 allowed);
  cym_notices_destroy (notices);
}
END_TEST

static void
count_notice (const char *id, uint64_t incarnation,
              const struct cym_notice *notice, void *context)
{
  (void)id;
  (void)incarnation;
  (void)notice;
  ++*(unsigned *)context;
}

/* Hundreds of servers at once; outdated notices are removed.  */
START_TEST (test_many)
{
  struct cym_notices *notices = cym_notices_create ();
  unsigned listed = 0;
  for (unsigned i = 0; i < 600; i++)
    {
      char id[16];
      struct cym_load load = { .leaving = i % 3 == 0, .pause_ms = 1000 };
      g_snprintf (id, sizeof id, "server-%u", i);
      ck_assert_int_eq (cym_notices_record (notices, id, 7, &load, MS),
                        load.leaving ? CYM_NOTICE_LEAVING : CYM_NOTICE_PAUSED);
    }
  cym_notices_each (notices, 500 * MS, count_notice, &listed);
  ck_assert_uint_eq (listed, 600);
  listed = 0;
  cym_notices_each (notices, 5000 * MS, count_notice, &listed);
  ck_assert_uint_eq (listed, 200);
  cym_notices_destroy (notices);
}
END_TEST

/* ------------------------------------------------------------ placing */

static const struct workload light
    = { "r", "w", 40, 50, 50, 0, 300, 1000, 1, NULL };

static void
notice (const char *id, uint64_t entry_vm, bool leaving, uint32_t pause_ms)
{
  struct cym_load load = { .leaving = leaving, .pause_ms = pause_ms };
  cym_match_notice (sim.match, id, 1, entry_vm, &load, sim.now);
}

static uint64_t
finished_at (const char *id)
{
  return cym_match_find (sim.match, id)->finished_count;
}

/* A server that leaves gets nothing more, the others serve all requests.  An
   update of the register that does not know it yet changes nothing.  */
START_TEST (test_leaving_gets_nothing)
{
  sim_create ();
  sim_put_servers (3, 4, 0, 0);
  sim_run (&light, 1, 500);
  notice ("i0", 5, true, 0);
  sim_put_servers (3, 4, 0, 0);
  sim_run (&light, 0, 200);
  uint64_t before = finished_at ("i0");
  memset (sim.counts, 0, sizeof sim.counts);
  sim_run (&light, 1, 2000);
  ck_assert_uint_eq (finished_at ("i0"), before);
  ck_assert_uint_eq (sim.counts[0].refused, 0);
  sim_destroy ();
}
END_TEST

static const struct
{
  const char *pattern;
  uint64_t paused_vm; /* entry VM that the servers paused; requests are of 0 */
  unsigned paused_servers; /* of 2 */
  uint32_t pause_ms;
  bool gets_requests;      /* paused servers get requests in the pause */
  double served_ratio_min; /* of the requests during the pause */
} pauses[] = {
  { "one server pauses this VM", 0, 1, 1000, false, 1.0 },
  { "one server pauses another VM", 9, 1, 1000, true, 1.0 },
  { "all servers pause this VM for less than the goal allows", 0, 2, 100,
    false, 1.0 },
  { "all servers pause this VM for long", 0, 2, 5000, false, 0.0 },
};

/* A paused server gets requests of other entry VMs only; requests that can't
   be answered in time because of a pause are refused at once with the time
   after which it ends.  */
START_TEST (test_pause)
{
  sim_create ();
  sim_put_servers (2, 4, 0, 0);
  sim_run (&light, 1, 500);
  sim_run (&light, 0, 200);
  memset (sim.counts, 0, sizeof sim.counts);
  for (unsigned i = 0; i < pauses[_i].paused_servers; i++)
    notice (i == 0 ? "i0" : "i1", pauses[_i].paused_vm, false,
            pauses[_i].pause_ms);
  uint64_t before = finished_at ("i0");
  sim_run (&light, 1, MIN (pauses[_i].pause_ms, 1000));
  uint64_t during = finished_at ("i0") - before;
  const struct request_counts *counts = &sim.counts[0];
  ck_assert_msg ((during > 0) == pauses[_i].gets_requests, "%s: %d requests",
                 pauses[_i].pattern, (int)during);
  ck_assert_uint_eq (counts->refused_late, 0);
  ck_assert_uint_ge (
      counts->arrived - counts->refused,
      (unsigned)(counts->arrived * pauses[_i].served_ratio_min));
  sim_destroy ();
}
END_TEST

/* All servers pause this VM: the refusal names the end of the first pause.  */
START_TEST (test_retry_after_of_pause)
{
  struct cym_request request
      = { .service = "s", .route = "r", .workspace = "w", .zone = "a" };
  sim_create ();
  sim_put_servers (2, 4, 0, 0);
  sim_run (&light, 1, 500);
  sim_run (&light, 0, 200);
  notice ("i0", 0, false, 7000);
  notice ("i1", 0, false, 5000);
  request.goal_at = sim.now + 300 * MS;
  request.deadline_at = sim.now + 9000 * MS;
  ck_assert_int_eq (cym_match_place (sim.match, &request, sim.now),
                    CY_E_NO_ROOM);
  ck_assert_uint_eq (request.retry_after_ms, 5000);
  sim_destroy ();
}
END_TEST

/* A new incarnation of a server that left starts without its notices.  */
START_TEST (test_new_incarnation)
{
  struct cym_server_info info = { .id = "i0",
                                  .service = "s",
                                  .host = "10.0.0.1",
                                  .port = 100,
                                  .zone = "a",
                                  .region = "r1",
                                  .incarnation = 2,
                                  .slots = 4 };
  sim_create ();
  sim_put_servers (1, 4, 0, 0);
  notice ("i0", 0, true, 60000);
  cym_match_begin_update (sim.match);
  cym_match_put_server (sim.match, &info, sim.now);
  cym_match_end_update (sim.match, sim.now);
  notice ("i0", 0, true, 60000); /* late, of the earlier incarnation */
  sim_run (&light, 1, 1000);
  ck_assert_uint_eq (sim.counts[0].refused, 0);
  sim_destroy ();
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("notices");
  TCase *tcase = tcase_create ("notices");
  tcase_add_loop_test (tcase, test_pause_text, 0, G_N_ELEMENTS (pause_texts));
  tcase_add_loop_test (tcase, test_order, 0, G_N_ELEMENTS (orders));
  tcase_add_test (tcase, test_many);
  tcase_add_test (tcase, test_leaving_gets_nothing);
  tcase_add_loop_test (tcase, test_pause, 0, G_N_ELEMENTS (pauses));
  tcase_add_test (tcase, test_retry_after_of_pause);
  tcase_add_test (tcase, test_new_incarnation);
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}

/* Choice and health of backend servers, and the fair queue of waiting
   requests.  */

#include <glib.h>
#include <string.h>

#include "core/cyb_pool.h"
#include "core/cyw_fair_queue.h"
#include "cy_test.h"

struct fixture
{
  struct cy_fake_clock fake;
  struct cy_clock clock;
  uint64_t seed;
  struct cy_random random;
  struct cyb_pool *pool;
};

static struct cyb_server *
put_server (struct fixture *fixture, const char *instance,
            uint64_t incarnation, uint32_t warm_ms, bool draining)
{
  Cy__BackendStatus status = CY__BACKEND_STATUS__INIT;
  status.instance = (char *)instance;
  status.host = (char *)"127.0.0.1";
  status.port = 1;
  status.slots = 4;
  status.connections = 900;
  status.incarnation = incarnation;
  status.warm_ms = warm_ms;
  return cyb_pool_put_server (fixture->pool, &status, draining);
}

static void
fixture_start (struct fixture *fixture, bool with_credits)
{
  memset (fixture, 0, sizeof *fixture);
  fixture->fake.now = 100 * CY_NS_PER_S;
  fixture->clock = cy_fake_clock_interface (&fixture->fake);
  fixture->seed = 7;
  fixture->random = cy_seeded_random (&fixture->seed);
  fixture->pool
      = cyb_pool_create (&fixture->clock, &fixture->random, with_credits);
  cyb_pool_begin_update (fixture->pool);
  put_server (fixture, "a", 1, 60000, false);
  put_server (fixture, "b", 1, 60000, false);
  cyb_pool_end_update (fixture->pool);
}

static void
run_request (struct fixture *fixture, struct cyb_server *server,
             enum cyb_outcome ending, int ms)
{
  cyb_pool_start_request (fixture->pool, server);
  fixture->fake.now += ms * CY_NS_PER_MS;
  cyb_pool_finish_request (fixture->pool, server, ending, ms * CY_NS_PER_MS);
}

/* Starts requests until the pool has no free slot.  Returns the number of
   requests at INSTANCE.  */
static int
start_until_full (struct fixture *fixture, const char *instance)
{
  struct cyb_server *server = NULL;
  int count = 0;
  while (cyb_pool_choose_server (fixture->pool, NULL, &server) == CY_OK)
    {
      count += strcmp (server->instance, instance) == 0;
      cyb_pool_start_request (fixture->pool, server);
    }
  return count;
}

/* A server gets no more requests at once than it has slots.  */
START_TEST (test_slots_bound)
{
  struct fixture fixture;
  struct cyb_server *server = NULL;
  fixture_start (&fixture, false);
  ck_assert_int_eq (start_until_full (&fixture, "a"), 4);
  ck_assert_int_eq (cyb_pool_choose_server (fixture.pool, NULL, &server),
                    CY_E_NO_ROOM);
  cyb_pool_destroy (fixture.pool);
}
END_TEST

/* Without credits, or after their lease, no request may start.  */
START_TEST (test_credits_bound)
{
  struct fixture fixture;
  struct cyb_server *server = NULL;
  fixture_start (&fixture, true);
  ck_assert_int_eq (start_until_full (&fixture, "a"), 0);
  cyb_pool_set_credits (fixture.pool,
                        cyb_pool_find_server (fixture.pool, "a", 1), 2,
                        fixture.fake.now + CY_NS_PER_S);
  ck_assert_int_eq (start_until_full (&fixture, "a"), 2);
  fixture.fake.now += 2 * CY_NS_PER_S; /* the lease has ended */
  cyb_pool_finish_request (fixture.pool,
                           cyb_pool_find_server (fixture.pool, "a", 1),
                           CYB_ANSWERED, CY_NS_PER_MS);
  ck_assert_int_eq (cyb_pool_choose_server (fixture.pool, NULL, &server),
                    CY_E_NO_ROOM);
  cyb_pool_destroy (fixture.pool);
}
END_TEST

/* Consecutive failures eject a server; after the pause it gets one request at
   a time and one more with each answer.  */
START_TEST (test_ejection_and_return)
{
  struct fixture fixture;
  fixture_start (&fixture, false);
  struct cyb_server *a = cyb_pool_find_server (fixture.pool, "a", 1);
  for (int i = 0; i < CYB_EJECT_FAILURES; i++)
    run_request (&fixture, a, CYB_FAILED, 1);
  ck_assert_int_eq (start_until_full (&fixture, "a"), 0);
  fixture.fake.now += 2 * CYB_EJECT_MIN_MS * CY_NS_PER_MS;
  ck_assert_int_eq (start_until_full (&fixture, "a"),
                    1); /* one request at a time */
  cyb_pool_finish_request (fixture.pool, a, CYB_ANSWERED, CY_NS_PER_MS);
  ck_assert_int_eq (start_until_full (&fixture, "a"), 2);
  cyb_pool_destroy (fixture.pool);
}
END_TEST

/* Requests that the caller cancelled must not count as failures of the
   server.  */
START_TEST (test_cancelled_is_no_evidence)
{
  struct fixture fixture;
  fixture_start (&fixture, false);
  for (int i = 0; i < 10; i++)
    run_request (&fixture, cyb_pool_find_server (fixture.pool, "a", 1),
                 CYB_CANCELLED, 1);
  ck_assert_int_eq (start_until_full (&fixture, "a"), 4);
  cyb_pool_destroy (fixture.pool);
}
END_TEST

static const struct
{
  const char *pattern;
  bool leaving;
  uint32_t pause_ms;
  int64_t after_ms;
  int starts; /* requests that may start at the server after that time */
} notice_rows[] = {
  { "leaves", true, 0, 60000, 0 },
  { "paused", false, 1500, 1499, 0 },
  { "the pause is over", false, 1500, 1500, 4 },
  { "no notice", false, 0, 0, 4 },
};

/* A server that asked for no requests in an answer gets none, also when a
   later answer asks for nothing.  A new incarnation starts without notices. */
START_TEST (test_notices)
{
  struct fixture fixture;
  fixture_start (&fixture, false);
  struct cyb_server *a = cyb_pool_find_server (fixture.pool, "a", 1);
  cyb_pool_notice (fixture.pool, a, notice_rows[_i].leaving,
                   notice_rows[_i].pause_ms);
  cyb_pool_notice (fixture.pool, a, false, 0);
  fixture.fake.now += notice_rows[_i].after_ms * CY_NS_PER_MS;
  cyb_pool_begin_update (fixture.pool);
  put_server (&fixture, "a", 1, 60000, false);
  cyb_pool_end_update (fixture.pool);
  int starts = start_until_full (&fixture, "a");
  ck_assert_msg (starts == notice_rows[_i].starts, "%s: %d",
                 notice_rows[_i].pattern, starts);
  cyb_pool_begin_update (fixture.pool);
  put_server (&fixture, "a", 2, 60000, false);
  cyb_pool_end_update (fixture.pool);
  ck_assert_int_eq (start_until_full (&fixture, "a"), 4);
  cyb_pool_destroy (fixture.pool);
}
END_TEST

static const struct
{
  const char *pattern;
  bool with_credits;
  uint32_t credits; /* of the 4 slots */
  double per_s;
  int starts_min; /* requests in 10 s */
  int starts_max;
} limit_rows[] = {
  { "without credits", false, 0, 3, 29, 31 },
  { "all credits", true, 4, 3, 29, 31 },
  { "a quarter of the credits", true, 1, 12, 29, 31 },
  { "below one a second", true, 4, 0.5, 4, 5 },
  { "none at all", true, 4, 0, 0, 1 },
  { "no credits", true, 0, 12, 0, 0 },
};

/* An entry VM sends a server the part of its limit that its credits are of the
   slots, so that all entry VMs together keep the limit.  */
START_TEST (test_limit)
{
  struct fixture fixture;
  int starts = 0;
  fixture_start (&fixture, limit_rows[_i].with_credits);
  struct cyb_server *a = cyb_pool_find_server (fixture.pool, "a", 1);
  cyb_pool_set_credits (fixture.pool, a, limit_rows[_i].credits,
                        fixture.fake.now + 3600 * CY_NS_PER_S);
  ck_assert (cyb_pool_record_limit (fixture.pool, a, limit_rows[_i].per_s,
                                    fixture.fake.now));
  for (int i = 0; i < 1000; i++)
    {
      struct cyb_server *server = NULL;
      fixture.fake.now += 10 * CY_NS_PER_MS;
      if (cyb_pool_choose_server (fixture.pool, "b", &server) != CY_OK
          || server != a)
        continue;
      starts++;
      run_request (&fixture, server, CYB_ANSWERED, 0);
    }
  ck_assert_msg (starts >= limit_rows[_i].starts_min
                     && starts <= limit_rows[_i].starts_max,
                 "%s: %d", limit_rows[_i].pattern, starts);
  cyb_pool_destroy (fixture.pool);
}
END_TEST

/* Slots of servers that take no requests are no room.  */
START_TEST (test_room_of_healthy_servers)
{
  struct fixture fixture;
  uint32_t slots = 0;
  fixture_start (&fixture, false);
  ck_assert_uint_eq (cyb_pool_count_healthy (fixture.pool, &slots), 2);
  ck_assert_uint_eq (slots, 8);
  cyb_pool_find_server (fixture.pool, "a", 1)->unhealthy = true;
  ck_assert_uint_eq (cyb_pool_count_healthy (fixture.pool, &slots), 1);
  ck_assert_uint_eq (slots, 4);
  cyb_pool_destroy (fixture.pool);
}
END_TEST

/* A full server that refuses requests at once must not be rated the fastest:
   it gets no requests for a pause and then one at a time.  */
START_TEST (test_shedding)
{
  struct fixture fixture;
  fixture_start (&fixture, false);
  struct cyb_server *a = cyb_pool_find_server (fixture.pool, "a", 1);
  run_request (&fixture, a, CYB_REFUSED, 0);
  ck_assert_int_eq (start_until_full (&fixture, "a"), 0);
  fixture.fake.now += CYB_SHED_MIN_MS * CY_NS_PER_MS;
  ck_assert_int_eq (start_until_full (&fixture, "a"), 1);
  cyb_pool_destroy (fixture.pool);
}
END_TEST

/* A server far slower than the median gets one request at a time.  */
START_TEST (test_slow_server)
{
  struct fixture fixture;
  struct cyb_server *server = NULL;
  fixture_start (&fixture, false);
  for (int i = 0; i < 20; i++)
    {
      run_request (&fixture, cyb_pool_find_server (fixture.pool, "a", 1),
                   CYB_ANSWERED, 100);
      run_request (&fixture, cyb_pool_find_server (fixture.pool, "b", 1),
                   CYB_ANSWERED, 10);
    }
  ck_assert_int_eq (cyb_pool_choose_server (fixture.pool, NULL, &server),
                    CY_OK);
  ck_assert_str_eq (server->instance, "b");
  ck_assert_int_eq (start_until_full (&fixture, "a"), 1);
  cyb_pool_destroy (fixture.pool);
}
END_TEST

/* A restarted server replaces its predecessor and starts with one slot; a
   server that is missing from the register gets no requests.  */
START_TEST (test_register)
{
  struct fixture fixture;
  struct cyb_server *server = NULL;
  fixture_start (&fixture, false);
  cyb_pool_begin_update (fixture.pool);
  put_server (&fixture, "a", 2, 0, false); /* restarted now */
  put_server (&fixture, "b", 1, 60000, true);
  cyb_pool_end_update (fixture.pool);
  ck_assert_ptr_null (cyb_pool_find_server (fixture.pool, "a", 1));
  ck_assert_int_eq (cyb_pool_choose_server (fixture.pool, NULL, &server),
                    CY_OK);
  ck_assert_uint_eq (server->incarnation, 2);
  ck_assert_int_eq (start_until_full (&fixture, "a"), 1); /* slow start */
  ck_assert_int_eq (cyb_pool_choose_server (fixture.pool, NULL, &server),
                    CY_E_NO_ROOM);
  cyb_pool_begin_update (fixture.pool);
  cyb_pool_end_update (fixture.pool);
  ck_assert_int_eq (cyb_pool_choose_server (fixture.pool, NULL, &server),
                    CY_E_NO_BACKEND);
  cyb_pool_destroy (fixture.pool);
}
END_TEST

/* ------------------------------------------------------------ waiting */

static const struct
{
  double weights[3];
  int popped[3]; /* of the first 30, with 60 waiting per workspace */
} shares[] = {
  { { 1, 1, 1 }, { 10, 10, 10 } },
  { { 2, 1, 1 }, { 15, 8, 7 } },
  { { 4, 1, 1 }, { 20, 5, 5 } },
};

/* Workspaces with waiting requests get slots in proportion to their weights.
 */
START_TEST (test_fair)
{
  struct cyw_fair_queue *queue = cyw_fair_queue_create ();
  struct cyw_item items[3][60];
  int popped[3] = { 0 };
  const char *const names[] = { "x", "y", "z" };
  for (int w = 0; w < 3; w++)
    for (int i = 0; i < 60; i++)
      ck_assert_int_eq (cyw_fair_queue_push (queue, &items[w][i], names[w],
                                             shares[_i].weights[w], 1,
                                             CY_NS_PER_S, 0),
                        CY_OK);
  for (int i = 0; i < 30; i++)
    {
      struct cyw_item *item = cyw_fair_queue_pop (queue, 2);
      for (int w = 0; w < 3; w++)
        popped[w] += item >= items[w] && item < items[w] + 60;
    }
  for (int w = 0; w < 3; w++)
    ck_assert_int_le (abs (popped[w] - shares[_i].popped[w]), 1);
  struct cyw_item *item = NULL;
  while ((item = cyw_fair_queue_expire (queue, CY_NS_PER_S)) != NULL)
    ck_assert_ptr_null (item->flow);
  ck_assert_uint_eq (cyw_fair_queue_length (queue), 0);
  cyw_fair_queue_destroy (queue);
}
END_TEST

/* A workspace with too many requests fills only its part of the queue; a later
   request of another workspace does not wait behind them.  */
START_TEST (test_flood)
{
  struct cyw_fair_queue *queue = cyw_fair_queue_create ();
  struct cyw_item items[CYW_WORKSPACE_MAX + 1];
  struct cyw_item late;
  for (int i = 0; i <= CYW_WORKSPACE_MAX; i++)
    ck_assert_int_eq (
        cyw_fair_queue_push (queue, &items[i], "flood", 1, 1, CY_NS_PER_S, 0),
        i < CYW_WORKSPACE_MAX ? CY_OK : CY_E_QUEUE_FULL);
  cyw_fair_queue_pop (queue, 2);
  ck_assert_int_eq (
      cyw_fair_queue_push (queue, &late, "late", 1, 3, CY_NS_PER_S, 0), CY_OK);
  struct cyw_item *first = cyw_fair_queue_pop (queue, 4);
  struct cyw_item *second = cyw_fair_queue_pop (queue, 4);
  ck_assert (first == &late || second == &late);
  while (cyw_fair_queue_pop (queue, 5) != NULL)
    continue;
  cyw_fair_queue_destroy (queue);
}
END_TEST

/* At a service rate of 100 requests/s with 50 waiting, a request with 100 ms
   left is refused at once and one with 2 s left is queued.  */
START_TEST (test_early_refusal)
{
  struct cyw_fair_queue *queue = cyw_fair_queue_create ();
  struct cyw_item items[100];
  struct cyw_item more[2];
  cy_time_ns now = CY_NS_PER_S;
  for (int i = 0; i < 100; i++)
    cyw_fair_queue_push (queue, &items[i], "x", 1, now, 100 * CY_NS_PER_S, 0);
  for (int i = 0; i < 50; i++)
    {
      now += 10 * CY_NS_PER_MS;
      ck_assert_ptr_nonnull (cyw_fair_queue_pop (queue, now));
    }
  ck_assert_int_eq (cyw_fair_queue_push (queue, &more[0], "x", 1, now,
                                         now + 100 * CY_NS_PER_MS, 0),
                    CY_E_DEADLINE);
  ck_assert_int_eq (cyw_fair_queue_push (queue, &more[1], "x", 1, now,
                                         now + 2 * CY_NS_PER_S, 0),
                    CY_OK);
  while (cyw_fair_queue_pop (queue, now) != NULL)
    continue;
  cyw_fair_queue_destroy (queue);
}
END_TEST

/* A stall of 2.2 s without a slot, with 60 requests waiting, must not lower
   the measured service rate: a request that arrives after it is queued.  */
START_TEST (test_stall)
{
  struct cyw_fair_queue *queue = cyw_fair_queue_create ();
  struct cyw_item items[200];
  struct cyw_item more;
  cy_time_ns now = CY_NS_PER_S;
  int pushed = 0;
  for (; pushed < 100; pushed++)
    cyw_fair_queue_push (queue, &items[pushed], "x", 1, now, 100 * CY_NS_PER_S,
                         0);
  for (int i = 0; i < 40; i++)
    {
      now += 10 * CY_NS_PER_MS;
      ck_assert_ptr_nonnull (cyw_fair_queue_pop (queue, now));
    }
  cyw_fair_queue_set_stalled (queue, true, now);
  for (int i = 0; i < 22; i++)
    {
      now += 100 * CY_NS_PER_MS;
      cyw_fair_queue_set_stalled (queue, true, now);
    }
  cyw_fair_queue_set_stalled (queue, false, now);
  ck_assert_ptr_nonnull (cyw_fair_queue_pop (queue, now));
  ck_assert_int_eq (cyw_fair_queue_push (queue, &more, "x", 1, now,
                                         now + 5 * CY_NS_PER_S, 0),
                    CY_OK);
  while (cyw_fair_queue_pop (queue, now) != NULL)
    continue;
  cyw_fair_queue_destroy (queue);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("pool");
  TCase *tcase = tcase_create ("pool");
  tcase_add_test (tcase, test_slots_bound);
  tcase_add_test (tcase, test_credits_bound);
  tcase_add_test (tcase, test_ejection_and_return);
  tcase_add_test (tcase, test_cancelled_is_no_evidence);
  tcase_add_test (tcase, test_shedding);
  tcase_add_test (tcase, test_room_of_healthy_servers);
  tcase_add_loop_test (tcase, test_notices, 0, G_N_ELEMENTS (notice_rows));
  tcase_add_loop_test (tcase, test_limit, 0, G_N_ELEMENTS (limit_rows));
  tcase_add_test (tcase, test_slow_server);
  tcase_add_test (tcase, test_register);
  tcase_add_loop_test (tcase, test_fair, 0, G_N_ELEMENTS (shares));
  tcase_add_test (tcase, test_flood);
  tcase_add_test (tcase, test_early_refusal);
  tcase_add_test (tcase, test_stall);
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}

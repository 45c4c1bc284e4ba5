/* Choice and health of backend servers, and fair waiting.  */

#include <glib.h>
#include <string.h>

#include "core/cyb_pool.h"
#include "core/cyw_fair_queue.h"
#include "cy_test.h"

struct world
{
  struct cy_fake_clock fake;
  struct cy_clock clock;
  uint64_t seed;
  struct cy_random random;
  struct cyb_pool *pool;
};

static struct cyb_server *
put (struct world *world, const char *instance, uint64_t incarnation,
     uint32_t warm_ms, bool draining)
{
  Cy__BackendStatus status = CY__BACKEND_STATUS__INIT;
  status.instance = (char *)instance;
  status.host = (char *)"127.0.0.1";
  status.port = 1;
  status.slots = 4;
  status.connections = 900;
  status.incarnation = incarnation;
  status.warm_ms = warm_ms;
  return cyb_pool_put (world->pool, &status, draining);
}

static void
start (struct world *world, bool with_credits)
{
  memset (world, 0, sizeof *world);
  world->fake.now = 100 * CY_NS_PER_S;
  world->clock = cy_fake_clock_interface (&world->fake);
  world->seed = 7;
  world->random = cy_seeded_random (&world->seed);
  world->pool = cyb_pool_create (&world->clock, &world->random, with_credits);
  cyb_pool_begin (world->pool);
  put (world, "a", 1, 60000, false);
  put (world, "b", 1, 60000, false);
  cyb_pool_end (world->pool);
}

static void
one (struct world *world, struct cyb_server *server, enum cyb_ending ending,
     int ms)
{
  cyb_pool_start (world->pool, server);
  world->fake.now += ms * CY_NS_PER_MS;
  cyb_pool_finish (world->pool, server, ending, ms * CY_NS_PER_MS);
}

/* Slots that the pool gives out at once, by server.  */
static int
fill (struct world *world, const char *instance)
{
  struct cyb_server *server = NULL;
  int count = 0;
  while (cyb_pool_choose (world->pool, NULL, &server) == CY_OK)
    {
      count += strcmp (server->instance, instance) == 0;
      cyb_pool_start (world->pool, server);
    }
  return count;
}

START_TEST (test_slots_bound)
{
  struct world world;
  struct cyb_server *server = NULL;
  start (&world, false);
  ck_assert_int_eq (fill (&world, "a"), 4);
  ck_assert_int_eq (cyb_pool_choose (world.pool, NULL, &server), CY_E_NO_ROOM);
  cyb_pool_destroy (world.pool);
}
END_TEST

START_TEST (test_credits_bound)
{
  struct world world;
  struct cyb_server *server = NULL;
  start (&world, true);
  ck_assert_int_eq (fill (&world, "a"), 0);
  cyb_pool_grant (world.pool, cyb_pool_find (world.pool, "a", 1), 2,
                  world.fake.now + CY_NS_PER_S);
  ck_assert_int_eq (fill (&world, "a"), 2);
  world.fake.now += 2 * CY_NS_PER_S; /* the lease has ended */
  cyb_pool_finish (world.pool, cyb_pool_find (world.pool, "a", 1),
                   CYB_ANSWERED, CY_NS_PER_MS);
  ck_assert_int_eq (cyb_pool_choose (world.pool, NULL, &server), CY_E_NO_ROOM);
  cyb_pool_destroy (world.pool);
}
END_TEST

START_TEST (test_ejection_and_return)
{
  struct world world;
  start (&world, false);
  struct cyb_server *a = cyb_pool_find (world.pool, "a", 1);
  for (int i = 0; i < CYB_EJECT_FAILURES; i++)
    one (&world, a, CYB_FAILED, 1);
  ck_assert_int_eq (fill (&world, "a"), 0);
  world.fake.now += 2 * CYB_EJECT_MS * CY_NS_PER_MS;
  ck_assert_int_eq (fill (&world, "a"), 1); /* back with one at a time */
  cyb_pool_finish (world.pool, a, CYB_ANSWERED, CY_NS_PER_MS);
  ck_assert_int_eq (fill (&world, "a"), 2);
  cyb_pool_destroy (world.pool);
}
END_TEST

START_TEST (test_cancelled_says_nothing)
{
  struct world world;
  start (&world, false);
  for (int i = 0; i < 10; i++)
    one (&world, cyb_pool_find (world.pool, "a", 1), CYB_CANCELLED, 1);
  ck_assert_int_eq (fill (&world, "a"), 4);
  cyb_pool_destroy (world.pool);
}
END_TEST

/* A full server that refuses at once must not look like the fastest.  */
START_TEST (test_shedding)
{
  struct world world;
  start (&world, false);
  struct cyb_server *a = cyb_pool_find (world.pool, "a", 1);
  one (&world, a, CYB_REFUSED, 0);
  ck_assert_int_eq (fill (&world, "a"), 0);
  world.fake.now += CYB_SHED_MS * CY_NS_PER_MS;
  ck_assert_int_eq (fill (&world, "a"), 1);
  cyb_pool_destroy (world.pool);
}
END_TEST

START_TEST (test_slow_one)
{
  struct world world;
  struct cyb_server *server = NULL;
  start (&world, false);
  for (int i = 0; i < 20; i++)
    {
      one (&world, cyb_pool_find (world.pool, "a", 1), CYB_ANSWERED, 100);
      one (&world, cyb_pool_find (world.pool, "b", 1), CYB_ANSWERED, 10);
    }
  ck_assert_int_eq (cyb_pool_choose (world.pool, NULL, &server), CY_OK);
  ck_assert_str_eq (server->instance, "b");
  ck_assert_int_eq (fill (&world, "a"), 1);
  cyb_pool_destroy (world.pool);
}
END_TEST

START_TEST (test_register)
{
  struct world world;
  struct cyb_server *server = NULL;
  start (&world, false);
  cyb_pool_begin (world.pool);
  put (&world, "a", 2, 0, false); /* restarted: cold */
  put (&world, "b", 1, 60000, true);
  cyb_pool_end (world.pool);
  ck_assert_ptr_null (cyb_pool_find (world.pool, "a", 1));
  ck_assert_int_eq (cyb_pool_choose (world.pool, NULL, &server), CY_OK);
  ck_assert_uint_eq (server->incarnation, 2);
  ck_assert_int_eq (fill (&world, "a"), 1); /* slow start */
  ck_assert_int_eq (cyb_pool_choose (world.pool, NULL, &server), CY_E_NO_ROOM);
  cyb_pool_begin (world.pool);
  cyb_pool_end (world.pool);
  ck_assert_int_eq (cyb_pool_choose (world.pool, NULL, &server),
                    CY_E_NO_BACKEND);
  cyb_pool_destroy (world.pool);
}
END_TEST

/* ------------------------------------------------------------ waiting */

static const struct
{
  double weights[3];
  int popped[3]; /* of the first 30, with 60 each waiting */
} shares[] = {
  { { 1, 1, 1 }, { 10, 10, 10 } },
  { { 2, 1, 1 }, { 15, 8, 7 } },
  { { 4, 1, 1 }, { 20, 5, 5 } },
};

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

/* A workspace that floods fills only its own part of the queue, and one that
   comes later does not wait behind it.  */
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

/* Paced at 100 a second with 50 waiting, a request with 100 ms left is
   refused early, one with 2 s waits.  */
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

/* No slot for 2.2 s while 60 wait: what arrives as the first ones come back is
   not measured by that time, and waits.  */
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
  tcase_add_test (tcase, test_cancelled_says_nothing);
  tcase_add_test (tcase, test_shedding);
  tcase_add_test (tcase, test_slow_one);
  tcase_add_test (tcase, test_register);
  tcase_add_loop_test (tcase, test_fair, 0, G_N_ELEMENTS (shares));
  tcase_add_test (tcase, test_flood);
  tcase_add_test (tcase, test_early_refusal);
  tcase_add_test (tcase, test_stall);
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}

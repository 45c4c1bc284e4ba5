/* Declarations at an entry VM: large ones are read beside the requests, the
   newest one wins, differences need what they start from.  */

#include <glib.h>

#include "base/cy_system.h"
#include "core/cyi_delta.h"
#include "core/cyi_pack.h"
#include "cy_test.h"
#include "entry/cye_declaration_reader.h"

#define TICK_MS    1
#define GIVE_UP_MS 20000

struct world
{
  struct cyn_loop *loop;
  struct cyn_timer *tick;
  struct cyn_timer *give_up;
  struct cye_declaration_reader *reading;
  unsigned ticks;      /* of the loop while a declaration is read */
  unsigned wanted;     /* calls until the loop ends */
  unsigned calls;      /* of the callback */
  uint64_t number;     /* of the newest one read */
  unsigned routes;     /* of it */
  cy_result result;    /* of the last call */
  unsigned ticks_seen; /* at the last call */
};

static char *
declaration (uint64_t number, unsigned routes)
{
  struct cyi_document *document = cyi_document_create (number);
  cyi_document_add_service (document)->name = g_strdup ("s");
  for (unsigned i = 0; i < routes; i++)
    {
      struct cyi_route *route = cyi_document_add_route (document);
      route->name = g_strdup_printf ("r%u", i);
      route->host = g_strdup_printf ("h%u.example", i % 9);
      route->prefix = g_strdup_printf ("/p/%u/", i);
      route->timeout_ms = 1000;
      cyi_route_add_backend (route, "s", 1);
    }
  char *text = cyi_document_print (document);
  cyi_document_destroy (document);
  return text;
}

static void
on_read (struct cye_read_result *read, void *context)
{
  struct world *world = context;
  world->calls++;
  world->result = read->result;
  world->ticks_seen = world->ticks;
  if (read->result == CY_OK)
    {
      world->number = read->number;
      world->routes = read->document->routes->len;
      cyi_document_destroy (read->document);
    }
  if (world->calls >= world->wanted)
    cyn_loop_stop (world->loop);
}

static void
on_tick (void *context)
{
  struct world *world = context;
  world->ticks++;
  cyn_timer_start (world->tick, TICK_MS);
}

static void
on_give_up (void *context)
{
  ck_abort_msg ("declaration was not read in time");
  (void)context;
}

static void
world_open (struct world *world)
{
  memset (world, 0, sizeof *world);
  world->loop = cyn_loop_create (cy_system_clock ());
  world->reading = cye_declaration_reader_create (world->loop, on_read, world);
  world->tick = cyn_timer_create (world->loop, on_tick, world);
  world->give_up = cyn_timer_create (world->loop, on_give_up, world);
}

static void
world_close (struct world *world)
{
  cye_declaration_reader_destroy (world->reading);
  cyn_timer_destroy (world->tick);
  cyn_timer_destroy (world->give_up);
  cyn_loop_destroy (world->loop);
}

/* Takes a declaration of ROUTES, deflated as control VMs send it when PACK. */
static void
take (struct world *world, uint64_t number, unsigned routes, bool pack)
{
  Cy__Document plain = CY__DOCUMENT__INIT;
  Cy__Document packed = CY__DOCUMENT__INIT;
  plain.number = number;
  plain.text = declaration (number, routes);
  bool is_packed = pack && cyi_pack (&plain, &packed);
  cye_declaration_reader_submit (world->reading, is_packed ? &packed : &plain,
                               "c1", "10.0.0.1");
  if (is_packed)
    cyi_pack_clear (&packed);
  g_free (plain.text);
}

static void
run_until (struct world *world, unsigned calls)
{
  world->wanted = calls;
  cyn_timer_start (world->tick, TICK_MS);
  cyn_timer_start (world->give_up, GIVE_UP_MS);
  if (world->calls < calls)
    cyn_loop_run (world->loop);
}

static const struct
{
  unsigned routes;
  bool pack;
  bool at_once;
} sizes[] = { { 1, false, true },
              { 20, false, true },
              { 20, true, true },
              { 8000, false, false },
              { 8000, true, false } };

/* The loop goes on, and so do the requests that it serves, while a large
   declaration is read.  */
START_TEST (test_sizes)
{
  struct world world;
  world_open (&world);
  take (&world, 5, sizes[_i].routes, sizes[_i].pack);
  ck_assert_int_eq (world.calls == 1, sizes[_i].at_once);
  run_until (&world, 1);
  ck_assert_int_eq (world.result, CY_OK);
  ck_assert_uint_eq (world.number, 5);
  ck_assert_uint_eq (world.routes, sizes[_i].routes);
  if (!sizes[_i].at_once)
    ck_assert_uint_ge (world.ticks_seen, 2);
  world_close (&world);
}
END_TEST

/* Of those that come while one is read the newest is next; older ones and
   repeats are not read at all.  */
START_TEST (test_newest_is_next)
{
  struct world world;
  world_open (&world);
  take (&world, 5, 8000, true);
  take (&world, 5, 8000, true);
  take (&world, 4, 10, false);
  take (&world, 6, 11, false);
  take (&world, 8, 12, false);
  take (&world, 7, 13, false);
  run_until (&world, 2);
  ck_assert_uint_eq (world.calls, 2);
  ck_assert_uint_eq (world.number, 8);
  ck_assert_uint_eq (world.routes, 12);
  take (&world, 8, 9, false);
  ck_assert_uint_eq (world.calls, 2);
  world_close (&world);
}
END_TEST

/* A difference that starts from another declaration than the one held, and
   text that is none.  */
START_TEST (test_not_read)
{
  struct world world;
  world_open (&world);
  take (&world, 5, 10, false);
  char *base = declaration (4, 30);
  char *text = declaration (6, 31);
  Cy__Document delta = CY__DOCUMENT__INIT;
  delta.number = 6;
  cyi_delta_make (base, text, &delta);
  delta.starts_from = 4;
  cye_declaration_reader_submit (world.reading, &delta, "c1", "10.0.0.1");
  ck_assert_int_eq (world.result, CY_E_AGAIN);
  cyi_delta_clear (&delta);
  Cy__Document broken = CY__DOCUMENT__INIT;
  broken.number = 7;
  broken.text = "{\"routes\":";
  cye_declaration_reader_submit (world.reading, &broken, "c1", "10.0.0.1");
  ck_assert_int_ne (world.result, CY_OK);
  ck_assert_uint_eq (world.number, 5);
  take (&world, 6, 12, false);
  ck_assert_int_eq (world.result, CY_OK);
  ck_assert_uint_eq (world.number, 6);
  g_free (base);
  g_free (text);
  world_close (&world);
}
END_TEST

/* A stop waits for what is being read.  */
START_TEST (test_stop_while_reading)
{
  struct world world;
  world_open (&world);
  take (&world, 5, 8000, true);
  take (&world, 6, 8000, true);
  world_close (&world);
  ck_assert_uint_eq (world.calls, 0);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("reading");
  TCase *tcase = tcase_create ("reading");
  tcase_set_timeout (tcase, 60);
  tcase_add_loop_test (tcase, test_sizes, 0, G_N_ELEMENTS (sizes));
  tcase_add_test (tcase, test_newest_is_next);
  tcase_add_test (tcase, test_not_read);
  tcase_add_test (tcase, test_stop_while_reading);
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}

/* Declarations at an entry VM: large ones are read in a separate thread, the
   newest one wins, a delta needs its base version.  */

#include <glib.h>

#include "base/cy_system.h"
#include "core/cyi_delta.h"
#include "core/cyi_pack.h"
#include "cy_test.h"
#include "entry/cye_declaration_reader.h"

#define TICK_MS    1     /* ms between ticks of the loop */
#define GIVE_UP_MS 20000 /* ms, bound of one run */

struct fixture
{
  struct cyn_loop *loop;
  struct cyn_timer *tick;
  struct cyn_timer *give_up;
  struct cye_declaration_reader *reader;
  unsigned ticks;      /* ticks of the loop while a declaration is read */
  unsigned wanted;     /* calls of the callback after which the loop stops */
  unsigned calls;      /* calls of the callback */
  uint64_t number;     /* version of the newest declaration read */
  unsigned routes;     /* routes of that declaration */
  cy_result result;    /* result of the last call */
  unsigned ticks_seen; /* ticks at the last call */
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
  struct fixture *fixture = context;
  fixture->calls++;
  fixture->result = read->result;
  fixture->ticks_seen = fixture->ticks;
  if (read->result == CY_OK)
    {
      fixture->number = read->number;
      fixture->routes = read->document->routes->len;
      cyi_document_destroy (read->document);
    }
  if (fixture->calls >= fixture->wanted)
    cyn_loop_stop (fixture->loop);
}

static void
on_tick (void *context)
{
  struct fixture *fixture = context;
  fixture->ticks++;
  cyn_timer_start (fixture->tick, TICK_MS);
}

static void
on_give_up (void *context)
{
  ck_abort_msg ("declaration was not read in time");
  (void)context;
}

static void
fixture_open (struct fixture *fixture)
{
  memset (fixture, 0, sizeof *fixture);
  fixture->loop = cyn_loop_create (cy_system_clock ());
  fixture->reader
      = cye_declaration_reader_create (fixture->loop, on_read, fixture);
  fixture->tick = cyn_timer_create (fixture->loop, on_tick, fixture);
  fixture->give_up = cyn_timer_create (fixture->loop, on_give_up, fixture);
}

static void
fixture_close (struct fixture *fixture)
{
  cye_declaration_reader_destroy (fixture->reader);
  cyn_timer_destroy (fixture->tick);
  cyn_timer_destroy (fixture->give_up);
  cyn_loop_destroy (fixture->loop);
}

/* Submits a declaration with ROUTES routes.  PACK: deflated, as control VMs
   send it.  */
static void
submit (struct fixture *fixture, uint64_t number, unsigned routes, bool pack)
{
  Cy__Document plain = CY__DOCUMENT__INIT;
  Cy__Document packed = CY__DOCUMENT__INIT;
  plain.number = number;
  plain.text = declaration (number, routes);
  bool is_packed = pack && cyi_pack (&plain, &packed);
  cye_declaration_reader_submit (fixture->reader, is_packed ? &packed : &plain,
                                 "c1", "10.0.0.1");
  if (is_packed)
    cyi_pack_clear (&packed);
  g_free (plain.text);
}

static void
run_until (struct fixture *fixture, unsigned calls)
{
  fixture->wanted = calls;
  cyn_timer_start (fixture->tick, TICK_MS);
  cyn_timer_start (fixture->give_up, GIVE_UP_MS);
  if (fixture->calls < calls)
    cyn_loop_run (fixture->loop);
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

/* Guards against a loop, and requests that it serves, that stall while a large
   declaration is read.  */
START_TEST (test_sizes)
{
  struct fixture fixture;
  fixture_open (&fixture);
  submit (&fixture, 5, sizes[_i].routes, sizes[_i].pack);
  ck_assert_int_eq (fixture.calls == 1, sizes[_i].at_once);
  run_until (&fixture, 1);
  ck_assert_int_eq (fixture.result, CY_OK);
  ck_assert_uint_eq (fixture.number, 5);
  ck_assert_uint_eq (fixture.routes, sizes[_i].routes);
  if (!sizes[_i].at_once)
    ck_assert_uint_ge (fixture.ticks_seen, 2);
  fixture_close (&fixture);
}
END_TEST

/* Of the declarations received while one is read, the newest is read next;
   older ones and duplicates are not read.  */
START_TEST (test_newest_is_next)
{
  struct fixture fixture;
  fixture_open (&fixture);
  submit (&fixture, 5, 8000, true);
  submit (&fixture, 5, 8000, true);
  submit (&fixture, 4, 10, false);
  submit (&fixture, 6, 11, false);
  submit (&fixture, 8, 12, false);
  submit (&fixture, 7, 13, false);
  run_until (&fixture, 2);
  ck_assert_uint_eq (fixture.calls, 2);
  ck_assert_uint_eq (fixture.number, 8);
  ck_assert_uint_eq (fixture.routes, 12);
  submit (&fixture, 8, 9, false);
  ck_assert_uint_eq (fixture.calls, 2);
  fixture_close (&fixture);
}
END_TEST

/* A delta with another base than the version held, and text that is no
   declaration.  */
START_TEST (test_not_read)
{
  struct fixture fixture;
  fixture_open (&fixture);
  submit (&fixture, 5, 10, false);
  char *base = declaration (4, 30);
  char *text = declaration (6, 31);
  Cy__Document delta = CY__DOCUMENT__INIT;
  delta.number = 6;
  cyi_delta_make (base, text, &delta);
  delta.starts_from = 4;
  cye_declaration_reader_submit (fixture.reader, &delta, "c1", "10.0.0.1");
  ck_assert_int_eq (fixture.result, CY_E_AGAIN);
  cyi_delta_clear (&delta);
  Cy__Document broken = CY__DOCUMENT__INIT;
  broken.number = 7;
  broken.text = "{\"routes\":";
  cye_declaration_reader_submit (fixture.reader, &broken, "c1", "10.0.0.1");
  ck_assert_int_ne (fixture.result, CY_OK);
  ck_assert_uint_eq (fixture.number, 5);
  submit (&fixture, 6, 12, false);
  ck_assert_int_eq (fixture.result, CY_OK);
  ck_assert_uint_eq (fixture.number, 6);
  g_free (base);
  g_free (text);
  fixture_close (&fixture);
}
END_TEST

/* Destroying the reader waits for the declaration that is being read.  */
START_TEST (test_stop_while_reading)
{
  struct fixture fixture;
  fixture_open (&fixture);
  submit (&fixture, 5, 8000, true);
  submit (&fixture, 6, 8000, true);
  fixture_close (&fixture);
  ck_assert_uint_eq (fixture.calls, 0);
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

/* Guards against answers that belong to another request: a backend server
   sends such an answer late on a persistent connection, in place of the answer
   to the next request.  The connection must not be used again, as the answer
   that was due may still follow on it.  */

#include <check.h>
#include <glib.h>
#include <string.h>

#include "base/cy_system.h"
#include "cy_test.h"
#include "entry/cye_call.h"
#include "entry/cye_headers.h"
#include "http/cyh_client.h"
#include "net/cyn_loop.h"
#include "raw_server.h"

#define GIVE_UP_MS 10000 /* ms, bound of the whole test */
#define CALL_MS    3000  /* ms, timeout of one call */

/* Which of the three answers are accepted, in order.  */
static const struct
{
  const char *pattern;
  bool accepts[3];
  int connections; /* that the three requests open */
} rows[] = {
  { "all belong to their requests", { true, true, true }, 1 },
  { "the first belongs to another request", { false, true, true }, 2 },
  { "the second belongs to another request", { true, false, true }, 2 },
  { "all belong to other requests", { false, false, false }, 3 },
};

static struct
{
  struct cyn_loop *loop;
  struct cyh_client *client;
  struct raw_server *server;
  struct cye_call *call;
  const bool *accepts;
  unsigned next;
} fixture;

static bool
accepts_answer (const struct cye_answer_head *head, void *context)
{
  (void)head;
  (void)context;
  return fixture.accepts[fixture.next];
}

static void
on_change (void *context)
{
  (void)context;
}

static void
start_call (void *context)
{
  (void)context;
  struct cye_call_options options = {
    .client = fixture.client,
    .method = "GET",
    .host = "127.0.0.1",
    .port = fixture.server->port,
    .target = "/",
    .upload_length = CYE_LENGTH_NONE,
    .idempotent = true,
    .idle_max_s = 5,
    .keep_connection = true,
    .timeout_ms = CALL_MS,
    .clock = cyn_loop_clock (fixture.loop),
    .on_change = on_change,
    .accepts = accepts_answer,
  };
  fixture.call = cye_call_create (&options);
}

static void
end_call (void *context)
{
  (void)context;
  bool complete = cye_call_result (fixture.call) == CY_OK;
  ck_assert_int_eq (complete, fixture.accepts[fixture.next]);
  cye_call_destroy (fixture.call);
  if (++fixture.next < G_N_ELEMENTS (rows[0].accepts))
    start_call (NULL);
  else
    cyn_loop_stop (fixture.loop);
}

static void
on_done (CURL *easy, CURLcode code, void *context)
{
  (void)context;
  cye_call_done (easy, code);
  cyn_loop_post (fixture.loop, end_call, NULL);
}

static void
give_up (void *context)
{
  (void)context;
  ck_abort_msg ("the calls did not end");
}

START_TEST (test_connections)
{
  struct raw_script script = { RAW_ANSWER, RAW_ANSWER, NULL };
  memset (&fixture, 0, sizeof fixture);
  fixture.accepts = rows[_i].accepts;
  fixture.server = raw_server_start (script);
  fixture.loop = cyn_loop_create (cy_system_clock ());
  struct cyh_client_options options = {
    .loop = fixture.loop,
    .connections_max = 8,
    .on_done = on_done,
  };
  fixture.client = cyh_client_create (&options);
  struct cyn_timer *timer = cyn_timer_create (fixture.loop, give_up, NULL);
  cyn_timer_start (timer, GIVE_UP_MS);
  cyn_loop_post (fixture.loop, start_call, NULL);
  cyn_loop_run (fixture.loop);
  ck_assert_msg (atomic_load (&fixture.server->connections)
                     == rows[_i].connections,
                 "%s: %d connections", rows[_i].pattern,
                 atomic_load (&fixture.server->connections));
  cyn_timer_destroy (timer);
  cyh_client_destroy (fixture.client);
  cyn_loop_destroy (fixture.loop);
}
END_TEST

int
main (void)
{
  cyh_client_global ();
  Suite *suite = suite_create ("foreign");
  TCase *tcase = tcase_create ("foreign");
  tcase_set_timeout (tcase, 30);
  tcase_add_loop_test (tcase, test_connections, 0, G_N_ELEMENTS (rows));
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}

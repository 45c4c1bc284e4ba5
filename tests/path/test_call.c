/* One attempt at a backend server that sends bytes without end, or that is
   reached too late.  */

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

#define GIVE_UP_MS 10000      /* bound of the whole test */
#define CALL_MS    1500       /* deadline of one call */
#define LOOK_MS    20         /* ms between two looks at the answer's body */
#define BODY_SPARE (64 << 10) /* bytes above CYE_BUFFER_BYTES: one read */

static struct
{
  struct cyn_loop *loop;
  struct cyh_client *client;
  struct raw_server *server;
  struct cye_call *call;
  struct cyn_timer *look;
  cy_time_ns send_by;
  cy_time_ns begun;
  cy_time_ns ended;
  bool reads;  /* takes what has come of the body */
  size_t held; /* most bytes of it that were held */
} world;

static void
on_change (void *context)
{
  (void)context;
}

static void
look (void *context)
{
  static char sink[CYE_BUFFER_BYTES];
  struct cye_buffer *body = cye_call_body (world.call);
  (void)context;
  world.held = MAX (world.held, cye_buffer_unread (body));
  while (world.reads && cye_buffer_read (body, sink, sizeof sink, false) > 0)
    cye_call_continue (world.call);
  cyn_timer_start (world.look, LOOK_MS);
}

static void
ask (void *context)
{
  (void)context;
  world.begun = cy_clock_now (cyn_loop_clock (world.loop));
  struct cye_call_options options = {
    .client = world.client,
    .method = "GET",
    .host = "127.0.0.1",
    .port = world.server->port,
    .target = "/",
    .upload_length = CYE_LENGTH_NONE,
    .idempotent = true,
    .idle_max_s = 5,
    .keep_connection = true,
    .timeout_ms = CALL_MS,
    .send_by = world.send_by == 0 ? 0 : world.begun + world.send_by,
    .clock = cyn_loop_clock (world.loop),
    .on_change = on_change,
  };
  world.call = cye_call_create (&options);
  cyn_timer_start (world.look, LOOK_MS);
}

static void
on_done (CURL *easy, CURLcode code, void *context)
{
  (void)context;
  cye_call_done (easy, code);
  world.ended = cy_clock_now (cyn_loop_clock (world.loop));
  cyn_loop_stop (world.loop);
}

static void
give_up (void *context)
{
  (void)context;
  ck_abort_msg ("the call did not end");
}

static void
run_call (struct raw_script script, const char *more)
{
  world.server = raw_server_start (script);
  world.server->more = more;
  world.loop = cyn_loop_create (cy_system_clock ());
  struct cyh_client_options options = {
    .loop = world.loop,
    .connections_max = 8,
    .on_done = on_done,
  };
  world.client = cyh_client_create (&options);
  world.look = cyn_timer_create (world.loop, look, NULL);
  struct cyn_timer *timer = cyn_timer_create (world.loop, give_up, NULL);
  cyn_timer_start (timer, GIVE_UP_MS);
  cyn_loop_post (world.loop, ask, NULL);
  cyn_loop_run (world.loop);
  cyn_timer_destroy (timer);
  cyn_timer_destroy (world.look);
}

static void
clear_call (void)
{
  cye_call_destroy (world.call);
  cyh_client_destroy (world.client);
  cyn_loop_destroy (world.loop);
}

#define OK_HEAD "HTTP/1.1 200 OK\r\n"

/* What comes without end, and whether it is the body of an answer.  */
static const struct
{
  const char *pattern;
  const char *text;
  const char *more;
  bool body;  /* a head comes first, so the caller's deadline ends it */
  bool reads; /* the caller does */
} endless[] = {
  { "no answer at all", "\1\2\3", "\4\5\6\7", false, true },
  { "a status line", "HTTP/1.1 200 ", "very good ", false, true },
  { "one header", OK_HEAD "X-Long: ", "longer and ", false, true },
  { "headers", OK_HEAD, "X-More: and more\r\n", false, true },
  { "interim answers", "HTTP/1.1 103 Early Hints\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\n\r\n", false, true },
  { "a body", OK_HEAD "\r\n", "more and more ", true, true },
  { "a body that nobody reads", OK_HEAD "\r\n", "more and more ", true,
    false },
  { "chunks", OK_HEAD "Transfer-Encoding: chunked\r\n\r\n", "4\r\nmore\r\n",
    true, true },
  { "a chunk's size", OK_HEAD "Transfer-Encoding: chunked\r\n\r\n4",
    ";and=more", true, true },
  { "trailers",
    OK_HEAD "Transfer-Encoding: chunked\r\n\r\n"
            "4\r\nmore\r\n0\r\n",
    "X-More: and more\r\n", true, true },
};

/* Guards against a backend server whose bytes never end: a head is given up
   after a bounded number of them, a body is held in a bounded buffer and ends
   with the request's time; the connection is closed.  */
START_TEST (test_endless)
{
  memset (&world, 0, sizeof world);
  world.reads = endless[_i].reads;
  struct raw_script script = { RAW_ENDLESS, RAW_ENDLESS, endless[_i].text };
  run_call (script, endless[_i].more);
  cy_time_ns took = world.ended - world.begun;
  ck_assert_msg (cye_call_result (world.call) != CY_OK
                     && !cye_call_body (world.call)->complete,
                 "%s: passes for a whole answer", endless[_i].pattern);
  ck_assert_msg (took < (CALL_MS + 500) * CY_NS_PER_MS, "%s: took %d ms",
                 endless[_i].pattern, (int)(took / CY_NS_PER_MS));
  ck_assert_msg (world.held <= CYE_BUFFER_BYTES + BODY_SPARE,
                 "%s: %zu bytes were held", endless[_i].pattern, world.held);
  if (!endless[_i].body)
    ck_assert_msg (took < CALL_MS * CY_NS_PER_MS / 2, "%s: was read for %d ms",
                   endless[_i].pattern, (int)(took / CY_NS_PER_MS));
  clear_call ();
  for (int i = 0; i < 200 && atomic_load (&world.server->closed) == 0; i++)
    g_usleep (10000);
  ck_assert_msg (atomic_load (&world.server->closed) == 1,
                 "%s: the connection stays open", endless[_i].pattern);
}
END_TEST

/* Guards against repeats that leave long after they were counted.  */
START_TEST (test_send_by)
{
  static const struct
  {
    cy_time_ns send_by; /* from the call on */
    bool sent;
  } rows[] = {
    { 0, true },
    { 2000 * CY_NS_PER_MS, true },
    { -1, false },
  };
  struct raw_script script = { RAW_ANSWER, RAW_ANSWER, NULL };
  memset (&world, 0, sizeof world);
  world.send_by = rows[_i].send_by;
  run_call (script, NULL);
  ck_assert_int_eq (cye_call_sent (world.call), rows[_i].sent);
  ck_assert_int_eq (cye_call_expired (world.call), !rows[_i].sent);
  ck_assert_int_eq (cye_call_result (world.call) == CY_OK, rows[_i].sent);
  clear_call ();
  ck_assert_int_eq (atomic_load (&world.server->requests), rows[_i].sent);
}
END_TEST

int
main (void)
{
  cyh_client_global ();
  Suite *suite = suite_create ("call");
  TCase *tcase = tcase_create ("call");
  tcase_set_timeout (tcase, 30);
  tcase_add_loop_test (tcase, test_endless, 0, G_N_ELEMENTS (endless));
  tcase_add_loop_test (tcase, test_send_by, 0, 3);
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}

/* Guards against a success where the server answered a failure: a server sends
   an answer a second time, late, and the second copy is cut off within its
   head.  The next answer on the connection continues that head.  */

#include "path_world.h"
#include "raw_server.h"

#define FAILURE                                                               \
  "HTTP/1.1 500 Error: x\r\nX-Mark: own\r\nContent-Length: 2\r\n\r\nno"

static const struct
{
  const char *pattern;
  const char *text;
} pieces[] = {
  { "the whole copy", RAW_OK },
  { "cut in the version", "HTTP/1." },
  { "cut before the status", "HTTP/1.1 " },
  { "cut in the status", "HTTP/1.1 2" },
  { "cut after the status", "HTTP/1.1 200" },
  { "cut before the reason", "HTTP/1.1 200 " },
  { "cut in the reason", "HTTP/1.1 200 O" },
  { "cut in the status line's end", "HTTP/1.1 200 OK\r" },
  { "cut after the status line", "HTTP/1.1 200 OK\r\n" },
  { "cut in a header's name", "HTTP/1.1 200 OK\r\nContent-Ty" },
  { "cut in a header's value", "HTTP/1.1 200 OK\r\nContent-Type: text/pl" },
  { "cut in a header's end", "HTTP/1.1 200 OK\r\nContent-Type: a/b\r" },
  { "cut after a header", "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\n" },
  { "an interim answer", "HTTP/1.1 103 Early Hints\r\nLink: a" },
};

/* Sends one request that is answered with RAW_OK and then one that the server
   answers with FAILURE.  Returns the second reply.  */
static struct reply
send_two (struct raw_server *server, const char *method, bool late)
{
  CURL *easy = curl_easy_init ();
  const char *body = strcmp (method, "GET") == 0 ? NULL : "confirm";
  struct reply first
      = send_request (easy, method, "/", FIXTURE_KEY, body, NULL);
  ck_assert_int_eq (first.status, 200);
  reply_clear (&first);
  while (late && atomic_load (&server->pieces) == 0)
    sched_yield ();
  struct reply second = send_request (easy, method, "/", FIXTURE_KEY, body,
                                      "Cy-Timeout-Ms: 1500");
  curl_easy_cleanup (easy);
  return second;
}

static struct raw_server *
start (struct raw_script script, const char *piece)
{
  struct raw_server *server = raw_server_start (script);
  server->more = piece;
  fixture_prepare (false);
  fixture_add_backend ("b1", server->port, false);
  fixture_start ();
  return server;
}

/* The piece arrives while the connection is idle: the next request is sent on
   another connection, once.  */
START_TEST (test_idle)
{
  static const char *const methods[] = { "GET", "POST" };
  const char *method = methods[_i % 2];
  struct raw_script script = { RAW_OK_AND_MORE, RAW_OK_AND_MORE, FAILURE };
  struct raw_server *server = start (script, pieces[_i / 2].text);
  struct reply reply = send_two (server, method, true);
  ck_assert_msg (reply.status == 500, "%s, %s: %ld", method,
                 pieces[_i / 2].pattern, reply.status);
  ck_assert_str_eq (reply.body->str, "no");
  ck_assert_int_eq (atomic_load (&server->requests), 2);
  ck_assert_int_eq (atomic_load (&server->connections), 2);
  reply_clear (&reply);
  fixture_stop ();
}
END_TEST

/* The piece arrives after the next request was sent: its answer, which can't
   be told from the piece, is refused.  */
START_TEST (test_sent)
{
  struct raw_script script = { RAW_ANSWER, RAW_MORE_AND_ANSWER, FAILURE };
  struct raw_server *server = start (script, pieces[_i].text);
  CURL *easy = curl_easy_init ();
  struct reply first
      = send_request (easy, "POST", "/", FIXTURE_KEY, "confirm", NULL);
  ck_assert_int_eq (first.status, 500);
  struct reply second = send_request (easy, "POST", "/", FIXTURE_KEY,
                                      "confirm", "Cy-Timeout-Ms: 1500");
  ck_assert_msg (second.status == 502, "%s: %ld", pieces[_i].pattern,
                 second.status);
  ck_assert_str_eq (second.outcome, "unknown");
  ck_assert_int_eq (atomic_load (&server->requests), 2);
  reply_clear (&first);
  reply_clear (&second);
  curl_easy_cleanup (easy);
  fixture_stop ();
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("late_piece");
  TCase *tcase = tcase_create ("late_piece");
  tcase_set_timeout (tcase, 30);
  tcase_add_loop_test (tcase, test_idle, 0, 2 * G_N_ELEMENTS (pieces));
  /* A whole copy without an ID can't be told from the answer.  */
  tcase_add_loop_test (tcase, test_sent, 1, G_N_ELEMENTS (pieces));
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}

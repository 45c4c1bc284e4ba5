/* Guards against an answer of a backend server that is none and reaches the
   caller as an answer: a status outside 100 to 599, another version, a line
   that is no header, or two heads read as one.  */

#include "path_world.h"
#include "raw_server.h"

#define BODY   "\r\nX-Mark: leaked\r\nContent-Length: 2\r\n\r\nok"
#define HEADER "HTTP/1.1 200 OK\r\nX-Mark: leaked\r\n"
#define END    "Content-Length: 2\r\n\r\nok"

struct row
{
  const char *pattern;
  const char *text; /* bytes that the backend server sends */
  long status;      /* what the caller gets; 502: the answer is refused */
};

static const struct row rows[] = {
  /* Sound answers.  */
  { "a success", "HTTP/1.1 200 OK" BODY, 200 },
  { "without a reason", "HTTP/1.1 200" BODY, 200 },
  { "an empty reason", "HTTP/1.1 200 " BODY, 200 },
  { "version 1.0", "HTTP/1.0 200 OK" BODY, 200 },
  { "the largest status", "HTTP/1.1 599 Whatever" BODY, 599 },
  { "an interim answer first",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK" BODY, 200 },
  { "two interim answers first",
    "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: "
    "a\r\n\r\n"
    "HTTP/1.1 201 Created" BODY,
    201 },
  { "an empty value", HEADER "X-Empty:\r\n" END, 200 },
  { "the same length twice", HEADER "Content-Length: 2\r\n" END, 200 },

  /* A status that is none.  */
  { "status 000", "HTTP/1.1 000 None" BODY, 502 },
  { "status 000 without a reason", "HTTP/1.1 000" BODY, 502 },
  { "status 099", "HTTP/1.1 099 Low" BODY, 502 },
  { "status 600", "HTTP/1.1 600 High" BODY, 502 },
  { "status 999", "HTTP/1.1 999 High" BODY, 502 },
  { "one digit", "HTTP/1.1 2 OK" BODY, 502 },
  { "two digits", "HTTP/1.1 20 OK" BODY, 502 },
  { "four digits", "HTTP/1.1 2000 OK" BODY, 502 },
  { "a letter after the digits", "HTTP/1.1 200OK" BODY, 502 },
  { "a sign", "HTTP/1.1 +20 OK" BODY, 502 },
  { "a space before the digits", "HTTP/1.1  200 OK" BODY, 502 },
  { "letters", "HTTP/1.1 OK 200" BODY, 502 },
  { "no status", "HTTP/1.1" BODY, 502 },
  { "no status after the space", "HTTP/1.1 " BODY, 502 },
  { "an upgrade that nobody asked for",
    "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK" BODY, 502 },
  { "status 000 after an interim answer",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 None" BODY, 502 },
  { "status 000, then an answer",
    "HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK" BODY,
    502 },

  /* Another version.  */
  { "version 2", "HTTP/2 200 OK" BODY, 502 },
  { "version 3", "HTTP/3 200 OK" BODY, 502 },
  { "version 0.9", "HTTP/0.9 200 OK" BODY, 502 },
  { "version 1.2", "HTTP/1.2 200 OK" BODY, 502 },
  { "version 1.10", "HTTP/1.10 200 OK" BODY, 502 },
  { "no version", "HTTP 200 OK" BODY, 502 },
  { "lower case", "http/1.1 200 OK" BODY, 502 },
  { "a tab", "HTTP/1.1\t200 OK" BODY, 502 },

  /* A head that is none.  */
  { "a second status line in the head",
    "HTTP/1.1 500 Error\r\nX-Mark: leaked\r\nHTTP/1.1 200 OK\r\n" END, 502 },
  { "a failure's head, then a success's, without a blank line",
    HEADER "HTTP/1.1 500 Error\r\n" END, 502 },
  { "a line without a colon", HEADER "no header\r\n" END, 502 },
  { "a continuation line", HEADER "  folded\r\n" END, 502 },
  { "a space before the colon", HEADER "X-Space : 1\r\n" END, 502 },
  { "an empty name", HEADER ": 1\r\n" END, 502 },
  { "a control character in a value", HEADER "X-Bell: \a\r\n" END, 502 },
  { "a return in a value", HEADER "X-Return: a\rb\r\n" END, 502 },
  { "a length that is no number", HEADER "Content-Length: 2x\r\n\r\nok", 502 },
  { "a negative length", HEADER "Content-Length: -2\r\n\r\nok", 502 },
  { "an empty length", HEADER "Content-Length:\r\n\r\n", 502 },
  { "two lengths", HEADER "Content-Length: 1\r\n" END, 502 },
  { "a list of lengths", HEADER "Content-Length: 2, 2\r\n\r\nok", 502 },
  { "another encoding", HEADER "Transfer-Encoding: gzip\r\n" END, 502 },
  { "chunks in version 1.0",
    "HTTP/1.0 200 OK\r\nX-Mark: leaked\r\nTransfer-Encoding: chunked\r\n\r\n"
    "2\r\nok\r\n0\r\n\r\n",
    502 },
};

/* Time in which probes take a server out of use, us: two probes, a second
   apart, of at most a second.  */
#define PROBE_BOUND_US 5000000

static const struct
{
  const char *pattern;
  const char *text; /* answer to each probe */
  long status;      /* of requests after the bound */
} probe_rows[] = {
  { "healthy", "HTTP/1.1 200 OK" BODY, 200 },
  { "an interim answer first",
    "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK" BODY, 200 },
  { "a failure", "HTTP/1.1 500 Error" BODY, 503 },
  { "status 000", "HTTP/1.1 000 None" BODY, 503 },
  { "version 2", "HTTP/2 200 OK" BODY, 503 },
  { "a letter after the digits", "HTTP/1.1 200OK" BODY, 503 },
  { "two lengths", HEADER "Content-Length: 1\r\n" END, 503 },
};

/* A POST that may have run is not sent again, so that the answer to the first
   sending decides.  */
START_TEST (test_answer)
{
  const struct row *row = &rows[_i];
  struct raw_script script
      = { RAW_ANSWER_AND_CLOSE, RAW_ANSWER_AND_CLOSE, row->text };
  struct raw_server *server = raw_server_start (script);
  fixture_prepare (false);
  fixture_add_backend ("b1", server->port, false);
  fixture_start ();
  CURL *easy = curl_easy_init ();
  struct reply reply = send_request (easy, "POST", "/", FIXTURE_KEY, "confirm",
                                     "Cy-Timeout-Ms: 1500");
  ck_assert_msg (reply.status == row->status, "%s: %ld, expected %ld: %s",
                 row->pattern, reply.status, row->status, reply.body->str);
  bool leaked = strstr (reply.head->str, "leaked") != NULL;
  ck_assert_msg (leaked == (row->status != 502), "%s: head %s", row->pattern,
                 reply.head->str);
  if (row->status == 502)
    ck_assert_str_eq (reply.outcome, "unknown");
  ck_assert_int_eq (atomic_load (&server->requests), 1);
  reply_clear (&reply);
  curl_easy_cleanup (easy);
  fixture_stop ();
}
END_TEST

/* Guards against a probe that takes for healthy what is no answer: the server
   would go on getting requests.  */
START_TEST (test_probe)
{
  struct raw_script script = { RAW_ANSWER, RAW_ANSWER, NULL };
  struct raw_server *server = raw_server_start (script);
  server->health = probe_rows[_i].text;
  fixture_prepare (false);
  fixture_add_backend ("b1", server->port, false);
  fixture_start ();
  CURL *easy = curl_easy_init ();
  long status = 0;
  gint64 until = g_get_monotonic_time () + PROBE_BOUND_US;
  while (g_get_monotonic_time () < until && status != 503)
    {
      struct reply reply
          = send_request (easy, "GET", "/", FIXTURE_KEY, NULL, NULL);
      status = reply.status;
      reply_clear (&reply);
    }
  ck_assert_msg (status == probe_rows[_i].status, "%s: %ld",
                 probe_rows[_i].pattern, status);
  curl_easy_cleanup (easy);
  fixture_stop ();
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("answer_head");
  TCase *tcase = tcase_create ("answer_head");
  tcase_set_timeout (tcase, 30);
  tcase_add_loop_test (tcase, test_answer, 0, G_N_ELEMENTS (rows));
  tcase_add_loop_test (tcase, test_probe, 0, G_N_ELEMENTS (probe_rows));
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}

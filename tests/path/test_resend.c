/* Guards against requests that run twice over persistent connections.  libcurl
   resends a request by itself when the server closes a persistent connection
   after reading the request.  The first test shows this with libcurl alone,
   the others check that the request path does not do so.  */

#include "path_world.h"
#include "raw_server.h"

static size_t
discard (char *bytes, size_t size, size_t count, void *context)
{
  (void)bytes;
  (void)context;
  return size * count;
}

/* libcurl alone resends.  If this fails, libcurl has changed and the check in
   before_send of cye_call.c may no longer be needed.  */
START_TEST (test_libcurl_resends_post)
{
  struct raw_script script = { RAW_ANSWER, RAW_CLOSE, NULL };
  struct raw_server *server = raw_server_start (script);
  char url[64];
  CURL *easy = curl_easy_init ();
  g_snprintf (url, sizeof url, "http://127.0.0.1:%u/", server->port);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, discard);
  curl_easy_setopt (easy, CURLOPT_POSTFIELDS, "confirm");
  ck_assert_int_eq (curl_easy_perform (easy), CURLE_OK);
  ck_assert_int_eq (curl_easy_perform (easy), CURLE_OK);
  ck_assert_int_eq (atomic_load (&server->requests), 3);
  curl_easy_cleanup (easy);
}
END_TEST

struct row
{
  const char *method;
  const char *path;
  struct raw_script script;
  int sent; /* requests at the backend server for two requests of the caller */
  long status; /* of the second request */
  const char *outcome;
};

static const struct row rows[] = {
  { "POST", "/", { RAW_ANSWER, RAW_ANSWER, NULL }, 2, 200, "ran" },
  { "POST", "/", { RAW_ANSWER, RAW_CLOSE, NULL }, 2, 502, "unknown" },
  { "PATCH", "/", { RAW_ANSWER, RAW_CLOSE, NULL }, 2, 502, "unknown" },
  { "POST", "/", { RAW_ANSWER, RAW_RESET, NULL }, 2, 502, "unknown" },
  { "POST", "/safe", { RAW_ANSWER, RAW_CLOSE, NULL }, 3, 200, "ran" },
  { "GET", "/", { RAW_ANSWER, RAW_CLOSE, NULL }, 3, 200, "ran" },
  { "PUT", "/", { RAW_ANSWER, RAW_RESET, NULL }, 3, 200, "ran" },
  /* If no answer comes on a persistent connection, an idempotent request is
     retried; any other request ends with "unknown" at its deadline.  */
  { "GET", "/", { RAW_ANSWER, RAW_SILENT, NULL }, 3, 200, "ran" },
  { "POST", "/", { RAW_ANSWER, RAW_SILENT, NULL }, 2, 504, "unknown" },
};

START_TEST (test_request_path)
{
  const struct row *row = &rows[_i];
  struct raw_server *server = raw_server_start (row->script);
  fixture_prepare (false);
  fixture_add_backend ("b1", server->port, false);
  fixture_start ();
  CURL *easy = curl_easy_init ();
  const char *body = strcmp (row->method, "GET") == 0 ? NULL : "confirm";
  struct reply first
      = send_request (easy, row->method, row->path, FIXTURE_KEY, body, NULL);
  struct reply second = send_request (
      easy, row->method, row->path, FIXTURE_KEY, body, "Cy-Timeout-Ms: 2500");
  ck_assert_msg (first.status == 200, "first: %ld %s", first.status,
                 first.body->str);
  ck_assert_msg (second.status == row->status, "%ld %s", second.status,
                 second.body->str);
  ck_assert_str_eq (second.outcome, row->outcome);
  ck_assert_int_eq (atomic_load (&server->requests), row->sent);
  reply_clear (&first);
  reply_clear (&second);
  curl_easy_cleanup (easy);
  fixture_stop ();
}
END_TEST

#define REFUSAL                                                               \
  "HTTP/1.1 503 Service Unavailable\r\nCy-Not-Run: 1\r\n"                     \
  "Content-Length: 0\r\n\r\n"

/* Guards against a refusal that a server sends a second time in place of the
   answer to another request or attempt: that request may run, so it must not
   be answered as not run.  */
static const struct
{
  const char *pattern;
  const char *method;
  struct raw_script script;
  const char *more;
  long first;  /* status of the first request */
  long status; /* status of the second request */
  const char *outcome;
  int sent;        /* requests of both at the backend server */
  int connections; /* that these requests open */
} refused_rows[] = {
  { "refused on new connections, then without a request ID on a reused one",
    "POST",
    { RAW_ANSWER, RAW_ANSWER, REFUSAL },
    NULL,
    503,
    502,
    "unknown",
    5,
    4 },
  { "a refusal without a request ID, in place of the second answer",
    "POST",
    { RAW_ANSWER, RAW_MORE, NULL },
    REFUSAL,
    200,
    502,
    "unknown",
    2,
    1 },
  { "a refusal without a request ID, in place of an idempotent answer",
    "GET",
    { RAW_ANSWER, RAW_MORE, NULL },
    REFUSAL,
    200,
    200,
    "ran",
    3,
    2 },
  { "a refusal with the request ID of another attempt",
    "POST",
    { RAW_ANSWER, RAW_MORE, NULL },
    "HTTP/1.1 503 Service Unavailable\r\nCy-Not-Run: 1\r\n"
    "Cy-Request-Id: 0123456789abcdef\r\nContent-Length: 0\r\n\r\n",
    200,
    502,
    "unknown",
    2,
    1 },
  { "an answer with the request ID of another attempt",
    "POST",
    { RAW_ANSWER, RAW_MORE, NULL },
    "HTTP/1.1 200 OK\r\nCy-Request-Id: 0123456789abcdef\r\n"
    "Content-Length: 2\r\n\r\nok",
    200,
    502,
    "unknown",
    2,
    1 },
};

START_TEST (test_refusal_once_more)
{
  struct raw_server *server = raw_server_start (refused_rows[_i].script);
  server->more = refused_rows[_i].more;
  const char *method = refused_rows[_i].method;
  const char *body = strcmp (method, "GET") == 0 ? NULL : "confirm";
  fixture_prepare (false);
  fixture_add_backend ("b1", server->port, false);
  fixture_start ();
  CURL *easy = curl_easy_init ();
  struct reply first
      = send_request (easy, method, "/", FIXTURE_KEY, body, NULL);
  struct reply second = send_request (easy, method, "/", FIXTURE_KEY, body,
                                      "Cy-Timeout-Ms: 2500");
  ck_assert_int_eq (first.status, refused_rows[_i].first);
  ck_assert_msg (second.status == refused_rows[_i].status, "%s: %ld %s",
                 refused_rows[_i].pattern, second.status, second.body->str);
  ck_assert_str_eq (second.outcome, refused_rows[_i].outcome);
  ck_assert_msg (atomic_load (&server->requests) == refused_rows[_i].sent
                     && atomic_load (&server->connections)
                            == refused_rows[_i].connections,
                 "%s: %d requests on %d connections", refused_rows[_i].pattern,
                 atomic_load (&server->requests),
                 atomic_load (&server->connections));
  reply_clear (&first);
  reply_clear (&second);
  curl_easy_cleanup (easy);
  fixture_stop ();
}
END_TEST

/* A new connection on which the first request is never answered.  */
static const struct
{
  const char *method;
  const char *path;
  int sent;
  long status;
  const char *outcome;
} lost_rows[] = {
  { "GET", "/", 2, 200, "ran" },
  { "POST", "/safe", 2, 200, "ran" },
  { "POST", "/", 1, 504, "unknown" },
};

START_TEST (test_lost_new_connection)
{
  struct raw_script script = { RAW_ANSWER, RAW_ANSWER, NULL };
  struct raw_server *server = raw_server_start (script);
  atomic_store (&server->lost, 1);
  const char *method = lost_rows[_i].method;
  fixture_prepare (false);
  fixture_add_backend ("b1", server->port, false);
  fixture_start ();
  CURL *easy = curl_easy_init ();
  const char *body = strcmp (method, "GET") == 0 ? NULL : "confirm";
  struct reply reply = send_request (easy, method, lost_rows[_i].path,
                                     FIXTURE_KEY, body, "Cy-Timeout-Ms: 2500");
  ck_assert_msg (reply.status == lost_rows[_i].status, "%ld %s", reply.status,
                 reply.body->str);
  ck_assert_str_eq (reply.outcome, lost_rows[_i].outcome);
  ck_assert_int_eq (atomic_load (&server->requests), lost_rows[_i].sent);
  reply_clear (&reply);
  curl_easy_cleanup (easy);
  fixture_stop ();
}
END_TEST

/* Guards against an answer timeout that ends long work on a new connection. */
START_TEST (test_long_work)
{
  struct raw_script script = { RAW_LATE, RAW_LATE, NULL };
  struct raw_server *server = raw_server_start (script);
  fixture_prepare (false);
  fixture_add_backend ("b1", server->port, false);
  fixture_start ();
  CURL *easy = curl_easy_init ();
  struct reply reply = send_request (easy, "GET", "/", FIXTURE_KEY, NULL,
                                     "Cy-Timeout-Ms: 2500");
  ck_assert_int_eq (reply.status, 200);
  ck_assert_int_eq (atomic_load (&server->requests), 1);
  reply_clear (&reply);
  curl_easy_cleanup (easy);
  fixture_stop ();
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("resend");
  TCase *tcase = tcase_create ("resend");
  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, test_libcurl_resends_post);
  tcase_add_loop_test (tcase, test_request_path, 0, G_N_ELEMENTS (rows));
  tcase_add_loop_test (tcase, test_lost_new_connection, 0,
                       G_N_ELEMENTS (lost_rows));
  tcase_add_test (tcase, test_long_work);
  tcase_add_loop_test (tcase, test_refusal_once_more, 0,
                       G_N_ELEMENTS (refused_rows));
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}

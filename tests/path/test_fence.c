/* Requests at an entry VM that cannot confirm its state, whose quota refuses
   or delays them, or that has no free slot; requests whose caller leaves.  */

#include "path_world.h"
#include "raw_server.h"

static const struct
{
  int64_t age_ms; /* of the state, -1: never confirmed */
  bool cut_off;   /* an isolated zone serves the workspace for 20 s */
  const char *path;
  const char *key;
  long status;
  cy_result code;
} ages[] = {
  { 0, false, "/", FIXTURE_KEY, 200, CY_OK },
  { 2900, false, "/", FIXTURE_KEY, 200, CY_OK },
  { 3100, false, "/", FIXTURE_KEY, 503, CY_E_STATE_STALE },
  { 3100, false, "/", FIXTURE_WITHDRAWN, 401, CY_E_KEY_WITHDRAWN },
  { 3100, false, "/open", NULL, 200, CY_OK },
  { 3100, true, "/", FIXTURE_KEY, 200, CY_OK },
  { 3100, true, "/", FIXTURE_WITHDRAWN, 401, CY_E_KEY_WITHDRAWN },
  { 20100, true, "/", FIXTURE_KEY, 503, CY_E_STATE_STALE },
  { -1, true, "/", FIXTURE_KEY, 503, CY_E_STATE_STALE },
  { -1, false, "/open", NULL, 200, CY_OK },
};

/* Guards against requests that are served with a key while the state is too
   old to know whether the key was withdrawn.  */
START_TEST (test_age)
{
  struct raw_script script = { RAW_ANSWER, RAW_ANSWER, NULL };
  struct raw_server *server = raw_server_start (script);
  CURL *easy = curl_easy_init ();
  fixture_prepare (ages[_i].cut_off);
  fixture_add_backend ("b1", server->port, false);
  fixture_start ();
  atomic_store (&fixture.age, ages[_i].age_ms < 0
                                  ? INT64_MAX
                                  : ages[_i].age_ms * CY_NS_PER_MS);
  struct reply reply
      = send_request (easy, "POST", ages[_i].path, ages[_i].key, "x", NULL);
  ck_assert_msg (reply.status == ages[_i].status, "row %d: %ld %s", _i,
                 reply.status, reply.body->str);
  if (ages[_i].code != CY_OK)
    {
      ck_assert (reply_has_code (&reply, ages[_i].code));
      ck_assert_str_eq (reply.outcome, "not-run");
      ck_assert_int_eq (atomic_load (&server->requests), 0);
    }
  if (ages[_i].code == CY_E_STATE_STALE)
    ck_assert_ptr_nonnull (strstr (reply.body->str, "\"entry_vms\":"));
  reply_clear (&reply);
  curl_easy_cleanup (easy);
  fixture_stop ();
}
END_TEST

static const struct
{
  int admission;
  const char *path;
  const char *key;
  long status;
  int admits;
} quotas[] = {
  { CYE_ADMITTED, "/", FIXTURE_KEY, 200, 1 },
  { CYE_WAITING, "/", FIXTURE_KEY, 200, 1 },
  { CYE_REFUSED, "/", FIXTURE_KEY, 429, 1 },
  { -1, "/", FIXTURE_KEY, 429, 1 },
  { CYE_REFUSED, "/open", NULL, 200, 0 },
  { CYE_ADMITTED, "/", FIXTURE_WITHDRAWN, 401, 0 },
};

/* Requests with a key follow the quota's decision; open routes and refused
   keys do not use the quota.  */
START_TEST (test_quota)
{
  struct raw_script script = { RAW_ANSWER, RAW_ANSWER, NULL };
  struct raw_server *server = raw_server_start (script);
  CURL *easy = curl_easy_init ();
  fixture_prepare (false);
  fixture_add_backend ("b1", server->port, false);
  atomic_store (&fixture.admission, quotas[_i].admission);
  fixture_start ();
  struct reply reply = send_request (easy, "GET", quotas[_i].path,
                                     quotas[_i].key, NULL, NULL);
  ck_assert_int_eq (reply.status, quotas[_i].status);
  ck_assert_int_eq (atomic_load (&fixture.admits), quotas[_i].admits);
  ck_assert_int_eq (atomic_load (&server->requests), quotas[_i].status == 200);
  if (quotas[_i].status == 429)
    ck_assert_ptr_nonnull (strstr (reply.head->str, "Retry-After: 2"));
  reply_clear (&reply);
  curl_easy_cleanup (easy);
  fixture_stop ();
}
END_TEST

/* Without credits of the zone a request is not forwarded and is answered as
   not run at its timeout; without a usable backend server it is refused at
   once.  */
START_TEST (test_no_room)
{
  struct raw_script script = { RAW_ANSWER, RAW_ANSWER, NULL };
  struct raw_server *server = raw_server_start (script);
  CURL *easy = curl_easy_init ();
  fixture_prepare (false);
  atomic_store (&fixture.grants, false);
  if (_i == 0)
    fixture_add_backend ("b1", server->port, false);
  else if (_i == 1)
    fixture_add_backend ("b1", server->port, true);
  fixture_start ();
  struct reply reply = send_request (easy, "POST", "/", FIXTURE_KEY, "x",
                                     "Cy-Timeout-Ms: 200");
  ck_assert_int_eq (reply.status, 503);
  ck_assert (
      reply_has_code (&reply, _i == 0 ? CY_E_NO_ROOM : CY_E_NO_BACKEND));
  ck_assert_str_eq (reply.outcome, "not-run");
  ck_assert_int_eq (atomic_load (&server->requests), 0);
  reply_clear (&reply);
  curl_easy_cleanup (easy);
  fixture_stop ();
}
END_TEST

/* A caller that leaves after 300 ms: idempotent work is cancelled within half
   a second, and a request that still waits for its token is never sent.  */
static const struct
{
  int wait_ms; /* delay of the token */
  int sent;    /* requests that reach the backend server */
  int closed;  /* connections to it that the entry VM closes */
} leaves[] = {
  { 0, 1, 1 },
  { 700, 0, 0 },
};

START_TEST (test_caller_leaves)
{
  struct raw_script script = { RAW_SILENT, RAW_SILENT, NULL };
  struct raw_server *server = raw_server_start (script);
  CURL *easy = curl_easy_init ();
  char url[64];
  gint64 left_at_us = 0;
  fixture_prepare (false);
  fixture_add_backend ("b1", server->port, false);
  atomic_store (&fixture.admission, CYE_WAITING);
  atomic_store (&fixture.wait_ms, leaves[_i].wait_ms);
  fixture_start ();
  struct curl_slist *headers
      = curl_slist_append (NULL, "Authorization: Bearer " FIXTURE_KEY);
  g_snprintf (url, sizeof url, "http://127.0.0.1:%u/s/billing/", fixture.port);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, 300L);
  ck_assert_int_eq (curl_easy_perform (easy), CURLE_OPERATION_TIMEDOUT);
  left_at_us = g_get_monotonic_time ();
  while (atomic_load (&server->closed) < leaves[_i].closed
         || atomic_load (&fixture.waited) < 1)
    ck_assert_int_lt (g_get_monotonic_time () - left_at_us,
                      5 * G_USEC_PER_SEC);
  if (leaves[_i].closed > 0)
    ck_assert_int_lt (g_get_monotonic_time () - left_at_us,
                      G_USEC_PER_SEC / 2);
  fixture_stop (); /* waits for open requests */
  ck_assert_int_eq (atomic_load (&server->requests), leaves[_i].sent);
  curl_slist_free_all (headers);
  curl_easy_cleanup (easy);
}
END_TEST

/* An answer larger than CYE_BUFFER_BYTES, and a request body that is slightly
   smaller than CYE_BUFFER_BYTES, arrive complete.  */
START_TEST (test_large_body)
{
  struct raw_script script = { RAW_ANSWER_AND_CLOSE, RAW_CLOSE, NULL };
  GString *text
      = g_string_new ("HTTP/1.1 200 OK\r\nContent-Length: 5000000\r\n\r\n");
  CURL *easy = curl_easy_init ();
  for (int i = 0; i < 5000000; i++)
    g_string_append_c (text, (char)('a' + i % 26));
  script.text = text->str;
  struct raw_server *server = raw_server_start (script);
  fixture_prepare (false);
  fixture_add_backend ("b1", server->port, false);
  fixture_start ();
  char *body = g_strnfill (60000, 'x');
  struct reply reply
      = send_request (easy, "POST", "/", FIXTURE_KEY, body, NULL);
  ck_assert_int_eq (reply.code, CURLE_OK);
  ck_assert_uint_eq (reply.body->len, 5000000);
  ck_assert_str_eq (reply.body->str, text->str + text->len - reply.body->len);
  pthread_mutex_lock (&server->lock);
  ck_assert_ptr_nonnull (strstr (server->last, body));
  pthread_mutex_unlock (&server->lock);
  reply_clear (&reply);
  g_free (body);
  g_string_free (text, TRUE);
  curl_easy_cleanup (easy);
  fixture_stop ();
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("fence");
  TCase *tcase = tcase_create ("fence");
  tcase_set_timeout (tcase, 30);
  tcase_add_loop_test (tcase, test_age, 0, G_N_ELEMENTS (ages));
  tcase_add_loop_test (tcase, test_quota, 0, G_N_ELEMENTS (quotas));
  tcase_add_loop_test (tcase, test_no_room, 0, 3);
  tcase_add_loop_test (tcase, test_caller_leaves, 0, G_N_ELEMENTS (leaves));
  tcase_add_test (tcase, test_large_body);
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}

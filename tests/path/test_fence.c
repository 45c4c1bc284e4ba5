/* What an entry VM does when it cannot confirm its state, when the quota
   refuses or makes requests wait, and when a caller leaves.  */

#include "path_world.h"
#include "raw_server.h"

static const struct
{
  int64_t age_ms; /* -1: never confirmed */
  bool cut_off;   /* the workspace is served in a cut-off zone for 20 s */
  const char *path;
  const char *key;
  long status;
  cy_result code;
} ages[] = {
  { 0, false, "/", WORLD_KEY, 200, CY_OK },
  { 2900, false, "/", WORLD_KEY, 200, CY_OK },
  { 3100, false, "/", WORLD_KEY, 503, CY_E_STATE_STALE },
  { 3100, false, "/", WORLD_WITHDRAWN, 401, CY_E_KEY_WITHDRAWN },
  { 3100, false, "/open", NULL, 200, CY_OK },
  { 3100, true, "/", WORLD_KEY, 200, CY_OK },
  { 3100, true, "/", WORLD_WITHDRAWN, 401, CY_E_KEY_WITHDRAWN },
  { 20100, true, "/", WORLD_KEY, 503, CY_E_STATE_STALE },
  { -1, true, "/", WORLD_KEY, 503, CY_E_STATE_STALE },
  { -1, false, "/open", NULL, 200, CY_OK },
};

START_TEST (test_age)
{
  struct raw_script script = { RAW_ANSWER, RAW_ANSWER, NULL };
  struct raw_server *server = raw_server_start (script);
  CURL *easy = curl_easy_init ();
  world_prepare (ages[_i].cut_off);
  world_backend ("b1", server->port, false);
  world_start ();
  atomic_store (&world.age, ages[_i].age_ms < 0
                                ? INT64_MAX
                                : ages[_i].age_ms * CY_NS_PER_MS);
  struct reply reply
      = ask (easy, "POST", ages[_i].path, ages[_i].key, "x", NULL);
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
  world_stop ();
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
  { CYE_ADMITTED, "/", WORLD_KEY, 200, 1 },
  { CYE_WAITING, "/", WORLD_KEY, 200, 1 },
  { CYE_REFUSED, "/", WORLD_KEY, 429, 1 },
  { -1, "/", WORLD_KEY, 429, 1 },
  { CYE_REFUSED, "/open", NULL, 200, 0 },
  { CYE_ADMITTED, "/", WORLD_WITHDRAWN, 401, 0 },
};

START_TEST (test_quota)
{
  struct raw_script script = { RAW_ANSWER, RAW_ANSWER, NULL };
  struct raw_server *server = raw_server_start (script);
  CURL *easy = curl_easy_init ();
  world_prepare (false);
  world_backend ("b1", server->port, false);
  atomic_store (&world.admission, quotas[_i].admission);
  world_start ();
  struct reply reply
      = ask (easy, "GET", quotas[_i].path, quotas[_i].key, NULL, NULL);
  ck_assert_int_eq (reply.status, quotas[_i].status);
  ck_assert_int_eq (atomic_load (&world.admits), quotas[_i].admits);
  ck_assert_int_eq (atomic_load (&server->requests), quotas[_i].status == 200);
  if (quotas[_i].status == 429)
    ck_assert_ptr_nonnull (strstr (reply.head->str, "Retry-After: 2"));
  reply_clear (&reply);
  curl_easy_cleanup (easy);
  world_stop ();
}
END_TEST

/* Without credits of the zone nothing is forwarded, and said to be not run;
   without a backend server it is refused at once.  */
START_TEST (test_no_room)
{
  struct raw_script script = { RAW_ANSWER, RAW_ANSWER, NULL };
  struct raw_server *server = raw_server_start (script);
  CURL *easy = curl_easy_init ();
  world_prepare (false);
  atomic_store (&world.grants, false);
  if (_i == 0)
    world_backend ("b1", server->port, false);
  else if (_i == 1)
    world_backend ("b1", server->port, true);
  world_start ();
  struct reply reply
      = ask (easy, "POST", "/", WORLD_KEY, "x", "Cy-Timeout-Ms: 200");
  ck_assert_int_eq (reply.status, 503);
  ck_assert (
      reply_has_code (&reply, _i == 0 ? CY_E_NO_ROOM : CY_E_NO_BACKEND));
  ck_assert_str_eq (reply.outcome, "not-run");
  ck_assert_int_eq (atomic_load (&server->requests), 0);
  reply_clear (&reply);
  curl_easy_cleanup (easy);
  world_stop ();
}
END_TEST

/* A caller that leaves after 300 ms: work that may be repeated ends within
   half a second, and what still waits is never sent.  */
static const struct
{
  int wait_ms; /* for the token */
  int sent;    /* requests that reach the backend server */
  int closed;  /* of its connections, by the entry VM */
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
  gint64 left = 0;
  world_prepare (false);
  world_backend ("b1", server->port, false);
  atomic_store (&world.admission, CYE_WAITING);
  atomic_store (&world.wait_ms, leaves[_i].wait_ms);
  world_start ();
  struct curl_slist *headers
      = curl_slist_append (NULL, "Authorization: Bearer " WORLD_KEY);
  g_snprintf (url, sizeof url, "http://127.0.0.1:%u/s/billing/", world.port);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, 300L);
  ck_assert_int_eq (curl_easy_perform (easy), CURLE_OPERATION_TIMEDOUT);
  left = g_get_monotonic_time ();
  while (atomic_load (&server->closed) < leaves[_i].closed
         || atomic_load (&world.waited) < 1)
    ck_assert_int_lt (g_get_monotonic_time () - left, 5 * G_USEC_PER_SEC);
  if (leaves[_i].closed > 0)
    ck_assert_int_lt (g_get_monotonic_time () - left, G_USEC_PER_SEC / 2);
  world_stop (); /* waits for what is open */
  ck_assert_int_eq (atomic_load (&server->requests), leaves[_i].sent);
  curl_slist_free_all (headers);
  curl_easy_cleanup (easy);
}
END_TEST

/* A body above the buffer is streamed whole, both ways.  */
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
  world_prepare (false);
  world_backend ("b1", server->port, false);
  world_start ();
  char *body = g_strnfill (60000, 'x');
  struct reply reply = ask (easy, "POST", "/", WORLD_KEY, body, NULL);
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
  world_stop ();
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

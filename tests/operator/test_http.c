/* The operators' HTTP interface on a fake control VM: answers, refusals,
   resends, keys, redirects, size limits, health checks while changes wait.  */

#include <unistd.h>

#include "cy_test.h"
#include "fake_control.h"
#include "control/cyo_http.h"
#include "http_call.h"

#define ALICE "token-of-alice-0123456789"
#define BOB   "token-of-bob-0123456789"
#define SEED  "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"

static struct cyx_control control;
static struct cyo_http *http;

static void
setup (void)
{
  char *path = NULL;
  int file = g_file_open_tmp ("cyo-XXXXXX", &path, NULL);
  const char text[] = "# operators\nalice " ALICE "\nbob " BOB "\n";
  ck_assert_int_eq (write (file, text, sizeof text - 1), sizeof text - 1);
  close (file);
  fake_control_init (&control);
  ck_assert_int_eq (cyo_http_create (&control, "127.0.0.1", 0, path, &http),
                    CY_OK);
  unlink (path);
  g_free (path);
}

static void
teardown (void)
{
  cyo_http_destroy (http);
  fake_control_clear (&control);
}

static void
call (const char *method, const char *path, const char *token,
      const char *body, struct http_result *result)
{
  http_call (cyo_http_port (http), method, path, token, body,
             body != NULL ? strlen (body) : 0, result);
}

/* ---------------------------------------------------------------- answers */

struct request_row
{
  const char *method;
  const char *path;
  const char *token;
  const char *body;
  long status;
  const char *member; /* member of the answer's JSON, NULL: not checked */
  const char *text;   /* expected value of the member as JSON */
};

/* Declarations of one workspace; the rate of W3 is invalid.  */
#define W1 "{\"workspaces\":{\"a\":{\"rate\":1,\"burst\":1}}}"
#define W2 "{\"workspaces\":{\"a\":{\"rate\":2,\"burst\":1}}}"
#define W3 "{\"workspaces\":{\"a\":{\"rate\":-3,\"burst\":1}}}"

static const struct request_row request_rows[] = {
  { "GET", "/healthz", "", NULL, 200, NULL, NULL },
  { "GET", "/readyz", "", NULL, 200, NULL, NULL },
  { "GET", "/v1/status", "", NULL, 401, "code", "408" },
  { "GET", "/v1/status", "token-of-alice-012345678", NULL, 401, "name",
    "\"CY_E_OPERATOR_DENIED\"" },
  { "GET", "/v1/status", ALICE, NULL, 200, "term", "3" },
  { "GET", "/v1/nothing", ALICE, NULL, 404, "code", "102" },
  { "PUT", "/v1/submit", ALICE, NULL, 405, "code", "111" },
  { "POST", "/v1/submit?request_id=r1", ALICE, W1, 400, "path", "\"base\"" },
  { "POST", "/v1/submit?base=x&request_id=r1", ALICE, W1, 400, "path",
    "\"base\"" },
  { "POST", "/v1/submit?base=0", ALICE, W1, 400, "path", "\"request_id\"" },
  { "POST", "/v1/submit?base=0&request_id=a%20b", ALICE, W1, 400, "path",
    "\"request_id\"" },
  { "POST", "/v1/submit?base=0&request_id=r1", ALICE, W1, 200, "version",
    "1" },
  { "POST", "/v1/submit?base=0&request_id=r1", ALICE, W1, 200, "version",
    "1" },
  { "POST", "/v1/submit?base=0&request_id=r1", ALICE, W2, 409, "code", "404" },
  { "POST", "/v1/submit?base=0&request_id=r1", BOB, W1, 409, "code", "404" },
  { "POST", "/v1/submit?base=0&request_id=r2", BOB, W2, 409, "conflict_who",
    "\"alice\"" },
  { "POST", "/v1/submit?base=0&request_id=r2", BOB, W2, 409,
    "conflict_request_id", "\"r1\"" },
  { "POST", "/v1/submit?base=0&request_id=r2", BOB, W2, 409, "conflict_action",
    "\"submit\"" },
  { "POST", "/v1/submit?base=7&request_id=r3", BOB, W2, 409, "code", "403" },
  { "POST", "/v1/submit?base=1&request_id=r4", BOB, W3, 422, "path",
    "\"workspaces.a.rate\"" },
  { "POST", "/v1/submit?base=1&request_id=r4", BOB, W3, 422, "detail",
    "\"must be a number from 0 to 1e6, is -3\"" },
  { "POST", "/v1/submit?base=1&request_id=r5", BOB, "{", 422, "code", "400" },
  { "POST", "/v1/diff", BOB, W2, 200, "lines",
    "[\"~ workspace/a: rate 1 -> 2\"]" },
  { "POST", "/v1/submit?base=1&request_id=r6", BOB, W2, 200, "version", "2" },
  { "POST", "/v1/submit?base=0&request_id=r1", ALICE, W1, 200, "version",
    "1" },
  { "POST", "/v1/rollback?base=2&to=9&request_id=b1", BOB, "", 400, "path",
    "\"to\"" },
  { "POST", "/v1/rollback?base=2&to=1&request_id=b2", BOB, "", 200, "version",
    "3" },
  { "POST", "/v1/diff", BOB, W1, 200, "lines", "[]" },
  { "GET", "/v1/history?max=0&confirmed=yes", BOB, NULL, 200, "version", "3" },
  { "POST", "/v1/keys?request_id=k1", ALICE, "{\"workspace\":\"nobody\"}", 422,
    "path", "\"workspace\"" },
  { "POST", "/v1/keys?request_id=k2", ALICE, "{\"workspace\":7}", 400, "path",
    "\"workspace\"" },
  { "POST", "/v1/keys/none/withdraw?request_id=k3", ALICE, "", 404, "path",
    "\"id\"" },
  { "POST", "/v1/drains?request_id=d1", ALICE,
    "{\"kind\":\"moon\",\"name\":\"z\"}", 400, "path", "\"kind\"" },
  { "POST", "/v1/drains?request_id=d2", ALICE,
    "{\"kind\":\"zone\",\"name\":\"z\"}", 404, "path", "\"name\"" },
  { "POST", "/v1/drains?request_id=d3", ALICE,
    "{\"kind\":\"entry\",\"name\":\"e1\"}", 200, "version", "4" },
  { "POST", "/v1/drains?request_id=d3b", ALICE,
    "{\"kind\":\"entry\",\"name\":\"e1\"}", 200, "version", "4" },
  { "DELETE", "/v1/drains?request_id=d4&kind=entry&name=e1", ALICE, NULL, 200,
    "version", "5" },
  { "GET", "/v1/drains", ALICE, NULL, 200, "drains", "[]" },
  { "POST", "/v1/members?request_id=m1", ALICE,
    "{\"id\":9,\"host\":\"127.0.0.1\",\"port\":1,\"http_port\":2}", 409,
    "code", "410" },
  { "POST", "/v1/members?request_id=m2", ALICE,
    "{\"id\":4,\"host\":\"here\",\"port\":1,\"http_port\":2}", 400, "code",
    "101" },
  { "POST", "/v1/members?request_id=m3", ALICE,
    "{\"id\":5,\"host\":\"127.0.0.1\",\"port\":1,\"http_port\":2}", 200,
    "request_id", "\"m3\"" },
  { "POST", "/v1/members", ALICE,
    "{\"id\":5,\"host\":\"127.0.0.1\",\"port\":1,\"http_port\":2}", 400,
    "path", "\"request_id\"" },
  { "DELETE", "/v1/members/2?request_id=m4", ALICE, NULL, 200, "version",
    "5" },
  { "DELETE", "/v1/members/3?request_id=m5", ALICE, NULL, 404, "code", "102" },
  { "DELETE", "/v1/members/x?request_id=m6", ALICE, NULL, 400, "path",
    "\"id\"" },
  { "GET", "/v1/why?service=s", ALICE, NULL, 200, "service", "\"s\"" },
  { "GET", "/v1/why", ALICE, NULL, 400, "path", "\"service\"" },
  { "GET", "/v1/children", ALICE, NULL, 200, "confirmed", "true" },
};

/* Sends the rows in order to one control VM: the versions that a row expects
   depend on the changes that earlier rows made.  */
START_TEST (test_answers)
{
  for (size_t i = 0; i < G_N_ELEMENTS (request_rows); i++)
    {
      const struct request_row *row = &request_rows[i];
      struct http_result result;
      call (row->method, row->path, row->token, row->body, &result);
      ck_assert_msg (result.status == row->status, "%s %s: %ld %s",
                     row->method, row->path, result.status, result.text);
      if (row->member != NULL)
        {
          char *text = json_dumps (json_object_get (result.body, row->member),
                                   JSON_ENCODE_ANY | JSON_COMPACT);
          ck_assert_msg (g_strcmp0 (text, row->text) == 0, "%s %s: %s",
                         row->method, row->path, result.text);
          free (text);
        }
      http_result_clear (&result);
    }
}
END_TEST

/* ------------------------------------------------------------------- keys */

static void
assert_absent (const char *path, const char *secret)
{
  struct http_result result;
  call ("GET", path, ALICE, NULL, &result);
  ck_assert_int_eq (result.status, 200);
  ck_assert_msg (strstr (result.text, secret) == NULL,
                 "%s contains the secret of a key", path);
  http_result_clear (&result);
}

/* Guards against secrets of keys that leak: only the answer to the issuing
   request may contain one.  A resend with a seed returns the same key.  */
START_TEST (test_keys)
{
  static const char key_request[]
      = "{\"workspace\":\"a\",\"seed\":\"" SEED "\"}";
  struct http_result first, again, other;
  uint8_t *image;
  size_t length;
  call ("POST", "/v1/submit?base=0&request_id=r1", ALICE, W1, &first);
  http_result_clear (&first);
  call ("POST", "/v1/keys?request_id=k1", ALICE, key_request, &first);
  call ("POST", "/v1/keys?request_id=k1", ALICE, key_request, &again);
  call ("POST", "/v1/keys?request_id=k2", ALICE, "{\"workspace\":\"a\"}",
        &other);
  ck_assert_int_eq (first.status, 200);
  ck_assert_str_eq (first.text, again.text);
  const char *key = json_string_value (json_object_get (first.body, "key"));
  const char *id = json_string_value (json_object_get (first.body, "id"));
  char *start = g_strdup_printf ("cyk_%s_", id);
  ck_assert (g_str_has_prefix (key, start));
  const char *secret = key + strlen (start);
  ck_assert_uint_eq (strlen (secret), 48);
  ck_assert_str_ne (key,
                    json_string_value (json_object_get (other.body, "key")));
  assert_absent ("/v1/keys", secret);
  assert_absent ("/v1/audit", secret);
  assert_absent ("/v1/history", secret);
  assert_absent ("/v1/state", secret);
  assert_absent ("/metrics", secret);
  cys_state_save (control.state, &image, &length);
  ck_assert_ptr_null (memmem (image, length, secret, strlen (secret)));
  g_free (image);
  char *object_key = g_strconcat ("key/", id, NULL);
  char *path = g_strdup_printf ("/v1/keys/%s/withdraw?request_id=w1", id);
  const Cy__Object *object = cys_state_get (control.state, object_key);
  char *digest = g_compute_checksum_for_string (G_CHECKSUM_SHA256, key, -1);
  for (size_t i = 0; i < 32; i++)
    ck_assert_int_eq (object->access_key->digest.data[i],
                      g_ascii_xdigit_value (digest[2 * i]) * 16
                          + g_ascii_xdigit_value (digest[2 * i + 1]));
  http_result_clear (&again);
  call ("POST", path, BOB, "", &again);
  ck_assert_int_eq (again.status, 200);
  ck_assert (cys_state_get (control.state, object_key)->access_key->withdrawn);
  g_free (digest);
  g_free (object_key);
  g_free (path);
  g_free (start);
  http_result_clear (&first);
  http_result_clear (&again);
  http_result_clear (&other);
}
END_TEST

/* ------------------------------------------------------- refusals audited */

/* Every refused change leaves one line in the audit trail, a resend none.  */
START_TEST (test_refusals)
{
  struct http_result result;
  call ("POST", "/v1/submit?base=0&request_id=r1", BOB, W3, &result);
  http_result_clear (&result);
  call ("POST", "/v1/submit?base=0&request_id=r1", BOB, W3, &result);
  http_result_clear (&result);
  control.preview_fits = false;
  call ("POST", "/v1/drains?request_id=d1", BOB,
        "{\"kind\":\"entry\",\"name\":\"e1\"}", &result);
  ck_assert_int_eq (result.status, 409);
  http_result_clear (&result);
  call ("POST", "/v1/drains?request_id=d2", BOB,
        "{\"kind\":\"entry\",\"name\":\"e1\",\"force\":true}", &result);
  ck_assert_int_eq (result.status, 200);
  http_result_clear (&result);
  call ("DELETE", "/v1/members/2?request_id=m1", BOB, NULL, &result);
  http_result_clear (&result);
  call ("DELETE", "/v1/members/3?request_id=m2", BOB, NULL, &result);
  http_result_clear (&result);
  call ("GET", "/v1/audit", ALICE, NULL, &result);
  json_t *lines = json_object_get (result.body, "lines");
  static const char *const names[] = { "CY_E_DECL_FIELD", "CY_E_PLAN_NO_ROOM",
                                       "CY_OK", "CY_OK", "CY_E_NOT_FOUND" };
  ck_assert_uint_eq (json_array_size (lines), G_N_ELEMENTS (names));
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    {
      json_t *line = json_array_get (lines, i);
      ck_assert_str_eq (json_string_value (json_object_get (line, "name")),
                        names[i]);
      ck_assert_str_eq (json_string_value (json_object_get (line, "who")),
                        "bob");
    }
  http_result_clear (&result);
}
END_TEST

/* Expected answers to refused changes, with and without a quorum for the audit
   line.  */
struct refused_row
{
  const char *base;
  const char *id; /* request id, NULL: an unused one */
  const char *code;
  const char *member;
  const char *value;
};

static const struct refused_row refused_rows[] = {
  { "0", NULL, "403", "conflict_who", "\"alice\"" },
  { "0", NULL, "403", "conflict_request_id", "\"r1\"" },
  { "0", NULL, "403", "conflict_action", "\"submit\"" },
  { "0", NULL, "403", "version", "1" },
  { "1", "r1", "404", "version", "1" },
};

/* Guards against a refusal that loses its conflict details, or becomes a
   timeout, because the audit line finds no quorum.  */
START_TEST (test_refused_before_its_audit_line)
{
  struct http_result result;
  for (int late = 0; late < 2; late++)
    for (size_t i = 0; i < G_N_ELEMENTS (refused_rows); i++)
      {
        const struct refused_row *row = &refused_rows[i];
        control.no_quorum = false;
        call ("POST", "/v1/submit?base=0&request_id=r1", ALICE, W1, &result);
        ck_assert_int_eq (result.status, 200);
        http_result_clear (&result);
        control.no_quorum = late != 0;
        char *id = g_strdup_printf ("late%d-%zu", late, i);
        char *path
            = g_strdup_printf ("/v1/submit?base=%s&request_id=%s", row->base,
                               row->id != NULL ? row->id : id);
        call ("POST", path, BOB, W2, &result);
        g_free (path);
        g_free (id);
        ck_assert_int_eq (result.status, 409);
        char *code = json_dumps (json_object_get (result.body, "code"),
                                 JSON_ENCODE_ANY);
        char *value = json_dumps (json_object_get (result.body, row->member),
                                  JSON_ENCODE_ANY);
        ck_assert_str_eq (code, row->code);
        ck_assert_msg (g_strcmp0 (value, row->value) == 0,
                       "row %zu, late %d: %s is %s", i, late, row->member,
                       value);
        free (code);
        free (value);
        http_result_clear (&result);
      }
}
END_TEST

/* ------------------------------------------------------------- not leader */

/* A follower redirects changes to the leader.  Without a known leader changes
   are refused, and reads are answered as not confirmed.  */
START_TEST (test_not_leader)
{
  struct http_result result;
  control.leader = false;
  control.leader_http_port = 4242;
  call ("POST", "/v1/submit?base=0&request_id=r1", ALICE, W1, &result);
  ck_assert_int_eq (result.status, 307);
  ck_assert_msg (
      g_str_has_prefix (result.redirect, "http://127.0.0.1:4242/v1/submit?"),
      "%s", result.redirect);
  ck_assert_ptr_nonnull (strstr (result.redirect, "request_id=r1"));
  http_result_clear (&result);
  control.leader_http_port = 0;
  call ("POST", "/v1/submit?base=0&request_id=r1", ALICE, W1, &result);
  ck_assert_int_eq (result.status, 503);
  http_result_clear (&result);
  call ("GET", "/v1/keys", ALICE, NULL, &result);
  ck_assert_int_eq (result.status, 200);
  ck_assert (json_is_false (json_object_get (result.body, "confirmed")));
  http_result_clear (&result);
  call ("GET", "/v1/keys?confirmed=yes", ALICE, NULL, &result);
  ck_assert_int_eq (result.status, 503);
  http_result_clear (&result);
  call ("GET", "/readyz", "", NULL, &result);
  ck_assert_int_eq (result.status, 503);
  http_result_clear (&result);
}
END_TEST

/* ---------------------------------------------------------------- waiting */

#define CALLER_COUNT 12

static gpointer
drain_in_thread (gpointer data)
{
  struct http_result result;
  char *path
      = g_strdup_printf ("/v1/drains?request_id=t%d", GPOINTER_TO_INT (data));
  call ("POST", path, ALICE, "{\"kind\":\"entry\",\"name\":\"e\"}", &result);
  long status = result.status;
  http_result_clear (&result);
  g_free (path);
  return GINT_TO_POINTER ((int)status);
}

/* Guards against health checks and metrics that block behind changes: they
   must be answered while every worker waits for a quorum.  */
START_TEST (test_health_while_changes_wait)
{
  GThread *threads[CALLER_COUNT];
  struct http_result result;
  fake_control_hold (&control, true);
  for (int i = 0; i < CALLER_COUNT; i++)
    threads[i] = g_thread_new ("caller", drain_in_thread, GINT_TO_POINTER (i));
  g_mutex_lock (&control.lock);
  while (control.waiting_count < 8)
    g_cond_wait (&control.changed, &control.lock);
  g_mutex_unlock (&control.lock);
  call ("GET", "/healthz", "", NULL, &result);
  ck_assert_int_eq (result.status, 200);
  http_result_clear (&result);
  call ("GET", "/metrics", "", NULL, &result);
  ck_assert_ptr_nonnull (strstr (result.text, "cy_operator_requests_total"));
  http_result_clear (&result);
  fake_control_hold (&control, false);
  for (int i = 0; i < CALLER_COUNT; i++)
    ck_assert_int_eq (GPOINTER_TO_INT (g_thread_join (threads[i])), 200);
}
END_TEST

/* ------------------------------------------------------------------ sizes */

/* A body above the limit is refused; without a token the request is refused
   for that.  */
START_TEST (test_body_too_large)
{
  struct http_result result;
  size_t length = 7u << 20;
  char *text = g_malloc (length);
  memset (text, ' ', length);
  http_call (cyo_http_port (http), "POST", "/v1/submit?base=0&request_id=r1",
             ALICE, text, length, &result);
  ck_assert_int_eq (result.status, 413);
  http_result_clear (&result);
  http_call (cyo_http_port (http), "POST", "/v1/submit?base=0&request_id=r1",
             "", text, length, &result);
  ck_assert_int_eq (result.status, 401);
  http_result_clear (&result);
  g_free (text);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("operator http");
  TCase *tcase = tcase_create ("http");
  curl_global_init (CURL_GLOBAL_DEFAULT);
  tcase_set_timeout (tcase, 60);
  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_add_test (tcase, test_answers);
  tcase_add_test (tcase, test_keys);
  tcase_add_test (tcase, test_refusals);
  tcase_add_test (tcase, test_refused_before_its_audit_line);
  tcase_add_test (tcase, test_not_leader);
  tcase_add_test (tcase, test_health_while_changes_wait);
  tcase_add_test (tcase, test_body_too_large);
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}

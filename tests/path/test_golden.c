/* Compares complete sessions with golden files: the caller's request, the
   request at the backend server, and the caller's answer.  CY_GOLDEN_WRITE=1
   rewrites the files; review them before they are committed.  */

#include <stdio.h>

#include "path_world.h"
#include "raw_server.h"

#define GOLDEN_FOLDER  "tests/path/golden"
#define SESSION_READ_S 10 /* receive timeout of the caller */

#define HEAD(method, path)                                                    \
  method " /s/billing" path " HTTP/1.1\r\nHost: entry\r\nConnection: "        \
         "close\r\n"
#define KEYED(method, path)                                                   \
  HEAD (method, path) "Authorization: Bearer " FIXTURE_KEY "\r\n"
#define END "\r\n"

struct session
{
  const char *name;
  const char *request;
  struct raw_script script;
};

#define ANSWERS(text)                                                         \
  {                                                                           \
    RAW_ANSWER_AND_CLOSE, RAW_CLOSE, text                                     \
  }

static const struct session sessions[] = {
  { "get", KEYED ("GET", "/invoices?month=5") "Accept: text/plain\r\n" END,
    ANSWERS (NULL) },
  { "unknown-method",
    KEYED ("A-METHOD-OF-63-BYTES-THAT-THE-BACKEND-SERVER-MUST-GET-AS-IT-IS-",
           "/invoices") END,
    ANSWERS (NULL) },
  { "too-long-method",
    KEYED ("A-METHOD-OF-64-BYTES-THAT-IS-REFUSED-INSTEAD-OF-BEING-CUT-SHORT-",
           "/invoices") END,
    ANSWERS (NULL) },
  { "post",
    KEYED ("POST",
           "/invoices") "Content-Length: 7\r\nIdempotency-Key: i-1\r\n" END
                        "confirm",
    ANSWERS ("HTTP/1.1 201 Created\r\nLocation: /invoices/7\r\n"
             "Content-Length: 0\r\n\r\n") },
  { "post-empty", KEYED ("POST", "/invoices") "Content-Length: 0\r\n" END,
    ANSWERS (NULL) },
  { "post-chunked",
    KEYED ("POST",
           "/invoices") "Transfer-Encoding: chunked\r\nTrailer: X-T\r\n" END
                        "3\r\ncon\r\n4\r\nfirm\r\n0\r\nX-T: "
                        "cyk_k1_0123456789abcdef\r\n\r\n",
    ANSWERS (NULL) },
  { "post-expect",
    KEYED ("POST",
           "/invoices") "Content-Length: 7\r\nExpect: 100-continue\r\n" END
                        "confirm",
    ANSWERS (NULL) },
  { "head", KEYED ("HEAD", "/invoices") END,
    ANSWERS ("HTTP/1.1 200 OK\r\nContent-Length: 1234\r\n\r\n") },
  { "head-chunked", KEYED ("HEAD", "/invoices") END,
    ANSWERS ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n") },
  { "no-content", KEYED ("DELETE", "/invoices/7") END,
    ANSWERS ("HTTP/1.1 204 No Content\r\n\r\n") },
  { "not-modified", KEYED ("GET", "/a") "If-None-Match: \"1\"\r\n" END,
    ANSWERS ("HTTP/1.1 304 Not Modified\r\nETag: \"1\"\r\n\r\n") },
  { "interim", KEYED ("GET", "/a") END,
    ANSWERS ("HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n" RAW_OK) },
  { "chunked-answer", KEYED ("GET", "/a") END,
    ANSWERS ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
             "Trailer: X-T\r\n\r\n5\r\nhello\r\n0\r\n"
             "X-T: cyk_k1_0123456789abcdef\r\n\r\n") },
  { "until-close", KEYED ("GET", "/a") END,
    ANSWERS ("HTTP/1.0 200 OK\r\n\r\nhello") },
  { "hop-by-hop",
    HEAD ("GET",
          "/a") "Authorization: Bearer " FIXTURE_KEY "\r\n"
                "Connection: x-drop\r\nX-Drop: 1\r\nX-Keep: 1\r\nTE: "
                "trailers\r\n"
                "Keep-Alive: 5\r\nProxy-Connection: x\r\nUpgrade: h2c\r\n" END,
    ANSWERS ("HTTP/1.1 200 OK\r\nConnection: x-gone\r\nX-Gone: 1\r\n"
             "X-Stays: 1\r\nKeep-Alive: 5\r\nUpgrade: h2c\r\n"
             "Content-Length: 2\r\n\r\nok") },
  { "spoofed",
    KEYED ("GET", "/a") "Cy-Workspace: w2\r\nCy-Not-Run: 1\r\n"
                        "Cy-Outcome: ran\r\n" END,
    ANSWERS ("HTTP/1.1 200 OK\r\nCy-Outcome: not-run\r\nCy-Other: 1\r\n"
             "Content-Length: 2\r\n\r\nok") },
  { "open", HEAD ("GET", "/open/a") END, ANSWERS (NULL) },
  { "open-with-key", KEYED ("GET", "/open/a") END, ANSWERS (NULL) },
  { "echoed-key", KEYED ("GET", "/a") END,
    ANSWERS ("HTTP/1.1 302 Found\r\nLocation: /b?k=cyk_k1_0123456789abcdef\r\n"
             "X-Other: 1\r\nContent-Length: 0\r\n\r\n") },
  { "server-error", KEYED ("GET", "/a") END,
    ANSWERS ("HTTP/1.1 500 Internal Server Error\r\n"
             "Content-Length: 4\r\n\r\noops") },
  { "shed", KEYED ("POST", "/a") "Content-Length: 2\r\n" END "ab",
    ANSWERS ("HTTP/1.1 503 Service Unavailable\r\nCy-Not-Run: 1\r\n"
             "Content-Length: 0\r\n\r\n") },
  { "unavailable", KEYED ("POST", "/a") "Content-Length: 2\r\n" END "ab",
    ANSWERS ("HTTP/1.1 503 Service Unavailable\r\n"
             "Content-Length: 0\r\n\r\n") },
  { "cut-body", KEYED ("GET", "/a") END,
    ANSWERS ("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhello") },
  { "cut-chunks", KEYED ("GET", "/a") END,
    ANSWERS ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
             "5\r\nhello\r\n") },
  { "no-http", KEYED ("POST", "/a") "Content-Length: 2\r\n" END "ab",
    ANSWERS ("what?\r\n\r\n") },
  { "closed-after-read",
    KEYED ("POST", "/a") "Content-Length: 2\r\n" END "ab",
    { RAW_CLOSE, RAW_CLOSE, NULL } },
  { "no-key", HEAD ("GET", "/a") END, ANSWERS (NULL) },
  { "unknown-key",
    HEAD ("GET", "/a") "Authorization: Bearer cyk_k1_wrong\r\n" END,
    ANSWERS (NULL) },
  { "withdrawn-key",
    HEAD ("GET", "/a") "Authorization: Bearer " FIXTURE_WITHDRAWN "\r\n" END,
    ANSWERS (NULL) },
  { "expired-key",
    HEAD ("GET", "/a") "Authorization: Bearer " FIXTURE_EXPIRED "\r\n" END,
    ANSWERS (NULL) },
  { "key-in-query", KEYED ("GET", "/a?k=cyk%5fk1_0123456789abcdef") END,
    ANSWERS (NULL) },
  { "key-in-path", KEYED ("GET", "/cyk_k1_0123456789abcdef") END,
    ANSWERS (NULL) },
  { "key-in-cookie",
    KEYED ("GET", "/open") "Cookie: a=" FIXTURE_KEY "\r\n" END,
    ANSWERS (NULL) },
  { "two-keys", KEYED ("GET", "/a") "Authorization: Bearer x\r\n" END,
    ANSWERS (NULL) },
  { "length-and-chunked",
    KEYED ("POST",
           "/a") "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n" END
                 "0\r\n\r\nGET /s/billing/smuggled HTTP/1.1\r\n\r\n",
    ANSWERS (NULL) },
  { "two-hosts", KEYED ("GET", "/a") "Host: other\r\n" END, ANSWERS (NULL) },
  { "dot-segments", KEYED ("GET", "/open/%2e%2e/a") END, ANSWERS (NULL) },
  { "body-too-large",
    KEYED ("POST", "/a") "Content-Length: 200001\r\n"
                         "Expect: 100-continue\r\n" END,
    ANSWERS (NULL) },
  { "trace", KEYED ("TRACE", "/a") END, ANSWERS (NULL) },
  { "unknown-service",
    "GET /s/nothing/ HTTP/1.1\r\nHost: a\r\n"
    "Connection: close\r\n\r\n",
    ANSWERS (NULL) },
  { "not-found",
    "GET /nothing HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
    "\r\n",
    ANSWERS (NULL) },
};

/* ------------------------------------------------------------ transcript */

/* Replaces the parts that differ between runs.  */
static char *
normalise (const char *text, uint16_t port)
{
  static const struct
  {
    const char *pattern;
    const char *with;
  } rules[] = {
    { "Date: [^\r\n]*", "Date: DATE" },
    { "dur=[0-9.]+", "dur=MS" },
    { "Cy-Timeout-Ms: [0-9]+", "Cy-Timeout-Ms: MS" },
    { "Cy-Request-Id: [0-9a-f]{16}", "Cy-Request-Id: ID" },
  };
  char port_text[32];
  g_snprintf (port_text, sizeof port_text, "127.0.0.1:%u", port);
  char **parts = g_strsplit (text, port_text, -1);
  char *out = g_strjoinv ("BACKEND", parts);
  g_strfreev (parts);
  for (size_t i = 0; i < G_N_ELEMENTS (rules); i++)
    {
      GRegex *regex = g_regex_new (rules[i].pattern, 0, 0, NULL);
      char *next = g_regex_replace_literal (regex, out, -1, 0, rules[i].with,
                                            0, NULL);
      g_regex_unref (regex);
      g_free (out);
      out = next;
    }
  return out;
}

static void
add_lines (GString *out, const char *mark, const char *text)
{
  char **lines = g_strsplit (text, "\r\n", -1);
  for (char **line = lines; *line != NULL; line++)
    if ((*line)[0] != '\0' || line[1] != NULL)
      g_string_append_printf (out, "%s %s\n", mark, *line);
  g_strfreev (lines);
}

static char *
exchange (const char *request)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (fixture.port) };
  struct timeval timeout = { SESSION_READ_S, 0 };
  GString *answer = g_string_new (NULL);
  char buffer[4096];
  ssize_t got = 0;
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  inet_pton (AF_INET, "127.0.0.1", &address.sin_addr);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  ck_assert_int_eq (connect (fd, (struct sockaddr *)&address, sizeof address),
                    0);
  ck_assert_int_eq (send (fd, request, strlen (request), MSG_NOSIGNAL),
                    (ssize_t)strlen (request));
  while ((got = recv (fd, buffer, sizeof buffer, 0)) > 0)
    g_string_append_len (answer, buffer, got);
  g_string_append (answer, got == 0 ? "[closed]" : "[no end]");
  close (fd);
  return g_string_free (answer, FALSE);
}

static char *
transcript (const struct session *session)
{
  GString *out = g_string_new (NULL);
  struct raw_server *server = raw_server_start (session->script);
  fixture_prepare (false);
  fixture_add_backend ("b1", server->port, false);
  fixture_start ();
  char *answer = exchange (session->request);
  char *normal = normalise (answer, server->port);
  add_lines (out, "caller >", session->request);
  pthread_mutex_lock (&server->lock);
  char *seen = normalise (server->last, server->port);
  pthread_mutex_unlock (&server->lock);
  if (seen[0] != '\0')
    add_lines (out, "backend >", seen);
  g_string_append_printf (out, "backend got %d\n",
                          atomic_load (&server->requests));
  add_lines (out, "caller <", normal);
  g_free (answer);
  g_free (normal);
  g_free (seen);
  fixture_stop ();
  return g_string_free (out, FALSE);
}

/* An answer that ends with its connection is sent with a length if the end was
   received before the head is sent, else in chunks: NAME-streamed.txt.  */
static bool
is_streamed (const struct session *session, const char *got)
{
  char *path
      = g_strdup_printf (GOLDEN_FOLDER "/%s-streamed.txt", session->name);
  char *wanted = NULL;
  bool same = g_file_get_contents (path, &wanted, NULL, NULL)
              && strcmp (got, wanted) == 0;
  g_free (wanted);
  g_free (path);
  return same;
}

START_TEST (test_session)
{
  const struct session *session = &sessions[_i];
  char *path = g_strdup_printf (GOLDEN_FOLDER "/%s.txt", session->name);
  char *got = transcript (session);
  char *wanted = NULL;
  if (g_getenv ("CY_GOLDEN_WRITE") != NULL)
    ck_assert (g_file_set_contents (path, got, -1, NULL));
  ck_assert_msg (g_file_get_contents (path, &wanted, NULL, NULL), "no %s",
                 path);
  ck_assert_msg (strcmp (got, wanted) == 0 || is_streamed (session, got),
                 "%s differs; got:\n%s", session->name, got);
  ck_assert_ptr_null (strstr (got, "backend > Authorization"));
  g_free (wanted);
  g_free (got);
  g_free (path);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("golden");
  TCase *tcase = tcase_create ("golden");
  tcase_set_timeout (tcase, 30);
  tcase_add_loop_test (tcase, test_session, 0, G_N_ELEMENTS (sessions));
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}

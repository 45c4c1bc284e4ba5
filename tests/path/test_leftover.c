/* Guards against an answer whose status is not the server's: a backend server
   sends bytes after a whole answer, which end within a head, and the status
   line of the next answer on the persistent connection continues them.  */

#include "path_world.h"
#include "raw_server.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#define LEFTOVER_US 20000 /* between a leftover and what is sent next */
#define WAIT_MS     5000  /* bound of the waits for the server */
#define FIRST_BODY  "first"
#define SECOND_BODY "second"
#define OTHER_HEAD                                                            \
  "HTTP/1.1 200 OK\r\nCy-Request-Id: another\r\nContent-Length: 2\r\n\r\n"

enum when
{
  AT_REST,    /* before the next request */
  AFTER_NEXT, /* after the next request, before its answer */
  WHEN_COUNT
};

/* The first answer has status 200, the second one 500 in all rows.  */
static const struct leftover_row
{
  const char *name;
  const char *text; /* the bytes after the first answer */
} rows[] = {
  { "nothing", "" },
  { "within the version", "HTTP/" },
  { "within the status", "HTTP/1.1 2" },
  { "after the status", "HTTP/1.1 200" },
  { "within the reason", "HTTP/1.1 200 O" },
  { "after the reason", "HTTP/1.1 200 OK" },
  { "within the end of the status line", "HTTP/1.1 200 OK\r" },
  { "after the status line", "HTTP/1.1 200 OK\r\n" },
  { "within the name of a header", "HTTP/1.1 200 OK\r\nX-Sta" },
  { "within the value of a header", "HTTP/1.1 200 OK\r\nX-Stamp: 14.3b" },
  { "within a length", "HTTP/1.1 200 OK\r\nContent-Length: 2" },
  { "after a header", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" },
  { "before the body", OTHER_HEAD },
  { "a whole answer", OTHER_HEAD "ok" },
  { "an answer and the start of one", OTHER_HEAD "okHTTP/1.1 200 OK" },
  { "an interim answer", "HTTP/1.1 100 Continue\r\n\r\n" },
};

static const char *const methods[] = { "GET", "POST" };

/* ------------------------------------------------------------ the server */

static struct
{
  const struct leftover_row *row;
  enum when when;
  int fd;
  atomic_int connections;
  atomic_bool at_rest; /* the first answer and its leftover were sent */
} server;

static void
send_text (int fd, const char *text)
{
  if (text[0] != '\0')
    send (fd, text, strlen (text), MSG_NOSIGNAL);
}

static void
send_answer (int fd, const char *request, const char *status, const char *body)
{
  const char *id = strcasestr (request, "\r\nCy-Request-Id: ");
  size_t length = id == NULL ? 0 : strcspn (id + 2, "\r");
  char *text = g_strdup_printf (
      "HTTP/1.1 %s\r\n%.*s\r\nContent-Length: %zu\r\n\r\n%s", status,
      (int)length, id == NULL ? "" : id + 2, strlen (body), body);
  send_text (fd, text);
  g_free (text);
}

static void *
serve_connection (void *context)
{
  int fd = GPOINTER_TO_INT (context);
  int on = 1;
  char *request = g_malloc (RAW_REQUEST_MAX);
  bool leaves = false; /* a leftover is due */
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  while (raw_read (fd, request) > 0)
    if (strstr (request, "/first ") != NULL)
      {
        send_answer (fd, request, "200 OK", FIRST_BODY);
        g_usleep (LEFTOVER_US);
        leaves = server.when == AFTER_NEXT;
        if (server.when == AT_REST)
          send_text (fd, server.row->text);
        atomic_store (&server.at_rest, true);
      }
    else
      {
        if (leaves)
          {
            send_text (fd, server.row->text);
            g_usleep (LEFTOVER_US);
          }
        leaves = false;
        send_answer (fd, request, "500 Internal Server Error", SECOND_BODY);
      }
  close (fd);
  g_free (request);
  return NULL;
}

static void *
accept_connections (void *context)
{
  pthread_t thread;
  int fd;
  (void)context;
  while ((fd = accept (server.fd, NULL, NULL)) >= 0)
    {
      atomic_fetch_add (&server.connections, 1);
      if (pthread_create (&thread, NULL, serve_connection,
                          GINT_TO_POINTER (fd))
          == 0)
        pthread_detach (thread);
    }
  return NULL;
}

/* Returns the port.  */
static uint16_t
start_server (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t length = sizeof address;
  pthread_t thread;
  inet_pton (AF_INET, "127.0.0.1", &address.sin_addr);
  server.fd = socket (AF_INET, SOCK_STREAM, 0);
  if (bind (server.fd, (struct sockaddr *)&address, sizeof address) != 0
      || listen (server.fd, 16) != 0
      || getsockname (server.fd, (struct sockaddr *)&address, &length) != 0
      || pthread_create (&thread, NULL, accept_connections, NULL) != 0)
    abort ();
  return ntohs (address.sin_port);
}

/* ------------------------------------------------------------ the test */

static void
wait_until_at_rest (void)
{
  for (int i = 0; i < WAIT_MS && !atomic_load (&server.at_rest); i++)
    g_usleep (1000);
  ck_assert (atomic_load (&server.at_rest));
  g_usleep (LEFTOVER_US);
}

START_TEST (test_leftover)
{
  const char *method = methods[_i / WHEN_COUNT % G_N_ELEMENTS (methods)];
  const char *body = strcmp (method, "GET") == 0 ? NULL : "confirm";
  CURL *easy = curl_easy_init ();
  server.row = &rows[_i / WHEN_COUNT / (int)G_N_ELEMENTS (methods)];
  server.when = (enum when) (_i % WHEN_COUNT);
  fixture_prepare (false);
  fixture_add_backend ("b1", start_server (), false);
  fixture_start ();
  struct reply first
      = send_request (easy, "GET", "/first", FIXTURE_KEY, NULL, NULL);
  ck_assert_int_eq (first.status, 200);
  ck_assert_str_eq (first.body->str, FIRST_BODY);
  wait_until_at_rest ();
  struct reply second
      = send_request (easy, method, "/second", FIXTURE_KEY, body, NULL);
  bool own
      = second.status == 500 && strcmp (second.body->str, SECOND_BODY) == 0;
  bool refused
      = second.status >= 500 && strstr (second.body->str, "\"code\":") != NULL;
  ck_assert_msg (own || refused,
                 "%s, %s, %s: status %ld, body %s; the server answered 500",
                 method, server.row->name,
                 server.when == AT_REST ? "at rest" : "after the next request",
                 second.status, second.body->str);
  if (server.row->text[0] == '\0')
    ck_assert_int_eq (atomic_load (&server.connections), 1);
  reply_clear (&first);
  reply_clear (&second);
  curl_easy_cleanup (easy);
  fixture_stop ();
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("leftover");
  TCase *tcase = tcase_create ("leftover");
  tcase_set_timeout (tcase, 30);
  tcase_add_loop_test (
      tcase, test_leftover, 0,
      (int)(G_N_ELEMENTS (rows) * G_N_ELEMENTS (methods) * WHEN_COUNT));
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}

/* Connections: two processes with the same cluster and secret exchange
   messages.  Every other pair is rejected before a message is delivered.  */

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/cy_system.h"
#include "cy_test.h"
#include "net/cyn_conn.h"

#define SECRET          "0123456789abcdef0123"
#define TEST_TIMEOUT_MS 8000
#define PINGS_PER_SIDE  3

struct endpoint
{
  struct cyn_loop *loop;
  int open_count;
  int message_count;
  bool is_closed;
  cy_result close_reason;
  bool is_dialler;
};

static void
send_ping (struct cyn_conn *conn, uint64_t sequence)
{
  Cy__ProbePing ping = CY__PROBE_PING__INIT;
  ping.sequence = sequence;
  Cy__Envelope envelope = CY__ENVELOPE__INIT;
  envelope.body_case = CY__ENVELOPE__BODY_PING;
  envelope.ping = &ping;
  ck_assert_int_eq (cyn_conn_send (conn, &envelope), CY_OK);
}

static void
endpoint_on_open (struct cyn_conn *conn, void *context)
{
  struct endpoint *endpoint = context;
  endpoint->open_count++;
  if (endpoint->is_dialler)
    send_ping (conn, 1);
}

static void
endpoint_on_message (struct cyn_conn *conn, const Cy__Envelope *message,
                     void *context)
{
  struct endpoint *endpoint = context;
  endpoint->message_count++;
  ck_assert_int_eq (message->body_case, CY__ENVELOPE__BODY_PING);
  if (message->ping->sequence < 2 * PINGS_PER_SIDE)
    send_ping (conn, message->ping->sequence + 1);
  else
    cyn_conn_close (conn);
}

static void
endpoint_on_close (struct cyn_conn *conn, cy_result close_reason,
                   void *context)
{
  (void)conn;
  struct endpoint *endpoint = context;
  endpoint->is_closed = true;
  endpoint->close_reason = close_reason;
  if (endpoint->is_dialler)
    cyn_loop_stop (endpoint->loop);
}

static const struct cyn_handlers handlers
    = { endpoint_on_open, endpoint_on_message, endpoint_on_close };

static void
stop_on_timeout (void *context)
{
  cyn_loop_stop (context);
}

struct identity_case
{
  const char *cluster;
  const char *secret;
  bool is_accepted;
};

static const struct identity_case identity_cases[] = {
  { "c1", SECRET, true },
  { "c1", "another-secret-of-20", false },
  { "c2", SECRET, false },
};

START_TEST (test_identity)
{
  const struct identity_case *row = &identity_cases[_i];
  struct cyn_loop *loop = cyn_loop_create (cy_system_clock ());
  struct cyn_identity server = { "c1", SECRET, "test", "a", "z1", 1 };
  struct cyn_identity client
      = { row->cluster, row->secret, "test", "b", "z1", 2 };
  struct endpoint server_endpoint = { .loop = loop };
  struct endpoint client_endpoint = { .loop = loop, .is_dialler = true };
  struct cyn_listener *listener = NULL;
  ck_assert_int_eq (cyn_listener_create (loop, &server, "127.0.0.1", 0,
                                         &handlers, &server_endpoint,
                                         &listener),
                    CY_OK);
  ck_assert_ptr_nonnull (cyn_conn_dial (loop, &client, "127.0.0.1",
                                        cyn_listener_port (listener),
                                        &handlers, &client_endpoint));
  struct cyn_timer *timer = cyn_timer_create (loop, stop_on_timeout, loop);
  cyn_timer_start (timer, TEST_TIMEOUT_MS);
  cyn_loop_run (loop);
  ck_assert (client_endpoint.is_closed);
  ck_assert_int_eq (client_endpoint.open_count, row->is_accepted);
  ck_assert_int_eq (server_endpoint.message_count,
                    row->is_accepted ? PINGS_PER_SIDE : 0);
  cyn_timer_destroy (timer);
  cyn_listener_destroy (listener);
  cyn_loop_destroy (loop);
}
END_TEST

#define BACKLOG_FILLERS 8

/* A connect to a host that is down must fail after CYN_CONNECT_TIMEOUT_MS.  A
   listener whose backlog is full simulates such a host: it does not answer. */
START_TEST (test_host_down)
{
  struct cyn_loop *loop = cyn_loop_create (cy_system_clock ());
  struct cyn_identity client = { "c1", SECRET, "test", "b", "z1", 2 };
  struct endpoint endpoint = { .loop = loop, .is_dialler = true };
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t length = sizeof address;
  int fillers[BACKLOG_FILLERS];
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  ck_assert_int_eq (bind (fd, (struct sockaddr *)&address, length), 0);
  ck_assert_int_eq (listen (fd, 0), 0);
  getsockname (fd, (struct sockaddr *)&address, &length);
  for (int i = 0; i < BACKLOG_FILLERS; i++)
    {
      fillers[i]
          = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
      (void)connect (fillers[i], (struct sockaddr *)&address, length);
    }
  cy_time_ns started_at = cy_clock_now (cy_system_clock ());
  ck_assert_ptr_nonnull (cyn_conn_dial (loop, &client, "127.0.0.1",
                                        ntohs (address.sin_port), &handlers,
                                        &endpoint));
  struct cyn_timer *timer = cyn_timer_create (loop, stop_on_timeout, loop);
  cyn_timer_start (timer, TEST_TIMEOUT_MS);
  cyn_loop_run (loop);
  cy_time_ns elapsed = cy_clock_now (cy_system_clock ()) - started_at;
  ck_assert (endpoint.is_closed);
  ck_assert_int_eq (endpoint.close_reason, CY_E_TIMEOUT);
  ck_assert_int_lt (elapsed / CY_NS_PER_MS, 2 * CYN_CONNECT_TIMEOUT_MS);
  for (int i = 0; i < BACKLOG_FILLERS; i++)
    close (fillers[i]);
  close (fd);
  cyn_timer_destroy (timer);
  cyn_loop_destroy (loop);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("conn");
  TCase *tcase = tcase_create ("challenge");
  tcase_set_timeout (tcase, 30);
  tcase_add_loop_test (tcase, test_identity, 0, G_N_ELEMENTS (identity_cases));
  tcase_add_test (tcase, test_host_down);
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}

/* Guards against a connection with unread input that is taken for clean
   because another connection has the same local port: the kernel shares a port
   between connections to different servers.  */

#include <arpa/inet.h>
#include <check.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/cy_system.h"
#include "cy_test.h"
#include "http/cyh_client.h"
#include "net/cyn_loop.h"

#define CONNECTIONS 2

struct connection
{
  int listener;
  int fd;     /* this end */
  int server; /* the other end */
  struct cyh_ends ends;
};

/* Binds a socket to PORT of the loopback address, 0: any; stores the port.  */
static int
bind_socket (uint16_t *port)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (*port) };
  socklen_t length = sizeof address;
  int one = 1;
  inet_pton (AF_INET, "127.0.0.1", &address.sin_addr);
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  ck_assert_int_eq (bind (fd, (struct sockaddr *)&address, sizeof address), 0);
  ck_assert_int_eq (getsockname (fd, (struct sockaddr *)&address, &length), 0);
  *port = ntohs (address.sin_port);
  return fd;
}

static void
open_connection (struct connection *connection, uint16_t *local_port)
{
  uint16_t port = 0;
  struct sockaddr_in address = { .sin_family = AF_INET };
  connection->listener = bind_socket (&port);
  ck_assert_int_eq (listen (connection->listener, 1), 0);
  connection->fd = bind_socket (local_port);
  address.sin_port = htons (port);
  inet_pton (AF_INET, "127.0.0.1", &address.sin_addr);
  ck_assert_int_eq (
      connect (connection->fd, (struct sockaddr *)&address, sizeof address),
      0);
  connection->server = accept (connection->listener, NULL, NULL);
  ck_assert_int_ge (connection->server, 0);
  connection->ends
      = (struct cyh_ends){ "127.0.0.1", *local_port, "127.0.0.1", port };
}

START_TEST (test_shared_port)
{
  struct cyn_loop *loop = cyn_loop_create (cy_system_clock ());
  struct cyh_client_options options = { .loop = loop, .connections_max = 8 };
  struct cyh_client *client = cyh_client_create (&options);
  struct connection connections[CONNECTIONS];
  uint16_t local_port = 0;
  for (int i = 0; i < CONNECTIONS; i++)
    {
      open_connection (&connections[i], &local_port);
      cyh_client_add_socket (client, connections[i].fd, &connections[i].ends);
    }
  for (int i = 0; i < CONNECTIONS; i++)
    ck_assert (cyh_client_is_clean (client, &connections[i].ends));
  ck_assert_int_eq (send (connections[_i].server, "H", 1, 0), 1);
  for (int i = 0; i < CONNECTIONS; i++)
    ck_assert_int_eq (cyh_client_is_clean (client, &connections[i].ends),
                      i != _i);
  for (int i = 0; i < CONNECTIONS; i++)
    {
      close (connections[i].fd);
      close (connections[i].server);
      close (connections[i].listener);
    }
  cyh_client_destroy (client);
  cyn_loop_destroy (loop);
}
END_TEST

int
main (void)
{
  cyh_client_global ();
  Suite *suite = suite_create ("shared_port");
  TCase *tcase = tcase_create ("shared_port");
  tcase_add_loop_test (tcase, test_shared_port, 0, CONNECTIONS);
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}

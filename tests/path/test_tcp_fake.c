/* A TCP relay between an entry VM and a backend server, for proofs.

     test_tcp_fake LISTEN_PORT TARGET_PORT

   forwards every connection.  On SIGUSR1 it drops all further bytes of the
   open connections without closing them, like a middlebox that has lost their
   state; new connections work.  Without arguments it tests itself.  */

#include <arpa/inet.h>
#include <glib.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "cy_test.h"
#include "raw_server.h"

static atomic_int generation; /* connections of an older one are stalled */
static uint16_t target;

struct pipe_end
{
  int from;
  int to;
  int generation; /* value of the global at the start of the connection */
};

static void
stall_connections (int number)
{
  (void)number;
  atomic_fetch_add (&generation, 1);
}

/* Copies bytes in one direction until the end.  A stalled connection drops all
   bytes and is never closed.  */
static void *
copy (void *context)
{
  struct pipe_end *end = context;
  char buffer[16384];
  ssize_t got = 0;
  while ((got = recv (end->from, buffer, sizeof buffer, 0)) > 0)
    if (atomic_load (&generation) == end->generation)
      send (end->to, buffer, (size_t)got, MSG_NOSIGNAL);
  if (atomic_load (&generation) == end->generation)
    shutdown (end->to, SHUT_WR);
  g_free (end);
  return NULL;
}

static int
dial (uint16_t port)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (port) };
  inet_pton (AF_INET, "127.0.0.1", &address.sin_addr);
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) == 0)
    return fd;
  close (fd);
  return -1;
}

static void
start_copy (int from, int to)
{
  struct pipe_end *end = g_new0 (struct pipe_end, 1);
  pthread_t thread;
  end->from = from;
  end->to = to;
  end->generation = atomic_load (&generation);
  if (pthread_create (&thread, NULL, copy, end) == 0)
    pthread_detach (thread);
}

static void *
serve (void *context)
{
  int listener = GPOINTER_TO_INT (context);
  for (;;)
    {
      int caller = accept (listener, NULL, NULL);
      if (caller < 0)
        continue;
      int server = dial (target);
      if (server < 0)
        {
          close (caller);
          continue;
        }
      start_copy (caller, server);
      start_copy (server, caller);
    }
  return NULL;
}

static int
listen_on (uint16_t port, uint16_t *bound)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (port) };
  socklen_t length = sizeof address;
  int one = 1;
  inet_pton (AF_INET, "127.0.0.1", &address.sin_addr);
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (struct sockaddr *)&address, sizeof address) != 0
      || listen (fd, 128) != 0
      || getsockname (fd, (struct sockaddr *)&address, &length) != 0)
    {
      close (fd);
      return -1;
    }
  *bound = ntohs (address.sin_port);
  return fd;
}

/* ------------------------------------------------------------ test */

static bool
answers (int fd)
{
  char buffer[256];
  struct timeval timeout = { 0, 300000 };
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  send (fd, "GET / HTTP/1.1\r\n\r\n", 18, MSG_NOSIGNAL);
  return recv (fd, buffer, sizeof buffer, 0) > 0;
}

START_TEST (test_silence)
{
  struct raw_script script = { RAW_ANSWER, RAW_ANSWER, NULL };
  uint16_t port = 0;
  pthread_t thread;
  target = raw_server_start (script)->port;
  int listener = listen_on (0, &port);
  ck_assert_int_ge (listener, 0);
  ck_assert_int_eq (
      pthread_create (&thread, NULL, serve, GINT_TO_POINTER (listener)), 0);
  int old = dial (port);
  ck_assert (answers (old));
  stall_connections (SIGUSR1);
  ck_assert (!answers (old));
  int new_conn = dial (port);
  ck_assert (answers (new_conn));
  close (old);
  close (new_conn);
}
END_TEST

int
main (int argc, char **argv)
{
  signal (SIGUSR1, stall_connections);
  if (argc == 3)
    {
      uint16_t port = 0;
      target = (uint16_t)atoi (argv[2]);
      int listener = listen_on ((uint16_t)atoi (argv[1]), &port);
      if (listener < 0)
        return EXIT_FAILURE;
      printf ("READY port=%u\n", port);
      fflush (stdout);
      serve (GINT_TO_POINTER (listener));
    }
  Suite *suite = suite_create ("tcp_fake");
  TCase *tcase = tcase_create ("tcp_fake");
  tcase_add_test (tcase, test_silence);
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}

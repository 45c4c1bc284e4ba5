#include "http/cyh_server.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/cyu_log.h"

#define CYH_ROUNDS_MAX    32   /* rounds of the daemon per call */
#define CYH_IDLE_CHECK_MS 1000 /* ms between checks for idle connections */

struct cyh_server
{
  struct cyn_loop *loop;
  struct MHD_Daemon *daemon;
  struct cyn_watch *watch;
  struct cyn_timer *timer;
  void (*after_round) (void *context);
  void *context;
  bool running;   /* cyh_server_run is active */
  bool run_again; /* another round is needed */
};

/* ------------------------------------------------------------ listening */

static bool
fill_address (const char *host, uint16_t port,
              struct sockaddr_storage *address, socklen_t *length)
{
  struct sockaddr_in *v4 = (struct sockaddr_in *)address;
  struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)address;
  memset (address, 0, sizeof *address);
  if (inet_pton (AF_INET, host, &v4->sin_addr) == 1)
    {
      v4->sin_family = AF_INET;
      v4->sin_port = htons (port);
      *length = sizeof *v4;
      return true;
    }
  if (inet_pton (AF_INET6, host, &v6->sin6_addr) == 1)
    {
      v6->sin6_family = AF_INET6;
      v6->sin6_port = htons (port);
      *length = sizeof *v6;
      return true;
    }
  return false;
}

cy_result
cyh_listen (const char *host, uint16_t port, int *fd, uint16_t *bound)
{
  cy_result result = CY_E_ARGUMENT;
  struct sockaddr_storage address;
  socklen_t length = 0;
  int one = 1;
  int sock = -1;
  if (!fill_address (host, port, &address, &length))
    goto out;
  result = CY_E_IO;
  sock = socket (address.ss_family, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK,
                 0);
  if (sock < 0)
    goto out;
  setsockopt (sock, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (sock, (struct sockaddr *)&address, length) != 0
      || listen (sock, CYH_BACKLOG) != 0)
    goto out;
  length = sizeof address;
  if (getsockname (sock, (struct sockaddr *)&address, &length) != 0)
    goto out;
  *bound = ntohs (address.ss_family == AF_INET
                      ? ((struct sockaddr_in *)&address)->sin_port
                      : ((struct sockaddr_in6 *)&address)->sin6_port);
  *fd = sock;
  sock = -1;
  result = CY_OK;
out:
  if (sock >= 0)
    close (sock);
  return result;
}

/* ------------------------------------------------------------ daemon */

static void
arm_timer (struct cyh_server *server)
{
  MHD_UNSIGNED_LONG_LONG wait = CYH_IDLE_CHECK_MS;
  if (MHD_get_timeout (server->daemon, &wait) != MHD_YES
      || wait > CYH_IDLE_CHECK_MS)
    wait = CYH_IDLE_CHECK_MS;
  cyn_timer_start (server->timer, (int64_t)wait);
}

void
cyh_server_run (struct cyh_server *server)
{
  server->run_again = true;
  if (server->running)
    return;
  server->running = true;
  for (int i = 0; server->run_again && i < CYH_ROUNDS_MAX; i++)
    {
      MHD_UNSIGNED_LONG_LONG wait = 1;
      server->run_again = false;
      MHD_run (server->daemon);
      if (MHD_get_timeout (server->daemon, &wait) == MHD_YES && wait == 0)
        server->run_again = true;
    }
  server->running = false;
  if (server->run_again)
    cyn_timer_start (server->timer, 0);
  else
    arm_timer (server);
  if (server->after_round != NULL)
    server->after_round (server->context);
}

static void
on_daemon_ready (uint32_t events, void *context)
{
  (void)events;
  cyh_server_run (context);
}

static void
on_timer (void *context)
{
  cyh_server_run (context);
}

cy_result
cyh_server_create (const struct cyh_server_options *options,
                   struct cyh_server **out)
{
  cy_result result = CY_E_IO;
  const union MHD_DaemonInfo *info = NULL;
  struct cyh_server *server = g_new0 (struct cyh_server, 1);
  int fd = fcntl (options->listen_fd, F_DUPFD_CLOEXEC, 0);
  if (fd < 0)
    goto fail;
  server->loop = options->loop;
  server->after_round = options->after_round;
  server->context = options->context;
  server->daemon = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL,
      options->on_request, options->context, MHD_OPTION_LISTEN_SOCKET, fd,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, options->connection_memory,
      MHD_OPTION_CONNECTION_TIMEOUT, options->idle_timeout_s,
      MHD_OPTION_CONNECTION_LIMIT, options->connections_max,
      MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_URI_LOG_CALLBACK,
      options->on_uri, options->context, MHD_OPTION_NOTIFY_COMPLETED,
      options->on_completed, options->context, MHD_OPTION_NOTIFY_CONNECTION,
      options->on_connection, options->context, MHD_OPTION_END);
  if (server->daemon == NULL)
    goto fail;
  fd = -1;
  info = MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  if (info == NULL)
    goto fail;
  server->timer = cyn_timer_create (server->loop, on_timer, server);
  server->watch = cyn_watch_create (server->loop, info->listen_fd, EPOLLIN,
                                    on_daemon_ready, server);
  cyn_timer_start (server->timer, 0);
  *out = server;
  return CY_OK;
fail:
  if (fd >= 0)
    close (fd);
  if (server->daemon != NULL)
    MHD_stop_daemon (server->daemon);
  g_free (server);
  return result;
}

void
cyh_server_destroy (struct cyh_server *server)
{
  if (server == NULL)
    return;
  cyn_watch_destroy (server->watch);
  cyn_timer_destroy (server->timer);
  MHD_stop_daemon (server->daemon);
  g_free (server);
}

void
cyh_server_quiesce (struct cyh_server *server)
{
  cyh_server_run (server);
  MHD_socket fd = MHD_quiesce_daemon (server->daemon);
  if (fd != MHD_INVALID_SOCKET)
    close (fd);
}

unsigned
cyh_server_connections (const struct cyh_server *server)
{
  const union MHD_DaemonInfo *info = MHD_get_daemon_info (
      server->daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);
  return info == NULL ? 0 : info->num_connections;
}

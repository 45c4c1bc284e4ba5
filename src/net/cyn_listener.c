#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/cyn_address.h"
#include "net/cyn_conn.h"
#include "net/cyn_internal.h"

#define CYN_BACKLOG 512 /* connections waiting to be accepted */

struct cyn_listener
{
  struct cyn_loop *loop;
  const struct cyn_identity *identity;
  const struct cyn_handlers *handlers;
  void *context;
  int fd;
  uint16_t port;
  struct cyn_watch *watch;
};

static void
listener_on_ready (uint32_t events, void *context)
{
  (void)events;
  struct cyn_listener *listener = context;
  int fd = accept4 (listener->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd >= 0)
    cyn_conn_accept (listener->loop, listener->identity, listener->handlers,
                     listener->context, fd);
}

cy_result
cyn_listener_create (struct cyn_loop *loop,
                     const struct cyn_identity *identity, const char *host,
                     uint16_t port, const struct cyn_handlers *handlers,
                     void *context, struct cyn_listener **listener)
{
  cy_result result = CY_E_IO;
  struct sockaddr_storage address;
  socklen_t length = cyn_address_read (host, port, &address);
  if (length == 0)
    return CY_E_ARGUMENT;
  int enabled = 1;
  int fd = socket (address.ss_family,
                   SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    goto done;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  if (bind (fd, (struct sockaddr *)&address, length) != 0
      || listen (fd, CYN_BACKLOG) != 0)
    goto close_fd;
  length = sizeof address;
  if (getsockname (fd, (struct sockaddr *)&address, &length) != 0)
    goto close_fd;
  struct cyn_listener *created = g_new0 (struct cyn_listener, 1);
  created->loop = loop;
  created->identity = identity;
  created->handlers = handlers;
  created->context = context;
  created->fd = fd;
  created->port = ntohs (((struct sockaddr_in *)&address)->sin_port);
  created->watch
      = cyn_watch_create (loop, fd, EPOLLIN, listener_on_ready, created);
  *listener = created;
  result = CY_OK;
  goto done;

close_fd:
  close (fd);
done:
  return result;
}

uint16_t
cyn_listener_port (const struct cyn_listener *listener)
{
  return listener->port;
}

void
cyn_listener_destroy (struct cyn_listener *listener)
{
  if (listener == NULL)
    return;
  cyn_watch_destroy (listener->watch);
  close (listener->fd);
  g_free (listener);
}

#include "entry/cye_caller.h"

#include <glib.h>
#include <linux/sockios.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <stddef.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

struct caller
{
  uint64_t bytes; /* of the requests that have ended */
  bool exact;     /* BYTES are all that was read */
};

void
cye_caller_on_connection (void *context, struct MHD_Connection *connection,
                          void **socket_context,
                          enum MHD_ConnectionNotificationCode code)
{
  struct caller *caller = NULL;
  (void)context;
  (void)connection;
  switch (code)
    {
    case MHD_CONNECTION_NOTIFY_STARTED:
      caller = g_new0 (struct caller, 1);
      caller->exact = true;
      *socket_context = caller;
      break;
    case MHD_CONNECTION_NOTIFY_CLOSED:
      g_free (*socket_context);
      *socket_context = NULL;
      break;
    }
}

static struct caller *
find_caller (struct MHD_Connection *connection)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  return info == NULL ? NULL : info->socket_context;
}

uint64_t
cye_caller_head_bytes (struct MHD_Connection *connection)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
  return info == NULL ? 0 : info->header_size;
}

void
cye_caller_count (struct MHD_Connection *connection, uint64_t bytes,
                  bool exact)
{
  struct caller *caller = find_caller (connection);
  if (caller == NULL)
    return;
  caller->bytes += bytes;
  caller->exact = caller->exact && exact;
}

bool
cye_caller_sent_ahead (struct MHD_Connection *connection, uint64_t bytes,
                       bool exact)
{
  struct tcp_info tcp = { 0 };
  socklen_t length = sizeof tcp;
  int unread = 0;
  const struct caller *caller = find_caller (connection);
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  if (caller == NULL || info == NULL)
    return false;
  /* Read before UNREAD: what arrives between the two is found there.  */
  if (getsockopt (info->connect_fd, IPPROTO_TCP, TCP_INFO, &tcp, &length) != 0
      || length < offsetof (struct tcp_info, tcpi_bytes_received)
                      + sizeof tcp.tcpi_bytes_received)
    exact = false;
  if (ioctl (info->connect_fd, SIOCINQ, &unread) == 0 && unread > 0)
    return true;
  return exact && caller->exact
         && tcp.tcpi_bytes_received > caller->bytes + bytes;
}

/* HTTP server side: one libmicrohttpd daemon driven by an event loop, so that
   one worker thread serves callers and calls backend servers without passing a
   request to another thread.  Loop's thread, except cyh_listen.  */

#ifndef CYH_SERVER_H
#define CYH_SERVER_H

#include <microhttpd.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "cy_result.h"
#include "net/cyn_loop.h"

#define CYH_BACKLOG 1024 /* connections waiting to be accepted */

struct cyh_server;

struct cyh_server_options
{
  struct cyn_loop *loop;
  int listen_fd;            /* borrowed; several servers may share it */
  size_t connection_memory; /* bytes for one connection's headers */
  unsigned idle_timeout_s;  /* s without a byte read or written, after which a
                               connection is closed */
  unsigned connections_max;
  /* Callbacks of libmicrohttpd.  ON_URI receives the raw target and returns
     the pointer that the other callbacks receive for this request.  */
  void *(*on_uri) (void *context, const char *uri,
                   struct MHD_Connection *connection);
  MHD_AccessHandlerCallback on_request;
  MHD_RequestCompletedCallback on_completed;
  /* Called when a connection opens and closes.  May be NULL.  */
  MHD_NotifyConnectionCallback on_connection;
  /* Called after every round of the daemon.  May be NULL.  */
  void (*after_round) (void *context);
  void *context;
};

/* Opens a listening socket on the IP address HOST and PORT (0: any free port).
   Stores the port in *BOUND.  The caller closes *FD.  CY_E_ARGUMENT: HOST is
   no IP address; CY_E_IO.  */
cy_result cyh_listen (const char *host, uint16_t port, int *fd,
                      uint16_t *bound);

cy_result cyh_server_create (const struct cyh_server_options *options,
                             struct cyh_server **server);

/* Stops the daemon and frees SERVER.  All suspended connections must have been
   resumed before.  */
void cyh_server_destroy (struct cyh_server *server);

/* Runs the daemon; call this after resuming connections.  Called from one of
   the daemon's callbacks, it schedules another round after the callback
   returns.  */
void cyh_server_run (struct cyh_server *server);

/* Accepts the connections that wait, then stops accepting; the open ones
   continue.  */
void cyh_server_quiesce (struct cyh_server *server);

/* Count of open connections.  */
unsigned cyh_server_connections (const struct cyh_server *server);

#endif /* CYH_SERVER_H */

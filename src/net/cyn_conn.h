/* Connections between cyclamenhaven processes: TCP, framed protobuf messages,
   opened by a mutual challenge over the cluster's secret.  Everything runs in
   the thread of one loop; messages are handed on only after both sides have
   proved that they know the secret.  */

#ifndef CYN_CONN_H
#define CYN_CONN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "cy.pb-c.h"
#include "cy_result.h"
#include "net/cyn_loop.h"

#define CYN_CONNECT_TIMEOUT_MS   400         /* ms, two ways between regions */
#define CYN_HANDSHAKE_TIMEOUT_MS 2000        /* ms */
#define CYN_SEND_QUEUE_MAX       (32u << 20) /* bytes waiting to be sent */
#define CYN_IDLE_TIMEOUT_MS      10000       /* ms without a byte read */

/* Who this process is.  Strings must outlive every connection.  */
struct cyn_identity
{
  const char *cluster;  /* name of the cluster */
  const char *secret;   /* shared secret, at least 16 bytes */
  const char *role;     /* "control", "zone", "entry", "test" */
  const char *name;     /* VM or member */
  const char *zone;     /* availability zone */
  uint64_t incarnation; /* differs at every start of the process */
};

struct cyn_conn;
struct cyn_listener;

/* Callbacks of a connection, in the loop's thread.  ON_CLOSE is the last; the
   connection is freed after it returns.  */
struct cyn_handlers
{
  void (*on_open) (struct cyn_conn *conn, void *context);
  void (*on_message) (struct cyn_conn *conn, const Cy__Envelope *message,
                      void *context);
  void (*on_close) (struct cyn_conn *conn, cy_result reason, void *context);
};

/* Listens on HOST (an IP number) and PORT (0: any free one).  IDENTITY,
   HANDLERS and CONTEXT are borrowed until the listener and its connections
   are gone.  */
cy_result cyn_listener_create (struct cyn_loop *loop,
                               const struct cyn_identity *identity,
                               const char *host, uint16_t port,
                               const struct cyn_handlers *handlers,
                               void *context, struct cyn_listener **listener);
uint16_t cyn_listener_port (const struct cyn_listener *listener);
void cyn_listener_destroy (struct cyn_listener *listener);

/* Starts to connect.  Returns NULL only when HOST is no IP number or memory
   is out; every later failure comes through on_close.  */
struct cyn_conn *cyn_conn_dial (struct cyn_loop *loop,
                                const struct cyn_identity *identity,
                                const char *host, uint16_t port,
                                const struct cyn_handlers *handlers,
                                void *context);

/* Queues MESSAGE, which the caller keeps.  CY_E_FULL when the peer does not
   read: the connection is then closed.  */
cy_result cyn_conn_send (struct cyn_conn *conn, const Cy__Envelope *message);

/* Closes CONN; on_close follows from the loop, not from this call.  */
void cyn_conn_close (struct cyn_conn *conn);

/* What the peer said of itself, valid from on_open to on_close.  */
const Cy__Hello *cyn_conn_peer (const struct cyn_conn *conn);

bool cyn_conn_is_open (const struct cyn_conn *conn);

/* When bytes last came, of a whole message or not.  */
cy_time_ns cyn_conn_read_at (const struct cyn_conn *conn);

/* A pointer of the owner's on one connection.  */
void cyn_conn_set_data (struct cyn_conn *conn, void *data);
void *cyn_conn_data (const struct cyn_conn *conn);

#endif /* CYN_CONN_H */

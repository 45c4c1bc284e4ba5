/* Connections between cyclamenhaven processes: framed protobuf messages over
   TCP, with mutual authentication by the secret of the cluster.  All functions
   and callbacks run in the thread of one event loop.  Messages are delivered
   only after both sides have proved that they have the secret.  */

#ifndef CYN_CONN_H
#define CYN_CONN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "cy.pb-c.h"
#include "cy_result.h"
#include "net/cyn_loop.h"

#define CYN_CONNECT_TIMEOUT_MS   400         /* a round trip between regions */
#define CYN_HANDSHAKE_TIMEOUT_MS 2000        /* limit of the authentication */
#define CYN_SEND_QUEUE_MAX       (32u << 20) /* unsent bytes */
#define CYN_IDLE_TIMEOUT_MS      10000       /* time without a received byte */

/* Identity of this process.  The strings must outlive every connection.  */
struct cyn_identity
{
  const char *cluster;  /* name of the cluster */
  const char *secret;   /* shared secret, at least 16 bytes */
  const char *role;     /* "control", "zone", "entry", "test" */
  const char *name;     /* name of the VM, or member id */
  const char *zone;     /* availability zone */
  uint64_t incarnation; /* differs at every start of the process */
};

struct cyn_conn;
struct cyn_listener;

/* Callbacks of a connection, in the loop's thread.  on_close is the last one;
   the connection is freed after on_close returns.  */
struct cyn_handlers
{
  void (*on_open) (struct cyn_conn *conn, void *context);
  void (*on_message) (struct cyn_conn *conn, const Cy__Envelope *message,
                      void *context);
  void (*on_close) (struct cyn_conn *conn, cy_result reason, void *context);
};

/* Listens on HOST (a numeric address) and PORT (0: any free port).  IDENTITY,
   HANDLERS and CONTEXT are borrowed until the listener is destroyed and its
   connections are closed.  CY_E_ARGUMENT, CY_E_IO.  */
cy_result cyn_listener_create (struct cyn_loop *loop,
                               const struct cyn_identity *identity,
                               const char *host, uint16_t port,
                               const struct cyn_handlers *handlers,
                               void *context, struct cyn_listener **listener);
uint16_t cyn_listener_port (const struct cyn_listener *listener);
void cyn_listener_destroy (struct cyn_listener *listener);

/* Starts to connect.  Returns NULL when HOST is not a numeric address or no
   socket can be created; every later failure is reported by on_close.  */
struct cyn_conn *cyn_conn_dial (struct cyn_loop *loop,
                                const struct cyn_identity *identity,
                                const char *host, uint16_t port,
                                const struct cyn_handlers *handlers,
                                void *context);

/* Queues MESSAGE; the caller keeps ownership.  CY_E_FULL when more than
   CYN_SEND_QUEUE_MAX bytes are unsent because the peer does not read: the
   connection is then closed.  CY_E_CLOSED, CY_E_TOO_LARGE.  */
cy_result cyn_conn_send (struct cyn_conn *conn, const Cy__Envelope *message);

/* Closes CONN.  The loop calls on_close later, not during this call.  */
void cyn_conn_close (struct cyn_conn *conn);

/* The peer's hello message, valid from on_open to on_close; borrowed.  */
const Cy__Hello *cyn_conn_peer (const struct cyn_conn *conn);

bool cyn_conn_is_open (const struct cyn_conn *conn);

/* Time at which bytes were last received, of a complete message or not.  */
cy_time_ns cyn_conn_last_read_at (const struct cyn_conn *conn);

/* A pointer that the owner of CONN attaches to it; never dereferenced here. */
void cyn_conn_set_data (struct cyn_conn *conn, void *data);
void *cyn_conn_data (const struct cyn_conn *conn);

#endif /* CYN_CONN_H */

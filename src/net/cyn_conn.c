#include "net/cyn_conn.h"

#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/cyn_address.h"
#include "net/cyn_challenge.h"
#include "net/cyn_counters.h"
#include "net/cyn_frame.h"
#include "net/cyn_internal.h"

#define CYN_READ_CHUNK_BYTES 65536 /* most bytes of one recv */

enum conn_state
{
  CONN_CONNECTING,
  CONN_HELLO, /* the peer's hello is awaited */
  CONN_PROOF, /* the peer's proof is awaited */
  CONN_OPEN,
  CONN_CLOSING
};

struct cyn_conn
{
  struct cyn_loop *loop;
  const struct cyn_identity *identity;
  const struct cyn_handlers *handlers;
  void *context;
  void *owner_data;
  enum conn_state state;
  bool is_dialler; /* this side opened the connection */
  int fd;
  struct cyn_watch *watch;
  struct cyn_timer *timer; /* handshake or idle timeout, then closing */
  cy_time_ns last_read_at;
  cy_result close_reason;
  uint8_t nonce[CYN_NONCE_BYTES];
  Cy__Hello *peer_hello;
  GByteArray *read_buffer;
  GByteArray *write_buffer;
  size_t written_bytes; /* bytes of write_buffer already sent */
};

/* ------------------------------------------------------------ closing */

static void
conn_free (struct cyn_conn *conn)
{
  cyn_watch_destroy (conn->watch);
  cyn_timer_destroy (conn->timer);
  if (conn->fd >= 0)
    close (conn->fd);
  if (conn->peer_hello != NULL)
    cy__hello__free_unpacked (conn->peer_hello, NULL);
  g_byte_array_unref (conn->read_buffer);
  g_byte_array_unref (conn->write_buffer);
  g_free (conn);
}

static void
conn_start_close (struct cyn_conn *conn, cy_result reason)
{
  if (conn->state == CONN_CLOSING)
    return;
  cyn_count_refused (reason);
  conn->state = CONN_CLOSING;
  conn->close_reason = reason;
  cyn_watch_destroy (conn->watch);
  conn->watch = NULL;
  cyn_timer_start (conn->timer, 0);
}

static void
conn_on_timer (void *context)
{
  struct cyn_conn *conn = context;
  if (conn->state == CONN_CLOSING)
    {
      conn->handlers->on_close (conn, conn->close_reason, conn->context);
      conn_free (conn);
      return;
    }
  if (conn->state != CONN_OPEN)
    {
      conn_start_close (conn, CY_E_TIMEOUT);
      return;
    }
  cy_time_ns idle_time
      = cy_clock_now (cyn_loop_clock (conn->loop)) - conn->last_read_at;
  int64_t remaining_ms = CYN_IDLE_TIMEOUT_MS - idle_time / CY_NS_PER_MS;
  if (remaining_ms <= 0)
    conn_start_close (conn, CY_E_TIMEOUT);
  else
    cyn_timer_start (conn->timer, remaining_ms);
}

/* ------------------------------------------------------------ writing */

static void
conn_flush (struct cyn_conn *conn)
{
  while (conn->written_bytes < conn->write_buffer->len)
    {
      ssize_t count
          = send (conn->fd, conn->write_buffer->data + conn->written_bytes,
                  conn->write_buffer->len - conn->written_bytes, MSG_NOSIGNAL);
      if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
        break;
      if (count < 0)
        {
          conn_start_close (conn, CY_E_CLOSED);
          return;
        }
      conn->written_bytes += (size_t)count;
      cyn_count_written ((size_t)count);
    }
  if (conn->written_bytes == conn->write_buffer->len)
    {
      g_byte_array_set_size (conn->write_buffer, 0);
      conn->written_bytes = 0;
      cyn_watch_change (conn->watch, EPOLLIN);
    }
  else
    cyn_watch_change (conn->watch, EPOLLIN | EPOLLOUT);
}

static cy_result
conn_enqueue (struct cyn_conn *conn, const Cy__Envelope *message)
{
  if (conn->write_buffer->len - conn->written_bytes > CYN_SEND_QUEUE_MAX)
    {
      conn_start_close (conn, CY_E_FULL);
      return CY_E_FULL;
    }
  const Cy__Hello *peer = conn->peer_hello;
  bool other_zone
      = peer != NULL && strcmp (peer->zone, conn->identity->zone) != 0;
  guint before = conn->write_buffer->len;
  cy_result result
      = cyn_frame_write (conn->identity->cluster, message, conn->write_buffer);
  if (result != CY_OK)
    return result;
  cyn_count_frame_out (message, conn->write_buffer->len - before, other_zone);
  if (conn->state != CONN_CONNECTING)
    conn_flush (conn);
  return CY_OK;
}

/* ------------------------------------------------------------ handshake */

static void
send_hello (struct cyn_conn *conn)
{
  cyn_challenge_create_nonce (conn->nonce);
  const struct cyn_identity *self = conn->identity;
  Cy__Hello hello = CY__HELLO__INIT;
  hello.cluster = (char *)self->cluster;
  hello.role = (char *)self->role;
  hello.name = (char *)self->name;
  hello.zone = (char *)self->zone;
  hello.nonce.data = conn->nonce;
  hello.nonce.len = sizeof conn->nonce;
  hello.incarnation = self->incarnation;
  Cy__Envelope envelope = CY__ENVELOPE__INIT;
  envelope.body_case = CY__ENVELOPE__BODY_HELLO;
  envelope.hello = &hello;
  conn_enqueue (conn, &envelope);
}

static void
send_proof (struct cyn_conn *conn)
{
  uint8_t mac[CYN_PROOF_BYTES];
  cyn_challenge_create_proof (conn->identity->secret, conn->is_dialler,
                              conn->identity->name,
                              conn->peer_hello->nonce.data, conn->nonce, mac);
  Cy__Proof proof = CY__PROOF__INIT;
  proof.mac.data = mac;
  proof.mac.len = sizeof mac;
  Cy__Envelope envelope = CY__ENVELOPE__INIT;
  envelope.body_case = CY__ENVELOPE__BODY_PROOF;
  envelope.proof = &proof;
  conn_enqueue (conn, &envelope);
}

static void
handle_hello (struct cyn_conn *conn, Cy__Envelope *message)
{
  if (message->body_case != CY__ENVELOPE__BODY_HELLO)
    {
      conn_start_close (conn, CY_E_FRAME_UNEXPECTED);
      return;
    }
  const Cy__Hello *hello = message->hello;
  if (strcmp (hello->cluster, conn->identity->cluster) != 0)
    {
      conn_start_close (conn, CY_E_FRAME_CLUSTER);
      return;
    }
  if (hello->nonce.len != CYN_NONCE_BYTES)
    {
      conn_start_close (conn, CY_E_FRAME_MALFORMED);
      return;
    }
  conn->peer_hello = message->hello;
  message->hello = NULL;
  message->body_case = CY__ENVELOPE__BODY__NOT_SET;
  conn->state = CONN_PROOF;
  send_proof (conn);
}

static void
handle_proof (struct cyn_conn *conn, const Cy__Envelope *message)
{
  if (message->body_case != CY__ENVELOPE__BODY_PROOF)
    {
      conn_start_close (conn, CY_E_FRAME_UNEXPECTED);
      return;
    }
  uint8_t mac[CYN_PROOF_BYTES];
  cyn_challenge_create_proof (conn->identity->secret, !conn->is_dialler,
                              conn->peer_hello->name, conn->nonce,
                              conn->peer_hello->nonce.data, mac);
  if (message->proof->mac.len != sizeof mac
      || !cyn_challenge_equal (mac, message->proof->mac.data))
    {
      conn_start_close (conn, CY_E_FRAME_AUTH);
      return;
    }
  conn->state = CONN_OPEN;
  cyn_timer_start (conn->timer, CYN_IDLE_TIMEOUT_MS);
  conn->handlers->on_open (conn, conn->context);
}

/* ------------------------------------------------------------ reading */

static void
dispatch_message (struct cyn_conn *conn, Cy__Envelope *message)
{
  switch (conn->state)
    {
    case CONN_HELLO:
      handle_hello (conn, message);
      break;
    case CONN_PROOF:
      handle_proof (conn, message);
      break;
    case CONN_OPEN:
      conn->handlers->on_message (conn, message, conn->context);
      break;
    case CONN_CONNECTING:
    case CONN_CLOSING:
      break;
    }
}

static void
process_frames (struct cyn_conn *conn)
{
  size_t consumed_bytes = 0;
  while (conn->state != CONN_CLOSING
         && consumed_bytes < conn->read_buffer->len)
    {
      size_t frame_bytes = 0;
      Cy__Envelope *message = NULL;
      cy_result result = cyn_frame_read (
          conn->identity->cluster, conn->read_buffer->data + consumed_bytes,
          conn->read_buffer->len - consumed_bytes, &frame_bytes, &message);
      if (result == CY_E_AGAIN)
        break;
      if (result != CY_OK)
        {
          conn_start_close (conn, result);
          return;
        }
      consumed_bytes += frame_bytes;
      cyn_count_frame_in ();
      dispatch_message (conn, message);
      cy__envelope__free_unpacked (message, NULL);
    }
  if (consumed_bytes > 0)
    g_byte_array_remove_range (conn->read_buffer, 0, (guint)consumed_bytes);
}

static void
conn_read (struct cyn_conn *conn)
{
  guint old_length = conn->read_buffer->len;
  g_byte_array_set_size (conn->read_buffer, old_length + CYN_READ_CHUNK_BYTES);
  ssize_t count = recv (conn->fd, conn->read_buffer->data + old_length,
                        CYN_READ_CHUNK_BYTES, 0);
  int error = errno;
  g_byte_array_set_size (conn->read_buffer,
                         old_length + (guint)MAX (count, 0));
  if (count < 0 && (error == EAGAIN || error == EINTR))
    return;
  if (count <= 0)
    {
      conn_start_close (conn,
                        old_length > 0 ? CY_E_FRAME_TRUNCATED : CY_E_CLOSED);
      return;
    }
  conn->last_read_at = cy_clock_now (cyn_loop_clock (conn->loop));
  cyn_count_read ((size_t)count);
  process_frames (conn);
}

static void
conn_finish_connect (struct cyn_conn *conn)
{
  int error = 0;
  socklen_t length = sizeof error;
  getsockopt (conn->fd, SOL_SOCKET, SO_ERROR, &error, &length);
  if (error != 0)
    {
      conn_start_close (conn, CY_E_CLOSED);
      return;
    }
  conn->state = CONN_HELLO;
  cyn_timer_start (conn->timer, CYN_HANDSHAKE_TIMEOUT_MS);
  conn_flush (conn);
}

static void
conn_on_ready (uint32_t events, void *context)
{
  struct cyn_conn *conn = context;
  if (conn->state == CONN_CONNECTING)
    {
      conn_finish_connect (conn);
      return;
    }
  if (events & EPOLLOUT)
    conn_flush (conn);
  if (conn->state != CONN_CLOSING && (events & (EPOLLIN | EPOLLHUP)))
    conn_read (conn);
}

/* ------------------------------------------------------------ opening */

static struct cyn_conn *
conn_create (struct cyn_loop *loop, const struct cyn_identity *identity,
             const struct cyn_handlers *handlers, void *context, int fd,
             bool dialled)
{
  int enabled = 1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
  struct cyn_conn *conn = g_new0 (struct cyn_conn, 1);
  conn->loop = loop;
  conn->identity = identity;
  conn->handlers = handlers;
  conn->context = context;
  conn->fd = fd;
  conn->is_dialler = dialled;
  conn->state = dialled ? CONN_CONNECTING : CONN_HELLO;
  conn->read_buffer = g_byte_array_new ();
  conn->write_buffer = g_byte_array_new ();
  conn->last_read_at = cy_clock_now (cyn_loop_clock (loop));
  conn->timer = cyn_timer_create (loop, conn_on_timer, conn);
  /* A host that is down does not answer.  The kernel retries only after one
     second, which is long after a restarted host may be reachable again.  */
  cyn_timer_start (conn->timer, dialled ? CYN_CONNECT_TIMEOUT_MS
                                        : CYN_HANDSHAKE_TIMEOUT_MS);
  conn->watch = cyn_watch_create (loop, fd, dialled ? EPOLLOUT : EPOLLIN,
                                  conn_on_ready, conn);
  send_hello (conn);
  return conn;
}

struct cyn_conn *
cyn_conn_accept (struct cyn_loop *loop, const struct cyn_identity *identity,
                 const struct cyn_handlers *handlers, void *context, int fd)
{
  return conn_create (loop, identity, handlers, context, fd, false);
}

struct cyn_conn *
cyn_conn_dial (struct cyn_loop *loop, const struct cyn_identity *identity,
               const char *host, uint16_t port,
               const struct cyn_handlers *handlers, void *context)
{
  struct sockaddr_storage address;
  socklen_t length = cyn_address_read (host, port, &address);
  if (length == 0)
    return NULL;
  int fd = socket (address.ss_family,
                   SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return NULL;
  int status = connect (fd, (struct sockaddr *)&address, length);
  bool refused = status != 0 && errno != EINPROGRESS;
  struct cyn_conn *conn
      = conn_create (loop, identity, handlers, context, fd, true);
  if (refused)
    conn_start_close (conn, CY_E_CLOSED);
  return conn;
}

cy_result
cyn_conn_send (struct cyn_conn *conn, const Cy__Envelope *message)
{
  if (conn->state != CONN_OPEN)
    return CY_E_CLOSED;
  return conn_enqueue (conn, message);
}

void
cyn_conn_close (struct cyn_conn *conn)
{
  conn_start_close (conn, CY_E_CLOSED);
}

const Cy__Hello *
cyn_conn_peer (const struct cyn_conn *conn)
{
  return conn->peer_hello;
}

bool
cyn_conn_is_open (const struct cyn_conn *conn)
{
  return conn->state == CONN_OPEN;
}

cy_time_ns
cyn_conn_last_read_at (const struct cyn_conn *conn)
{
  return conn->last_read_at;
}

void
cyn_conn_set_data (struct cyn_conn *conn, void *data)
{
  conn->owner_data = data;
}

void *
cyn_conn_data (const struct cyn_conn *conn)
{
  return conn->owner_data;
}

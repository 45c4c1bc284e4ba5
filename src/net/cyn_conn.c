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

#define CYN_READ_CHUNK 65536 /* bytes read at once */

enum conn_state
{
  CONN_CONNECTING,
  CONN_HELLO, /* waits for the peer's hello */
  CONN_PROOF, /* waits for the peer's proof */
  CONN_OPEN,
  CONN_CLOSING
};

struct cyn_conn
{
  struct cyn_loop *loop;
  const struct cyn_identity *identity;
  const struct cyn_handlers *handlers;
  void *context;
  void *data;
  enum conn_state state;
  bool dialled; /* this side opened it; part of the proof */
  int fd;
  struct cyn_watch *watch;
  struct cyn_timer *timer; /* handshake, then silence, then closing */
  cy_time_ns last_read;
  cy_result reason;
  uint8_t nonce[CYN_NONCE_BYTES];
  Cy__Hello *peer;
  GByteArray *in;
  GByteArray *out;
  size_t out_sent; /* bytes of out already written */
};

/* ------------------------------------------------------------ closing */

static void
conn_free (struct cyn_conn *conn)
{
  cyn_watch_destroy (conn->watch);
  cyn_timer_destroy (conn->timer);
  if (conn->fd >= 0)
    close (conn->fd);
  if (conn->peer != NULL)
    cy__hello__free_unpacked (conn->peer, NULL);
  g_byte_array_unref (conn->in);
  g_byte_array_unref (conn->out);
  g_free (conn);
}

static void
conn_fail (struct cyn_conn *conn, cy_result reason)
{
  if (conn->state == CONN_CLOSING)
    return;
  cyn_count_refused (reason);
  conn->state = CONN_CLOSING;
  conn->reason = reason;
  cyn_watch_destroy (conn->watch);
  conn->watch = NULL;
  cyn_timer_start (conn->timer, 0);
}

static void
conn_timer (void *context)
{
  struct cyn_conn *conn = context;
  if (conn->state == CONN_CLOSING)
    {
      conn->handlers->on_close (conn, conn->reason, conn->context);
      conn_free (conn);
      return;
    }
  if (conn->state != CONN_OPEN)
    {
      conn_fail (conn, CY_E_TIMEOUT);
      return;
    }
  cy_time_ns silent
      = cy_clock_now (cyn_loop_clock (conn->loop)) - conn->last_read;
  int64_t left = CYN_IDLE_TIMEOUT_MS - silent / CY_NS_PER_MS;
  if (left <= 0)
    conn_fail (conn, CY_E_TIMEOUT);
  else
    cyn_timer_start (conn->timer, left);
}

/* ------------------------------------------------------------ writing */

static void
conn_flush (struct cyn_conn *conn)
{
  while (conn->out_sent < conn->out->len)
    {
      ssize_t count = send (conn->fd, conn->out->data + conn->out_sent,
                            conn->out->len - conn->out_sent, MSG_NOSIGNAL);
      if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
        break;
      if (count < 0)
        {
          conn_fail (conn, CY_E_CLOSED);
          return;
        }
      conn->out_sent += (size_t)count;
      cyn_count_written ((size_t)count);
    }
  if (conn->out_sent == conn->out->len)
    {
      g_byte_array_set_size (conn->out, 0);
      conn->out_sent = 0;
      cyn_watch_change (conn->watch, EPOLLIN);
    }
  else
    cyn_watch_change (conn->watch, EPOLLIN | EPOLLOUT);
}

static cy_result
conn_queue (struct cyn_conn *conn, const Cy__Envelope *message)
{
  if (conn->out->len - conn->out_sent > CYN_SEND_QUEUE_MAX)
    {
      conn_fail (conn, CY_E_FULL);
      return CY_E_FULL;
    }
  cy_result result
      = cyn_frame_write (conn->identity->cluster, message, conn->out);
  if (result != CY_OK)
    return result;
  cyn_count_frame_out ();
  if (conn->state != CONN_CONNECTING)
    conn_flush (conn);
  return CY_OK;
}

/* ------------------------------------------------------------ challenge */

static void
send_hello (struct cyn_conn *conn)
{
  cyn_challenge_nonce (conn->nonce);
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
  conn_queue (conn, &envelope);
}

static void
send_proof (struct cyn_conn *conn)
{
  uint8_t mac[CYN_PROOF_BYTES];
  cyn_challenge_proof (conn->identity->secret, conn->dialled,
                       conn->identity->name, conn->peer->nonce.data,
                       conn->nonce, mac);
  Cy__Proof proof = CY__PROOF__INIT;
  proof.mac.data = mac;
  proof.mac.len = sizeof mac;
  Cy__Envelope envelope = CY__ENVELOPE__INIT;
  envelope.body_case = CY__ENVELOPE__BODY_PROOF;
  envelope.proof = &proof;
  conn_queue (conn, &envelope);
}

static void
take_hello (struct cyn_conn *conn, Cy__Envelope *message)
{
  if (message->body_case != CY__ENVELOPE__BODY_HELLO)
    {
      conn_fail (conn, CY_E_FRAME_UNEXPECTED);
      return;
    }
  const Cy__Hello *hello = message->hello;
  if (strcmp (hello->cluster, conn->identity->cluster) != 0)
    {
      conn_fail (conn, CY_E_FRAME_CLUSTER);
      return;
    }
  if (hello->nonce.len != CYN_NONCE_BYTES)
    {
      conn_fail (conn, CY_E_FRAME_MALFORMED);
      return;
    }
  conn->peer = message->hello;
  message->hello = NULL;
  message->body_case = CY__ENVELOPE__BODY__NOT_SET;
  conn->state = CONN_PROOF;
  send_proof (conn);
}

static void
take_proof (struct cyn_conn *conn, const Cy__Envelope *message)
{
  if (message->body_case != CY__ENVELOPE__BODY_PROOF)
    {
      conn_fail (conn, CY_E_FRAME_UNEXPECTED);
      return;
    }
  uint8_t mac[CYN_PROOF_BYTES];
  cyn_challenge_proof (conn->identity->secret, !conn->dialled,
                       conn->peer->name, conn->nonce, conn->peer->nonce.data,
                       mac);
  if (message->proof->mac.len != sizeof mac
      || !cyn_challenge_equal (mac, message->proof->mac.data))
    {
      conn_fail (conn, CY_E_FRAME_AUTH);
      return;
    }
  conn->state = CONN_OPEN;
  cyn_timer_start (conn->timer, CYN_IDLE_TIMEOUT_MS);
  conn->handlers->on_open (conn, conn->context);
}

/* ------------------------------------------------------------ reading */

static void
take_message (struct cyn_conn *conn, Cy__Envelope *message)
{
  switch (conn->state)
    {
    case CONN_HELLO:
      take_hello (conn, message);
      break;
    case CONN_PROOF:
      take_proof (conn, message);
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
take_frames (struct cyn_conn *conn)
{
  size_t start = 0;
  while (conn->state != CONN_CLOSING && start < conn->in->len)
    {
      size_t used = 0;
      Cy__Envelope *message = NULL;
      cy_result result
          = cyn_frame_read (conn->identity->cluster, conn->in->data + start,
                            conn->in->len - start, &used, &message);
      if (result == CY_E_AGAIN)
        break;
      if (result != CY_OK)
        {
          conn_fail (conn, result);
          return;
        }
      start += used;
      cyn_count_frame_in ();
      take_message (conn, message);
      cy__envelope__free_unpacked (message, NULL);
    }
  if (start > 0)
    g_byte_array_remove_range (conn->in, 0, (guint)start);
}

static void
conn_read (struct cyn_conn *conn)
{
  guint before = conn->in->len;
  g_byte_array_set_size (conn->in, before + CYN_READ_CHUNK);
  ssize_t count = recv (conn->fd, conn->in->data + before, CYN_READ_CHUNK, 0);
  int error = errno;
  g_byte_array_set_size (conn->in, before + (guint)MAX (count, 0));
  if (count < 0 && (error == EAGAIN || error == EINTR))
    return;
  if (count <= 0)
    {
      conn_fail (conn, before > 0 ? CY_E_FRAME_TRUNCATED : CY_E_CLOSED);
      return;
    }
  conn->last_read = cy_clock_now (cyn_loop_clock (conn->loop));
  cyn_count_read ((size_t)count);
  take_frames (conn);
}

static void
conn_connected (struct cyn_conn *conn)
{
  int error = 0;
  socklen_t length = sizeof error;
  getsockopt (conn->fd, SOL_SOCKET, SO_ERROR, &error, &length);
  if (error != 0)
    {
      conn_fail (conn, CY_E_CLOSED);
      return;
    }
  conn->state = CONN_HELLO;
  cyn_timer_start (conn->timer, CYN_HANDSHAKE_TIMEOUT_MS);
  conn_flush (conn);
}

static void
conn_ready (uint32_t events, void *context)
{
  struct cyn_conn *conn = context;
  if (conn->state == CONN_CONNECTING)
    {
      conn_connected (conn);
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
  int one = 1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  struct cyn_conn *conn = g_new0 (struct cyn_conn, 1);
  conn->loop = loop;
  conn->identity = identity;
  conn->handlers = handlers;
  conn->context = context;
  conn->fd = fd;
  conn->dialled = dialled;
  conn->state = dialled ? CONN_CONNECTING : CONN_HELLO;
  conn->in = g_byte_array_new ();
  conn->out = g_byte_array_new ();
  conn->last_read = cy_clock_now (cyn_loop_clock (loop));
  conn->timer = cyn_timer_create (loop, conn_timer, conn);
  /* A host that is down sends nothing; the kernel's own first retry takes a
     second, by which it may long be back.  */
  cyn_timer_start (conn->timer, dialled ? CYN_CONNECT_TIMEOUT_MS
                                        : CYN_HANDSHAKE_TIMEOUT_MS);
  conn->watch = cyn_watch_create (loop, fd, dialled ? EPOLLOUT : EPOLLIN,
                                  conn_ready, conn);
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
    conn_fail (conn, CY_E_CLOSED);
  return conn;
}

cy_result
cyn_conn_send (struct cyn_conn *conn, const Cy__Envelope *message)
{
  if (conn->state != CONN_OPEN)
    return CY_E_CLOSED;
  return conn_queue (conn, message);
}

void
cyn_conn_close (struct cyn_conn *conn)
{
  conn_fail (conn, CY_E_CLOSED);
}

const Cy__Hello *
cyn_conn_peer (const struct cyn_conn *conn)
{
  return conn->peer;
}

bool
cyn_conn_is_open (const struct cyn_conn *conn)
{
  return conn->state == CONN_OPEN;
}

cy_time_ns
cyn_conn_read_at (const struct cyn_conn *conn)
{
  return conn->last_read;
}

void
cyn_conn_set_data (struct cyn_conn *conn, void *data)
{
  conn->data = data;
}

void *
cyn_conn_data (const struct cyn_conn *conn)
{
  return conn->data;
}

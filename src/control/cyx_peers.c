#include "control/cyx_peers.h"

#include <glib.h>

#define RENEWAL_AGE_MS    6000 /* age of CONN, below CYN_IDLE_TIMEOUT_MS */
#define ANSWER_TIMEOUT_MS 1500 /* without an acknowledgement from the peer */
#define BACKOFF_MIN_MS    100  /* doubled after each failure */
#define BACKOFF_MAX_MS    300
#define CHECK_INTERVAL_MS 500 /* between two checks of a connection */

struct peer
{
  struct cyx_peers *peers;
  uint64_t id;
  char *host;
  uint16_t port;
  struct cyn_conn *conn;         /* open connection for sending, or NULL */
  struct cyn_conn *pending_conn; /* connection being opened, or NULL */
  struct cyn_timer *timer;
  int64_t backoff_ms;   /* delay before the next attempt to dial */
  cy_time_ns opened_at; /* time at which CONN was opened */
  uint64_t last_sent;   /* number of the newest message sent to the peer */
  uint64_t last_acknowledged;  /* newest number that the peer acknowledged */
  uint64_t last_received;      /* number of the newest message from the peer */
  uint64_t awaited;            /* number of the message to be acknowledged */
  cy_time_ns unanswered_since; /* time of sending AWAITED, 0: no wait */
};

struct cyx_peers
{
  struct cyn_loop *loop;
  const struct cyn_identity *identity;
  GHashTable *table; /* &peer->id to struct peer */
};

static cy_time_ns
now_of (const struct peer *peer)
{
  return cy_clock_now (cyn_loop_clock (peer->peers->loop));
}

/* ------------------------------------------------------------ callbacks */

/* The connection's data is the peer, or NULL when the peer no longer uses the
   connection.  */
static void
peer_opened (struct cyn_conn *conn, void *context)
{
  (void)context;
  struct peer *peer = cyn_conn_data (conn);
  if (peer == NULL)
    return;
  if (peer->conn != NULL)
    {
      cyn_conn_set_data (peer->conn, NULL);
      cyn_conn_close (peer->conn);
    }
  peer->conn = conn;
  peer->pending_conn = NULL;
  peer->opened_at = now_of (peer);
  peer->unanswered_since = 0;
  peer->backoff_ms = BACKOFF_MIN_MS;
  cyn_timer_start (peer->timer, CHECK_INTERVAL_MS);
}

static void
peer_message (struct cyn_conn *conn, const Cy__Envelope *message,
              void *context)
{
  (void)conn;
  (void)message;
  (void)context;
}

static void
peer_closed (struct cyn_conn *conn, cy_result reason, void *context)
{
  (void)reason;
  (void)context;
  struct peer *peer = cyn_conn_data (conn);
  if (peer == NULL)
    return;
  if (peer->conn == conn)
    peer->conn = NULL;
  if (peer->pending_conn == conn)
    {
      peer->pending_conn = NULL;
      cyn_timer_start (peer->timer, peer->backoff_ms);
      peer->backoff_ms = MIN (2 * peer->backoff_ms, BACKOFF_MAX_MS);
    }
  else if (peer->pending_conn == NULL)
    cyn_timer_start (peer->timer, 0);
}

static const struct cyn_handlers peer_handlers
    = { peer_opened, peer_message, peer_closed };

static void
dial (struct peer *peer)
{
  if (peer->pending_conn != NULL)
    return;
  peer->pending_conn
      = cyn_conn_dial (peer->peers->loop, peer->peers->identity, peer->host,
                       peer->port, &peer_handlers, NULL);
  if (peer->pending_conn != NULL)
    cyn_conn_set_data (peer->pending_conn, peer);
  else
    cyn_timer_start (peer->timer, BACKOFF_MAX_MS);
}

static void
check_connection (void *context)
{
  struct peer *peer = context;
  cy_time_ns now = now_of (peer);
  bool unresponsive
      = peer->unanswered_since != 0
        && now - peer->unanswered_since > ANSWER_TIMEOUT_MS * CY_NS_PER_MS;
  bool expired = now - peer->opened_at > RENEWAL_AGE_MS * CY_NS_PER_MS;
  if (peer->conn == NULL || unresponsive || expired)
    dial (peer);
  else
    cyn_timer_start (peer->timer, CHECK_INTERVAL_MS);
}

/* ------------------------------------------------------------ peers */

static void
close_detached (struct cyn_conn *conn)
{
  if (conn == NULL)
    return;
  cyn_conn_set_data (conn, NULL);
  cyn_conn_close (conn);
}

static void
peer_destroy (void *context)
{
  struct peer *peer = context;
  close_detached (peer->conn);
  close_detached (peer->pending_conn);
  cyn_timer_destroy (peer->timer);
  g_free (peer->host);
  g_free (peer);
}

struct cyx_peers *
cyx_peers_create (struct cyn_loop *loop, const struct cyn_identity *identity)
{
  struct cyx_peers *peers = g_new0 (struct cyx_peers, 1);
  peers->loop = loop;
  peers->identity = identity;
  peers->table = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                        peer_destroy);
  return peers;
}

void
cyx_peers_destroy (struct cyx_peers *peers)
{
  if (peers == NULL)
    return;
  g_hash_table_destroy (peers->table);
  g_free (peers);
}

void
cyx_peers_set_address (struct cyx_peers *peers, uint64_t id, const char *host,
                       uint16_t port)
{
  struct peer *peer = g_hash_table_lookup (peers->table, &id);
  if (host == NULL || host[0] == '\0' || port == 0)
    return;
  if (peer != NULL && peer->port == port && g_str_equal (peer->host, host))
    return;
  peer = g_new0 (struct peer, 1);
  peer->peers = peers;
  peer->id = id;
  peer->host = g_strdup (host);
  peer->port = port;
  peer->backoff_ms = BACKOFF_MIN_MS;
  peer->timer = cyn_timer_create (peers->loop, check_connection, peer);
  g_hash_table_replace (peers->table, &peer->id, peer);
  dial (peer);
}

void
cyx_peers_remove (struct cyx_peers *peers, uint64_t id)
{
  g_hash_table_remove (peers->table, &id);
}

void
cyx_peers_receive (struct cyx_peers *peers, const Cy__RaftMessage *message)
{
  struct peer *peer = g_hash_table_lookup (peers->table, &message->from);
  if (peer == NULL)
    return;
  bool peer_restarted = message->heard < peer->last_acknowledged;
  peer->last_acknowledged = message->heard;
  peer->last_received = message->sequence;
  if (peer->unanswered_since != 0 && message->heard >= peer->awaited)
    peer->unanswered_since = 0;
  if (peer->conn == NULL || peer_restarted)
    dial (peer);
}

void
cyx_peers_send (struct cyx_peers *peers, Cy__RaftMessage *message)
{
  struct peer *peer = g_hash_table_lookup (peers->table, &message->to);
  if (peer == NULL || peer->conn == NULL)
    return;
  Cy__Envelope envelope = CY__ENVELOPE__INIT;
  envelope.body_case = CY__ENVELOPE__BODY_RAFT;
  envelope.raft = message;
  message->sequence = ++peer->last_sent;
  message->heard = peer->last_received;
  if (peer->unanswered_since == 0)
    {
      peer->unanswered_since = now_of (peer);
      peer->awaited = message->sequence;
    }
  cyn_conn_send (peer->conn, &envelope);
}

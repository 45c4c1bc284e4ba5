#include "http/cyh_client.h"

#include <errno.h>
#include <glib.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#define CYH_SPARE_HANDLES_MAX 256 /* easy handles stored for reuse */

struct cyh_client
{
  struct cyn_loop *loop;
  CURLM *multi;
  struct cyn_timer *timer;
  cyh_done_fn on_done;
  void (*after_round) (void *context);
  void *context;
  GPtrArray *spare_handles; /* CURL, owned */
  GHashTable *sockets;      /* names of both ends to the socket */
  GHashTable *socket_names; /* socket to the names of its ends */
};

void
cyh_client_global (void)
{
  curl_global_init (CURL_GLOBAL_DEFAULT);
}

/* ------------------------------------------------------------ rounds */

static void
report_ended (struct cyh_client *client)
{
  int left = 0;
  const CURLMsg *message = NULL;
  while ((message = curl_multi_info_read (client->multi, &left)) != NULL)
    if (message->msg == CURLMSG_DONE)
      {
        CURL *easy = message->easy_handle;
        CURLcode code = message->data.result;
        curl_multi_remove_handle (client->multi, easy);
        client->on_done (easy, code, client->context);
      }
  if (client->after_round != NULL)
    client->after_round (client->context);
}

struct cyh_socket
{
  struct cyh_client *client;
  struct cyn_watch *watch;
  curl_socket_t fd;
};

static void
on_socket (uint32_t events, void *context)
{
  struct cyh_socket *socket = context;
  struct cyh_client *client = socket->client;
  int mask = 0;
  int running = 0;
  if (events & (EPOLLIN | EPOLLHUP | EPOLLERR))
    mask |= CURL_CSELECT_IN;
  if (events & EPOLLOUT)
    mask |= CURL_CSELECT_OUT;
  if (events & EPOLLERR)
    mask |= CURL_CSELECT_ERR;
  curl_multi_socket_action (client->multi, socket->fd, mask, &running);
  report_ended (client);
}

static uint32_t
epoll_events (int what)
{
  switch (what)
    {
    case CURL_POLL_IN:
      return EPOLLIN;
    case CURL_POLL_OUT:
      return EPOLLOUT;
    case CURL_POLL_INOUT:
      return EPOLLIN | EPOLLOUT;
    }
  return 0;
}

static int
socket_changed (CURL *easy, curl_socket_t fd, int what, void *context,
                void *socket_context)
{
  (void)easy;
  struct cyh_client *client = context;
  struct cyh_socket *socket = socket_context;
  if (what == CURL_POLL_REMOVE)
    {
      if (socket != NULL)
        {
          cyn_watch_destroy (socket->watch);
          g_free (socket);
          curl_multi_assign (client->multi, fd, NULL);
        }
    }
  else if (socket == NULL)
    {
      socket = g_new0 (struct cyh_socket, 1);
      socket->client = client;
      socket->fd = fd;
      socket->watch = cyn_watch_create (client->loop, fd, epoll_events (what),
                                        on_socket, socket);
      curl_multi_assign (client->multi, fd, socket);
    }
  else
    cyn_watch_change (socket->watch, epoll_events (what));
  return 0;
}

static int
timer_changed (CURLM *multi, long timeout_ms, void *context)
{
  (void)multi;
  struct cyh_client *client = context;
  if (timeout_ms < 0)
    cyn_timer_stop (client->timer);
  else
    cyn_timer_start (client->timer, timeout_ms);
  return 0;
}

static void
on_timer (void *context)
{
  struct cyh_client *client = context;
  int running = 0;
  curl_multi_socket_action (client->multi, CURL_SOCKET_TIMEOUT, 0, &running);
  report_ended (client);
}

/* ------------------------------------------------------------ sockets */

static char *
print_ends (const struct cyh_ends *ends)
{
  return g_strdup_printf ("%s %d %s %d", ends->local_host, ends->local_port,
                          ends->remote_host, ends->remote_port);
}

/* Removes FD from the table: its number may be used again.  */
static void
remove_socket (struct cyh_client *client, curl_socket_t fd)
{
  const char *name
      = g_hash_table_lookup (client->socket_names, GINT_TO_POINTER (fd));
  if (name == NULL)
    return;
  if (GPOINTER_TO_INT (g_hash_table_lookup (client->sockets, name)) == fd)
    g_hash_table_remove (client->sockets, name);
  g_hash_table_remove (client->socket_names, GINT_TO_POINTER (fd));
}

static int
close_socket (void *context, curl_socket_t fd)
{
  remove_socket (context, fd);
  return close (fd);
}

void
cyh_client_add_socket (struct cyh_client *client, curl_socket_t fd,
                       const struct cyh_ends *ends)
{
  char *name = print_ends (ends);
  remove_socket (client, fd);
  g_hash_table_replace (client->sockets, g_strdup (name),
                        GINT_TO_POINTER (fd));
  g_hash_table_replace (client->socket_names, GINT_TO_POINTER (fd), name);
}

void
cyh_client_track (struct cyh_client *client, CURL *easy)
{
  curl_easy_setopt (easy, CURLOPT_CLOSESOCKETFUNCTION, close_socket);
  curl_easy_setopt (easy, CURLOPT_CLOSESOCKETDATA, client);
}

bool
cyh_client_is_clean (const struct cyh_client *client,
                     const struct cyh_ends *ends)
{
  char *name = print_ends (ends);
  gpointer fd;
  bool known = g_hash_table_lookup_extended (client->sockets, name, NULL, &fd);
  char byte;
  g_free (name);
  return known
         && recv (GPOINTER_TO_INT (fd), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0
         && (errno == EAGAIN || errno == EWOULDBLOCK);
}

/* ------------------------------------------------------------ public */

struct cyh_client *
cyh_client_create (const struct cyh_client_options *options)
{
  struct cyh_client *client = g_new0 (struct cyh_client, 1);
  client->loop = options->loop;
  client->on_done = options->on_done;
  client->after_round = options->after_round;
  client->context = options->context;
  client->spare_handles = g_ptr_array_new ();
  client->sockets
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  client->socket_names
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  client->timer = cyn_timer_create (options->loop, on_timer, client);
  client->multi = curl_multi_init ();
  if (client->multi == NULL)
    g_error ("curl_multi_init failed");
  curl_multi_setopt (client->multi, CURLMOPT_SOCKETFUNCTION, socket_changed);
  curl_multi_setopt (client->multi, CURLMOPT_SOCKETDATA, client);
  curl_multi_setopt (client->multi, CURLMOPT_TIMERFUNCTION, timer_changed);
  curl_multi_setopt (client->multi, CURLMOPT_TIMERDATA, client);
  curl_multi_setopt (client->multi, CURLMOPT_MAXCONNECTS,
                     options->connections_max);
  curl_multi_setopt (client->multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
  return client;
}

void
cyh_client_destroy (struct cyh_client *client)
{
  if (client == NULL)
    return;
  for (guint i = 0; i < client->spare_handles->len; i++)
    curl_easy_cleanup (g_ptr_array_index (client->spare_handles, i));
  g_ptr_array_free (client->spare_handles, TRUE);
  curl_multi_cleanup (client->multi);
  g_hash_table_destroy (client->sockets);
  g_hash_table_destroy (client->socket_names);
  cyn_timer_destroy (client->timer);
  g_free (client);
}

void
cyh_client_add (struct cyh_client *client, CURL *easy)
{
  curl_multi_add_handle (client->multi, easy);
}

void
cyh_client_remove (struct cyh_client *client, CURL *easy)
{
  curl_multi_remove_handle (client->multi, easy);
}

CURL *
cyh_client_acquire (struct cyh_client *client)
{
  if (client->spare_handles->len > 0)
    return g_ptr_array_steal_index_fast (client->spare_handles,
                                         client->spare_handles->len - 1);
  CURL *easy = curl_easy_init ();
  if (easy == NULL)
    g_error ("curl_easy_init failed");
  return easy;
}

void
cyh_client_release (struct cyh_client *client, CURL *easy)
{
  if (client->spare_handles->len >= CYH_SPARE_HANDLES_MAX)
    {
      curl_easy_cleanup (easy);
      return;
    }
  curl_easy_reset (easy);
  g_ptr_array_add (client->spare_handles, easy);
}

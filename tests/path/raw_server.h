/* A backend server on raw sockets for tests: one thread per connection, which
   answers each request as the script defines.  */

#ifndef RAW_SERVER_H
#define RAW_SERVER_H

#include <arpa/inet.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#define RAW_REQUEST_MAX 65536  /* bytes */
#define RAW_LATE_US     900000 /* delay of RAW_LATE */
#define RAW_RESET_US    2000   /* in which the text of a reset arrives */
#define RAW_PIECE_US    20000  /* between two pieces of an answer */
#define RAW_OK          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

/* Action on a request.  */
enum raw_act
{
  RAW_ANSWER,           /* sends the script's text */
  RAW_ANSWER_AND_CLOSE, /* sends the script's text and closes the connection */
  RAW_ANSWER_AND_RESET, /* sends the script's text, waits RAW_RESET_US and
                           resets the connection */
  RAW_CLOSE,            /* reads the request and closes the connection */
  RAW_RESET,            /* reads the request and resets the connection */
  RAW_LATE,             /* sends the script's text after RAW_LATE_US */
  RAW_SILENT,           /* reads the request and never answers */
  RAW_MORE,             /* sends the server's field MORE */
  RAW_MORE_AND_ANSWER,  /* sends MORE, the script's text after RAW_PIECE_US */
  RAW_OK_AND_MORE,      /* the server's first request: sends RAW_OK, and MORE
                           after RAW_PIECE_US; others: the script's text */
  RAW_ENDLESS /* sends the script's text, then MORE repeatedly until the
                 connection closes */
};

struct raw_script
{
  enum raw_act first;  /* for the first request of a connection */
  enum raw_act others; /* for the following requests of a connection */
  const char *text;    /* answer, NULL: RAW_OK */
};

struct raw_server
{
  int fd;
  uint16_t port;
  pthread_t thread;
  struct raw_script script;
  const char *more; /* second text; set before the first request */
  /* Answer to a probe of /health, NULL: RAW_OK; set before the first one.  */
  const char *health;
  atomic_int lost;     /* the first so many connections are never answered */
  atomic_int requests; /* complete requests, except of /health */
  atomic_int connections; /* with a request other than of /health */
  atomic_int closed;      /* part of CONNECTIONS that the other side closed */
  atomic_int pieces;      /* MORE was sent so often after RAW_OK */
  atomic_long bytes;      /* bytes sent by RAW_ENDLESS */
  pthread_mutex_t lock;
  char last[RAW_REQUEST_MAX]; /* the newest request */
};

struct raw_conn
{
  struct raw_server *server;
  int fd;
};

static inline size_t
raw_body_length (const char *head)
{
  const char *found = strcasestr (head, "\r\nContent-Length:");
  return found == NULL ? 0 : strtoul (found + 17, NULL, 10);
}

/* Reads one request; returns its length, 0 at the end of the connection.  */
static inline size_t
raw_read (int fd, char *buffer)
{
  size_t length = 0;
  for (;;)
    {
      ssize_t got
          = recv (fd, buffer + length, RAW_REQUEST_MAX - 1 - length, 0);
      if (got <= 0)
        return 0;
      length += (size_t)got;
      buffer[length] = '\0';
      const char *end = strstr (buffer, "\r\n\r\n");
      if (end == NULL)
        continue;
      bool chunked = strcasestr (buffer, "\r\nTransfer-Encoding: chunked");
      if (chunked ? strstr (end, "\r\n0\r\n\r\n") != NULL
                  : length >= (size_t)(end + 4 - buffer)
                                  + raw_body_length (buffer))
        return length;
    }
}

static inline void
raw_send_endless (struct raw_conn *conn, const char *text)
{
  struct raw_server *server = conn->server;
  const char *more = server->more;
  while (send (conn->fd, text, strlen (text), MSG_NOSIGNAL) > 0)
    {
      atomic_fetch_add (&server->bytes, (long)strlen (text));
      text = more;
    }
  atomic_fetch_add (&server->closed, 1);
}

static inline bool
raw_act_on (struct raw_conn *conn, enum raw_act act)
{
  const char *text
      = conn->server->script.text ? conn->server->script.text : RAW_OK;
  struct linger linger = { 1, 0 };
  switch (act)
    {
    case RAW_LATE:
      usleep (RAW_LATE_US); /* duration of the work */
      return send (conn->fd, text, strlen (text), MSG_NOSIGNAL) > 0;
    case RAW_ANSWER:
      return send (conn->fd, text, strlen (text), MSG_NOSIGNAL) > 0;
    case RAW_ANSWER_AND_CLOSE:
      send (conn->fd, text, strlen (text), MSG_NOSIGNAL);
      return false;
    case RAW_CLOSE:
      return false;
    case RAW_ANSWER_AND_RESET:
      send (conn->fd, text, strlen (text), MSG_NOSIGNAL);
      usleep (RAW_RESET_US);
      setsockopt (conn->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
      return false;
    case RAW_RESET:
      setsockopt (conn->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
      return false;
    case RAW_SILENT:
      return true;
    case RAW_MORE:
      text = conn->server->more;
      return send (conn->fd, text, strlen (text), MSG_NOSIGNAL) > 0;
    case RAW_MORE_AND_ANSWER:
      send (conn->fd, conn->server->more, strlen (conn->server->more),
            MSG_NOSIGNAL);
      usleep (RAW_PIECE_US);
      return send (conn->fd, text, strlen (text), MSG_NOSIGNAL) > 0;
    case RAW_OK_AND_MORE:
      if (atomic_load (&conn->server->requests) > 1)
        return send (conn->fd, text, strlen (text), MSG_NOSIGNAL) > 0;
      send (conn->fd, RAW_OK, strlen (RAW_OK), MSG_NOSIGNAL);
      usleep (RAW_PIECE_US);
      send (conn->fd, conn->server->more, strlen (conn->server->more),
            MSG_NOSIGNAL);
      atomic_fetch_add (&conn->server->pieces, 1);
      return true;
    case RAW_ENDLESS:
      raw_send_endless (conn, text);
      return false;
    }
  return false;
}

static inline void *
raw_serve (void *context)
{
  struct raw_conn *conn = context;
  struct raw_server *server = conn->server;
  char *buffer = malloc (RAW_REQUEST_MAX);
  bool first = true;
  bool lost = false;
  bool open = buffer != NULL;
  while (open && raw_read (conn->fd, buffer) > 0)
    {
      if (strncmp (buffer, "GET /health ", 12) == 0)
        {
          const char *health = server->health ? server->health : RAW_OK;
          open = send (conn->fd, health, strlen (health), MSG_NOSIGNAL) > 0;
          continue;
        }
      pthread_mutex_lock (&server->lock);
      memcpy (server->last, buffer, RAW_REQUEST_MAX);
      pthread_mutex_unlock (&server->lock);
      atomic_fetch_add (&server->requests, 1);
      if (first)
        lost = atomic_fetch_add (&server->connections, 1)
               < atomic_load (&server->lost);
      open = lost ? true
                  : raw_act_on (conn, first ? server->script.first
                                            : server->script.others);
      first = false;
    }
  if (open && !first)
    atomic_fetch_add (&server->closed, 1);
  close (conn->fd);
  free (buffer);
  free (conn);
  return NULL;
}

static inline void *
raw_accept (void *context)
{
  struct raw_server *server = context;
  for (;;)
    {
      int fd = accept (server->fd, NULL, NULL);
      if (fd < 0)
        return NULL;
      struct raw_conn *conn = malloc (sizeof *conn);
      pthread_t thread;
      conn->server = server;
      conn->fd = fd;
      if (pthread_create (&thread, NULL, raw_serve, conn) == 0)
        pthread_detach (thread);
    }
}

/* The server lives until the test's process ends.  */
static inline struct raw_server *
raw_server_start (struct raw_script script)
{
  struct raw_server *server = calloc (1, sizeof *server);
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t length = sizeof address;
  inet_pton (AF_INET, "127.0.0.1", &address.sin_addr);
  server->script = script;
  server->fd = socket (AF_INET, SOCK_STREAM, 0);
  pthread_mutex_init (&server->lock, NULL);
  if (bind (server->fd, (struct sockaddr *)&address, sizeof address) != 0
      || listen (server->fd, 64) != 0
      || getsockname (server->fd, (struct sockaddr *)&address, &length) != 0
      || pthread_create (&server->thread, NULL, raw_accept, server) != 0)
    abort ();
  server->port = ntohs (address.sin_port);
  return server;
}

#endif /* RAW_SERVER_H */

#include "wire.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

int64_t
wire_now_ms (void)
{
  struct timespec now;
  clock_gettime (CLOCK_REALTIME, &now);
  return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void
wire_sleep_ms (int64_t ms)
{
  struct timespec pause
      = { .tv_sec = ms / 1000, .tv_nsec = ms % 1000 * 1000000 };
  if (ms > 0)
    nanosleep (&pause, NULL);
}

/* ------------------------------------------------------------ sockets */

static bool
read_address (const char *text, struct sockaddr_in *address)
{
  char host[64];
  const char *colon = strrchr (text, ':');
  if (colon == NULL || (size_t)(colon - text) >= sizeof host)
    return false;
  memcpy (host, text, (size_t)(colon - text));
  host[colon - text] = '\0';
  memset (address, 0, sizeof *address);
  address->sin_family = AF_INET;
  address->sin_port = htons ((uint16_t)strtoul (colon + 1, NULL, 10));
  return inet_pton (AF_INET, host, &address->sin_addr) == 1;
}

static void
set_options (int fd, int timeout_ms)
{
  int one = 1;
  struct timeval limit
      = { .tv_sec = timeout_ms / 1000, .tv_usec = timeout_ms % 1000 * 1000 };
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (timeout_ms <= 0)
    return;
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
}

bool
wire_dial (const char *address, int timeout_ms, struct wire_conn *conn)
{
  struct sockaddr_in peer;
  conn->length = 0;
  conn->fd = -1;
  if (!read_address (address, &peer))
    return false;
  conn->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (conn->fd < 0)
    return false;
  set_options (conn->fd, timeout_ms);
  if (connect (conn->fd, (struct sockaddr *)&peer, sizeof peer) == 0)
    return true;
  wire_close (conn);
  return false;
}

int
wire_listen (const char *address)
{
  int one = 1;
  struct sockaddr_in self;
  if (!read_address (address, &self))
    return -1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return -1;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (struct sockaddr *)&self, sizeof self) == 0
      && listen (fd, 512) == 0)
    return fd;
  close (fd);
  return -1;
}

void
wire_close (struct wire_conn *conn)
{
  if (conn->fd >= 0)
    close (conn->fd);
  conn->fd = -1;
  conn->length = 0;
}

bool
wire_write (struct wire_conn *conn, const char *bytes, size_t length)
{
  while (length > 0)
    {
      ssize_t count = send (conn->fd, bytes, length, MSG_NOSIGNAL);
      if (count <= 0)
        return false;
      bytes += count;
      length -= (size_t)count;
    }
  return true;
}

/* ------------------------------------------------------------ messages */

static bool
read_more (struct wire_conn *conn)
{
  if (conn->length >= sizeof conn->ahead - 1)
    return false;
  ssize_t count = recv (conn->fd, conn->ahead + conn->length,
                        sizeof conn->ahead - 1 - conn->length, 0);
  if (count <= 0)
    return false;
  conn->length += (size_t)count;
  conn->ahead[conn->length] = '\0';
  return true;
}

static void
drop_ahead (struct wire_conn *conn, size_t count)
{
  memmove (conn->ahead, conn->ahead + count, conn->length - count);
  conn->length -= count;
  conn->ahead[conn->length] = '\0';
}

/* Appends COUNT bytes of the connection to the body.  */
static bool
read_bytes (struct wire_conn *conn, struct wire_message *message, size_t count)
{
  char *body = realloc (message->body, message->body_length + count + 1);
  if (body == NULL)
    return false;
  message->body = body;
  while (count > 0)
    {
      if (conn->length == 0 && !read_more (conn))
        return false;
      size_t part = conn->length < count ? conn->length : count;
      memcpy (body + message->body_length, conn->ahead, part);
      message->body_length += part;
      drop_ahead (conn, part);
      count -= part;
    }
  body[message->body_length] = '\0';
  return true;
}

/* Reads a line without its end to LINE.  */
static bool
read_line (struct wire_conn *conn, char *line, size_t size)
{
  const char *end = NULL;
  while (conn->length == 0 || (end = strstr (conn->ahead, "\r\n")) == NULL)
    if (!read_more (conn))
      return false;
  size_t length = (size_t)(end - conn->ahead);
  snprintf (line, size, "%.*s", (int)length, conn->ahead);
  drop_ahead (conn, length + 2);
  return true;
}

static bool
read_chunks (struct wire_conn *conn, struct wire_message *message)
{
  char line[256];
  for (;;)
    {
      if (!read_line (conn, line, sizeof line))
        return false;
      size_t count = strtoul (line, NULL, 16);
      if (count == 0)
        return read_line (conn, line, sizeof line);
      if (!read_bytes (conn, message, count)
          || !read_line (conn, line, sizeof line))
        return false;
    }
}

bool
wire_read (struct wire_conn *conn, struct wire_message *message)
{
  const char *end = NULL;
  char value[64];
  memset (message, 0, sizeof *message);
  while (conn->length == 0 || (end = strstr (conn->ahead, "\r\n\r\n")) == NULL)
    if (!read_more (conn))
      return false;
  size_t length = (size_t)(end - conn->ahead) + 2;
  memcpy (message->head, conn->ahead, length);
  message->head[length] = '\0';
  drop_ahead (conn, length + 2);
  wire_header (message, "Transfer-Encoding", value, sizeof value);
  if (strcasecmp (value, "chunked") == 0)
    return read_chunks (conn, message);
  wire_header (message, "Content-Length", value, sizeof value);
  return read_bytes (conn, message, strtoul (value, NULL, 10));
}

void
wire_clear (struct wire_message *message)
{
  free (message->body);
  message->body = NULL;
  message->body_length = 0;
}

void
wire_header (const struct wire_message *message, const char *name, char *value,
             size_t size)
{
  size_t length = strlen (name);
  const char *line = strstr (message->head, "\r\n");
  value[0] = '\0';
  for (; line != NULL; line = strstr (line + 2, "\r\n"))
    {
      const char *start = line + 2;
      if (strncasecmp (start, name, length) != 0 || start[length] != ':')
        continue;
      start += length + 1;
      start += strspn (start, " ");
      snprintf (value, size, "%.*s", (int)strcspn (start, "\r"), start);
      return;
    }
}

int
wire_status (const struct wire_message *message)
{
  if (strncmp (message->head, "HTTP/1.1 ", 9) != 0)
    return 0;
  return (int)strtol (message->head + 9, NULL, 10);
}

/* ------------------------------------------------------------ others */

void
wire_record (const char *path, const char *format, ...)
{
  char line[512];
  va_list arguments;
  va_start (arguments, format);
  vsnprintf (line, sizeof line, format, arguments);
  va_end (arguments);
  int fd = open (path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  if (fd < 0)
    return;
  dprintf (fd, "%lld %s\n", (long long)wire_now_ms (), line);
  close (fd);
}

const char *
wire_option (int argc, char **argv, const char *name, const char *fallback)
{
  for (int i = 0; i + 1 < argc; i++)
    if (strcmp (argv[i], name) == 0)
      return argv[i + 1];
  return fallback;
}

int64_t
wire_option_number (int argc, char **argv, const char *name, int64_t fallback)
{
  const char *text = wire_option (argc, argv, name, NULL);
  return text == NULL ? fallback : strtoll (text, NULL, 10);
}

void
wire_entry (const char *list, unsigned number, char *entry, size_t size)
{
  unsigned count = 1;
  for (const char *p = list; *p != '\0'; p++)
    count += *p == ',';
  for (number %= count; number > 0; number--)
    list = strchr (list, ',') + 1;
  snprintf (entry, size, "%.*s", (int)strcspn (list, ","), list);
}

/* Guards against a backend server that answers before it has read a long body
   and gets other bytes where the rest of the body is due: the head of the next
   caller's request, or the end of a body that looks whole but is shorter.  */

#define FIXTURE_BODY_MAX (32 << 20)

#include "path_world.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#define HEAD_MAX    8192
#define PIECE_BYTES 20000                /* sent at a time by the caller */
#define PIECE_US    10000                /* between two pieces */
#define SHORT_BODY  400000               /* bytes */
#define LONG_BODY   (24 << 20)           /* bytes, more than sockets buffer */
#define LONG_ANSWER (24 << 20)           /* bytes, more than sockets buffer */
#define SOCKET_US   (8 * G_USEC_PER_SEC) /* timeout of the caller's reads */

/* What the server does after its early answer.  */
enum after_answer
{
  READS_ON,
  READS_ON_LATE, /* after LATE_US */
  CLOSES
};
#define LATE_US 300000

struct early_case
{
  const char *name;
  const char *head; /* of the early answer, up to its end */
  size_t answer;    /* bytes of its body */
  size_t body;      /* bytes of the request's body */
  bool chunked;     /* the request's body */
  enum after_answer after;
  int status;      /* that the caller gets */
  bool needs_body; /* the server must get the whole body */
};

#define OK_LENGTH "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
#define OK_CHUNKS                                                             \
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nearly\r\n0\r\n"  \
  "\r\n"
#define OK_LONG  "HTTP/1.1 200 OK\r\nContent-Length: 25165824\r\n\r\n"
#define REJECTED "HTTP/1.1 413 Too Large\r\nContent-Length: 5\r\n\r\n"

static const struct early_case cases[] = {
  { "length, reads on", OK_LENGTH, 5, SHORT_BODY, false, READS_ON, 200, true },
  { "chunks, reads on", OK_LENGTH, 5, SHORT_BODY, true, READS_ON, 200, true },
  { "length, reads on late", OK_LENGTH, 5, SHORT_BODY, false, READS_ON_LATE,
    200, true },
  { "chunks, reads on late", OK_LENGTH, 5, SHORT_BODY, true, READS_ON_LATE,
    200, true },
  { "length, answer in chunks", OK_CHUNKS, 0, SHORT_BODY, false, READS_ON, 200,
    true },
  { "chunks, answer in chunks", OK_CHUNKS, 0, SHORT_BODY, true, READS_ON, 200,
    true },
  { "long body with a length, reads on late", OK_LENGTH, 5, LONG_BODY, false,
    READS_ON_LATE, 200, true },
  { "long body in chunks, reads on late", OK_LENGTH, 5, LONG_BODY, true,
    READS_ON_LATE, 200, true },
  { "length, closes", OK_LENGTH, 5, SHORT_BODY, false, CLOSES, 200, false },
  { "chunks, closes", OK_LENGTH, 5, SHORT_BODY, true, CLOSES, 200, false },
  { "length, rejected", REJECTED, 5, SHORT_BODY, false, READS_ON, 413, false },
  { "chunks, rejected", REJECTED, 5, SHORT_BODY, true, READS_ON, 413, false },
  { "length, a long answer first", OK_LONG, LONG_ANSWER, LONG_BODY, false,
    READS_ON, 200, false },
  { "chunks, a long answer first", OK_LONG, LONG_ANSWER, LONG_BODY, true,
    READS_ON, 200, false },
};

/* What the server received as the body of the long request.  */
static struct
{
  const struct early_case *test;
  pthread_mutex_t lock;
  size_t bytes;
  bool ended;    /* the body ended or broke off */
  bool complete; /* by its framing */
  bool differs;  /* other bytes than the caller sent */
} received;

static char
body_byte (size_t position)
{
  return (char)('a' + position / 1000 % 26);
}

/* ------------------------------------------------------------ the server */

struct stream
{
  int fd;
  char bytes[65536];
  size_t at;
  size_t length;
};

static int
next_byte (struct stream *stream)
{
  if (stream->at == stream->length)
    {
      ssize_t got = recv (stream->fd, stream->bytes, sizeof stream->bytes, 0);
      if (got <= 0)
        return -1;
      stream->at = 0;
      stream->length = (size_t)got;
    }
  return (unsigned char)stream->bytes[stream->at++];
}

static bool
read_head (struct stream *stream, char head[HEAD_MAX])
{
  size_t length = 0;
  int byte;
  while (length + 1 < HEAD_MAX && (byte = next_byte (stream)) >= 0)
    {
      head[length++] = (char)byte;
      head[length] = '\0';
      if (length >= 4 && strcmp (head + length - 4, "\r\n\r\n") == 0)
        return true;
    }
  return false;
}

/* Reads the size line of a chunk; -1 at the end of the connection.  */
static long
read_chunk_size (struct stream *stream)
{
  char line[32];
  size_t length = 0;
  int byte;
  while ((byte = next_byte (stream)) >= 0 && length + 1 < sizeof line)
    {
      if (byte == '\n' && length > 1)
        return strtol (line, NULL, 16);
      line[length++] = (char)byte;
      line[length] = '\0';
    }
  return -1;
}

/* Reads COUNT bytes of the body; false when the connection ends before.  */
static bool
read_part (struct stream *stream, size_t count)
{
  int byte;
  for (; count > 0; count--)
    {
      if ((byte = next_byte (stream)) < 0)
        return false;
      received.differs |= (char)byte != body_byte (received.bytes);
      received.bytes++;
    }
  return true;
}

static bool
skip_line_end (struct stream *stream)
{
  bool has_return = next_byte (stream) == '\r';
  return next_byte (stream) == '\n' && has_return;
}

static bool
read_chunks (struct stream *stream)
{
  for (;;)
    {
      long size = read_chunk_size (stream);
      if (size < 0 || !read_part (stream, (size_t)size))
        return false;
      if (!skip_line_end (stream))
        return false;
      if (size == 0)
        return true;
    }
}

static bool
send_all (int fd, const char *bytes, size_t length)
{
  while (length > 0)
    {
      ssize_t sent = send (fd, bytes, length, MSG_NOSIGNAL);
      if (sent <= 0)
        return false;
      bytes += sent;
      length -= (size_t)sent;
    }
  return true;
}

static bool
send_answer (int fd, const struct early_case *test)
{
  char piece[65536];
  memset (piece, 'x', sizeof piece);
  if (!send_all (fd, test->head, strlen (test->head)))
    return false;
  for (size_t left = test->answer; left > 0;)
    {
      size_t count = MIN (left, sizeof piece);
      if (!send_all (fd, piece, count))
        return false;
      left -= count;
    }
  return true;
}

static bool
serve_long (struct stream *stream, const char *head)
{
  const struct early_case *test = received.test;
  bool open = send_answer (stream->fd, test) && test->after != CLOSES;
  if (open && test->after == READS_ON_LATE)
    g_usleep (LATE_US);
  pthread_mutex_lock (&received.lock);
  if (open && strcasestr (head, "\r\nTransfer-Encoding: chunked") != NULL)
    received.complete = read_chunks (stream);
  else if (open)
    received.complete = read_part (stream, test->body);
  received.ended = true;
  open = open && received.complete;
  pthread_mutex_unlock (&received.lock);
  return open;
}

static void *
serve (void *context)
{
  static const char answer[]
      = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  struct stream *stream = context;
  char head[HEAD_MAX];
  bool open = true;
  while (open && read_head (stream, head))
    if (strncmp (head, "POST ", 5) == 0 && strstr (head, "/long ") != NULL)
      open = serve_long (stream, head);
    else
      open = send_all (stream->fd, answer, strlen (answer));
  close (stream->fd);
  g_free (stream);
  return NULL;
}

static void *
accept_all (void *context)
{
  int listener = GPOINTER_TO_INT (context);
  for (;;)
    {
      struct stream *stream = g_new0 (struct stream, 1);
      pthread_t thread;
      int enabled = 1;
      stream->fd = accept (listener, NULL, NULL);
      ck_assert_int_ge (stream->fd, 0);
      /* A close with unread bytes discards what Nagle's algorithm holds back:
         an answer in two parts would be cut here, not by the entry VM.  */
      setsockopt (stream->fd, IPPROTO_TCP, TCP_NODELAY, &enabled,
                  sizeof enabled);
      pthread_create (&thread, NULL, serve, stream);
      pthread_detach (thread);
    }
  return NULL;
}

static uint16_t
start_server (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t length = sizeof address;
  pthread_t thread;
  int listener = socket (AF_INET, SOCK_STREAM, 0);
  inet_pton (AF_INET, "127.0.0.1", &address.sin_addr);
  ck_assert_int_eq (
      bind (listener, (struct sockaddr *)&address, sizeof address), 0);
  ck_assert_int_eq (listen (listener, 16), 0);
  ck_assert_int_eq (
      getsockname (listener, (struct sockaddr *)&address, &length), 0);
  pthread_create (&thread, NULL, accept_all, GINT_TO_POINTER (listener));
  pthread_detach (thread);
  return ntohs (address.sin_port);
}

/* ------------------------------------------------------------ the caller */

static int
connect_to_entry (void)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (fixture.port) };
  struct timeval timeout = { SOCKET_US / G_USEC_PER_SEC, 0 };
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  inet_pton (AF_INET, "127.0.0.1", &address.sin_addr);
  ck_assert_int_eq (connect (fd, (struct sockaddr *)&address, sizeof address),
                    0);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  return fd;
}

static void
send_body (int fd, const struct early_case *test)
{
  char *piece = g_malloc (PIECE_BYTES + 32);
  bool slow = test->body == SHORT_BODY;
  bool open = true;
  for (size_t at = 0; at < test->body && open;)
    {
      size_t count = MIN (PIECE_BYTES, test->body - at);
      size_t length = 0;
      if (test->chunked)
        length = (size_t)sprintf (piece, "%zx\r\n", count);
      for (size_t i = 0; i < count; i++)
        piece[length++] = body_byte (at + i);
      if (test->chunked)
        length += (size_t)sprintf (piece + length, "\r\n");
      open = send_all (fd, piece, length);
      at += count;
      if (slow)
        g_usleep (PIECE_US);
    }
  if (test->chunked && open)
    send_all (fd, "0\r\n\r\n", 5);
  g_free (piece);
}

/* Sends the long request; returns the status of the answer, 0 when its body is
   not whole.  */
static int
send_long (const struct early_case *test)
{
  char text[512];
  char head[HEAD_MAX];
  struct stream *stream = g_new0 (struct stream, 1);
  int fd = connect_to_entry ();
  int status = 0;
  size_t bytes = 0;
  stream->fd = fd;
  int length = g_snprintf (text, sizeof text,
                           "POST /s/billing/long HTTP/1.1\r\nHost: b\r\n"
                           "Authorization: Bearer " FIXTURE_KEY "\r\n");
  length += test->chunked
                ? g_snprintf (text + length, sizeof text - (size_t)length,
                              "Transfer-Encoding: chunked\r\n\r\n")
                : g_snprintf (text + length, sizeof text - (size_t)length,
                              "Content-Length: %zu\r\n\r\n", test->body);
  send_all (fd, text, (size_t)length);
  send_body (fd, test);
  if (read_head (stream, head) && strncmp (head, "HTTP/1.1 ", 9) == 0)
    status = atoi (head + 9);
  const char *found = strcasestr (head, "\r\nContent-Length: ");
  size_t announced = found == NULL ? 0 : strtoul (found + 18, NULL, 10);
  while (bytes < announced && next_byte (stream) >= 0)
    bytes++;
  close (fd);
  g_free (stream);
  return bytes == announced ? status : 0;
}

static void
wait_for_body (void)
{
  bool ended = false;
  for (int i = 0; i < 500 && !ended; i++)
    {
      pthread_mutex_lock (&received.lock);
      ended = received.ended;
      pthread_mutex_unlock (&received.lock);
      g_usleep (10000);
    }
  ck_assert_msg (ended, "%s: the body did not end", received.test->name);
}

START_TEST (test_early)
{
  const struct early_case *test = &cases[_i];
  CURL *easy = curl_easy_init ();
  memset (&received, 0, sizeof received);
  received.test = test;
  pthread_mutex_init (&received.lock, NULL);
  fixture_prepare (false);
  fixture_add_backend ("i1", start_server (), false);
  fixture_start ();
  for (int round = 0; round < 2; round++)
    {
      pthread_mutex_lock (&received.lock);
      received.bytes = 0;
      received.ended = received.complete = received.differs = false;
      pthread_mutex_unlock (&received.lock);
      int status = send_long (test);
      ck_assert_msg (status == test->status, "%s: status %d", test->name,
                     status);
      struct reply reply
          = send_request (easy, "GET", "/next", FIXTURE_KEY, NULL, NULL);
      ck_assert_msg (reply.status == 200
                         && strcmp (reply.body->str, "ok") == 0,
                     "%s: the next caller got %ld %s", test->name,
                     reply.status, reply.body->str);
      reply_clear (&reply);
      wait_for_body ();
      ck_assert_msg (!received.differs, "%s: other bytes", test->name);
      ck_assert_msg (!received.complete || received.bytes == test->body,
                     "%s: a body of %zu bytes looks whole", test->name,
                     received.bytes);
      ck_assert_msg (received.complete || !test->needs_body,
                     "%s: the body broke off after %zu bytes", test->name,
                     received.bytes);
    }
  curl_easy_cleanup (easy);
  fixture_stop ();
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("early_answer");
  TCase *tcase = tcase_create ("early_answer");
  tcase_set_timeout (tcase, 60);
  tcase_add_loop_test (tcase, test_early, 0, G_N_ELEMENTS (cases));
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}

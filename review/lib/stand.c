#include "review/lib/stand.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define REGIONS  "scl-a=scl,ant-a=ant,pmc-a=pmc,scl-b=scl,ant-b=ant,pmc-b=pmc"
#define START_MS 30000 /* within which the system must be ready */

const char *const st_zones[ST_HUBS]
    = { "scl-a", "ant-a", "pmc-a", "scl-b", "ant-b", "pmc-b" };

static char net[20];
static char folder[64];
static pid_t hub_pids[ST_HUBS_MAX];
static pid_t gate_pids[ST_GATES];
static FILE *record_file;
static int64_t started_at;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

/* ------------------------------------------------------------ record, time */

int64_t
st_now_ms (void)
{
  struct timespec now;
  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

int64_t
st_unix_ms (void)
{
  struct timespec now;
  clock_gettime (CLOCK_REALTIME, &now);
  return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void
st_sleep_ms (int64_t ms)
{
  struct timespec pause = { ms / 1000, ms % 1000 * 1000000 };
  nanosleep (&pause, NULL);
}

void
st_record (const char *format, ...)
{
  va_list args;
  pthread_mutex_lock (&record_lock);
  fprintf (record_file, "%8.3f ", (double)(st_now_ms () - started_at) / 1000);
  va_start (args, format);
  vfprintf (record_file, format, args);
  va_end (args);
  fputc ('\n', record_file);
  fflush (record_file);
  pthread_mutex_unlock (&record_lock);
}

bool
st_has_trouble (void)
{
  const char *text = getenv ("TROUBLE");
  return text == NULL || strcmp (text, "0") != 0;
}

/* ------------------------------------------------------------ processes */

const char *
st_ip (int part, int number, char ip[32])
{
  snprintf (ip, 32, "%s.%d", net, part + number);
  return ip;
}

static bool
is_free (const char *ip, int port)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  inet_pton (AF_INET, ip, &address.sin_addr);
  bool is = bind (fd, (struct sockaddr *)&address, sizeof address) == 0;
  close (fd);
  return is;
}

static bool
is_net_free (void)
{
  static const int ports[]
      = { 7600,           7609,          ST_CONTROL_PORT, ST_READY_PORT,
          ST_LOOKUP_PORT, ST_FRONT_PORT, ST_SERVER_PORT };
  char ip[32];
  for (int part = 1; part <= 41; part += 20)
    for (int i = 0; i < ST_HUBS_MAX; i++)
      for (size_t k = 0; k < sizeof ports / sizeof *ports; k++)
        if (!is_free (st_ip (part, i, ip), ports[k]))
          return false;
  return true;
}

void
st_open (const char *record)
{
  signal (SIGPIPE, SIG_IGN);
  started_at = st_now_ms ();
  record_file = fopen (record, "w");
  if (record_file == NULL)
    exit (2);
  unsigned seed = (unsigned)getpid ();
  do
    {
      seed = seed * 7919 + 13;
      snprintf (net, sizeof net, "127.%u.%u", 20 + seed % 200,
                seed / 256 % 250);
    }
  while (!is_net_free ());
  snprintf (folder, sizeof folder, "/tmp/review-XXXXXX");
  if (mkdtemp (folder) == NULL)
    exit (2);
}

static pid_t
start (const char *log, const char *const *words)
{
  char path[128];
  snprintf (path, sizeof path, "%s/%s.log", folder, log);
  pid_t pid = fork ();
  if (pid != 0)
    return pid;
  int fd = open (path, O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2 (fd, 1);
  dup2 (fd, 2);
  execv (words[0], (char *const *)(void *)words);
  _exit (127);
}

static void
stop (pid_t *pid)
{
  if (*pid <= 0)
    return;
  kill (*pid, SIGKILL);
  waitpid (*pid, NULL, 0);
  *pid = 0;
}

void
st_exit (int status)
{
  char command[128];
  const char *keep = getenv ("KEEP");
  for (int i = 0; i < ST_HUBS_MAX; i++)
    stop (&hub_pids[i]);
  for (int i = 0; i < ST_GATES; i++)
    stop (&gate_pids[i]);
  snprintf (command, sizeof command, "rm -rf %s", folder);
  if (keep == NULL && system (command) != 0) /* NOLINT(cert-env33-c) */
    status = 2;
  fclose (record_file);
  _exit (status);
}

void
st_start_hub (int number, bool first)
{
  char host[32];
  char control[48];
  char lookup[48];
  char seeds[160];
  char data[128];
  char name[32];
  char ip[3][32];
  st_ip (1, number, host);
  snprintf (control, sizeof control, "%s:%d", host, ST_CONTROL_PORT);
  snprintf (lookup, sizeof lookup, "%s:%d", host, ST_LOOKUP_PORT);
  snprintf (seeds, sizeof seeds, "%s:%d,%s:%d,%s:%d", st_ip (1, 0, ip[0]),
            ST_CONTROL_PORT, st_ip (1, 1, ip[1]), ST_CONTROL_PORT,
            st_ip (1, 2, ip[2]), ST_CONTROL_PORT);
  const char *zone = st_zones[number % ST_HUBS];
  snprintf (name, sizeof name, "core-%s-%d", zone, number / ST_HUBS + 1);
  snprintf (data, sizeof data, "%s/%s", folder, name);
  mkdir (data, 0755);
  char region[4] = { zone[0], zone[1], zone[2], 0 };
  const char *const words[] = { "target/bin/cy-hub",
                                "--vm",
                                name,
                                "--zone",
                                zone,
                                "--region",
                                region,
                                "--regions",
                                REGIONS,
                                "--host",
                                host,
                                "--port",
                                "7600",
                                "--control",
                                control,
                                "--lookup",
                                lookup,
                                "--metrics-port",
                                "7609",
                                "--seeds",
                                seeds,
                                "--found",
                                first ? "true" : "false",
                                "--data",
                                data,
                                "--spare-disks",
                                "2",
                                "--repeat-window",
                                "10s",
                                "--repeat-ratio",
                                "0.2",
                                "--repeat-fixed",
                                "144",
                                "--dialect",
                                "platform",
                                "--secret-file",
                                "deploy/cluster.secret",
                                NULL };
  hub_pids[number] = start (name, words);
}

void
st_signal_hub (int number, int signal)
{
  kill (hub_pids[number], signal);
}

void
st_kill_hub (int number)
{
  stop (&hub_pids[number]);
}

void
st_wipe_hub (int number, int64_t down_ms)
{
  char command[192];
  st_kill_hub (number);
  snprintf (command, sizeof command, "rm -rf %s/core-%s-%d", folder,
            st_zones[number % ST_HUBS], number / ST_HUBS + 1);
  if (system (command) != 0) /* NOLINT(cert-env33-c) */
    st_exit (2);
  st_sleep_ms (down_ms);
  st_start_hub (number, false);
}

void
st_start_gate (int number)
{
  char host[32];
  char listen_at[48];
  char ready[48];
  char seeds[160];
  char name[32];
  char ip[3][32];
  st_ip (21, number, host);
  snprintf (listen_at, sizeof listen_at, "%s:%d", host, ST_FRONT_PORT);
  snprintf (ready, sizeof ready, "%s:%d", host, ST_READY_PORT);
  snprintf (seeds, sizeof seeds, "%s:%d,%s:%d,%s:%d", st_ip (1, 0, ip[0]),
            ST_CONTROL_PORT, st_ip (1, 1, ip[1]), ST_CONTROL_PORT,
            st_ip (1, 2, ip[2]), ST_CONTROL_PORT);
  snprintf (name, sizeof name, "front-%s-1", st_zones[number]);
  char region[4]
      = { st_zones[number][0], st_zones[number][1], st_zones[number][2], 0 };
  const char *const words[] = { "target/bin/cy-gate",
                                "--vm",
                                name,
                                "--zone",
                                st_zones[number],
                                "--region",
                                region,
                                "--regions",
                                REGIONS,
                                "--peer-port",
                                "7600",
                                "--listen",
                                listen_at,
                                "--ready",
                                ready,
                                "--metrics-port",
                                "7609",
                                "--seeds",
                                seeds,
                                "--dialect",
                                "platform",
                                "--grace",
                                "6s",
                                "--secret-file",
                                "deploy/cluster.secret",
                                NULL };
  gate_pids[number] = start (name, words);
}

bool
st_gate_runs (int number)
{
  return gate_pids[number] > 0
         && waitpid (gate_pids[number], NULL, WNOHANG) == 0;
}

void
st_start_all (int gates, const char *text)
{
  char ip[32];
  int64_t until = st_now_ms () + START_MS;
  for (int i = 0; i < ST_HUBS; i++)
    st_start_hub (i, true);
  for (int i = 0; i < gates; i++)
    st_start_gate (i);
  int status = st_call ("/rpc?call=config.replace", text, NULL, 0, START_MS);
  st_record ("operator: config.replace %.24s -> %d", text, status);
  if (status != 200)
    st_exit (2);
  for (int i = 0; i < gates; i++)
    while (st_request (st_ip (21, i, ip), ST_READY_PORT, "GET", "/ready", "",
                       NULL, NULL, 0)
           != 200)
      {
        if (st_now_ms () > until)
          {
            st_record ("entry VM %d does not become ready", i);
            st_exit (2);
          }
        st_sleep_ms (200);
      }
  st_record ("the system is ready");
}

/* ------------------------------------------------------------ HTTP */

static void
set_timeouts (int fd, int ms)
{
  struct timeval wait = { ms / 1000, ms % 1000 * 1000 };
  int one = 1;
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &wait, sizeof wait);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
}

bool
st_connect (struct st_conn *conn, const char *ip, int port, int timeout_ms)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  conn->length = 0;
  conn->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  inet_pton (AF_INET, ip, &address.sin_addr);
  set_timeouts (conn->fd, 2000);
  bool done
      = connect (conn->fd, (struct sockaddr *)&address, sizeof address) == 0;
  set_timeouts (conn->fd, timeout_ms);
  if (!done)
    st_close (conn);
  return done;
}

void
st_close (struct st_conn *conn)
{
  if (conn->fd >= 0)
    close (conn->fd);
  conn->fd = -1;
}

bool
st_send (struct st_conn *conn, const void *data, size_t length)
{
  const char *bytes = data;
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

bool
st_print (struct st_conn *conn, const char *format, ...)
{
  char text[ST_HEAD_MAX];
  va_list args;
  va_start (args, format);
  int length = vsnprintf (text, sizeof text, format, args);
  va_end (args);
  return length >= 0 && (size_t)length < sizeof text
         && st_send (conn, text, (size_t)length);
}

static bool
receive_more (struct st_conn *conn)
{
  if (conn->length == sizeof conn->bytes)
    return false;
  ssize_t count = recv (conn->fd, conn->bytes + conn->length,
                        sizeof conn->bytes - conn->length, 0);
  if (count <= 0)
    return false;
  conn->length += (size_t)count;
  return true;
}

static void
use (struct st_conn *conn, size_t count)
{
  conn->length -= count;
  memmove (conn->bytes, conn->bytes + count, conn->length);
}

/* Copies the bytes up to END, and END itself, to TEXT.  */
static bool
read_until (struct st_conn *conn, const char *end, char *text, size_t room)
{
  for (;;)
    {
      char *found = memmem (conn->bytes, conn->length, end, strlen (end));
      if (found != NULL)
        {
          size_t count = (size_t)(found - conn->bytes) + strlen (end);
          if (count >= room)
            return false;
          memcpy (text, conn->bytes, count);
          text[count] = '\0';
          use (conn, count);
          return true;
        }
      if (!receive_more (conn))
        return false;
    }
}

bool
st_read_head (struct st_conn *conn, char head[ST_HEAD_MAX])
{
  return read_until (conn, "\r\n\r\n", head, ST_HEAD_MAX);
}

bool
st_header (const char *head, const char *name, char *value, size_t room)
{
  size_t length = strlen (name);
  value[0] = '\0';
  for (const char *line = strstr (head, "\r\n"); line != NULL;
       line = strstr (line, "\r\n"))
    {
      line += 2;
      if (strncasecmp (line, name, length) != 0 || line[length] != ':')
        continue;
      line += length + 1;
      line += strspn (line, " ");
      size_t count = strcspn (line, "\r");
      if (count >= room)
        return false;
      memcpy (value, line, count);
      value[count] = '\0';
      return true;
    }
  return false;
}

static bool
read_bytes (struct st_conn *conn, size_t count, char *body, size_t room,
            size_t *length)
{
  while (count > 0)
    {
      if (conn->length == 0 && !receive_more (conn))
        return false;
      size_t part = conn->length < count ? conn->length : count;
      if (body != NULL && *length + part < room)
        {
          memcpy (body + *length, conn->bytes, part);
          body[*length + part] = '\0';
        }
      *length += part;
      count -= part;
      use (conn, part);
    }
  return true;
}

bool
st_read_body (struct st_conn *conn, const char *head, char *body, size_t room,
              size_t *length)
{
  char value[64];
  *length = 0;
  if (body != NULL && room > 0)
    body[0] = '\0';
  if (st_header (head, "Transfer-Encoding", value, sizeof value))
    for (;;)
      {
        char line[64];
        size_t unused = 0;
        if (!read_until (conn, "\r\n", line, sizeof line))
          return false;
        size_t count = strtoul (line, NULL, 16);
        if (count > 0 && !read_bytes (conn, count, body, room, length))
          return false;
        if (!read_bytes (conn, 2, NULL, 0, &unused))
          return false;
        if (count == 0)
          return true;
      }
  if (st_header (head, "Content-Length", value, sizeof value))
    return read_bytes (conn, strtoul (value, NULL, 10), body, room, length);
  return true;
}

int
st_request (const char *ip, int port, const char *method, const char *target,
            const char *headers, const char *body, char *answer, size_t room)
{
  struct st_conn conn;
  char head[ST_HEAD_MAX];
  size_t length = 0;
  int status = 0;
  if (!st_connect (&conn, ip, port, 5000))
    return 0;
  bool sent
      = st_print (&conn, "%s %s HTTP/1.1\r\n%s%s%s%s", method, target,
                  strstr (headers, "Host:") == NULL ? "Host: " : "",
                  strstr (headers, "Host:") == NULL ? ip : "",
                  strstr (headers, "Host:") == NULL ? "\r\n" : "", headers);
  if (body != NULL)
    sent = sent && st_print (&conn, "Content-Length: %zu\r\n", strlen (body));
  sent = sent && st_print (&conn, "Connection: close\r\n\r\n");
  if (body != NULL)
    sent = sent && st_send (&conn, body, strlen (body));
  if (sent && st_read_head (&conn, head)
      && st_read_body (&conn, head, answer, room, &length))
    status = atoi (head + strcspn (head, " "));
  if (status == 307 && answer != NULL)
    st_header (head, "Location", answer, room);
  st_close (&conn);
  return status;
}

/* ------------------------------------------------------------ platform */

/* Sends the call to LOCATION, "http://IP:PORT/...".  */
static int
call_location (const char *location, const char *body, char *answer,
               size_t room)
{
  char ip[64];
  const char *host = strstr (location, "//");
  if (host == NULL)
    return 0;
  host += 2;
  size_t length = strcspn (host, ":");
  if (length >= sizeof ip)
    return 0;
  memcpy (ip, host, length);
  ip[length] = '\0';
  return st_request (ip, atoi (host + length + 1), "POST",
                     host + strcspn (host, "/"),
                     "Content-Type: application/json\r\n", body, answer, room);
}

int
st_call (const char *target, const char *body, char *answer, size_t room,
         int timeout_ms)
{
  char ip[32];
  char location[512];
  char next[512];
  char *text = malloc (65536);
  int status = 0;
  int64_t until = st_now_ms () + timeout_ms;
  for (int i = 0; text != NULL && st_now_ms () < until; i++)
    {
      snprintf (location, sizeof location, "http://%s:%d%s",
                st_ip (1, i % ST_HUBS, ip), ST_CONTROL_PORT, target);
      for (int hops = 0; hops < 3; hops++)
        {
          status = call_location (location, body, text, 65536);
          if (status != 307)
            break;
          snprintf (next, sizeof next, "%.500s", text);
          memcpy (location, next, sizeof next);
        }
      if (status >= 200 && status < 300 && answer != NULL)
        snprintf (answer, room, "%s", text);
      if (status >= 200 && status < 500 && status != 307)
        break;
      st_sleep_ms (150);
    }
  free (text);
  return status;
}

int
st_beat (const struct st_server *server, int sequence, const char *state)
{
  char body[1024];
  char target[256];
  char ip[32];
  snprintf (target, sizeof target, "/rpc?call=instances.heartbeat&of=%s",
            server->id);
  snprintf (body, sizeof body,
            "{\"addr\":\"%s:%d\",\"born\":%lld,\"info\":{\"service\":\"%s\","
            "\"version\":\"v1\",\"zone\":\"%s\",\"slots\":%d},\"status\":{"
            "\"state\":\"%s\",\"seq\":%d,\"warmupLeft\":\"0ms\"}}",
            st_ip (41, server->number, ip), ST_SERVER_PORT,
            (long long)server->born, server->service, server->zone,
            server->slots == 0 ? 6 : server->slots, state, sequence);
  return st_call (target, body, NULL, 0, 4000);
}

int
st_leave (const struct st_server *server)
{
  char body[64];
  char target[256];
  snprintf (target, sizeof target, "/rpc?call=instances.leave&of=%s",
            server->id);
  snprintf (body, sizeof body, "{\"born\":%lld}", (long long)server->born);
  return st_call (target, body, NULL, 0, 8000);
}

static void *
run_beater (void *context)
{
  struct st_server *server = context;
  for (;;)
    {
      if (!server->silent)
        {
          const char *state = server->draining ? "draining" : "ready";
          int sequence = ++server->sequence;
          int status = st_beat (server, sequence, state);
          if (status != 200)
            st_record ("server %s: heartbeat %d %s -> %d", server->id,
                       sequence, state, status);
        }
      st_sleep_ms (1500);
    }
  return NULL;
}

struct session
{
  struct st_server *server;
  struct st_conn conn;
};

static void *
run_session (void *context)
{
  struct session *session = context;
  char head[ST_HEAD_MAX];
  while (session->conn.fd >= 0 && st_read_head (&session->conn, head))
    {
      if (strncmp (head, "GET /health ", 12) == 0)
        {
          if (!st_print (&session->conn,
                         "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
                         "Cyclamenhaven-Instance-Id: %s\r\n\r\n",
                         session->server->id))
            break;
        }
      else
        session->server->serve (session->server, &session->conn, head);
    }
  st_close (&session->conn);
  free (session);
  return NULL;
}

static void *
run_listener (void *context)
{
  struct st_server *server = context;
  for (;;)
    {
      int fd = accept4 (server->listen_fd, NULL, NULL, SOCK_CLOEXEC);
      if (fd < 0)
        continue;
      pthread_t thread;
      struct session *session = calloc (1, sizeof *session);
      if (session == NULL)
        abort ();
      session->server = server;
      session->conn.fd = fd;
      set_timeouts (fd, 10000);
      pthread_create (&thread, NULL, run_session, session);
      pthread_detach (thread);
    }
  return NULL;
}

void
st_server_start (struct st_server *server)
{
  char ip[32];
  int one = 1;
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (ST_SERVER_PORT) };
  inet_pton (AF_INET, st_ip (41, server->number, ip), &address.sin_addr);
  server->born = st_unix_ms ();
  server->listen_fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (server->listen_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (server->listen_fd, (struct sockaddr *)&address, sizeof address)
          != 0
      || listen (server->listen_fd, 128) != 0)
    st_exit (2);
  pthread_create (&server->listener, NULL, run_listener, server);
  pthread_create (&server->beater, NULL, run_beater, server);
  st_record ("server %s of %s in %s starts at %s:%d", server->id,
             server->service, server->zone, ip, ST_SERVER_PORT);
}

bool
st_answer_ok (struct st_server *server, struct st_conn *conn, const char *head,
              const char *body)
{
  char id[128];
  st_header (head, "Cyclamenhaven-Attempt-Id", id, sizeof id);
  return st_print (conn,
                   "HTTP/1.1 200 OK\r\n"
                   "Cyclamenhaven-Attempt-Id: %s\r\n"
                   "Cyclamenhaven-Server-Stamp: stamp.%s.%s\r\n"
                   "Content-Length: %zu\r\n\r\n%s",
                   id, server->id, id, strlen (body), body);
}

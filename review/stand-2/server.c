/* A backend server as the platform's pages describe it: announces itself,
   runs as many requests at a time as it has slots and queues a few more, drops
   a request whose connection closes, and rejects what isn't meant for it.
   SIGUSR1: it becomes cold, and crashes if it then gets --crash-per-s requests
   in a second.  Every run is a line of the record.  */

#include "wire.h"

#include <poll.h>
#include <pthread.h>
#include <semaphore.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define HEADER_SIZE 128
#define STEP_MS     10 /* ms between two checks whether a caller has left */

#define ARRIVALS_MAX 256 /* arrivals that are kept to compute a rate */

static struct
{
  const char *listen;
  const char *id;
  const char *service;
  const char *zone;
  const char *control;
  const char *record;
  int64_t slots;
  int64_t work_ms;
  int64_t beat_ms;
  int64_t cold_ms;
  int64_t crash_per_s; /* 0: it bears any rate */
  int64_t born;
  sem_t free_slots;
  atomic_int waiting;
  atomic_int running;
  atomic_llong cold_until;
} server;

/* ------------------------------------------------------------ heartbeats */

static long long
cold_left_ms (void)
{
  long long left = atomic_load (&server.cold_until) - wire_now_ms ();
  return left > 0 ? left : 0;
}

static bool
send_heartbeat (const char *control, int sequence)
{
  char body[512];
  char text[1024];
  struct wire_conn conn;
  struct wire_message answer = { .body = NULL };
  snprintf (body, sizeof body,
            "{\"addr\":\"%s\",\"born\":%lld,\"info\":{\"service\":\"%s\","
            "\"version\":\"v1\",\"zone\":\"%s\",\"slots\":%lld},\"status\":"
            "{\"state\":\"ready\",\"seq\":%d,\"warmupLeft\":\"%lldms\"}}",
            server.listen, (long long)server.born, server.service, server.zone,
            (long long)server.slots, sequence, cold_left_ms ());
  int length = snprintf (
      text, sizeof text,
      "POST /rpc?call=instances.heartbeat&of=%s HTTP/1.1\r\nHost: control\r\n"
      "Content-Type: application/json\r\nConnection: close\r\n"
      "Content-Length: %zu\r\n\r\n%s",
      server.id, strlen (body), body);
  if (!wire_dial (control, 1000, &conn))
    return false;
  bool done = wire_write (&conn, text, (size_t)length)
              && wire_read (&conn, &answer)
              && wire_status (&answer) / 100 == 2;
  wire_clear (&answer);
  wire_close (&conn);
  return done;
}

static void *
run_heartbeats (void *unused)
{
  unsigned node = 0;
  (void)unused;
  for (int sequence = 1;; sequence++)
    {
      char control[HEADER_SIZE];
      for (int attempt = 0; attempt < 6; attempt++)
        {
          wire_entry (server.control, node, control, sizeof control);
          if (send_heartbeat (control, sequence))
            break;
          node++;
        }
      wire_record (server.record, "heartbeat %s %d cold %lld", server.id,
                   sequence, cold_left_ms ());
      wire_sleep_ms (server.beat_ms);
    }
  return NULL;
}

/* ------------------------------------------------------------ requests */

static void
answer (struct wire_conn *conn, const char *status, const char *id,
        const char *more, const char *body)
{
  char text[1024];
  int length = snprintf (
      text, sizeof text,
      "HTTP/1.1 %s\r\nCyclamenhaven-Attempt-Id: %s\r\n"
      "Cyclamenhaven-Instance-Load: %d,%d,%lld\r\n%sContent-Length: %zu\r\n"
      "\r\n%s",
      status, id, atomic_load (&server.running), atomic_load (&server.waiting),
      (long long)server.slots, more, strlen (body), body);
  wire_write (conn, text, (size_t)length);
}

/* Ends the process when it is cold and got too many requests within the last
   second.  */
static void
count_arrival (void)
{
  static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
  static int64_t arrivals[ARRIVALS_MAX];
  static size_t count;
  int64_t now = wire_now_ms ();
  if (server.crash_per_s <= 0 || server.crash_per_s >= ARRIVALS_MAX)
    return;
  pthread_mutex_lock (&lock);
  if (cold_left_ms () == 0)
    count = 0;
  else
    arrivals[count++ % ARRIVALS_MAX] = now;
  size_t limit = (size_t)server.crash_per_s;
  if (count > limit
      && now - arrivals[(count - 1 - limit) % ARRIVALS_MAX] < 1000)
    {
      wire_record (server.record, "crashed %s with %d requests", server.id,
                   atomic_load (&server.running));
      _exit (1);
    }
  pthread_mutex_unlock (&lock);
}

static bool
has_left (const struct wire_conn *conn)
{
  char byte;
  return recv (conn->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

/* Works on a request for MS; false when its caller has left.  */
static bool
work (const struct wire_conn *conn, int64_t ms)
{
  int64_t end = wire_now_ms () + ms;
  while (wire_now_ms () < end)
    {
      if (has_left (conn))
        return false;
      int64_t left = end - wire_now_ms ();
      wire_sleep_ms (left < STEP_MS ? left : STEP_MS);
    }
  return true;
}

/* Runs one request; false when the connection is to be closed.  */
static bool
serve (struct wire_conn *conn, const struct wire_message *request)
{
  char id[HEADER_SIZE];
  char expected[HEADER_SIZE];
  char stamp[2 * HEADER_SIZE];
  char target[HEADER_SIZE];
  const char *not_run = "Cyclamenhaven-Not-Executed: 1\r\n";
  wire_header (request, "Cyclamenhaven-Attempt-Id", id, sizeof id);
  wire_header (request, "Cyclamenhaven-Expect-Instance", expected,
               sizeof expected);
  snprintf (target, sizeof target, "%.*s", (int)strcspn (request->head, "\r"),
            request->head);
  if (strncmp (target, "GET /health ", 12) == 0)
    {
      snprintf (stamp, sizeof stamp,
                "Cyclamenhaven-Instance-Id: %s\r\n"
                "Cyclamenhaven-Warmup-Ms: %lld\r\n",
                server.id, cold_left_ms ());
      answer (conn, "200 OK", "", stamp, "ok");
      return true;
    }
  wire_record (server.record, "arrived %s %s cold %lld %s", server.id, id,
               cold_left_ms (), target);
  count_arrival ();
  if (expected[0] != '\0' && strcmp (expected, server.id) != 0)
    {
      answer (conn, "421 Misdirected Request", id, not_run, "");
      return true;
    }
  if (atomic_fetch_add (&server.waiting, 1) >= 3 * server.slots)
    {
      atomic_fetch_sub (&server.waiting, 1);
      answer (conn, "503 Service Unavailable", id, not_run, "");
      return true;
    }
  sem_wait (&server.free_slots);
  atomic_fetch_sub (&server.waiting, 1);
  atomic_fetch_add (&server.running, 1);
  wire_record (server.record, "run %s %s %s", server.id, id, target);
  bool finished = work (conn, server.work_ms);
  wire_record (server.record, "%s %s %s", finished ? "finished" : "dropped",
               server.id, id);
  atomic_fetch_sub (&server.running, 1);
  sem_post (&server.free_slots);
  snprintf (stamp, sizeof stamp, "Cyclamenhaven-Server-Stamp: %s.%s\r\n",
            server.id, id);
  if (finished)
    answer (conn, "200 OK", id, stamp, "done");
  return finished;
}

static void *
run_connection (void *context)
{
  struct wire_conn *conn = context;
  struct wire_message request;
  bool open = true;
  while (open && wire_read (conn, &request))
    {
      open = serve (conn, &request);
      wire_clear (&request);
    }
  wire_close (conn);
  free (conn);
  return NULL;
}

static void
on_cold (int signal_number)
{
  (void)signal_number;
  atomic_store (&server.cold_until, wire_now_ms () + server.cold_ms);
}

int
server_run (int argc, char **argv)
{
  pthread_t thread;
  struct sigaction cold = { .sa_handler = on_cold, .sa_flags = SA_RESTART };
  server.listen = wire_option (argc, argv, "--listen", "127.0.0.1:0");
  server.id = wire_option (argc, argv, "--id", "i-1");
  server.service = wire_option (argc, argv, "--service", "svc");
  server.zone = wire_option (argc, argv, "--zone", "a");
  server.control = wire_option (argc, argv, "--control", "");
  server.record = wire_option (argc, argv, "--record", "/dev/null");
  server.slots = wire_option_number (argc, argv, "--slots", 6);
  server.work_ms = wire_option_number (argc, argv, "--work-ms", 20);
  server.beat_ms = wire_option_number (argc, argv, "--beat-ms", 1500);
  server.cold_ms = wire_option_number (argc, argv, "--cold-ms", 3000);
  server.crash_per_s = wire_option_number (argc, argv, "--crash-per-s", 0);
  server.born = wire_now_ms ();
  sem_init (&server.free_slots, 0, (unsigned)server.slots);
  sigaction (SIGUSR1, &cold, NULL);
  int fd = wire_listen (server.listen);
  if (fd < 0 || pthread_create (&thread, NULL, run_heartbeats, NULL) != 0)
    return 2;
  for (;;)
    {
      struct wire_conn *conn = calloc (1, sizeof *conn);
      if (conn == NULL)
        return 2;
      conn->fd = accept (fd, NULL, NULL);
      if (conn->fd < 0
          || pthread_create (&thread, NULL, run_connection, conn) != 0)
        {
          wire_close (conn);
          free (conn);
          continue;
        }
      pthread_detach (thread);
    }
}

/* Stand-ins of this review: a backend server, the operator's calls, clients
   that send requests, and a client with a slow uplink.  */

#include "wire.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HEADER_SIZE  128
#define WORKERS_MAX  64
#define REDIRECT_MAX 2 /* redirects that the operator follows */

/* ------------------------------------------------------------ operator */

static char *
read_file (const char *path)
{
  FILE *file = path[0] == '\0' ? NULL : fopen (path, "r");
  char *text = calloc (1, 1 << 20);
  if (file != NULL && text != NULL)
    text[fread (text, 1, (1 << 20) - 1, file)] = '\0';
  if (file != NULL)
    fclose (file);
  return text;
}

static bool
exchange (const char *address, const char *method, const char *target,
          const char *body, int timeout_ms, struct wire_message *answer)
{
  char head[512];
  struct wire_conn conn;
  memset (answer, 0, sizeof *answer);
  if (!wire_dial (address, timeout_ms, &conn))
    return false;
  int length = snprintf (head, sizeof head,
                         "%s %s HTTP/1.1\r\nHost: control\r\nConnection: "
                         "close\r\nContent-Type: application/json\r\n"
                         "Content-Length: %zu\r\n\r\n",
                         method, target, strlen (body));
  bool done = wire_write (&conn, head, (size_t)length)
              && wire_write (&conn, body, strlen (body))
              && wire_read (&conn, answer);
  wire_close (&conn);
  return done;
}

/* Prints the status of a call to a control VM, 0 if no answer came, and the
   body.  */
int
client_call (int argc, char **argv)
{
  char address[HEADER_SIZE];
  char location[2 * HEADER_SIZE];
  struct wire_message answer = { .body = NULL };
  const char *target = wire_option (argc, argv, "--target", "/");
  const char *method = wire_option (argc, argv, "--method", "POST");
  int timeout_ms = (int)wire_option_number (argc, argv, "--timeout-ms", 1000);
  char *body = read_file (wire_option (argc, argv, "--body", ""));
  if (body == NULL)
    return 2;
  snprintf (address, sizeof address, "%s",
            wire_option (argc, argv, "--to", ""));
  int status = 0;
  for (int i = 0; i <= REDIRECT_MAX; i++)
    {
      wire_clear (&answer);
      bool done
          = exchange (address, method, target, body, timeout_ms, &answer);
      status = done ? wire_status (&answer) : 0;
      wire_header (&answer, "Location", location, sizeof location);
      if (status != 307 || strncmp (location, "http://", 7) != 0)
        break;
      snprintf (address, sizeof address, "%.*s",
                (int)strcspn (location + 7, "/"), location + 7);
    }
  printf ("%d %s\n", status, answer.body == NULL ? "" : answer.body);
  wire_clear (&answer);
  free (body);
  return 0;
}

/* ------------------------------------------------------------ load */

struct load
{
  const char *gates;
  const char *host;
  const char *path;
  const char *prefix;
  const char *record;
  int64_t deadline_ms;
  int64_t pause_ms;
  int64_t end_at;
};

struct worker
{
  const struct load *load;
  unsigned number;
  pthread_t thread;
};

static int
write_head (const struct load *load, const char *method, const char *id,
            size_t body_length, char *head, size_t size)
{
  return snprintf (head, size,
                   "%s %s%s HTTP/1.1\r\nHost: %s\r\n"
                   "Cyclamenhaven-Attempt-Id: %s\r\n"
                   "Cyclamenhaven-Deadline-Ms: %lld\r\nContent-Length: %zu"
                   "\r\n\r\n",
                   method, load->path, id, load->host, id,
                   (long long)load->deadline_ms, body_length);
}

/* Sends one request and returns the status, 0 without an answer.  Sets
   WAIT_MS to the time for which the answer asks the client to wait.  */
static int
send_request (const struct load *load, struct wire_conn *conn, const char *id,
              int64_t *wait_ms)
{
  char head[512];
  char value[HEADER_SIZE];
  struct wire_message answer;
  int length = write_head (load, "GET", id, 0, head, sizeof head);
  memset (&answer, 0, sizeof answer);
  bool done
      = wire_write (conn, head, (size_t)length) && wire_read (conn, &answer);
  int status = done ? wire_status (&answer) : 0;
  wire_header (&answer, "Retry-After", value, sizeof value);
  *wait_ms = (int64_t)(strtod (value, NULL) * 1000);
  if (*wait_ms > load->deadline_ms / 3)
    *wait_ms = load->deadline_ms / 3;
  wire_header (&answer, "Connection", value, sizeof value);
  wire_clear (&answer);
  if (!done || strcmp (value, "close") == 0)
    wire_close (conn);
  return status;
}

static void *
run_worker (void *context)
{
  const struct worker *worker = context;
  const struct load *load = worker->load;
  char gate[HEADER_SIZE];
  struct wire_conn conn = { .fd = -1 };
  wire_entry (load->gates, worker->number, gate, sizeof gate);
  for (int i = 0; wire_now_ms () < load->end_at; i++)
    {
      char id[HEADER_SIZE];
      int64_t wait_ms = 0;
      snprintf (id, sizeof id, "%s-%u-%d", load->prefix, worker->number, i);
      int64_t sent = wire_now_ms ();
      int status = 0;
      if (conn.fd >= 0
          || wire_dial (gate, (int)load->deadline_ms + 500, &conn))
        status = send_request (load, &conn, id, &wait_ms);
      wire_record (load->record, "answer %s %d after %lld", id, status,
                   (long long)(wire_now_ms () - sent));
      wire_sleep_ms (wait_ms > load->pause_ms ? wait_ms : load->pause_ms);
    }
  wire_close (&conn);
  return NULL;
}

/* Sends requests over kept connections, one at a time a worker.  */
int
client_load (int argc, char **argv)
{
  static struct worker workers[WORKERS_MAX];
  static struct load load;
  int64_t count = wire_option_number (argc, argv, "--workers", 1);
  load.gates = wire_option (argc, argv, "--gates", "");
  load.host = wire_option (argc, argv, "--host", "h.example");
  load.path = wire_option (argc, argv, "--path", "/x/");
  load.prefix = wire_option (argc, argv, "--prefix", "r");
  load.record = wire_option (argc, argv, "--record", "/dev/null");
  load.deadline_ms = wire_option_number (argc, argv, "--deadline-ms", 2000);
  load.pause_ms = wire_option_number (argc, argv, "--pause-ms", 100);
  load.end_at
      = wire_now_ms () + wire_option_number (argc, argv, "--for-ms", 1000);
  for (unsigned i = 0; i < count && i < WORKERS_MAX; i++)
    {
      workers[i] = (struct worker){ .load = &load, .number = i };
      if (pthread_create (&workers[i].thread, NULL, run_worker, &workers[i])
          != 0)
        return 2;
    }
  for (unsigned i = 0; i < count && i < WORKERS_MAX; i++)
    pthread_join (workers[i].thread, NULL);
  return 0;
}

/* ------------------------------------------------------------ slow uplink */

/* Sends one POST whose body takes --over-ms, in even parts.  Records when its
   first and last byte were sent, and how it ended.  */
int
client_upload (int argc, char **argv)
{
  char head[512];
  char part[4096];
  struct wire_conn conn;
  struct wire_message answer = { .body = NULL };
  struct load load
      = { .host = wire_option (argc, argv, "--host", "h.example"),
          .path = wire_option (argc, argv, "--path", "/x/"),
          .record = wire_option (argc, argv, "--record", "/dev/null"),
          .deadline_ms
          = wire_option_number (argc, argv, "--deadline-ms", 8000) };
  const char *id = wire_option (argc, argv, "--id", "u");
  int64_t bytes = wire_option_number (argc, argv, "--bytes", 40000);
  int64_t over_ms = wire_option_number (argc, argv, "--over-ms", 2000);
  int64_t wait_ms = wire_option_number (argc, argv, "--wait-ms", 0);
  if (!wire_dial (wire_option (argc, argv, "--to", ""), 20000, &conn))
    return 2;
  wire_sleep_ms (wait_ms);
  int length
      = write_head (&load, "POST", id, (size_t)bytes, head, sizeof head);
  bool open = wire_write (&conn, head, (size_t)length);
  wire_record (load.record, "first %s", id);
  memset (part, 'u', sizeof part);
  int64_t started = wire_now_ms ();
  for (int64_t sent = 0; open && sent < bytes;)
    {
      int64_t count = bytes - sent < 1000 ? bytes - sent : 1000;
      open = wire_write (&conn, part, (size_t)count);
      sent += count;
      if (sent < bytes)
        wire_sleep_ms (started + over_ms * sent / bytes - wire_now_ms ());
    }
  wire_record (load.record, "last %s %s", id, open ? "sent" : "not-sent");
  int status = open && wire_read (&conn, &answer) ? wire_status (&answer) : 0;
  wire_record (load.record, "ended %s %d", id, status);
  wire_clear (&answer);
  wire_close (&conn);
  return 0;
}

int
main (int argc, char **argv)
{
  static const struct
  {
    const char *name;
    int (*run) (int argc, char **argv);
  } commands[] = { { "server", server_run },
                   { "call", client_call },
                   { "load", client_load },
                   { "upload", client_upload } };
  for (size_t i = 0; argc > 1 && i < sizeof commands / sizeof *commands; i++)
    if (strcmp (argv[1], commands[i].name) == 0)
      return commands[i].run (argc, argv);
  fprintf (stderr, "usage: stand server|call|load|upload [--OPTION VALUE]\n");
  return 2;
}

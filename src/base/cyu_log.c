#include "base/cyu_log.h"

#include <errno.h>
#include <inttypes.h>
#include <jansson.h>
#include <limits.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/cyu_metrics.h"

#define GATHER_MS  50 /* ms that lines are gathered before one write */
#define EVENTS_MAX 64 /* names of events that are sampled */

static const char *log_program = "cyclamenhaven";
static char *log_vm; /* NULL until the start */
static gboolean log_json;

/* ------------------------------------------------------------ ring */

static struct
{
  GMutex lock;
  GCond changed;
  GThread *thread;
  int fd;
  gboolean started;
  gboolean stop;
  gboolean ended; /* the thread has written all */
  uint64_t lost;  /* lines without room, not yet told */
  size_t head;
  size_t used;
  char bytes[CYU_LOG_RING_BYTES];
} ring = { .fd = STDOUT_FILENO };

static void
count_left_out (const char *why, int64_t lines)
{
  char *labels = g_strdup_printf ("why=\"%s\"", why);
  cyu_metric_add (cyu_counter ("cy_log_lines_left_out_total", labels,
                               "log lines that were not written"),
                  lines);
  g_free (labels);
}

/* With the lock held.  */
static gboolean
ring_put (const char *text, size_t length)
{
  if (ring.used + length > sizeof ring.bytes)
    return FALSE;
  size_t tail = (ring.head + ring.used) % sizeof ring.bytes;
  size_t first = MIN (length, sizeof ring.bytes - tail);
  memcpy (ring.bytes + tail, text, first);
  memcpy (ring.bytes, text + first, length - first);
  if (ring.used == 0)
    g_cond_signal (&ring.changed);
  ring.used += length;
  return TRUE;
}

void
cyu_log_print (const char *line)
{
  size_t length = strlen (line);
  if (!ring.started)
    {
      fputs (line, stdout);
      fflush (stdout);
      return;
    }
  g_mutex_lock (&ring.lock);
  gboolean kept = ring_put (line, length);
  ring.lost += !kept;
  g_mutex_unlock (&ring.lock);
  if (!kept)
    count_left_out ("full", 1);
}

/* Writes COUNT bytes at DATA; returns how many went, 0 when none ever will. */
static size_t
write_some (const char *data, size_t count)
{
  for (;;)
    {
      ssize_t done = write (ring.fd, data, count);
      if (done > 0)
        return (size_t)done;
      if (done == 0 || (errno != EAGAIN && errno != EINTR))
        return 0;
      struct pollfd wait = { .fd = ring.fd, .events = POLLOUT };
      poll (&wait, 1, GATHER_MS);
    }
}

static char *line_of (const char *level, json_t *fields);

/* With the lock held: tells of lines that found no room, once there is.  */
static void
tell_lost (void)
{
  if (ring.lost == 0)
    return;
  json_t *fields = json_pack ("{ss sI}", "event", "lines_lost", "lines",
                              (json_int_t)ring.lost);
  char *line = line_of ("warning", fields);
  if (ring_put (line, strlen (line)))
    ring.lost = 0;
  g_free (line);
}

/* With the lock held: copies whole lines to CHUNK, as many as one write puts
   into a pipe in one piece, or a single longer one that OUT then owns.  */
static size_t
take_lines (char chunk[PIPE_BUF], char **out)
{
  size_t whole = 0;
  size_t length = 0;
  while (length < ring.used && (length < PIPE_BUF || whole == 0))
    {
      char byte = ring.bytes[(ring.head + length) % sizeof ring.bytes];
      length++;
      if (byte == '\n')
        whole = length;
    }
  whole = whole > 0 ? whole : length;
  *out = whole <= PIPE_BUF ? chunk : g_malloc (whole);
  size_t first = MIN (whole, sizeof ring.bytes - ring.head);
  memcpy (*out, ring.bytes + ring.head, first);
  memcpy (*out + first, ring.bytes, whole - first);
  return whole;
}

/* Writes all COUNT bytes; a closed output takes no more, what is there is
   dropped.  */
static void
write_all (const char *data, size_t count)
{
  size_t done = 0;
  while (count > 0 && (done = write_some (data, count)) > 0)
    {
      data += done;
      count -= done;
    }
}

/* With the lock held, which it gives away while it writes: writes what is
   there.  Other processes may write to the same pipe, so each write is whole
   lines.  */
static void
write_ring (void)
{
  char chunk[PIPE_BUF];
  while (ring.used > 0)
    {
      char *out = NULL;
      size_t count = take_lines (chunk, &out);
      g_mutex_unlock (&ring.lock);
      write_all (out, count);
      if (out != chunk)
        g_free (out);
      g_mutex_lock (&ring.lock);
      ring.head = (ring.head + count) % sizeof ring.bytes;
      ring.used -= count;
    }
}

static gpointer
drain (gpointer unused)
{
  (void)unused;
  g_mutex_lock (&ring.lock);
  for (;;)
    {
      tell_lost ();
      while (ring.used == 0 && !ring.stop)
        g_cond_wait (&ring.changed, &ring.lock);
      if (ring.used == 0)
        break;
      if (!ring.stop)
        g_cond_wait_until (&ring.changed, &ring.lock,
                           g_get_monotonic_time ()
                               + GATHER_MS * G_TIME_SPAN_MILLISECOND);
      write_ring ();
    }
  ring.ended = TRUE;
  g_cond_broadcast (&ring.changed);
  g_mutex_unlock (&ring.lock);
  return NULL;
}

/* ------------------------------------------------------------ sampling */

static struct
{
  GMutex lock;
  const struct cy_clock *clock; /* NULL: the system's */
  int64_t limits[2];            /* by weight */
  size_t count;
  struct
  {
    const char *name;
    int64_t second;
    int64_t lines;    /* in SECOND */
    int64_t left_out; /* since the last line that told of it */
  } events[EVENTS_MAX];
} sample = { .limits = { CYU_LOG_DETAIL_RATE, CYU_LOG_FAULT_RATE } };

void
cyu_log_limits (int64_t details, int64_t faults)
{
  g_mutex_lock (&sample.lock);
  sample.limits[CYU_DETAIL] = details;
  sample.limits[CYU_FAULT] = faults;
  g_mutex_unlock (&sample.lock);
}

void
cyu_log_clock (const struct cy_clock *clock)
{
  sample.clock = clock;
}

static int64_t
sample_second (void)
{
  return sample.clock == NULL ? g_get_monotonic_time () / G_USEC_PER_SEC
                              : cy_clock_now (sample.clock) / CY_NS_PER_S;
}

/* With the lock held; EVENTS_MAX when the table is full.  */
static size_t
find_event (const char *name)
{
  size_t i = 0;
  while (i < sample.count && strcmp (sample.events[i].name, name) != 0)
    i++;
  if (i == sample.count && i < EVENTS_MAX)
    {
      memset (&sample.events[i], 0, sizeof sample.events[i]);
      sample.events[i].name = name;
      sample.count++;
    }
  return i;
}

gboolean
cyu_event_wanted (enum cyu_weight weight, const char *name)
{
  if (weight == CYU_CHANGE)
    return TRUE;
  int64_t second = sample_second ();
  int64_t left_out = 0;
  g_mutex_lock (&sample.lock);
  size_t i = find_event (name);
  gboolean wanted = i < EVENTS_MAX;
  if (wanted && sample.events[i].second != second)
    {
      left_out = sample.events[i].left_out;
      sample.events[i].second = second;
      sample.events[i].lines = 0;
      sample.events[i].left_out = 0;
    }
  if (wanted)
    {
      wanted = sample.events[i].lines < sample.limits[weight];
      sample.events[i].lines += wanted;
      sample.events[i].left_out += !wanted;
    }
  g_mutex_unlock (&sample.lock);
  if (!wanted)
    count_left_out ("rate", 1);
  if (left_out > 0)
    cyu_event (CYU_CHANGE, "lines_left_out", "{ss sI}", "of", name, "lines",
               (json_int_t)left_out);
  return wanted;
}

/* ------------------------------------------------------------ lines */

static const char *
level_name (GLogLevelFlags level)
{
  if (level & G_LOG_LEVEL_ERROR)
    return "fatal";
  if (level & G_LOG_LEVEL_CRITICAL)
    return "error";
  if (level & G_LOG_LEVEL_WARNING)
    return "warning";
  if (level & G_LOG_LEVEL_DEBUG)
    return "debug";
  return "info";
}

static char *
time_text (void)
{
  GDateTime *now = g_date_time_new_now_utc ();
  char *when = g_date_time_format (now, "%Y-%m-%dT%H:%M:%S.%fZ");
  g_date_time_unref (now);
  return when;
}

/* FIELDS as "name=value name=value".  */
static char *
fields_text (json_t *fields)
{
  GString *text = g_string_new (NULL);
  const char *name = NULL;
  json_t *value = NULL;
  json_object_foreach (fields, name, value)
  {
    char *dumped = json_dumps (value, JSON_ENCODE_ANY | JSON_COMPACT);
    g_string_append_printf (text, "%s%s=%s", text->len > 0 ? " " : "", name,
                            dumped == NULL ? "?" : dumped);
    free (dumped);
  }
  return g_string_free (text, FALSE);
}

/* Takes FIELDS over, which may be NULL.  Freed by g_free.  */
static char *
line_of (const char *level, json_t *fields)
{
  char *when = time_text ();
  char *line = NULL;
  if (log_json)
    {
      json_t *all = json_pack ("{ss ss ss ss}", "time", when, "level", level,
                               "program", log_program, "vm",
                               log_vm == NULL ? "" : log_vm);
      json_object_update (all, fields);
      char *dumped = json_dumps (all, JSON_COMPACT);
      line = g_strdup_printf ("%s\n", dumped == NULL ? "{}" : dumped);
      free (dumped);
      json_decref (all);
    }
  else
    {
      char *text = fields_text (fields);
      line = g_strdup_printf ("%s %s %s[%s] %s\n", when, level, log_program,
                              log_vm == NULL ? "" : log_vm, text);
      g_free (text);
    }
  g_free (when);
  json_decref (fields);
  return line;
}

void
cyu_event (enum cyu_weight weight, const char *name, const char *format, ...)
{
  json_error_t error;
  va_list args;
  va_start (args, format);
  json_t *fields = json_vpack_ex (&error, 0, format, args);
  va_end (args);
  json_t *all = json_pack ("{ss}", "event", name);
  if (fields == NULL)
    json_object_set_new (all, "malformed", json_string (error.text));
  else
    json_object_update (all, fields);
  json_decref (fields);
  char *line = line_of (weight == CYU_FAULT ? "warning" : "info", all);
  cyu_log_print (line);
  g_free (line);
}

/* ------------------------------------------------------------ messages */

static const char *
find_message (const GLogField *fields, gsize count)
{
  for (gsize i = 0; i < count; i++)
    if (g_strcmp0 (fields[i].key, "MESSAGE") == 0)
      return fields[i].value;
  return "";
}

static GLogWriterOutput
write_message (GLogLevelFlags level, const GLogField *fields, gsize count,
               gpointer unused)
{
  (void)unused;
  if ((level & G_LOG_LEVEL_DEBUG) && g_getenv ("G_MESSAGES_DEBUG") == NULL)
    return G_LOG_WRITER_HANDLED;
  const char *message = find_message (fields, count);
  char *line
      = line_of (level_name (level), json_pack ("{ss?}", "message", message));
  cyu_log_print (line);
  g_free (line);
  /* The process ends after this line, and why must be written.  */
  if (level & (G_LOG_LEVEL_ERROR | G_LOG_FLAG_FATAL))
    cyu_log_stop (CYU_LOG_STOP_MS);
  return G_LOG_WRITER_HANDLED;
}

void
cyu_log (GLogLevelFlags level, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  char *message = g_strdup_vprintf (format, args);
  va_end (args);
  g_log_structured (log_program, level, "MESSAGE", "%s", message);
  g_free (message);
}

/* ------------------------------------------------------------ life */

void
cyu_log_output (int fd)
{
  g_mutex_lock (&ring.lock);
  ring.fd = fd;
  g_mutex_unlock (&ring.lock);
}

static void
stop_at_exit (void)
{
  cyu_log_stop (CYU_LOG_STOP_MS);
}

void
cyu_log_start (const char *program, const char *vm, gboolean json)
{
  log_program = program;
  log_vm = g_strdup (vm);
  log_json = json;
  g_log_set_writer_func (write_message, NULL, NULL);
  ring.started = TRUE;
  /* Signals are for the program's own threads, which may block them later. */
  sigset_t all;
  sigset_t before;
  sigfillset (&all);
  pthread_sigmask (SIG_BLOCK, &all, &before);
  ring.thread = g_thread_new ("log", drain, NULL);
  pthread_sigmask (SIG_SETMASK, &before, NULL);
  atexit (stop_at_exit);
}

void
cyu_log_stop (int64_t ms)
{
  gint64 until = g_get_monotonic_time () + ms * G_TIME_SPAN_MILLISECOND;
  if (ring.thread == NULL)
    return;
  g_mutex_lock (&ring.lock);
  ring.stop = TRUE;
  g_cond_broadcast (&ring.changed);
  while (!ring.ended && g_cond_wait_until (&ring.changed, &ring.lock, until))
    ;
  gboolean ended = ring.ended;
  g_mutex_unlock (&ring.lock);
  /* A thread that its reader keeps waiting ends with the process.  */
  if (ended)
    g_thread_join (ring.thread);
  else
    g_thread_unref (ring.thread);
  ring.thread = NULL;
}

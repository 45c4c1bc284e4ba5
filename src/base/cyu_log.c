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

#define BATCH_MS        50 /* ms that lines are collected for one write */
#define EVENT_NAMES_MAX 64 /* names of events that are rate-limited */

static const char *log_program = "cyclamenhaven";
static char *log_vm; /* NULL before cyu_log_start */
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
  gboolean ended; /* the thread has written all lines */
  uint64_t lost;  /* lines dropped and not reported yet */
  size_t head;    /* index of the oldest byte */
  size_t used;    /* bytes from head on */
  char bytes[CYU_LOG_RING_BYTES];
} ring = { .fd = STDOUT_FILENO };

static void
count_omitted (const char *reason, int64_t lines)
{
  char *labels = g_strdup_printf ("why=\"%s\"", reason);
  cyu_metric_add (cyu_counter ("cy_log_lines_left_out_total", labels,
                               "log lines that were not written"),
                  lines);
  g_free (labels);
}

/* With the lock held: adds TEXT to the ring; FALSE when it does not fit.  */
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
  gboolean stored = ring_put (line, length);
  ring.lost += !stored;
  g_mutex_unlock (&ring.lock);
  if (!stored)
    count_omitted ("full", 1);
}

/* Writes up to COUNT bytes of DATA, waiting until the output accepts some.
   Returns the count of written bytes, 0 when the output is closed or fails. */
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
      poll (&wait, 1, BATCH_MS);
    }
}

static char *line_create (const char *level, json_t *fields);

/* With the lock held: adds a line that reports the count of dropped lines, if
   the line fits into the ring.  */
static void
put_lost_lines (void)
{
  if (ring.lost == 0)
    return;
  json_t *fields = json_pack ("{ss sI}", "event", "lines_lost", "lines",
                              (json_int_t)ring.lost);
  char *line = line_create ("warning", fields);
  if (ring_put (line, strlen (line)))
    ring.lost = 0;
  g_free (line);
}

/* With the lock held: copies complete lines from the ring and returns their
   length.  *OUT is CHUNK with as many lines as one atomic write to a pipe
   holds, or a new buffer with a single longer line, which the caller frees
   with g_free.  */
static size_t
copy_lines (char chunk[PIPE_BUF], char **out)
{
  size_t line_end = 0;
  size_t length = 0;
  while (length < ring.used && (length < PIPE_BUF || line_end == 0))
    {
      char byte = ring.bytes[(ring.head + length) % sizeof ring.bytes];
      length++;
      if (byte == '\n')
        line_end = length;
    }
  line_end = line_end > 0 ? line_end : length;
  *out = line_end <= PIPE_BUF ? chunk : g_malloc (line_end);
  size_t first = MIN (line_end, sizeof ring.bytes - ring.head);
  memcpy (*out, ring.bytes + ring.head, first);
  memcpy (*out + first, ring.bytes, line_end - first);
  return line_end;
}

/* Writes COUNT bytes of DATA.  The rest is dropped when the output is
   closed.  */
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

/* With the lock held, which is released during each write: writes all lines of
   the ring.  Each write consists of complete lines, because other processes
   may write to the same pipe.  */
static void
write_ring (void)
{
  char chunk[PIPE_BUF];
  while (ring.used > 0)
    {
      char *out = NULL;
      size_t count = copy_lines (chunk, &out);
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
run_writer (gpointer unused)
{
  (void)unused;
  g_mutex_lock (&ring.lock);
  for (;;)
    {
      put_lost_lines ();
      while (ring.used == 0 && !ring.stop)
        g_cond_wait (&ring.changed, &ring.lock);
      if (ring.used == 0)
        break;
      if (!ring.stop)
        g_cond_wait_until (&ring.changed, &ring.lock,
                           g_get_monotonic_time ()
                               + BATCH_MS * G_TIME_SPAN_MILLISECOND);
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
  const struct cy_clock *clock; /* NULL: the system's clock */
  int64_t limits[2];            /* lines/s, by class of event */
  size_t count;                 /* number of names in EVENTS */
  struct
  {
    const char *name;
    int64_t second;   /* second of the clock in which LINES were logged */
    int64_t lines;    /* lines logged in SECOND */
    int64_t left_out; /* lines left out and not reported yet */
  } events[EVENT_NAMES_MAX];
} sample = { .limits = { CYU_LOG_DETAIL_RATE, CYU_LOG_FAULT_RATE } };

void
cyu_log_set_limits (int64_t details, int64_t faults)
{
  g_mutex_lock (&sample.lock);
  sample.limits[CYU_DETAIL] = details;
  sample.limits[CYU_FAULT] = faults;
  g_mutex_unlock (&sample.lock);
}

void
cyu_log_set_clock (const struct cy_clock *clock)
{
  sample.clock = clock;
}

static int64_t
sample_second (void)
{
  return sample.clock == NULL ? g_get_monotonic_time () / G_USEC_PER_SEC
                              : cy_clock_now (sample.clock) / CY_NS_PER_S;
}

/* With the lock held: returns the index of NAME in sample.events and adds NAME
   if needed; EVENT_NAMES_MAX when the table is full.  */
static size_t
find_event (const char *name)
{
  size_t i = 0;
  while (i < sample.count && strcmp (sample.events[i].name, name) != 0)
    i++;
  if (i == sample.count && i < EVENT_NAMES_MAX)
    {
      memset (&sample.events[i], 0, sizeof sample.events[i]);
      sample.events[i].name = name;
      sample.count++;
    }
  return i;
}

gboolean
cyu_event_wanted (enum cyu_event_class event_class, const char *name)
{
  if (event_class == CYU_CHANGE)
    return TRUE;
  int64_t second = sample_second ();
  int64_t left_out = 0;
  g_mutex_lock (&sample.lock);
  size_t i = find_event (name);
  gboolean wanted = i < EVENT_NAMES_MAX;
  if (wanted && sample.events[i].second != second)
    {
      left_out = sample.events[i].left_out;
      sample.events[i].second = second;
      sample.events[i].lines = 0;
      sample.events[i].left_out = 0;
    }
  if (wanted)
    {
      wanted = sample.events[i].lines < sample.limits[event_class];
      sample.events[i].lines += wanted;
      sample.events[i].left_out += !wanted;
    }
  g_mutex_unlock (&sample.lock);
  if (!wanted)
    count_omitted ("rate", 1);
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

/* Returns FIELDS as "name=value name=value", freed by g_free.  */
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

/* Returns the line of an event, freed by g_free.  Takes ownership of FIELDS,
   which may be NULL.  */
static char *
line_create (const char *level, json_t *fields)
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
cyu_event (enum cyu_event_class event_class, const char *name,
           const char *format, ...)
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
  char *line
      = line_create (event_class == CYU_FAULT ? "warning" : "info", all);
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
  char *line = line_create (level_name (level),
                            json_pack ("{ss?}", "message", message));
  cyu_log_print (line);
  g_free (line);
  /* The process ends after this line, which has to be written before.  */
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

/* ------------------------------------------------------------ start */

void
cyu_log_set_output (int fd)
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
  /* The log's thread blocks all signals.  They are for the threads of the
     program, which may block some of them later.  */
  sigset_t all;
  sigset_t before;
  sigfillset (&all);
  pthread_sigmask (SIG_BLOCK, &all, &before);
  ring.thread = g_thread_new ("log", run_writer, NULL);
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
  /* A thread that still waits for a slow reader ends with the process.  */
  if (ended)
    g_thread_join (ring.thread);
  else
    g_thread_unref (ring.thread);
  ring.thread = NULL;
}

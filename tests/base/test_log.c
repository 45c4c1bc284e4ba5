/* The log under load: a reader that does not read delays no thread, a flood of
   events is limited and the omitted lines are reported, and every line is
   complete.  */

#include <fcntl.h>
#include <glib.h>
#include <jansson.h>
#include <limits.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "base/cyu_log.h"
#include "base/cyu_metrics.h"
#include "cy_test.h"

#define FLOOD_LINES 20000

/* ms, longest time to log FLOOD_LINES while nobody reads the output.  */
#define FLOOD_MAX_MS 1000

static int ends[2];

static void
start_log (gboolean json)
{
  ck_assert_int_eq (pipe2 (ends, O_CLOEXEC), 0);
  cyu_log_set_output (ends[1]);
  cyu_log_start ("test", "vm-1", json);
}

/* Returns the text written to the pipe until its writer closes it.  */
static gpointer
read_all (gpointer unused)
{
  GString *text = g_string_new (NULL);
  char block[4096];
  ssize_t count = 0;
  (void)unused;
  while ((count = read (ends[0], block, sizeof block)) > 0)
    g_string_append_len (text, block, count);
  return g_string_free (text, FALSE);
}

static char *
stop_and_read (void)
{
  GThread *reader = g_thread_new ("reader", read_all, NULL);
  cyu_log_stop (5000);
  close (ends[1]);
  return g_thread_join (reader);
}

/* Counts lines whose event is NAME and sums their field LINES.  */
static int
count_events (const char *text, const char *name, json_int_t *lines)
{
  gchar **rows = g_strsplit (text, "\n", -1);
  int count = 0;
  for (gchar **row = rows; *row != NULL; row++)
    {
      json_t *line = (*row)[0] == '\0' ? NULL : json_loads (*row, 0, NULL);
      ck_assert ((*row)[0] == '\0' || json_is_object (line));
      const char *event = json_string_value (json_object_get (line, "event"));
      if (g_strcmp0 (event, name) == 0)
        {
          count++;
          *lines += json_integer_value (json_object_get (line, "lines"));
        }
      json_decref (line);
    }
  g_strfreev (rows);
  return count;
}

/* A write to a full pipe would block the threads that log.  */
START_TEST (test_blocked_output)
{
  start_log (TRUE);
  gint64 started = g_get_monotonic_time ();
  for (int i = 0; i < FLOOD_LINES; i++)
    cyu_event (CYU_CHANGE, "belief", "{si}", "number", i);
  gint64 elapsed_us = g_get_monotonic_time () - started;
  ck_assert_int_lt (elapsed_us / 1000, FLOOD_MAX_MS);
  char *text = stop_and_read ();
  json_int_t lost = 0;
  json_int_t unused = 0;
  int logged = count_events (text, "belief", &unused);
  int reports = count_events (text, "lines_lost", &lost);
  ck_assert_int_gt (reports, 0);
  ck_assert_int_eq (logged + lost, FLOOD_LINES);
  g_free (text);
}
END_TEST

struct flood_case
{
  enum cyu_event_class event_class;
  int events;
  int lines_min; /* fewest lines allowed */
  int lines_max; /* most lines allowed */
};

static cy_time_ns now = 7 * CY_NS_PER_S;

static cy_time_ns
fake_now (void *context)
{
  (void)context;
  return now;
}

static const struct flood_case floods[] = {
  { CYU_DETAIL, 1000, 5, 5 },
  { CYU_FAULT, 1000, 7, 7 },
  { CYU_FAULT, 3, 3, 3 },
  { CYU_CHANGE, 200, 200, 200 },
};

/* Each class of event gets the lines that its limit allows in a second, and
   the count of omitted lines is reported in a later second.  */
START_TEST (test_flood)
{
  const struct flood_case *row = &floods[_i];
  static const struct cy_clock clock = { .now = fake_now };
  start_log (TRUE);
  cyu_log_set_clock (&clock);
  cyu_log_set_limits (5, 7);
  for (int i = 0; i < row->events; i++)
    if (cyu_event_wanted (row->event_class, "flood"))
      cyu_event (row->event_class, "flood", "{si}", "number", i);
  now += CY_NS_PER_S;
  int refused = cyu_event_wanted (row->event_class, "flood") ? 0 : 1;
  char *text = stop_and_read ();
  json_int_t left_out = 0;
  json_int_t unused = 0;
  int lines = count_events (text, "flood", &unused);
  count_events (text, "lines_left_out", &left_out);
  ck_assert_int_ge (lines, row->lines_min);
  ck_assert_int_le (lines, row->lines_max);
  ck_assert_int_eq (lines + left_out + refused, row->events);
  g_free (text);
}
END_TEST

START_TEST (test_text)
{
  start_log (FALSE);
  cyu_log (G_LOG_LEVEL_WARNING, "disk %s is full", "d1");
  cyu_event (CYU_CHANGE, "lease", "{ss si}", "zone", "a\nb", "term", 3);
  char *text = stop_and_read ();
  ck_assert_ptr_nonnull (strstr (text, "message=\"disk d1 is full\"\n"));
  ck_assert_ptr_nonnull (
      strstr (text, "event=\"lease\" zone=\"a\\nb\" term=3\n"));
  g_free (text);
}
END_TEST

/* Several processes may write to one pipe: their lines would be mixed if a
   write ended within a line or was larger than PIPE_BUF, the limit of an
   atomic write.  A SOCK_SEQPACKET socket shows each write.  */
START_TEST (test_whole_lines)
{
  char message[1 << 17];
  ssize_t length = 0;
  int writes = 0;
  ck_assert_int_eq (
      socketpair (AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC, 0, ends), 0);
  cyu_log_set_output (ends[1]);
  cyu_log_start ("test", "vm-1", TRUE);
  char *filler = g_strnfill (700, 'x');
  for (int i = 0; i < 300; i++)
    cyu_event (CYU_CHANGE, "belief", "{si s+}", "number", i, "filler", filler,
               i % 2 == 0 ? "" : filler);
  g_free (filler);
  int lines = 0;
  while (lines < 300
         && (length = recv (ends[0], message, sizeof message, 0)) > 0)
    {
      writes++;
      ck_assert_int_le (length, PIPE_BUF);
      ck_assert_int_eq (message[length - 1], '\n');
      for (ssize_t position = 0; position < length; position++)
        lines += message[position] == '\n';
    }
  ck_assert_int_eq (lines, 300);
  ck_assert_int_lt (writes, 300);
  cyu_log_stop (5000);
  close (ends[0]);
  close (ends[1]);
}
END_TEST

/* Returns the mask of the signals that thread TASK of this process blocks.  */
static uint64_t
read_blocked_signals (const char *task)
{
  char *path = g_strdup_printf ("/proc/self/task/%s/status", task);
  char *text = NULL;
  ck_assert (g_file_get_contents (path, &text, NULL, NULL));
  const char *line = strstr (text, "SigBlk:");
  ck_assert_ptr_nonnull (line);
  uint64_t mask = g_ascii_strtoull (line + strlen ("SigBlk:"), NULL, 16);
  g_free (text);
  g_free (path);
  return mask;
}

static gpointer
do_nothing (gpointer unused)
{
  return unused;
}

/* Returns the set of the thread ids of this process.  */
static GHashTable *
list_threads (void)
{
  GHashTable *set
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  GDir *tasks = g_dir_open ("/proc/self/task", 0, NULL);
  const char *task = NULL;
  while ((task = g_dir_read_name (tasks)) != NULL)
    g_hash_table_add (set, g_strdup (task));
  g_dir_close (tasks);
  return set;
}

/* A program may block its signals after the log has started.  A signal that
   the log's thread does not block would then end the program.  */
START_TEST (test_signals)
{
  const uint64_t sigterm = UINT64_C (1) << (SIGTERM - 1);
  /* A sanitizer starts a thread of its own together with the first thread of
     the process: start one before threads are counted.  */
  g_thread_join (g_thread_new ("first", do_nothing, NULL));
  GHashTable *before = list_threads ();
  start_log (TRUE);
  GHashTable *after = list_threads ();
  int new_threads = 0;
  GHashTableIter iter;
  gpointer task;
  g_hash_table_iter_init (&iter, after);
  while (g_hash_table_iter_next (&iter, &task, NULL))
    if (!g_hash_table_contains (before, task))
      {
        new_threads++;
        ck_assert (read_blocked_signals (task) & sigterm);
      }
  ck_assert_int_eq (new_threads, 1);
  g_hash_table_destroy (before);
  g_hash_table_destroy (after);
  g_free (stop_and_read ());
}
END_TEST

/* A process that ends with g_error must have written the reason, although the
   log's thread writes later.  */
START_TEST (test_last_line)
{
  ck_assert_int_eq (pipe2 (ends, O_CLOEXEC), 0);
  pid_t child = fork ();
  if (child == 0)
    {
      cyu_log_set_output (ends[1]);
      cyu_log_start ("test", "vm-1", TRUE);
      g_error ("the log has a gap");
    }
  close (ends[1]);
  char *text = read_all (NULL);
  ck_assert_int_eq (waitpid (child, NULL, 0), child);
  ck_assert_ptr_nonnull (strstr (text, "the log has a gap"));
  g_free (text);
}
END_TEST

/* Lines for an output that is closed are dropped without an error or a
   delay.  */
START_TEST (test_closed_output)
{
  signal (SIGPIPE, SIG_IGN);
  start_log (TRUE);
  close (ends[0]);
  for (int i = 0; i < FLOOD_LINES; i++)
    cyu_event (CYU_CHANGE, "belief", "{si}", "number", i);
  cyu_log_stop (5000);
  close (ends[1]);
}
END_TEST

static const struct
{
  int64_t us;
  const char *bucket; /* upper bound of the smallest bucket that holds US, s */
} times[] = {
  { 0, "0.000128" },    { 128, "0.000128" },       { 129, "0.000160" },
  { 160, "0.000160" },  { 161, "0.000192" },       { 1000, "0.001024" },
  { 1025, "0.001280" }, { 60000000, "67.108864" }, { 90000000, "+Inf" },
};

START_TEST (test_histogram)
{
  struct cyu_metric *metric = cyu_histogram ("t_seconds", "a=\"b\"", "a time");
  cyu_metric_record_time (metric, times[_i].us);
  char *text = cyu_metrics_print ();
  char *row = g_strdup_printf ("t_seconds_bucket{a=\"b\",le=\"%s\"} 1\n",
                               times[_i].bucket);
  ck_assert_msg (strstr (text, row) != NULL, "%s not in %s", row, text);
  char *sum = g_strdup_printf ("t_seconds_sum{a=\"b\"} %.6f\n"
                               "t_seconds_count{a=\"b\"} 1\n",
                               (double)times[_i].us / 1e6);
  ck_assert_msg (strstr (text, sum) != NULL, "%s not in %s", sum, text);
  g_free (sum);
  g_free (row);
  g_free (text);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("log");
  TCase *tcase = tcase_create ("log");
  tcase_set_timeout (tcase, 30);
  tcase_add_test (tcase, test_blocked_output);
  tcase_add_loop_test (tcase, test_flood, 0, G_N_ELEMENTS (floods));
  tcase_add_test (tcase, test_text);
  tcase_add_test (tcase, test_whole_lines);
  tcase_add_test (tcase, test_signals);
  tcase_add_test (tcase, test_last_line);
  tcase_add_test (tcase, test_closed_output);
  tcase_add_loop_test (tcase, test_histogram, 0, G_N_ELEMENTS (times));
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}

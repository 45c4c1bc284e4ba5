#include "hub/cyc_departure_writer.h"

#include <pthread.h>

#include "base/cyu_log.h"
#include "base/cyu_metrics.h"

struct change
{
  char *id;
  GBytes *record; /* NULL: the record is removed */
};

/* Receiver of reports; outlives the writer while reports are queued in the
   loop.  */
struct receiver
{
  cyc_departure_written_fn written; /* NULL once the writer is destroyed;
                                       loop's thread only */
  void *context;
};

struct report
{
  struct receiver *receiver;
  uint64_t ticket;
};

struct cyc_departure_writer
{
  struct cyn_loop *loop;
  struct cyd_journal *journal;
  struct receiver *receiver;
  struct cyu_metric *write_count;
  pthread_t thread;
  GMutex lock; /* guards the fields below */
  GCond wake_cond;
  GArray *changes; /* struct change */
  uint64_t ticket; /* of the last change in CHANGES */
  bool stopping;
};

static void
clear_change (void *item)
{
  struct change *change = item;
  g_free (change->id);
  if (change->record != NULL)
    g_bytes_unref (change->record);
}

static GArray *
create_changes (void)
{
  GArray *changes = g_array_new (FALSE, FALSE, sizeof (struct change));
  g_array_set_clear_func (changes, clear_change);
  return changes;
}

/* ------------------------------------------------------------ thread */

static void
deliver_report (void *context)
{
  struct report *report = context;
  if (report->receiver->written != NULL)
    report->receiver->written (report->ticket, report->receiver->context);
  g_atomic_rc_box_release (report->receiver);
  g_free (report);
}

static void
post_report (struct cyc_departure_writer *writer, uint64_t ticket)
{
  struct report *report = g_new (struct report, 1);
  report->receiver = g_atomic_rc_box_acquire (writer->receiver);
  report->ticket = ticket;
  cyn_loop_post (writer->loop, deliver_report, report);
}

static void
apply_changes (struct cyd_journal *journal, const GArray *changes)
{
  for (guint i = 0; i < changes->len; i++)
    {
      const struct change *change = &g_array_index (changes, struct change, i);
      if (change->record == NULL)
        cyd_journal_remove (journal, change->id);
      else
        cyd_journal_put (journal, change->id, change->record);
    }
}

/* Returns the changes that are queued, with the ticket of the last one, and
   whether the thread has to end.  FAILED: the last write failed; waits for the
   time of the next attempt instead of for changes.  */
static GArray *
take_changes (struct cyc_departure_writer *writer, bool failed,
              uint64_t *ticket, bool *stopping)
{
  gint64 retry_at = g_get_monotonic_time ()
                    + CYC_DEPARTURE_RETRY_MS * G_TIME_SPAN_MILLISECOND;
  g_mutex_lock (&writer->lock);
  while (failed && !writer->stopping
         && g_cond_wait_until (&writer->wake_cond, &writer->lock, retry_at))
    ;
  while (!failed && !writer->stopping && writer->changes->len == 0)
    g_cond_wait (&writer->wake_cond, &writer->lock);
  GArray *changes = writer->changes;
  writer->changes = create_changes ();
  *ticket = writer->ticket;
  *stopping = writer->stopping;
  g_mutex_unlock (&writer->lock);
  return changes;
}

static void
log_outcome (cy_result result, bool failed_before)
{
  if (result != CY_OK && !failed_before)
    cyu_log (G_LOG_LEVEL_WARNING,
             "departures of backend servers cannot be written, they are not "
             "confirmed meanwhile: %s",
             cy_result_text (result));
  else if (result == CY_OK && failed_before)
    cyu_log (G_LOG_LEVEL_INFO, "departures of backend servers are written "
                               "again");
}

static void *
run_writer (void *context)
{
  struct cyc_departure_writer *writer = context;
  uint64_t ticket = CYC_DEPARTURE_FIRST_TICKET;
  bool failed = false;
  bool stopping = false;
  for (;;)
    {
      uint64_t before = cyd_journal_writes (writer->journal);
      cy_result result = cyd_journal_sync (writer->journal);
      cyu_metric_add (
          writer->write_count,
          (int64_t)(cyd_journal_writes (writer->journal) - before));
      log_outcome (result, failed);
      failed = result != CY_OK;
      if (stopping)
        return NULL;
      if (!failed)
        post_report (writer, ticket);
      GArray *changes = take_changes (writer, failed, &ticket, &stopping);
      apply_changes (writer->journal, changes);
      g_array_unref (changes);
    }
}

/* ------------------------------------------------------------ interface */

struct cyc_departure_writer *
cyc_departure_writer_create (struct cyn_loop *loop,
                             struct cyd_journal *journal,
                             cyc_departure_written_fn written, void *context)
{
  struct cyc_departure_writer *writer
      = g_new0 (struct cyc_departure_writer, 1);
  writer->loop = loop;
  writer->journal = journal;
  writer->receiver = g_atomic_rc_box_new0 (struct receiver);
  writer->receiver->written = written;
  writer->receiver->context = context;
  writer->changes = create_changes ();
  writer->ticket = CYC_DEPARTURE_FIRST_TICKET;
  writer->write_count = cyu_counter (
      "cy_departure_writes_total", "",
      "Writes of departures to disk, each with one sync or more");
  g_mutex_init (&writer->lock);
  g_cond_init (&writer->wake_cond);
  int error = pthread_create (&writer->thread, NULL, run_writer, writer);
  if (error != 0)
    g_error ("cannot start the thread of the journal of departures: %s",
             g_strerror (error));
  pthread_setname_np (writer->thread, "departures");
  return writer;
}

void
cyc_departure_writer_destroy (struct cyc_departure_writer *writer)
{
  if (writer == NULL)
    return;
  g_mutex_lock (&writer->lock);
  writer->stopping = true;
  g_cond_signal (&writer->wake_cond);
  g_mutex_unlock (&writer->lock);
  pthread_join (writer->thread, NULL);
  writer->receiver->written = NULL;
  g_atomic_rc_box_release (writer->receiver);
  cyd_journal_close (writer->journal);
  g_array_unref (writer->changes);
  g_mutex_clear (&writer->lock);
  g_cond_clear (&writer->wake_cond);
  g_free (writer);
}

uint64_t
cyc_departure_writer_put (struct cyc_departure_writer *writer, const char *id,
                          GBytes *record)
{
  struct change change
      = { g_strdup (id), record == NULL ? NULL : g_bytes_ref (record) };
  g_mutex_lock (&writer->lock);
  g_array_append_val (writer->changes, change);
  uint64_t ticket = ++writer->ticket;
  g_cond_signal (&writer->wake_cond);
  g_mutex_unlock (&writer->lock);
  return ticket;
}

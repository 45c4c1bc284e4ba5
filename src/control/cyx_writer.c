#include "control/cyx_writer.h"

#include <inttypes.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>

#include "base/cyu_log.h"
#include "base/cyu_metrics.h"
#include "store/cyd_record.h"

struct cyx_writer
{
  struct cyn_loop *loop;
  struct cyd_store *store;
  cyx_written_fn done;
  void *context;
  pthread_t thread;
  pthread_mutex_t lock; /* guards JOBS and STOPPING */
  pthread_cond_t wake_cond;
  GArray *jobs; /* struct cyx_job */
  bool stopping;
  atomic_uint_fast64_t syncs;
  struct cyu_metric *sync_count;
  struct report_target *target;
};

/* Receiver of reports; outlives the writer while reports are queued in the
   loop.  */
struct report_target
{
  struct cyx_writer *writer; /* NULL once destroyed; loop's thread only */
};

struct report
{
  struct report_target *target;
  struct cyx_written written;
};

static void
deliver_report (void *context)
{
  struct report *report = context;
  struct cyx_writer *writer = report->target->writer;
  if (writer != NULL)
    writer->done (&report->written, writer->context);
  g_atomic_rc_box_release (report->target);
  g_free (report);
}

/* ------------------------------------------------------------ jobs */

static void
clear_job (struct cyx_job *job)
{
  switch (job->kind)
    {
    case CYX_JOB_APPEND:
      g_ptr_array_unref (job->records);
      break;
    case CYX_JOB_SAVE:
    case CYX_JOB_INSTALL:
      cyr_members_unref (job->save.snapshot.members);
      g_bytes_unref (job->save.state);
      break;
    case CYX_JOB_FOUNDING:
      g_bytes_unref (job->founding);
      break;
    case CYX_JOB_NOTHING:
    case CYX_JOB_STATE:
    case CYX_JOB_TRUNCATE:
    case CYX_JOB_COMMIT:
    case CYX_JOB_COMPACT:
    case CYX_JOB_PREPARE:
      break;
    }
}

static cy_result
append_records (struct cyx_writer *writer, const struct cyx_job *job,
                struct cyx_written *written)
{
  GPtrArray *records = job->records;
  for (guint i = 0; i < records->len; i++)
    written->record_bytes += cyd_record_size (
        ((const struct cyr_record *)records->pdata[i])->length);
  return cyd_store_append (writer->store, (struct cyr_record **)records->pdata,
                           records->len);
}

static cy_result
save_snapshot (struct cyx_writer *writer, const struct cyx_job *job,
               struct cyx_written *written)
{
  struct cyr_snapshot snapshot = job->save.snapshot;
  bool install = job->kind == CYX_JOB_INSTALL;
  snapshot.bytes = g_bytes_get_data (job->save.state, &snapshot.length);
  cy_result result
      = cyd_store_save_snapshot (writer->store, &snapshot, install);
  if (install || (result != CY_E_STORE_FULL && result != CY_E_IO))
    return result;
  cyu_log (G_LOG_LEVEL_WARNING, "snapshot %" PRIu64 " not saved: %s",
           snapshot.index, cy_result_text (result));
  written->failed_snapshot = job->sequence;
  return CY_OK;
}

static cy_result
write_commit (struct cyx_writer *writer, const struct cyx_job *job,
              struct cyx_written *written)
{
  written->commit_index = job->index;
  return cyd_store_commit (writer->store, job->index);
}

static cy_result
execute_job (struct cyx_writer *writer, const struct cyx_job *job,
             struct cyx_written *written)
{
  cy_result result = CY_OK;
  switch (job->kind)
    {
    case CYX_JOB_NOTHING:
      break;
    case CYX_JOB_STATE:
      result = cyd_store_set_vote (writer->store, job->state.term,
                                   job->state.vote);
      break;
    case CYX_JOB_APPEND:
      result = append_records (writer, job, written);
      break;
    case CYX_JOB_TRUNCATE:
      result = cyd_store_truncate (writer->store, job->index);
      break;
    case CYX_JOB_COMMIT:
      result = write_commit (writer, job, written);
      break;
    case CYX_JOB_SAVE:
    case CYX_JOB_INSTALL:
      result = save_snapshot (writer, job, written);
      break;
    case CYX_JOB_COMPACT:
      cyd_store_compact (writer->store, job->index);
      break;
    case CYX_JOB_FOUNDING:
      {
        gsize length;
        const uint8_t *bytes = g_bytes_get_data (job->founding, &length);
        result = cyd_store_set_founding (writer->store, bytes, length);
        written->founding_stored = result == CY_OK;
        break;
      }
    case CYX_JOB_PREPARE:
      cyd_store_prepare_spare (writer->store);
      break;
    }
  return result;
}

/* Executes JOBS with one sync at the end, then posts a report to the loop.  */
static void
run_batch (struct cyx_writer *writer, GArray *jobs)
{
  struct cyx_written written = { 0 };
  cy_result result = CY_OK;
  for (guint i = 0; i < jobs->len && result == CY_OK; i++)
    {
      struct cyx_job *job = &g_array_index (jobs, struct cyx_job, i);
      result = execute_job (writer, job, &written);
      written.sequence = MAX (written.sequence, job->sequence);
      clear_job (job);
    }
  if (result == CY_OK)
    result = cyd_store_sync (writer->store);
  if (result != CY_OK)
    {
      cyu_log (G_LOG_LEVEL_CRITICAL,
               "disk does not keep what was written, stopping: %s",
               cy_result_text (result));
      cyu_log_stop (CYU_LOG_STOP_MS);
      abort ();
    }
  atomic_fetch_add (&writer->syncs, 1);
  cyu_metric_add (writer->sync_count, 1);
  struct report *report = g_new (struct report, 1);
  report->target = g_atomic_rc_box_acquire (writer->target);
  report->written = written;
  cyn_loop_post (writer->loop, deliver_report, report);
}

static GArray *
create_job_array (void)
{
  return g_array_new (FALSE, FALSE, sizeof (struct cyx_job));
}

static void *
run_writer (void *context)
{
  struct cyx_writer *writer = context;
  for (;;)
    {
      pthread_mutex_lock (&writer->lock);
      while (writer->jobs->len == 0 && !writer->stopping)
        pthread_cond_wait (&writer->wake_cond, &writer->lock);
      GArray *jobs = writer->jobs;
      writer->jobs = create_job_array ();
      pthread_mutex_unlock (&writer->lock);
      bool is_stopping = jobs->len == 0;
      if (!is_stopping)
        run_batch (writer, jobs);
      g_array_free (jobs, TRUE);
      if (is_stopping)
        return NULL;
    }
}

void
cyx_writer_add (struct cyx_writer *writer, const struct cyx_job *job)
{
  pthread_mutex_lock (&writer->lock);
  g_array_append_val (writer->jobs, *job);
  pthread_cond_signal (&writer->wake_cond);
  pthread_mutex_unlock (&writer->lock);
}

/* ------------------------------------------------------------ lifetime */

struct cyx_writer *
cyx_writer_create (struct cyn_loop *loop, struct cyd_store *store,
                   cyx_written_fn done, void *context)
{
  struct cyx_writer *writer = g_new0 (struct cyx_writer, 1);
  writer->loop = loop;
  writer->store = store;
  writer->done = done;
  writer->context = context;
  writer->jobs = create_job_array ();
  writer->target = g_atomic_rc_box_new0 (struct report_target);
  writer->target->writer = writer;
  writer->sync_count
      = cyu_counter ("cy_replica_syncs_total", "", "Syncs of the log to disk");
  pthread_mutex_init (&writer->lock, NULL);
  pthread_cond_init (&writer->wake_cond, NULL);
  int error = pthread_create (&writer->thread, NULL, run_writer, writer);
  if (error != 0)
    g_error ("cannot start the disk writer's thread: %s", g_strerror (error));
  pthread_setname_np (writer->thread, "disk-writer");
  return writer;
}

void
cyx_writer_destroy (struct cyx_writer *writer)
{
  if (writer == NULL)
    return;
  pthread_mutex_lock (&writer->lock);
  writer->stopping = true;
  pthread_cond_signal (&writer->wake_cond);
  pthread_mutex_unlock (&writer->lock);
  pthread_join (writer->thread, NULL);
  writer->target->writer = NULL;
  g_atomic_rc_box_release (writer->target);
  cyd_store_close (writer->store);
  g_array_free (writer->jobs, TRUE);
  pthread_mutex_destroy (&writer->lock);
  pthread_cond_destroy (&writer->wake_cond);
  g_free (writer);
}

const struct cyd_store *
cyx_writer_store (const struct cyx_writer *writer)
{
  return writer->store;
}

uint64_t
cyx_writer_syncs (const struct cyx_writer *writer)
{
  return atomic_load (&((struct cyx_writer *)writer)->syncs);
}

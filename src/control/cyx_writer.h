/* The disk writer of a replica: one thread that owns the store, so that a
   slow sync delays neither heartbeats nor answers.  Jobs run in order; all
   queued jobs are written as a batch with one sync.

   A failed write or sync aborts the process: the content of the disk is
   unknown from then on, and no later record may be acknowledged.  */

#ifndef CYX_WRITER_H
#define CYX_WRITER_H

#include "core/cyr_core.h"
#include "net/cyn_loop.h"
#include "store/cyd_store.h"

struct cyx_writer;

enum cyx_job_kind
{
  CYX_JOB_NOTHING, /* writes nothing, reports the sequence number */
  CYX_JOB_STATE,
  CYX_JOB_APPEND,
  CYX_JOB_TRUNCATE,
  CYX_JOB_COMMIT,
  CYX_JOB_SAVE,
  CYX_JOB_INSTALL,
  CYX_JOB_COMPACT,
  CYX_JOB_FOUNDING,
  CYX_JOB_PREPARE
};

struct cyx_job
{
  enum cyx_job_kind kind;
  uint64_t sequence; /* number of the core's action, 0: not from the core */
  union
  {
    struct
    {
      uint64_t term;
      uint64_t vote;
    } state;
    GPtrArray *records; /* struct cyr_record; the job owns the references */
    uint64_t index;
    struct
    {
      struct cyr_snapshot snapshot; /* MEMBERS is owned by the job */
      GBytes *state;                /* owned by the job */
    } save;
    GBytes *founding; /* packed member set, owned by the job */
  };
};

/* Result of one batch, reported in the loop's thread after the sync.  */
struct cyx_written
{
  uint64_t sequence;     /* actions up to this number are durable, 0: none */
  uint64_t record_bytes; /* size of the written records */
  uint64_t failed_snapshot; /* sequence number of the failed save, or 0 */
  uint64_t commit_index;    /* index that CYX_JOB_COMMIT wrote, or 0 */
  bool founding_stored;     /* the founding member set is durable */
};
typedef void (*cyx_written_fn) (const struct cyx_written *written,
                                void *context);

/* Starts the thread.  The writer owns STORE.  */
struct cyx_writer *cyx_writer_create (struct cyn_loop *loop,
                                      struct cyd_store *store,
                                      cyx_written_fn done, void *context);

/* Finishes the queued jobs, ends the thread and closes the store.  DONE is not
   called from then on.  */
void cyx_writer_destroy (struct cyx_writer *writer);

/* Queues JOB and takes ownership of its data.  Loop's thread.  */
void cyx_writer_add (struct cyx_writer *writer, const struct cyx_job *job);

const struct cyd_store *cyx_writer_store (const struct cyx_writer *writer);

/* Number of syncs so far.  Any thread.  */
uint64_t cyx_writer_syncs (const struct cyx_writer *writer);

#endif /* CYX_WRITER_H */

/* The disk writer of a replica: one thread that owns the store, so that a
   slow sync stops neither heartbeats nor answers.  Jobs are carried out in
   order; all that wait are written together and synced once.

   A write or sync that fails ends the process: what the disk holds is not
   known then, and nothing may be acknowledged on top of it.  */

#ifndef CYX_WRITER_H
#define CYX_WRITER_H

#include "core/cyr_core.h"
#include "net/cyn_loop.h"
#include "store/cyd_store.h"

struct cyx_writer;

enum cyx_job_kind
{
  CYX_JOB_NOTHING, /* only reports its sequence */
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
  uint64_t sequence; /* of the core's action, 0 if none */
  union
  {
    struct
    {
      uint64_t term;
      uint64_t vote;
    } state;
    GPtrArray *records; /* owned, with references */
    uint64_t index;
    struct
    {
      struct cyr_snapshot snapshot; /* members: a copy of its own */
      GBytes *state;                /* owned */
    } save;
    GBytes *founding; /* owned */
  };
};

/* What has become durable, told in the loop's thread.  */
struct cyx_written
{
  uint64_t sequence;        /* everything up to here, 0: nothing new */
  uint64_t bytes;           /* of records */
  uint64_t failed_snapshot; /* sequence of a snapshot not written, or 0 */
  uint64_t committed;       /* what CYX_JOB_COMMIT noted, or 0 */
  bool founding;            /* the founding set */
};
typedef void (*cyx_written_fn) (const struct cyx_written *written,
                                void *context);

/* Starts the thread.  The writer owns STORE.  */
struct cyx_writer *cyx_writer_create (struct cyn_loop *loop,
                                      struct cyd_store *store,
                                      cyx_written_fn done, void *context);

/* Finishes the jobs that wait, ends the thread and closes the store.  DONE is
   not called any more.  */
void cyx_writer_destroy (struct cyx_writer *writer);

/* Queues JOB and takes over what it owns.  Loop's thread.  */
void cyx_writer_add (struct cyx_writer *writer, const struct cyx_job *job);

const struct cyd_store *cyx_writer_store (const struct cyx_writer *writer);

/* Number of syncs so far.  Any thread.  */
uint64_t cyx_writer_syncs (const struct cyx_writer *writer);

#endif /* CYX_WRITER_H */

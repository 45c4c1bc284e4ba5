/* State of the replica and functions that only the cyx_replica*.c files
   share.  */

#ifndef CYX_REPLICA_PRIVATE_H
#define CYX_REPLICA_PRIVATE_H

#include <glib.h>

#include "base/cyu_metrics.h"
#include "control/cyx_peers.h"
#include "control/cyx_replica.h"
#include "control/cyx_writer.h"
#include "core/cyr_core.h"
#include "core/cyr_founding.h"

/* Interval between founding messages to the peers.  */
#define CYX_FOUNDING_INTERVAL_MS 200

/* Interval between checks of free disk space.  */
#define CYX_MAINTENANCE_INTERVAL_MS 1000

/* Most snapshot data in one message.  */
#define CYX_SNAPSHOT_CHUNK_BYTES (512 << 10)

/* Pause between two writes of the commit index: FACTOR times the duration of
   the last write, so that these writes take at most 1/20 of the disk's time,
   and at least MIN_MS.  */
#define CYX_COMMIT_WRITE_PAUSE_MIN_MS 100
#define CYX_COMMIT_WRITE_PAUSE_FACTOR 20

/* A proposal, membership change or leadership transfer that waits in the
   queue for the next flush.  */
struct cyx_request
{
  enum cyr_event_kind kind; /* CYR_PROPOSE, CYR_ADD_MEMBER, ... */
  GBytes *data;             /* packed Cy__Change or Cy__Member, or NULL */
  uint64_t removed;         /* member to remove, 0: none */
  uint64_t successor;       /* that takes its place, with CYR_REMOVE_MEMBER */
  cyx_proposed_fn done;
  void *context;
};

/* A record that the core appended to the log and that is not applied yet.  */
struct cyx_pending
{
  uint64_t index;
  uint64_t term;
  cyx_proposed_fn done;
  void *context;
};

/* Values at the last call of the state machine's CHANGED callback.  */
struct cyx_view
{
  bool leader;
  bool ready;
  bool removed;
  enum cyr_role role;
  uint64_t term;
  uint64_t leader_id;
  struct cyr_members *members; /* holds a reference */
};

struct cyx_replica
{
  struct cyx_replica_options options;
  const struct cy_clock *clock;
  uint64_t folder_id;       /* random id of the data folder */
  Cy__MemberSet *bootstrap; /* own copy, NULL if none was given */
  struct cyr_core *core;
  struct cyx_writer *writer;
  struct cyx_peers *peers;
  struct cyn_timer *core_timer;        /* runs out at the core's next tick */
  struct cyn_timer *maintenance_timer; /* founding, checks of disk space */
  GQueue requests;                     /* struct cyx_request */
  GQueue pending; /* struct cyx_pending, ascending by index */
  bool flush_posted;
  bool destroyed;          /* the posted flush frees the replica */
  uint64_t written_commit; /* newest commit index given to the writer */
  cy_time_ns commit_write_queued_at; /* 0: no such write is under way */
  cy_time_ns next_commit_write_at;   /* earliest time of the next write */
  uint64_t queued_bytes;   /* size of queued records, not yet on disk */
  uint64_t accepted_bytes; /* size of proposals not yet queued as records */
  struct cyr_members *accepted_set; /* founding set, NULL if none yet */
  struct cyr_founding *founding;    /* NULL once the log has members */
  enum cyr_founding_state founding_state;
  struct cyd_snapshot *snapshot; /* open for reading, or NULL */
  uint64_t snapshot_index;
  struct cyx_view view;
  Cy__MemberSet no_members; /* empty set, while the core has none */
  struct cyu_metric *full_count;
  struct cyu_metric *term_gauge;
  struct cyu_metric *commit_gauge;
  struct cyu_metric *foreign_gauge;
};

/* cyx_replica_run.c: passes EVENT to the core and executes the core's
   actions.  */
void cyx_replica_run (struct cyx_replica *replica,
                      const struct cyr_event *event);
void cyx_replica_written (const struct cyx_written *written, void *context);

/* Writes the commit index to disk, so that a restart restores the state before
   a leader is elected.  At limited intervals, or at once if FINAL.  */
void cyx_replica_write_commit (struct cyx_replica *replica, bool final);

/* Ends every pending proposal with RESULT.  */
void cyx_replica_fail_pending (struct cyx_replica *replica, cy_result result);

/* cyx_replica_founding.c: the bootstrap of a new cluster.  */
void cyx_replica_founding_start (struct cyx_replica *replica);
void cyx_replica_founding_tick (struct cyx_replica *replica);
void cyx_replica_founding_receive (struct cyx_replica *replica,
                                   const Cy__RaftMessage *message);
void cyx_replica_founding_stored (struct cyx_replica *replica);

/* Sets this member's address as the sender's in MESSAGE and sends it.  */
void cyx_replica_send (struct cyx_replica *replica, Cy__RaftMessage *message);

static inline cy_time_ns
cyx_replica_now (const struct cyx_replica *replica)
{
  return cy_clock_now (replica->clock);
}

#endif /* CYX_REPLICA_PRIVATE_H */

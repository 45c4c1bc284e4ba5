/* Inside of the replica's driver, shared by cyx_replica*.c only.  */

#ifndef CYX_REPLICA_PRIVATE_H
#define CYX_REPLICA_PRIVATE_H

#include <glib.h>

#include "base/cyu_metrics.h"
#include "control/cyx_peers.h"
#include "control/cyx_replica.h"
#include "control/cyx_writer.h"
#include "core/cyr_core.h"
#include "core/cyr_founding.h"

#define CYX_FOUNDING_MS 200  /* ms between two questions to the peers */
#define CYX_HOUSE_MS    1000 /* ms between two looks at the disk's room */
#define CYX_PIECE_BYTES (512 << 10) /* of a snapshot in one message */
#define CYX_NOTE_MS     100 /* ms at least between two notes of the commit */
#define CYX_NOTE_PART   20  /* part of the disk's time that they may take */

/* A proposal or a member change that waits for its turn.  */
struct cyx_request
{
  enum cyr_event_kind kind; /* CYR_PROPOSE, CYR_ADD_MEMBER, ... */
  GBytes *data;             /* a change, or a packed member */
  uint64_t id;
  cyx_proposed_fn done;
  void *context;
};

/* A record that was taken and waits to be applied.  */
struct cyx_pending
{
  uint64_t index;
  uint64_t term;
  cyx_proposed_fn done;
  void *context;
};

/* What cyx_machine's CHANGED was last told.  */
struct cyx_view
{
  bool leader;
  bool ready;
  bool removed;
  enum cyr_role role;
  uint64_t term;
  uint64_t leader_id;
  struct cyr_members *members; /* one reference */
};

struct cyx_replica
{
  struct cyx_replica_options options;
  const struct cy_clock *clock;
  uint64_t folder;
  Cy__MemberSet *bootstrap; /* a copy, NULL if none */
  struct cyr_core *core;
  struct cyx_writer *writer;
  struct cyx_peers *peers;
  struct cyn_timer *timer; /* next tick of the core */
  struct cyn_timer *house; /* founding and room on disk */
  GQueue requests;         /* struct cyx_request */
  GQueue pending;          /* struct cyx_pending by index */
  bool flush_posted;
  bool destroyed;        /* freed when the posted flush has run */
  uint64_t noted;        /* committed record that the disk was told of */
  cy_time_ns note_asked; /* when, 0: the disk has it */
  cy_time_ns note_due;   /* not before, the next one */
  uint64_t queued;       /* bytes of records not yet written */
  uint64_t accepted;     /* bytes of proposals not yet queued */
  struct cyr_members *accepted_set; /* founding set of this folder */
  struct cyr_founding *founding;    /* NULL once there is a log */
  enum cyr_founding_state founding_state;
  struct cyd_snapshot *snapshot; /* newest one, for followers */
  uint64_t snapshot_index;
  struct cyx_view view;
  Cy__MemberSet no_members;
  struct cyu_metric *full_count;
  struct cyu_metric *term_gauge;
  struct cyu_metric *commit_gauge;
  struct cyu_metric *foreign_gauge;
};

/* cyx_replica_run.c: steps the core and carries out its actions.  */
void cyx_replica_run (struct cyx_replica *replica,
                      const struct cyr_event *event);
void cyx_replica_written (const struct cyx_written *written, void *context);

/* Has the disk note how far the log is committed, so that a restart finds the
   state before there is a leader; now and then, or LAST: now.  */
void cyx_replica_note_commit (struct cyx_replica *replica, bool last);

/* Answers everything that is PENDING with RESULT.  */
void cyx_replica_fail_pending (struct cyx_replica *replica, cy_result result);

/* cyx_replica_found.c */
void cyx_replica_found_start (struct cyx_replica *replica);
void cyx_replica_found_tick (struct cyx_replica *replica);
void cyx_replica_found_receive (struct cyx_replica *replica,
                                const Cy__RaftMessage *message);
void cyx_replica_found_stored (struct cyx_replica *replica);

/* Sends MESSAGE with this member's address.  */
void cyx_replica_send (struct cyx_replica *replica, Cy__RaftMessage *message);

static inline cy_time_ns
cyx_replica_now (const struct cyx_replica *replica)
{
  return cy_clock_now (replica->clock);
}

#endif /* CYX_REPLICA_PRIVATE_H */

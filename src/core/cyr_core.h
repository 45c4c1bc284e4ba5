/* Core of the replicated log: Raft with pre-vote, check-quorum, learners,
   one-at-a-time membership changes and snapshots in chunks.

   The core does no I/O: the caller passes events in and gets actions back.
   The caller owns clock, disk and network.  It carries out the actions of one
   step in their order before the next step.  Pointers in an action are
   borrowed and valid until the next step.

   Disk: every write action carries a sequence number.  The caller writes in
   that order and reports with CYR_SYNCED up to which number all writes are
   durable.  A message that acknowledges a write is deferred until that write
   is durable.  All calls come from one thread at a time.  */

#ifndef CYR_CORE_H
#define CYR_CORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/cy_clock.h"
#include "core/cyr_members.h"
#include "core/cyr_record.h"
#include "cy_result.h"

#define CYR_HEARTBEAT_INTERVAL_MS 100  /* ms between heartbeat rounds */
#define CYR_ELECTION_TIMEOUT_MS   500  /* ms, least election timeout */
#define CYR_DISK_TIMEOUT_MS       2500 /* ms a leader's disk may stall */
#define CYR_IN_FLIGHT_MAX         32   /* unanswered appends per follower */
#define CYR_BATCH_RECORDS_MAX     512  /* records of one append */
#define CYR_BATCH_BYTES_MAX       (256 << 10) /* bytes of one append */
#define CYR_SNAPSHOT_RECORDS      20000     /* records between two snapshots */
#define CYR_SNAPSHOT_BYTES        (8 << 20) /* bytes between two snapshots */
#define CYR_RECORD_BYTES_MAX      (7 << 19) /* bytes of one record */
#define CYR_ROUND_HISTORY         128 /* rounds whose start time is stored */

struct cyr_core;

struct cyr_options
{
  uint64_t member_id; /* id of this member */
  uint64_t folder_id; /* id of the data folder, not 0 */
  const struct cy_random *random;
  uint64_t snapshot_records; /* 0: CYR_SNAPSHOT_RECORDS */
  uint64_t snapshot_bytes;   /* 0: CYR_SNAPSHOT_BYTES */
};

/* State recovered from disk.  Records follow the snapshot without a gap.  The
   core adds references to members and records; the caller keeps its own.  */
struct cyr_initial
{
  uint64_t term;
  uint64_t vote;
  uint64_t commit_index; /* known committed; may exceed the last record */
  uint64_t snapshot_index;
  uint64_t snapshot_term;
  struct cyr_members *members; /* member set of the snapshot, NULL: none */
  struct cyr_record **records;
  size_t record_count;
};

/* ------------------------------------------------------------ events in */

enum cyr_event_kind
{
  CYR_TICK,            /* time has passed; see cyr_core_next_tick */
  CYR_MESSAGE,         /* a message was received */
  CYR_PROPOSE,         /* append a change; CYR_TICK or any event flushes */
  CYR_ADD_MEMBER,      /* add a learner, if asked in the place of a member */
  CYR_REMOVE_MEMBER,   /* remove a member by id */
  CYR_TRANSFER,        /* transfer leadership to the most advanced voter */
  CYR_SYNCED,          /* writes up to number SEQUENCE are durable */
  CYR_SNAPSHOT_FAILED, /* the save action with number SEQUENCE failed */
  CYR_BOOTSTRAP        /* bootstrap with the first member set */
};

struct cyr_event
{
  enum cyr_event_kind kind;
  cy_time_ns now;
  union
  {
    const Cy__RaftMessage *message;
    struct
    {
      const uint8_t *data;
      size_t length;
      void *token; /* returned by CYR_PROPOSED */
    } propose;
    struct
    {
      const Cy__Member *member;
      uint64_t replaced; /* member to remove in the same step, 0: none */
      void *token;
    } add;
    struct
    {
      uint64_t id;
      uint64_t successor; /* member that takes its place, 0: none */
      void *token;
    } remove;
    uint64_t sequence;
    struct cyr_members *first_set;
  };
};

/* ------------------------------------------------------------ actions out */

enum cyr_action_kind
{
  CYR_SEND,           /* send MESSAGE */
  CYR_SEND_SNAPSHOT,  /* fill in the chunk at MESSAGE's offset, then send */
  CYR_WRITE_STATE,    /* write term and vote */
  CYR_TRUNCATE,       /* remove stored records from INDEX on */
  CYR_WRITE_RECORDS,  /* append records */
  CYR_WRITE_SNAPSHOT, /* replace log and state by a leader's snapshot */
  CYR_SAVE_SNAPSHOT,  /* save the present state of the state machine */
  CYR_COMPACT,        /* remove stored records up to INDEX */
  CYR_LOAD,           /* load the state machine from a durable snapshot */
  CYR_APPLY,          /* apply a committed record */
  CYR_PROPOSED,       /* answer to a proposal or a member change */
  CYR_CHANGED         /* role, term, leader or member set changed */
};

struct cyr_snapshot
{
  uint64_t index;
  uint64_t term;
  struct cyr_members *members;
  const uint8_t *bytes; /* NULL in CYR_SAVE_SNAPSHOT */
  size_t length;        /* bytes */
};

struct cyr_action
{
  enum cyr_action_kind kind;
  uint64_t sequence; /* number of a write action, 0 for other actions */
  union
  {
    Cy__RaftMessage *message; /* CYR_SEND and CYR_SEND_SNAPSHOT */
    struct
    {
      uint64_t term;
      uint64_t vote;
    } state;
    uint64_t index; /* CYR_TRUNCATE, CYR_COMPACT */
    struct
    {
      uint64_t first; /* index of the first record */
      uint64_t last;  /* index of the last one, see cyr_core_record */
    } records;
    struct cyr_snapshot snapshot;
    struct cyr_record *record; /* CYR_APPLY, borrowed */
    struct
    {
      void *token;
      cy_result result; /* CY_OK: appended at INDEX in the current term */
      uint64_t index;
    } proposed;
  };
};

struct cyr_core *cyr_core_create (const struct cyr_options *options,
                                  const struct cyr_initial *initial,
                                  cy_time_ns now);
void cyr_core_destroy (struct cyr_core *core);

/* Processes EVENT and replaces the list of actions.  CYR_PROPOSE leaves the
   writing and sending of its record to the next event of another kind, so
   that proposals are batched.  */
void cyr_core_step (struct cyr_core *core, const struct cyr_event *event);

/* Actions of the last step; borrowed.  */
const struct cyr_action *cyr_core_actions (const struct cyr_core *core,
                                           size_t *count);

/* Time at which the next CYR_TICK is due.  */
cy_time_ns cyr_core_next_tick (const struct cyr_core *core);

/* ------------------------------------------------------------ queries */

enum cyr_role
{
  CYR_FOLLOWER,
  CYR_PRE_CANDIDATE,
  CYR_CANDIDATE,
  CYR_LEADER
};

enum cyr_role cyr_core_role (const struct cyr_core *core);
uint64_t cyr_core_term (const struct cyr_core *core);
uint64_t cyr_core_leader (const struct cyr_core *core);
uint64_t cyr_core_commit_index (const struct cyr_core *core);
uint64_t cyr_core_applied_index (const struct cyr_core *core);
uint64_t cyr_core_last_index (const struct cyr_core *core);
struct cyr_record *cyr_core_record (const struct cyr_core *core,
                                    uint64_t index);

/* True when the record INDEX is in memory: neither compacted nor yet to be
   appended.  */
bool cyr_core_has_record (const struct cyr_core *core, uint64_t index);

/* The newest member set, committed or not, NULL before bootstrap or joining;
   borrowed.  */
struct cyr_members *cyr_core_members (const struct cyr_core *core);

/* True when a committed member set lists this member as removed.  */
bool cyr_core_is_removed (const struct cyr_core *core);

/* True when the leader has applied a record of its own term.  */
bool cyr_core_is_ready (const struct cyr_core *core);

/* Highest index that member ID has reported as durable, 0 if unknown or when
   this member is not the leader.  */
uint64_t cyr_core_match_index (const struct cyr_core *core, uint64_t id);

/* Nanoseconds since the start of the newest heartbeat round that a quorum
   acknowledged, -1 when this member is not the leader or no quorum has
   acknowledged a round yet.  */
cy_time_ns cyr_core_confirmation_age (const struct cyr_core *core,
                                      cy_time_ns now);

/* Number of messages rejected because the addressee, the data folder or the
   cluster in them differs.  */
uint64_t cyr_core_rejected_messages (const struct cyr_core *core);

#endif /* CYR_CORE_H */

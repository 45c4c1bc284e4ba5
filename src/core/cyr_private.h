/* Internals of the replication core, shared by the cyr_*.c files only.  */

#ifndef CYR_PRIVATE_H
#define CYR_PRIVATE_H

#include <glib.h>

#include "core/cyr_core.h"
#include "core/cyr_log.h"

#define CYR_ELECTION_TIMEOUT_NS (CYR_ELECTION_TIMEOUT_MS * CY_NS_PER_MS)

/* Least time until an unanswered pre-vote is requested again: one round trip
   between regions.  */
#define CYR_PRE_VOTE_TIMEOUT_NS (150 * CY_NS_PER_MS)

/* A granted pre-vote counts for this long.  A candidate that is still alive
   requests it again within this time.  */
#define CYR_PRE_VOTE_VALID_NS (2 * CYR_PRE_VOTE_TIMEOUT_NS)

/* Repeated requests of one candidate extend its pre-vote for this long at
   most: enough for several rounds of requests.  */
#define CYR_PRE_VOTE_EXTEND_MAX_NS (2 * CY_NS_PER_S)

/* The leader tries this long to inform a removed member of its removal.  */
#define CYR_REMOVAL_NOTICE_NS (30 * CY_NS_PER_S)

#define CYR_HEARTBEAT_INTERVAL_NS (CYR_HEARTBEAT_INTERVAL_MS * CY_NS_PER_MS)

enum progress_state
{
  PROGRESS_PROBE,    /* one append at a time until one matches */
  PROGRESS_PIPELINE, /* appends ahead of the replies, up to the window */
  PROGRESS_SNAPSHOT  /* needs records that the log no longer holds */
};

/* Replication state of one other member, kept by the leader.  */
struct progress
{
  uint64_t id;        /* member id */
  uint64_t folder_id; /* id of the data folder that sent the last reply */
  enum progress_state state;
  uint64_t match_index; /* last record durable on the member */
  uint64_t next_index;  /* first record of the next append */
  bool probe_in_flight; /* a probe awaits its reply */

  /* Last index of each unanswered append.  */
  uint64_t in_flight[CYR_IN_FLIGHT_MAX];
  uint32_t in_flight_count;
  uint64_t acknowledged_round; /* newest round that the member replied to */
  uint64_t snapshot_index;     /* snapshot that is being sent */
  uint64_t snapshot_offset;    /* bytes of the snapshot that have arrived */
  cy_time_ns snapshot_sent_at; /* time at which the last chunk was sent */

  /* A learner is promoted once it reaches this index in time; 0: not set.  */
  uint64_t catch_up_index;
  cy_time_ns catch_up_started_at;

  /* A removed member stays in the list until it has received the commit index
     of its removal.  That is so when it replies to a round newer than
     departing_round, which is 0 until the member stores the removal.  */
  bool departing;
  uint64_t departing_round;
  cy_time_ns departing_until; /* latest time at which the entry is removed */
};

/* A write of records that is not durable yet.  */
struct pending_write
{
  uint64_t sequence;   /* sequence number of the write action */
  uint64_t last_index; /* last index of the log once the write is durable */
};

/* A message that waits for a write to become durable.  */
struct deferred_message
{
  uint64_t sequence; /* sequence number of the write */
  Cy__RaftMessage *message;
};

struct cyr_core
{
  struct cyr_options options;
  struct cyr_log *log;
  GArray *actions; /* struct cyr_action */
  cy_time_ns now;

  enum cyr_role role;
  uint64_t term;
  uint64_t vote;   /* member that has the vote of this term, 0: none */
  uint64_t leader; /* member id of the known leader, 0: none */
  uint64_t commit_index;
  uint64_t applied_index;
  uint64_t snapshot_index; /* last record in the newest durable snapshot */
  uint64_t snapshot_term;
  struct cyr_members *snapshot_members;
  bool removed; /* a committed member set excludes this member */
  bool changed; /* this step emits CYR_CHANGED */
  uint64_t rejected_messages;

  /* Disk.  */
  uint64_t last_sequence;    /* sequence number of the newest write */
  uint64_t synced_sequence;  /* writes up to this number are durable */
  uint64_t state_sequence;   /* number of the newest CYR_WRITE_STATE */
  uint64_t written_index;    /* last record that a write action covers */
  uint64_t durable_index;    /* last record that is durable */
  GArray *pending_writes;    /* struct pending_write */
  GArray *deferred_messages; /* struct deferred_message */

  /* Time of the last progress of the disk while writes are pending; 0: no
     write is pending.  */
  cy_time_ns disk_wait_started_at;
  struct cyr_snapshot pending_save; /* snapshot that is being saved */
  uint64_t save_sequence;           /* number of the save action, 0: none */
  cy_time_ns next_save_at; /* no save starts earlier, set after a failure */

  /* Follower.  */
  cy_time_ns election_due;
  cy_time_ns leader_last_received; /* time of the leader's last message */
  uint64_t verified_index; /* the log equals the leader's up to this record */
  GByteArray *incoming_snapshot; /* chunks of a snapshot received so far */
  uint64_t incoming_index;       /* last record in the snapshot, 0: none */
  uint64_t incoming_term;
  struct cyr_snapshot pending_install; /* complete, not durable yet */
  uint64_t install_sequence; /* number of the install action, 0: none */

  /* Candidate.  */
  uint64_t granted_by[CYR_MEMBERS_MAX]; /* ids of voters that granted */

  /* The last pre-vote that this member granted, to itself or another.  */
  uint64_t pre_vote_for;          /* member id of the candidate */
  cy_time_ns pre_vote_granted_at; /* 0: none granted */
  cy_time_ns pre_vote_first_granted_at;
  uint64_t pre_vote_last_term;  /* last term of the candidate's log */
  uint64_t pre_vote_last_index; /* last index of the candidate's log */
  size_t granted_count;         /* entries in granted_by */

  /* Leader.  */
  GArray *progress;          /* struct progress */
  uint64_t term_start_index; /* index of the no-op of this term */
  uint64_t round;            /* number of the newest heartbeat round */
  cy_time_ns round_started_at[CYR_ROUND_HISTORY]; /* at round modulo size */
  uint64_t confirmed_round; /* newest round that a quorum acknowledged */
  cy_time_ns confirmed_at;  /* start of the confirmed round */
  bool has_confirmed_round; /* false until a quorum acknowledged a round */
  cy_time_ns heartbeat_due;
  uint64_t transfer_target; /* member that is to lead next, 0: none */
  cy_time_ns transfer_until;
  uint64_t members_index; /* index of the member set that progress covers */
};

/* cyr_core.c */
struct cyr_action *cyr_add_action (struct cyr_core *core,
                                   enum cyr_action_kind kind);
uint64_t cyr_add_write (struct cyr_core *core, struct cyr_action *action);
void cyr_write_state (struct cyr_core *core);
void cyr_write_records (struct cyr_core *core);
void cyr_truncate (struct cyr_core *core, uint64_t index);
void cyr_apply_committed (struct cyr_core *core);

/* cyr_message.c */

/* Creates a message to member TO with data folder FOLDER.  The core owns the
   message until it is sent.  */
Cy__RaftMessage *cyr_message_create (const struct cyr_core *core, uint64_t to,
                                     uint64_t folder,
                                     Cy__RaftMessage__BodyCase body);
void cyr_message_destroy (Cy__RaftMessage *message);
void cyr_send (struct cyr_core *core, Cy__RaftMessage *message);

/* Sends MESSAGE once the writes up to SEQUENCE are durable.  */
void cyr_send_after (struct cyr_core *core, uint64_t sequence,
                     Cy__RaftMessage *message);
void cyr_send_deferred (struct cyr_core *core);

/* cyr_election.c */
void cyr_become_follower (struct cyr_core *core, uint64_t term,
                          uint64_t leader);
void cyr_restart_election_timer (struct cyr_core *core);
bool cyr_may_campaign (const struct cyr_core *core);
void cyr_campaign (struct cyr_core *core, bool pre, bool transfer);
void cyr_on_vote (struct cyr_core *core, const Cy__RaftMessage *message);
void cyr_on_vote_reply (struct cyr_core *core, const Cy__RaftMessage *message);
void cyr_on_timeout_now (struct cyr_core *core,
                         const Cy__RaftMessage *message);
void cyr_count_self_vote (struct cyr_core *core);

/* cyr_follower.c */
void cyr_on_append (struct cyr_core *core, const Cy__RaftMessage *message);
void cyr_on_snapshot (struct cyr_core *core, const Cy__RaftMessage *message);
void cyr_send_durable_index (struct cyr_core *core, uint64_t round);
void cyr_finish_install (struct cyr_core *core);

/* cyr_leader.c */
void cyr_become_leader (struct cyr_core *core);
void cyr_leader_tick (struct cyr_core *core);
void cyr_leader_append (struct cyr_core *core, uint32_t kind,
                        const uint8_t *data, size_t length);
void cyr_leader_flush (struct cyr_core *core);
void cyr_on_append_reply (struct cyr_core *core,
                          const Cy__RaftMessage *message);
void cyr_on_snapshot_reply (struct cyr_core *core,
                            const Cy__RaftMessage *message);
struct progress *cyr_find_progress (const struct cyr_core *core, uint64_t id);

/* cyr_change.c */
void cyr_propose_add (struct cyr_core *core, const Cy__Member *member,
                      uint64_t replaced, void *token);
void cyr_propose_remove (struct cyr_core *core, uint64_t id,
                         uint64_t successor, void *token);
void cyr_promote_learners (struct cyr_core *core);
void cyr_update_followers (struct cyr_core *core);
void cyr_start_transfer (struct cyr_core *core);
void cyr_complete_proposal (struct cyr_core *core, void *token,
                            cy_result result, uint64_t index);

#endif /* CYR_PRIVATE_H */

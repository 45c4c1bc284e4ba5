/* Replication of this control VM: connects the Raft core (cyr_) to a clock, a
   disk (cyd_) and the other members.  Everything runs in the loop's thread,
   except for the disk writer.  */

#ifndef CYX_REPLICA_H
#define CYX_REPLICA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/cy_clock.h"
#include "cy.pb-c.h"
#include "cy_result.h"
#include "net/cyn_conn.h"
#include "net/cyn_loop.h"

struct cyd_files;
struct cyx_replica;

/* Callbacks into the state machine, in the loop's thread.  */
struct cyx_state_machine
{
  /* A committed change, in log order.  DATA is a packed Cy__Change.  */
  void (*apply) (uint64_t index, const uint8_t *data, size_t length,
                 void *context);
  /* Packs the state after the last applied record; freed by g_free.  */
  cy_result (*save) (uint8_t **bytes, size_t *length, void *context);
  /* Replaces the state by a snapshot.  */
  cy_result (*load) (const uint8_t *bytes, size_t length, void *context);
  /* The role, the term or the member set changed.  */
  void (*changed) (void *context);
  void *context;
};

struct cyx_replica_options
{
  struct cyn_loop *loop;
  const struct cyn_identity *identity;
  const struct cy_random *random;
  const char *data_folder;
  uint64_t member_id;
  /* First members of a new cluster, copied; ignored when the folder holds a
     log.  The cluster is bootstrapped once all of them run at the
     same time.
     Empty: wait until a leader adds this member as a learner.  */
  const Cy__MemberSet *bootstrap;
  struct cyx_state_machine machine;
  const struct cyd_files *files; /* file access, NULL: cyd_system_files */
};

/* Called once with CY_OK when the record is committed and applied here,
   CY_E_NOT_LEADER when the record is not and will not be in the log,
   CY_E_OUTCOME_UNKNOWN when leadership was lost before the commit.  Loop's
   thread.  */
typedef void (*cyx_proposed_fn) (cy_result result, uint64_t index,
                                 void *context);

/* Opens the data folder, recovers and starts.  CY_E_STORE_* when the folder
   cannot be used.  */
cy_result cyx_replica_create (const struct cyx_replica_options *options,
                              struct cyx_replica **replica);
void cyx_replica_destroy (struct cyx_replica *replica);

/* Proposes DATA as the next change.  DONE is always called, never before this
   function returns.  */
void cyx_replica_propose (struct cyx_replica *replica, const uint8_t *data,
                          size_t length, cyx_proposed_fn done, void *context);

/* Adds MEMBER as a learner, which becomes a voter automatically once the log
   on its disk has caught up; REPLACED, 0: none, is removed in the same step.
   Or removes the member ID, whose place SUCCESSOR, 0: none, takes.
   CY_E_MEMBER_BUSY while another membership change is under way.  */
void cyx_replica_add_member (struct cyx_replica *replica,
                             const Cy__Member *member, uint64_t replaced,
                             cyx_proposed_fn done, void *context);
void cyx_replica_remove_member (struct cyx_replica *replica, uint64_t id,
                                uint64_t successor, cyx_proposed_fn done,
                                void *context);

/* Processes a message that arrived on a connection of role "control".  */
void cyx_replica_receive (struct cyx_replica *replica,
                          const Cy__RaftMessage *message);

bool cyx_replica_is_leader (const struct cyx_replica *replica);

/* True on a leader that has applied every record committed before its term, so
   that its state holds all acknowledged changes.  */
bool cyx_replica_is_ready (const struct cyx_replica *replica);

/* True when a committed member set lists this member as removed.  It never
   becomes a member again.  */
bool cyx_replica_is_removed (const struct cyx_replica *replica);

uint64_t cyx_replica_term (const struct cyx_replica *replica);

/* Member id of the leader, 0 if unknown.  */
uint64_t cyx_replica_leader (const struct cyx_replica *replica);

/* The member set in force, borrowed until the next change.  */
const Cy__MemberSet *cyx_replica_members (const struct cyx_replica *replica);

/* Highest log index that member ID has acknowledged as on disk; 0 if unknown
   or not leader.  */
uint64_t cyx_replica_match (const struct cyx_replica *replica, uint64_t id);
uint64_t cyx_replica_committed (const struct cyx_replica *replica);

/* Index of the last record that the state machine holds: committed and on this
   disk.  */
uint64_t cyx_replica_applied (const struct cyx_replica *replica);

/* Age of the leader's confirmation: nanoseconds since the start of the newest
   round of messages that a quorum answered.  -1 when not leader or not
   confirmed yet.  */
cy_time_ns cyx_replica_confirmation_age (const struct cyx_replica *replica);

/* Transfers leadership to the most advanced voter, for a planned stop.  */
void cyx_replica_transfer_leadership (struct cyx_replica *replica);

#endif /* CYX_REPLICA_H */

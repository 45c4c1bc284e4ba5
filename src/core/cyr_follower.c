#include <string.h>

#include "core/cyr_private.h"

/* ------------------------------------------------------------ replies */

static void
send_append_reply (struct cyr_core *core, const Cy__RaftMessage *message,
                   bool success, uint64_t hint)
{
  Cy__RaftMessage *reply_message
      = cyr_message_create (core, message->from, message->from_folder,
                            CY__RAFT_MESSAGE__BODY_APPEND_REPLY);
  Cy__RaftAppendReply *reply = reply_message->append_reply;
  reply->term = core->term;
  reply->success = success;
  reply->match = MIN (core->verified_index, core->durable_index);
  reply->hint = success ? core->verified_index : hint;
  reply->round = message->body_case == CY__RAFT_MESSAGE__BODY_APPEND
                     ? message->append->round
                     : 0;
  cyr_send_after (core, core->state_sequence, reply_message);
}

/* Reports to the leader which records are durable.  */
void
cyr_send_durable_index (struct cyr_core *core, uint64_t round)
{
  if (core->role != CYR_FOLLOWER || core->leader == 0)
    return;
  const Cy__Member *leader
      = cyr_members_find (cyr_core_members (core), core->leader);
  Cy__RaftMessage *message = cyr_message_create (
      core, core->leader, leader == NULL ? 0 : leader->folder,
      CY__RAFT_MESSAGE__BODY_APPEND_REPLY);
  message->append_reply->term = core->term;
  message->append_reply->success = true;
  message->append_reply->match
      = MIN (core->verified_index, core->durable_index);
  message->append_reply->hint = core->verified_index;
  message->append_reply->round = round;
  cyr_send_after (core, core->state_sequence, message);
}

/* ------------------------------------------------------------ appends */

/* Accepts the sender of MESSAGE as the leader of TERM.  False when TERM is
   older than the current one.  */
static bool
accept_leader (struct cyr_core *core, const Cy__RaftMessage *message,
               uint64_t term)
{
  if (term < core->term)
    return false;
  if (term > core->term || core->role != CYR_FOLLOWER
      || core->leader != message->from)
    cyr_become_follower (core, term, message->from);
  core->leader_last_received = core->now;
  cyr_restart_election_timer (core);
  /* A leader's log contains all records committed in earlier terms.  */
  core->verified_index = MAX (core->verified_index, core->commit_index);
  return true;
}

/* Index that the leader should probe next after PREVIOUS did not match.  */
static uint64_t
find_hint (const struct cyr_core *core, uint64_t previous)
{
  if (previous > cyr_log_last_index (core->log))
    return cyr_log_last_index (core->log);
  uint64_t term = cyr_log_term (core->log, previous);
  uint64_t hint = previous - 1;
  while (hint > core->commit_index && cyr_log_term (core->log, hint) == term)
    hint--;
  return hint;
}

static bool
is_consecutive (const Cy__RaftAppend *append)
{
  for (size_t i = 0; i < append->n_records; i++)
    if (append->records[i]->index != append->previous_index + 1 + i
        || append->records[i]->data.len > CYR_RECORD_BYTES_MAX)
      return false;
  return true;
}

static void
store_record (struct cyr_core *core, const Cy__LogRecord *record)
{
  if (record->index <= cyr_log_base_index (core->log))
    return;
  if (record->index <= cyr_log_last_index (core->log))
    {
      if (cyr_log_term (core->log, record->index) == record->term)
        return;
      cyr_truncate (core, record->index);
      core->changed = true;
    }
  if (record->index != cyr_log_last_index (core->log) + 1)
    return;
  cyr_log_append (core->log,
                  cyr_record_create (record->index, record->term, record->kind,
                                     record->data.data, record->data.len));
  core->changed |= record->kind == CYR_RECORD_MEMBERS;
}

static bool
log_matches (const struct cyr_core *core, const Cy__RaftAppend *append)
{
  if (append->previous_index < cyr_log_base_index (core->log))
    return true; /* a snapshot covers it */
  return cyr_log_has_term (core->log, append->previous_index)
         && cyr_log_term (core->log, append->previous_index)
                == append->previous_term;
}

void
cyr_on_append (struct cyr_core *core, const Cy__RaftMessage *message)
{
  const Cy__RaftAppend *append = message->append;
  if (!is_consecutive (append))
    return;
  if (!accept_leader (core, message, append->term))
    {
      send_append_reply (core, message, false, 0);
      return;
    }
  if (core->install_sequence != 0)
    {
      send_append_reply (core, message, true, 0);
      return;
    }
  if (!log_matches (core, append))
    {
      send_append_reply (core, message, false,
                         find_hint (core, append->previous_index));
      return;
    }
  for (size_t i = 0; i < append->n_records; i++)
    store_record (core, append->records[i]);
  uint64_t end = append->previous_index + append->n_records;
  core->verified_index
      = MAX (core->verified_index, MIN (end, cyr_log_last_index (core->log)));
  uint64_t commit = MIN (append->commit, core->verified_index);
  core->commit_index = MAX (core->commit_index, commit);
  send_append_reply (core, message, true, 0);
}

/* ------------------------------------------------------------ snapshots */

static void
send_snapshot_reply (struct cyr_core *core, const Cy__RaftMessage *message)
{
  Cy__RaftMessage *reply_message
      = cyr_message_create (core, message->from, message->from_folder,
                            CY__RAFT_MESSAGE__BODY_SNAPSHOT_REPLY);
  reply_message->snapshot_reply->term = core->term;
  reply_message->snapshot_reply->last_index = message->snapshot->last_index;
  reply_message->snapshot_reply->offset = core->incoming_snapshot->len;
  cyr_send_after (core, core->state_sequence, reply_message);
}

static void
start_install (struct cyr_core *core, const Cy__RaftSnapshot *snapshot)
{
  struct cyr_members *members
      = cyr_members_unpack (snapshot->members.data, snapshot->members.len);
  if (members == NULL)
    return;
  struct cyr_action *action = cyr_add_action (core, CYR_WRITE_SNAPSHOT);
  core->pending_install.index = snapshot->last_index;
  core->pending_install.term = snapshot->last_term;
  core->pending_install.members = members;
  core->pending_install.bytes = core->incoming_snapshot->data;
  core->pending_install.length = core->incoming_snapshot->len;
  action->snapshot = core->pending_install;
  core->install_sequence = cyr_add_write (core, action);
  for (guint i = 0; i < core->pending_writes->len; i++)
    g_array_index (core->pending_writes, struct pending_write, i).last_index
        = 0;
  struct pending_write write = { core->last_sequence, snapshot->last_index };
  g_array_append_val (core->pending_writes, write);
  core->durable_index = 0;
  core->written_index = snapshot->last_index;
  cyr_log_reset (core->log, snapshot->last_index, snapshot->last_term,
                 members);
  core->verified_index = snapshot->last_index;
  core->commit_index = snapshot->last_index;
  core->changed = true;
}

/* The received snapshot is durable: loads the state machine from it.  */
void
cyr_finish_install (struct cyr_core *core)
{
  core->install_sequence = 0;
  core->applied_index = core->pending_install.index;
  cyr_members_unref (core->snapshot_members);
  core->snapshot_index = core->pending_install.index;
  core->snapshot_term = core->pending_install.term;
  core->snapshot_members = core->pending_install.members;
  cyr_add_action (core, CYR_LOAD)->snapshot = core->pending_install;
  core->incoming_index = 0;
}

static void
add_chunk (struct cyr_core *core, const Cy__RaftSnapshot *snapshot)
{
  if (core->incoming_index != snapshot->last_index
      || core->incoming_term != snapshot->last_term)
    {
      g_byte_array_set_size (core->incoming_snapshot, 0);
      core->incoming_index = snapshot->last_index;
      core->incoming_term = snapshot->last_term;
    }
  if (snapshot->offset == core->incoming_snapshot->len)
    g_byte_array_append (core->incoming_snapshot, snapshot->piece.data,
                         (guint)snapshot->piece.len);
}

void
cyr_on_snapshot (struct cyr_core *core, const Cy__RaftMessage *message)
{
  const Cy__RaftSnapshot *snapshot = message->snapshot;
  if (!accept_leader (core, message, snapshot->term))
    {
      send_append_reply (core, message, false, 0);
      return;
    }
  if (core->install_sequence != 0)
    return;
  bool known = snapshot->last_index <= core->commit_index
               || (cyr_log_has_term (core->log, snapshot->last_index)
                   && cyr_log_term (core->log, snapshot->last_index)
                          == snapshot->last_term);
  if (known)
    {
      core->verified_index = MAX (core->verified_index, snapshot->last_index);
      core->commit_index = MAX (core->commit_index, snapshot->last_index);
      send_append_reply (core, message, true, 0);
      return;
    }
  uint64_t end = snapshot->offset + snapshot->piece.len;
  add_chunk (core, snapshot);
  send_snapshot_reply (core, message);
  if (snapshot->last && core->incoming_snapshot->len == end)
    start_install (core, snapshot);
}

#include "core/cyr_core.h"

#include <string.h>

#include "core/cyr_private.h"

#define SAVE_RETRY_NS (10 * CY_NS_PER_S) /* delay after a failed save */

/* ------------------------------------------------------------ actions */

struct cyr_action *
cyr_add_action (struct cyr_core *core, enum cyr_action_kind kind)
{
  g_array_set_size (core->actions, core->actions->len + 1);
  struct cyr_action *action = &g_array_index (core->actions, struct cyr_action,
                                              core->actions->len - 1);
  action->kind = kind;
  return action;
}

uint64_t
cyr_add_write (struct cyr_core *core, struct cyr_action *action)
{
  action->sequence = ++core->last_sequence;
  if (core->disk_wait_started_at == 0)
    core->disk_wait_started_at = core->now;
  return action->sequence;
}

static void
clear_actions (struct cyr_core *core)
{
  for (guint i = 0; i < core->actions->len; i++)
    {
      struct cyr_action *action
          = &g_array_index (core->actions, struct cyr_action, i);
      if (action->kind == CYR_SEND || action->kind == CYR_SEND_SNAPSHOT)
        cyr_message_destroy (action->message);
    }
  g_array_set_size (core->actions, 0);
}

void
cyr_write_state (struct cyr_core *core)
{
  struct cyr_action *action = cyr_add_action (core, CYR_WRITE_STATE);
  action->state.term = core->term;
  action->state.vote = core->vote;
  core->state_sequence = cyr_add_write (core, action);
}

static void
add_pending_write (struct cyr_core *core, uint64_t last)
{
  struct pending_write write = { core->last_sequence, last };
  g_array_append_val (core->pending_writes, write);
}

void
cyr_write_records (struct cyr_core *core)
{
  uint64_t last = cyr_log_last_index (core->log);
  if (core->written_index >= last)
    return;
  struct cyr_action *action = cyr_add_action (core, CYR_WRITE_RECORDS);
  action->records.first = core->written_index + 1;
  action->records.last = last;
  cyr_add_write (core, action);
  add_pending_write (core, last);
  core->written_index = last;
}

void
cyr_truncate (struct cyr_core *core, uint64_t index)
{
  g_assert (index > core->commit_index);
  cyr_log_truncate (core->log, index);
  if (core->written_index < index)
    return;
  struct cyr_action *action = cyr_add_action (core, CYR_TRUNCATE);
  action->index = index;
  cyr_add_write (core, action);
  core->written_index = index - 1;
  core->durable_index = MIN (core->durable_index, index - 1);
  for (guint i = 0; i < core->pending_writes->len; i++)
    {
      struct pending_write *write
          = &g_array_index (core->pending_writes, struct pending_write, i);
      write->last_index = MIN (write->last_index, index - 1);
    }
}

/* ------------------------------------------------------------ applying */

static void
save_snapshot_if_due (struct cyr_core *core)
{
  uint64_t records = core->applied_index - core->snapshot_index;
  if (core->save_sequence != 0 || core->install_sequence != 0 || records == 0
      || core->now < core->next_save_at
      || core->snapshot_index < cyr_log_base_index (core->log))
    return;
  if (records < core->options.snapshot_records
      && cyr_log_bytes_after (core->log, core->snapshot_index)
             < core->options.snapshot_bytes)
    return;
  struct cyr_members *members
      = cyr_log_members_at (core->log, core->applied_index, NULL);
  if (members == NULL)
    return;
  core->pending_save.index = core->applied_index;
  core->pending_save.term = cyr_log_term (core->log, core->applied_index);
  core->pending_save.members = cyr_members_ref (members);
  struct cyr_action *action = cyr_add_action (core, CYR_SAVE_SNAPSHOT);
  action->snapshot = core->pending_save;
  core->save_sequence = cyr_add_write (core, action);
}

static void
update_removed (struct cyr_core *core)
{
  struct cyr_members *members
      = cyr_log_members_at (core->log, core->commit_index, NULL);
  if (core->removed
      || !cyr_members_is_retired (members, core->options.member_id))
    return;
  core->removed = true;
  core->changed = true;
}

void
cyr_apply_committed (struct cyr_core *core)
{
  uint64_t end = MIN (core->commit_index, core->durable_index);
  if (core->install_sequence != 0)
    return;
  while (core->applied_index < end)
    {
      core->applied_index++;
      cyr_add_action (core, CYR_APPLY)->record
          = cyr_log_get (core->log, core->applied_index);
    }
  update_removed (core);
  save_snapshot_if_due (core);
}

/* ------------------------------------------------------------ disk */

static void
replace_snapshot (struct cyr_core *core, const struct cyr_snapshot *snapshot)
{
  cyr_members_unref (core->snapshot_members);
  core->snapshot_index = snapshot->index;
  core->snapshot_term = snapshot->term;
  core->snapshot_members = snapshot->members;
}

/* The saved snapshot is durable.  Removes the records that it covers, except
   some for followers that are slightly behind.  */
static void
finish_save (struct cyr_core *core)
{
  core->save_sequence = 0;
  if (core->pending_save.index <= core->snapshot_index)
    {
      cyr_members_unref (core->pending_save.members);
      return;
    }
  replace_snapshot (core, &core->pending_save);
  uint64_t kept_records = core->options.snapshot_records / 4;
  uint64_t compact_through
      = core->snapshot_index - MIN (core->snapshot_index, kept_records);
  compact_through = MAX (compact_through, cyr_log_base_index (core->log));
  if (cyr_log_bytes_after (core->log, compact_through)
      > core->options.snapshot_bytes / 2)
    compact_through = core->snapshot_index;
  cyr_log_compact (core->log, compact_through);
  struct cyr_action *action = cyr_add_action (core, CYR_COMPACT);
  action->index = core->snapshot_index;
  cyr_add_write (core, action);
}

static void
advance_durable (struct cyr_core *core)
{
  guint done_count = 0;
  while (done_count < core->pending_writes->len)
    {
      const struct pending_write *write = &g_array_index (
          core->pending_writes, struct pending_write, done_count);
      if (write->sequence > core->synced_sequence)
        break;
      core->durable_index = write->last_index;
      done_count++;
    }
  if (done_count > 0)
    g_array_remove_range (core->pending_writes, 0, done_count);
}

static void
on_synced (struct cyr_core *core, uint64_t sequence)
{
  uint64_t old_durable_index = core->durable_index;
  if (sequence <= core->synced_sequence)
    return;
  core->synced_sequence = sequence;
  core->disk_wait_started_at = sequence == core->last_sequence ? 0 : core->now;
  advance_durable (core);
  if (core->save_sequence != 0 && sequence >= core->save_sequence)
    finish_save (core);
  if (core->install_sequence != 0 && sequence >= core->install_sequence)
    cyr_finish_install (core);
  cyr_send_deferred (core);
  if (core->role == CYR_CANDIDATE && sequence >= core->state_sequence)
    cyr_count_self_vote (core);
  if (core->role != CYR_LEADER && core->durable_index > old_durable_index)
    cyr_send_durable_index (core, 0);
}

static void
on_snapshot_failed (struct cyr_core *core, uint64_t sequence)
{
  if (core->save_sequence != sequence)
    return;
  core->save_sequence = 0;
  core->next_save_at = core->now + SAVE_RETRY_NS;
  cyr_members_unref (core->pending_save.members);
}

/* ------------------------------------------------------------ messages */

/* True when MESSAGE is addressed to this data folder and cluster and comes
   from the folder that the member set binds its sender to.  A member that
   lost its disk has a new folder and is rejected: without its former term and
   vote it could vote twice.  */
static bool
is_from_cluster (struct cyr_core *core, const Cy__RaftMessage *message)
{
  struct cyr_members *members = cyr_core_members (core);
  const Cy__Member *sender = cyr_members_find (members, message->from);
  uint64_t cluster = cyr_members_cluster (members);
  bool foreign = message->to != core->options.member_id
                 || message->from == core->options.member_id
                 || (message->to_folder != 0
                     && message->to_folder != core->options.folder_id)
                 || (cluster != 0 && message->cluster_id != 0
                     && cluster != message->cluster_id)
                 || (sender != NULL && sender->folder != 0
                     && sender->folder != message->from_folder);
  core->rejected_messages += foreign;
  return !foreign;
}

static void
on_message (struct cyr_core *core, const Cy__RaftMessage *message)
{
  if (!is_from_cluster (core, message))
    return;
  switch (message->body_case)
    {
    case CY__RAFT_MESSAGE__BODY_VOTE:
      cyr_on_vote (core, message);
      break;
    case CY__RAFT_MESSAGE__BODY_VOTE_REPLY:
      cyr_on_vote_reply (core, message);
      break;
    case CY__RAFT_MESSAGE__BODY_APPEND:
      cyr_on_append (core, message);
      break;
    case CY__RAFT_MESSAGE__BODY_APPEND_REPLY:
      cyr_on_append_reply (core, message);
      break;
    case CY__RAFT_MESSAGE__BODY_SNAPSHOT:
      cyr_on_snapshot (core, message);
      break;
    case CY__RAFT_MESSAGE__BODY_SNAPSHOT_REPLY:
      cyr_on_snapshot_reply (core, message);
      break;
    case CY__RAFT_MESSAGE__BODY_TIMEOUT_NOW:
      cyr_on_timeout_now (core, message);
      break;
    case CY__RAFT_MESSAGE__BODY_FOUNDING:
    case CY__RAFT_MESSAGE__BODY__NOT_SET:
    case _CY__RAFT_MESSAGE__BODY__CASE_IS_INT_SIZE:
      break;
    }
}

/* ------------------------------------------------------------ steps */

static void
on_propose (struct cyr_core *core, const struct cyr_event *event)
{
  if (core->role != CYR_LEADER || core->transfer_target != 0)
    {
      cyr_complete_proposal (core, event->propose.token, CY_E_NOT_LEADER, 0);
      return;
    }
  if (event->propose.length > CYR_RECORD_BYTES_MAX)
    {
      cyr_complete_proposal (core, event->propose.token, CY_E_TOO_LARGE, 0);
      return;
    }
  cyr_leader_append (core, CYR_RECORD_CHANGE, event->propose.data,
                     event->propose.length);
  cyr_complete_proposal (core, event->propose.token, CY_OK,
                         cyr_log_last_index (core->log));
}

/* The first record of a cluster is its first member set, equal on every
   member.  Its term is 1, and nobody can be elected in term 1.  */
static void
on_found (struct cyr_core *core, struct cyr_members *members)
{
  if (core->term != 0 || cyr_log_last_index (core->log) != 0)
    return;
  size_t length;
  const uint8_t *bytes = cyr_members_bytes (members, &length);
  core->term = 1;
  cyr_write_state (core);
  cyr_log_append (core->log,
                  cyr_record_create (1, 1, CYR_RECORD_MEMBERS, bytes, length));
  core->changed = true;
}

static void
on_tick (struct cyr_core *core)
{
  if (core->role == CYR_LEADER)
    {
      cyr_leader_tick (core);
      return;
    }
  if (core->now < core->election_due)
    return;
  cyr_restart_election_timer (core);
  if (cyr_may_campaign (core))
    cyr_campaign (core, true, false);
}

static void
dispatch (struct cyr_core *core, const struct cyr_event *event)
{
  switch (event->kind)
    {
    case CYR_TICK:
      on_tick (core);
      break;
    case CYR_MESSAGE:
      on_message (core, event->message);
      break;
    case CYR_PROPOSE:
      on_propose (core, event);
      break;
    case CYR_ADD_MEMBER:
      cyr_propose_add (core, event->add.member, event->add.replaced,
                       event->add.token);
      break;
    case CYR_REMOVE_MEMBER:
      cyr_propose_remove (core, event->remove.id, event->remove.successor,
                          event->remove.token);
      break;
    case CYR_TRANSFER:
      cyr_start_transfer (core);
      break;
    case CYR_SYNCED:
      on_synced (core, event->sequence);
      break;
    case CYR_SNAPSHOT_FAILED:
      on_snapshot_failed (core, event->sequence);
      break;
    case CYR_BOOTSTRAP:
      on_found (core, event->first_set);
      break;
    }
}

void
cyr_core_step (struct cyr_core *core, const struct cyr_event *event)
{
  clear_actions (core);
  core->now = event->now;
  if (core->incoming_index == 0 && core->incoming_snapshot->len > 0)
    {
      g_byte_array_unref (core->incoming_snapshot);
      core->incoming_snapshot = g_byte_array_new ();
    }
  dispatch (core, event);
  if (event->kind == CYR_PROPOSE)
    return;
  cyr_write_records (core);
  if (core->role == CYR_LEADER)
    cyr_leader_flush (core);
  cyr_apply_committed (core);
  if (core->changed)
    cyr_add_action (core, CYR_CHANGED);
  core->changed = false;
}

const struct cyr_action *
cyr_core_actions (const struct cyr_core *core, size_t *count)
{
  *count = core->actions->len;
  return (const struct cyr_action *)(void *)core->actions->data;
}

cy_time_ns
cyr_core_next_tick (const struct cyr_core *core)
{
  return core->role == CYR_LEADER ? core->heartbeat_due : core->election_due;
}

/* ------------------------------------------------------------ lifetime */

struct cyr_core *
cyr_core_create (const struct cyr_options *options,
                 const struct cyr_initial *initial, cy_time_ns now)
{
  struct cyr_core *core = g_new0 (struct cyr_core, 1);
  core->options = *options;
  if (core->options.snapshot_records == 0)
    core->options.snapshot_records = CYR_SNAPSHOT_RECORDS;
  if (core->options.snapshot_bytes == 0)
    core->options.snapshot_bytes = CYR_SNAPSHOT_BYTES;
  core->actions = g_array_new (FALSE, TRUE, sizeof (struct cyr_action));
  core->pending_writes
      = g_array_new (FALSE, FALSE, sizeof (struct pending_write));
  core->deferred_messages
      = g_array_new (FALSE, FALSE, sizeof (struct deferred_message));
  core->progress = g_array_new (FALSE, TRUE, sizeof (struct progress));
  core->incoming_snapshot = g_byte_array_new ();
  core->now = now;
  core->term = initial->term;
  core->vote = initial->vote;
  core->snapshot_index = initial->snapshot_index;
  core->snapshot_term = initial->snapshot_term;
  core->log = cyr_log_create (initial->snapshot_index, initial->snapshot_term,
                              initial->members);
  if (initial->members != NULL)
    core->snapshot_members = cyr_members_ref (initial->members);
  for (size_t i = 0; i < initial->record_count; i++)
    cyr_log_append (core->log, cyr_record_ref (initial->records[i]));
  core->written_index = core->durable_index = cyr_log_last_index (core->log);
  core->applied_index = core->snapshot_index;
  core->commit_index = MAX (core->applied_index,
                            MIN (initial->commit_index, core->durable_index));
  /* This member may have received a leader's message just before it restarted,
     so the restart counts as one: no vote is granted for one election timeout,
     except when the leader requests the election.  */
  core->leader_last_received = now;
  uint64_t random_delay
      = cy_random_below (core->options.random, CYR_PRE_VOTE_TIMEOUT_NS);
  core->election_due
      = now + CYR_ELECTION_TIMEOUT_NS + (cy_time_ns)random_delay;
  return core;
}

void
cyr_core_destroy (struct cyr_core *core)
{
  if (core == NULL)
    return;
  clear_actions (core);
  for (guint i = 0; i < core->deferred_messages->len; i++)
    cyr_message_destroy (
        g_array_index (core->deferred_messages, struct deferred_message, i)
            .message);
  if (core->save_sequence != 0)
    cyr_members_unref (core->pending_save.members);
  if (core->install_sequence != 0)
    cyr_members_unref (core->pending_install.members);
  cyr_members_unref (core->snapshot_members);
  cyr_log_destroy (core->log);
  g_array_free (core->actions, TRUE);
  g_array_free (core->pending_writes, TRUE);
  g_array_free (core->deferred_messages, TRUE);
  g_array_free (core->progress, TRUE);
  g_byte_array_unref (core->incoming_snapshot);
  g_free (core);
}

/* ------------------------------------------------------------ queries */

enum cyr_role
cyr_core_role (const struct cyr_core *core)
{
  return core->role;
}

uint64_t
cyr_core_term (const struct cyr_core *core)
{
  return core->term;
}

uint64_t
cyr_core_leader (const struct cyr_core *core)
{
  return core->leader;
}

uint64_t
cyr_core_commit_index (const struct cyr_core *core)
{
  return core->commit_index;
}

uint64_t
cyr_core_applied_index (const struct cyr_core *core)
{
  return core->applied_index;
}

uint64_t
cyr_core_last_index (const struct cyr_core *core)
{
  return cyr_log_last_index (core->log);
}

struct cyr_record *
cyr_core_record (const struct cyr_core *core, uint64_t index)
{
  return cyr_log_get (core->log, index);
}

bool
cyr_core_has_record (const struct cyr_core *core, uint64_t index)
{
  return index > cyr_log_base_index (core->log)
         && index <= cyr_log_last_index (core->log);
}

struct cyr_members *
cyr_core_members (const struct cyr_core *core)
{
  return cyr_log_members_at (core->log, cyr_log_last_index (core->log), NULL);
}

bool
cyr_core_is_removed (const struct cyr_core *core)
{
  return core->removed;
}

bool
cyr_core_is_ready (const struct cyr_core *core)
{
  return core->role == CYR_LEADER
         && core->applied_index >= core->term_start_index;
}

uint64_t
cyr_core_match_index (const struct cyr_core *core, uint64_t id)
{
  if (core->role != CYR_LEADER)
    return 0;
  if (id == core->options.member_id)
    return core->durable_index;
  const struct progress *progress = cyr_find_progress (core, id);
  return progress == NULL ? 0 : progress->match_index;
}

cy_time_ns
cyr_core_confirmation_age (const struct cyr_core *core, cy_time_ns now)
{
  if (core->role != CYR_LEADER || !core->has_confirmed_round)
    return -1;
  return now - core->confirmed_at;
}

uint64_t
cyr_core_rejected_messages (const struct cyr_core *core)
{
  return core->rejected_messages;
}

#include "core/cyr_core.h"

#include <string.h>

#include "core/cyr_private.h"

#define SAVE_RETRY_NS (10 * CY_NS_PER_S) /* after a snapshot was not saved */

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
  action->sequence = ++core->sequence;
  if (core->disk_waiting == 0)
    core->disk_waiting = core->now;
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
add_pending (struct cyr_core *core, uint64_t last)
{
  struct pending_write write = { core->sequence, last };
  g_array_append_val (core->writes, write);
}

void
cyr_write_records (struct cyr_core *core)
{
  uint64_t last = cyr_log_last (core->log);
  if (core->written >= last)
    return;
  struct cyr_action *action = cyr_add_action (core, CYR_WRITE_RECORDS);
  action->records.first = core->written + 1;
  action->records.last = last;
  cyr_add_write (core, action);
  add_pending (core, last);
  core->written = last;
}

void
cyr_truncate (struct cyr_core *core, uint64_t index)
{
  g_assert (index > core->commit);
  cyr_log_truncate (core->log, index);
  if (core->written < index)
    return;
  struct cyr_action *action = cyr_add_action (core, CYR_TRUNCATE);
  action->index = index;
  cyr_add_write (core, action);
  core->written = index - 1;
  core->durable = MIN (core->durable, index - 1);
  for (guint i = 0; i < core->writes->len; i++)
    {
      struct pending_write *write
          = &g_array_index (core->writes, struct pending_write, i);
      write->last = MIN (write->last, index - 1);
    }
}

/* ------------------------------------------------------------ applying */

static void
start_save (struct cyr_core *core)
{
  uint64_t records = core->applied - core->snapshot_index;
  if (core->save_sequence != 0 || core->install_sequence != 0 || records == 0
      || core->now < core->save_after
      || core->snapshot_index < cyr_log_base (core->log))
    return;
  if (records < core->options.snapshot_records
      && cyr_log_bytes_after (core->log, core->snapshot_index)
             < core->options.snapshot_bytes)
    return;
  struct cyr_members *members
      = cyr_log_members (core->log, core->applied, NULL);
  if (members == NULL)
    return;
  core->save.index = core->applied;
  core->save.term = cyr_log_term (core->log, core->applied);
  core->save.members = cyr_members_ref (members);
  struct cyr_action *action = cyr_add_action (core, CYR_SAVE_SNAPSHOT);
  action->snapshot = core->save;
  core->save_sequence = cyr_add_write (core, action);
}

static void
note_removal (struct cyr_core *core)
{
  struct cyr_members *members
      = cyr_log_members (core->log, core->commit, NULL);
  if (core->removed || !cyr_members_is_retired (members, core->options.self))
    return;
  core->removed = true;
  core->changed = true;
}

void
cyr_apply_committed (struct cyr_core *core)
{
  uint64_t end = MIN (core->commit, core->durable);
  if (core->install_sequence != 0)
    return;
  while (core->applied < end)
    {
      core->applied++;
      cyr_add_action (core, CYR_APPLY)->record
          = cyr_log_get (core->log, core->applied);
    }
  note_removal (core);
  start_save (core);
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

/* The snapshot of the own machine is on disk: drop what it covers, but keep
   some records for followers that are a little behind.  */
static void
saved (struct cyr_core *core)
{
  core->save_sequence = 0;
  if (core->save.index <= core->snapshot_index)
    {
      cyr_members_unref (core->save.members);
      return;
    }
  replace_snapshot (core, &core->save);
  uint64_t keep = core->options.snapshot_records / 4;
  uint64_t through = core->snapshot_index - MIN (core->snapshot_index, keep);
  through = MAX (through, cyr_log_base (core->log));
  if (cyr_log_bytes_after (core->log, through)
      > core->options.snapshot_bytes / 2)
    through = core->snapshot_index;
  cyr_log_compact (core->log, through);
  struct cyr_action *action = cyr_add_action (core, CYR_COMPACT);
  action->index = core->snapshot_index;
  cyr_add_write (core, action);
}

static void
advance_durable (struct cyr_core *core)
{
  guint done = 0;
  while (done < core->writes->len)
    {
      const struct pending_write *write
          = &g_array_index (core->writes, struct pending_write, done);
      if (write->sequence > core->synced)
        break;
      core->durable = write->last;
      done++;
    }
  if (done > 0)
    g_array_remove_range (core->writes, 0, done);
}

static void
on_synced (struct cyr_core *core, uint64_t sequence)
{
  uint64_t durable = core->durable;
  if (sequence <= core->synced)
    return;
  core->synced = sequence;
  core->disk_waiting = sequence == core->sequence ? 0 : core->now;
  advance_durable (core);
  if (core->save_sequence != 0 && sequence >= core->save_sequence)
    saved (core);
  if (core->install_sequence != 0 && sequence >= core->install_sequence)
    cyr_installed (core);
  cyr_release_held (core);
  if (core->role == CYR_CANDIDATE && sequence >= core->state_sequence)
    cyr_count_own_vote (core);
  if (core->role != CYR_LEADER && core->durable > durable)
    cyr_acknowledge (core, 0);
}

static void
on_snapshot_failed (struct cyr_core *core, uint64_t sequence)
{
  if (core->save_sequence != sequence)
    return;
  core->save_sequence = 0;
  core->save_after = core->now + SAVE_RETRY_NS;
  cyr_members_unref (core->save.members);
}

/* ------------------------------------------------------------ messages */

/* True when MESSAGE is for this folder and this cluster, and comes from the
   folder that its sender is bound to.  A member that lost its disk has a new
   folder and fails here: it cannot vote with forgotten state.  */
static bool
is_familiar (struct cyr_core *core, const Cy__RaftMessage *message)
{
  struct cyr_members *members = cyr_core_members (core);
  const Cy__Member *sender = cyr_members_find (members, message->from);
  uint64_t cluster = cyr_members_cluster (members);
  bool foreign = message->to != core->options.self
                 || message->from == core->options.self
                 || (message->to_folder != 0
                     && message->to_folder != core->options.folder)
                 || (cluster != 0 && message->cluster_id != 0
                     && cluster != message->cluster_id)
                 || (sender != NULL && sender->folder != 0
                     && sender->folder != message->from_folder);
  core->foreign += foreign;
  return !foreign;
}

static void
on_message (struct cyr_core *core, const Cy__RaftMessage *message)
{
  if (!is_familiar (core, message))
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
  if (core->role != CYR_LEADER || core->transfer_to != 0)
    {
      cyr_answer (core, event->propose.token, CY_E_NOT_LEADER, 0);
      return;
    }
  if (event->propose.length > CYR_RECORD_MAX)
    {
      cyr_answer (core, event->propose.token, CY_E_TOO_LARGE, 0);
      return;
    }
  cyr_leader_append (core, CYR_RECORD_CHANGE, event->propose.data,
                     event->propose.length);
  cyr_answer (core, event->propose.token, CY_OK, cyr_log_last (core->log));
}

/* The first record of a cluster is its first member set, the same on every
   member, of term 1 in which nobody can be elected.  */
static void
on_found (struct cyr_core *core, struct cyr_members *members)
{
  if (core->term != 0 || cyr_log_last (core->log) != 0)
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
      cyr_propose_add (core, event->add.member, event->add.token);
      break;
    case CYR_REMOVE_MEMBER:
      cyr_propose_remove (core, event->remove.id, event->remove.token);
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
    case CYR_FOUND:
      on_found (core, event->founded);
      break;
    }
}

void
cyr_core_step (struct cyr_core *core, const struct cyr_event *event)
{
  clear_actions (core);
  core->now = event->now;
  if (core->incoming_index == 0 && core->incoming->len > 0)
    {
      g_byte_array_unref (core->incoming);
      core->incoming = g_byte_array_new ();
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
  core->writes = g_array_new (FALSE, FALSE, sizeof (struct pending_write));
  core->held = g_array_new (FALSE, FALSE, sizeof (struct held_message));
  core->progress = g_array_new (FALSE, TRUE, sizeof (struct progress));
  core->incoming = g_byte_array_new ();
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
  core->written = core->durable = cyr_log_last (core->log);
  core->applied = core->snapshot_index;
  core->commit = MAX (core->applied, MIN (initial->committed, core->durable));
  /* It may have heard a leader just before the restart.  */
  core->leader_heard = now;
  uint64_t extra = cy_random_below (core->options.random, CYR_PRE_VOTE_NS);
  core->election_due = now + CYR_ELECTION_NS + (cy_time_ns)extra;
  return core;
}

void
cyr_core_destroy (struct cyr_core *core)
{
  if (core == NULL)
    return;
  clear_actions (core);
  for (guint i = 0; i < core->held->len; i++)
    cyr_message_destroy (
        g_array_index (core->held, struct held_message, i).message);
  if (core->save_sequence != 0)
    cyr_members_unref (core->save.members);
  if (core->install_sequence != 0)
    cyr_members_unref (core->install.members);
  cyr_members_unref (core->snapshot_members);
  cyr_log_destroy (core->log);
  g_array_free (core->actions, TRUE);
  g_array_free (core->writes, TRUE);
  g_array_free (core->held, TRUE);
  g_array_free (core->progress, TRUE);
  g_byte_array_unref (core->incoming);
  g_free (core);
}

/* ------------------------------------------------------------ questions */

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
cyr_core_commit (const struct cyr_core *core)
{
  return core->commit;
}

uint64_t
cyr_core_applied (const struct cyr_core *core)
{
  return core->applied;
}

uint64_t
cyr_core_last (const struct cyr_core *core)
{
  return cyr_log_last (core->log);
}

struct cyr_record *
cyr_core_record (const struct cyr_core *core, uint64_t index)
{
  return cyr_log_get (core->log, index);
}

bool
cyr_core_has_record (const struct cyr_core *core, uint64_t index)
{
  return index > cyr_log_base (core->log) && index <= cyr_log_last (core->log);
}

struct cyr_members *
cyr_core_members (const struct cyr_core *core)
{
  return cyr_log_members (core->log, cyr_log_last (core->log), NULL);
}

bool
cyr_core_is_removed (const struct cyr_core *core)
{
  return core->removed;
}

bool
cyr_core_is_ready (const struct cyr_core *core)
{
  return core->role == CYR_LEADER && core->applied >= core->term_start;
}

uint64_t
cyr_core_match (const struct cyr_core *core, uint64_t id)
{
  if (core->role != CYR_LEADER)
    return 0;
  if (id == core->options.self)
    return core->durable;
  const struct progress *progress = cyr_find_progress (core, id);
  return progress == NULL ? 0 : progress->match;
}

cy_time_ns
cyr_core_age (const struct cyr_core *core, cy_time_ns now)
{
  if (core->role != CYR_LEADER || !core->confirmed_once)
    return -1;
  return now - core->confirmed;
}

uint64_t
cyr_core_foreign (const struct cyr_core *core)
{
  return core->foreign;
}

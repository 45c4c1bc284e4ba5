/* Passes events to the Raft core and executes the core's actions.  */

#include <inttypes.h>
#include <jansson.h>
#include <string.h>

#include "base/cyu_log.h"
#include "control/cyx_replica_private.h"
#include "store/cyd_record.h"

/* ------------------------------------------------------------ sending */

void
cyx_replica_send (struct cyx_replica *replica, Cy__RaftMessage *message)
{
  const Cy__Member *self = cyr_members_find (cyr_core_members (replica->core),
                                             replica->options.member_id);
  if (self != NULL)
    {
      message->from_host = self->host;
      message->from_port = self->port;
    }
  cyx_peers_send (replica->peers, message);
}

static void
open_snapshot (struct cyx_replica *replica, uint64_t index)
{
  if (replica->snapshot != NULL && replica->snapshot_index == index)
    return;
  cyd_snapshot_close (replica->snapshot);
  replica->snapshot = NULL;
  replica->snapshot_index = index;
  cyd_snapshot_open (cyx_writer_store (replica->writer), index,
                     &replica->snapshot);
}

/* Reads the snapshot data at MESSAGE's offset into MESSAGE and sends it.  */
static void
send_snapshot_chunk (struct cyx_replica *replica, Cy__RaftMessage *message)
{
  Cy__RaftSnapshot *body = message->snapshot;
  open_snapshot (replica, body->last_index);
  if (replica->snapshot == NULL)
    return;
  uint64_t length = cyd_snapshot_length (replica->snapshot);
  if (body->offset > length)
    return;
  uint64_t count = MIN (length - body->offset, CYX_SNAPSHOT_CHUNK_BYTES);
  uint8_t *bytes = g_malloc (count + 1);
  if (cyd_snapshot_read (replica->snapshot, body->offset, bytes, count)
      == CY_OK)
    {
      body->piece.data = bytes;
      body->piece.len = count;
      body->last = body->offset + count == length;
      cyx_replica_send (replica, message);
    }
  body->piece.data = NULL;
  body->piece.len = 0;
  g_free (bytes);
}

/* ------------------------------------------------------------ writing */

static void
write_records (struct cyx_replica *replica, const struct cyr_action *action)
{
  struct cyx_job job
      = { .kind = CYX_JOB_APPEND, .sequence = action->sequence };
  job.records
      = g_ptr_array_new_with_free_func ((GDestroyNotify)cyr_record_unref);
  for (uint64_t index = action->records.first; index <= action->records.last;
       index++)
    {
      struct cyr_record *record = cyr_core_record (replica->core, index);
      replica->queued_bytes += cyd_record_size (record->length);
      g_ptr_array_add (job.records, cyr_record_ref (record));
    }
  replica->accepted_bytes = 0;
  cyx_writer_add (replica->writer, &job);
}

/* Makes a job with copies of the snapshot's members, since the core and the
   writer run in different threads.  */
static struct cyx_job
snapshot_job (const struct cyr_action *action, enum cyx_job_kind kind,
              GBytes *state)
{
  struct cyx_job job = { .kind = kind, .sequence = action->sequence };
  size_t length;
  const uint8_t *members
      = cyr_members_bytes (action->snapshot.members, &length);
  job.save.snapshot = action->snapshot;
  job.save.snapshot.members = cyr_members_unpack (members, length);
  job.save.state = state;
  return job;
}

static void
save_snapshot (struct cyx_replica *replica, const struct cyr_action *action)
{
  const struct cyx_state_machine *machine = &replica->options.machine;
  uint8_t *bytes = NULL;
  size_t length = 0;
  cy_result result = machine->save (&bytes, &length, machine->context);
  if (result != CY_OK)
    {
      cyu_log (G_LOG_LEVEL_CRITICAL,
               "state cannot be packed for a snapshot: %s",
               cy_result_text (result));
      struct cyx_job skip
          = { .kind = CYX_JOB_NOTHING, .sequence = action->sequence };
      cyx_writer_add (replica->writer, &skip);
      return;
    }
  struct cyx_job job
      = snapshot_job (action, CYX_JOB_SAVE, g_bytes_new_take (bytes, length));
  cyx_writer_add (replica->writer, &job);
}

static void
queue_write (struct cyx_replica *replica, const struct cyr_action *action)
{
  struct cyx_job job = { .sequence = action->sequence };
  if (action->kind == CYR_WRITE_STATE)
    {
      job.kind = CYX_JOB_STATE;
      job.state.term = action->state.term;
      job.state.vote = action->state.vote;
    }
  else
    {
      job.kind
          = action->kind == CYR_TRUNCATE ? CYX_JOB_TRUNCATE : CYX_JOB_COMPACT;
      job.index = action->index;
    }
  cyx_writer_add (replica->writer, &job);
}

static void
install_snapshot (struct cyx_replica *replica, const struct cyr_action *action)
{
  GBytes *state
      = g_bytes_new (action->snapshot.bytes, action->snapshot.length);
  struct cyx_job job = snapshot_job (action, CYX_JOB_INSTALL, state);
  cyx_writer_add (replica->writer, &job);
}

/* ------------------------------------------------------------ applying */

void
cyx_replica_fail_pending (struct cyx_replica *replica, cy_result result)
{
  struct cyx_pending *pending;
  while ((pending = g_queue_pop_head (&replica->pending)) != NULL)
    {
      pending->done (result, 0, pending->context);
      g_free (pending);
    }
}

static void
apply_record (struct cyx_replica *replica, const struct cyr_record *record)
{
  const struct cyx_state_machine *machine = &replica->options.machine;
  if (record->kind == CYR_RECORD_CHANGE)
    machine->apply (record->index, record->data, record->length,
                    machine->context);
  struct cyx_pending *pending = g_queue_peek_head (&replica->pending);
  if (pending == NULL || pending->index != record->index)
    return;
  g_queue_pop_head (&replica->pending);
  pending->done (pending->term == record->term ? CY_OK : CY_E_OUTCOME_UNKNOWN,
                 record->index, pending->context);
  g_free (pending);
}

static void
load_snapshot (struct cyx_replica *replica,
               const struct cyr_snapshot *snapshot)
{
  const struct cyx_state_machine *machine = &replica->options.machine;
  cy_result result
      = machine->load (snapshot->bytes, snapshot->length, machine->context);
  if (result != CY_OK)
    g_error ("snapshot %" PRIu64 " of the leader cannot be loaded: %s",
             snapshot->index, cy_result_text (result));
}

static void
answer_proposal (struct cyx_replica *replica, const struct cyr_action *action)
{
  struct cyx_request *request = action->proposed.token;
  if (action->proposed.result != CY_OK)
    {
      request->done (action->proposed.result, 0, request->context);
      return;
    }
  struct cyx_pending *pending = g_new (struct cyx_pending, 1);
  pending->index = action->proposed.index;
  pending->term = cyr_core_term (replica->core);
  pending->done = request->done;
  pending->context = request->context;
  g_queue_push_tail (&replica->pending, pending);
}

/* ------------------------------------------------------------ steps */

static void
execute_action (struct cyx_replica *replica, const struct cyr_action *action)
{
  switch (action->kind)
    {
    case CYR_SEND:
      cyx_replica_send (replica, action->message);
      break;
    case CYR_SEND_SNAPSHOT:
      send_snapshot_chunk (replica, action->message);
      break;
    case CYR_WRITE_RECORDS:
      write_records (replica, action);
      break;
    case CYR_WRITE_STATE:
    case CYR_TRUNCATE:
    case CYR_COMPACT:
      queue_write (replica, action);
      break;
    case CYR_WRITE_SNAPSHOT:
      install_snapshot (replica, action);
      break;
    case CYR_SAVE_SNAPSHOT:
      save_snapshot (replica, action);
      break;
    case CYR_LOAD:
      load_snapshot (replica, &action->snapshot);
      break;
    case CYR_APPLY:
      apply_record (replica, action->record);
      break;
    case CYR_PROPOSED:
      answer_proposal (replica, action);
      break;
    case CYR_CHANGED:
      break;
    }
}

/* Dials the members of the set in force.  */
static void
dial_members (struct cyx_replica *replica)
{
  struct cyr_members *members = cyr_core_members (replica->core);
  if (members == NULL)
    return;
  const Cy__MemberSet *set = cyr_members_set (members);
  for (size_t i = 0; i < set->n_members; i++)
    if (set->members[i]->id != replica->options.member_id)
      cyx_peers_set_address (replica->peers, set->members[i]->id,
                             set->members[i]->host,
                             (uint16_t)set->members[i]->port);
}

/* Logs one line for each change of role, term, leader or members.  */
static void
log_view (const struct cyx_replica *replica, const struct cyx_view *view)
{
  static const char *const roles[]
      = { [CYR_FOLLOWER] = "follower",
          [CYR_PRE_CANDIDATE] = "asks for preliminary votes",
          [CYR_CANDIDATE] = "asks for votes",
          [CYR_LEADER] = "leader" };
  char self[24];
  char leader[24];
  g_snprintf (self, sizeof self, "%" PRIx64, replica->options.member_id);
  g_snprintf (leader, sizeof leader, "%" PRIx64, view->leader_id);
  cyu_event (CYU_CHANGE, "log_member", "{ss ss sI ss sI sI si sb}", "member",
             self, "role", roles[view->role], "term", (json_int_t)view->term,
             "leader", leader, "last",
             (json_int_t)cyr_core_last_index (replica->core), "committed",
             (json_int_t)cyr_core_commit_index (replica->core), "members",
             view->members == NULL
                 ? 0
                 : (int)cyr_members_set (view->members)->n_members,
             "ready", view->ready);
}

static void
update_view (struct cyx_replica *replica)
{
  struct cyx_view view = { .leader = cyx_replica_is_leader (replica),
                           .ready = cyx_replica_is_ready (replica),
                           .removed = cyr_core_is_removed (replica->core),
                           .role = cyr_core_role (replica->core),
                           .term = cyr_core_term (replica->core),
                           .leader_id = cyr_core_leader (replica->core),
                           .members = cyr_core_members (replica->core) };
  bool same_members = view.members == replica->view.members;
  bool same = same_members && view.leader == replica->view.leader
              && view.ready == replica->view.ready
              && view.removed == replica->view.removed
              && view.role == replica->view.role
              && view.term == replica->view.term
              && view.leader_id == replica->view.leader_id;
  if (same)
    return;
  if (view.removed && !replica->view.removed)
    cyu_log (G_LOG_LEVEL_WARNING,
             "this member was removed from the cluster; it does not vote");
  log_view (replica, &view);
  if (view.members != NULL)
    cyr_members_ref (view.members);
  cyr_members_unref (replica->view.members);
  replica->view = view;
  if (!same_members)
    dial_members (replica);
  if (replica->options.machine.changed != NULL)
    replica->options.machine.changed (replica->options.machine.context);
}

static void
start_core_timer (struct cyx_replica *replica)
{
  cy_time_ns delay
      = cyr_core_next_tick (replica->core) - cyx_replica_now (replica);
  cyn_timer_start (replica->core_timer,
                   MAX (delay + CY_NS_PER_MS - 1, 0) / CY_NS_PER_MS);
}

void
cyx_replica_write_commit (struct cyx_replica *replica, bool final)
{
  uint64_t applied = cyr_core_applied_index (replica->core);
  cy_time_ns now = cyx_replica_now (replica);
  bool too_early = replica->commit_write_queued_at != 0
                   || now < replica->next_commit_write_at;
  if (applied <= replica->written_commit || (too_early && !final))
    return;
  struct cyx_job job = { .kind = CYX_JOB_COMMIT, .index = applied };
  replica->written_commit = applied;
  replica->commit_write_queued_at = now;
  cyx_writer_add (replica->writer, &job);
}

static void
schedule_commit_write (struct cyx_replica *replica)
{
  cy_time_ns now = cyx_replica_now (replica);
  cy_time_ns duration = now - replica->commit_write_queued_at;
  replica->next_commit_write_at
      = now
        + MAX (CYX_COMMIT_WRITE_PAUSE_MIN_MS * CY_NS_PER_MS,
               CYX_COMMIT_WRITE_PAUSE_FACTOR * duration);
  replica->commit_write_queued_at = 0;
}

void
cyx_replica_run (struct cyx_replica *replica, const struct cyr_event *event)
{
  size_t count;
  cyr_core_step (replica->core, event);
  const struct cyr_action *actions = cyr_core_actions (replica->core, &count);
  for (size_t i = 0; i < count; i++)
    execute_action (replica, &actions[i]);
  if (event->kind == CYR_PROPOSE)
    return;
  struct cyx_pending *pending = g_queue_peek_head (&replica->pending);
  if (pending != NULL
      && (cyr_core_role (replica->core) != CYR_LEADER
          || cyr_core_term (replica->core) != pending->term))
    cyx_replica_fail_pending (replica, CY_E_OUTCOME_UNKNOWN);
  cyu_metric_set (replica->term_gauge, (int64_t)cyr_core_term (replica->core));
  cyu_metric_set (replica->commit_gauge,
                  (int64_t)cyr_core_commit_index (replica->core));
  cyu_metric_set (replica->foreign_gauge,
                  (int64_t)cyr_core_rejected_messages (replica->core));
  cyx_replica_write_commit (replica, false);
  update_view (replica);
  start_core_timer (replica);
}

void
cyx_replica_written (const struct cyx_written *written, void *context)
{
  struct cyx_replica *replica = context;
  replica->queued_bytes -= MIN (replica->queued_bytes, written->record_bytes);
  if (written->failed_snapshot != 0)
    {
      struct cyr_event failed = { .kind = CYR_SNAPSHOT_FAILED,
                                  .now = cyx_replica_now (replica),
                                  .sequence = written->failed_snapshot };
      cyx_replica_run (replica, &failed);
    }
  if (written->founding_stored)
    cyx_replica_founding_stored (replica);
  if (written->commit_index != 0)
    schedule_commit_write (replica);
  if (written->sequence == 0)
    return;
  struct cyr_event event = { .kind = CYR_SYNCED,
                             .now = cyx_replica_now (replica),
                             .sequence = written->sequence };
  cyx_replica_run (replica, &event);
}

#include <string.h>

#include "core/cyr_private.h"

struct progress *
cyr_find_progress (const struct cyr_core *core, uint64_t id)
{
  for (guint i = 0; i < core->progress->len; i++)
    {
      struct progress *progress
          = &g_array_index (core->progress, struct progress, i);
      if (progress->id == id)
        return progress;
    }
  return NULL;
}

/* ------------------------------------------------------------ sending */

static Cy__RaftMessage *
create_message_to (const struct cyr_core *core,
                   const struct progress *progress,
                   Cy__RaftMessage__BodyCase body)
{
  const Cy__Member *member
      = cyr_members_find (cyr_core_members (core), progress->id);
  uint64_t folder = member != NULL ? member->folder : progress->folder_id;
  return cyr_message_create (core, progress->id, folder, body);
}

/* Adds to APPEND as many records from FIRST on as its limits allow.  */
static void
add_records (const struct cyr_core *core, Cy__RaftAppend *append,
             uint64_t first)
{
  uint64_t last = MIN (cyr_log_last_index (core->log),
                       first + CYR_BATCH_RECORDS_MAX - 1);
  size_t bytes = 0;
  if (last < first)
    return;
  append->records = g_new (Cy__LogRecord *, last - first + 1);
  for (uint64_t index = first; index <= last; index++)
    {
      struct cyr_record *record = cyr_log_get (core->log, index);
      if (index > first && bytes + record->length > CYR_BATCH_BYTES_MAX)
        break;
      bytes += record->length;
      Cy__LogRecord *copy = g_new (Cy__LogRecord, 1);
      cy__log_record__init (copy);
      copy->index = record->index;
      copy->term = record->term;
      copy->kind = record->kind;
      copy->data.data = record->data;
      copy->data.len = record->length;
      append->records[append->n_records++] = copy;
    }
}

/* Sends one append that follows the record PREVIOUS.  Returns the index of
   the last record in it, PREVIOUS if it has none.  */
static uint64_t
send_append (struct cyr_core *core, const struct progress *progress,
             uint64_t previous, bool with_records)
{
  Cy__RaftMessage *message
      = create_message_to (core, progress, CY__RAFT_MESSAGE__BODY_APPEND);
  Cy__RaftAppend *append = message->append;
  append->term = core->term;
  append->previous_index = previous;
  append->previous_term = cyr_log_has_term (core->log, previous)
                              ? cyr_log_term (core->log, previous)
                              : 0;
  append->commit = core->commit_index;
  append->round = core->round;
  if (with_records)
    add_records (core, append, previous + 1);
  uint64_t last_index = previous + append->n_records;
  cyr_send (core, message);
  return last_index;
}

static void
send_chunk (struct cyr_core *core, struct progress *progress)
{
  if (progress->snapshot_index != core->snapshot_index)
    {
      progress->snapshot_index = core->snapshot_index;
      progress->snapshot_offset = 0;
    }
  Cy__RaftMessage *message
      = create_message_to (core, progress, CY__RAFT_MESSAGE__BODY_SNAPSHOT);
  Cy__RaftSnapshot *snapshot = message->snapshot;
  size_t length;
  const uint8_t *bytes = cyr_members_bytes (core->snapshot_members, &length);
  snapshot->term = core->term;
  snapshot->last_index = core->snapshot_index;
  snapshot->last_term = core->snapshot_term;
  snapshot->offset = progress->snapshot_offset;
  snapshot->members.data = (uint8_t *)bytes;
  snapshot->members.len = length;
  progress->snapshot_sent_at = core->now;
  cyr_add_action (core, CYR_SEND_SNAPSHOT)->message = message;
}

/* Sends as many records as the window of PROGRESS allows, or starts to send a
   snapshot.  */
static void
send_pending_records (struct cyr_core *core, struct progress *progress)
{
  uint64_t last_index = cyr_log_last_index (core->log);
  if (progress->state != PROGRESS_SNAPSHOT
      && progress->next_index <= cyr_log_base_index (core->log))
    {
      progress->state = PROGRESS_SNAPSHOT;
      progress->in_flight_count = 0;
      send_chunk (core, progress);
    }
  switch (progress->state)
    {
    case PROGRESS_PROBE:
      if (progress->probe_in_flight)
        return;
      progress->probe_in_flight = true;
      send_append (core, progress, progress->next_index - 1, true);
      break;
    case PROGRESS_PIPELINE:
      while (progress->next_index <= last_index
             && progress->in_flight_count < CYR_IN_FLIGHT_MAX)
        {
          uint64_t last_sent_index
              = send_append (core, progress, progress->next_index - 1, true);
          progress->in_flight[progress->in_flight_count++] = last_sent_index;
          progress->next_index = last_sent_index + 1;
        }
      break;
    case PROGRESS_SNAPSHOT:
      break;
    }
}

static void
send_heartbeat (struct cyr_core *core, struct progress *progress)
{
  uint64_t old_next_index = progress->next_index;
  switch (progress->state)
    {
    case PROGRESS_PROBE:
      progress->probe_in_flight = false;
      send_pending_records (core, progress);
      break;
    case PROGRESS_PIPELINE:
      send_pending_records (core, progress);
      if (progress->state == PROGRESS_PIPELINE
          && progress->next_index == old_next_index)
        send_append (core, progress, progress->next_index - 1, false);
      break;
    case PROGRESS_SNAPSHOT:
      send_append (core, progress, 0, false);
      if (core->now - progress->snapshot_sent_at >= CYR_ELECTION_TIMEOUT_NS)
        send_chunk (core, progress);
      break;
    }
}

static void
start_round (struct cyr_core *core)
{
  core->round++;
  core->round_started_at[core->round % CYR_ROUND_HISTORY] = core->now;
  core->heartbeat_due = core->now + CYR_HEARTBEAT_INTERVAL_NS;
  for (guint i = 0; i < core->progress->len; i++)
    send_heartbeat (core, &g_array_index (core->progress, struct progress, i));
}

/* ------------------------------------------------------------ quorums */

static int
compare_descending (const void *a, const void *b)
{
  uint64_t left = *(const uint64_t *)a;
  uint64_t right = *(const uint64_t *)b;
  return left > right ? -1 : left < right;
}

/* The highest value that a quorum of voters has reached.  VALUE_OF returns
   the value of another member, LEADER_VALUE is the value of this member.  */
static uint64_t
quorum_value (const struct cyr_core *core, uint64_t leader_value,
              uint64_t (*value_of) (const struct progress *progress))
{
  struct cyr_members *members = cyr_core_members (core);
  const Cy__MemberSet *set = cyr_members_set (members);
  uint64_t values[CYR_MEMBERS_MAX] = { 0 };
  size_t count = 0;
  for (size_t i = 0; i < set->n_members; i++)
    {
      if (!set->members[i]->voter)
        continue;
      uint64_t id = set->members[i]->id;
      const struct progress *progress = cyr_find_progress (core, id);
      if (id == core->options.member_id)
        values[count++] = leader_value;
      else
        values[count++] = progress == NULL ? 0 : value_of (progress);
    }
  qsort (values, count, sizeof *values, compare_descending);
  return values[cyr_members_quorum (members) - 1];
}

static uint64_t
get_match_index (const struct progress *progress)
{
  return progress->match_index;
}

static uint64_t
get_acknowledged_round (const struct progress *progress)
{
  return progress->acknowledged_round;
}

/* Commits records that are durable on a quorum.  Only a record of the current
   term advances the commit index; older records are committed with it.  */
static void
advance_commit (struct cyr_core *core)
{
  uint64_t index = quorum_value (core, core->durable_index, get_match_index);
  if (index <= core->commit_index
      || cyr_log_term (core->log, index) != core->term)
    return;
  core->commit_index = index;
}

static void
confirm_round (struct cyr_core *core)
{
  uint64_t round = quorum_value (core, core->round, get_acknowledged_round);
  if (round <= core->confirmed_round)
    return;
  core->confirmed_round = round;
  core->confirmed_at = core->round_started_at[round % CYR_ROUND_HISTORY];
  core->has_confirmed_round = true;
}

/* ------------------------------------------------------------ the term */

void
cyr_become_leader (struct cyr_core *core)
{
  core->role = CYR_LEADER;
  core->leader = core->options.member_id;
  core->changed = true;
  core->round = 0;
  core->confirmed_round = 0;
  core->confirmed_at = core->now;
  core->has_confirmed_round = false;
  core->transfer_target = 0;
  core->disk_wait_started_at
      = core->synced_sequence == core->last_sequence ? 0 : core->now;
  g_array_set_size (core->progress, 0);
  core->members_index = UINT64_MAX;
  cyr_leader_append (core, CYR_RECORD_NOOP, NULL, 0);
  core->term_start_index = cyr_log_last_index (core->log);
  cyr_update_followers (core);
  start_round (core);
}

void
cyr_leader_append (struct cyr_core *core, uint32_t kind, const uint8_t *data,
                   size_t length)
{
  uint64_t index = cyr_log_last_index (core->log) + 1;
  cyr_log_append (core->log,
                  cyr_record_create (index, core->term, kind, data, length));
}

/* A leader steps down when no quorum has confirmed it within the election
   timeout or its disk has stalled.  */
void
cyr_leader_tick (struct cyr_core *core)
{
  bool disk_stalled = core->disk_wait_started_at != 0
                      && core->now - core->disk_wait_started_at
                             >= CYR_DISK_TIMEOUT_MS * CY_NS_PER_MS;
  if (core->now - core->confirmed_at >= CYR_ELECTION_TIMEOUT_NS
      || disk_stalled)
    {
      cyr_become_follower (core, core->term, 0);
      return;
    }
  if (core->transfer_target != 0 && core->now >= core->transfer_until)
    core->transfer_target = 0;
  if (core->now >= core->heartbeat_due)
    start_round (core);
}

static void
send_timeout_now (struct cyr_core *core)
{
  const struct progress *progress
      = cyr_find_progress (core, core->transfer_target);
  if (progress == NULL
      || progress->match_index < cyr_log_last_index (core->log))
    return;
  Cy__RaftMessage *message
      = create_message_to (core, progress, CY__RAFT_MESSAGE__BODY_TIMEOUT_NOW);
  message->timeout_now->term = core->term;
  cyr_send (core, message);
}

/* True when the committed member set no longer lists the leader as a voter:
   the leader must step down.  */
static bool
is_self_removal_committed (const struct cyr_core *core)
{
  uint64_t members_index;
  struct cyr_members *members = cyr_log_members_at (
      core->log, cyr_log_last_index (core->log), &members_index);
  return members_index <= core->commit_index
         && !cyr_members_is_voter (members, core->options.member_id);
}

void
cyr_leader_flush (struct cyr_core *core)
{
  advance_commit (core);
  confirm_round (core);
  cyr_promote_learners (core);
  cyr_update_followers (core);
  cyr_write_records (core);
  for (guint i = 0; i < core->progress->len; i++)
    send_pending_records (core,
                          &g_array_index (core->progress, struct progress, i));
  if (core->transfer_target != 0)
    send_timeout_now (core);
  if (!is_self_removal_committed (core))
    return;
  cyr_start_transfer (core);
  send_timeout_now (core);
  cyr_become_follower (core, core->term, 0);
}

/* ------------------------------------------------------------ replies */

/* Removes the appends up to the match index from the window.  */
static void
release_in_flight (struct progress *progress)
{
  uint32_t done_count = 0;
  while (done_count < progress->in_flight_count
         && progress->in_flight[done_count] <= progress->match_index)
    done_count++;
  progress->in_flight_count -= done_count;
  memmove (progress->in_flight, progress->in_flight + done_count,
           progress->in_flight_count * sizeof *progress->in_flight);
}

static void
reset_progress (struct progress *progress, uint64_t folder)
{
  uint64_t id = progress->id;
  uint64_t next = progress->next_index;
  memset (progress, 0, sizeof *progress);
  progress->id = id;
  progress->folder_id = folder;
  progress->next_index = next;
}

/* The hint of a successful reply is the last index that the follower holds
   in memory, durable or not.  */
static void
handle_append_success (struct progress *progress,
                       const Cy__RaftAppendReply *reply)
{
  progress->match_index = MAX (progress->match_index, reply->match);
  release_in_flight (progress);
  if (progress->state == PROGRESS_SNAPSHOT
      && progress->match_index < progress->snapshot_index)
    return;
  if (progress->state != PROGRESS_PIPELINE)
    {
      progress->state = PROGRESS_PIPELINE;
      progress->probe_in_flight = false;
      progress->in_flight_count = 0;
      progress->next_index = MAX (progress->match_index, reply->hint) + 1;
    }
  progress->next_index = MAX (progress->next_index, progress->match_index + 1);
}

static void
handle_append_rejection (struct progress *progress,
                         const Cy__RaftAppendReply *reply)
{
  if (progress->state == PROGRESS_SNAPSHOT
      || reply->hint < progress->match_index
      || reply->hint + 1 >= progress->next_index)
    return;
  progress->state = PROGRESS_PROBE;
  progress->probe_in_flight = false;
  progress->in_flight_count = 0;
  progress->next_index = reply->hint + 1;
}

/* The progress of the sender of a reply of TERM; NULL when this member is not
   the leader of TERM or the sender is no member.  */
static struct progress *
find_reply_progress (struct cyr_core *core, const Cy__RaftMessage *message,
                     uint64_t term)
{
  struct progress *progress = cyr_find_progress (core, message->from);
  if (term > core->term
      && cyr_members_find (cyr_core_members (core), message->from) != NULL)
    cyr_become_follower (core, term, 0);
  if (core->role != CYR_LEADER || term != core->term || progress == NULL)
    return NULL;
  if (progress->folder_id != message->from_folder)
    reset_progress (progress, message->from_folder);
  return progress;
}

void
cyr_on_append_reply (struct cyr_core *core, const Cy__RaftMessage *message)
{
  const Cy__RaftAppendReply *reply = message->append_reply;
  struct progress *progress = find_reply_progress (core, message, reply->term);
  if (progress == NULL || reply->match > cyr_log_last_index (core->log)
      || reply->hint > cyr_log_last_index (core->log))
    return;
  progress->acknowledged_round
      = MAX (progress->acknowledged_round, reply->round);
  if (reply->success)
    handle_append_success (progress, reply);
  else
    handle_append_rejection (progress, reply);
}

void
cyr_on_snapshot_reply (struct cyr_core *core, const Cy__RaftMessage *message)
{
  const Cy__RaftSnapshotReply *reply = message->snapshot_reply;
  struct progress *progress = find_reply_progress (core, message, reply->term);
  if (progress == NULL || progress->state != PROGRESS_SNAPSHOT
      || progress->snapshot_index != reply->last_index
      || progress->snapshot_offset == reply->offset)
    return;
  progress->snapshot_offset = reply->offset;
  send_chunk (core, progress);
}

#include <string.h>

#include "core/cyr_private.h"

union body
{
  Cy__RaftVote vote;
  Cy__RaftVoteReply vote_reply;
  Cy__RaftAppend append;
  Cy__RaftAppendReply append_reply;
  Cy__RaftSnapshot snapshot;
  Cy__RaftSnapshotReply snapshot_reply;
  Cy__RaftTimeoutNow timeout_now;
};

/* One allocation for a message and its body.  */
struct allocation
{
  Cy__RaftMessage message;
  union body body;
};

Cy__RaftMessage *
cyr_message_create (const struct cyr_core *core, uint64_t to, uint64_t folder,
                    Cy__RaftMessage__BodyCase body)
{
  struct allocation *allocation = g_new0 (struct allocation, 1);
  Cy__RaftMessage *message = &allocation->message;
  cy__raft_message__init (message);
  message->from = core->options.member_id;
  message->to = to;
  message->from_folder = core->options.folder_id;
  message->to_folder = folder;
  message->cluster_id = cyr_members_cluster (cyr_core_members (core));
  message->body_case = body;
  switch (body)
    {
    case CY__RAFT_MESSAGE__BODY_VOTE:
      cy__raft_vote__init (message->vote = &allocation->body.vote);
      break;
    case CY__RAFT_MESSAGE__BODY_VOTE_REPLY:
      cy__raft_vote_reply__init (message->vote_reply
                                 = &allocation->body.vote_reply);
      break;
    case CY__RAFT_MESSAGE__BODY_APPEND:
      cy__raft_append__init (message->append = &allocation->body.append);
      break;
    case CY__RAFT_MESSAGE__BODY_APPEND_REPLY:
      cy__raft_append_reply__init (message->append_reply
                                   = &allocation->body.append_reply);
      break;
    case CY__RAFT_MESSAGE__BODY_SNAPSHOT:
      cy__raft_snapshot__init (message->snapshot = &allocation->body.snapshot);
      break;
    case CY__RAFT_MESSAGE__BODY_SNAPSHOT_REPLY:
      cy__raft_snapshot_reply__init (message->snapshot_reply
                                     = &allocation->body.snapshot_reply);
      break;
    case CY__RAFT_MESSAGE__BODY_TIMEOUT_NOW:
      cy__raft_timeout_now__init (message->timeout_now
                                  = &allocation->body.timeout_now);
      break;
    case CY__RAFT_MESSAGE__BODY_FOUNDING:
    case CY__RAFT_MESSAGE__BODY__NOT_SET:
    case _CY__RAFT_MESSAGE__BODY__CASE_IS_INT_SIZE:
      break;
    }
  return message;
}

void
cyr_message_destroy (Cy__RaftMessage *message)
{
  if (message->body_case == CY__RAFT_MESSAGE__BODY_APPEND)
    {
      for (size_t i = 0; i < message->append->n_records; i++)
        g_free (message->append->records[i]);
      g_free (message->append->records);
    }
  g_free (message);
}

void
cyr_send (struct cyr_core *core, Cy__RaftMessage *message)
{
  cyr_add_action (core, CYR_SEND)->message = message;
}

void
cyr_send_after (struct cyr_core *core, uint64_t sequence,
                Cy__RaftMessage *message)
{
  if (sequence <= core->synced_sequence)
    {
      cyr_send (core, message);
      return;
    }
  struct deferred_message deferred = { sequence, message };
  g_array_append_val (core->deferred_messages, deferred);
}

void
cyr_send_deferred (struct cyr_core *core)
{
  guint ready_count = 0;
  while (ready_count < core->deferred_messages->len
         && g_array_index (core->deferred_messages, struct deferred_message,
                           ready_count)
                    .sequence
                <= core->synced_sequence)
    {
      cyr_send (core, g_array_index (core->deferred_messages,
                                     struct deferred_message, ready_count)
                          .message);
      ready_count++;
    }
  if (ready_count > 0)
    g_array_remove_range (core->deferred_messages, 0, ready_count);
}

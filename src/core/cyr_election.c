#include "core/cyr_private.h"

void
cyr_restart_election_timer (struct cyr_core *core)
{
  uint64_t random_delay
      = cy_random_below (core->options.random, CYR_ELECTION_TIMEOUT_NS);
  core->election_due
      = core->now + CYR_ELECTION_TIMEOUT_NS + (cy_time_ns)random_delay;
}

static void
restart_short_election_timer (struct cyr_core *core)
{
  uint64_t random_delay
      = cy_random_below (core->options.random, CYR_PRE_VOTE_TIMEOUT_NS);
  core->election_due
      = core->now + CYR_PRE_VOTE_TIMEOUT_NS + (cy_time_ns)random_delay;
}

static void
record_pre_vote (struct cyr_core *core, uint64_t id, uint64_t last_term,
                 uint64_t last)
{
  /* A candidate that never receives the replies must not block the others, so
     its requests extend the pre-vote for a limited time only.  */
  bool lapsed = core->now - core->pre_vote_granted_at >= CYR_PRE_VOTE_VALID_NS;
  if (core->pre_vote_for != id || lapsed)
    core->pre_vote_first_granted_at = core->now;
  if (core->now - core->pre_vote_first_granted_at < CYR_PRE_VOTE_EXTEND_MAX_NS)
    core->pre_vote_granted_at = core->now;
  core->pre_vote_for = id;
  core->pre_vote_last_term = last_term;
  core->pre_vote_last_index = last;
}

void
cyr_become_follower (struct cyr_core *core, uint64_t term, uint64_t leader)
{
  bool was_leader = core->role == CYR_LEADER;
  core->changed |= core->role != CYR_FOLLOWER || core->term != term
                   || core->leader != leader;
  if (term > core->term)
    {
      core->term = term;
      core->vote = 0;
      core->verified_index = 0;
      cyr_write_state (core);
    }
  core->role = CYR_FOLLOWER;
  core->leader = leader;
  core->transfer_target = 0;
  g_array_set_size (core->progress, 0);
  if (was_leader)
    cyr_restart_election_timer (core);
}

/* ------------------------------------------------------------ candidates */

static void
request_votes (struct cyr_core *core, bool pre, bool transfer)
{
  const Cy__MemberSet *set = cyr_members_set (cyr_core_members (core));
  for (size_t i = 0; i < set->n_members; i++)
    {
      const Cy__Member *member = set->members[i];
      if (!member->voter || member->id == core->options.member_id)
        continue;
      Cy__RaftMessage *message = cyr_message_create (
          core, member->id, member->folder, CY__RAFT_MESSAGE__BODY_VOTE);
      message->vote->term = pre ? core->term + 1 : core->term;
      message->vote->last_index = cyr_log_last_index (core->log);
      message->vote->last_term = cyr_log_last_term (core->log);
      message->vote->pre = pre;
      message->vote->transfer = transfer;
      cyr_send_after (core, core->state_sequence, message);
    }
}

/* True while the candidate that has this member's pre-vote is preferred to
   candidate ID, whose log ends with index LAST of LAST_TERM: the log of the
   preferred one is at least as up-to-date and its id is lower.  This keeps
   simultaneous candidates from splitting the votes.  */
static bool
prefers_other_candidate (const struct cyr_core *core, uint64_t id,
                         uint64_t last_term, uint64_t last)
{
  if (core->pre_vote_granted_at == 0 || core->pre_vote_for >= id
      || core->now - core->pre_vote_granted_at >= CYR_PRE_VOTE_VALID_NS)
    return false;
  if (last_term != core->pre_vote_last_term)
    return last_term < core->pre_vote_last_term;
  return last <= core->pre_vote_last_index;
}

/* A candidate records its own pre-vote unless it prefers another candidate.
   Without that, simultaneous candidates would all yield to each other.  */
static void
record_own_pre_vote (struct cyr_core *core)
{
  uint64_t self = core->options.member_id;
  uint64_t last = cyr_log_last_index (core->log);
  uint64_t last_term = cyr_log_last_term (core->log);
  if (!prefers_other_candidate (core, self, last_term, last))
    record_pre_vote (core, self, last_term, last);
}

static void
count_vote (struct cyr_core *core, uint64_t id)
{
  struct cyr_members *members = cyr_core_members (core);
  if (!cyr_members_is_voter (members, id))
    return;
  for (size_t i = 0; i < core->granted_count; i++)
    if (core->granted_by[i] == id)
      return;
  core->granted_by[core->granted_count++] = id;
  if (core->granted_count < cyr_members_quorum (members))
    return;
  if (core->role == CYR_PRE_CANDIDATE)
    cyr_campaign (core, false, false);
  else
    cyr_become_leader (core);
}

void
cyr_count_self_vote (struct cyr_core *core)
{
  count_vote (core, core->options.member_id);
}

/* A member may campaign when a set that is not known to be superseded lists it
   as a voter: the newest one, and each one before it as long as the next is
   not known to be committed.  This member may be the only one that holds the
   record that removes its vote; otherwise the others reply that it is removed.
 */
bool
cyr_may_campaign (const struct cyr_core *core)
{
  uint64_t members_index = cyr_log_last_index (core->log) + 1;
  if (core->removed || core->install_sequence != 0)
    return false;
  do
    {
      struct cyr_members *members
          = cyr_log_members_at (core->log, members_index - 1, &members_index);
      if (cyr_members_is_voter (members, core->options.member_id))
        return true;
    }
  while (members_index > core->commit_index);
  return false;
}

void
cyr_campaign (struct cyr_core *core, bool pre, bool transfer)
{
  core->changed = true;
  core->leader = 0;
  core->granted_count = 0;
  if (pre)
    {
      /* A pre-vote does not bind the voter, so it is requested again soon: the
         other members may have refused only because they restarted
         recently.  */
      core->election_due = core->now + CYR_PRE_VOTE_TIMEOUT_NS
                           + (cy_time_ns)cy_random_below (
                               core->options.random, CYR_PRE_VOTE_TIMEOUT_NS);
      core->role = CYR_PRE_CANDIDATE;
      record_own_pre_vote (core);
      request_votes (core, true, false);
      cyr_count_self_vote (core);
      return;
    }
  core->role = CYR_CANDIDATE;
  core->term++;
  core->vote = core->options.member_id;
  core->verified_index = 0;
  cyr_write_state (core);
  cyr_restart_election_timer (core);
  request_votes (core, false, transfer);
}

void
cyr_on_vote_reply (struct cyr_core *core, const Cy__RaftMessage *message)
{
  const Cy__RaftVoteReply *reply = message->vote_reply;
  if (reply->removed)
    {
      core->changed |= !core->removed;
      core->removed = true;
      if (core->role != CYR_LEADER)
        cyr_become_follower (core, core->term, 0);
      return;
    }
  if (reply->term > core->term && !(reply->pre && reply->granted))
    {
      cyr_become_follower (core, reply->term, 0);
      return;
    }
  if (!reply->granted)
    return;
  if (reply->pre && core->role == CYR_PRE_CANDIDATE
      && reply->term == core->term + 1)
    count_vote (core, message->from);
  if (!reply->pre && core->role == CYR_CANDIDATE && reply->term == core->term)
    count_vote (core, message->from);
}

void
cyr_on_timeout_now (struct cyr_core *core, const Cy__RaftMessage *message)
{
  if (message->timeout_now->term != core->term || core->role != CYR_FOLLOWER
      || !cyr_may_campaign (core))
    return;
  cyr_campaign (core, false, true);
}

/* ------------------------------------------------------------ voters */

/* True while this member is a leader that a quorum confirmed, or received a
   leader's message, within the election timeout.  */
static bool
has_active_leader (const struct cyr_core *core)
{
  if (core->role == CYR_LEADER)
    return core->now - core->confirmed_at < CYR_ELECTION_TIMEOUT_NS;
  return core->now - core->leader_last_received < CYR_ELECTION_TIMEOUT_NS;
}

static bool
is_up_to_date (const struct cyr_core *core, const Cy__RaftVote *vote)
{
  uint64_t last_term = cyr_log_last_term (core->log);
  if (vote->last_term != last_term)
    return vote->last_term > last_term;
  return vote->last_index >= cyr_log_last_index (core->log);
}

static void
send_vote_reply (struct cyr_core *core, const Cy__RaftMessage *message,
                 uint64_t term, bool granted, bool removed)
{
  Cy__RaftMessage *reply_message
      = cyr_message_create (core, message->from, message->from_folder,
                            CY__RAFT_MESSAGE__BODY_VOTE_REPLY);
  reply_message->vote_reply->term = term;
  reply_message->vote_reply->granted = granted;
  reply_message->vote_reply->pre = message->vote->pre;
  reply_message->vote_reply->removed = removed;
  cyr_send_after (core, core->state_sequence, reply_message);
}

static void
on_pre_vote (struct cyr_core *core, const Cy__RaftMessage *message)
{
  const Cy__RaftVote *vote = message->vote;
  bool granted = vote->term > core->term && !has_active_leader (core)
                 && is_up_to_date (core, vote)
                 && !prefers_other_candidate (
                     core, message->from, vote->last_term, vote->last_index);
  send_vote_reply (core, message, granted ? vote->term : core->term, granted,
                   false);
  if (!granted)
    return;
  record_pre_vote (core, message->from, vote->last_term, vote->last_index);
  if (core->role != CYR_PRE_CANDIDATE)
    return;
  core->changed = true;
  core->role = CYR_FOLLOWER;
  restart_short_election_timer (core);
}

/* A vote is granted only to a request that names this data folder.  The
   candidate's member set then binds this member to the folder, so no earlier
   vote of this member was lost with another folder.  */
void
cyr_on_vote (struct cyr_core *core, const Cy__RaftMessage *message)
{
  const Cy__RaftVote *vote = message->vote;
  struct cyr_members *committed
      = cyr_log_members_at (core->log, core->commit_index, NULL);
  if (message->to_folder != core->options.folder_id
      || cyr_core_members (core) == NULL || core->install_sequence != 0)
    return;
  if (cyr_members_is_retired (committed, message->from))
    {
      send_vote_reply (core, message, core->term, false, true);
      return;
    }
  if (vote->pre)
    {
      on_pre_vote (core, message);
      return;
    }
  if (vote->term > core->term && (vote->transfer || !has_active_leader (core)))
    cyr_become_follower (core, vote->term, 0);
  bool granted = vote->term == core->term && core->role != CYR_LEADER
                 && (core->vote == 0 || core->vote == message->from)
                 && is_up_to_date (core, vote);
  if (granted)
    {
      if (core->vote == 0)
        {
          core->vote = message->from;
          cyr_write_state (core);
        }
      cyr_restart_election_timer (core);
    }
  send_vote_reply (core, message, core->term, granted, false);
}

#include "core/cyr_private.h"

void
cyr_restart_election_timer (struct cyr_core *core)
{
  uint64_t extra = cy_random_below (core->options.random, CYR_ELECTION_NS);
  core->election_due = core->now + CYR_ELECTION_NS + (cy_time_ns)extra;
}

static void
restart_pre_vote_timer (struct cyr_core *core)
{
  uint64_t extra = cy_random_below (core->options.random, CYR_PRE_VOTE_NS);
  core->election_due = core->now + CYR_PRE_VOTE_NS + (cy_time_ns)extra;
}

static void
prefer (struct cyr_core *core, uint64_t id, uint64_t last_term, uint64_t last)
{
  /* Prolonged for a while only: one that never hears the answers must not
     keep the others out.  */
  bool lapsed = core->now - core->preferred_at >= CYR_PREFERRED_NS;
  if (core->preferred != id || lapsed)
    core->preferred_since = core->now;
  if (core->now - core->preferred_since < CYR_BACKED_NS)
    core->preferred_at = core->now;
  core->preferred = id;
  core->preferred_term = last_term;
  core->preferred_last = last;
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
      core->verified = 0;
      cyr_write_state (core);
    }
  core->role = CYR_FOLLOWER;
  core->leader = leader;
  core->transfer_to = 0;
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
      if (!member->voter || member->id == core->options.self)
        continue;
      Cy__RaftMessage *message = cyr_message_create (
          core, member->id, member->folder, CY__RAFT_MESSAGE__BODY_VOTE);
      message->vote->term = pre ? core->term + 1 : core->term;
      message->vote->last_index = cyr_log_last (core->log);
      message->vote->last_term = cyr_log_last_term (core->log);
      message->vote->pre = pre;
      message->vote->transfer = transfer;
      cyr_send_after (core, core->state_sequence, message);
    }
}

/* True while the member that this one backs goes before the one of ID, whose
   log ends with LAST of LAST_TERM: it is as good and has the lower id.  So
   those that ask at the same time do not split the votes.  */
static bool
backs_before (const struct cyr_core *core, uint64_t id, uint64_t last_term,
              uint64_t last)
{
  if (core->preferred_at == 0 || core->preferred >= id
      || core->now - core->preferred_at >= CYR_PREFERRED_NS)
    return false;
  if (last_term != core->preferred_term)
    return last_term < core->preferred_term;
  return last <= core->preferred_last;
}

/* One that asks backs itself, unless it backs a better one: otherwise all that
   ask at the same time give way to each other.  */
static void
back_itself (struct cyr_core *core)
{
  uint64_t self = core->options.self;
  uint64_t last = cyr_log_last (core->log);
  uint64_t last_term = cyr_log_last_term (core->log);
  if (!backs_before (core, self, last_term, last))
    prefer (core, self, last_term, last);
}

static void
count_vote (struct cyr_core *core, uint64_t id)
{
  struct cyr_members *members = cyr_core_members (core);
  if (!cyr_members_is_voter (members, id))
    return;
  for (size_t i = 0; i < core->granted_count; i++)
    if (core->granted[i] == id)
      return;
  core->granted[core->granted_count++] = id;
  if (core->granted_count < cyr_members_quorum (members))
    return;
  if (core->role == CYR_PRE_CANDIDATE)
    cyr_campaign (core, false, false);
  else
    cyr_become_leader (core);
}

void
cyr_count_own_vote (struct cyr_core *core)
{
  count_vote (core, core->options.self);
}

/* A member campaigns when the newest set has it as a voter, and also while
   the record that takes its vote away is not known to be committed: it may be
   the only one that holds that record.  */
bool
cyr_may_campaign (const struct cyr_core *core)
{
  uint64_t self = core->options.self;
  uint64_t at;
  struct cyr_members *newest
      = cyr_log_members (core->log, cyr_log_last (core->log), &at);
  if (core->removed || core->install_sequence != 0)
    return false;
  if (cyr_members_is_voter (newest, self) || at <= core->commit)
    return cyr_members_is_voter (newest, self);
  return cyr_members_is_voter (cyr_log_members (core->log, at - 1, NULL),
                               self);
}

void
cyr_campaign (struct cyr_core *core, bool pre, bool transfer)
{
  core->changed = true;
  core->leader = 0;
  core->granted_count = 0;
  if (pre)
    {
      /* A preliminary vote binds nobody, so it is asked for again soon: the
         others may only wait out their own restart.  */
      core->election_due = core->now + CYR_PRE_VOTE_NS
                           + (cy_time_ns)cy_random_below (core->options.random,
                                                          CYR_PRE_VOTE_NS);
      core->role = CYR_PRE_CANDIDATE;
      back_itself (core);
      request_votes (core, true, false);
      cyr_count_own_vote (core);
      return;
    }
  core->role = CYR_CANDIDATE;
  core->term++;
  core->vote = core->options.self;
  core->verified = 0;
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

/* True while this member has reason to believe in a leader.  */
static bool
hears_leader (const struct cyr_core *core)
{
  if (core->role == CYR_LEADER)
    return core->now - core->confirmed < CYR_ELECTION_NS;
  return core->now - core->leader_heard < CYR_ELECTION_NS;
}

static bool
is_up_to_date (const struct cyr_core *core, const Cy__RaftVote *vote)
{
  uint64_t last_term = cyr_log_last_term (core->log);
  if (vote->last_term != last_term)
    return vote->last_term > last_term;
  return vote->last_index >= cyr_log_last (core->log);
}

static void
answer_vote (struct cyr_core *core, const Cy__RaftMessage *message,
             uint64_t term, bool granted, bool removed)
{
  Cy__RaftMessage *answer
      = cyr_message_create (core, message->from, message->from_folder,
                            CY__RAFT_MESSAGE__BODY_VOTE_REPLY);
  answer->vote_reply->term = term;
  answer->vote_reply->granted = granted;
  answer->vote_reply->pre = message->vote->pre;
  answer->vote_reply->removed = removed;
  cyr_send_after (core, core->state_sequence, answer);
}

static void
on_pre_vote (struct cyr_core *core, const Cy__RaftMessage *message)
{
  const Cy__RaftVote *vote = message->vote;
  bool granted = vote->term > core->term && !hears_leader (core)
                 && is_up_to_date (core, vote)
                 && !backs_before (core, message->from, vote->last_term,
                                   vote->last_index);
  answer_vote (core, message, granted ? vote->term : core->term, granted,
               false);
  if (!granted)
    return;
  prefer (core, message->from, vote->last_term, vote->last_index);
  if (core->role != CYR_PRE_CANDIDATE)
    return;
  core->changed = true;
  core->role = CYR_FOLLOWER;
  restart_pre_vote_timer (core);
}

/* A vote is given only to a request that names this folder: the asker's
   member set then binds this member to it, and no vote of it was forgotten. */
void
cyr_on_vote (struct cyr_core *core, const Cy__RaftMessage *message)
{
  const Cy__RaftVote *vote = message->vote;
  struct cyr_members *committed
      = cyr_log_members (core->log, core->commit, NULL);
  if (message->to_folder != core->options.folder
      || cyr_core_members (core) == NULL || core->install_sequence != 0)
    return;
  if (cyr_members_is_retired (committed, message->from))
    {
      answer_vote (core, message, core->term, false, true);
      return;
    }
  if (vote->pre)
    {
      on_pre_vote (core, message);
      return;
    }
  if (vote->term > core->term && (vote->transfer || !hears_leader (core)))
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
  answer_vote (core, message, core->term, granted, false);
}

/* Membership changes and transfer of leadership.  */

#include <string.h>

#include "core/cyr_private.h"

void
cyr_complete_proposal (struct cyr_core *core, void *token, cy_result result,
                       uint64_t index)
{
  struct cyr_action *action = cyr_add_action (core, CYR_PROPOSED);
  action->proposed.token = token;
  action->proposed.result = result;
  action->proposed.index = index;
}

/* ------------------------------------------------------------ progress */

static bool
needs_progress (const struct cyr_core *core, const struct progress *progress)
{
  if (cyr_members_find (cyr_core_members (core), progress->id) != NULL)
    return true;
  return progress->departing && core->now < progress->departing_until
         && (progress->departing_round == 0
             || progress->acknowledged_round <= progress->departing_round);
}

/* Marks members that the newest set no longer contains.  They stay in the list
   until they have received their removal.  */
static void
mark_departing (struct cyr_core *core, uint64_t members_index)
{
  for (guint i = 0; i < core->progress->len; i++)
    {
      struct progress *progress
          = &g_array_index (core->progress, struct progress, i);
      if (cyr_members_find (cyr_core_members (core), progress->id) != NULL)
        continue;
      if (!progress->departing)
        progress->departing_until = core->now + CYR_REMOVAL_NOTICE_NS;
      progress->departing = true;
      if (progress->departing_round == 0 && members_index <= core->commit_index
          && progress->match_index >= members_index)
        progress->departing_round = core->round;
    }
}

static void
add_progress (struct cyr_core *core, const Cy__Member *member)
{
  struct progress progress
      = { .id = member->id,
          .folder_id = member->folder,
          .next_index = cyr_log_last_index (core->log) + 1 };
  if (member->id != core->options.member_id
      && cyr_find_progress (core, member->id) == NULL)
    g_array_append_val (core->progress, progress);
}

/* Adapts the list of followers to the newest member set.  */
void
cyr_update_followers (struct cyr_core *core)
{
  uint64_t newest_index;
  struct cyr_members *members = cyr_log_members_at (
      core->log, cyr_log_last_index (core->log), &newest_index);
  mark_departing (core, newest_index);
  for (guint i = core->progress->len; i > 0; i--)
    if (!needs_progress (
            core, &g_array_index (core->progress, struct progress, i - 1)))
      g_array_remove_index (core->progress, i - 1);
  if (newest_index == core->members_index)
    return;
  core->members_index = newest_index;
  core->changed = true;
  const Cy__MemberSet *set = cyr_members_set (members);
  for (size_t i = 0; i < set->n_members; i++)
    add_progress (core, set->members[i]);
}

/* ------------------------------------------------------------ changes */

/* Two leaders could count different quorums if a change were allowed before
   the previous change and a record of the current term are committed.  */
static cy_result
may_change (const struct cyr_core *core)
{
  uint64_t members_index;
  if (core->role != CYR_LEADER || core->transfer_target != 0)
    return CY_E_NOT_LEADER;
  cyr_log_members_at (core->log, cyr_log_last_index (core->log),
                      &members_index);
  if (members_index > core->commit_index
      || core->commit_index < core->term_start_index)
    return CY_E_MEMBER_BUSY;
  return CY_OK;
}

static void
append_members (struct cyr_core *core, struct cyr_members *members)
{
  size_t length;
  const uint8_t *bytes = cyr_members_bytes (members, &length);
  cyr_leader_append (core, CYR_RECORD_MEMBERS, bytes, length);
  cyr_members_unref (members);
}

/* A set without voters could change nothing any more.  */
static cy_result
check_removal (struct cyr_members *members, uint64_t id)
{
  if (cyr_members_find (members, id) == NULL)
    return CY_E_NOT_FOUND;
  if (cyr_members_is_voter (members, id) && cyr_members_voters (members) == 1)
    return CY_E_ARGUMENT;
  return CY_OK;
}

/* At most one voter is removed and none is added, so that the quorums of both
   sets overlap.  */
void
cyr_propose_add (struct cyr_core *core, const Cy__Member *member,
                 uint64_t replaced, void *token)
{
  cy_result result = may_change (core);
  struct cyr_members *members = cyr_core_members (core);
  if (result == CY_OK && member->id == 0)
    result = CY_E_ARGUMENT;
  if (result == CY_OK
      && (cyr_members_find (members, member->id) != NULL
          || cyr_members_is_retired (members, member->id)))
    result = CY_E_EXISTS;
  if (result == CY_OK && replaced != 0)
    result = check_removal (members, replaced);
  else if (result == CY_OK && cyr_members_count (members) >= CYR_MEMBERS_MAX)
    result = CY_E_FULL;
  if (result == CY_OK)
    append_members (core, cyr_members_add_learner (members, member, replaced));
  cyr_complete_proposal (core, token, result, cyr_log_last_index (core->log));
}

void
cyr_propose_remove (struct cyr_core *core, uint64_t id, uint64_t successor,
                    void *token)
{
  cy_result result = may_change (core);
  struct cyr_members *members = cyr_core_members (core);
  if (result == CY_OK)
    result = check_removal (members, id);
  if (result == CY_OK)
    append_members (core, cyr_members_remove (members, id, successor));
  cyr_complete_proposal (core, token, result, cyr_log_last_index (core->log));
}

/* A learner has caught up when it stores, within one election timeout, all
   records that the leader's log contained when the attempt began.  */
static bool
has_caught_up (struct cyr_core *core, struct progress *progress)
{
  if (progress->catch_up_index != 0
      && progress->match_index >= progress->catch_up_index
      && core->now - progress->catch_up_started_at <= CYR_ELECTION_TIMEOUT_NS)
    return true;
  if (progress->catch_up_index == 0
      || progress->match_index >= progress->catch_up_index)
    {
      progress->catch_up_index = cyr_log_last_index (core->log);
      progress->catch_up_started_at = core->now;
    }
  return false;
}

void
cyr_promote_learners (struct cyr_core *core)
{
  struct cyr_members *members = cyr_core_members (core);
  if (may_change (core) != CY_OK)
    return;
  for (guint i = 0; i < core->progress->len; i++)
    {
      struct progress *progress
          = &g_array_index (core->progress, struct progress, i);
      const Cy__Member *member = cyr_members_find (members, progress->id);
      if (member == NULL || member->voter || progress->folder_id == 0
          || progress->state != PROGRESS_PIPELINE
          || !has_caught_up (core, progress))
        continue;
      append_members (core, cyr_members_promote (members, progress->id,
                                                 progress->folder_id));
      return;
    }
}

/* ------------------------------------------------------------ transfer */

void
cyr_start_transfer (struct cyr_core *core)
{
  const struct progress *most_advanced = NULL;
  if (core->role != CYR_LEADER)
    return;
  for (guint i = 0; i < core->progress->len; i++)
    {
      const struct progress *progress
          = &g_array_index (core->progress, struct progress, i);
      if (cyr_members_is_voter (cyr_core_members (core), progress->id)
          && (most_advanced == NULL
              || progress->match_index > most_advanced->match_index))
        most_advanced = progress;
    }
  if (most_advanced == NULL)
    return;
  core->transfer_target = most_advanced->id;
  core->transfer_until = core->now + CYR_ELECTION_TIMEOUT_NS;
}

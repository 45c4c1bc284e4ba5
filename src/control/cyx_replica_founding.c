/* The bootstrap of a cluster: sends and receives founding messages and stores
   the accepted member set.  Protocol: core/cyr_founding.h.  */

#include <inttypes.h>

#include "base/cyu_log.h"
#include "control/cyx_replica_private.h"

static bool
is_first_member (const struct cyx_replica *replica)
{
  const Cy__MemberSet *set = replica->bootstrap;
  for (size_t i = 0; set != NULL && i < set->n_members; i++)
    if (set->members[i]->id == replica->options.member_id)
      return true;
  return false;
}

void
cyx_replica_founding_start (struct cyx_replica *replica)
{
  const Cy__MemberSet *set = replica->bootstrap;
  if (cyr_core_members (replica->core) != NULL)
    return;
  if (!is_first_member (replica))
    {
      cyu_log (G_LOG_LEVEL_INFO, "waits to be added to the cluster");
      return;
    }
  for (size_t i = 0; i < set->n_members; i++)
    if (set->members[i]->id != replica->options.member_id)
      cyx_peers_set_address (replica->peers, set->members[i]->id,
                             set->members[i]->host,
                             (uint16_t)set->members[i]->port);
  replica->founding
      = cyr_founding_create (replica->options.member_id, replica->folder_id,
                             set, replica->accepted_set);
  replica->founding_state = CYR_FOUNDING_WAITING;
  cyn_timer_start (replica->maintenance_timer, 0);
}

static void
send_founding (struct cyx_replica *replica, uint64_t to,
               Cy__RaftFounding *body)
{
  Cy__RaftMessage message = CY__RAFT_MESSAGE__INIT;
  message.from = replica->options.member_id;
  message.from_folder = replica->folder_id;
  message.to = to;
  message.cluster_id = cyr_members_cluster (cyr_core_members (replica->core));
  message.body_case = CY__RAFT_MESSAGE__BODY_FOUNDING;
  message.founding = body;
  cyx_replica_send (replica, &message);
}

static void
send_founding_to_all (struct cyx_replica *replica)
{
  const Cy__MemberSet *set = replica->bootstrap;
  Cy__RaftFounding body;
  cyr_founding_fill_report (replica->founding, &body);
  for (size_t i = 0; i < set->n_members; i++)
    if (set->members[i]->id != replica->options.member_id)
      send_founding (replica, set->members[i]->id, &body);
}

static void
store_accepted (struct cyx_replica *replica)
{
  size_t length;
  const uint8_t *bytes
      = cyr_members_bytes (cyr_founding_accepted (replica->founding), &length);
  struct cyx_job job = { .kind = CYX_JOB_FOUNDING };
  job.founding = g_bytes_new (bytes, length);
  cyx_writer_add (replica->writer, &job);
}

static void
finish_founding (struct cyx_replica *replica)
{
  struct cyr_members *members
      = cyr_members_ref (cyr_founding_accepted (replica->founding));
  cyr_founding_destroy (replica->founding);
  replica->founding = NULL;
  if (replica->accepted_set == NULL)
    replica->accepted_set = cyr_members_ref (members);
  struct cyr_event event = { .kind = CYR_BOOTSTRAP,
                             .now = cyx_replica_now (replica),
                             .first_set = members };
  cyu_log (G_LOG_LEVEL_INFO, "cluster founded with %zu members",
           cyr_members_count (members));
  cyx_replica_run (replica, &event);
  cyr_members_unref (members);
}

/* Sends, stores or logs as the founding's state requires, when that state has
   changed.  */
static void
handle_founding_state (struct cyx_replica *replica)
{
  enum cyr_founding_state state = cyr_founding_state (replica->founding);
  if (state == replica->founding_state)
    return;
  replica->founding_state = state;
  switch (state)
    {
    case CYR_FOUNDING_WAITING:
      send_founding_to_all (replica);
      break;
    case CYR_FOUNDING_AGREED:
      store_accepted (replica);
      break;
    case CYR_FOUNDING_DONE:
      send_founding_to_all (replica);
      finish_founding (replica);
      break;
    case CYR_FOUNDING_EXISTS:
      cyu_log (G_LOG_LEVEL_INFO,
               "cluster exists already, waiting for its leader");
      break;
    case CYR_FOUNDING_OTHER_FOLDER:
      cyu_log (G_LOG_LEVEL_CRITICAL,
               "member %" PRIu64 " is known with another data folder: its "
               "data is lost; it does not vote.  Add it under a new member "
               "id and remove the old one",
               replica->options.member_id);
      break;
    }
}

void
cyx_replica_founding_tick (struct cyx_replica *replica)
{
  if (replica->founding == NULL)
    return;
  if (cyr_core_members (replica->core) != NULL)
    {
      cyr_founding_destroy (replica->founding);
      replica->founding = NULL;
      return;
    }
  send_founding_to_all (replica);
  handle_founding_state (replica);
}

void
cyx_replica_founding_stored (struct cyx_replica *replica)
{
  if (replica->founding == NULL)
    return;
  cyr_founding_mark_stored (replica->founding);
  send_founding_to_all (replica);
  handle_founding_state (replica);
}

void
cyx_replica_founding_receive (struct cyx_replica *replica,
                              const Cy__RaftMessage *message)
{
  struct cyr_members *members = cyr_core_members (replica->core);
  if (replica->founding != NULL && members == NULL)
    {
      cyr_founding_receive (replica->founding, message);
      handle_founding_state (replica);
      return;
    }
  if (message->founding->answer || members == NULL)
    return;
  Cy__RaftFounding body;
  cyr_founding_fill_answer (replica->accepted_set, members, message->from,
                            &body);
  send_founding (replica, message->from, &body);
}

/* Membership of the log without an operator.  A control VM that is no member
   reports that to its peers; the leader adds it as a learner, and the log
   makes it a voter once it has caught up.  The leader removes the member whose
   place it takes.  A control VM that was replaced while it did not run
   discards its log and joins again as a new member.  */

#include <inttypes.h>
#include <string.h>

#include "base/cyu_log.h"
#include "core/cyc_admission.h"
#include "core/cyc_succession.h"
#include "hub/cyc_internal.h"

static const Cy__Member *
find_member (const struct cyc_hub *hub, uint64_t id)
{
  const Cy__MemberSet *set = cyx_replica_members (hub->replica);
  for (size_t i = 0; i < set->n_members; i++)
    if (set->members[i]->id == id)
      return set->members[i];
  return NULL;
}

bool
cyc_join_has_member (const struct cyc_hub *hub, uint64_t member)
{
  return find_member (hub, member) != NULL;
}

bool
cyc_join_is_member (const struct cyc_hub *hub)
{
  return cyc_join_has_member (hub, hub->member);
}

static void
on_membership_changed (cy_result result, uint64_t index, void *context)
{
  (void)index;
  (void)context;
  if (result != CY_OK)
    cyu_log (G_LOG_LEVEL_INFO, "membership change failed, will be retried: %s",
             cy_result_text (result));
}

struct cyc_voters_vm *
cyc_join_list_vms (const struct cyc_hub *hub, cy_time_ns now, size_t *count)
{
  const struct cyc_peer *peer = NULL;
  GArray *vms = g_array_new (FALSE, FALSE, sizeof (struct cyc_voters_vm));
  CK_LIST_FOREACH (peer, &hub->peers, entry)
  {
    cy_time_ns able_since = MAX (peer->added_at, hub->runs_since);
    struct cyc_voters_vm vm
        = { .member = peer->member,
            .host = peer->host,
            .zone = peer->zone,
            .is_live = cyc_peer_is_live (peer, now),
            .is_candidate = peer->wants_join && !peer->leaving
                            && cyc_peer_is_live (peer, now),
            .is_fresh = peer->fresh,
            .is_leaving = peer->leaving,
            .last_received = MAX (peer->last_received, able_since),
            .tried_at = peer->admission_tried_at };
    g_array_append_val (vms, vm);
  }
  *count = vms->len;
  return (struct cyc_voters_vm *)(void *)g_array_free (vms, FALSE);
}

static struct cyc_peer *
nth_peer (const struct cyc_hub *hub, size_t position)
{
  struct cyc_peer *peer = CK_LIST_FIRST (&hub->peers);
  while (position-- > 0)
    peer = CK_LIST_NEXT (peer, entry);
  return peer;
}

static void
add_peer (struct cyc_hub *hub, const struct cyc_peer *peer,
          const Cy__Member *replaced)
{
  Cy__Member member = CY__MEMBER__INIT;
  member.id = peer->member;
  member.host = peer->host;
  member.port = hub->options.port;
  member.http_port = peer->http_port;
  member.zone = peer->zone == NULL ? (char *)"" : peer->zone;
  member.newcomer = peer->fresh;
  if (replaced != NULL)
    cyu_log (G_LOG_LEVEL_INFO,
             "member %" PRIu64 " at %s is replaced by %" PRIu64 " at %s",
             replaced->id, replaced->host, peer->member, peer->host);
  cyu_log (G_LOG_LEVEL_INFO, "adding member %" PRIu64 " at %s", peer->member,
           peer->host);
  cyx_replica_add_member (hub->replica, &member,
                          replaced == NULL ? 0 : replaced->id,
                          on_membership_changed, hub);
}

static void
remove_succeeded (struct cyc_hub *hub, const struct cyc_succession *succession)
{
  const Cy__Member *removed = succession->removed;
  const Cy__Member *successor = find_member (hub, succession->successor);
  cyu_log (G_LOG_LEVEL_INFO,
           "removing member %" PRIu64 " at %s, whose place is taken by %s",
           removed->id, removed->host,
           successor == NULL ? "another one already" : successor->host);
  cyx_replica_remove_member (hub->replica, removed->id, succession->successor,
                             on_membership_changed, hub);
}

/* Proposes the next change of the members, if one is due.  */
static void
change_next (struct cyc_hub *hub)
{
  size_t count = 0;
  cy_time_ns now = cyc_now (hub);
  size_t spare_disks = hub->options.spare_disks;
  const Cy__MemberSet *members = cyx_replica_members (hub->replica);
  struct cyc_voters_vm *vms = cyc_join_list_vms (hub, now, &count);
  struct cyc_succession succession = cyc_succession_choose (
      members, vms, count, hub->member, spare_disks, now);
  struct cyc_admission admission = cyc_admission_choose (
      members, vms, count, hub->member, spare_disks, now);
  g_free (vms);
  if (succession.removed != NULL)
    remove_succeeded (hub, &succession);
  else if (admission.kind != CYC_ADMISSION_NONE)
    {
      struct cyc_peer *peer = nth_peer (hub, admission.candidate);
      peer->admission_tried_at = now;
      add_peer (hub, peer, admission.replaced);
    }
}

/* A heartbeat that is much later than planned shows that this VM was paused:
   its peers could not reach it meanwhile.  */
static void
note_pause (struct cyc_hub *hub)
{
  cy_time_ns now = cyc_now (hub);
  if (now - hub->ran_at > CYC_PEER_TIMEOUT_MS * CY_NS_PER_MS)
    hub->runs_since = now;
  hub->ran_at = now;
}

void
cyc_join_heartbeat (struct cyc_hub *hub)
{
  note_pause (hub);
  if (hub->leaving)
    return;
  if (cyx_replica_is_removed (hub->replica))
    cyc_log_rejoin (hub);
  else if (cyx_replica_is_ready (hub->replica))
    change_next (hub);
}

/* Membership of the log without an operator.  A control VM that is no member
   reports that to its peers; the leader adds it as a learner, and the log
   makes it a voter once it has caught up.  A control VM that starts with an
   empty folder at the address of a member replaces that member.  A new control
   VM also replaces a member of its zone that has sent nothing for
   REPLACE_TIMEOUT_S.  */

#include <inttypes.h>
#include <string.h>

#include "base/cyu_log.h"
#include "hub/cyc_internal.h"

/* Time without a message after which a member is replaced by a new control VM
   of its zone, s.  */
#define REPLACE_TIMEOUT_S 5

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

/* Returns the peer with member id ID, NULL if no message of that member has
   arrived.  */
static const struct cyc_peer *
find_peer_of_member (const struct cyc_hub *hub, uint64_t id)
{
  const struct cyc_peer *peer = NULL;
  CK_LIST_FOREACH (peer, &hub->peers, entry)
  {
    if (peer->member == id)
      return peer;
  }
  return NULL;
}

/* Returns the member that PEER replaces, NULL if it replaces none.  */
static const Cy__Member *
find_replaced_member (const struct cyc_hub *hub, const struct cyc_peer *peer,
                      cy_time_ns now)
{
  const Cy__MemberSet *set = cyx_replica_members (hub->replica);
  for (size_t i = 0; i < set->n_members; i++)
    {
      const Cy__Member *member = set->members[i];
      if (member->id == hub->member)
        continue;
      if (strcmp (member->host, peer->host) == 0)
        return member;
      const struct cyc_peer *previous = find_peer_of_member (hub, member->id);
      if (previous != NULL && g_strcmp0 (previous->zone, peer->zone) == 0
          && now - previous->last_received > REPLACE_TIMEOUT_S * CY_NS_PER_S)
        return member;
    }
  return NULL;
}

static void
admit_peer (struct cyc_hub *hub, const struct cyc_peer *peer, cy_time_ns now)
{
  const Cy__Member *replaced = find_replaced_member (hub, peer, now);
  if (replaced != NULL)
    {
      cyu_log (G_LOG_LEVEL_INFO,
               "member %" PRIu64 " at %s is replaced by %" PRIu64 " at %s",
               replaced->id, replaced->host, peer->member, peer->host);
      cyx_replica_remove_member (hub->replica, replaced->id,
                                 on_membership_changed, hub);
      return;
    }
  Cy__Member member = CY__MEMBER__INIT;
  member.id = peer->member;
  member.host = peer->host;
  member.port = hub->options.port;
  member.http_port = peer->http_port;
  cyu_log (G_LOG_LEVEL_INFO, "adding member %" PRIu64 " at %s", peer->member,
           peer->host);
  cyx_replica_add_member (hub->replica, &member, on_membership_changed, hub);
}

void
cyc_join_heartbeat (struct cyc_hub *hub)
{
  cy_time_ns now = cyc_now (hub);
  const struct cyc_peer *peer = NULL;
  if (!cyx_replica_is_ready (hub->replica))
    return;
  CK_LIST_FOREACH (peer, &hub->peers, entry)
  {
    if (peer->wants_join && cyc_peer_is_live (peer, now)
        && !cyc_join_has_member (hub, peer->member))
      {
        admit_peer (hub, peer, now);
        return;
      }
  }
}

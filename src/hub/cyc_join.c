/* Membership of the log without an operator.  A control VM that is no member
   says so on its links; the leader adds it as a learner, and the log makes it
   a voter once it has caught up.  One that comes back under its address with
   an empty folder, or takes the place of another in its zone, replaces that
   one.  */

#include <inttypes.h>
#include <string.h>

#include "base/cyu_log.h"
#include "hub/cyc_internal.h"

#define REPLACE_S 5 /* s of silence until another of the zone is replaced */

static const Cy__Member *
member_of (const struct cyc_hub *hub, uint64_t id)
{
  const Cy__MemberSet *set = cyx_replica_members (hub->replica);
  for (size_t i = 0; i < set->n_members; i++)
    if (set->members[i]->id == id)
      return set->members[i];
  return NULL;
}

bool
cyc_join_has (const struct cyc_hub *hub, uint64_t member)
{
  return member_of (hub, member) != NULL;
}

bool
cyc_join_is_member (const struct cyc_hub *hub)
{
  return cyc_join_has (hub, hub->member);
}

static void
changed (cy_result result, uint64_t index, void *context)
{
  (void)index;
  (void)context;
  if (result != CY_OK)
    cyu_log (G_LOG_LEVEL_INFO, "membership change is put off: %s",
             cy_result_text (result));
}

/* The peer that member ID is, NULL when it was not heard of.  */
static const struct cyc_peer *
peer_of (const struct cyc_hub *hub, uint64_t id)
{
  const struct cyc_peer *peer = NULL;
  CK_LIST_FOREACH (peer, &hub->peers, entry)
  {
    if (peer->member == id)
      return peer;
  }
  return NULL;
}

/* The member whose place PEER takes, NULL for none.  */
static const Cy__Member *
replaced_by (const struct cyc_hub *hub, const struct cyc_peer *peer,
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
      const struct cyc_peer *holder = peer_of (hub, member->id);
      if (holder != NULL && g_strcmp0 (holder->zone, peer->zone) == 0
          && now - holder->heard > REPLACE_S * CY_NS_PER_S)
        return member;
    }
  return NULL;
}

static void
admit (struct cyc_hub *hub, const struct cyc_peer *peer, cy_time_ns now)
{
  const Cy__Member *old = replaced_by (hub, peer, now);
  if (old != NULL)
    {
      cyu_log (G_LOG_LEVEL_INFO,
               "member %" PRIu64 " at %s is replaced by %" PRIu64 " at %s",
               old->id, old->host, peer->member, peer->host);
      cyx_replica_remove (hub->replica, old->id, changed, hub);
      return;
    }
  Cy__Member member = CY__MEMBER__INIT;
  member.id = peer->member;
  member.host = peer->host;
  member.port = hub->options.port;
  member.http_port = peer->http_port;
  cyu_log (G_LOG_LEVEL_INFO, "member %" PRIu64 " at %s is added", peer->member,
           peer->host);
  cyx_replica_add (hub->replica, &member, changed, hub);
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
        && !cyc_join_has (hub, peer->member))
      {
        admit (hub, peer, now);
        return;
      }
  }
}

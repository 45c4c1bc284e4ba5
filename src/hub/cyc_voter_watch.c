/* Watches how many more voters of the log may be lost: metrics, a log line
   when that falls below what the settings ask and when it is back, and the
   status that operators request.  */

#include <inttypes.h>
#include <jansson.h>

#include "base/cyu_log.h"
#include "base/cyu_metrics.h"
#include "hub/cyc_internal.h"

struct cyc_voter_watch
{
  struct cyu_metric *voters;
  struct cyu_metric *live;
  struct cyu_metric *losses_borne;
  bool was_enough; /* at the last heartbeat */
};

void
cyc_voter_watch_create (struct cyc_hub *hub)
{
  struct cyc_voter_watch *watch = g_new0 (struct cyc_voter_watch, 1);
  watch->voters = cyu_gauge ("cy_voters", "", "Voters of the log");
  watch->live = cyu_gauge ("cy_voters_live", "",
                           "Voters that this control VM reaches");
  watch->losses_borne
      = cyu_gauge ("cy_losses_borne", "",
                   "Voters that may be lost until no majority is left");
  hub->voter_watch = watch;
}

void
cyc_voter_watch_destroy (struct cyc_hub *hub)
{
  g_free (hub->voter_watch);
  hub->voter_watch = NULL;
}

/* What this VM knows of the members of the log.  */
struct view
{
  const struct cyc_hub *hub;
  const Cy__MemberSet *members;
  struct cyc_voters_vm *vms;
  size_t count;
  cy_time_ns now;
  struct cyc_voters voters;
};

/* VIEW is valid until the next change of the members.  */
static void
view_open (const struct cyc_hub *hub, struct view *view)
{
  view->hub = hub;
  view->now = cyc_now (hub);
  view->members = cyx_replica_members (hub->replica);
  view->vms = cyc_join_list_vms (hub, view->now, &view->count);
  view->voters
      = cyc_voters_count (view->members, view->vms, view->count, hub->member);
}

static void
view_close (struct view *view)
{
  g_free (view->vms);
}

static bool
is_live (const struct view *view, const Cy__Member *member)
{
  return cyc_voters_is_live (view->vms, view->count, view->hub->member,
                             member->id);
}

/* Sets the time of the silence of MEMBER in ENTRY, if it is silent and that
   time is known.  */
static void
set_silence (const struct view *view, const Cy__Member *member, json_t *entry)
{
  const struct cyc_voters_vm *vm
      = cyc_voters_find_vm (view->vms, view->count, member->id);
  if (vm == NULL || is_live (view, member))
    return;
  json_object_set_new (
      entry, "silent_ms",
      json_integer ((view->now - vm->last_received) / CY_NS_PER_MS));
}

/* Returns the voters that do not live, with the time of their silence.  */
static json_t *
list_silent (const struct view *view)
{
  json_t *list = json_array ();
  for (size_t i = 0; i < view->members->n_members; i++)
    {
      const Cy__Member *member = view->members->members[i];
      if (!member->voter || is_live (view, member))
        continue;
      json_t *entry = json_pack ("{sI ss}", "member", (json_int_t)member->id,
                                 "host", member->host);
      set_silence (view, member, entry);
      json_array_append_new (list, entry);
    }
  return list;
}

void
cyc_voter_watch_heartbeat (struct cyc_hub *hub)
{
  struct cyc_voter_watch *watch = hub->voter_watch;
  struct view view;
  view_open (hub, &view);
  struct cyc_voters voters = view.voters;
  bool is_enough = voters.losses_borne >= hub->options.spare_disks;
  cyu_metric_set (watch->voters, (int64_t)voters.count);
  cyu_metric_set (watch->live, (int64_t)voters.live);
  cyu_metric_set (watch->losses_borne, (int64_t)voters.losses_borne);
  if (is_enough != watch->was_enough)
    cyu_event (CYU_CHANGE, is_enough ? "losses_borne" : "losses_not_borne",
               "{si si si si so}", "voters", (int)voters.count, "live",
               (int)voters.live, "may_be_lost", (int)voters.losses_borne,
               "needed", (int)hub->options.spare_disks, "silent",
               list_silent (&view));
  watch->was_enough = is_enough;
  view_close (&view);
}

/* ------------------------------------------------------------ status */

static json_t *
print_member (const struct view *view, const Cy__Member *member)
{
  const struct cyc_hub *hub = view->hub;
  json_t *entry = json_pack (
      "{sI ss ss si si sb sb sI}", "id", (json_int_t)member->id, "host",
      member->host, "zone", member->zone, "port", (int)member->port,
      "http_port", (int)member->http_port, "voter", (int)member->voter,
      "leader", cyx_replica_leader (hub->replica) == member->id, "match",
      (json_int_t)cyx_replica_match (hub->replica, member->id));
  set_silence (view, member, entry);
  return entry;
}

static json_int_t
confirmation_age_ms (const struct cyc_hub *hub)
{
  cy_time_ns age = cyx_replica_confirmation_age (hub->replica);
  return age < 0 ? -1 : age / CY_NS_PER_MS;
}

char *
cyc_hub_status (struct cyc_hub *hub)
{
  const Cy__Document *document = cyc_hub_document (hub);
  json_t *list = json_array ();
  struct view view;
  view_open (hub, &view);
  for (size_t i = 0; i < view.members->n_members; i++)
    json_array_append_new (list,
                           print_member (&view, view.members->members[i]));
  json_t *status = json_pack (
      "{sI sb sb sI sI sI sI si si si so}", "self", (json_int_t)hub->member,
      "leader", cyx_replica_is_leader (hub->replica), "ready",
      cyx_replica_is_ready (hub->replica), "term",
      (json_int_t)cyx_replica_term (hub->replica), "committed",
      (json_int_t)cyx_replica_committed (hub->replica), "version",
      (json_int_t)(document == NULL ? 0 : document->number), "age_ms",
      confirmation_age_ms (hub), "voters", (int)view.voters.count,
      "voters_live", (int)view.voters.live, "losses_borne",
      (int)view.voters.losses_borne, "members", list);
  view_close (&view);
  char *text = json_dumps (status, JSON_COMPACT);
  json_decref (status);
  return text;
}

#include "control/cyx_fanout.h"

#include <ck_queue.h>
#include <glib.h>
#include <string.h>

#include "control/cyx_quota.h"
#include "core/cyt_merge.h"
#include "zone/cyz_child.h"
#include "zone/cyz_strip.h"

#define TICK_INTERVAL_MS 25 /* interval of checks of soft state and leases */

struct zone_link
{
  CK_STAILQ_ENTRY (zone_link) entry;
  struct cyz_child child;
};

struct cyx_fanout
{
  struct cyx_fanout_options options;
  const struct cy_clock *clock;
  CK_STAILQ_HEAD (zone_list, zone_link) zones;
  struct cyt_merge *merge;
  struct cyt_soft_state *stripped; /* options.soft without planner data */
  uint64_t mirrored_sequence; /* sequence number of options.soft in STRIPPED */
  struct cyx_quota *quota;
  struct cyn_timer *timer;
};

static cy_time_ns
now_of (const struct cyx_fanout *fanout)
{
  return cy_clock_now (fanout->clock);
}

/* Age of the leader's confirmation in ns, -1 when this VM is not a confirmed
   and ready leader.  */
static cy_time_ns
confirmation_age (const struct cyx_fanout *fanout)
{
  const struct cyx_replica *replica = fanout->options.replica;
  if (!cyx_replica_is_leader (replica) || !cyx_replica_is_ready (replica))
    return -1;
  return cyx_replica_confirmation_age (replica);
}

static struct cyz_source
make_source (const struct cyx_fanout *fanout)
{
  return (struct cyz_source){ fanout->options.state, fanout->stripped,
                              confirmation_age (fanout) };
}

/* ------------------------------------------------------------ soft objects */

/* Copies changed objects of the control VM's soft state to the table that is
   sent to the zones, without the values that only the planner needs.  */
static void
mirror_soft_state (struct cyx_fanout *fanout)
{
  struct cyt_soft_state *soft = fanout->options.soft;
  if (fanout->mirrored_sequence == cyt_soft_state_sequence (soft))
    return;
  Cy__SyncAnswer answer = CY__SYNC_ANSWER__INIT;
  cyt_soft_state_delta (soft, cyt_soft_state_epoch (soft),
                        fanout->mirrored_sequence, NULL, NULL, &answer);
  for (size_t i = answer.n_soft; i > 0; i--)
    cyz_strip_put (fanout->stripped, answer.soft[i - 1]);
  fanout->mirrored_sequence = answer.soft_to;
  cyt_soft_state_answer_clear (&answer);
}

static void
on_merged (const char *key, const Cy__Object *object, void *context)
{
  struct cyx_fanout *fanout = context;
  if (object == NULL)
    cyt_soft_state_remove (fanout->options.soft, key);
  else
    cyt_soft_state_put (fanout->options.soft, object, 0);
}

static void
push_to_zones (struct cyx_fanout *fanout)
{
  struct cyz_source source = make_source (fanout);
  struct zone_link *zone = NULL;
  CK_STAILQ_FOREACH (zone, &fanout->zones, entry)
  {
    cyz_child_push (&zone->child, &source);
    cyx_quota_push (fanout->quota, zone->child.conn);
  }
}

static void
on_tick (void *context)
{
  struct cyx_fanout *fanout = context;
  uint64_t sequence_before = cyt_soft_state_sequence (fanout->options.soft);
  cyt_merge_expire (fanout->merge, now_of (fanout));
  if (sequence_before != cyt_soft_state_sequence (fanout->options.soft)
      && fanout->options.on_soft_changed != NULL)
    fanout->options.on_soft_changed (fanout->options.context);
  mirror_soft_state (fanout);
  cyx_quota_tick (fanout->quota, confirmation_age (fanout));
  push_to_zones (fanout);
  cyn_timer_start (fanout->timer, TICK_INTERVAL_MS);
}

/* ------------------------------------------------------------ zones */

static struct zone_link *
find_zone (const struct cyx_fanout *fanout, const struct cyn_conn *conn)
{
  struct zone_link *zone = NULL;
  CK_STAILQ_FOREACH (zone, &fanout->zones, entry)
  {
    if (zone->child.conn == conn)
      return zone;
  }
  return NULL;
}

/* Sends the leader's address to a zone process if another member is known as
   leader.  */
static void
send_redirect (const struct cyx_fanout *fanout, struct cyn_conn *conn)
{
  const struct cyx_replica *replica = fanout->options.replica;
  uint64_t leader = cyx_replica_leader (replica);
  const Cy__MemberSet *members = cyx_replica_members (replica);
  if (leader == 0 || cyx_replica_is_leader (replica) || members == NULL)
    return;
  for (size_t i = 0; i < members->n_members; i++)
    {
      const Cy__Member *member = members->members[i];
      if (member->id != leader)
        continue;
      Cy__Redirect redirect = CY__REDIRECT__INIT;
      redirect.host = member->host;
      redirect.port = member->port;
      Cy__Envelope envelope = CY__ENVELOPE__INIT;
      envelope.body_case = CY__ENVELOPE__BODY_REDIRECT;
      envelope.redirect = &redirect;
      cyn_conn_send (conn, &envelope);
    }
}

static void
answer_sync_request (struct cyx_fanout *fanout, struct zone_link *zone,
                     const Cy__Envelope *message)
{
  struct cyz_source source = make_source (fanout);
  cyz_child_answer (&zone->child, &source, message->request,
                    message->sync_ask);
  if (!cyx_replica_is_leader (fanout->options.replica))
    send_redirect (fanout, zone->child.conn);
}

static void
apply_report (struct cyx_fanout *fanout, struct zone_link *zone,
              const Cy__Report *report)
{
  uint64_t sequence_before = cyt_soft_state_sequence (fanout->options.soft);
  const char *name = cyn_conn_peer (zone->child.conn)->name;
  if (!cyt_merge_report (fanout->merge, name, report, now_of (fanout)))
    {
      cyn_conn_close (zone->child.conn);
      return;
    }
  if (sequence_before == cyt_soft_state_sequence (fanout->options.soft))
    return;
  if (fanout->options.on_soft_changed != NULL)
    fanout->options.on_soft_changed (fanout->options.context);
  mirror_soft_state (fanout);
}

void
cyx_fanout_open (struct cyx_fanout *fanout, struct cyn_conn *conn)
{
  struct zone_link *zone = g_new0 (struct zone_link, 1);
  zone->child.conn = conn;
  CK_STAILQ_INSERT_TAIL (&fanout->zones, zone, entry);
}

void
cyx_fanout_message (struct cyx_fanout *fanout, struct cyn_conn *conn,
                    const Cy__Envelope *message)
{
  struct zone_link *zone = find_zone (fanout, conn);
  if (zone == NULL)
    return;
  switch (message->body_case)
    {
    case CY__ENVELOPE__BODY_SYNC_ASK:
      answer_sync_request (fanout, zone, message);
      break;
    case CY__ENVELOPE__BODY_REPORT:
      apply_report (fanout, zone, message->report);
      break;
    case CY__ENVELOPE__BODY_QUOTA_ASK:
      cyx_quota_answer (fanout->quota, conn, message->quota_ask,
                        confirmation_age (fanout));
      push_to_zones (fanout);
      break;
    case CY__ENVELOPE__BODY__NOT_SET:
    case CY__ENVELOPE__BODY_HELLO:
    case CY__ENVELOPE__BODY_PROOF:
    case CY__ENVELOPE__BODY_REDIRECT:
    case CY__ENVELOPE__BODY_SYNC_ANSWER:
    case CY__ENVELOPE__BODY_QUOTA_ANSWER:
    case CY__ENVELOPE__BODY_SLOT_ASK:
    case CY__ENVELOPE__BODY_SLOT_ANSWER:
    case CY__ENVELOPE__BODY_RAFT:
    case CY__ENVELOPE__BODY_PING:
    case CY__ENVELOPE__BODY_PONG:
    case CY__ENVELOPE__BODY_HUB_SYNC:
    case CY__ENVELOPE__BODY_HUB_VIEW:
    case CY__ENVELOPE__BODY_ENTRY_REPORT:
    case CY__ENVELOPE__BODY_PLACE_ASK:
    case CY__ENVELOPE__BODY_PLACE_ANSWER:
    case CY__ENVELOPE__BODY_PLACE_DONE:
    case CY__ENVELOPE__BODY_TOKEN_GIFT:
    case _CY__ENVELOPE__BODY__CASE_IS_INT_SIZE:
      break;
    }
}

void
cyx_fanout_close (struct cyx_fanout *fanout, struct cyn_conn *conn)
{
  struct zone_link *zone = find_zone (fanout, conn);
  if (zone == NULL)
    return;
  CK_STAILQ_REMOVE (&fanout->zones, zone, zone_link, entry);
  g_free (zone);
}

/* ------------------------------------------------------------ public */

struct cyx_fanout *
cyx_fanout_create (const struct cyx_fanout_options *options)
{
  struct cyx_fanout *fanout = g_new0 (struct cyx_fanout, 1);
  fanout->options = *options;
  fanout->clock = cyn_loop_clock (options->loop);
  CK_STAILQ_INIT (&fanout->zones);
  fanout->merge = cyt_merge_create (on_merged, fanout);
  fanout->stripped = cyt_soft_state_create (g_random_int () | 1);
  fanout->quota
      = cyx_quota_create (options->state, options->replica, fanout->clock);
  fanout->timer = cyn_timer_create (options->loop, on_tick, fanout);
  cyn_timer_start (fanout->timer, TICK_INTERVAL_MS);
  return fanout;
}

void
cyx_fanout_destroy (struct cyx_fanout *fanout)
{
  if (fanout == NULL)
    return;
  cyn_timer_destroy (fanout->timer);
  struct zone_link *zone = NULL, *next = NULL;
  CK_STAILQ_FOREACH_SAFE (zone, &fanout->zones, entry, next)
  g_free (zone);
  cyx_quota_destroy (fanout->quota);
  cyt_merge_destroy (fanout->merge);
  cyt_soft_state_destroy (fanout->stripped);
  g_free (fanout);
}

void
cyx_fanout_state_changed (struct cyx_fanout *fanout)
{
  cyx_quota_state_changed (fanout->quota);
  push_to_zones (fanout);
}

void
cyx_fanout_role_changed (struct cyx_fanout *fanout)
{
  cyx_quota_tick (fanout->quota, confirmation_age (fanout));
  struct zone_link *zone = NULL;
  CK_STAILQ_FOREACH (zone, &fanout->zones, entry)
  send_redirect (fanout, zone->child.conn);
}

struct child_list
{
  GArray *children;
  cy_time_ns now;
};

/* Merges the entry VMs that one zone process reports into the list: an entry
   VM that several zone processes report gets its highest version and lowest
   age.  */
static void
add_children_of_zone (const char *name, uint64_t version,
                      cy_time_ns last_received, const Cy__Report *report,
                      void *context)
{
  (void)name;
  (void)version;
  struct child_list *list = context;
  for (size_t i = 0; report != NULL && i < report->n_children; i++)
    {
      const Cy__ChildVersion *reported = report->children[i];
      int64_t age_ms = (list->now - last_received) / CY_NS_PER_MS
                       + (int64_t)reported->age_ms;
      struct cyx_child *known = NULL;
      for (guint j = 0; j < list->children->len && known == NULL; j++)
        {
          struct cyx_child *other
              = &g_array_index (list->children, struct cyx_child, j);
          if (strcmp (other->name, reported->name) == 0)
            known = other;
        }
      if (known == NULL)
        {
          struct cyx_child child
              = { g_strdup (reported->name), reported->version, age_ms };
          g_array_append_val (list->children, child);
          continue;
        }
      known->version = MAX (known->version, reported->version);
      known->age_ms = MIN (known->age_ms, age_ms);
    }
}

struct cyx_child *
cyx_fanout_children (const struct cyx_fanout *fanout, size_t *count)
{
  struct child_list list
      = { g_array_new (FALSE, FALSE, sizeof (struct cyx_child)),
          now_of (fanout) };
  cyt_merge_each_child (fanout->merge, add_children_of_zone, &list);
  *count = list.children->len;
  return (struct cyx_child *)g_array_free (list.children, FALSE);
}

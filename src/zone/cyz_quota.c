/* Relay of the fleet-wide quota, between the root at the leading control VM
   and the entry VMs of the zone.  */

#include "zone/cyz_internal.h"

static cy_time_ns
current_time (const struct cyz_zone *zone)
{
  return cy_clock_now (zone->clock);
}

static void
send_answer (struct cyn_conn *conn, Cy__QuotaAnswer *answer)
{
  Cy__Envelope envelope = CY__ENVELOPE__INIT;
  envelope.body_case = CY__ENVELOPE__BODY_QUOTA_ANSWER;
  envelope.quota_answer = answer;
  cyn_conn_send (conn, &envelope);
  cy__quota_answer__free_unpacked (answer, NULL);
}

static void
push_to_holders (struct cyz_zone *zone)
{
  struct cyz_entry *entry = NULL;
  CK_STAILQ_FOREACH (entry, &zone->entries, link)
  {
    Cy__QuotaAnswer *answer
        = cyq_node_push (zone->quota, cyn_conn_peer (entry->child.conn)->name,
                         current_time (zone));
    if (answer != NULL)
      send_answer (entry->child.conn, answer);
  }
}

void
cyz_quota_send_request (struct cyz_zone *zone)
{
  struct cyn_conn *conn = cyz_parent_current (zone->parent);
  if (conn == NULL || zone->quota == NULL)
    return;
  Cy__QuotaAsk *ask = cyq_node_request (zone->quota, current_time (zone));
  if (ask == NULL)
    return;
  Cy__Envelope envelope = CY__ENVELOPE__INIT;
  envelope.body_case = CY__ENVELOPE__BODY_QUOTA_ASK;
  envelope.quota_ask = ask;
  cyn_conn_send (conn, &envelope);
  cy__quota_ask__free_unpacked (ask, NULL);
}

void
cyz_quota_on_request (struct cyz_zone *zone, struct cyz_entry *entry,
                      const Cy__QuotaAsk *ask)
{
  const char *holder = cyn_conn_peer (entry->child.conn)->name;
  send_answer (entry->child.conn,
               cyq_node_grant (zone->quota, holder, ask, current_time (zone)));
  push_to_holders (zone);
  cyz_quota_send_request (zone);
}

void
cyz_quota_on_answer (struct cyz_zone *zone, const Cy__QuotaAnswer *answer)
{
  cyq_node_receive_answer (zone->quota, answer, current_time (zone));
  push_to_holders (zone);
  cyz_quota_send_request (zone);
}

bool
cyz_quota_return_all (struct cyz_zone *zone)
{
  bool done = cyq_node_return_all (zone->quota, current_time (zone));
  cyz_quota_send_request (zone);
  return done;
}

static void
on_tick (void *context)
{
  struct cyz_zone *zone = context;
  cyq_node_tick (zone->quota, current_time (zone));
  push_to_holders (zone);
  cyz_quota_send_request (zone);
  cyn_timer_start (zone->quota_timer, CYQ_TICK_MS);
}

void
cyz_quota_start (struct cyz_zone *zone)
{
  struct cyq_options options
      = { .may_claim = true,
          .epoch = (uint64_t)cy_clock_unix_ms (zone->clock),
          .incarnation = zone->options.identity->incarnation,
          .term_ms = CYQ_RELAY_TERM_MS };
  zone->quota = cyq_node_create (&options);
  zone->quota_timer = cyn_timer_create (zone->options.loop, on_tick, zone);
  cyn_timer_start (zone->quota_timer, CYQ_TICK_MS);
}

void
cyz_quota_stop (struct cyz_zone *zone)
{
  cyn_timer_destroy (zone->quota_timer);
  cyq_node_destroy (zone->quota);
}

/* The zone's part of every quota: between the control VM's root and the entry
   VMs.  */

#include "zone/cyz_internal.h"

static cy_time_ns
now_of (const struct cyz_zone *zone)
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
push_all (struct cyz_zone *zone)
{
  struct cyz_entry *entry = NULL;
  CK_STAILQ_FOREACH (entry, &zone->entries, link)
  {
    Cy__QuotaAnswer *answer = cyq_node_push (
        zone->quota, cyn_conn_peer (entry->child.conn)->name, now_of (zone));
    if (answer != NULL)
      send_answer (entry->child.conn, answer);
  }
}

void
cyz_quota_send (struct cyz_zone *zone)
{
  struct cyn_conn *conn = cyz_parent_current (zone->parent);
  if (conn == NULL || zone->quota == NULL)
    return;
  Cy__QuotaAsk *ask = cyq_node_request (zone->quota, now_of (zone));
  if (ask == NULL)
    return;
  Cy__Envelope envelope = CY__ENVELOPE__INIT;
  envelope.body_case = CY__ENVELOPE__BODY_QUOTA_ASK;
  envelope.quota_ask = ask;
  cyn_conn_send (conn, &envelope);
  cy__quota_ask__free_unpacked (ask, NULL);
}

void
cyz_quota_ask (struct cyz_zone *zone, struct cyz_entry *entry,
               const Cy__QuotaAsk *ask)
{
  const char *holder = cyn_conn_peer (entry->child.conn)->name;
  send_answer (entry->child.conn,
               cyq_node_grant (zone->quota, holder, ask, now_of (zone)));
  push_all (zone);
  cyz_quota_send (zone);
}

void
cyz_quota_answer (struct cyz_zone *zone, const Cy__QuotaAnswer *answer)
{
  cyq_node_receive_answer (zone->quota, answer, now_of (zone));
  push_all (zone);
  cyz_quota_send (zone);
}

bool
cyz_quota_return (struct cyz_zone *zone)
{
  bool done = cyq_node_return_all (zone->quota, now_of (zone));
  cyz_quota_send (zone);
  return done;
}

static void
tick (void *context)
{
  struct cyz_zone *zone = context;
  cyq_node_tick (zone->quota, now_of (zone));
  push_all (zone);
  cyz_quota_send (zone);
  cyn_timer_start (zone->quota_timer, CYQ_TICK_MS);
}

void
cyz_quota_start (struct cyz_zone *zone)
{
  struct cyq_options options
      = { .claims = true,
          .epoch = (uint64_t)cy_clock_unix_ms (zone->clock),
          .incarnation = zone->options.identity->incarnation,
          .term_ms = CYQ_RELAY_TERM_MS };
  zone->quota = cyq_node_create (&options);
  zone->quota_timer = cyn_timer_create (zone->options.loop, tick, zone);
  cyn_timer_start (zone->quota_timer, CYQ_TICK_MS);
}

void
cyz_quota_stop (struct cyz_zone *zone)
{
  cyn_timer_destroy (zone->quota_timer);
  cyq_node_destroy (zone->quota);
}

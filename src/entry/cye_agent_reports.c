/* Reports of this entry VM to every zone process of its zone.  The first
   report on a connection is full, later ones are deltas.  An empty delta
   renews the leases of the objects that did not change.  */

#include <string.h>

#include "entry/cye_agent_internal.h"

#define CHECK_MS            100  /* ms between checks for changes */
#define RENEW_MS            1500 /* ms between reports without a change */
#define TIME_SPLIT_LEASE_MS 3000 /* ms that a reported time split is valid */

/* One zone process that receives the reports.  */
struct receiver
{
  struct cyn_conn *conn;
  uint64_t sent_sequence; /* table in the last report sent, 0: none */
  cy_time_ns last_sent;   /* time of the last report */
};

struct cye_reports
{
  struct cye_agent *agent;
  GMutex lock;                  /* guards table */
  struct cyt_soft_state *table; /* soft objects that are reported */
  GArray *receivers;            /* struct receiver */
  uint64_t version;             /* declared state in force at this entry VM */
  bool version_changed;         /* since the last report to the receivers */
  struct cyn_timer *timer;
};

static cy_time_ns
now_of (const struct cye_reports *reports)
{
  return cy_clock_now (reports->agent->clock);
}

static cy_time_ns
expiry_of (const Cy__Object *object, cy_time_ns now)
{
  if (object->body_case == CY__OBJECT__BODY_BACKEND)
    return now + (cy_time_ns)object->backend->lease_ms * CY_NS_PER_MS;
  if (g_str_has_prefix (object->key, "split/"))
    return now + TIME_SPLIT_LEASE_MS * CY_NS_PER_MS;
  return 0;
}

void
cye_reports_put (struct cye_reports *reports, const Cy__Object *object)
{
  cy_time_ns expires = expiry_of (object, now_of (reports));
  g_mutex_lock (&reports->lock);
  if (object->deleted)
    cyt_soft_state_remove (reports->table, object->key);
  else
    cyt_soft_state_put (reports->table, object, expires);
  g_mutex_unlock (&reports->lock);
}

/* Sends a report to RECEIVER if there is a change or a renewal is due.  */
static void
send_if_due (struct cye_reports *reports, struct receiver *receiver)
{
  cy_time_ns now = now_of (reports);
  g_mutex_lock (&reports->lock);
  bool due
      = receiver->sent_sequence == 0 || reports->version_changed
        || receiver->sent_sequence != cyt_soft_state_sequence (reports->table)
        || now - receiver->last_sent >= RENEW_MS * CY_NS_PER_MS;
  if (due)
    {
      Cy__SyncAnswer delta = CY__SYNC_ANSWER__INIT;
      cyt_soft_state_delta (reports->table,
                            receiver->sent_sequence == 0
                                ? 0
                                : cyt_soft_state_epoch (reports->table),
                            receiver->sent_sequence, NULL, NULL, &delta);
      Cy__Report report = CY__REPORT__INIT;
      report.version = reports->version;
      report.delta = receiver->sent_sequence != 0;
      report.n_soft = delta.n_soft;
      report.soft = delta.soft;
      Cy__Envelope envelope = CY__ENVELOPE__INIT;
      envelope.body_case = CY__ENVELOPE__BODY_REPORT;
      envelope.report = &report;
      cyn_conn_send (receiver->conn, &envelope);
      receiver->sent_sequence = delta.soft_to;
      receiver->last_sent = now;
      cyt_soft_state_answer_clear (&delta);
    }
  g_mutex_unlock (&reports->lock);
}

static void
send_all (struct cye_reports *reports)
{
  for (guint i = 0; i < reports->receivers->len; i++)
    send_if_due (reports,
                 &g_array_index (reports->receivers, struct receiver, i));
  reports->version_changed = false;
}

static void
on_timer (void *context)
{
  struct cye_reports *reports = context;
  g_mutex_lock (&reports->lock);
  cyt_soft_state_expire (reports->table, now_of (reports));
  g_mutex_unlock (&reports->lock);
  send_all (reports);
  cyn_timer_start (reports->timer, CHECK_MS);
}

void
cye_reports_open (struct cye_reports *reports, struct cyn_conn *conn)
{
  struct receiver receiver = { .conn = conn };
  g_array_append_val (reports->receivers, receiver);
  send_all (reports);
}

void
cye_reports_close (struct cye_reports *reports, struct cyn_conn *conn)
{
  for (guint i = 0; i < reports->receivers->len; i++)
    if (g_array_index (reports->receivers, struct receiver, i).conn == conn)
      {
        g_array_remove_index (reports->receivers, i);
        return;
      }
}

void
cye_reports_set_version (struct cye_reports *reports, uint64_t version)
{
  if (reports->version == version)
    return;
  reports->version = version;
  reports->version_changed = true;
  send_all (reports);
}

struct cye_reports *
cye_reports_create (struct cye_agent *agent)
{
  struct cye_reports *reports = g_new0 (struct cye_reports, 1);
  reports->agent = agent;
  g_mutex_init (&reports->lock);
  reports->table = cyt_soft_state_create (1);
  reports->receivers = g_array_new (FALSE, FALSE, sizeof (struct receiver));
  reports->timer = cyn_timer_create (agent->options.loop, on_timer, reports);
  cyn_timer_start (reports->timer, CHECK_MS);
  return reports;
}

void
cye_reports_destroy (struct cye_reports *reports)
{
  if (reports == NULL)
    return;
  cyn_timer_destroy (reports->timer);
  cyt_soft_state_destroy (reports->table);
  g_array_free (reports->receivers, TRUE);
  g_mutex_clear (&reports->lock);
  g_free (reports);
}

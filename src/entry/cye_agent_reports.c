/* What this entry VM reports to every zone process of its zone: whole once on
   a connection, then what changed; an empty report renews the rest.  */

#include <string.h>

#include "entry/cye_agent_internal.h"

#define TICK_MS        100  /* ms between two looks for changes */
#define RENEW_MS       1500 /* ms between two reports at rest */
#define SPLIT_LEASE_MS 3000 /* ms that a split counts */

/* One zone process.  */
struct reader
{
  struct cyn_conn *conn;
  uint64_t sent; /* sequence of the table that it holds, 0: none */
  cy_time_ns last;
};

struct cye_reports
{
  struct cye_agent *agent;
  GMutex lock; /* guards table */
  struct cyt_soft_state *table;
  GArray *readers; /* struct reader */
  uint64_t version;
  bool version_changed;
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
    return now + SPLIT_LEASE_MS * CY_NS_PER_MS;
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

/* Sends READER what it does not hold, if that or a renewal is due.  */
static void
send_report (struct cye_reports *reports, struct reader *reader)
{
  cy_time_ns now = now_of (reports);
  g_mutex_lock (&reports->lock);
  bool due = reader->sent == 0 || reports->version_changed
             || reader->sent != cyt_soft_state_sequence (reports->table)
             || now - reader->last >= RENEW_MS * CY_NS_PER_MS;
  if (due)
    {
      Cy__SyncAnswer delta = CY__SYNC_ANSWER__INIT;
      cyt_soft_state_delta (
          reports->table,
          reader->sent == 0 ? 0 : cyt_soft_state_epoch (reports->table),
          reader->sent, NULL, NULL, &delta);
      Cy__Report report = CY__REPORT__INIT;
      report.version = reports->version;
      report.delta = reader->sent != 0;
      report.n_soft = delta.n_soft;
      report.soft = delta.soft;
      Cy__Envelope envelope = CY__ENVELOPE__INIT;
      envelope.body_case = CY__ENVELOPE__BODY_REPORT;
      envelope.report = &report;
      cyn_conn_send (reader->conn, &envelope);
      reader->sent = delta.soft_to;
      reader->last = now;
      cyt_soft_state_answer_clear (&delta);
    }
  g_mutex_unlock (&reports->lock);
}

static void
send_all (struct cye_reports *reports)
{
  for (guint i = 0; i < reports->readers->len; i++)
    send_report (reports, &g_array_index (reports->readers, struct reader, i));
  reports->version_changed = false;
}

static void
tick (void *context)
{
  struct cye_reports *reports = context;
  g_mutex_lock (&reports->lock);
  cyt_soft_state_expire (reports->table, now_of (reports));
  g_mutex_unlock (&reports->lock);
  send_all (reports);
  cyn_timer_start (reports->timer, TICK_MS);
}

void
cye_reports_open (struct cye_reports *reports, struct cyn_conn *conn)
{
  struct reader reader = { .conn = conn };
  g_array_append_val (reports->readers, reader);
  send_all (reports);
}

void
cye_reports_close (struct cye_reports *reports, struct cyn_conn *conn)
{
  for (guint i = 0; i < reports->readers->len; i++)
    if (g_array_index (reports->readers, struct reader, i).conn == conn)
      {
        g_array_remove_index (reports->readers, i);
        return;
      }
}

void
cye_reports_version (struct cye_reports *reports, uint64_t version)
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
  reports->readers = g_array_new (FALSE, FALSE, sizeof (struct reader));
  reports->timer = cyn_timer_create (agent->options.loop, tick, reports);
  cyn_timer_start (reports->timer, TICK_MS);
  return reports;
}

void
cye_reports_destroy (struct cye_reports *reports)
{
  if (reports == NULL)
    return;
  cyn_timer_destroy (reports->timer);
  cyt_soft_state_destroy (reports->table);
  g_array_free (reports->readers, TRUE);
  g_mutex_clear (&reports->lock);
  g_free (reports);
}

#include "zone/cyz_zone.h"

#include <string.h>

#include "base/cyu_log.h"
#include "base/cyu_metrics.h"
#include "zone/cyz_internal.h"

#define TICK_INTERVAL_MS 50   /* interval of pushes of soft objects */
#define STOP_MAX_MS      2500 /* maximum duration of a planned stop */

static cy_time_ns
current_time (const struct cyz_zone *zone)
{
  return cy_clock_now (zone->clock);
}

/* ------------------------------------------------------------ serving */

static struct cyz_source
make_source (const struct cyz_zone *zone)
{
  cy_time_ns age = cyf_freshness_age (cyz_parent_freshness (zone->parent),
                                      current_time (zone));
  if (age == CYF_AGE_UNKNOWN || zone->stopping)
    age = -1;
  return (struct cyz_source){ cyz_parent_state (zone->parent), zone->view,
                              age };
}

static void
push_to_entries (struct cyz_zone *zone)
{
  struct cyz_source source = make_source (zone);
  struct cyz_entry *entry = NULL;
  CK_STAILQ_FOREACH (entry, &zone->entries, link)
  cyz_child_push (&entry->child, &source);
}

static struct cyz_entry *
entry_find (const struct cyz_zone *zone, const struct cyn_conn *conn)
{
  struct cyz_entry *entry = NULL;
  CK_STAILQ_FOREACH (entry, &zone->entries, link)
  {
    if (entry->child.conn == conn)
      return entry;
  }
  return NULL;
}

static void
send_leave_redirect (struct cyn_conn *conn)
{
  Cy__Redirect redirect = CY__REDIRECT__INIT;
  Cy__Envelope envelope = CY__ENVELOPE__INIT;
  envelope.body_case = CY__ENVELOPE__BODY_REDIRECT;
  envelope.redirect = &redirect;
  cyn_conn_send (conn, &envelope);
}

static void
forward_to_modules (struct cyz_zone *zone, struct cyn_conn *conn,
                    const Cy__Envelope *message)
{
  for (guint i = 0; i < zone->modules->len; i++)
    {
      struct cyz_module *module
          = &g_array_index (zone->modules, struct cyz_module, i);
      if (module->on_entry_message != NULL)
        module->on_entry_message (conn, message, module->context);
    }
}

static void
process_entry_message (struct cyz_zone *zone, struct cyz_entry *entry,
                       const Cy__Envelope *message)
{
  if (message->body_case == CY__ENVELOPE__BODY_SYNC_ASK)
    {
      struct cyz_source source = make_source (zone);
      cyz_child_answer (&entry->child, &source, message->request,
                        message->sync_ask);
    }
  else if (message->body_case == CY__ENVELOPE__BODY_REPORT)
    cyz_table_apply_report (zone, entry, message->report);
  else if (message->body_case == CY__ENVELOPE__BODY_QUOTA_ASK)
    cyz_quota_on_request (zone, entry, message->quota_ask);
  else
    forward_to_modules (zone, entry->child.conn, message);
}

/* ------------------------------------------------------------ listener */

static void
child_open (struct cyn_conn *conn, void *context)
{
  struct cyz_zone *zone = context;
  if (strcmp (cyn_conn_peer (conn)->role, "entry") != 0)
    return;
  struct cyz_entry *entry = g_new0 (struct cyz_entry, 1);
  entry->child.conn = conn;
  CK_STAILQ_INSERT_TAIL (&zone->entries, entry, link);
  zone->children_changed = true;
  if (zone->stopping)
    send_leave_redirect (conn);
  for (guint i = 0; i < zone->modules->len; i++)
    {
      struct cyz_module *module
          = &g_array_index (zone->modules, struct cyz_module, i);
      if (module->on_entry_open != NULL)
        module->on_entry_open (conn, module->context);
    }
}

static void
answer_ping (struct cyn_conn *conn, const Cy__ProbePing *ping)
{
  Cy__ProbePong pong = CY__PROBE_PONG__INIT;
  pong.sequence = ping->sequence;
  Cy__Envelope envelope = CY__ENVELOPE__INIT;
  envelope.body_case = CY__ENVELOPE__BODY_PONG;
  envelope.pong = &pong;
  cyn_conn_send (conn, &envelope);
}

static void
child_message (struct cyn_conn *conn, const Cy__Envelope *message,
               void *context)
{
  struct cyz_zone *zone = context;
  struct cyz_entry *entry = entry_find (zone, conn);
  if (message->body_case == CY__ENVELOPE__BODY_PING)
    answer_ping (conn, message->ping);
  else if (entry != NULL)
    process_entry_message (zone, entry, message);
}

static void
child_close (struct cyn_conn *conn, cy_result reason, void *context)
{
  (void)reason;
  struct cyz_zone *zone = context;
  struct cyz_entry *entry = entry_find (zone, conn);
  if (entry == NULL)
    return;
  for (guint i = 0; i < zone->modules->len; i++)
    {
      struct cyz_module *module
          = &g_array_index (zone->modules, struct cyz_module, i);
      if (module->on_entry_close != NULL)
        module->on_entry_close (conn, module->context);
    }
  CK_STAILQ_REMOVE (&zone->entries, entry, cyz_entry, link);
  zone->children_changed = true;
  g_free (entry);
}

static const struct cyn_handlers child_handlers
    = { child_open, child_message, child_close };

/* ------------------------------------------------------------ parent */

static void
parent_change (void *context)
{
  struct cyz_zone *zone = context;
  cyz_table_copy_parent (zone);
  push_to_entries (zone);
}

static void
parent_message (struct cyn_conn *conn, const Cy__Envelope *message,
                void *context)
{
  (void)conn;
  struct cyz_zone *zone = context;
  if (message->body_case == CY__ENVELOPE__BODY_QUOTA_ANSWER)
    cyz_quota_on_answer (zone, message->quota_answer);
}

static void
parent_current (struct cyn_conn *conn, void *context)
{
  struct cyz_zone *zone = context;
  zone->full_report_due = true;
  if (conn == NULL)
    return;
  cyz_table_send_report (zone);
  cyz_quota_send_request (zone);
}

/* ------------------------------------------------------------ time */

static void
notify_modules (struct cyz_zone *zone)
{
  for (guint i = 0; i < zone->modules->len; i++)
    {
      struct cyz_module *module
          = &g_array_index (zone->modules, struct cyz_module, i);
      if (module->on_soft != NULL)
        module->on_soft (module->context);
    }
}

static void
finish_stop (struct cyz_zone *zone)
{
  if (!cyz_quota_return_all (zone)
      && current_time (zone) < zone->stop_deadline)
    return;
  cyn_callback stopped = zone->stopped;
  zone->stopped = NULL;
  stopped (zone->stopped_context);
}

static void
on_tick (void *context)
{
  struct cyz_zone *zone = context;
  uint64_t before = cyt_soft_state_sequence (zone->view);
  cyz_table_tick (zone);
  cyz_probes_tick (zone->probes);
  cyz_table_send_report (zone);
  if (zone->push_due || before != cyt_soft_state_sequence (zone->view))
    {
      zone->push_due = false;
      push_to_entries (zone);
      notify_modules (zone);
    }
  if (zone->stopping && zone->stopped != NULL)
    finish_stop (zone);
  cyn_timer_start (zone->timer, TICK_INTERVAL_MS);
}

/* ------------------------------------------------------------ public */

static void
start_parent (struct cyz_zone *zone)
{
  const struct cyz_options *options = &zone->options;
  struct cyz_parent_options parent_options
      = { .loop = options->loop,
          .identity = options->identity,
          .addresses = options->controls,
          .random = options->random,
          .events = { .on_change = parent_change,
                      .on_message = parent_message,
                      .on_current = parent_current,
                      .context = zone } };
  zone->parent = cyz_parent_create (&parent_options);
}

cy_result
cyz_zone_create (const struct cyz_options *options, struct cyz_zone **created)
{
  struct cyz_zone *zone = g_new0 (struct cyz_zone, 1);
  zone->options = *options;
  zone->clock = cyn_loop_clock (options->loop);
  CK_STAILQ_INIT (&zone->entries);
  zone->modules = g_array_new (FALSE, FALSE, sizeof (struct cyz_module));
  zone->merge = cyt_merge_create (cyz_table_on_settled, zone);
  zone->view = cyt_soft_state_create (g_random_int () | 1);
  zone->splits = cyt_soft_state_create (1);
  zone->upstream = cyt_soft_state_create (1);
  zone->view_update_times
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  cy_result result = cyn_listener_create (
      options->loop, options->identity, options->host, options->port,
      &child_handlers, zone, &zone->listener);
  zone->probes = cyz_probes_create (zone);
  start_parent (zone);
  cyz_quota_start (zone);
  zone->timer = cyn_timer_create (options->loop, on_tick, zone);
  cyn_timer_start (zone->timer, TICK_INTERVAL_MS);
  if (result != CY_OK)
    {
      cyz_zone_destroy (zone);
      return result;
    }
  *created = zone;
  return CY_OK;
}

void
cyz_zone_destroy (struct cyz_zone *zone)
{
  if (zone == NULL)
    return;
  cyn_timer_destroy (zone->timer);
  cyn_listener_destroy (zone->listener);
  cyz_quota_stop (zone);
  cyz_parent_destroy (zone->parent);
  cyz_probes_destroy (zone->probes);
  struct cyz_entry *entry = NULL, *next = NULL;
  CK_STAILQ_FOREACH_SAFE (entry, &zone->entries, link, next)
  g_free (entry);
  cyt_merge_destroy (zone->merge);
  cyt_soft_state_destroy (zone->view);
  cyt_soft_state_destroy (zone->splits);
  cyt_soft_state_destroy (zone->upstream);
  g_hash_table_destroy (zone->view_update_times);
  g_array_free (zone->modules, TRUE);
  g_free (zone);
}

void
cyz_zone_add_module (struct cyz_zone *zone, const struct cyz_module *module)
{
  g_array_append_val (zone->modules, *module);
}

const struct cyt_soft_state *
cyz_zone_soft (const struct cyz_zone *zone)
{
  return zone->view;
}

const struct cys_state *
cyz_zone_state (const struct cyz_zone *zone)
{
  return cyz_parent_state (zone->parent);
}

void
cyz_zone_each_entry (const struct cyz_zone *zone, cyz_each_entry_fn each,
                     void *context)
{
  struct cyz_entry *entry = NULL;
  CK_STAILQ_FOREACH (entry, &zone->entries, link)
  {
    if (!each (entry->child.conn, context))
      return;
  }
}

struct cyn_conn *
cyz_zone_entry (const struct cyz_zone *zone, const char *vm)
{
  struct cyz_entry *entry = NULL;
  struct cyn_conn *found = NULL;
  CK_STAILQ_FOREACH (entry, &zone->entries, link)
  {
    if (strcmp (cyn_conn_peer (entry->child.conn)->name, vm) == 0)
      found = entry->child.conn;
  }
  return found;
}

struct cyn_loop *
cyz_zone_loop (const struct cyz_zone *zone)
{
  return zone->options.loop;
}

uint16_t
cyz_zone_port (const struct cyz_zone *zone)
{
  return cyn_listener_port (zone->listener);
}

bool
cyz_zone_is_ready (const struct cyz_zone *zone)
{
  return !zone->stopping && cyz_parent_freshness (zone->parent)->confirmed;
}

void
cyz_zone_stop (struct cyz_zone *zone, cyn_callback stopped, void *context)
{
  if (zone->stopping)
    return;
  zone->stopping = true;
  zone->stopped = stopped;
  zone->stopped_context = context;
  zone->stop_deadline = current_time (zone) + STOP_MAX_MS * CY_NS_PER_MS;
  struct cyz_entry *entry = NULL;
  CK_STAILQ_FOREACH (entry, &zone->entries, link)
  send_leave_redirect (entry->child.conn);
}

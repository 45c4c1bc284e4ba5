/* Connections of entry VMs.  An entry VM reports its address and the number of
   the declaration and the register sequence that it holds.  It gets views: the
   control VMs, the declaration in force and the backend servers of its
   region.  */

#include <string.h>
#include <xxhash.h>

#include "base/cyu_log.h"
#include "core/cyi_delta.h"
#include "core/cyi_pack.h"
#include "hub/cyc_internal.h"

#define VERSIONS_MAX 32 /* declarations that a delta may start from */

/* ------------------------------------------------------------ lifecycle */

struct cyc_child *
cyc_children_find (struct cyc_hub *hub, const struct cyn_conn *conn)
{
  struct cyc_child *child = NULL;
  CK_LIST_FOREACH (child, &hub->children, entry)
  {
    if (child->conn == conn)
      return child;
  }
  return NULL;
}

void
cyc_children_open (struct cyc_hub *hub, struct cyn_conn *conn)
{
  struct cyc_child *child = g_new0 (struct cyc_child, 1);
  child->hub = hub;
  child->conn = conn;
  child->last_received = cyc_now (hub);
  child->jobs = g_hash_table_new (g_int64_hash, g_int64_equal);
  CK_LIST_INSERT_HEAD (&hub->children, child, entry);
}

void
cyc_children_close (struct cyc_hub *hub, struct cyn_conn *conn)
{
  struct cyc_child *child = cyc_children_find (hub, conn);
  if (child == NULL)
    return;
  if (child->vm != NULL)
    {
      cyc_register_entry_disconnected (hub->reg, child->vm, cyc_now (hub));
      cyu_log (G_LOG_LEVEL_INFO, "entry VM %s is no longer connected",
               child->vm);
    }
  cyc_dispatch_disconnect (hub, child);
  CK_LIST_REMOVE (child, entry);
  g_hash_table_destroy (child->jobs);
  g_free (child->vm);
  g_free (child->zone);
  g_free (child->region);
  g_free (child);
  cyc_dispatch_update_share (hub);
}

/* ------------------------------------------------------------ reports */

void
cyc_children_receive_report (struct cyc_hub *hub, struct cyn_conn *conn,
                             const Cy__EntryReport *report)
{
  cy_time_ns now = cyc_now (hub);
  struct cyc_child *child = cyc_children_find (hub, conn);
  if (child == NULL || (report->self == NULL && child->vm == NULL))
    return;
  if (child->vm == NULL)
    {
      child->vm = g_strdup (report->self->vm);
      child->vm_hash = XXH64 (child->vm, strlen (child->vm), 0);
      child->zone = g_strdup (report->self->zone);
      child->region = g_strdup (report->self->region);
      cyu_log (G_LOG_LEVEL_INFO, "entry VM %s of zone %s is connected",
               child->vm, child->zone);
    }
  child->last_received = now;
  cyi_send_schedule_record_held (&child->document_schedule,
                                 report->document_number);
  child->epoch = report->epoch;
  child->held_sequence = report->sequence;
  child->report_number = report->number;
  child->view_due = true;
  bool attachment_changed
      = child->document_schedule.attached != report->attached;
  child->document_schedule.attached = report->attached;
  child->view_schedule.wants_servers = report->attached || report->standby;
  enum cyc_register_effect effect = CYC_RENEWED;
  if (report->self != NULL)
    effect = cyc_register_entry (hub->reg, report->self, true, now);
  else
    cyc_register_entry_renew (hub->reg, child->vm, now);
  if (effect == CYC_CHANGED || attachment_changed)
    cyc_dispatch_update_share (hub);
  if (effect == CYC_CHANGED)
    cyu_log (G_LOG_LEVEL_INFO, "entry VM %s at %s:%u is %s", child->vm,
             report->self->host, report->self->port,
             report->self->ready ? "ready" : "not ready");
  for (size_t i = 0; i < report->n_notices; i++)
    cyc_notices_receive (hub, child, report->notices[i]);
  cyc_hub_schedule_flush (hub);
}

/* ------------------------------------------------------------ views */

static void
add_control (GPtrArray *list, const char *vm, const char *zone,
             const char *region, const char *host, const struct cyc_hub *hub)
{
  Cy__ControlVm *control = g_new (Cy__ControlVm, 1);
  cy__control_vm__init (control);
  control->vm = (char *)vm;
  control->zone = (char *)zone;
  control->region = (char *)region;
  control->host = (char *)host;
  control->port = hub->options.port;
  g_ptr_array_add (list, control);
}

static void
fill_controls (struct cyc_hub *hub, Cy__HubView *view, cy_time_ns now)
{
  GPtrArray *list = g_ptr_array_new ();
  const struct cyc_peer *peer = NULL;
  const struct cyn_identity *self = hub->options.identity;
  view->isolated
      = cyc_links_is_isolated (hub) || !cyc_hub_serves (hub) || hub->leaving;
  view->majority = !cyc_links_is_isolated (hub);
  add_control (list, self->name, self->zone, hub->options.region,
               hub->options.host, hub);
  CK_LIST_FOREACH (peer, &hub->peers, entry)
  {
    if (peer->vm == NULL)
      continue;
    add_control (list, peer->vm, peer->zone, peer->region, peer->host, hub);
    if (cyc_peer_is_live (peer, now) && !peer->isolated)
      view->majority = true;
  }
  view->n_controls = list->len;
  view->controls = (Cy__ControlVm **)(void *)g_ptr_array_free (list, FALSE);
}

static uint64_t
hash_controls (const Cy__HubView *view)
{
  uint64_t hash = 1;
  for (size_t i = 0; i < view->n_controls; i++)
    {
      const Cy__ControlVm *control = view->controls[i];
      hash = XXH64 (control->vm, strlen (control->vm), hash);
      hash = XXH64 (control->host, strlen (control->host), hash);
    }
  return hash;
}

static void
clear_controls (Cy__HubView *view)
{
  for (size_t i = 0; i < view->n_controls; i++)
    g_free (view->controls[i]);
  g_free (view->controls);
  view->controls = NULL;
  view->n_controls = 0;
}

/* Adds the backend servers of CHILD's region that have changed since the last
   view.  */
static void
fill_instances (struct cyc_hub *hub, const struct cyc_child *child,
                Cy__HubView *view, cy_time_ns now)
{
  struct cyc_instance *instance = NULL;
  view->epoch = hub->epoch;
  const struct cyc_view_schedule *schedule = &child->view_schedule;
  view->sequence = cyc_view_schedule_sequence (
      schedule, cyc_register_sequence (hub->reg));
  if (!schedule->wants_servers)
    return;
  GPtrArray *list = g_ptr_array_new ();
  CK_LIST_FOREACH (instance, cyc_register_instances (hub->reg), entry)
  {
    const char *region
        = cyc_topology_region (hub->options.topology, instance->info->zone);
    if (!cyc_view_schedule_has_server (schedule, instance->sequence)
        || region == NULL || strcmp (region, child->region) != 0)
      continue;
    instance->info->cold_ms = cyc_instance_cold_ms (instance, now);
    g_ptr_array_add (list, instance->info);
  }
  view->n_instances = list->len;
  view->instances = (Cy__Instance **)(void *)g_ptr_array_free (list, FALSE);
}

static void
count_entries (struct cyc_hub *hub, const struct cyc_child *child,
               Cy__HubView *view)
{
  struct cyc_entry *vm = NULL;
  CK_LIST_FOREACH (vm, cyc_register_entries (hub->reg), entry)
  {
    view->all_entries++;
    view->region_entries += strcmp (vm->info->region, child->region) == 0;
  }
}

/* Declaration that entry VMs may hold.  */
struct cyc_document_version
{
  uint64_t number;
  char *text;
  /* Difference from this version to the newest one; the full text for the
     newest version.  Computed at the first use.  */
  Cy__Document delta;
  Cy__Document packed; /* DELTA, deflated if that makes it smaller */
  bool delta_made;
};

static void
version_clear_delta (struct cyc_document_version *version)
{
  cyi_delta_clear (&version->delta);
  cyi_pack_clear (&version->packed);
  cy__document__init (&version->delta);
  version->delta_made = false;
}

static void
version_free (gpointer data)
{
  struct cyc_document_version *version = data;
  version_clear_delta (version);
  g_free (version->text);
  g_free (version);
}

void
cyc_children_set_document (struct cyc_hub *hub, const Cy__Document *document)
{
  if (hub->versions == NULL)
    hub->versions = g_ptr_array_new_with_free_func (version_free);
  for (guint i = 0; i < hub->versions->len; i++)
    version_clear_delta (g_ptr_array_index (hub->versions, i));
  if (hub->versions->len >= VERSIONS_MAX)
    g_ptr_array_remove_index (hub->versions, 0);
  struct cyc_document_version *version
      = g_new0 (struct cyc_document_version, 1);
  cy__document__init (&version->delta);
  version->number = document->number;
  version->text = g_strdup (document->text);
  g_ptr_array_add (hub->versions, version);
}

static void
version_make_delta (struct cyc_document_version *version,
                    const struct cyc_document_version *newest)
{
  version->delta.number = newest->number;
  if (version == newest)
    version->delta.text = newest->text;
  else
    {
      cyi_delta_make (version->text, newest->text, &version->delta);
      version->delta.starts_from = version->number;
    }
  if (!cyi_pack (&version->delta, &version->packed))
    version->packed = version->delta;
  version->delta_made = true;
}

/* Returns the message that turns declaration number HELD into NEWEST, or the
   full text if HELD is not among the versions kept.  */
static const Cy__Document *
select_document (struct cyc_hub *hub, uint64_t held,
                 const Cy__Document *newest)
{
  guint count = hub->versions == NULL ? 0 : hub->versions->len;
  struct cyc_document_version *latest
      = count == 0 ? NULL : g_ptr_array_index (hub->versions, count - 1);
  if (latest == NULL || latest->number != newest->number)
    return newest;
  struct cyc_document_version *base = latest;
  for (guint i = 0; i < count; i++)
    {
      struct cyc_document_version *version
          = g_ptr_array_index (hub->versions, i);
      if (version->number == held)
        base = version;
    }
  if (!base->delta_made)
    version_make_delta (base, latest);
  return &base->packed;
}

/* True when declaration NEWEST has to be sent to CHILD now.  */
static bool
is_document_due (const struct cyc_hub *hub, struct cyc_child *child,
                 const Cy__Document *newest, cy_time_ns now)
{
  return newest != NULL && hub->document != NULL
         && hub->document->number == newest->number
         && cyi_send_schedule_is_due (&child->document_schedule,
                                      newest->number, now);
}

static void
send_view (struct cyc_hub *hub, struct cyc_child *child, cy_time_ns now)
{
  Cy__HubView view = CY__HUB_VIEW__INIT;
  Cy__Envelope envelope = CY__ENVELOPE__INIT;
  const Cy__Document *newest
      = cyc_hub_serves (hub) ? cyc_hub_document (hub) : NULL;
  fill_controls (hub, &view, now);
  uint64_t controls = hash_controls (&view);
  if (!cyc_view_schedule_has_controls (&child->view_schedule, controls))
    clear_controls (&view);
  fill_instances (hub, child, &view, now);
  count_entries (hub, child, &view);
  view.n_drained_zones = hub->drained->len;
  view.drained_zones = (char **)hub->drained->pdata;
  view.leaving = hub->leaving;
  view.echo = child->report_number;
  if (newest != NULL)
    view.document_number = newest->number;
  if (is_document_due (hub, child, newest, now))
    {
      view.document = (Cy__Document *)select_document (
          hub, child->document_schedule.held_number, newest);
      cyi_send_schedule_record_sent (&child->document_schedule, newest->number,
                                     now);
    }
  envelope.body_case = CY__ENVELOPE__BODY_HUB_VIEW;
  envelope.hub_view = &view;
  if (cyn_conn_send (child->conn, &envelope) == CY_OK)
    cyc_view_schedule_record_sent (&child->view_schedule, view.sequence,
                                   controls);
  child->view_due = false;
  clear_controls (&view);
  g_free (view.instances);
}

void
cyc_children_send_views (struct cyc_hub *hub)
{
  cy_time_ns now = cyc_now (hub);
  uint64_t sequence = cyc_register_sequence (hub->reg);
  const Cy__Document *newest
      = cyc_hub_serves (hub) ? cyc_hub_document (hub) : NULL;
  struct cyc_child *child = NULL;
  CK_LIST_FOREACH (child, &hub->children, entry)
  {
    if (child->vm == NULL)
      continue;
    bool document_due = is_document_due (hub, child, newest, now);
    bool servers_due
        = cyc_view_schedule_is_due (&child->view_schedule, sequence);
    if (child->view_due || document_due || servers_due || hub->all_views_due)
      send_view (hub, child, now);
  }
  hub->all_views_due = false;
}

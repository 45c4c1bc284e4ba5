/* Connections of entry VMs.  An entry VM reports that it is there and what it
   holds; it is told which control VMs there are, the declaration in force and
   the backend servers of its region.  */

#include <string.h>

#include "base/cyu_log.h"
#include "core/cyi_delta.h"
#include "core/cyi_pack.h"
#include "hub/cyc_internal.h"

#define TEXTS_KEPT 32 /* older declarations that a delta may start from */
/* ------------------------------------------------------------ life */

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
  child->heard = cyc_now (hub);
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
      cyc_register_entry_lost (hub->reg, child->vm, cyc_now (hub));
      cyu_log (G_LOG_LEVEL_INFO, "entry VM %s is no longer connected",
               child->vm);
    }
  cyc_dispatch_lose (hub, child);
  CK_LIST_REMOVE (child, entry);
  g_hash_table_destroy (child->jobs);
  g_free (child->vm);
  g_free (child->zone);
  g_free (child->region);
  g_free (child);
  cyc_dispatch_share (hub);
}

/* ------------------------------------------------------------ reports */

void
cyc_children_report (struct cyc_hub *hub, struct cyn_conn *conn,
                     const Cy__EntryReport *report)
{
  cy_time_ns now = cyc_now (hub);
  struct cyc_child *child = cyc_children_find (hub, conn);
  if (child == NULL || report->self == NULL)
    return;
  if (child->vm == NULL)
    {
      child->vm = g_strdup (report->self->vm);
      child->zone = g_strdup (report->self->zone);
      child->region = g_strdup (report->self->region);
      cyu_log (G_LOG_LEVEL_INFO, "entry VM %s of zone %s is connected",
               child->vm, child->zone);
    }
  child->heard = now;
  cyi_send_schedule_record_held (&child->sending, report->document_number);
  child->epoch = report->epoch;
  child->sequence = report->sequence;
  child->report = report->number;
  child->due = true;
  bool moved = child->sending.attached != report->attached;
  child->sending.attached = report->attached;
  enum cyc_news news = cyc_register_entry (hub->reg, report->self, true, now);
  if (news == CYC_CHANGED || moved)
    cyc_dispatch_share (hub);
  if (news == CYC_CHANGED)
    cyu_log (G_LOG_LEVEL_INFO, "entry VM %s at %s:%u is %s", child->vm,
             report->self->host, report->self->port,
             report->self->ready ? "ready" : "not ready");
  cyc_hub_changed (hub);
}

/* ------------------------------------------------------------ views */

static void
add_control (GPtrArray *list, const char *vm, const char *zone,
             const char *region, const char *host, const struct cyc_hub *hub)
{
  Cy__ControlVm *one = g_new (Cy__ControlVm, 1);
  cy__control_vm__init (one);
  one->vm = (char *)vm;
  one->zone = (char *)zone;
  one->region = (char *)region;
  one->host = (char *)host;
  one->port = hub->options.port;
  g_ptr_array_add (list, one);
}

static void
fill_controls (struct cyc_hub *hub, Cy__HubView *view, cy_time_ns now)
{
  GPtrArray *list = g_ptr_array_new ();
  const struct cyc_peer *peer = NULL;
  const struct cyn_identity *self = hub->options.identity;
  view->isolated
      = cyc_links_isolated (hub) || !cyc_hub_serves (hub) || hub->leaving;
  view->majority = !cyc_links_isolated (hub);
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

/* Backend servers of the child's region that it does not hold as they are.  */
static void
fill_instances (struct cyc_hub *hub, const struct cyc_child *child,
                Cy__HubView *view, cy_time_ns now)
{
  struct cyc_instance *instance = NULL;
  GPtrArray *list = g_ptr_array_new ();
  view->epoch = hub->epoch;
  view->sequence = cyc_register_sequence (hub->reg);
  CK_LIST_FOREACH (instance, cyc_register_instances (hub->reg), entry)
  {
    const char *region
        = cyc_topology_region (hub->options.topology, instance->facts->zone);
    if (instance->sequence <= child->sent || region == NULL
        || strcmp (region, child->region) != 0)
      continue;
    instance->facts->cold_ms = cyc_instance_cold_ms (instance, now);
    g_ptr_array_add (list, instance->facts);
  }
  view->n_instances = list->len;
  view->instances = (Cy__Instance **)(void *)g_ptr_array_free (list, FALSE);
}

static void
count_entries (struct cyc_hub *hub, const struct cyc_child *child,
               Cy__HubView *view)
{
  struct cyc_entry *one = NULL;
  CK_LIST_FOREACH (one, cyc_register_entries (hub->reg), entry)
  {
    view->all_entries++;
    view->region_entries += strcmp (one->facts->region, child->region) == 0;
  }
}

/* A declaration that entry VMs may hold.  */
struct cyc_text
{
  uint64_t number;
  char *text;
  /* What makes the newest one of it, of the newest itself its whole text; made
     when it is first asked for.  */
  Cy__Document delta;
  Cy__Document packed; /* the same deflated, if that is worth it */
  bool made;
};

static void
text_forget (struct cyc_text *text)
{
  cyi_delta_clear (&text->delta);
  cyi_pack_clear (&text->packed);
  cy__document__init (&text->delta);
  text->made = false;
}

static void
text_free (gpointer data)
{
  struct cyc_text *text = data;
  text_forget (text);
  g_free (text->text);
  g_free (text);
}

void
cyc_children_document (struct cyc_hub *hub, const Cy__Document *document)
{
  if (hub->texts == NULL)
    hub->texts = g_ptr_array_new_with_free_func (text_free);
  for (guint i = 0; i < hub->texts->len; i++)
    text_forget (g_ptr_array_index (hub->texts, i));
  if (hub->texts->len >= TEXTS_KEPT)
    g_ptr_array_remove_index (hub->texts, 0);
  struct cyc_text *text = g_new0 (struct cyc_text, 1);
  cy__document__init (&text->delta);
  text->number = document->number;
  text->text = g_strdup (document->text);
  g_ptr_array_add (hub->texts, text);
}

static void
text_make (struct cyc_text *text, const struct cyc_text *newest)
{
  text->delta.number = newest->number;
  if (text == newest)
    text->delta.text = newest->text;
  else
    {
      cyi_delta_make (text->text, newest->text, &text->delta);
      text->delta.starts_from = text->number;
    }
  if (!cyi_pack (&text->delta, &text->packed))
    text->packed = text->delta;
  text->made = true;
}

/* What makes NEWEST of number HELD, or of nothing.  */
static const Cy__Document *
document_for (struct cyc_hub *hub, uint64_t held, const Cy__Document *newest)
{
  guint count = hub->texts == NULL ? 0 : hub->texts->len;
  struct cyc_text *last
      = count == 0 ? NULL : g_ptr_array_index (hub->texts, count - 1);
  if (last == NULL || last->number != newest->number)
    return newest;
  struct cyc_text *from = last;
  for (guint i = 0; i < count; i++)
    {
      struct cyc_text *text = g_ptr_array_index (hub->texts, i);
      if (text->number == held)
        from = text;
    }
  if (!from->made)
    text_make (from, last);
  return &from->packed;
}

/* True when CHILD is to be sent NEWEST now.  */
static bool
needs_document (const struct cyc_hub *hub, struct cyc_child *child,
                const Cy__Document *newest, cy_time_ns now)
{
  return newest != NULL && hub->document != NULL
         && hub->document->number == newest->number
         && cyi_send_schedule_is_due (&child->sending, newest->number, now);
}

static void
tell (struct cyc_hub *hub, struct cyc_child *child, cy_time_ns now)
{
  Cy__HubView view = CY__HUB_VIEW__INIT;
  Cy__Envelope envelope = CY__ENVELOPE__INIT;
  const Cy__Document *held
      = cyc_hub_serves (hub) ? cyc_hub_document (hub) : NULL;
  fill_controls (hub, &view, now);
  fill_instances (hub, child, &view, now);
  count_entries (hub, child, &view);
  view.n_drained_zones = hub->drained->len;
  view.drained_zones = (char **)hub->drained->pdata;
  view.leaving = hub->leaving;
  view.echo = child->report;
  if (held != NULL)
    view.document_number = held->number;
  if (needs_document (hub, child, held, now))
    {
      view.document
          = (Cy__Document *)document_for (hub, child->sending.held, held);
      cyi_send_schedule_record_sent (&child->sending, held->number, now);
    }
  envelope.body_case = CY__ENVELOPE__BODY_HUB_VIEW;
  envelope.hub_view = &view;
  if (cyn_conn_send (child->conn, &envelope) == CY_OK)
    child->sent = view.sequence;
  child->due = false;
  for (size_t i = 0; i < view.n_controls; i++)
    g_free (view.controls[i]);
  g_free (view.controls);
  g_free (view.instances);
}

void
cyc_children_tell (struct cyc_hub *hub)
{
  cy_time_ns now = cyc_now (hub);
  uint64_t sequence = cyc_register_sequence (hub->reg);
  const Cy__Document *held
      = cyc_hub_serves (hub) ? cyc_hub_document (hub) : NULL;
  struct cyc_child *child = NULL;
  CK_LIST_FOREACH (child, &hub->children, entry)
  {
    if (child->vm == NULL)
      continue;
    bool newer = needs_document (hub, child, held, now);
    if (child->due || newer || child->sent < sequence || hub->told_anew)
      tell (hub, child, now);
  }
  hub->told_anew = false;
}

/* Views that control VMs send to an entry VM.  */

#include <inttypes.h>
#include <jansson.h>
#include <string.h>

#include "base/cyu_log.h"
#include "entry/cye_hub_internal.h"

void
cye_hub_view_declaration_read (struct cye_read_result *read, void *context)
{
  struct cye_hub *hub = context;
  if (read->result == CY_E_AGAIN)
    {
      /* The report contains the version held here, from which the control VM
         computes the next delta.  */
      cye_hub_report_all (hub);
      return;
    }
  if (read->result != CY_OK)
    {
      cyu_log (G_LOG_LEVEL_CRITICAL,
               "declaration %" PRIu64 " of %s cannot be read: %s %s %s",
               read->number, read->host, cy_result_text (read->result),
               read->error.path, read->error.detail);
      return;
    }
  bool first = hub->document == NULL;
  cyi_document_destroy (hub->document);
  hub->document = read->document;
  cym_quota_declare (hub->quota, hub->document, false, cye_hub_now (hub));
  cyu_event (CYU_CHANGE, "declaration_adopted", "{sI si ss ss}", "declaration",
             (json_int_t)hub->document->number, "routes",
             (int)hub->document->routes->len, "from", read->vm, "host",
             read->host);
  if (first)
    cye_hub_report_all (hub);
  else
    hub->change_number++;
  cye_hub_place_update (hub);
}

static bool
same_zones (const GPtrArray *held, const Cy__HubView *view)
{
  if (held->len != view->n_drained_zones)
    return false;
  for (guint i = 0; i < held->len; i++)
    if (strcmp (g_ptr_array_index (held, i), view->drained_zones[i]) != 0)
      return false;
  return true;
}

/* Returns true when the drained zones changed.  */
static bool
apply_drains (struct cye_hub *hub, const Cy__HubView *view)
{
  if (same_zones (hub->drained_zones, view))
    return false;
  g_ptr_array_set_size (hub->drained_zones, 0);
  for (size_t i = 0; i < view->n_drained_zones; i++)
    g_ptr_array_add (hub->drained_zones, g_strdup (view->drained_zones[i]));
  return true;
}

static void
log_link_state (const struct cye_link *link, const Cy__HubView *view)
{
  if (link->view_received && link->isolated == view->isolated
      && link->leaving == view->leaving)
    return;
  cyu_log (G_LOG_LEVEL_INFO, "control VM %s at %s %s",
           link->vm == NULL ? "" : link->vm, link->host,
           view->leaving    ? "leaves"
           : view->isolated ? "is partitioned or not up to date"
                            : "reaches a majority of its peers");
}

void
cye_hub_view (struct cye_hub *hub, struct cye_link *link,
              const Cy__HubView *view)
{
  cy_time_ns now = cye_hub_now (hub);
  uint64_t before = cyc_register_sequence (hub->server_register);
  if (view->n_controls == 0 && !link->view_received)
    return;
  for (size_t i = 0; i < view->n_controls; i++)
    cye_hub_add_control_vm (hub, view->controls[i]->vm,
                            view->controls[i]->region,
                            view->controls[i]->host);
  log_link_state (link, view);
  link->view_received = true;
  link->isolated = view->isolated;
  link->reaches_majority = view->majority;
  link->leaving = view->leaving;
  link->epoch = view->epoch;
  link->sequence = view->sequence;
  for (size_t i = 0; i < view->n_instances; i++)
    cyc_register_instance (hub->server_register, view->instances[i], false,
                           now);
  bool changed = cyc_register_sequence (hub->server_register) != before;
  /* An isolated control VM may lack newer drains.  */
  if (!view->isolated)
    changed = apply_drains (hub, view) || changed;
  if (view->region_entries != hub->region_entries && view->region_entries > 0)
    {
      hub->region_entries = view->region_entries;
      changed = true;
    }
  if (view->document != NULL)
    cye_declaration_reader_submit (hub->declaration_reader, view->document,
                                   link->vm == NULL ? "" : link->vm,
                                   link->host);
  if (changed)
    cye_hub_place_update (hub);
  cye_hub_choose_placer (hub);
}

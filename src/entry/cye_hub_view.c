/* What control VMs tell an entry VM.  */

#include <inttypes.h>
#include <jansson.h>
#include <string.h>

#include "base/cyu_log.h"
#include "entry/cye_hub_internal.h"

void
cye_hub_view_read (struct cye_read *read, void *context)
{
  struct cye_hub *hub = context;
  if (read->result == CY_E_AGAIN)
    {
      cye_hub_report_all (hub); /* says which one is held */
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
    hub->changes++;
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
take_drains (struct cye_hub *hub, const Cy__HubView *view)
{
  if (same_zones (hub->drained, view))
    return false;
  g_ptr_array_set_size (hub->drained, 0);
  for (size_t i = 0; i < view->n_drained_zones; i++)
    g_ptr_array_add (hub->drained, g_strdup (view->drained_zones[i]));
  return true;
}

static void
log_standing (const struct cye_link *link, const Cy__HubView *view)
{
  if (link->told && link->isolated == view->isolated
      && link->leaving == view->leaving)
    return;
  cyu_log (G_LOG_LEVEL_INFO, "control VM %s at %s %s", view->controls[0]->vm,
           link->host,
           view->leaving    ? "leaves"
           : view->isolated ? "is cut off or not up to date"
                            : "is in reach of a majority");
}

void
cye_hub_view (struct cye_hub *hub, struct cye_link *link,
              const Cy__HubView *view)
{
  cy_time_ns now = cye_hub_now (hub);
  uint64_t before = cyc_register_sequence (hub->reg);
  if (view->n_controls == 0)
    return;
  log_standing (link, view);
  for (size_t i = 0; i < view->n_controls; i++)
    cye_hub_know (hub, view->controls[i]->vm, view->controls[i]->region,
                  view->controls[i]->host);
  link->told = true;
  link->isolated = view->isolated;
  link->majority = view->majority;
  link->leaving = view->leaving;
  link->epoch = view->epoch;
  link->sequence = view->sequence;
  for (size_t i = 0; i < view->n_instances; i++)
    cyc_register_instance (hub->reg, view->instances[i], false, now);
  bool changed = cyc_register_sequence (hub->reg) != before;
  /* A control VM that is cut off may not know what was drained since.  */
  if (!view->isolated)
    changed = take_drains (hub, view) || changed;
  if (view->region_entries != hub->region_entries && view->region_entries > 0)
    {
      hub->region_entries = view->region_entries;
      changed = true;
    }
  if (view->document != NULL)
    cye_declaration_reader_take (hub->reading, view->document,
                                 link->vm == NULL ? "" : link->vm, link->host);
  if (changed)
    cye_hub_place_update (hub);
  cye_hub_choose (hub);
}

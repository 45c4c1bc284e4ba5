/* Exchanges with the other control VMs which requests ended backend servers,
   so that each region needs no servers of its own to learn it.  */

#include "base/cyu_server_events.h"
#include "hub/cyc_internal.h"

/* ------------------------------------------------------------ sending */

struct end_collector
{
  GPtrArray *list; /* Cy__PoisonEnd * */
  cy_time_ns now;
};

static void
add_end (const struct cym_poison_end *end, void *context)
{
  const struct end_collector *collector = context;
  Cy__PoisonEnd *copy = g_new (Cy__PoisonEnd, 1);
  cy__poison_end__init (copy);
  copy->work = end->fingerprint;
  copy->instance = g_strdup (end->id);
  copy->born = end->incarnation;
  copy->cleared = end->cleared;
  copy->trial = end->trial;
  copy->age_ms = (uint32_t)(MAX (collector->now - end->at, 0) / CY_NS_PER_MS);
  g_ptr_array_add (collector->list, copy);
}

void
cyc_poison_fill_sync (struct cyc_hub *hub, Cy__HubSync *sync, bool full)
{
  struct end_collector collector = { g_ptr_array_new (), cyc_now (hub) };
  cym_poison_report (cym_match_poison (hub->match), full, collector.now,
                     add_end, &collector);
  sync->n_poison = collector.list->len;
  sync->poison
      = (Cy__PoisonEnd **)(void *)g_ptr_array_free (collector.list, FALSE);
}

void
cyc_poison_clear_sync (Cy__HubSync *sync)
{
  for (size_t i = 0; i < sync->n_poison; i++)
    cy__poison_end__free_unpacked (sync->poison[i], NULL);
  g_free (sync->poison);
}

void
cyc_poison_schedule (struct cyc_hub *hub)
{
  if (cym_poison_is_due (cym_match_poison (hub->match)))
    cyc_hub_schedule_flush (hub);
}

/* ------------------------------------------------------------ receiving */

void
cyc_poison_receive (struct cyc_hub *hub, const Cy__HubSync *sync)
{
  cy_time_ns now = cyc_now (hub);
  for (size_t i = 0; i < sync->n_poison; i++)
    {
      const Cy__PoisonEnd *source = sync->poison[i];
      const struct cym_poison_end end
          = { .fingerprint = source->work,
              .id = source->instance,
              .incarnation = source->born,
              .cleared = source->cleared,
              .trial = source->trial,
              .at = now - source->age_ms * CY_NS_PER_MS };
      cym_match_merge_poison (hub->match, &end, now);
    }
  cyc_poison_schedule (hub);
}

/* ------------------------------------------------------------ events */

static void
log_change (const struct cym_poison_change *change, void *context)
{
  const struct cyu_poison_event event = {
    .fingerprint = change->fingerprint,
    .was_blocked = change->before == CYM_POISON_BLOCKED,
    .is_blocked = change->after == CYM_POISON_BLOCKED,
    .is_suspect = change->after == CYM_POISON_SUSPECT,
    .servers = change->servers,
    .blocked_ms = change->blocked_time / CY_NS_PER_MS,
    .request_id
    = change->cause == NULL ? NULL : cyc_dispatch_request_id (change->cause),
  };
  (void)context;
  cyu_event_poison (&event);
}

void
cyc_poison_attach (struct cyc_hub *hub, struct cym_options *options)
{
  options->on_poison = log_change;
  options->poison_context = hub;
}

/* What backend servers reported about themselves to entry VMs, at the control
   VM that places their requests: that they leave, pauses and limits.  */

#include <jansson.h>

#include "base/cyu_log.h"
#include "base/cyu_metrics.h"
#include "base/cyu_server_events.h"
#include "core/cym_notices.h"
#include "hub/cyc_internal.h"

/* False for a limit that no entry VM reads from an answer.  */
static bool
is_limit_valid (double per_s)
{
  return per_s >= 0 && per_s <= CYM_LIMIT_MAX_PER_S;
}

struct cym_load
cyc_notices_read (const Cy__PlaceDone *done)
{
  return (struct cym_load){
    .known = done->loaded,
    .running = done->running,
    .waiting = done->waiting,
    .slots = done->slots,
    .cold_ms = done->cold_ms,
    .leaving = done->leaving,
    .pause_ms = MIN (done->pause_ms, CYM_PAUSE_MAX_MS),
    .limited = done->limited && is_limit_valid (done->limit_per_s),
    .limit_per_s = done->limit_per_s,
    .unlimited = done->unlimited,
  };
}

void
cyc_notices_mark_leaving (struct cyc_hub *hub, const struct cyc_child *child,
                          const char *id, uint64_t incarnation)
{
  if (cyc_register_leaving (hub->reg, id, incarnation) != CYC_CHANGED)
    return;
  cyu_event (CYU_CHANGE, "server_leaves", "{ss sI ss}", "instance", id, "born",
             (json_int_t)incarnation, "entry_vm",
             child->vm == NULL ? "" : child->vm);
  cyc_hub_schedule_flush (hub);
}

/* Records the limit that an entry VM held when it connected.  */
static void
record_limit (struct cyc_hub *hub, const Cy__ServerNotice *notice)
{
  cy_time_ns confirmed_at
      = cyc_now (hub) - notice->limit_age_ms * CY_NS_PER_MS;
  if (cym_match_record_limit (hub->match, notice->id, notice->born,
                              notice->limit_per_s, confirmed_at, confirmed_at))
    cyu_event_server_limit (notice->id, notice->born, notice->limit_per_s,
                            NULL);
}

void
cyc_notices_receive (struct cyc_hub *hub, const struct cyc_child *child,
                     const Cy__ServerNotice *notice)
{
  struct cym_load load
      = { .leaving = notice->leaving,
          .pause_ms = MIN (notice->pause_ms, CYM_PAUSE_MAX_MS) };
  if (notice->limited && is_limit_valid (notice->limit_per_s))
    record_limit (hub, notice);
  if (notice->leaving)
    cyc_notices_mark_leaving (hub, child, notice->id, notice->born);
  cym_match_notice (hub->match, notice->id, notice->born, child->vm_hash,
                    &load, cyc_now (hub));
}

void
cyc_notices_heartbeat (const struct cyc_hub *hub)
{
  static struct cyu_metric *limited;
  if (limited == NULL)
    limited = cyu_gauge ("cy_hub_limited_servers", "",
                         "Backend servers that limit their requests.");
  cyu_metric_set (limited, cym_match_count_limited (hub->match));
}

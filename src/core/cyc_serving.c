#include "core/cyc_serving.h"

#include <glib.h>

bool
cyc_serving_is_allowed (const struct cyc_serving *serving, cy_time_ns now)
{
  return serving->caught_up || now < serving->disk_allowed_until;
}

bool
cyc_serving_follow (struct cyc_serving *serving, uint64_t applied,
                    uint64_t committed, cy_time_ns now)
{
  if (applied >= serving->reported)
    {
      serving->reported = MAX (committed, applied);
      serving->reported_at = now;
      return false;
    }
  /* Before it is caught up, a VM lacks changes as a matter of course.  */
  if (!serving->caught_up
      || now - serving->reported_at < CYC_LAG_MAX_MS * CY_NS_PER_MS)
    return false;
  serving->caught_up = false;
  serving->disk_allowed_until = 0;
  serving->lags = true;
  return true;
}

void
cyc_serving_catch_up (struct cyc_serving *serving)
{
  serving->caught_up = true;
  serving->lags = false;
}

bool
cyc_serving_update (struct cyc_serving *serving,
                    const struct cyc_serving_input *input, cy_time_ns now)
{
  bool was_allowed = cyc_serving_is_allowed (serving, now);
  if (!input->has_declaration || input->isolated || input->has_leader
      || serving->lags)
    return false;
  serving->disk_allowed_until = now + CYC_SERVE_FROM_DISK_MS * CY_NS_PER_MS;
  return !was_allowed;
}

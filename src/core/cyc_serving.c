#include "core/cyc_serving.h"

bool
cyc_serving_is_allowed (const struct cyc_serving *serving, cy_time_ns now)
{
  return serving->caught_up || now < serving->disk_allowed_until;
}

bool
cyc_serving_update (struct cyc_serving *serving,
                    const struct cyc_serving_input *input, cy_time_ns now)
{
  bool was_allowed = cyc_serving_is_allowed (serving, now);
  if (!input->has_declaration || input->isolated || input->has_leader)
    return false;
  serving->disk_allowed_until = now + CYC_SERVE_FROM_DISK_MS * CY_NS_PER_MS;
  return !was_allowed;
}

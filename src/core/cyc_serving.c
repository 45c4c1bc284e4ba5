#include "core/cyc_serving.h"

bool
cyc_serving_is_allowed (const struct cyc_serving *standing, cy_time_ns now)
{
  return standing->current || now < standing->kept_until;
}

bool
cyc_serving_update (struct cyc_serving *standing,
                    const struct cyc_serving_input *facts, cy_time_ns now)
{
  bool served = cyc_serving_is_allowed (standing, now);
  if (!facts->has_declaration || facts->isolated || facts->led)
    return false;
  standing->kept_until = now + CYC_SERVE_FROM_DISK_MS * CY_NS_PER_MS;
  return !served;
}

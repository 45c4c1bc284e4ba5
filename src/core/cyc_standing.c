#include "core/cyc_standing.h"

bool
cyc_standing_serves (const struct cyc_standing *standing, cy_time_ns now)
{
  return standing->current || now < standing->kept_until;
}

bool
cyc_standing_look (struct cyc_standing *standing,
                   const struct cyc_standing_facts *facts, cy_time_ns now)
{
  bool served = cyc_standing_serves (standing, now);
  if (!facts->has_declaration || facts->isolated || facts->led)
    return false;
  standing->kept_until = now + CYC_KEPT_MS * CY_NS_PER_MS;
  return !served;
}

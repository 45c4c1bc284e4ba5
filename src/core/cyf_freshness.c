#include "core/cyf_freshness.h"

#define PPM 1000000 /* parts in one */

cy_time_ns
cyf_widen_span (cy_time_ns span)
{
  return span + span / (PPM / CYF_DRIFT_PPM) + 1;
}

cy_time_ns
cyf_narrow_span (cy_time_ns span)
{
  return span - span / (PPM / CYF_DRIFT_PPM) - 1;
}

uint64_t
cyf_freshness_record_request (struct cyf_freshness *fresh, cy_time_ns now)
{
  uint64_t number = ++fresh->next;
  fresh->asked[number % CYF_REQUESTS_MAX] = now;
  return number;
}

bool
cyf_freshness_request_time (const struct cyf_freshness *fresh, uint64_t number,
                            cy_time_ns *asked)
{
  if (number == 0 || number > fresh->next
      || number + CYF_REQUESTS_MAX <= fresh->next)
    return false;
  *asked = fresh->asked[number % CYF_REQUESTS_MAX];
  return true;
}

bool
cyf_freshness_confirm (struct cyf_freshness *fresh, uint64_t number,
                       cy_time_ns age)
{
  cy_time_ns asked;
  if (age < 0 || !cyf_freshness_request_time (fresh, number, &asked))
    return false;
  cy_time_ns since = asked - cyf_widen_span (age);
  if (fresh->confirmed && since <= fresh->since)
    return true;
  fresh->confirmed = true;
  fresh->since = since;
  return true;
}

cy_time_ns
cyf_freshness_age (const struct cyf_freshness *fresh, cy_time_ns now)
{
  if (!fresh->confirmed)
    return CYF_AGE_UNKNOWN;
  return cyf_widen_span (now - fresh->since);
}

#include "core/cyf_freshness.h"

#define PPM 1000000 /* 1 in parts per million */

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
cyf_freshness_record_request (struct cyf_freshness *freshness, cy_time_ns now)
{
  uint64_t number = ++freshness->last_number;
  freshness->sent_at[number % CYF_REQUESTS_MAX] = now;
  return number;
}

bool
cyf_freshness_request_time (const struct cyf_freshness *freshness,
                            uint64_t number, cy_time_ns *sent_at)
{
  if (number == 0 || number > freshness->last_number
      || number + CYF_REQUESTS_MAX <= freshness->last_number)
    return false;
  *sent_at = freshness->sent_at[number % CYF_REQUESTS_MAX];
  return true;
}

bool
cyf_freshness_confirm (struct cyf_freshness *freshness, uint64_t number,
                       cy_time_ns age)
{
  cy_time_ns sent_at;
  if (age < 0 || !cyf_freshness_request_time (freshness, number, &sent_at))
    return false;
  cy_time_ns confirmed_at = sent_at - cyf_widen_span (age);
  if (freshness->confirmed && confirmed_at <= freshness->confirmed_at)
    return true;
  freshness->confirmed = true;
  freshness->confirmed_at = confirmed_at;
  return true;
}

cy_time_ns
cyf_freshness_age (const struct cyf_freshness *freshness, cy_time_ns now)
{
  if (!freshness->confirmed)
    return CYF_AGE_UNKNOWN;
  return cyf_widen_span (now - freshness->confirmed_at);
}

#include "core/cym_limit.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/* Time for which unused requests are kept, s.  */
#define BURST_S 0.25

bool
cym_limit_parse (const char *text, double *per_s)
{
  char *end = NULL;
  if (!g_ascii_isdigit (text[0]) || text[strspn (text, "0123456789.")] != '\0')
    return false;
  double value = g_ascii_strtod (text, &end);
  if (*end != '\0' || value > CYM_LIMIT_MAX_PER_S)
    return false;
  *per_s = value;
  return true;
}

void
cym_limit_init (struct cym_limit *limit)
{
  *limit = (struct cym_limit){ .per_s = INFINITY };
}

bool
cym_limit_record (struct cym_limit *limit, double per_s, cy_time_ns sent_at,
                  cy_time_ns received_at)
{
  double before = limit->per_s;
  bool was_set = cym_limit_is_set (limit);
  if (per_s > before)
    {
      if (sent_at <= limit->confirmed_at)
        return false;
      limit->raised_for = sent_at;
    }
  else if (received_at < limit->raised_for)
    return false;
  limit->per_s = per_s;
  limit->confirmed_at = MAX (limit->confirmed_at, received_at);
  if (!was_set)
    {
      limit->tokens = 0;
      limit->refilled_at = received_at;
    }
  return per_s < before || per_s > before;
}

bool
cym_limit_is_set (const struct cym_limit *limit)
{
  return isfinite (limit->per_s);
}

double
cym_limit_rate (const struct cym_limit *limit, double share)
{
  return fmax (limit->per_s, CYM_LIMIT_PROBE_PER_S) * share;
}

bool
cym_limit_allows (struct cym_limit *limit, double share, cy_time_ns now)
{
  if (!cym_limit_is_set (limit))
    return true;
  double rate = cym_limit_rate (limit, share);
  double elapsed_s = (double)(now - limit->refilled_at) / (double)CY_NS_PER_S;
  if (elapsed_s > 0)
    {
      limit->tokens
          = fmin (limit->tokens + elapsed_s * rate, 1 + rate * BURST_S);
      limit->refilled_at = now;
    }
  return limit->tokens >= 1;
}

void
cym_limit_take (struct cym_limit *limit)
{
  limit->tokens -= 1;
}

#include "core/cym_limit.h"

#include <glib.h>
#include <math.h>
#include <string.h>

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
  return per_s < before || per_s > before;
}

bool
cym_limit_is_set (const struct cym_limit *limit)
{
  return isfinite (limit->per_s);
}

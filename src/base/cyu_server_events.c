#include "base/cyu_server_events.h"

#include <jansson.h>
#include <math.h>

#include "base/cyu_log.h"

void
cyu_event_server_limit (const char *id, uint64_t incarnation, double per_s,
                        const char *request_id)
{
  if (isfinite (per_s))
    cyu_event (CYU_FAULT, "server_limited", "{ss sI sf ss?}", "instance", id,
               "born", (json_int_t)incarnation, "per_s", per_s, "request",
               request_id);
  else
    cyu_event (CYU_FAULT, "server_unlimited", "{ss sI ss?}", "instance", id,
               "born", (json_int_t)incarnation, "request", request_id);
}

#include "base/cyu_server_events.h"

#include <glib.h>
#include <inttypes.h>
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

void
cyu_event_poison (const struct cyu_poison_event *event)
{
  enum cyu_event_class event_class
      = event->is_blocked || event->was_blocked ? CYU_CHANGE : CYU_FAULT;
  const char *event_name = event->is_blocked   ? "poison_blocked"
                           : event->is_suspect ? "poison_suspect"
                                               : "poison_cleared";
  char fingerprint[20];
  if (event_class != CYU_CHANGE && !cyu_event_wanted (event_class, event_name))
    return;
  g_snprintf (fingerprint, sizeof fingerprint, "%016" PRIx64,
              event->fingerprint);
  cyu_event (event_class, event_name, "{ss si sI ss?}", "fingerprint",
             fingerprint, "servers", (int)event->servers, "blocked_ms",
             (json_int_t)event->blocked_ms, "request", event->request_id);
}

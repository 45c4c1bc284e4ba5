#include "entry/cye_leave.h"

#include <glib.h>

void
cye_leave_begin (struct cye_leave *leave, cy_time_ns grace, cy_time_ns now)
{
  leave->began_at = now;
  leave->last_busy = now;
  leave->grace = grace;
}

bool
cye_leave_takes_connections (const struct cye_leave *leave, cy_time_ns now)
{
  return leave->began_at == 0
         || now - leave->began_at < CYE_LEAVE_CONNECTIONS_MS * CY_NS_PER_MS;
}

bool
cye_leave_takes_requests (const struct cye_leave *leave, cy_time_ns now)
{
  cy_time_ns limit = MIN (CYE_LEAVE_REQUESTS_MS * CY_NS_PER_MS,
                          leave->grace / CYE_LEAVE_GRACE_DIVISOR);
  return leave->began_at == 0 || now - leave->began_at < limit;
}

bool
cye_leave_is_over (struct cye_leave *leave, int64_t open_requests,
                   cy_time_ns now)
{
  cy_time_ns elapsed = now - leave->began_at;
  if (open_requests > 0)
    leave->last_busy = now;
  bool is_idle = now - leave->last_busy >= CYE_LEAVE_IDLE_MS * CY_NS_PER_MS;
  return (is_idle && elapsed >= CYE_LEAVE_MIN_MS * CY_NS_PER_MS)
         || elapsed >= leave->grace - CYE_LEAVE_MARGIN_MS * CY_NS_PER_MS;
}

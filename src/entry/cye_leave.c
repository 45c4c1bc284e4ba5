#include "entry/cye_leave.h"

#include <glib.h>

/* Upper bound of expected times; no request may take longer.  */
#define CYE_LEAVE_NS_MAX (3600 * CY_NS_PER_S)

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

cy_time_ns
cye_leave_answers_at (const struct cye_leave *leave)
{
  return leave->began_at + leave->grace - CYE_LEAVE_MARGIN_MS * CY_NS_PER_MS;
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
         || elapsed >= leave->grace - CYE_LEAVE_END_MS * CY_NS_PER_MS;
}

bool
cye_leave_may_pass_on (cy_time_ns answers_at,
                       const struct cye_leave_request *request, cy_time_ns now)
{
  cy_time_ns left = answers_at - now;
  if (answers_at == 0 || request->deadline <= answers_at)
    return true;
  if (request->answer_ns < 0 || request->body_ns < 0)
    return false;
  cy_time_ns body_ns = MIN (request->body_ns, CYE_LEAVE_NS_MAX);
  cy_time_ns answer_ns = MIN (request->answer_ns, CYE_LEAVE_NS_MAX);
  return left >= CYE_LEAVE_LEAST_MS * CY_NS_PER_MS
         && left >= body_ns + CYE_LEAVE_FACTOR * answer_ns;
}

cy_time_ns
cye_leave_body_ns (int64_t length, uint64_t received, cy_time_ns elapsed)
{
  if (length < 0)
    return CYE_LEAVE_UNKNOWN;
  if (received >= (uint64_t)length)
    return 0;
  if (received == 0)
    return CYE_LEAVE_UNKNOWN;
  double left = (double)((uint64_t)length - received) / (double)received;
  return (cy_time_ns)MIN (left * (double)elapsed, (double)CYE_LEAVE_NS_MAX);
}

#include "core/cyi_send_schedule.h"

static bool
has_passed (cy_time_ns since, cy_time_ns now)
{
  return now - since > CYI_SEND_REPORT_TIMEOUT_MS * CY_NS_PER_MS;
}

void
cyi_send_schedule_record_held (struct cyi_send_schedule *to, uint64_t held)
{
  if (held != to->held)
    to->behind = 0;
  to->held = held;
}

bool
cyi_send_schedule_is_due (struct cyi_send_schedule *to, uint64_t newest,
                          cy_time_ns now)
{
  if (newest <= to->held)
    {
      to->behind = 0;
      return false;
    }
  if (to->behind == 0)
    to->behind = now;
  /* It is on its way, unless the entry VM has got another one meanwhile, from
     which this one cannot be made.  */
  if (to->sent == newest && to->sent_over == to->held)
    return has_passed (to->sent_at, now);
  bool from_here = to->sent != 0 && to->held == to->sent;
  return to->attached || from_here || has_passed (to->behind, now);
}

void
cyi_send_schedule_record_sent (struct cyi_send_schedule *to, uint64_t newest,
                               cy_time_ns now)
{
  to->sent = newest;
  to->sent_over = to->held;
  to->sent_at = now;
}

#include "core/cyi_send_schedule.h"

static bool
has_timed_out (cy_time_ns start, cy_time_ns now)
{
  return now - start > CYI_SEND_REPORT_TIMEOUT_MS * CY_NS_PER_MS;
}

void
cyi_send_schedule_record_held (struct cyi_send_schedule *schedule,
                               uint64_t held)
{
  if (held != schedule->held_number)
    schedule->outdated_since = 0;
  schedule->held_number = held;
}

bool
cyi_send_schedule_is_due (struct cyi_send_schedule *schedule, uint64_t newest,
                          cy_time_ns now)
{
  if (newest <= schedule->held_number)
    {
      schedule->outdated_since = 0;
      return false;
    }
  if (schedule->outdated_since == 0)
    schedule->outdated_since = now;
  /* NEWEST is in transit, unless the entry VM has reported another declaration
     since NEWEST was sent: the delta that was sent does not apply to that
     declaration.  */
  if (schedule->sent_number == newest
      && schedule->held_at_send == schedule->held_number)
    return has_timed_out (schedule->sent_at, now);
  bool sent_by_us = schedule->sent_number != 0
                    && schedule->held_number == schedule->sent_number;
  return schedule->attached || sent_by_us
         || has_timed_out (schedule->outdated_since, now);
}

void
cyi_send_schedule_record_sent (struct cyi_send_schedule *schedule,
                               uint64_t newest, cy_time_ns now)
{
  schedule->sent_number = newest;
  schedule->held_at_send = schedule->held_number;
  schedule->sent_at = now;
}

#include "core/cyc_view_schedule.h"

bool
cyc_view_schedule_is_due (const struct cyc_view_schedule *schedule,
                          uint64_t sequence)
{
  return cyc_view_schedule_has_server (schedule, sequence);
}

bool
cyc_view_schedule_has_server (const struct cyc_view_schedule *schedule,
                              uint64_t sequence)
{
  return schedule->wants_servers && sequence > schedule->sent_sequence;
}

bool
cyc_view_schedule_has_controls (const struct cyc_view_schedule *schedule,
                                uint64_t controls)
{
  return controls != schedule->sent_controls;
}

uint64_t
cyc_view_schedule_sequence (const struct cyc_view_schedule *schedule,
                            uint64_t sequence)
{
  return schedule->wants_servers ? sequence : schedule->sent_sequence;
}

void
cyc_view_schedule_record_sent (struct cyc_view_schedule *schedule,
                               uint64_t sequence, uint64_t controls)
{
  schedule->sent_sequence = cyc_view_schedule_sequence (schedule, sequence);
  schedule->sent_controls = controls;
}

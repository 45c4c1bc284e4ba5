/* What a control VM has sent to one entry VM on its connection, and what the
   next view must contain.  Most of the control VMs that an entry VM is
   connected to only have to be alive: they send neither the servers nor,
   again, the list of control VMs.  Pure.  */

#ifndef CYC_VIEW_SCHEDULE_H
#define CYC_VIEW_SCHEDULE_H

#include <stdbool.h>
#include <stdint.h>

/* Zeros at the start of a connection.  */
struct cyc_view_schedule
{
  bool wants_servers;     /* this control VM places the entry VM's requests, or
                             would be next, or nobody does */
  uint64_t sent_sequence; /* changes of the register that were sent */
  uint64_t sent_controls; /* hash of the control VMs sent last, 0: none */
};

/* True when a view is due for a register at SEQUENCE.  */
bool cyc_view_schedule_is_due (const struct cyc_view_schedule *schedule,
                               uint64_t sequence);

/* True when the next view lists a server that changed at SEQUENCE.  */
bool cyc_view_schedule_has_server (const struct cyc_view_schedule *schedule,
                                   uint64_t sequence);

/* True when the next view lists the control VMs with hash CONTROLS.  */
bool cyc_view_schedule_has_controls (const struct cyc_view_schedule *schedule,
                                     uint64_t controls);

/* Returns the sequence that the next view of a register at SEQUENCE brings the
   entry VM to.  */
uint64_t cyc_view_schedule_sequence (const struct cyc_view_schedule *schedule,
                                     uint64_t sequence);

/* Records that a view of a register at SEQUENCE was sent.  */
void cyc_view_schedule_record_sent (struct cyc_view_schedule *schedule,
                                    uint64_t sequence, uint64_t controls);

#endif /* CYC_VIEW_SCHEDULE_H */

/* Decides when a control VM sends the newest declaration to an entry VM that
   holds an older one.  The control VM that places the entry VM's requests
   sends at once, and so does the one that sent the declaration which the entry
   VM holds.  The other control VMs send only when the entry VM stays outdated:
   otherwise all of them would send the same declaration at the same time and
   fill a slow link for seconds.  A declaration in transit is not sent again
   before CYI_SEND_REPORT_TIMEOUT_MS.  */

#ifndef CYI_SEND_SCHEDULE_H
#define CYI_SEND_SCHEDULE_H

#include <stdbool.h>
#include <stdint.h>

#include "core/cy_clock.h"

/* Time in which an entry VM must report a declaration that was sent to it: 300
   KB take that long on a link of 2 Mbit/s.  */
#define CYI_SEND_REPORT_TIMEOUT_MS 1200

/* What a control VM stores of one entry VM.  */
struct cyi_send_schedule
{
  bool attached; /* this control VM places the entry VM's requests */
  uint64_t
      held_number; /* declaration number that the entry VM reported, 0: none */
  /* Time at which this control VM first had a newer declaration than the entry
     VM, 0 when the entry VM holds the newest.  */
  cy_time_ns outdated_since;
  uint64_t sent_number;  /* number sent last on this connection, 0: none */
  uint64_t held_at_send; /* number that the entry VM held at SENT_AT */
  cy_time_ns sent_at;    /* time at which SENT_NUMBER was sent */
};

/* Records that the entry VM reported number HELD.  */
void cyi_send_schedule_record_held (struct cyi_send_schedule *schedule,
                                    uint64_t held);

/* Returns true when declaration NEWEST must be sent now.  Call it as soon
   as there is a newer declaration, and again as time passes.  */
bool cyi_send_schedule_is_due (struct cyi_send_schedule *schedule,
                               uint64_t newest, cy_time_ns now);

/* Records that declaration NEWEST was sent at NOW.  */
void cyi_send_schedule_record_sent (struct cyi_send_schedule *schedule,
                                    uint64_t newest, cy_time_ns now);

#endif /* CYI_SEND_SCHEDULE_H */

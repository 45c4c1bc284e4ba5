/* When a control VM sends an entry VM the declaration that it lacks.  The one
   that places its requests does so at once, and one from which it got the
   declaration that it holds; the others only when it stays behind: otherwise
   all send the same at the same time, and a slow link is full for seconds.
   What is on its way is not sent again until it should have come.  Pure.  */

#ifndef CYI_SEND_SCHEDULE_H
#define CYI_SEND_SCHEDULE_H

#include <stdbool.h>
#include <stdint.h>

#include "core/cy_clock.h"

#define CYI_SEND_REPORT_TIMEOUT_MS                                            \
  1200 /* ms that an entry VM has to report a declaration it was sent: the    \
          time that 300 KB take on a link of 2 Mbit/s */

/* One entry VM, as its control VM sees it.  */
struct cyi_send_schedule
{
  bool attached;      /* its requests are placed here */
  uint64_t held;      /* number that it reported, 0: none */
  cy_time_ns behind;  /* since when it holds that though there is a newer one,
                         0: it does not */
  uint64_t sent;      /* number sent last on this connection, 0: none */
  uint64_t sent_over; /* what it held by then */
  cy_time_ns sent_at;
};

/* It reported that it holds number HELD.  */
void cyi_send_schedule_record_held (struct cyi_send_schedule *to,
                                    uint64_t held);

/* True when declaration NEWEST is to be sent.  Called as soon as there is a
   newer one, and again as time passes.  */
bool cyi_send_schedule_is_due (struct cyi_send_schedule *to, uint64_t newest,
                               cy_time_ns now);

/* It was sent.  */
void cyi_send_schedule_record_sent (struct cyi_send_schedule *to,
                                    uint64_t newest, cy_time_ns now);

#endif /* CYI_SEND_SCHEDULE_H */

/* Course of a planned stop of an entry VM: until when it takes new connections
   and new requests, and when it ends.  Pure.  */

#ifndef CYE_LEAVE_H
#define CYE_LEAVE_H

#include <stdbool.h>
#include <stdint.h>

#include "core/cy_clock.h"

/* Time after the start of a planned stop until which new connections are
   taken, ms: callers with a cached lookup still come.  */
#define CYE_LEAVE_CONNECTIONS_MS 2300

/* Time after the start until which requests are taken, ms, and the part of the
   grace time after which none is taken in any case.  Requests that come later
   on open connections are refused as not run, so that callers send them
   elsewhere while there is time.  */
#define CYE_LEAVE_REQUESTS_MS   2900
#define CYE_LEAVE_GRACE_DIVISOR 2

/* Shortest planned stop, ms.  */
#define CYE_LEAVE_MIN_MS 2600

/* Time without an open request after which a planned stop may end, ms.  */
#define CYE_LEAVE_IDLE_MS 150

/* Time before the end of the grace time at which the planned stop ends, ms. */
#define CYE_LEAVE_MARGIN_MS 400

struct cye_leave
{
  cy_time_ns began_at;  /* 0: no planned stop */
  cy_time_ns last_busy; /* latest check with an open request */
  cy_time_ns grace;     /* ns from the start until the process is killed */
};

void cye_leave_begin (struct cye_leave *leave, cy_time_ns grace,
                      cy_time_ns now);
bool cye_leave_takes_connections (const struct cye_leave *leave,
                                  cy_time_ns now);
bool cye_leave_takes_requests (const struct cye_leave *leave, cy_time_ns now);

/* True when the planned stop ends, with OPEN_REQUESTS being served.  */
bool cye_leave_is_over (struct cye_leave *leave, int64_t open_requests,
                        cy_time_ns now);

#endif /* CYE_LEAVE_H */

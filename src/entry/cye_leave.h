/* Course of a planned stop of an entry VM: until when it takes new connections
   and new requests, which of these it passes on, and when it ends.  Pure.  */

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

/* Time before the end of the grace time at which open requests get an answer
   of the entry VM, and at which the planned stop ends, ms.  The time between
   them is for sending the answers.  */
#define CYE_LEAVE_MARGIN_MS 400
#define CYE_LEAVE_END_MS    200

/* Least time left with which a request is passed on, ms: covers two losses of
   a TCP segment, which is sent again after 200 and 400 ms.  */
#define CYE_LEAVE_LEAST_MS 600

/* Multiple of the expected time to answer that must be left.  On the users'
   routes work spreads by 0.15 of its mean, so more than twice the mean is
   rare. Idempotent requests are judged alike: the time until the answer fails
   to come is lost to their callers too.  */
#define CYE_LEAVE_FACTOR 2

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

/* Monotonic time at which the requests that are still open get an answer of
   the entry VM.  */
cy_time_ns cye_leave_answers_at (const struct cye_leave *leave);

/* True when the planned stop ends, with OPEN_REQUESTS being served.  */
bool cye_leave_is_over (struct cye_leave *leave, int64_t open_requests,
                        cy_time_ns now);

/* What is known of a request that is about to be passed on.  */
struct cye_leave_request
{
  cy_time_ns deadline;  /* monotonic */
  cy_time_ns answer_ns; /* expected time to answer, CYE_LEAVE_UNKNOWN */
  cy_time_ns body_ns;   /* expected time until the body ends, 0: it has ended,
                           CYE_LEAVE_UNKNOWN */
};

#define CYE_LEAVE_UNKNOWN (-1)

/* True when REQUEST may be passed on at NOW: its answer can be expected before
   ANSWERS_AT, or its deadline is earlier.  ANSWERS_AT 0: no planned stop.  A
   request of which too little is known is not passed on; its caller gets an
   answer faster from another entry VM than it may get here.  */
bool cye_leave_may_pass_on (cy_time_ns answers_at,
                            const struct cye_leave_request *request,
                            cy_time_ns now);

/* Expected time until a body ends of which RECEIVED of LENGTH bytes came in
   ELAPSED.  LENGTH below 0: the length is not known.  */
cy_time_ns cye_leave_body_ns (int64_t length, uint64_t received,
                              cy_time_ns elapsed);

#endif /* CYE_LEAVE_H */

/* Limit of a backend server: the requests per second that it takes from all
   entry VMs together, as it reports in its answers.  A matcher may use a share
   of the limit; the shares of all matchers add up to 1.  Pure, no locking.  */

#ifndef CYM_LIMIT_H
#define CYM_LIMIT_H

#include <stdbool.h>

#include "core/cy_clock.h"

/* Largest limit that is accepted, requests/s.  */
#define CYM_LIMIT_MAX_PER_S 1e9

/* Time for which a limit is kept that no answer confirms, at an entry VM and
   at a matcher that does not have the server in its register, s.  */
#define CYM_LIMIT_KEPT_S 60

/* Rate at which a server gets requests whose limit is lower, requests/s: an
   answer has to show when it ends.  */
#define CYM_LIMIT_PROBE_PER_S 0.1

/* Limit of one incarnation of a server.  */
struct cym_limit
{
  double per_s; /* requests/s, INFINITY: no limit */
  /* Latest time at which an answer confirmed the limit, 0: never.  */
  cy_time_ns confirmed_at;
  /* Time of sending of the request with which the limit was last raised or
     lifted, 0: never.  */
  cy_time_ns raised_for;
  double tokens;          /* requests that may be placed now */
  cy_time_ns refilled_at; /* time up to which tokens were added */
};

/* Parses the value of the header, requests per second with an optional
   fraction, into *PER_S.  Returns false if TEXT is no such number.  */
bool cym_limit_parse (const char *text, double *per_s);

/* Sets LIMIT to that of a server that has reported none.  */
void cym_limit_init (struct cym_limit *limit);

/* Records PER_S, INFINITY for none, from the answer to a request that was sent
   at SENT_AT; the answer came at RECEIVED_AT.  Answers may arrive in another
   order than the server sent them: a lower limit counts at once, a higher one
   only if the request was sent after the held limit was last confirmed.
   Returns true when the limit has changed.  */
bool cym_limit_record (struct cym_limit *limit, double per_s,
                       cy_time_ns sent_at, cy_time_ns received_at);

/* True when LIMIT is a limit.  */
bool cym_limit_is_set (const struct cym_limit *limit);

/* Requests per second that a matcher with SHARE of LIMIT may place.  */
double cym_limit_rate (const struct cym_limit *limit, double share);

/* True when a matcher with SHARE of LIMIT may place a request at NOW.  */
bool cym_limit_allows (struct cym_limit *limit, double share, cy_time_ns now);

/* Counts a request that was placed.  */
void cym_limit_take (struct cym_limit *limit);

#endif /* CYM_LIMIT_H */

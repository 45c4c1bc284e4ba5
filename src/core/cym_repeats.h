/* Budget of repeats: requests that are sent to a second backend server, as a
   share of the requests of the service in a window and a fixed part besides.
   It holds for every span of a window's length, wherever it begins, against
   the requests of the window around the span's start: when a repeat is allowed
   nobody knows whether requests will go on.

   Each placer counts what it places.  All take the same window, so the budget
   holds for their sum however the requests are split between them and whenever
   they move; with the best of several windows each, regions whose loads rise
   and fall in turn would sum to more than the fleet's best window.
   Pure, one thread at a time.  */

#ifndef CYM_REPEATS_H
#define CYM_REPEATS_H

#include <stdbool.h>
#include <stdint.h>

#include "core/cy_clock.h"

#define CYM_REPEATS_SLICES 20                               /* of the window */
#define CYM_REPEATS_KEPT   (3 * CYM_REPEATS_SLICES / 2 + 1) /* slices */

/* How many repeats are allowed.  */
struct cym_repeat_bounds
{
  cy_time_ns window;
  double ratio; /* of the requests in the window */
  double fixed; /* besides, in any window */
};

struct cym_repeats
{
  uint32_t requests[CYM_REPEATS_KEPT];
  uint32_t repeats[CYM_REPEATS_KEPT];
  int64_t slice;    /* number of the newest slice since time 0 */
  cy_time_ns since; /* of the first request counted, 0: none yet */
};

/* A request came in.  */
void cym_repeats_request (struct cym_repeats *repeats,
                          const struct cym_repeat_bounds *bounds,
                          cy_time_ns now);

/* Takes one repeat; false when the budget is spent.  SHARE: part of the fixed
   repeats that is this counter's, 0 to 1.  A counter that has begun less than
   a window ago may follow another one that spent its part, so the fixed part
   comes in over the first window.  */
bool cym_repeats_take (struct cym_repeats *repeats,
                       const struct cym_repeat_bounds *bounds, double share,
                       cy_time_ns now);

#endif /* CYM_REPEATS_H */

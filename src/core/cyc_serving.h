/* Whether entry VMs may use the declaration that a control VM holds.

   A control VM that has held all that a leader had goes on serving it, cut off
   or not.  One that has just started holds what its disk says, which may be
   behind; it serves that while a majority of the control VMs is in reach and
   none of them is a leader, as after a loss of power at all VMs.  */

#ifndef CYC_SERVING_H
#define CYC_SERVING_H

#include <stdbool.h>

#include "core/cy_clock.h"

/* ms that it goes on serving from the disk once somebody leads, until it has
   heard all that the leader has: a beat of 250, two ways between regions, and
   the same again when a message is lost.  */
#define CYC_SERVE_FROM_DISK_MS 1500

struct cyc_serving
{
  bool caught_up; /* has held all that a leader had since the start */
  cy_time_ns disk_allowed_until; /* serves from the disk, 0: never did */
};

struct cyc_serving_input
{
  bool has_declaration;
  bool isolated;   /* reaches no majority of the control VMs */
  bool has_leader; /* a control VM in reach leads and is ready */
};

/* Takes in FACTS; returns true when it begins to serve from the disk.  */
bool cyc_serving_update (struct cyc_serving *standing,
                         const struct cyc_serving_input *facts,
                         cy_time_ns now);

/* True when entry VMs may use the declaration.  */
bool cyc_serving_is_allowed (const struct cyc_serving *standing,
                             cy_time_ns now);

#endif /* CYC_SERVING_H */

/* Whether entry VMs may use the declaration that a control VM holds.

   A control VM that has held all that a leader had goes on serving it, cut off
   or not.  One that has just started holds what its disk says, which may be
   behind; it serves that while a majority of the control VMs is in reach and
   none of them is a leader, as after a loss of power at all VMs.  */

#ifndef CYC_STANDING_H
#define CYC_STANDING_H

#include <stdbool.h>

#include "core/cy_clock.h"

/* ms that it goes on serving from the disk once somebody leads, until it has
   heard all that the leader has: a beat of 250, two ways between regions, and
   the same again when a message is lost.  */
#define CYC_KEPT_MS 1500

struct cyc_standing
{
  bool current;          /* has held all that a leader had since the start */
  cy_time_ns kept_until; /* serves from the disk, 0: never did */
};

struct cyc_standing_facts
{
  bool has_declaration;
  bool isolated; /* reaches no majority of the control VMs */
  bool led;      /* a control VM in reach leads and is ready */
};

/* Takes in FACTS; returns true when it begins to serve from the disk.  */
bool cyc_standing_look (struct cyc_standing *standing,
                        const struct cyc_standing_facts *facts,
                        cy_time_ns now);

/* True when entry VMs may use the declaration.  */
bool cyc_standing_serves (const struct cyc_standing *standing, cy_time_ns now);

#endif /* CYC_STANDING_H */

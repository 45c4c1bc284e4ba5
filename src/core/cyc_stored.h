/* Follows up to which change of a register the departures in it are on disk.
   Changes have increasing sequence numbers; departures are written under
   increasing tickets.  Pure.  */

#ifndef CYC_STORED_H
#define CYC_STORED_H

#include <stdbool.h>
#include <stdint.h>

struct cyc_stored
{
  uint64_t sequence;         /* the departures up to it are on disk */
  uint64_t waiting_sequence; /* the next value of SEQUENCE */
  uint64_t waiting_ticket;   /* last ticket of its departures */
  bool waits;                /* the two fields above are valid */
};

/* Applies that the register is at SEQUENCE, that the departures up to it have
   tickets up to TICKET, and that tickets up to WRITTEN are on disk.  Returns
   true when stored->sequence has increased.  */
bool cyc_stored_follow (struct cyc_stored *stored, uint64_t sequence,
                        uint64_t ticket, uint64_t written);

#endif /* CYC_STORED_H */

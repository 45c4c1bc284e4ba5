/* Counters of the connections to other processes, summed over all connections
   of this process and exported as metrics.  Any thread.  */

#ifndef CYN_COUNTERS_H
#define CYN_COUNTERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "cy.pb-c.h"
#include "cy_result.h"

struct cyn_counters
{
  uint64_t frames_in;
  uint64_t frames_out;
  uint64_t bytes_in;
  uint64_t bytes_out;
  uint64_t refused[10]; /* index: result - CY_E_FRAME_MAGIC */
};
void cyn_counters_read (struct cyn_counters *counters);

void cyn_count_read (size_t bytes);
void cyn_count_written (size_t bytes);
void cyn_count_frame_in (void);

/* Counts MESSAGE, a frame of BYTES, by its kind.  OTHER_ZONE: the receiver is
   in another availability zone.  */
void cyn_count_frame_out (const Cy__Envelope *message, size_t bytes,
                          bool other_zone);

/* Counts a closed connection if REASON is an invalid frame, and does nothing
   for other reasons.  */
void cyn_count_refused (cy_result reason);

#endif /* CYN_COUNTERS_H */

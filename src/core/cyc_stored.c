#include "core/cyc_stored.h"

bool
cyc_stored_follow (struct cyc_stored *stored, uint64_t sequence,
                   uint64_t ticket, uint64_t written)
{
  uint64_t before = stored->sequence;
  if (stored->waits && written >= stored->waiting_ticket)
    {
      stored->sequence = stored->waiting_sequence;
      stored->waits = false;
    }
  if (!stored->waits && sequence > stored->sequence)
    {
      stored->waits = written < ticket;
      stored->waiting_sequence = sequence;
      stored->waiting_ticket = ticket;
      if (!stored->waits)
        stored->sequence = sequence;
    }
  return stored->sequence > before;
}

#include "core/cyi_sending.h"

static bool
has_passed (cy_time_ns since, cy_time_ns now)
{
  return now - since > CYI_SENDING_MS * CY_NS_PER_MS;
}

bool
cyi_sending_due (const struct cyi_sending *to, uint64_t newest,
                 cy_time_ns since, cy_time_ns now)
{
  if (newest <= to->held)
    return false;
  /* It is on its way, unless the entry VM has got another one meanwhile, from
     which this one cannot be made.  */
  if (to->sent == newest && to->sent_over == to->held)
    return has_passed (to->sent_at, now);
  cy_time_ns begun = since > to->opened ? since : to->opened;
  return to->attached || has_passed (begun, now);
}

void
cyi_sending_note (struct cyi_sending *to, uint64_t newest, cy_time_ns now)
{
  to->sent = newest;
  to->sent_over = to->held;
  to->sent_at = now;
}

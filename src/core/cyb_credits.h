/* The zone's ledger of slot credits: how many requests each entry VM may have
   in flight at each backend server of the availability zone.  Does not lock:
   one thread.

   The credits of a backend server never exceed its slots.  They are leased:
   an entry VM that is gone gives them back by its lease's end.  While there
   is room, an entry VM gets what it asks for and some to spare; under
   contention the credits of a service are shared out max-min fairly between
   the entry VMs that want them, and what one holds above its share is
   recalled.

   A ledger that starts does not know what an earlier one granted: it accepts
   what entry VMs say they hold and grants nothing new for one lease.  When
   some entry VMs of the zone ask another zone process, it leaves their part
   of the slots alone.  */

#ifndef CYB_CREDITS_H
#define CYB_CREDITS_H

#include <stdbool.h>
#include <stdint.h>

#include "core/cy_clock.h"
#include "cy.pb-c.h"

#define CYB_CREDITS_LEASE_MS        2000 /* ms, as entry VMs count it */
#define CYB_CREDITS_LEASE_MARGIN_MS 500  /* ms, longer at the ledger */
#define CYB_CREDITS_MIN_HOLD_MS                                               \
  20 /* ms that a scarce credit stays at least                                \
      */

struct cyb_credits;

struct cyb_credits *cyb_credits_create (const struct cy_clock *clock);
void cyb_credits_destroy (struct cyb_credits *ledger);

/* Update from the register of backend servers: begin, put each, end.  */
void cyb_credits_begin (struct cyb_credits *ledger);
void cyb_credits_put (struct cyb_credits *ledger,
                      const Cy__BackendStatus *status);
void cyb_credits_end (struct cyb_credits *ledger);

/* Entry VMs that the zone knows, whether or not they ask here.  */
void cyb_credits_set_entries (struct cyb_credits *ledger, uint32_t known);

/* Takes the ask of ENTRY and fills ANSWER, which the caller clears with
   cyb_credits_answer_clear.  */
void cyb_credits_request (struct cyb_credits *ledger, const char *entry,
                          const Cy__SlotAsk *ask, Cy__SlotAnswer *answer);
void cyb_credits_answer_clear (Cy__SlotAnswer *answer);

/* Gives ENTRY credits that came free since its last ask, as another answer to
   that; false when there are none.  */
bool cyb_credits_top_up (struct cyb_credits *ledger, const char *entry,
                         Cy__SlotAnswer *answer);

/* Calls EACH for every entry VM that holds more than it should by now and was
   not told yet.  */
typedef void (*cyb_recall_fn) (const char *entry, const Cy__SlotAnswer *answer,
                               void *context);
void cyb_credits_recall (struct cyb_credits *ledger, cyb_recall_fn recall,
                         void *context);

/* Takes back the credits whose lease has ended.  */
void cyb_credits_expire (struct cyb_credits *ledger);

/* Credits given out at INSTANCE of SERVICE, over all entry VMs.  */
uint32_t cyb_credits_granted (const struct cyb_credits *ledger,
                              const char *service, const char *instance);

#endif /* CYB_CREDITS_H */

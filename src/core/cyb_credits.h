/* Ledger of an availability zone's slot credits: how many requests each entry
   VM may have in flight at each backend server of the zone.  Not thread-safe.

   The granted credits of a backend server never exceed its slots.  Credits are
   leased, so those of a disconnected entry VM become free at the end of their
   lease.  While slots are free, an entry VM gets the credits it requests and
   some spare ones.  Under contention the credits of a service are divided
   max-min fairly between the entry VMs with demand, and credits that an entry
   VM holds above its share are recalled.

   A new ledger has no record of credits that an earlier one granted.  For one
   lease it accepts the credits that entry VMs report and grants no others.  If
   some entry VMs of the zone send their requests to another zone process, the
   ledger grants only its part of the slots: the part is proportional to the
   number of entry VMs that send their requests to this ledger.  */

#ifndef CYB_CREDITS_H
#define CYB_CREDITS_H

#include <stdbool.h>
#include <stdint.h>

#include "core/cy_clock.h"
#include "cy.pb-c.h"

#define CYB_CREDITS_LEASE_MS        2000 /* lease, counted by entry VMs */
#define CYB_CREDITS_LEASE_MARGIN_MS 500  /* lease extension at the ledger */
#define CYB_CREDITS_MIN_HOLD_MS     20   /* a scarce credit stays this long */

struct cyb_credits;

struct cyb_credits *cyb_credits_create (const struct cy_clock *clock);
void cyb_credits_destroy (struct cyb_credits *ledger);

/* Updates the ledger from the register of backend servers: one call of begin,
   one put for each server, one call of end.  A server that was not put is
   removed once none of its credits is granted.  */
void cyb_credits_begin_update (struct cyb_credits *ledger);
void cyb_credits_put_server (struct cyb_credits *ledger,
                             const Cy__BackendStatus *status);
void cyb_credits_end_update (struct cyb_credits *ledger);

/* Sets the number of the zone's entry VMs, including those that send their
   requests to another zone process.  */
void cyb_credits_set_entry_count (struct cyb_credits *ledger, uint32_t count);

/* Processes ASK, a request of the entry VM ENTRY, and writes ANSWER, which the
   caller clears by cyb_credits_answer_clear.  */
void cyb_credits_request (struct cyb_credits *ledger, const char *entry,
                          const Cy__SlotAsk *ask, Cy__SlotAnswer *answer);
void cyb_credits_answer_clear (Cy__SlotAnswer *answer);

/* Grants ENTRY credits that became free since its last request and writes them
   to ANSWER, a further answer to that request.  Returns false, with nothing to
   clear, if none became free.  */
bool cyb_credits_grant_freed (struct cyb_credits *ledger, const char *entry,
                              Cy__SlotAnswer *answer);

/* Calls RECALL for every entry VM whose credits have been reduced since the
   last answer or recall to it.  ANSWER is valid during the call only.  */
typedef void (*cyb_recall_fn) (const char *entry, const Cy__SlotAnswer *answer,
                               void *context);
void cyb_credits_send_recalls (struct cyb_credits *ledger,
                               cyb_recall_fn recall, void *context);

/* Frees the credits whose lease has ended.  */
void cyb_credits_expire (struct cyb_credits *ledger);

/* Number of credits granted at INSTANCE of SERVICE, over all entry VMs.  */
uint32_t cyb_credits_granted (const struct cyb_credits *ledger,
                              const char *service, const char *instance);

#endif /* CYB_CREDITS_H */

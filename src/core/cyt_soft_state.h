/* Table of soft objects: measurements and announcements of VMs, which are not
   stored on disk.

   A table has an epoch, which identifies the process incarnation or term that
   assigns the sequence numbers, and a sequence number that every change
   increases.  A child with the table's epoch and a known sequence number
   receives a delta; any other child receives the full table.  Keys:
   entry/VM, backend/SERVICE/INSTANCE, zone/ZONE, plan/SERVICE/ORIGIN.
   Not thread-safe.  */

#ifndef CYT_SOFT_STATE_H
#define CYT_SOFT_STATE_H

#include <stdbool.h>
#include <stdint.h>

#include "core/cy_clock.h"
#include "cy.pb-c.h"
#include "cy_result.h"

struct cyt_soft_state;

/* Returns an empty table; the caller frees it with cyt_soft_state_destroy.  */
struct cyt_soft_state *cyt_soft_state_create (uint64_t epoch);
/* Frees SOFT; NULL is allowed.  */
void cyt_soft_state_destroy (struct cyt_soft_state *soft);

uint64_t cyt_soft_state_epoch (const struct cyt_soft_state *soft);
uint64_t cyt_soft_state_sequence (const struct cyt_soft_state *soft);

/* Stores a copy of OBJECT under its key until EXPIRES_AT (0: no expiry).
   Returns true when the content changed; only then the sequence number
   increases.  */
bool cyt_soft_state_put (struct cyt_soft_state *soft, const Cy__Object *object,
                         cy_time_ns expires_at);

/* Removes the object of KEY.  Returns false when there is none.  */
bool cyt_soft_state_remove (struct cyt_soft_state *soft, const char *key);

/* Removes the expired objects and returns their number.  */
uint32_t cyt_soft_state_expire (struct cyt_soft_state *soft, cy_time_ns now);

/* Returns the object of KEY, owned by SOFT, or NULL when there is none.  */
const Cy__Object *cyt_soft_state_get (const struct cyt_soft_state *soft,
                                      const char *key);

/* Calls EACH for every object whose key starts with PREFIX, in the order of
   the keys, until EACH returns false.  */
typedef bool (*cyt_each_fn) (const Cy__Object *object, void *context);
void cyt_soft_state_each (const struct cyt_soft_state *soft,
                          const char *prefix, cyt_each_fn each, void *context);

/* Fills the soft fields of ANSWER with the changes after (EPOCH, SEQUENCE), or
   with the full table, of objects that FILTER accepts (NULL: all).  Removed
   keys of a delta are always included.  The objects belong to SOFT;
   cyt_soft_state_answer_clear frees the array.  */
typedef bool (*cyt_filter_fn) (const Cy__Object *object, void *context);
void cyt_soft_state_delta (const struct cyt_soft_state *soft, uint64_t epoch,
                           uint64_t sequence, cyt_filter_fn filter,
                           void *context, Cy__SyncAnswer *answer);
void cyt_soft_state_answer_clear (Cy__SyncAnswer *answer);

/* Applies the soft fields of a parent's answer.  Returns CY_E_AGAIN when
   ANSWER is a delta of another epoch or of a later sequence number.  */
cy_result cyt_soft_state_sync (struct cyt_soft_state *soft,
                               const Cy__SyncAnswer *answer);

#endif /* CYT_SOFT_STATE_H */

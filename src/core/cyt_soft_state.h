/* Soft objects: what VMs measure and announce, kept by nobody on disk.

   A table has an epoch, which names the process incarnation or term that
   numbers it, and a sequence that every change raises.  A child that holds
   (epoch, sequence) gets a delta, any other the whole table.  Keys:
   entry/VM, backend/SERVICE/INSTANCE, zone/ZONE, plan/SERVICE/ORIGIN.
   One thread at a time.  */

#ifndef CYT_SOFT_STATE_H
#define CYT_SOFT_STATE_H

#include <stdbool.h>
#include <stdint.h>

#include "core/cy_clock.h"
#include "cy.pb-c.h"
#include "cy_result.h"

struct cyt_soft_state;

struct cyt_soft_state *cyt_soft_state_create (uint64_t epoch);
void cyt_soft_state_destroy (struct cyt_soft_state *soft);

uint64_t cyt_soft_state_epoch (const struct cyt_soft_state *soft);
uint64_t cyt_soft_state_sequence (const struct cyt_soft_state *soft);

/* Puts a copy of OBJECT; it goes away unless put again before EXPIRES (0:
   stays).  Returns true when the content changed: only then does the
   sequence rise.  */
bool cyt_soft_state_put (struct cyt_soft_state *soft, const Cy__Object *object,
                         cy_time_ns expires);
bool cyt_soft_state_remove (struct cyt_soft_state *soft, const char *key);

/* Removes what has expired; returns how many.  */
uint32_t cyt_soft_state_expire (struct cyt_soft_state *soft, cy_time_ns now);

const Cy__Object *cyt_soft_state_get (const struct cyt_soft_state *soft,
                                      const char *key);
typedef bool (*cyt_each_fn) (const Cy__Object *object, void *context);
void cyt_soft_state_each (const struct cyt_soft_state *soft,
                          const char *prefix, cyt_each_fn each, void *context);

/* Fills ANSWER's soft fields with what follows (EPOCH, SEQUENCE) among keys
   that WANTED accepts (NULL: all).  Objects borrowed; the array is freed by
   cyt_soft_state_answer_clear.  */
typedef bool (*cyt_wanted_fn) (const Cy__Object *object, void *context);
void cyt_soft_state_delta (const struct cyt_soft_state *soft, uint64_t epoch,
                           uint64_t sequence, cyt_wanted_fn wanted,
                           void *context, Cy__SyncAnswer *answer);
void cyt_soft_state_answer_clear (Cy__SyncAnswer *answer);

/* Applies the soft part of a parent's answer.  CY_E_AGAIN when it does not
   fit what is held.  */
cy_result cyt_soft_state_sync (struct cyt_soft_state *soft,
                               const Cy__SyncAnswer *answer);

#endif /* CYT_SOFT_STATE_H */

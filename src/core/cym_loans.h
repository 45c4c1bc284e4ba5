/* Slots of the own servers that other regions may use.  A loan names a region
   and one incarnation of a server: one that starts anew under the same name
   owes nothing of what was lent before.  */

#ifndef CYM_LOANS_H
#define CYM_LOANS_H

#include "core/cym_match.h"

#define CYM_LOAN_LEAST 0.3 /* wanted slots below which nothing is lent */

struct cym_loan
{
  char region[CYM_NAME_MAX];
  char server[CYM_NAME_MAX];
  char service[CYM_NAME_MAX];
  uint64_t born; /* of the server */
  uint32_t slots;
};

/* What a region is lent of one service, in slots, as it moves from beat to
   beat.  */
struct cym_loan_target
{
  double kept; /* for requests that only the lender may serve */
  double held; /* for those that find no room at home */
};

/* Moves WANT one beat towards HOMED and SPILL slots; returns the sum in whole
   slots.  Requests that only the lender may serve shift from nowhere, so they
   get theirs at once; the others move in steps.  */
uint32_t cym_loan_target_step (struct cym_loan_target *want, double homed,
                               double spill);

/* Part of the HOMED slots that other regions want here for requests that only
   this one may serve, 0 to 1: as much as the own callers get of what they
   want, here or on loan elsewhere.  The own slots alone are no measure, as
   those of the own callers that find no room can go elsewhere.  */
double cym_loan_target_fair_share (const struct cym_demand *demand,
                                   double homed);

struct cym_loans;

/* MATCH belongs to the caller and lives longer.  */
struct cym_loans *cym_loans_create (struct cym_match *match);
void cym_loans_destroy (struct cym_loans *loans);

/* Brings what REGION has on loan of SERVICE to SLOTS, or as near as the
   servers allow.  */
void cym_loans_set (struct cym_loans *loans, const char *region,
                    const char *service, uint32_t slots, cy_time_ns now);

/* Calls EACH for every loan of at least one slot.  */
typedef void (*cym_loan_fn) (const struct cym_loan *loan, void *context);
void cym_loans_each (const struct cym_loans *loans, cym_loan_fn each,
                     void *context);

#endif /* CYM_LOANS_H */

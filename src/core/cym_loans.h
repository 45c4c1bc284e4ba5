/* Loans: slots of local servers that other regions may use.  A loan names the
   borrowing region and one incarnation of a server.  When a server restarts
   under the same name, the loans of the earlier incarnation end.  */

#ifndef CYM_LOANS_H
#define CYM_LOANS_H

#include "core/cym_match.h"

/* Needed slots below which nothing is lent.  */
#define CYM_LOAN_MIN_SLOTS 0.3

/* Slots of one server that are on loan to one region.  */
struct cym_loan
{
  char region[CYM_NAME_MAX]; /* the borrower */
  char server[CYM_NAME_MAX]; /* id of the local server */
  char service[CYM_NAME_MAX];
  uint64_t
      incarnation; /* start time of the server in Unix ms, its incarnation */
  uint32_t slots;
};

/* Slots of one service that one region should have on loan.  Changes at each
   heartbeat interval.  */
struct cym_loan_target
{
  double remote_only; /* for requests that only the lender may serve */
  double spillover;   /* for requests that find no free slot in their region */
};

/* Moves TARGET for one heartbeat interval towards the needed slots,
   REMOTE_ONLY and SPILLOVER.  Returns the sum in whole slots.  Requests that
   only the lender may serve have no other place, so their part grows at once;
   it shrinks in steps, and the spillover part grows and shrinks in steps.  */
uint32_t cym_loan_target_step (struct cym_loan_target *target,
                               double remote_only, double spillover);

/* Returns the ratio, 0 to 1, of the REMOTE_ONLY slots that other regions need
   here for requests which only this region may serve: the same ratio as local
   callers get of the slots that they need, local or borrowed ones.  Local
   slots alone would give too low a ratio, as local callers can move to other
   regions when no local slot is free.  */
double cym_loan_target_fair_share (const struct cym_demand *demand,
                                   double remote_only);

struct cym_loans;

/* MATCH belongs to the caller and outlives the loans.  */
struct cym_loans *cym_loans_create (struct cym_match *match);

/* Frees LOANS, which may be NULL.  */
void cym_loans_destroy (struct cym_loans *loans);

/* Changes the loans of SERVICE to REGION until they add up to SLOTS, or to
   fewer if the local servers have no more to lend.  */
void cym_loans_set (struct cym_loans *loans, const char *region,
                    const char *service, uint32_t slots, cy_time_ns now);

/* Calls EACH for every loan of at least one slot.  */
typedef void (*cym_loan_fn) (const struct cym_loan *loan, void *context);
void cym_loans_each (const struct cym_loans *loans, cym_loan_fn each,
                     void *context);

#endif /* CYM_LOANS_H */

/* Slots of the own servers that other regions may use.  A loan names a region
   and one incarnation of a server: one that starts anew under the same name
   owes nothing of what was lent before.  */

#ifndef CYM_LOANS_H
#define CYM_LOANS_H

#include "core/cym_match.h"

struct cym_loan
{
  char region[CYM_NAME_MAX];
  char server[CYM_NAME_MAX];
  char service[CYM_NAME_MAX];
  uint64_t born; /* of the server */
  uint32_t slots;
};

struct cym_loans;

/* MATCH belongs to the caller and lives longer.  */
struct cym_loans *cym_loans_create (struct cym_match *match);
void cym_loans_destroy (struct cym_loans *loans);

/* Brings what REGION has on loan of SERVICE to SLOTS, or as near as the
   servers allow.  */
void cym_loans_bring (struct cym_loans *loans, const char *region,
                      const char *service, uint32_t slots, cy_time_ns now);

/* Calls EACH for every loan of at least one slot.  */
typedef void (*cym_loan_fn) (const struct cym_loan *loan, void *context);
void cym_loans_each (const struct cym_loans *loans, cym_loan_fn each,
                     void *context);

#endif /* CYM_LOANS_H */

/* Retry budget: allows retries for a share of the requests only, so that
   retries do not multiply an overload.  Any thread, without a lock.  */

#ifndef CYE_BUDGET_H
#define CYE_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#define CYE_BUDGET_MAX 20   /* retries that the budget can hold */
#define CYE_BUDGET_ONE 1000 /* units per retry */

struct cye_budget
{
  int64_t milli_retries; /* atomic: budget in thousandths of a retry */
};

/* Adds SHARE of one retry to the budget; called once per request.  */
void cye_budget_earn (struct cye_budget *budget, double share);

/* Takes one retry from the budget; false when the budget is below one.  */
bool cye_budget_spend (struct cye_budget *budget);

#endif /* CYE_BUDGET_H */

#include "entry/cye_budget.h"

#include <ck_pr.h>

static bool
swap_if_unchanged (struct cye_budget *budget, int64_t old, int64_t value)
{
  return ck_pr_cas_64 ((uint64_t *)&budget->milli_retries, (uint64_t)old,
                       (uint64_t)value);
}

void
cye_budget_earn (struct cye_budget *budget, double share)
{
  int64_t old = 0;
  int64_t value = 0;
  do
    {
      old = (int64_t)ck_pr_load_64 ((uint64_t *)&budget->milli_retries);
      value = old + (int64_t)(share * CYE_BUDGET_ONE);
      if (value > (int64_t)CYE_BUDGET_MAX * CYE_BUDGET_ONE)
        value = (int64_t)CYE_BUDGET_MAX * CYE_BUDGET_ONE;
    }
  while (value != old && !swap_if_unchanged (budget, old, value));
}

bool
cye_budget_spend (struct cye_budget *budget)
{
  int64_t old = 0;
  do
    {
      old = (int64_t)ck_pr_load_64 ((uint64_t *)&budget->milli_retries);
      if (old < CYE_BUDGET_ONE)
        return false;
    }
  while (!swap_if_unchanged (budget, old, old - CYE_BUDGET_ONE));
  return true;
}

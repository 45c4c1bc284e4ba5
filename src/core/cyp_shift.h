/* Rate limit on traffic shifts between availability zones.

   Traffic is described by a vector of weights over availability zones whose
   sum is at most 1; the part missing from 1 is refused.  The added share of a
   step is the sum of all increases of weights.  In any period of CAP.window,
   the total of the added shares is at most CAP.fraction.

   The weight of a lost zone may drop to 0 at once, since the zone serves
   nothing.  Other zones receive that traffic only within the cap; the rest is
   refused until a later window.  Refused traffic that is assigned to a zone
   again counts as added too.

   The planner applies this limit to its plan, and every entry VM applies it to
   its own lookups.  The added share of all traffic in a window is the mean of
   the entry VMs' added shares, weighted by their traffic, so it is within the
   cap when every entry VM is.  */

#ifndef CYP_SHIFT_H
#define CYP_SHIFT_H

#include <stdbool.h>

#include "core/cy_clock.h"

#define CYP_ZONES_MAX  128  /* maximum number of availability zones */
#define CYP_LEDGER_MAX 32   /* maximum number of entries of a ledger */
#define CYP_WEIGHT_MIN 1e-6 /* share; smaller weights count as 0 */

/* Cap declared by an operator: at most FRACTION (0 to 1) of the traffic may
   move in any period of WINDOW ns.  */
struct cyp_cap
{
  double fraction;
  cy_time_ns window;
};

/* Traffic added to zones at one time.  */
struct cyp_ledger_entry
{
  cy_time_ns time;
  double amount; /* added share, 0 to 1 */
};

/* Shares added within the last window, oldest first.  */
struct cyp_ledger
{
  unsigned count;
  struct cyp_ledger_entry entries[CYP_LEDGER_MAX];
};

/* Returns the share that may be added now.  */
double cyp_ledger_remaining (const struct cyp_ledger *ledger,
                             const struct cyp_cap *cap, cy_time_ns now);

/* Records that the share AMOUNT was added at NOW.  */
void cyp_ledger_add (struct cyp_ledger *ledger, const struct cyp_cap *cap,
                     double amount, cy_time_ns now);

/* Current weights and the ledger of their increases.  */
struct cyp_shift
{
  bool started; /* WEIGHT is valid */
  struct cyp_ledger ledger;
  double weight[CYP_ZONES_MAX]; /* share by zone, 0 to 1 */
};

/* Sets the weights to TARGET without a limit, for a service that has no
   traffic yet.  */
void cyp_shift_start (struct cyp_shift *shift, const double *target,
                      unsigned zones);

/* Moves the weights of ZONES zones towards TARGET as far as CAP allows now.
   LOST marks zones whose weight is set to 0 at once; it may be NULL.  Returns
   the added share.  */
double cyp_shift_step (struct cyp_shift *shift, const double *target,
                       const bool *lost, unsigned zones,
                       const struct cyp_cap *cap, cy_time_ns now);

#endif /* CYP_SHIFT_H */

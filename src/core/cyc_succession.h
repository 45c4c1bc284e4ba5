/* Chooses the member of the log that is removed because another one has taken
   its place, without an operator.  Works in any order of a replacement: cyc_
   admission replaces a member that was gone before its successor asked to
   join, this module one that ends afterwards.

   A member that joins with an empty folder is a newcomer until one that is
   gone has been removed for it; the log keeps that, so that it outlasts a
   change of the leader and a restart.  A member without a successor is never
   removed, nor one whose removal leaves a majority no larger than the number
   of disks that may be lost.  Pure.  */

#ifndef CYC_SUCCESSION_H
#define CYC_SUCCESSION_H

#include "core/cyc_voters.h"

/* Time without a message after which a member gives way to a newcomer of its
   availability zone, s.  One that stops as planned does so at once.  */
#define CYC_SUCCESSION_TIMEOUT_S 3

/* Time without a message after which a member whose availability zone has no
   live voter gives way to a newcomer of another one, and after which a
   newcomer gives up a place that it has not taken, s.  */
#define CYC_SUCCESSION_LATE_TIMEOUT_S 20

struct cyc_succession
{
  const Cy__Member *removed; /* NULL: none */
  uint64_t successor;        /* newcomer that takes the place of REMOVED, 0: no
                                newcomer is needed for it */
};

/* Chooses among MEMBERS, as SELF, the leader, knows them from VMS, of which
   there are COUNT.  SELF is never removed.  */
struct cyc_succession cyc_succession_choose (const Cy__MemberSet *members,
                                             const struct cyc_voters_vm *vms,
                                             size_t count, uint64_t self,
                                             size_t spare_disks,
                                             cy_time_ns now);

#endif /* CYC_SUCCESSION_H */

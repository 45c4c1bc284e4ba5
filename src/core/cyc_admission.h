/* Chooses the next control VM that becomes a member of the log, without an
   operator, and the member that it replaces if that one is gone already.  One
   that goes later is the matter of cyc_succession.

   Candidates take turns, so that one whose admission fails does not keep the
   others out.  A retired id never becomes a member again; a control VM that
   has one joins again under a new id.  */

#ifndef CYC_ADMISSION_H
#define CYC_ADMISSION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/cyc_voters.h"

/* Time without a message after which a member is replaced by a candidate of
   its zone, s.  */
#define CYC_REPLACE_TIMEOUT_S 5

enum cyc_admission_kind
{
  CYC_ADMISSION_NONE,
  CYC_ADMISSION_ADD,
  CYC_ADMISSION_REPLACE
};

struct cyc_admission
{
  enum cyc_admission_kind kind;
  size_t candidate;           /* index of the VM; not with NONE */
  const Cy__Member *replaced; /* removed in the same step; with REPLACE */
};

/* Chooses among VMS, of which there are COUNT.  SELF is the id of the leader,
   which is never replaced; a majority has to be larger than SPARE_DISKS after
   a replacement.  */
struct cyc_admission cyc_admission_choose (const Cy__MemberSet *members,
                                           const struct cyc_voters_vm *vms,
                                           size_t count, uint64_t self,
                                           size_t spare_disks, cy_time_ns now);

#endif /* CYC_ADMISSION_H */

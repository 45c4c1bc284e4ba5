#include "core/cyc_admission.h"

#include <stdbool.h>
#include <string.h>

static bool
is_member (const Cy__MemberSet *members, uint64_t id)
{
  for (size_t i = 0; i < members->n_members; i++)
    if (members->members[i]->id == id)
      return true;
  return false;
}

static bool
is_retired (const Cy__MemberSet *members, uint64_t id)
{
  for (size_t i = 0; i < members->n_retired; i++)
    if (members->retired[i] == id)
      return true;
  return false;
}

static bool
may_join (const Cy__MemberSet *members, const struct cyc_voters_vm *vm)
{
  return vm->is_candidate && vm->member != 0
         && !is_member (members, vm->member)
         && !is_retired (members, vm->member);
}

/* True when MEMBER, which VM reported, has been silent for too long and is of
   the zone of CANDIDATE.  */
static bool
is_silent_in_zone (const struct cyc_voters_vm *vm,
                   const struct cyc_voters_vm *candidate, cy_time_ns now)
{
  return vm != NULL && vm->zone != NULL && candidate->zone != NULL
         && strcmp (vm->zone, candidate->zone) == 0
         && now - vm->last_received > CYC_REPLACE_TIMEOUT_S * CY_NS_PER_S;
}

/* Returns the member that CANDIDATE replaces: the one at its address, which
   has lost its disk, or a silent one of its zone.  A founder takes nobody's
   place.  NULL if there is none.  */
static const Cy__Member *
find_replaced (const Cy__MemberSet *members, const struct cyc_voters_vm *vms,
               size_t count, const struct cyc_voters_vm *candidate,
               uint64_t self, size_t spare_disks, cy_time_ns now)
{
  const Cy__Member *silent = NULL;
  for (size_t i = 0; i < members->n_members; i++)
    {
      const Cy__Member *member = members->members[i];
      if (member->id == self
          || !cyc_voters_may_remove (members, member, spare_disks))
        continue;
      if (strcmp (member->host, candidate->host) == 0)
        return member;
      if (silent == NULL && candidate->is_fresh
          && is_silent_in_zone (cyc_voters_find_vm (vms, count, member->id),
                                candidate, now))
        silent = member;
    }
  return silent;
}

struct cyc_admission
cyc_admission_choose (const Cy__MemberSet *members,
                      const struct cyc_voters_vm *vms, size_t count,
                      uint64_t self, size_t spare_disks, cy_time_ns now)
{
  struct cyc_admission admission = { .kind = CYC_ADMISSION_NONE };
  const struct cyc_voters_vm *next = NULL;
  for (size_t i = 0; i < count; i++)
    if (may_join (members, &vms[i])
        && (next == NULL || vms[i].tried_at < next->tried_at))
      next = &vms[i];
  if (next == NULL)
    return admission;
  admission.candidate = (size_t)(next - vms);
  admission.replaced
      = find_replaced (members, vms, count, next, self, spare_disks, now);
  admission.kind
      = admission.replaced != NULL ? CYC_ADMISSION_REPLACE : CYC_ADMISSION_ADD;
  return admission;
}

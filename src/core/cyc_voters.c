#include "core/cyc_voters.h"

const struct cyc_voters_vm *
cyc_voters_find_vm (const struct cyc_voters_vm *vms, size_t count, uint64_t id)
{
  for (size_t i = 0; i < count; i++)
    if (vms[i].member == id)
      return &vms[i];
  return NULL;
}

bool
cyc_voters_is_live (const struct cyc_voters_vm *vms, size_t count,
                    uint64_t self, uint64_t id)
{
  const struct cyc_voters_vm *vm = cyc_voters_find_vm (vms, count, id);
  return id == self || (vm != NULL && vm->is_live);
}

struct cyc_voters
cyc_voters_count (const Cy__MemberSet *members,
                  const struct cyc_voters_vm *vms, size_t count, uint64_t self)
{
  struct cyc_voters voters = { 0 };
  for (size_t i = 0; i < members->n_members; i++)
    {
      const Cy__Member *member = members->members[i];
      if (!member->voter)
        continue;
      voters.count++;
      voters.live += cyc_voters_is_live (vms, count, self, member->id);
    }
  size_t majority = voters.count / 2 + 1;
  voters.losses_borne = voters.live > majority ? voters.live - majority : 0;
  return voters;
}

bool
cyc_voters_may_remove (const Cy__MemberSet *members, const Cy__Member *member,
                       size_t spare_disks)
{
  size_t others = 0;
  if (!member->voter)
    return true;
  for (size_t i = 0; i < members->n_members; i++)
    others += members->members[i] != member && members->members[i]->voter;
  return others / 2 + 1 > spare_disks;
}

#include "core/cyc_succession.h"

#include <string.h>

struct situation
{
  const Cy__MemberSet *members;
  const struct cyc_voters_vm *vms;
  size_t count;
  uint64_t self;
  cy_time_ns now;
};

/* Returns the VM of MEMBER: the one that reported its id, else the one at its
   address, which has reported nothing yet or another id after it lost its
   disk.  NULL if there is none.  */
static const struct cyc_voters_vm *
find_vm (const struct situation *situation, const Cy__Member *member)
{
  const struct cyc_voters_vm *vm
      = cyc_voters_find_vm (situation->vms, situation->count, member->id);
  for (size_t i = 0; vm == NULL && i < situation->count; i++)
    if (strcmp (situation->vms[i].host, member->host) == 0)
      vm = &situation->vms[i];
  return vm;
}

/* Returns the zone of MEMBER, "" if it is not known.  Founders have none in
   the log.  */
static const char *
zone_of (const struct situation *situation, const Cy__Member *member)
{
  const struct cyc_voters_vm *vm = find_vm (situation, member);
  if (member->zone[0] != '\0')
    return member->zone;
  return vm == NULL || vm->zone == NULL ? "" : vm->zone;
}

static bool
is_live_voter (const struct situation *situation, const Cy__Member *member)
{
  return member->voter
         && cyc_voters_is_live (situation->vms, situation->count,
                                situation->self, member->id);
}

/* Returns how long MEMBER has been silent, 0 if it lives or if it is not known
   since when.  */
static cy_time_ns
silence_of (const struct situation *situation, const Cy__Member *member)
{
  const struct cyc_voters_vm *vm = find_vm (situation, member);
  if (vm == NULL || vm->is_live)
    return 0;
  return situation->now - vm->last_received;
}

static bool
is_leaving (const struct situation *situation, const Cy__Member *member)
{
  const struct cyc_voters_vm *vm = find_vm (situation, member);
  return vm != NULL && vm->is_leaving;
}

/* True when another member has the address of MEMBER, whose folder is lost. */
static bool
is_superseded (const struct situation *situation, const Cy__Member *member)
{
  for (size_t i = 0; i < situation->count; i++)
    {
      const struct cyc_voters_vm *vm = &situation->vms[i];
      if (!vm->is_live || vm->member == member->id
          || strcmp (vm->host, member->host) != 0)
        continue;
      for (size_t k = 0; k < situation->members->n_members; k++)
        if (situation->members->members[k]->id == vm->member)
          return true;
    }
  return false;
}

/* Returns a newcomer that may take the place of MEMBER, NULL if there is none.
   ZONE, NULL: any, is the zone in which it must be.  */
static const Cy__Member *
find_newcomer (const struct situation *situation, const Cy__Member *member,
               const char *zone)
{
  for (size_t i = 0; i < situation->members->n_members; i++)
    {
      const Cy__Member *other = situation->members->members[i];
      if (other != member && other->newcomer
          && is_live_voter (situation, other)
          && (zone == NULL || strcmp (zone_of (situation, other), zone) == 0))
        return other;
    }
  return NULL;
}

static const Cy__Member *
find_live_voter (const struct situation *situation, const char *zone)
{
  for (size_t i = 0; i < situation->members->n_members; i++)
    {
      const Cy__Member *member = situation->members->members[i];
      if (is_live_voter (situation, member)
          && strcmp (zone_of (situation, member), zone) == 0)
        return member;
    }
  return NULL;
}

/* Returns the newcomer that takes the place of MEMBER, which is silent or
   leaves; NULL if MEMBER stays.  */
static const Cy__Member *
find_successor (const struct situation *situation, const Cy__Member *member)
{
  const char *zone = zone_of (situation, member);
  cy_time_ns silence = silence_of (situation, member);
  const Cy__Member *successor = NULL;
  if (zone[0] != '\0'
      && (is_leaving (situation, member)
          || silence >= CYC_SUCCESSION_TIMEOUT_S * CY_NS_PER_S))
    successor = find_newcomer (situation, member, zone);
  if (successor == NULL
      && silence >= CYC_SUCCESSION_LATE_TIMEOUT_S * CY_NS_PER_S
      && (zone[0] == '\0' || find_live_voter (situation, zone) == NULL))
    successor = find_newcomer (situation, member, NULL);
  return successor;
}

/* Returns a voter in whose favour MEMBER gives up the place that it has not
   taken yet: the VM whose place it was to take is there or has been replaced
   by another one.  */
static const Cy__Member *
find_keeper (const struct situation *situation, const Cy__Member *member)
{
  if (!member->newcomer
      || silence_of (situation, member)
             < CYC_SUCCESSION_LATE_TIMEOUT_S * CY_NS_PER_S)
    return NULL;
  return find_live_voter (situation, zone_of (situation, member));
}

struct cyc_succession
cyc_succession_choose (const Cy__MemberSet *members,
                       const struct cyc_voters_vm *vms, size_t count,
                       uint64_t self, size_t spare_disks, cy_time_ns now)
{
  struct cyc_succession succession = { NULL, 0 };
  struct situation situation = { members, vms, count, self, now };
  cy_time_ns longest = -1;
  for (size_t i = 0; i < members->n_members; i++)
    {
      const Cy__Member *member = members->members[i];
      if (member->id == self
          || !cyc_voters_may_remove (members, member, spare_disks))
        continue;
      if (is_superseded (&situation, member)
          || find_keeper (&situation, member) != NULL)
        return (struct cyc_succession){ member, 0 };
      const Cy__Member *successor = find_successor (&situation, member);
      cy_time_ns silence = silence_of (&situation, member);
      if (successor == NULL || silence <= longest)
        continue;
      longest = silence;
      succession = (struct cyc_succession){ member, successor->id };
    }
  return succession;
}

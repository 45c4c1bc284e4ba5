/* Counts the voters of the log, those that live, and how many more may be lost
   before no majority is left.  Pure.  */

#ifndef CYC_VOTERS_H
#define CYC_VOTERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/cy_clock.h"
#include "cy.pb-c.h"

/* Control VM as its messages describe it.  */
struct cyc_voters_vm
{
  uint64_t member;          /* id in the log, 0: unknown */
  const char *host;         /* address */
  const char *zone;         /* NULL: unknown */
  bool is_live;             /* its last message is recent */
  bool is_candidate;        /* lives and asks to become a member */
  bool is_fresh;            /* joins with an empty folder, does not found */
  bool is_leaving;          /* stops as planned */
  cy_time_ns last_received; /* time of its last message; at least the time from
                               which on this VM could have received one */
  cy_time_ns tried_at;      /* time of its last admission, 0: never */
};

struct cyc_voters
{
  size_t count;
  size_t live;         /* those that live, this VM included */
  size_t losses_borne; /* voters that may be lost until no majority lives */
};

/* Returns the VM that reported member id ID, NULL if none did.  */
const struct cyc_voters_vm *
cyc_voters_find_vm (const struct cyc_voters_vm *vms, size_t count,
                    uint64_t id);

/* True when the member ID lives: it is SELF or one of VMS that lives.  */
bool cyc_voters_is_live (const struct cyc_voters_vm *vms, size_t count,
                         uint64_t self, uint64_t id);

/* Counts the voters of MEMBERS, as SELF knows them from VMS, of which there
   are COUNT.  */
struct cyc_voters cyc_voters_count (const Cy__MemberSet *members,
                                    const struct cyc_voters_vm *vms,
                                    size_t count, uint64_t self);

/* True when a majority is larger than SPARE_DISKS also without MEMBER.  */
bool cyc_voters_may_remove (const Cy__MemberSet *members,
                            const Cy__Member *member, size_t spare_disks);

#endif /* CYC_VOTERS_H */

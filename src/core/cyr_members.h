/* Member sets of the replicated log: which control VMs vote, which only
   learn, and which data folder each voter is bound to.  Sets are immutable: a
   membership change creates a new set.  References are counted without
   locking, so a set belongs to one thread at a time.  */

#ifndef CYR_MEMBERS_H
#define CYR_MEMBERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "cy.pb-c.h"

#define CYR_MEMBERS_MAX 64 /* members of one set, learners included */

struct cyr_members;

/* Reads a packed Cy__MemberSet.  NULL when it is malformed or too large.  */
struct cyr_members *cyr_members_unpack (const uint8_t *data, size_t length);
struct cyr_members *cyr_members_ref (struct cyr_members *members);
void cyr_members_unref (struct cyr_members *members); /* NULL is fine */

/* Packed form, borrowed; equal sets have equal bytes.  */
const uint8_t *cyr_members_bytes (const struct cyr_members *members,
                                  size_t *length);
const Cy__MemberSet *cyr_members_set (const struct cyr_members *members);

/* The functions below treat NULL as the empty set.  */
const Cy__Member *cyr_members_find (const struct cyr_members *members,
                                    uint64_t id);
bool cyr_members_is_voter (const struct cyr_members *members, uint64_t id);
bool cyr_members_is_retired (const struct cyr_members *members, uint64_t id);
uint64_t cyr_members_cluster (const struct cyr_members *members);
size_t cyr_members_count (const struct cyr_members *members);
size_t cyr_members_voters (const struct cyr_members *members);

/* Number of voters that make a quorum.  */
size_t cyr_members_quorum (const struct cyr_members *members);

/* Creates the first set of a cluster.  Every member of SET is a voter, bound
   to the folder at the same position in FOLDERS.  The cluster id is derived
   from member and folder ids.  The caller owns the reference.  */
struct cyr_members *cyr_members_create_first (const Cy__MemberSet *set,
                                              const uint64_t *folders);

/* Create a new set from MEMBERS: with MEMBER added as a learner, with the
   learner ID promoted to a voter that is bound to FOLDER, or without the
   member ID, which is listed as retired.  The caller has checked that the
   change is valid and owns the reference.

   REPLACED, 0: none, is removed in the same step, and MEMBER is a newcomer if
   it was one.  SUCCESSOR, 0: none, takes the place of ID: it stays a newcomer
   only if ID was one.  */
struct cyr_members *cyr_members_add_learner (const struct cyr_members *members,
                                             const Cy__Member *member,
                                             uint64_t replaced);
struct cyr_members *cyr_members_promote (const struct cyr_members *members,
                                         uint64_t id, uint64_t folder);
struct cyr_members *cyr_members_remove (const struct cyr_members *members,
                                        uint64_t id, uint64_t successor);

#endif /* CYR_MEMBERS_H */

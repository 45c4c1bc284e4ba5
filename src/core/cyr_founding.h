/* Bootstrap of a cluster: the first members agree on the first member set,
   which includes the id of each member's data folder.

   Every member reports to its peers which set it has accepted, if any.  A
   member accepts at most one set, durably, and only after it has
   received the folder id of every peer.  The bootstrap is complete when all
   members have accepted the same set.  A member whose folder is empty
   therefore cannot start a second cluster while one disk of the first one
   remains, whichever peers are reachable: that disk has accepted another set.
   The code does no I/O and is used by one thread at a time.  */

#ifndef CYR_FOUNDING_H
#define CYR_FOUNDING_H

#include <stdbool.h>
#include <stdint.h>

#include "core/cyr_members.h"

struct cyr_founding;

enum cyr_founding_state
{
  CYR_FOUNDING_WAITING,     /* some peers have not answered or accepted yet */
  CYR_FOUNDING_AGREED,      /* a set is accepted but not durable yet */
  CYR_FOUNDING_DONE,        /* all members accepted the same set */
  CYR_FOUNDING_EXISTS,      /* the cluster exists and expects this folder */
  CYR_FOUNDING_OTHER_FOLDER /* the cluster binds this id to another folder */
};

/* Creates the bootstrap state of member SELF with the data folder FOLDER.
   SET lists the members and is copied.  ACCEPTED is the set that this folder
   accepted before, NULL if none; the bootstrap adds a reference.  */
struct cyr_founding *cyr_founding_create (uint64_t self, uint64_t folder,
                                          const Cy__MemberSet *set,
                                          struct cyr_members *accepted);
void cyr_founding_destroy (struct cyr_founding *founding);

/* Processes the founding message of a peer.  */
void cyr_founding_receive (struct cyr_founding *founding,
                           const Cy__RaftMessage *message);

/* State of the bootstrap.  At CYR_FOUNDING_AGREED the caller makes the set of
   cyr_founding_accepted (borrowed) durable, then calls
   cyr_founding_mark_stored.  */
enum cyr_founding_state
cyr_founding_state (const struct cyr_founding *founding);
struct cyr_members *
cyr_founding_accepted (const struct cyr_founding *founding);
void cyr_founding_mark_stored (struct cyr_founding *founding);

/* Fills BODY with the report to the peers.  BODY borrows the accepted set and
   is valid until the next call with FOUNDING.  */
void cyr_founding_fill_report (const struct cyr_founding *founding,
                               Cy__RaftFounding *body);

/* Fills BODY with the answer of a member of an existing cluster to member
   FROM.  ACCEPTED is the set that this member bootstrapped with, NULL if this
   member joined later.  MEMBERS is the present set.  BODY borrows from
   ACCEPTED.  */
void cyr_founding_fill_answer (struct cyr_members *accepted,
                               struct cyr_members *members, uint64_t from,
                               Cy__RaftFounding *body);

#endif /* CYR_FOUNDING_H */

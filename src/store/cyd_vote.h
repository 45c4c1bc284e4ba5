/* The file "vote": term and vote of this member, and up to which record the
   log was synced and was known to be committed.

   Term and vote stand twice.  A change writes and syncs the first copy, then
   the second, so that one copy is whole at any time and damage to one is
   found.  The file never grows: a full disk does not stop a vote.  */

#ifndef CYD_VOTE_H
#define CYD_VOTE_H

#include "cy_result.h"
#include "store/cyd_files.h"

struct cyd_vote;

/* Opens the file, or creates it when CREATE is set.  CY_E_STORE_CORRUPT,
   CY_E_NOT_FOUND.  */
cy_result cyd_vote_open (const struct cyd_files *files, const char *folder,
                         bool create, struct cyd_vote **vote);
void cyd_vote_close (struct cyd_vote *vote);

uint64_t cyd_vote_term (const struct cyd_vote *vote);
uint64_t cyd_vote_for (const struct cyd_vote *vote);

/* Makes term and vote durable.  */
cy_result cyd_vote_set (struct cyd_vote *vote, uint64_t term, uint64_t id);

/* The log was synced up to INDEX.  Raised without a sync: after a power
   failure it may be too low, never too high.  Lowered with one.  */
cy_result cyd_vote_mark (struct cyd_vote *vote, uint64_t index);
uint64_t cyd_vote_marked (const struct cyd_vote *vote);

/* The log is committed up to INDEX; durable.  After a power failure it may be
   too low, never too high.  */
cy_result cyd_vote_commit (struct cyd_vote *vote, uint64_t index);
uint64_t cyd_vote_committed (const struct cyd_vote *vote);

#endif /* CYD_VOTE_H */

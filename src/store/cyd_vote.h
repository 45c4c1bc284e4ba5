/* The file "vote": term and vote of this member, and the synced and committed
   index of the log.

   Term and vote are stored twice.  A change writes and syncs the first copy,
   then the second, so that one copy is valid at any time and damage to one
   copy is detected.  The file never grows, so a full disk does not prevent a
   vote.  */

#ifndef CYD_VOTE_H
#define CYD_VOTE_H

#include "cy_result.h"
#include "store/cyd_files.h"

struct cyd_vote;

/* Opens the file, or creates it when it is missing and CREATE is set.
   CY_E_STORE_CORRUPT, CY_E_NOT_FOUND.  */
cy_result cyd_vote_open (const struct cyd_files *files, const char *folder,
                         bool create, struct cyd_vote **vote);
void cyd_vote_close (struct cyd_vote *vote);

uint64_t cyd_vote_term (const struct cyd_vote *vote);
uint64_t cyd_vote_for (const struct cyd_vote *vote);

/* Makes TERM and the vote for member ID (0: none) durable.  */
cy_result cyd_vote_set (struct cyd_vote *vote, uint64_t term, uint64_t id);

/* Stores that the log was synced up to INDEX.  A higher index is written
   without a sync, a lower one with a sync: after a power failure the stored
   index may be too low but never too high.  */
cy_result cyd_vote_set_synced (struct cyd_vote *vote, uint64_t index);
uint64_t cyd_vote_synced (const struct cyd_vote *vote);

/* Stores durably that the log is committed up to INDEX; ignored unless INDEX
   is higher than the stored one.  After a power failure the stored index may
   be too low but never too high.  */
cy_result cyd_vote_set_committed (struct cyd_vote *vote, uint64_t index);
uint64_t cyd_vote_committed (const struct cyd_vote *vote);

#endif /* CYD_VOTE_H */

/* Shares of a workspace's token bucket.

   A bucket is split, never copied: shares add up to at most the declared rate
   and burst, and tokens move together with the burst that holds them.  Over
   any window the shares together therefore admit at most rate x time + burst
   requests.  Amounts are integers in millionths of a request, so that sums
   are exact.  */

#ifndef CYQ_BUCKET_H
#define CYQ_BUCKET_H

#include <stdbool.h>
#include <stdint.h>

#include "core/cy_clock.h"
#include "cy.pb-c.h"

#define CYQ_ONE_REQUEST INT64_C (1000000) /* one request, in millionths */

/* One transfer between two processes, or the sum of transfers.  */
struct cyq_share
{
  int64_t rate;  /* millionths of a request per second */
  int64_t burst; /* token capacity, in millionths of a request */
  int64_t level; /* tokens present, in millionths of a request */
};

struct cyq_bucket
{
  /* A negative rate or burst means that more is outstanding at holders than
     the workspace's declared limit.  */
  struct cyq_share share;
  int64_t remainder;    /* fraction of a millionth, in 1e-15 of a request */
  cy_time_ns filled_at; /* time of the last refill */
};

/* Adds the tokens that BUCKET gained between its last refill and NOW.  The
   elapsed time is reduced by the drift bound, because the local clock may run
   fast.  */
void cyq_bucket_fill (struct cyq_bucket *bucket, cy_time_ns now);

/* Adds or removes SHARE.  The caller refills BUCKET first.  Tokens that exceed
   the new burst are dropped.  */
void cyq_bucket_add (struct cyq_bucket *bucket, const struct cyq_share *share);
void cyq_bucket_remove (struct cyq_bucket *bucket,
                        const struct cyq_share *share);

/* Takes the token of one request; false if BUCKET has none.  The caller
   refills BUCKET first.  */
bool cyq_bucket_take (struct cyq_bucket *bucket);

void cyq_share_add (struct cyq_share *sum, const struct cyq_share *share);
struct cyq_share cyq_share_difference (const struct cyq_share *a,
                                       const struct cyq_share *b);
bool cyq_share_equal (const struct cyq_share *a, const struct cyq_share *b);
bool cyq_share_is_zero (const struct cyq_share *share);

/* Rounds AMOUNT (millionths of a request) down to complete requests; at
   least 0.  */
int64_t cyq_round_down (int64_t amount);

struct cyq_share cyq_share_read (const Cy__QuotaShare *message);

/* Returns a message on the heap; the message that contains it frees it.  */
Cy__QuotaShare *cyq_share_write (const struct cyq_share *share);

#endif /* CYQ_BUCKET_H */

#include "core/cyq_bucket.h"

#include <glib.h>

#include "core/cyf_freshness.h"

void
cyq_bucket_fill (struct cyq_bucket *bucket, cy_time_ns now)
{
  cy_time_ns elapsed = now - bucket->filled_at;
  if (elapsed <= 0)
    return;
  bucket->filled_at = now;
  int64_t capacity = MAX (bucket->share.burst, 0);
  if (bucket->share.rate > 0 && bucket->share.level < capacity)
    {
      __int128 gained
          = (__int128)bucket->share.rate * MAX (cyf_narrow_span (elapsed), 0)
            + bucket->remainder;
      bucket->remainder = (int64_t)(gained % CY_NS_PER_S);
      __int128 level = bucket->share.level + gained / CY_NS_PER_S;
      bucket->share.level = level > capacity ? capacity : (int64_t)level;
    }
  if (bucket->share.level >= capacity)
    {
      bucket->share.level = capacity;
      bucket->remainder = 0;
    }
}

static void
clamp_level (struct cyq_bucket *bucket)
{
  struct cyq_share *share = &bucket->share;
  share->level = MIN (share->level, share->burst);
  share->level = MAX (share->level, 0);
}

void
cyq_bucket_add (struct cyq_bucket *bucket, const struct cyq_share *share)
{
  cyq_share_add (&bucket->share, share);
  clamp_level (bucket);
}

void
cyq_bucket_remove (struct cyq_bucket *bucket, const struct cyq_share *share)
{
  bucket->share = cyq_share_difference (&bucket->share, share);
  clamp_level (bucket);
}

bool
cyq_bucket_take (struct cyq_bucket *bucket)
{
  if (bucket->share.level < CYQ_ONE_REQUEST)
    return false;
  bucket->share.level -= CYQ_ONE_REQUEST;
  return true;
}

void
cyq_share_add (struct cyq_share *sum, const struct cyq_share *share)
{
  sum->rate += share->rate;
  sum->burst += share->burst;
  sum->level += share->level;
}

struct cyq_share
cyq_share_difference (const struct cyq_share *a, const struct cyq_share *b)
{
  return (struct cyq_share){ a->rate - b->rate, a->burst - b->burst,
                             a->level - b->level };
}

bool
cyq_share_equal (const struct cyq_share *a, const struct cyq_share *b)
{
  return a->rate == b->rate && a->burst == b->burst && a->level == b->level;
}

bool
cyq_share_is_zero (const struct cyq_share *share)
{
  return share->rate == 0 && share->burst == 0 && share->level == 0;
}

int64_t
cyq_round_down (int64_t amount)
{
  return amount <= 0 ? 0 : amount - amount % CYQ_ONE_REQUEST;
}

struct cyq_share
cyq_share_read (const Cy__QuotaShare *message)
{
  struct cyq_share share = { 0 };
  if (message != NULL)
    share
        = (struct cyq_share){ message->rate, message->burst, message->level };
  return share;
}

Cy__QuotaShare *
cyq_share_write (const struct cyq_share *share)
{
  Cy__QuotaShare *message = g_new (Cy__QuotaShare, 1);
  cy__quota_share__init (message);
  message->rate = share->rate;
  message->burst = share->burst;
  message->level = share->level;
  return message;
}

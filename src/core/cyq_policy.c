/* Distribution policy: how much of the rate, burst and tokens each holder
   gets.  An error here cannot exceed a workspace's limit, because shares are
   moved and never created.  */

#include "core/cyf_freshness.h"
#include "core/cyq_internal.h"

#define MEASURE_INTERVAL_MS 100  /* minimum interval of measurements */
#define LEAF_SURPLUS_MS     1000 /* age at which a leaf returns a surplus */
#define RELAY_SURPLUS_MS    3000 /* age at which a relay returns a surplus */
#define RECALL_INTERVAL_MS  200  /* minimum interval of recalls, per holder */
#define RECALL_VALID_MS     1000 /* time for which a recall is valid */
#define OVERCOMMIT_MAX_MS   2000 /* age of overcommitment, stops renewals */
#define FLOOR_BUSY_PERCENT  60   /* demand, of the rate, that ends floors */
#define FLOOR_PARTS         4    /* the floors together are 1/4 of a pool */
#define BURST_DEMAND_MS     1000 /* time of demand that a burst covers */
#define DEMAND_AVERAGE_MS   500  /* time over which demand is averaged */

/* Demand per second at which a holder gets a rate, and below which the holder
   loses it again.  */
#define SHARE_DEMAND_MIN  (10 * CYQ_ONE_REQUEST)
#define SHARE_DEMAND_KEEP (4 * CYQ_ONE_REQUEST)

/* Burst per holder below which no holder gets a rate.  */
#define HOLDER_BURST_MIN (12 * CYQ_ONE_REQUEST)

/* Demand per second that counts as none.  */
#define IDLE_DEMAND_MAX (CYQ_ONE_REQUEST / 20)

/* ------------------------------------------------------------ demand */

/* Updates the moving average of a leaf's demand with the requests that arrived
   in the last ELAPSED_MS.  */
static void
measure_local_demand (struct cyq_pool *pool, int64_t elapsed_ms)
{
  int64_t rate = pool->arrived * 1000 / elapsed_ms;
  int64_t before = pool->demand;
  int64_t weight_ms = MIN (elapsed_ms, DEMAND_AVERAGE_MS);
  pool->arrived = 0;
  pool->demand += (rate - before) * weight_ms / DEMAND_AVERAGE_MS;
  if (pool->demand < IDLE_DEMAND_MAX)
    pool->demand = 0;
  int64_t slope = (pool->demand - before) * 1000 / elapsed_ms;
  pool->demand_slope += (slope - pool->demand_slope) / 4;
}

static void
sum_holder_demand (struct cyq_pool *pool)
{
  const struct cyq_holding *holding = NULL;
  pool->demand = 0;
  CK_LIST_FOREACH (holding, &pool->holdings, pool_link)
  pool->demand += holding->demand;
}

void
cyq_measure_demand (struct cyq_node *node)
{
  int64_t elapsed_ms = (node->now - node->measured_at) / CY_NS_PER_MS;
  if (elapsed_ms < MEASURE_INTERVAL_MS)
    return;
  node->measured_at = node->now;
  struct cyq_pool *pool = NULL;
  CK_LIST_FOREACH (pool, &node->pools, link)
  {
    if (CK_LIST_EMPTY (&pool->holdings))
      measure_local_demand (pool, MIN (elapsed_ms, 10000));
    else
      sum_holder_demand (pool);
  }
}

/* ------------------------------------------------------------ needs */

int64_t
cyq_expected_demand (const struct cyq_node *node, const struct cyq_pool *pool)
{
  if (node->options.policy != CYQ_FORECAST || pool->demand_slope <= 0)
    return pool->demand;
  return pool->demand + pool->demand_slope / 2;
}

static int64_t
needed_rate (int64_t demand)
{
  return demand + demand / 4;
}

/* Burst that covers BURST_DEMAND_MS of DEMAND, in complete requests.  */
static int64_t
needed_burst (int64_t demand)
{
  if (demand <= 0)
    return 0;
  return MAX (CYQ_ONE_REQUEST,
              cyq_round_down (demand / 1000 * BURST_DEMAND_MS));
}

/* Rate and burst that one holder should have of a pool, in millionths.  */
struct need
{
  int64_t rate;
  int64_t burst;
};

/* Scales NEED down if the needs of all holders, SUM, exceed TOTAL.  */
static int64_t
scale_need (int64_t need, int64_t total, int64_t sum)
{
  if (sum <= total || sum <= 0)
    return need;
  return (int64_t)((__int128)need * MAX (total, 0) / sum);
}

/* Decides whether HOLDING's holder gets a rate and a burst.  A rate without
   burst yields no tokens, and many small buckets refuse requests that one
   large bucket would admit.  A holder with a small demand, or of a pool whose
   burst would be split into small parts, therefore gets single tokens.  */
static void
decide_share (struct cyq_holding *holding, int64_t burst, uint32_t holders)
{
  bool small = burst / (int64_t)MAX (holders, 1) < HOLDER_BURST_MIN;
  int64_t min_demand
      = holding->gets_rate ? SHARE_DEMAND_KEEP : SHARE_DEMAND_MIN;
  holding->gets_rate = !small && holding->demand >= min_demand;
}

static void
decide_shares (struct cyq_pool *pool, const struct cyq_share *total)
{
  struct cyq_holding *holding = NULL;
  uint32_t holders = 0;
  CK_LIST_FOREACH (holding, &pool->holdings, pool_link)
  holders += holding->demand > 0 ? 1 : 0;
  CK_LIST_FOREACH (holding, &pool->holdings, pool_link)
  decide_share (holding, total->burst, holders);
}

/* Rate and burst for HOLDING's holder, without tokens for waiting requests.  A
   relay gets twice the burst, because it distributes the burst again.  */
static struct need
holding_need (const struct cyq_node *node, const struct cyq_holding *holding)
{
  struct need need = { 0 };
  if (!holding->gets_rate)
    return need;
  need.rate = needed_rate (holding->demand);
  need.burst
      = needed_burst (holding->demand) * (node->options.is_root ? 2 : 1);
  return need;
}

static struct need
sum_needs (const struct cyq_node *node, const struct cyq_pool *pool)
{
  struct need sum = { 0 };
  const struct cyq_holding *holding = NULL;
  CK_LIST_FOREACH (holding, &pool->holdings, pool_link)
  {
    struct need need = holding_need (node, holding);
    sum.rate += need.rate;
    sum.burst += need.burst;
  }
  return sum;
}

/* Rate and burst that the grantor recalled and this node still has.  */
static struct cyq_share
pending_recall (const struct cyq_node *node, const struct cyq_pool *pool)
{
  struct cyq_share pending = { 0 };
  if (node->now - pool->recalled_at < RECALL_VALID_MS * CY_NS_PER_MS)
    pending = pool->recall;
  pending.level = 0;
  return pending;
}

/* Share of POOL that can be distributed over the holders.  */
static struct cyq_share
distributable_share (const struct cyq_node *node, const struct cyq_pool *pool)
{
  struct cyq_share total = cyq_pool_outstanding (pool);
  cyq_share_add (&total, &pool->bucket.share);
  struct cyq_share pending = pending_recall (node, pool);
  return cyq_share_difference (&total, &pending);
}

/* The root leaves a part of each workspace, the floor, with every zone
   process, so that a zone can admit requests while it is isolated or the root
   changes.  The root recalls floors when another holder lacks the share or
   demand takes up most of the rate.  */
struct cyq_share
cyq_floor_share (const struct cyq_node *node, const struct cyq_pool *pool)
{
  struct cyq_share none = { 0 };
  int64_t holders = 0;
  const struct cyq_holding *holding = NULL;
  if (!node->options.is_root || node->options.policy == CYQ_STATIC
      || pool->demand > pool->rate * FLOOR_BUSY_PERCENT / 100)
    return none;
  CK_LIST_FOREACH (holding, &pool->holdings, pool_link)
  holders += holding->session->leaving ? 0 : 1;
  int64_t parts = FLOOR_PARTS * MAX (holders, 1);
  struct cyq_share floor
      = { pool->rate / parts, cyq_round_down (pool->burst / parts), 0 };
  return floor.burst < CYQ_ONE_REQUEST ? none : floor;
}

/* Grants every holder its floor as long as half of the rate and of the burst
   stay in the pool.  */
static void
grant_floors (const struct cyq_node *node, struct cyq_pool *pool)
{
  const struct cyq_share *local = &pool->bucket.share;
  struct cyq_share floor = cyq_floor_share (node, pool);
  struct cyq_holding *holding = NULL;
  if (floor.burst == 0 || pool->demand > pool->rate / 2)
    return;
  CK_LIST_FOREACH (holding, &pool->holdings, pool_link)
  {
    struct cyq_share held = cyq_holding_share (holding);
    struct cyq_share grant = { floor.rate - held.rate,
                               cyq_round_down (floor.burst - held.burst), 0 };
    grant.level = MIN (grant.burst, local->level);
    if (holding->want == 0 && !holding->session->leaving && grant.rate >= 0
        && grant.burst >= CYQ_ONE_REQUEST
        && local->rate - grant.rate >= pool->rate / 2
        && local->burst - grant.burst >= pool->burst / 2)
      cyq_holding_grant (holding, &grant);
  }
}

/* ------------------------------------------------------------ granting */

static void
grant_static (struct cyq_node *node, struct cyq_pool *pool,
              struct cyq_holding *holding)
{
  int64_t parts = MAX (1, node->options.static_holder_count);
  if (!cyq_share_is_zero (&holding->granted))
    return;
  struct cyq_share total = cyq_pool_outstanding (pool);
  cyq_share_add (&total, &pool->bucket.share);
  struct cyq_share part = { total.rate / parts, total.burst / parts, 0 };
  part.rate = MIN (part.rate, MAX (0, pool->bucket.share.rate));
  part.burst = MIN (part.burst, MAX (0, pool->bucket.share.burst));
  part.level = MIN (part.burst, pool->bucket.share.level);
  if (!cyq_share_is_zero (&part))
    cyq_holding_grant (holding, &part);
}

/* Grants HOLDING's holder the part of its need that it lacks, within POOL's
   bucket, and at most TOKENS (millionths) for waiting requests.  */
static void
grant_needed (const struct cyq_node *node, struct cyq_pool *pool,
              struct cyq_holding *holding, const struct need *sum,
              const struct cyq_share *total, int64_t tokens)
{
  struct need need = holding_need (node, holding);
  struct cyq_share held = cyq_holding_share (holding);
  const struct cyq_share *local = &pool->bucket.share;
  struct cyq_share grant = { 0 };
  int64_t rate = scale_need (need.rate, total->rate, sum->rate) - held.rate;
  grant.rate = CLAMP (rate, 0, MAX (0, local->rate));
  if (holding->want > 0 && local->level >= CYQ_ONE_REQUEST)
    grant.level
        = MIN (MIN (cyq_round_down (local->level), holding->want), tokens);
  int64_t burst
      = scale_need (need.burst, total->burst, sum->burst) - held.burst;
  burst = MAX (cyq_round_down (burst), grant.level);
  grant.burst = CLAMP (burst, 0, cyq_round_down (local->burst));
  grant.level = MIN (grant.level, grant.burst);
  if (holding->want == 0 && grant.burst > 0)
    grant.level = MIN (local->level, grant.burst) / 2;
  if (cyq_share_is_zero (&grant))
    return;
  cyq_holding_grant (holding, &grant);
  holding->want -= MIN (holding->want, grant.level);
}

/* Grants to all holders, starting with the next one at each call.  Holders
   with waiting requests get equal parts of the tokens.  */
static void
grant_all (const struct cyq_node *node, struct cyq_pool *pool,
           const struct need *sum, const struct cyq_share *total)
{
  struct cyq_holding *holding = NULL;
  uint32_t count = 0;
  uint32_t waiting = 0;
  CK_LIST_FOREACH (holding, &pool->holdings, pool_link)
  {
    count++;
    waiting += holding->want > 0 ? 1 : 0;
  }
  int64_t level = pool->bucket.share.level;
  int64_t tokens = MAX (CYQ_ONE_REQUEST,
                        cyq_round_down (level / (int64_t)MAX (waiting, 1)));
  uint32_t first = pool->first_position++ % MAX (count, 1);
  for (int pass = 0; pass < 2; pass++)
    {
      uint32_t position = 0;
      CK_LIST_FOREACH (holding, &pool->holdings, pool_link)
      {
        if ((position++ >= first) == (pass == 0) && !holding->session->leaving)
          grant_needed (node, pool, holding, sum, total, tokens);
      }
    }
}

/* Recalls from HOLDING's holder the rate and the burst above the scaled need,
   each if LACK shows that the pool lacks it.  The rate is also recalled if the
   holder no longer gets one.  An excess of at most 1/8 of the held rate or 1/4
   of the held burst is not recalled.  */
static void
recall_excess (struct cyq_node *node, struct cyq_holding *holding,
               const struct need *sum, const struct cyq_share *total,
               const struct cyq_share *lack)
{
  if (node->now - holding->recalled_at < RECALL_INTERVAL_MS * CY_NS_PER_MS)
    return;
  struct need need = holding_need (node, holding);
  struct cyq_share held = cyq_holding_share (holding);
  struct cyq_share excess = { 0 };
  struct cyq_share floor = cyq_floor_share (node, holding->pool);
  if (lack->rate > 0 || (!holding->gets_rate && held.rate > floor.rate))
    excess.rate = held.rate - scale_need (need.rate, total->rate, sum->rate);
  if (lack->burst > 0)
    excess.burst = cyq_round_down (
        held.burst - scale_need (need.burst, total->burst, sum->burst));
  if (excess.rate <= held.rate / 8)
    excess.rate = 0;
  if (excess.burst <= held.burst / 4)
    excess.burst = 0;
  excess.burst = MAX (excess.burst, 0);
  if (excess.rate == 0 && excess.burst == 0)
    return;
  holding->recall = excess;
  holding->recalled_at = node->now;
}

/* Rate and burst that POOL lacks after all possible grants, including what its
   grantor recalled and what it overcommitted.  */
static struct cyq_share
lacking_share (const struct cyq_node *node, const struct cyq_pool *pool,
               const struct need *sum, const struct cyq_share *total)
{
  struct cyq_share lack = { 0 };
  const struct cyq_holding *holding = NULL;
  CK_LIST_FOREACH (holding, &pool->holdings, pool_link)
  {
    struct need need = holding_need (node, holding);
    struct cyq_share held = cyq_holding_share (holding);
    int64_t rate = scale_need (need.rate, total->rate, sum->rate) - held.rate;
    if (rate > need.rate / 8)
      lack.rate += rate;
    int64_t burst = scale_need (need.burst, total->burst, sum->burst);
    if (held.burst < burst / 2)
      lack.burst += burst - held.burst;
    lack.burst += holding->want;
  }
  struct cyq_share pending = pending_recall (node, pool);
  cyq_share_add (&lack, &pending);
  lack.rate += MAX (0, -pool->bucket.share.rate);
  lack.burst += MAX (0, -pool->bucket.share.burst);
  return lack;
}

static bool
is_root_exhausted (const struct cyq_pool *pool)
{
  return pool->demand >= pool->rate - pool->rate / 20;
}

void
cyq_pool_distribute (struct cyq_node *node, struct cyq_pool *pool)
{
  struct cyq_holding *holding = NULL;
  if (CK_LIST_EMPTY (&pool->holdings) || node->lease_end <= node->now)
    return;
  cyq_return_surplus (node, pool); /* recalls precede grants */
  cyq_bucket_fill (&pool->bucket, node->now);
  sum_holder_demand (pool);
  if (!cyq_pool_is_overcommitted (pool))
    pool->last_covered = node->now;
  if (node->options.policy == CYQ_STATIC)
    {
      CK_LIST_FOREACH (holding, &pool->holdings, pool_link)
      grant_static (node, pool, holding);
      return;
    }
  struct cyq_share total = distributable_share (node, pool);
  if (node->options.is_root)
    pool->exhausted = is_root_exhausted (pool);
  decide_shares (pool, &total);
  struct need sum = sum_needs (node, pool);
  grant_all (node, pool, &sum, &total);
  grant_floors (node, pool);
  struct cyq_share lack = lacking_share (node, pool, &sum, &total);
  struct cyq_share pending = pending_recall (node, pool);
  CK_LIST_FOREACH (holding, &pool->holdings, pool_link)
  {
    bool is_lacking = lack.rate > 0 || lack.burst > 0;
    if ((is_lacking
         && (holding->want == 0 || cyq_pool_is_overcommitted (pool)
             || !cyq_share_is_zero (&pending)))
        || (!holding->gets_rate
            && cyq_holding_share (holding).rate
                   > cyq_floor_share (node, pool).rate))
      recall_excess (node, holding, &sum, &total, &lack);
  }
}

bool
cyq_pool_is_overcommitted (const struct cyq_pool *pool)
{
  return pool->bucket.share.rate < 0 || pool->bucket.share.burst < 0;
}

bool
cyq_session_is_overdue (const struct cyq_node *node,
                        const struct cyq_session *session)
{
  const struct cyq_holding *holding = NULL;
  CK_LIST_FOREACH (holding, &session->holdings, session_link)
  {
    const struct cyq_pool *pool = holding->pool;
    if (!cyq_pool_is_overcommitted (pool)
        || node->now - pool->last_covered < OVERCOMMIT_MAX_MS * CY_NS_PER_MS)
      continue;
    struct need need = holding_need (node, holding);
    struct need sum = sum_needs (node, pool);
    struct cyq_share held = cyq_holding_share (holding);
    struct cyq_share total = distributable_share (node, pool);
    if (held.rate > scale_need (need.rate, total.rate, sum.rate)
        || held.burst > scale_need (need.burst, total.burst, sum.burst))
      return true;
  }
  return false;
}

/* ------------------------------------------------------------ returning */

/* Removes from POOL's recall what its bucket can return now and returns that
   share.  */
static struct cyq_share
take_recalled_share (struct cyq_node *node, struct cyq_pool *pool)
{
  struct cyq_share returnable = { 0 };
  const struct cyq_share *local = &pool->bucket.share;
  if (node->now - pool->recalled_at >= RECALL_VALID_MS * CY_NS_PER_MS)
    pool->recall = returnable;
  returnable.rate = CLAMP (pool->recall.rate, 0, MAX (0, local->rate));
  returnable.burst
      = CLAMP (pool->recall.burst, 0, cyq_round_down (local->burst));
  pool->recall.rate -= returnable.rate;
  pool->recall.burst -= returnable.burst;
  return returnable;
}

/* Rate and burst that POOL needs in its bucket, beyond what its holders
   have.  */
static struct cyq_share
local_need (const struct cyq_node *node, const struct cyq_pool *pool)
{
  struct cyq_share need = { 0 };
  struct cyq_share outstanding = cyq_pool_outstanding (pool);
  int64_t demand = cyq_expected_demand (node, pool);
  if (demand < SHARE_DEMAND_KEEP
      || outstanding.rate + pool->bucket.share.rate <= 0)
    return need;
  need.rate = MAX (need.rate, needed_rate (demand) - outstanding.rate);
  need.burst = MAX (need.burst, needed_burst (demand) - outstanding.burst);
  return need;
}

/* Burst that has no tokens and gains none, because the rate is zero.  */
static int64_t
unused_burst (const struct cyq_bucket *bucket)
{
  const struct cyq_share *local = &bucket->share;
  if (local->rate > 0)
    return 0;
  return MAX (0, local->burst
                     - cyq_round_down (local->level + CYQ_ONE_REQUEST - 1));
}

/* Share that POOL has held beyond its need for the time that a surplus must
   last, plus burst that gains no tokens.  */
static struct cyq_share
find_surplus (struct cyq_node *node, struct cyq_pool *pool)
{
  struct cyq_share surplus = { 0, unused_burst (&pool->bucket), 0 };
  const struct cyq_share *local = &pool->bucket.share;
  struct cyq_share need = local_need (node, pool);
  need.burst = MAX (need.burst, pool->waiting);
  if (local->rate <= need.rate + need.rate / 8 && local->burst <= need.burst)
    {
      pool->surplus_began = 0;
      return surplus;
    }
  if (pool->surplus_began == 0)
    pool->surplus_began = node->now;
  int64_t min_age_ms
      = CK_LIST_EMPTY (&pool->holdings) ? LEAF_SURPLUS_MS : RELAY_SURPLUS_MS;
  if (node->now - pool->surplus_began < min_age_ms * CY_NS_PER_MS)
    return surplus;
  pool->surplus_began = 0;
  surplus.rate = MAX (0, local->rate - need.rate);
  surplus.burst = MAX (0, cyq_round_down (local->burst - need.burst));
  return surplus;
}

/* Tokens to return along with RETURNED: complete ones, in proportion to the
   burst that holds them, without tokens that a request of this node or of its
   holders waits for.  Tokens that the remaining burst cannot hold are returned
   too.  */
static int64_t
returned_tokens (const struct cyq_pool *pool, const struct cyq_share *returned)
{
  const struct cyq_share *local = &pool->bucket.share;
  int64_t waiting = pool->waiting;
  const struct cyq_holding *holding = NULL;
  CK_LIST_FOREACH (holding, &pool->holdings, pool_link)
  waiting += holding->want;
  int64_t unused = unused_burst (&pool->bucket);
  int64_t level = 0;
  if (returned->burst > unused)
    level = (int64_t)((__int128)local->level * (returned->burst - unused)
                      / (local->burst - unused));
  level = cyq_round_down (MIN (level, local->level - waiting));
  return MAX (level, local->level - (local->burst - returned->burst));
}

void
cyq_return_surplus (struct cyq_node *node, struct cyq_pool *pool)
{
  if (node->options.is_root || !node->established
      || node->options.policy == CYQ_STATIC)
    return;
  cyq_bucket_fill (&pool->bucket, node->now);
  struct cyq_share returned = take_recalled_share (node, pool);
  if (returned.rate == 0 && returned.burst == 0)
    returned = find_surplus (node, pool);
  if (returned.rate == 0 && returned.burst == 0)
    return;
  returned.level = returned_tokens (pool, &returned);
  cyq_pool_return (pool, &returned);
}

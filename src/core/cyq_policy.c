/* How shares are spread: who gets how much of the rate, of the burst and of
   the tokens.  Nothing here can break the bound: shares only move.  */

#include "core/cyf_freshness.h"
#include "core/cyq_internal.h"

#define MEASURE_MS         100 /* ms at least between two measurements */
#define SURPLUS_MS         1000 /* ms that a surplus lasts until it is returned */
#define RELAY_SURPLUS_MS   3000 /* the same at a relay */
#define RECALL_MS          200  /* ms between two recalls from one holder */
#define RECALL_KEEP_MS     1000 /* ms for which a recall counts */
#define OWED_MS            2000 /* ms until a holder that owes is not renewed */
#define FLOOR_BUSY_PERCENT 60   /* of the rate in demand: no floors */
#define FLOOR_PARTS        4    /* a quarter of each workspace is floors */
#define BURST_MS           1000 /* ms of demand that a holder's burst covers */
#define DEMAND_MS          500  /* ms over which demand is averaged */
#define SHARE_RATE_MIN     (10 * CYQ_ONE) /* demand a second that gets a rate */
#define SHARE_RATE_LEAVE   (4 * CYQ_ONE)  /* demand a second that loses it */
#define SHARE_BURST_MIN                                                       \
  (12 * CYQ_ONE)                   /* burst for each holder that it needs     \
                                    */
#define IDLE_DEMAND (CYQ_ONE / 20) /* millionths a second: none */

/* ------------------------------------------------------------ demand */

/* Moves POOL's demand towards what came in.  */
static void
measure_own (struct cyq_pool *pool, int64_t passed_ms)
{
  int64_t rate = pool->arrived * 1000 / passed_ms;
  int64_t before = pool->demand;
  int64_t weight_ms = MIN (passed_ms, DEMAND_MS);
  pool->arrived = 0;
  pool->demand += (rate - before) * weight_ms / DEMAND_MS;
  if (pool->demand < IDLE_DEMAND)
    pool->demand = 0;
  int64_t slope = (pool->demand - before) * 1000 / passed_ms;
  pool->slope += (slope - pool->slope) / 4;
}

static void
measure_below (struct cyq_pool *pool)
{
  const struct cyq_out *out = NULL;
  pool->demand = 0;
  CK_LIST_FOREACH (out, &pool->outs, in_pool)
  pool->demand += out->demand;
}

void
cyq_measure (struct cyq_node *node)
{
  int64_t passed_ms = (node->now - node->measured) / CY_NS_PER_MS;
  if (passed_ms < MEASURE_MS)
    return;
  node->measured = node->now;
  struct cyq_pool *pool = NULL;
  CK_LIST_FOREACH (pool, &node->pools, link)
  {
    if (CK_LIST_EMPTY (&pool->outs))
      measure_own (pool, MIN (passed_ms, 10000));
    else
      measure_below (pool);
  }
}

/* ------------------------------------------------------------ needs */

int64_t
cyq_expected_demand (const struct cyq_node *node, const struct cyq_pool *pool)
{
  if (node->options.policy != CYQ_FORECAST || pool->slope <= 0)
    return pool->demand;
  return pool->demand + pool->slope / 2;
}

static int64_t
rate_for (int64_t demand)
{
  return demand + demand / 4;
}

/* Burst that serves DEMAND between two asks, whole requests.  */
static int64_t
burst_for (int64_t demand)
{
  if (demand <= 0)
    return 0;
  return MAX (CYQ_ONE, cyq_whole (demand / 1000 * BURST_MS));
}

/* What one holder should have of POOL.  */
struct need
{
  int64_t rate;
  int64_t burst;
};

/* Share of TOTAL when the needs add up to SUM.  */
static int64_t
scale (int64_t need, int64_t total, int64_t sum)
{
  if (sum <= total || sum <= 0)
    return need;
  return (int64_t)((__int128)need * MAX (total, 0) / sum);
}

/* Decides whether OUT's holder gets a lasting share.  Rate without burst fills
   nothing, and many small buckets refuse what one would admit: a small demand,
   or a burst that would make small parts, is served by single tokens.  */
static void
decide_share (struct cyq_out *out, int64_t burst, uint32_t holders)
{
  bool small = burst / (int64_t)MAX (holders, 1) < SHARE_BURST_MIN;
  int64_t least = out->shared ? SHARE_RATE_LEAVE : SHARE_RATE_MIN;
  out->shared = !small && out->demand >= least;
}

static void
decide_shares (struct cyq_pool *pool, const struct cyq_share *total)
{
  struct cyq_out *out = NULL;
  uint32_t holders = 0;
  CK_LIST_FOREACH (out, &pool->outs, in_pool)
  holders += out->demand > 0 ? 1 : 0;
  CK_LIST_FOREACH (out, &pool->outs, in_pool)
  decide_share (out, total->burst, holders);
}

/* What OUT's holder should have for good; a relay spreads it once more, so it
   gets twice the burst.  Tokens for requests that wait come on top.  */
static struct need
need_of (const struct cyq_node *node, const struct cyq_out *out)
{
  struct need need = { 0 };
  if (!out->shared)
    return need;
  need.rate = rate_for (out->demand);
  need.burst = burst_for (out->demand) * (node->options.root ? 2 : 1);
  return need;
}

static struct need
sum_of_needs (const struct cyq_node *node, const struct cyq_pool *pool)
{
  struct need sum = { 0 };
  const struct cyq_out *out = NULL;
  CK_LIST_FOREACH (out, &pool->outs, in_pool)
  {
    struct need need = need_of (node, out);
    sum.rate += need.rate;
    sum.burst += need.burst;
  }
  return sum;
}

/* What the giver asked back and has not got yet.  */
static struct cyq_share
pending_recall (const struct cyq_node *node, const struct cyq_pool *pool)
{
  struct cyq_share pending = { 0 };
  if (node->now - pool->recalled < RECALL_KEEP_MS * CY_NS_PER_MS)
    pending = pool->recall;
  pending.level = 0;
  return pending;
}

/* What there is of POOL to be spread over its holders.  */
static struct cyq_share
total_of (const struct cyq_node *node, const struct cyq_pool *pool)
{
  struct cyq_share total = cyq_pool_out (pool);
  cyq_share_add (&total, &pool->bucket.share);
  struct cyq_share pending = pending_recall (node, pool);
  return cyq_share_difference (&total, &pending);
}

/* The root leaves a part of each workspace with every zone process, so that a
   zone goes on when it is cut off or the root changes.  It takes it back when
   another holder lacks it or most of the rate is in demand.  */
struct cyq_share
cyq_floor_of (const struct cyq_node *node, const struct cyq_pool *pool)
{
  struct cyq_share none = { 0 };
  int64_t holders = 0;
  const struct cyq_out *out = NULL;
  if (!node->options.root || node->options.policy == CYQ_STATIC
      || pool->demand > pool->rate * FLOOR_BUSY_PERCENT / 100)
    return none;
  CK_LIST_FOREACH (out, &pool->outs, in_pool)
  holders += out->session->leaving ? 0 : 1;
  int64_t parts = FLOOR_PARTS * MAX (holders, 1);
  struct cyq_share floor
      = { pool->rate / parts, cyq_whole (pool->burst / parts), 0 };
  return floor.burst < CYQ_ONE ? none : floor;
}

/* Gives every holder its floor while at least half of the rate is free.  */
static void
give_floors (const struct cyq_node *node, struct cyq_pool *pool)
{
  const struct cyq_share *own = &pool->bucket.share;
  struct cyq_share floor = cyq_floor_of (node, pool);
  struct cyq_out *out = NULL;
  if (floor.burst == 0 || pool->demand > pool->rate / 2)
    return;
  CK_LIST_FOREACH (out, &pool->outs, in_pool)
  {
    struct cyq_share held = cyq_out_held (out);
    struct cyq_share give
        = { floor.rate - held.rate, cyq_whole (floor.burst - held.burst), 0 };
    give.level = MIN (give.burst, own->level);
    if (out->want == 0 && !out->session->leaving && give.rate >= 0
        && give.burst >= CYQ_ONE && own->rate - give.rate >= pool->rate / 2
        && own->burst - give.burst >= pool->burst / 2)
      cyq_out_grant (out, &give);
  }
}

/* ------------------------------------------------------------ giving */

static void
give_static (struct cyq_node *node, struct cyq_pool *pool, struct cyq_out *out)
{
  int64_t parts = MAX (1, node->options.static_parts);
  if (!cyq_share_is_zero (&out->given))
    return;
  struct cyq_share total = cyq_pool_out (pool);
  cyq_share_add (&total, &pool->bucket.share);
  struct cyq_share part = { total.rate / parts, total.burst / parts, 0 };
  part.rate = MIN (part.rate, MAX (0, pool->bucket.share.rate));
  part.burst = MIN (part.burst, MAX (0, pool->bucket.share.burst));
  part.level = MIN (part.burst, pool->bucket.share.level);
  if (!cyq_share_is_zero (&part))
    cyq_out_grant (out, &part);
}

/* Gives OUT what it lacks of its needs, as far as POOL's own bucket goes, and
   at most TOKENS for requests that wait.  */
static void
give_needed (const struct cyq_node *node, struct cyq_pool *pool,
             struct cyq_out *out, const struct need *sum,
             const struct cyq_share *total, int64_t tokens)
{
  struct need need = need_of (node, out);
  struct cyq_share held = cyq_out_held (out);
  const struct cyq_share *own = &pool->bucket.share;
  struct cyq_share give = { 0 };
  int64_t rate = scale (need.rate, total->rate, sum->rate) - held.rate;
  give.rate = CLAMP (rate, 0, MAX (0, own->rate));
  if (out->want > 0 && own->level >= CYQ_ONE)
    give.level = MIN (MIN (cyq_whole (own->level), out->want), tokens);
  int64_t burst = scale (need.burst, total->burst, sum->burst) - held.burst;
  burst = MAX (cyq_whole (burst), give.level);
  give.burst = CLAMP (burst, 0, cyq_whole (own->burst));
  give.level = MIN (give.level, give.burst);
  if (out->want == 0 && give.burst > 0)
    give.level = MIN (own->level, give.burst) / 2;
  if (cyq_share_is_zero (&give))
    return;
  cyq_out_grant (out, &give);
  out->want -= MIN (out->want, give.level);
}

/* Gives to each holder in turn, beginning with another one each time; those
   that wait get equal parts of the tokens.  */
static void
give_all (const struct cyq_node *node, struct cyq_pool *pool,
          const struct need *sum, const struct cyq_share *total)
{
  struct cyq_out *out = NULL;
  uint32_t count = 0;
  uint32_t waiting = 0;
  CK_LIST_FOREACH (out, &pool->outs, in_pool)
  {
    count++;
    waiting += out->want > 0 ? 1 : 0;
  }
  int64_t level = pool->bucket.share.level;
  int64_t tokens
      = MAX (CYQ_ONE, cyq_whole (level / (int64_t)MAX (waiting, 1)));
  uint32_t first = pool->turn++ % MAX (count, 1);
  for (int pass = 0; pass < 2; pass++)
    {
      uint32_t place = 0;
      CK_LIST_FOREACH (out, &pool->outs, in_pool)
      {
        if ((place++ >= first) == (pass == 0) && !out->session->leaving)
          give_needed (node, pool, out, sum, total, tokens);
      }
    }
}

/* Asks OUT back for what exceeds its scaled needs, if others lack it.  */
static void
recall (struct cyq_node *node, struct cyq_out *out, const struct need *sum,
        const struct cyq_share *total, const struct cyq_share *lack)
{
  if (node->now - out->recalled < RECALL_MS * CY_NS_PER_MS)
    return;
  struct need need = need_of (node, out);
  struct cyq_share held = cyq_out_held (out);
  struct cyq_share back = { 0 };
  struct cyq_share floor = cyq_floor_of (node, out->pool);
  if (lack->rate > 0 || (!out->shared && held.rate > floor.rate))
    back.rate = held.rate - scale (need.rate, total->rate, sum->rate);
  if (lack->burst > 0)
    back.burst = cyq_whole (held.burst
                            - scale (need.burst, total->burst, sum->burst));
  if (back.rate <= held.rate / 8)
    back.rate = 0;
  if (back.burst <= held.burst / 4)
    back.burst = 0;
  back.burst = MAX (back.burst, 0);
  if (back.rate == 0 && back.burst == 0)
    return;
  out->recall = back;
  out->recalled = node->now;
}

/* What POOL lacks after it gave what it could.  */
static struct cyq_share
lack_of (const struct cyq_node *node, const struct cyq_pool *pool,
         const struct need *sum, const struct cyq_share *total)
{
  struct cyq_share lack = { 0 };
  const struct cyq_out *out = NULL;
  CK_LIST_FOREACH (out, &pool->outs, in_pool)
  {
    struct need need = need_of (node, out);
    struct cyq_share held = cyq_out_held (out);
    int64_t rate = scale (need.rate, total->rate, sum->rate) - held.rate;
    if (rate > need.rate / 8)
      lack.rate += rate;
    int64_t burst = scale (need.burst, total->burst, sum->burst);
    if (held.burst < burst / 2)
      lack.burst += burst - held.burst;
    lack.burst += out->want;
  }
  struct cyq_share pending = pending_recall (node, pool);
  cyq_share_add (&lack, &pending);
  lack.rate += MAX (0, -pool->bucket.share.rate);
  lack.burst += MAX (0, -pool->bucket.share.burst);
  return lack;
}

static bool
root_is_exhausted (const struct cyq_pool *pool)
{
  return pool->demand >= pool->rate - pool->rate / 20;
}

void
cyq_serve (struct cyq_node *node, struct cyq_pool *pool)
{
  struct cyq_out *out = NULL;
  if (CK_LIST_EMPTY (&pool->outs) || node->end <= node->now)
    return;
  cyq_return_surplus (node, pool); /* what the giver asked back goes first */
  cyq_bucket_fill (&pool->bucket, node->now);
  measure_below (pool);
  if (!cyq_pool_is_overcommitted (pool))
    pool->owes_since = node->now;
  if (node->options.policy == CYQ_STATIC)
    {
      CK_LIST_FOREACH (out, &pool->outs, in_pool)
      give_static (node, pool, out);
      return;
    }
  struct cyq_share total = total_of (node, pool);
  if (node->options.root)
    pool->exhausted = root_is_exhausted (pool);
  decide_shares (pool, &total);
  struct need sum = sum_of_needs (node, pool);
  give_all (node, pool, &sum, &total);
  give_floors (node, pool);
  struct cyq_share lack = lack_of (node, pool, &sum, &total);
  struct cyq_share pending = pending_recall (node, pool);
  CK_LIST_FOREACH (out, &pool->outs, in_pool)
  {
    bool asked = lack.rate > 0 || lack.burst > 0;
    if ((asked
         && (out->want == 0 || cyq_pool_is_overcommitted (pool)
             || !cyq_share_is_zero (&pending)))
        || (!out->shared
            && cyq_out_held (out).rate > cyq_floor_of (node, pool).rate))
      recall (node, out, &sum, &total, &lack);
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
  const struct cyq_out *out = NULL;
  CK_LIST_FOREACH (out, &session->outs, in_session)
  {
    const struct cyq_pool *pool = out->pool;
    if (!cyq_pool_is_overcommitted (pool)
        || node->now - pool->owes_since < OWED_MS * CY_NS_PER_MS)
      continue;
    struct need need = need_of (node, out);
    struct need sum = sum_of_needs (node, pool);
    struct cyq_share held = cyq_out_held (out);
    struct cyq_share total = total_of (node, pool);
    if (held.rate > scale (need.rate, total.rate, sum.rate)
        || held.burst > scale (need.burst, total.burst, sum.burst))
      return true;
  }
  return false;
}

/* ------------------------------------------------------------ returning */

/* What the giver asked back and is at hand.  */
static struct cyq_share
recalled_part (struct cyq_node *node, struct cyq_pool *pool)
{
  struct cyq_share back = { 0 };
  const struct cyq_share *own = &pool->bucket.share;
  if (node->now - pool->recalled >= RECALL_KEEP_MS * CY_NS_PER_MS)
    pool->recall = back;
  back.rate = CLAMP (pool->recall.rate, 0, MAX (0, own->rate));
  back.burst = CLAMP (pool->recall.burst, 0, cyq_whole (own->burst));
  pool->recall.rate -= back.rate;
  pool->recall.burst -= back.burst;
  return back;
}

/* What POOL should keep in its own bucket.  */
static struct cyq_share
own_need (const struct cyq_node *node, const struct cyq_pool *pool)
{
  struct cyq_share need = { 0 };
  struct cyq_share out = cyq_pool_out (pool);
  int64_t demand = cyq_expected_demand (node, pool);
  if (demand < SHARE_RATE_LEAVE || out.rate + pool->bucket.share.rate <= 0)
    return need;
  need.rate = MAX (need.rate, rate_for (demand) - out.rate);
  need.burst = MAX (need.burst, burst_for (demand) - out.burst);
  return need;
}

/* Burst that holds no token and gets none: without a rate it is of no use.  */
static int64_t
useless_burst (const struct cyq_bucket *bucket)
{
  const struct cyq_share *own = &bucket->share;
  if (own->rate > 0)
    return 0;
  return MAX (0, own->burst - cyq_whole (own->level + CYQ_ONE - 1));
}

/* What POOL has held beyond its needs for long enough.  */
static struct cyq_share
surplus_part (struct cyq_node *node, struct cyq_pool *pool)
{
  struct cyq_share back = { 0, useless_burst (&pool->bucket), 0 };
  const struct cyq_share *own = &pool->bucket.share;
  struct cyq_share need = own_need (node, pool);
  need.burst = MAX (need.burst, pool->waiting);
  if (own->rate <= need.rate + need.rate / 8 && own->burst <= need.burst)
    {
      pool->surplus_since = 0;
      return back;
    }
  if (pool->surplus_since == 0)
    pool->surplus_since = node->now;
  int64_t wait_ms
      = CK_LIST_EMPTY (&pool->outs) ? SURPLUS_MS : RELAY_SURPLUS_MS;
  if (node->now - pool->surplus_since < wait_ms * CY_NS_PER_MS)
    return back;
  pool->surplus_since = 0;
  back.rate = MAX (0, own->rate - need.rate);
  back.burst = MAX (0, cyq_whole (own->burst - need.burst));
  return back;
}

/* Tokens that go back with BACK: whole ones, in the proportion of the burst
   that holds them, but none that a request here or below waits for.  What the
   rest of the burst can't hold goes as well.  */
static int64_t
returned_level (const struct cyq_pool *pool, const struct cyq_share *back)
{
  const struct cyq_share *own = &pool->bucket.share;
  int64_t waited_for = pool->waiting;
  const struct cyq_out *out = NULL;
  CK_LIST_FOREACH (out, &pool->outs, in_pool)
  waited_for += out->want;
  int64_t empty = useless_burst (&pool->bucket);
  int64_t level = 0;
  if (back->burst > empty)
    level = (int64_t)((__int128)own->level * (back->burst - empty)
                      / (own->burst - empty));
  level = cyq_whole (MIN (level, own->level - waited_for));
  return MAX (level, own->level - (own->burst - back->burst));
}

void
cyq_return_surplus (struct cyq_node *node, struct cyq_pool *pool)
{
  if (node->options.root || !node->established
      || node->options.policy == CYQ_STATIC)
    return;
  cyq_bucket_fill (&pool->bucket, node->now);
  struct cyq_share back = recalled_part (node, pool);
  if (back.rate == 0 && back.burst == 0)
    back = surplus_part (node, pool);
  if (back.rate == 0 && back.burst == 0)
    return;
  back.level = returned_level (pool, &back);
  cyq_pool_return (pool, &back);
}

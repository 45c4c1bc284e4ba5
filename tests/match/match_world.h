/* A matcher with servers that take a stated time, and requests that arrive by
   a stated pattern, on a clock that the test moves.  Include in one file of a
   program.  */

#ifndef MATCH_WORLD_H
#define MATCH_WORLD_H

#include <glib.h>
#include <math.h>
#include <string.h>

#include "core/cym_internal.h"
#include "cy_test.h"

#define WORLD_MS      CY_NS_PER_MS
#define WORLD_SERVERS 128

/* One kind of request.  */
struct kind
{
  const char *route;
  const char *workspace;
  double per_s;
  double service_ms;   /* at a server that does not know its object */
  double cached_ms;   /* at one that does */
  unsigned objects; /* 0: none */
  int64_t goal_ms;
  int64_t deadline_ms;
  uint32_t rank;
  const char *allowed_region; /* NULL: any */
};

/* What became of the requests of one kind.  */
struct tally
{
  unsigned arrived;
  unsigned on_time;
  unsigned late;
  unsigned refused;
  unsigned refused_late; /* refused after waiting an eighth of the goal */
};

struct world
{
  struct cym_match *match;
  cy_time_ns now;
  uint64_t seed;
  struct cy_random random;
  const struct kind *kinds;
  unsigned kind_count;
  struct tally counts[8];
  bool tokens;
  double hot_per_s; /* rate of workspace "hot", 0: no bound */
  double hot_tokens;
  cy_time_ns hot_refilled_at;
  GQueue running;             /* struct request by end */
  double slowdown[WORLD_SERVERS]; /* factor of server I */
  bool down[WORLD_SERVERS];
  unsigned max_in_flight;
  unsigned refused_tokens;
};

struct request
{
  struct cym_request request;
  struct world *world;
  const struct kind *kind;
  cy_time_ns begun;
  cy_time_ns sent_at;
  cy_time_ns ends_at;
  enum cym_outcome ending;
  bool decided;
  cy_result result;
  char *regions[2];
};

static struct world world;

static bool
world_has_token (void *context, const char *workspace, unsigned waiting,
                 cy_time_ns now)
{
  (void)context;
  if (world.hot_per_s <= 0 || strcmp (workspace, "hot") != 0)
    return world.tokens;
  double passed = (double)(now - world.hot_refilled_at) / (double)CY_NS_PER_S;
  world.hot_refilled_at = now;
  world.hot_tokens = fmin (world.hot_tokens + passed * world.hot_per_s, 20);
  return world.hot_tokens >= 1 + waiting;
}

static bool
world_token (void *context, const char *workspace, cy_time_ns now)
{
  if (!world_has_token (context, workspace, 0, now))
    return false;
  if (strcmp (workspace, "hot") == 0)
    world.hot_tokens -= 1;
  return true;
}

static uint32_t
world_token_wait (void *context, const char *workspace, cy_time_ns now)
{
  (void)context;
  (void)workspace;
  (void)now;
  return 77;
}

static void
world_start (void)
{
  memset (&world, 0, sizeof world);
  world.now = 1000 * CY_NS_PER_S;
  world.seed = 11;
  world.random = cy_seeded_random (&world.seed);
  world.tokens = true;
  g_queue_init (&world.running);
  struct cym_options options = {
    .region = "r1",
    .zone = "",
    .random = &world.random,
    .bounds
    = { .repeats = { .window = 10 * CY_NS_PER_S, .ratio = 0.2, .fixed = 5 } },
    .take_token = world_token,
    .has_token = world_has_token,
    .token_wait_ms = world_token_wait,
  };
  world.match = cym_match_create (&options);
  cym_match_declare_service (world.match, "s", 10, 3000);
}

/* Puts servers i0, i1, ... of service s, the even ones in zone a, and with
   AWAY_SLOTS one of another region, i40.  */
static void
world_servers (unsigned count, uint32_t slots, uint32_t cold_ms,
               uint32_t away_slots)
{
  struct cym_server_info away = { .id = "i40",
                                  .service = "s",
                                  .host = "10.0.0.2",
                                  .port = 1,
                                  .zone = "z",
                                  .region = "r2",
                                  .born = 1,
                                  .slots = away_slots };
  cym_match_begin (world.match);
  if (away_slots > 0)
    cym_match_put (world.match, &away, world.now);
  for (unsigned i = 0; i < count; i++)
    {
      char id[8];
      g_snprintf (id, sizeof id, "i%u", i);
      struct cym_server_info facts = { .id = id,
                                       .service = "s",
                                       .host = "10.0.0.1",
                                       .port = (uint16_t)(100 + i),
                                       .zone = i % 2 == 0 ? "a" : "b",
                                       .region = "r1",
                                       .born = 1,
                                       .slots = slots,
                                       .cold_ms = cold_ms };
      cym_match_put (world.match, &facts, world.now);
    }
  cym_match_end (world.match, world.now);
}

static double
world_unit (void)
{
  return (double)(cy_random_next (&world.random) >> 11) * 0x1p-53;
}

static gint
compare_ends (gconstpointer a, gconstpointer b, gpointer unused)
{
  (void)unused;
  const struct request *left = a;
  const struct request *right = b;
  return left->ends_at < right->ends_at ? -1 : left->ends_at > right->ends_at;
}

/* REQUEST starts at its server.  */
static void
world_run (struct request *request)
{
  const struct cym_server *server = request->request.server;
  unsigned index = (unsigned)atoi (server->id + 1);
  double ms
      = request->request.affinity_hit ? request->kind->cached_ms : request->kind->service_ms;
  if (world.slowdown[index] > 0)
    ms *= world.slowdown[index];
  request->ending = world.down[index] ? CYM_UNREACHABLE : CYM_ANSWERED;
  request->sent_at = world.now;
  request->ends_at
      = world.now + (cy_time_ns)((world.down[index] ? 1 : ms) * WORLD_MS);
  g_queue_insert_sorted (&world.running, request, compare_ends, NULL);
  world.max_in_flight = MAX (world.max_in_flight, server->in_flight);
}

static struct tally *
tally_of (const struct request *request)
{
  return &world.counts[request->kind - world.kinds];
}

static void
world_decide (struct request *request, cy_result result)
{
  if (result == CY_OK)
    {
      world_run (request);
      return;
    }
  struct tally *tally = tally_of (request);
  tally->refused++;
  if (world.now - request->begun
      > request->kind->goal_ms * WORLD_MS / 8 + 2 * WORLD_MS)
    tally->refused_late++;
  g_free (request);
}

static void
world_answered (struct cym_request *ask, cy_result result)
{
  world_decide (ask->owner, result);
}

static void
world_ask (const struct kind *kind)
{
  struct request *request = g_new0 (struct request, 1);
  request->world = &world;
  request->kind = kind;
  request->begun = world.now;
  struct cym_request *ask = &request->request;
  ask->service = "s";
  ask->route = kind->route;
  ask->workspace = kind->workspace;
  ask->zone = "a";
  ask->rank = kind->rank;
  ask->route_rank = kind->rank;
  ask->goal_at = world.now + kind->goal_ms * WORLD_MS;
  ask->deadline_at = world.now + kind->deadline_ms * WORLD_MS;
  ask->hold = kind->goal_ms * WORLD_MS / 8;
  ask->metered = true;
  if (kind->objects > 0)
    ask->affinity = 1 + cy_random_below (&world.random, kind->objects) * 7919
                    + (uint64_t)(kind - world.kinds) * 1000003;
  if (kind->allowed_region != NULL)
    {
      request->regions[0] = (char *)kind->allowed_region;
      ask->homes = request->regions;
      ask->home_count = 1;
    }
  ask->answered = world_answered;
  ask->owner = request;
  tally_of (request)->arrived++;
  cy_result result = cym_match_place (world.match, ask, world.now);
  if (result != CY_E_AGAIN)
    world_decide (request, result);
}

static void
world_finish (struct request *request)
{
  struct cym_load load = { 0 };
  struct tally *tally = tally_of (request);
  cy_time_ns answer
      = request->ending == CYM_ANSWERED ? request->ends_at - request->sent_at : 0;
  cym_match_finish (world.match, &request->request, request->ending, answer, &load,
                    world.now);
  if (request->ending != CYM_ANSWERED)
    tally->refused++;
  else if (world.now - request->begun <= request->kind->goal_ms * WORLD_MS)
    tally->on_time++;
  else
    tally->late++;
  g_free (request);
}

/* Lets MS pass: requests of the kinds arrive at random, run and end.  */
static void
world_pass (const struct kind *kinds, unsigned count, int64_t ms)
{
  cy_time_ns end = world.now + ms * WORLD_MS;
  world.kinds = kinds;
  world.kind_count = count;
  for (; world.now < end; world.now += WORLD_MS)
    {
      struct request *first = NULL;
      while ((first = g_queue_peek_head (&world.running)) != NULL
             && first->ends_at <= world.now)
        world_finish (g_queue_pop_head (&world.running));
      for (unsigned i = 0; i < count; i++)
        {
          double expected = kinds[i].per_s / 1000;
          for (; expected > 0; expected -= 1)
            if (world_unit () < expected)
              world_ask (&kinds[i]);
        }
      cym_match_tick (world.match, world.now);
    }
}

static inline void
world_stop (void)
{
  world_pass (world.kinds, 0, 15000);
  ck_assert_uint_eq (g_queue_get_length (&world.running), 0);
  cym_match_destroy (world.match);
}

#endif /* MATCH_WORLD_H */

/* Simulation of a matcher: servers take a fixed time for each request,
   requests arrive at random with a given rate, and the test moves the clock.
   Include it in one source file of a program.  */

#ifndef MATCH_WORLD_H
#define MATCH_WORLD_H

#include <glib.h>
#include <math.h>
#include <string.h>

#include "core/cym_internal.h"
#include "cy_test.h"

#define SIM_MS          CY_NS_PER_MS /* one ms in ns */
#define SIM_SERVERS_MAX 128

/* Requests of one kind: how many arrive and what each one needs.  */
struct workload
{
  const char *route;
  const char *workspace;
  double per_s;      /* requests per second */
  double service_ms; /* time at a server without the object in its cache */
  double cached_ms;  /* time at a server with the object in its cache */
  unsigned objects;  /* distinct objects, chosen at random; 0: no objects */
  int64_t goal_ms;   /* latency goal */
  int64_t deadline_ms;
  uint32_t rank;
  const char *allowed_region; /* the only one that may serve, NULL: any */
};

/* Results of the requests of one workload.  */
struct request_counts
{
  unsigned arrived;
  unsigned on_time; /* answered within the latency goal */
  unsigned late;    /* answered later */
  unsigned refused;
  unsigned refused_late; /* refused after waiting an eighth of the goal */
};

/* State of the simulation.  */
struct sim
{
  struct cym_match *match;
  cy_time_ns now;
  uint64_t seed;
  struct cy_random random;
  const struct workload *workloads;
  unsigned workload_count;
  struct request_counts counts[8]; /* by workload */
  bool tokens;       /* workspaces have tokens, except "hot" with a rate */
  double hot_per_s;  /* rate limit of workspace "hot", 0: no limit */
  double hot_tokens; /* tokens of workspace "hot" */
  cy_time_ns hot_refilled_at;
  GQueue running;                   /* struct sim_call, first end first */
  double slowdown[SIM_SERVERS_MAX]; /* factor of the time at server I, 0: 1 */
  bool down[SIM_SERVERS_MAX];       /* server I does not accept connections */
  bool limited[SIM_SERVERS_MAX];    /* server I reports a limit */
  double limits[SIM_SERVERS_MAX];   /* requests/s that it reports */
  unsigned max_in_flight; /* most requests that one server ran at once */
  unsigned refused_tokens;
};

/* One simulated request.  */
struct sim_call
{
  struct cym_request request;
  struct sim *sim;
  const struct workload *workload;
  cy_time_ns arrived_at;
  cy_time_ns sent_at; /* time at which the server got the request */
  cy_time_ns ends_at; /* time at which the server answers or fails */
  enum cym_outcome outcome;
  bool decided;
  cy_result result;
  char *regions[2]; /* array for the allowed regions of the request */
};

static struct sim sim;

static bool
sim_has_token (void *context, const char *workspace, unsigned waiting,
               cy_time_ns now)
{
  (void)context;
  if (sim.hot_per_s <= 0 || strcmp (workspace, "hot") != 0)
    return sim.tokens;
  double elapsed_s = (double)(now - sim.hot_refilled_at) / (double)CY_NS_PER_S;
  sim.hot_refilled_at = now;
  sim.hot_tokens = fmin (sim.hot_tokens + elapsed_s * sim.hot_per_s, 20);
  return sim.hot_tokens >= 1 + waiting;
}

static bool
sim_take_token (void *context, const char *workspace, cy_time_ns now)
{
  if (!sim_has_token (context, workspace, 0, now))
    return false;
  if (strcmp (workspace, "hot") == 0)
    sim.hot_tokens -= 1;
  return true;
}

static uint32_t
sim_token_wait_ms (void *context, const char *workspace, cy_time_ns now)
{
  (void)context;
  (void)workspace;
  (void)now;
  return 77;
}

static void
sim_create (void)
{
  memset (&sim, 0, sizeof sim);
  sim.now = 1000 * CY_NS_PER_S;
  sim.seed = 11;
  sim.random = cy_seeded_random (&sim.seed);
  sim.tokens = true;
  g_queue_init (&sim.running);
  struct cym_options options = {
    .region = "r1",
    .random = &sim.random,
    .limits
    = { .retries = { .window = 10 * CY_NS_PER_S, .ratio = 0.2, .fixed = 5 } },
    .take_token = sim_take_token,
    .has_token = sim_has_token,
    .token_wait_ms = sim_token_wait_ms,
  };
  sim.match = cym_match_create (&options);
  cym_match_declare_service (sim.match, "s", 10, 3000);
}

/* Registers COUNT servers i0, i1, ... of service s in region r1, the even ones
   in zone a, and server i40 in region r2 if REMOTE_SLOTS is above 0.  */
static void
sim_put_servers (unsigned count, uint32_t slots, uint32_t cold_ms,
                 uint32_t remote_slots)
{
  struct cym_server_info remote = { .id = "i40",
                                    .service = "s",
                                    .host = "10.0.0.2",
                                    .port = 1,
                                    .zone = "z",
                                    .region = "r2",
                                    .incarnation = 1,
                                    .slots = remote_slots };
  cym_match_begin_update (sim.match);
  if (remote_slots > 0)
    cym_match_put_server (sim.match, &remote, sim.now);
  for (unsigned i = 0; i < count; i++)
    {
      char id[8];
      g_snprintf (id, sizeof id, "i%u", i);
      struct cym_server_info info = { .id = id,
                                      .service = "s",
                                      .host = "10.0.0.1",
                                      .port = (uint16_t)(100 + i),
                                      .zone = i % 2 == 0 ? "a" : "b",
                                      .region = "r1",
                                      .incarnation = 1,
                                      .slots = slots,
                                      .cold_ms = cold_ms };
      cym_match_put_server (sim.match, &info, sim.now);
    }
  cym_match_end_update (sim.match, sim.now);
}

/* Random number, uniform in [0, 1).  */
static double
sim_random_unit (void)
{
  return (double)(cy_random_next (&sim.random) >> 11) * 0x1p-53;
}

static gint
compare_ends (gconstpointer a, gconstpointer b, gpointer unused)
{
  (void)unused;
  const struct sim_call *left = a;
  const struct sim_call *right = b;
  return left->ends_at < right->ends_at ? -1 : left->ends_at > right->ends_at;
}

/* Starts CALL at the server that the matcher has chosen.  */
static void
sim_start_call (struct sim_call *call)
{
  const struct cym_server *server = call->request.server;
  unsigned index = (unsigned)atoi (server->id + 1);
  double ms = call->request.affinity_hit ? call->workload->cached_ms
                                         : call->workload->service_ms;
  if (sim.slowdown[index] > 0)
    ms *= sim.slowdown[index];
  call->outcome = sim.down[index] ? CYM_UNREACHABLE : CYM_ANSWERED;
  call->sent_at = sim.now;
  call->ends_at = sim.now + (cy_time_ns)((sim.down[index] ? 1 : ms) * SIM_MS);
  g_queue_insert_sorted (&sim.running, call, compare_ends, NULL);
  sim.max_in_flight = MAX (sim.max_in_flight, server->in_flight);
}

static struct request_counts *
counts_of (const struct sim_call *call)
{
  return &sim.counts[call->workload - sim.workloads];
}

/* Starts CALL after CY_OK, else counts the refusal and frees CALL.  */
static void
sim_handle_result (struct sim_call *call, cy_result result)
{
  if (result == CY_OK)
    {
      sim_start_call (call);
      return;
    }
  struct request_counts *counts = counts_of (call);
  counts->refused++;
  if (sim.now - call->arrived_at
      > call->workload->goal_ms * SIM_MS / 8 + 2 * SIM_MS)
    counts->refused_late++;
  g_free (call);
}

static void
sim_on_decision (struct cym_request *request, cy_result result)
{
  sim_handle_result (request->owner, result);
}

/* Creates one request of WORKLOAD and places it.  */
static void
sim_send (const struct workload *workload)
{
  struct sim_call *call = g_new0 (struct sim_call, 1);
  call->sim = &sim;
  call->workload = workload;
  call->arrived_at = sim.now;
  struct cym_request *request = &call->request;
  request->service = "s";
  request->route = workload->route;
  request->workspace = workload->workspace;
  request->zone = "a";
  request->rank = workload->rank;
  request->route_rank = workload->rank;
  request->goal_at = sim.now + workload->goal_ms * SIM_MS;
  request->deadline_at = sim.now + workload->deadline_ms * SIM_MS;
  request->wait_past_goal = workload->goal_ms * SIM_MS / 8;
  request->metered = true;
  if (workload->objects > 0)
    request->affinity
        = 1 + cy_random_below (&sim.random, workload->objects) * 7919
          + (uint64_t)(workload - sim.workloads) * 1000003;
  if (workload->allowed_region != NULL)
    {
      call->regions[0] = (char *)workload->allowed_region;
      request->allowed_regions = call->regions;
      request->allowed_region_count = 1;
    }
  request->on_decision = sim_on_decision;
  request->owner = call;
  counts_of (call)->arrived++;
  cy_result result = cym_match_place (sim.match, request, sim.now);
  if (result != CY_E_AGAIN)
    sim_handle_result (call, result);
}

static void
sim_finish_call (struct sim_call *call)
{
  unsigned index = (unsigned)atoi (call->request.server->id + 1);
  struct cym_load load = { .limited = sim.limited[index],
                           .limit_per_s = sim.limits[index],
                           .unlimited = !sim.limited[index] };
  struct request_counts *counts = counts_of (call);
  cy_time_ns answer_time
      = call->outcome == CYM_ANSWERED ? call->ends_at - call->sent_at : 0;
  cym_match_finish (sim.match, &call->request, call->outcome, answer_time,
                    &load, sim.now);
  if (call->outcome != CYM_ANSWERED)
    counts->refused++;
  else if (sim.now - call->arrived_at <= call->workload->goal_ms * SIM_MS)
    counts->on_time++;
  else
    counts->late++;
  g_free (call);
}

/* Runs the simulation for MS ms: requests of COUNT workloads arrive at random,
   run and end.  */
static void
sim_run (const struct workload *workloads, unsigned count, int64_t ms)
{
  cy_time_ns end = sim.now + ms * SIM_MS;
  sim.workloads = workloads;
  sim.workload_count = count;
  for (; sim.now < end; sim.now += SIM_MS)
    {
      struct sim_call *first = NULL;
      while ((first = g_queue_peek_head (&sim.running)) != NULL
             && first->ends_at <= sim.now)
        sim_finish_call (g_queue_pop_head (&sim.running));
      for (unsigned i = 0; i < count; i++)
        {
          double expected_count = workloads[i].per_s / 1000;
          for (; expected_count > 0; expected_count -= 1)
            if (sim_random_unit () < expected_count)
              sim_send (&workloads[i]);
        }
      cym_match_tick (sim.match, sim.now);
    }
}

/* Runs the simulation without new requests until all have ended, then frees
   the matcher.  */
static inline void
sim_destroy (void)
{
  sim_run (sim.workloads, 0, 15000);
  ck_assert_uint_eq (g_queue_get_length (&sim.running), 0);
  cym_match_destroy (sim.match);
}

#endif /* MATCH_WORLD_H */

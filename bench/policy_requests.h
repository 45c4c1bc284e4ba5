/* Simulation of single requests under a policy: six zones of five backend
   servers with four slots each, callers by client block that keep their
   answers, and reports that are delayed or false.  Used by bench_policy only.

   A zone is a first-in-first-out queue with one server for each slot; a
   request that would wait longer than REQ_MAX_WAIT_S is refused without being
   executed.  */

#ifndef POLICY_REQUESTS_H
#define POLICY_REQUESTS_H

#include <glib.h>
#include <math.h>
#include <string.h>

#include "core/cyp_plan.h"
#include "core/cyp_policy.h"
#include "cy_test.h"

#define REQ_REGIONS          3
#define REQ_ZONES            6
#define REQ_SLOTS_PER_ZONE   20
#define REQ_SERVERS_PER_ZONE 5
#define REQ_SERVICE_TIME_MS  100.0 /* mean service time with warm caches */
#define REQ_BLOCKS           3000  /* client blocks */
#define REQ_WORKSPACES       8
#define REQ_SECONDS          120
#define REQ_FAULT_START_S    30  /* s; start of the fault */
#define REQ_FAULT_END_S      90  /* s; end of the fault */
#define REQ_MAX_WAIT_S       0.5 /* s; maximum wait for a slot */
#define REQ_ANSWER_TTL_S     5.0 /* s for which callers keep an answer */
#define REQ_RETRY_DELAY_S    1.0 /* s before a refused caller looks up again */
#define REQ_BUCKETS          400 /* buckets of the histogram, each 3 % wide */

enum req_fault
{
  REQ_FAULT_NONE,
  REQ_FAULT_ZONE_LOST,
  REQ_FAULT_REGION_LOST,
  REQ_FAULT_HALF_LOST,
  REQ_FAULT_FROZEN,
  REQ_FAULT_FALSE_SLOTS,
  REQ_FAULT_SLOW_SERVER,
  REQ_FAULT_LOST_AND_FALSE_SLOTS,
  REQ_FAULT_COUNT
};

static const char *const req_fault_names[REQ_FAULT_COUNT]
    = { "none",          "zone lost", "region lost", "half the servers",
        "frozen + lost", "lying",     "10x slow",    "lost + lying" };

struct req_case
{
  uint64_t seed;
  double link_ms;    /* round trip between two regions */
  double caller_ms;  /* round trip from callers to a zone of their region */
  double load_ratio; /* request rate as a share of the capacity */
  enum req_fault fault;
  enum cyp_policy_kind policy;
  /* Cap of the plan in a window of 10 s; other policies have no cap.  */
  double cap_fraction;
};

struct req_result
{
  double p99_ms; /* latency of the worst-served workspace */
  double mean_ms;
  double refused_share; /* share of all requests, all within their rate */
  double worst_refused; /* share of the worst-served workspace */
};

struct req_zone
{
  /* Time at which each slot becomes free.  */
  double slot_free_at_s[REQ_SLOTS_PER_ZONE];
  double rate_per_s; /* requests a second, smoothed over 2 s */
  /* Rate smoothed over 30 s: the part of the traffic that finds warm caches.
   */
  double warm_rate_per_s;
  unsigned served;  /* requests served in this second */
  unsigned refused; /* requests refused in this second */
  double busy_ms;   /* sum of service times in this second */
};

struct req_block
{
  unsigned origin;
  unsigned workspace;
  unsigned zone; /* zone of the current answer; REQ_ZONES: refused */
  double answer_expires_at_s;
  /* Share of requests of this block and all previous ones.  */
  double cumulative_share;
};

struct req_run
{
  struct req_case test_case;
  uint64_t seed;
  struct cy_random random;
  struct req_zone zones[REQ_ZONES];
  struct req_block blocks[REQ_BLOCKS];
  struct cyp_load latest_report[REQ_ZONES];
  /* Reports of the second before latest_report; the policies use these.  */
  struct cyp_load previous_report[REQ_ZONES];
  struct cyp_plan *plan;
  struct cyp_topology topology;
  unsigned histogram[REQ_WORKSPACES][REQ_BUCKETS];
  unsigned request_counts[REQ_WORKSPACES];
  unsigned refused_counts[REQ_WORKSPACES];
  double sum_ms;
  unsigned answered_count;
};

static inline double
req_random_unit (struct req_run *run)
{
  return ((double)(cy_random_next (&run->random) >> 11) + 0.5) * 0x1p-53;
}

static inline bool
req_is_fault_time (double t)
{
  return t >= REQ_FAULT_START_S && t < REQ_FAULT_END_S;
}

static inline bool
req_zone_is_lost (const struct req_run *run, unsigned z, double t)
{
  if (!req_is_fault_time (t))
    return false;
  switch (run->test_case.fault)
    {
    case REQ_FAULT_ZONE_LOST:
    case REQ_FAULT_LOST_AND_FALSE_SLOTS:
    case REQ_FAULT_FROZEN:
      return z == 2;
    case REQ_FAULT_REGION_LOST:
      return z / 2 == 1;
    case REQ_FAULT_NONE:
    case REQ_FAULT_HALF_LOST:
    case REQ_FAULT_FALSE_SLOTS:
    case REQ_FAULT_SLOW_SERVER:
    case REQ_FAULT_COUNT:
      return false;
    }
  return false;
}

/* Assigns the blocks to two large workspaces in all regions and six small
   workspaces in one region each.  */
static inline void
req_blocks_start (struct req_run *run)
{
  double sum = 0;
  for (unsigned b = 0; b < REQ_BLOCKS; b++)
    {
      struct req_block *block = &run->blocks[b];
      block->origin = b % REQ_REGIONS;
      block->workspace = b % 2 == 0 ? b / 2 % 2 : 2 + b % 6;
      double large = block->workspace < 2 ? 2 : 1;
      sum += large * (0.5 + req_random_unit (run));
      block->cumulative_share = sum;
      block->answer_expires_at_s = req_random_unit (run) * 0.01;
      block->zone = REQ_ZONES;
    }
  for (unsigned b = 0; b < REQ_BLOCKS; b++)
    run->blocks[b].cumulative_share /= sum;
}

static inline void
req_start (struct req_run *run, const struct req_case *test_case)
{
  memset (run, 0, sizeof *run);
  run->test_case = *test_case;
  run->seed = test_case->seed;
  run->random = cy_seeded_random (&run->seed);
  run->plan = cyp_plan_create ();
  cyp_topology_clear (&run->topology);
  run->topology.zones = REQ_ZONES;
  run->topology.regions = REQ_REGIONS;
  run->topology.services = 1;
  run->topology.headroom = 0.05;
  run->topology.service_declared[0] = true;
  run->topology.cap[0]
      = (struct cyp_cap){ test_case->cap_fraction, 10 * CY_NS_PER_S };
  for (unsigned z = 0; z < REQ_ZONES; z++)
    {
      run->topology.zone_declared[z] = true;
      run->topology.zone_region[z] = (uint16_t)(z / 2);
      run->latest_report[z] = (struct cyp_load){
        REQ_SERVERS_PER_ZONE, REQ_SLOTS_PER_ZONE, 0, 0, 0, REQ_SERVICE_TIME_MS
      };
      run->previous_report[z] = run->latest_report[z];
    }
  for (unsigned a = 0; a < REQ_REGIONS; a++)
    for (unsigned b = 0; b < REQ_REGIONS; b++)
      run->topology.link_ms[a][b] = a == b ? 0 : test_case->link_ms;
  req_blocks_start (run);
}

static inline unsigned
req_active_count (const struct req_zone *zone, double t)
{
  unsigned active = 0;
  for (unsigned i = 0; i < REQ_SLOTS_PER_ZONE; i++)
    active += zone->slot_free_at_s[i] > t;
  return active;
}

/* Updates the reports of the zones at the end of second T.  */
static inline void
req_update_reports (struct req_run *run, double t)
{
  for (unsigned z = 0; z < REQ_ZONES; z++)
    {
      struct req_zone *zone = &run->zones[z];
      struct cyp_load *load = &run->latest_report[z];
      run->previous_report[z] = *load;
      bool is_frozen
          = run->test_case.fault == REQ_FAULT_FROZEN && req_is_fault_time (t);
      bool is_false
          = (run->test_case.fault == REQ_FAULT_FALSE_SLOTS
             || run->test_case.fault == REQ_FAULT_LOST_AND_FALSE_SLOTS)
            && req_is_fault_time (t) && z == 3;
      bool is_halved = run->test_case.fault == REQ_FAULT_HALF_LOST
                       && req_is_fault_time (t) && z == 2;
      if (!is_frozen)
        {
          load->slots
              = is_halved ? REQ_SLOTS_PER_ZONE / 2 : REQ_SLOTS_PER_ZONE;
          load->backends
              = is_halved ? REQ_SERVERS_PER_ZONE / 2 : REQ_SERVERS_PER_ZONE;
          load->in_flight = req_active_count (zone, t);
          load->requests_per_s = zone->served;
          load->refused_per_s = zone->refused;
          load->service_time_ms
              = zone->served > 0 ? zone->busy_ms / zone->served : 0;
          if (is_false)
            load->slots *= 3, load->in_flight = 0;
        }
      double arrived_count = zone->served + zone->refused;
      zone->rate_per_s += 0.4 * (arrived_count - zone->rate_per_s);
      zone->warm_rate_per_s += (zone->rate_per_s - zone->warm_rate_per_s) / 30;
      if (t < 10)
        zone->warm_rate_per_s = zone->rate_per_s;
      zone->served = zone->refused = 0;
      zone->busy_ms = 0;
    }
}

static inline void
req_run_plan (struct req_run *run, unsigned second)
{
  cy_time_ns now = (cy_time_ns)(second + 1000) * CY_NS_PER_S;
  for (unsigned z = 0; z < REQ_ZONES; z++)
    {
      bool is_lost = req_zone_is_lost (run, z, second);
      bool is_frozen = run->test_case.fault == REQ_FAULT_FROZEN
                       && req_is_fault_time (second);
      run->topology.zone_lost[z]
          = is_lost && req_zone_is_lost (run, z, second - 3.0);
      if (!is_lost && !is_frozen)
        cyp_plan_observe (run->plan, 0, z, &run->previous_report[z], now);
    }
  cyp_plan_run (run->plan, &run->topology, now);
}

/* Returns the zone that the policy chooses for block B.  The other policies
   receive the loss of a zone at the same time as the plan.  */
static inline unsigned
req_choose_zone (struct req_run *run, unsigned b, double t)
{
  const struct req_block *block = &run->blocks[b];
  struct cyp_candidate candidates[REQ_ZONES];
  struct cyp_policy policy = { .kind = run->test_case.policy };
  for (unsigned z = 0; z < REQ_ZONES; z++)
    {
      const struct cyp_load *load = &run->previous_report[z];
      bool is_known_lost
          = req_zone_is_lost (run, z, t) && req_zone_is_lost (run, z, t - 3);
      candidates[z] = (struct cyp_candidate){
        .usable = !is_known_lost,
        .distance_ms = z / 2 == block->origin ? 0 : run->test_case.link_ms,
        .slots = load->slots,
        .active = load->in_flight
      };
    }
  if (policy.kind == CYP_POLICY_LEAST_REQUEST)
    policy.of.least_request.bias = 1;
  if (policy.kind == CYP_POLICY_PLAN)
    {
      policy.of.plan.weights = cyp_plan_weights (run->plan, 0, block->origin);
      policy.of.plan.seed = (b + 1) * UINT64_C (0x9e3779b97f4a7c15);
      if (policy.of.plan.weights == NULL)
        return REQ_ZONES;
    }
  return cyp_policy_choose (&policy, candidates, REQ_ZONES, &run->random);
}

static inline double
req_service_s (struct req_run *run, const struct req_zone *zone, unsigned z,
               unsigned slot, double t)
{
  double cold_share
      = zone->rate_per_s > 0
            ? fmax (0, 1 - zone->warm_rate_per_s / zone->rate_per_s)
            : 0;
  double mean_s = REQ_SERVICE_TIME_MS * (1 + 0.5 * cold_share) / 1000;
  bool is_slow = run->test_case.fault == REQ_FAULT_SLOW_SERVER
                 && req_is_fault_time (t) && z == 2
                 && slot < REQ_SLOTS_PER_ZONE / REQ_SERVERS_PER_ZONE;
  return -log (req_random_unit (run)) * mean_s * (is_slow ? 10 : 1);
}

/* Serves one request that arrives at zone Z at T.  Returns the seconds until
   the answer, or a negative value when the request is refused.  */
static inline double
req_serve (struct req_run *run, unsigned z, double t)
{
  struct req_zone *zone = &run->zones[z];
  if (req_zone_is_lost (run, z, t))
    return -1;
  bool is_halved = run->test_case.fault == REQ_FAULT_HALF_LOST
                   && req_is_fault_time (t) && z == 2;
  unsigned slots = is_halved ? REQ_SLOTS_PER_ZONE / 2 : REQ_SLOTS_PER_ZONE;
  unsigned best_slot = (unsigned)cy_random_below (&run->random, slots);
  for (unsigned i = 0; i < slots; i++)
    {
      bool is_earlier
          = zone->slot_free_at_s[i] < zone->slot_free_at_s[best_slot];
      if (is_earlier && zone->slot_free_at_s[best_slot] > t)
        best_slot = i;
    }
  double start_s = fmax (t, zone->slot_free_at_s[best_slot]);
  if (start_s - t > REQ_MAX_WAIT_S)
    {
      zone->refused++;
      return -1;
    }
  double service_s = req_service_s (run, zone, z, best_slot, t);
  zone->slot_free_at_s[best_slot] = start_s + service_s;
  zone->served++;
  zone->busy_ms += service_s * 1000;
  return start_s - t + service_s;
}

static inline void
req_record_latency (struct req_run *run, unsigned workspace, double ms)
{
  double bucket = log (fmax (ms, 0.1) / 0.1) / log (1.03);
  unsigned index = (unsigned)fmin (bucket, REQ_BUCKETS - 1);
  run->histogram[workspace][index]++;
  run->sum_ms += ms;
  run->answered_count++;
}

static inline void
req_send_request (struct req_run *run, double t)
{
  double position = req_random_unit (run);
  unsigned b = 0;
  unsigned step = REQ_BLOCKS;
  for (unsigned low = 0; step > 1; b = low)
    {
      step = (step + 1) / 2;
      if (low + step < REQ_BLOCKS
          && run->blocks[low + step - 1].cumulative_share < position)
        low += step;
    }
  struct req_block *block = &run->blocks[b];
  bool is_zone_lost
      = block->zone < REQ_ZONES && req_zone_is_lost (run, block->zone, t);
  if (t >= block->answer_expires_at_s || is_zone_lost)
    {
      block->zone = req_choose_zone (run, b, t);
      block->answer_expires_at_s
          = t
            + (block->zone < REQ_ZONES ? REQ_ANSWER_TTL_S : REQ_RETRY_DELAY_S);
    }
  run->request_counts[block->workspace]++;
  bool is_remote = block->zone / 2 != block->origin;
  double path_ms
      = run->test_case.caller_ms + (is_remote ? run->test_case.link_ms : 0);
  double took_s = block->zone < REQ_ZONES
                      ? req_serve (run, block->zone, t + path_ms / 2000)
                      : -1;
  if (took_s < 0)
    run->refused_counts[block->workspace]++;
  else
    req_record_latency (run, block->workspace, path_ms + took_s * 1000);
}

static inline double
req_p99_ms (const struct req_run *run, unsigned workspace)
{
  unsigned total = 0;
  for (unsigned i = 0; i < REQ_BUCKETS; i++)
    total += run->histogram[workspace][i];
  unsigned cumulative = 0;
  for (unsigned i = 0; i < REQ_BUCKETS; i++)
    {
      cumulative += run->histogram[workspace][i];
      if (cumulative >= 0.99 * total)
        return 0.1 * pow (1.03, i + 1);
    }
  return 0;
}

static inline void
req_run_case (const struct req_case *test_case, struct req_result *result)
{
  struct req_run *run = g_new (struct req_run, 1);
  req_start (run, test_case);
  double rate_per_s = test_case->load_ratio * REQ_ZONES * REQ_SLOTS_PER_ZONE
                      * 1000 / REQ_SERVICE_TIME_MS;
  double t = 0;
  for (unsigned second = 0; second < REQ_SECONDS; second++)
    {
      req_run_plan (run, second);
      while (t < second + 1.0)
        {
          req_send_request (run, t);
          t += -log (req_random_unit (run)) / rate_per_s;
        }
      req_update_reports (run, second + 1.0);
    }
  unsigned request_count = 0;
  unsigned refused_count = 0;
  memset (result, 0, sizeof *result);
  for (unsigned w = 0; w < REQ_WORKSPACES; w++)
    {
      request_count += run->request_counts[w];
      refused_count += run->refused_counts[w];
      result->p99_ms = fmax (result->p99_ms, req_p99_ms (run, w));
      result->worst_refused
          = fmax (result->worst_refused, (double)run->refused_counts[w]
                                             / (double)run->request_counts[w]);
    }
  result->refused_share = (double)refused_count / (double)request_count;
  result->mean_ms = run->sum_ms / run->answered_count;
  cyp_plan_destroy (run->plan);
  g_free (run);
}

#endif /* POLICY_REQUESTS_H */

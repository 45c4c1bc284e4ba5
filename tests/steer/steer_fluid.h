/* Traffic model for tests of the steering plan, in steps of one second: zones
   with a capacity, callers by origin, measurements that are delayed or wrong,
   and entry VMs that apply plans with a delay.  Traffic is modelled as rates;
   bench/policy_requests.h models single requests.  Used by test_bounds and by
   bench_policy, which runs 10,000 cases.  */

#ifndef STEER_FLUID_H
#define STEER_FLUID_H

#include <math.h>
#include <string.h>

#include "core/cyp_plan.h"
#include "cy_test.h"

#define MODEL_REGIONS        3
#define MODEL_ZONES          6
#define MODEL_ENTRIES        6
#define MODEL_SECONDS        240
#define MODEL_SETTLED_S      30  /* s until the demand estimate has settled */
#define MODEL_FIRST_FAULT_S  40  /* s; start of the first fault */
#define MODEL_SECOND_FAULT_S 70  /* s; start of the second fault */
#define MODEL_FAULT_END_S    150 /* s; end of both faults */
#define MODEL_HISTORY_S      16  /* s for which measurements are kept */
#define MODEL_ANSWER_TTL_S   5   /* s for which callers keep an answer */

enum model_fault
{
  MODEL_FAULT_NONE,
  MODEL_FAULT_ZONE_LOST,
  MODEL_FAULT_REGION_LOST,
  MODEL_FAULT_HALF_LOST,   /* a zone loses half of its servers */
  MODEL_FAULT_FROZEN,      /* no measurements of one region arrive */
  MODEL_FAULT_FALSE_SLOTS, /* a zone reports three times its slots, all idle */
  MODEL_FAULT_SLOW_SERVERS, /* one server in three is ten times slower */
  MODEL_FAULT_HUNG, /* a zone's servers count as healthy and never answer */
  MODEL_FAULT_COUNT
};

static const char *const model_fault_names[MODEL_FAULT_COUNT]
    = { "none",   "zone lost", "region lost", "half the servers",
        "frozen", "lying",     "10x slow",    "hung" };

struct model_case
{
  uint64_t seed;
  double link_ms;
  double load_ratio; /* demand of all regions as a share of the capacity */
  double headroom;
  struct cyp_cap cap;
  enum model_fault first_fault;
  enum model_fault second_fault;
  unsigned first_zone;  /* zone of the first fault */
  unsigned second_zone; /* zone of the second fault */
  bool has_short_lags;  /* no entry VM is more than 4 s behind the plan */
};

struct model_zone
{
  double slots;           /* actual slots */
  double service_time_ms; /* actual service time with warm caches */
  double cold_per_s;      /* recently added requests a second */
  double arriving_per_s;  /* requests a second in this step */
  bool reachable;
};

struct model_entry
{
  unsigned lag_s; /* delay in s with which the entry VM applies plans */
  double share;   /* share of every origin's lookups */
  struct cyp_shift shift[MODEL_REGIONS];
};

struct model_result
{
  /* Largest share added by the plan in a window, less the cap.  */
  double worst_plan_excess;
  /* Largest share added by all entry VMs in a window, less the cap.  */
  double worst_fleet_excess;
  /* Largest ratio of load to actual capacity after a move.  */
  double worst_load_ratio;
  unsigned reversals; /* largest number of reversals of a single weight */
  double goodput[MODEL_SECONDS]; /* share of the demand that is served */
  double refused[MODEL_SECONDS]; /* share of the demand that is not served */
};

struct traffic_model
{
  struct model_case test_case;
  uint64_t seed;
  struct cy_random random;
  struct cyp_plan *plan;
  struct cyp_topology topology;
  struct model_zone zones[MODEL_ZONES];
  struct model_entry entries[MODEL_ENTRIES];
  double demand_per_s[MODEL_REGIONS];
  struct cyp_load history[MODEL_HISTORY_S][MODEL_ZONES];
  double plan_weights[MODEL_SECONDS][MODEL_REGIONS][MODEL_ZONES];
  /* Shares of the callers by the answers that they keep.  */
  double caller_shares[MODEL_REGIONS][MODEL_ZONES];
  /* Actual capacity in requests a second, by second.  */
  double capacity_per_s[MODEL_SECONDS][MODEL_ZONES];
  /* Share that the plan added, by second.  */
  double plan_added[MODEL_SECONDS][MODEL_REGIONS];
  /* Share that all entry VMs added, by second.  */
  double fleet_added[MODEL_SECONDS][MODEL_REGIONS];
  /* Highest or lowest weight since the last reversal.  */
  double extreme_weight[MODEL_REGIONS][MODEL_ZONES];
  /* 1: the weight grows; -1: it shrinks; 0: not known.  */
  int direction[MODEL_REGIONS][MODEL_ZONES];
  unsigned reversal_counts[MODEL_REGIONS][MODEL_ZONES];
  struct model_result *result;
};

static inline double
model_random_unit (struct traffic_model *model)
{
  return (double)(cy_random_next (&model->random) >> 11) * 0x1p-53;
}

static inline void
model_topology_init (struct traffic_model *model)
{
  struct cyp_topology *topology = &model->topology;
  cyp_topology_clear (topology);
  topology->zones = MODEL_ZONES;
  topology->regions = MODEL_REGIONS;
  topology->services = 1;
  topology->headroom = model->test_case.headroom;
  topology->service_declared[0] = true;
  topology->cap[0] = model->test_case.cap;
  for (unsigned z = 0; z < MODEL_ZONES; z++)
    {
      topology->zone_declared[z] = true;
      topology->zone_region[z] = (uint16_t)(z / 2);
    }
  for (unsigned a = 0; a < MODEL_REGIONS; a++)
    for (unsigned b = 0; b < MODEL_REGIONS; b++)
      {
        topology->link_ms[a][b] = a == b ? 0 : model->test_case.link_ms;
        topology->link_bits_per_s[a][b] = 4e9;
      }
}

static inline void
model_start (struct traffic_model *model, const struct model_case *test_case,
             struct model_result *result)
{
  memset (model, 0, sizeof *model);
  memset (result, 0, sizeof *result);
  model->test_case = *test_case;
  model->seed = test_case->seed;
  model->random = cy_seeded_random (&model->seed);
  model->result = result;
  model->plan = cyp_plan_create ();
  model_topology_init (model);
  double total_capacity_per_s = 0;
  for (unsigned z = 0; z < MODEL_ZONES; z++)
    {
      model->zones[z].slots
          = 4 * (double)(4 + cy_random_below (&model->random, 3));
      model->zones[z].service_time_ms = 40;
      model->zones[z].reachable = true;
      total_capacity_per_s
          += model->zones[z].slots * 1000 / model->zones[z].service_time_ms;
    }
  double total_weight = 0;
  for (unsigned o = 0; o < MODEL_REGIONS; o++)
    total_weight += model->demand_per_s[o]
        = 0.8 + 0.4 * model_random_unit (model);
  for (unsigned o = 0; o < MODEL_REGIONS; o++)
    model->demand_per_s[o]
        *= test_case->load_ratio * total_capacity_per_s / total_weight;
  for (unsigned e = 0; e < MODEL_ENTRIES; e++)
    {
      model->entries[e].lag_s
          = 1
            + (unsigned)cy_random_below (
                &model->random, e == 0 && !test_case->has_short_lags ? 60 : 4);
      model->entries[e].share = 1.0 / MODEL_ENTRIES;
    }
}

static inline bool
model_has_fault (const struct traffic_model *model, unsigned z,
                 unsigned second, enum model_fault fault)
{
  if (second >= MODEL_FAULT_END_S)
    return false;
  bool is_regional
      = fault == MODEL_FAULT_REGION_LOST || fault == MODEL_FAULT_FROZEN;
  bool is_first = model->test_case.first_fault == fault
                  && second >= MODEL_FIRST_FAULT_S
                  && (is_regional ? z / 2 == model->test_case.first_zone / 2
                                  : z == model->test_case.first_zone);
  bool is_second = model->test_case.second_fault == fault
                   && second >= MODEL_SECOND_FAULT_S
                   && (is_regional ? z / 2 == model->test_case.second_zone / 2
                                   : z == model->test_case.second_zone);
  return is_first || is_second;
}

static inline bool
model_zone_is_lost (const struct traffic_model *model, unsigned z,
                    unsigned second)
{
  return model_has_fault (model, z, second, MODEL_FAULT_ZONE_LOST)
         || model_has_fault (model, z, second, MODEL_FAULT_REGION_LOST);
}

/* Returns the actual capacity with warm caches in requests a second.  */
static inline double
model_zone_capacity (const struct traffic_model *model, unsigned z,
                     unsigned second)
{
  const struct model_zone *zone = &model->zones[z];
  double capacity_per_s = zone->slots * 1000 / zone->service_time_ms;
  if (model_zone_is_lost (model, z, second)
      || model_has_fault (model, z, second, MODEL_FAULT_HUNG))
    return 0;
  if (model_has_fault (model, z, second, MODEL_FAULT_HALF_LOST))
    capacity_per_s /= 2;
  if (model_has_fault (model, z, second, MODEL_FAULT_SLOW_SERVERS))
    capacity_per_s *= 0.7;
  return capacity_per_s;
}

/* Updates the callers' shares.  Callers follow the entry VMs' weights when
   their cached answers expire; callers of a lost zone and refused callers look
   up again at once.  */
static inline void
model_update_callers (struct traffic_model *model, unsigned second)
{
  for (unsigned o = 0; o < MODEL_REGIONS; o++)
    {
      double served_share = 0;
      for (unsigned z = 0; z < MODEL_ZONES; z++)
        served_share += model_zone_is_lost (model, z, second)
                            ? 0
                            : model->caller_shares[o][z];
      bool is_refused = served_share < 0.999;
      for (unsigned z = 0; z < MODEL_ZONES; z++)
        {
          double weight = 0;
          for (unsigned e = 0; e < MODEL_ENTRIES; e++)
            weight += model->entries[e].share
                      * model->entries[e].shift[o].weight[z];
          double *share = &model->caller_shares[o][z];
          bool is_immediate = second < 10
                              || model_zone_is_lost (model, z, second)
                              || (is_refused && weight > *share);
          double fraction = is_immediate ? 1 : 1.0 / MODEL_ANSWER_TTL_S;
          *share += fraction * (weight - *share);
        }
    }
}

static inline void
model_serve (struct traffic_model *model, unsigned second)
{
  struct model_result *result = model->result;
  double total_demand_per_s = 0;
  for (unsigned o = 0; o < MODEL_REGIONS; o++)
    total_demand_per_s += model->demand_per_s[o];
  for (unsigned z = 0; z < MODEL_ZONES; z++)
    {
      struct model_zone *zone = &model->zones[z];
      double arriving_per_s = 0;
      for (unsigned o = 0; o < MODEL_REGIONS; o++)
        arriving_per_s += model->demand_per_s[o] * model->caller_shares[o][z];
      if (second >= 10)
        zone->cold_per_s += fmax (0, arriving_per_s - zone->arriving_per_s);
      zone->cold_per_s *= exp (-1.0 / 30);
      zone->arriving_per_s = arriving_per_s;
      double load_per_s
          = arriving_per_s + 0.5 * fmin (zone->cold_per_s, arriving_per_s);
      double capacity_per_s = model->capacity_per_s[second][z];
      double served_per_s = load_per_s > capacity_per_s
                                ? arriving_per_s * capacity_per_s / load_per_s
                                : arriving_per_s;
      if (capacity_per_s <= 0)
        served_per_s = 0;
      double noise = 0.95 + 0.1 * model_random_unit (model);
      struct cyp_load *measurement
          = &model->history[second % MODEL_HISTORY_S][z];
      bool is_hung = model_has_fault (model, z, second, MODEL_FAULT_HUNG);
      double service_time_ms
          = zone->service_time_ms
            * (arriving_per_s > 0 ? load_per_s / arriving_per_s : 1);
      if (model_has_fault (model, z, second, MODEL_FAULT_SLOW_SERVERS))
        service_time_ms
            *= 1 + 0.43 * fmin (1, load_per_s / fmax (capacity_per_s, 1));
      measurement->slots = (unsigned)zone->slots;
      measurement->backends = 4;
      if (model_has_fault (model, z, second, MODEL_FAULT_HALF_LOST))
        measurement->slots /= 2, measurement->backends /= 2;
      measurement->requests_per_s = served_per_s * noise;
      measurement->refused_per_s = (arriving_per_s - served_per_s) * noise;
      measurement->in_flight
          = is_hung ? measurement->slots
                    : served_per_s * service_time_ms / 1000 * noise;
      measurement->service_time_ms
          = served_per_s > 0 ? service_time_ms * noise : 0;
      if (model_has_fault (model, z, second, MODEL_FAULT_FALSE_SLOTS))
        measurement->slots *= 3, measurement->in_flight = 0;
      result->goodput[second] += served_per_s / total_demand_per_s;
    }
  result->refused[second] = 1 - result->goodput[second];
}

static inline void
model_send_measurements (struct traffic_model *model, unsigned second)
{
  cy_time_ns now = (cy_time_ns)(second + 1000) * CY_NS_PER_S;
  for (unsigned z = 0; z < MODEL_ZONES; z++)
    {
      unsigned lag_s = 1 + (unsigned)cy_random_below (&model->random, 2);
      model->topology.zone_lost[z]
          = second > 11 && model_zone_is_lost (model, z, second)
            && model_zone_is_lost (model, z, second - 11);
      if (second > 0)
        lag_s = lag_s < second ? lag_s : second;
      else
        {
          struct cyp_load idle = { 4, (unsigned)model->zones[z].slots, 0, 0,
                                   0, model->zones[z].service_time_ms };
          cyp_plan_observe (model->plan, 0, z, &idle, now);
          continue;
        }
      if (model_zone_is_lost (model, z, second)
          || model_has_fault (model, z, second, MODEL_FAULT_FROZEN))
        continue;
      cyp_plan_observe (model->plan, 0, z,
                        &model->history[(second - lag_s) % MODEL_HISTORY_S][z],
                        now);
    }
}

static inline double
model_added_share (const double *before, const double *after)
{
  double sum = 0;
  for (unsigned z = 0; z < MODEL_ZONES; z++)
    sum += fmax (0, after[z] - before[z]);
  return sum;
}

/* Returns the load that WEIGHTS assign to zone Z, in requests a second.  */
static inline double
model_planned_load (const struct traffic_model *model,
                    double weights[][MODEL_ZONES], unsigned z)
{
  double load_per_s = 0;
  for (unsigned o = 0; o < MODEL_REGIONS; o++)
    load_per_s += model->demand_per_s[o] * weights[o][z];
  return load_per_s;
}

/* Returns the highest actual capacity of zone Z in the last 5 s, which the
   measurements may still show.  */
static inline double
model_recent_capacity (const struct traffic_model *model, unsigned second,
                       unsigned z)
{
  double best_per_s = 0;
  for (unsigned s = second > 5 ? second - 5 : 0; s <= second; s++)
    best_per_s = fmax (best_per_s, model->capacity_per_s[s][z]);
  return best_per_s;
}

/* Records the largest ratio of load to capacity of zones and regions whose
   load this step increases.  Zones without capacity are left out: their load
   goes to no other zone.  */
static inline void
model_check_capacity (struct traffic_model *model, unsigned second)
{
  for (unsigned r = 0; r < MODEL_REGIONS; r++)
    {
      double before_per_s = 0;
      double after_per_s = 0;
      double capacity_per_s = 0;
      for (unsigned z = 2 * r; z < 2 * r + 2; z++)
        {
          double recent_per_s = model_recent_capacity (model, second, z);
          double previous_per_s
              = model_planned_load (model, model->plan_weights[second - 1], z);
          double planned_per_s
              = model_planned_load (model, model->plan_weights[second], z);
          if (recent_per_s <= 0)
            continue;
          before_per_s += previous_per_s;
          after_per_s += planned_per_s;
          capacity_per_s += recent_per_s;
          if (planned_per_s > previous_per_s * 1.001 + 0.01)
            model->result->worst_load_ratio = fmax (
                model->result->worst_load_ratio, planned_per_s / recent_per_s);
        }
      if (after_per_s > before_per_s * 1.001 + 0.01)
        model->result->worst_load_ratio = fmax (
            model->result->worst_load_ratio, after_per_s / capacity_per_s);
    }
}

/* Counts the reversals of each weight; changes of up to 0.03 do not count.  */
static inline void
model_count_reversals (struct traffic_model *model, unsigned second)
{
  for (unsigned o = 0; o < MODEL_REGIONS; o++)
    for (unsigned z = 0; z < MODEL_ZONES; z++)
      {
        double weight = model->plan_weights[second][o][z];
        double *extreme = &model->extreme_weight[o][z];
        int *direction = &model->direction[o][z];
        int current = weight > *extreme ? 1 : -1;
        bool has_turned
            = fabs (weight - *extreme) > 0.03 && current != *direction;
        if (has_turned && *direction != 0)
          model->reversal_counts[o][z]++;
        if (has_turned)
          *direction = current;
        if (current == *direction)
          *extreme = weight;
        if (model->reversal_counts[o][z] > model->result->reversals)
          model->result->reversals = model->reversal_counts[o][z];
      }
}

static inline void
model_run_plan (struct traffic_model *model, unsigned second)
{
  cy_time_ns now = (cy_time_ns)(second + 1000) * CY_NS_PER_S;
  cyp_plan_run (model->plan, &model->topology, now);
  for (unsigned o = 0; o < MODEL_REGIONS; o++)
    {
      const double *weights = cyp_plan_weights (model->plan, 0, o);
      if (weights == NULL)
        continue;
      memcpy (model->plan_weights[second][o], weights,
              sizeof model->plan_weights[second][o]);
      if (second > MODEL_SETTLED_S)
        model->plan_added[second][o]
            = model_added_share (model->plan_weights[second - 1][o],
                                 model->plan_weights[second][o]);
      if (second <= MODEL_SETTLED_S)
        memcpy (model->extreme_weight[o], weights,
                sizeof model->extreme_weight[o]);
    }
  if (second > MODEL_SETTLED_S)
    {
      model_check_capacity (model, second);
      model_count_reversals (model, second);
    }
}

static inline void
model_update_entries (struct traffic_model *model, unsigned second)
{
  cy_time_ns now = (cy_time_ns)(second + 1000) * CY_NS_PER_S;
  for (unsigned e = 0; e < MODEL_ENTRIES; e++)
    for (unsigned o = 0; o < MODEL_REGIONS; o++)
      {
        struct model_entry *entry = &model->entries[e];
        unsigned lag_s = second < 10 ? 0 : entry->lag_s;
        const double *target
            = model->plan_weights[second - lag_s * (second >= lag_s)][o];
        double before[MODEL_ZONES];
        memcpy (before, entry->shift[o].weight, sizeof before);
        if (second < 10)
          {
            cyp_shift_start (&entry->shift[o], target, MODEL_ZONES);
            continue;
          }
        cyp_shift_step (&entry->shift[o], target, NULL, MODEL_ZONES,
                        &model->test_case.cap, now);
        model->fleet_added[second][o]
            += entry->share
               * model_added_share (before, entry->shift[o].weight);
      }
}

static inline double
model_worst_window (double added[][MODEL_REGIONS], unsigned window)
{
  double worst = 0;
  for (unsigned o = 0; o < MODEL_REGIONS; o++)
    for (unsigned t = 0; t + window <= MODEL_SECONDS; t++)
      {
        double sum = 0;
        for (unsigned i = t; i < t + window; i++)
          sum += added[i][o];
        worst = fmax (worst, sum);
      }
  return worst;
}

/* Runs one case and fills RESULT.  */
static inline void
model_run (const struct model_case *test_case, struct model_result *result)
{
  struct traffic_model *model = g_new (struct traffic_model, 1);
  model_start (model, test_case, result);
  for (unsigned second = 0; second < MODEL_SECONDS; second++)
    {
      for (unsigned z = 0; z < MODEL_ZONES; z++)
        model->capacity_per_s[second][z]
            = model_zone_capacity (model, z, second);
      model_send_measurements (model, second);
      model_run_plan (model, second);
      model_update_entries (model, second);
      model_update_callers (model, second);
      model_serve (model, second);
    }
  unsigned window = (unsigned)(test_case->cap.window / CY_NS_PER_S);
  result->worst_plan_excess = model_worst_window (model->plan_added, window)
                              - test_case->cap.fraction;
  result->worst_fleet_excess = model_worst_window (model->fleet_added, window)
                               - test_case->cap.fraction;
  cyp_plan_destroy (model->plan);
  g_free (model);
}

/* Returns the allowed number of reversals of a weight: one for each fault,
   since a weight reverses when the fault ends, and one more between two faults
   that overlap.  */
static inline unsigned
model_reversals_allowed (const struct model_case *test_case)
{
  unsigned fault_count = (test_case->first_fault != MODEL_FAULT_NONE)
                         + (test_case->second_fault != MODEL_FAULT_NONE);
  return fault_count == 0 ? 0 : 2 * fault_count - 1;
}

/* Returns a random case derived from SEED.  */
static inline struct model_case
model_case_draw (uint64_t seed)
{
  static const double loads[] = { 0.5, 0.6, 0.7, 0.8, 0.9, 0.95 };
  static const double caps[] = { 0, 0.05, 0.1, 0.2, 0.5, 1 };
  uint64_t state = seed;
  struct cy_random random = cy_seeded_random (&state);
  struct model_case test_case = { .seed = seed };
  test_case.link_ms = cy_random_below (&random, 2) == 0 ? 55 : 35;
  test_case.load_ratio = loads[cy_random_below (&random, 6)];
  test_case.headroom = cy_random_below (&random, 2) == 0 ? 0.1 : 0.2;
  test_case.cap.fraction = caps[cy_random_below (&random, 6)];
  test_case.cap.window
      = (cy_time_ns)(5 + cy_random_below (&random, 16)) * CY_NS_PER_S;
  test_case.first_fault
      = (enum model_fault)cy_random_below (&random, MODEL_FAULT_COUNT);
  if (cy_random_below (&random, 3) == 0)
    test_case.second_fault
        = (enum model_fault)cy_random_below (&random, MODEL_FAULT_COUNT);
  test_case.first_zone = (unsigned)cy_random_below (&random, MODEL_ZONES);
  test_case.second_zone = (unsigned)cy_random_below (&random, MODEL_ZONES);
  return test_case;
}

#endif /* STEER_FLUID_H */

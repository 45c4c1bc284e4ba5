#include "core/cyp_policy.h"

#include <math.h>

static double
random_unit (const struct cy_random *random)
{
  return (double)(cy_random_next (random) >> 11) * 0x1p-53;
}

/* Returns a pseudo-random number, uniform in (0, 1), that depends only on SEED
   and CANDIDATE.  */
static double
stable_unit (uint64_t seed, unsigned candidate)
{
  uint64_t z = seed ^ ((candidate + 1) * UINT64_C (0x9e3779b97f4a7c15));
  z = (z ^ (z >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94d049bb133111eb);
  z ^= z >> 31;
  return ((double)(z >> 11) + 0.5) * 0x1p-53;
}

static unsigned
choose_nearest (const struct cyp_candidate *candidates, unsigned count,
                const struct cy_random *random)
{
  unsigned best = count;
  unsigned equal_count = 0;
  for (unsigned i = 0; i < count; i++)
    {
      if (!candidates[i].usable)
        continue;
      bool is_nearer
          = best == count
            || candidates[i].distance_ms < candidates[best].distance_ms;
      if (is_nearer)
        equal_count = 0;
      if (is_nearer
          || candidates[i].distance_ms == candidates[best].distance_ms)
        {
          equal_count++;
          if (cy_random_below (random, equal_count) == 0)
            best = i;
        }
    }
  return best;
}

static double
candidate_weight (const struct cyp_policy *policy,
                  const struct cyp_candidate *candidate)
{
  if (!candidate->usable)
    return 0;
  if (policy->kind != CYP_POLICY_LEAST_REQUEST)
    return candidate->slots;
  return candidate->slots
         / pow (candidate->active + 1, policy->of.least_request.bias);
}

static unsigned
choose_weighted (const struct cyp_policy *policy,
                 const struct cyp_candidate *candidates, unsigned count,
                 const struct cy_random *random)
{
  double sum = 0;
  for (unsigned i = 0; i < count; i++)
    sum += candidate_weight (policy, &candidates[i]);
  double remaining = random_unit (random) * sum;
  unsigned last = count;
  for (unsigned i = 0; i < count; i++)
    {
      double weight = candidate_weight (policy, &candidates[i]);
      if (weight <= 0)
        continue;
      last = i;
      remaining -= weight;
      if (remaining < 0)
        return i;
    }
  return last;
}

static double
candidate_utilization (const struct cyp_candidate *candidate)
{
  return candidate->slots > 0 ? candidate->active / candidate->slots
                              : INFINITY;
}

static unsigned
choose_two (const struct cyp_policy *policy,
            const struct cyp_candidate *candidates, unsigned count,
            const struct cy_random *random)
{
  unsigned first = choose_weighted (policy, candidates, count, random);
  unsigned second = choose_weighted (policy, candidates, count, random);
  if (first == count)
    return first;
  return candidate_utilization (&candidates[second])
                 < candidate_utilization (&candidates[first])
             ? second
             : first;
}

/* Weighted rendezvous hashing.  The part missing from 1 in the sum of the
   weights competes as a further candidate, for which callers are refused.  */
static unsigned
choose_planned (const struct cyp_policy *policy, unsigned count)
{
  double refused_weight = 1;
  double best_score = -1;
  unsigned best = count;
  for (unsigned i = 0; i < count; i++)
    {
      double weight = policy->of.plan.weights[i];
      double score = -weight / log (stable_unit (policy->of.plan.seed, i));
      refused_weight -= weight;
      if (weight > 0 && score > best_score)
        {
          best = i;
          best_score = score;
        }
    }
  double refused_score
      = -refused_weight / log (stable_unit (policy->of.plan.seed, count));
  return refused_weight > 1e-6 && refused_score > best_score ? count : best;
}

unsigned
cyp_policy_choose (const struct cyp_policy *policy,
                   const struct cyp_candidate *candidates, unsigned count,
                   const struct cy_random *random)
{
  switch (policy->kind)
    {
    case CYP_POLICY_NEAREST:
      return choose_nearest (candidates, count, random);
    case CYP_POLICY_RANDOM:
    case CYP_POLICY_LEAST_REQUEST:
      return choose_weighted (policy, candidates, count, random);
    case CYP_POLICY_TWO_CHOICES:
      return choose_two (policy, candidates, count, random);
    case CYP_POLICY_PLAN:
      return choose_planned (policy, count);
    }
  return count;
}

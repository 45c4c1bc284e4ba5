/* Policies that choose a zone for a lookup.  Production uses CYP_POLICY_PLAN;
   the other policies exist for comparison in bench/bench_policy.c.  */

#ifndef CYP_POLICY_H
#define CYP_POLICY_H

#include <stdbool.h>
#include <stdint.h>

#include "core/cy_clock.h"

enum cyp_policy_kind
{
  CYP_POLICY_NEAREST,     /* the nearest usable zone */
  CYP_POLICY_RANDOM,      /* random, weighted by slots */
  CYP_POLICY_TWO_CHOICES, /* the less utilized of two random choices */
  /* Random, weighted by slots / (active requests + 1)^bias.  */
  CYP_POLICY_LEAST_REQUEST,
  CYP_POLICY_PLAN /* weighted by the steering plan */
};

struct cyp_policy
{
  enum cyp_policy_kind kind;
  union
  {
    struct
    {
      double bias; /* exponent, 0 or more; typically 1 */
    } least_request;
    struct
    {
      /* Shares by candidate; the part missing from 1 is refused.  */
      const double *weights;
      /* Hash of the caller's address block; equal seeds get equal answers.  */
      uint64_t seed;
    } plan;
  } of;
};

/* State of one zone, as known to the process that chooses.  */
struct cyp_candidate
{
  bool usable;        /* may be chosen */
  double distance_ms; /* network latency from the caller */
  double slots;       /* slots of the backend servers */
  double active;      /* requests in flight, as last reported */
};

/* Returns the index of the chosen candidate, or COUNT when none is usable or
   CYP_POLICY_PLAN refuses the caller.  */
unsigned cyp_policy_choose (const struct cyp_policy *policy,
                            const struct cyp_candidate *candidates,
                            unsigned count, const struct cy_random *random);

#endif /* CYP_POLICY_H */

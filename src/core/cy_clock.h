/* Clock and random source, passed into every core module.

   The core never reads the system's clock or entropy.  Programs pass the
   system's sources; tests pass a clock that they advance themselves and a
   seeded generator.  */

#ifndef CY_CLOCK_H
#define CY_CLOCK_H

#include <stdint.h>

#define CY_NS_PER_US INT64_C (1000)
#define CY_NS_PER_MS INT64_C (1000000)
#define CY_NS_PER_S  INT64_C (1000000000)

/* Monotonic time in nanoseconds.  Comparable only within one process.  */
typedef int64_t cy_time_ns;

/* Source of time.  NOW returns monotonic time, UNIX_MS returns wall time in
   milliseconds since 1970 for records read by people; decisions use NOW.  */
struct cy_clock
{
  cy_time_ns (*now) (void *context);
  int64_t (*unix_ms) (void *context);
  void *context;
};

static inline cy_time_ns
cy_clock_now (const struct cy_clock *clock)
{
  return clock->now (clock->context);
}

static inline int64_t
cy_clock_unix_ms (const struct cy_clock *clock)
{
  return clock->unix_ms (clock->context);
}

/* Source of uniformly distributed 64-bit random numbers.  */
struct cy_random
{
  uint64_t (*next) (void *context);
  void *context;
};

static inline uint64_t
cy_random_next (const struct cy_random *random)
{
  return random->next (random->context);
}

/* Returns a number in [0, BOUND); BOUND must be above zero.  */
static inline uint64_t
cy_random_below (const struct cy_random *random, uint64_t bound)
{
  return cy_random_next (random) % bound;
}

#endif /* CY_CLOCK_H */

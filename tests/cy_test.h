/* Helpers for the test programs: a fake clock, a seeded random source and the
   runner.  */

#ifndef CY_TEST_H
#define CY_TEST_H

#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include "core/cy_clock.h"

/* A clock whose time the test sets.  */
struct cy_fake_clock
{
  cy_time_ns now;
};

static inline cy_time_ns
cy_fake_now (void *context)
{
  return ((struct cy_fake_clock *)context)->now;
}

static inline int64_t
cy_fake_unix_ms (void *context)
{
  return 1700000000000 + ((struct cy_fake_clock *)context)->now / CY_NS_PER_MS;
}

static inline struct cy_clock
cy_fake_clock_interface (struct cy_fake_clock *fake)
{
  return (struct cy_clock){ cy_fake_now, cy_fake_unix_ms, fake };
}

/* Returns the next number of SplitMix64; CONTEXT is the uint64_t state.  */
static inline uint64_t
cy_seeded_next (void *context)
{
  uint64_t *state = context;
  uint64_t z = (*state += UINT64_C (0x9e3779b97f4a7c15));
  z = (z ^ (z >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94d049bb133111eb);
  return z ^ (z >> 31);
}

static inline struct cy_random
cy_seeded_random (uint64_t *seed)
{
  return (struct cy_random){ cy_seeded_next, seed };
}

/* Runs SUITE and returns the exit status: EXIT_SUCCESS when all tests
   passed.  */
static inline int
cy_test_run (Suite *suite)
{
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

#endif /* CY_TEST_H */

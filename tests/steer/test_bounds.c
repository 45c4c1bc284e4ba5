/* Hard bounds of the steering plan over seeded runs of the traffic model: the
   cap on shifts, the capacity of zones and regions, and reversals of weights.
   bench_policy runs 10,000 cases.  */

#include "cy_test.h"
#include "steer/steer_fluid.h"

#define RUNS       600
#define FIRST_SEED 52000

START_TEST (test_bounds)
{
  for (uint64_t i = 0; i < RUNS; i++)
    {
      uint64_t seed = FIRST_SEED + i;
      struct model_case test_case = model_case_draw (seed);
      struct model_result result;
      model_run (&test_case, &result);
      const char *first = model_fault_names[test_case.first_fault];
      const char *second = model_fault_names[test_case.second_fault];
      ck_assert_msg (result.worst_plan_excess <= 1e-9,
                     "seed %d, %s + %s: plan exceeds the cap by %f", (int)seed,
                     first, second, result.worst_plan_excess);
      ck_assert_msg (result.worst_fleet_excess <= 1e-9,
                     "seed %d, %s + %s: entry VMs exceed the cap by %f",
                     (int)seed, first, second, result.worst_fleet_excess);
      ck_assert_msg (result.worst_load_ratio <= 1,
                     "seed %d, %s + %s: load is %f of the capacity", (int)seed,
                     first, second, result.worst_load_ratio);
      unsigned faults = (test_case.first_fault != MODEL_FAULT_NONE)
                        + (test_case.second_fault != MODEL_FAULT_NONE);
      ck_assert_msg (result.reversals <= faults,
                     "seed %d, %s + %s: %u reversals", (int)seed, first,
                     second, result.reversals);
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("bounds");
  TCase *tcase = tcase_create ("seeded");
  tcase_set_timeout (tcase, 120);
  tcase_add_test (tcase, test_bounds);
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}

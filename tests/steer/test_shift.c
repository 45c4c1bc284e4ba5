/* The cap on shifts: the share added in any window is at most the cap, for one
   vector of weights and for the sum over many entry VMs with different
   delays.  */

#include <glib.h>
#include <math.h>
#include <string.h>

#include "core/cyp_shift.h"
#include "cy_test.h"

#define ZONES   6
#define ENTRIES 24
#define SECONDS 240

static void
random_target (const struct cy_random *random, double *target)
{
  double sum = 0;
  for (unsigned z = 0; z < ZONES; z++)
    {
      bool is_zero = cy_random_below (random, 3) == 0;
      target[z] = is_zero ? 0 : (double)cy_random_below (random, 1000);
      sum += target[z];
    }
  double total = (double)(50 + cy_random_below (random, 51)) / 100;
  for (unsigned z = 0; z < ZONES; z++)
    target[z] = sum > 0 ? total * target[z] / sum : 0;
}

/* Returns the largest sum of the shares ADDED, one value a second, over any
   window of WINDOW seconds.  */
static double
worst_window (const double *added, unsigned window)
{
  double worst = 0;
  for (unsigned t = 0; t + window <= SECONDS; t++)
    {
      double sum = 0;
      for (unsigned i = t; i < t + window; i++)
        sum += added[i];
      worst = fmax (worst, sum);
    }
  return worst;
}

struct cap_row
{
  double fraction;
  unsigned window_s;
};

static const struct cap_row cap_rows[]
    = { { 0, 10 },   { 0.01, 60 }, { 0.1, 10 },
        { 0.25, 7 }, { 0.5, 40 },  { 1, 10 } };

/* Entry VMs with different shares of the traffic apply random plans late or
   not at all, and lose zones at random.  The sum over all of them stays within
   the cap.  */
START_TEST (test_sum_of_entries_is_bounded)
{
  const struct cap_row *row = &cap_rows[_i];
  struct cyp_cap cap
      = { row->fraction, (cy_time_ns)row->window_s * CY_NS_PER_S };
  uint64_t seed = 900 + (uint64_t)_i;
  printf ("seed %llu\n", (unsigned long long)seed);
  struct cy_random random = cy_seeded_random (&seed);
  struct cyp_shift shifts[ENTRIES] = { 0 };
  double traffic[ENTRIES];
  double total = 0;
  double targets[SECONDS][ZONES];
  double added_shares[SECONDS] = { 0 };
  for (unsigned e = 0; e < ENTRIES; e++)
    {
      traffic[e] = 1 + (double)cy_random_below (&random, 9);
      total += traffic[e];
    }
  for (unsigned t = 0; t < SECONDS; t++)
    {
      random_target (&random, targets[t]);
      for (unsigned e = 0; e < ENTRIES; e++)
        {
          unsigned lag = (unsigned)cy_random_below (&random, 20);
          const double *target = targets[lag > t ? 0 : t - lag];
          if (!shifts[e].started)
            cyp_shift_start (&shifts[e], target, ZONES);
          else if (cy_random_below (&random, 4) > 0)
            {
              bool lost[ZONES] = { false };
              lost[cy_random_below (&random, ZONES)]
                  = cy_random_below (&random, 10) == 0;
              double before[ZONES];
              memcpy (before, shifts[e].weight, sizeof before);
              cyp_shift_step (&shifts[e], target, lost, ZONES, &cap,
                              (cy_time_ns)t * CY_NS_PER_S);
              for (unsigned z = 0; z < ZONES; z++)
                added_shares[t] += fmax (0, shifts[e].weight[z] - before[z])
                                   * traffic[e] / total;
            }
          double sum = 0;
          for (unsigned z = 0; z < ZONES; z++)
            {
              ck_assert_double_ge (shifts[e].weight[z], 0);
              sum += shifts[e].weight[z];
            }
          ck_assert_double_le (sum, 1 + 1e-9);
        }
    }
  ck_assert_double_le (worst_window (added_shares, row->window_s),
                       cap.fraction + 1e-9);
}
END_TEST

START_TEST (test_cap_applies_after_missed_plans)
{
  struct cyp_cap cap = { 0.1, 10 * CY_NS_PER_S };
  struct cyp_shift shift = { 0 };
  double initial[2] = { 1, 0 };
  double target[2] = { 0, 1 };
  cyp_shift_start (&shift, initial, 2);
  cy_time_ns now = 3600 * CY_NS_PER_S;
  cyp_shift_step (&shift, target, NULL, 2, &cap, now);
  ck_assert_double_eq_tol (shift.weight[1], 0.1, 1e-9);
  cyp_shift_step (&shift, target, NULL, 2, &cap, now + 9 * CY_NS_PER_S);
  ck_assert_double_eq_tol (shift.weight[1], 0.1, 1e-9);
  cyp_shift_step (&shift, target, NULL, 2, &cap, now + 10 * CY_NS_PER_S);
  ck_assert_double_eq_tol (shift.weight[1], 0.2, 1e-9);
  ck_assert_double_eq_tol (shift.weight[0] + shift.weight[1], 1, 1e-9);
}
END_TEST

/* Traffic leaves a lost zone at once; other zones receive it within the cap,
   and the rest is refused.  */
START_TEST (test_lost_zone)
{
  struct cyp_cap cap = { 0.2, 10 * CY_NS_PER_S };
  struct cyp_shift shift = { 0 };
  double initial[3] = { 0.5, 0.5, 0 };
  double target[3] = { 0, 1, 0 };
  bool lost[3] = { true, false, false };
  cyp_shift_start (&shift, initial, 3);
  cyp_shift_step (&shift, target, lost, 3, &cap, CY_NS_PER_S);
  ck_assert_double_eq (shift.weight[0], 0);
  ck_assert_double_eq_tol (shift.weight[1], 0.7, 1e-9);
}
END_TEST

START_TEST (test_merged_ledger_entries_still_count)
{
  struct cyp_cap cap = { 1, 1000 * CY_NS_PER_S };
  struct cyp_ledger ledger = { 0 };
  double sum = 0;
  for (unsigned i = 0; i < 500; i++)
    {
      cyp_ledger_add (&ledger, &cap, 0.001, (cy_time_ns)i * CY_NS_PER_S);
      sum += 0.001;
      double remaining
          = cyp_ledger_remaining (&ledger, &cap, (cy_time_ns)i * CY_NS_PER_S);
      ck_assert_double_eq_tol (remaining, 1 - sum, 1e-9);
    }
  ck_assert_uint_le (ledger.count, CYP_LEDGER_MAX);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("shift");
  TCase *tcase = tcase_create ("cap");
  tcase_set_timeout (tcase, 60);
  tcase_add_loop_test (tcase, test_sum_of_entries_is_bounded, 0,
                       G_N_ELEMENTS (cap_rows));
  tcase_add_test (tcase, test_cap_applies_after_missed_plans);
  tcase_add_test (tcase, test_lost_zone);
  tcase_add_test (tcase, test_merged_ledger_entries_still_count);
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}

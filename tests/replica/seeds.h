/* Runs a test of random schedules for many seeds, on several threads.  */

#ifndef TESTS_REPLICA_SEEDS_H
#define TESTS_REPLICA_SEEDS_H

#include <glib.h>
#include <stdint.h>

#define SEED_THREADS 4

struct seed_runs
{
  const char *seed_name;  /* variable with the one seed to run */
  const char *count_name; /* variable with the number of seeds to run */
  uint64_t count;         /* seeds to run without either: 1 to COUNT */
  /* Runs the schedule of SEED and adds to TOTALS, a struct of uint64_t.  */
  void (*run) (uint64_t seed, void *totals);
  size_t totals_size;
};

struct seed_range
{
  const struct seed_runs *runs;
  uint64_t first;
  uint64_t last;
  void *totals;
};

static inline gpointer
run_seed_range (gpointer context)
{
  struct seed_range *range = context;
  for (uint64_t seed = range->first; seed <= range->last; seed++)
    range->runs->run (seed, range->totals);
  return NULL;
}

/* Runs all seeds and sets TOTALS to the sums.  Returns their number.  */
static inline uint64_t
run_seeds (const struct seed_runs *runs, void *totals)
{
  const char *seed = g_getenv (runs->seed_name);
  const char *text = g_getenv (runs->count_name);
  uint64_t count
      = text == NULL ? runs->count : g_ascii_strtoull (text, NULL, 10);
  struct seed_range ranges[SEED_THREADS];
  GThread *threads[SEED_THREADS];
  if (seed != NULL)
    {
      runs->run (g_ascii_strtoull (seed, NULL, 10), totals);
      return 1;
    }
  for (uint64_t i = 0; i < SEED_THREADS; i++)
    {
      ranges[i].runs = runs;
      ranges[i].first = 1 + count * i / SEED_THREADS;
      ranges[i].last = count * (i + 1) / SEED_THREADS;
      ranges[i].totals = g_malloc0 (runs->totals_size);
      threads[i] = g_thread_new ("seeds", run_seed_range, &ranges[i]);
    }
  for (size_t i = 0; i < SEED_THREADS; i++)
    {
      g_thread_join (threads[i]);
      for (size_t k = 0; k < runs->totals_size / sizeof (uint64_t); k++)
        ((uint64_t *)totals)[k] += ((uint64_t *)ranges[i].totals)[k];
      g_free (ranges[i].totals);
    }
  return count;
}

#endif /* TESTS_REPLICA_SEEDS_H */

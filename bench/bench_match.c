/* Processor time of a control VM for placing, under the loads of
   docs/design/overload.md: the servers of one service in one region, requests
   that arrive faster than they are served, simulated ms by ms.  The bound is
   the processor time that a control VM has for one of three services: a third
   of 0.3 cores, half of which is for messages.  */

#include <stdio.h>
#include <time.h>

#include "match/match_world.h"

#define WARM_UP_MS  2000
#define MEASURED_MS 4000
#define CORES_MAX   0.05

struct load
{
  const char *name;
  unsigned servers;
  double per_s;
};

static const struct load loads[] = {
  { "few servers, three times their capacity", 12, 140 },
  { "a region's servers, near their capacity", 52, 400 },
  { "a region's servers, burst of three times their capacity", 52, 1350 },
  { "all servers of a fleet, just above their capacity", 128, 700 },
  { "all servers of a fleet, burst far above their capacity", 128, 2700 },
};

static double
processor_ms (void)
{
  struct timespec time;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &time);
  return (double)time.tv_sec * 1e3 + (double)time.tv_nsec * 1e-6;
}

int
main (void)
{
  unsigned failed_count = 0;
  for (size_t i = 0; i < G_N_ELEMENTS (loads); i++)
    {
      struct workload workload = { .route = "r1",
                                   .workspace = "w",
                                   .per_s = loads[i].per_s,
                                   .service_ms = 1000,
                                   .cached_ms = 400,
                                   .objects = 4000,
                                   .goal_ms = 800,
                                   .deadline_ms = 5000,
                                   .rank = 1 };
      sim_create ();
      sim_put_servers (loads[i].servers, 6, 0, 0);
      sim_run (&workload, 1, WARM_UP_MS);
      struct request_counts before = sim.counts[0];
      double started_ms = processor_ms ();
      sim_run (&workload, 1, MEASURED_MS);
      double cores = (processor_ms () - started_ms) / MEASURED_MS;
      const struct request_counts *after = &sim.counts[0];
      bool holds = cores <= CORES_MAX;
      failed_count += !holds;
      printf (
          "%s %.3f cores, %u arrived, %u in time, %u late, %u refused: %s\n",
          holds ? "holds " : "BROKEN", cores, after->arrived - before.arrived,
          after->on_time - before.on_time, after->late - before.late,
          after->refused - before.refused, loads[i].name);
    }
  return failed_count == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

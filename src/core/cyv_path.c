#include "core/cyv_verdict.h"

#include <math.h>
#include <stdlib.h>

/* Probes of one end in a span that are needed for a result.  */
#define PROBES_SENT_MIN 2
/* Lost probes in a span from which a path can count as lossy.  */
#define PROBES_LOST_MIN 2
/* Share of probes lost from which a path counts as lossy.  */
#define LOSSY_SHARE 0.3
/* Share of probes lost from which a path counts as down.  */
#define DOWN_SHARE 0.9
/* A path is slow above this multiple of the baseline round trip, plus
   SLOW_SLACK_MS.  */
#define SLOW_FACTOR   3
#define SLOW_SLACK_MS 2
/* Reports in a span from which a process counts as alive.  */
#define REPORTS_MIN 2

static double
mean_round_trip_ms (const struct cyv_probe *probe)
{
  double answered_count = probe->sent - probe->lost;
  return answered_count > 0 ? probe->round_trip_ms / answered_count : NAN;
}

static int
compare_doubles (const void *a, const void *b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;
  return (left > right) - (left < right);
}

/* Returns the lower quartile of the recorded round trips in ms; NAN when there
   are none.  */
static double
baseline_round_trip_ms (const struct cyv_series *series, unsigned from,
                        unsigned to, int64_t span)
{
  double round_trips_ms[CYV_SPAN_COUNT];
  unsigned count = 0;
  for (int64_t past_span = span - CYV_SPAN_COUNT + 1; past_span <= span;
       past_span++)
    {
      const struct cyv_probe *probe
          = past_span < 0 ? NULL : cyv_probe_at (series, from, to, past_span);
      if (probe == NULL || isnan (mean_round_trip_ms (probe)))
        continue;
      round_trips_ms[count++] = mean_round_trip_ms (probe);
    }
  if (count == 0)
    return NAN;
  qsort (round_trips_ms, count, sizeof *round_trips_ms, compare_doubles);
  return round_trips_ms[count / 4];
}

enum cyv_path_state
cyv_probe_classify (const struct cyv_series *series, unsigned from,
                    unsigned to, int64_t span)
{
  const struct cyv_probe *probe = cyv_probe_at (series, from, to, span);
  if (probe == NULL || probe->sent < PROBES_SENT_MIN)
    return CYV_PATH_UNKNOWN;
  if (probe->lost >= DOWN_SHARE * probe->sent)
    return CYV_PATH_DOWN;
  if (probe->lost >= PROBES_LOST_MIN
      && probe->lost >= LOSSY_SHARE * probe->sent)
    return CYV_PATH_LOSSY;
  double baseline_ms = baseline_round_trip_ms (series, from, to, span);
  double limit_ms = SLOW_FACTOR * baseline_ms + SLOW_SLACK_MS;
  return mean_round_trip_ms (probe) > limit_ms ? CYV_PATH_SLOW
                                               : CYV_PATH_HEALTHY;
}

/* Returns the best state among the probes from FROM's region to TO's region.
 */
static enum cyv_path_state
region_path_classify (const struct cyv_series *series, const uint16_t *regions,
                      unsigned from, unsigned to, int64_t span)
{
  enum cyv_path_state best = CYV_PATH_UNKNOWN;
  for (unsigned a = 0; a < cyv_series_zone_count (series); a++)
    for (unsigned b = 0; b < cyv_series_zone_count (series); b++)
      {
        if (regions[a] != regions[from] || regions[b] != regions[to])
          continue;
        enum cyv_path_state path = cyv_probe_classify (series, a, b, span);
        bool is_better = path != CYV_PATH_UNKNOWN
                         && (best == CYV_PATH_UNKNOWN || path < best);
        if (is_better)
          best = path;
      }
  return best;
}

enum cyv_path_state
cyv_path_classify (const struct cyv_series *series, const uint16_t *regions,
                   unsigned a, unsigned b, int64_t span)
{
  enum cyv_path_state forward = cyv_probe_classify (series, a, b, span);
  enum cyv_path_state backward = cyv_probe_classify (series, b, a, span);
  bool is_incomplete
      = forward == CYV_PATH_UNKNOWN || backward == CYV_PATH_UNKNOWN;
  if (is_incomplete && regions[a] != regions[b])
    {
      forward = region_path_classify (series, regions, a, b, span);
      backward = region_path_classify (series, regions, b, a, span);
    }
  if (forward == CYV_PATH_UNKNOWN || backward == CYV_PATH_UNKNOWN)
    return CYV_PATH_UNKNOWN;
  /* The better of the two counts: a fault that only one end reports may be a
     fault of that end.  */
  return forward < backward ? forward : backward;
}

/* Returns true when the probes between ZONE and any zone other than EXCEPT are
   healthy in one direction: the process of ZONE is alive and its network is
   up.  */
static bool
has_healthy_third_path (const struct cyv_series *series, unsigned zone,
                        unsigned except, int64_t span)
{
  for (unsigned z = 0; z < cyv_series_zone_count (series); z++)
    {
      if (z == zone || z == except)
        continue;
      if (cyv_probe_classify (series, zone, z, span) == CYV_PATH_HEALTHY
          || cyv_probe_classify (series, z, zone, span) == CYV_PATH_HEALTHY)
        return true;
    }
  return false;
}

bool
cyv_path_at_fault (const struct cyv_series *series, const uint16_t *regions,
                   unsigned a, unsigned b, int64_t span)
{
  enum cyv_path_state path = cyv_path_classify (series, regions, a, b, span);
  if (path <= CYV_PATH_HEALTHY)
    return false;
  bool both_have_third = has_healthy_third_path (series, a, b, span)
                         && has_healthy_third_path (series, b, a, span);
  if (both_have_third)
    return true;
  /* A zone that reaches no other zone may have a hung process.  The network is
     at fault only if both zones continue to report and the path is down.  */
  return path == CYV_PATH_DOWN
         && cyv_reports_at (series, a, span) >= REPORTS_MIN
         && cyv_reports_at (series, b, span) >= REPORTS_MIN;
}

#include "core/cyv_series.h"

#include <glib.h>
#include <string.h>

/* Ring buffers of samples, indexed by span number modulo CYV_SPAN_COUNT.  */
struct split_ring
{
  int64_t stamp_ms;             /* sender's time stamp of the newest sample */
  int64_t span[CYV_SPAN_COUNT]; /* span number of each entry */
  struct cyv_time_split split[CYV_SPAN_COUNT];
};

struct probe_ring
{
  int64_t stamp_ms;             /* sender's time stamp of the newest sample */
  int64_t span[CYV_SPAN_COUNT]; /* span number of each entry */
  struct cyv_probe probe[CYV_SPAN_COUNT];
};

struct report_ring
{
  int64_t span[CYV_SPAN_COUNT]; /* span number of each entry */
  unsigned count[CYV_SPAN_COUNT];
};

struct cyv_series
{
  unsigned zones; /* one more than the highest zone number */
  struct split_ring *splits[CYV_SERVICES_MAX][CYV_ZONES_MAX];
  struct probe_ring *probes[CYV_ZONES_MAX][CYV_ZONES_MAX];
  struct report_ring *reports[CYV_ZONES_MAX];
};

struct cyv_series *
cyv_series_create (void)
{
  return g_new0 (struct cyv_series, 1);
}

void
cyv_series_destroy (struct cyv_series *series)
{
  if (series == NULL)
    return;
  for (unsigned z = 0; z < CYV_ZONES_MAX; z++)
    {
      for (unsigned s = 0; s < CYV_SERVICES_MAX; s++)
        g_free (series->splits[s][z]);
      for (unsigned to = 0; to < CYV_ZONES_MAX; to++)
        g_free (series->probes[z][to]);
      g_free (series->reports[z]);
    }
  g_free (series);
}

int64_t
cyv_span_of (int64_t now_ms)
{
  return now_ms / CYV_SPAN_MS;
}

static unsigned
ring_index (int64_t span)
{
  return (unsigned)(span % CYV_SPAN_COUNT);
}

static void
zone_register (struct cyv_series *series, unsigned zone)
{
  if (zone >= series->zones)
    series->zones = zone + 1;
}

void
cyv_series_add_split (struct cyv_series *series, unsigned service,
                      unsigned zone, const struct cyv_time_split *split,
                      int64_t stamp_ms, int64_t now_ms)
{
  if (service >= CYV_SERVICES_MAX || zone >= CYV_ZONES_MAX)
    return;
  struct split_ring **ring = &series->splits[service][zone];
  if (*ring == NULL)
    *ring = g_new0 (struct split_ring, 1);
  zone_register (series, zone);
  if ((*ring)->stamp_ms == stamp_ms)
    return;
  (*ring)->stamp_ms = stamp_ms;
  int64_t span = cyv_span_of (now_ms);
  struct cyv_time_split *sample = &(*ring)->split[ring_index (span)];
  if ((*ring)->span[ring_index (span)] != span)
    memset (sample, 0, sizeof *sample);
  (*ring)->span[ring_index (span)] = span;
  sample->requests += split->requests;
  for (unsigned i = 0; i < CYV_PART_COUNT; i++)
    sample->part_ms[i] += split->part_ms[i];
  for (unsigned i = 0; i < CYV_OUTCOME_COUNT; i++)
    sample->outcomes[i] += split->outcomes[i];
}

void
cyv_series_add_probe (struct cyv_series *series, unsigned from, unsigned to,
                      const struct cyv_probe *probe, int64_t stamp_ms,
                      int64_t now_ms)
{
  if (from >= CYV_ZONES_MAX || to >= CYV_ZONES_MAX)
    return;
  struct probe_ring **ring = &series->probes[from][to];
  if (*ring == NULL)
    *ring = g_new0 (struct probe_ring, 1);
  zone_register (series, from);
  zone_register (series, to);
  if ((*ring)->stamp_ms == stamp_ms)
    return;
  (*ring)->stamp_ms = stamp_ms;
  int64_t span = cyv_span_of (now_ms);
  struct cyv_probe *sample = &(*ring)->probe[ring_index (span)];
  if ((*ring)->span[ring_index (span)] != span)
    memset (sample, 0, sizeof *sample);
  (*ring)->span[ring_index (span)] = span;
  sample->sent += probe->sent;
  sample->lost += probe->lost;
  sample->round_trip_ms += probe->round_trip_ms;
}

void
cyv_series_add_report (struct cyv_series *series, unsigned zone,
                       int64_t now_ms)
{
  if (zone >= CYV_ZONES_MAX)
    return;
  struct report_ring **ring = &series->reports[zone];
  if (*ring == NULL)
    *ring = g_new0 (struct report_ring, 1);
  zone_register (series, zone);
  int64_t span = cyv_span_of (now_ms);
  if ((*ring)->span[ring_index (span)] != span)
    (*ring)->count[ring_index (span)] = 0;
  (*ring)->span[ring_index (span)] = span;
  (*ring)->count[ring_index (span)]++;
}

const struct cyv_time_split *
cyv_split_at (const struct cyv_series *series, unsigned service, unsigned zone,
              int64_t span)
{
  const struct split_ring *ring = series->splits[service][zone];
  if (ring == NULL || ring->span[ring_index (span)] != span)
    return NULL;
  return &ring->split[ring_index (span)];
}

const struct cyv_probe *
cyv_probe_at (const struct cyv_series *series, unsigned from, unsigned to,
              int64_t span)
{
  const struct probe_ring *ring = series->probes[from][to];
  if (ring == NULL || ring->span[ring_index (span)] != span)
    return NULL;
  return &ring->probe[ring_index (span)];
}

unsigned
cyv_reports_at (const struct cyv_series *series, unsigned zone, int64_t span)
{
  const struct report_ring *ring = series->reports[zone];
  if (ring == NULL || ring->span[ring_index (span)] != span)
    return 0;
  return ring->count[ring_index (span)];
}

unsigned
cyv_series_zone_count (const struct cyv_series *series)
{
  return series->zones;
}

/* Measurements of zones on their way into the plan and the time series.  */

#include <glib.h>
#include <string.h>
#include <xxhash.h>

#include "control/cyx_steer.h"

#define ZONE_BITS 64  /* zones whose loss probes can prove */
#define LOSS_ALL  0.9 /* share of probes lost; nothing comes through */

struct taking
{
  struct cyx_planner *planner;
  cy_time_ns now;
  int64_t now_ms;
};

static void
take_services (const struct taking *taking, unsigned zone,
               const Cy__ZoneStatus *status)
{
  struct cyx_planner *planner = taking->planner;
  struct cyx_zone_feed *feed = &planner->zones[zone];
  bool has[CYP_SERVICES_MAX] = { false };
  for (size_t i = 0; i < status->n_services; i++)
    {
      const Cy__ServiceLoad *from = status->services[i];
      unsigned service
          = cyp_names_add (&planner->catalog.services, from->service);
      if (service == CYP_NAME_NONE)
        continue;
      struct cyp_load load = { .backends = from->backends,
                               .slots = from->slots,
                               .in_flight = from->in_flight,
                               .requests_per_s = from->requests_per_s,
                               .refused_per_s = from->refused_per_s,
                               .service_time_ms = from->service_time_ms };
      has[service] = true;
      cyp_plan_observe (planner->plan, service, zone, &load, taking->now);
    }
  struct cyp_load none = { 0 };
  for (unsigned s = 0; s < CYP_SERVICES_MAX; s++)
    {
      if (feed->had[s] && !has[s])
        cyp_plan_observe (planner->plan, s, zone, &none, taking->now);
      feed->had[s] = feed->had[s] || has[s];
    }
}

static void
take_probes (const struct taking *taking, unsigned zone,
             const Cy__ZoneStatus *status)
{
  struct cyx_planner *planner = taking->planner;
  struct cyx_zone_feed *feed = &planner->zones[zone];
  for (size_t i = 0; i < status->n_probes; i++)
    {
      const Cy__Probe *from = status->probes[i];
      unsigned to = cyp_names_add (&planner->catalog.zones, from->to_zone);
      if (to == CYP_NAME_NONE)
        continue;
      double answered = (double)from->sent - from->lost;
      struct cyv_probe probe
          = { .sent = (float)from->sent,
              .lost = (float)from->lost,
              .round_trip_ms = (float)(from->round_trip_ms * answered) };
      cyv_series_probe (planner->series, zone, to, &probe, from->unix_ms,
                        taking->now_ms);
      if (to >= ZONE_BITS || from->sent == 0)
        continue;
      uint64_t bit = UINT64_C (1) << to;
      feed->probed |= bit;
      if (from->lost >= LOSS_ALL * from->sent)
        feed->lost_seen |= bit;
      else
        feed->lost_seen &= ~bit;
    }
}

static void
take_splits (const struct taking *taking, unsigned zone,
             const Cy__ZoneStatus *status)
{
  struct cyx_planner *planner = taking->planner;
  for (size_t i = 0; i < status->n_splits; i++)
    {
      const Cy__Split *from = status->splits[i];
      unsigned service
          = cyp_names_add (&planner->catalog.services, from->service);
      if (service == CYP_NAME_NONE)
        continue;
      struct cyv_split split
          = { .requests = (float)from->requests,
              .ms = { (float)from->caller_ms, (float)from->waiting_ms,
                      (float)from->connect_ms, (float)from->link_ms,
                      (float)from->backend_ms },
              .ends
              = { (float)from->connect_failed, (float)from->backend_failed,
                  (float)from->refused_rate, (float)from->refused_room,
                  (float)from->caller_left, (float)from->own_error } };
      cyv_series_split (planner->series, service, zone, &split, from->unix_ms,
                        taking->now_ms);
    }
}

static uint64_t
status_digest (const Cy__ZoneStatus *status)
{
  size_t size = cy__zone_status__get_packed_size (status);
  uint8_t *bytes = g_malloc (size + 1);
  cy__zone_status__pack (status, bytes);
  uint64_t digest = XXH3_64bits (bytes, size);
  g_free (bytes);
  return digest;
}

/* A status that repeats itself bit by bit is an old one.  */
static bool
take_zone (const Cy__Object *object, void *context)
{
  const struct taking *taking = context;
  struct cyx_planner *planner = taking->planner;
  if (object->body_case != CY__OBJECT__BODY_ZONE_STATUS)
    return true;
  const Cy__ZoneStatus *status = object->zone_status;
  unsigned zone = cyp_names_add (&planner->catalog.zones, status->zone);
  if (zone == CYP_NAME_NONE)
    return true;
  struct cyx_zone_feed *feed = &planner->zones[zone];
  uint64_t digest = status_digest (status);
  if (feed->changed != 0 && feed->digest == digest)
    return true;
  feed->digest = digest;
  feed->changed = taking->now;
  for (unsigned z = 0; zone < ZONE_BITS && z < CYP_ZONES_MAX; z++)
    planner->zones[z].lost_seen &= ~(UINT64_C (1) << zone);
  cyv_series_heard (planner->series, zone, taking->now_ms);
  take_services (taking, zone, status);
  take_probes (taking, zone, status);
  take_splits (taking, zone, status);
  return true;
}

void
cyx_measure_take (struct cyx_planner *planner,
                  const struct cyt_soft_state *soft)
{
  struct taking taking = { planner, cy_clock_now (planner->clock),
                           cy_clock_unix_ms (planner->clock) };
  cyt_soft_state_each (soft, "zone/", take_zone, &taking);
}

/* True when ZONE is silent and those that probe it have lost it:
   CYX_OBSERVERS of them, or all when there are fewer.  What a zone saw last
   counts, since a zone without a status is soon probed no more.  */
static bool
zone_is_lost (const struct cyx_planner *planner, unsigned zone, cy_time_ns now)
{
  cy_time_ns silent = CYX_SILENT_MS * CY_NS_PER_MS;
  if (zone >= ZONE_BITS || planner->zones[zone].changed == 0
      || now - planner->zones[zone].changed < silent)
    return false;
  unsigned probing = 0;
  unsigned lost = 0;
  for (unsigned z = 0; z < planner->topology.zones; z++)
    {
      const struct cyx_zone_feed *feed = &planner->zones[z];
      if (z == zone || feed->changed == 0 || now - feed->changed > CYP_STALE)
        continue;
      probing += (feed->probed >> zone) & 1;
      lost += (feed->lost_seen >> zone) & 1;
    }
  return lost >= CYX_OBSERVERS || (lost > 0 && lost == probing);
}

void
cyx_measure_mark_lost (struct cyx_planner *planner)
{
  cy_time_ns now = cy_clock_now (planner->clock);
  for (unsigned z = 0; z < planner->topology.zones; z++)
    planner->topology.zone_lost[z] = zone_is_lost (planner, z, now);
}

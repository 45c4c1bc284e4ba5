/* Adds the measurements in zone statuses to the plan and the time series.  */

#include <glib.h>
#include <string.h>
#include <xxhash.h>

#include "control/cyx_steer.h"

#define ZONE_BIT_COUNT   64  /* zones with a bit in the sets of probed zones */
#define TOTAL_LOSS_SHARE 0.9 /* share of lost probes that counts as lost */

struct measure_pass
{
  struct cyx_planner *planner;
  cy_time_ns now;
  int64_t now_ms;
};

static void
apply_services (const struct measure_pass *pass, unsigned zone,
                const Cy__ZoneStatus *status)
{
  struct cyx_planner *planner = pass->planner;
  struct cyx_zone_observation *observation = &planner->zones[zone];
  bool is_reported[CYP_SERVICES_MAX] = { false };
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
      is_reported[service] = true;
      cyp_plan_observe (planner->plan, service, zone, &load, pass->now);
    }
  struct cyp_load none = { 0 };
  for (unsigned s = 0; s < CYP_SERVICES_MAX; s++)
    {
      if (observation->was_reported[s] && !is_reported[s])
        cyp_plan_observe (planner->plan, s, zone, &none, pass->now);
      observation->was_reported[s]
          = observation->was_reported[s] || is_reported[s];
    }
}

static void
apply_probes (const struct measure_pass *pass, unsigned zone,
              const Cy__ZoneStatus *status)
{
  struct cyx_planner *planner = pass->planner;
  struct cyx_zone_observation *observation = &planner->zones[zone];
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
      cyv_series_add_probe (planner->series, zone, to, &probe, from->unix_ms,
                            pass->now_ms);
      if (to >= ZONE_BIT_COUNT || from->sent == 0)
        continue;
      uint64_t bit = UINT64_C (1) << to;
      observation->probed |= bit;
      if (from->lost >= TOTAL_LOSS_SHARE * from->sent)
        observation->probed_lost |= bit;
      else
        observation->probed_lost &= ~bit;
    }
}

static void
apply_time_splits (const struct measure_pass *pass, unsigned zone,
                   const Cy__ZoneStatus *status)
{
  struct cyx_planner *planner = pass->planner;
  for (size_t i = 0; i < status->n_splits; i++)
    {
      const Cy__Split *from = status->splits[i];
      unsigned service
          = cyp_names_add (&planner->catalog.services, from->service);
      if (service == CYP_NAME_NONE)
        continue;
      struct cyv_time_split split
          = { .requests = (float)from->requests,
              .part_ms = { (float)from->caller_ms, (float)from->waiting_ms,
                           (float)from->connect_ms, (float)from->link_ms,
                           (float)from->backend_ms },
              .outcomes
              = { (float)from->connect_failed, (float)from->backend_failed,
                  (float)from->refused_rate, (float)from->refused_room,
                  (float)from->caller_left, (float)from->own_error } };
      cyv_series_add_split (planner->series, service, zone, &split,
                            from->unix_ms, pass->now_ms);
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

/* Applies a zone status.  A status that equals the previous one byte by byte
   is the old measurement and does not renew the time of the last status.  */
static bool
apply_zone_status (const Cy__Object *object, void *context)
{
  const struct measure_pass *pass = context;
  struct cyx_planner *planner = pass->planner;
  if (object->body_case != CY__OBJECT__BODY_ZONE_STATUS)
    return true;
  const Cy__ZoneStatus *status = object->zone_status;
  unsigned zone = cyp_names_add (&planner->catalog.zones, status->zone);
  if (zone == CYP_NAME_NONE)
    return true;
  struct cyx_zone_observation *observation = &planner->zones[zone];
  uint64_t digest = status_digest (status);
  if (observation->changed_at != 0 && observation->digest == digest)
    return true;
  observation->digest = digest;
  observation->changed_at = pass->now;
  for (unsigned z = 0; zone < ZONE_BIT_COUNT && z < CYP_ZONES_MAX; z++)
    planner->zones[z].probed_lost &= ~(UINT64_C (1) << zone);
  cyv_series_add_report (planner->series, zone, pass->now_ms);
  apply_services (pass, zone, status);
  apply_probes (pass, zone, status);
  apply_time_splits (pass, zone, status);
  return true;
}

void
cyx_measure_apply (struct cyx_planner *planner,
                   const struct cyt_soft_state *soft)
{
  struct measure_pass pass = { planner, cy_clock_now (planner->clock),
                               cy_clock_unix_ms (planner->clock) };
  cyt_soft_state_each (soft, "zone/", apply_zone_status, &pass);
}

/* True when ZONE has sent no status within the timeout and the probes of
   CYX_LOSS_OBSERVERS_MIN zones, or of all that probe ZONE when there are
   fewer, are lost.  The newest result of each observer counts, whatever its
   age, since a zone without a status is soon no longer probed.  */
static bool
zone_is_lost (const struct cyx_planner *planner, unsigned zone, cy_time_ns now)
{
  cy_time_ns status_timeout = CYX_ZONE_STATUS_TIMEOUT_MS * CY_NS_PER_MS;
  if (zone >= ZONE_BIT_COUNT || planner->zones[zone].changed_at == 0
      || now - planner->zones[zone].changed_at < status_timeout)
    return false;
  unsigned probing = 0;
  unsigned lost = 0;
  for (unsigned z = 0; z < planner->topology.zones; z++)
    {
      const struct cyx_zone_observation *observation = &planner->zones[z];
      if (z == zone || observation->changed_at == 0
          || now - observation->changed_at > CYP_STALE_AFTER_NS)
        continue;
      probing += (observation->probed >> zone) & 1;
      lost += (observation->probed_lost >> zone) & 1;
    }
  return lost >= CYX_LOSS_OBSERVERS_MIN || (lost > 0 && lost == probing);
}

void
cyx_measure_mark_lost (struct cyx_planner *planner)
{
  cy_time_ns now = cy_clock_now (planner->clock);
  for (unsigned z = 0; z < planner->topology.zones; z++)
    planner->topology.zone_lost[z] = zone_is_lost (planner, z, now);
}

/* Demand of this region for the servers of other regions, and spillover: how
   fast requests may move to other regions.  */

#include <math.h>

#include "core/cym_internal.h"

/* Time constant in s of the demand averages.  */
#define DEMAND_AVERAGE_S 1.0

/* Assumed answer time of a service without measured answers, ms.  */
#define DEFAULT_SERVICE_MS 100

/* Time constant in s of the spillover ratio, and by how much the ratio may
   grow in that time.  */
#define SPILLOVER_AVERAGE_S 1.0
#define SPILLOVER_STEP      0.05

/* Requests that may spill over to other regions at once.  */
#define SPILLOVER_BURST_COUNT 4.0

/* After SPILLOVER_IDLE_S s without a request the spillover ratio is unknown.
   This is the length of the window in which the growth of spillover is
   limited.  In the first SPILLOVER_UNLIMITED_MS ms after such an idle time the
   ratio is measured and spillover has no limit.  */
#define SPILLOVER_IDLE_S       2.0
#define SPILLOVER_UNLIMITED_MS 1000

/* ------------------------------------------------------------ demand */

/* Moves AVERAGE towards VALUE; DECAY is the weight of the old average, 0 to
   1.  */
static void
move_average (double *average, double value, double decay)
{
  *average = *average * decay + value * (1 - decay);
}

void
cym_demand_measure (struct cym_service *service, cy_time_ns now)
{
  double elapsed_s
      = (double)(now - service->demand_measured_at) / (double)CY_NS_PER_S;
  if (elapsed_s <= 0)
    return;
  const struct cym_server *server = NULL;
  double decay = exp (-elapsed_s / DEMAND_AVERAGE_S);
  double in_flight = 0;
  bool has_local_server = false;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, service->remote_regions);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct cym_remote_region *remote = value;
      remote->borrowed = 0;
      remote->spillover_in_flight = 0;
    }
  CK_LIST_FOREACH (server, &service->servers, entry)
  {
    in_flight += server->in_flight;
    has_local_server
        = has_local_server || (server->local && cym_is_usable (server, now));
    if (server->local)
      continue;
    server->remote_region->borrowed += server->listed ? server->borrowed : 0;
    server->remote_region->spillover_in_flight += server->in_flight;
  }
  g_hash_table_iter_init (&iter, service->remote_regions);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct cym_remote_region *remote = value;
      remote->spillover_in_flight
          -= MIN (remote->spillover_in_flight, remote->remote_only_in_flight);
      in_flight -= remote->remote_only_in_flight;
      move_average (&remote->busy_slots, remote->remote_only_in_flight, decay);
      remote->refused_slots *= decay;
    }
  move_average (&service->busy_slots, in_flight, decay);
  service->refused_slots *= decay;
  service->has_local_server = has_local_server;
  service->demand_measured_at = now;
}

struct cym_remote_region *
cym_remote_region_get (struct cym_service *service, const char *region)
{
  struct cym_remote_region *remote
      = g_hash_table_lookup (service->remote_regions, region);
  if (remote == NULL)
    {
      remote = g_new0 (struct cym_remote_region, 1);
      g_hash_table_insert (service->remote_regions, g_strdup (region), remote);
    }
  return remote;
}

/* Region that the demand of REQUEST, which the local region may not serve, is
   counted for: the first of the allowed regions.  */
static struct cym_remote_region *
remote_region_of (struct cym_request *request)
{
  return cym_remote_region_get (request->service_state,
                                request->allowed_regions[0]);
}

void
cym_demand_record_refused (struct cym_request *request)
{
  double service_time_ns = request->route_stats->service_time_ns;
  if (service_time_ns <= 0)
    service_time_ns = request->service_state->service_time_ns > 0
                          ? request->service_state->service_time_ns
                          : DEFAULT_SERVICE_MS * CY_NS_PER_MS;
  double slots = service_time_ns / (double)CY_NS_PER_S / DEMAND_AVERAGE_S;
  if (request->remote_only)
    remote_region_of (request)->refused_slots += slots;
  else
    request->service_state->refused_slots += slots;
}

void
cym_demand_count_remote_only (struct cym_request *request, int change)
{
  remote_region_of (request)->remote_only_in_flight += (uint32_t)change;
}

/* ------------------------------------------------------------ spillover */

/* True when REMOTE lends a slot that is not in use by spillover and not needed
   by requests that only REMOTE may serve.  */
static bool
has_spare_slot (const struct cym_remote_region *remote)
{
  double wanted = remote->busy_slots + remote->refused_slots;
  return remote->spillover_in_flight + 1
         <= remote->borrowed - fmin (wanted, remote->borrowed);
}

bool
cym_spillover_is_allowed (const struct cym_match *match,
                          const struct cym_request *request,
                          const struct cym_server *server, cy_time_ns now)
{
  if (!request->remote_only && !has_spare_slot (server->remote_region))
    return false;
  /* Without a local server all requests have to move, so there is no limit.
     Neither is there one shortly after a start, while no spillover ratio is
     known that could grow.  */
  return request->remote_only || !request->service_state->has_local_server
         || match->spillover_tokens >= 1
         || now - match->spillover_started_at
                < SPILLOVER_UNLIMITED_MS * CY_NS_PER_MS;
}

/* Restarts the measurement of the spillover ratio.  */
static void
spillover_restart (struct cym_match *match, cy_time_ns now)
{
  match->spillover_started_at = now;
  match->slice_started_at = now;
  match->spillover_ratio = 0;
  match->slice_placed = 0;
  match->slice_spilled = 0;
}

/* Adds the slice that ends at NOW and lasted ELAPSED_S to the spillover ratio:
   to the mean since the start during SPILLOVER_UNLIMITED_MS, then to a moving
   average.  */
static void
end_spillover_slice (struct cym_match *match, double elapsed_s, cy_time_ns now)
{
  double total_s
      = (double)(now - match->spillover_started_at) / (double)CY_NS_PER_S;
  double decay = total_s * 1000 < SPILLOVER_UNLIMITED_MS
                     ? 1 - elapsed_s / total_s
                     : exp (-elapsed_s / SPILLOVER_AVERAGE_S);
  if (match->slice_placed > 0)
    move_average (&match->spillover_ratio,
                  match->slice_spilled / match->slice_placed, decay);
  match->slice_placed = 0;
  match->slice_spilled = 0;
  match->slice_started_at = now;
}

void
cym_spillover_record (struct cym_match *match,
                      const struct cym_request *request, bool is_remote,
                      cy_time_ns now)
{
  if (request->remote_only)
    return;
  double elapsed_s
      = (double)(now - match->slice_started_at) / (double)CY_NS_PER_S;
  if (elapsed_s >= SPILLOVER_IDLE_S)
    spillover_restart (match, now);
  else if (elapsed_s >= SPILLOVER_AVERAGE_S / 20)
    end_spillover_slice (match, elapsed_s, now);
  match->slice_placed += 1;
  match->slice_spilled += is_remote;
  match->spillover_tokens = fmin (
      match->spillover_tokens + match->spillover_ratio + SPILLOVER_STEP,
      SPILLOVER_BURST_COUNT);
  match->spillover_tokens = fmax (match->spillover_tokens - is_remote, 0);
}

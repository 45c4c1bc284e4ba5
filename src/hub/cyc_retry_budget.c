/* Exchanges with the other control VMs how many requests and retries of each
   service were placed, so that one retry budget holds for the fleet.  */

#include <inttypes.h>
#include <jansson.h>
#include <string.h>

#include "base/cyu_log.h"
#include "base/cyu_metrics.h"
#include "hub/cyc_internal.h"

/* Time between two reports of a peer after which reports count as lost, ms. */
#define REPORT_GAP_MS (2 * CYC_HEARTBEAT_MS)

#define LOG_INTERVAL_MS 1000 /* ms between two log lines of one service */

/* ------------------------------------------------------------ sending */

struct count_collector
{
  GPtrArray *list; /* Cy__PlacedCount * */
  cy_time_ns now;
};

static void
add_count (const char *service, const struct cym_retry_budget *counts,
           void *context)
{
  const struct count_collector *collector = context;
  GPtrArray *list = collector->list;
  Cy__PlacedCount *count = g_new (Cy__PlacedCount, 1);
  cy__placed_count__init (count);
  count->service = g_strdup (service);
  count->requests = counts->requests;
  count->repeats = counts->retries;
  count->for_ms
      = (uint32_t)MIN ((collector->now - counts->started_at) / CY_NS_PER_MS,
                       (cy_time_ns)UINT32_MAX);
  g_ptr_array_add (list, count);
}

void
cyc_retry_budget_fill_sync (struct cyc_hub *hub, Cy__HubSync *sync)
{
  GPtrArray *list = g_ptr_array_new ();
  struct count_collector collector = { list, cyc_now (hub) };
  cym_match_each_retry_count (hub->match, add_count, &collector);
  sync->n_placed = list->len;
  sync->placed = (Cy__PlacedCount **)(void *)g_ptr_array_free (list, FALSE);
}

void
cyc_retry_budget_clear_sync (Cy__HubSync *sync)
{
  for (size_t i = 0; i < sync->n_placed; i++)
    cy__placed_count__free_unpacked (sync->placed[i], NULL);
  g_free (sync->placed);
}

/* ------------------------------------------------------------ receiving */

/* True when the placer of COUNT, in its first report to this VM, has counted
   for longer than this VM has run, by more than REPORT_GAP_MS.  */
static bool
has_missed_requests (const struct cyc_hub *hub, const Cy__PlacedCount *count,
                     cy_time_ns now)
{
  return count->requests > 0
         && count->for_ms * CY_NS_PER_MS
                > now - hub->created_at + REPORT_GAP_MS * CY_NS_PER_MS;
}

static void
receive_count (struct cyc_hub *hub, struct cyc_peer *peer,
               const Cy__PlacedCount *count, cy_time_ns now)
{
  struct cym_retry_last_report *last_report
      = g_hash_table_lookup (peer->placed_counts, count->service);
  uint64_t requests = count->requests;
  uint64_t retries = count->repeats;
  bool same_region = strcmp (peer->region, hub->options.region) == 0;
  if (last_report == NULL)
    {
      last_report = g_new0 (struct cym_retry_last_report, 1);
      g_hash_table_insert (peer->placed_counts, g_strdup (count->service),
                           last_report);
    }
  bool first = last_report->received_at == 0;
  bool complete = cym_retry_report_delta (
      last_report, REPORT_GAP_MS * CY_NS_PER_MS, &requests, &retries, now);
  if (first ? has_missed_requests (hub, count, now) : !complete)
    cym_match_record_missed_requests (hub->match, count->service, now);
  cym_match_add_remote_retries (hub->match, count->service,
                                same_region ? CYM_RETRY_SAME_REGION
                                            : CYM_RETRY_OTHER_REGION,
                                (uint32_t)requests, (uint32_t)retries, now);
}

void
cyc_retry_budget_receive (struct cyc_hub *hub, struct cyc_peer *peer,
                          const Cy__HubSync *sync)
{
  if (!sync->rests || peer->region == NULL)
    return;
  peer->attached_entries = sync->attached;
  for (size_t i = 0; i < sync->n_placed; i++)
    receive_count (hub, peer, sync->placed[i], cyc_now (hub));
}

static bool
is_placer (const struct cyc_peer *peer, cy_time_ns now)
{
  return peer->region != NULL && peer->attached_entries > 0
         && cyc_peer_is_live (peer, now);
}

/* True when PEER is the first placer of its region in the list.  */
static bool
is_first_of_region (const struct cyc_hub *hub, const struct cyc_peer *peer,
                    cy_time_ns now)
{
  const struct cyc_peer *other = NULL;
  CK_LIST_FOREACH (other, &hub->peers, entry)
  {
    if (other == peer)
      return true;
    if (is_placer (other, now) && strcmp (other->region, peer->region) == 0)
      return false;
  }
  return true;
}

/* ------------------------------------------------------------ reporting */

static void
set_metric (const char *service, const char *kind, uint64_t value)
{
  GString *labels = g_string_new (NULL);
  GString *overflow = g_string_new (NULL);
  cyu_label_append (labels, "service", service);
  cyu_label_append (labels, "what", kind);
  cyu_label_append (overflow, "service", "others");
  cyu_label_append (overflow, "what", kind);
  cyu_metric_set (
      cyu_counter_bounded ("cy_hub_budget_total", labels->str, overflow->str,
                           "Requests, and repeats granted and refused."),
      (int64_t)value);
  g_string_free (labels, TRUE);
  g_string_free (overflow, TRUE);
}

/* Updates the metrics of SERVICE, and logs if its budget refused retries since
   the last call.  */
static void
report_counts (const char *service, const struct cym_retry_budget *counts,
               void *context)
{
  struct cyc_hub *hub = context;
  uint64_t *refused = g_hash_table_lookup (hub->refused_retries, service);
  set_metric (service, "request", counts->requests);
  set_metric (service, "repeat", counts->retries);
  set_metric (service, "refused", counts->refused);
  if (refused == NULL)
    {
      refused = g_new0 (uint64_t, 1);
      g_hash_table_insert (hub->refused_retries, g_strdup (service), refused);
    }
  if (counts->refused == *refused)
    return;
  *refused = counts->refused;
  cyu_event (CYU_CHANGE, "budget_spent", "{ss sI sI sI sb}", "service",
             service, "requests", (json_int_t)counts->requests, "repeats",
             (json_int_t)counts->retries, "refused",
             (json_int_t)counts->refused, "hears_all", hub->all_placers_known);
}

void
cyc_retry_budget_heartbeat (struct cyc_hub *hub)
{
  cy_time_ns now = cyc_now (hub);
  const struct cyc_peer *peer = NULL;
  size_t regions = 1;
  CK_LIST_FOREACH (peer, &hub->peers, entry)
  {
    if (is_placer (peer, now)
        && strcmp (peer->region, hub->options.region) != 0)
      regions += is_first_of_region (hub, peer, now);
  }
  hub->all_placers_known
      = regions >= cyc_topology_region_count (hub->options.topology);
  cym_match_set_all_placers_known (hub->match, hub->all_placers_known);
  if (now - hub->retries_logged_at < LOG_INTERVAL_MS * CY_NS_PER_MS)
    return;
  hub->retries_logged_at = now;
  cym_match_each_retry_count (hub->match, report_counts, hub);
}

/* ------------------------------------------------------------ lifecycle */

void
cyc_retry_budget_create (struct cyc_hub *hub)
{
  hub->created_at = cyc_now (hub);
  hub->refused_retries
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
cyc_retry_budget_destroy (struct cyc_hub *hub)
{
  g_hash_table_destroy (hub->refused_retries);
}

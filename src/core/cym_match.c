#include "core/cym_match.h"

#include <math.h>
#include <string.h>

#include "core/cym_internal.h"

/* Shortest time in ms between two checks of all servers of a service against
   all of its waiting requests: a twentieth of a short latency goal.  The cost
   of a check is the number of servers times the number of requests.  */
#define SWEEP_INTERVAL_MS 10

/* ------------------------------------------------------------ life */

static void
route_stats_free (gpointer data)
{
  struct cym_route_stats *stats = data;
  g_free (stats->route);
  g_free (stats);
}

static char *
limit_key (const char *id, uint64_t incarnation)
{
  return g_strdup_printf ("%s/%" G_GUINT64_FORMAT, id, incarnation);
}

static void
park_limit (struct cym_match *match, const char *id, uint64_t incarnation,
            const struct cym_limit *limit)
{
  g_hash_table_replace (match->parked_limits, limit_key (id, incarnation),
                        g_memdup2 (limit, sizeof *limit));
}

static void
server_free (struct cym_server *server)
{
  cym_pause_clear (server);
  g_free (server);
}

static void
service_free (gpointer data)
{
  struct cym_service *service = data;
  struct cym_server *server = NULL;
  struct cym_server *next = NULL;
  CK_LIST_FOREACH_SAFE (server, &service->servers, entry, next)
  {
    CK_LIST_REMOVE (server, entry);
    server_free (server);
  }
  g_hash_table_destroy (service->routes);
  g_hash_table_destroy (service->remote_regions);
  g_free (service->name);
  g_free (service);
}

struct cym_match *
cym_match_create (const struct cym_options *options)
{
  struct cym_match *match = g_new0 (struct cym_match, 1);
  match->options = *options;
  match->share = 1;
  match->all_placers_known = options->limits.retries.regions <= 1;
  match->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, service_free);
  match->by_id = g_hash_table_new (g_str_hash, g_str_equal);
  match->workspaces
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  match->parked_limits
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  match->poison
      = cym_poison_create (options->on_poison, options->poison_context);
  return match;
}

void
cym_match_destroy (struct cym_match *match)
{
  if (match == NULL)
    return;
  g_hash_table_destroy (match->by_id);
  g_hash_table_destroy (match->services);
  g_hash_table_destroy (match->workspaces);
  g_hash_table_destroy (match->parked_limits);
  cym_poison_destroy (match->poison);
  g_free (match);
}

static struct cym_service *
service_get (struct cym_match *match, const char *name)
{
  struct cym_service *service = g_hash_table_lookup (match->services, name);
  if (service != NULL)
    return service;
  service = g_new0 (struct cym_service, 1);
  service->name = g_strdup (name);
  CK_LIST_INIT (&service->servers);
  TAILQ_INIT (&service->waiting);
  service->routes = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                           route_stats_free);
  service->remote_regions
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_hash_table_insert (match->services, service->name, service);
  return service;
}

static struct cym_route_stats *
route_stats_get (struct cym_service *service, const char *route)
{
  struct cym_route_stats *stats = g_hash_table_lookup (service->routes, route);
  if (stats != NULL)
    return stats;
  stats = g_new0 (struct cym_route_stats, 1);
  stats->route = g_strdup (route);
  g_hash_table_insert (service->routes, stats->route, stats);
  return stats;
}

void
cym_match_set_share (struct cym_match *match, double share)
{
  match->share = fmin (fmax (share, 0), 1);
}

void
cym_match_declare_service (struct cym_match *match, const char *name,
                           double cold_per_s, uint32_t cold_ms)
{
  struct cym_service *service = service_get (match, name);
  service->cold_per_s = cold_per_s;
  service->cold_ms = cold_ms;
}

/* ------------------------------------------------------------ retries */

void
cym_match_set_all_placers_known (struct cym_match *match, bool all)
{
  match->all_placers_known = all || match->options.limits.retries.regions <= 1;
}

void
cym_match_add_remote_retries (struct cym_match *match, const char *service,
                              enum cym_retry_source source, uint32_t requests,
                              uint32_t retries, cy_time_ns now)
{
  cym_retry_budget_add_remote (&service_get (match, service)->retry_budget,
                               &match->options.limits.retries, source,
                               requests, retries, now);
}

void
cym_match_record_missed_requests (struct cym_match *match, const char *service,
                                  cy_time_ns now)
{
  cym_retry_budget_record_missed (&service_get (match, service)->retry_budget,
                                  now);
}

void
cym_match_each_retry_count (const struct cym_match *match,
                            cym_retry_count_fn each, void *context)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, match->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct cym_service *service = value;
      if (service->retry_budget.requests + service->retry_budget.retries > 0)
        each (service->name, &service->retry_budget, context);
    }
}

/* ------------------------------------------------------------ placing */

static cy_result
refuse_no_token (struct cym_match *match, struct cym_request *request,
                 cy_time_ns now)
{
  request->retry_after_ms = match->options.token_wait_ms (
      match->options.context, request->workspace, now);
  return CY_E_RATE_EXCEEDED;
}

static struct cym_retry_view
retry_view (const struct cym_match *match)
{
  return (struct cym_retry_view){ match->share, match->all_placers_known };
}

/* True when the budget allows REQUEST, a retry, besides the retries that
   already wait.  */
static bool
has_retry_left (struct cym_match *match, const struct cym_request *request,
                cy_time_ns now)
{
  struct cym_service *service = request->service_state;
  const struct cym_retry_view view = retry_view (match);
  return cym_retry_budget_has (&service->retry_budget,
                               &match->options.limits.retries, &view,
                               service->retries_waiting + 1, now);
}

static bool
take_retry (struct cym_match *match, const struct cym_request *request,
            cy_time_ns now)
{
  const struct cym_retry_view view = retry_view (match);
  return cym_retry_budget_take (&request->service_state->retry_budget,
                                &match->options.limits.retries, &view, now);
}

static cy_result
refuse_retry (struct cym_request *request)
{
  request->service_state->retry_budget.refused++;
  return CY_E_RETRY_BUDGET;
}

cy_result
cym_place_at_server (struct cym_match *match, struct cym_request *request,
                     struct cym_server *server, cy_time_ns now)
{
  if (request->is_retry && !take_retry (match, request, now))
    return refuse_retry (request);
  if (request->metered
      && !match->options.take_token (match->options.context,
                                     request->workspace, now))
    return refuse_no_token (match, request, now);
  if (server->cold_until > now)
    server->cold_tokens -= 1;
  if (cym_limit_is_set (&server->limit))
    cym_limit_take (&server->limit);
  server->in_flight++;
  if (request->remote_only)
    cym_demand_count_remote_only (request, 1);
  else if (!server->local)
    server->remote_region->spillover_in_flight++;
  cym_spillover_record (match, request, !server->local, now);
  request->server = server;
  request->expected_time
      = request->route_stats->service_time_ns > 0
            ? (cy_time_ns)cym_expected_answer_ns (server, request, now)
            : 0;
  request->lru_distance
      = cym_affinity_lru_distance (server, request->affinity);
  request->affinity_hit = cym_is_cached (server, request->affinity);
  request->waited = now - request->arrived_at;
  request->placed_at = now;
  request->route_stats->placements.placed += 1;
  match->total.placed += 1;
  request->workspace_stats->placed += 1;
  cym_affinity_record (server, request->affinity);
  cym_trial_start (match, request, now);
  return CY_OK;
}

/* Gives the free slots of SERVER to waiting requests.  */
static void
serve_waiting (struct cym_match *match, struct cym_server *server,
               cy_time_ns now)
{
  struct cym_request *request = NULL;
  while (cym_has_free_slot (match, server, now)
         && (request = cym_queue_next (match, server, now)) != NULL)
    {
      cym_queue_leave (request);
      request->on_decision (request,
                            cym_place_at_server (match, request, server, now));
    }
}

static void
serve_all_servers (struct cym_match *match, struct cym_service *service,
                   cy_time_ns now)
{
  struct cym_server *server = NULL;
  CK_LIST_FOREACH (server, &service->servers, entry)
  {
    if (service->waiting_count == 0)
      return;
    serve_waiting (match, server, now);
  }
}

static cy_time_ns
next_sweep_at (const struct cym_service *service)
{
  return service->swept_at + SWEEP_INTERVAL_MS * CY_NS_PER_MS;
}

/* Checks all servers of SERVICE for slots that waiting requests can use,
   unless the latest check was less than SWEEP_INTERVAL_MS ago.  Most slots
   become free with an answer and are reassigned then, without this check.  */
static void
sweep_servers (struct cym_match *match, struct cym_service *service,
               cy_time_ns now)
{
  service->sweep_due = now < next_sweep_at (service);
  if (service->sweep_due)
    return;
  serve_all_servers (match, service, now);
  service->swept_at = now;
}

/* Gives waiting requests what the limits of servers allow since the latest
   check, so that a new request does not get it first.  */
static void
serve_limited_servers (struct cym_match *match, struct cym_service *service,
                       cy_time_ns now)
{
  struct cym_server *server = NULL;
  CK_LIST_FOREACH (server, &service->servers, entry)
  {
    if (service->waiting_count == 0)
      return;
    if (cym_limit_is_set (&server->limit)
        && cym_limit_allows (&server->limit, cym_limit_share (match, server),
                             now))
      serve_waiting (match, server, now);
  }
}

/* True when the local region is not allowed to serve REQUEST.  */
static bool
is_remote_only (const struct cym_match *match,
                const struct cym_request *request)
{
  for (size_t i = 0; i < request->allowed_region_count; i++)
    if (strcmp (request->allowed_regions[i], match->options.region) == 0)
      return false;
  return request->allowed_region_count > 0;
}

static void
record_offered (struct cym_match *match, struct cym_request *request,
                cy_time_ns now)
{
  struct cym_placement_stats *stats = request->workspace_stats;
  cym_placement_stats_decay (&request->route_stats->placements, now);
  cym_placement_stats_decay (stats, now);
  cym_placement_stats_decay (&match->total, now);
  request->route_stats->placements.offered += 1;
  stats->offered += 1;
  match->total.offered += 1;
}

static cy_result
refuse_no_slot (struct cym_match *match, struct cym_request *request,
                cy_result result, cy_time_ns now)
{
  cym_demand_record_refused (request);
  request->retry_after_ms = cym_queue_retry_after_ms (match, request, now);
  return result;
}

cy_result
cym_match_place (struct cym_match *match, struct cym_request *request,
                 cy_time_ns now)
{
  struct cym_service *service = service_get (match, request->service);
  request->service_state = service;
  request->route_stats = route_stats_get (service, request->route);
  request->server = NULL;
  request->arrived_at = now;
  request->waited = 0;
  request->retry_after_ms = 0;
  request->queued = false;
  request->preferred = NULL;
  request->is_trial = false;
  request->remote_only = is_remote_only (match, request);
  cym_demand_measure (service, now);
  enum cym_poison_verdict verdict
      = cym_poison_check (match->poison, request->fingerprint, now);
  if (verdict == CYM_POISON_REFUSE)
    return cym_trial_refuse (match, request, now);
  if (request->is_retry && !has_retry_left (match, request, now))
    return refuse_retry (request);
  if (!request->is_retry && !request->counted)
    cym_retry_budget_record_request (&service->retry_budget,
                                     &match->options.limits.retries, now);
  request->workspace_stats
      = cym_workspace_stats_get (match, request->workspace);
  if (request->metered
      && !match->options.has_token (match->options.context, request->workspace,
                                    request->workspace_stats->waiting, now))
    return refuse_no_token (match, request, now);
  record_offered (match, request, now);
  serve_limited_servers (match, service, now);
  if (verdict == CYM_POISON_WAIT)
    return cym_queue_hold (match, request, now);
  struct cym_server *server = cym_choose_server (match, request, true, now);
  cy_result queue_result = CY_E_NO_ROOM;
  if (cym_queue_for_preferred (match, request, server, now))
    return CY_E_AGAIN;
  if (server == NULL)
    {
      server = cym_choose_server (match, request, false, now);
      queue_result = cym_queue_enter (match, request, server != NULL, now);
      if (queue_result == CY_E_AGAIN)
        return CY_E_AGAIN;
    }
  if (server == NULL)
    return refuse_no_slot (match, request, queue_result, now);
  return cym_place_at_server (match, request, server, now);
}

void
cym_match_cancel (struct cym_match *match, struct cym_request *request)
{
  (void)match;
  cym_queue_leave (request);
}

bool
cym_match_adopt (struct cym_match *match, struct cym_request *request,
                 const char *id, uint64_t incarnation, cy_time_ns now)
{
  struct cym_server *server = cym_match_find (match, id);
  if (server == NULL || server->incarnation != incarnation)
    return false;
  request->service_state = server->service;
  request->route_stats = route_stats_get (server->service, request->route);
  request->queued = false;
  request->remote_only = is_remote_only (match, request);
  request->server = server;
  request->placed_at = 0;
  server->in_flight++;
  if (request->remote_only)
    cym_demand_count_remote_only (request, 1);
  cym_trial_start (match, request, now);
  return true;
}

/* Updates the limit of SERVER by the end of REQUEST.  Only a whole success
   shows that the server has no limit any more: errors and refusals of a server
   in need may come from a part of it that does not report the limit.  */
static void
record_limit (struct cym_server *server, const struct cym_request *request,
              enum cym_outcome outcome, const struct cym_load *load,
              cy_time_ns now)
{
  if (load->limited)
    cym_limit_record (&server->limit, load->limit_per_s, request->placed_at,
                      now);
  else if (load->unlimited && outcome == CYM_ANSWERED)
    cym_limit_record (&server->limit, INFINITY, request->placed_at, now);
}

void
cym_match_finish (struct cym_match *match, struct cym_request *request,
                  enum cym_outcome outcome, cy_time_ns answer_time,
                  const struct cym_load *load, cy_time_ns now)
{
  struct cym_server *server = request->server;
  bool was_trial = request->is_trial;
  if (server == NULL)
    return;
  cym_demand_measure (server->service, now);
  request->server = NULL;
  server->in_flight--;
  if (request->remote_only)
    cym_demand_count_remote_only (request, -1);
  server->finished_count++;
  cym_health_record (server, outcome, now);
  if (outcome == CYM_ANSWERED && answer_time > 0)
    cym_answer_time_record (server, request, answer_time, now);
  cym_load_record (server, request->entry_vm, load, now);
  record_limit (server, request, outcome, load, now);
  cym_trial_record (match, server, request, outcome, answer_time, now);
  serve_waiting (match, server, now);
  if (was_trial)
    sweep_servers (match, server->service, now);
}

void
cym_match_notice (struct cym_match *match, const char *id,
                  uint64_t incarnation, uint64_t entry_vm,
                  const struct cym_load *load, cy_time_ns now)
{
  struct cym_server *server = cym_match_find (match, id);
  if (server != NULL && server->incarnation == incarnation)
    cym_load_record (server, entry_vm, load, now);
}

bool
cym_match_record_limit (struct cym_match *match, const char *id,
                        uint64_t incarnation, double per_s, cy_time_ns sent_at,
                        cy_time_ns received_at)
{
  struct cym_server *server = cym_match_find (match, id);
  if (server != NULL && server->incarnation == incarnation)
    return cym_limit_record (&server->limit, per_s, sent_at, received_at);
  char *key = limit_key (id, incarnation);
  struct cym_limit limit;
  const struct cym_limit *parked
      = g_hash_table_lookup (match->parked_limits, key);
  g_free (key);
  if (parked != NULL)
    limit = *parked;
  else
    cym_limit_init (&limit);
  bool has_changed = cym_limit_record (&limit, per_s, sent_at, received_at);
  if (parked != NULL || cym_limit_is_set (&limit))
    park_limit (match, id, incarnation, &limit);
  return has_changed;
}

/* ------------------------------------------------------------ time */

/* Finds a waiting request whose wait is over, or that is blocked.  */
static struct cym_request *
find_expired (const struct cym_match *match, const struct cym_service *service,
              cy_time_ns now)
{
  struct cym_request *request = NULL;
  TAILQ_FOREACH (request, &service->waiting, entry)
  {
    if (request->wait_until <= now
        || cym_poison_check (match->poison, request->fingerprint, now)
               == CYM_POISON_REFUSE)
      return request;
  }
  return NULL;
}

/* Chooses the server for REQUEST, whose wait is over.  Waiting requests that
   go before it at that server are served first.  NULL if no slot is left.  */
static struct cym_server *
choose_at_wait_end (struct cym_match *match, struct cym_request *request,
                    cy_time_ns now)
{
  struct cym_server *server = cym_choose_server (match, request, false, now);
  while (server != NULL && cym_queue_next (match, server, now) != NULL)
    {
      serve_waiting (match, server, now);
      server = cym_choose_server (match, request, false, now);
    }
  return server;
}

/* Places or refuses the waiting requests of SERVICE whose wait is over.  */
static void
expire_waiting (struct cym_match *match, struct cym_service *service,
                cy_time_ns now)
{
  struct cym_request *request = NULL;
  while ((request = find_expired (match, service, now)) != NULL)
    {
      cym_queue_leave (request);
      struct cym_server *server
          = cym_trial_is_suspended (match, request, now)
                ? NULL
                : choose_at_wait_end (match, request, now);
      bool suspended = cym_trial_is_suspended (match, request, now);
      if (server != NULL && !suspended)
        {
          request->on_decision (
              request, cym_place_at_server (match, request, server, now));
          continue;
        }
      request->waited = now - request->arrived_at;
      request->on_decision (
          request, suspended
                       ? cym_trial_refuse (match, request, now)
                       : refuse_no_slot (match, request, CY_E_NO_ROOM, now));
    }
}

void
cym_match_tick (struct cym_match *match, cy_time_ns now)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, match->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct cym_service *service = value;
      if (service->waiting_count == 0)
        continue;
      sweep_servers (match, service, now);
      expire_waiting (match, service, now);
    }
}

cy_time_ns
cym_match_next_tick (const struct cym_match *match)
{
  GHashTableIter iter;
  gpointer value;
  cy_time_ns next = INT64_MAX;
  g_hash_table_iter_init (&iter, match->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct cym_service *service = value;
      const struct cym_request *request = NULL;
      if (service->sweep_due && service->waiting_count > 0)
        next = MIN (next, next_sweep_at (service));
      TAILQ_FOREACH (request, &service->waiting, entry)
      {
        next = MIN (next, request->wait_until);
      }
    }
  return next;
}

/* ------------------------------------------------------------ register */

void
cym_match_begin_update (struct cym_match *match)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, match->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct cym_server *)value)->listed = false;
}

/* Ends new placements at SERVER, an earlier incarnation or one with another
   address.  The entry stays until its requests have ended.  */
static void
retire_incarnation (struct cym_match *match, struct cym_server *server)
{
  g_hash_table_remove (match->by_id, server->id);
  server->listed = false;
  server->draining = true;
}

/* Gives SERVER the limit that is known of it.  */
static void
take_parked_limit (struct cym_match *match, struct cym_server *server)
{
  char *key = limit_key (server->id, server->incarnation);
  const struct cym_limit *parked
      = g_hash_table_lookup (match->parked_limits, key);
  cym_limit_init (&server->limit);
  if (parked != NULL)
    server->limit = *parked;
  g_hash_table_remove (match->parked_limits, key);
  g_free (key);
}

static gboolean
is_parked_for_long (gpointer key, gpointer value, gpointer context)
{
  const struct cym_limit *limit = value;
  const cy_time_ns *now = context;
  (void)key;
  return *now - limit->confirmed_at > CYM_LIMIT_KEPT_S * CY_NS_PER_S;
}

static struct cym_server *
add_server (struct cym_match *match, const struct cym_server_info *info,
            cy_time_ns now)
{
  struct cym_server *server = g_new0 (struct cym_server, 1);
  g_strlcpy (server->id, info->id, sizeof server->id);
  g_strlcpy (server->host, info->host, sizeof server->host);
  g_strlcpy (server->zone, info->zone, sizeof server->zone);
  g_strlcpy (server->region, info->region, sizeof server->region);
  server->service = service_get (match, info->service);
  server->port = info->port;
  server->incarnation = info->incarnation;
  server->slowdown = 1;
  server->slowdown_updated_at = now;
  server->cold_refilled_at = now;
  take_parked_limit (match, server);
  server->local = strcmp (info->region, match->options.region) == 0;
  if (!server->local)
    server->remote_region
        = cym_remote_region_get (server->service, server->region);
  server->remote_latency_ns
      = server->local ? 0 : CYM_REGION_ROUND_TRIP_MS * CY_NS_PER_MS;
  CK_LIST_INSERT_HEAD (&server->service->servers, server, entry);
  g_hash_table_insert (match->by_id, server->id, server);
  cym_retry_budget_start (&server->service->retry_budget,
                          &match->options.limits.retries, now);
  return server;
}

void
cym_match_put_server (struct cym_match *match,
                      const struct cym_server_info *info, cy_time_ns now)
{
  struct cym_server *server = cym_match_find (match, info->id);
  bool is_same = server != NULL && server->incarnation == info->incarnation
                 && server->port == info->port
                 && strcmp (server->host, info->host) == 0
                 && strcmp (server->service->name, info->service) == 0;
  if (server != NULL && !is_same)
    {
      retire_incarnation (match, server);
      server = NULL;
    }
  if (server == NULL)
    server = add_server (match, info, now);
  server->listed = true;
  server->slots = info->slots;
  server->draining = info->draining;
  if (info->contested && !server->contested)
    server->on_probation = true;
  server->contested = info->contested;
  server->reported_at = info->reported_at;
  if (info->cold_ms > 0)
    server->cold_until
        = MAX (server->cold_until, now + info->cold_ms * CY_NS_PER_MS);
}

static void
remove_unlisted (struct cym_match *match, struct cym_service *service)
{
  struct cym_server *server = NULL;
  struct cym_server *next = NULL;
  CK_LIST_FOREACH_SAFE (server, &service->servers, entry, next)
  {
    if (server->listed || server->in_flight > 0
        || server->affinity_waiting > 0)
      continue;
    if (g_hash_table_lookup (match->by_id, server->id) == server)
      g_hash_table_remove (match->by_id, server->id);
    CK_LIST_REMOVE (server, entry);
    if (cym_limit_is_set (&server->limit))
      park_limit (match, server->id, server->incarnation, &server->limit);
    server_free (server);
  }
}

void
cym_match_end_update (struct cym_match *match, cy_time_ns now)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_foreach_remove (match->parked_limits, is_parked_for_long, &now);
  g_hash_table_iter_init (&iter, match->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      remove_unlisted (match, value);
      ((struct cym_service *)value)->swept_at
          = 0; /* the update may have added servers */
    }
  cym_match_tick (match, now);
}

/* ------------------------------------------------------------ queries */

struct cym_server *
cym_match_find (const struct cym_match *match, const char *id)
{
  return g_hash_table_lookup (match->by_id, id);
}

struct cym_servers *
cym_match_servers (struct cym_match *match, const char *service)
{
  return &service_get (match, service)->servers;
}

void
cym_match_get_occupancy (const struct cym_match *match, const char *name,
                         cy_time_ns now, struct cym_occupancy *occupancy)
{
  const struct cym_service *service
      = g_hash_table_lookup (match->services, name);
  const struct cym_server *server = NULL;
  memset (occupancy, 0, sizeof *occupancy);
  if (service == NULL)
    return;
  occupancy->waiting = service->waiting_count;
  CK_LIST_FOREACH (server, &service->servers, entry)
  {
    occupancy->in_flight += server->in_flight;
    if (!cym_is_usable (server, now))
      continue;
    occupancy->servers++;
    occupancy->slots += (uint32_t)cym_capacity (match, server, now);
  }
}

unsigned
cym_match_count_limited (const struct cym_match *match)
{
  GHashTableIter iter;
  gpointer value;
  unsigned count = 0;
  g_hash_table_iter_init (&iter, match->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += cym_limit_is_set (&((const struct cym_server *)value)->limit);
  return count;
}

void
cym_match_each_service (const struct cym_match *match, cym_service_fn each,
                        void *context)
{
  GHashTableIter iter;
  gpointer name;
  g_hash_table_iter_init (&iter, match->services);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    each (name, context);
}

/* ------------------------------------------------------------ lending */

/* Slots of SERVER that its limit lets requests occupy.  */
static double
usable_slots (const struct cym_server *server)
{
  double service_time_ns = server->service_time_ns > 0
                               ? server->service_time_ns
                               : server->service->service_time_ns;
  if (!cym_limit_is_set (&server->limit) || service_time_ns <= 0)
    return server->slots;
  return fmin (server->slots, cym_limit_rate (&server->limit, 1)
                                  * service_time_ns / (double)CY_NS_PER_S);
}

void
cym_match_get_demand (struct cym_match *match, const char *name,
                      cy_time_ns now, struct cym_demand *demand)
{
  struct cym_service *service = service_get (match, name);
  const struct cym_server *server = NULL;
  GHashTableIter iter;
  gpointer value;
  memset (demand, 0, sizeof *demand);
  cym_demand_measure (service, now);
  CK_LIST_FOREACH (server, &service->servers, entry)
  {
    if (server->local && cym_is_usable (server, now)
        && server->cold_until <= now)
      demand->local_slots += usable_slots (server);
  }
  demand->wanted_slots
      = service->busy_slots + service->refused_slots + service->waiting_count;
  g_hash_table_iter_init (&iter, service->remote_regions);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    demand->borrowed_in_use
        += ((const struct cym_remote_region *)value)->spillover_in_flight;
}

void
cym_match_each_remote_demand (struct cym_match *match, const char *name,
                              cy_time_ns now, cym_remote_demand_fn each,
                              void *context)
{
  struct cym_service *service = service_get (match, name);
  GHashTableIter iter;
  gpointer region;
  gpointer value;
  cym_demand_measure (service, now);
  g_hash_table_iter_init (&iter, service->remote_regions);
  while (g_hash_table_iter_next (&iter, &region, &value))
    {
      const struct cym_remote_region *remote = value;
      each (region, remote->busy_slots + remote->refused_slots, context);
    }
}

void
cym_match_set_loan (struct cym_match *match, const char *id,
                    uint64_t incarnation, uint32_t slots, cy_time_ns now)
{
  struct cym_server *server = cym_match_find (match, id);
  if (server == NULL || server->local || server->incarnation != incarnation)
    return;
  bool has_grown = slots > server->borrowed;
  server->borrowed = slots;
  if (has_grown)
    serve_waiting (match, server, now);
}

/* Choice of the server that a request is placed at.  */

#include <math.h>
#include <string.h>

#include "core/cym_internal.h"

/* Ratio of the answer time with a cached object to that without, used until
   the route has an answer with a cached object.  */
#define CACHED_TIME_FACTOR 0.4

/* Penalty in ms that is added to the expected answer time of the last server
   in the object's order of the servers; in proportion for the others.  */
#define OBJECT_ORDER_MS 12.0

/* A measured slowdown is limited to SLOWDOWN_OUTDATED_MAX when it is older
   than SLOWDOWN_VALID_S s, so that a slow server is tried again.  */
#define SLOWDOWN_VALID_S      4
#define SLOWDOWN_OUTDATED_MAX 1.5

/* Other penalties in ms that are added to the expected answer time.  */
#define OTHER_ZONE_MS  25.0  /* in another zone than the entry VM */
#define FULL_SERVER_MS 6.0   /* all slots occupied; in proportion for less */
#define ALL_ERRORS_MS  400.0 /* every answer an error; in proportion */

/* The same for a suspect request, at a server that runs another one or that
   may have ended, in ms.  */
#define TRIAL_APART_MS 1e6

/* Time in s in which the reported number of other placers' requests at a
   server is reduced to 0.  */
#define OTHERS_VALID_S 1.0

/* Requests that may be placed at once at a cold server.  */
#define COLD_BURST_COUNT 3.0

/* ------------------------------------------------------------ estimates */

/* Slowdown of SERVER; an outdated value is limited, so that the server gets
   requests again and is measured.  */
static double
slowdown_at (const struct cym_server *server, cy_time_ns now)
{
  bool is_outdated
      = now - server->slowdown_updated_at > SLOWDOWN_VALID_S * CY_NS_PER_S;
  return is_outdated ? fmin (server->slowdown, SLOWDOWN_OUTDATED_MAX)
                     : server->slowdown;
}

double
cym_expected_answer_ns (const struct cym_server *server,
                        const struct cym_request *request, cy_time_ns now)
{
  const struct cym_route_stats *stats = request->route_stats;
  double answer_ns = stats->service_time_ns;
  if (answer_ns <= 0)
    answer_ns = server->service->service_time_ns;
  if (cym_is_cached (server, request->affinity))
    answer_ns = stats->cached_time_ns > 0
                    ? fmin (stats->cached_time_ns, answer_ns)
                    : answer_ns * CACHED_TIME_FACTOR;
  answer_ns *= slowdown_at (server, now);
  if (server->cold_until > now)
    answer_ns *= 2;
  return answer_ns + server->remote_latency_ns;
}

/* ------------------------------------------------------------ slots */

bool
cym_is_usable (const struct cym_server *server, cy_time_ns now)
{
  return server->listed && !server->draining && !server->leaving
         && server->slots > 0 && (server->local || server->borrowed > 0)
         && server->ejected_until <= now
         && (server->misdirected_at == 0
             || server->reported_at > server->misdirected_at);
}

/* Requests of other placers at SERVER: the value of the latest answer, which
   falls to 0 within OTHERS_VALID_S.  */
static double
others_in_flight_at (const struct cym_server *server, cy_time_ns now)
{
  double age_s
      = (double)(now - server->others_reported_at) / (double)CY_NS_PER_S;
  return age_s >= OTHERS_VALID_S
             ? 0
             : server->others_in_flight * (1 - age_s / OTHERS_VALID_S);
}

double
cym_capacity (const struct cym_match *match, const struct cym_server *server,
              cy_time_ns now)
{
  if (!server->local)
    return server->borrowed;
  double capacity = (double)server->slots - (double)server->lent_out
                    - floor (others_in_flight_at (server, now));
  /* A matcher with a part of the region may use up to twice its share, as
     other matchers often use less than their shares.  */
  if (match->share < 1)
    capacity = fmin (capacity, ceil (server->slots * match->share * 2));
  if (server->on_probation)
    capacity = fmin (capacity, 1);
  return fmax (capacity, 0);
}

/* Adds the tokens that SERVER, which is cold, has gained up to NOW.  */
static void
refill_cold_tokens (const struct cym_match *match, struct cym_server *server,
                    cy_time_ns now)
{
  double elapsed_s
      = (double)(now - server->cold_refilled_at) / (double)CY_NS_PER_S;
  double rate_per_s = server->service->cold_per_s * match->share;
  if (elapsed_s > 0)
    server->cold_tokens = fmin (server->cold_tokens + elapsed_s * rate_per_s,
                                COLD_BURST_COUNT);
  server->cold_refilled_at = now;
}

/* True when SERVER is warmed up or may get one more request during its cold
   start.  */
static bool
has_cold_token (const struct cym_match *match, struct cym_server *server,
                cy_time_ns now)
{
  if (server->cold_until <= now || server->service->cold_per_s <= 0)
    return true;
  if (match->share < 1 || !server->local)
    return false; /* only the region's matcher counts cold-start tokens */
  refill_cold_tokens (match, server, now);
  return server->cold_tokens >= 1;
}

double
cym_limit_share (const struct cym_match *match,
                 const struct cym_server *server)
{
  double slots = fmax (server->slots, 1);
  return server->local
             ? match->share * (1 - fmin (server->lent_out / slots, 1))
             : fmin (server->borrowed / slots, 1);
}

bool
cym_is_region_allowed (const struct cym_server *server,
                       const struct cym_request *request)
{
  for (size_t i = 0; i < request->allowed_region_count; i++)
    if (strcmp (request->allowed_regions[i], server->region) == 0)
      return true;
  return request->allowed_region_count == 0;
}

bool
cym_has_free_slot (const struct cym_match *match,
                   const struct cym_server *server, cy_time_ns now)
{
  return cym_is_usable (server, now)
         && server->in_flight + 1 <= cym_capacity (match, server, now);
}

bool
cym_may_place (const struct cym_match *match, struct cym_server *server,
               const struct cym_request *request, cy_time_ns now)
{
  return cym_has_free_slot (match, server, now)
         && cym_is_region_allowed (server, request)
         && cym_pause_left (server, request->entry_vm, now) == 0
         && (server->local
             || cym_spillover_is_allowed (match, request, server, now))
         && has_cold_token (match, server, now)
         && cym_limit_allows (&server->limit, cym_limit_share (match, server),
                              now);
}

double
cym_expected_wait_ns (const struct cym_match *match,
                      const struct cym_server *server, cy_time_ns now)
{
  double capacity = fmax (cym_capacity (match, server, now), 1);
  double service_time_ns = server->service_time_ns > 0
                               ? server->service_time_ns
                               : server->service->service_time_ns;
  double ahead = server->affinity_waiting + 1;
  double wait_ns = ahead * service_time_ns / capacity;
  if (!cym_limit_is_set (&server->limit))
    return wait_ns;
  double rate_per_s
      = cym_limit_rate (&server->limit, cym_limit_share (match, server));
  double limit_wait_ns
      = fmax (ahead - server->limit.tokens, 0) * CY_NS_PER_S / rate_per_s;
  return fmax (wait_ns, limit_wait_ns);
}

/* ------------------------------------------------------------ choice */

/* Cost of placing REQUEST at SERVER in ns: the expected answer time plus
   penalties.  */
static double
placement_cost (const struct cym_match *match, const struct cym_server *server,
                const struct cym_request *request, cy_time_ns now)
{
  double cost_ns = cym_expected_answer_ns (server, request, now);
  double load = (server->in_flight + others_in_flight_at (server, now))
                / fmax (server->slots, 1);
  cost_ns += load * FULL_SERVER_MS * CY_NS_PER_MS;
  cost_ns += server->error_ratio * ALL_ERRORS_MS * CY_NS_PER_MS;
  /* Of two suspect requests at a server that ends, one is innocent.  */
  if ((server->trial_count > 0 || server->first_ended_at != 0)
      && cym_poison_get_state (match->poison, request->fingerprint, now)
             != CYM_POISON_NONE)
    cost_ns += TRIAL_APART_MS * CY_NS_PER_MS;
  if (strcmp (server->zone, request->zone) != 0)
    cost_ns += OTHER_ZONE_MS * CY_NS_PER_MS;
  if (request->affinity != 0)
    cost_ns += cym_affinity_order (server, request->affinity) * OBJECT_ORDER_MS
               * CY_NS_PER_MS;
  if (request->avoid != NULL && strcmp (server->id, request->avoid) == 0)
    cost_ns += 1e12;
  double jitter
      = (double)cy_random_below (match->options.random, 1000) / 1000.0;
  return cost_ns + jitter * CY_NS_PER_MS;
}

struct cym_server *
cym_choose_server (struct cym_match *match, struct cym_request *request,
                   bool on_time, cy_time_ns now)
{
  struct cym_server *server = NULL;
  struct cym_server *best = NULL;
  double best_cost_ns = INFINITY;
  double goal_left_ns = (double)(request->goal_at - now);
  double deadline_left_ns = (double)(request->deadline_at - now);
  CK_LIST_FOREACH (server, &request->service_state->servers, entry)
  {
    if (!cym_may_place (match, server, request, now))
      continue;
    double answer_ns = cym_expected_answer_ns (server, request, now);
    if (answer_ns > deadline_left_ns || (on_time && answer_ns > goal_left_ns))
      continue;
    double cost_ns = placement_cost (match, server, request, now);
    if (cost_ns < best_cost_ns)
      {
        best = server;
        best_cost_ns = cost_ns;
      }
  }
  return best;
}

struct cym_server *
cym_choose_cached (struct cym_match *match, struct cym_request *request,
                   double *finish_ns, cy_time_ns now)
{
  struct cym_server *server = NULL;
  struct cym_server *best = NULL;
  *finish_ns = INFINITY;
  if (request->affinity == 0)
    return NULL;
  CK_LIST_FOREACH (server, &request->service_state->servers, entry)
  {
    if (!cym_is_usable (server, now) || server->on_probation
        || server->cold_until > now || !cym_is_region_allowed (server, request)
        || !cym_is_cached (server, request->affinity)
        || cym_pause_left (server, request->entry_vm, now) > 0
        || cym_capacity (match, server, now) < 1)
      continue;
    double server_finish_ns = cym_expected_wait_ns (match, server, now)
                              + cym_expected_answer_ns (server, request, now);
    if (server_finish_ns < *finish_ns)
      {
        best = server;
        *finish_ns = server_finish_ns;
      }
  }
  return best;
}

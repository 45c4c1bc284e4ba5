/* Queue of a service: which requests wait for a slot, which are refused and
   which one is next.  */

#include <math.h>
#include <string.h>

#include "core/cym_internal.h"

/* Maximum of waiting requests of one service.  */
#define WAITING_MAX_COUNT 512

/* Maximum of requests of one service that wait for the end of a trial, see
   cym_poison.h: they count as queue for the others.  */
#define HELD_MAX_COUNT 16

/* A route or workspace is starved when the placed part of its requests is
   below STARVED_RATIO of that of all requests, if at least STARVED_MIN_OFFERED
   of its requests came recently.  */
#define STARVED_RATIO       0.4
#define STARVED_MIN_OFFERED 5.0

/* A request waits only if the expected wait times this factor is below the
   longest allowed wait: the wait may take longer than expected.  */
#define WAIT_MARGIN_FACTOR 1.2

/* Assumed answer time of a service without measured answers, ms.  */
#define DEFAULT_SERVICE_MS 100.0

/* Bounds of Retry-After, and the largest random part as a ratio of it, so that
   refused callers do not all return at once.  */
#define RETRY_AFTER_MIN_MS 40.0
#define RETRY_AFTER_MAX_MS 3000.0
#define RETRY_AFTER_SPREAD 0.5

/* ------------------------------------------------------------ statistics */

void
cym_placement_stats_decay (struct cym_placement_stats *stats, cy_time_ns now)
{
  double elapsed_s = (double)(now - stats->updated_at) / (double)CY_NS_PER_S;
  if (elapsed_s <= 0)
    return;
  double decay = exp (-elapsed_s / CYM_PLACEMENT_AVERAGE_S);
  stats->offered *= decay;
  stats->placed *= decay;
  stats->updated_at = now;
}

bool
cym_placement_stats_is_starved (const struct cym_match *match,
                                const struct cym_placement_stats *stats)
{
  const struct cym_placement_stats *total = &match->total;
  return stats->offered >= STARVED_MIN_OFFERED
         && stats->placed * total->offered
                < stats->offered * total->placed * STARVED_RATIO;
}

struct cym_placement_stats *
cym_workspace_stats_get (struct cym_match *match, const char *workspace)
{
  struct cym_placement_stats *stats
      = g_hash_table_lookup (match->workspaces, workspace);
  if (stats == NULL)
    {
      stats = g_new0 (struct cym_placement_stats, 1);
      g_hash_table_insert (match->workspaces, g_strdup (workspace), stats);
    }
  return stats;
}

/* ------------------------------------------------------------ order */

/* Position of a request in the queue: the fields are compared one by one, in
   this order.  */
struct queue_priority
{
  bool on_time;    /* expected to meet the latency goal: goes first */
  bool is_starved; /* of a starved route or workspace: goes first */
  uint32_t rank;
  uint32_t route_rank;
  double expected_ns; /* shorter ones first if they differ by a fifth */
  cy_time_ns arrived_at;
};

static struct queue_priority
priority_of (struct cym_match *match, const struct cym_request *request,
             double expected_ns, cy_time_ns now)
{
  struct queue_priority priority = {
    .on_time = expected_ns <= (double)(request->goal_at - now),
    .is_starved
    = cym_placement_stats_is_starved (match, &request->route_stats->placements)
      || cym_placement_stats_is_starved (match, request->workspace_stats),
    .rank = request->rank,
    .route_rank = request->route_rank,
    .expected_ns = expected_ns,
    .arrived_at = request->arrived_at,
  };
  return priority;
}

static bool
goes_before (const struct queue_priority *a, const struct queue_priority *b)
{
  if (a->on_time != b->on_time)
    return a->on_time;
  if (a->is_starved != b->is_starved)
    return a->is_starved;
  if (a->rank != b->rank)
    return a->rank < b->rank;
  if (a->route_rank != b->route_rank)
    return a->route_rank < b->route_rank;
  if (a->expected_ns < b->expected_ns * 0.8
      || b->expected_ns < a->expected_ns * 0.8)
    return a->expected_ns < b->expected_ns;
  return a->arrived_at < b->arrived_at;
}

/* True when REQUEST is expected to be answered earlier by the preferred server
   than by SERVER, which takes ANSWER_NS, so it keeps waiting.  */
static bool
prefers_to_wait (const struct cym_match *match,
                 const struct cym_request *request,
                 const struct cym_server *server, double answer_ns,
                 cy_time_ns now)
{
  const struct cym_server *preferred = request->preferred;
  if (preferred == NULL || preferred == server
      || !cym_is_usable (preferred, now))
    return false;
  return cym_expected_wait_ns (match, preferred, now)
             + cym_expected_answer_ns (preferred, request, now)
         < answer_ns;
}

struct cym_request *
cym_queue_next (struct cym_match *match, struct cym_server *server,
                cy_time_ns now)
{
  struct cym_request *request = NULL;
  struct cym_request *best = NULL;
  struct queue_priority best_priority = { 0 };
  TAILQ_FOREACH (request, &server->service->waiting, entry)
  {
    if (!cym_may_place (match, server, request, now)
        || cym_trial_is_suspended (match, request, now))
      continue;
    double answer_ns = cym_expected_answer_ns (server, request, now);
    if (answer_ns > (double)(request->deadline_at - now)
        || prefers_to_wait (match, request, server, answer_ns, now))
      continue;
    struct queue_priority priority
        = priority_of (match, request, answer_ns, now);
    if (best == NULL || goes_before (&priority, &best_priority))
      {
        best = request;
        best_priority = priority;
      }
  }
  return best;
}

/* ------------------------------------------------------------ estimates */

/* Servers that may serve one request.  */
struct candidates
{
  double rate_per_s;    /* requests that the unpaused ones can finish */
  double limited_per_s; /* part of rate_per_s that limits of servers set */
  double shortest_ns;   /* shortest expected answer time, INFINITY if no server
                           takes the request */
  /* Until the first pause ends, if all of them are paused; 0 otherwise.  */
  cy_time_ns pause_left;
};

static struct candidates
survey_candidates (const struct cym_match *match,
                   const struct cym_request *request, cy_time_ns now)
{
  const struct cym_service *service = request->service_state;
  const struct cym_server *server = NULL;
  struct candidates all = { .shortest_ns = INFINITY, .pause_left = INT64_MAX };
  CK_LIST_FOREACH (server, &service->servers, entry)
  {
    if (!cym_is_usable (server, now)
        || !cym_is_region_allowed (server, request))
      continue;
    cy_time_ns pause_left = cym_pause_left (server, request->entry_vm, now);
    all.shortest_ns = fmin (all.shortest_ns,
                            cym_expected_answer_ns (server, request, now));
    all.pause_left = MIN (all.pause_left, pause_left);
    if (pause_left > 0)
      continue;
    double expected_ns = service->service_time_ns > 0
                             ? service->service_time_ns
                             : DEFAULT_SERVICE_MS * (double)CY_NS_PER_MS;
    double service_time_ns = expected_ns * server->slowdown;
    double server_rate = service_time_ns <= 0
                             ? 0
                             : cym_capacity (match, server, now) * CY_NS_PER_S
                                   / service_time_ns;
    if (server->cold_until > now && service->cold_per_s > 0)
      server_rate = fmin (server_rate, service->cold_per_s * match->share);
    double limit_rate
        = cym_limit_rate (&server->limit, cym_limit_share (match, server));
    if (limit_rate < server_rate)
      {
        server_rate = limit_rate;
        all.limited_per_s += server_rate;
      }
    all.rate_per_s += server_rate;
  }
  if (all.pause_left == INT64_MAX)
    all.pause_left = 0;
  return all;
}

uint32_t
cym_queue_retry_after_ms (const struct cym_match *match,
                          const struct cym_request *request, cy_time_ns now)
{
  const struct cym_service *service = request->service_state;
  const struct candidates all = survey_candidates (match, request, now);
  double retry_after_ms
      = all.rate_per_s <= 0
            ? 500.0
            : 1000.0 * (service->waiting_count + 1) / all.rate_per_s;
  /* Other callers that were refused recently return as well, so Retry-After is
     at least half of an answer time.  */
  double service_time_ms = service->service_time_ns / (double)CY_NS_PER_MS;
  retry_after_ms = fmax (retry_after_ms, service_time_ms / 2);
  double spread
      = (double)cy_random_below (match->options.random, 1000) / 1000.0;
  retry_after_ms *= 1 + RETRY_AFTER_SPREAD * spread;
  retry_after_ms
      = fmin (fmax (retry_after_ms, RETRY_AFTER_MIN_MS), RETRY_AFTER_MAX_MS);
  return (uint32_t)fmax (retry_after_ms,
                         (double)all.pause_left / (double)CY_NS_PER_MS);
}

/* Number of waiting requests of SERVICE that go before REQUEST, of which the
   expected answer time is OWN_EXPECTED_NS.  */
static unsigned
count_ahead (struct cym_match *match, const struct cym_service *service,
             const struct cym_request *request, double own_expected_ns,
             cy_time_ns now)
{
  struct queue_priority own_priority
      = priority_of (match, request, own_expected_ns, now);
  const struct cym_request *other = NULL;
  unsigned count = 0;
  TAILQ_FOREACH (other, &service->waiting, entry)
  {
    double expected_ns
        = other->preferred != NULL && other->route_stats->cached_time_ns > 0
              ? other->route_stats->cached_time_ns
              : other->route_stats->service_time_ns;
    struct queue_priority priority
        = priority_of (match, other, expected_ns, now);
    count += goes_before (&priority, &own_priority);
  }
  return count;
}

/* Appends REQUEST to the queue until WAIT_UNTIL, for the server PREFERRED or
   for any one (NULL).  */
static void
enqueue (struct cym_request *request, struct cym_server *preferred,
         cy_time_ns wait_until)
{
  request->wait_until = wait_until;
  request->queued = true;
  request->preferred = preferred;
  if (preferred != NULL)
    preferred->affinity_waiting++;
  request->workspace_stats->waiting += request->metered;
  TAILQ_INSERT_TAIL (&request->service_state->waiting, request, entry);
  request->service_state->waiting_count++;
  request->service_state->retries_waiting += request->is_retry;
}

cy_result
cym_queue_enter (struct cym_match *match, struct cym_request *request,
                 bool late, cy_time_ns now)
{
  struct cym_service *service = request->service_state;
  const struct candidates all = survey_candidates (match, request, now);
  if (isinf (all.shortest_ns))
    return CY_E_NO_BACKEND;
  double goal_slack_ns = (double)(request->goal_at - now) - all.shortest_ns;
  double deadline_slack_ns
      = (double)(request->deadline_at - now) - all.shortest_ns;
  double past_goal_ns = late ? 0 : (double)request->wait_past_goal;
  double wait_max_ns
      = fmin (fmax (goal_slack_ns, past_goal_ns), deadline_slack_ns);
  if (wait_max_ns <= 0)
    return deadline_slack_ns <= 0 ? CY_E_DEADLINE : CY_E_NO_ROOM;
  if (service->waiting_count >= WAITING_MAX_COUNT)
    return CY_E_QUEUE_FULL;
  unsigned ahead = count_ahead (match, service, request, all.shortest_ns, now);
  /* A slot becomes free at any time, half an interval away on average; limits
     let a request pass at the end of an interval.  */
  double intervals = ahead + 0.5;
  if (all.rate_per_s > 0)
    intervals += 0.5 * all.limited_per_s / all.rate_per_s;
  double wait_ns = all.rate_per_s <= 0
                       ? (double)all.pause_left
                       : intervals * (double)CY_NS_PER_S / all.rate_per_s;
  if (wait_ns * WAIT_MARGIN_FACTOR > wait_max_ns)
    return CY_E_NO_ROOM;
  enqueue (request, NULL, now + (cy_time_ns)wait_max_ns);
  return CY_E_AGAIN;
}

/* True when the maximum of requests of SERVICE waits for the ends of trials.
 */
static bool
holds_enough (const struct cym_match *match, const struct cym_service *service,
              cy_time_ns now)
{
  const struct cym_request *request = NULL;
  unsigned held = 0;
  TAILQ_FOREACH (request, &service->waiting, entry)
  {
    held += cym_poison_check (match->poison, request->fingerprint, now)
            == CYM_POISON_WAIT;
  }
  return held >= HELD_MAX_COUNT;
}

cy_result
cym_queue_hold (struct cym_match *match, struct cym_request *request,
                cy_time_ns now)
{
  const struct cym_service *service = request->service_state;
  double answer_ns = request->route_stats->service_time_ns > 0
                         ? request->route_stats->service_time_ns
                         : service->service_time_ns;
  double goal_slack_ns = (double)(request->goal_at - now) - answer_ns;
  double deadline_slack_ns = (double)(request->deadline_at - now) - answer_ns;
  double wait_max_ns
      = fmin (fmax (goal_slack_ns, (double)request->wait_past_goal),
              deadline_slack_ns);
  if (wait_max_ns <= 0 || service->waiting_count >= WAITING_MAX_COUNT
      || holds_enough (match, service, now))
    {
      request->retry_after_ms = cym_queue_retry_after_ms (match, request, now);
      return CY_E_POISON_REQUEST;
    }
  enqueue (request, NULL, now + (cy_time_ns)wait_max_ns);
  return CY_E_AGAIN;
}

bool
cym_queue_for_preferred (struct cym_match *match, struct cym_request *request,
                         const struct cym_server *best, cy_time_ns now)
{
  double finish_ns;
  struct cym_server *server
      = cym_choose_cached (match, request, &finish_ns, now);
  double goal_left_ns = (double)(request->goal_at - now);
  if (server == NULL || server == best
      || finish_ns * WAIT_MARGIN_FACTOR > goal_left_ns
      || request->service_state->waiting_count >= WAITING_MAX_COUNT
      || cym_may_place (match, server, request, now))
    return false;
  if (best != NULL && cym_expected_answer_ns (best, request, now) <= finish_ns)
    return false;
  double answer_ns = cym_expected_answer_ns (server, request, now);
  enqueue (request, server, now + (cy_time_ns)(goal_left_ns - answer_ns));
  return true;
}

void
cym_queue_leave (struct cym_request *request)
{
  if (!request->queued)
    return;
  request->queued = false;
  if (request->preferred != NULL)
    request->preferred->affinity_waiting--;
  request->preferred = NULL;
  request->workspace_stats->waiting -= request->metered;
  TAILQ_REMOVE (&request->service_state->waiting, request, entry);
  request->service_state->waiting_count--;
  request->service_state->retries_waiting -= request->is_retry;
}

#include "core/cyb_pool.h"

#include <glib.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#define CYB_AVERAGE_WEIGHT 0.2 /* weight of a sample in the moving average */
#define CYB_MEDIAN_MAX     64  /* servers that the median includes */

struct cyb_pool
{
  const struct cy_clock *clock;
  const struct cy_random *random;
  bool with_credits;
  struct cyb_servers servers;
  double median_ms; /* median of the servers' mean times to first byte */
};

struct cyb_pool *
cyb_pool_create (const struct cy_clock *clock, const struct cy_random *random,
                 bool with_credits)
{
  struct cyb_pool *pool = g_new0 (struct cyb_pool, 1);
  pool->clock = clock;
  pool->random = random;
  pool->with_credits = with_credits;
  CK_LIST_INIT (&pool->servers);
  return pool;
}

void
cyb_pool_destroy (struct cyb_pool *pool)
{
  if (pool == NULL)
    return;
  struct cyb_server *server = NULL;
  struct cyb_server *next = NULL;
  CK_LIST_FOREACH_SAFE (server, &pool->servers, entry, next)
  {
    g_free (server);
  }
  g_free (pool);
}

struct cyb_servers *
cyb_pool_servers (struct cyb_pool *pool)
{
  return &pool->servers;
}

struct cyb_server *
cyb_pool_find_server (struct cyb_pool *pool, const char *instance,
                      uint64_t incarnation)
{
  struct cyb_server *server = NULL;
  CK_LIST_FOREACH (server, &pool->servers, entry)
  {
    if (server->incarnation == incarnation
        && strcmp (server->instance, instance) == 0)
      return server;
  }
  return NULL;
}

/* ------------------------------------------------------------ register */

void
cyb_pool_begin_update (struct cyb_pool *pool)
{
  struct cyb_server *server = NULL;
  CK_LIST_FOREACH (server, &pool->servers, entry) { server->listed = false; }
}

/* Part of the limit of SERVER that this entry VM may use.  */
static double
limit_share (const struct cyb_pool *pool, const struct cyb_server *server)
{
  return pool->with_credits
             ? MIN (1, server->credits / (double)MAX (server->slots, 1))
             : 1;
}

static struct cyb_server *
server_create (struct cyb_pool *pool, const Cy__BackendStatus *status)
{
  struct cyb_server *server = g_new0 (struct cyb_server, 1);
  g_strlcpy (server->instance, status->instance, sizeof server->instance);
  g_strlcpy (server->zone, status->zone, sizeof server->zone);
  g_strlcpy (server->host, status->host, sizeof server->host);
  server->port = (uint16_t)status->port;
  server->incarnation = status->incarnation;
  cym_limit_init (&server->limit);
  server->started_at = cy_clock_now (pool->clock)
                       - (cy_time_ns)status->warm_ms * CY_NS_PER_MS;
  CK_LIST_INSERT_HEAD (&pool->servers, server, entry);
  return server;
}

struct cyb_server *
cyb_pool_put_server (struct cyb_pool *pool, const Cy__BackendStatus *status,
                     bool draining)
{
  struct cyb_server *server
      = cyb_pool_find_server (pool, status->instance, status->incarnation);
  if (server != NULL
      && (server->port != status->port
          || strcmp (server->host, status->host) != 0))
    server = NULL; /* cyb_pool_end_update removes the unlisted old entry */
  if (server == NULL)
    server = server_create (pool, status);
  server->slots = MIN (status->slots, status->connections);
  server->connections = status->connections;
  server->draining = draining || status->draining;
  server->listed = true;
  return server;
}

void
cyb_pool_end_update (struct cyb_pool *pool)
{
  struct cyb_server *server = NULL;
  struct cyb_server *next = NULL;
  CK_LIST_FOREACH_SAFE (server, &pool->servers, entry, next)
  {
    if (server->listed || server->in_flight > 0)
      continue;
    CK_LIST_REMOVE (server, entry);
    g_free (server);
  }
}

/* ------------------------------------------------------------ health */

static int
compare_double (const void *a, const void *b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;
  return left < right ? -1 : left > right;
}

static void
update_median (struct cyb_pool *pool)
{
  double times[CYB_MEDIAN_MAX];
  size_t count = 0;
  const struct cyb_server *server = NULL;
  CK_LIST_FOREACH (server, &pool->servers, entry)
  {
    if (server->answer_samples >= CYB_SLOW_SAMPLES_MIN
        && count < CYB_MEDIAN_MAX)
      times[count++] = server->mean_answer_ms;
  }
  if (count == 0)
    return;
  qsort (times, count, sizeof *times, compare_double);
  pool->median_ms = times[(count - 1) / 2];
}

/* True if the mean answer time of SERVER is too old to be used.  */
static bool
is_mean_stale (const struct cyb_server *server, cy_time_ns now)
{
  return server->answer_samples > 0
         && now - server->last_answer_at
                > CYB_ANSWER_AGE_MAX_MS * CY_NS_PER_MS;
}

static bool
is_slow (const struct cyb_pool *pool, const struct cyb_server *server)
{
  return server->answer_samples >= CYB_SLOW_SAMPLES_MIN && pool->median_ms > 0
         && server->mean_answer_ms > CYB_SLOW_FACTOR * pool->median_ms;
}

static bool
is_healthy (const struct cyb_server *server, cy_time_ns now)
{
  return server->listed && !server->draining && !server->leaving
         && !server->unhealthy && server->slots > 0
         && now >= server->ejected_until;
}

/* Slots that SERVER may use at its age: all after the warm-up.  */
static uint32_t
warmed_up_slots (const struct cyb_server *server, cy_time_ns now)
{
  cy_time_ns age = now - server->started_at;
  if (age >= CYB_WARM_UP_MS * CY_NS_PER_MS)
    return server->slots;
  return MAX (1, (uint32_t)((cy_time_ns)server->slots * age
                            / (CYB_WARM_UP_MS * CY_NS_PER_MS)));
}

/* Requests that this entry VM may have in flight at SERVER.  */
static uint32_t
request_limit (const struct cyb_pool *pool, const struct cyb_server *server,
               cy_time_ns now)
{
  uint32_t limit = now < MAX (server->shed_until, server->paused_until)
                       ? 0
                       : warmed_up_slots (server, now);
  if (pool->with_credits)
    limit = MIN (limit, now < server->credits_until ? server->credits : 0);
  if (server->recovery_limit > 0)
    limit = MIN (limit, server->recovery_limit);
  if (is_slow (pool, server))
    limit = MIN (limit, 1);
  return limit;
}

static void
eject (struct cyb_pool *pool, struct cyb_server *server)
{
  cy_time_ns pause_ms = CYB_EJECT_MIN_MS;
  for (uint32_t i = 0;
       i < server->consecutive_ejections && pause_ms < CYB_EJECT_MAX_MS; i++)
    pause_ms *= 2;
  pause_ms = MIN (pause_ms, CYB_EJECT_MAX_MS);
  pause_ms += (cy_time_ns)cy_random_below (pool->random,
                                           (uint64_t)pause_ms / 4 + 1);
  server->consecutive_ejections++;
  server->consecutive_failures = 0;
  server->recovery_limit = 1;
  server->ejected_until = cy_clock_now (pool->clock) + pause_ms * CY_NS_PER_MS;
}

static void
record_failure (struct cyb_pool *pool, struct cyb_server *server)
{
  server->failed++;
  server->consecutive_failures++;
  server->recovery_limit = 1;
  if (server->consecutive_failures >= CYB_EJECT_FAILURES
      || server->consecutive_ejections > 0)
    eject (pool, server);
}

static void
record_answer (struct cyb_pool *pool, struct cyb_server *server,
               cy_time_ns answer_ns)
{
  cy_time_ns now = cy_clock_now (pool->clock);
  double ms = (double)answer_ns / (double)CY_NS_PER_MS;
  bool restart = is_mean_stale (server, now);
  server->served++;
  server->consecutive_failures = 0;
  server->consecutive_ejections = 0;
  server->consecutive_refusals = 0;
  server->last_answer_at = now;
  if (server->answer_samples == 0 || restart)
    server->mean_answer_ms = ms;
  else
    server->mean_answer_ms
        += (ms - server->mean_answer_ms) * CYB_AVERAGE_WEIGHT;
  server->answer_samples = restart ? 1 : server->answer_samples + 1;
  if (server->recovery_limit > 0)
    server->recovery_limit = server->recovery_limit >= server->slots
                                 ? 0
                                 : server->recovery_limit + 1;
  update_median (pool);
}

/* Pauses SERVER.  The time of a refusal is left out of the mean answer time: a
   full server that refuses at once would otherwise be rated the fastest.  */
static void
record_refusal (struct cyb_pool *pool, struct cyb_server *server)
{
  cy_time_ns now = cy_clock_now (pool->clock);
  if (now < server->shed_until)
    return;
  cy_time_ns pause_ms = CYB_SHED_MIN_MS
                        << MIN (server->consecutive_refusals, 10);
  pause_ms = MIN (pause_ms, CYB_SHED_MAX_MS);
  server->consecutive_refusals++;
  server->recovery_limit = 1;
  server->shed_until = now + pause_ms * CY_NS_PER_MS;
}

/* ------------------------------------------------------------ choice */

/* Expected time of one more request at SERVER, in ms.  */
static double
expected_ms (const struct cyb_pool *pool, const struct cyb_server *server,
             cy_time_ns now)
{
  bool measured = server->answer_samples > 0 && !is_mean_stale (server, now);
  double base = measured ? server->mean_answer_ms : pool->median_ms;
  if (base <= 0)
    base = 1;
  return base * (1 + (double)server->in_flight / (double)server->slots);
}

cy_result
cyb_pool_choose_server (struct cyb_pool *pool, const char *avoid,
                        struct cyb_server **out)
{
  cy_time_ns now = cy_clock_now (pool->clock);
  struct cyb_server *best = NULL;
  struct cyb_server *avoided = NULL;
  struct cyb_server *server = NULL;
  double best_cost = 0;
  uint64_t ties = 0;
  bool healthy = false;
  CK_LIST_FOREACH (server, &pool->servers, entry)
  {
    if (!is_healthy (server, now))
      continue;
    healthy = true;
    if (server->in_flight >= request_limit (pool, server, now)
        || !cym_limit_allows (&server->limit, limit_share (pool, server), now))
      continue;
    if (avoid != NULL && strcmp (avoid, server->instance) == 0)
      {
        avoided = server;
        continue;
      }
    double cost = expected_ms (pool, server, now);
    ties = best != NULL && cost == best_cost ? ties + 1 : 0;
    if (best == NULL || cost < best_cost
        || (ties > 0 && cy_random_below (pool->random, ties + 1) == 0))
      {
        best = server;
        best_cost = cost;
      }
  }
  *out = best != NULL ? best : avoided;
  if (*out != NULL)
    return CY_OK;
  return healthy ? CY_E_NO_ROOM : CY_E_NO_BACKEND;
}

void
cyb_pool_start_request (struct cyb_pool *pool, struct cyb_server *server)
{
  (void)pool;
  server->in_flight++;
  if (cym_limit_is_set (&server->limit))
    cym_limit_take (&server->limit);
}

void
cyb_pool_finish_request (struct cyb_pool *pool, struct cyb_server *server,
                         enum cyb_outcome ending, cy_time_ns answer_ns)
{
  server->in_flight--;
  switch (ending)
    {
    case CYB_ANSWERED:
      record_answer (pool, server, answer_ns);
      break;
    case CYB_REFUSED:
      record_refusal (pool, server);
      break;
    case CYB_FAILED:
      record_failure (pool, server);
      break;
    case CYB_CANCELLED:
      break;
    }
}

void
cyb_pool_notice (struct cyb_pool *pool, struct cyb_server *server,
                 bool leaving, uint32_t pause_ms)
{
  cy_time_ns until = cy_clock_now (pool->clock) + pause_ms * CY_NS_PER_MS;
  server->leaving = server->leaving || leaving;
  if (pause_ms > 0)
    server->paused_until = MAX (server->paused_until, until);
}

bool
cyb_pool_record_limit (struct cyb_pool *pool, struct cyb_server *server,
                       double per_s, cy_time_ns sent_at)
{
  return cym_limit_record (&server->limit, per_s, sent_at,
                           cy_clock_now (pool->clock));
}

double
cyb_pool_limit_rate (const struct cyb_pool *pool,
                     const struct cyb_server *server)
{
  return cym_limit_is_set (&server->limit)
             ? cym_limit_rate (&server->limit, limit_share (pool, server))
             : INFINITY;
}

bool
cyb_pool_may_send (const struct cyb_pool *pool,
                   const struct cyb_server *server)
{
  return !server->leaving
         && cy_clock_now (pool->clock) >= server->paused_until;
}

void
cyb_pool_set_credits (struct cyb_pool *pool, struct cyb_server *server,
                      uint32_t credits, cy_time_ns until)
{
  /* Credits held so far count for the time up to now.  */
  cym_limit_allows (&server->limit, limit_share (pool, server),
                    cy_clock_now (pool->clock));
  server->credits = credits;
  server->credits_until = until;
}

size_t
cyb_pool_count_healthy (struct cyb_pool *pool, uint32_t *slots)
{
  cy_time_ns now = cy_clock_now (pool->clock);
  size_t count = 0;
  const struct cyb_server *server = NULL;
  *slots = 0;
  CK_LIST_FOREACH (server, &pool->servers, entry)
  {
    if (!is_healthy (server, now))
      continue;
    count++;
    *slots += server->slots;
  }
  return count;
}

cy_time_ns
cyb_pool_median_answer_ns (const struct cyb_pool *pool)
{
  return (cy_time_ns)(pool->median_ms * (double)CY_NS_PER_MS);
}

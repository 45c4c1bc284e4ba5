/* Who waits for a slot, who is refused and who is next.  */

#include <math.h>
#include <string.h>

#include "core/cym_internal.h"

#define WAITING_MAX    512   /* requests of one service that wait */
#define STARVED_SHARE  0.4   /* of what is usually placed: goes first */
#define STARVED_LEAST  5.0   /* requests offered until that counts */
#define WAIT_SLACK     1.2   /* by which a wait may be longer than expected */
#define WORK_MS        100.0 /* ms that an unknown request is taken to work */
#define RETRY_LEAST_MS 40.0  /* ms, shortest Retry-After */
#define RETRY_MOST_MS  3000.0
#define RETRY_SPREAD                                                          \
  0.5 /* of a Retry-After, so that not all return at once                     \
       */

/* ------------------------------------------------------------ shares */

void
cym_served_decay (struct cym_served *served, cy_time_ns now)
{
  double passed = (double)(now - served->at) / (double)CY_NS_PER_S;
  if (passed <= 0)
    return;
  double kept = exp (-passed / CYM_SERVED_S);
  served->offered *= kept;
  served->placed *= kept;
  served->at = now;
}

bool
cym_served_starves (const struct cym_match *match,
                    const struct cym_served *served)
{
  const struct cym_served *all = &match->all;
  return served->offered >= STARVED_LEAST
         && served->placed * all->offered
                < served->offered * all->placed * STARVED_SHARE;
}

struct cym_served *
cym_match_workspace (struct cym_match *match, const char *workspace)
{
  struct cym_served *served
      = g_hash_table_lookup (match->workspaces, workspace);
  if (served == NULL)
    {
      served = g_new0 (struct cym_served, 1);
      g_hash_table_insert (match->workspaces, g_strdup (workspace), served);
    }
  return served;
}

/* ------------------------------------------------------------ order */

/* Where a request stands; compared field by field.  */
struct standing
{
  bool on_time;
  bool starves;
  uint32_t rank;
  uint32_t route_rank;
  double work;
  cy_time_ns since;
};

static struct standing
standing_of (struct cym_match *match, const struct cym_request *ask,
             double estimate, cy_time_ns now)
{
  struct standing standing = {
    .on_time = estimate <= (double)(ask->goal_at - now),
    .starves = cym_served_starves (match, &ask->class_of->served)
               || cym_served_starves (match, ask->from),
    .rank = ask->rank,
    .route_rank = ask->route_rank,
    .work = estimate,
    .since = ask->since,
  };
  return standing;
}

static bool
goes_before (const struct standing *a, const struct standing *b)
{
  if (a->on_time != b->on_time)
    return a->on_time;
  if (a->starves != b->starves)
    return a->starves;
  if (a->rank != b->rank)
    return a->rank < b->rank;
  if (a->route_rank != b->route_rank)
    return a->route_rank < b->route_rank;
  if (a->work < b->work * 0.8 || b->work < a->work * 0.8)
    return a->work < b->work;
  return a->since < b->since;
}

/* True when ASK had better go on waiting for the server that it prefers than
   take SERVER.  */
static bool
is_better_off (const struct cym_match *match, const struct cym_request *ask,
               const struct cym_server *server, double estimate,
               cy_time_ns now)
{
  const struct cym_server *preferred = ask->prefers;
  if (preferred == NULL || preferred == server
      || !cym_is_usable (preferred, now))
    return false;
  return cym_wait_at (match, preferred, now)
             + cym_estimate (preferred, ask, now)
         < estimate;
}

struct cym_request *
cym_wait_next (struct cym_match *match, struct cym_server *server,
               cy_time_ns now)
{
  struct cym_request *ask = NULL;
  struct cym_request *best = NULL;
  struct standing best_standing = { 0 };
  TAILQ_FOREACH (ask, &server->service->waiting, entry)
  {
    if (!cym_may_take (match, server, ask, now))
      continue;
    double estimate = cym_estimate (server, ask, now);
    if (estimate > (double)(ask->deadline_at - now)
        || is_better_off (match, ask, server, estimate, now))
      continue;
    struct standing standing = standing_of (match, ask, estimate, now);
    if (best == NULL || goes_before (&standing, &best_standing))
      {
        best = ask;
        best_standing = standing;
      }
  }
  return best;
}

/* ------------------------------------------------------------ forecast */

/* Requests a second that the servers of SERVICE end, and the least time that
   ASK takes at one of them.  */
static double
pace_of (const struct cym_match *match, const struct cym_service *service,
         const struct cym_request *ask, cy_time_ns now, double *least)
{
  const struct cym_server *server = NULL;
  double pace = 0;
  *least = INFINITY;
  CK_LIST_FOREACH (server, &service->servers, entry)
  {
    if (!cym_is_usable (server, now)
        || (ask != NULL && !cym_is_home (server, ask)))
      continue;
    double work = service->work_ns > 0 ? service->work_ns
                                       : WORK_MS * (double)CY_NS_PER_MS;
    double took = work * server->speed;
    double rate = took <= 0
                      ? 0
                      : cym_capacity (match, server, now) * CY_NS_PER_S / took;
    if (server->cold_until > now && service->cold_per_s > 0)
      rate = fmin (rate, service->cold_per_s * match->share);
    pace += rate;
    if (ask != NULL)
      *least = fmin (*least, cym_estimate (server, ask, now));
  }
  return pace;
}

uint32_t
cym_wait_retry_ms (const struct cym_match *match,
                   const struct cym_service *service, cy_time_ns now)
{
  double least;
  double pace = pace_of (match, service, NULL, now, &least);
  double ms = pace <= 0 ? 500.0 : 1000.0 * (service->waiting_count + 1) / pace;
  /* Those that were refused lately come back as well.  */
  double work_ms = service->work_ns / (double)CY_NS_PER_MS;
  ms = fmax (ms, work_ms / 2);
  double spread
      = (double)cy_random_below (match->options.random, 1000) / 1000.0;
  ms *= 1 + RETRY_SPREAD * spread;
  return (uint32_t)fmin (fmax (ms, RETRY_LEAST_MS), RETRY_MOST_MS);
}

/* Waiting requests of SERVICE that go before ASK.  */
static unsigned
count_before (struct cym_match *match, const struct cym_service *service,
              const struct cym_request *ask, double estimate, cy_time_ns now)
{
  struct standing own = standing_of (match, ask, estimate, now);
  const struct cym_request *other = NULL;
  unsigned count = 0;
  TAILQ_FOREACH (other, &service->waiting, entry)
  {
    double work = other->prefers != NULL && other->class_of->warm_ns > 0
                      ? other->class_of->warm_ns
                      : other->class_of->work_ns;
    struct standing standing = standing_of (match, other, work, now);
    count += goes_before (&standing, &own);
  }
  return count;
}

static void
enter (struct cym_request *ask, struct cym_server *prefers, cy_time_ns until)
{
  ask->until = until;
  ask->queued = true;
  ask->prefers = prefers;
  if (prefers != NULL)
    prefers->awaited++;
  ask->from->waiting += ask->metered;
  TAILQ_INSERT_TAIL (&ask->at->waiting, ask, entry);
  ask->at->waiting_count++;
  ask->at->repeats_waiting += ask->again;
}

cy_result
cym_wait_enter (struct cym_match *match, struct cym_request *ask, bool late,
                cy_time_ns now)
{
  struct cym_service *service = ask->at;
  double least;
  double pace = pace_of (match, service, ask, now, &least);
  if (isinf (least))
    return CY_E_NO_BACKEND;
  double goal_room = (double)(ask->goal_at - now) - least;
  double deadline_room = (double)(ask->deadline_at - now) - least;
  double hold = late ? 0 : (double)ask->hold;
  double patience = fmin (fmax (goal_room, hold), deadline_room);
  if (patience <= 0)
    return deadline_room <= 0 ? CY_E_DEADLINE : CY_E_NO_ROOM;
  if (service->waiting_count >= WAITING_MAX)
    return CY_E_QUEUE_FULL;
  unsigned before = count_before (match, service, ask, least, now);
  double wait = pace <= 0 ? 0 : (before + 0.5) * (double)CY_NS_PER_S / pace;
  if (wait * WAIT_SLACK > patience)
    return CY_E_NO_ROOM;
  enter (ask, NULL, now + (cy_time_ns)patience);
  return CY_E_AGAIN;
}

bool
cym_wait_preferred (struct cym_match *match, struct cym_request *ask,
                    const struct cym_server *best, cy_time_ns now)
{
  double finish;
  struct cym_server *server = cym_prefer (match, ask, &finish, now);
  double goal_left = (double)(ask->goal_at - now);
  if (server == NULL || server == best || finish * WAIT_SLACK > goal_left
      || ask->at->waiting_count >= WAITING_MAX
      || cym_may_take (match, server, ask, now))
    return false;
  if (best != NULL && cym_estimate (best, ask, now) <= finish)
    return false;
  double estimate = cym_estimate (server, ask, now);
  enter (ask, server, now + (cy_time_ns)(goal_left - estimate));
  return true;
}

void
cym_wait_leave (struct cym_request *ask)
{
  if (!ask->queued)
    return;
  ask->queued = false;
  if (ask->prefers != NULL)
    ask->prefers->awaited--;
  ask->prefers = NULL;
  ask->from->waiting -= ask->metered;
  TAILQ_REMOVE (&ask->at->waiting, ask, entry);
  ask->at->waiting_count--;
  ask->at->repeats_waiting -= ask->again;
}

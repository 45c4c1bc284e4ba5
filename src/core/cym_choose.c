/* Which server a request goes to.  */

#include <math.h>
#include <string.h>

#include "core/cym_internal.h"

#define WARM_FACTOR                                                           \
  0.4 /* of the usual time, until a server that knows the                     \
         object was measured */
#define ORDER_MS      12.0 /* ms by which an object's order of servers counts */
#define SLOW_FORGET_S 4    /* s until a slow server is tried again */
#define SLOW_RETRIED  1.5  /* how slow it is then taken to be */
#define ZONE_MS       25.0 /* ms that a server of the own zone is preferred by */
#define FULL_MS       6.0   /* ms that a full server is avoided by */
#define ERROR_MS      400.0 /* ms that one that always fails is avoided by */
#define FOREIGN_S     1.0   /* s for which others' requests count */
#define COLD_BURST    3.0   /* requests at once at a cold server */

/* ------------------------------------------------------------ estimates */

static double
speed_of (const struct cym_server *server, cy_time_ns now)
{
  bool old = now - server->speed_at > SLOW_FORGET_S * CY_NS_PER_S;
  return old ? fmin (server->speed, SLOW_RETRIED) : server->speed;
}

double
cym_estimate (const struct cym_server *server, const struct cym_request *ask,
              cy_time_ns now)
{
  const struct cym_class *class_of = ask->class_of;
  double work = class_of->work_ns;
  if (work <= 0)
    work = server->service->work_ns;
  if (cym_is_warm (server, ask->affinity))
    work = class_of->warm_ns > 0 ? fmin (class_of->warm_ns, work)
                                 : work * WARM_FACTOR;
  work *= speed_of (server, now);
  if (server->cold_until > now)
    work *= 2;
  return work + server->extra_ns;
}

/* ------------------------------------------------------------ room */

bool
cym_is_usable (const struct cym_server *server, cy_time_ns now)
{
  return server->listed && !server->draining && server->slots > 0
         && (server->own || server->lent > 0) && server->ejected_until <= now;
}

static double
foreign_of (const struct cym_server *server, cy_time_ns now)
{
  double age = (double)(now - server->foreign_at) / (double)CY_NS_PER_S;
  return age >= FOREIGN_S ? 0 : server->foreign * (1 - age / FOREIGN_S);
}

double
cym_capacity (const struct cym_match *match, const struct cym_server *server,
              cy_time_ns now)
{
  if (!server->own)
    return server->lent;
  double capacity = (double)server->slots - (double)server->given
                    - floor (foreign_of (server, now));
  /* Part of the region: twice the own share, as others use less of theirs
     than they could.  */
  if (match->share < 1)
    capacity = fmin (capacity, ceil (server->slots * match->share * 2));
  if (server->returning)
    capacity = fmin (capacity, 1);
  return fmax (capacity, 0);
}

/* Lets the tokens of a cold server come in up to NOW.  */
static void
fill_cold (const struct cym_match *match, struct cym_server *server,
           cy_time_ns now)
{
  double passed = (double)(now - server->cold_filled) / (double)CY_NS_PER_S;
  double rate = server->service->cold_per_s * match->share;
  if (passed > 0)
    server->cold_tokens
        = fmin (server->cold_tokens + passed * rate, COLD_BURST);
  server->cold_filled = now;
}

static bool
bears_one (const struct cym_match *match, struct cym_server *server,
           cy_time_ns now)
{
  if (server->cold_until <= now || server->service->cold_per_s <= 0)
    return true;
  if (match->share < 1 || !server->own)
    return false; /* only the region's matcher counts a cold server's */
  fill_cold (match, server, now);
  return server->cold_tokens >= 1;
}

bool
cym_is_home (const struct cym_server *server, const struct cym_request *ask)
{
  for (size_t i = 0; i < ask->home_count; i++)
    if (strcmp (ask->homes[i], server->region) == 0)
      return true;
  return ask->home_count == 0;
}

bool
cym_has_room (const struct cym_match *match, const struct cym_server *server,
              cy_time_ns now)
{
  return cym_is_usable (server, now)
         && server->in_flight + 1 <= cym_capacity (match, server, now);
}

bool
cym_may_take (const struct cym_match *match, struct cym_server *server,
              const struct cym_request *ask, cy_time_ns now)
{
  return cym_has_room (match, server, now) && cym_is_home (server, ask)
         && (server->own || cym_spill_may (match, ask, server, now))
         && bears_one (match, server, now);
}

double
cym_wait_at (const struct cym_match *match, const struct cym_server *server,
             cy_time_ns now)
{
  double capacity = fmax (cym_capacity (match, server, now), 1);
  double work
      = server->work_ns > 0 ? server->work_ns : server->service->work_ns;
  return (server->awaited + 1) * work / capacity;
}

/* ------------------------------------------------------------ choice */

/* What ASK would cost at SERVER, ns: its time to answer and what speaks
   against it besides.  */
static double
cost_of (const struct cym_match *match, const struct cym_server *server,
         const struct cym_request *ask, cy_time_ns now)
{
  double cost = cym_estimate (server, ask, now);
  double load = (server->in_flight + foreign_of (server, now))
                / fmax (server->slots, 1);
  cost += load * FULL_MS * CY_NS_PER_MS;
  cost += server->errors * ERROR_MS * CY_NS_PER_MS;
  if (strcmp (server->zone, ask->zone) != 0)
    cost += ZONE_MS * CY_NS_PER_MS;
  if (ask->affinity != 0)
    cost += cym_warm_order (server, ask->affinity) * ORDER_MS * CY_NS_PER_MS;
  if (ask->avoid != NULL && strcmp (server->id, ask->avoid) == 0)
    cost += 1e12;
  double jitter
      = (double)cy_random_below (match->options.random, 1000) / 1000.0;
  return cost + jitter * CY_NS_PER_MS;
}

struct cym_server *
cym_choose (struct cym_match *match, struct cym_request *ask, bool on_time,
            cy_time_ns now)
{
  struct cym_server *server = NULL;
  struct cym_server *best = NULL;
  double best_cost = INFINITY;
  double goal_left = (double)(ask->goal_at - now);
  double left = (double)(ask->deadline_at - now);
  CK_LIST_FOREACH (server, &ask->at->servers, entry)
  {
    if (!cym_may_take (match, server, ask, now))
      continue;
    double estimate = cym_estimate (server, ask, now);
    if (estimate > left || (on_time && estimate > goal_left))
      continue;
    double cost = cost_of (match, server, ask, now);
    if (cost < best_cost)
      {
        best = server;
        best_cost = cost;
      }
  }
  return best;
}

struct cym_server *
cym_prefer (struct cym_match *match, struct cym_request *ask, double *finish,
            cy_time_ns now)
{
  struct cym_server *server = NULL;
  struct cym_server *best = NULL;
  *finish = INFINITY;
  if (ask->affinity == 0)
    return NULL;
  CK_LIST_FOREACH (server, &ask->at->servers, entry)
  {
    if (!cym_is_usable (server, now) || server->returning
        || server->cold_until > now || !cym_is_home (server, ask)
        || !cym_is_warm (server, ask->affinity)
        || cym_capacity (match, server, now) < 1)
      continue;
    double at
        = cym_wait_at (match, server, now) + cym_estimate (server, ask, now);
    if (at < *finish)
      {
        best = server;
        *finish = at;
      }
  }
  return best;
}

#include "core/cym_match.h"

#include <math.h>
#include <string.h>

#include "core/cym_internal.h"

/* ms between two looks of all servers at all that wait: a twentieth of a short
   goal.  Each look costs their product.  */
#define SWEEP_MS 10

/* ------------------------------------------------------------ life */

static void
class_free (gpointer data)
{
  struct cym_class *class_of = data;
  g_free (class_of->route);
  g_free (class_of);
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
    g_free (server);
  }
  g_hash_table_destroy (service->classes);
  g_hash_table_destroy (service->homes);
  g_free (service->name);
  g_free (service);
}

struct cym_match *
cym_match_create (const struct cym_options *options)
{
  struct cym_match *match = g_new0 (struct cym_match, 1);
  match->options = *options;
  match->share = 1;
  match->hears_all = options->bounds.repeats.regions <= 1;
  match->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, service_free);
  match->by_id = g_hash_table_new (g_str_hash, g_str_equal);
  match->workspaces
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
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
  service->classes
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, class_free);
  service->homes
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_hash_table_insert (match->services, service->name, service);
  return service;
}

static struct cym_class *
class_get (struct cym_service *service, const char *route)
{
  struct cym_class *class_of = g_hash_table_lookup (service->classes, route);
  if (class_of != NULL)
    return class_of;
  class_of = g_new0 (struct cym_class, 1);
  class_of->route = g_strdup (route);
  g_hash_table_insert (service->classes, class_of->route, class_of);
  return class_of;
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

/* ------------------------------------------------------------ repeats */

void
cym_match_set_all_placers_known (struct cym_match *match, bool all)
{
  match->hears_all = all || match->options.bounds.repeats.regions <= 1;
}

void
cym_match_add_remote_retries (struct cym_match *match, const char *service,
                              enum cym_retry_source source, uint32_t requests,
                              uint32_t repeats, cy_time_ns now)
{
  cym_retry_budget_add_remote (&service_get (match, service)->repeats,
                               &match->options.bounds.repeats, source,
                               requests, repeats, now);
}

void
cym_match_record_missed_requests (struct cym_match *match, const char *service,
                                  cy_time_ns now)
{
  cym_retry_budget_record_missed (&service_get (match, service)->repeats, now);
}

void
cym_match_each_count (const struct cym_match *match, cym_count_fn each,
                      void *context)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, match->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct cym_service *service = value;
      if (service->repeats.requests + service->repeats.repeats > 0)
        each (service->name, &service->repeats, context);
    }
}

/* ------------------------------------------------------------ placing */

static cy_result
refuse_token (struct cym_match *match, struct cym_request *ask, cy_time_ns now)
{
  ask->retry_after_ms = match->options.token_wait_ms (match->options.context,
                                                      ask->workspace, now);
  return CY_E_RATE_EXCEEDED;
}

static struct cym_retry_view
view_of (const struct cym_match *match)
{
  return (struct cym_retry_view){ match->share, match->hears_all };
}

/* Whether the budget has one more repeat, for ASK, than those that wait.  */
static bool
has_repeat (struct cym_match *match, const struct cym_request *ask,
            cy_time_ns now)
{
  struct cym_service *service = ask->at;
  const struct cym_retry_view view = view_of (match);
  return cym_retry_budget_has (&service->repeats,
                               &match->options.bounds.repeats, &view,
                               service->repeats_waiting + 1, now);
}

static bool
take_repeat (struct cym_match *match, const struct cym_request *ask,
             cy_time_ns now)
{
  const struct cym_retry_view view = view_of (match);
  return cym_retry_budget_take (&ask->at->repeats,
                                &match->options.bounds.repeats, &view, now);
}

static cy_result
refuse_repeat (struct cym_request *ask)
{
  ask->at->repeats.refused++;
  return CY_E_RETRY_BUDGET;
}

cy_result
cym_place (struct cym_match *match, struct cym_request *ask,
           struct cym_server *server, cy_time_ns now)
{
  if (ask->again && !take_repeat (match, ask, now))
    return refuse_repeat (ask);
  if (ask->metered
      && !match->options.take_token (match->options.context, ask->workspace,
                                     now))
    return refuse_token (match, ask, now);
  if (server->cold_until > now)
    server->cold_tokens -= 1;
  server->in_flight++;
  if (ask->away)
    cym_demand_away (ask, 1);
  else if (!server->own)
    server->home->others++;
  cym_spill_note (match, ask, !server->own, now);
  ask->server = server;
  ask->usual = ask->class_of->work_ns > 0
                   ? (cy_time_ns)cym_estimate (server, ask, now)
                   : 0;
  ask->rank_at = cym_warm_rank (server, ask->affinity);
  ask->warm = cym_is_warm (server, ask->affinity);
  ask->waited = now - ask->since;
  ask->class_of->served.placed += 1;
  match->all.placed += 1;
  ask->from->placed += 1;
  cym_warm_note (server, ask->affinity);
  return CY_OK;
}

/* Gives the free slots of SERVER to those that wait.  */
static void
serve_waiting (struct cym_match *match, struct cym_server *server,
               cy_time_ns now)
{
  struct cym_request *ask = NULL;
  while (cym_has_room (match, server, now)
         && (ask = cym_wait_next (match, server, now)) != NULL)
    {
      cym_wait_leave (ask);
      ask->answered (ask, cym_place (match, ask, server, now));
    }
}

/* True when none of ASK's homes is the own region.  */
static bool
is_away (const struct cym_match *match, const struct cym_request *ask)
{
  for (size_t i = 0; i < ask->home_count; i++)
    if (strcmp (ask->homes[i], match->options.region) == 0)
      return false;
  return ask->home_count > 0;
}

static void
note_offered (struct cym_match *match, struct cym_request *ask, cy_time_ns now)
{
  struct cym_served *workspace = ask->from;
  cym_served_decay (&ask->class_of->served, now);
  cym_served_decay (workspace, now);
  cym_served_decay (&match->all, now);
  ask->class_of->served.offered += 1;
  workspace->offered += 1;
  match->all.offered += 1;
}

static cy_result
refuse_room (struct cym_match *match, struct cym_request *ask,
             cy_result result, cy_time_ns now)
{
  cym_demand_refused (ask);
  ask->retry_after_ms = cym_wait_retry_ms (match, ask->at, now);
  return result;
}

cy_result
cym_match_place (struct cym_match *match, struct cym_request *ask,
                 cy_time_ns now)
{
  struct cym_service *service = service_get (match, ask->service);
  ask->at = service;
  ask->class_of = class_get (service, ask->route);
  ask->server = NULL;
  ask->since = now;
  ask->waited = 0;
  ask->retry_after_ms = 0;
  ask->queued = false;
  ask->prefers = NULL;
  ask->away = is_away (match, ask);
  cym_demand_measure (service, now);
  if (ask->again && !has_repeat (match, ask, now))
    return refuse_repeat (ask);
  if (!ask->again && !ask->counted)
    cym_retry_budget_record_request (&service->repeats,
                                     &match->options.bounds.repeats, now);
  ask->from = cym_match_workspace (match, ask->workspace);
  if (ask->metered
      && !match->options.has_token (match->options.context, ask->workspace,
                                    ask->from->waiting, now))
    return refuse_token (match, ask, now);
  note_offered (match, ask, now);
  struct cym_server *server = cym_choose (match, ask, true, now);
  cy_result waits = CY_E_NO_ROOM;
  if (cym_wait_preferred (match, ask, server, now))
    return CY_E_AGAIN;
  if (server == NULL)
    {
      server = cym_choose (match, ask, false, now);
      waits = cym_wait_enter (match, ask, server != NULL, now);
      if (waits == CY_E_AGAIN)
        return CY_E_AGAIN;
    }
  if (server == NULL)
    return refuse_room (match, ask, waits, now);
  return cym_place (match, ask, server, now);
}

void
cym_match_cancel (struct cym_match *match, struct cym_request *ask)
{
  (void)match;
  cym_wait_leave (ask);
}

bool
cym_match_adopt (struct cym_match *match, struct cym_request *ask,
                 const char *id, uint64_t born)
{
  struct cym_server *server = cym_match_find (match, id);
  if (server == NULL || server->born != born)
    return false;
  ask->at = server->service;
  ask->class_of = class_get (server->service, ask->route);
  ask->queued = false;
  ask->away = is_away (match, ask);
  ask->server = server;
  server->in_flight++;
  if (ask->away)
    cym_demand_away (ask, 1);
  return true;
}

void
cym_match_finish (struct cym_match *match, struct cym_request *ask,
                  enum cym_outcome ending, cy_time_ns answer,
                  const struct cym_load *load, cy_time_ns now)
{
  struct cym_server *server = ask->server;
  if (server == NULL)
    return;
  cym_demand_measure (server->service, now);
  ask->server = NULL;
  server->in_flight--;
  if (ask->away)
    cym_demand_away (ask, -1);
  server->served++;
  cym_health_note (server, ending, now);
  if (ending == CYM_ANSWERED && answer > 0)
    cym_speed_note (server, ask, answer, now);
  cym_load_note (server, load, now);
  serve_waiting (match, server, now);
}

/* ------------------------------------------------------------ time */

static struct cym_request *
first_expired (const struct cym_service *service, cy_time_ns now)
{
  struct cym_request *ask = NULL;
  TAILQ_FOREACH (ask, &service->waiting, entry)
  {
    if (ask->until <= now)
      return ask;
  }
  return NULL;
}

/* The server that ASK, whose wait is over, gets now; those that wait and go
   before it are served first.  */
static struct cym_server *
choose_last (struct cym_match *match, struct cym_request *ask, cy_time_ns now)
{
  struct cym_server *server = cym_choose (match, ask, false, now);
  while (server != NULL && cym_wait_next (match, server, now) != NULL)
    {
      serve_waiting (match, server, now);
      server = cym_choose (match, ask, false, now);
    }
  return server;
}

/* Ends the waits of SERVICE that are over.  */
static void
expire (struct cym_match *match, struct cym_service *service, cy_time_ns now)
{
  struct cym_request *ask = NULL;
  while ((ask = first_expired (service, now)) != NULL)
    {
      cym_wait_leave (ask);
      struct cym_server *server = choose_last (match, ask, now);
      if (server != NULL)
        {
          ask->answered (ask, cym_place (match, ask, server, now));
          continue;
        }
      ask->waited = now - ask->since;
      ask->answered (ask, refuse_room (match, ask, CY_E_NO_ROOM, now));
    }
}

static void
serve_service (struct cym_match *match, struct cym_service *service,
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
sweep_at (const struct cym_service *service)
{
  return service->swept + SWEEP_MS * CY_NS_PER_MS;
}

/* Lets every server look at what waits, but not too often: most slots become
   free with an answer, and are given away then.  */
static void
sweep (struct cym_match *match, struct cym_service *service, cy_time_ns now)
{
  service->sweep_due = now < sweep_at (service);
  if (service->sweep_due)
    return;
  serve_service (match, service, now);
  service->swept = now;
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
      sweep (match, service, now);
      expire (match, service, now);
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
      const struct cym_request *ask = NULL;
      if (service->sweep_due && service->waiting_count > 0)
        next = MIN (next, sweep_at (service));
      TAILQ_FOREACH (ask, &service->waiting, entry)
      {
        next = MIN (next, ask->until);
      }
    }
  return next;
}

/* ------------------------------------------------------------ register */

void
cym_match_begin (struct cym_match *match)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, match->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct cym_server *)value)->listed = false;
}

/* An earlier incarnation stays until its requests have ended.  */
static void
retire (struct cym_match *match, struct cym_server *server)
{
  g_hash_table_remove (match->by_id, server->id);
  server->listed = false;
  server->draining = true;
}

static struct cym_server *
add_server (struct cym_match *match, const struct cym_server_info *facts,
            cy_time_ns now)
{
  struct cym_server *server = g_new0 (struct cym_server, 1);
  g_strlcpy (server->id, facts->id, sizeof server->id);
  g_strlcpy (server->host, facts->host, sizeof server->host);
  g_strlcpy (server->zone, facts->zone, sizeof server->zone);
  g_strlcpy (server->region, facts->region, sizeof server->region);
  server->service = service_get (match, facts->service);
  server->port = facts->port;
  server->born = facts->born;
  server->speed = 1;
  server->speed_at = now;
  server->cold_filled = now;
  server->own = strcmp (facts->region, match->options.region) == 0;
  if (!server->own)
    server->home = cym_home_get (server->service, server->region);
  server->extra_ns = server->own ? 0 : CYM_REGION_MS * CY_NS_PER_MS;
  CK_LIST_INSERT_HEAD (&server->service->servers, server, entry);
  g_hash_table_insert (match->by_id, server->id, server);
  cym_retry_budget_start (&server->service->repeats,
                          &match->options.bounds.repeats, now);
  return server;
}

void
cym_match_put (struct cym_match *match, const struct cym_server_info *facts,
               cy_time_ns now)
{
  struct cym_server *server = cym_match_find (match, facts->id);
  bool same = server != NULL && server->born == facts->born
              && server->port == facts->port
              && strcmp (server->host, facts->host) == 0
              && strcmp (server->service->name, facts->service) == 0;
  if (server != NULL && !same)
    {
      retire (match, server);
      server = NULL;
    }
  if (server == NULL)
    server = add_server (match, facts, now);
  server->listed = true;
  server->slots = facts->slots;
  server->draining = facts->draining;
  if (facts->cold_ms > 0)
    server->cold_until
        = MAX (server->cold_until, now + facts->cold_ms * CY_NS_PER_MS);
}

static void
drop_idle (struct cym_match *match, struct cym_service *service)
{
  struct cym_server *server = NULL;
  struct cym_server *next = NULL;
  CK_LIST_FOREACH_SAFE (server, &service->servers, entry, next)
  {
    if (server->listed || server->in_flight > 0 || server->awaited > 0)
      continue;
    if (g_hash_table_lookup (match->by_id, server->id) == server)
      g_hash_table_remove (match->by_id, server->id);
    CK_LIST_REMOVE (server, entry);
    g_free (server);
  }
}

void
cym_match_end (struct cym_match *match, cy_time_ns now)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, match->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      drop_idle (match, value);
      ((struct cym_service *)value)->swept = 0; /* servers may be new */
    }
  cym_match_tick (match, now);
}

/* ------------------------------------------------------------ questions */

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
cym_match_room (const struct cym_match *match, const char *name,
                cy_time_ns now, struct cym_room *room)
{
  const struct cym_service *service
      = g_hash_table_lookup (match->services, name);
  const struct cym_server *server = NULL;
  memset (room, 0, sizeof *room);
  if (service == NULL)
    return;
  room->waiting = service->waiting_count;
  CK_LIST_FOREACH (server, &service->servers, entry)
  {
    room->in_flight += server->in_flight;
    if (!cym_is_usable (server, now))
      continue;
    room->servers++;
    room->slots += (uint32_t)cym_capacity (match, server, now);
  }
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

void
cym_match_demand (struct cym_match *match, const char *name, cy_time_ns now,
                  struct cym_demand *demand)
{
  struct cym_service *service = service_get (match, name);
  const struct cym_server *server = NULL;
  GHashTableIter iter;
  gpointer value;
  memset (demand, 0, sizeof *demand);
  cym_demand_measure (service, now);
  CK_LIST_FOREACH (server, &service->servers, entry)
  {
    if (server->own && cym_is_usable (server, now)
        && server->cold_until <= now)
      demand->own += server->slots;
  }
  demand->local = service->busy + service->refused + service->waiting_count;
  g_hash_table_iter_init (&iter, service->homes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    demand->borrowed += ((const struct cym_home *)value)->others;
}

void
cym_match_each_home (struct cym_match *match, const char *name, cy_time_ns now,
                     cym_home_fn each, void *context)
{
  struct cym_service *service = service_get (match, name);
  GHashTableIter iter;
  gpointer region;
  gpointer value;
  cym_demand_measure (service, now);
  g_hash_table_iter_init (&iter, service->homes);
  while (g_hash_table_iter_next (&iter, &region, &value))
    {
      const struct cym_home *home = value;
      each (region, home->busy + home->refused, context);
    }
}

void
cym_match_set_loan (struct cym_match *match, const char *id, uint64_t born,
                    uint32_t slots, cy_time_ns now)
{
  struct cym_server *server = cym_match_find (match, id);
  if (server == NULL || server->own || server->born != born)
    return;
  bool more = slots > server->lent;
  server->lent = slots;
  if (more)
    serve_waiting (match, server, now);
}

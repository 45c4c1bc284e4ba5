/* Has requests placed by a control VM, or places them itself.  */

#include <string.h>

#include "base/cyu_log.h"
#include "base/cyu_metrics.h"
#include "entry/cye_hub_internal.h"

/* ------------------------------------------------------------ own placing */

static void
fill_from_server (struct cye_place *place, const struct cym_server *server)
{
  g_strlcpy (place->instance, server->id, sizeof place->instance);
  g_strlcpy (place->host, server->host, sizeof place->host);
  g_strlcpy (place->zone, server->zone, sizeof place->zone);
  place->port = server->port;
  place->born = server->born;
}

static void
fill_suspect (struct cye_hub *hub, struct cye_place *place)
{
  const cy_time_ns *since
      = g_hash_table_lookup (hub->suspects, place->instance);
  place->suspect = since == NULL ? 0 : *since;
}

static void
own_answered (struct cym_request *ask, cy_result result)
{
  struct cye_place *place = ask->owner;
  struct cye_hub *hub = place->hub;
  place->waited = ask->waited;
  place->retry_after_ms = ask->retry_after_ms;
  if (result == CY_OK)
    {
      place->placed = true;
      place->usual = ask->usual;
      fill_from_server (place, ask->server);
      fill_suspect (hub, place);
    }
  else
    {
      TAILQ_REMOVE (&hub->own, place, entry);
      place->placer = CYE_NOBODY;
    }
  place->answered (place, result);
}

static cy_result
take_own (struct cye_hub *hub, struct cye_place *place)
{
  struct cym_request *ask = &place->ask;
  memset (ask, 0, sizeof *ask);
  ask->service = place->service;
  ask->route = place->route;
  ask->workspace = place->workspace;
  ask->zone = hub->options.identity->zone;
  ask->avoid = place->avoid[0] != '\0' ? place->avoid : NULL;
  ask->rank = place->rank;
  ask->route_rank = place->route_rank;
  ask->goal_at = place->goal_at;
  ask->deadline_at = place->deadline_at;
  ask->hold = place->hold;
  ask->affinity = place->affinity;
  ask->again = place->again;
  ask->metered = place->metered;
  ask->homes = place->homes;
  ask->home_count = place->homes == NULL ? 0 : g_strv_length (place->homes);
  ask->answered = own_answered;
  ask->owner = place;
  cy_result result = cym_match_place (hub->match, ask, cye_hub_now (hub));
  place->waited = 0;
  place->retry_after_ms = ask->retry_after_ms;
  if (result != CY_OK && result != CY_E_AGAIN)
    return result;
  place->placer = CYE_OWN;
  TAILQ_INSERT_TAIL (&hub->own, place, entry);
  if (result == CY_OK)
    {
      place->placed = true;
      place->usual = ask->usual;
      fill_from_server (place, ask->server);
      fill_suspect (hub, place);
    }
  return result;
}

/* ------------------------------------------------------------ control VMs */

static void
send_ask (struct cye_hub *hub, const struct cye_place *place, bool held)
{
  cy_time_ns now = cye_hub_now (hub);
  Cy__Envelope envelope = CY__ENVELOPE__INIT;
  Cy__PlaceAsk ask = CY__PLACE_ASK__INIT;
  ask.number = place->number;
  ask.service = (char *)place->service;
  ask.route = (char *)place->route;
  ask.workspace = (char *)place->workspace;
  ask.rank = place->rank;
  ask.route_rank = place->route_rank;
  ask.goal_ms = (int32_t)((place->goal_at - now) / CY_NS_PER_MS);
  ask.deadline_ms
      = (uint32_t)(MAX (place->deadline_at - now, 0) / CY_NS_PER_MS);
  ask.hold_ms = (uint32_t)(place->hold / CY_NS_PER_MS);
  ask.affinity = place->affinity;
  ask.again = place->again;
  ask.counted = place->counted;
  ask.metered = place->metered;
  ask.avoid = (char *)place->avoid;
  ask.homes = place->homes;
  ask.n_homes = place->homes == NULL ? 0 : g_strv_length (place->homes);
  ask.zone = (char *)hub->options.identity->zone;
  ask.request_id
      = (char *)(place->request_id == NULL ? "" : place->request_id);
  ask.held = held;
  if (held)
    {
      ask.instance = (char *)place->instance;
      ask.born = place->born;
    }
  envelope.body_case = CY__ENVELOPE__BODY_PLACE_ASK;
  envelope.place_ask = &ask;
  cyn_conn_send (hub->dispatcher->conn, &envelope);
}

static void
send_done (struct cye_link *link, const struct cye_place *place,
           enum cym_outcome ending, cy_time_ns answer,
           const struct cym_load *load)
{
  Cy__Envelope envelope = CY__ENVELOPE__INIT;
  Cy__PlaceDone done = CY__PLACE_DONE__INIT;
  if (link == NULL || link->conn == NULL)
    return;
  done.number = place->number;
  done.ending = (uint32_t)ending;
  done.answer_us = (uint32_t)(answer / CY_NS_PER_US);
  if (load != NULL)
    {
      done.loaded = load->known;
      done.running = load->running;
      done.waiting = load->waiting;
      done.slots = load->slots;
      done.cold_ms = load->cold_ms;
    }
  envelope.body_case = CY__ENVELOPE__BODY_PLACE_DONE;
  envelope.place_done = &done;
  cyn_conn_send (link->conn, &envelope);
}

static void
drop_open (struct cye_hub *hub, struct cye_place *place)
{
  g_hash_table_remove (hub->by_number, &place->number);
  TAILQ_REMOVE (&hub->open, place, entry);
  place->placer = CYE_NOBODY;
}

void
cye_hub_place_answer (struct cye_hub *hub, const Cy__PlaceAnswer *answer)
{
  struct cye_place *place
      = g_hash_table_lookup (hub->by_number, &answer->number);
  if (place == NULL || place->placed)
    return;
  cy_result result = (cy_result)answer->result;
  place->waited = cye_hub_now (hub) - place->asked;
  place->retry_after_ms = answer->retry_after_ms;
  if (result == CY_OK)
    {
      place->placed = true;
      g_strlcpy (place->instance, answer->instance, sizeof place->instance);
      g_strlcpy (place->host, answer->host, sizeof place->host);
      g_strlcpy (place->zone, answer->zone, sizeof place->zone);
      place->port = (uint16_t)answer->port;
      place->born = answer->born;
      place->usual = (cy_time_ns)answer->usual_us * CY_NS_PER_US;
      place->granted = place->asked + answer->waited_ms * CY_NS_PER_MS;
      fill_suspect (hub, place);
    }
  else
    drop_open (hub, place);
  place->answered (place, result);
}

cy_time_ns
cye_hub_place_oldest (const struct cye_hub *hub)
{
  const struct cye_place *place = NULL;
  TAILQ_FOREACH (place, &hub->open, entry)
  {
    if (!place->placed)
      return place->asked;
  }
  return 0;
}

/* A request that waited at a control VM which is gone.  */
static void
place_anew (struct cye_hub *hub, struct cye_place *place)
{
  drop_open (hub, place);
  cy_result result = cye_hub_take (hub, place);
  if (result != CY_E_AGAIN)
    place->answered (place, result);
}

void
cye_hub_place_move (struct cye_hub *hub, struct cye_link *before)
{
  struct cye_places waiting = TAILQ_HEAD_INITIALIZER (waiting);
  struct cye_place *place = NULL;
  struct cye_place *next = NULL;
  for (place = TAILQ_FIRST (&hub->open); place != NULL; place = next)
    {
      next = TAILQ_NEXT (place, entry);
      send_done (before, place, CYM_CANCELLED, 0, NULL);
      if (place->placed && hub->dispatcher != NULL)
        send_ask (hub, place, true);
      else if (!place->placed)
        {
          TAILQ_REMOVE (&hub->open, place, entry);
          TAILQ_INSERT_TAIL (&waiting, place, entry);
        }
    }
  /* Taken one by one: an answer may end others.  */
  while ((place = TAILQ_FIRST (&waiting)) != NULL)
    {
      TAILQ_REMOVE (&waiting, place, entry);
      TAILQ_INSERT_TAIL (&hub->open, place, entry);
      place_anew (hub, place);
    }
}

/* ------------------------------------------------------------ public */

static void
count_own (void)
{
  static struct cyu_metric *metric;
  if (metric == NULL)
    metric = cyu_counter ("cy_entry_placed_own_total", "",
                          "Requests that this VM placed itself.");
  cyu_metric_add (metric, 1);
}

cy_result
cye_hub_take (struct cye_hub *hub, struct cye_place *place)
{
  place->hub = hub;
  place->placed = false;
  place->placer = CYE_NOBODY;
  place->waited = 0;
  place->retry_after_ms = 0;
  place->usual = 0;
  place->asked = cye_hub_now (hub);
  if (hub->dispatcher == NULL)
    {
      cy_result result = take_own (hub, place);
      count_own ();
      if (result == CY_E_AGAIN)
        cyn_timer_start (hub->watch, 5);
      return result;
    }
  bool first = cye_hub_place_oldest (hub) == 0;
  place->placer = CYE_CONTROL_VM;
  place->number = ++hub->numbers;
  g_hash_table_insert (hub->by_number, &place->number, place);
  TAILQ_INSERT_TAIL (&hub->open, place, entry);
  send_ask (hub, place, false);
  place->counted = true;
  if (first)
    cyn_timer_start (hub->watch, CYE_WATCH_MS);
  return CY_E_AGAIN;
}

void
cye_hub_cancel (struct cye_hub *hub, struct cye_place *place)
{
  switch (place->placer)
    {
    case CYE_NOBODY:
      return;
    case CYE_CONTROL_VM:
      send_done (hub->dispatcher, place, CYM_CANCELLED, 0, NULL);
      drop_open (hub, place);
      return;
    case CYE_OWN:
      cym_match_cancel (hub->match, &place->ask);
      TAILQ_REMOVE (&hub->own, place, entry);
      place->placer = CYE_NOBODY;
      return;
    }
}

static void
note_suspect (struct cye_hub *hub, const struct cye_place *place)
{
  cy_time_ns *since = g_new (cy_time_ns, 1);
  *since = cye_hub_now (hub);
  g_hash_table_replace (hub->suspects, g_strdup (place->instance), since);
}

void
cye_hub_give (struct cye_hub *hub, struct cye_place *place,
              enum cym_outcome ending, cy_time_ns answer,
              const struct cym_load *load, bool silent)
{
  if (silent)
    note_suspect (hub, place);
  switch (place->placer)
    {
    case CYE_NOBODY:
      return;
    case CYE_CONTROL_VM:
      send_done (hub->dispatcher, place, ending, answer, load);
      drop_open (hub, place);
      break;
    case CYE_OWN:
      TAILQ_REMOVE (&hub->own, place, entry);
      place->placer = CYE_NOBODY;
      cym_match_finish (hub->match, &place->ask, ending, answer, load,
                        cye_hub_now (hub));
      break;
    }
  place->placed = false;
}

/* ------------------------------------------------------------ updates */

static bool
is_drained (const struct cye_hub *hub, const char *zone)
{
  for (guint i = 0; i < hub->drained->len; i++)
    if (strcmp (g_ptr_array_index (hub->drained, i), zone) == 0)
      return true;
  return false;
}

static void
put_instance (struct cye_hub *hub, const struct cyc_instance *instance,
              cy_time_ns now)
{
  const Cy__Instance *from = instance->facts;
  const char *region = cyc_topology_region (hub->options.topology, from->zone);
  if (from->gone || region == NULL)
    return;
  struct cym_server_info facts = {
    .id = from->id,
    .service = from->service,
    .host = from->host,
    .port = (uint16_t)from->port,
    .zone = from->zone,
    .region = region,
    .born = from->born,
    .slots = from->slots,
    .draining = from->draining || is_drained (hub, from->zone),
    .cold_ms = cyc_instance_cold_ms (instance, now),
  };
  cym_match_put (hub->match, &facts, now);
}

void
cye_hub_place_update (struct cye_hub *hub)
{
  cy_time_ns now = cye_hub_now (hub);
  const struct cyc_instance *instance = NULL;
  double part = 1.0 / MAX (hub->region_entries, 1);
  cym_match_set_share (hub->match, part);
  cym_quota_share (hub->quota,
                   part / (double)cyc_topology_regions (hub->options.topology),
                   now);
  for (guint i = 0; hub->document != NULL && i < hub->document->services->len;
       i++)
    {
      const struct cyi_service *service
          = g_ptr_array_index (hub->document->services, i);
      cym_match_declare_service (hub->match, service->name,
                                 service->cold_per_s, service->cold_ms);
    }
  cym_match_begin (hub->match);
  CK_LIST_FOREACH (instance, cyc_register_instances (hub->reg), entry)
  {
    put_instance (hub, instance, now);
  }
  cym_match_end (hub->match, now);
}

/* ------------------------------------------------------------ life */

void
cye_hub_place_create (struct cye_hub *hub)
{
  struct cym_options options = {
    .region = hub->options.region,
    .random = hub->options.random,
    /* Repeats are counted over the fleet: without a control VM there are
       none.  */
    .bounds = { .repeats = { .window = 10 * CY_NS_PER_S } },
  };
  hub->quota = cym_quota_create ();
  cym_quota_serve (hub->quota, &options);
  hub->match = cym_match_create (&options);
  hub->by_number = g_hash_table_new (g_int64_hash, g_int64_equal);
  hub->suspects
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  TAILQ_INIT (&hub->open);
  TAILQ_INIT (&hub->own);
}

void
cye_hub_place_destroy (struct cye_hub *hub)
{
  g_hash_table_destroy (hub->by_number);
  g_hash_table_destroy (hub->suspects);
  cym_match_destroy (hub->match);
  cym_quota_destroy (hub->quota);
}

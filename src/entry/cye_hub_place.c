/* Slot requests of the hub layout: sends them to the placer, or places them on
   this VM while there is no placer.  */

#include <inttypes.h>
#include <jansson.h>
#include <math.h>
#include <string.h>

#include "base/cyu_log.h"
#include "base/cyu_metrics.h"
#include "base/cyu_server_events.h"
#include "entry/cye_hub_internal.h"

/* Slots at servers that take no further request which a request may return
   before it is refused.  */
#define RETURNED_MAX_COUNT 8

/* ------------------------------------------------------------ notices */

/* Records the limit in the answer to a request of PLACE that was sent at
   SENT_AT.  */
static void
record_limit (struct cye_hub *hub, const struct cye_place *place,
              const struct cym_load *load, cy_time_ns sent_at)
{
  cy_time_ns now = cye_hub_now (hub);
  double per_s = load->limited ? load->limit_per_s : INFINITY;
  if (!load->limited && !load->unlimited)
    return;
  if (!cym_notices_record_limit (hub->notices, place->instance,
                                 place->incarnation, per_s, sent_at, now))
    return;
  cym_match_record_limit (hub->match, place->instance, place->incarnation,
                          per_s, sent_at, now);
  cyu_event_server_limit (place->instance, place->incarnation, per_s,
                          place->request_id);
}

void
cye_hub_notice (struct cye_hub *hub, const struct cye_place *place,
                const struct cym_load *load, cy_time_ns sent_at)
{
  cy_time_ns now = cye_hub_now (hub);
  record_limit (hub, place, load, sent_at);
  switch (cym_notices_record (hub->notices, place->instance,
                              place->incarnation, load, now))
    {
    case CYM_NOTICE_UNCHANGED:
      return;
    case CYM_NOTICE_LEAVING:
      cyu_event (CYU_CHANGE, "server_leaves", "{ss sI ss?}", "instance",
                 place->instance, "born", (json_int_t)place->incarnation,
                 "request", place->request_id);
      break;
    case CYM_NOTICE_PAUSED:
      cyu_event (CYU_CHANGE, "server_paused", "{ss sI si ss?}", "instance",
                 place->instance, "born", (json_int_t)place->incarnation,
                 "for_ms", (int)load->pause_ms, "request", place->request_id);
      break;
    }
  cym_match_notice (hub->match, place->instance, place->incarnation, 0, load,
                    now);
}

bool
cye_hub_may_send (const struct cye_hub *hub, const struct cye_place *place)
{
  return cym_notices_allow (hub->notices, place->instance, place->incarnation,
                            cye_hub_now (hub));
}

/* Notice of INCARNATION of server ID in the form of a report at NOW.  */
struct notice_list
{
  GPtrArray *notices; /* Cy__ServerNotice */
  cy_time_ns now;
};

static void
list_notice (const char *id, uint64_t incarnation,
             const struct cym_notice *notice, void *context)
{
  struct notice_list *list = context;
  Cy__ServerNotice *copy = g_new (Cy__ServerNotice, 1);
  cy__server_notice__init (copy);
  copy->id = g_strdup (id);
  copy->born = incarnation;
  copy->leaving = notice->leaving;
  copy->pause_ms
      = (uint32_t)(MAX (notice->paused_until - list->now, 0) / CY_NS_PER_MS);
  copy->limited = cym_limit_is_set (&notice->limit);
  if (copy->limited)
    {
      copy->limit_per_s = notice->limit.per_s;
      copy->limit_age_ms = (uint32_t)((list->now - notice->limit.confirmed_at)
                                      / CY_NS_PER_MS);
    }
  g_ptr_array_add (list->notices, copy);
}

void
cye_hub_place_fill_notices (struct cye_hub *hub, Cy__EntryReport *report)
{
  struct notice_list list = { g_ptr_array_new (), cye_hub_now (hub) };
  cym_notices_each (hub->notices, list.now, list_notice, &list);
  report->n_notices = list.notices->len;
  report->notices
      = (Cy__ServerNotice **)(void *)g_ptr_array_free (list.notices, FALSE);
}

void
cye_hub_place_clear_notices (Cy__EntryReport *report)
{
  for (size_t i = 0; i < report->n_notices; i++)
    {
      g_free (report->notices[i]->id);
      g_free (report->notices[i]);
    }
  g_free (report->notices);
}

/* ------------------------------------------------------------ local */

static void
copy_server (struct cye_place *place, const struct cym_server *server)
{
  g_strlcpy (place->instance, server->id, sizeof place->instance);
  g_strlcpy (place->host, server->host, sizeof place->host);
  g_strlcpy (place->zone, server->zone, sizeof place->zone);
  place->port = server->port;
  place->incarnation = server->incarnation;
}

static void
set_suspect (struct cye_hub *hub, struct cye_place *place)
{
  const cy_time_ns *timed_out_at
      = g_hash_table_lookup (hub->suspects, place->instance);
  place->suspect_before = timed_out_at == NULL ? 0 : *timed_out_at;
}

static void
on_local_answer (struct cym_request *request, cy_result result)
{
  struct cye_place *place = request->owner;
  struct cye_hub *hub = place->hub;
  place->waited = request->waited;
  place->retry_after_ms = request->retry_after_ms;
  if (result == CY_OK)
    {
      place->placed = true;
      place->expected_ns = request->expected_time;
      copy_server (place, request->server);
      set_suspect (hub, place);
    }
  else
    {
      TAILQ_REMOVE (&hub->local_places, place, entry);
      place->placer = CYE_PLACER_NONE;
    }
  place->on_answer (place, result);
}

static cy_result
place_locally (struct cye_hub *hub, struct cye_place *place)
{
  struct cym_request *request = &place->local_request;
  memset (request, 0, sizeof *request);
  request->service = place->service;
  request->route = place->route;
  request->workspace = place->workspace;
  request->zone = hub->options.identity->zone;
  request->avoid
      = place->avoid_instance[0] != '\0' ? place->avoid_instance : NULL;
  request->rank = place->rank;
  request->route_rank = place->route_rank;
  request->goal_at = place->goal_at;
  request->deadline_at = place->deadline_at;
  request->wait_past_goal = place->hold;
  request->affinity = place->affinity;
  request->is_retry = place->is_retry;
  request->metered = place->metered;
  request->fingerprint = place->fingerprint;
  request->allowed_regions = place->allowed_regions;
  request->allowed_region_count = place->allowed_regions == NULL
                                      ? 0
                                      : g_strv_length (place->allowed_regions);
  request->on_decision = on_local_answer;
  request->owner = place;
  cy_result result = cym_match_place (hub->match, request, cye_hub_now (hub));
  place->waited = 0;
  place->retry_after_ms = request->retry_after_ms;
  if (result != CY_OK && result != CY_E_AGAIN)
    return result;
  place->placer = CYE_PLACER_SELF;
  TAILQ_INSERT_TAIL (&hub->local_places, place, entry);
  if (result == CY_OK)
    {
      place->placed = true;
      place->expected_ns = request->expected_time;
      copy_server (place, request->server);
      set_suspect (hub, place);
    }
  return result;
}

/* ------------------------------------------------------------ control VMs */

static void
send_place_request (struct cye_hub *hub, const struct cye_place *place,
                    bool held)
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
  ask.again = place->is_retry;
  ask.counted = place->counted;
  ask.metered = place->metered;
  ask.work = place->fingerprint;
  ask.avoid = (char *)place->avoid_instance;
  ask.homes = place->allowed_regions;
  ask.n_homes = place->allowed_regions == NULL
                    ? 0
                    : g_strv_length (place->allowed_regions);
  ask.zone = (char *)hub->options.identity->zone;
  ask.request_id
      = (char *)(place->request_id == NULL ? "" : place->request_id);
  ask.held = held;
  if (held)
    {
      ask.instance = (char *)place->instance;
      ask.born = place->incarnation;
    }
  envelope.body_case = CY__ENVELOPE__BODY_PLACE_ASK;
  envelope.place_ask = &ask;
  cyn_conn_send (hub->placer->conn, &envelope);
}

static void
send_place_done (struct cye_link *link, const struct cye_place *place,
                 enum cym_outcome ending, cy_time_ns answer_ns,
                 const struct cym_load *load)
{
  Cy__Envelope envelope = CY__ENVELOPE__INIT;
  Cy__PlaceDone done = CY__PLACE_DONE__INIT;
  if (link == NULL || link->conn == NULL)
    return;
  done.number = place->number;
  done.ending = (uint32_t)ending;
  done.answer_us = (uint32_t)(answer_ns / CY_NS_PER_US);
  done.reset = place->reset;
  if (load != NULL)
    {
      done.loaded = load->known;
      done.running = load->running;
      done.waiting = load->waiting;
      done.slots = load->slots;
      done.cold_ms = load->cold_ms;
      done.leaving = load->leaving;
      done.pause_ms = load->pause_ms;
      done.limited = load->limited;
      done.limit_per_s = load->limit_per_s;
      done.unlimited = load->unlimited;
    }
  envelope.body_case = CY__ENVELOPE__BODY_PLACE_DONE;
  envelope.place_done = &done;
  cyn_conn_send (link->conn, &envelope);
}

static void
remove_open (struct cye_hub *hub, struct cye_place *place)
{
  g_hash_table_remove (hub->by_number, &place->number);
  TAILQ_REMOVE (&hub->control_places, place, entry);
  place->placer = CYE_PLACER_NONE;
}

static struct cym_load
notice_of (const struct cye_hub *hub, const struct cye_place *place)
{
  cy_time_ns now = cye_hub_now (hub);
  struct cym_notice notice
      = cym_notices_get (hub->notices, place->instance, place->incarnation);
  return (struct cym_load){
    .leaving = notice.leaving,
    .pause_ms = (uint32_t)(MAX (notice.paused_until - now, 0) / CY_NS_PER_MS),
  };
}

/* Returns the slot of PLACE at a server that takes no further request of this
   VM, which the placer did not know yet, and requests another one.  */
static void
return_slot (struct cye_hub *hub, struct cye_place *place)
{
  struct cym_load notice = notice_of (hub, place);
  cy_result result = CY_E_NO_ROOM;
  send_place_done (hub->placer, place, CYM_CANCELLED, 0, &notice);
  remove_open (hub, place);
  place->metered = false; /* the placer took the token with the slot */
  if (++place->returned_count <= RETURNED_MAX_COUNT)
    result = cye_hub_acquire (hub, place);
  if (result != CY_E_AGAIN)
    place->on_answer (place, result);
}

void
cye_hub_place_answer (struct cye_hub *hub, const Cy__PlaceAnswer *answer)
{
  struct cye_place *place
      = g_hash_table_lookup (hub->by_number, &answer->number);
  if (place == NULL || place->placed)
    return;
  cy_result result = (cy_result)answer->result;
  place->waited = cye_hub_now (hub) - place->requested_at;
  place->retry_after_ms = answer->retry_after_ms;
  if (result == CY_OK)
    {
      place->placed = true;
      g_strlcpy (place->instance, answer->instance, sizeof place->instance);
      g_strlcpy (place->host, answer->host, sizeof place->host);
      g_strlcpy (place->zone, answer->zone, sizeof place->zone);
      place->port = (uint16_t)answer->port;
      place->incarnation = answer->born;
      place->expected_ns = (cy_time_ns)answer->usual_us * CY_NS_PER_US;
      place->granted_at
          = place->requested_at + answer->waited_ms * CY_NS_PER_MS;
      set_suspect (hub, place);
      if (!cye_hub_may_send (hub, place))
        {
          return_slot (hub, place);
          return;
        }
    }
  else
    remove_open (hub, place);
  if (result == CY_E_POISON_REQUEST)
    cym_poison_block (cym_match_poison (hub->match), place->fingerprint,
                      cye_hub_now (hub) + place->retry_after_ms * CY_NS_PER_MS,
                      cye_hub_now (hub));
  place->on_answer (place, result);
}

cy_time_ns
cye_hub_place_oldest_at (const struct cye_hub *hub)
{
  const struct cye_place *place = NULL;
  TAILQ_FOREACH (place, &hub->control_places, entry)
  {
    if (!place->placed)
      return place->requested_at;
  }
  return 0;
}

/* Places a request again that waited at the former placer.  */
static void
place_again (struct cye_hub *hub, struct cye_place *place)
{
  remove_open (hub, place);
  cy_result result = cye_hub_acquire (hub, place);
  if (result != CY_E_AGAIN)
    place->on_answer (place, result);
}

void
cye_hub_place_reassign (struct cye_hub *hub, struct cye_link *before)
{
  struct cye_places waiting = TAILQ_HEAD_INITIALIZER (waiting);
  struct cye_place *place = NULL;
  struct cye_place *next = NULL;
  for (place = TAILQ_FIRST (&hub->control_places); place != NULL; place = next)
    {
      next = TAILQ_NEXT (place, entry);
      send_place_done (before, place, CYM_CANCELLED, 0, NULL);
      if (place->placed && hub->placer != NULL)
        send_place_request (hub, place, true);
      else if (!place->placed)
        {
          TAILQ_REMOVE (&hub->control_places, place, entry);
          TAILQ_INSERT_TAIL (&waiting, place, entry);
        }
    }
  /* Removed one by one, as the callback of one request may end others.  */
  while ((place = TAILQ_FIRST (&waiting)) != NULL)
    {
      TAILQ_REMOVE (&waiting, place, entry);
      TAILQ_INSERT_TAIL (&hub->control_places, place, entry);
      place_again (hub, place);
    }
}

/* ------------------------------------------------------------ public */

static void
count_local_placement (void)
{
  static struct cyu_metric *metric;
  if (metric == NULL)
    metric = cyu_counter ("cy_entry_placed_own_total", "",
                          "Requests that this VM placed itself.");
  cyu_metric_add (metric, 1);
}

cy_result
cye_hub_acquire (struct cye_hub *hub, struct cye_place *place)
{
  place->hub = hub;
  place->placed = false;
  place->reset = false;
  place->placer = CYE_PLACER_NONE;
  place->waited = 0;
  place->retry_after_ms = 0;
  place->expected_ns = 0;
  place->requested_at = cye_hub_now (hub);
  if (hub->placer == NULL)
    {
      cy_result result = place_locally (hub, place);
      count_local_placement ();
      if (result == CY_E_AGAIN)
        cyn_timer_start (hub->placer_check_timer, 5);
      return result;
    }
  bool first = cye_hub_place_oldest_at (hub) == 0;
  place->placer = CYE_PLACER_CONTROL_VM;
  place->number = ++hub->last_place_number;
  g_hash_table_insert (hub->by_number, &place->number, place);
  TAILQ_INSERT_TAIL (&hub->control_places, place, entry);
  send_place_request (hub, place, false);
  place->counted = true;
  if (first)
    cyn_timer_start (hub->placer_check_timer, CYE_PLACER_CHECK_MS);
  return CY_E_AGAIN;
}

void
cye_hub_cancel (struct cye_hub *hub, struct cye_place *place)
{
  switch (place->placer)
    {
    case CYE_PLACER_NONE:
      return;
    case CYE_PLACER_CONTROL_VM:
      send_place_done (hub->placer, place, CYM_CANCELLED, 0, NULL);
      remove_open (hub, place);
      return;
    case CYE_PLACER_SELF:
      cym_match_cancel (hub->match, &place->local_request);
      TAILQ_REMOVE (&hub->local_places, place, entry);
      place->placer = CYE_PLACER_NONE;
      return;
    }
}

/* Keeps what the end of PLACE, which a control VM placed, shows about a poison
   request, for the time without a control VM.  */
static void
record_poison (struct cye_hub *hub, const struct cye_place *place,
               enum cym_outcome ending)
{
  cy_time_ns now = cye_hub_now (hub);
  const struct cym_poison_end end = { .fingerprint = place->fingerprint,
                                      .id = place->instance,
                                      .incarnation = place->incarnation,
                                      .at = now };
  if (place->reset)
    cym_match_merge_poison (hub->match, &end, now);
  if (ending == CYM_ANSWERED)
    cym_poison_clear (cym_match_poison (hub->match), place->fingerprint, NULL,
                      now);
}

static void
mark_suspect (struct cye_hub *hub, const struct cye_place *place)
{
  cy_time_ns *timed_out_at = g_new (cy_time_ns, 1);
  *timed_out_at = cye_hub_now (hub);
  g_hash_table_replace (hub->suspects, g_strdup (place->instance),
                        timed_out_at);
}

void
cye_hub_release (struct cye_hub *hub, struct cye_place *place,
                 enum cym_outcome ending, cy_time_ns answer_ns,
                 const struct cym_load *load, bool timed_out)
{
  if (timed_out)
    mark_suspect (hub, place);
  switch (place->placer)
    {
    case CYE_PLACER_NONE:
      return;
    case CYE_PLACER_CONTROL_VM:
      send_place_done (hub->placer, place, ending, answer_ns, load);
      record_poison (hub, place, ending);
      remove_open (hub, place);
      break;
    case CYE_PLACER_SELF:
      TAILQ_REMOVE (&hub->local_places, place, entry);
      place->placer = CYE_PLACER_NONE;
      place->local_request.reset = place->reset;
      cym_match_finish (hub->match, &place->local_request, ending, answer_ns,
                        load, cye_hub_now (hub));
      break;
    }
  place->placed = false;
}

/* ------------------------------------------------------------ updates */

static bool
is_drained (const struct cye_hub *hub, const char *zone)
{
  for (guint i = 0; i < hub->drained_zones->len; i++)
    if (strcmp (g_ptr_array_index (hub->drained_zones, i), zone) == 0)
      return true;
  return false;
}

static void
put_instance (struct cye_hub *hub, const struct cyc_instance *instance,
              cy_time_ns now)
{
  const Cy__Instance *source = instance->info;
  const char *region
      = cyc_topology_region (hub->options.topology, source->zone);
  if (source->gone || region == NULL)
    return;
  struct cym_server_info info = {
    .id = source->id,
    .service = source->service,
    .host = source->host,
    .port = (uint16_t)source->port,
    .zone = source->zone,
    .region = region,
    .incarnation = source->born,
    .slots = source->slots,
    .draining
    = source->draining || source->leaving || is_drained (hub, source->zone),
    .cold_ms = cyc_instance_cold_ms (instance, now),
    .reported_at = INT64_MAX, /* renewals stay with the control VMs */
    .contested = cyc_register_rival (instance, hub->document) != NULL,
  };
  cym_match_put_server (hub->match, &info, now);
}

void
cye_hub_place_update (struct cye_hub *hub)
{
  cy_time_ns now = cye_hub_now (hub);
  const struct cyc_instance *instance = NULL;
  double share = 1.0 / MAX (hub->region_entries, 1);
  cym_match_set_share (hub->match, share);
  cym_quota_set_share (
      hub->quota,
      share / (double)cyc_topology_region_count (hub->options.topology), now);
  for (guint i = 0; hub->document != NULL && i < hub->document->services->len;
       i++)
    {
      const struct cyi_service *service
          = g_ptr_array_index (hub->document->services, i);
      cym_match_declare_service (hub->match, service->name,
                                 service->cold_per_s, service->cold_ms);
    }
  cym_match_begin_update (hub->match);
  CK_LIST_FOREACH (instance, cyc_register_instances (hub->server_register),
                   entry)
  {
    put_instance (hub, instance, now);
  }
  cym_match_end_update (hub->match, now);
}

/* ------------------------------------------------------------ lifetime */

static void
log_poison (const struct cym_poison_change *change, void *context)
{
  const struct cym_request *request = change->cause;
  const struct cye_place *place = request == NULL ? NULL : request->owner;
  const struct cyu_poison_event event = {
    .fingerprint = change->fingerprint,
    .was_blocked = change->before == CYM_POISON_BLOCKED,
    .is_blocked = change->after == CYM_POISON_BLOCKED,
    .is_suspect = change->after == CYM_POISON_SUSPECT,
    .servers = change->servers,
    .blocked_ms = change->blocked_time / CY_NS_PER_MS,
    .request_id = place == NULL ? NULL : place->request_id,
  };
  (void)context;
  /* What a control VM placed is in that VM's log.  */
  if (request != NULL)
    cyu_event_poison (&event);
}

void
cye_hub_place_create (struct cye_hub *hub)
{
  struct cym_options options = {
    .on_poison = log_poison,
    .region = hub->options.region,
    .random = hub->options.random,
    /* The retry budget is counted over the fleet: without a control VM no
       retry is granted.  */
    .limits = { .retries = { .window = 10 * CY_NS_PER_S } },
  };
  hub->notices = cym_notices_create ();
  hub->quota = cym_quota_create ();
  cym_quota_attach (hub->quota, &options);
  hub->match = cym_match_create (&options);
  hub->by_number = g_hash_table_new (g_int64_hash, g_int64_equal);
  hub->suspects
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  TAILQ_INIT (&hub->control_places);
  TAILQ_INIT (&hub->local_places);
}

void
cye_hub_place_destroy (struct cye_hub *hub)
{
  g_hash_table_destroy (hub->by_number);
  g_hash_table_destroy (hub->suspects);
  cym_match_destroy (hub->match);
  cym_quota_destroy (hub->quota);
  cym_notices_destroy (hub->notices);
}

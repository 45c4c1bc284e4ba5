/* Places the requests of entry VMs at backend servers with the matcher of the
   region.  */

#include <inttypes.h>
#include <jansson.h>
#include <string.h>

#include "base/cyu_log.h"
#include "base/cyu_metrics.h"
#include "base/cyu_server_events.h"
#include "core/cy_copy.h"
#include "hub/cyc_internal.h"

/* Interval between two checks while requests wait, ms.  */
#define QUEUE_CHECK_MS 20

/* Time after the deadline for which a placed request counts as in flight when
   its end was not reported, ms.  */
#define ORPHAN_GRACE_MS 500

/* Time without a message after which an attached entry VM does not count
   towards the share of this placer, ms.  */
#define ENTRY_SILENCE_MS 1500

/* Request of an entry VM, from its arrival to its end.  */
struct cyc_job
{
  CK_LIST_ENTRY (cyc_job) entry;
  struct cym_request request; /* texts point into MESSAGE */
  struct cyc_hub *hub;
  struct cyc_child *child; /* NULL: the entry VM has disconnected */
  uint64_t number;         /* of the request, unique for CHILD */
  Cy__PlaceAsk *message;
  cy_time_ns expires_at; /* time at which a placed request is dropped */
  bool has_ended;        /* to be freed, see keeps_jobs of struct cyc_hub */
};

/* ------------------------------------------------------------ jobs */

static void
job_free (struct cyc_job *job)
{
  if (job->child != NULL)
    g_hash_table_remove (job->child->jobs, &job->number);
  CK_LIST_REMOVE (job, entry);
  cy__place_ask__free_unpacked (job->message, NULL);
  g_free (job);
}

const char *
cyc_dispatch_request_id (const struct cym_request *request)
{
  const struct cyc_job *job = request->owner;
  return job->message->request_id;
}

static void
send_answer (struct cyc_job *job, cy_result result)
{
  Cy__Envelope envelope = CY__ENVELOPE__INIT;
  Cy__PlaceAnswer answer = CY__PLACE_ANSWER__INIT;
  const struct cym_server *server = job->request.server;
  if (job->child == NULL)
    return;
  answer.number = job->number;
  answer.result = (uint32_t)result;
  answer.retry_after_ms = job->request.retry_after_ms;
  answer.waited_ms = (uint32_t)(job->request.waited / CY_NS_PER_MS);
  if (result == CY_OK)
    {
      answer.instance = (char *)server->id;
      answer.born = server->incarnation;
      answer.host = (char *)server->host;
      answer.port = server->port;
      answer.zone = (char *)server->zone;
      answer.usual_us = (uint32_t)(job->request.expected_time / CY_NS_PER_US);
    }
  envelope.body_case = CY__ENVELOPE__BODY_PLACE_ANSWER;
  envelope.place_answer = &answer;
  cyn_conn_send (job->child->conn, &envelope);
}

static void
count_decision (cy_result result)
{
  static struct cyu_metric *placed;
  if (result != CY_OK)
    {
      char *labels
          = g_strdup_printf ("reason=\"%s\"", cy_result_name (result));
      cyu_metric_add (cyu_counter ("cy_hub_refused_total", labels,
                                   "Requests that were not placed."),
                      1);
      g_free (labels);
      return;
    }
  if (placed == NULL)
    placed = cyu_counter ("cy_hub_placed_total", "",
                          "Requests placed at a backend server.");
  cyu_metric_add (placed, 1);
}

/* Counts a decision in METRIC under LABEL, a route or a workspace.  */
static void
count_decision_by (const char *metric, const char *label, const char *value,
                   cy_result result)
{
  GString *labels = g_string_new (NULL);
  GString *overflow = g_string_new (NULL);
  cyu_label_append (labels, label, value);
  cyu_label_append (labels, "result", cy_result_name (result));
  cyu_label_append (overflow, label, "others");
  cyu_label_append (overflow, "result", cy_result_name (result));
  cyu_metric_add (cyu_counter_bounded (metric, labels->str, overflow->str,
                                       "Decisions on requests."),
                  1);
  g_string_free (labels, TRUE);
  g_string_free (overflow, TRUE);
}

/* Logs a decision with the load of the requested service at the time of the
   decision.  */
static void
log_decision (const struct cyc_job *job, cy_result result)
{
  const struct cyc_hub *hub = job->hub;
  const struct cym_request *request = &job->request;
  const struct cym_server *server = request->server;
  enum cyu_event_class weight = result == CY_OK ? CYU_DETAIL : CYU_FAULT;
  const char *event = result == CY_OK ? "placed" : "refused";
  cy_time_ns now = cyc_now (hub);
  struct cym_occupancy room;
  if (!cyu_event_wanted (weight, event))
    return;
  cym_match_get_occupancy (hub->match, request->service, now, &room);
  json_t *details
      = result == CY_OK
            ? json_pack ("{ss sI si si si sb}", "instance", server->id, "born",
                         (json_int_t)server->incarnation, "in_flight",
                         (int)server->in_flight, "slots", (int)server->slots,
                         "elsewhere", (int)server->others_in_flight, "cold",
                         server->cold_until > now)
            : json_pack (
                "{si sI}", "retry_after_ms", (int)request->retry_after_ms,
                "goal_left_ms",
                (json_int_t)((request->goal_at - now) / CY_NS_PER_MS));
  cyu_event (weight, event, "{ss ss ss ss ss ss si si si si si si sI sb so}",
             "id", job->message->request_id, "entry_vm",
             job->child == NULL ? "" : job->child->vm, "workspace",
             request->workspace, "route", request->route, "service",
             request->service, "result", cy_result_name (result), "waited_ms",
             (int)(request->waited / CY_NS_PER_MS), "rank", (int)request->rank,
             "servers", (int)room.servers, "slots", (int)room.slots,
             "in_flight", (int)room.in_flight, "waiting", (int)room.waiting,
             "declaration",
             (json_int_t)(hub->document == NULL ? 0 : hub->document->number),
             "again", request->is_retry, "decided_by", details);
}

static void
report_decision (struct cyc_job *job, cy_result result)
{
  static struct cyu_metric *wait_time;
  if (wait_time == NULL)
    wait_time = cyu_histogram ("cy_hub_waiting_seconds", "",
                               "time that requests waited for a place");
  cyu_metric_record_time (wait_time, job->request.waited / CY_NS_PER_US);
  log_decision (job, result);
  count_decision (result);
  count_decision_by ("cy_hub_route_decisions_total", "route",
                     job->request.route, result);
  count_decision_by ("cy_hub_workspace_decisions_total", "workspace",
                     job->request.workspace, result);
  send_answer (job, result);
  if (result != CY_OK && job->hub->keeps_jobs)
    job->has_ended = true;
  else if (result != CY_OK)
    job_free (job);
}

static void
on_decided (struct cym_request *request, cy_result result)
{
  report_decision (request->owner, result);
}

/* ------------------------------------------------------------ messages */

static void
schedule_tick (struct cyc_hub *hub)
{
  cy_time_ns next = cym_match_next_tick (hub->match);
  if (next == INT64_MAX)
    {
      cyn_timer_stop (hub->match_timer);
      return;
    }
  int64_t wait_ms = (next - cyc_now (hub)) / CY_NS_PER_MS + 1;
  cyn_timer_start (hub->match_timer, CLAMP (wait_ms, 1, QUEUE_CHECK_MS));
}

static void
tick_due (void *context)
{
  struct cyc_hub *hub = context;
  cym_match_tick (hub->match, cyc_now (hub));
  schedule_tick (hub);
}

static struct cyc_job *
job_create (struct cyc_hub *hub, struct cyc_child *child,
            const Cy__PlaceAsk *message, cy_time_ns now)
{
  struct cyc_job *job = g_new0 (struct cyc_job, 1);
  job->hub = hub;
  job->child = child;
  job->number = message->number;
  job->message = cy_copy (message);
  const Cy__PlaceAsk *copy = job->message;
  job->request.service = copy->service;
  job->request.route = copy->route;
  job->request.workspace = copy->workspace;
  job->request.zone = copy->zone;
  job->request.entry_vm = child->vm_hash;
  job->request.avoid = copy->avoid[0] != '\0' ? copy->avoid : NULL;
  job->request.rank = copy->rank;
  job->request.route_rank = copy->route_rank;
  job->request.goal_at = now + copy->goal_ms * CY_NS_PER_MS;
  job->request.deadline_at = now + copy->deadline_ms * CY_NS_PER_MS;
  job->request.wait_past_goal = copy->hold_ms * CY_NS_PER_MS;
  job->request.affinity = copy->affinity;
  job->request.is_retry = copy->again;
  job->request.counted = copy->counted;
  job->request.metered = copy->metered;
  job->request.fingerprint = copy->work;
  job->request.allowed_regions = copy->homes;
  job->request.allowed_region_count = copy->n_homes;
  job->request.on_decision = on_decided;
  job->request.owner = job;
  job->expires_at = job->request.deadline_at + ORPHAN_GRACE_MS * CY_NS_PER_MS;
  CK_LIST_INSERT_HEAD (&hub->jobs, job, entry);
  g_hash_table_insert (child->jobs, &job->number, job);
  return job;
}

void
cyc_dispatch_place (struct cyc_hub *hub, struct cyc_child *child,
                    const Cy__PlaceAsk *message)
{
  cy_time_ns now = cyc_now (hub);
  if (g_hash_table_lookup (child->jobs, &message->number) != NULL)
    return;
  struct cyc_job *job = job_create (hub, child, message, now);
  if (message->held)
    {
      if (!cym_match_adopt (hub->match, &job->request, message->instance,
                            message->born, now))
        job_free (job);
      return;
    }
  cy_result result = cym_match_place (hub->match, &job->request, now);
  if (result != CY_E_AGAIN)
    report_decision (job, result);
  else
    schedule_tick (hub);
}

/* Logs that the end of a request ejected SERVER or ended its trial after an
   ejection.  */
static void
log_health (const struct cym_server *server, bool was_returning,
            cy_time_ns ejected_before, uint32_t outcome, cy_time_ns now)
{
  if (server->ejected_until > ejected_before)
    cyu_event (CYU_CHANGE, "server_ejected", "{ss ss sI si si sf sI}",
               "instance", server->id, "host", server->host, "born",
               (json_int_t)server->incarnation, "ending", (int)outcome,
               "failures_in_a_row", (int)server->consecutive_failures,
               "error_share", server->error_ratio, "for_ms",
               (json_int_t)((server->ejected_until - now) / CY_NS_PER_MS));
  else if (was_returning && !server->on_probation)
    cyu_event (CYU_CHANGE, "server_returned", "{ss sI}", "instance",
               server->id, "born", (json_int_t)server->incarnation);
}

void
cyc_dispatch_finish (struct cyc_hub *hub, struct cyc_child *child,
                     const Cy__PlaceDone *done)
{
  struct cyc_job *job = g_hash_table_lookup (child->jobs, &done->number);
  if (job == NULL)
    return;
  struct cym_load load = cyc_notices_read (done);
  enum cym_outcome outcome = done->ending <= CYM_CANCELLED
                                 ? (enum cym_outcome)done->ending
                                 : CYM_CANCELLED;
  const struct cym_server *server = job->request.server;
  if (server != NULL && load.leaving)
    cyc_notices_mark_leaving (hub, child, server->id, server->incarnation);
  if (server != NULL)
    {
      bool was_returning = server->on_probation;
      cy_time_ns ejected_before = server->ejected_until;
      double limit_before = server->limit.per_s;
      job->request.reset = done->reset;
      cym_match_finish (hub->match, &job->request, outcome,
                        (cy_time_ns)done->answer_us * CY_NS_PER_US, &load,
                        cyc_now (hub));
      if (outcome == CYM_WRONG_SERVER)
        hub->reports_needed_until
            = cyc_now (hub) + CYC_INSTANCE_EXPIRY_MS * CY_NS_PER_MS;
      log_health (server, was_returning, ejected_before, done->ending,
                  cyc_now (hub));
      cyc_poison_schedule (hub);
      if (server->limit.per_s < limit_before
          || server->limit.per_s > limit_before)
        cyu_event_server_limit (server->id, server->incarnation,
                                server->limit.per_s, NULL);
    }
  else
    cym_match_cancel (hub->match, &job->request);
  job_free (job);
}

void
cyc_dispatch_disconnect (struct cyc_hub *hub, struct cyc_child *child)
{
  struct cyc_job *job = NULL;
  struct cyc_job *next = NULL;
  CK_LIST_FOREACH_SAFE (job, &hub->jobs, entry, next)
  {
    if (job->child != child)
      continue;
    g_hash_table_remove (child->jobs, &job->number);
    job->child = NULL;
    if (job->request.server == NULL)
      {
        cym_match_cancel (hub->match, &job->request);
        job_free (job);
      }
  }
}

/* ------------------------------------------------------------ register */

static uint32_t
get_cold_ms (const struct cyc_hub *hub, const struct cyc_instance *instance,
             cy_time_ns now)
{
  cy_time_ns zone_until = cyc_log_cold_until (hub, instance->info->zone);
  uint32_t zone_ms
      = zone_until > now ? (uint32_t)((zone_until - now) / CY_NS_PER_MS) : 0;
  return MAX (cyc_instance_cold_ms (instance, now), zone_ms);
}

static void
put_server (struct cyc_hub *hub, const struct cyc_instance *instance,
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
    .draining = source->draining || source->leaving
                || cyc_log_is_drained (hub, source->zone),
    .cold_ms = get_cold_ms (hub, instance, now),
    .reported_at = instance->last_received,
    .contested = cyc_register_rival (instance, hub->document) != NULL,
  };
  cym_match_put_server (hub->match, &info, now);
}

void
cyc_dispatch_update_servers (struct cyc_hub *hub)
{
  cy_time_ns now = cyc_now (hub);
  const struct cyc_instance *instance = NULL;
  for (guint i = 0; hub->document != NULL && i < hub->document->services->len;
       i++)
    {
      const struct cyi_service *service
          = g_ptr_array_index (hub->document->services, i);
      cym_match_declare_service (hub->match, service->name,
                                 service->cold_per_s, service->cold_ms);
    }
  cym_match_begin_update (hub->match);
  CK_LIST_FOREACH (instance, cyc_register_instances (hub->reg), entry)
  {
    put_server (hub, instance, now);
  }
  cym_match_end_update (hub->match, now);
  schedule_tick (hub);
}

/* ------------------------------------------------------------ share */

void
cyc_dispatch_update_share (struct cyc_hub *hub)
{
  cy_time_ns now = cyc_now (hub);
  const struct cyc_child *child = NULL;
  const struct cyc_entry *vm = NULL;
  unsigned vm_count = 0;
  unsigned attached_count = 0;
  CK_LIST_FOREACH (vm, cyc_register_entries (hub->reg), entry)
  {
    vm_count += strcmp (vm->info->region, hub->options.region) == 0;
  }
  CK_LIST_FOREACH (child, &hub->children, entry)
  {
    bool live = now - child->last_received < ENTRY_SILENCE_MS * CY_NS_PER_MS;
    attached_count += child->document_schedule.attached && live
                      && strcmp (child->region, hub->options.region) == 0;
  }
  hub->region_entries = vm_count;
  hub->attached_entries = attached_count;
  double share
      = vm_count == 0 ? 0 : MIN ((double)attached_count / vm_count, 1);
  cym_match_set_share (hub->match, share);
  cym_quota_set_share (
      hub->quota,
      share / (double)cyc_topology_region_count (hub->options.topology), now);
}

/* Drops placed requests whose end was not reported in time, and so frees their
   slots.  A free slot may end waiting requests, also the next one of the list:
   they are freed afterwards.  */
static void
drop_orphans (struct cyc_hub *hub, cy_time_ns now)
{
  struct cyc_job *job = NULL;
  struct cyc_job *next = NULL;
  struct cym_load load = { 0 };
  hub->keeps_jobs = true;
  CK_LIST_FOREACH (job, &hub->jobs, entry)
  {
    if (now < job->expires_at || job->request.queued || job->has_ended)
      continue;
    cym_match_finish (hub->match, &job->request, CYM_CANCELLED, 0, &load, now);
    job->has_ended = true;
  }
  hub->keeps_jobs = false;
  CK_LIST_FOREACH_SAFE (job, &hub->jobs, entry, next)
  {
    if (job->has_ended)
      job_free (job);
  }
}

void
cyc_dispatch_heartbeat (struct cyc_hub *hub)
{
  cyc_dispatch_update_share (hub);
  if (cyc_now (hub) < hub->reports_needed_until)
    cyc_dispatch_update_servers (hub);
  cyc_notices_heartbeat (hub);
  drop_orphans (hub, cyc_now (hub));
}

/* ------------------------------------------------------------ lifecycle */

void
cyc_dispatch_create (struct cyc_hub *hub)
{
  struct cym_options options = {
    .region = hub->options.region,
    .random = hub->options.random,
    .limits = hub->options.limits,
  };
  hub->quota = cym_quota_create ();
  cyc_poison_attach (hub, &options);
  cym_quota_attach (hub->quota, &options);
  hub->match = cym_match_create (&options);
  hub->match_timer = cyn_timer_create (hub->options.loop, tick_due, hub);
  CK_LIST_INIT (&hub->jobs);
}

void
cyc_dispatch_destroy (struct cyc_hub *hub)
{
  struct cyc_job *job = NULL;
  struct cyc_job *next = NULL;
  CK_LIST_FOREACH_SAFE (job, &hub->jobs, entry, next)
  {
    cym_match_cancel (hub->match, &job->request);
    job_free (job);
  }
  cyn_timer_destroy (hub->match_timer);
  cym_match_destroy (hub->match);
  cym_quota_destroy (hub->quota);
}

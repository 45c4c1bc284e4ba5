#include "entry/cye_entry.h"

#include <ck_pr.h>
#include <glib.h>
#include <inttypes.h>
#include <unistd.h>

#include "base/cy_system.h"
#include "base/cyu_log.h"
#include "base/cyu_metrics.h"
#include "entry/cye_health.h"
#include "entry/cye_shared.h"
#include "entry/cye_worker.h"
#include "http/cyh_server.h"

#define CYE_REPORT_MS 1000 /* ms between reports of this VM */

/* ms between slot requests: while slot credits are held, while none is held,
   and while requests wait for a slot.  */
#define CYE_SLOT_REQUEST_MS      200
#define CYE_SLOT_REQUEST_IDLE_MS 600
#define CYE_SLOT_REQUEST_NEED_MS 2

/* ms until an unanswered slot request counts as lost.  */
#define CYE_SLOT_REQUEST_TIMEOUT_MS 500

/* ms until the lookups of all entry VMs exclude a VM that leaves.  */
#define CYE_LEAVE_PROPAGATION_MS 1500

/* ms without an open request that end a planned stop.  */
#define CYE_LEAVE_IDLE_MS 200

/* ms, longest wait for open requests in a planned stop.  */
#define CYE_LEAVE_MAX_MS 60000

/* Time to send the answers to the requests that are open then, ms.  */
#define CYE_LEAVE_ANSWERS_MS 200

#define CYE_WORKERS_MAX 32 /* worker threads */

struct cye_entry
{
  struct cye_entry_options options;
  struct cye_shared shared;
  struct cye_worker *workers[CYE_WORKERS_MAX];
  struct cye_health *health;
  struct cyn_timer *tick;
  struct cyn_timer *report_timer;
  int listen_fd;
  uint16_t port;
  bool reported_ready;
  uint64_t view_version; /* declared state of the access view in force */

  /* Slot credits are requested from the zone process, with one request in
     flight at a time.  */
  uint64_t request_number;
  bool request_pending;    /* a slot request is unanswered */
  cy_time_ns requested_at; /* time of the last slot request, 0: none */
  int needs_slots;         /* atomic: 1 when the next slot request is urgent:
                              requests wait, or credits were lowered */

  /* Planned stop.  */
  cyn_callback stopped; /* NULL: no stop is under way */
  void *stopped_context;
  cy_time_ns leave_after; /* earliest end: cached lookups have expired */
  cy_time_ns leave_until; /* latest end */
  cy_time_ns idle_since;  /* no request has been open from then on */
};

static cy_time_ns
now_of (const struct cye_entry *entry)
{
  return cy_clock_now (entry->shared.clock);
}

/* ------------------------------------------------------------ the agent */

static void
on_view (const struct cys_state *state, const struct cyt_soft_state *soft,
         void *context)
{
  struct cye_entry *entry = context;
  struct cye_shared *shared = &entry->shared;
  struct cye_reader *reader = NULL;
  if (cys_state_version (state) != entry->view_version)
    {
      entry->view_version = cys_state_version (state);
      cye_access_view_replace (shared->access_view, cya_access_create (state));
    }
  const struct cya_access *access
      = cye_access_view_enter (shared->access_view, &reader);
  cye_slots_update (shared->slots, access, soft);
  cye_epoch_leave (reader);
  cye_lookup_update (shared->lookup, state, soft);
}

static void on_tick (void *context);

static void
on_message (const Cy__Envelope *message, void *context)
{
  struct cye_entry *entry = context;
  if (message->body_case != CY__ENVELOPE__BODY_SLOT_ANSWER)
    return;
  if (message->request == entry->request_number)
    entry->request_pending = false;
  if (cye_slots_apply_answer (entry->shared.slots, message->request,
                              message->slot_answer))
    {
      ck_pr_store_int (&entry->needs_slots, 1);
      on_tick (entry);
    }
}

static void
on_link (bool open, void *context)
{
  struct cye_entry *entry = context;
  entry->request_pending = false;
  if (open)
    entry->requested_at = 0;
}

/* Sends a slot request to the zone process when the interval that applies has
   passed, shortest while requests wait for a slot.  */
static void
request_slots (struct cye_entry *entry)
{
  cy_time_ns elapsed = now_of (entry) - entry->requested_at;
  bool is_urgent = ck_pr_load_int (&entry->needs_slots) != 0
                   || cye_slots_has_waiting (entry->shared.slots);
  if (entry->request_pending
      && elapsed < CYE_SLOT_REQUEST_TIMEOUT_MS * CY_NS_PER_MS)
    return;
  if (elapsed < (is_urgent ? CYE_SLOT_REQUEST_NEED_MS : CYE_SLOT_REQUEST_MS)
                    * CY_NS_PER_MS)
    return;
  if (!is_urgent && elapsed < CYE_SLOT_REQUEST_IDLE_MS * CY_NS_PER_MS
      && !cye_slots_has_changes (entry->shared.slots))
    return;
  Cy__SlotAsk ask;
  ck_pr_store_int (&entry->needs_slots, 0);
  cye_slots_fill_request (entry->shared.slots, ++entry->request_number, &ask);
  Cy__Envelope envelope = CY__ENVELOPE__INIT;
  envelope.request = entry->request_number;
  envelope.body_case = CY__ENVELOPE__BODY_SLOT_ASK;
  envelope.slot_ask = &ask;
  entry->request_pending
      = cye_agent_send (entry->shared.agent, &envelope) == CY_OK;
  entry->requested_at = now_of (entry);
  cye_slots_clear_request (&ask);
}

/* Wakes the loop when a request waits for a slot, once for each slot request.
   Any thread.  */
static void
on_wait (void *context)
{
  struct cye_entry *entry = context;
  if (ck_pr_fas_int (&entry->needs_slots, 1) == 0)
    cyn_loop_post (entry->options.loop, on_tick, entry);
}

/* ------------------------------------------------------------ reports */

static void
report_entry (struct cye_entry *entry)
{
  Cy__EntryStatus status = CY__ENTRY_STATUS__INIT;
  Cy__Object object = CY__OBJECT__INIT;
  char *key = g_strdup_printf ("entry/%s", entry->shared.vm);
  status.vm = (char *)entry->shared.vm;
  status.zone = (char *)entry->shared.zone;
  status.host = (char *)entry->options.host;
  status.http_port = entry->port;
  status.state
      = ck_pr_load_int (&entry->shared.leaving) ? "leaving" : "serving";
  status.requests_per_s = cye_time_split_rate (entry->shared.split);
  status.in_flight = (double)(int64_t)ck_pr_load_64 (
      (uint64_t *)&entry->shared.open_requests);
  object.key = key;
  object.body_case = CY__OBJECT__BODY_ENTRY;
  object.entry = &status;
  cye_agent_report (entry->shared.agent, &object);
  g_free (key);
}

static void
send_reports (void *context)
{
  struct cye_entry *entry = context;
  struct cye_shared *shared = &entry->shared;
  Cy__Object *object = cye_time_split_collect (
      shared->split, shared->vm, cy_clock_unix_ms (shared->clock),
      CYE_REPORT_MS, shared->slots);
  cye_agent_report (shared->agent, object);
  cy__object__free_unpacked (object, NULL);
  report_entry (entry);
  cyn_timer_start (entry->report_timer, CYE_REPORT_MS);
}

/* ------------------------------------------------------------ planned stop */

static void
check_leave (struct cye_entry *entry)
{
  cy_time_ns now = now_of (entry);
  if (entry->stopped == NULL || now < entry->leave_after)
    return;
  if (ck_pr_load_64 ((uint64_t *)&entry->shared.open_requests) != 0)
    entry->idle_since = now;
  if (now - entry->idle_since < CYE_LEAVE_IDLE_MS * CY_NS_PER_MS
      && now < entry->leave_until + CYE_LEAVE_ANSWERS_MS * CY_NS_PER_MS)
    return;
  cyn_callback stopped = entry->stopped;
  entry->stopped = NULL;
  stopped (entry->stopped_context);
}

static uint32_t
lookup_ttl_ms (struct cye_entry *entry)
{
  struct cye_reader *reader = NULL;
  const struct cya_access *access
      = cye_access_view_enter (entry->shared.access_view, &reader);
  uint32_t ttl = cya_access_limits (access)->lookup_ttl_ms;
  cye_epoch_leave (reader);
  return ttl;
}

void
cye_entry_leave (struct cye_entry *entry, cyn_callback stopped, void *context)
{
  cy_time_ns now = now_of (entry);
  if (entry->stopped != NULL)
    {
      entry->leave_after = now;
      return;
    }
  int64_t wait_ms = (int64_t)lookup_ttl_ms (entry) + CYE_LEAVE_PROPAGATION_MS;
  cyu_log (G_LOG_LEVEL_INFO,
           "planned stop: continues to serve for %" PRId64 " ms", wait_ms);
  ck_pr_store_int (&entry->shared.leaving, 1);
  report_entry (entry);
  entry->stopped = stopped;
  entry->stopped_context = context;
  entry->leave_after = now + wait_ms * CY_NS_PER_MS;
  entry->leave_until = entry->leave_after + CYE_LEAVE_MAX_MS * CY_NS_PER_MS;
  entry->idle_since = entry->leave_after;
  ck_pr_store_64 ((uint64_t *)&entry->shared.leave_answers_at,
                  (uint64_t)entry->leave_until);
}

/* ------------------------------------------------------------ life cycle */

static void
check_ready (struct cye_entry *entry)
{
  if (entry->reported_ready
      || cye_agent_confirmation_age (entry->shared.agent) == INT64_MAX)
    return;
  entry->reported_ready = true;
  entry->options.on_ready (entry->options.context);
}

static void
on_tick (void *context)
{
  struct cye_entry *entry = context;
  cye_slots_tick (entry->shared.slots);
  request_slots (entry);
  check_ready (entry);
  check_leave (entry);
  bool is_urgent = ck_pr_load_int (&entry->needs_slots) != 0
                   || cye_slots_has_waiting (entry->shared.slots);
  cyn_timer_start (entry->tick,
                   is_urgent ? CYE_SLOTS_TICK_MS : CYE_SLOTS_IDLE_TICK_MS);
}

static void
create_shared (struct cye_entry *entry)
{
  const struct cye_entry_options *options = &entry->options;
  struct cye_shared *shared = &entry->shared;
  shared->layout = CYE_TREE;
  shared->names = &cye_native_names;
  shared->clock = cy_system_clock ();
  shared->budget.milli_retries = (int64_t)CYE_BUDGET_MAX * CYE_BUDGET_ONE;
  shared->vm = options->identity->name;
  shared->zone = options->identity->zone;
  shared->access_view = cye_access_view_create ();
  shared->lookup = cye_lookup_create (shared->zone, options->region,
                                      shared->clock, cy_system_random ());
  shared->split = cye_time_split_create (shared->zone);
  shared->announce = cye_announce_create (shared->zone, shared->clock);
  struct cye_slots_options slots = { .clock = shared->clock,
                                     .random = cy_system_random (),
                                     .zone = shared->zone,
                                     .uses_credits = true,
                                     .on_wait = on_wait,
                                     .context = entry };
  shared->slots = cye_slots_create (&slots);
  struct cye_agent_options agent = { .loop = options->loop,
                                     .identity = options->identity,
                                     .zones = options->zones,
                                     .events = { .on_view = on_view,
                                                 .on_message = on_message,
                                                 .on_link = on_link,
                                                 .context = entry } };
  shared->agent = cye_agent_create (&agent);
}

cy_result
cye_entry_create (const struct cye_entry_options *options,
                  struct cye_entry **out)
{
  struct cye_entry *entry = g_new0 (struct cye_entry, 1);
  entry->options = *options;
  entry->listen_fd = -1;
  cy_result result = cyh_listen (options->host, options->http_port,
                                 &entry->listen_fd, &entry->port);
  if (result != CY_OK)
    goto fail;
  create_shared (entry);
  for (unsigned i = 0; i < options->workers && i < CYE_WORKERS_MAX; i++)
    {
      result = cye_worker_create (&entry->shared, NULL, entry->listen_fd, i,
                                  &entry->workers[i]);
      if (result != CY_OK)
        goto fail;
    }
  entry->health = cye_health_create (options->loop, entry->shared.slots);
  entry->tick = cyn_timer_create (options->loop, on_tick, entry);
  entry->report_timer = cyn_timer_create (options->loop, send_reports, entry);
  cyn_timer_start (entry->tick, CYE_SLOTS_TICK_MS);
  cyn_timer_start (entry->report_timer, 0);
  *out = entry;
  return CY_OK;
fail:
  cye_entry_destroy (entry);
  return result;
}

void
cye_entry_destroy (struct cye_entry *entry)
{
  if (entry == NULL)
    return;
  cyn_timer_destroy (entry->tick);
  cyn_timer_destroy (entry->report_timer);
  for (unsigned i = 0; i < CYE_WORKERS_MAX; i++)
    cye_worker_destroy (entry->workers[i]);
  cye_health_destroy (entry->health);
  cye_agent_destroy (entry->shared.agent);
  cye_slots_destroy (entry->shared.slots);
  cye_announce_destroy (entry->shared.announce);
  cye_time_split_destroy (entry->shared.split);
  cye_lookup_destroy (entry->shared.lookup);
  cye_access_view_destroy (entry->shared.access_view);
  if (entry->listen_fd >= 0)
    close (entry->listen_fd);
  g_free (entry);
}

uint16_t
cye_entry_port (const struct cye_entry *entry)
{
  return entry->port;
}

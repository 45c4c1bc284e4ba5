#include "entry/cye_request_internal.h"

#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <string.h>
#include <strings.h>
#include <xxhash.h>

#include "base/cyu_log.h"
#include "base/cyu_metrics.h"
#include "entry/cye_answer_timeout.h"

#define CYE_ATTEMPTS_MAX   4 /* attempts per request in the tree layout */
#define CYE_ATTEMPT_MIN_MS 2 /* no attempt starts with less time left */

/* Time for which neither a request's body nor its answer has moved, ms, before
   the rest of the body is given up.  */
#define CYE_STALLED_MS 500

/* Time for which the grant of a retry is valid, ms; see send_by.  */
#define CYE_RETRY_GRANT_MS 400

/* s that a persistent connection may have been idle before it is reused in the
   hub layout: for idempotent requests, and for requests that must not be sent
   twice.  */
#define CYE_HUB_IDLE_MAX_S      7
#define CYE_HUB_IDLE_ONCE_MAX_S 2

/* ------------------------------------------------------------ starting */

static void
on_change (void *context)
{
  struct cye_request *request = context;
  cye_worker_schedule (request->worker, request);
}

static bool
accepts_answer (const struct cye_answer_head *head, void *context)
{
  return cye_check_answer (context, head) == CYE_ANSWER_SOUND;
}

static bool
may_send (void *context)
{
  return cye_place_may_send (context) && cye_request_may_pass_on (context);
}

static void
add_line (struct cye_request *request, const char *name, const char *value)
{
  char *line = g_strconcat (name, ": ", value, NULL);
  request->call_headers = curl_slist_append (request->call_headers, line);
  g_free (line);
}

static bool
has_header (const struct cye_request *request, const char *name)
{
  size_t length = strlen (name);
  for (const struct curl_slist *item = request->headers; item != NULL;
       item = item->next)
    if (strncasecmp (item->data, name, length) == 0
        && strchr (":;", item->data[length]) != NULL)
      return true;
  return false;
}

/* Records the address of the attempt.  True when an earlier attempt may have
   used the same address.  Such an attempt needs a new connection, because the
   answer to the earlier one could arrive once more on a persistent one and
   would be taken for the answer to this one.  */
static bool
record_address (struct cye_request *request)
{
  const struct cye_ticket *ticket = &request->ticket;
  uint64_t address = XXH3_64bits_withSeed (ticket->host, strlen (ticket->host),
                                           ticket->port);
  for (int i = 0; i < MIN (request->attempt_count, CYE_TRIED_MAX); i++)
    if (request->tried_addresses[i] == address)
      return true;
  if (request->attempt_count >= CYE_TRIED_MAX)
    return true;
  request->tried_addresses[request->attempt_count] = address;
  return false;
}

static void
prepare_headers (struct cye_request *request, int64_t left_ms)
{
  static const char *const added_by_curl[] = { "Content-Type", "Accept" };
  size_t blank_count = request->shared->layout == CYE_HUB ? 2 : 1;
  const struct cye_names *names = request->shared->names;
  char left[24];
  curl_slist_free_all (request->call_headers);
  request->call_headers = NULL;
  for (const struct curl_slist *item = request->headers; item != NULL;
       item = item->next)
    request->call_headers
        = curl_slist_append (request->call_headers, item->data);
  g_snprintf (left, sizeof left, "%" PRId64, left_ms);
  add_line (request, names->timeout, left);
  if (request->workspace[0] != '\0')
    add_line (request, names->workspace, request->workspace);
  if (request->shared->layout == CYE_TREE)
    {
      g_snprintf (request->attempt_id, sizeof request->attempt_id,
                  "%016" PRIx64,
                  ck_pr_faa_64 (&request->shared->last_attempt_number, 1));
      add_line (request, names->request_id, request->attempt_id);
    }
  if (request->shared->layout == CYE_HUB)
    {
      add_line (request, names->expected_instance, request->ticket.instance);
      if (request->request_id != NULL
          && !has_header (request, names->request_id))
        add_line (request, names->request_id, request->request_id);
      if (request->host != NULL)
        add_line (request, "Host", request->host);
    }
  /* libcurl adds these headers unless they are set to nothing.  */
  request->call_headers = curl_slist_append (request->call_headers, "Expect:");
  for (size_t i = 0; i < blank_count; i++)
    if (!has_header (request, added_by_curl[i]))
      {
        char *blank = g_strconcat (added_by_curl[i], ":", NULL);
        request->call_headers
            = curl_slist_append (request->call_headers, blank);
        g_free (blank);
      }
}

/* Seconds that a persistent connection may have been idle before reuse.  */
static long
idle_max_s (const struct cye_request *request)
{
  if (request->shared->layout == CYE_HUB)
    return request->idempotent ? CYE_HUB_IDLE_MAX_S : CYE_HUB_IDLE_ONCE_MAX_S;
  return request->idempotent ? CYE_TREE_IDLE_MAX_S : CYE_TREE_IDLE_ONCE_MAX_S;
}

/* Monotonic time until which the attempt may be sent, 0: no limit.  A retry
   counts in the window of the retry budget in which it was granted; sent
   later, it would reach the server in the next window.  */
static cy_time_ns
send_by (const struct cye_request *request)
{
  const struct cye_place *place = &request->place;
  if (request->shared->layout != CYE_HUB || !place->is_retry
      || place->placer != CYE_PLACER_CONTROL_VM)
    return 0;
  return place->granted_at + CYE_RETRY_GRANT_MS * CY_NS_PER_MS;
}

void
cye_forward_start (struct cye_request *request)
{
  const struct cye_ticket *ticket = &request->ticket;
  int64_t left_ms
      = (request->deadline - cye_request_now (request)) / CY_NS_PER_MS;
  bool in_time = left_ms >= CYE_ATTEMPT_MIN_MS;
  if (!in_time || !cye_request_may_pass_on (request))
    {
      cye_place_release (request, CYM_CANCELLED, 0, false, false);
      cye_request_refuse (request, in_time ? CY_E_STOPPING : CY_E_DEADLINE,
                          request->may_have_run ? CYE_UNKNOWN : CYE_NOT_RUN);
      return;
    }
  prepare_headers (request, left_ms);
  bool new_connection
      = record_address (request) || request->needs_new_connection;
  request->needs_new_connection = false;
  request->attempt_count++;
  request->stage = CYE_CALLING;
  memset (&request->load, 0, sizeof request->load);
  bool has_body = request->body_length != CYE_LENGTH_NONE;
  struct cye_call_options options = {
    .client = cye_worker_client (request->worker),
    .method = request->method,
    .host = ticket->host,
    .port = ticket->port,
    .target = request->target.raw,
    .headers = request->call_headers,
    .upload = has_body ? &request->upload : NULL,
    .upload_length = request->body_length,
    .idempotent = request->idempotent,
    .idle_max_s = idle_max_s (request),
    .keep_connection = ticket->keep_connection,
    .new_connection = new_connection,
    .suspect_before = ticket->suspect_before,
    .timeout_ms = left_ms,
    .send_by = send_by (request),
    .clock = request->shared->clock,
    .on_change = on_change,
    .accepts = accepts_answer,
    .may_send = may_send,
    .context = request,
  };
  request->call = cye_call_create (&options);
}

/* ------------------------------------------------------------ ending */

/* Records the time from the grant of a slot for a retry to its sending.  */
static void
measure_send_delay (const struct cye_request *request)
{
  static struct cyu_metric *metric;
  const struct cye_place *place = &request->place;
  if (request->shared->layout != CYE_HUB || !place->is_retry
      || !cye_call_sent (request->call))
    return;
  if (metric == NULL)
    metric = cyu_histogram ("cy_entry_repeat_way_seconds", "",
                            "time from a repeat's place to its sending");
  cy_time_ns took
      = cye_call_sent_at (request->call) - place->requested_at - place->waited;
  cyu_metric_record_time (metric, took / CY_NS_PER_US);
}

/* The outcome of the attempt that counts for the backend server.  */
static enum cym_outcome
attempt_outcome (const struct cye_request *request)
{
  const struct cye_call *call = request->call;
  struct cye_call_times times;
  if (!cye_call_ended (call))
    return CYM_CANCELLED;
  cy_result result = cye_call_result (call);
  if (result == CY_OK)
    return cye_call_head (call)->status >= 500 ? CYM_ERROR : CYM_ANSWERED;
  cye_call_times (call, &times);
  if (cye_call_expired (call) || cye_call_stale (call))
    return CYM_CANCELLED;
  if (!cye_call_sent (call))
    return CYM_UNREACHABLE;
  if (cye_call_reused (call) && times.first_byte == 0)
    return CYM_CANCELLED; /* the persistent connection was stale */
  if (result != CY_E_TIMEOUT)
    return CYM_BROKEN;
  cy_time_ns took = cye_request_now (request) - cye_call_sent_at (call);
  return took >= cye_answer_timeout_min (request->ticket.expected_answer_ns)
             ? CYM_TIMED_OUT
             : CYM_CANCELLED;
}

static void
release_slot (struct cye_request *request, enum cym_outcome ending,
              bool timed_out)
{
  struct cye_call_times times;
  if (!request->has_slot)
    return;
  cye_call_times (request->call, &times);
  measure_send_delay (request);
  request->place.reset = cye_call_reset (request->call);
  bool interrupted = cye_call_sent (request->call)
                     && (!cye_call_ended (request->call)
                         || cye_call_result (request->call) != CY_OK);
  cye_place_release (request, ending, times.first_byte, timed_out,
                     interrupted);
}

static void
drop_call (struct cye_request *request)
{
  cye_call_destroy (request->call);
  request->call = NULL;
}

void
cye_forward_cancel (struct cye_request *request)
{
  if (request->call == NULL)
    return;
  release_slot (request, attempt_outcome (request), false);
  drop_call (request);
}

static void
count_retry (const struct cye_request *request, const char *why)
{
  GString *labels = g_string_new (NULL);
  GString *rest = g_string_new (NULL);
  cyu_label_append (labels, "why", why);
  cyu_label_append (labels, "service", request->target.service);
  cyu_label_append (rest, "why", why);
  cyu_label_append (rest, "service", "others");
  cyu_metric_add (cyu_counter_bounded ("cy_entry_retries_total", labels->str,
                                       rest->str,
                                       "attempts at another backend server"),
                  1);
  g_string_free (labels, TRUE);
  g_string_free (rest, TRUE);
}

/* Why the answer to the attempt is refused, CYE_ANSWER_SOUND if it is not or
   none was received.  */
static enum cye_answer_fault
answer_fault (const struct cye_request *request)
{
  const struct cye_answer_head *head = cye_call_head (request->call);
  return head->complete ? cye_check_answer (request, head) : head->fault;
}

static void
count_fault (enum cye_answer_fault fault)
{
  if (fault == CYE_ANSWER_SOUND)
    return;
  char *labels
      = g_strdup_printf ("fault=\"%s\"", cye_answer_fault_name (fault));
  cyu_metric_add (cyu_counter ("cy_entry_answers_refused_total", labels,
                               "answers of backend servers that were not "
                               "passed on"),
                  1);
  g_free (labels);
}

/* Logs an attempt without a good answer.  AGAIN: a retry follows.  DECLINED:
   the backend server did not run the request.  */
static void
log_attempt (const struct cye_request *request, cy_result result, bool again,
             bool declined)
{
  struct cye_call_times times;
  if (request->shared->layout != CYE_HUB
      || !cyu_event_wanted (CYU_FAULT, "attempt_failed"))
    return;
  cye_call_times (request->call, &times);
  cyu_event (
      CYU_FAULT, "attempt_failed",
      "{ss? ss ss ss si sI ss si ss ss sb sb sb sb si si sb si}", "id",
      request->request_id, "workspace", request->workspace, "service",
      request->target.service, "instance", request->ticket.instance, "attempt",
      request->attempt_count, "born", (json_int_t)request->place.incarnation,
      "result", cy_result_name (result), "status",
      cye_call_head (request->call)->status, "fault",
      cye_answer_fault_name (answer_fault (request)), "status_line",
      cye_call_head (request->call)->status_line, "sent",
      cye_call_sent (request->call), "kept_connection",
      cye_call_reused (request->call), "not_run", declined, "again", again,
      "connect_ms", (int)(times.connect / CY_NS_PER_MS), "first_byte_ms",
      (int)(times.first_byte / CY_NS_PER_MS), "server_leaves",
      request->load.leaving, "pause_ms", (int)request->load.pause_ms);
}

/* True when the request's body can be sent again.  */
static bool
can_replay (const struct cye_request *request)
{
  return request->body_length == CYE_LENGTH_NONE
         || (request->upload.complete && request->upload.consumed == 0
             && request->upload.array->len == request->body_received);
}

/* True when a retry is allowed; in the tree layout takes it from the retry
   budget.  DECLINED: the backend server reported that it did not run the
   request.  */
static bool
may_retry (struct cye_request *request, bool declined)
{
  bool sent = cye_call_sent (request->call) && !declined;
  bool time_left = request->deadline - cye_request_now (request)
                   > CYE_ATTEMPT_MIN_MS * CY_NS_PER_MS;
  int attempts_max = request->shared->layout == CYE_HUB
                         ? (int)request->attempts_max
                         : CYE_ATTEMPTS_MAX;
  bool again = request->attempt_count < attempts_max && time_left
               && can_replay (request) && !request->caller_left
               && (!sent || request->idempotent)
               && cye_request_may_pass_on (request);
  /* In the hub layout the placer counts retries.  */
  if (again && sent && request->shared->layout == CYE_TREE)
    again = cye_budget_spend (&request->shared->budget);
  return again;
}

/* Ends an attempt that failed before an answer: retries if that is allowed,
   refuses the request otherwise.  DECLINED: the backend server reported that
   it did not run the request.  */
static void
fail_or_retry (struct cye_request *request, cy_result result, bool declined)
{
  bool sent = cye_call_sent (request->call) && !declined;
  bool expired = cye_call_expired (request->call);
  bool again = may_retry (request, declined);
  count_fault (answer_fault (request));
  log_attempt (request, result, again, declined);
  request->reached_server
      = request->reached_server || cye_call_sent (request->call);
  g_strlcpy (request->avoid_instance, request->ticket.instance,
             sizeof request->avoid_instance);
  drop_call (request);
  request->may_have_run = request->may_have_run || sent;
  if (again)
    {
      count_retry (request, sent       ? "idempotent"
                            : declined ? "refused"
                            : expired  ? "too-late"
                                       : "not-sent");
      cye_admit_slot (request);
      return;
    }
  if (declined)
    result = CY_E_NO_ROOM;
  if (!request->may_have_run && !cye_request_may_pass_on (request))
    result = CY_E_STOPPING;
  cye_request_refuse (request, result,
                      request->may_have_run ? CYE_UNKNOWN : CYE_NOT_RUN);
}

/* ------------------------------------------------------------ progress */

static void
record_times (struct cye_request *request)
{
  struct cye_times times;
  if (request->shared->split == NULL)
    return;
  cye_reply_times (request, &times);
  if (cye_call_result (request->call) == CY_OK)
    cye_time_split_answered (request->shared->split, request->target.service,
                             &times);
  else
    cye_time_split_failed (request->shared->split, request->target.service,
                           CY_E_BACKEND_FAILED, 1);
}

/* Processes the head of the answer.  True: the answer is passed to the caller.
   False: the attempt has ended, with a retry or a refusal.  */
static bool
handle_answer_head (struct cye_request *request)
{
  enum cye_verdict verdict = cye_classify_answer (request);
  if (verdict != CYE_INVALID && verdict != CYE_MISDIRECTED)
    cye_place_notice (request);
  switch (verdict)
    {
    case CYE_GOOD:
      break;
    case CYE_FAILED:
      /* The failure may be limited to this server.  */
      if (request->idempotent && may_retry (request, false))
        {
          release_slot (request, CYM_ERROR, false);
          fail_or_retry (request, CY_E_BACKEND_FAILED, false);
          return false;
        }
      break;
    case CYE_DECLINED:
      release_slot (request, CYM_NOT_RUN, false);
      fail_or_retry (request, CY_E_NO_ROOM, true);
      return false;
    case CYE_MISDIRECTED:
      release_slot (request, CYM_WRONG_SERVER, false);
      fail_or_retry (request, CY_E_NO_BACKEND, true);
      return false;
    case CYE_INVALID:
      release_slot (request, CYM_BROKEN, false);
      fail_or_retry (request, CY_E_ANSWER_INVALID, false);
      return false;
    }
  request->stage = CYE_READY;
  request->refusal = CY_OK;
  request->outcome = CYE_RAN;
  return true;
}

/* Starts an attempt again that found a stale connection, on a new one; nothing
   of it was sent.  */
static void
restart_attempt (struct cye_request *request)
{
  static struct cyu_metric *metric;
  if (metric == NULL)
    metric = cyu_counter ("cy_entry_stale_connections_total", "",
                          "persistent connections with unread input or "
                          "closed by the server, found before sending");
  cyu_metric_add (metric, 1);
  drop_call (request);
  request->attempt_count--;
  request->needs_new_connection = true;
  cye_forward_start (request);
}

void
cye_forward_step (struct cye_request *request)
{
  struct cye_call *call = request->call;
  const struct cye_answer_head *head = cye_call_head (call);
  if (request->stage == CYE_CALLING && head->complete
      && !handle_answer_head (request))
    return;
  if (request->upload.cut && cye_call_has_whole_answer (call))
    cye_call_stop_sending (call);
  bool ended = cye_call_ended (call);
  if (ended && request->stage == CYE_CALLING && cye_call_stale (call))
    {
      restart_attempt (request);
      return;
    }
  if (ended && request->has_slot)
    {
      bool timed_out = cye_call_reused (call)
                       && cye_call_result (call) == CY_E_TIMEOUT
                       && !head->complete;
      if (head->complete)
        record_times (request);
      release_slot (request, attempt_outcome (request), timed_out);
    }
  if (ended && request->stage == CYE_CALLING)
    fail_or_retry (request, cye_call_result (call), false);
}

/* ns that the attempt may take until the answer's first byte.  */
static cy_time_ns
attempt_timeout (const struct cye_request *request)
{
  const struct cye_call *call = request->call;
  struct cye_shared *shared = request->shared;
  struct cye_attempt attempt
      = { .layout = shared->layout,
          .reused_connection = cye_call_reused (call),
          .stopping = ck_pr_load_int (&shared->leaving) != 0,
          .expected_ns = request->ticket.expected_answer_ns,
          .available_ns = request->deadline - cye_call_sent_at (call) };
  return cye_answer_timeout (&attempt);
}

/* A backend server that answers before it has read the body and does not read
   on until its answer is taken would wait for ever: the answer is only passed
   on after the body.  The rest of the body is dropped then.  */
static void
check_stalled (struct cye_request *request, cy_time_ns now)
{
  const struct cye_call *call = request->call;
  bool stalled = request->stage == CYE_READY && !request->body_read
                 && call != NULL && !cye_call_ended (call)
                 && cye_call_waits_for_reader (call)
                 && cye_buffer_unread (&request->upload) >= CYE_BUFFER_BYTES;
  if (!stalled || request->stalled_at == 0)
    {
      request->stalled_at = stalled ? now : 0;
      return;
    }
  if (now - request->stalled_at < CYE_STALLED_MS * CY_NS_PER_MS
      || request->upload.cut)
    return;
  cyu_log (G_LOG_LEVEL_WARNING,
           "backend server %s of %s answered before it read the body and "
           "waits for its answer to be taken: the rest of the body is dropped",
           request->ticket.instance, request->target.service);
  request->upload.cut = true;
  cye_worker_schedule (request->worker, request);
}

void
cye_forward_check (struct cye_request *request, cy_time_ns now)
{
  struct cye_call *call = request->call;
  check_stalled (request, now);
  if (request->stage != CYE_CALLING || call == NULL || cye_call_ended (call)
      || !request->idempotent || !cye_call_sent (call)
      || cye_call_head (call)->complete)
    return;
  if (now - cye_call_sent_at (call) < attempt_timeout (request)
      || !may_retry (request, false))
    return;
  count_retry (request, "silent");
  request->may_have_run = true;
  request->reached_server = true;
  request->avoid_instance[0] = '\0';
  /* On a persistent connection the connection may be stale; on a new one the
     server itself does not answer.  */
  release_slot (request,
                cye_call_reused (call) ? CYM_CANCELLED : CYM_TIMED_OUT, true);
  drop_call (request);
  cye_admit_slot (request);
  cye_worker_schedule (request->worker, request);
}

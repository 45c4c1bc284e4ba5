#include "entry/cye_request_internal.h"

#include <ck_pr.h>
#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#include "base/cyu_log.h"
#include "base/cyu_metrics.h"
#include "entry/cye_caller.h"

#define CYE_REPLY_CHUNK_BYTES 16384 /* per read of the body */
#define CYE_BUSY_RETRY_MS     1000  /* Retry-After without an estimate */
#define CYE_STOPPING_RETRY_MS 50    /* another entry VM serves at once */
#define CYE_RESULT_CODES_MAX  1000  /* result codes are below this */

/* ------------------------------------------------------------ counting */

static void
count_outcome (enum cye_outcome outcome)
{
  static struct cyu_metric *metrics[CYE_UNKNOWN + 1];
  if (metrics[outcome] == NULL)
    {
      char *labels
          = g_strdup_printf ("outcome=\"%s\"", cye_outcome_text (outcome));
      metrics[outcome] = cyu_counter ("cy_entry_requests_total", labels,
                                      "requests by what became of them");
      g_free (labels);
    }
  cyu_metric_add (metrics[outcome], 1);
}

static void
count_refusal (cy_result result)
{
  static struct cyu_metric *metrics[CYE_RESULT_CODES_MAX];
  if (metrics[result] == NULL)
    {
      char *labels = g_strdup_printf ("code=\"%s\"", cy_result_name (result));
      metrics[result] = cyu_counter ("cy_entry_refusals_total", labels,
                                     "answers that the entry VM made itself");
      g_free (labels);
    }
  cyu_metric_add (metrics[result], 1);
}

/* ------------------------------------------------------------ times */

void
cye_reply_times (const struct cye_request *request, struct cye_times *times)
{
  struct cye_call_times call;
  memset (times, 0, sizeof *times);
  times->total = cye_request_now (request) - request->started_at;
  times->waiting = request->waiting_time;
  if (request->body_read_at != 0)
    times->caller = request->body_read_at - request->started_at;
  if (request->call == NULL)
    return;
  cye_call_times (request->call, &call);
  times->connect = call.connect;
  times->link = MIN (request->ticket.link_ns, call.first_byte);
  times->caller += call.paused;
  times->backend = call.first_byte - times->link + call.transfer - call.paused;
}

static void
add_server_timing (const struct cye_request *request,
                   struct MHD_Response *response)
{
  struct cye_times times;
  char text[200];
  cye_reply_times (request, &times);
  g_snprintf (text, sizeof text,
              "caller;dur=%.3f, waiting;dur=%.3f, connect;dur=%.3f, "
              "link;dur=%.3f, backend;dur=%.3f",
              (double)times.caller / 1e6, (double)times.waiting / 1e6,
              (double)times.connect / 1e6, (double)times.link / 1e6,
              (double)times.backend / 1e6);
  MHD_add_response_header (response, "Server-Timing", text);
}

/* ------------------------------------------------------------ log */

static void
record_times (const struct cye_times *times, bool called)
{
  static struct cyu_metric *total;
  static struct cyu_metric *waiting;
  static struct cyu_metric *connecting;
  static struct cyu_metric *backend;
  if (total == NULL)
    {
      total = cyu_histogram ("cy_entry_request_seconds", "",
                             "time from a request's head to its answer");
      waiting = cyu_histogram ("cy_entry_waiting_seconds", "",
                               "time that requests waited for a place");
      connecting = cyu_histogram ("cy_entry_connect_seconds", "",
                                  "time to connect to a backend server");
      backend = cyu_histogram ("cy_entry_backend_seconds", "",
                               "time that the backend server took");
    }
  cyu_metric_record_time (total, times->total / CY_NS_PER_US);
  cyu_metric_record_time (waiting, times->waiting / CY_NS_PER_US);
  if (!called)
    return;
  if (times->connect > 0)
    cyu_metric_record_time (connecting, times->connect / CY_NS_PER_US);
  cyu_metric_record_time (backend, times->backend / CY_NS_PER_US);
}

static uint32_t
retry_after (const struct cye_request *request)
{
  if (request->refusal == CY_E_STOPPING)
    return CYE_STOPPING_RETRY_MS;
  if (request->shared->layout == CYE_HUB)
    return request->place.retry_after_ms;
  switch (cye_refusal_status (request->refusal))
    {
    case MHD_HTTP_TOO_MANY_REQUESTS:
      return MAX (1, cye_agent_retry_after_ms (request->shared->agent,
                                               request->workspace));
    case MHD_HTTP_SERVICE_UNAVAILABLE:
      return CYE_BUSY_RETRY_MS;
    default:
      return 0;
    }
}

/* Logs the end of REQUEST with the data on which its placement rests.  */
static void
log_request (const struct cye_request *request, unsigned status)
{
  enum cyu_event_class weight
      = request->refusal == CY_OK && status < 500 ? CYU_DETAIL : CYU_FAULT;
  const char *event = weight == CYU_DETAIL ? "answered" : "failed";
  struct cye_times times;
  struct cye_hub_status hub;
  cye_reply_times (request, &times);
  record_times (&times, request->call != NULL);
  if (!cyu_event_wanted (weight, event))
    return;
  cye_hub_status (request->shared->hub, &hub);
  cyu_event (weight, event,
             "{ss? ss ss ss ss si ss si ss sb ss si si si si sI sI sI sI}",
             "id", request->request_id, "workspace", request->workspace,
             "route", request->place.route, "service", request->target.service,
             "result", cy_result_name (request->refusal), "status",
             (int)status, "outcome", cye_outcome_text (request->outcome),
             "attempts", request->attempt_count, "instance",
             request->ticket.instance, "kept_connection",
             request->call != NULL && cye_call_reused (request->call),
             "placer", hub.placer == NULL ? "this VM" : hub.placer,
             "waited_ms", (int)(times.waiting / CY_NS_PER_MS), "backend_ms",
             (int)(times.backend / CY_NS_PER_MS), "total_ms",
             (int)(times.total / CY_NS_PER_MS), "retry_after_ms",
             (int)(request->refusal == CY_OK ? 0 : retry_after (request)),
             "declaration", (json_int_t)hub.declaration_version, "view_age_ms",
             (json_int_t)hub.view_age_ms, "servers", (json_int_t)hub.servers,
             "deadline_ms",
             (json_int_t)(request->deadline == 0
                              ? 0
                              : (request->deadline - request->started_at)
                                    / CY_NS_PER_MS));
}

/* ------------------------------------------------------------ refusals */

static bool
may_redirect (cy_result result)
{
  return result == CY_E_STATE_STALE || result == CY_E_NO_BACKEND
         || result == CY_E_STOPPING || result == CY_E_NO_ROOM;
}

static struct MHD_Response *
refusal_response (struct cye_request *request)
{
  struct cye_answer alternatives;
  bool redirect
      = request->shared->layout == CYE_TREE && may_redirect (request->refusal);
  memset (&alternatives, 0, sizeof alternatives);
  if (redirect)
    cye_lookup_other_zones (request->shared->lookup, request->target.service,
                            &alternatives);
  count_refusal (request->refusal);
  if (request->target.service[0] != '\0' && request->shared->split != NULL)
    cye_time_split_failed (request->shared->split, request->target.service,
                           request->refusal, request->may_have_run);
  return cye_refusal_response (request->shared->names, request->refusal,
                               request->outcome, retry_after (request),
                               redirect ? &alternatives : NULL);
}

/* ------------------------------------------------------------ answers */

/* Passes the call's buffered body to libmicrohttpd.  */
static ssize_t
read_body (void *context, uint64_t position, char *out, size_t room)
{
  (void)position;
  struct cye_request *request = context;
  struct cye_buffer *body = cye_call_body (request->call);
  if (request->caller_left)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  size_t count = cye_buffer_read (body, out, room, false);
  if (count > 0)
    {
      cye_call_continue (request->call);
      return (ssize_t)count;
    }
  if (!cye_call_ended (request->call))
    {
      cye_request_suspend (request);
      return 0;
    }
  return body->complete ? MHD_CONTENT_READER_END_OF_STREAM
                        : MHD_CONTENT_READER_END_WITH_ERROR;
}

static const char *
connection_header (const struct cye_answer_head *head)
{
  for (guint i = 0; i < head->names->len; i++)
    if (strcasecmp (g_ptr_array_index (head->names, i), "Connection") == 0)
      return g_ptr_array_index (head->values, i);
  return NULL;
}

/* True when VALUE contains a key.  */
static bool
contains_key (const struct cye_request *request, const char *value)
{
  return (request->shared->names->refuses_misplaced_keys
          && cye_target_has_key (value))
         || (request->key != NULL && strstr (value, request->key) != NULL);
}

static void
add_headers (struct cye_request *request, struct MHD_Response *response)
{
  const struct cye_answer_head *head = cye_call_head (request->call);
  const char *connection = connection_header (head);
  for (guint i = 0; i < head->names->len; i++)
    {
      const char *name = g_ptr_array_index (head->names, i);
      const char *value = g_ptr_array_index (head->values, i);
      if (!cye_headers_to_caller (request->shared->names, connection, name))
        continue;
      if (contains_key (request, value))
        cyu_log (G_LOG_LEVEL_WARNING,
                 "backend server %s of %s answered with a key in header %s, "
                 "which was dropped",
                 request->ticket.instance, request->target.service, name);
      else
        MHD_add_response_header (response, name, value);
    }
}

static uint64_t
declared_length (const struct cye_answer_head *head)
{
  uint64_t length = cye_answer_length (head);
  return length == CYE_ANSWER_LENGTH_UNKNOWN ? MHD_SIZE_UNKNOWN : length;
}

static struct MHD_Response *
backend_response (struct cye_request *request)
{
  const struct cye_answer_head *head = cye_call_head (request->call);
  struct cye_buffer *body = cye_call_body (request->call);
  /* With an unknown length libmicrohttpd would send an empty chunked body,
     which the caller would read as the start of the next answer: 204 and 304
     get a length, HEAD closes the connection.  */
  bool bodiless = head->status == 204 || head->status == 304;
  struct MHD_Response *response = NULL;
  if (bodiless)
    response = MHD_create_response_from_buffer (0, (void *)"",
                                                MHD_RESPMEM_PERSISTENT);
  else if (strcmp (request->method, "HEAD") != 0
           && cye_call_ended (request->call) && body->complete
           && body->consumed == 0)
    response = MHD_create_response_from_buffer (
        body->array->len, body->array->data, MHD_RESPMEM_MUST_COPY);
  else
    response = MHD_create_response_from_callback (declared_length (head),
                                                  CYE_REPLY_CHUNK_BYTES,
                                                  read_body, request, NULL);
  if (strcmp (request->method, "HEAD") == 0
      && declared_length (head) == MHD_SIZE_UNKNOWN)
    MHD_set_response_options (response, MHD_RF_HTTP_1_0_COMPATIBLE_STRICT,
                              MHD_RO_END);
  add_headers (request, response);
  if (request->shared->names->reports_times)
    MHD_add_response_header (response, "Cy-Outcome",
                             cye_outcome_text (request->outcome));
  return response;
}

/* HTTP status of a refusal.  In the hub layout the status alone tells the
   caller whether the request may have run: 503 and 429 mean that it was
   not run.  */
static unsigned
refusal_status (const struct cye_request *request)
{
  unsigned status = cye_refusal_status (request->refusal);
  if (request->shared->layout == CYE_TREE)
    return status;
  bool means_not_run = status == MHD_HTTP_SERVICE_UNAVAILABLE
                       || status == MHD_HTTP_TOO_MANY_REQUESTS;
  bool failed
      = status == MHD_HTTP_BAD_GATEWAY || status == MHD_HTTP_GATEWAY_TIMEOUT;
  bool late = cye_request_now (request) >= request->deadline;
  if (request->outcome == CYE_UNKNOWN && means_not_run)
    return late ? MHD_HTTP_GATEWAY_TIMEOUT : MHD_HTTP_BAD_GATEWAY;
  if (request->outcome == CYE_NOT_RUN && failed)
    return MHD_HTTP_SERVICE_UNAVAILABLE;
  return status;
}

/* True when the caller has sent another request behind this one, which gets an
   answer of its own before the connection closes.  */
static bool
has_sent_ahead (const struct cye_request *request)
{
  return request->body_read
         && cye_caller_sent_ahead (
             request->connection, request->head_bytes + request->body_received,
             request->body_length != CYE_LENGTH_CHUNKED);
}

enum MHD_Result
cye_reply_queue (struct cye_request *request)
{
  bool refused = request->refusal != CY_OK;
  struct MHD_Response *response
      = refused ? refusal_response (request) : backend_response (request);
  unsigned status = refused ? refusal_status (request)
                            : (unsigned)cye_call_head (request->call)->status;
  request->stage = CYE_ANSWERING;
  count_outcome (request->outcome);
  if (request->shared->layout == CYE_HUB)
    log_request (request, status);
  if (request->shared->names->reports_times)
    add_server_timing (request, response);
  if (ck_pr_load_int (&request->shared->leaving) && !has_sent_ahead (request))
    MHD_add_response_header (response, "Connection", "close");
  enum MHD_Result result
      = MHD_queue_response (request->connection, status, response);
  MHD_destroy_response (response);
  return result;
}

void
cye_reply_send_early (struct cye_request *request)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      request->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  unsigned status = refusal_status (request);
  GString *message = cye_refusal_message (
      request->shared->names, status, request->refusal, request->outcome,
      retry_after (request), strcmp (request->method, "HEAD") != 0);
  count_refusal (request->refusal);
  count_outcome (request->outcome);
  if (request->shared->layout == CYE_HUB)
    log_request (request, status);
  request->stage = CYE_ANSWERING;
  request->answered_early = true;
  ssize_t sent = info == NULL
                     ? -1
                     : send (info->connect_fd, message->str, message->len,
                             MSG_DONTWAIT | MSG_NOSIGNAL);
  if (sent != (ssize_t)message->len)
    {
      cyu_log (G_LOG_LEVEL_WARNING,
               "request %s is refused without an answer: its connection does "
               "not take it",
               request->request_id == NULL ? "" : request->request_id);
      cye_request_abandon (request);
    }
  g_string_free (message, TRUE);
}

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

#define CYE_ATTEMPTS_MAX 4   /* backend servers that one request tries */
#define CYE_LAST_MS      2   /* ms left below which no attempt starts */
#define CYE_REPEAT_MS    400 /* ms that the grant of a repeat holds */
#define CYE_KEPT_HUB_S   7   /* s that a kept connection may have been idle */
#define CYE_KEPT_ONCE_S  2   /* the same for what may not be sent twice */

/* ------------------------------------------------------------ starting */

static void
on_change (void *context)
{
  struct cye_request *request = context;
  cye_worker_note (request->worker, request);
}

static bool
accepts (const struct cye_answer_head *head, void *context)
{
  return cye_is_answer (context, head);
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

/* True when an earlier attempt went to the same address; notes this one.  What
   the server said of that attempt may come once more on its connection, where
   the answer to this one is due.  */
static bool
note_address (struct cye_request *request)
{
  const struct cye_ticket *ticket = &request->ticket;
  uint64_t address = XXH3_64bits_withSeed (ticket->host, strlen (ticket->host),
                                           ticket->port);
  for (int i = 0; i < MIN (request->attempts, CYE_TRIED_MAX); i++)
    if (request->tried[i] == address)
      return true;
  if (request->attempts >= CYE_TRIED_MAX)
    return true;
  request->tried[request->attempts] = address;
  return false;
}

static void
prepare_headers (struct cye_request *request, int64_t left_ms)
{
  static const char *const added_by_curl[] = { "Content-Type", "Accept" };
  size_t blanked = request->shared->layout == CYE_HUB ? 2 : 1;
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
                  "%016" PRIx64, ck_pr_faa_64 (&request->shared->attempts, 1));
      add_line (request, names->request_id, request->attempt_id);
    }
  if (request->shared->layout == CYE_HUB)
    {
      add_line (request, names->expect, request->ticket.instance);
      if (request->request_id != NULL
          && !has_header (request, names->request_id))
        add_line (request, names->request_id, request->request_id);
      if (request->host != NULL)
        add_line (request, "Host", request->host);
    }
  /* libcurl adds some headers of its own unless they are blanked.  */
  request->call_headers = curl_slist_append (request->call_headers, "Expect:");
  for (size_t i = 0; i < blanked; i++)
    if (!has_header (request, added_by_curl[i]))
      {
        char *blank = g_strconcat (added_by_curl[i], ":", NULL);
        request->call_headers
            = curl_slist_append (request->call_headers, blank);
        g_free (blank);
      }
}

/* How long a kept connection may have been idle.  */
static long
kept_max_s (const struct cye_request *request)
{
  if (request->shared->layout == CYE_HUB)
    return request->idempotent ? CYE_KEPT_HUB_S : CYE_KEPT_ONCE_S;
  return request->idempotent ? CYE_KEPT_MAX_S : CYE_KEPT_PROOF_S;
}

/* Until when the attempt may be sent: a repeat counts where it was granted,
   and would arrive in another window of the budget later.  */
static cy_time_ns
send_by (const struct cye_request *request)
{
  const struct cye_place *place = &request->place;
  if (request->shared->layout != CYE_HUB || !place->again
      || place->placer != CYE_CONTROL_VM)
    return 0;
  return place->granted + CYE_REPEAT_MS * CY_NS_PER_MS;
}

void
cye_forward_start (struct cye_request *request)
{
  const struct cye_ticket *ticket = &request->ticket;
  int64_t left_ms
      = (request->deadline - cye_request_now (request)) / CY_NS_PER_MS;
  if (left_ms < CYE_LAST_MS)
    {
      cye_place_give (request, CYM_CANCELLED, 0, false, false);
      cye_request_refuse (request, CY_E_DEADLINE,
                          request->sent_before ? CYE_UNKNOWN : CYE_NOT_RUN);
      return;
    }
  prepare_headers (request, left_ms);
  bool fresh = note_address (request);
  request->attempts++;
  request->stage = CYE_CALLING;
  bool has_body = request->length != CYE_LENGTH_NONE;
  struct cye_call_options options = {
    .client = cye_worker_client (request->worker),
    .method = request->method,
    .host = ticket->host,
    .port = ticket->port,
    .target = request->target.raw,
    .headers = request->call_headers,
    .upload = has_body ? &request->upload : NULL,
    .upload_length = request->length,
    .idempotent = request->idempotent,
    .kept_max_s = kept_max_s (request),
    .keep = ticket->keep,
    .fresh = fresh,
    .suspect = ticket->suspect,
    .timeout_ms = left_ms,
    .send_by = send_by (request),
    .clock = request->shared->clock,
    .on_change = on_change,
    .accepts = accepts,
    .context = request,
  };
  request->call = cye_call_create (&options);
}

/* ------------------------------------------------------------ ending */

/* Time from having a place to the sending of an attempt that counts as a
   repeat.  */
static void
time_way (const struct cye_request *request)
{
  static struct cyu_metric *metric;
  const struct cye_place *place = &request->place;
  if (request->shared->layout != CYE_HUB || !place->again
      || !cye_call_sent (request->call))
    return;
  if (metric == NULL)
    metric = cyu_histogram ("cy_entry_repeat_way_seconds", "",
                            "time from a repeat's place to its sending");
  cy_time_ns took
      = cye_call_sent_at (request->call) - place->asked - place->waited;
  cyu_metric_time (metric, took / CY_NS_PER_US);
}

/* How the attempt's end speaks of the backend server.  */
static enum cym_outcome
ending_of (const struct cye_request *request)
{
  const struct cye_call *call = request->call;
  struct cye_call_times times;
  if (!cye_call_ended (call))
    return CYM_CANCELLED;
  cy_result result = cye_call_result (call);
  if (result == CY_OK)
    return cye_call_head (call)->status >= 500 ? CYM_ERROR : CYM_ANSWERED;
  cye_call_times (call, &times);
  if (cye_call_expired (call))
    return CYM_CANCELLED;
  if (!cye_call_sent (call))
    return CYM_UNREACHABLE;
  if (cye_call_reused (call) && times.first == 0)
    return CYM_CANCELLED; /* the kept connection was at fault */
  if (result != CY_E_TIMEOUT)
    return CYM_BROKEN;
  cy_time_ns took = cye_request_now (request) - cye_call_sent_at (call);
  return took >= cye_answer_timeout_min (request->ticket.answer_ns)
             ? CYM_SILENT
             : CYM_CANCELLED;
}

static void
give_slot (struct cye_request *request, enum cym_outcome ending, bool silent)
{
  struct cye_call_times times;
  if (!request->has_slot)
    return;
  cye_call_times (request->call, &times);
  time_way (request);
  bool cut = cye_call_sent (request->call)
             && (!cye_call_ended (request->call)
                 || cye_call_result (request->call) != CY_OK);
  cye_place_give (request, ending, times.first, silent, cut);
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
  give_slot (request, ending_of (request), false);
  drop_call (request);
}

static void
count_retry (const struct cye_request *request, const char *why)
{
  GString *labels = g_string_new (NULL);
  GString *rest = g_string_new (NULL);
  cyu_label (labels, "why", why);
  cyu_label (labels, "service", request->target.service);
  cyu_label (rest, "why", why);
  cyu_label (rest, "service", "others");
  cyu_metric_add (cyu_counter_bounded ("cy_entry_retries_total", labels->str,
                                       rest->str,
                                       "attempts at another backend server"),
                  1);
  g_string_free (labels, TRUE);
  g_string_free (rest, TRUE);
}

/* One line for an attempt that brought no good answer.  */
static void
log_attempt (const struct cye_request *request, cy_result result, bool again,
             bool ran_not)
{
  struct cye_call_times times;
  if (request->shared->layout != CYE_HUB
      || !cyu_event_wanted (CYU_FAULT, "attempt_failed"))
    return;
  cye_call_times (request->call, &times);
  cyu_event (
      CYU_FAULT, "attempt_failed",
      "{ss? ss ss ss si sI ss si sb sb sb sb si si}", "id",
      request->request_id, "workspace", request->workspace, "service",
      request->target.service, "instance", request->ticket.instance, "attempt",
      request->attempts, "born", (json_int_t)request->place.born, "result",
      cy_result_name (result), "status", cye_call_head (request->call)->status,
      "sent", cye_call_sent (request->call), "kept_connection",
      cye_call_reused (request->call), "not_run", ran_not, "again", again,
      "connect_ms", (int)(times.connect / CY_NS_PER_MS), "first_byte_ms",
      (int)(times.first / CY_NS_PER_MS));
}

/* True when the request's body can be sent once more.  */
static bool
can_replay (const struct cye_request *request)
{
  return request->length == CYE_LENGTH_NONE
         || (request->upload.complete && request->upload.taken == 0
             && request->upload.array->len == request->received);
}

/* True when another attempt may be made.  RAN_NOT: the backend server said
   that it did not run the request.  */
static bool
may_retry (struct cye_request *request, bool ran_not)
{
  bool sent = cye_call_sent (request->call) && !ran_not;
  bool time_left = request->deadline - cye_request_now (request)
                   > CYE_LAST_MS * CY_NS_PER_MS;
  int attempts_max = request->shared->layout == CYE_HUB
                         ? (int)request->attempts_max
                         : CYE_ATTEMPTS_MAX;
  bool again = request->attempts < attempts_max && time_left
               && can_replay (request) && !request->left
               && (!sent || request->idempotent);
  /* A hub counts repeats as it places them.  */
  if (again && sent && request->shared->layout == CYE_TREE)
    again = cye_budget_spend (&request->shared->budget);
  return again;
}

/* The attempt failed before an answer: tries again where that is allowed,
   answers otherwise.  */
static void
fail_or_retry (struct cye_request *request, cy_result result, bool ran_not)
{
  bool sent = cye_call_sent (request->call) && !ran_not;
  bool expired = cye_call_expired (request->call);
  bool again = may_retry (request, ran_not);
  log_attempt (request, result, again, ran_not);
  request->arrived = request->arrived || cye_call_sent (request->call);
  g_strlcpy (request->avoid, request->ticket.instance, sizeof request->avoid);
  drop_call (request);
  request->sent_before = request->sent_before || sent;
  if (again)
    {
      count_retry (request, sent      ? "idempotent"
                            : ran_not ? "refused"
                            : expired ? "too-late"
                                      : "not-sent");
      cye_admit_slot (request);
      return;
    }
  if (ran_not)
    result = CY_E_NO_ROOM;
  cye_request_refuse (request, result,
                      request->sent_before ? CYE_UNKNOWN : CYE_NOT_RUN);
}

/* ------------------------------------------------------------ progress */

static void
note_end (struct cye_request *request)
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

/* The head of the answer has come: hands it on, or tries elsewhere.  Returns
   false when the attempt has ended by that.  */
static bool
take_head (struct cye_request *request)
{
  switch (cye_classify_answer (request))
    {
    case CYE_GOOD:
      break;
    case CYE_FAILED:
      /* A server that fails may be alone with it.  */
      if (request->idempotent && may_retry (request, false))
        {
          give_slot (request, CYM_ERROR, false);
          fail_or_retry (request, CY_E_BACKEND_FAILED, false);
          return false;
        }
      break;
    case CYE_DECLINED:
      give_slot (request, CYM_NOT_RUN, false);
      fail_or_retry (request, CY_E_NO_ROOM, true);
      return false;
    case CYE_WRONG:
      give_slot (request, CYM_WRONG, false);
      fail_or_retry (request, CY_E_NO_BACKEND, true);
      return false;
    case CYE_INVALID:
      give_slot (request, CYM_BROKEN, false);
      fail_or_retry (request, CY_E_ANSWER_INVALID, false);
      return false;
    }
  request->stage = CYE_READY;
  request->refusal = CY_OK;
  request->outcome = CYE_RAN;
  return true;
}

void
cye_forward_step (struct cye_request *request)
{
  struct cye_call *call = request->call;
  const struct cye_answer_head *head = cye_call_head (call);
  if (request->stage == CYE_CALLING && head->complete && !take_head (request))
    return;
  bool ended = cye_call_ended (call);
  if (ended && request->has_slot)
    {
      bool silent = cye_call_reused (call)
                    && cye_call_result (call) == CY_E_TIMEOUT
                    && !head->complete;
      if (head->complete)
        note_end (request);
      give_slot (request, ending_of (request), silent);
    }
  if (ended && request->stage == CYE_CALLING)
    fail_or_retry (request, cye_call_result (call), false);
}

/* How long the attempt may be without a first byte.  */
static cy_time_ns
patience_of (const struct cye_request *request)
{
  const struct cye_call *call = request->call;
  struct cye_shared *shared = request->shared;
  struct cye_attempt attempt
      = { .layout = shared->layout,
          .kept = cye_call_reused (call),
          .leaving = ck_pr_load_int (&shared->leaving) != 0,
          .usual = request->ticket.answer_ns,
          .time = request->deadline - cye_call_sent_at (call) };
  return cye_answer_timeout (&attempt);
}

void
cye_forward_check (struct cye_request *request, cy_time_ns now)
{
  struct cye_call *call = request->call;
  if (request->stage != CYE_CALLING || call == NULL || cye_call_ended (call)
      || !request->idempotent || !cye_call_sent (call)
      || cye_call_head (call)->complete)
    return;
  if (now - cye_call_sent_at (call) < patience_of (request)
      || !may_retry (request, false))
    return;
  count_retry (request, "silent");
  request->sent_before = true;
  request->arrived = true;
  request->avoid[0] = '\0';
  /* A kept connection may have been at fault; on a new one it is the
     server.  */
  give_slot (request, cye_call_reused (call) ? CYM_CANCELLED : CYM_SILENT,
             true);
  drop_call (request);
  cye_admit_slot (request);
  cye_worker_note (request->worker, request);
}

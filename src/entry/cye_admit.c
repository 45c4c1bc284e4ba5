#include "entry/cye_request_internal.h"

#include <ck_pr.h>
#include <glib.h>
#include <inttypes.h>
#include <string.h>

#include "base/cyu_log.h"
#include "base/cyu_metrics.h"

/* ------------------------------------------------------------ head */

static enum MHD_Result
collect_header (void *context, enum MHD_ValueKind kind, const char *name,
                size_t name_length, const char *value, size_t value_length)
{
  (void)kind;
  struct cye_header_list *all = context;
  if (all->count > CYE_HEADERS_MAX)
    return MHD_NO;
  all->headers[all->count++]
      = (struct cye_header){ name, value == NULL ? "" : value, name_length,
                             value_length };
  return MHD_YES;
}

void
cye_request_collect_headers (struct MHD_Connection *connection,
                             struct cye_header_list *all)
{
  all->count = 0;
  MHD_get_connection_values_n (connection, MHD_HEADER_KIND, collect_header,
                               all);
}

void
cye_request_store_headers (struct cye_request *request,
                           const struct cye_header_list *all,
                           const struct cye_request_head *head)
{
  GString *line = g_string_new (NULL);
  for (size_t i = 0; i < all->count; i++)
    {
      const struct cye_header *header = &all->headers[i];
      if (!cye_headers_to_backend (request->shared->names, head, header->name))
        continue;
      g_string_printf (line, header->value[0] != '\0' ? "%s: %s" : "%s;",
                       header->name, header->value);
      request->headers = curl_slist_append (request->headers, line->str);
    }
  g_string_free (line, TRUE);
}

static bool
is_idempotent (const char *method, const struct cya_route *route)
{
  static const char *const names[]
      = { "GET", "HEAD", "OPTIONS", "PUT", "DELETE" };
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    if (strcmp (method, names[i]) == 0)
      return true;
  return route->idempotent_post && strcmp (method, "POST") == 0;
}

static bool
is_known_method (const char *method)
{
  static const char *const names[]
      = { "GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH" };
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    if (strcmp (method, names[i]) == 0)
      return true;
  return false;
}

/* Counts a request of a workspace that an isolated zone still serves past the
   age limit of keys, as declared.  Logs this at most once per second.  */
static void
count_stale_access (const char *workspace, cy_time_ns now)
{
  static uint64_t last_logged;
  uint64_t last = ck_pr_load_64 (&last_logged);
  cyu_metric_add (cyu_counter ("cy_entry_served_cut_off_total", "",
                               "requests served past the age limit of keys"),
                  1);
  if (now - (cy_time_ns)last < CY_NS_PER_S
      || !ck_pr_cas_64 (&last_logged, last, (uint64_t)now))
    return;
  cyu_log (G_LOG_LEVEL_WARNING,
           "serves workspace %s past the age limit of keys, as declared",
           workspace);
}

/* Refuses requests with a key while the access view is so old that it may lack
   the withdrawal of the key.  */
static cy_result
check_key_age (struct cye_request *request, const struct cya_access *access,
               const struct cya_workspace *workspace)
{
  cy_time_ns age = cye_agent_confirmation_age (request->shared->agent);
  const struct cya_limits *limits = cya_access_limits (access);
  if (age <= (cy_time_ns)limits->key_max_age_ms * CY_NS_PER_MS)
    return CY_OK;
  if (!workspace->serve_cut_off
      || age > (cy_time_ns)workspace->cut_off_max_ms * CY_NS_PER_MS)
    return CY_E_STATE_STALE;
  count_stale_access (workspace->name, cye_request_now (request));
  return CY_OK;
}

static cy_result
check_key (struct cye_request *request, const struct cya_access *access,
           const struct cye_request_head *head)
{
  const struct cya_workspace *workspace = NULL;
  if (head->key == NULL)
    return CY_E_KEY_MISSING;
  cy_result result = cya_access_check_key (
      access, head->key, head->key_length,
      cy_clock_unix_ms (request->shared->clock), &workspace);
  if (result != CY_OK)
    return result;
  result = check_key_age (request, access, workspace);
  if (result != CY_OK)
    return result;
  g_strlcpy (request->workspace, workspace->name, sizeof request->workspace);
  request->weight = workspace->weight;
  request->key = g_strndup (head->key, head->key_length);
  return CY_OK;
}

static void
set_deadline (struct cye_request *request, const struct cya_service *service,
              const struct cye_request_head *head)
{
  int64_t ms = head->timeout_ms > 0 ? head->timeout_ms : service->timeout_ms;
  ms = MIN (ms, CYE_TIMEOUT_MAX_MS);
  request->deadline = request->started_at + ms * CY_NS_PER_MS;
}

static cy_result
check_access (struct cye_request *request, const struct cya_access *access,
              const struct cye_request_head *head)
{
  const struct cya_service *service
      = cya_access_find_service (access, request->target.service);
  if (service == NULL)
    return cye_agent_confirmation_age (request->shared->agent) == INT64_MAX
               ? CY_E_STATE_STALE
               : CY_E_SERVICE_UNKNOWN;
  const struct cya_route *route
      = cya_service_find_route (service, request->target.path);
  if (route == NULL)
    return CY_E_ROUTE_UNKNOWN;
  request->open_route = route->open;
  request->weight = 1;
  request->idempotent = is_idempotent (request->method, route);
  request->body_length = head->length;
  request->body_max_bytes = service->max_body_bytes;
  request->retry_share = cya_access_limits (access)->retry_budget;
  set_deadline (request, service, head);
  if (head->length > (int64_t)service->max_body_bytes)
    return CY_E_BODY_TOO_LARGE;
  return route->open ? CY_OK : check_key (request, access, head);
}

cy_result
cye_admit_check_head (struct cye_request *request)
{
  struct cye_header_list all;
  struct cye_request_head head;
  if (request->shared->layout == CYE_HUB)
    return cye_route_check_head (request);
  if (!is_known_method (request->method))
    return CY_E_UNSUPPORTED;
  cye_request_collect_headers (request->connection, &all);
  cy_result result
      = cye_headers_read (request->shared->names, CYE_HEADERS_BYTES,
                          all.headers, all.count, &head);
  if (result != CY_OK)
    return result;
  request->request_id = g_strdup (head.request_id);
  if (cye_target_has_key (request->uri))
    return CY_E_KEY_MISPLACED;
  result = cye_target_parse (request->uri, &request->target);
  if (result != CY_OK)
    return result;
  struct cye_reader *reader = NULL;
  const struct cya_access *access
      = cye_access_view_enter (request->shared->access_view, &reader);
  result = check_access (request, access, &head);
  cye_epoch_leave (reader);
  if (result == CY_OK)
    cye_request_store_headers (request, &all, &head);
  return result;
}

/* ------------------------------------------------------------ token, slot */

static void
run_posted (void *context)
{
  struct cye_request *request = context;
  request->pending_callbacks--;
  cye_admit_continue (request);
  cye_worker_schedule (request->worker, request);
  cye_worker_run_scheduled (request->worker);
}

/* Runs in the loop's thread of the agent.  */
static void
on_admitted (cy_result result, void *context)
{
  struct cye_request *request = context;
  request->posted_result = result;
  cyn_loop_post (cye_worker_loop (request->worker), run_posted, request);
}

void
cye_admit_slot (struct cye_request *request)
{
  if (!cye_request_may_wait (request))
    {
      cye_request_refuse (request, CY_E_STOPPING,
                          request->may_have_run ? CYE_UNKNOWN : CYE_NOT_RUN);
      return;
    }
  request->stage = CYE_QUEUED;
  request->pending_callbacks++;
  cy_result result = cye_place_acquire (request);
  if (result == CY_E_AGAIN)
    return;
  request->pending_callbacks--;
  if (result == CY_OK)
    cye_forward_start (request);
  else
    cye_request_refuse (request, result,
                        request->may_have_run ? CYE_UNKNOWN : CYE_NOT_RUN);
}

void
cye_admit_slot_answered (struct cye_request *request, cy_result result)
{
  request->posted_result = result;
  cyn_loop_post (cye_worker_loop (request->worker), run_posted, request);
}

/* Logs a token that was taken, to compare with the workspace's rate.  */
static void
log_admitted (const struct cye_request *request)
{
  if (request->open_route || request->shared->layout != CYE_TREE
      || !cyu_event_wanted (CYU_DETAIL, "admitted"))
    return;
  cyu_event (CYU_DETAIL, "admitted", "{ss? ss ss si}", "id",
             request->request_id, "workspace", request->workspace, "service",
             request->target.service, "waited_ms",
             (int)((cye_request_now (request) - request->body_read_at)
                   / CY_NS_PER_MS));
}

static void
continue_with_token (struct cye_request *request)
{
  log_admitted (request);
  request->admitted_at = cye_request_now (request);
  request->waiting_time += request->admitted_at - request->body_read_at;
  cye_budget_earn (&request->shared->budget, request->retry_share);
  cye_admit_slot (request);
}

void
cye_admit_start (struct cye_request *request)
{
  request->stage = CYE_ADMITTING;
  request->body_read_at = cye_request_now (request);
  /* In the hub layout the placer takes the token.  */
  if (request->open_route || request->shared->layout == CYE_HUB)
    {
      continue_with_token (request);
      return;
    }
  request->pending_callbacks++;
  enum cye_admission admission
      = cye_agent_admit (request->shared->agent, request->workspace,
                         request->deadline, on_admitted, request);
  switch (admission)
    {
    case CYE_WAITING:
      return;
    case CYE_ADMITTED:
      request->pending_callbacks--;
      continue_with_token (request);
      return;
    case CYE_REFUSED:
      request->pending_callbacks--;
      cye_request_refuse (request, CY_E_RATE_EXCEEDED, CYE_NOT_RUN);
      return;
    }
}

void
cye_admit_continue (struct cye_request *request)
{
  cy_result result = request->posted_result;
  bool waited_for_slot = request->stage == CYE_QUEUED;
  if (request->connection == NULL
      || cye_request_caller_left (request, cye_request_now (request)))
    {
      if (waited_for_slot && result == CY_OK)
        cye_place_release (request, CYM_CANCELLED, 0, false, false);
      return;
    }
  if (request->stage >= CYE_READY)
    return;
  if (waited_for_slot)
    request->waiting_time += request->ticket.waited;
  if (result != CY_OK)
    cye_request_refuse (request, result,
                        request->may_have_run ? CYE_UNKNOWN : CYE_NOT_RUN);
  else if (waited_for_slot)
    cye_forward_start (request);
  else
    continue_with_token (request);
}

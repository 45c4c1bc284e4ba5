/* Hub layout: checks the head of a request against the numbered declaration.
   Finds its route and workspace and fills the slot request for the placer.  */

#include <ck_pr.h>
#include <string.h>
#include <xxhash.h>

#include "base/cy_system.h"
#include "entry/cye_request_internal.h"

/* A request that misses its latency goal may wait past it for the goal divided
   by this.  */
#define GOAL_HOLD_DIVISOR 8

/* Value for declarations that contain none, and the least limit of all headers
   of a request.  */
#define HEADER_MIN_BYTES 16384

/* ms after which an entry VM that starts has received a declaration.  */
#define NO_DECLARATION_RETRY_MS 500

/* Timeout of a request if neither the caller nor the route has one.  */
#define DEADLINE_DEFAULT_MS 30000

static cy_result
check_key (struct cye_request *request, const struct cyi_document *document,
           const struct cye_request_head *head,
           const struct cyi_workspace **workspace)
{
  if (head->key == NULL)
    return CY_E_KEY_MISSING;
  *workspace = cyi_document_find_workspace_by_key (document, head->key,
                                                   head->key_length);
  if (*workspace == NULL)
    return CY_E_KEY_UNKNOWN;
  g_strlcpy (request->workspace, (*workspace)->name,
             sizeof request->workspace);
  request->key = g_strndup (head->key, head->key_length);
  return CY_OK;
}

static void
set_affinity (struct cye_request *request, const struct cyi_route *route,
              const struct cye_request_head *head)
{
  size_t length = 0;
  const char *object = cye_headers_cookie (
      head->cookie, request->shared->names->affinity, &length);
  if (object == NULL || !route->sticky)
    return;
  /* Object names are unique within a route only, so the route's name is part
     of the hash.  */
  uint64_t seed = XXH64 (route->name, strlen (route->name), 0);
  request->place.affinity = XXH64 (object, length, seed) | 1;
}

static void
set_times (struct cye_request *request, const struct cyi_route *route,
           const struct cye_request_head *head)
{
  int64_t ms = route->timeout_ms > 0 ? route->timeout_ms : DEADLINE_DEFAULT_MS;
  if (head->timeout_ms > 0)
    ms = MIN (ms, head->timeout_ms);
  request->deadline = request->started_at + ms * CY_NS_PER_MS;
  cy_time_ns goal = route->goal_ms * CY_NS_PER_MS;
  request->place.goal_at
      = goal == 0 ? request->deadline : request->started_at + goal;
  request->place.hold = goal / GOAL_HOLD_DIVISOR;
}

static cy_result
choose_service (struct cye_request *request, const struct cyi_route *route)
{
  double unit = (double)(cy_random_next (cy_system_random ()) >> 11) * 0x1p-53;
  const char *service = cyi_route_choose_service (route, unit);
  if (service == NULL)
    return CY_E_NO_BACKEND;
  g_strlcpy (request->target.service, service, sizeof request->target.service);
  g_strlcpy (request->place.service, service, sizeof request->place.service);
  g_strlcpy (request->place.route, route->name, sizeof request->place.route);
  return CY_OK;
}

/* CY_E_NO_BACKEND when no region may serve the request.  */
static cy_result
set_place (struct cye_request *request, const struct cyi_route *route,
           const struct cyi_workspace *workspace,
           const struct cye_request_head *head)
{
  struct cye_place *place = &request->place;
  bool ranked = workspace != NULL && workspace->has_rank;
  g_strlcpy (place->workspace, request->workspace, sizeof place->workspace);
  place->rank = ranked ? workspace->rank : route->rank;
  place->route_rank = route->rank;
  place->allowed_regions = cyi_common_homes (route, workspace);
  set_affinity (request, route, head);
  set_times (request, route, head);
  /* The placer takes an empty list for one without limits.  */
  bool no_region
      = place->allowed_regions != NULL && place->allowed_regions[0] == NULL;
  return no_region ? CY_E_NO_BACKEND : CY_OK;
}

/* Finds the route by the path as the caller sent it, without the query.  */
static const struct cyi_route *
find_route (const struct cye_request *request,
            const struct cyi_document *document,
            const struct cye_request_head *head)
{
  char *path = g_strndup (request->uri, strcspn (request->uri, "?"));
  const struct cyi_route *route
      = cyi_document_find_route (document, head->host, path);
  g_free (path);
  return route;
}

static cy_result
check_route (struct cye_request *request, const struct cyi_document *document,
             const struct cye_request_head *head)
{
  const struct cyi_workspace *workspace = NULL;
  const struct cyi_route *route = find_route (request, document, head);
  if (route == NULL)
    return CY_E_ROUTE_UNKNOWN;
  request->open_route = route->open;
  request->weight = 1;
  request->idempotent = route->idempotent;
  request->attempts_max = route->attempts;
  cy_result result
      = route->open ? CY_OK : check_key (request, document, head, &workspace);
  if (result == CY_OK)
    result = choose_service (request, route);
  if (result == CY_OK)
    result = set_place (request, route, workspace, head);
  return result;
}

static cy_result
check_body (struct cye_request *request, const struct cyi_document *document,
            const struct cye_request_head *head)
{
  uint64_t limit = document->limits.body_bytes;
  request->body_max_bytes = (uint32_t)MIN (
      limit == 0 ? CYE_BODY_DEFAULT_BYTES : limit, UINT32_MAX / 4);
  return head->length > (int64_t)request->body_max_bytes ? CY_E_BODY_TOO_LARGE
                                                         : CY_OK;
}

cy_result
cye_route_check_head (struct cye_request *request)
{
  struct cye_header_list all;
  struct cye_request_head head;
  const struct cyi_document *document
      = cye_hub_document (request->shared->hub);
  size_t bytes_max = HEADER_MIN_BYTES;
  if (document != NULL)
    bytes_max = MAX (document->limits.header_bytes, HEADER_MIN_BYTES);
  cye_request_collect_headers (request->connection, &all);
  cy_result result = cye_headers_read (request->shared->names, bytes_max,
                                       all.headers, all.count, &head);
  if (result != CY_OK)
    return result;
  request->request_id = g_strdup (head.request_id);
  request->host = g_strdup (head.host);
  request->target.raw = request->uri;
  request->body_length = head.length;
  if (ck_pr_load_int (&request->shared->refuses_requests))
    return CY_E_STOPPING;
  if (document == NULL)
    {
      request->place.retry_after_ms = NO_DECLARATION_RETRY_MS;
      return CY_E_STATE_STALE;
    }
  result = check_body (request, document, &head);
  if (result == CY_OK)
    result = check_route (request, document, &head);
  if (result == CY_OK)
    cye_request_store_headers (request, &all, &head);
  return result;
}

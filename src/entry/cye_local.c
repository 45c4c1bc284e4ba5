#include "entry/cye_local.h"

#include <arpa/inet.h>
#include <ck_pr.h>
#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "base/cyu_metrics.h"
#include "entry/cye_refusal.h"

enum route
{
  ROUTE_NONE,
  ROUTE_LOOKUP,
  ROUTE_ANNOUNCE,
  ROUTE_METRICS,
  ROUTE_HEALTH,
  ROUTE_READY
};

static const struct
{
  const char *path;
  const char *method;
  enum route route;
} routes[] = {
  { "/v1/lookup", "GET", ROUTE_LOOKUP },
  { "/v1/announce", "POST", ROUTE_ANNOUNCE },
  { "/metrics", "GET", ROUTE_METRICS },
  { "/healthz", "GET", ROUTE_HEALTH },
  { "/readyz", "GET", ROUTE_READY },
};

static size_t
find_route (const char *uri)
{
  size_t length = strcspn (uri, "?");
  size_t i = 0;
  for (; i < G_N_ELEMENTS (routes); i++)
    if (strlen (routes[i].path) == length
        && strncmp (routes[i].path, uri, length) == 0)
      break;
  return i;
}

bool
cye_local_handles (const char *uri)
{
  return strncmp (uri, "/s/", 3) != 0;
}

/* ------------------------------------------------------------ answers */

static struct MHD_Response *
text_response (char *text, const char *type)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (text), text, MHD_RESPMEM_MUST_FREE);
  MHD_add_response_header (response, "Content-Type", type);
  MHD_add_response_header (response, "Cy-Outcome", "ran");
  return response;
}

static struct MHD_Response *
refusal_response (cy_result result, unsigned *status)
{
  *status = cye_refusal_status (result);
  return cye_refusal_response (&cye_native_names, result, CYE_NOT_RUN, 0,
                               NULL);
}

static void
client_address (struct MHD_Connection *connection, char *text, size_t size)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
  g_strlcpy (text, "127.0.0.1", size);
  if (info == NULL || info->client_addr == NULL)
    return;
  const struct sockaddr *address = info->client_addr;
  if (address->sa_family == AF_INET)
    inet_ntop (AF_INET,
               &((const struct sockaddr_in *)(const void *)address)->sin_addr,
               text, (socklen_t)size);
  else if (address->sa_family == AF_INET6)
    inet_ntop (
        AF_INET6,
        &((const struct sockaddr_in6 *)(const void *)address)->sin6_addr, text,
        (socklen_t)size);
}

static struct MHD_Response *
answer_lookup (struct cye_shared *shared, struct MHD_Connection *connection,
               unsigned *status)
{
  struct cye_answer answer;
  char client[INET6_ADDRSTRLEN];
  const char *service = MHD_lookup_connection_value (
      connection, MHD_GET_ARGUMENT_KIND, "service");
  const char *client_argument = MHD_lookup_connection_value (
      connection, MHD_GET_ARGUMENT_KIND, "client");
  client_address (connection, client, sizeof client);
  if (service == NULL)
    return refusal_response (CY_E_ARGUMENT, status);
  memset (&answer, 0, sizeof answer);
  cy_result result = cye_lookup_answer (
      shared->lookup, client_argument != NULL ? client_argument : client,
      service, &answer);
  if (result != CY_OK)
    return refusal_response (result, status);
  json_t *root = json_pack ("{ss sI}", "service", service, "ttl_ms",
                            (json_int_t)answer.ttl_ms);
  cye_refusal_add_vms (root, &answer);
  char *text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  return text_response (text, "application/json");
}

static struct MHD_Response *
answer_announce (struct cye_shared *shared, const char *body, size_t length,
                 unsigned *status)
{
  Cy__Object *object = NULL;
  cy_result result
      = cye_announce_parse (shared->announce, body, length, &object);
  if (result != CY_OK)
    return refusal_response (result, status);
  cye_agent_report (shared->agent, object);
  cy__object__free_unpacked (object, NULL);
  return text_response (strdup ("{\"accepted\":true}\n"), "application/json");
}

static struct MHD_Response *
answer_ready (struct cye_shared *shared, unsigned *status)
{
  struct cye_reader *reader = NULL;
  const struct cya_access *access
      = cye_access_view_enter (shared->access_view, &reader);
  cy_time_ns age_max
      = (cy_time_ns)cya_access_limits (access)->key_max_age_ms * CY_NS_PER_MS;
  cye_epoch_leave (reader);
  if (ck_pr_load_int (&shared->leaving))
    return refusal_response (CY_E_STOPPING, status);
  if (cye_agent_confirmation_age (shared->agent) > age_max)
    return refusal_response (CY_E_STATE_STALE, status);
  return text_response (strdup ("ready\n"), "text/plain");
}

struct MHD_Response *
cye_local_answer (struct cye_shared *shared, struct MHD_Connection *connection,
                  const char *method, const char *uri, const char *body,
                  size_t body_length, unsigned *status)
{
  size_t index = find_route (uri);
  *status = MHD_HTTP_OK;
  if (index == G_N_ELEMENTS (routes))
    return refusal_response (CY_E_NOT_FOUND, status);
  if (strcmp (routes[index].method, method) != 0
      && !(strcmp (method, "HEAD") == 0
           && strcmp (routes[index].method, "GET") == 0))
    return refusal_response (CY_E_UNSUPPORTED, status);
  switch (routes[index].route)
    {
    case ROUTE_LOOKUP:
      return answer_lookup (shared, connection, status);
    case ROUTE_ANNOUNCE:
      return answer_announce (shared, body, body_length, status);
    case ROUTE_METRICS:
      return text_response (cyu_metrics_print (), "text/plain; version=0.0.4");
    case ROUTE_HEALTH:
      return text_response (strdup ("ok\n"), "text/plain");
    case ROUTE_READY:
      return answer_ready (shared, status);
    case ROUTE_NONE:
      break;
    }
  return refusal_response (CY_E_NOT_FOUND, status);
}

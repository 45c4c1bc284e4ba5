/* Native API of a control VM, see docs/OPERATIONS.md.  */

#include <jansson.h>
#include <string.h>

#include "base/cyu_settings.h"
#include "hub/cyc_call.h"

enum endpoint
{
  ENDPOINT_ANNOUNCE,
  ENDPOINT_DECLARE,
  ENDPOINT_READ,
  ENDPOINT_DRAIN,
  ENDPOINT_UNDRAIN,
  ENDPOINT_RESOLVE
};

static const struct
{
  const char *method;
  const char *path;
  enum endpoint endpoint;
} endpoints[] = {
  { "POST", "/v1/announce", ENDPOINT_ANNOUNCE },
  { "PUT", "/v1/declaration", ENDPOINT_DECLARE },
  { "GET", "/v1/declaration", ENDPOINT_READ },
  { "PUT", "/v1/drained-zones", ENDPOINT_DRAIN },
  { "DELETE", "/v1/drained-zones", ENDPOINT_UNDRAIN },
  { "GET", "/v1/lookup", ENDPOINT_RESOLVE },
};

static cy_result
refuse (struct cyj_error *error, const char *field, const char *detail)
{
  g_strlcpy (error->path, field, sizeof error->path);
  g_strlcpy (error->detail, detail, sizeof error->detail);
  return CY_E_ARGUMENT;
}

/* ----------------------------------------------------------- announcements */

static cy_result
read_name (const json_t *root, const char *field, char **name,
           struct cyj_error *error)
{
  const char *text = json_string_value (json_object_get (root, field));
  if (text == NULL || text[0] == '\0' || strlen (text) > CYJ_NAME_MAX)
    return refuse (error, field, "must be a text of 1 to 63 bytes");
  *name = g_strdup (text);
  return CY_OK;
}

static cy_result
read_integer (const json_t *root, const char *field, int64_t min, int64_t max,
              int64_t *number, struct cyj_error *error)
{
  const json_t *value = json_object_get (root, field);
  if (!json_is_integer (value) || json_integer_value (value) < min
      || json_integer_value (value) > max)
    return refuse (error, field, "must be a whole number in its range");
  *number = json_integer_value (value);
  return CY_OK;
}

static cy_result
read_state (const json_t *root, Cy__Instance *info, struct cyj_error *error)
{
  const char *state = json_string_value (json_object_get (root, "state"));
  if (state == NULL)
    return refuse (error, "state", "must be serving, draining or gone");
  info->draining = strcmp (state, "draining") == 0;
  info->gone = strcmp (state, "gone") == 0;
  if (!info->draining && !info->gone && strcmp (state, "serving") != 0)
    return refuse (error, "state", "must be serving, draining or gone");
  return CY_OK;
}

static cy_result
read_instance (const json_t *root, Cy__Instance *info, struct cyj_error *error)
{
  int64_t port = 0;
  int64_t slots = 0;
  int64_t born = 0;
  int64_t sequence = 0;
  int64_t cold_ms = 0;
  const char *host = json_string_value (json_object_get (root, "host"));
  cy_result result = read_name (root, "instance", &info->id, error);
  if (result == CY_OK)
    result = read_name (root, "service", &info->service, error);
  if (result == CY_OK)
    result = read_name (root, "zone", &info->zone, error);
  if (result == CY_OK && (host == NULL || !cyu_is_ip (host)))
    result = refuse (error, "host", "must be an IP number");
  if (result == CY_OK)
    result = read_state (root, info, error);
  if (result == CY_OK)
    result = read_integer (root, "port", 1, 65535, &port, error);
  if (result == CY_OK)
    result = read_integer (root, "slots", 0, 100000, &slots, error);
  if (result == CY_OK)
    result = read_integer (root, "born_unix_ms", 1, INT64_MAX, &born, error);
  if (result == CY_OK)
    result = read_integer (root, "sequence", 0, INT64_MAX, &sequence, error);
  if (result == CY_OK && json_object_get (root, "cold_ms") != NULL)
    result = read_integer (root, "cold_ms", 0, 86400000, &cold_ms, error);
  if (result != CY_OK)
    return result;
  info->host = g_strdup (host);
  info->port = (uint32_t)port;
  info->slots = (uint32_t)slots;
  info->born = (uint64_t)born;
  info->sequence = (uint64_t)sequence;
  info->cold_ms = (uint32_t)cold_ms;
  return CY_OK;
}

static cy_result
read_announce (const struct cyc_http_request *request, struct cyc_call *call,
               struct cyj_error *error)
{
  json_t *root = json_loadb (request->body, request->length,
                             JSON_REJECT_DUPLICATES, NULL);
  if (!json_is_object (root))
    {
      json_decref (root);
      return refuse (error, "", "must be a JSON object");
    }
  call->kind = CYC_CALL_ANNOUNCE;
  call->instance = g_new (Cy__Instance, 1);
  cy__instance__init (call->instance);
  cy_result result = read_instance (root, call->instance, error);
  json_decref (root);
  return result;
}

/* ------------------------------------------------------------ other calls */

static cy_result
read_declare (const struct cyc_http_request *request, struct cyc_call *call,
              struct cyj_error *error)
{
  json_t *root = json_loadb (request->body, request->length, 0, NULL);
  call->kind = CYC_CALL_DECLARE;
  call->declare.digest = cyi_json_digest (root);
  json_decref (root);
  return cyi_document_read (request->body, request->length,
                            &call->declare.document, error);
}

static cy_result
read_zone (const struct cyc_http_request *request, struct cyc_call *call,
           enum cyc_call_kind kind, struct cyj_error *error)
{
  call->kind = kind;
  call->zone = cyc_call_query_value (request->target, "zone");
  return call->zone != NULL ? CY_OK : refuse (error, "zone", "must be given");
}

static cy_result
read_endpoint (const struct cyc_http_request *request, enum endpoint endpoint,
               struct cyc_call *call, struct cyj_error *error)
{
  switch (endpoint)
    {
    case ENDPOINT_ANNOUNCE:
      return read_announce (request, call, error);
    case ENDPOINT_DECLARE:
      return read_declare (request, call, error);
    case ENDPOINT_READ:
      call->kind = CYC_CALL_READ;
      return CY_OK;
    case ENDPOINT_DRAIN:
      return read_zone (request, call, CYC_CALL_DRAIN, error);
    case ENDPOINT_UNDRAIN:
      return read_zone (request, call, CYC_CALL_UNDRAIN, error);
    case ENDPOINT_RESOLVE:
      call->kind = CYC_CALL_RESOLVE;
      call->resolve.region = cyc_call_query_value (request->target, "region");
      call->resolve.zone = cyc_call_query_value (request->target, "zone");
      return CY_OK;
    }
  return CY_E_NOT_FOUND;
}

cy_result
cyc_native_read (const struct cyc_http_request *request, struct cyc_call *call,
                 struct cyj_error *error)
{
  size_t length = strcspn (request->target, "?");
  bool path_exists = false;
  for (size_t i = 0; i < G_N_ELEMENTS (endpoints); i++)
    {
      if (strlen (endpoints[i].path) != length
          || strncmp (endpoints[i].path, request->target, length) != 0)
        continue;
      path_exists = true;
      if (strcmp (endpoints[i].method, request->method) != 0)
        continue;
      cy_result result
          = read_endpoint (request, endpoints[i].endpoint, call, error);
      if (result != CY_OK)
        cyc_call_clear (call);
      return result;
    }
  return path_exists ? CY_E_UNSUPPORTED : CY_E_NOT_FOUND;
}

char *
cyc_native_write (enum cyc_call_kind kind, const Cy__Document *document,
                  const Cy__EntryVm *const *entries, size_t count)
{
  if (kind == CYC_CALL_READ)
    return strdup (document->text);
  json_t *root = json_object ();
  if (kind == CYC_CALL_RESOLVE)
    {
      json_t *list = json_array ();
      for (size_t i = 0; i < count; i++)
        json_array_append_new (
            list, json_pack ("{ss ss si ss}", "vm", entries[i]->vm, "host",
                             entries[i]->host, "port", (int)entries[i]->port,
                             "zone", entries[i]->zone));
      json_object_set_new (root, "entry_vms", list);
      json_object_set_new (root, "ttl_ms", json_integer (CYC_CALL_TTL_MS));
    }
  char *text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  return text;
}

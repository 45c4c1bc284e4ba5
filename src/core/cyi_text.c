/* Reads numbered declarations from JSON and prints them as JSON.  */

#include <math.h>
#include <string.h>

#include "core/cyi_document.h"

/* The object being read, and the error that a failure fills.  */
struct reader
{
  struct cyj_error *error;
  const char *section; /* section of the document, such as "routes" */
  const char *name;    /* name of the object within SECTION */
};

static cy_result
fail_field (struct reader *reader, const char *field, const char *expected)
{
  g_snprintf (reader->error->path, sizeof reader->error->path, "%s.%s.%s",
              reader->section, reader->name, field);
  g_snprintf (reader->error->detail, sizeof reader->error->detail,
              "must be %s", expected);
  return CY_E_DECL_FIELD;
}

/* ------------------------------------------------------------ fields */

static cy_result
read_string (struct reader *reader, const json_t *source, const char *field,
             char **text)
{
  const json_t *value = json_object_get (source, field);
  if (!json_is_string (value))
    return fail_field (reader, field, "a text");
  *text = g_strdup (json_string_value (value));
  return CY_OK;
}

/* Reads a number from 0 to MAXIMUM; absent or null leaves *NUMBER
   unchanged.  */
static cy_result
read_number (struct reader *reader, const json_t *source, const char *field,
             double maximum, double *number)
{
  const json_t *value = json_object_get (source, field);
  if (value == NULL || json_is_null (value))
    return CY_OK;
  double parsed = json_number_value (value);
  if (!json_is_number (value) || !(parsed >= 0 && parsed <= maximum))
    return fail_field (reader, field, "a number of 0 or more");
  *number = parsed;
  return CY_OK;
}

static cy_result
read_count (struct reader *reader, const json_t *source, const char *field,
            double maximum, uint32_t *count)
{
  double number = *count;
  cy_result result = read_number (reader, source, field, maximum, &number);
  *count = (uint32_t)number;
  return result;
}

/* Reads a whole number of bytes, exactly beyond the precision of a double.  */
static cy_result
read_bytes (struct reader *reader, const json_t *source, const char *field,
            uint64_t *bytes)
{
  const json_t *value = json_object_get (source, field);
  double number = 0;
  if (json_is_integer (value) && json_integer_value (value) >= 0)
    {
      *bytes = (uint64_t)json_integer_value (value);
      return CY_OK;
    }
  cy_result result
      = read_number (reader, source, field, (double)(1LL << 53), &number);
  *bytes = (uint64_t)number;
  return result;
}

static cy_result
read_flag (struct reader *reader, const json_t *source, const char *field,
           bool *flag)
{
  const json_t *value = json_object_get (source, field);
  if (value == NULL || json_is_null (value))
    return CY_OK;
  if (!json_is_boolean (value))
    return fail_field (reader, field, "true or false");
  *flag = json_is_true (value);
  return CY_OK;
}

/* Reads a list of strings into *STRINGS, freed by g_strfreev.  An absent, null
   or empty list leaves *STRINGS unchanged.  */
static cy_result
read_strings (struct reader *reader, const json_t *source, const char *field,
              char ***strings)
{
  const json_t *list = json_object_get (source, field);
  if (list == NULL || json_is_null (list))
    return CY_OK;
  if (!json_is_array (list))
    return fail_field (reader, field, "a list of texts");
  size_t count = json_array_size (list);
  if (count == 0)
    return CY_OK;
  *strings = g_new0 (char *, count + 1);
  for (size_t i = 0; i < count; i++)
    {
      const json_t *value = json_array_get (list, i);
      if (!json_is_string (value))
        return fail_field (reader, field, "a list of texts");
      (*strings)[i] = g_strdup (json_string_value (value));
    }
  return CY_OK;
}

/* ------------------------------------------------------------ objects */

static cy_result
read_backends (struct reader *reader, const json_t *source,
               struct cyi_route *route)
{
  const json_t *list = json_object_get (source, "backends");
  if (!json_is_array (list))
    return fail_field (reader, "backends", "a list");
  for (size_t i = 0; i < json_array_size (list); i++)
    {
      const json_t *value = json_array_get (list, i);
      const json_t *weight = json_object_get (value, "weight");
      const char *service
          = json_string_value (json_object_get (value, "service"));
      if (service == NULL || (weight != NULL && !json_is_number (weight)))
        return fail_field (reader, "backends", "a list of {service, weight}");
      cyi_route_add_backend (route, service,
                             weight == NULL ? 1 : json_number_value (weight));
    }
  return CY_OK;
}

static cy_result
read_route (struct reader *reader, const json_t *source,
            struct cyi_document *document)
{
  struct cyi_route *route = cyi_document_add_route (document);
  route->name = g_strdup (reader->name);
  cy_result result = read_string (reader, source, "host", &route->host);
  if (result == CY_OK)
    result = read_string (reader, source, "prefix", &route->prefix);
  if (result == CY_OK)
    result = read_flag (reader, source, "idempotent", &route->idempotent);
  if (result == CY_OK)
    result = read_flag (reader, source, "open", &route->open);
  if (result == CY_OK)
    result = read_flag (reader, source, "sticky", &route->sticky);
  if (result == CY_OK)
    result = read_count (reader, source, "timeout_ms", CYI_TIME_MAX_MS,
                         &route->timeout_ms);
  if (result == CY_OK)
    result = read_count (reader, source, "goal_ms", CYI_TIME_MAX_MS,
                         &route->goal_ms);
  if (result == CY_OK)
    result = read_count (reader, source, "rank", CYI_RANK_LAST, &route->rank);
  if (result == CY_OK)
    result = read_count (reader, source, "attempts", CYI_COUNT_MAX,
                         &route->attempts);
  if (result == CY_OK)
    result = read_strings (reader, source, "homes", &route->home_regions);
  if (result == CY_OK)
    result = read_backends (reader, source, route);
  return result;
}

static cy_result
read_service (struct reader *reader, const json_t *source,
              struct cyi_document *document)
{
  struct cyi_service *service = cyi_document_add_service (document);
  service->name = g_strdup (reader->name);
  cy_result result = json_object_get (source, "health_path") == NULL
                         ? CY_OK
                         : read_string (reader, source, "health_path",
                                        &service->health_path);
  if (result == CY_OK)
    result = read_count (reader, source, "connections", CYI_COUNT_MAX,
                         &service->connections);
  if (result == CY_OK)
    result = read_count (reader, source, "cold_ms", CYI_TIME_MAX_MS,
                         &service->cold_ms);
  if (result == CY_OK)
    result = read_number (reader, source, "cold_per_s", CYI_COUNT_MAX,
                          &service->cold_per_s);
  return result;
}

static cy_result
read_workspace (struct reader *reader, const json_t *source,
                struct cyi_document *document)
{
  struct cyi_workspace *workspace = cyi_document_add_workspace (document);
  workspace->name = g_strdup (reader->name);
  const json_t *rank = json_object_get (source, "rank");
  workspace->has_rank = rank != NULL && !json_is_null (rank);
  cy_result result = read_strings (reader, source, "keys", &workspace->keys);
  if (result == CY_OK)
    result
        = read_count (reader, source, "rank", CYI_RANK_LAST, &workspace->rank);
  if (result == CY_OK)
    result = read_number (reader, source, "rate", CYI_COUNT_MAX,
                          &workspace->rate);
  if (result == CY_OK)
    result = read_number (reader, source, "burst", CYI_COUNT_MAX,
                          &workspace->burst);
  if (result == CY_OK)
    result = read_strings (reader, source, "homes", &workspace->home_regions);
  return result;
}

static cy_result
read_limits (struct reader *reader, const json_t *source,
             struct cyi_limits *limits)
{
  reader->section = "limits";
  reader->name = "fleet";
  cy_result result = read_count (reader, source, "header_bytes", CYI_COUNT_MAX,
                                 &limits->header_bytes);
  if (result == CY_OK)
    result = read_bytes (reader, source, "body_bytes", &limits->body_bytes);
  if (result == CY_OK)
    result = read_count (reader, source, "header_ms", CYI_TIME_MAX_MS,
                         &limits->header_ms);
  if (result == CY_OK)
    result = read_count (reader, source, "idle_ms", CYI_TIME_MAX_MS,
                         &limits->idle_ms);
  return result;
}

/* ------------------------------------------------------------ document */

typedef cy_result (*read_object_fn) (struct reader *reader,
                                     const json_t *source,
                                     struct cyi_document *document);

static const struct
{
  const char *name;
  read_object_fn read;
} sections[] = {
  { "services", read_service },
  { "routes", read_route },
  { "workspaces", read_workspace },
};

static cy_result
read_section (struct reader *reader, const json_t *root, size_t index,
              struct cyi_document *document)
{
  const json_t *section = json_object_get (root, sections[index].name);
  const char *name;
  json_t *value;
  reader->section = sections[index].name;
  reader->name = "";
  if (section == NULL)
    return CY_OK;
  if (!json_is_object (section))
    return fail_field (reader, "", "an object of names");
  json_object_foreach ((json_t *)section, name, value)
  {
    reader->name = name;
    if (!json_is_object (value))
      return fail_field (reader, "", "an object");
    cy_result result = sections[index].read (reader, value, document);
    if (result != CY_OK)
      return result;
  }
  return CY_OK;
}

cy_result
cyi_document_read (const char *text, size_t length, struct cyi_document **out,
                   struct cyj_error *error)
{
  struct reader reader = { error, "", "" };
  struct cyi_document *document = NULL;
  json_error_t parse_error;
  cy_result result = CY_E_DECL_SYNTAX;
  *out = NULL;
  json_t *root
      = json_loadb (text, length, JSON_REJECT_DUPLICATES, &parse_error);
  const json_t *number = json_object_get (root, "number");
  if (!json_is_object (root))
    {
      error->path[0] = '\0';
      g_snprintf (error->detail, sizeof error->detail,
                  "must be a JSON object: %s", parse_error.text);
      goto done;
    }
  result = CY_E_DECL_FIELD;
  if (!json_is_integer (number) || json_integer_value (number) < 1)
    {
      g_strlcpy (error->path, "number", sizeof error->path);
      g_strlcpy (error->detail, "must be a whole number of 1 or more",
                 sizeof error->detail);
      goto done;
    }
  document = cyi_document_create ((uint64_t)json_integer_value (number));
  result = CY_OK;
  for (size_t i = 0; result == CY_OK && i < G_N_ELEMENTS (sections); i++)
    result = read_section (&reader, root, i, document);
  if (result == CY_OK)
    result = read_limits (&reader, json_object_get (root, "limits"),
                          &document->limits);
  if (result == CY_OK)
    result = cyi_document_check (document, error);
done:
  json_decref (root);
  if (result == CY_OK)
    *out = document;
  else
    cyi_document_destroy (document);
  return result;
}

/* ------------------------------------------------------------ printing */

static json_t *
strings_to_json (char **strings)
{
  json_t *list = json_array ();
  for (char **text = strings; text != NULL && *text != NULL; text++)
    json_array_append_new (list, json_string (*text));
  return list;
}

static json_t *
route_to_json (const struct cyi_route *route)
{
  json_t *backends = json_array ();
  for (size_t i = 0; i < route->backend_count; i++)
    json_array_append_new (
        backends, json_pack ("{ss sf}", "service", route->backends[i].service,
                             "weight", route->backends[i].weight));
  return json_pack (
      "{ss ss sb sb sb si si si si so so}", "host", route->host, "prefix",
      route->prefix, "idempotent", (int)route->idempotent, "open",
      (int)route->open, "sticky", (int)route->sticky, "timeout_ms",
      (int)route->timeout_ms, "goal_ms", (int)route->goal_ms, "rank",
      (int)route->rank, "attempts", (int)route->attempts, "homes",
      strings_to_json (route->home_regions), "backends", backends);
}

static json_t *
service_to_json (const struct cyi_service *service)
{
  json_t *json = json_pack (
      "{si si sf}", "connections", (int)service->connections, "cold_ms",
      (int)service->cold_ms, "cold_per_s", service->cold_per_s);
  if (service->health_path != NULL)
    json_object_set_new (json, "health_path",
                         json_string (service->health_path));
  return json;
}

static json_t *
workspace_to_json (const struct cyi_workspace *workspace)
{
  json_t *json
      = json_pack ("{so sf sf so}", "keys", strings_to_json (workspace->keys),
                   "rate", workspace->rate, "burst", workspace->burst, "homes",
                   strings_to_json (workspace->home_regions));
  if (workspace->has_rank)
    json_object_set_new (json, "rank", json_integer (workspace->rank));
  return json;
}

/* Adds ROUTE, the one at POSITION in its document, under a name that no other
   route in ROUTES has.  */
static void
add_route (json_t *routes, guint position, const struct cyi_route *route)
{
  char *name = g_strdup (route->name);
  while (json_object_get (routes, name) != NULL)
    {
      char *longer = g_strdup_printf ("%s#%u", name, position);
      g_free (name);
      name = longer;
    }
  json_object_set_new (routes, name, route_to_json (route));
  g_free (name);
}

char *
cyi_document_print (const struct cyi_document *document)
{
  json_t *services = json_object ();
  json_t *routes = json_object ();
  json_t *workspaces = json_object ();
  for (guint i = 0; i < document->services->len; i++)
    {
      const struct cyi_service *service
          = g_ptr_array_index (document->services, i);
      json_object_set_new (services, service->name, service_to_json (service));
    }
  for (guint i = 0; i < document->routes->len; i++)
    {
      const struct cyi_route *route = g_ptr_array_index (document->routes, i);
      add_route (routes, i, route);
    }
  for (guint i = 0; i < document->workspaces->len; i++)
    {
      const struct cyi_workspace *workspace
          = g_ptr_array_index (document->workspaces, i);
      json_object_set_new (workspaces, workspace->name,
                           workspace_to_json (workspace));
    }
  const struct cyi_limits *limits = &document->limits;
  json_t *root = json_pack (
      "{sI so so so s{si sI si si}}", "number", (json_int_t)document->number,
      "services", services, "routes", routes, "workspaces", workspaces,
      "limits", "header_bytes", (int)limits->header_bytes, "body_bytes",
      (json_int_t)limits->body_bytes, "header_ms", (int)limits->header_ms,
      "idle_ms", (int)limits->idle_ms);
  /* All digits of a double: a rounded one can be out of range.  */
  char *text = json_dumps (root, JSON_COMPACT | JSON_REAL_PRECISION (17));
  json_decref (root);
  return text;
}

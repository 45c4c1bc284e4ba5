#include "core/cyi_document.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define HOST_BYTES_MAX 256 /* bytes of a host name with its port */

/* ------------------------------------------------- create and destroy */

static void
route_free (gpointer data)
{
  struct cyi_route *route = data;
  for (size_t i = 0; i < route->backend_count; i++)
    g_free (route->backends[i].service);
  g_free (route->backends);
  g_free (route->name);
  g_free (route->host);
  g_free (route->prefix);
  g_strfreev (route->home_regions);
  g_free (route);
}

static void
service_free (gpointer data)
{
  struct cyi_service *service = data;
  g_free (service->name);
  g_free (service->health_path);
  g_free (service);
}

static void
workspace_free (gpointer data)
{
  struct cyi_workspace *workspace = data;
  g_free (workspace->name);
  g_strfreev (workspace->keys);
  g_strfreev (workspace->home_regions);
  g_free (workspace);
}

struct cyi_document *
cyi_document_create (uint64_t number)
{
  struct cyi_document *document = g_new0 (struct cyi_document, 1);
  document->number = number;
  document->routes = g_ptr_array_new_with_free_func (route_free);
  document->services = g_ptr_array_new_with_free_func (service_free);
  document->workspaces = g_ptr_array_new_with_free_func (workspace_free);
  document->routes_by_host = g_hash_table_new_full (
      g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_hash_table_unref);
  document->workspaces_by_key = g_hash_table_new (g_str_hash, g_str_equal);
  document->workspaces_by_name = g_hash_table_new (g_str_hash, g_str_equal);
  document->services_by_name = g_hash_table_new (g_str_hash, g_str_equal);
  return document;
}

void
cyi_document_destroy (struct cyi_document *document)
{
  if (document == NULL)
    return;
  g_hash_table_destroy (document->routes_by_host);
  g_hash_table_destroy (document->workspaces_by_key);
  g_hash_table_destroy (document->workspaces_by_name);
  g_hash_table_destroy (document->services_by_name);
  g_ptr_array_unref (document->routes);
  g_ptr_array_unref (document->services);
  g_ptr_array_unref (document->workspaces);
  g_free (document);
}

struct cyi_route *
cyi_document_add_route (struct cyi_document *document)
{
  struct cyi_route *route = g_new0 (struct cyi_route, 1);
  route->rank = CYI_RANK_LAST;
  route->attempts = 1;
  g_ptr_array_add (document->routes, route);
  return route;
}

struct cyi_service *
cyi_document_add_service (struct cyi_document *document)
{
  struct cyi_service *service = g_new0 (struct cyi_service, 1);
  g_ptr_array_add (document->services, service);
  return service;
}

struct cyi_workspace *
cyi_document_add_workspace (struct cyi_document *document)
{
  struct cyi_workspace *workspace = g_new0 (struct cyi_workspace, 1);
  g_ptr_array_add (document->workspaces, workspace);
  return workspace;
}

void
cyi_route_add_backend (struct cyi_route *route, const char *service,
                       double weight)
{
  route->backends = g_renew (struct cyi_backend, route->backends,
                             route->backend_count + 1);
  route->backends[route->backend_count].service = g_strdup (service);
  route->backends[route->backend_count].weight = weight;
  route->backend_count++;
}

/* ------------------------------------------------------------ checking */

static cy_result fail_field (struct cyj_error *error, cy_result result,
                             const char *section, const char *name,
                             const char *field, const char *format, ...)
    G_GNUC_PRINTF (6, 7);

static cy_result
fail_field (struct cyj_error *error, cy_result result, const char *section,
            const char *name, const char *field, const char *format, ...)
{
  va_list arguments;
  g_snprintf (error->path, sizeof error->path, "%s.%s%s%s", section, name,
              field[0] != '\0' ? "." : "", field);
  va_start (arguments, format);
  g_vsnprintf (error->detail, sizeof error->detail, format, arguments);
  va_end (arguments);
  return result;
}

static cy_result
check_name (struct cyj_error *error, const char *section, const char *name)
{
  if (strlen (name) <= CYI_NAME_MAX)
    return CY_OK;
  return fail_field (error, CY_E_DECL_FIELD, section, name, "name",
                     "must have at most %d bytes, has %zu", CYI_NAME_MAX,
                     strlen (name));
}

static cy_result
check_backends (const struct cyi_document *document,
                const struct cyi_route *route, struct cyj_error *error)
{
  if (route->backend_count == 0)
    return fail_field (error, CY_E_DECL_FIELD, "routes", route->name,
                       "backends", "must name a service");
  for (size_t i = 0; i < route->backend_count; i++)
    {
      const struct cyi_backend *backend = &route->backends[i];
      if (cyi_document_find_service (document, backend->service) == NULL)
        return fail_field (error, CY_E_DECL_REFERENCE, "routes", route->name,
                           "backends", "service \"%s\" is not declared",
                           backend->service);
      if (!isfinite (backend->weight) || backend->weight < 0)
        return fail_field (error, CY_E_DECL_FIELD, "routes", route->name,
                           "weight", "must be 0 or more, is %g",
                           backend->weight);
    }
  return CY_OK;
}

static cy_result
check_route (const struct cyi_document *document,
             const struct cyi_route *route, struct cyj_error *error)
{
  if (route->host == NULL || route->host[0] == '\0')
    return fail_field (error, CY_E_DECL_FIELD, "routes", route->name, "host",
                       "must not be empty");
  if (route->prefix == NULL || route->prefix[0] != '/'
      || !g_str_has_suffix (route->prefix, "/"))
    return fail_field (error, CY_E_DECL_FIELD, "routes", route->name, "prefix",
                       "must begin and end with a slash, is \"%s\"",
                       route->prefix == NULL ? "" : route->prefix);
  if (route->timeout_ms == 0)
    return fail_field (error, CY_E_DECL_FIELD, "routes", route->name,
                       "timeout_ms", "must be above 0");
  return check_backends (document, route, error);
}

/* Adds ROUTE to the index by host and prefix.  Returns false when another
   route has the same host and prefix.  */
static bool
index_route (struct cyi_document *document, struct cyi_route *route)
{
  char *host = g_ascii_strdown (route->host, -1);
  GHashTable *routes = g_hash_table_lookup (document->routes_by_host, host);
  if (routes == NULL)
    {
      routes = g_hash_table_new (g_str_hash, g_str_equal);
      g_hash_table_insert (document->routes_by_host, g_strdup (host), routes);
    }
  g_free (host);
  document->longest_prefix_bytes
      = MAX (document->longest_prefix_bytes, strlen (route->prefix));
  return g_hash_table_insert (routes, route->prefix, route);
}

static cy_result
check_routes (struct cyi_document *document, struct cyj_error *error)
{
  for (guint i = 0; i < document->routes->len; i++)
    {
      struct cyi_route *route = g_ptr_array_index (document->routes, i);
      cy_result result = check_route (document, route, error);
      if (result != CY_OK)
        return result;
      if (!index_route (document, route))
        return fail_field (error, CY_E_DECL_FIELD, "routes", route->name,
                           "prefix",
                           "another route has host \"%s\" and prefix \"%s\"",
                           route->host, route->prefix);
    }
  return CY_OK;
}

static cy_result
check_workspaces (struct cyi_document *document, struct cyj_error *error)
{
  for (guint i = 0; i < document->workspaces->len; i++)
    {
      struct cyi_workspace *workspace
          = g_ptr_array_index (document->workspaces, i);
      const char *name = workspace->name;
      cy_result result = check_name (error, "workspaces", name);
      if (result != CY_OK)
        return result;
      if (!isfinite (workspace->rate) || workspace->rate < 0
          || !isfinite (workspace->burst) || workspace->burst < 0)
        return fail_field (error, CY_E_DECL_FIELD, "workspaces", name, "rate",
                           "rate and burst must be 0 or more");
      if (!g_hash_table_insert (document->workspaces_by_name, workspace->name,
                                workspace))
        return fail_field (error, CY_E_DECL_FIELD, "workspaces", name, "name",
                           "is declared twice");
      for (char **key = workspace->keys; key != NULL && *key != NULL; key++)
        {
          const struct cyi_workspace *holder
              = g_hash_table_lookup (document->workspaces_by_key, *key);
          if (holder != NULL && holder != workspace)
            return fail_field (error, CY_E_DECL_FIELD, "workspaces", name,
                               "keys", "a key is also one of workspace \"%s\"",
                               holder->name);
          g_hash_table_insert (document->workspaces_by_key, *key, workspace);
        }
    }
  return CY_OK;
}

cy_result
cyi_document_check (struct cyi_document *document, struct cyj_error *error)
{
  for (guint i = 0; i < document->services->len; i++)
    {
      struct cyi_service *service = g_ptr_array_index (document->services, i);
      cy_result result = check_name (error, "services", service->name);
      if (result != CY_OK)
        return result;
      if (!g_hash_table_insert (document->services_by_name, service->name,
                                service))
        return fail_field (error, CY_E_DECL_FIELD, "services", service->name,
                           "name", "is declared twice");
    }
  cy_result result = check_routes (document, error);
  return result == CY_OK ? check_workspaces (document, error) : result;
}

/* ------------------------------------------------------------ lookups */

const struct cyi_route *
cyi_document_find_route (const struct cyi_document *document, const char *host,
                         const char *path)
{
  char name[HOST_BYTES_MAX];
  if (host == NULL || strlen (host) >= sizeof name)
    return NULL;
  for (size_t i = 0; i <= strlen (host); i++)
    name[i] = g_ascii_tolower (host[i]);
  GHashTable *routes = g_hash_table_lookup (document->routes_by_host, name);
  char *colon = strrchr (name, ':');
  if (routes == NULL && colon != NULL)
    {
      *colon = '\0';
      routes = g_hash_table_lookup (document->routes_by_host, name);
    }
  if (routes == NULL)
    return NULL;
  /* Prefixes end with a slash: tries the beginnings of PATH that end with one,
     the longest first.  */
  char *beginning = g_strndup (path, document->longest_prefix_bytes);
  const struct cyi_route *route = NULL;
  for (size_t length = strlen (beginning); length > 0 && route == NULL;
       length--)
    {
      beginning[length] = '\0';
      if (beginning[length - 1] == '/')
        route = g_hash_table_lookup (routes, beginning);
    }
  g_free (beginning);
  return route;
}

char **
cyi_common_homes (const struct cyi_route *route,
                  const struct cyi_workspace *workspace)
{
  char **first = route->home_regions;
  char **second = workspace == NULL ? NULL : workspace->home_regions;
  if (first == NULL || second == NULL)
    return g_strdupv (first != NULL ? first : second);
  GPtrArray *common = g_ptr_array_new ();
  for (char **region = first; *region != NULL; region++)
    if (g_strv_contains ((const char *const *)second, *region))
      g_ptr_array_add (common, g_strdup (*region));
  g_ptr_array_add (common, NULL);
  return (char **)g_ptr_array_free (common, FALSE);
}

/* True when both lists of regions are given and have none in common.  */
static bool
are_disjoint (char **first, char **second)
{
  if (first == NULL || second == NULL)
    return false;
  for (char **region = first; *region != NULL; region++)
    if (g_strv_contains ((const char *const *)second, *region))
      return false;
  return true;
}

size_t
cyi_document_count_homeless (const struct cyi_document *document,
                             const struct cyi_route **route,
                             const struct cyi_workspace **workspace)
{
  size_t count = 0;
  for (guint i = 0; i < document->routes->len; i++)
    {
      const struct cyi_route *one = g_ptr_array_index (document->routes, i);
      if (one->open || one->home_regions == NULL)
        continue;
      for (guint j = 0; j < document->workspaces->len; j++)
        {
          const struct cyi_workspace *other
              = g_ptr_array_index (document->workspaces, j);
          bool homeless
              = are_disjoint (one->home_regions, other->home_regions);
          if (homeless && count++ == 0)
            {
              *route = one;
              *workspace = other;
            }
        }
    }
  return count;
}

const struct cyi_workspace *
cyi_document_find_workspace_by_key (const struct cyi_document *document,
                                    const char *key, size_t length)
{
  char text[CYI_KEY_MAX + 1];
  if (length == 0 || length > CYI_KEY_MAX)
    return NULL;
  memcpy (text, key, length);
  text[length] = '\0';
  return g_hash_table_lookup (document->workspaces_by_key, text);
}

const struct cyi_workspace *
cyi_document_find_workspace (const struct cyi_document *document,
                             const char *name)
{
  return g_hash_table_lookup (document->workspaces_by_name, name);
}

const struct cyi_service *
cyi_document_find_service (const struct cyi_document *document,
                           const char *name)
{
  return g_hash_table_lookup (document->services_by_name, name);
}

const char *
cyi_route_choose_service (const struct cyi_route *route, double unit)
{
  double sum = 0;
  const char *last = NULL;
  for (size_t i = 0; i < route->backend_count; i++)
    sum += route->backends[i].weight;
  double position = unit * sum;
  for (size_t i = 0; i < route->backend_count; i++)
    {
      const struct cyi_backend *backend = &route->backends[i];
      if (backend->weight <= 0)
        continue;
      last = backend->service;
      if (position < backend->weight)
        break;
      position -= backend->weight;
    }
  return last;
}

uint64_t
cyi_json_digest (const json_t *json)
{
  char *text
      = json_dumps (json, JSON_SORT_KEYS | JSON_COMPACT | JSON_ENCODE_ANY
                              | JSON_REAL_PRECISION (15));
  uint64_t digest = text == NULL ? 1 : XXH64 (text, strlen (text), 0);
  free (text);
  return digest != 0 ? digest : 1;
}

/* Declares services and their routes.  */

#include <string.h>

#include "declare/cydeclare_json.h"

cy_result
cydeclare_service (struct cydeclare *d, const char *service)
{
  return cydeclare_add (d, "services", service, json_object ());
}

cy_result
cydeclare_timeout (struct cydeclare *d, const char *service, uint32_t ms)
{
  if (!cydeclare_check_range (d, "timeout_ms", ms, 1, 600000))
    return d->result;
  return cydeclare_set (d, "services", service, "timeout_ms",
                        json_integer (ms));
}

cy_result
cydeclare_body_max (struct cydeclare *d, const char *service, uint32_t bytes)
{
  if (!cydeclare_check_range (d, "max_body_bytes", bytes, 0,
                              64.0 * 1024 * 1024))
    return d->result;
  return cydeclare_set (d, "services", service, "max_body_bytes",
                        json_integer (bytes));
}

/* Returns the route PREFIX of SERVICE, NULL if there is none.  */
static json_t *
find_route (struct cydeclare *d, const char *service, const char *prefix)
{
  size_t i;
  json_t *route;
  json_t *services = json_object_get (d->root, "services");
  json_t *routes
      = json_object_get (json_object_get (services, service), "routes");
  json_array_foreach (routes, i, route)
  {
    const char *declared
        = json_string_value (json_object_get (route, "prefix"));
    if (strcmp (declared, prefix) == 0)
      return route;
  }
  return NULL;
}

static cy_result
add_route (struct cydeclare *d, const char *service, const char *prefix,
           bool open)
{
  if (!cydeclare_check_declared (d, "services", service))
    return d->result;
  if (prefix == NULL || prefix[0] != '/' || strlen (prefix) > 255)
    return cydeclare_fail (d, CY_E_DECL_FIELD,
                           "route of service %s must start with /", service);
  if (find_route (d, service, prefix) != NULL)
    return cydeclare_fail (d, CY_E_EXISTS, "route %s of service %s", prefix,
                           service);
  json_t *body
      = json_object_get (json_object_get (d->root, "services"), service);
  json_t *routes = json_object_get (body, "routes");
  if (routes == NULL)
    {
      routes = json_array ();
      json_object_set_new (body, "routes", routes);
    }
  json_t *route = json_pack ("{sssb}", "prefix", prefix, "open", open);
  if (json_array_append_new (routes, route) != 0)
    return cydeclare_fail (d, CY_E_MEMORY, "route of service %s", service);
  return CY_OK;
}

cy_result
cydeclare_open_route (struct cydeclare *d, const char *service,
                      const char *prefix)
{
  return add_route (d, service, prefix, true);
}

cy_result
cydeclare_keyed_route (struct cydeclare *d, const char *service,
                       const char *prefix)
{
  return add_route (d, service, prefix, false);
}

cy_result
cydeclare_idempotent_post (struct cydeclare *d, const char *service,
                           const char *prefix)
{
  if (!cydeclare_check_declared (d, "services", service))
    return d->result;
  json_t *route = prefix != NULL ? find_route (d, service, prefix) : NULL;
  if (route == NULL)
    return cydeclare_fail (d, CY_E_DECL_REFERENCE,
                           "route %s of service %s is not declared",
                           prefix != NULL ? prefix : "", service);
  json_object_set_new (route, "idempotent_post", json_true ());
  return CY_OK;
}

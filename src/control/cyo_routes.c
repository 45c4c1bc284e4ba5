/* Routes of the operators' HTTP interface.  */

#include <string.h>

#include "control/cyo_request.h"
#include "core/cyj_declaration.h"

#define SMALL_BODY_BYTES_MAX 16384

static const struct cyo_route routes[] = {
  { "POST", "/v1/submit", cyo_handle_submit, CYJ_DOCUMENT_BYTES_MAX, false,
    false },
  { "POST", "/v1/diff", cyo_handle_diff, CYJ_DOCUMENT_BYTES_MAX, false,
    false },
  { "GET", "/v1/state", cyo_handle_state, 0, false, false },
  { "GET", "/v1/history", cyo_handle_history, 0, false, false },
  { "POST", "/v1/rollback", cyo_handle_rollback, SMALL_BODY_BYTES_MAX, false,
    false },
  { "POST", "/v1/keys", cyo_handle_key_issue, SMALL_BODY_BYTES_MAX, false,
    false },
  { "GET", "/v1/keys", cyo_handle_keys, 0, false, false },
  { "POST", "/v1/keys/*/withdraw", cyo_handle_key_withdraw,
    SMALL_BODY_BYTES_MAX, false, false },
  { "POST", "/v1/drains", cyo_handle_drain, SMALL_BODY_BYTES_MAX, false,
    false },
  { "DELETE", "/v1/drains", cyo_handle_undrain, 0, false, false },
  { "GET", "/v1/drains", cyo_handle_drains, 0, false, false },
  { "GET", "/v1/preview", cyo_handle_preview, 0, false, false },
  { "GET", "/v1/audit", cyo_handle_audit, 0, false, false },
  { "GET", "/v1/status", cyo_handle_status, 0, false, false },
  { "GET", "/v1/children", cyo_handle_children, 0, false, false },
  { "POST", "/v1/members", cyo_handle_member_add, SMALL_BODY_BYTES_MAX, false,
    false },
  { "DELETE", "/v1/members/*", cyo_handle_member_remove, 0, false, false },
  { "GET", "/v1/why", cyo_handle_why, 0, false, false },
  { "GET", "/metrics", cyo_handle_metrics, 0, true, true },
  { "GET", "/healthz", cyo_handle_health, 0, true, true },
  { "GET", "/readyz", cyo_handle_ready, 0, true, false },
};

/* True when PATH matches PATTERN; then sets *NAME to the text in place of the
   '*', if PATTERN has one.  */
static bool
path_matches (const char *pattern, const char *path, char **name)
{
  const char *star = strchr (pattern, '*');
  if (star == NULL)
    return strcmp (pattern, path) == 0;
  size_t head = (size_t)(star - pattern);
  size_t tail = strlen (star + 1);
  size_t length = strlen (path);
  if (length <= head + tail || strncmp (pattern, path, head) != 0
      || strcmp (path + length - tail, star + 1) != 0)
    return false;
  char *middle = g_strndup (path + head, length - head - tail);
  if (strchr (middle, '/') != NULL)
    {
      g_free (middle);
      return false;
    }
  g_free (*name);
  *name = middle;
  return true;
}

const struct cyo_route *
cyo_route_find (struct cyo_request *request)
{
  bool known_path = false;
  for (size_t i = 0; i < G_N_ELEMENTS (routes); i++)
    {
      if (!path_matches (routes[i].path, request->path, &request->name))
        continue;
      known_path = true;
      if (strcmp (routes[i].method, request->method) == 0)
        return &routes[i];
    }
  if (known_path)
    cyo_answer_problem (request, CY_E_UNSUPPORTED, "",
                        "this path does not take this method", NULL);
  else
    cyo_answer_problem (request, CY_E_NOT_FOUND, "", "no such path", NULL);
  return NULL;
}

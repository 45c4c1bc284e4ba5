#include "hub/cyc_call.h"

#include <glib.h>
#include <string.h>

#include "platform/cyplat_calls.h"

cy_result
cyc_dialect_read (const char *text, enum cyc_dialect *dialect)
{
  if (strcmp (text, "native") == 0)
    *dialect = CYC_NATIVE;
  else if (strcmp (text, "platform") == 0)
    *dialect = CYC_PLATFORM;
  else
    return CY_E_SETTING_INVALID;
  return CY_OK;
}

static const struct
{
  const char *path;
  enum cyc_call_kind kind;
} common_calls[] = {
  { "/metrics", CYC_CALL_METRICS },
  { "/healthz", CYC_CALL_HEALTH },
  { "/v1/status", CYC_CALL_STATUS },
};

/* Parses the calls that every dialect has.  */
static bool
read_common (const struct cyc_http_request *request, struct cyc_call *call)
{
  size_t length = strcspn (request->target, "?");
  if (strcmp (request->method, "GET") != 0)
    return false;
  for (size_t i = 0; i < G_N_ELEMENTS (common_calls); i++)
    if (strlen (common_calls[i].path) == length
        && strncmp (request->target, common_calls[i].path, length) == 0)
      {
        call->kind = common_calls[i].kind;
        return true;
      }
  return false;
}

cy_result
cyc_call_read (enum cyc_dialect dialect,
               const struct cyc_http_request *request, struct cyc_call *call,
               struct cyj_error *error)
{
  memset (call, 0, sizeof *call);
  memset (error, 0, sizeof *error);
  if (read_common (request, call))
    return CY_OK;
  switch (dialect)
    {
    case CYC_NATIVE:
      return cyc_native_read (request, call, error);
    case CYC_PLATFORM:
      return cyplat_call_read (request, call, error);
    }
  return CY_E_NOT_FOUND;
}

void
cyc_call_clear (struct cyc_call *call)
{
  switch (call->kind)
    {
    case CYC_CALL_ANNOUNCE:
      if (call->instance != NULL)
        cy__instance__free_unpacked (call->instance, NULL);
      break;
    case CYC_CALL_DECLARE:
      cyi_document_destroy (call->declare.document);
      break;
    case CYC_CALL_DRAIN:
    case CYC_CALL_UNDRAIN:
      g_free (call->zone);
      break;
    case CYC_CALL_RESOLVE:
      g_free (call->resolve.region);
      g_free (call->resolve.zone);
      break;
    case CYC_CALL_READ:
    case CYC_CALL_STATUS:
    case CYC_CALL_METRICS:
    case CYC_CALL_HEALTH:
      break;
    }
  memset (call, 0, sizeof *call);
}

char *
cyc_call_write (enum cyc_dialect dialect, enum cyc_call_kind kind,
                const Cy__Document *document,
                const Cy__EntryVm *const *entries, size_t count)
{
  switch (dialect)
    {
    case CYC_NATIVE:
      return cyc_native_write (kind, document, entries, count);
    case CYC_PLATFORM:
      return cyplat_call_write (kind, document, entries, count);
    }
  return NULL;
}

char *
cyc_call_query_value (const char *target, const char *name)
{
  const char *query = strchr (target, '?');
  char *value = NULL;
  if (query == NULL)
    return NULL;
  char **pairs = g_strsplit (query + 1, "&", -1);
  size_t length = strlen (name);
  for (char **pair = pairs; *pair != NULL && value == NULL; pair++)
    if (strncmp (*pair, name, length) == 0 && (*pair)[length] == '=')
      value = g_uri_unescape_string (*pair + length + 1, NULL);
  g_strfreev (pairs);
  return value;
}

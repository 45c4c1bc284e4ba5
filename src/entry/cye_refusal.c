#include "entry/cye_refusal.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define RETRY_AFTER_MAX 24 /* bytes of a value of Retry-After with its NUL */

const char *
cye_outcome_text (enum cye_outcome outcome)
{
  switch (outcome)
    {
    case CYE_RAN:
      return "ran";
    case CYE_NOT_RUN:
      return "not-run";
    case CYE_UNKNOWN:
      return "unknown";
    }
  return "unknown";
}

static const struct
{
  cy_result result;
  unsigned status;
} statuses[] = {
  { CY_E_KEY_MISSING, 401 },      { CY_E_KEY_MALFORMED, 401 },
  { CY_E_KEY_UNKNOWN, 401 },      { CY_E_KEY_WITHDRAWN, 401 },
  { CY_E_KEY_EXPIRED, 401 },      { CY_E_KEY_MISPLACED, 400 },
  { CY_E_KEY_WORKSPACE, 403 },    { CY_E_RATE_EXCEEDED, 429 },
  { CY_E_QUOTA_UNKNOWN, 403 },    { CY_E_REQUEST_MALFORMED, 400 },
  { CY_E_TOO_LARGE, 431 },        { CY_E_BODY_TOO_LARGE, 413 },
  { CY_E_SERVICE_UNKNOWN, 404 },  { CY_E_ROUTE_UNKNOWN, 404 },
  { CY_E_NOT_FOUND, 404 },        { CY_E_UNSUPPORTED, 405 },
  { CY_E_ANNOUNCE_INVALID, 400 }, { CY_E_ZONE_MISMATCH, 409 },
  { CY_E_EXISTS, 409 },           { CY_E_BACKEND_FAILED, 502 },
  { CY_E_TIMEOUT, 504 },          { CY_E_ARGUMENT, 400 },
  { CY_E_ANSWER_INVALID, 502 },   { CY_E_METHOD_TOO_LONG, 501 },
};

unsigned
cye_refusal_status (cy_result result)
{
  for (size_t i = 0; i < G_N_ELEMENTS (statuses); i++)
    if (statuses[i].result == result)
      return statuses[i].status;
  return 503;
}

void
cye_refusal_add_vms (void *root, const struct cye_answer *answer)
{
  json_t *list = json_array ();
  for (size_t i = 0; i < answer->count; i++)
    {
      const struct cye_choice *choice = &answer->choices[i];
      json_array_append_new (
          list, json_pack ("{ss ss si ss ss}", "vm", choice->vm, "host",
                           choice->host, "port", (int)choice->port, "zone",
                           choice->zone, "region", choice->region));
    }
  json_object_set_new (root, "entry_vms", list);
}

/* Writes the value of Retry-After to TEXT.  */
static void
print_retry_after (const struct cye_names *names, uint32_t retry_after_ms,
                   char text[RETRY_AFTER_MAX])
{
  if (names->fractional_retry_after)
    g_snprintf (text, RETRY_AFTER_MAX, "%u.%03u", retry_after_ms / 1000,
                retry_after_ms % 1000);
  else
    g_snprintf (text, RETRY_AFTER_MAX, "%u", (retry_after_ms + 999) / 1000);
}

/* Returns the problem as JSON, to be freed with free.  */
static char *
print_problem (cy_result result, enum cye_outcome outcome,
               uint32_t retry_after_ms, const struct cye_answer *alternatives)
{
  unsigned status = cye_refusal_status (result);
  json_t *root = json_pack (
      "{ss ss si si ss ss}", "type", "about:blank", "title",
      cy_result_text (result), "status", (int)status, "code", (int)result,
      "name", cy_result_name (result), "outcome", cye_outcome_text (outcome));
  if (retry_after_ms > 0)
    json_object_set_new (root, "retry_after_ms",
                         json_integer (retry_after_ms));
  if (alternatives != NULL)
    cye_refusal_add_vms (root, alternatives);
  char *text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  return text;
}

struct MHD_Response *
cye_refusal_response (const struct cye_names *names, cy_result result,
                      enum cye_outcome outcome, uint32_t retry_after_ms,
                      const struct cye_answer *alternatives)
{
  unsigned status = cye_refusal_status (result);
  char seconds[RETRY_AFTER_MAX];
  char *text = print_problem (result, outcome, retry_after_ms, alternatives);
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (text), text, MHD_RESPMEM_MUST_FREE);
  MHD_add_response_header (response, "Content-Type",
                           "application/problem+json");
  if (names->reports_times)
    MHD_add_response_header (response, "Cy-Outcome",
                             cye_outcome_text (outcome));
  if (status == MHD_HTTP_UNAUTHORIZED && names->key_scheme[0] != '\0')
    MHD_add_response_header (response, "WWW-Authenticate", "Bearer");
  if (retry_after_ms > 0)
    {
      print_retry_after (names, retry_after_ms, seconds);
      MHD_add_response_header (response, "Retry-After", seconds);
    }
  return response;
}

GString *
cye_refusal_message (const struct cye_names *names, unsigned status,
                     cy_result result, enum cye_outcome outcome,
                     uint32_t retry_after_ms, bool has_body)
{
  char seconds[RETRY_AFTER_MAX];
  char *text = print_problem (result, outcome, retry_after_ms, NULL);
  GString *message = g_string_new (NULL);
  g_string_printf (message,
                   "HTTP/1.1 %u %s\r\nConnection: close\r\n"
                   "Content-Type: application/problem+json\r\n"
                   "Content-Length: %zu\r\n",
                   status, MHD_get_reason_phrase_for (status), strlen (text));
  if (names->reports_times)
    g_string_append_printf (message, "Cy-Outcome: %s\r\n",
                            cye_outcome_text (outcome));
  if (retry_after_ms > 0)
    {
      print_retry_after (names, retry_after_ms, seconds);
      g_string_append_printf (message, "Retry-After: %s\r\n", seconds);
    }
  g_string_append_printf (message, "\r\n%s", has_body ? text : "");
  free (text);
  return message;
}

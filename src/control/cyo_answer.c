/* Answers to operators; query arguments and bodies of their requests.  */

#include <string.h>

#include "control/cyo_request.h"

/* -------------------------------------------------------------- answers */

void
cyo_answer_text (struct cyo_request *request, unsigned status,
                 const char *type, char *text)
{
  g_free (request->answer);
  request->status = status;
  request->content_type = type;
  request->answer = text;
  request->answer_length = strlen (text);
}

static void
answer_json_as (struct cyo_request *request, unsigned status, const char *type,
                json_t *body)
{
  char *text = json_dumps (body, JSON_INDENT (1) | JSON_REAL_PRECISION (15));
  cyo_answer_text (request, status, type, text != NULL ? text : g_strdup (""));
  json_decref (body);
}

void
cyo_answer_json (struct cyo_request *request, unsigned status, json_t *body)
{
  answer_json_as (request, status, "application/json", body);
}

static unsigned
http_status_of (cy_result result)
{
  static const struct
  {
    cy_result result;
    unsigned status;
  } table[] = {
    { CY_OK, 200 },
    { CY_E_ARGUMENT, 400 },
    { CY_E_NOT_FOUND, 404 },
    { CY_E_EXISTS, 409 },
    { CY_E_TIMEOUT, 504 },
    { CY_E_AGAIN, 503 },
    { CY_E_FULL, 503 },
    { CY_E_TOO_LARGE, 413 },
    { CY_E_UNSUPPORTED, 405 },
    { CY_E_DECL_SYNTAX, 422 },
    { CY_E_DECL_FIELD, 422 },
    { CY_E_DECL_REFERENCE, 422 },
    { CY_E_VERSION_CONFLICT, 409 },
    { CY_E_REQUEST_REUSED, 409 },
    { CY_E_NOT_LEADER, 307 },
    { CY_E_NO_QUORUM, 503 },
    { CY_E_OUTCOME_UNKNOWN, 504 },
    { CY_E_OPERATOR_DENIED, 401 },
    { CY_E_MEMBER_BUSY, 409 },
    { CY_E_STORE_FULL, 507 },
    { CY_E_KEY_WITHDRAWN, 409 },
    { CY_E_PLAN_NO_ROOM, 409 },
    { CY_E_PLAN_STALE, 409 },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (table); i++)
    if (table[i].result == result)
      return table[i].status;
  return 500;
}

void
cyo_answer_problem (struct cyo_request *request, cy_result result,
                    const char *path, const char *detail, json_t *more)
{
  unsigned status = http_status_of (result);
  json_t *body
      = json_pack ("{sssssisiss}", "type", "about:blank", "title",
                   cy_result_text (result), "status", (int)status, "code",
                   (int)result, "name", cy_result_name (result));
  char *valid = g_utf8_make_valid (detail, -1);
  json_object_set_new (body, "detail", json_string (valid));
  g_free (valid);
  if (path[0] != '\0')
    json_object_set_new (body, "path", json_string (path));
  if (more != NULL)
    json_object_update (body, more);
  json_decref (more);
  answer_json_as (request, status, "application/problem+json", body);
}

void
cyo_answer_leader (struct cyo_request *request, const char *host,
                   uint16_t port)
{
  if (host == NULL || port == 0)
    {
      cyo_answer_problem (request, CY_E_NO_QUORUM, "",
                          "no leader is known here; try again", NULL);
      return;
    }
  bool is_ipv6 = strchr (host, ':') != NULL;
  char *leader = g_strdup_printf ("http://%s%s%s:%u", is_ipv6 ? "[" : "", host,
                                  is_ipv6 ? "]" : "", port);
  GString *location = g_string_new (leader);
  g_string_append (location, request->path);
  GHashTableIter iter;
  gpointer name, value;
  char separator = '?';
  g_hash_table_iter_init (&iter, request->arguments);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      char *escaped = g_uri_escape_string (value, NULL, FALSE);
      g_string_append_printf (location, "%c%s=%s", separator,
                              (const char *)name, escaped);
      g_free (escaped);
      separator = '&';
    }
  g_free (request->location);
  request->location = g_string_free (location, FALSE);
  cyo_answer_problem (request, CY_E_NOT_LEADER, "", "ask the leader instead",
                      json_pack ("{ss}", "leader", leader));
  g_free (leader);
}

/* -------------------------------------------------------------- reading */

const char *
cyo_argument (const struct cyo_request *request, const char *name)
{
  return g_hash_table_lookup (request->arguments, name);
}

bool
cyo_argument_number (struct cyo_request *request, const char *name,
                     uint64_t fallback, uint64_t *value)
{
  guint64 number = fallback;
  const char *text = cyo_argument (request, name);
  if (text != NULL
      && !g_ascii_string_to_unsigned (text, 10, 0, G_MAXINT64, &number, NULL))
    {
      cyo_answer_problem (request, CY_E_ARGUMENT, name,
                          "must be a whole number", NULL);
      return false;
    }
  *value = number;
  return true;
}

json_t *
cyo_body_json (struct cyo_request *request)
{
  json_error_t error;
  json_t *body
      = json_loadb ((const char *)request->body->data, request->body->len,
                    JSON_REJECT_DUPLICATES, &error);
  if (json_is_object (body))
    return body;
  json_decref (body);
  cyo_answer_problem (request, CY_E_ARGUMENT, "",
                      "the body must be a JSON object", NULL);
  return NULL;
}

bool
cyo_may_read_here (struct cyo_request *request, bool *confirmed)
{
  struct cyx_status status;
  bool here = true;
  memset (&status, 0, sizeof status);
  cyx_control_status (request->control, &status);
  *confirmed = status.leader && status.ready && status.age_ms >= 0;
  for (size_t i = 0; i < status.member_count && !status.leader; i++)
    {
      const struct cyx_member_status *member = &status.members[i];
      if (member->leader && member->id != status.self_id)
        {
          cyo_answer_leader (request, member->host, member->http_port);
          here = false;
          break;
        }
    }
  cyx_status_clear (&status);
  if (here && !*confirmed && cyo_argument (request, "confirmed") != NULL)
    {
      cyo_answer_problem (request, CY_E_NO_QUORUM, "",
                          "no leader with a quorum is known here; try again",
                          NULL);
      return false;
    }
  return here;
}

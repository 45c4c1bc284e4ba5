/* Changes by an operator: request ids, resends, refusals.  */

#include <inttypes.h>
#include <string.h>
#include <xxhash.h>

#include "base/cyu_log.h"
#include "base/cyu_metrics.h"
#include "control/cyo_request.h"

#define NOTE_BYTES_MAX 500 /* length of a refusal's note in the audit */

/* Digest of the request's content, which distinguishes a resend from another
   request with the same id.  The base version is left out: a program
   that runs again after a lost answer may first read a newer version.  */
static uint64_t
request_digest (const struct cyo_request *request)
{
  static const char *const arguments[] = { "to", "kind", "name" };
  GString *text = g_string_new (request->method);
  g_string_append_printf (text, " %s", request->path);
  for (size_t i = 0; i < G_N_ELEMENTS (arguments); i++)
    {
      const char *value = cyo_argument (request, arguments[i]);
      g_string_append_printf (text, "\n%s", value != NULL ? value : "");
    }
  g_string_append_c (text, '\n');
  g_string_append_len (text, (const char *)request->body->data,
                       request->body->len);
  uint64_t digest = XXH64 (text->str, text->len, 0);
  g_string_free (text, TRUE);
  return digest != 0 ? digest : 1;
}

static bool
is_request_id (const char *text)
{
  if (text == NULL || text[0] == '\0'
      || strlen (text) > CYO_REQUEST_ID_BYTES_MAX)
    return false;
  for (; *text != '\0'; text++)
    if (!g_ascii_isalnum (*text) && strchr ("-_.", *text) == NULL)
      return false;
  return true;
}

/* ---------------------------------------------------------------- outcome */

static json_t *
make_plain_answer (struct cyo_request *request, uint64_t version)
{
  return json_pack ("{sIss}", "version", (json_int_t)version, "request_id",
                    cyo_argument (request, "request_id"));
}

/* Action and note of the change that was accepted first.  */
struct first_change
{
  const char *request_id;
  json_t *members;
};

static void
read_first_change (const struct cys_state *state,
                   const struct cyt_soft_state *soft, void *context)
{
  struct first_change *first = context;
  const Cy__AuditLine **lines;
  (void)soft;
  size_t count = cys_state_audit_lines (state, 1, CYS_AUDIT_MAX, &lines);
  for (size_t i = count; i-- > 0;)
    {
      const Cy__AuditLine *line = lines[i];
      if (line->to_version == line->from_version
          || strcmp (line->request_id, first->request_id) != 0)
        continue;
      json_object_set_new (first->members, "conflict_action",
                           json_string (line->action));
      json_object_set_new (first->members, "conflict_note",
                           json_string (line->note));
      break;
    }
  g_free (lines);
}

static void
answer_conflict (struct cyo_request *request,
                 const struct cyx_outcome *outcome)
{
  const char *who = outcome->conflict_who != NULL ? outcome->conflict_who : "";
  const char *id = outcome->conflict_request_id != NULL
                       ? outcome->conflict_request_id
                       : "";
  char *detail
      = g_strdup_printf ("version %" PRIu64 " by %s (request %s) came first",
                         outcome->version, who, id);
  json_t *members
      = json_pack ("{sI ss ss}", "version", (json_int_t)outcome->version,
                   "conflict_who", who, "conflict_request_id", id);
  struct first_change first = { id, members };
  cyx_control_read (request->control, read_first_change, &first);
  cyo_answer_problem (request, CY_E_VERSION_CONFLICT, "", detail, members);
  g_free (detail);
}

bool
cyo_answer_outcome (struct cyo_request *request,
                    const struct cyx_outcome *outcome,
                    cyo_accepted_fn accepted)
{
  if (accepted == NULL)
    accepted = make_plain_answer;
  if (outcome->result == CY_OK)
    cyo_answer_json (request, 200, accepted (request, outcome->version));
  else if (outcome->result == CY_E_NOT_LEADER)
    cyo_answer_leader (request, outcome->leader_host,
                       outcome->leader_http_port);
  else if (outcome->result == CY_E_VERSION_CONFLICT)
    answer_conflict (request, outcome);
  else if (outcome->result == CY_E_OUTCOME_UNKNOWN
           || outcome->result == CY_E_TIMEOUT)
    cyo_answer_problem (request, CY_E_OUTCOME_UNKNOWN, "",
                        "send the same request id again to learn the outcome",
                        NULL);
  else
    cyo_answer_problem (
        request, outcome->result, "", cy_result_text (outcome->result),
        json_pack ("{sI}", "version", (json_int_t)outcome->version));
  return outcome->result == CY_OK;
}

/* ------------------------------------------------------------------ begin */

/* Result that the state stores for a request id.  */
struct stored_result
{
  const Cy__Change *change;
  bool found;
  bool is_same_request;
  struct cyx_outcome outcome;
};

static void
read_stored_result (const struct cys_state *state,
                    const struct cyt_soft_state *soft, void *context)
{
  struct stored_result *stored = context;
  (void)soft;
  const Cy__ChangeResult *result
      = cys_state_result (state, stored->change->request_id);
  if (result == NULL)
    return;
  stored->found = true;
  stored->is_same_request
      = result->digest == cys_change_digest (stored->change);
  stored->outcome.result = (cy_result)result->result;
  stored->outcome.version = result->version;
  stored->outcome.conflict_who = g_strdup (result->conflict_who);
  stored->outcome.conflict_request_id = g_strdup (result->conflict_request_id);
}

/* True for errors in the document itself: a resend is validated again, and
   so gets the same path and detail.  */
static bool
is_document_error (cy_result result)
{
  return result == CY_E_DECL_SYNTAX || result == CY_E_DECL_FIELD
         || result == CY_E_DECL_REFERENCE || result == CY_E_TOO_LARGE;
}

bool
cyo_require_leader (struct cyo_request *request)
{
  bool confirmed;
  if (!cyo_may_read_here (request, &confirmed))
    return false;
  if (confirmed)
    return true;
  cyo_answer_problem (request, CY_E_NO_QUORUM, "",
                      "no leader with a quorum is known here; try again",
                      NULL);
  return false;
}

bool
cyo_change_prepare (struct cyo_request *request, Cy__Change *change,
                    const char *action)
{
  const char *request_id = cyo_argument (request, "request_id");
  cy__change__init (change);
  if (!is_request_id (request_id))
    {
      cyo_answer_problem (request, CY_E_ARGUMENT, "request_id",
                          "must be 1 to 64 letters, digits, - _ .", NULL);
      return false;
    }
  change->request_id = (char *)request_id;
  change->who = (char *)request->who;
  change->action = (char *)action;
  change->request_digest = request_digest (request);
  return true;
}

bool
cyo_change_was_accepted (struct cyo_request *request, const Cy__Change *change)
{
  struct stored_result stored = { .change = change };
  cyx_control_read (request->control, read_stored_result, &stored);
  bool accepted = stored.found && stored.is_same_request
                  && stored.outcome.result == CY_OK;
  cyx_outcome_clear (&stored.outcome);
  return accepted;
}

bool
cyo_change_begin (struct cyo_request *request, Cy__Change *change,
                  const char *action, cyo_accepted_fn accepted)
{
  struct stored_result stored = { .change = change };
  if (!cyo_change_prepare (request, change, action))
    return false;
  cyx_control_read (request->control, read_stored_result, &stored);
  bool is_resend = stored.found && stored.is_same_request
                   && !is_document_error (stored.outcome.result);
  if (is_resend)
    cyo_answer_outcome (request, &stored.outcome, accepted);
  cyx_outcome_clear (&stored.outcome);
  if (is_resend || !cyo_require_leader (request))
    return false;
  if (stored.found && !stored.is_same_request)
    {
      cyo_change_refuse (request, change, CY_E_REQUEST_REUSED, "request_id",
                         "this id stands for another change");
      return false;
    }
  return true;
}

/* ----------------------------------------------------------------- finish */

bool
cyo_change_finish (struct cyo_request *request, Cy__Change *change,
                   cyo_accepted_fn accepted)
{
  struct cyx_outcome outcome;
  memset (&outcome, 0, sizeof outcome);
  cyx_control_propose (request->control, change, CYO_PROPOSE_TIMEOUT_MS,
                       &outcome);
  bool accepted_change = cyo_answer_outcome (request, &outcome, accepted);
  cyu_log (accepted_change ? G_LOG_LEVEL_INFO : G_LOG_LEVEL_MESSAGE,
           "%s by %s, request %s: %s, version %" PRIu64, change->action,
           change->who, change->request_id, cy_result_name (outcome.result),
           outcome.version);
  cyx_outcome_clear (&outcome);
  return accepted_change;
}

/* A refusal whose outcome is read from the state.  */
struct refusal
{
  const char *request_id;
  struct cyx_outcome outcome;
};

static void
read_refusal (const struct cys_state *state, const struct cyt_soft_state *soft,
              void *context)
{
  struct refusal *refusal = context;
  (void)soft;
  const Cy__ChangeResult *first
      = cys_state_result (state, refusal->request_id);
  bool conflict = refusal->outcome.result == CY_E_VERSION_CONFLICT;
  refusal->outcome.version = !conflict && first != NULL
                                 ? first->version
                                 : cys_state_version (state);
  if (!conflict)
    return;
  refusal->outcome.conflict_who = g_strdup (cys_state_last_who (state));
  refusal->outcome.conflict_request_id
      = g_strdup (cys_state_last_request_id (state));
}

/* True when the answer to RESULT describes the change that was accepted
   first.  */
static bool
names_first_change (cy_result result)
{
  return result == CY_E_VERSION_CONFLICT || result == CY_E_REQUEST_REUSED;
}

void
cyo_change_refuse (struct cyo_request *request, Cy__Change *change,
                   cy_result result, const char *path, const char *detail)
{
  struct cyx_outcome outcome;
  char *note
      = g_strdup_printf ("%s%s%s", path, path[0] != '\0' ? ": " : "", detail);
  char *valid_note
      = g_utf8_make_valid (note, (gssize)MIN (strlen (note), NOTE_BYTES_MAX));
  memset (&outcome, 0, sizeof outcome);
  change->refused = (uint32_t)result;
  change->note = valid_note;
  change->n_objects = 0;
  cyx_control_propose (request->control, change, CYO_REFUSAL_TIMEOUT_MS,
                       &outcome);
  if (names_first_change (outcome.result) || outcome.result == CY_E_NOT_LEADER)
    cyo_answer_outcome (request, &outcome, NULL);
  else if (names_first_change (result))
    {
      /* The audit line is not committed in time.  The conflict is visible in
         the state, so that the answer does not depend on the line.  */
      cyu_log (G_LOG_LEVEL_MESSAGE,
               "%s by %s, request %s: %s, audit line not confirmed: %s",
               change->action, change->who, change->request_id,
               cy_result_name (result), cy_result_name (outcome.result));
      struct refusal refusal = { change->request_id, { .result = result } };
      cyx_control_read (request->control, read_refusal, &refusal);
      cyo_answer_outcome (request, &refusal.outcome, NULL);
      cyx_outcome_clear (&refusal.outcome);
    }
  else
    cyo_answer_problem (request, result, path, detail, NULL);
  cyx_outcome_clear (&outcome);
  change->note = (char *)protobuf_c_empty_string;
  g_free (valid_note);
  g_free (note);
}

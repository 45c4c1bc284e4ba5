/* Declarations: submit, diff, state, history and rollback.  */

#include <string.h>

#include "control/cyo_request.h"
#include "core/cyj_declaration.h"

/* Serialises the parsing of documents, which may take much memory each.  */
static GMutex document_lock;

/* Difference of a document, or of an old version, to the declared state.  */
struct comparison
{
  const struct cyj_document *document;
  uint64_t rollback_to;
  bool is_rollback;
  cy_result result;
  uint64_t version; /* version of the declared state that was compared */
  struct cyj_diff diff;
};

static void
compare (const struct cys_state *state, const struct cyt_soft_state *soft,
         void *context)
{
  struct comparison *comparison = context;
  (void)soft;
  comparison->version = cys_state_version (state);
  comparison->result = CY_OK;
  if (!comparison->is_rollback)
    {
      cyj_diff_make (comparison->document, state, &comparison->diff);
      return;
    }
  GPtrArray *objects = g_ptr_array_new ();
  comparison->result
      = cys_state_collect_rollback (state, comparison->rollback_to, objects);
  cyj_diff_describe (objects, state, &comparison->diff);
  g_ptr_array_free (objects, TRUE);
}

/* Proposes the difference as CHANGE; refuses it when BASE is not the version
   that COMPARISON was made against.  */
static void
propose_edit (struct cyo_request *request, Cy__Change *change, uint64_t base,
              struct comparison *comparison)
{
  change->compare = true;
  change->base_version = base;
  if (base != comparison->version)
    {
      cyo_change_refuse (request, change, CY_E_VERSION_CONFLICT, "",
                         "another change was accepted first");
      return;
    }
  char *note = cyj_diff_make_note (&comparison->diff);
  change->note = note;
  change->n_objects = comparison->diff.objects->len;
  change->objects = (Cy__Object **)comparison->diff.objects->pdata;
  cyo_change_finish (request, change, NULL);
  g_free (note);
}

static bool
read_base (struct cyo_request *request, uint64_t *base)
{
  if (cyo_argument (request, "base") == NULL)
    {
      cyo_answer_problem (request, CY_E_ARGUMENT, "base",
                          "name the version that this was written against",
                          NULL);
      return false;
    }
  return cyo_argument_number (request, "base", 0, base);
}

void
cyo_handle_submit (struct cyo_request *request)
{
  Cy__Change change;
  uint64_t base;
  struct cyj_error error = { "", "" };
  struct cyj_document *document = NULL;
  if (!read_base (request, &base)
      || !cyo_change_begin (request, &change, "submit", NULL))
    return;
  g_mutex_lock (&document_lock);
  cy_result result = cyj_document_read ((const char *)request->body->data,
                                        request->body->len, &document, &error);
  g_mutex_unlock (&document_lock);
  if (result != CY_OK)
    {
      cyo_change_refuse (request, &change, result, error.path, error.detail);
      return;
    }
  struct comparison comparison = { .document = document };
  cyx_control_read (request->control, compare, &comparison);
  propose_edit (request, &change, base, &comparison);
  cyj_diff_clear (&comparison.diff);
  cyj_document_destroy (document);
}

void
cyo_handle_rollback (struct cyo_request *request)
{
  Cy__Change change;
  uint64_t base;
  struct comparison comparison = { .is_rollback = true };
  if (!read_base (request, &base)
      || !cyo_argument_number (request, "to", 0, &comparison.rollback_to)
      || !cyo_change_begin (request, &change, "rollback", NULL))
    return;
  cyx_control_read (request->control, compare, &comparison);
  if (comparison.result != CY_OK)
    cyo_change_refuse (request, &change, comparison.result, "to",
                       "this version is not kept any more, or is not older "
                       "than the one in force");
  else
    propose_edit (request, &change, base, &comparison);
  cyj_diff_clear (&comparison.diff);
}

void
cyo_handle_diff (struct cyo_request *request)
{
  bool confirmed;
  struct cyj_error error = { "", "" };
  struct cyj_document *document = NULL;
  if (!cyo_may_read_here (request, &confirmed))
    return;
  g_mutex_lock (&document_lock);
  cy_result result = cyj_document_read ((const char *)request->body->data,
                                        request->body->len, &document, &error);
  g_mutex_unlock (&document_lock);
  if (result != CY_OK)
    {
      cyo_answer_problem (request, result, error.path, error.detail, NULL);
      return;
    }
  struct comparison comparison = { .document = document };
  cyx_control_read (request->control, compare, &comparison);
  json_t *lines = json_array ();
  for (guint i = 0; i < comparison.diff.lines->len; i++)
    json_array_append_new (
        lines, json_string (g_ptr_array_index (comparison.diff.lines, i)));
  cyo_answer_json (
      request, 200,
      json_pack ("{sIsbsIsIso}", "version", (json_int_t)comparison.version,
                 "confirmed", confirmed, "puts",
                 (json_int_t)comparison.diff.puts, "deletes",
                 (json_int_t)comparison.diff.deletes, "lines", lines));
  cyj_diff_clear (&comparison.diff);
  cyj_document_destroy (document);
}

/* ------------------------------------------------------------------ state */

static void
read_state (const struct cys_state *state, const struct cyt_soft_state *soft,
            void *context)
{
  json_t *answer = context;
  (void)soft;
  json_object_set_new (answer, "version",
                       json_integer ((json_int_t)cys_state_version (state)));
  json_object_set_new (answer, "declarations", cyj_state_json (state));
}

void
cyo_handle_state (struct cyo_request *request)
{
  bool confirmed;
  if (!cyo_may_read_here (request, &confirmed))
    return;
  json_t *answer = json_pack ("{sb}", "confirmed", confirmed);
  cyx_control_read (request->control, read_state, answer);
  cyo_answer_json (request, 200, answer);
}

/* ---------------------------------------------------------------- history */

struct history
{
  json_t *list;
  size_t max;
  uint64_t version;
};

static void
read_history (const struct cys_state *state, const struct cyt_soft_state *soft,
              void *context)
{
  struct history *history = context;
  const Cy__AuditLine **lines;
  (void)soft;
  history->version = cys_state_version (state);
  size_t count = cys_state_audit_lines (state, 1, CYS_AUDIT_MAX, &lines);
  for (size_t i = count; i-- > 0;)
    {
      if (json_array_size (history->list) >= history->max)
        break;
      if (lines[i]->to_version == lines[i]->from_version)
        continue;
      json_array_append_new (
          history->list,
          json_pack ("{sI sI ss ss ss ss sI}", "version",
                     (json_int_t)lines[i]->to_version, "from",
                     (json_int_t)lines[i]->from_version, "who", lines[i]->who,
                     "action", lines[i]->action, "request_id",
                     lines[i]->request_id, "note", lines[i]->note, "unix_ms",
                     (json_int_t)lines[i]->unix_ms));
    }
  g_free (lines);
}

void
cyo_handle_history (struct cyo_request *request)
{
  bool confirmed;
  uint64_t max;
  if (!cyo_argument_number (request, "max", 50, &max)
      || !cyo_may_read_here (request, &confirmed))
    return;
  struct history history = { json_array (), MIN (max, CYO_LIST_LINES_MAX), 0 };
  cyx_control_read (request->control, read_history, &history);
  cyo_answer_json (request, 200,
                   json_pack ("{sI sb so}", "version",
                              (json_int_t)history.version, "confirmed",
                              confirmed, "changes", history.list));
}

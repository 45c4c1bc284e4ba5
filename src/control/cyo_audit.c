/* Pages of the audit trail.  */

#include <string.h>

#include "control/cyo_request.h"

struct audit_page
{
  uint64_t from; /* index of the first line */
  size_t max;    /* largest number of lines */
  json_t *lines;
  char *previous; /* hex hash of the line before the page, NULL if unknown */
  uint64_t next;  /* index of the line after the page */
};

static char *
hex_text (const uint8_t *bytes, size_t length)
{
  GString *text = g_string_new (NULL);
  for (size_t i = 0; i < length; i++)
    g_string_append_printf (text, "%02x", bytes[i]);
  return g_string_free (text, FALSE);
}

static json_t *
line_json (const Cy__AuditLine *line)
{
  char *hash = hex_text (line->hash.data, line->hash.len);
  json_t *json = json_pack (
      "{sI sI ss ss ss sI sI si ss ss ss}", "index", (json_int_t)line->index,
      "unix_ms", (json_int_t)line->unix_ms, "who", line->who, "request_id",
      line->request_id, "action", line->action, "from_version",
      (json_int_t)line->from_version, "to_version",
      (json_int_t)line->to_version, "result", (int)line->result, "name",
      cy_result_name ((cy_result)line->result), "note", line->note, "hash",
      hash);
  g_free (hash);
  return json;
}

static void
read_page (const struct cys_state *state, const struct cyt_soft_state *soft,
           void *context)
{
  struct audit_page *page = context;
  const Cy__AuditLine **lines;
  uint8_t previous[32];
  (void)soft;
  size_t count = cys_state_audit_lines (state, page->from, page->max, &lines);
  for (size_t i = 0; i < count; i++)
    {
      json_array_append_new (page->lines, line_json (lines[i]));
      page->next = lines[i]->index + 1;
    }
  if (count > 0
      && cys_state_audit_previous_hash (state, lines[0]->index, previous))
    page->previous = hex_text (previous, sizeof previous);
  g_free (lines);
}

void
cyo_handle_audit (struct cyo_request *request)
{
  bool confirmed;
  uint64_t max;
  struct audit_page page = { .lines = NULL };
  if (!cyo_argument_number (request, "from", 1, &page.from)
      || !cyo_argument_number (request, "max", CYO_LIST_LINES_MAX, &max)
      || !cyo_may_read_here (request, &confirmed))
    return;
  page.max = MIN (max, CYO_LIST_LINES_MAX);
  page.lines = json_array ();
  page.next = page.from;
  cyx_control_read (request->control, read_page, &page);
  cyo_answer_json (request, 200,
                   json_pack ("{sbsIssso}", "confirmed", confirmed, "next",
                              (json_int_t)page.next, "previous",
                              page.previous != NULL ? page.previous : "",
                              "lines", page.lines));
  g_free (page.previous);
}

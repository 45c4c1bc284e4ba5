/* The audit command: lists the audit trail and verifies its chain of
   hashes.  */

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "core/cys_state.h"
#include "cyctl/cyctl.h"

#define PAGE_LINES 500 /* lines in one request */
#define HASH_BYTES 32  /* SHA-256 */

static gboolean audit_verify;
static gint64 audit_from = 1;
static char *audit_file;

/* ------------------------------------------------------------------ lines */

/* Appends all pages of the audit trail from line --from on to TRAIL, an object
   {"previous": ..., "lines": [...]}.  "previous" is the hash of the line
   before the first one.  */
static bool
fetch_trail (json_t *trail, int *exit_code)
{
  int64_t next_line = audit_from;
  json_t *lines = json_object_get (trail, "lines");
  for (;;)
    {
      struct cyctl_answer answer;
      char *path = g_strdup_printf ("/v1/audit?from=%" PRId64 "&max=%d",
                                    next_line, PAGE_LINES);
      bool good = cyctl_request ("GET", path, NULL, 0, &answer, exit_code);
      g_free (path);
      json_t *page = json_object_get (answer.body, "lines");
      if (json_array_size (lines) == 0 && good)
        json_object_set (trail, "previous",
                         json_object_get (answer.body, "previous"));
      json_array_extend (lines, page);
      next_line = cyctl_get_number (answer.body, "next");
      bool more = good && json_array_size (page) > 0;
      cyctl_answer_clear (&answer);
      if (!more)
        return good;
    }
}

static bool
read_trail (json_t **trail, int *exit_code)
{
  json_error_t error;
  *exit_code = CYCTL_OK;
  if (audit_file != NULL)
    {
      *trail = json_load_file (audit_file, 0, &error);
      if (*trail != NULL)
        return true;
      g_printerr ("cyctl: %s: %s\n", audit_file, error.text);
      *exit_code = CYCTL_USAGE;
      return false;
    }
  *trail = json_pack ("{sss[]}", "previous", "", "lines");
  return fetch_trail (*trail, exit_code);
}

/* ----------------------------------------------------------------- verify */

static bool
parse_hash (const char *text, uint8_t hash[HASH_BYTES])
{
  if (strlen (text) != 2 * HASH_BYTES)
    return false;
  for (size_t i = 0; i < HASH_BYTES; i++)
    {
      int high = g_ascii_xdigit_value (text[2 * i]);
      int low = g_ascii_xdigit_value (text[2 * i + 1]);
      if (high < 0 || low < 0)
        return false;
      hash[i] = (uint8_t)(high * 16 + low);
    }
  return true;
}

/* Fills LINE from JSON.  The strings of LINE are owned by JSON; its hash is
   stored in HASH.  */
static void
parse_audit_line (const json_t *json, Cy__AuditLine *line,
                  uint8_t hash[HASH_BYTES])
{
  cy__audit_line__init (line);
  line->index = (uint64_t)cyctl_get_number (json, "index");
  line->unix_ms = cyctl_get_number (json, "unix_ms");
  line->who = (char *)cyctl_get_text (json, "who");
  line->request_id = (char *)cyctl_get_text (json, "request_id");
  line->action = (char *)cyctl_get_text (json, "action");
  line->from_version = (uint64_t)cyctl_get_number (json, "from_version");
  line->to_version = (uint64_t)cyctl_get_number (json, "to_version");
  line->result = (uint32_t)cyctl_get_number (json, "result");
  line->note = (char *)cyctl_get_text (json, "note");
  if (parse_hash (cyctl_get_text (json, "hash"), hash))
    {
      line->hash.data = hash;
      line->hash.len = HASH_BYTES;
    }
}

static int
verify_trail (const json_t *trail)
{
  const json_t *list = json_object_get (trail, "lines");
  size_t count = json_array_size (list);
  Cy__AuditLine *lines = g_new (Cy__AuditLine, count + 1);
  const Cy__AuditLine **pointers = g_new (const Cy__AuditLine *, count + 1);
  uint8_t (*hashes)[HASH_BYTES] = g_malloc0 ((count + 1) * HASH_BYTES);
  uint8_t previous[HASH_BYTES];
  uint64_t bad_line = 0;
  bool has_previous
      = parse_hash (cyctl_get_text (trail, "previous"), previous);
  for (size_t i = 0; i < count; i++)
    {
      parse_audit_line (json_array_get (list, i), &lines[i], hashes[i]);
      pointers[i] = &lines[i];
    }
  cy_result result = cys_audit_verify (
      pointers, count, has_previous ? previous : NULL, &bad_line);
  if (result != CY_OK)
    g_printerr ("cyctl: the audit trail does not verify: line %" PRIu64
                " was changed, or a line before it is missing\n",
                bad_line);
  else if (count > 0)
    printf ("%zu lines verify, %" PRIu64 " to %" PRIu64 "; last hash %s\n",
            count, lines[0].index, lines[count - 1].index,
            cyctl_get_text (json_array_get (list, count - 1), "hash"));
  else
    puts ("no lines");
  g_free (lines);
  g_free (pointers);
  g_free (hashes);
  return result == CY_OK ? CYCTL_OK : CYCTL_AUDIT;
}

/* ---------------------------------------------------------------- command */

static int
run_audit (int count, char **arguments)
{
  static const struct cyctl_column columns[]
      = { { "LINE", "index" },        { "TIME", "unix_ms" },
          { "WHO", "who" },           { "ACTION", "action" },
          { "FROM", "from_version" }, { "TO", "to_version" },
          { "RESULT", "name" },       { "REQUEST", "request_id" },
          { "CHANGE", "note" },       { NULL, NULL } };
  json_t *trail = NULL;
  int exit_code;
  (void)count;
  (void)arguments;
  if (read_trail (&trail, &exit_code))
    {
      if (audit_verify)
        exit_code = verify_trail (trail);
      else if (cyctl_options.json)
        cyctl_print_json (trail);
      else
        cyctl_print_table (json_object_get (trail, "lines"), columns);
    }
  json_decref (trail);
  return exit_code;
}

static const GOptionEntry audit_entries[]
    = { { "verify", 0, 0, G_OPTION_ARG_NONE, &audit_verify,
          "Recompute the chain of hashes", NULL },
        { "from", 0, 0, G_OPTION_ARG_INT64, &audit_from,
          "First line, 1 by default", "N" },
        { "file", 0, 0, G_OPTION_ARG_FILENAME, &audit_file,
          "Read what cyctl audit --json printed before", "FILE" },
        G_OPTION_ENTRY_NULL };

const struct cyctl_command cyctl_audit_commands[] = {
  { "audit", "", "Shows or verifies the audit trail",
    "Who, when, what changed, from which version to which, with which "
    "result;\nrefused attempts too.  Each line's hash covers the line before: "
    "--verify names\nthe first line that was changed or cut.  Control VMs "
    "keep the newest 20000\nlines; keep older ones by cyctl audit --json "
    ">FILE, and check them by\ncyctl audit --verify --file FILE.",
    audit_entries, 0, 0, run_audit },
  { NULL, NULL, NULL, NULL, NULL, 0, 0, NULL }
};

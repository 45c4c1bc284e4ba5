/* Commands on declarations: submit, diff, show, history, rollback.  */

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "cyctl/cyctl.h"

#define WAIT_DEFAULT_S     30     /* default of --wait-time */
#define WAIT_POLL_US       100000 /* between two requests of --wait */
#define REACHABLE_AGE_MS   5000   /* age of the last message of an entry VM */
#define DOCUMENT_MAX_BYTES (6 << 20)

static gboolean submit_wait;
static int submit_wait_s = WAIT_DEFAULT_S;
static gint64 submit_base = -1;
static int history_max = 50;

/* -------------------------------------------------------------- documents */

static bool
read_document (const char *name, GString *text)
{
  char chunk[65536];
  size_t length;
  bool is_stdin = strcmp (name, "-") == 0;
  FILE *file = is_stdin ? stdin : fopen (name, "rb");
  if (file == NULL)
    {
      g_printerr ("cyctl: %s cannot be read\n", name);
      return false;
    }
  while ((length = fread (chunk, 1, sizeof chunk, file)) > 0
         && text->len <= DOCUMENT_MAX_BYTES)
    g_string_append_len (text, chunk, (gssize)length);
  bool good = ferror (file) == 0;
  if (!is_stdin)
    fclose (file);
  return good;
}

/* ------------------------------------------------------------------- wait */

/* Returns the entry VMs that the leader knows, an array of {"name", "version",
   "age_ms"}, as a new reference; NULL and the exit code after it printed an
   error.  */
static json_t *
fetch_entries (int *exit_code)
{
  struct cyctl_answer answer;
  json_t *list = NULL;
  if (cyctl_request ("GET", "/v1/children?confirmed=yes", NULL, 0, &answer,
                     exit_code))
    list = json_incref (json_object_get (answer.body, "children"));
  cyctl_answer_clear (&answer);
  return list;
}

static json_t *
find_entry (const json_t *list, const char *name)
{
  size_t i;
  json_t *entry;
  json_array_foreach (list, i, entry)
  {
    if (strcmp (cyctl_get_text (entry, "name"), name) == 0)
      return entry;
  }
  return NULL;
}

/* Adds to LIST the entry VMs of BEFORE that it lacks, with version 0 and age
   -1.  */
static void
add_missing_entries (json_t *list, const json_t *before)
{
  size_t i;
  json_t *entry;
  json_array_foreach (before, i, entry)
  {
    const char *name = cyctl_get_text (entry, "name");
    if (find_entry (list, name) == NULL)
      json_array_append_new (list,
                             json_pack ("{ss sI si}", "name", name, "version",
                                        (json_int_t)0, "age_ms", -1));
  }
}

static bool
is_reachable (const json_t *entry)
{
  int64_t age_ms = cyctl_get_number (entry, "age_ms");
  return age_ms >= 0 && age_ms <= REACHABLE_AGE_MS;
}

/* Returns the number of reachable entry VMs in LIST that did not confirm
   VERSION.  */
static size_t
count_unconfirmed (const json_t *list, int64_t version)
{
  size_t unconfirmed = 0;
  size_t i;
  json_t *entry;
  json_array_foreach (list, i, entry)
  {
    if (cyctl_get_number (entry, "version") < version && is_reachable (entry))
      unconfirmed++;
  }
  return unconfirmed;
}

/* Prints the entry VMs of LIST that did not confirm VERSION and returns the
   exit code.  */
static int
report_confirmations (const json_t *list, int64_t version)
{
  size_t confirmed = 0;
  size_t i;
  json_t *entry;
  json_array_foreach (list, i, entry)
  {
    int64_t entry_version = cyctl_get_number (entry, "version");
    int64_t age_ms = cyctl_get_number (entry, "age_ms");
    if (entry_version >= version)
      confirmed++;
    else if (age_ms < 0)
      g_printerr ("not confirmed: %s, no longer connected\n",
                  cyctl_get_text (entry, "name"));
    else
      g_printerr ("not confirmed: %s, version %" PRId64
                  ", last message %" PRId64 " ms ago\n",
                  cyctl_get_text (entry, "name"), entry_version, age_ms);
  }
  if (!cyctl_options.json)
    printf ("version %" PRId64 " in force at %zu entry VMs\n", version,
            confirmed);
  return confirmed == json_array_size (list) ? CYCTL_OK : CYCTL_UNCONFIRMED;
}

/* Waits until every reachable entry VM confirms VERSION or --wait-time has
   passed.  BEFORE is the list of entry VMs before the change.  */
static int
wait_in_force (int64_t version, const json_t *before)
{
  gint64 deadline_us
      = g_get_monotonic_time () + submit_wait_s * G_USEC_PER_SEC;
  int exit_code;
  json_t *list;
  while ((list = fetch_entries (&exit_code)) != NULL)
    {
      add_missing_entries (list, before);
      bool finished = count_unconfirmed (list, version) == 0
                      || g_get_monotonic_time () >= deadline_us;
      if (finished)
        exit_code = report_confirmations (list, version);
      json_decref (list);
      if (finished)
        return exit_code;
      g_usleep (WAIT_POLL_US);
    }
  return exit_code;
}

/* ----------------------------------------------------------------- submit */

static bool
get_base_version (uint64_t *base, int *exit_code)
{
  if (submit_base < 0)
    return cyctl_fetch_version (base, exit_code);
  *base = (uint64_t)submit_base;
  return true;
}

/* Sends a change that is based on version BASE and prints the resulting
   version.  TO is the version of a rollback, else NULL.  */
static bool
send_change (const char *path, const char *to, uint64_t base,
             const GString *text, int64_t *version, int *exit_code)
{
  char base_text[24];
  struct cyctl_answer answer;
  g_snprintf (base_text, sizeof base_text, "%" PRIu64, base);
  char *url_path = cyctl_build_path (path, "base", base_text, "to", to,
                                     "request_id", cyctl_request_id (), NULL);
  bool good = cyctl_request ("POST", url_path, text->str, text->len, &answer,
                             exit_code);
  *version = cyctl_get_number (answer.body, "version");
  if (good && cyctl_options.json)
    cyctl_print_json (answer.body);
  else if (good)
    printf ("version %" PRId64 " accepted\n", *version);
  fflush (stdout);
  cyctl_answer_clear (&answer);
  g_free (url_path);
  return good;
}

static int
submit_change (const char *path, const char *to, const GString *text)
{
  uint64_t base;
  int64_t version;
  int exit_code;
  json_t *before = NULL;
  if (submit_wait && (before = fetch_entries (&exit_code)) == NULL)
    return exit_code;
  if (get_base_version (&base, &exit_code)
      && send_change (path, to, base, text, &version, &exit_code)
      && submit_wait)
    exit_code = wait_in_force (version, before);
  json_decref (before);
  return exit_code;
}

static int
run_submit (int count, char **arguments)
{
  GString *text = g_string_new (NULL);
  int exit_code = CYCTL_USAGE;
  (void)count;
  if (read_document (arguments[0], text))
    exit_code = submit_change ("/v1/submit", NULL, text);
  g_string_free (text, TRUE);
  return exit_code;
}

static int
run_rollback (int count, char **arguments)
{
  GString *text = g_string_new (NULL);
  (void)count;
  int exit_code = submit_change ("/v1/rollback", arguments[0], text);
  g_string_free (text, TRUE);
  return exit_code;
}

/* ------------------------------------------------------------------- diff */

static int
run_diff (int count, char **arguments)
{
  GString *text = g_string_new (NULL);
  struct cyctl_answer answer = { 0, NULL };
  int exit_code = CYCTL_USAGE;
  size_t i;
  json_t *line;
  (void)count;
  if (!read_document (arguments[0], text)
      || !cyctl_request ("POST", "/v1/diff", text->str, text->len, &answer,
                         &exit_code))
    goto finished;
  if (cyctl_options.json)
    {
      cyctl_print_json (answer.body);
      goto finished;
    }
  json_array_foreach (json_object_get (answer.body, "lines"), i, line)
      printf ("%s\n", json_string_value (line));
  printf ("against version %" PRId64 ": %" PRId64 " to put, %" PRId64
          " to delete\n",
          cyctl_get_number (answer.body, "version"),
          cyctl_get_number (answer.body, "puts"),
          cyctl_get_number (answer.body, "deletes"));
finished:
  cyctl_answer_clear (&answer);
  g_string_free (text, TRUE);
  return exit_code;
}

static int
run_show (int count, char **arguments)
{
  struct cyctl_answer answer;
  int exit_code;
  (void)count;
  (void)arguments;
  if (cyctl_request ("GET", "/v1/state", NULL, 0, &answer, &exit_code))
    cyctl_print_json (cyctl_options.json
                          ? answer.body
                          : json_object_get (answer.body, "declarations"));
  cyctl_answer_clear (&answer);
  return exit_code;
}

static int
run_history (int count, char **arguments)
{
  static const struct cyctl_column columns[]
      = { { "VERSION", "version" }, { "TIME", "unix_ms" }, { "WHO", "who" },
          { "ACTION", "action" },   { "CHANGE", "note" },  { NULL, NULL } };
  struct cyctl_answer answer;
  int exit_code;
  (void)count;
  (void)arguments;
  char *path = g_strdup_printf ("/v1/history?max=%d", MAX (history_max, 0));
  if (cyctl_request ("GET", path, NULL, 0, &answer, &exit_code))
    {
      if (cyctl_options.json)
        cyctl_print_json (answer.body);
      else
        cyctl_print_table (json_object_get (answer.body, "changes"), columns);
    }
  cyctl_answer_clear (&answer);
  g_free (path);
  return exit_code;
}

/* --------------------------------------------------------------- commands */

static const GOptionEntry submit_entries[]
    = { { "wait", 0, 0, G_OPTION_ARG_NONE, &submit_wait,
          "Wait until every reachable entry VM has it in force", NULL },
        { "wait-time", 0, 0, G_OPTION_ARG_INT, &submit_wait_s,
          "Seconds that --wait waits, 30 by default", "S" },
        { "base", 0, 0, G_OPTION_ARG_INT64, &submit_base,
          "Version it was written against, the one in force by default", "N" },
        G_OPTION_ENTRY_NULL };

static const GOptionEntry history_entries[]
    = { { "max", 0, 0, G_OPTION_ARG_INT, &history_max,
          "Newest changes shown, 50 by default", "N" },
        G_OPTION_ENTRY_NULL };

const struct cyctl_command cyctl_declare_commands[] = {
  { "submit", "FILE|-", "Puts a document of declarations in force",
    "The document replaces the declarations in force: what it lacks is "
    "deleted.\nKeys, drains and members are not part of it and stay.\n\n"
    "Of two changes with the same --base exactly one is accepted.  The other "
    "is\nrefused with exit code 3, and the message names the accepted one: "
    "check\ncyctl diff and submit again.\n\nWith --wait, entry VMs that did "
    "not confirm are named, and "
    "the exit code is 6.\n\nExample: build/examples/andesvolt | cyctl submit "
    "--wait -",
    submit_entries, 1, 1, run_submit },
  { "diff", "FILE|-", "Shows what a document would change",
    "One line for each object: + new, ~ changed with its fields, - deleted.",
    NULL, 1, 1, run_diff },
  { "show", "", "Prints the declarations in force",
    "The output is a document that cyctl submit takes.", NULL, 0, 0,
    run_show },
  { "history", "", "Lists accepted changes, newest first", NULL,
    history_entries, 0, 0, run_history },
  { "rollback", "VERSION", "Brings back the declarations of a version",
    "Makes a new version whose declarations are those of VERSION.  Keys that "
    "were\nwithdrawn since stay withdrawn; drains and members stay as they "
    "are.",
    submit_entries, 1, 1, run_rollback },
  { NULL, NULL, NULL, NULL, NULL, 0, 0, NULL }
};

/* Commands why, the network verdict for a service, and lookup, the entry VMs
   that callers should use.  */

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cyctl/cyctl.h"

#define WHY_SINCE_DEFAULT_S 300 /* default of --since */
/* Largest duration, in the unit that its text names: s, min or h.  */
#define DURATION_MAX_UNITS 1000000

static char *why_workspace;
static char *why_since;
static char *lookup_entry;

/* Parses a duration such as "90", "90s", "10m" or "2h".  Returns false if TEXT
   has another form or is out of range.  */
static bool
parse_duration (const char *text, uint64_t *seconds)
{
  static const struct
  {
    const char *unit;
    uint64_t seconds;
  } units[] = { { "", 1 }, { "s", 1 }, { "m", 60 }, { "h", 3600 } };
  char *end = NULL;
  uint64_t number = g_ascii_strtoull (text, &end, 10);
  for (size_t i = 0; i < G_N_ELEMENTS (units); i++)
    if (end != text && strcmp (end, units[i].unit) == 0 && number > 0
        && number <= DURATION_MAX_UNITS)
      {
        *seconds = number * units[i].seconds;
        return true;
      }
  return false;
}

/* Prints the summary of the verdict and one line for each item of
   evidence.  */
static void
print_verdict (const json_t *body)
{
  size_t i;
  const json_t *item;
  printf ("%s\n", cyctl_get_text (body, "summary"));
  json_array_foreach (json_object_get (body, "evidence"), i, item)
  {
    char *text = json_is_string (item)
                     ? NULL
                     : json_dumps (item, JSON_COMPACT | JSON_PRESERVE_ORDER);
    printf ("  %s\n", text == NULL ? json_string_value (item) : text);
    free (text);
  }
}

static int
run_why (int count, char **arguments)
{
  char since[24];
  uint64_t seconds = WHY_SINCE_DEFAULT_S;
  struct cyctl_answer answer;
  int exit_code;
  (void)count;
  if (why_since != NULL && !parse_duration (why_since, &seconds))
    {
      g_printerr ("cyctl: --since takes a time such as 90s, 10m or 2h\n");
      return CYCTL_USAGE;
    }
  g_snprintf (since, sizeof since, "%" PRIu64, seconds * 1000);
  char *path
      = cyctl_build_path ("/v1/why", "service", arguments[0], "workspace",
                          why_workspace, "since_ms", since, NULL);
  if (cyctl_request ("GET", path, NULL, 0, &answer, &exit_code))
    {
      if (cyctl_options.json)
        cyctl_print_json (answer.body);
      else
        print_verdict (answer.body);
    }
  cyctl_answer_clear (&answer);
  g_free (path);
  return exit_code;
}

static int
run_lookup (int count, char **arguments)
{
  static const struct cyctl_column columns[]
      = { { "VM", "vm" },     { "ADDRESS", "host" },  { "PORT", "port" },
          { "ZONE", "zone" }, { "REGION", "region" }, { NULL, NULL } };
  struct cyctl_answer answer;
  (void)count;
  if (lookup_entry == NULL)
    {
      g_printerr ("cyctl: lookup needs --entry URL\n");
      return CYCTL_USAGE;
    }
  char *path = cyctl_build_path ("/v1/lookup", "service", arguments[0], NULL);
  char *url = g_strconcat (lookup_entry, path, NULL);
  int exit_code = CYCTL_OK;
  cyctl_call_url ("GET", url, NULL, 0, &answer);
  if (answer.status != 200 || answer.body == NULL)
    exit_code = cyctl_print_problem (&answer);
  else if (cyctl_options.json)
    cyctl_print_json (answer.body);
  else
    cyctl_print_table (json_object_get (answer.body, "entry_vms"), columns);
  cyctl_answer_clear (&answer);
  g_free (path);
  g_free (url);
  return exit_code;
}

static const GOptionEntry why_entries[]
    = { { "workspace", 0, 0, G_OPTION_ARG_STRING, &why_workspace,
          "Only this workspace", "NAME" },
        { "since", 0, 0, G_OPTION_ARG_STRING, &why_since,
          "How far to look back, 5m by default", "TIME" },
        G_OPTION_ENTRY_NULL };

static const GOptionEntry lookup_entries[]
    = { { "entry", 0, 0, G_OPTION_ARG_STRING, &lookup_entry, "Entry VM to ask",
          "URL" },
        G_OPTION_ENTRY_NULL };

const struct cyctl_command cyctl_why_commands[] = {
  { "why", "SERVICE", "Says whether the network was at fault",
    "The verdict names for when and between whom, with the evidence, and says "
    "\"not\nknown\" where measurements are missing.  --json prints the "
    "evidence.",
    why_entries, 1, 1, run_why },
  { "lookup", "SERVICE", "Asks an entry VM whom callers should use", NULL,
    lookup_entries, 1, 1, run_lookup },
  { NULL, NULL, NULL, NULL, NULL, 0, 0, NULL }
};

/* cyctl explain: finds in the logs of all processes why a request failed, or
   where a declaration is in force.  */

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cyctl/cyctl.h"
#include "cyctl/cyctl_timeline.h"

static char **explain_logs;
static gint64 explain_change;

static void
read_stream (FILE *file, struct cyctl_timeline *timeline)
{
  char *line = NULL;
  size_t capacity = 0;
  while (getline (&line, &capacity, file) >= 0)
    cyctl_timeline_add (timeline, line);
  free (line);
}

static bool
read_logs (struct cyctl_timeline *timeline)
{
  if (explain_logs == NULL)
    read_stream (stdin, timeline);
  for (char **name = explain_logs; name != NULL && *name != NULL; name++)
    {
      FILE *file = fopen (*name, "r");
      if (file == NULL)
        {
          g_printerr ("cyctl: --logs: %s: %s\n", *name, strerror (errno));
          return false;
        }
      read_stream (file, timeline);
      fclose (file);
    }
  return true;
}

static int
run_explain (int count, char **arguments)
{
  bool known = false;
  if ((count == 0) == (explain_change == 0) || explain_change < 0)
    {
      g_printerr ("cyctl: explain needs a request's id or --change NUMBER\n");
      return CYCTL_USAGE;
    }
  struct cyctl_timeline *timeline = cyctl_timeline_create ();
  if (!read_logs (timeline))
    {
      cyctl_timeline_destroy (timeline);
      return CYCTL_USAGE;
    }
  char *text = count > 0
                   ? cyctl_timeline_request (timeline, arguments[0], &known)
                   : cyctl_timeline_change (timeline, (uint64_t)explain_change,
                                            &known);
  fputs (text, stdout);
  g_free (text);
  cyctl_timeline_destroy (timeline);
  return known ? CYCTL_OK : CYCTL_REFUSED;
}

static const GOptionEntry explain_entries[]
    = { { "logs", 0, 0, G_OPTION_ARG_FILENAME_ARRAY, &explain_logs,
          "Log of a process, JSON lines; may be given more than once",
          "FILE" },
        { "change", 0, 0, G_OPTION_ARG_INT64, &explain_change,
          "Number of a declaration instead of a request", "NUMBER" },
        G_OPTION_ENTRY_NULL };

const struct cyctl_command cyctl_explain_commands[] = {
  { "explain", "[REQUEST-ID]", "Says from logs why a request failed",
    "Joins the log lines of all processes into one timeline and prints the "
    "cause in a\nsentence, or \"not known\" and the missing line.  Reads "
    "standard input without\n--logs.  Needs no running cluster.",
    explain_entries, 0, 1, run_explain },
  { NULL, NULL, NULL, NULL, NULL, 0, 0, NULL }
};

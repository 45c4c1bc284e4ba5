/* cyctl: parses the command line and runs the command.  */

#include <curl/curl.h>
#include <stdio.h>
#include <string.h>

#include "cyctl/cyctl.h"

#define TIMEOUT_DEFAULT_S 30 /* for the whole command */

struct cyctl_options cyctl_options = { .timeout_s = TIMEOUT_DEFAULT_S };

static const GOptionEntry option_entries[]
    = { { "control", 0, 0, G_OPTION_ARG_STRING, &cyctl_options.control,
          "Control VMs, tried in turn (CY_CONTROL)", "URL,URL" },
        { "token-file", 0, 0, G_OPTION_ARG_FILENAME, &cyctl_options.token_file,
          "File with the operator's token (CY_TOKEN_FILE)", "FILE" },
        { "timeout", 0, 0, G_OPTION_ARG_INT, &cyctl_options.timeout_s,
          "Seconds for the whole command, 30 by default", "S" },
        { "request-id", 0, 0, G_OPTION_ARG_STRING, &cyctl_options.request_id,
          "Id of the change; the same id gets the first answer again", "ID" },
        { "json", 0, 0, G_OPTION_ARG_NONE, &cyctl_options.json, "Print JSON",
          NULL },
        G_OPTION_ENTRY_NULL };

static const struct cyctl_command *const groups[]
    = { cyctl_declare_commands, cyctl_key_commands,   cyctl_drain_commands,
        cyctl_member_commands,  cyctl_audit_commands, cyctl_why_commands,
        cyctl_explain_commands };

static const char exit_codes[]
    = "Exit codes: 0 done; 1 refused; 2 wrong arguments; 3 another change was "
      "accepted first; 4 no control VM with a quorum answered; 5 outcome not "
      "known, the same --request-id tells; 6 accepted, but an entry VM did "
      "not confirm; 7 the audit trail does not verify.";

static char *
list_commands (void)
{
  GString *text = g_string_new ("Commands:\n");
  for (size_t i = 0; i < G_N_ELEMENTS (groups); i++)
    for (const struct cyctl_command *c = groups[i]; c->name != NULL; c++)
      {
        char *call = g_strdup_printf ("%s %s", c->name, c->arguments);
        g_string_append_printf (text, "  %-34s %s\n", call, c->summary);
        g_free (call);
      }
  g_string_append (text, "\ncyctl COMMAND --help tells more of each.\n\n");
  g_string_append (text, exit_codes);
  return g_string_free (text, FALSE);
}

/* Returns the command whose name ARGUMENTS start with and sets *WORD_COUNT to
   the number of words in that name; NULL if there is none.  */
static const struct cyctl_command *
find_command (int count, char **arguments, int *word_count)
{
  for (size_t i = 0; i < G_N_ELEMENTS (groups); i++)
    for (const struct cyctl_command *c = groups[i]; c->name != NULL; c++)
      {
        char **parts = g_strsplit (c->name, " ", -1);
        int name_words = (int)g_strv_length (parts);
        bool matches = count >= name_words;
        for (int j = 0; j < name_words && matches; j++)
          matches = strcmp (parts[j], arguments[j]) == 0;
        g_strfreev (parts);
        if (matches)
          {
            *word_count = name_words;
            return c;
          }
      }
  return NULL;
}

static void
set_from_environment (char **value, const char *name, const char *fallback)
{
  const char *text = g_getenv (name);
  if (*value == NULL)
    *value = g_strdup (text != NULL ? text : fallback);
}

static int
print_usage_error (const char *format, const char *detail)
{
  g_printerr ("cyctl: ");
  g_printerr (format, detail);
  g_printerr ("; see cyctl --help\n");
  return CYCTL_USAGE;
}

/* Parses the options of COMMAND and runs it.  Returns the exit code.  */
static int
run_command (const struct cyctl_command *command, int count, char **arguments)
{
  GError *error = NULL;
  char *title = g_strdup_printf ("%s %s", command->name, command->arguments);
  GOptionContext *context = g_option_context_new (title);
  int exit_code;
  g_option_context_set_summary (context, command->summary);
  g_option_context_set_description (context, command->help);
  if (command->entries != NULL)
    g_option_context_add_main_entries (context, command->entries, NULL);
  g_option_context_add_main_entries (context, option_entries, NULL);
  if (!g_option_context_parse (context, &count, &arguments, &error))
    {
      exit_code = print_usage_error ("%s", error->message);
      g_error_free (error);
      goto done;
    }
  set_from_environment (&cyctl_options.control, "CY_CONTROL",
                        "http://127.0.0.1:8080");
  set_from_environment (&cyctl_options.token_file, "CY_TOKEN_FILE", NULL);
  if (count - 1 < command->arguments_min || count - 1 > command->arguments_max)
    exit_code = print_usage_error ("%s takes other arguments", title);
  else if (cyctl_options.timeout_s < 1)
    exit_code = print_usage_error ("--timeout %s", "must be at least 1");
  else
    exit_code = command->run (count - 1, arguments + 1);
done:
  g_option_context_free (context);
  g_free (title);
  return exit_code;
}

int
main (int argc, char **argv)
{
  GError *error = NULL;
  int word_count = 0;
  int exit_code;
  char *commands = list_commands ();
  GOptionContext *context = g_option_context_new ("COMMAND ...");
  curl_global_init (CURL_GLOBAL_DEFAULT);
  g_option_context_set_summary (
      context, "Drives cyclamenhaven through its control VMs.");
  g_option_context_set_description (context, commands);
  g_option_context_set_strict_posix (context, TRUE);
  g_option_context_add_main_entries (context, option_entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error))
    {
      exit_code = print_usage_error ("%s", error->message);
      g_error_free (error);
      goto done;
    }
  if (argc > 1 && strcmp (argv[1], "--") == 0)
    {
      argc--;
      argv++;
    }
  const struct cyctl_command *command
      = find_command (argc - 1, argv + 1, &word_count);
  if (command == NULL)
    exit_code = print_usage_error (argc > 1 ? "no command %s" : "no command%s",
                                   argc > 1 ? argv[1] : "");
  else
    exit_code = run_command (command, argc - word_count, argv + word_count);
done:
  g_option_context_free (context);
  g_free (commands);
  curl_global_cleanup ();
  return exit_code;
}

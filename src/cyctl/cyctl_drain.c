/* Commands on drains: drain, undrain, drains.  */

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "cyctl/cyctl.h"

static gboolean drain_force;
static gboolean drain_preview;

/* Sends a change of a drain and prints "KIND NAME" with NEW_STATE and the
   version.  */
static int
send_change (const char *method, const char *path, const char *body,
             const char *new_state, char **arguments)
{
  struct cyctl_answer answer;
  int exit_code;
  if (cyctl_request (method, path, body, body != NULL ? strlen (body) : 0,
                     &answer, &exit_code))
    {
      if (cyctl_options.json)
        cyctl_print_json (answer.body);
      else
        printf ("%s %s %s in version %" PRId64 "\n", arguments[0],
                arguments[1], new_state,
                cyctl_get_number (answer.body, "version"));
    }
  cyctl_answer_clear (&answer);
  return exit_code;
}

/* Requests a preview of a drain.  Returns false and the exit code after it
   printed an error.  */
static bool
request_preview (char **arguments, struct cyctl_answer *answer, int *exit_code)
{
  char *path = cyctl_build_path ("/v1/preview", "kind", arguments[0], "name",
                                 arguments[1], NULL);
  bool good = cyctl_request ("GET", path, NULL, 0, answer, exit_code);
  g_free (path);
  return good;
}

static void
print_preview (const json_t *preview)
{
  if (!json_is_true (json_object_get (preview, "known")))
    puts ("what would move is not known: measurements are missing");
  else
    printf ("moves %.1f requests a second within %.0f s under the caps; the "
            "rest %s\n",
            json_number_value (
                json_object_get (preview, "requests_per_s_to_move")),
            json_number_value (json_object_get (preview, "seconds")),
            json_is_true (json_object_get (preview, "fits")) ? "has room"
                                                             : "has no room");
}

static int
send_drain (char **arguments)
{
  json_t *body = json_pack ("{sssssb}", "kind", arguments[0], "name",
                            arguments[1], "force", (int)drain_force);
  char *text = json_dumps (body, JSON_COMPACT);
  char *path = cyctl_build_path ("/v1/drains", "request_id",
                                 cyctl_request_id (), NULL);
  int exit_code = send_change ("POST", path, text, "drains", arguments);
  free (text);
  g_free (path);
  json_decref (body);
  return exit_code;
}

static int
run_drain (int count, char **arguments)
{
  struct cyctl_answer answer;
  int exit_code;
  (void)count;
  if (request_preview (arguments, &answer, &exit_code))
    {
      if (drain_preview && cyctl_options.json)
        cyctl_print_json (answer.body);
      else if (!cyctl_options.json)
        print_preview (answer.body);
    }
  bool good = exit_code == CYCTL_OK;
  cyctl_answer_clear (&answer);
  return good && !drain_preview ? send_drain (arguments) : exit_code;
}

static int
run_undrain (int count, char **arguments)
{
  (void)count;
  char *path = cyctl_build_path ("/v1/drains", "kind", arguments[0], "name",
                                 arguments[1], "request_id",
                                 cyctl_request_id (), NULL);
  int exit_code
      = send_change ("DELETE", path, NULL, "serves again", arguments);
  g_free (path);
  return exit_code;
}

static int
run_drains (int count, char **arguments)
{
  static const struct cyctl_column columns[] = { { "KIND", "kind" },
                                                 { "NAME", "name" },
                                                 { "SINCE", "since_unix_ms" },
                                                 { "VERSION", "version" },
                                                 { NULL, NULL } };
  struct cyctl_answer answer;
  int exit_code;
  (void)count;
  (void)arguments;
  if (cyctl_request ("GET", "/v1/drains", NULL, 0, &answer, &exit_code))
    {
      if (cyctl_options.json)
        cyctl_print_json (answer.body);
      else
        cyctl_print_table (json_object_get (answer.body, "drains"), columns);
    }
  cyctl_answer_clear (&answer);
  return exit_code;
}

static const GOptionEntry drain_entries[]
    = { { "force", 0, 0, G_OPTION_ARG_NONE, &drain_force,
          "Drain even when the rest has no room", NULL },
        { "preview", 0, 0, G_OPTION_ARG_NONE, &drain_preview,
          "Only show what would move, and whether it fits", NULL },
        G_OPTION_ENTRY_NULL };

const struct cyctl_command cyctl_drain_commands[] = {
  { "drain", "zone|region|entry|backend NAME",
    "Moves work away before planned work",
    "Traffic moves under the caps; open requests finish.  A drain for which "
    "the\nrest has no room is refused unless --force.  A backend server is "
    "named\nSERVICE/INSTANCE, an entry VM by its name.",
    drain_entries, 2, 2, run_drain },
  { "undrain", "zone|region|entry|backend NAME", "Ends a drain", NULL, NULL, 2,
    2, run_undrain },
  { "drains", "", "Lists what is drained", NULL, NULL, 0, 0, run_drains },
  { NULL, NULL, NULL, NULL, NULL, 0, 0, NULL }
};

/* Commands on keys: issue, withdraw, list.  */

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <sys/random.h>

#include "cyctl/cyctl.h"

#define SEED_LENGTH_BYTES 32
#define MS_PER_MINUTE     60000

static int expires_minutes;
static char *list_workspace;

/* Writes random bytes to SEED in hexadecimal.  A control VM derives the key
   from the seed, so a retry after a lost answer receives the same key.  */
static bool
make_seed (char seed[2 * SEED_LENGTH_BYTES + 1])
{
  uint8_t bytes[SEED_LENGTH_BYTES];
  if (getrandom (bytes, sizeof bytes, 0) != sizeof bytes)
    return false;
  for (size_t i = 0; i < SEED_LENGTH_BYTES; i++)
    g_snprintf (seed + 2 * i, 3, "%02x", bytes[i]);
  return true;
}

static int
run_issue (int count, char **arguments)
{
  char seed[2 * SEED_LENGTH_BYTES + 1];
  struct cyctl_answer answer;
  int exit_code;
  int64_t expires_unix_ms = 0;
  (void)count;
  if (!make_seed (seed))
    {
      g_printerr ("cyctl: no random numbers\n");
      return CYCTL_REFUSED;
    }
  if (expires_minutes > 0)
    expires_unix_ms
        = g_get_real_time () / 1000 + (int64_t)expires_minutes * MS_PER_MINUTE;
  json_t *body
      = json_pack ("{sssIss}", "workspace", arguments[0], "expires_unix_ms",
                   (json_int_t)expires_unix_ms, "seed", seed);
  char *text = json_dumps (body, JSON_COMPACT);
  char *path
      = cyctl_build_path ("/v1/keys", "request_id", cyctl_request_id (), NULL);
  if (cyctl_request ("POST", path, text, strlen (text), &answer, &exit_code))
    {
      if (cyctl_options.json)
        cyctl_print_json (answer.body);
      else
        printf ("id %s\nkey %s\n", cyctl_get_text (answer.body, "id"),
                cyctl_get_text (answer.body, "key"));
    }
  cyctl_answer_clear (&answer);
  free (text);
  g_free (path);
  json_decref (body);
  return exit_code;
}

static int
run_withdraw (int count, char **arguments)
{
  struct cyctl_answer answer;
  int exit_code;
  (void)count;
  char *id = g_uri_escape_string (arguments[0], NULL, FALSE);
  char *base = g_strdup_printf ("/v1/keys/%s/withdraw", id);
  char *path
      = cyctl_build_path (base, "request_id", cyctl_request_id (), NULL);
  if (cyctl_request ("POST", path, NULL, 0, &answer, &exit_code))
    {
      if (cyctl_options.json)
        cyctl_print_json (answer.body);
      else
        printf ("key %s withdrawn in version %" PRId64 "\n", arguments[0],
                cyctl_get_number (answer.body, "version"));
    }
  cyctl_answer_clear (&answer);
  g_free (id);
  g_free (base);
  g_free (path);
  return exit_code;
}

static int
run_list (int count, char **arguments)
{
  static const struct cyctl_column columns[]
      = { { "ID", "id" },
          { "WORKSPACE", "workspace" },
          { "EXPIRES", "expires_unix_ms" },
          { "WITHDRAWN", "withdrawn" },
          { "VERSION", "version" },
          { NULL, NULL } };
  struct cyctl_answer answer;
  int exit_code;
  (void)count;
  (void)arguments;
  char *path
      = cyctl_build_path ("/v1/keys", "workspace", list_workspace, NULL);
  if (cyctl_request ("GET", path, NULL, 0, &answer, &exit_code))
    {
      if (cyctl_options.json)
        cyctl_print_json (answer.body);
      else
        cyctl_print_table (json_object_get (answer.body, "keys"), columns);
    }
  cyctl_answer_clear (&answer);
  g_free (path);
  return exit_code;
}

static const GOptionEntry issue_entries[]
    = { { "expires", 0, 0, G_OPTION_ARG_INT, &expires_minutes,
          "Minutes until the key expires, never by default", "MINUTES" },
        G_OPTION_ENTRY_NULL };

static const GOptionEntry list_entries[]
    = { { "workspace", 0, 0, G_OPTION_ARG_STRING, &list_workspace,
          "Only keys of this workspace", "NAME" },
        G_OPTION_ENTRY_NULL };

const struct cyctl_command cyctl_key_commands[] = {
  { "keys issue", "WORKSPACE", "Issues a key and shows it this once",
    "Only a digest of the key is kept: nobody can show it again.  A workspace "
    "may\nhave many keys at once: issue the new one, hand it out, withdraw "
    "the old one.\n\nAfter exit code 5 look for the request in cyctl audit: "
    "when the key was issued,\nwithdraw it and issue another.",
    issue_entries, 1, 1, run_issue },
  { "keys withdraw", "ID", "Withdraws a key for good",
    "Every entry VM refuses the key within key_max_age, 3 seconds by "
    "default, on\nconnections that are already open too.",
    NULL, 1, 1, run_withdraw },
  { "keys list", "", "Lists keys by id, withdrawn ones too",
    "A key's text is in no list.", list_entries, 0, 0, run_list },
  { NULL, NULL, NULL, NULL, NULL, 0, 0, NULL }
};

/* Commands on control VMs: status, entries, members.  */

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "cyctl/cyctl.h"

#define REPLACE_POLL_US 200000 /* between two status requests */

static const struct cyctl_column member_columns[]
    = { { "ID", "id" },         { "HOST", "host" },
        { "PORT", "port" },     { "HTTP", "http_port" },
        { "VOTER", "voter" },   { "LEADER", "leader" },
        { "ON DISK", "match" }, { "SILENT MS", "silent_ms" },
        { NULL, NULL } };

/* ----------------------------------------------------------------- status */

/* Requests the status of the control VMs.  Returns false and the exit code
   after it printed an error.  */
static bool
request_status (struct cyctl_answer *answer, int *exit_code)
{
  static bool reported;
  size_t asked_count;
  size_t answered = cyctl_call_status (answer, &asked_count);
  *exit_code = CYCTL_OK;
  if (answered < asked_count && !reported)
    g_printerr ("cyctl: %zu of %zu control VMs answered\n", answered,
                asked_count);
  reported = reported || answered < asked_count;
  if (answer->status == 200 && answer->body != NULL)
    return true;
  *exit_code = cyctl_print_problem (answer);
  return false;
}

/* Prints how many voters may be lost, if the control VMs tell.  */
static void
print_voters (const json_t *body)
{
  if (json_object_get (body, "voters") == NULL)
    return;
  printf ("%" PRId64 " voters, %" PRId64 " live, %" PRId64
          " more may be lost\n",
          cyctl_get_number (body, "voters"),
          cyctl_get_number (body, "voters_live"),
          cyctl_get_number (body, "losses_borne"));
}

static void
print_status (const json_t *body)
{
  int64_t age = cyctl_get_number (body, "age_ms");
  printf ("member %" PRId64 ", term %" PRId64 ", version %" PRId64
          ", committed %" PRId64 ", confirmed ",
          cyctl_get_number (body, "self"), cyctl_get_number (body, "term"),
          cyctl_get_number (body, "version"),
          cyctl_get_number (body, "committed"));
  if (age < 0)
    puts ("by no quorum as far as this member knows");
  else
    printf ("%" PRId64 " ms ago\n", age);
  print_voters (body);
  cyctl_print_table (json_object_get (body, "members"), member_columns);
}

static int
run_status (int count, char **arguments)
{
  struct cyctl_answer answer;
  int exit_code;
  (void)count;
  (void)arguments;
  if (request_status (&answer, &exit_code))
    {
      if (cyctl_options.json)
        cyctl_print_json (answer.body);
      else
        print_status (answer.body);
    }
  cyctl_answer_clear (&answer);
  return exit_code;
}

static int
run_entries (int count, char **arguments)
{
  static const struct cyctl_column columns[] = { { "ENTRY VM", "name" },
                                                 { "VERSION", "version" },
                                                 { "AGE MS", "age_ms" },
                                                 { NULL, NULL } };
  struct cyctl_answer answer;
  int exit_code;
  (void)count;
  (void)arguments;
  if (cyctl_request ("GET", "/v1/children", NULL, 0, &answer, &exit_code))
    {
      if (cyctl_options.json)
        cyctl_print_json (answer.body);
      else
        cyctl_print_table (json_object_get (answer.body, "children"), columns);
    }
  cyctl_answer_clear (&answer);
  return exit_code;
}

/* ---------------------------------------------------------------- members */

static int
run_list (int count, char **arguments)
{
  struct cyctl_answer answer;
  int exit_code;
  (void)count;
  (void)arguments;
  if (request_status (&answer, &exit_code))
    {
      json_t *members = json_object_get (answer.body, "members");
      if (cyctl_options.json)
        cyctl_print_json (members);
      else
        {
          print_voters (answer.body);
          cyctl_print_table (members, member_columns);
        }
    }
  cyctl_answer_clear (&answer);
  return exit_code;
}

static bool
add_member (char **arguments, int *exit_code)
{
  struct cyctl_answer answer;
  guint64 id, port, http;
  if (!g_ascii_string_to_unsigned (arguments[0], 10, 1, G_MAXINT64, &id, NULL)
      || !g_ascii_string_to_unsigned (arguments[2], 10, 1, 65535, &port, NULL)
      || !g_ascii_string_to_unsigned (arguments[3], 10, 1, 65535, &http, NULL))
    {
      g_printerr ("cyctl: ID, PORT and HTTP_PORT are numbers\n");
      *exit_code = CYCTL_USAGE;
      return false;
    }
  json_t *body
      = json_pack ("{sIsssIsI}", "id", (json_int_t)id, "host", arguments[1],
                   "port", (json_int_t)port, "http_port", (json_int_t)http);
  char *text = json_dumps (body, JSON_COMPACT);
  char *path = cyctl_build_path ("/v1/members", "request_id",
                                 cyctl_request_id (), NULL);
  bool good
      = cyctl_request ("POST", path, text, strlen (text), &answer, exit_code);
  cyctl_answer_clear (&answer);
  g_free (path);
  free (text);
  json_decref (body);
  return good;
}

static bool
remove_member (const char *id, const char *request_id, int *exit_code)
{
  struct cyctl_answer answer;
  char *base = g_strdup_printf ("/v1/members/%s", id);
  char *path = cyctl_build_path (base, "request_id", request_id, NULL);
  bool good = cyctl_request ("DELETE", path, NULL, 0, &answer, exit_code);
  cyctl_answer_clear (&answer);
  g_free (base);
  g_free (path);
  return good;
}

static int
run_add (int count, char **arguments)
{
  int exit_code;
  (void)count;
  if (add_member (arguments, &exit_code))
    printf ("member %s is a learner; it counts once it has caught up on disk "
            "(VOTER in cyctl members list)\n",
            arguments[0]);
  return exit_code;
}

static int
run_remove (int count, char **arguments)
{
  int exit_code;
  (void)count;
  if (remove_member (arguments[0], cyctl_request_id (), &exit_code))
    printf ("member %s removed\n", arguments[0]);
  return exit_code;
}

/* Looks up member ID.  *KNOWN: it is a member; *VOTER: it counts towards the
   quorum.  Returns false and the exit code after it printed an error.  */
static bool
find_member (const char *id, bool *known, bool *voter, int *exit_code)
{
  struct cyctl_answer answer;
  size_t i;
  json_t *member;
  guint64 wanted_id = g_ascii_strtoull (id, NULL, 10);
  *known = false;
  *voter = false;
  bool good = request_status (&answer, exit_code);
  json_array_foreach (json_object_get (answer.body, "members"), i, member)
  {
    if ((guint64)cyctl_get_number (member, "id") != wanted_id)
      continue;
    *known = true;
    *voter = json_is_true (json_object_get (member, "voter"));
  }
  cyctl_answer_clear (&answer);
  return good;
}

static int
run_replace (int count, char **arguments)
{
  int exit_code;
  bool known;
  bool voter;
  (void)count;
  gint64 deadline_us
      = g_get_monotonic_time () + cyctl_options.timeout_s * G_USEC_PER_SEC;
  if (!find_member (arguments[0], &known, &voter, &exit_code))
    return exit_code;
  if (!known)
    {
      g_printerr ("cyctl: there is no member %s to replace\n", arguments[0]);
      return CYCTL_USAGE;
    }
  if (!add_member (arguments + 1, &exit_code))
    return exit_code;
  voter = false;
  printf ("member %s is a learner\n", arguments[1]);
  fflush (stdout);
  while (!voter && g_get_monotonic_time () < deadline_us)
    {
      if (!find_member (arguments[1], &known, &voter, &exit_code))
        return exit_code;
      if (!voter)
        g_usleep (REPLACE_POLL_US);
    }
  if (!voter)
    {
      g_printerr ("cyctl: member %s does not count yet and member %s was "
                  "left in; see that the new cy-control runs with "
                  "--join=true, then run the same command again\n",
                  arguments[1], arguments[0]);
      return CYCTL_UNCONFIRMED;
    }
  printf ("member %s counts toward the quorum\n", arguments[1]);
  fflush (stdout);
  /* The removal is a second change and needs a request id of its own.  */
  char *request_id = g_strconcat (cyctl_request_id (), "-remove", NULL);
  if (remove_member (arguments[0], request_id, &exit_code))
    printf ("member %s removed\n", arguments[0]);
  g_free (request_id);
  return exit_code;
}

const struct cyctl_command cyctl_member_commands[] = {
  { "status", "", "Shows the members and the version in force",
    "VOTER says who counts toward the quorum, ON DISK how far each member's "
    "log\nreaches as the leader knows it.\n\nEvery control VM of --control is "
    "asked once; the view of the leader is shown, or\nelse of the member that "
    "is furthest.  Those of the hub layout also tell how many\nvoters may be "
    "lost until no majority is left, and how long each has been silent.",
    NULL, 0, 0, run_status },
  { "entries", "", "Lists entry VMs and the version in force at each", NULL,
    NULL, 0, 0, run_entries },
  { "members list", "", "Lists control VMs", NULL, NULL, 0, 0, run_list },
  { "members add", "ID HOST PORT HTTP_PORT", "Adds a control VM",
    "It starts as a learner and counts toward the quorum once it has caught "
    "up on\ndisk.  An id is never used twice.",
    NULL, 4, 4, run_add },
  { "members remove", "ID", "Removes a control VM", NULL, NULL, 1, 1,
    run_remove },
  { "members replace", "OLD_ID ID HOST PORT HTTP_PORT",
    "Puts a new control VM in the place of a lost one",
    "Adds the new member, waits until it counts toward the quorum, says so, "
    "and\nthen removes the old one.  Start the new cy-control first, with an "
    "empty data\nfolder, the new id and --join=true.  Running the command "
    "again "
    "goes on where it\nstopped.",
    NULL, 5, 5, run_replace },
  { NULL, NULL, NULL, NULL, NULL, 0, 0, NULL }
};

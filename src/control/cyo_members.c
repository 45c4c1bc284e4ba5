/* Status, entry VMs, membership changes, verdicts, metrics and health.  */

#include <inttypes.h>
#include <string.h>

#include "base/cyu_log.h"
#include "base/cyu_metrics.h"
#include "control/cyo_request.h"

#define WHY_SPAN_DEFAULT_MS 300000 /* period that a verdict covers */

/* ----------------------------------------------------------------- status */

static json_t *
member_json (const struct cyx_member_status *member)
{
  return json_pack ("{sIsssisisbsbsI}", "id", (json_int_t)member->id, "host",
                    member->host != NULL ? member->host : "", "port",
                    (int)member->port, "http_port", (int)member->http_port,
                    "voter", (int)member->voter, "leader", (int)member->leader,
                    "match", (json_int_t)member->acknowledged_index);
}

/* Answers with this VM's view of the cluster, or redirects to the leader when
   the query has the argument "leader".  */
void
cyo_handle_status (struct cyo_request *request)
{
  struct cyx_status status;
  bool confirmed;
  if (cyo_argument (request, "leader") != NULL
      && !cyo_may_read_here (request, &confirmed))
    return;
  json_t *members = json_array ();
  memset (&status, 0, sizeof status);
  cyx_control_status (request->control, &status);
  for (size_t i = 0; i < status.member_count; i++)
    json_array_append_new (members, member_json (&status.members[i]));
  cyo_answer_json (request, 200,
                   json_pack ("{sIsbsbsIsIsIsIso}", "self",
                              (json_int_t)status.self_id, "leader",
                              (int)status.leader, "ready", (int)status.ready,
                              "term", (json_int_t)status.term, "committed",
                              (json_int_t)status.committed_index, "version",
                              (json_int_t)status.version, "age_ms",
                              (json_int_t)status.age_ms, "members", members));
  cyx_status_clear (&status);
}

void
cyo_handle_children (struct cyo_request *request)
{
  bool confirmed;
  size_t count = 0;
  if (!cyo_may_read_here (request, &confirmed))
    return;
  struct cyx_child *children = cyx_control_children (request->control, &count);
  json_t *list = json_array ();
  for (size_t i = 0; i < count; i++)
    json_array_append_new (
        list, json_pack ("{sssIsI}", "name", children[i].name, "version",
                         (json_int_t)children[i].version, "age_ms",
                         (json_int_t)children[i].age_ms));
  cyx_children_clear (children, count);
  cyo_answer_json (
      request, 200,
      json_pack ("{sbso}", "confirmed", confirmed, "children", list));
}

/* ---------------------------------------------------------------- members */

static bool
read_member (const json_t *body, Cy__Member *member)
{
  json_int_t id = json_integer_value (json_object_get (body, "id"));
  json_int_t port = json_integer_value (json_object_get (body, "port"));
  json_int_t http = json_integer_value (json_object_get (body, "http_port"));
  const char *host = json_string_value (json_object_get (body, "host"));
  if (id < 1 || port < 1 || port > 65535 || http < 1 || http > 65535
      || host == NULL || !g_hostname_is_ip_address (host))
    return false;
  member->id = (uint64_t)id;
  member->host = (char *)host;
  member->port = (uint32_t)port;
  member->http_port = (uint32_t)http;
  return true;
}

/* True when the member set contains ID.  *SAME_ADDRESSES, if not NULL, is set
   to whether that member has the addresses of MEMBER.  */
static bool
find_member (struct cyo_request *request, uint64_t id,
             const Cy__Member *member, bool *same_addresses)
{
  struct cyx_status status;
  bool found = false;
  memset (&status, 0, sizeof status);
  cyx_control_status (request->control, &status);
  for (size_t i = 0; i < status.member_count; i++)
    {
      const struct cyx_member_status *known = &status.members[i];
      if (known->id != id)
        continue;
      found = true;
      if (same_addresses != NULL)
        *same_addresses = g_strcmp0 (known->host, member->host) == 0
                          && known->port == member->port
                          && known->http_port == member->http_port;
    }
  cyx_status_clear (&status);
  return found;
}

/* Adds a membership change to the audit trail before the change is made, so
   that a control VM that removes itself leaves an audit line and a resend
   repeats a change that was not made.  Returns false when the line was not
   accepted.  */
static bool
record_membership_change (struct cyo_request *request, Cy__Change *change,
                          char *note)
{
  change->note = note;
  bool is_accepted = cyo_change_finish (request, change, NULL);
  change->note = (char *)protobuf_c_empty_string;
  g_free (note);
  return is_accepted;
}

/* Logs and answers a recorded membership change that failed, and clears
   OUTCOME.  */
static void
report_membership_outcome (struct cyo_request *request,
                           struct cyx_outcome *outcome, const char *action)
{
  if (outcome->result != CY_OK)
    {
      cyu_log (G_LOG_LEVEL_MESSAGE, "%s by %s, request %s: %s", action,
               request->who, cyo_argument (request, "request_id"),
               cy_result_name (outcome->result));
      cyo_answer_outcome (request, outcome, NULL);
    }
  cyx_outcome_clear (outcome);
}

static void
add_member (struct cyo_request *request, const Cy__Member *member)
{
  Cy__Change change;
  struct cyx_outcome outcome;
  bool same_addresses = false;
  if (!cyo_change_prepare (request, &change, "member-add")
      || !cyo_require_leader (request))
    return;
  if (find_member (request, member->id, member, &same_addresses)
      && !same_addresses)
    {
      cyo_change_refuse (request, &change, CY_E_EXISTS, "id",
                         "a member with this id has other addresses");
      return;
    }
  char *note = g_strdup_printf ("+ member %" PRIu64 " at %s, ports %u, %u",
                                member->id, member->host, member->port,
                                member->http_port);
  if (!record_membership_change (request, &change, note) || same_addresses)
    return;
  memset (&outcome, 0, sizeof outcome);
  cyx_control_add_member (request->control, member, CYO_PROPOSE_TIMEOUT_MS,
                          &outcome);
  if (outcome.result == CY_E_EXISTS
      && find_member (request, member->id, member, &same_addresses)
      && same_addresses)
    outcome.result = CY_OK;
  report_membership_outcome (request, &outcome, "member-add");
}

void
cyo_handle_member_add (struct cyo_request *request)
{
  Cy__Member member = CY__MEMBER__INIT;
  json_t *body = cyo_body_json (request);
  if (body == NULL)
    return;
  if (read_member (body, &member))
    add_member (request, &member);
  else
    cyo_answer_problem (request, CY_E_ARGUMENT, "",
                        "id is a number above 0, host an IP number, port and "
                        "http_port are 1 to 65535",
                        NULL);
  json_decref (body);
}

static void
remove_member (struct cyo_request *request, uint64_t id)
{
  Cy__Change change;
  struct cyx_outcome outcome;
  if (!cyo_change_prepare (request, &change, "member-remove")
      || !cyo_require_leader (request))
    return;
  bool is_resend = cyo_change_was_accepted (request, &change);
  if (!is_resend && !find_member (request, id, NULL, NULL))
    {
      cyo_change_refuse (request, &change, CY_E_NOT_FOUND, "id",
                         "no member has this id");
      return;
    }
  if (!record_membership_change (request, &change,
                                 g_strdup_printf ("- member %" PRIu64, id)))
    return;
  memset (&outcome, 0, sizeof outcome);
  cyx_control_remove_member (request->control, id, CYO_PROPOSE_TIMEOUT_MS,
                             &outcome);
  if (outcome.result == CY_E_NOT_FOUND)
    outcome.result = CY_OK;
  report_membership_outcome (request, &outcome, "member-remove");
}

void
cyo_handle_member_remove (struct cyo_request *request)
{
  guint64 id;
  if (g_ascii_string_to_unsigned (request->name, 10, 1, G_MAXUINT64, &id,
                                  NULL))
    remove_member (request, id);
  else
    cyo_answer_problem (request, CY_E_ARGUMENT, "id", "must be a number",
                        NULL);
}

/* -------------------------------------------------------------------- why */

void
cyo_handle_why (struct cyo_request *request)
{
  bool confirmed;
  uint64_t since_ms;
  const char *service = cyo_argument (request, "service");
  if (service == NULL)
    cyo_answer_problem (request, CY_E_ARGUMENT, "service", "is missing", NULL);
  else if (cyo_argument_number (request, "since_ms", WHY_SPAN_DEFAULT_MS,
                                &since_ms)
           && cyo_may_read_here (request, &confirmed))
    cyo_answer_text (request, 200, "application/json",
                     cyx_control_why (request->control, service,
                                      cyo_argument (request, "workspace"),
                                      (int64_t)since_ms));
}

/* ----------------------------------------------------------------- health */

void
cyo_handle_metrics (struct cyo_request *request)
{
  cyo_answer_text (request, 200, "text/plain; version=0.0.4",
                   cyu_metrics_print ());
}

void
cyo_handle_health (struct cyo_request *request)
{
  cyo_answer_text (request, 200, "text/plain", g_strdup ("ok\n"));
}

void
cyo_handle_ready (struct cyo_request *request)
{
  struct cyx_status status;
  memset (&status, 0, sizeof status);
  cyx_control_status (request->control, &status);
  bool ready = status.leader && status.ready;
  for (size_t i = 0; i < status.member_count; i++)
    ready = ready || (status.members[i].leader && !status.leader);
  cyx_status_clear (&status);
  cyo_answer_text (request, ready ? 200 : 503, "text/plain",
                   g_strdup (ready ? "ready\n" : "no leader is known\n"));
}

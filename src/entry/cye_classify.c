/* Verdict on an attempt by the head of the backend server's answer.  */

#include <stdio.h>
#include <string.h>
#include <strings.h>

#include <jansson.h>

#include "base/cyu_log.h"
#include "base/cyu_metrics.h"
#include "core/cym_notices.h"
#include "entry/cye_request_internal.h"

static void
count_notice (const char *kind)
{
  char *labels = g_strdup_printf ("kind=\"%s\"", kind);
  cyu_metric_add (cyu_counter ("cy_entry_server_notices_total", labels,
                               "answers in which a backend server asked for "
                               "fewer requests"),
                  1);
  g_free (labels);
}

/* Logs that header NAME with VALUE, which has no meaning here, is ignored.  */
static void
ignore_notice (const struct cye_request *request, const char *name,
               const char *value)
{
  count_notice ("ignored");
  cyu_event (CYU_FAULT, "server_notice_ignored", "{ss ss ss}", "instance",
             request->ticket.instance, "header", name, "value", value);
}

/* Reads how many requests per second the server takes from all entry VMs.  */
static void
read_limit (const struct cye_request *request,
            const struct cye_answer_head *head, struct cym_load *out)
{
  const char *name = request->shared->names->limit;
  const char *limit = cye_answer_header (head, name);
  out->unlimited = limit == NULL && head->status < 500;
  if (limit == NULL)
    return;
  out->limited = cym_limit_parse (limit, &out->limit_per_s);
  if (out->limited)
    count_notice ("limit");
  else
    ignore_notice (request, name, limit);
}

/* Reads what the server asks for: whether it leaves, for how long it wants no
   request, and how many it takes.  */
static void
read_notices (const struct cye_request *request,
              const struct cye_answer_head *head, struct cym_load *out)
{
  const struct cye_names *names = request->shared->names;
  const char *leaving = cye_answer_header (head, names->leaving);
  const char *pause = cye_answer_header (head, names->pause);
  out->leaving = leaving != NULL && strcmp (leaving, "1") == 0;
  if (out->leaving)
    count_notice ("leaving");
  else if (leaving != NULL)
    ignore_notice (request, names->leaving, leaving);
  read_limit (request, head, out);
  if (head->status != 503 || pause == NULL)
    return;
  if (cym_pause_parse (pause, &out->pause_ms))
    count_notice ("pause");
  else
    ignore_notice (request, names->pause, pause);
}

/* Reads the load header, "running,waiting,slots", and the ms for which the
   server's cold start lasts.  */
static void
read_load (struct cye_request *request, const struct cye_answer_head *head)
{
  const struct cye_names *names = request->shared->names;
  const char *load = cye_answer_header (head, names->load);
  const char *cold = cye_answer_header (head, names->cold);
  struct cym_load *out = &request->load;
  memset (out, 0, sizeof *out);
  if (load != NULL
      && sscanf (load, "%u,%u,%u", &out->running, &out->waiting, &out->slots)
             == 3)
    out->known = true;
  if (cold != NULL)
    out->cold_ms = (uint32_t)MIN (g_ascii_strtoull (cold, NULL, 10), 60000);
}

/* The request ID that the server should echo, NULL if none was sent.  */
static const char *
expected_echo (const struct cye_request *request)
{
  switch (request->shared->layout)
    {
    case CYE_HUB:
      return request->request_id;
    case CYE_TREE:
      return request->attempt_id;
    }
  return NULL;
}

/* Request ID of an answer, compared with the one that was sent.  */
enum echo
{
  ECHO_NONE, /* none came back */
  ECHO_MATCHES,
  ECHO_DIFFERS /* also if none was sent */
};

static enum echo
classify_echo (const struct cye_request *request,
               const struct cye_answer_head *head)
{
  const char *expected = expected_echo (request);
  const char *echo
      = cye_answer_header (head, request->shared->names->request_id);
  if (echo == NULL)
    return ECHO_NONE;
  return expected != NULL && strcmp (echo, expected) == 0 ? ECHO_MATCHES
                                                          : ECHO_DIFFERS;
}

/* The answer to another request may arrive late on a persistent connection.
   In the hub layout servers always echo the request ID, so an answer without
   it is not accepted.  */
static enum cye_answer_fault
check_echo (const struct cye_request *request,
            const struct cye_answer_head *head)
{
  switch (classify_echo (request, head))
    {
    case ECHO_MATCHES:
      return CYE_ANSWER_SOUND;
    case ECHO_DIFFERS:
      return CYE_ANSWER_OTHER_ID;
    case ECHO_NONE:
      break;
    }
  return request->shared->layout == CYE_TREE || request->request_id == NULL
             ? CYE_ANSWER_SOUND
             : CYE_ANSWER_NO_ID;
}

/* True when HEAD reports that the server did not run the request.  */
static bool
is_refusal (const struct cye_request *request,
            const struct cye_answer_head *head)
{
  const struct cye_names *names = request->shared->names;
  const char *not_run = cye_answer_header (head, names->not_run);
  switch (request->shared->layout)
    {
    case CYE_HUB:
      return head->status == 421 || not_run != NULL;
    case CYE_TREE:
      return head->status == 503 && not_run != NULL
             && strcmp (not_run, "1") == 0;
    }
  return false;
}

/* True when a refusal can only belong to this attempt: it echoes the request
   ID, or the connection is new.  On a persistent connection the refusal of an
   earlier request may arrive a second time.  */
static bool
is_refusal_certain (const struct cye_request *request,
                    const struct cye_answer_head *head)
{
  return !cye_call_reused (request->call)
         || classify_echo (request, head) == ECHO_MATCHES;
}

/* A success that lacks the stamp of backend servers or has an encoded body
   comes from another program.  */
static enum cye_answer_fault
check_origin (const struct cye_request *request,
              const struct cye_answer_head *head)
{
  const char *stamp = request->shared->names->stamp;
  if (head->status >= 300)
    return CYE_ANSWER_SOUND;
  if (stamp != NULL && cye_answer_header (head, stamp) == NULL)
    return CYE_ANSWER_UNSTAMPED;
  return cye_answer_header (head, "Content-Encoding") == NULL
             ? CYE_ANSWER_SOUND
             : CYE_ANSWER_ENCODED;
}

enum cye_answer_fault
cye_check_answer (const struct cye_request *request,
                  const struct cye_answer_head *head)
{
  const struct cye_names *names = request->shared->names;
  if (head->fault != CYE_ANSWER_SOUND)
    return head->fault;
  if (cye_answer_differs (head, names->request_id)
      || (names->stamp != NULL && cye_answer_differs (head, names->stamp)))
    return CYE_ANSWER_REPEATED;
  enum cye_answer_fault fault = check_echo (request, head);
  if (fault != CYE_ANSWER_SOUND)
    return fault;
  if (is_refusal (request, head))
    return is_refusal_certain (request, head) ? CYE_ANSWER_SOUND
                                              : CYE_ANSWER_OLD_REFUSAL;
  return request->shared->layout == CYE_TREE ? CYE_ANSWER_SOUND
                                             : check_origin (request, head);
}

enum cye_verdict
cye_classify_answer (struct cye_request *request)
{
  const struct cye_answer_head *head = cye_call_head (request->call);
  bool hub = request->shared->layout == CYE_HUB;
  if (cye_check_answer (request, head) != CYE_ANSWER_SOUND)
    return CYE_INVALID;
  if (hub)
    read_load (request, head);
  bool misdirected = hub && head->status == 421 && is_refusal (request, head);
  if (misdirected)
    return CYE_MISDIRECTED;
  read_notices (request, head, &request->load);
  if (is_refusal (request, head))
    return CYE_DECLINED;
  return hub && head->status >= 500 ? CYE_FAILED : CYE_GOOD;
}

/* What the head of a backend server's answer is worth.  */

#include <stdio.h>
#include <string.h>
#include <strings.h>

#include "entry/cye_request_internal.h"

const char *
cye_answer_header (const struct cye_answer_head *head, const char *name)
{
  for (guint i = 0; i < head->names->len; i++)
    if (strcasecmp (g_ptr_array_index (head->names, i), name) == 0)
      return g_ptr_array_index (head->values, i);
  return NULL;
}

/* Reads "running,waiting,slots" and how long the server stays cold.  */
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

/* The name that a server echoes in its answer, NULL if it was not told one. */
static const char *
name_of (const struct cye_request *request)
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

/* How HEAD names what it answers.  */
enum echo
{
  ECHO_NONE, /* not at all */
  ECHO_OURS,
  ECHO_OTHER
};

static enum echo
echo_of (const struct cye_request *request, const struct cye_answer_head *head)
{
  const char *name = name_of (request);
  const char *echo
      = cye_answer_header (head, request->shared->names->request_id);
  if (name == NULL || echo == NULL)
    return ECHO_NONE;
  return strcmp (echo, name) == 0 ? ECHO_OURS : ECHO_OTHER;
}

/* Another one's answer may come late on a kept connection.  At a hub servers
   always echo.  */
static bool
is_ours (const struct cye_request *request, const struct cye_answer_head *head)
{
  switch (echo_of (request, head))
    {
    case ECHO_OURS:
      return true;
    case ECHO_OTHER:
      return false;
    case ECHO_NONE:
      break;
    }
  return request->shared->layout == CYE_TREE || request->request_id == NULL;
}

/* Whether HEAD says that the server did not run the request.  */
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

/* True when a refusal can only be of this attempt: it names it, or nothing was
   asked before on its connection.  An earlier one may come once more.  */
static bool
is_proof (const struct cye_request *request,
          const struct cye_answer_head *head)
{
  return !cye_call_reused (request->call)
         || echo_of (request, head) == ECHO_OURS;
}

/* A success without the server's stamp is not the server's.  */
static bool
is_genuine (const struct cye_request *request,
            const struct cye_answer_head *head)
{
  const struct cye_names *names = request->shared->names;
  bool stamped
      = names->stamp == NULL || cye_answer_header (head, names->stamp) != NULL;
  return head->status >= 300
         || (stamped && cye_answer_header (head, "Content-Encoding") == NULL);
}

bool
cye_is_answer (const struct cye_request *request,
               const struct cye_answer_head *head)
{
  if (!is_ours (request, head))
    return false;
  if (is_refusal (request, head))
    return is_proof (request, head);
  return request->shared->layout == CYE_TREE || is_genuine (request, head);
}

enum cye_verdict
cye_classify_answer (struct cye_request *request)
{
  const struct cye_answer_head *head = cye_call_head (request->call);
  bool hub = request->shared->layout == CYE_HUB;
  if (hub)
    read_load (request, head);
  if (!cye_is_answer (request, head))
    return CYE_INVALID;
  if (is_refusal (request, head))
    return hub && head->status == 421 ? CYE_WRONG : CYE_DECLINED;
  return hub && head->status >= 500 ? CYE_FAILED : CYE_GOOD;
}

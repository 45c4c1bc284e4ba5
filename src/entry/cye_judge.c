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

/* Servers echo the request's id: another one's answer may come late on a kept
   connection.  */
static bool
is_ours (const struct cye_request *request, const struct cye_answer_head *head)
{
  const char *echo
      = cye_answer_header (head, request->shared->names->request_id);
  return request->request_id == NULL
         || (echo != NULL && strcmp (echo, request->request_id) == 0);
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
  switch (request->shared->layout)
    {
    case CYE_HUB:
      return is_ours (request, head) && is_genuine (request, head);
    case CYE_TREE:
      return true;
    }
  return true;
}

static enum cye_verdict
judge_at_hub (struct cye_request *request, const struct cye_answer_head *head)
{
  const struct cye_names *names = request->shared->names;
  read_load (request, head);
  if (!is_ours (request, head))
    return CYE_INVALID;
  if (head->status == 421)
    return CYE_WRONG;
  if (cye_answer_header (head, names->not_run) != NULL)
    return CYE_DECLINED;
  if (!is_genuine (request, head))
    return CYE_INVALID;
  return head->status >= 500 ? CYE_FAILED : CYE_GOOD;
}

enum cye_verdict
cye_judge (struct cye_request *request)
{
  const struct cye_answer_head *head = cye_call_head (request->call);
  const char *not_run = NULL;
  switch (request->shared->layout)
    {
    case CYE_HUB:
      return judge_at_hub (request, head);
    case CYE_TREE:
      not_run = cye_answer_header (head, request->shared->names->not_run);
      return head->status == 503 && not_run != NULL
                     && strcmp (not_run, "1") == 0
                 ? CYE_DECLINED
                 : CYE_GOOD;
    }
  return CYE_INVALID;
}

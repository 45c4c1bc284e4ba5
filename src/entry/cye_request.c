#include "entry/cye_request_internal.h"

#include <ck_pr.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>

#include "entry/cye_local.h"

#define CALLER_LOOK_MS                                                        \
  200 /* ms between two looks whether a caller has left: well below the half  \
         second in which its work should end */

/* ------------------------------------------------------------ life */

cy_time_ns
cye_request_now (const struct cye_request *request)
{
  return cy_clock_now (request->shared->clock);
}

void *
cye_request_on_uri (void *context, const char *uri,
                    struct MHD_Connection *connection)
{
  struct cye_worker *worker = context;
  struct cye_request *request = g_new0 (struct cye_request, 1);
  request->worker = worker;
  request->shared = cye_worker_shared (worker);
  request->connection = connection;
  request->uri = g_strdup (uri);
  request->begun_at = cye_request_now (request);
  request->looked_at = request->begun_at;
  request->length = CYE_LENGTH_NONE;
  cye_bytes_init (&request->upload);
  cye_worker_enter (worker, request);
  ck_pr_inc_64 ((uint64_t *)&request->shared->open);
  return request;
}

void
cye_request_destroy (struct cye_request *request)
{
  cye_worker_forget (request->worker, request);
  cye_call_destroy (request->call);
  curl_slist_free_all (request->headers);
  curl_slist_free_all (request->call_headers);
  cye_bytes_clear (&request->upload);
  cye_target_clear (&request->target);
  if (request->key != NULL)
    explicit_bzero (request->key, strlen (request->key));
  g_free (request->key);
  g_free (request->request_id);
  g_free (request->host);
  g_strfreev (request->place.homes);
  g_free (request->uri);
  ck_pr_dec_64 ((uint64_t *)&request->shared->open);
  g_free (request);
}

void
cye_request_suspend (struct cye_request *request)
{
  if (request->suspended)
    return;
  request->suspended = true;
  MHD_suspend_connection (request->connection);
}

void
cye_request_resume (struct cye_request *request)
{
  if (!request->suspended)
    return;
  request->suspended = false;
  MHD_resume_connection (request->connection);
  cye_worker_wake (request->worker);
}

void
cye_request_refuse (struct cye_request *request, cy_result result,
                    enum cye_outcome outcome)
{
  request->refusal = result;
  request->outcome = outcome;
  request->stage = CYE_READY;
  cye_worker_note (request->worker, request);
}

/* ------------------------------------------------------------ reading */

/* The head has come.  */
static enum MHD_Result
begin (struct cye_request *request, const char *method)
{
  request->begun = true;
  g_strlcpy (request->method, method, sizeof request->method);
  request->local
      = request->shared->layout == CYE_TREE && cye_local_is_for (request->uri);
  if (request->local)
    return MHD_YES;
  cy_result result = cye_admit_head (request);
  if (result != CY_OK)
    {
      request->refusal = result;
      request->outcome = CYE_NOT_RUN;
      request->stage = CYE_READY;
      /* The daemon closes the connection when it is answered before the body
         was read; a short one is read and dropped.  */
      bool short_body = request->length >= CYE_LENGTH_NONE
                        && request->length <= CYE_BUFFER_BYTES;
      return short_body && request->shared->layout == CYE_HUB
                 ? MHD_YES
                 : cye_reply_queue (request);
    }
  if (request->length == CYE_LENGTH_NONE || request->length == 0)
    {
      request->upload.complete = true;
      cye_admit_start (request);
    }
  return MHD_YES;
}

static size_t
body_limit (const struct cye_request *request)
{
  return request->local ? CYE_ANNOUNCE_BYTES_MAX : request->body_max;
}

/* Takes a piece of the body; suspends a caller that is ahead of the backend
   server.  */
static enum MHD_Result
take_piece (struct cye_request *request, const char *data, size_t *size)
{
  request->received += *size;
  if (request->received > body_limit (request))
    request->too_large = true;
  else if (request->stage < CYE_READY)
    cye_bytes_add (&request->upload, data, *size);
  *size = 0;
  if (request->too_large && request->received > 2 * body_limit (request))
    return MHD_NO;
  if (request->local || request->too_large
      || cye_bytes_left (&request->upload) < CYE_BUFFER_BYTES)
    {
      if (request->call != NULL)
        cye_call_continue (request->call);
      return MHD_YES;
    }
  if (request->stage == CYE_READING)
    cye_admit_start (request);
  else if (request->call != NULL)
    cye_call_continue (request->call);
  if (request->stage < CYE_READY
      && cye_bytes_left (&request->upload) >= CYE_BUFFER_BYTES)
    cye_request_suspend (request);
  return MHD_YES;
}

static enum MHD_Result
answer_local (struct cye_request *request)
{
  unsigned status = 0;
  struct MHD_Response *response = cye_local_answer (
      request->shared, request->connection, request->method, request->uri,
      (const char *)request->upload.array->data, request->upload.array->len,
      &status);
  request->stage = CYE_ANSWERING;
  enum MHD_Result result
      = MHD_queue_response (request->connection, status, response);
  MHD_destroy_response (response);
  return result;
}

/* The body has been read.  */
static void
end_of_body (struct cye_request *request)
{
  request->read_whole = true;
  request->upload.complete = true;
  if (request->too_large && request->stage < CYE_READY)
    {
      bool sent = request->call != NULL && cye_call_sent (request->call);
      cye_forward_cancel (request);
      cye_request_refuse (request, CY_E_BODY_TOO_LARGE,
                          sent ? CYE_UNKNOWN : CYE_NOT_RUN);
    }
  else if (request->stage == CYE_READING)
    cye_admit_start (request);
  else if (request->call != NULL)
    cye_call_continue (request->call);
}

enum MHD_Result
cye_request_on_data (void *context, struct MHD_Connection *connection,
                     const char *url, const char *method, const char *version,
                     const char *data, size_t *size, void **request_pointer)
{
  (void)context;
  (void)connection;
  (void)url;
  (void)version;
  struct cye_request *request = *request_pointer;
  if (request->left)
    return MHD_NO;
  if (!request->begun)
    return begin (request, method);
  if (*size > 0)
    return take_piece (request, data, size);
  if (request->local)
    return answer_local (request);
  if (!request->read_whole)
    end_of_body (request);
  if (request->stage == CYE_READY)
    return cye_reply_queue (request);
  if (request->stage < CYE_READY)
    cye_request_suspend (request);
  return MHD_YES;
}

/* ------------------------------------------------------------ the end */

void
cye_request_on_completed (void *context, struct MHD_Connection *connection,
                          void **request_pointer,
                          enum MHD_RequestTerminationCode code)
{
  (void)context;
  (void)connection;
  struct cye_request *request = *request_pointer;
  if (request == NULL)
    return;
  *request_pointer = NULL;
  request->connection = NULL;
  request->suspended = false;
  bool broken = request->call != NULL && cye_call_ended (request->call);
  if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK && !broken
      && request->shared->split != NULL && request->target.service[0] != '\0')
    cye_time_split_caller_left (request->shared->split,
                                request->target.service);
  request->left = true;
  cye_worker_note (request->worker, request);
}

/* Nobody waits for the answer: idempotent work is cancelled, other work goes
   on to its end, so that its slot is counted as long as it runs.  */
static void
step_without_caller (struct cye_request *request)
{
  if (request->stage == CYE_QUEUED && request->pending > 0
      && cye_place_cancel (request))
    request->pending--;
  if (request->call != NULL && !cye_call_ended (request->call))
    {
      bool upload_open = !request->upload.complete;
      if (request->idempotent || upload_open || !cye_call_sent (request->call))
        cye_forward_cancel (request);
      else
        {
          struct cye_bytes *body = cye_call_body (request->call);
          g_byte_array_set_size (body->array, 0);
          body->taken = 0;
          cye_call_continue (request->call);
        }
    }
  if (request->call != NULL && cye_call_ended (request->call))
    cye_forward_cancel (request);
  if (request->pending == 0 && request->call == NULL)
    cye_request_destroy (request);
}

/* True when the caller's connection waits for something that is there.  */
static bool
may_resume (struct cye_request *request)
{
  if (request->left)
    return true;
  switch (request->stage)
    {
    case CYE_READING:
      return false;
    case CYE_ADMITTING:
    case CYE_QUEUED:
    case CYE_CALLING:
      return !request->read_whole
             && cye_bytes_left (&request->upload) < CYE_BUFFER_BYTES / 2;
    case CYE_READY:
      return true;
    case CYE_ANSWERING:
      return request->call == NULL || cye_call_ended (request->call)
             || cye_bytes_left (cye_call_body (request->call)) > 0;
    }
  return true;
}

void
cye_request_step (struct cye_request *request)
{
  if (request->connection == NULL)
    {
      step_without_caller (request);
      return;
    }
  if (request->call != NULL)
    cye_forward_step (request);
  if (request->suspended && may_resume (request))
    cye_request_resume (request);
}

/* True when the caller has closed its connection.  Looked at again after
   CALLER_LOOK_MS only: each look is a system call.  */
static bool
caller_is_gone (struct cye_request *request, cy_time_ns now)
{
  char byte;
  if (now - request->looked_at < CALLER_LOOK_MS * CY_NS_PER_MS)
    return false;
  request->looked_at = now;
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      request->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  return info != NULL
         && recv (info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

void
cye_request_check (struct cye_request *request, cy_time_ns now)
{
  if (request->connection == NULL)
    return;
  if (cye_request_is_left (request, now))
    cye_worker_note (request->worker, request);
  else
    cye_forward_check (request, now);
}

bool
cye_request_is_left (struct cye_request *request, cy_time_ns now)
{
  if (request->suspended && !request->left && caller_is_gone (request, now))
    request->left = true;
  return request->left;
}

void
cye_request_abandon (struct cye_request *request)
{
  request->left = true;
  cye_request_resume (request);
}

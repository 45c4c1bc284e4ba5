#include "entry/cye_request_internal.h"

#include <ck_pr.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>

#include "entry/cye_caller.h"
#include "entry/cye_local.h"

/* ms between two checks whether a caller has left; well below the 0.5 s within
   which the work for such a caller should end.  */
#define CALLER_CHECK_MS 200

/* ------------------------------------------------------------ lifetime */

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
  request->started_at = cye_request_now (request);
  request->caller_checked_at = request->started_at;
  request->body_length = CYE_LENGTH_NONE;
  request->body_max_bytes = CYE_BODY_DEFAULT_BYTES;
  cye_buffer_init (&request->upload);
  cye_worker_add (worker, request);
  ck_pr_inc_64 ((uint64_t *)&request->shared->open_requests);
  return request;
}

void
cye_request_destroy (struct cye_request *request)
{
  cye_worker_remove (request->worker, request);
  cye_call_destroy (request->call);
  curl_slist_free_all (request->headers);
  curl_slist_free_all (request->call_headers);
  cye_buffer_clear (&request->upload);
  cye_target_clear (&request->target);
  if (request->key != NULL)
    explicit_bzero (request->key, strlen (request->key));
  g_free (request->key);
  g_free (request->request_id);
  g_free (request->host);
  g_strfreev (request->place.allowed_regions);
  g_free (request->uri);
  ck_pr_dec_64 ((uint64_t *)&request->shared->open_requests);
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
  cye_worker_schedule_server (request->worker);
}

void
cye_request_refuse (struct cye_request *request, cy_result result,
                    enum cye_outcome outcome)
{
  request->refusal = result;
  request->outcome = outcome;
  request->stage = CYE_READY;
  cye_worker_schedule (request->worker, request);
}

/* ------------------------------------------------------------ reading */

/* Processes the request's method, target and headers.  */
static enum MHD_Result
handle_head (struct cye_request *request, const char *method)
{
  request->head_received = true;
  request->head_bytes = cye_caller_head_bytes (request->connection);
  bool fits = g_strlcpy (request->method, method, sizeof request->method)
              < sizeof request->method;
  request->is_local = request->shared->layout == CYE_TREE
                      && cye_local_handles (request->uri);
  if (request->is_local)
    return MHD_YES;
  cy_result result
      = fits ? cye_admit_check_head (request) : CY_E_METHOD_TOO_LONG;
  if (result != CY_OK)
    {
      request->refusal = result;
      request->outcome = CYE_NOT_RUN;
      request->stage = CYE_READY;
      /* libmicrohttpd closes the connection if the answer is queued before the
         body was received; a short body is received and discarded first.  */
      bool short_body = request->body_length >= CYE_LENGTH_NONE
                        && request->body_length <= CYE_BUFFER_BYTES;
      bool receives_body = short_body || result == CY_E_STOPPING;
      return receives_body && request->shared->layout == CYE_HUB
                 ? MHD_YES
                 : cye_reply_queue (request);
    }
  if (request->body_length == CYE_LENGTH_NONE || request->body_length == 0)
    {
      request->upload.complete = true;
      cye_admit_start (request);
    }
  return MHD_YES;
}

static size_t
body_limit (const struct cye_request *request)
{
  return request->is_local ? CYE_ANNOUNCE_BYTES_MAX : request->body_max_bytes;
}

bool
cye_request_needs_body (const struct cye_request *request)
{
  if (request->upload.cut)
    return false;
  return request->stage < CYE_READY
         || (request->call != NULL && !cye_call_ended (request->call));
}

/* Receives *SIZE bytes of the body; suspends the caller's connection while it
   sends faster than the backend server reads.  */
static enum MHD_Result
receive_body (struct cye_request *request, const char *data, size_t *size)
{
  request->body_received += *size;
  if (request->body_received > body_limit (request))
    request->too_large = true;
  if (request->too_large || !cye_request_needs_body (request))
    request->upload.cut = true;
  else
    cye_buffer_append (&request->upload, data, *size);
  *size = 0;
  if (request->too_large && request->body_received > 2 * body_limit (request))
    return MHD_NO;
  if (request->is_local || request->too_large
      || cye_buffer_unread (&request->upload) < CYE_BUFFER_BYTES)
    {
      if (request->call != NULL)
        cye_call_continue (request->call);
      return MHD_YES;
    }
  if (request->stage == CYE_READING)
    cye_admit_start (request);
  else if (request->call != NULL)
    cye_call_continue (request->call);
  if (cye_request_needs_body (request)
      && cye_buffer_unread (&request->upload) >= CYE_BUFFER_BYTES)
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

/* Processes the end of the body.  */
static void
handle_body_end (struct cye_request *request)
{
  request->body_read = true;
  request->upload.complete = true;
  bool calling = request->call != NULL && !cye_call_ended (request->call);
  if (request->too_large && (request->stage < CYE_READY || calling))
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
  if (request->caller_left || (request->answered_early && *size == 0))
    return MHD_NO;
  if (request->answered_early)
    {
      *size = 0;
      return MHD_YES;
    }
  if (!request->head_received)
    return handle_head (request, method);
  if (*size > 0)
    return receive_body (request, data, size);
  if (request->is_local)
    return answer_local (request);
  if (!request->body_read)
    handle_body_end (request);
  if (request->stage == CYE_READY)
    return cye_reply_queue (request);
  if (request->stage < CYE_READY)
    cye_request_suspend (request);
  return MHD_YES;
}

/* ------------------------------------------------------------ completion */

void
cye_request_on_completed (void *context, struct MHD_Connection *connection,
                          void **request_pointer,
                          enum MHD_RequestTerminationCode code)
{
  (void)context;
  struct cye_request *request = *request_pointer;
  if (request == NULL)
    return;
  cye_caller_count (connection, request->head_bytes + request->body_received,
                    request->body_length != CYE_LENGTH_CHUNKED);
  *request_pointer = NULL;
  request->connection = NULL;
  request->suspended = false;
  bool call_ended = request->call != NULL && cye_call_ended (request->call);
  if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK && !call_ended
      && request->shared->split != NULL && request->target.service[0] != '\0')
    cye_time_split_caller_left (request->shared->split,
                                request->target.service);
  request->caller_left = true;
  request->answered = code == MHD_REQUEST_TERMINATED_COMPLETED_OK;
  cye_worker_schedule (request->worker, request);
}

/* Continues a request whose caller has left.  Idempotent work is cancelled,
   unless it has been answered and only the end of the body is due.  Other work
   runs to its end, so that its slot stays occupied as long as the backend
   server works on it.  */
static void
step_without_caller (struct cye_request *request)
{
  if (request->stage == CYE_QUEUED && request->pending_callbacks > 0
      && cye_place_cancel (request))
    request->pending_callbacks--;
  if (request->call != NULL && !cye_call_ended (request->call))
    {
      bool upload_open = !request->upload.complete;
      bool is_wanted = request->answered || !request->idempotent;
      if (!is_wanted || upload_open || !cye_call_sent (request->call))
        cye_forward_cancel (request);
      else
        {
          struct cye_buffer *body = cye_call_body (request->call);
          g_byte_array_set_size (body->array, 0);
          body->consumed = 0;
          cye_call_continue (request->call);
        }
    }
  if (request->call != NULL && cye_call_ended (request->call))
    cye_forward_cancel (request);
  if (request->pending_callbacks == 0 && request->call == NULL)
    cye_request_destroy (request);
}

/* True when the suspended connection of the caller can make progress.  */
static bool
may_resume (struct cye_request *request)
{
  if (request->caller_left)
    return true;
  switch (request->stage)
    {
    case CYE_READING:
      return false;
    case CYE_ADMITTING:
    case CYE_QUEUED:
    case CYE_CALLING:
      return !request->body_read
             && cye_buffer_unread (&request->upload) < CYE_BUFFER_BYTES / 2;
    case CYE_READY:
      return request->body_read || !cye_request_needs_body (request)
             || cye_buffer_unread (&request->upload) < CYE_BUFFER_BYTES / 2;
    case CYE_ANSWERING:
      return request->call == NULL || cye_call_ended (request->call)
             || cye_buffer_unread (cye_call_body (request->call)) > 0;
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

/* True when the caller has closed its connection.  The socket is checked at
   most once per CALLER_CHECK_MS, because each check is a system call.  */
static bool
has_caller_closed (struct cye_request *request, cy_time_ns now)
{
  char byte;
  if (now - request->caller_checked_at < CALLER_CHECK_MS * CY_NS_PER_MS)
    return false;
  request->caller_checked_at = now;
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
  if (cye_request_caller_left (request, now))
    {
      cye_worker_schedule (request->worker, request);
      return;
    }
  cye_request_check_leave (request, now);
  cye_forward_check (request, now);
}

bool
cye_request_caller_left (struct cye_request *request, cy_time_ns now)
{
  if (request->suspended && !request->caller_left
      && has_caller_closed (request, now))
    request->caller_left = true;
  return request->caller_left;
}

void
cye_request_abandon (struct cye_request *request)
{
  request->caller_left = true;
  cye_request_resume (request);
}

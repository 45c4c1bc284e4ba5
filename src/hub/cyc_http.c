#include "hub/cyc_http.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/cyu_log.h"
#include "base/cyu_metrics.h"
#include "core/cyc_register.h"
#include "http/cyh_server.h"

#define CONNECTION_MEMORY_BYTES 16384 /* for the headers of one connection */
#define IDLE_TIMEOUT_S          30    /* s without a byte from the caller */
#define CONNECTIONS_MAX         1024
#define BODY_MAX_BYTES          CYJ_DOCUMENT_BYTES_MAX

struct cyc_http
{
  struct cyc_hub *hub; /* NULL once it was destroyed */
  struct cyn_loop *loop;
  enum cyc_dialect dialect;
  struct cyh_server *server;
  int listen_fd;
  bool closing;                   /* answers end their connections */
  unsigned open_calls;            /* see cyc_http_open_calls */
  struct cyn_timer *resume_timer; /* runs the server once a connection is
                                     resumed */
};

/* One request, from its first byte to the end of its answer.  */
struct request
{
  struct cyc_http *http;
  struct MHD_Connection *connection; /* NULL: the caller has disconnected */
  char *target;
  char *method;
  GByteArray *body;
  struct cyc_call call;
  bool has_headers; /* the first callback has run */
  bool has_call;    /* CALL was parsed and has to be cleared */
  bool pending;     /* the hub has not reported the outcome yet */
  bool suspended;
  bool too_large;
  cy_result result;
  struct cyj_error error;
};

/* ------------------------------------------------------------ lifecycle */

static void *
on_uri (void *context, const char *uri, struct MHD_Connection *connection)
{
  struct request *request = g_new0 (struct request, 1);
  request->http = context;
  request->connection = connection;
  request->target = g_strdup (uri);
  request->body = g_byte_array_new ();
  request->http->open_calls++;
  return request;
}

static void
request_free (struct request *request)
{
  if (request->has_call)
    cyc_call_clear (&request->call);
  g_byte_array_unref (request->body);
  g_free (request->target);
  g_free (request->method);
  g_free (request);
}

static void
on_completed (void *context, struct MHD_Connection *connection, void **pointer,
              enum MHD_RequestTerminationCode code)
{
  struct request *request = *pointer;
  (void)context;
  (void)connection;
  (void)code;
  *pointer = NULL;
  if (request == NULL)
    return;
  request->http->open_calls--;
  request->connection = NULL;
  if (!request->pending)
    request_free (request);
}

/* ------------------------------------------------------------ answers */

static const struct
{
  cy_result result;
  unsigned status;
} statuses[] = {
  { CY_OK, 200 },
  { CY_E_ARGUMENT, 400 },
  { CY_E_DECL_SYNTAX, 400 },
  { CY_E_DECL_FIELD, 400 },
  { CY_E_DECL_REFERENCE, 400 },
  { CY_E_ANNOUNCE_INVALID, 400 },
  { CY_E_ZONE_MISMATCH, 400 },
  { CY_E_NOT_FOUND, 404 },
  { CY_E_UNSUPPORTED, 405 },
  { CY_E_VERSION_CONFLICT, 409 },
  { CY_E_TOO_LARGE, 413 },
  { CY_E_NOT_LEADER, 307 },
};

unsigned
cyc_http_status (cy_result result)
{
  for (size_t i = 0; i < G_N_ELEMENTS (statuses); i++)
    if (statuses[i].result == result)
      return statuses[i].status;
  return 503;
}

static char *
write_problem (const struct request *request)
{
  json_t *root = json_pack (
      "{ss si ss}", "title", cy_result_text (request->result), "code",
      (int)request->result, "name", cy_result_name (request->result));
  if (request->error.path[0] != '\0')
    json_object_set_new (root, "path", json_string (request->error.path));
  if (request->error.detail[0] != '\0')
    json_object_set_new (root, "detail", json_string (request->error.detail));
  char *text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  return text;
}

static char *
write_success (const struct request *request)
{
  struct cyc_hub *hub = request->http->hub;
  const Cy__EntryVm *entries[CYC_RESOLVE_MAX];
  size_t count = 0;
  const struct cyc_call *call = &request->call;
  switch (call->kind)
    {
    case CYC_CALL_STATUS:
      return cyc_hub_status (hub);
    case CYC_CALL_METRICS:
      return cyu_metrics_print ();
    case CYC_CALL_HEALTH:
      return strdup ("ok\n");
    case CYC_CALL_RESOLVE:
      count = cyc_hub_resolve (
          hub, call->resolve.region == NULL ? "" : call->resolve.region,
          call->resolve.zone == NULL ? "" : call->resolve.zone, entries);
      break;
    case CYC_CALL_ANNOUNCE:
    case CYC_CALL_DECLARE:
    case CYC_CALL_READ:
    case CYC_CALL_DRAIN:
    case CYC_CALL_UNDRAIN:
      break;
    }
  if (call->kind == CYC_CALL_RESOLVE && count == 0)
    return NULL;
  if (call->kind == CYC_CALL_READ && cyc_hub_document (hub) == NULL)
    return NULL;
  return cyc_call_write (request->http->dialect, call->kind,
                         cyc_hub_document (hub), entries, count);
}

static void
add_location (struct request *request, struct MHD_Response *response)
{
  const char *host = NULL;
  uint16_t port = 0;
  if (!cyc_hub_leader (request->http->hub, &host, &port))
    return;
  char *location
      = g_strdup_printf ("http://%s:%u%s", host, port, request->target);
  MHD_add_response_header (response, MHD_HTTP_HEADER_LOCATION, location);
  g_free (location);
}

static enum MHD_Result
send_answer (struct request *request)
{
  char *text = NULL;
  if (request->http->hub == NULL)
    request->result = CY_E_CLOSED;
  if (request->result == CY_OK)
    {
      text = write_success (request);
      if (text == NULL)
        request->result = CY_E_NO_QUORUM;
    }
  if (request->result == CY_E_NOT_LEADER)
    {
      const char *host = NULL;
      uint16_t port = 0;
      if (!cyc_hub_leader (request->http->hub, &host, &port))
        request->result = CY_E_NO_QUORUM;
    }
  unsigned status = cyc_http_status (request->result);
  if (text == NULL)
    text = write_problem (request);
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (text), text, MHD_RESPMEM_MUST_FREE);
  bool is_text = request->has_call && request->result == CY_OK
                 && (request->call.kind == CYC_CALL_METRICS
                     || request->call.kind == CYC_CALL_HEALTH);
  MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE,
                           is_text ? "text/plain; version=0.0.4"
                                   : "application/json");
  if (status == 307)
    add_location (request, response);
  if (request->http->closing)
    MHD_add_response_header (response, MHD_HTTP_HEADER_CONNECTION, "close");
  if (status == 503)
    MHD_add_response_header (response, MHD_HTTP_HEADER_RETRY_AFTER, "1");
  enum MHD_Result queued
      = MHD_queue_response (request->connection, status, response);
  MHD_destroy_response (response);
  return queued;
}

/* ------------------------------------------------------------ calls */

static void
log_call (const struct request *request)
{
  switch (request->call.kind)
    {
    case CYC_CALL_DECLARE:
      cyu_log (G_LOG_LEVEL_INFO, "declaration %" G_GUINT64_FORMAT ": %s",
               request->call.declare.document->number,
               cy_result_text (request->result));
      break;
    case CYC_CALL_DRAIN:
    case CYC_CALL_UNDRAIN:
      cyu_log (G_LOG_LEVEL_INFO, "zone %s is %s: %s", request->call.zone,
               request->call.kind == CYC_CALL_DRAIN ? "drained"
                                                    : "no longer drained",
               cy_result_text (request->result));
      break;
    case CYC_CALL_READ:
      if (request->result != CY_OK)
        cyu_log (G_LOG_LEVEL_INFO, "declaration not read: %s",
                 cy_result_text (request->result));
      break;
    case CYC_CALL_ANNOUNCE:
      if (request->result != CY_OK)
        cyu_log (G_LOG_LEVEL_INFO, "announcement of %s not accepted: %s",
                 request->call.instance->id, cy_result_text (request->result));
      break;
    case CYC_CALL_RESOLVE:
    case CYC_CALL_STATUS:
    case CYC_CALL_METRICS:
    case CYC_CALL_HEALTH:
      break;
    }
}

/* Receives the outcome of the call, possibly before execute_call returns.  */
static void
on_done (cy_result result, void *context)
{
  struct request *request = context;
  request->pending = false;
  request->result = result;
  log_call (request);
  if (!request->suspended)
    return;
  if (request->connection == NULL)
    {
      request_free (request);
      return;
    }
  request->suspended = false;
  MHD_resume_connection (request->connection);
  cyn_timer_start (request->http->resume_timer, 0);
}

static void
execute_call (struct request *request)
{
  struct cyc_hub *hub = request->http->hub;
  const struct cyc_call *call = &request->call;
  request->pending = true;
  request->suspended = false;
  switch (call->kind)
    {
    case CYC_CALL_ANNOUNCE:
      cyc_hub_announce (hub, call->instance, on_done, request);
      return;
    case CYC_CALL_DECLARE:
      cyc_hub_declare (hub, call->declare.document, request->body->data,
                       request->body->len, call->declare.digest, on_done,
                       request);
      return;
    case CYC_CALL_READ:
      cyc_hub_confirm (hub, on_done, request);
      return;
    case CYC_CALL_DRAIN:
      cyc_hub_drain (hub, call->zone, true, on_done, request);
      return;
    case CYC_CALL_UNDRAIN:
      cyc_hub_drain (hub, call->zone, false, on_done, request);
      return;
    case CYC_CALL_RESOLVE:
    case CYC_CALL_STATUS:
    case CYC_CALL_METRICS:
    case CYC_CALL_HEALTH:
      on_done (CY_OK, request);
      return;
    }
}

static void
log_refused (const struct request *request)
{
  static cy_time_ns last_logged;
  cy_time_ns now = cy_clock_now (cyn_loop_clock (request->http->loop));
  if (last_logged != 0 && now - last_logged < CY_NS_PER_S)
    return;
  last_logged = now;
  cyu_log (G_LOG_LEVEL_INFO, "refused %s %s: %s, %s %s", request->method,
           request->target, cy_result_text (request->result),
           request->error.path, request->error.detail);
}

/* Refuses an announcement with an invalid field.  */
static void
check_announcement (struct request *request)
{
  int64_t now_ms = cy_clock_unix_ms (cyn_loop_clock (request->http->loop));
  const char *field
      = cyc_register_invalid_field (request->call.instance, now_ms);
  if (field == NULL)
    return;
  request->result = CY_E_ARGUMENT;
  g_strlcpy (request->error.path, field, sizeof request->error.path);
  g_strlcpy (request->error.detail, "is out of its range",
             sizeof request->error.detail);
}

static void
read_call (struct request *request)
{
  struct cyc_http_request http_request
      = { .method = request->method,
          .target = request->target,
          .body = (const char *)request->body->data,
          .length = request->body->len };
  if (request->too_large)
    request->result = CY_E_TOO_LARGE;
  else if (request->http->hub == NULL)
    request->result = CY_E_CLOSED;
  else
    request->result = cyc_call_read (request->http->dialect, &http_request,
                                     &request->call, &request->error);
  if (request->result == CY_OK && request->call.kind == CYC_CALL_ANNOUNCE)
    check_announcement (request);
  request->has_call = request->result == CY_OK;
  if (request->has_call)
    execute_call (request);
  else
    log_refused (request);
}

static enum MHD_Result
on_request (void *context, struct MHD_Connection *connection, const char *url,
            const char *method, const char *version, const char *data,
            size_t *size, void **pointer)
{
  struct request *request = *pointer;
  (void)context;
  (void)connection;
  (void)url;
  (void)version;
  if (!request->has_headers)
    {
      request->has_headers = true;
      request->method = g_strdup (method);
      return MHD_YES;
    }
  if (*size > 0)
    {
      request->too_large |= request->body->len + *size > BODY_MAX_BYTES;
      if (!request->too_large)
        g_byte_array_append (request->body, (const guint8 *)data,
                             (guint)*size);
      *size = 0;
      return MHD_YES;
    }
  if (!request->has_call && request->result == CY_OK)
    read_call (request);
  if (request->pending)
    {
      request->suspended = true;
      MHD_suspend_connection (request->connection);
      return MHD_YES;
    }
  return send_answer (request);
}

/* ------------------------------------------------------------ server */

static void
resume_due (void *context)
{
  struct cyc_http *http = context;
  cyh_server_run (http->server);
}

cy_result
cyc_http_create (struct cyc_hub *hub, struct cyn_loop *loop,
                 enum cyc_dialect dialect, const char *host, uint16_t port,
                 struct cyc_http **out)
{
  struct cyc_http *http = g_new0 (struct cyc_http, 1);
  uint16_t bound = 0;
  http->hub = hub;
  http->loop = loop;
  http->dialect = dialect;
  http->listen_fd = -1;
  cy_result result = cyh_listen (host, port, &http->listen_fd, &bound);
  if (result != CY_OK)
    goto fail;
  http->resume_timer = cyn_timer_create (loop, resume_due, http);
  struct cyh_server_options options
      = { .loop = loop,
          .listen_fd = http->listen_fd,
          .connection_memory = CONNECTION_MEMORY_BYTES,
          .idle_timeout_s = IDLE_TIMEOUT_S,
          .connections_max = CONNECTIONS_MAX,
          .on_uri = on_uri,
          .on_request = on_request,
          .on_completed = on_completed,
          .context = http };
  result = cyh_server_create (&options, &http->server);
  if (result != CY_OK)
    goto fail;
  *out = http;
  return CY_OK;
fail:
  cyc_http_destroy (http);
  return result;
}

void
cyc_http_quiesce (struct cyc_http *http)
{
  if (http == NULL)
    return;
  http->closing = true;
  cyh_server_quiesce (http->server);
  close (http->listen_fd);
  http->listen_fd = -1;
}

unsigned
cyc_http_open_calls (const struct cyc_http *http)
{
  return http == NULL ? 0 : http->open_calls;
}

void
cyc_http_finish (struct cyc_http *http)
{
  if (http == NULL)
    return;
  http->hub = NULL;
  cyh_server_run (http->server);
}

void
cyc_http_destroy (struct cyc_http *http)
{
  if (http == NULL)
    return;
  if (http->server != NULL)
    cyh_server_destroy (http->server);
  if (http->resume_timer != NULL)
    cyn_timer_destroy (http->resume_timer);
  if (http->listen_fd >= 0)
    close (http->listen_fd);
  g_free (http);
}

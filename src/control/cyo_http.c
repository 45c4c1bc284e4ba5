/* Listener, requests and workers of the operators' HTTP interface.

   One thread of libmicrohttpd reads requests.  The connection of a request
   that may block is suspended and a pool of workers handles the request, so
   that health checks and metrics are answered while a quorum is missing.  */

#include "control/cyo_http.h"

#include <arpa/inet.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>

#include "base/cyu_log.h"
#include "base/cyu_metrics.h"
#include "control/cyo_request.h"

#define WORKER_COUNT         8          /* threads that handle requests */
#define QUEUED_REQUESTS_MAX  64         /* requests that wait for a worker */
#define CONNECTIONS_MAX      256        /* connections open at the same time */
#define CONNECTION_TIMEOUT_S 30         /* s without a byte read or sent */
#define BODY_BYTES_MAX       (24 << 20) /* bodies of all open requests */

struct cyo_http
{
  struct cyx_control *control;
  struct cyo_operators *operators;
  struct MHD_Daemon *daemon;
  GThreadPool *workers;
  GMutex lock; /* guards STOPPING while requests are queued */
  bool stopping;
  atomic_long body_bytes; /* body bytes of all open requests */
  struct cyu_metric *request_counter;
  struct cyu_metric *denied_counter;
};

/* --------------------------------------------------------------- requests */

static enum MHD_Result
add_argument (void *context, enum MHD_ValueKind kind, const char *name,
              const char *value)
{
  struct cyo_request *request = context;
  (void)kind;
  g_hash_table_insert (request->arguments, g_strdup (name),
                       g_strdup (value != NULL ? value : ""));
  return MHD_YES;
}

/* Finds the route and authenticates the operator; on failure sets the answer,
   which ends the request.  */
static void
request_admit (struct cyo_request *request)
{
  const struct cyo_route *route = cyo_route_find (request);
  if (route == NULL)
    return;
  if (!route->no_token)
    {
      request->who = cyo_operators_find (
          request->http->operators,
          MHD_lookup_connection_value (request->connection, MHD_HEADER_KIND,
                                       MHD_HTTP_HEADER_AUTHORIZATION));
      if (request->who == NULL)
        {
          cyu_metric_add (request->http->denied_counter, 1);
          cyo_answer_problem (request, CY_E_OPERATOR_DENIED, "",
                              "send Authorization: Bearer TOKEN", NULL);
          return;
        }
    }
  request->route = route;
  request->body_max = route->body_max;
}

static struct cyo_request *
request_create (struct cyo_http *http, struct MHD_Connection *connection,
                const char *path, const char *method)
{
  struct cyo_request *request = g_new0 (struct cyo_request, 1);
  request->http = http;
  request->control = http->control;
  request->connection = connection;
  request->path = g_strdup (path);
  request->method = g_strdup (method);
  request->body = g_byte_array_new ();
  request->arguments
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  MHD_get_connection_values (connection, MHD_GET_ARGUMENT_KIND, add_argument,
                             request);
  cyu_metric_add (http->request_counter, 1);
  request_admit (request);
  return request;
}

static void
request_destroy (struct cyo_request *request)
{
  atomic_fetch_sub (&request->http->body_bytes, request->body->len);
  g_byte_array_free (request->body, TRUE);
  g_hash_table_destroy (request->arguments);
  g_free (request->path);
  g_free (request->method);
  g_free (request->name);
  g_free (request->answer);
  g_free (request->location);
  g_free (request);
}

static void
request_append_body (struct cyo_request *request, const char *bytes,
                     size_t length)
{
  if (request->status != 0)
    return;
  if (request->body->len + length > request->body_max)
    {
      cyo_answer_problem (request, CY_E_TOO_LARGE, "",
                          "the body is larger than this path takes", NULL);
      return;
    }
  long before = atomic_fetch_add (&request->http->body_bytes, (long)length);
  g_byte_array_append (request->body, (const guint8 *)bytes, (guint)length);
  if (before > BODY_BYTES_MAX)
    cyo_answer_problem (request, CY_E_FULL, "",
                        "too many large requests at once; try again", NULL);
}

/* ---------------------------------------------------------------- workers */

static void
run_in_worker (gpointer data, gpointer unused)
{
  struct cyo_request *request = data;
  (void)unused;
  request->route->handler (request);
  MHD_resume_connection (request->connection);
}

static void
request_run (struct cyo_request *request)
{
  struct cyo_http *http = request->http;
  if (request->route->is_inline)
    {
      request->route->handler (request);
      return;
    }
  g_mutex_lock (&http->lock);
  if (http->stopping
      || g_thread_pool_unprocessed (http->workers) >= QUEUED_REQUESTS_MAX)
    cyo_answer_problem (request, CY_E_FULL, "",
                        "too many requests wait; try again", NULL);
  else
    {
      request->is_queued = true;
      MHD_suspend_connection (request->connection);
      g_thread_pool_push (http->workers, request, NULL);
    }
  g_mutex_unlock (&http->lock);
}

/* --------------------------------------------------------------- callbacks */

static enum MHD_Result
request_answer (struct cyo_request *request)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      request->answer_length, request->answer, MHD_RESPMEM_MUST_COPY);
  if (response == NULL)
    return MHD_NO;
  MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE,
                           request->content_type);
  MHD_add_response_header (response, MHD_HTTP_HEADER_CACHE_CONTROL,
                           "no-store");
  if (request->location != NULL)
    MHD_add_response_header (response, MHD_HTTP_HEADER_LOCATION,
                             request->location);
  if (request->status == 503)
    MHD_add_response_header (response, MHD_HTTP_HEADER_RETRY_AFTER, "1");
  if (request->status == 401)
    MHD_add_response_header (response, MHD_HTTP_HEADER_WWW_AUTHENTICATE,
                             "Bearer");
  enum MHD_Result queued
      = MHD_queue_response (request->connection, request->status, response);
  MHD_destroy_response (response);
  return queued;
}

static enum MHD_Result
on_request (void *context, struct MHD_Connection *connection, const char *path,
            const char *method, const char *version, const char *upload,
            size_t *upload_size, void **state)
{
  struct cyo_request *request = *state;
  (void)version;
  if (request == NULL)
    {
      *state = request_create (context, connection, path, method);
      return MHD_YES;
    }
  if (*upload_size > 0)
    {
      request_append_body (request, upload, *upload_size);
      *upload_size = 0;
      return MHD_YES;
    }
  if (request->status == 0 && !request->is_queued)
    {
      request_run (request);
      if (request->is_queued)
        return MHD_YES;
    }
  return request_answer (request);
}

static void
on_completed (void *context, struct MHD_Connection *connection, void **state,
              enum MHD_RequestTerminationCode code)
{
  (void)context;
  (void)connection;
  (void)code;
  if (*state != NULL)
    request_destroy (*state);
  *state = NULL;
}

/* ------------------------------------------------------------ life */

static bool
make_address (const char *host, uint16_t port,
              struct sockaddr_storage *address)
{
  struct sockaddr_in *ipv4 = (struct sockaddr_in *)address;
  struct sockaddr_in6 *ipv6 = (struct sockaddr_in6 *)address;
  memset (address, 0, sizeof *address);
  if (inet_pton (AF_INET, host, &ipv4->sin_addr) == 1)
    {
      ipv4->sin_family = AF_INET;
      ipv4->sin_port = htons (port);
      return true;
    }
  ipv6->sin6_family = AF_INET6;
  ipv6->sin6_port = htons (port);
  return inet_pton (AF_INET6, host, &ipv6->sin6_addr) == 1;
}

static struct MHD_Daemon *
start_daemon (struct cyo_http *http, struct sockaddr_storage *address)
{
  unsigned flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME;
  if (address->ss_family == AF_INET6)
    flags |= MHD_USE_IPv6;
  return MHD_start_daemon (
      flags, 0, NULL, NULL, on_request, http, MHD_OPTION_SOCK_ADDR, address,
      MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL,
      MHD_OPTION_CONNECTION_LIMIT, (unsigned)CONNECTIONS_MAX,
      MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)CONNECTION_TIMEOUT_S,
      MHD_OPTION_END);
}

cy_result
cyo_http_create (struct cyx_control *control, const char *host, uint16_t port,
                 const char *token_file, struct cyo_http **http)
{
  struct sockaddr_storage address;
  struct cyo_http *created = g_new0 (struct cyo_http, 1);
  cy_result result = CY_E_SETTING_INVALID;
  *http = NULL;
  created->control = control;
  created->request_counter = cyu_counter ("cy_operator_requests_total", "",
                                          "Requests on the operators' side.");
  created->denied_counter
      = cyu_counter ("cy_operator_denied_total", "",
                     "Requests without a valid operator's token.");
  if (!make_address (host, port, &address))
    goto done;
  result = cyo_operators_read (token_file, &created->operators);
  if (result != CY_OK)
    goto done;
  result = CY_E_IO;
  created->workers
      = g_thread_pool_new (run_in_worker, NULL, WORKER_COUNT, FALSE, NULL);
  created->daemon = start_daemon (created, &address);
  if (created->daemon == NULL)
    goto done;
  *http = created;
  created = NULL;
  result = CY_OK;
done:
  cyo_http_destroy (created);
  return result;
}

uint16_t
cyo_http_port (const struct cyo_http *http)
{
  const union MHD_DaemonInfo *info
      = MHD_get_daemon_info (http->daemon, MHD_DAEMON_INFO_BIND_PORT);
  return info != NULL ? info->port : 0;
}

void
cyo_http_destroy (struct cyo_http *http)
{
  if (http == NULL)
    return;
  g_mutex_lock (&http->lock);
  http->stopping = true;
  g_mutex_unlock (&http->lock);
  if (http->workers != NULL)
    g_thread_pool_free (http->workers, FALSE, TRUE);
  if (http->daemon != NULL)
    MHD_stop_daemon (http->daemon);
  cyo_operators_destroy (http->operators);
  g_free (http);
}

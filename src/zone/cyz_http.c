#include "zone/cyz_http.h"

#include <glib.h>
#include <microhttpd.h>
#include <stdatomic.h>
#include <string.h>
#include <unistd.h>

#include "base/cyu_metrics.h"
#include "http/cyh_server.h"

#define CONNECTIONS_MAX 32 /* maximum of open connections */
#define IDLE_S          10 /* idle time after which a connection is closed */

struct cyz_http
{
  struct MHD_Daemon *daemon;
  int fd;
  uint16_t port;
  atomic_bool ready;
};

static enum MHD_Result
respond (struct MHD_Connection *connection, unsigned status, char *text)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (text), text, MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE,
                           "text/plain; version=0.0.4");
  enum MHD_Result result = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  g_free (text);
  return result;
}

static enum MHD_Result
on_request (void *context, struct MHD_Connection *connection, const char *url,
            const char *method, const char *version, const char *data,
            size_t *size, void **state)
{
  (void)version;
  (void)data;
  (void)size;
  (void)state;
  struct cyz_http *http = context;
  if (strcmp (method, MHD_HTTP_METHOD_GET) != 0)
    return respond (connection, MHD_HTTP_METHOD_NOT_ALLOWED,
                    g_strdup ("GET only\n"));
  if (strcmp (url, "/metrics") == 0)
    return respond (connection, MHD_HTTP_OK, cyu_metrics_print ());
  if (strcmp (url, "/healthz") == 0)
    return respond (connection, MHD_HTTP_OK, g_strdup ("ok\n"));
  if (strcmp (url, "/readyz") == 0 && atomic_load (&http->ready))
    return respond (connection, MHD_HTTP_OK, g_strdup ("ready\n"));
  if (strcmp (url, "/readyz") == 0)
    return respond (connection, MHD_HTTP_SERVICE_UNAVAILABLE,
                    g_strdup ("state not confirmed yet\n"));
  return respond (connection, MHD_HTTP_NOT_FOUND, g_strdup ("not found\n"));
}

cy_result
cyz_http_create (const char *host, uint16_t port, struct cyz_http **created)
{
  struct cyz_http *http = g_new0 (struct cyz_http, 1);
  cy_result result = cyh_listen (host, port, &http->fd, &http->port);
  if (result != CY_OK)
    goto free_http;
  http->daemon = MHD_start_daemon (
      MHD_USE_EPOLL_INTERNAL_THREAD, 0, NULL, NULL, on_request, http,
      MHD_OPTION_LISTEN_SOCKET, http->fd, MHD_OPTION_CONNECTION_LIMIT,
      (unsigned)CONNECTIONS_MAX, MHD_OPTION_CONNECTION_TIMEOUT,
      (unsigned)IDLE_S, MHD_OPTION_END);
  if (http->daemon == NULL)
    {
      result = CY_E_IO;
      goto close_fd;
    }
  *created = http;
  return CY_OK;

close_fd:
  close (http->fd);
free_http:
  g_free (http);
  return result;
}

void
cyz_http_destroy (struct cyz_http *http)
{
  if (http == NULL)
    return;
  MHD_stop_daemon (http->daemon); /* closes the socket */
  g_free (http);
}

uint16_t
cyz_http_port (const struct cyz_http *http)
{
  return http->port;
}

void
cyz_http_set_ready (struct cyz_http *http, bool ready)
{
  atomic_store (&http->ready, ready);
}

#include "gate/cyg_gate.h"

#include <glib.h>
#include <string.h>
#include <unistd.h>

#include "base/cy_system.h"
#include "base/cyu_log.h"
#include "base/cyu_metrics.h"
#include "entry/cye_leave.h"
#include "entry/cye_shared.h"
#include "entry/cye_worker.h"
#include "http/cyh_server.h"
#include "platform/cyplat_names.h"

/* Interval between two checks whether a planned stop may end, ms.  */
#define LEAVE_CHECK_MS 50

#define PROBE_MEMORY_BYTES    4096 /* for the headers of one connection */
#define PROBE_IDLE_TIMEOUT_S  30   /* s without a byte from the client */
#define PROBE_CONNECTIONS_MAX 64

/* HTTP server for readiness probes or for metrics.  */
struct probe_server
{
  struct cyg_gate *gate;
  struct cyh_server *server;
  int fd;
};

struct cyg_gate
{
  struct cyg_gate_options options;
  struct cye_shared shared;
  struct cye_worker *worker;
  int fd;
  struct probe_server ready;
  struct probe_server metrics;
  struct cyn_timer *leave_timer;
  struct cye_leave leave; /* planned stop */
  bool refuses_connections;
  cyn_callback stopped;
  void *stopped_context;
};

/* ------------------------------------------------------------ probes */

static enum MHD_Result
answer_text (struct MHD_Connection *connection, unsigned status, char *text)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (text), text, MHD_RESPMEM_MUST_FREE);
  MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE,
                           "text/plain; version=0.0.4");
  enum MHD_Result result = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
on_probe (void *context, struct MHD_Connection *connection, const char *url,
          const char *method, const char *version, const char *data,
          size_t *size, void **pointer)
{
  struct probe_server *probe = context;
  struct cyg_gate *gate = probe->gate;
  (void)url;
  (void)method;
  (void)version;
  (void)data;
  (void)pointer;
  *size = 0;
  if (probe == &gate->metrics)
    return answer_text (connection, MHD_HTTP_OK, cyu_metrics_print ());
  bool ready = cye_hub_is_ready (gate->shared.hub);
  return answer_text (connection,
                      ready ? MHD_HTTP_OK : MHD_HTTP_SERVICE_UNAVAILABLE,
                      strdup (ready ? "ready\n" : "not ready\n"));
}

static cy_result
probe_server_create (struct cyg_gate *gate, struct probe_server *probe,
                     uint16_t port)
{
  uint16_t bound = 0;
  probe->gate = gate;
  if (port == 0)
    return CY_OK;
  cy_result result = cyh_listen (gate->options.host, port, &probe->fd, &bound);
  if (result != CY_OK)
    return result;
  struct cyh_server_options options
      = { .loop = gate->options.loop,
          .listen_fd = probe->fd,
          .connection_memory = PROBE_MEMORY_BYTES,
          .idle_timeout_s = PROBE_IDLE_TIMEOUT_S,
          .connections_max = PROBE_CONNECTIONS_MAX,
          .on_request = on_probe,
          .context = probe };
  return cyh_server_create (&options, &probe->server);
}

static void
probe_server_destroy (struct probe_server *probe)
{
  if (probe->server != NULL)
    cyh_server_destroy (probe->server);
  if (probe->fd >= 0)
    close (probe->fd);
}

/* ------------------------------------------------------------ planned stop */

static void
leave_due (void *context)
{
  struct cyg_gate *gate = context;
  cy_time_ns now = cy_clock_now (gate->shared.clock);
  if (!gate->refuses_connections
      && !cye_leave_takes_connections (&gate->leave, now))
    {
      gate->refuses_connections = true;
      cye_worker_quiesce (gate->worker);
      close (gate->fd);
      gate->fd = -1;
    }
  if (!cye_leave_takes_requests (&gate->leave, now))
    gate->shared.refuses_requests = 1;
  if (cye_leave_is_over (&gate->leave, gate->shared.open_requests, now))
    {
      cyu_log (G_LOG_LEVEL_INFO,
               "planned stop ends with %" G_GINT64_FORMAT " open requests",
               (gint64)gate->shared.open_requests);
      gate->stopped (gate->stopped_context);
      return;
    }
  cyn_timer_start (gate->leave_timer, LEAVE_CHECK_MS);
}

void
cyg_gate_leave (struct cyg_gate *gate, cyn_callback stopped, void *context)
{
  if (gate->leave.began_at != 0)
    return;
  cyu_log (G_LOG_LEVEL_INFO, "planned stop: no new callers");
  cye_leave_begin (&gate->leave, gate->options.grace,
                   cy_clock_now (gate->shared.clock));
  gate->stopped = stopped;
  gate->stopped_context = context;
  gate->shared.leaving = 1;
  gate->shared.leave_answers_at = cye_leave_answers_at (&gate->leave);
  cye_hub_leave (gate->shared.hub);
  cyn_timer_start (gate->leave_timer, LEAVE_CHECK_MS);
}

/* ------------------------------------------------------------ lifecycle */

static void
create_shared (struct cyg_gate *gate)
{
  const struct cyg_gate_options *options = &gate->options;
  struct cye_shared *shared = &gate->shared;
  struct cye_hub_options hub = { .loop = options->loop,
                                 .identity = options->identity,
                                 .random = cy_system_random (),
                                 .topology = options->topology,
                                 .region = options->region,
                                 .host = options->host,
                                 .port = options->port,
                                 .peer_port = options->peer_port,
                                 .seeds = options->seeds };
  shared->layout = CYE_HUB;
  shared->names = cyplat_names_of (options->dialect);
  shared->clock = cy_system_clock ();
  shared->vm = options->identity->name;
  shared->zone = options->identity->zone;
  shared->hub = cye_hub_create (&hub);
}

cy_result
cyg_gate_create (const struct cyg_gate_options *options, struct cyg_gate **out)
{
  struct cyg_gate *gate = g_new0 (struct cyg_gate, 1);
  uint16_t bound = 0;
  gate->options = *options;
  gate->fd = -1;
  gate->ready.fd = -1;
  gate->metrics.fd = -1;
  cy_result result
      = cyh_listen (options->host, options->port, &gate->fd, &bound);
  if (result != CY_OK)
    goto fail;
  create_shared (gate);
  result = cye_worker_create (&gate->shared, options->loop, gate->fd, 0,
                              &gate->worker);
  if (result == CY_OK)
    result = probe_server_create (gate, &gate->ready, options->ready_port);
  if (result == CY_OK)
    result = probe_server_create (gate, &gate->metrics, options->metrics_port);
  if (result != CY_OK)
    goto fail;
  gate->leave_timer = cyn_timer_create (options->loop, leave_due, gate);
  *out = gate;
  return CY_OK;
fail:
  cyu_log (G_LOG_LEVEL_CRITICAL, "cannot listen on %s:%u: %s", options->host,
           options->port, cy_result_text (result));
  cyg_gate_destroy (gate);
  return result;
}

void
cyg_gate_destroy (struct cyg_gate *gate)
{
  if (gate == NULL)
    return;
  if (gate->leave_timer != NULL)
    cyn_timer_destroy (gate->leave_timer);
  cye_worker_destroy (gate->worker);
  cye_hub_destroy (gate->shared.hub);
  probe_server_destroy (&gate->ready);
  probe_server_destroy (&gate->metrics);
  if (gate->fd >= 0)
    close (gate->fd);
  g_free (gate);
}

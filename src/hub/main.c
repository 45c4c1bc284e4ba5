/* cy-hub: one control VM of the hub layout, which finds the others through a
   few seeds.  It keeps the numbered declaration and the register of backend
   servers and entry VMs, and places the requests of its region.  SIGTERM is a
   planned stop.  */

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/cy_system.h"
#include "base/cyu_log.h"
#include "base/cyu_settings.h"
#include "base/cyu_start.h"
#include "hub/cyc_http.h"
#include "hub/cyc_start.h"
#include "net/cyn_signals.h"

/* Interval between two attempts to open the data folder on a full disk, ms. */
#define DISK_CHECK_MS 250

/* Interval between two checks whether all calls are answered in a planned
   stop, ms, and the counts of checks after which it may and does end.  The
   first cover a call that is on its way when the listeners close, the others
   that of an operator, which takes a few round trips between regions.  */
#define STOP_CHECK_MS   20
#define STOP_CHECKS_MIN 3
#define STOP_CHECKS_MAX 50

struct settings
{
  char *vm;
  char *zone;
  char *region;
  char *regions;
  char *host;
  int64_t port;
  char *control;
  char *lookup;
  int64_t metrics_port;
  char *seeds;
  bool bootstrap;
  char *data;
  int64_t spare_disks;
  int64_t retry_window_ms;
  double retry_ratio;
  double retry_fixed;
  char *dialect;
  char *cluster;
  char *secret_file;
  bool log_json;
  int64_t log_details;
  int64_t log_faults;
};

struct program
{
  struct cyn_loop *loop;
  struct cyc_hub *hub;
  struct cyc_http *control;
  struct cyc_http *lookup;
  struct cyc_http *metrics;
  struct cyn_timer *stop_timer;
  unsigned stop_checks;
};

/* Ends the planned stop once each call that was received is answered.  */
static void
stop_due (void *context)
{
  struct program *program = context;
  unsigned open = cyc_http_open_calls (program->control)
                  + cyc_http_open_calls (program->lookup)
                  + cyc_http_open_calls (program->metrics);
  program->stop_checks++;
  if (program->stop_checks < STOP_CHECKS_MIN
      || (open > 0 && program->stop_checks < STOP_CHECKS_MAX))
    cyn_timer_start (program->stop_timer, STOP_CHECK_MS);
  else
    cyn_loop_stop (program->loop);
}

static void
on_stopped (void *context)
{
  struct program *program = context;
  cyc_http_quiesce (program->control);
  cyc_http_quiesce (program->lookup);
  cyc_http_quiesce (program->metrics);
  cyn_timer_start (program->stop_timer, STOP_CHECK_MS);
}

static void
on_signal (void *context)
{
  struct program *program = context;
  cyc_hub_leave (program->hub, on_stopped, program);
}

static cy_result
open_http (struct program *program, const char *address,
           enum cyc_dialect dialect, struct cyc_http **http, uint16_t *port)
{
  char *host = NULL;
  cy_result result = CY_E_SETTING_INVALID;
  if (cyu_address_split (address, &host, port))
    result = cyc_http_create (program->hub, program->loop, dialect, host,
                              *port, http);
  if (result != CY_OK)
    fprintf (stderr, "cannot listen on %s: %s\n", address,
             cy_result_text (result));
  g_free (host);
  return result;
}

static cy_result
open_all_http (struct program *program, const struct settings *settings,
               enum cyc_dialect dialect)
{
  uint16_t port = 0;
  cy_result result = open_http (program, settings->control, dialect,
                                &program->control, &port);
  if (result == CY_OK && settings->lookup[0] != '\0')
    result = open_http (program, settings->lookup, dialect, &program->lookup,
                        &port);
  if (result == CY_OK && settings->metrics_port != 0)
    result = cyc_http_create (program->hub, program->loop, dialect,
                              settings->host, (uint16_t)settings->metrics_port,
                              &program->metrics);
  return result;
}

struct hub_opening
{
  const struct cyc_hub_options *options;
  struct program *program;
};

static cy_result
open_hub (void *context)
{
  struct hub_opening *opening = context;
  return cyc_hub_create (opening->options, &opening->program->hub);
}

static cy_result
run_hub (const struct settings *settings, const struct cyn_identity *identity,
         const struct cyc_topology *topology, enum cyc_dialect dialect)
{
  struct program program = { 0 };
  struct cyn_signals *signals = NULL;
  char *control_host = NULL;
  struct cyc_hub_options options = {
    .identity = identity,
    .random = cy_system_random (),
    .topology = topology,
    .region = settings->region,
    .host = settings->host,
    .port = (uint16_t)settings->port,
    .seeds = settings->seeds,
    .bootstrap = settings->bootstrap,
    .data_folder = settings->data,
    .spare_disks = (unsigned)settings->spare_disks,
    .limits
    = { .retries = { .window = settings->retry_window_ms * CY_NS_PER_MS,
                     .ratio = settings->retry_ratio,
                     .fixed = settings->retry_fixed
                              / (double)cyc_topology_region_count (topology),
                     .regions = cyc_topology_region_count (topology) } },
  };
  cyu_address_split (settings->control, &control_host, &options.http_port);
  program.loop = cyn_loop_create (cy_system_clock ());
  options.loop = program.loop;
  struct hub_opening opening = { &options, &program };
  cy_result result
      = cyc_start_wait_for_space (open_hub, &opening, DISK_CHECK_MS);
  if (result == CY_OK)
    result = open_all_http (&program, settings, dialect);
  if (result != CY_OK)
    goto done;
  program.stop_timer = cyn_timer_create (program.loop, stop_due, &program);
  signals = cyn_signals_create (program.loop, on_signal, &program);
  cyu_ready_print ("cy-hub", settings->vm, options.port, options.http_port);
  cyn_loop_run (program.loop);
done:
  cyn_signals_destroy (signals);
  if (program.stop_timer != NULL)
    cyn_timer_destroy (program.stop_timer);
  cyc_hub_destroy (program.hub);
  cyc_http_finish (program.control);
  cyc_http_finish (program.lookup);
  cyc_http_finish (program.metrics);
  cyc_http_destroy (program.control);
  cyc_http_destroy (program.lookup);
  cyc_http_destroy (program.metrics);
  cyn_loop_destroy (program.loop);
  g_free (control_host);
  return result;
}

int
main (int argc, char **argv)
{
  struct settings settings = { 0 };
  const struct cyu_setting table[] = {
    { "vm", CYU_STRING, &settings.vm, NULL, 0, 0, "Name of this VM" },
    { "zone", CYU_STRING, &settings.zone, NULL, 0, 0,
      "Availability zone of this VM" },
    { "region", CYU_STRING, &settings.region, NULL, 0, 0,
      "Region of this VM" },
    { "regions", CYU_STRING, &settings.regions, NULL, 0, 0,
      "Region of every zone, ZONE=REGION with commas between" },
    { "host", CYU_IP, &settings.host, NULL, 0, 0,
      "IP number to listen on for other processes" },
    { "port", CYU_PORT, &settings.port, "7600", 1, 0,
      "Port between processes, the same on every VM" },
    { "control", CYU_ADDRESSES, &settings.control, NULL, 0, 0,
      "Address for operators and backend servers" },
    { "lookup", CYU_ADDRESSES, &settings.lookup, "", 0, 0,
      "Address for callers that ask which entry VM to use" },
    { "metrics-port", CYU_PORT, &settings.metrics_port, "0", 0, 0,
      "Port for metrics, 0: only beside the calls" },
    { "seeds", CYU_ADDRESSES, &settings.seeds, NULL, 0, 0,
      "Some control VMs, by their address for operators" },
    { "found", CYU_BOOLEAN, &settings.bootstrap, "false", 0, 0,
      "The cluster starts for the first time: the seeds found it" },
    { "data", CYU_STRING, &settings.data, NULL, 0, 0,
      "Data folder on the VM's disk" },
    { "spare-disks", CYU_INTEGER, &settings.spare_disks, "1", 0, 7,
      "Disks that may be lost at once without losing a change" },
    { "repeat-window", CYU_DURATION, &settings.retry_window_ms, "10s", 0, 0,
      "Window in which repeated requests are counted" },
    { "repeat-ratio", CYU_NUMBER, &settings.retry_ratio, "0.1", 0, 1,
      "Repeated requests allowed, as a share of the requests" },
    { "repeat-fixed", CYU_NUMBER, &settings.retry_fixed, "20", 0, 1000000,
      "Repeated requests allowed besides, over all regions" },
    { "dialect", CYU_STRING, &settings.dialect, "native", 0, 0,
      "Words of the calls: native or platform" },
    { "cluster", CYU_STRING, &settings.cluster, "cyclamenhaven", 0, 0,
      "Name of the cluster" },
    { "secret-file", CYU_STRING, &settings.secret_file, NULL, 0, 0,
      "File with the secret shared by all processes" },
    { "log-json", CYU_BOOLEAN, &settings.log_json, "true", 0, 0,
      "Log as JSON lines" },
    { "log-details", CYU_INTEGER, &settings.log_details, "10", 0, 100000,
      "Lines a second for requests that went well, of each kind" },
    { "log-faults", CYU_INTEGER, &settings.log_faults, "200", 0, 100000,
      "Lines a second for requests that failed, of each kind" },
    { NULL, CYU_STRING, NULL, NULL, 0, 0, NULL },
  };
  char *secret = NULL;
  struct cyc_topology *topology = NULL;
  enum cyc_dialect dialect = CYC_NATIVE;
  cyn_signals_block ();
  cy_result result = cyu_settings_read (
      "Control VM of a cluster that finds itself.", table, &argc, &argv);
  if (result == CY_OK)
    result = cyc_start_check (settings.dialect, settings.regions,
                              settings.zone, &dialect, &topology);
  if (result == CY_OK)
    result = cyu_secret_read (settings.secret_file, &secret);
  if (result != CY_OK)
    goto done;
  cyu_log_start ("cy-hub", settings.vm, settings.log_json);
  cyu_log_set_limits (settings.log_details, settings.log_faults);
  cyu_event (CYU_CHANGE, "start", "{ss ss ss ss}", "zone", settings.zone,
             "region", settings.region, "control", settings.control, "seeds",
             settings.seeds);
  struct cyn_identity identity = {
    .cluster = settings.cluster,
    .secret = secret,
    .role = "control",
    .name = settings.vm,
    .zone = settings.zone,
    .incarnation = cy_random_next (cy_system_random ()),
  };
  result = run_hub (&settings, &identity, topology, dialect);
  cyu_event (CYU_CHANGE, "stop", "{ss}", "result", cy_result_name (result));
  if (result != CY_OK)
    cyu_log (G_LOG_LEVEL_CRITICAL, "control VM ends: %s",
             cy_result_text (result));
done:
  cyc_topology_destroy (topology);
  g_free (secret);
  cyu_settings_clear (table);
  return result == CY_OK ? EXIT_SUCCESS : EXIT_FAILURE;
}

/* cy-gate: one entry VM of the hub layout.  It forwards requests of callers to
   the backend servers that control VMs choose.  SIGTERM is a planned stop.  */

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/cy_system.h"
#include "base/cyu_log.h"
#include "base/cyu_settings.h"
#include "base/cyu_start.h"
#include "gate/cyg_gate.h"
#include "http/cyh_client.h"
#include "hub/cyc_start.h"
#include "net/cyn_signals.h"

struct settings
{
  char *vm;
  char *zone;
  char *region;
  char *regions;
  char *listen;
  char *ready;
  int64_t metrics_port;
  int64_t peer_port;
  char *seeds;
  char *dialect;
  char *cluster;
  char *secret_file;
  int64_t grace_ms;
  bool log_json;
  int64_t log_details;
  int64_t log_faults;
};

struct program
{
  struct cyn_loop *loop;
  struct cyg_gate *gate;
};

static void
on_stopped (void *context)
{
  struct program *program = context;
  cyn_loop_stop (program->loop);
}

static void
on_signal (void *context)
{
  struct program *program = context;
  cyg_gate_leave (program->gate, on_stopped, program);
}

static cy_result
run_gate (const struct settings *settings, const struct cyn_identity *identity,
          const struct cyc_topology *topology, enum cyc_dialect dialect)
{
  struct program program = { 0 };
  struct cyn_signals *signals = NULL;
  char *host = NULL;
  char *ready_host = NULL;
  struct cyg_gate_options options
      = { .identity = identity,
          .topology = topology,
          .region = settings->region,
          .peer_port = (uint16_t)settings->peer_port,
          .metrics_port = (uint16_t)settings->metrics_port,
          .seeds = settings->seeds,
          .dialect = dialect,
          .grace = settings->grace_ms * CY_NS_PER_MS };
  cyu_address_split (settings->listen, &host, &options.port);
  if (settings->ready[0] != '\0')
    cyu_address_split (settings->ready, &ready_host, &options.ready_port);
  options.host = host;
  program.loop = cyn_loop_create (cy_system_clock ());
  options.loop = program.loop;
  cy_result result = cyg_gate_create (&options, &program.gate);
  if (result != CY_OK)
    goto done;
  signals = cyn_signals_create (program.loop, on_signal, &program);
  cyu_ready_print ("cy-gate", settings->vm, options.port, options.ready_port);
  cyn_loop_run (program.loop);
done:
  cyn_signals_destroy (signals);
  cyg_gate_destroy (program.gate);
  cyn_loop_destroy (program.loop);
  g_free (host);
  g_free (ready_host);
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
    { "listen", CYU_ADDRESSES, &settings.listen, NULL, 0, 0,
      "Address for callers" },
    { "ready", CYU_ADDRESSES, &settings.ready, "", 0, 0,
      "Address that says whether this VM takes callers" },
    { "metrics-port", CYU_PORT, &settings.metrics_port, "0", 0, 0,
      "Port for metrics, 0: none" },
    { "peer-port", CYU_PORT, &settings.peer_port, "7600", 1, 0,
      "Port of control VMs between processes" },
    { "seeds", CYU_ADDRESSES, &settings.seeds, NULL, 0, 0,
      "Some control VMs, by their address for operators" },
    { "dialect", CYU_STRING, &settings.dialect, "native", 0, 0,
      "Words of the headers: native or platform" },
    { "cluster", CYU_STRING, &settings.cluster, "cyclamenhaven", 0, 0,
      "Name of the cluster" },
    { "secret-file", CYU_STRING, &settings.secret_file, NULL, 0, 0,
      "File with the secret shared by all processes" },
    { "grace", CYU_DURATION, &settings.grace_ms, "6s", 1000, 3600000,
      "Time from SIGTERM until the process is killed" },
    { "log-json", CYU_BOOLEAN, &settings.log_json, "true", 0, 0,
      "Log as JSON lines" },
    { "log-details", CYU_INTEGER, &settings.log_details, "10", 0, 100000,
      "Lines a second for requests that went well, of each kind" },
    { "log-faults", CYU_INTEGER, &settings.log_faults, "50", 0, 100000,
      "Lines a second for requests that failed, of each kind" },
    { NULL, CYU_STRING, NULL, NULL, 0, 0, NULL },
  };
  char *secret = NULL;
  struct cyc_topology *topology = NULL;
  enum cyc_dialect dialect = CYC_NATIVE;
  cyn_signals_block ();
  cy_result result = cyu_settings_read (
      "Entry VM of a cluster that finds itself.", table, &argc, &argv);
  if (result == CY_OK)
    result = cyc_start_check (settings.dialect, settings.regions,
                              settings.zone, &dialect, &topology);
  if (result == CY_OK)
    result = cyu_secret_read (settings.secret_file, &secret);
  if (result != CY_OK)
    goto done;
  cyu_log_start ("cy-gate", settings.vm, settings.log_json);
  cyu_log_set_limits (settings.log_details, settings.log_faults);
  cyu_event (CYU_CHANGE, "start", "{ss ss ss ss}", "zone", settings.zone,
             "region", settings.region, "listen", settings.listen, "seeds",
             settings.seeds);
  cyh_client_global ();
  struct cyn_identity identity = {
    .cluster = settings.cluster,
    .secret = secret,
    .role = "entry",
    .name = settings.vm,
    .zone = settings.zone,
    .incarnation = cy_random_next (cy_system_random ()),
  };
  result = run_gate (&settings, &identity, topology, dialect);
  cyu_event (CYU_CHANGE, "stop", "{ss}", "result", cy_result_name (result));
  if (result != CY_OK)
    cyu_log (G_LOG_LEVEL_CRITICAL, "entry VM ends: %s",
             cy_result_text (result));
done:
  cyc_topology_destroy (topology);
  g_free (secret);
  cyu_settings_clear (table);
  return result == CY_OK ? EXIT_SUCCESS : EXIT_FAILURE;
}

/* cy-entry, the process of an entry VM: answers lookups, receives the
   announcements of backend servers and forwards requests to them.  SIGTERM
   starts a planned stop.  */

#include <glib.h>
#include <stdio.h>

#include "base/cy_system.h"
#include "base/cyu_log.h"
#include "base/cyu_settings.h"
#include "base/cyu_start.h"
#include "entry/cye_entry.h"
#include "http/cyh_client.h"
#include "net/cyn_signals.h"

static char *vm, *zone, *region, *host, *zones, *cluster, *secret_file;
static int64_t http_port, workers, log_details, log_faults;
static bool log_json;

static const struct cyu_setting settings[] = {
  { "vm", CYU_STRING, &vm, NULL, 0, 0, "name of this VM" },
  { "zone", CYU_STRING, &zone, NULL, 0, 0, "availability zone of this VM" },
  { "region", CYU_STRING, &region, NULL, 0, 0, "region of this VM" },
  { "host", CYU_IP, &host, NULL, 0, 0, "address to listen on" },
  { "http-port", CYU_PORT, &http_port, "8080", 0, 0,
    "port for callers and backend servers, 0: any" },
  { "zones", CYU_ADDRESSES, &zones, NULL, 0, 0,
    "zone processes of this availability zone" },
  { "cluster", CYU_STRING, &cluster, "cyclamenhaven", 0, 0,
    "name of the cluster" },
  { "secret-file", CYU_STRING, &secret_file, NULL, 0, 0,
    "file with the cluster's secret" },
  { "workers", CYU_INTEGER, &workers, "2", 1, 32,
    "threads that serve callers" },
  { "log-json", CYU_BOOLEAN, &log_json, "false", 0, 0, "log as JSON lines" },
  { "log-details", CYU_INTEGER, &log_details, "10", 0, 100000,
    "lines a second for requests that went well, of each kind" },
  { "log-faults", CYU_INTEGER, &log_faults, "200", 0, 100000,
    "lines a second for requests that failed, of each kind" },
  { NULL, CYU_STRING, NULL, NULL, 0, 0, NULL },
};

struct program
{
  struct cyn_loop *loop;
  struct cye_entry *entry;
};

static void
on_ready (void *context)
{
  struct program *program = context;
  uint16_t port = cye_entry_port (program->entry);
  cyu_ready_print ("cy-entry", vm, port, port);
}

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
  cye_entry_leave (program->entry, on_stopped, program);
}

int
main (int argc, char **argv)
{
  int status = 1;
  char *secret = NULL;
  struct program program = { 0 };
  struct cyn_signals *signals = NULL;
  struct cyn_identity identity = { .role = "entry" };
  struct cye_entry_options options = { 0 };
  cy_result result
      = cyu_settings_read ("Entry VM: answers look-ups and forwards requests "
                           "to backend servers.",
                           settings, &argc, &argv);
  if (result != CY_OK)
    goto out;
  result = cyu_secret_read (secret_file, &secret);
  if (result != CY_OK)
    goto out;
  cyu_log_start ("cy-entry", vm, log_json);
  cyu_log_set_limits (log_details, log_faults);
  cyn_signals_block ();
  cyh_client_global ();
  identity.cluster = cluster;
  identity.secret = secret;
  identity.name = vm;
  identity.zone = zone;
  identity.incarnation = cy_random_next (cy_system_random ());
  program.loop = cyn_loop_create (cy_system_clock ());
  options.loop = program.loop;
  options.identity = &identity;
  options.region = region;
  options.host = host;
  options.http_port = (uint16_t)http_port;
  options.zones = zones;
  options.workers = (unsigned)workers;
  options.on_ready = on_ready;
  options.context = &program;
  result = cye_entry_create (&options, &program.entry);
  if (result != CY_OK)
    {
      fprintf (stderr, "cannot start: %s\n", cy_result_text (result));
      goto out;
    }
  signals = cyn_signals_create (program.loop, on_signal, &program);
  cyn_loop_run (program.loop);
  status = 0;
out:
  cyn_signals_destroy (signals);
  cye_entry_destroy (program.entry);
  cyn_loop_destroy (program.loop);
  g_free (secret);
  cyu_settings_clear (settings);
  return status;
}

/* cy-zone: zone process, the relay between the control VMs and the entry VMs
   of one availability zone.  */

#include <glib.h>
#include <stdio.h>

#include "base/cy_system.h"
#include "base/cyu_log.h"
#include "base/cyu_settings.h"
#include "base/cyu_start.h"
#include "net/cyn_signals.h"
#include "zone/cyz_http.h"
#include "zone/cyz_slots.h"
#include "zone/cyz_zone.h"

#define READY_INTERVAL_MS 200 /* interval of updates of /readyz */

static char *vm, *zone_name, *region, *host, *controls, *cluster, *secret_file;
static int64_t port, http_port;
static bool log_json;

static const struct cyu_setting settings[] = {
  { "vm", CYU_STRING, &vm, NULL, 0, 0, "name of this VM" },
  { "zone", CYU_STRING, &zone_name, NULL, 0, 0, "availability zone" },
  { "region", CYU_STRING, &region, NULL, 0, 0, "region" },
  { "host", CYU_IP, &host, "127.0.0.1", 0, 0, "address to listen on" },
  { "port", CYU_PORT, &port, "0", 0, 0,
    "port for entry VMs and other zones, 0: any" },
  { "http-port", CYU_PORT, &http_port, "0", 0, 0,
    "port for metrics and health, 0: any" },
  { "controls", CYU_ADDRESSES, &controls, NULL, 0, 0, "control VMs" },
  { "cluster", CYU_STRING, &cluster, NULL, 0, 0, "name of the cluster" },
  { "secret-file", CYU_STRING, &secret_file, NULL, 0, 0,
    "file with the cluster's secret" },
  { "log-json", CYU_BOOLEAN, &log_json, "false", 0, 0, "log as JSON lines" },
  { NULL, CYU_STRING, NULL, NULL, 0, 0, NULL },
};

struct program
{
  struct cyn_loop *loop;
  struct cyz_zone *zone;
  struct cyz_http *http;
  struct cyz_slots *slots;
  struct cyn_timer *ready;
};

static void
update_ready (void *context)
{
  struct program *self = context;
  cyz_http_set_ready (self->http, cyz_zone_is_ready (self->zone));
  cyn_timer_start (self->ready, READY_INTERVAL_MS);
}

static void
on_stopped (void *context)
{
  struct program *self = context;
  cyu_log (G_LOG_LEVEL_INFO, "zone process stopped");
  cyn_loop_stop (self->loop);
}

static void
on_signal (void *context)
{
  struct program *self = context;
  cyu_log (G_LOG_LEVEL_INFO, "zone process is stopping");
  cyz_zone_stop (self->zone, on_stopped, self);
}

static cy_result
start (struct program *self, const struct cyn_identity *identity)
{
  struct cyz_options options = { .loop = self->loop,
                                 .identity = identity,
                                 .region = region,
                                 .host = host,
                                 .port = (uint16_t)port,
                                 .controls = controls,
                                 .random = cy_system_random () };
  cy_result result = cyz_zone_create (&options, &self->zone);
  if (result == CY_OK)
    result = cyz_http_create (host, (uint16_t)http_port, &self->http);
  if (result != CY_OK)
    {
      fprintf (stderr, "cannot listen on %s: %s\n", host,
               cy_result_text (result));
      return result;
    }
  self->slots = cyz_slots_create (self->zone, zone_name);
  self->ready = cyn_timer_create (self->loop, update_ready, self);
  cyn_timer_start (self->ready, 0);
  return CY_OK;
}

int
main (int argc, char **argv)
{
  int status = 1;
  char *secret = NULL;
  struct program self = { 0 };
  struct cyn_signals *signals = NULL;
  cyn_signals_block ();
  if (cyu_settings_read ("Zone process of an availability zone.", settings,
                         &argc, &argv)
          != CY_OK
      || cyu_secret_read (secret_file, &secret) != CY_OK)
    goto clear;
  cyu_log_start ("cy-zone", vm, log_json);
  struct cyn_identity identity
      = { cluster, secret,    "zone",
          vm,      zone_name, cy_random_next (cy_system_random ()) >> 32 };
  self.loop = cyn_loop_create (cy_system_clock ());
  signals = cyn_signals_create (self.loop, on_signal, &self);
  if (start (&self, &identity) != CY_OK)
    goto destroy;
  cyu_ready_print ("cy-zone", vm, cyz_zone_port (self.zone),
                   cyz_http_port (self.http));
  cyn_loop_run (self.loop);
  status = 0;

destroy:
  cyz_http_destroy (self.http);
  cyn_timer_destroy (self.ready);
  cyz_zone_destroy (self.zone);
  cyz_slots_destroy (self.slots);
  cyn_signals_destroy (signals);
  cyn_loop_destroy (self.loop);
clear:
  g_free (secret);
  cyu_settings_clear (settings);
  return status;
}

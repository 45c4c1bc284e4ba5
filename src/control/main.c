/* cy-control: one control VM.  Replicates the declared state, serves the
   operators' HTTP interface and sends state to the zone processes.  */

#include <glib.h>
#include <stdlib.h>

#include "base/cy_system.h"
#include "base/cyu_log.h"
#include "base/cyu_settings.h"
#include "base/cyu_start.h"
#include "control/cyo_http.h"
#include "control/cyx_members.h"
#include "control/cyx_process.h"
#include "net/cyn_signals.h"

#define STEP_DOWN_CHECK_INTERVAL_MS 50 /* between checks for a new leader */
#define STEP_DOWN_CHECK_COUNT_MAX   40 /* then the VM stops as the leader */

struct settings
{
  int64_t member_id;
  char *vm;
  char *zone;
  char *host;
  int64_t port;
  int64_t http_port;
  char *data;
  char *cluster;
  char *secret_file;
  char *token_file;
  char *members;
  bool join;
  bool log_json;
};

struct program
{
  struct cyn_loop *loop;
  struct cyx_control *control;
  struct cyn_timer *stop_timer;
  int step_down_checks;
};

/* Stops the loop once this VM is not the leader, or after the last check.  */
static void
try_stop (void *context)
{
  struct program *program = context;
  if (!cyx_control_is_leader (program->control)
      || program->step_down_checks++ >= STEP_DOWN_CHECK_COUNT_MAX)
    {
      cyn_loop_stop (program->loop);
      return;
    }
  cyn_timer_start (program->stop_timer, STEP_DOWN_CHECK_INTERVAL_MS);
}

static void
on_stop_signal (void *context)
{
  struct program *program = context;
  cyu_log (G_LOG_LEVEL_INFO, "control VM stops as planned");
  cyx_control_step_down (program->control);
  try_stop (program);
}

static cy_result
serve (const struct settings *settings, const struct cyn_identity *identity,
       const Cy__MemberSet *bootstrap)
{
  struct program program = { 0 };
  struct cyo_http *http = NULL;
  struct cyn_signals *signals = NULL;
  program.loop = cyn_loop_create (cy_system_clock ());
  struct cyx_control_options options = {
    .loop = program.loop,
    .identity = identity,
    .host = settings->host,
    .port = (uint16_t)settings->port,
    .data_folder = settings->data,
    .member_id = (uint64_t)settings->member_id,
    .bootstrap = bootstrap,
  };
  cy_result result = cyx_control_create (&options, &program.control);
  if (result != CY_OK)
    goto done;
  result = cyo_http_create (program.control, settings->host,
                            (uint16_t)settings->http_port,
                            settings->token_file, &http);
  if (result != CY_OK)
    goto done;
  program.stop_timer = cyn_timer_create (program.loop, try_stop, &program);
  signals = cyn_signals_create (program.loop, on_stop_signal, &program);
  cyu_ready_print ("cy-control", settings->vm,
                   cyx_control_port (program.control), cyo_http_port (http));
  cyn_loop_run (program.loop);

done:
  if (http != NULL)
    cyo_http_destroy (http);
  cyn_signals_destroy (signals);
  cyn_timer_destroy (program.stop_timer);
  cyx_control_destroy (program.control);
  cyn_loop_destroy (program.loop);
  return result;
}

int
main (int argc, char **argv)
{
  struct settings settings = { 0 };
  const struct cyu_setting table[] = {
    { "member-id", CYU_INTEGER, &settings.member_id, NULL, 1, INT64_MAX,
      "Number of this member, never used again" },
    { "vm", CYU_STRING, &settings.vm, NULL, 0, 0, "Name of this VM" },
    { "zone", CYU_STRING, &settings.zone, "", 0, 0,
      "Availability zone of this VM" },
    { "host", CYU_IP, &settings.host, "127.0.0.1", 0, 0,
      "IP number to listen on" },
    { "port", CYU_PORT, &settings.port, "0", 0, 65535,
      "Port between processes, 0: any" },
    { "http-port", CYU_PORT, &settings.http_port, "0", 0, 65535,
      "Port for operators, 0: any" },
    { "data", CYU_STRING, &settings.data, NULL, 0, 0,
      "Data folder on the VM's disk" },
    { "cluster", CYU_STRING, &settings.cluster, NULL, 0, 0,
      "Name of the cluster" },
    { "secret-file", CYU_STRING, &settings.secret_file, NULL, 0, 0,
      "File with the secret shared by all processes" },
    { "token-file", CYU_STRING, &settings.token_file, NULL, 0, 0,
      "File with lines NAME TOKEN, one an operator" },
    { "members", CYU_STRING, &settings.members, "", 0, 0,
      "First members, ID=IP:PORT:HTTP_PORT with commas between" },
    { "join", CYU_BOOLEAN, &settings.join, "false", 0, 0,
      "Wait to be added to a running cluster" },
    { "log-json", CYU_BOOLEAN, &settings.log_json, "false", 0, 0,
      "Log as JSON lines" },
    { NULL, CYU_STRING, NULL, NULL, 0, 0, NULL },
  };
  char *secret = NULL;
  Cy__MemberSet *bootstrap = NULL;
  cyn_signals_block ();
  cy_result result = cyu_settings_read (
      "Runs one control VM of a cyclamenhaven cluster.", table, &argc, &argv);
  if (result != CY_OK)
    goto done;
  result = cyu_secret_read (settings.secret_file, &secret);
  if (result != CY_OK)
    goto done;
  result
      = cyx_members_read (settings.join ? "" : settings.members, &bootstrap);
  if (result != CY_OK)
    goto done;
  cyu_log_start ("cy-control", settings.vm, settings.log_json);
  char *name
      = g_strdup_printf ("%" G_GINT64_FORMAT, (gint64)settings.member_id);
  struct cyn_identity identity = {
    .cluster = settings.cluster,
    .secret = secret,
    .role = "control",
    .name = name,
    .zone = settings.zone,
    .incarnation = cy_random_next (cy_system_random ()),
  };
  result = serve (&settings, &identity, bootstrap);
  if (result != CY_OK)
    cyu_log (G_LOG_LEVEL_CRITICAL, "control VM ends: %s",
             cy_result_text (result));
  g_free (name);

done:
  if (bootstrap != NULL)
    cy__member_set__free_unpacked (bootstrap, NULL);
  g_free (secret);
  cyu_settings_clear (table);
  return result == CY_OK ? EXIT_SUCCESS : EXIT_FAILURE;
}

/* cy-backend: stand-in backend server for tests and benchmarks.  It announces
   itself to entry VMs, answers /health and /load and runs every other request.
   On SIGTERM it announces the drain, finishes the open requests and exits with
   0.  */

#include <fcntl.h>
#include <glib.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include "backend/cyk_announce.h"
#include "backend/cyk_serve.h"
#include "base/cy_system.h"
#include "base/cyu_log.h"
#include "base/cyu_settings.h"
#include "http/cyh_client.h"
#include "http/cyh_server.h"
#include "platform/cyplat_names.h"

#define DRAIN_CHECK_MS 50 /* between checks for open requests */

static char *service, *instance, *zone, *host, *entries, *record_path;
static char *fault_text, *dialect_text, *limit_text, *poison_path;
static int64_t port, announce_port, slots, connections, lease_ms, drain_ms;
static bool log_json;
static struct cyk_options serve_options = { .record_fd = -1 };

static const struct cyu_setting settings[] = {
  { "service", CYU_STRING, &service, NULL, 0, 0, "service that it serves" },
  { "instance", CYU_STRING, &instance, NULL, 0, 0, "name of the instance" },
  { "zone", CYU_STRING, &zone, NULL, 0, 0, "availability zone" },
  { "host", CYU_IP, &host, "127.0.0.1", 0, 0, "address to listen on" },
  { "port", CYU_PORT, &port, "0", 0, 0, "port to listen on, 0: any" },
  { "announce-port", CYU_PORT, &announce_port, "0", 0, 0,
    "port to announce, 0: the one listened on" },
  { "entries", CYU_ADDRESSES, &entries, "", 0, 0, "entry VMs to announce to" },
  { "slots", CYU_INTEGER, &slots, "4", 1, 100000, "requests at a time" },
  { "connections", CYU_INTEGER, &connections, "900", 1, 100000,
    "connections at a time" },
  { "service-time-ms", CYU_INTEGER, &serve_options.service_time_ms, "0", 0,
    600000, "service time of a request, ms" },
  { "cold-ms", CYU_INTEGER, &serve_options.cold_ms, "0", 0, 600000,
    "slow start after the process started, ms" },
  { "lease-ms", CYU_INTEGER, &lease_ms, "3000", 300, 600000,
    "lease of an announcement, ms" },
  { "drain-ms", CYU_INTEGER, &drain_ms, "3000", 0, 600000,
    "time that a drain takes at least, ms" },
  { "record", CYU_STRING, &record_path, "", 0, 0,
    "file for one JSON line a request" },
  { "dialect", CYU_STRING, &dialect_text, "native", 0, 0,
    "words of the headers: native or platform" },
  { "fault", CYU_STRING, &fault_text, "", 0, 0,
    "healthy-but-silent, lying-load, slow10x, close-after-read, reset, "
    "truncate, late, shed, echo-key, refusal-twice, leaving or pause" },
  { "fault-percent", CYU_INTEGER, &serve_options.fault_percent, "100", 0, 100,
    "share of the requests with the fault" },
  { "poison-path", CYU_STRING, &poison_path, "", 0, 0,
    "path that ends the process without an answer" },
  { "limit", CYU_STRING, &limit_text, "", 0, 0,
    "limit in all answers, requests/s" },
  { "limit-ms", CYU_INTEGER, &serve_options.limit_ms, "0", 0, 600000,
    "time from the start until answers report no limit, ms, 0: never" },
  { "log-json", CYU_BOOLEAN, &log_json, "false", 0, 0, "log as JSON lines" },
  { NULL, CYU_STRING, NULL, NULL, 0, 0, NULL },
};

struct backend
{
  struct cyn_loop *loop;
  struct cyk_serve *serve;
  struct cyk_announce *announce;
  struct cyn_timer *drain_timer; /* checks whether the drain is complete */
  cy_time_ns drain_until;        /* earliest end of the drain */
  int signal_fd;                 /* signalfd of SIGTERM and SIGINT */
};

static void
check_drain (void *context)
{
  struct backend *self = context;
  if (cy_clock_now (cy_system_clock ()) >= self->drain_until
      && cyk_serve_in_flight (self->serve) == 0)
    cyn_loop_stop (self->loop);
  else
    cyn_timer_start (self->drain_timer, DRAIN_CHECK_MS);
}

static void
on_signal (uint32_t events, void *context)
{
  (void)events;
  struct backend *self = context;
  struct signalfd_siginfo info;
  if (read (self->signal_fd, &info, sizeof info) != sizeof info)
    return;
  self->drain_until
      = cy_clock_now (cy_system_clock ()) + drain_ms * CY_NS_PER_MS;
  cyk_announce_start_draining (self->announce);
  cyn_timer_start (self->drain_timer, DRAIN_CHECK_MS);
}

static int
open_signal_fd (void)
{
  sigset_t set;
  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGINT);
  sigprocmask (SIG_BLOCK, &set, NULL);
  return signalfd (-1, &set, SFD_CLOEXEC | SFD_NONBLOCK);
}

static cy_result
start_backend (struct backend *self, int listen_fd, uint16_t bound_port)
{
  serve_options.loop = self->loop;
  serve_options.service = service;
  serve_options.instance = instance;
  serve_options.slots = slots;
  serve_options.limit = limit_text;
  serve_options.poison_path = poison_path;
  serve_options.listen_fd = listen_fd;
  cy_result result = cyk_serve_create (&serve_options, &self->serve);
  if (result != CY_OK)
    return result;
  struct cyk_announce_options announce = {
    .loop = self->loop,
    .entries = entries == NULL ? "" : entries,
    .service = service,
    .instance = instance,
    .zone = zone,
    .host = host,
    .port = announce_port != 0 ? (uint16_t)announce_port : bound_port,
    .slots = slots,
    .connections = connections,
    .lease_ms = lease_ms,
    .incarnation = (uint64_t)cy_clock_unix_ms (cy_system_clock ()),
  };
  self->announce = cyk_announce_create (&announce);
  self->drain_timer = cyn_timer_create (self->loop, check_drain, self);
  return CY_OK;
}

int
main (int argc, char **argv)
{
  int status = 1;
  int listen_fd = -1;
  uint16_t bound_port = 0;
  struct backend self = { .signal_fd = -1 };
  struct cyn_watch *watch = NULL;
  cy_result result = cyu_settings_read ("Stand-in backend server for tests.",
                                        settings, &argc, &argv);
  if (result != CY_OK)
    goto out;
  if (!cyk_fault_parse (fault_text, &serve_options.fault))
    {
      fprintf (stderr, "--fault is \"%s\"; see --help\n", fault_text);
      goto out;
    }
  enum cyc_dialect dialect = CYC_NATIVE;
  if (cyc_dialect_read (dialect_text, &dialect) != CY_OK)
    {
      fprintf (stderr, "--dialect is \"%s\"; allowed is native or platform\n",
               dialect_text);
      goto out;
    }
  serve_options.names = cyplat_names_of (dialect);
  cyu_log_start ("cy-backend", instance, log_json);
  signal (SIGPIPE, SIG_IGN);
  cyh_client_global ();
  if (record_path[0] != '\0')
    serve_options.record_fd
        = open (record_path, O_CREAT | O_APPEND | O_WRONLY | O_CLOEXEC, 0644);
  self.signal_fd = open_signal_fd ();
  self.loop = cyn_loop_create (cy_system_clock ());
  result = cyh_listen (host, (uint16_t)port, &listen_fd, &bound_port);
  if (result == CY_OK)
    result = start_backend (&self, listen_fd, bound_port);
  if (result != CY_OK)
    {
      fprintf (stderr, "cannot start: %s\n", cy_result_text (result));
      goto out;
    }
  watch = cyn_watch_create (self.loop, self.signal_fd, EPOLLIN, on_signal,
                            &self);
  char *ready = g_strdup_printf ("READY program=cy-backend vm=%s http=%u\n",
                                 instance, bound_port);
  cyu_log_print (ready);
  g_free (ready);
  cyn_loop_run (self.loop);
  status = 0;
out:
  cyn_watch_destroy (watch);
  cyn_timer_destroy (self.drain_timer);
  cyk_announce_destroy (self.announce);
  cyk_serve_destroy (self.serve);
  cyn_loop_destroy (self.loop);
  if (listen_fd >= 0)
    close (listen_fd);
  if (serve_options.record_fd >= 0)
    close (serve_options.record_fd);
  cyu_settings_clear (settings);
  return status;
}

/* cy-load: load generator for tests and benchmarks.  It sends requests as
   callers do and prints a summary of the answers.  Exit codes: 0 success, 1
   the load could not run, 2 an answer did not belong to its request, 3 fewer
   good answers than --expect-ok-percent.  */

#include <glib.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>

#include "base/cy_system.h"
#include "base/cyu_log.h"
#include "base/cyu_settings.h"
#include "http/cyh_client.h"
#include "load/cyg_drive.h"

/* Time limit of the run in addition to the expected time of the load.  */
#define TIME_LIMIT_MARGIN_MS 30000

static char *lookups, *direct, *service, *keys_path, *path, *record_path;
static char *prefix;
static int64_t expect_ok;
static struct cyg_drive_options options;

static const struct cyu_setting settings[] = {
  { "lookup", CYU_ADDRESSES, &lookups, "", 0, 0, "entry VMs to ask" },
  { "direct", CYU_ADDRESSES, &direct, "", 0, 0,
    "send here without a look-up" },
  { "service", CYU_STRING, &service, NULL, 0, 0, "service to use" },
  { "keys", CYU_STRING, &keys_path, NULL, 0, 0,
    "file with lines WORKSPACE KEY [WEIGHT]" },
  { "path", CYU_STRING, &path, "/", 0, 0, "path below the service" },
  { "requests", CYU_INTEGER, &options.requests, "0", 0, 100000000,
    "requests to send, 0: until the duration is over" },
  { "duration-ms", CYU_INTEGER, &options.duration_ms, "0", 0, 86400000,
    "time to send for, ms" },
  { "rate", CYU_INTEGER, &options.rate, "0", 0, 1000000,
    "requests a second over all workspaces, 0: as fast as answered" },
  { "concurrency", CYU_INTEGER, &options.concurrency, "8", 1, 20000,
    "open requests at most" },
  { "post-share", CYU_INTEGER, &options.post_percent, "0", 0, 100,
    "share of POST requests, percent" },
  { "body-bytes", CYU_INTEGER, &options.body_bytes, "64", 0, 8388608,
    "body of a POST request, bytes" },
  { "timeout-ms", CYU_INTEGER, &options.timeout_ms, "5000", 1, 600000,
    "deadline of a request, ms" },
  { "seed", CYU_INTEGER, &options.seed, "1", 0, INT64_MAX, "random seed" },
  { "spread", CYU_BOOLEAN, &options.spread, "true", 0, 0,
    "use all entry VMs of a look-up's answer" },
  { "id-prefix", CYU_STRING, &prefix, "r", 0, 0, "prefix of request ids" },
  { "record", CYU_STRING, &record_path, "", 0, 0,
    "file for one JSON line a request" },
  { "expect-ok-percent", CYU_INTEGER, &expect_ok, "0", 0, 100,
    "good answers wanted, percent of the requests" },
  { NULL, CYU_STRING, NULL, NULL, 0, 0, NULL },
};

struct watchdog
{
  struct cyn_loop *loop;
  struct cyg_stats *stats;
  bool expired;
};

static void
on_time_limit (void *context)
{
  struct watchdog *watchdog = context;
  watchdog->expired = true;
  cyn_loop_stop (watchdog->loop);
}

static int
get_exit_status (const struct cyg_stats *stats,
                 const struct watchdog *watchdog)
{
  if (watchdog->expired)
    {
      fprintf (stderr, "time limit exceeded before all requests ended\n");
      return 1;
    }
  if (cyg_stats_wrong (stats) > 0)
    return 2;
  return cyg_stats_ok_share (stats) * 100 + 1e-9 < (double)expect_ok ? 3 : 0;
}

int
main (int argc, char **argv)
{
  int status = 1;
  struct cyg_key *keys = NULL;
  struct cyg_drive *drive = NULL;
  struct cyn_timer *timer = NULL;
  struct watchdog watchdog = { 0 };
  cy_time_ns started_at = 0;
  cy_result result
      = cyu_settings_read ("Load driver for tests.", settings, &argc, &argv);
  if (result != CY_OK)
    goto out;
  /* Standard output holds the summary only.  */
  cyu_log_set_output (STDERR_FILENO);
  cyu_log_start ("cy-load", prefix, FALSE);
  signal (SIGPIPE, SIG_IGN);
  if ((lookups == NULL && direct == NULL)
      || (options.requests == 0 && options.duration_ms == 0))
    {
      fprintf (stderr, "--lookup or --direct is required, and --requests or "
                       "--duration-ms\n");
      goto out;
    }
  result = cyg_keys_read (keys_path, &keys, &options.key_count);
  if (result != CY_OK)
    {
      fprintf (stderr, "--keys: %s\n", cy_result_text (result));
      goto out;
    }
  cyh_client_global ();
  watchdog.loop = cyn_loop_create (cy_system_clock ());
  watchdog.stats = cyg_stats_create (record_path);
  timer = cyn_timer_create (watchdog.loop, on_time_limit, &watchdog);
  cyn_timer_start (timer, TIME_LIMIT_MARGIN_MS + options.duration_ms
                              + options.requests * 10);
  options.loop = watchdog.loop;
  options.lookups = lookups == NULL ? "" : lookups;
  options.direct = direct == NULL ? "" : direct;
  options.service = service;
  options.path = path;
  options.prefix = prefix;
  options.keys = keys;
  options.stats = watchdog.stats;
  drive = cyg_drive_create (&options);
  started_at = cy_clock_now (cy_system_clock ());
  cyn_loop_run (watchdog.loop);
  cyg_stats_print (watchdog.stats,
                   (double)(cy_clock_now (cy_system_clock ()) - started_at)
                       / CY_NS_PER_S);
  status = get_exit_status (watchdog.stats, &watchdog);
out:
  cyg_drive_destroy (drive);
  cyn_timer_destroy (timer);
  cyn_loop_destroy (watchdog.loop);
  cyg_stats_destroy (watchdog.stats);
  cyg_keys_free (keys, options.key_count);
  cyu_settings_clear (settings);
  return status;
}

/* cy-load: sends requests as callers do and reports what they were told.  For
   tests and benchmarks only.  Exit codes: 0 good, 1 could not run, 2 an
   answer was not its request's, 3 fewer good answers than expected.  */

#include <glib.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>

#include "base/cy_system.h"
#include "base/cyu_log.h"
#include "base/cyu_settings.h"
#include "http/cyh_client.h"
#include "load/cyg_drive.h"

#define GIVE_UP_MS 30000 /* ms without an answer to any look-up */

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
  bool fired;
};

static void
give_up (void *context)
{
  struct watchdog *dog = context;
  dog->fired = true;
  cyn_loop_stop (dog->loop);
}

static int
verdict (const struct cyg_stats *stats, const struct watchdog *dog)
{
  if (dog->fired)
    {
      fprintf (stderr, "the load did not end in time\n");
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
  struct watchdog dog = { 0 };
  cy_time_ns begun = 0;
  cy_result result
      = cyu_settings_read ("Load driver for tests.", settings, &argc, &argv);
  if (result != CY_OK)
    goto out;
  /* Standard output is for the figures.  */
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
  dog.loop = cyn_loop_create (cy_system_clock ());
  dog.stats = cyg_stats_create (record_path);
  timer = cyn_timer_create (dog.loop, give_up, &dog);
  cyn_timer_start (timer,
                   GIVE_UP_MS + options.duration_ms + options.requests * 10);
  options.loop = dog.loop;
  options.lookups = lookups == NULL ? "" : lookups;
  options.direct = direct == NULL ? "" : direct;
  options.service = service;
  options.path = path;
  options.prefix = prefix;
  options.keys = keys;
  options.stats = dog.stats;
  drive = cyg_drive_create (&options);
  begun = cy_clock_now (cy_system_clock ());
  cyn_loop_run (dog.loop);
  cyg_stats_print (dog.stats,
                   (double)(cy_clock_now (cy_system_clock ()) - begun)
                       / CY_NS_PER_S);
  status = verdict (dog.stats, &dog);
out:
  cyg_drive_destroy (drive);
  cyn_timer_destroy (timer);
  cyn_loop_destroy (dog.loop);
  cyg_stats_destroy (dog.stats);
  cyg_keys_free (keys, options.key_count);
  cyu_settings_clear (settings);
  return status;
}

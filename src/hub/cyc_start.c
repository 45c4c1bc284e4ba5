#include "hub/cyc_start.h"

#include <signal.h>
#include <stdio.h>
#include <time.h>

#include "base/cyu_log.h"
#include "core/cy_clock.h"

cy_result
cyc_start_check (const char *dialect_text, const char *regions,
                 const char *zone, enum cyc_dialect *dialect,
                 struct cyc_topology **topology)
{
  if (cyc_dialect_read (dialect_text, dialect) != CY_OK)
    {
      fprintf (stderr,
               "--dialect (CY_DIALECT) is \"%s\"; allowed is native "
               "or platform\n",
               dialect_text);
      return CY_E_SETTING_INVALID;
    }
  if (cyc_topology_read (regions, topology) != CY_OK
      || cyc_topology_region (*topology, zone) == NULL)
    {
      fprintf (stderr,
               "--regions (CY_REGIONS) is \"%s\"; allowed is "
               "ZONE=REGION with commas between, the zone of this VM "
               "among them\n",
               regions);
      return CY_E_SETTING_INVALID;
    }
  return CY_OK;
}

/* Waits MS milliseconds; true when SIGTERM or SIGINT arrived.  */
static bool
wait_for_stop_signal (int64_t ms)
{
  struct timespec pause
      = { .tv_sec = ms / 1000, .tv_nsec = ms % 1000 * CY_NS_PER_MS };
  sigset_t signals;
  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  return sigtimedwait (&signals, NULL, &pause) > 0;
}

cy_result
cyc_start_wait_for_space (cyc_open_fn open, void *context, int64_t pause_ms)
{
  cy_result result = open (context);
  if (result == CY_E_STORE_FULL)
    cyu_log (G_LOG_LEVEL_WARNING, "disk is full: waiting for free space");
  while (result == CY_E_STORE_FULL)
    {
      if (wait_for_stop_signal (pause_ms))
        return CY_E_STOPPING;
      result = open (context);
    }
  return result;
}

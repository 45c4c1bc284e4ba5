/* Case: a control VM freezes and is replaced by another one of its zone; then
   three others lose their disks, one after the other.  */

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "review/lib/stand.h"

#define FROZEN    3     /* core-scl-b-1, which is no seed */
#define ADDED     9     /* core-scl-b-2 */
#define FREEZE_MS 7500  /* for which it is frozen */
#define ADD_MS    5200  /* from the freeze until core-scl-b-2 is added */
#define PAUSE_MS  9000  /* between two losses of a disk; `catchUp` is 4 s */
#define DOWN_MS   1500  /* for which a VM that loses its disk is down */
#define READ_MS   25000 /* for which the configuration is read at the end */

static const char configuration[]
    = "{\"version\":\"r3\",\"routes\":{\"columns\":[\"name\",\"host\","
      "\"prefix\",\"kind\",\"timeout\",\"latencyGoal\",\"priority\","
      "\"backends\",\"maxAttempts\",\"public\",\"sticky\",\"homeRegions\","
      "\"service\"],\"rows\":[[\"r-read\",\"shop.example\",\"/read/\","
      "\"idempotent\",\"1200ms\",\"300ms\",1,null,2,true,false,[],"
      "\"metering\"]]},\"services\":{\"columns\":[\"name\",\"healthPath\","
      "\"maxConns\",\"protocol\",\"tls\",\"warmup\",\"warmupPerS\"],\"rows\":"
      "[[\"metering\",\"/health\",878,\"h1\",false,\"3s\",10.0]]},\"limits\":{"
      "\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
      "\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"}}";

/* Reads the configuration for at most TIMEOUT_MS.  */
static bool
read_back (const char *when, int timeout_ms)
{
  char held[4096];
  int status
      = st_call ("/rpc?call=config.get", "", held, sizeof held, timeout_ms);
  bool good = status == 200 && strncmp (held, "{\"version\":\"r3\"", 15) == 0;
  st_record ("operator: config.get %s -> %d, %s", when, status,
             good ? "version r3" : "no configuration");
  return good;
}

int
main (int argc, char **argv)
{
  static const int wiped[] = { 1, 2, 4 }; /* in ant-a, pmc-a and ant-b */
  (void)argc;
  st_open (argv[1]);
  st_start_all (1, configuration);
  st_sleep_ms (8000);
  if (!read_back ("before", 5000))
    st_exit (2);
  if (st_has_trouble ())
    {
      st_signal_hub (FROZEN, SIGSTOP);
      st_record ("core-scl-b-1 freezes");
    }
  st_sleep_ms (ADD_MS);
  st_start_hub (ADDED, false);
  st_record ("core-scl-b-2 is added");
  st_sleep_ms (FREEZE_MS - ADD_MS);
  if (st_has_trouble ())
    {
      st_signal_hub (FROZEN, SIGCONT);
      st_record ("core-scl-b-1 wakes");
    }
  for (size_t i = 0; i < sizeof wiped / sizeof *wiped; i++)
    {
      st_sleep_ms (PAUSE_MS);
      st_wipe_hub (wiped[i], DOWN_MS);
      st_record ("core-%s-1 has lost its disk and is back",
                 st_zones[wiped[i]]);
    }
  st_sleep_ms (PAUSE_MS);
  bool good = read_back ("at the end", READ_MS);
  st_exit (good ? 0 : 1);
}

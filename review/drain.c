/* Case: an instance has left, all control VMs are killed, and a heartbeat of
   the instance from before arrives late.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "review/lib/stand.h"

#define DRAIN_MS   2500  /* bound `drain` */
#define CONTACT_MS 4000  /* bound `contact` */
#define DOWN_MS    700   /* for which the control VMs are down */
#define LATE_MS    3000  /* by which the heartbeat is late */
#define SERVES_MS  12000 /* for which the instance serves after it left */

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

static volatile int64_t left_at;   /* acknowledgement, 0: not yet */
static volatile int64_t judged_at; /* from when runs break the rule */
static volatile int64_t ends_at;
static volatile int broken;
static volatile int excused;
static volatile int runs[2];
static volatile int good;

static void
serve (struct st_server *server, struct st_conn *conn, const char *head)
{
  size_t length = 0;
  int64_t now = st_now_ms ();
  char id[64];
  st_header (head, "Cyclamenhaven-Attempt-Id", id, sizeof id);
  st_read_body (conn, head, NULL, 0, &length);
  __atomic_add_fetch (&runs[server->number], 1, __ATOMIC_RELAXED);
  if (server->number == 0 && left_at != 0 && now > left_at + DRAIN_MS)
    {
      bool counts = judged_at != 0 && now > judged_at;
      __atomic_add_fetch (counts ? &broken : &excused, 1, __ATOMIC_RELAXED);
      st_record ("server %s runs %s %.1f s after it was acknowledged that it "
                 "is gone%s",
                 server->id, id, (double)(now - left_at) / 1000,
                 counts ? ", by a machine in touch" : "");
    }
  st_answer_ok (server, conn, head, "reading\n");
}

static void *
run_client (void *context)
{
  char ip[32];
  char headers[256];
  int gate = (int)(intptr_t)context;
  for (int i = 0; st_now_ms () < ends_at; i++)
    {
      snprintf (headers, sizeof headers,
                "Host: shop.example\r\nCyclamenhaven-Attempt-Id: a-%d-%d\r\n"
                "Cyclamenhaven-Deadline-Ms: 1200\r\n",
                gate, i);
      if (st_request (st_ip (21, gate, ip), ST_FRONT_PORT, "GET", "/read/1",
                      headers, NULL, NULL, 0)
          == 200)
        __atomic_add_fetch (&good, 1, __ATOMIC_RELAXED);
      st_sleep_ms (40);
    }
  return NULL;
}

int
main (int argc, char **argv)
{
  struct st_server gone = { .id = "i-gone",
                            .service = "metering",
                            .zone = "scl-a",
                            .number = 0,
                            .serve = serve };
  struct st_server other = { .id = "i-other",
                             .service = "metering",
                             .zone = "scl-b",
                             .number = 1,
                             .serve = serve };
  pthread_t clients[ST_GATES];
  (void)argc;
  st_open (argv[1]);
  st_start_all (ST_GATES, configuration);
  st_server_start (&gone);
  st_server_start (&other);
  st_sleep_ms (6000);
  ends_at = st_now_ms () + 60000;
  for (int i = 0; i < ST_GATES; i++)
    pthread_create (&clients[i], NULL, run_client, (void *)(intptr_t)i);
  st_sleep_ms (3000);
  /* The last heartbeat before the end is on its way.  */
  gone.silent = true;
  st_sleep_ms (1000);
  int late = ++gone.sequence;
  int64_t late_sent_at = st_now_ms ();
  int status = st_leave (&gone);
  left_at = st_now_ms ();
  ends_at = left_at + SERVES_MS;
  st_record ("server i-gone: instances.leave -> %d; it serves on", status);
  if (status != 200)
    st_exit (2);
  st_sleep_ms (200);
  judged_at = left_at + DRAIN_MS;
  if (st_has_trouble ())
    {
      for (int i = 0; i < ST_HUBS; i++)
        st_kill_hub (i);
      st_record ("all control VMs are killed");
      st_sleep_ms (DOWN_MS);
      for (int i = 0; i < ST_HUBS; i++)
        st_start_hub (i, false);
      judged_at = st_now_ms () + CONTACT_MS;
      st_record ("all control VMs are started again");
    }
  st_sleep_ms (late_sent_at + LATE_MS - st_now_ms ());
  status = st_beat (&gone, late, "ready");
  st_record ("server i-gone: heartbeat %d, %d ms late -> %d", late, LATE_MS,
             status);
  for (int i = 0; i < ST_GATES; i++)
    pthread_join (clients[i], NULL);
  st_record ("clients got 200 %d times; runs: %d at i-gone, %d at i-other",
             good, runs[0], runs[1]);
  st_record (
      "runs at i-gone later than %d ms after the acknowledgement: %d by "
      "machines in touch, %d by others",
      DRAIN_MS, broken, excused);
  if (good < 100 || runs[0] == 0)
    st_exit (2);
  st_exit (broken > 0 ? 1 : 0);
}

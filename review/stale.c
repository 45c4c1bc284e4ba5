/* Case: a control VM freezes, another one is added in its zone meanwhile, and
   the frozen one wakes again.  */

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "review/lib/stand.h"

#define EVACUATE_MS 5000 /* bound `evacuate` */
#define CONTACT_MS  4000 /* bound `contact` */
#define FREEZE_MS   7500 /* for which core-scl-a-1 is frozen */
#define ADD_MS      5200 /* from the freeze until core-scl-a-2 is added */
#define JUDGED_MS   8000 /* for which runs are counted */

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

static volatile int64_t judged_at; /* from when runs in scl-a are wrong */
static volatile int64_t ends_at;
static volatile int runs[2];
static volatile int wrong;
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
  bool is_wrong = judged_at != 0 && now > judged_at && server->number == 0;
  if (is_wrong && __atomic_add_fetch (&wrong, 1, __ATOMIC_RELAXED) <= 10)
    st_record ("server %s in %s, which is evacuated, runs %s", server->id,
               server->zone, id);
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
  static struct st_server servers[2] = { { .id = "i-scl-a",
                                           .service = "metering",
                                           .zone = "scl-a",
                                           .serve = serve },
                                         { .id = "i-scl-b",
                                           .service = "metering",
                                           .zone = "scl-b",
                                           .number = 1,
                                           .serve = serve } };
  pthread_t clients[ST_GATES];
  (void)argc;
  st_open (argv[1]);
  st_start_all (ST_GATES, configuration);
  st_server_start (&servers[0]);
  st_server_start (&servers[1]);
  st_sleep_ms (8000);
  ends_at = st_now_ms () + 90000;
  for (int i = 0; i < ST_GATES; i++)
    pthread_create (&clients[i], NULL, run_client, (void *)(intptr_t)i);
  st_sleep_ms (1000);
  if (st_has_trouble ())
    {
      st_signal_hub (0, SIGSTOP);
      st_record ("core-scl-a-1 freezes");
    }
  st_sleep_ms (ADD_MS);
  st_start_hub (ST_HUBS, false);
  st_record ("core-scl-a-2 is added");
  st_sleep_ms (FREEZE_MS - ADD_MS);
  if (st_has_trouble ())
    {
      st_signal_hub (0, SIGCONT);
      st_record ("core-scl-a-1 wakes");
    }
  st_sleep_ms (CONTACT_MS + 2000);
  int status
      = st_call ("/rpc?call=evacuations.start&of=scl-a", "", NULL, 0, 20000);
  judged_at = st_now_ms () + EVACUATE_MS;
  ends_at = judged_at + JUDGED_MS;
  st_record ("operator: evacuations.start of scl-a -> %d", status);
  if (status != 200)
    st_exit (2);
  for (int i = 0; i < ST_GATES; i++)
    pthread_join (clients[i], NULL);
  st_record ("clients got 200 %d times; runs: %d in scl-a, %d in scl-b", good,
             runs[0], runs[1]);
  st_record ("runs in scl-a later than %d ms after the acknowledgement of its "
             "evacuation: %d",
             EVACUATE_MS, wrong);
  if (good < 100 || runs[0] == 0)
    st_exit (2);
  st_exit (wrong > 0 ? 1 : 0);
}

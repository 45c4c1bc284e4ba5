/* Case: a new configuration gives a tenant a home region that is not among
   the home regions of a route.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "review/lib/stand.h"

#define APPLY_MS 2500 /* bound `apply` */
#define SERVERS  3    /* in scl-a, ant-a and pmc-a */

/* The first %s is the version, the second the homeRegions of the tenant.  */
static const char format[]
    = "{\"version\":\"%s\",\"routes\":{\"columns\":[\"name\",\"host\","
      "\"prefix\",\"kind\",\"timeout\",\"latencyGoal\",\"priority\","
      "\"backends\",\"maxAttempts\",\"public\",\"sticky\",\"homeRegions\","
      "\"service\"],\"rows\":[[\"r-read\",\"shop.example\",\"/read/\","
      "\"idempotent\",\"1200ms\",\"300ms\",1,null,2,false,false,[\"scl\"],"
      "\"metering\"]]},\"services\":{\"columns\":[\"name\",\"healthPath\","
      "\"maxConns\",\"protocol\",\"tls\",\"warmup\",\"warmupPerS\"],\"rows\":"
      "[[\"metering\",\"/health\",878,\"h1\",false,\"3s\",10.0]]},\"limits\":{"
      "\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
      "\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"},\"tenants\":{"
      "\"columns\":[\"name\",\"keys\",\"priority\",\"ratePerS\",\"burst\","
      "\"homeRegions\"],\"rows\":[[\"sese880\",[\"9anu6wsjnbanfqasnmgk\"],1,"
      "252,252,[%s]]]}}";

static volatile int64_t acknowledged_at;
static volatile int runs[2][SERVERS]; /* before and after the change */
static volatile int broken;

static void
serve (struct st_server *server, struct st_conn *conn, const char *head)
{
  size_t length = 0;
  char id[64];
  char sent[32];
  st_header (head, "Cyclamenhaven-Attempt-Id", id, sizeof id);
  st_header (head, "X-Sent-Ms", sent, sizeof sent);
  st_read_body (conn, head, NULL, 0, &length);
  bool after
      = acknowledged_at != 0 && atoll (sent) > acknowledged_at + APPLY_MS;
  __atomic_add_fetch (&runs[after][server->number], 1, __ATOMIC_RELAXED);
  bool wrong = after || strcmp (server->zone, "scl-a") != 0;
  if (wrong && __atomic_add_fetch (&broken, 1, __ATOMIC_RELAXED) <= 20)
    st_record ("server %s in %s runs %s; the homes are scl%s", server->id,
               server->zone, id,
               after ? " of the route, ant of the tenant" : "");
  st_answer_ok (server, conn, head, "reading\n");
}

static void
send_requests (const char *phase, int count)
{
  char ip[32];
  char headers[256];
  int statuses[600] = { 0 };
  for (int i = 0; i < count; i++)
    {
      snprintf (headers, sizeof headers,
                "Host: shop.example\r\nCyclamenhaven-Attempt-Id: %s-%d\r\n"
                "Cyclamenhaven-Deadline-Ms: 1200\r\n"
                "Api-Key: 9anu6wsjnbanfqasnmgk\r\nX-Sent-Ms: %lld\r\n",
                phase, i, (long long)st_now_ms ());
      int status = st_request (st_ip (21, i % ST_GATES, ip), ST_FRONT_PORT,
                               "GET", "/read/1", headers, NULL, NULL, 0);
      statuses[status % 600]++;
      st_sleep_ms (20);
    }
  for (int i = 0; i < 600; i++)
    if (statuses[i] > 0)
      st_record ("clients, requests %s: %d times %d", phase, statuses[i], i);
}

int
main (int argc, char **argv)
{
  static const char *const ids[SERVERS] = { "i-scl", "i-ant", "i-pmc" };
  static struct st_server servers[SERVERS];
  char text[2048];
  (void)argc;
  st_open (argv[1]);
  snprintf (text, sizeof text, format, "r3", "");
  st_start_all (ST_GATES, text);
  for (int i = 0; i < SERVERS; i++)
    {
      servers[i] = (struct st_server){ .id = ids[i],
                                       .service = "metering",
                                       .zone = st_zones[i],
                                       .number = i,
                                       .serve = serve };
      st_server_start (&servers[i]);
    }
  st_sleep_ms (5000);
  send_requests ("first", 120);
  if (st_has_trouble ())
    {
      snprintf (text, sizeof text, format, "r8", "\"ant\"");
      int status = st_call ("/rpc?call=config.replace", text, NULL, 0, 20000);
      st_record ("operator: config.replace r8, home ant of the tenant -> %d",
                 status);
      /* A refused change is not in force.  */
      if (status == 200)
        acknowledged_at = st_now_ms ();
    }
  st_sleep_ms (APPLY_MS + 500);
  send_requests ("second", 240);
  for (int i = 0; i < SERVERS; i++)
    st_record ("runs at %s: %d, and %d later than %d ms after the "
               "acknowledgement of r8",
               ids[i], runs[0][i], runs[1][i], APPLY_MS);
  if (runs[0][0] < 50)
    st_exit (2);
  st_exit (broken > 0 ? 1 : 0);
}

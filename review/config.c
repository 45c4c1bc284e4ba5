/* Case: a valid configuration without a limit for bodies is acknowledged.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "review/lib/stand.h"

#define APPLY_MS 2500 /* bound `apply` */
#define REQUESTS 200

/* %s: version, service of the route, maxBodyBytes, key of the tenant.  */
static const char format[]
    = "{\"version\":\"%s\",\"routes\":{\"columns\":[\"name\",\"host\","
      "\"prefix\",\"kind\",\"timeout\",\"latencyGoal\",\"priority\","
      "\"backends\",\"maxAttempts\",\"public\",\"sticky\",\"homeRegions\","
      "\"service\"],\"rows\":[[\"r-confirm\",\"shop.example\",\"/confirm/\","
      "\"non_idempotent\",\"1500ms\",\"300ms\",1,null,2,false,false,[],"
      "\"%s\"]]},\"services\":{\"columns\":[\"name\",\"healthPath\","
      "\"maxConns\",\"protocol\",\"tls\",\"warmup\",\"warmupPerS\"],\"rows\":"
      "[[\"billing\",\"/health\",878,\"h1\",false,\"3s\",10.0],[\"ledger\","
      "\"/health\",878,\"h1\",false,\"3s\",10.0]]},\"limits\":{"
      "\"maxHeaderBytes\":16384,\"maxBodyBytes\":%s,"
      "\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"},\"tenants\":{"
      "\"columns\":[\"name\",\"keys\",\"priority\",\"ratePerS\",\"burst\","
      "\"homeRegions\"],\"rows\":[[\"sese880\",[\"%s\"],1,252,252,[]]]}}";

#define OLD_KEY "9anu6wsjnbanfqasnmgk"
#define NEW_KEY "cuyj8pjbvk9m68k7b2ex"

static volatile int64_t judged_at; /* from when only r8 is allowed */
static volatile int runs[2];       /* at the old and the new service */
static volatile int wrong;         /* run by the old service afterwards */

static void
serve (struct st_server *server, struct st_conn *conn, const char *head)
{
  size_t length = 0;
  char id[64];
  char sent[32];
  st_header (head, "Cyclamenhaven-Attempt-Id", id, sizeof id);
  st_header (head, "X-Sent-Ms", sent, sizeof sent);
  st_read_body (conn, head, NULL, 0, &length);
  __atomic_add_fetch (&runs[server->number], 1, __ATOMIC_RELAXED);
  bool is_wrong
      = judged_at != 0 && atoll (sent) > judged_at && server->number == 0;
  if (is_wrong && __atomic_add_fetch (&wrong, 1, __ATOMIC_RELAXED) <= 10)
    st_record ("server %s of %s runs %s, sent %.1f s after `apply` ended",
               server->id, server->service, id,
               (double)(atoll (sent) - judged_at) / 1000);
  st_answer_ok (server, conn, head, "confirmed\n");
}

/* Sends REQUESTS requests with KEY.  Returns how many got 401.  */
static int
send_requests (const char *phase, const char *key)
{
  char ip[32];
  char headers[256];
  int statuses[600] = { 0 };
  for (int i = 0; i < REQUESTS; i++)
    {
      snprintf (headers, sizeof headers,
                "Host: shop.example\r\nCyclamenhaven-Attempt-Id: %s-%d\r\n"
                "Cyclamenhaven-Deadline-Ms: 1500\r\nApi-Key: %s\r\n"
                "X-Sent-Ms: %lld\r\n",
                phase, i, key, (long long)st_now_ms ());
      int status = st_request (st_ip (21, i % ST_GATES, ip), ST_FRONT_PORT,
                               "POST", "/confirm/1", headers, "x", NULL, 0);
      statuses[status % 600]++;
      st_sleep_ms (15);
    }
  for (int i = 0; i < 600; i++)
    if (statuses[i] > 0)
      st_record ("clients, requests %s: %d times %d", phase, statuses[i], i);
  return statuses[401];
}

int
main (int argc, char **argv)
{
  static struct st_server old = {
    .id = "i-billing", .service = "billing", .zone = "scl-a", .serve = serve
  };
  static struct st_server new = { .id = "i-ledger",
                                  .service = "ledger",
                                  .zone = "scl-b",
                                  .number = 1,
                                  .serve = serve };
  char text[2048];
  char held[2048];
  (void)argc;
  st_open (argv[1]);
  snprintf (text, sizeof text, format, "r3", "billing", "67108864", OLD_KEY);
  st_start_all (ST_GATES, text);
  st_server_start (&old);
  st_server_start (&new);
  st_sleep_ms (5000);
  send_requests ("first", OLD_KEY);
  const char *limit = st_has_trouble () ? "9223372036854775807" : "67108864";
  snprintf (text, sizeof text, format, "r8", "ledger", limit, NEW_KEY);
  int status = st_call ("/rpc?call=config.replace", text, NULL, 0, 20000);
  st_record ("operator: config.replace r8, service ledger, another key, "
             "maxBodyBytes %s -> %d",
             limit, status);
  /* Only an acknowledged change has to be in force.  */
  if (status != 200)
    st_exit (2);
  judged_at = st_now_ms () + APPLY_MS;
  st_sleep_ms (APPLY_MS + 1000);
  send_requests ("old-key", OLD_KEY);
  int refused = send_requests ("new-key", NEW_KEY);
  status = st_call ("/rpc?call=config.get", "", held, sizeof held, 20000);
  st_record ("operator: config.get -> %d, %.16s", status, held);
  st_record ("runs: %d at billing, %d at ledger; %d at billing, with the "
             "dropped key, and %d refusals of the new key, later than %d ms "
             "after the acknowledgement of r8",
             runs[0], runs[1], wrong, refused, APPLY_MS);
  if (runs[0] < 50)
    st_exit (2);
  st_exit (wrong > 0 || refused > 0 ? 1 : 0);
}

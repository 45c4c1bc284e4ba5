/* Case: a new configuration removes the last tenant.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "review/lib/stand.h"

#define APPLY_MS 2500 /* bound `apply` */
#define REQUESTS 120

/* %s: version, rows of the tenants.  */
static const char format[]
    = "{\"version\":\"%s\",\"routes\":{\"columns\":[\"name\",\"host\","
      "\"prefix\",\"kind\",\"timeout\",\"latencyGoal\",\"priority\","
      "\"backends\",\"maxAttempts\",\"public\",\"sticky\",\"homeRegions\","
      "\"service\"],\"rows\":[[\"r-confirm\",\"shop.example\",\"/confirm/\","
      "\"non_idempotent\",\"1500ms\",\"300ms\",1,null,2,false,false,[],"
      "\"billing\"]]},\"services\":{\"columns\":[\"name\",\"healthPath\","
      "\"maxConns\",\"protocol\",\"tls\",\"warmup\",\"warmupPerS\"],\"rows\":"
      "[[\"billing\",\"/health\",878,\"h1\",false,\"3s\",10.0]]},\"limits\":{"
      "\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
      "\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"},\"tenants\":{"
      "\"columns\":[\"name\",\"keys\",\"priority\",\"ratePerS\",\"burst\","
      "\"homeRegions\"],\"rows\":[%s]}}";

#define KEY       "9anu6wsjnbanfqasnmgk"
#define OTHER_KEY "cuyj8pjbvk9m68k7b2ex" /* in no configuration */
#define TENANT    "[\"sese880\",[\"" KEY "\"],1,252,252,[]]"

static volatile int run_count;
static volatile int wrong_key;   /* run with a key that was never held */
static volatile int dropped_key; /* run with the key after it was dropped */
static volatile int64_t judged_at;

static void
serve (struct st_server *server, struct st_conn *conn, const char *head)
{
  size_t length = 0;
  char id[64];
  char sent[32];
  char tenant[64];
  st_header (head, "Cyclamenhaven-Attempt-Id", id, sizeof id);
  st_header (head, "X-Sent-Ms", sent, sizeof sent);
  st_header (head, "Cyclamenhaven-Tenant", tenant, sizeof tenant);
  st_read_body (conn, head, NULL, 0, &length);
  __atomic_add_fetch (&run_count, 1, __ATOMIC_RELAXED);
  bool is_wrong = strncmp (id, "unknown", 7) == 0;
  bool is_dropped = !is_wrong && judged_at != 0 && atoll (sent) > judged_at;
  int count = 0;
  if (is_wrong)
    count = __atomic_add_fetch (&wrong_key, 1, __ATOMIC_RELAXED);
  if (is_dropped)
    count = __atomic_add_fetch (&dropped_key, 1, __ATOMIC_RELAXED);
  if (count > 0 && count <= 10)
    st_record ("server %s runs %s, tenant \"%s\": %s", server->id, id, tenant,
               is_wrong ? "no configuration ever held its key"
                        : "its key was dropped");
  st_answer_ok (server, conn, head, "confirmed\n");
}

static void
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
}

int
main (int argc, char **argv)
{
  static struct st_server server = {
    .id = "i-billing", .service = "billing", .zone = "scl-a", .serve = serve
  };
  char text[2048];
  (void)argc;
  st_open (argv[1]);
  snprintf (text, sizeof text, format, "r3", TENANT);
  st_start_all (ST_GATES, text);
  st_server_start (&server);
  st_sleep_ms (5000);
  send_requests ("first", KEY);
  send_requests ("unknown-before", OTHER_KEY);
  if (st_has_trouble ())
    {
      snprintf (text, sizeof text, format, "r8", "");
      int status = st_call ("/rpc?call=config.replace", text, NULL, 0, 20000);
      st_record ("operator: config.replace r8, without the tenant -> %d",
                 status);
      /* A refused change is not in force.  */
      if (status == 200)
        judged_at = st_now_ms () + APPLY_MS;
    }
  st_sleep_ms (APPLY_MS + 500);
  send_requests ("second", KEY);
  send_requests ("unknown-after", OTHER_KEY);
  st_record ("runs: %d; %d with a key that no configuration ever held, %d "
             "with the dropped key, sent later than %d ms after the "
             "acknowledgement of r8",
             run_count, wrong_key, dropped_key, APPLY_MS);
  if (run_count < 50)
    st_exit (2);
  st_exit (wrong_key + dropped_key > 0 ? 1 : 0);
}

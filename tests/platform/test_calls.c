/* Translation of the platform's API: the call that each request is parsed
   into, the field that is named when a request is refused, and random damage
   to bodies, which must not crash the parsers.  */

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "cy_test.h"
#include "platform/cyplat_calls.h"
#include "platform/cyplat_json.h"

#define HEARTBEAT "POST", "/rpc?call=instances.heartbeat&of=i-1"
#define LEAVE     "POST", "/rpc?call=instances.leave&of=i-1"
#define PUT       "POST", "/rpc?call=config.replace"

#define INFO                                                                  \
  "\"info\":{\"service\":\"s\",\"version\":\"v1\",\"zone\":\"z\",\"slots\":"  \
  "6}"
#define STATUS                                                                \
  "\"status\":{\"state\":\"ready\",\"seq\":4,\"warmupLeft\":\"1.5s\"}"
#define VALID_HEARTBEAT                                                       \
  "{\"addr\":\"10.1.0.9:8080\",\"born\":1700000000000," INFO "," STATUS "}"

static const char config[]
    = "{\"version\":\"r7\",\"routes\":{\"columns\":[\"name\",\"host\","
      "\"prefix\",\"kind\",\"timeout\",\"latencyGoal\",\"priority\","
      "\"backends\",\"maxAttempts\",\"public\",\"sticky\",\"homeRegions\","
      "\"service\"],\"rows\":[[\"r-1\",\"a.example\",\"/x/\",\"idempotent\","
      "\"800ms\",\"0.3s\",2,[{\"service\":\"s\",\"weight\":90},{\"service\":"
      "\"t\",\"weight\":10}],2,false,true,[],null],[\"r-2\",\"a.example\","
      "\"/y/\",\"non_idempotent\",\"1000ms\",\"400ms\",1,null,2,false,true,"
      "[\"east\"],\"t\"]]},\"services\":{\"columns\":[\"name\",\"healthPath\","
      "\"maxConns\",\"protocol\",\"tls\",\"warmup\",\"warmupPerS\"],\"rows\":"
      "[[\"s\",\"/health\",813,\"h1\",false,\"3s\",10.0],[\"t\",\"/health\","
      "813,\"h1\",false,\"3s\",10.0]]},\"limits\":{\"maxHeaderBytes\":16384,"
      "\"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\","
      "\"idleTimeout\":\"15000ms\"},\"tenants\":{\"columns\":[\"name\","
      "\"keys\",\"priority\",\"ratePerS\",\"burst\",\"homeRegions\"],\"rows\":"
      "[[\"w\",[\"k1\",\"k2\"],1,252,252,[]]]}}";

/* ------------------------------------------------------------ valid calls */

static cy_result
read_call (const char *method, const char *target, const char *body,
           struct cyc_call *call, struct cyj_error *error)
{
  struct cyc_http_request request = { method, target, body, strlen (body) };
  memset (call, 0, sizeof *call);
  memset (error, 0, sizeof *error);
  return cyplat_call_read (&request, call, error);
}

START_TEST (test_heartbeat)
{
  struct cyc_call call;
  struct cyj_error error;
  ck_assert_int_eq (read_call (HEARTBEAT, VALID_HEARTBEAT, &call, &error),
                    CY_OK);
  ck_assert_int_eq (call.kind, CYC_CALL_ANNOUNCE);
  ck_assert_str_eq (call.instance->id, "i-1");
  ck_assert_str_eq (call.instance->service, "s");
  ck_assert_str_eq (call.instance->zone, "z");
  ck_assert_str_eq (call.instance->host, "10.1.0.9");
  ck_assert_uint_eq (call.instance->port, 8080);
  ck_assert_uint_eq (call.instance->slots, 6);
  ck_assert_uint_eq (call.instance->sequence, 4);
  ck_assert_uint_eq (call.instance->born, 1700000000000);
  ck_assert_uint_eq (call.instance->cold_ms, 1500);
  ck_assert (!call.instance->draining && !call.instance->gone);
  cyc_call_clear (&call);
}
END_TEST

START_TEST (test_leave)
{
  struct cyc_call call;
  struct cyj_error error;
  ck_assert_int_eq (read_call (LEAVE, "{\"born\":5}", &call, &error), CY_OK);
  ck_assert (call.instance->gone);
  ck_assert_uint_eq (call.instance->born, 5);
  cyc_call_clear (&call);
  ck_assert_int_eq (read_call (LEAVE, "", &call, &error), CY_OK);
  ck_assert (call.instance->gone);
  cyc_call_clear (&call);
}
END_TEST

START_TEST (test_config)
{
  struct cyc_call call;
  struct cyj_error error;
  ck_assert_int_eq (read_call (PUT, config, &call, &error), CY_OK);
  const struct cyi_document *document = call.declare.document;
  ck_assert_uint_eq (document->number, 7);
  const struct cyi_route *route
      = cyi_document_find_route (document, "a.example", "/x/1");
  ck_assert_str_eq (route->name, "r-1");
  ck_assert (route->idempotent && route->sticky && !route->open);
  ck_assert_uint_eq (route->timeout_ms, 800);
  ck_assert_uint_eq (route->goal_ms, 300);
  ck_assert_uint_eq (route->rank, 2);
  ck_assert_uint_eq (route->attempts, 2);
  ck_assert_uint_eq (route->backend_count, 2);
  ck_assert_ptr_null (route->home_regions);
  route = cyi_document_find_route (document, "a.example", "/y/");
  ck_assert (!route->idempotent);
  ck_assert_str_eq (route->backends[0].service, "t");
  ck_assert_str_eq (route->home_regions[0], "east");
  const struct cyi_workspace *workspace
      = cyi_document_find_workspace_by_key (document, "k2", 2);
  ck_assert_str_eq (workspace->name, "w");
  ck_assert (workspace->has_rank && workspace->rate == 252);
  ck_assert_uint_eq (document->limits.idle_ms, 15000);
  ck_assert_uint_eq (cyi_document_find_service (document, "s")->cold_ms, 3000);
  cyc_call_clear (&call);
}
END_TEST

#define ROUTE_ROW(name, prefix, timeout, attempts, weight)                    \
  "[\"" name "\",\"a.example\",\"" prefix "\",\"idempotent\",\"" timeout      \
  "\",\"" timeout "\",2,[{\"service\":\"s\",\"weight\":" weight               \
  "}]," attempts ",false,true,[],null]"
#define CONFIG(routes, service, limits, tenant)                               \
  "{\"version\":\"r7\",\"routes\":{\"columns\":[\"name\",\"host\","           \
  "\"prefix\",\"kind\",\"timeout\",\"latencyGoal\",\"priority\","             \
  "\"backends\",\"maxAttempts\",\"public\",\"sticky\",\"homeRegions\","       \
  "\"service\"],\"rows\":[" routes "]},\"services\":{\"columns\":["           \
  "\"name\",\"maxConns\",\"warmup\",\"warmupPerS\"],\"rows\":[" service       \
  "]},\"limits\":{" limits "},\"tenants\":{\"columns\":[\"name\","            \
  "\"keys\",\"priority\",\"ratePerS\",\"burst\"],\"rows\":[" tenant "]}}"
#define ROUTE_1   ROUTE_ROW ("r", "/x/", "800ms", "2", "1")
#define SERVICE_1 "[\"s\",813,\"3s\",10.0]"
#define LIMITS(header, body, time)                                            \
  "\"maxHeaderBytes\":" header ",\"maxBodyBytes\":" body                      \
  ",\"headerTimeout\":\"" time "\",\"idleTimeout\":\"" time "\""
#define LIMITS_1 LIMITS ("16384", "67108864", "3000ms")
#define TENANT_1 "[\"w\",[\"k1\"],1,252,252]"

/* Configurations at the ends of the ranges that the platform's reader
   accepts.  */
static const struct
{
  const char *name;
  const char *text;
  unsigned routes;
  uint64_t body_bytes;
} extremes[] = {
  { "plain", CONFIG (ROUTE_1, SERVICE_1, LIMITS_1, TENANT_1), 1, 67108864 },
  { "the largest body",
    CONFIG (ROUTE_1, SERVICE_1,
            LIMITS ("16384", "9223372036854775807", "3000ms"), TENANT_1),
    1, INT64_MAX },
  { "a body beyond the precision of a double",
    CONFIG (ROUTE_1, SERVICE_1, LIMITS ("16384", "9007199254740993", "3s"),
            TENANT_1),
    1, 9007199254740993 },
  { "no body", CONFIG (ROUTE_1, SERVICE_1, LIMITS ("1", "0", "0ms"), TENANT_1),
    1, 0 },
  { "the largest header",
    CONFIG (ROUTE_1, SERVICE_1, LIMITS ("2147483647", "1", "3s"), TENANT_1), 1,
    1 },
  { "the longest limits",
    CONFIG (ROUTE_1, SERVICE_1, LIMITS ("16384", "1", "1000000s"), TENANT_1),
    1, 1 },
  { "the longest times of a route",
    CONFIG (ROUTE_ROW ("r", "/x/", "1000000s", "2", "1"), SERVICE_1, LIMITS_1,
            TENANT_1),
    1, 67108864 },
  { "the most attempts",
    CONFIG (ROUTE_ROW ("r", "/x/", "9ms", "2147483647", "1"), SERVICE_1,
            LIMITS_1, TENANT_1),
    1, 67108864 },
  { "the largest weight",
    CONFIG (ROUTE_ROW ("r", "/x/", "9ms", "1", "1.7976931348623157e308"),
            SERVICE_1, LIMITS_1, TENANT_1),
    1, 67108864 },
  { "the largest service",
    CONFIG (ROUTE_1, "[\"s\",2147483647,\"1000000s\",2147483647]", LIMITS_1,
            TENANT_1),
    1, 67108864 },
  { "the largest tenant",
    CONFIG (ROUTE_1, SERVICE_1, LIMITS_1,
            "[\"w\",[\"k1\"],2147483647,2147483647,2147483647]"),
    1, 67108864 },
  { "two routes of one name",
    CONFIG (ROUTE_1 "," ROUTE_ROW ("r", "/y/", "9ms", "1", "1") "," ROUTE_ROW (
                "r", "/z/", "9ms", "1", "1"),
            SERVICE_1, LIMITS_1, TENANT_1),
    3, 67108864 },
  { "a route without a name",
    CONFIG (ROUTE_ROW ("", "/x/", "9ms", "1", "1"), SERVICE_1, LIMITS_1,
            TENANT_1),
    1, 67108864 },
};

/* Guards against a configuration that is acknowledged and never in force: what
   is accepted must be read back from the text that the log keeps.  */
START_TEST (test_reads_back)
{
  struct cyc_call call;
  struct cyj_error error = { "", "" };
  struct cyi_document *held = NULL;
  const char *name = extremes[_i].name;
  ck_assert_msg (read_call (PUT, extremes[_i].text, &call, &error) == CY_OK,
                 "%s: refused, %s %s", name, error.path, error.detail);
  char *text = cyi_document_print (call.declare.document);
  cy_result result = cyi_document_read (text, strlen (text), &held, &error);
  ck_assert_msg (result == CY_OK, "%s: not read back, %s %s", name, error.path,
                 error.detail);
  ck_assert_msg (held->routes->len == extremes[_i].routes, "%s: %u routes",
                 name, held->routes->len);
  ck_assert_msg (held->limits.body_bytes == extremes[_i].body_bytes,
                 "%s: body of %lu bytes", name, held->limits.body_bytes);
  char *again = cyi_document_print (held);
  ck_assert_msg (strcmp (text, again) == 0, "%s: %s became %s", name, text,
                 again);
  free (text);
  free (again);
  cyi_document_destroy (held);
  cyc_call_clear (&call);
}
END_TEST

#define TENANTS(rows)                                                         \
  ",\"tenants\":{\"columns\":[\"name\",\"keys\",\"homeRegions\"],"            \
  "\"rows\":[" rows "]}"
#define KEYED(public, tenants)                                                \
  "{\"version\":\"r7\",\"routes\":{\"columns\":[\"name\",\"host\","           \
  "\"prefix\",\"kind\",\"timeout\",\"public\",\"service\"],\"rows\":[["       \
  "\"r\",\"a.example\",\"/x/\",\"idempotent\",\"9ms\"," public ",\"s\"]]},"   \
                                                               "\"services\"" \
                                                               ":{"           \
                                                               "\"columns\":" \
                                                               "[\"name\"],"  \
                                                               "\"rows\":[["  \
                                                               "\"s\"]]"      \
                                                               "}" tenants    \
                                                               "}"

/* What an empty list, a missing field and null mean for the keys of callers.
 */
static const struct
{
  const char *name;
  const char *text;
  bool needs_key;
  bool has_key; /* key "k1" is valid */
} keyed[] = {
  { "no table of tenants", KEYED ("false", ""), false, false },
  { "null in place of the table", KEYED ("false", ",\"tenants\":null"), false,
    false },
  { "a table without rows", KEYED ("false", TENANTS ("")), true, false },
  { "a table without columns and rows",
    KEYED ("false", ",\"tenants\":{\"columns\":[],\"rows\":[]}"), true,
    false },
  { "a tenant with a key", KEYED ("false", TENANTS ("[\"w\",[\"k1\"],[]]")),
    true, true },
  { "a tenant with an empty list of keys",
    KEYED ("false", TENANTS ("[\"w\",[],[]]")), true, false },
  { "a tenant with null for keys",
    KEYED ("false", TENANTS ("[\"w\",null,null]")), true, false },
  { "a public route, a table without rows", KEYED ("true", TENANTS ("")),
    false, false },
  { "public is null, a table without rows", KEYED ("null", TENANTS ("")), true,
    false },
};

/* Guards against routes that let every key in once the last tenant is removed:
   what the reader decides, and what is decided after the text was stored and
   read again, must agree.  */
START_TEST (test_keyed)
{
  struct cyc_call call;
  struct cyj_error error = { "", "" };
  struct cyi_document *held = NULL;
  const char *name = keyed[_i].name;
  ck_assert_msg (read_call (PUT, keyed[_i].text, &call, &error) == CY_OK,
                 "%s: refused, %s %s", name, error.path, error.detail);
  char *text = cyi_document_print (call.declare.document);
  ck_assert_int_eq (cyi_document_read (text, strlen (text), &held, &error),
                    CY_OK);
  const struct cyi_document *documents[] = { call.declare.document, held };
  for (size_t i = 0; i < G_N_ELEMENTS (documents); i++)
    {
      const struct cyi_route *route
          = cyi_document_find_route (documents[i], "a.example", "/x/1");
      bool has_key
          = cyi_document_find_workspace_by_key (documents[i], "k1", 2) != NULL;
      ck_assert_msg (route->open == !keyed[_i].needs_key, "%s: open is %d",
                     name, route->open);
      ck_assert_msg (has_key == keyed[_i].has_key, "%s: key is known: %d",
                     name, has_key);
    }
  free (text);
  cyi_document_destroy (held);
  cyc_call_clear (&call);
}
END_TEST

static const struct
{
  const char *method;
  const char *target;
  enum cyc_call_kind kind;
  const char *zone;
} simple_calls[] = {
  { "POST", "/rpc?call=config.get", CYC_CALL_READ, NULL },
  { "POST", "/rpc?call=evacuations.start&of=z-a", CYC_CALL_DRAIN, "z-a" },
  { "POST", "/rpc?call=evacuations.finish&of=z%2Da", CYC_CALL_UNDRAIN, "z-a" },
  { "GET", "/resolve?name=h&region=r&zone=z-a", CYC_CALL_RESOLVE, NULL },
};

START_TEST (test_simple_calls)
{
  struct cyc_call call;
  struct cyj_error error;
  ck_assert_int_eq (read_call (simple_calls[_i].method,
                               simple_calls[_i].target, "", &call, &error),
                    CY_OK);
  ck_assert_int_eq (call.kind, simple_calls[_i].kind);
  if (simple_calls[_i].zone != NULL)
    ck_assert_str_eq (call.zone, simple_calls[_i].zone);
  cyc_call_clear (&call);
}
END_TEST

START_TEST (test_answers)
{
  Cy__EntryVm entry = CY__ENTRY_VM__INIT;
  entry.host = (char *)"10.1.0.8";
  entry.port = 8206;
  const Cy__EntryVm *entries[] = { &entry };
  char *text = cyplat_call_write (CYC_CALL_RESOLVE, NULL, entries, 1);
  ck_assert_str_eq (text, "{\"addrs\":[\"10.1.0.8:8206\"],\"ttl\":"
                          "\"2000ms\"}");
  free (text);
  Cy__Document document = CY__DOCUMENT__INIT;
  document.source.data = (uint8_t *)config;
  document.source.len = strlen (config);
  text = cyplat_call_write (CYC_CALL_READ, &document, NULL, 0);
  ck_assert_str_eq (text, config);
  free (text);
}
END_TEST

/* ---------------------------------------------------------- invalid calls */

static const struct
{
  const char *method;
  const char *target;
  const char *body;
  cy_result result;
  const char *path;
} refused[] = {
  { HEARTBEAT, "", CY_E_DECL_FIELD, "" },
  { HEARTBEAT, "[1]", CY_E_DECL_FIELD, "" },
  { HEARTBEAT, "{" INFO "," STATUS ",\"born\":1}", CY_E_DECL_FIELD, "addr" },
  { HEARTBEAT, "{\"addr\":7," INFO "," STATUS ",\"born\":1}", CY_E_DECL_FIELD,
    "addr" },
  { HEARTBEAT, "{\"addr\":\"host:1\"," INFO "," STATUS ",\"born\":1}",
    CY_E_DECL_FIELD, "addr" },
  { HEARTBEAT, "{\"addr\":\"10.0.0.1:99999\"," INFO "," STATUS ",\"born\":1}",
    CY_E_DECL_FIELD, "addr" },
  { HEARTBEAT, "{\"addr\":\"10.0.0.1:1\"," STATUS ",\"born\":1}",
    CY_E_DECL_FIELD, "service" },
  { HEARTBEAT, "{\"addr\":\"10.0.0.1:1\"," INFO ",\"born\":1}",
    CY_E_DECL_FIELD, "status.state" },
  { HEARTBEAT,
    "{\"addr\":\"10.0.0.1:1\"," INFO ",\"status\":{\"state\":\"odd\",\"seq\":"
    "1,\"warmupLeft\":\"0ms\"},\"born\":1}",
    CY_E_DECL_FIELD, "status.state" },
  { HEARTBEAT,
    "{\"addr\":\"10.0.0.1:1\"," INFO ",\"status\":{\"state\":\"ready\","
    "\"seq\":\"1\",\"warmupLeft\":\"0ms\"},\"born\":1}",
    CY_E_DECL_FIELD, "seq" },
  { HEARTBEAT,
    "{\"addr\":\"10.0.0.1:1\"," INFO ",\"status\":{\"state\":\"ready\","
    "\"seq\":1,\"warmupLeft\":5},\"born\":1}",
    CY_E_DECL_FIELD, "warmupLeft" },
  { HEARTBEAT, "{\"addr\":\"10.0.0.1:1\"," INFO "," STATUS "}",
    CY_E_DECL_FIELD, "born" },
  { HEARTBEAT, "{\"addr\":\"10.0.0.1:1\"," INFO "," STATUS ",\"born\":1.5}",
    CY_E_DECL_FIELD, "born" },
  { "POST", "/rpc?call=instances.heartbeat", VALID_HEARTBEAT, CY_E_DECL_FIELD,
    "of" },
  { PUT, "", CY_E_DECL_SYNTAX, "" },
  { PUT, "{\"version\":\"r7\"", CY_E_DECL_SYNTAX, "" },
  { PUT, "{\"version\":7}", CY_E_DECL_FIELD, "version" },
  { PUT, "{\"version\":\"r\"}", CY_E_DECL_FIELD, "version" },
  { PUT, "{\"version\":\"r7\"}", CY_E_DECL_FIELD, "routes" },
  { PUT,
    "{\"version\":\"r7\",\"services\":{\"columns\":[\"name\"],\"rows\":[[1,"
    "2]]},\"routes\":{\"columns\":[],\"rows\":[]}}",
    CY_E_DECL_FIELD, "services" },
  { PUT,
    "{\"version\":\"r7\",\"services\":{\"columns\":[\"name\"],\"rows\":[[1]"
    "]},\"routes\":{\"columns\":[],\"rows\":[]}}",
    CY_E_DECL_FIELD, "services.0.name" },
  { "POST", "/rpc?call=nothing", "", CY_E_NOT_FOUND, "" },
  { "POST", "/rpc", "", CY_E_NOT_FOUND, "" },
  { "GET", "/rpc?call=config.get", "", CY_E_UNSUPPORTED, "" },
  { "GET", "/elsewhere", "", CY_E_NOT_FOUND, "" },
  { "POST", "/rpc?call=evacuations.start", "", CY_E_DECL_FIELD, "of" },
};

START_TEST (test_refused)
{
  struct cyc_call call;
  struct cyj_error error;
  ck_assert_int_eq (read_call (refused[_i].method, refused[_i].target,
                               refused[_i].body, &call, &error),
                    refused[_i].result);
  ck_assert_str_eq (error.path, refused[_i].path);
}
END_TEST

static const struct
{
  const char *text;
  bool valid;
  double ms;
} times[] = {
  { "1500ms", true, 1500 }, { "2.5s", true, 2500 }, { "0ms", true, 0 },
  { "5", false, 0 },        { "-1ms", false, 0 },   { "ms", false, 0 },
  { "", false, 0 },         { "1m", false, 0 },     { "1e99s", false, 0 },
  { "nan ms", false, 0 },
};

START_TEST (test_times)
{
  double ms = 0;
  ck_assert_int_eq (cyplat_duration (times[_i].text, &ms), times[_i].valid);
  if (times[_i].valid)
    ck_assert (ms == times[_i].ms);
}
END_TEST

/* --------------------------------------------------------- damaged bodies */

/* Returns a copy of TEXT with some bytes changed, or truncated.  */
static char *
mutate (const char *text, const struct cy_random *random)
{
  char *copy = g_strdup (text);
  size_t length = strlen (copy);
  unsigned changes = 1 + (unsigned)cy_random_below (random, 4);
  for (unsigned i = 0; i < changes && length > 0; i++)
    {
      size_t position = cy_random_below (random, length);
      switch (cy_random_below (random, 3))
        {
        case 0:
          copy[position] = (char)(1 + cy_random_below (random, 255));
          break;
        case 1:
          copy[position] = "{}[]\",:0-.e"[cy_random_below (random, 11)];
          break;
        default:
          copy[position] = '\0';
          length = position;
          break;
        }
    }
  return copy;
}

START_TEST (test_damaged_bodies)
{
  uint64_t seed = 4000 + (uint64_t)_i;
  struct cy_random random = cy_seeded_random (&seed);
  for (int round = 0; round < 2000; round++)
    {
      struct cyc_call call;
      struct cyj_error error;
      bool is_heartbeat = round % 2 == 0;
      char *body = mutate (is_heartbeat ? VALID_HEARTBEAT : config, &random);
      cy_result result = is_heartbeat
                             ? read_call (HEARTBEAT, body, &call, &error)
                             : read_call (PUT, body, &call, &error);
      if (result == CY_OK)
        cyc_call_clear (&call);
      g_free (body);
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("platform_calls");
  TCase *all = tcase_create ("all");
  tcase_set_timeout (all, 60);
  tcase_add_test (all, test_heartbeat);
  tcase_add_test (all, test_leave);
  tcase_add_test (all, test_config);
  tcase_add_loop_test (all, test_reads_back, 0, G_N_ELEMENTS (extremes));
  tcase_add_loop_test (all, test_keyed, 0, G_N_ELEMENTS (keyed));
  tcase_add_loop_test (all, test_simple_calls, 0, G_N_ELEMENTS (simple_calls));
  tcase_add_test (all, test_answers);
  tcase_add_loop_test (all, test_refused, 0, G_N_ELEMENTS (refused));
  tcase_add_loop_test (all, test_times, 0, G_N_ELEMENTS (times));
  tcase_add_loop_test (all, test_damaged_bodies, 0, 10);
  suite_add_tcase (suite, all);
  return cy_test_run (suite);
}

/* Test fixture: a complete entry VM in the test's process with a fake agent.
   The test sets the declared state, the register of backend servers, the age
   of the state and the quota's decisions.  Include this in one file of a
   program only: it defines the functions of cye_agent.h.  */

#ifndef PATH_WORLD_H
#define PATH_WORLD_H

#include <curl/curl.h>
#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>

#include "base/cy_system.h"
#include "cy_test.h"
#include "entry/cye_agent.h"
#include "entry/cye_entry.h"
#include "http/cyh_client.h"

#define FIXTURE_KEY       "cyk_k1_0123456789abcdef"
#define FIXTURE_WITHDRAWN "cyk_k2_0123456789abcdef"
#define FIXTURE_EXPIRED   "cyk_k3_0123456789abcdef"
#define FIXTURE_LEASE_MS  10000
#ifndef FIXTURE_BODY_MAX
#define FIXTURE_BODY_MAX 200000 /* bytes of a request body */
#endif

struct fixture
{
  struct cyn_loop *loop;
  pthread_t thread;
  struct cyn_identity identity;
  struct cye_entry *entry;
  uint16_t port;
  struct cys_state *state;
  struct cyt_soft_state *soft;
  struct cye_agent_events events;
  _Atomic int64_t age;  /* ns since the state was confirmed */
  atomic_int admission; /* an enum cye_admission, or -1: waits, then refuses */
  atomic_int admits;    /* calls of cye_agent_admit */
  atomic_int wait_ms;   /* delay of the answer to an admission that waits */
  atomic_int waited;    /* admissions that waited and were answered */
  atomic_bool grants;   /* credit requests are granted */
  atomic_bool seen;     /* the entry VM has received its first view */
};

static struct fixture fixture;

/* ------------------------------------------------------------ agent */

static void
fixture_push_view (void *context)
{
  (void)context;
  fixture.events.on_view (fixture.state, fixture.soft, fixture.events.context);
  atomic_store (&fixture.seen, true);
}

struct cye_agent *
cye_agent_create (const struct cye_agent_options *options)
{
  fixture.events = options->events;
  cyn_loop_post (options->loop, fixture_push_view, NULL);
  return (struct cye_agent *)&fixture;
}

void
cye_agent_destroy (struct cye_agent *agent)
{
  (void)agent;
}

cy_time_ns
cye_agent_confirmation_age (const struct cye_agent *agent)
{
  (void)agent;
  return atomic_load (&fixture.age);
}

struct admission_wait
{
  cye_admitted_fn admitted;
  void *context;
  cy_result result;
  struct cyn_timer *timer;
};

static void
fixture_end_wait (void *context)
{
  struct admission_wait *wait = context;
  wait->admitted (wait->result, wait->context);
  atomic_fetch_add (&fixture.waited, 1);
  cyn_timer_destroy (wait->timer);
  g_free (wait);
}

static void
fixture_start_wait (void *context)
{
  struct admission_wait *wait = context;
  wait->timer = cyn_timer_create (fixture.loop, fixture_end_wait, wait);
  cyn_timer_start (wait->timer, atomic_load (&fixture.wait_ms));
}

enum cye_admission
cye_agent_admit (struct cye_agent *agent, const char *workspace,
                 cy_time_ns deadline, cye_admitted_fn admitted, void *context)
{
  (void)agent;
  (void)workspace;
  (void)deadline;
  int admission = atomic_load (&fixture.admission);
  atomic_fetch_add (&fixture.admits, 1);
  if (admission != CYE_WAITING && admission >= 0)
    return (enum cye_admission)admission;
  struct admission_wait *wait = g_new0 (struct admission_wait, 1);
  wait->admitted = admitted;
  wait->context = context;
  wait->result = admission < 0 ? CY_E_RATE_EXCEEDED : CY_OK;
  cyn_loop_post (fixture.loop, fixture_start_wait, wait);
  return CYE_WAITING;
}

uint32_t
cye_agent_retry_after_ms (struct cye_agent *agent, const char *workspace)
{
  (void)agent;
  (void)workspace;
  return 1500;
}

static void
fixture_put_object (void *context)
{
  Cy__Object *object = context;
  cyt_soft_state_put (fixture.soft, object, 0);
  cy__object__free_unpacked (object, NULL);
  fixture_push_view (NULL);
}

void
cye_agent_report (struct cye_agent *agent, const Cy__Object *object)
{
  (void)agent;
  size_t length = cy__object__get_packed_size (object);
  uint8_t *bytes = g_malloc (length);
  cy__object__pack (object, bytes);
  cyn_loop_post (fixture.loop, fixture_put_object,
                 cy__object__unpack (NULL, length, bytes));
  g_free (bytes);
}

static void
fixture_deliver_grant (void *context)
{
  Cy__Envelope *envelope = context;
  fixture.events.on_message (envelope, fixture.events.context);
  cy__envelope__free_unpacked (envelope, NULL);
}

cy_result
cye_agent_send (struct cye_agent *agent, const Cy__Envelope *message)
{
  (void)agent;
  if (!atomic_load (&fixture.grants))
    return CY_OK;
  Cy__SlotAnswer answer = CY__SLOT_ANSWER__INIT;
  Cy__Envelope envelope = CY__ENVELOPE__INIT;
  answer.items = message->slot_ask->items;
  answer.n_items = message->slot_ask->n_items;
  for (size_t i = 0; i < answer.n_items; i++)
    {
      answer.items[i]->granted = 4;
      answer.items[i]->lease_ms = FIXTURE_LEASE_MS;
    }
  envelope.request = message->request;
  envelope.body_case = CY__ENVELOPE__BODY_SLOT_ANSWER;
  envelope.slot_answer = &answer;
  size_t length = cy__envelope__get_packed_size (&envelope);
  uint8_t *bytes = g_malloc (length);
  cy__envelope__pack (&envelope, bytes);
  cyn_loop_post (fixture.loop, fixture_deliver_grant,
                 cy__envelope__unpack (NULL, length, bytes));
  g_free (bytes);
  return CY_OK;
}

/* ------------------------------------------------------------ state */

static void
fixture_apply (Cy__Object **objects, size_t count)
{
  static int number;
  char id[32];
  Cy__Change change = CY__CHANGE__INIT;
  g_snprintf (id, sizeof id, "change-%d", ++number);
  change.request_id = id;
  change.who = (char *)"test";
  change.action = (char *)"submit";
  change.objects = objects;
  change.n_objects = count;
  const Cy__ChangeResult *result = cys_state_apply (fixture.state, &change);
  ck_assert_int_eq (result->result, CY_OK);
}

static void
fixture_put_key (const char *id, const char *text, bool withdrawn,
                 int64_t expires)
{
  uint8_t digest[32];
  gsize size = sizeof digest;
  GChecksum *sum = g_checksum_new (G_CHECKSUM_SHA256);
  g_checksum_update (sum, (const guchar *)text, -1);
  g_checksum_get_digest (sum, digest, &size);
  g_checksum_free (sum);
  Cy__Key key = CY__KEY__INIT;
  Cy__Object object = CY__OBJECT__INIT;
  char name[64];
  g_snprintf (name, sizeof name, "key/%s", id);
  key.id = (char *)id;
  key.workspace = (char *)"w1";
  key.digest.data = digest;
  key.digest.len = size;
  key.withdrawn = withdrawn;
  key.expires_unix_ms = expires;
  object.key = name;
  object.body_case = CY__OBJECT__BODY_ACCESS_KEY;
  object.access_key = &key;
  Cy__Object *objects[] = { &object };
  fixture_apply (objects, 1);
}

/* Declares service "billing" with route /, which needs a key, the open route
   /open and the route /safe, where POST is idempotent, and workspace w1 with
   its keys.  */
static void
fixture_declare (bool serve_cut_off)
{
  Cy__Route root = CY__ROUTE__INIT;
  Cy__Route open = CY__ROUTE__INIT;
  Cy__Route safe = CY__ROUTE__INIT;
  Cy__Route *routes[] = { &root, &open, &safe };
  Cy__Service service = CY__SERVICE__INIT;
  Cy__Workspace workspace = CY__WORKSPACE__INIT;
  Cy__Object service_object = CY__OBJECT__INIT;
  Cy__Object workspace_object = CY__OBJECT__INIT;
  Cy__Object *objects[] = { &service_object, &workspace_object };
  root.prefix = (char *)"/";
  open.prefix = (char *)"/open";
  open.open = true;
  safe.prefix = (char *)"/safe";
  safe.idempotent_post = true;
  service.name = (char *)"billing";
  service.routes = routes;
  service.n_routes = G_N_ELEMENTS (routes);
  service.timeout_ms = 3000;
  service.max_body_bytes = FIXTURE_BODY_MAX;
  workspace.name = (char *)"w1";
  workspace.rate = 1000;
  workspace.burst = 1000;
  workspace.serve_cut_off = serve_cut_off;
  workspace.cut_off_max_ms = 20000;
  service_object.key = (char *)"service/billing";
  service_object.body_case = CY__OBJECT__BODY_SERVICE;
  service_object.service = &service;
  workspace_object.key = (char *)"workspace/w1";
  workspace_object.body_case = CY__OBJECT__BODY_WORKSPACE;
  workspace_object.workspace = &workspace;
  fixture_apply (objects, G_N_ELEMENTS (objects));
  fixture_put_key ("k1", FIXTURE_KEY, false, 0);
  fixture_put_key ("k2", FIXTURE_WITHDRAWN, true, 0);
  fixture_put_key ("k3", FIXTURE_EXPIRED, false, 1);
}

/* Adds a backend server to the register, before or after fixture_start.  */
static inline void
fixture_add_backend (const char *instance, uint16_t port, bool draining)
{
  Cy__BackendStatus status = CY__BACKEND_STATUS__INIT;
  Cy__Object object = CY__OBJECT__INIT;
  char key[64];
  g_snprintf (key, sizeof key, "backend/billing/%s", instance);
  status.service = (char *)"billing";
  status.instance = (char *)instance;
  status.zone = (char *)"z1";
  status.host = (char *)"127.0.0.1";
  status.port = port;
  status.slots = 4;
  status.connections = 900;
  status.warm_ms = 60000;
  status.draining = draining;
  object.key = key;
  object.body_case = CY__OBJECT__BODY_BACKEND;
  object.backend = &status;
  if (fixture.entry == NULL)
    cyt_soft_state_put (fixture.soft, &object, 0);
  else
    cye_agent_report (NULL, &object);
}

static void
fixture_on_ready (void *context)
{
  (void)context;
}

static void *
fixture_run_loop (void *context)
{
  (void)context;
  cyn_loop_run (fixture.loop);
  return NULL;
}

static void
fixture_prepare (bool serve_cut_off)
{
  cyh_client_global ();
  memset (&fixture, 0, sizeof fixture);
  fixture.state = cys_state_create ();
  fixture.soft = cyt_soft_state_create (1);
  fixture.grants = true;
  fixture_declare (serve_cut_off);
}

/* Starts the entry VM and waits until it has received its view.  */
static void
fixture_start (void)
{
  fixture.loop = cyn_loop_create (cy_system_clock ());
  fixture.identity
      = (struct cyn_identity){ "c1", "0123456789abcdef", "entry", "vm1", "z1",
                               1 };
  struct cye_entry_options options = { .loop = fixture.loop,
                                       .identity = &fixture.identity,
                                       .region = "r1",
                                       .host = "127.0.0.1",
                                       .zones = "127.0.0.1:1",
                                       .workers = 1,
                                       .on_ready = fixture_on_ready };
  ck_assert_int_eq (cye_entry_create (&options, &fixture.entry), CY_OK);
  fixture.port = cye_entry_port (fixture.entry);
  ck_assert_int_eq (
      pthread_create (&fixture.thread, NULL, fixture_run_loop, NULL), 0);
  while (!atomic_load (&fixture.seen))
    sched_yield ();
}

static void
fixture_stop (void)
{
  cyn_loop_stop (fixture.loop);
  pthread_join (fixture.thread, NULL);
  cye_entry_destroy (fixture.entry);
  cyn_loop_destroy (fixture.loop);
  cyt_soft_state_destroy (fixture.soft);
  cys_state_destroy (fixture.state);
}

/* ------------------------------------------------------------ callers */

struct reply
{
  CURLcode code;
  long status;
  char outcome[16];
  GString *head;
  GString *body;
};

static size_t
reply_add (char *bytes, size_t size, size_t count, void *context)
{
  g_string_append_len (context, bytes, (gssize)(size * count));
  return size * count;
}

static size_t
reply_header (char *line, size_t size, size_t count, void *context)
{
  struct reply *reply = context;
  g_string_append_len (reply->head, line, (gssize)(size * count));
  if (strncasecmp (line, "Cy-Outcome: ", 12) == 0)
    {
      g_snprintf (reply->outcome, sizeof reply->outcome, "%.*s",
                  (int)(size * count - 14), line + 12);
    }
  return size * count;
}

/* Sends a request with METHOD to PATH of "billing".  EASY keeps its connection
   between calls.  KEY, BODY and EXTRA_HEADER may be NULL.  The caller frees
   the reply with reply_clear.  */
static inline struct reply
send_request (CURL *easy, const char *method, const char *path,
              const char *key, const char *body, const char *extra_header)
{
  struct reply reply = { 0 };
  char url[256];
  char line[128];
  struct curl_slist *headers = NULL;
  reply.head = g_string_new (NULL);
  reply.body = g_string_new (NULL);
  curl_easy_reset (easy);
  g_snprintf (url, sizeof url, "http://127.0.0.1:%u/s/billing%s", fixture.port,
              path);
  g_snprintf (line, sizeof line, "Authorization: Bearer %s",
              key == NULL ? "" : key);
  if (key != NULL)
    headers = curl_slist_append (headers, line);
  if (extra_header != NULL)
    headers = curl_slist_append (headers, extra_header);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, method);
  if (strcmp (method, "HEAD") == 0)
    curl_easy_setopt (easy, CURLOPT_NOBODY, 1L);
  if (body != NULL)
    curl_easy_setopt (easy, CURLOPT_POSTFIELDS, body);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, reply_add);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, reply.body);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, reply_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, &reply);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, 20000L);
  reply.code = curl_easy_perform (easy);
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &reply.status);
  curl_slist_free_all (headers);
  return reply;
}

static inline void
reply_clear (struct reply *reply)
{
  g_string_free (reply->head, TRUE);
  g_string_free (reply->body, TRUE);
}

static inline bool
reply_has_code (const struct reply *reply, cy_result code)
{
  char text[32];
  g_snprintf (text, sizeof text, "\"code\":%d,", (int)code);
  return strstr (reply->body->str, text) != NULL;
}

#endif /* PATH_WORLD_H */

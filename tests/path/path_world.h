/* A whole entry VM in the test's process, with a stand-in for the agent: the
   test gives the declared state, the register of backend servers, the age of
   the state and the quota's verdict.  Include in one file of a program only:
   it defines the functions of cye_agent.h.  */

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

#define WORLD_KEY       "cyk_k1_0123456789abcdef"
#define WORLD_WITHDRAWN "cyk_k2_0123456789abcdef"
#define WORLD_EXPIRED   "cyk_k3_0123456789abcdef"
#define WORLD_LEASE_MS  10000

struct world
{
  struct cyn_loop *loop;
  pthread_t thread;
  struct cyn_identity identity;
  struct cye_entry *entry;
  uint16_t port;
  struct cys_state *state;
  struct cyt_soft_state *soft;
  struct cye_agent_events events;
  _Atomic int64_t age;
  atomic_int admission; /* an enum cye_admission, or -1: waits, then refuses */
  atomic_int admits;
  atomic_int wait_ms; /* that an admission waits, if it does */
  atomic_int waited;  /* admissions that waited and were answered */
  atomic_bool grants;
  atomic_bool seen;
};

static struct world world;

/* ------------------------------------------------------------ the agent */

static void
world_view (void *context)
{
  (void)context;
  world.events.on_view (world.state, world.soft, world.events.context);
  atomic_store (&world.seen, true);
}

struct cye_agent *
cye_agent_create (const struct cye_agent_options *options)
{
  world.events = options->events;
  cyn_loop_post (options->loop, world_view, NULL);
  return (struct cye_agent *)&world;
}

void
cye_agent_destroy (struct cye_agent *agent)
{
  (void)agent;
}

cy_time_ns
cye_agent_age (const struct cye_agent *agent)
{
  (void)agent;
  return atomic_load (&world.age);
}

struct world_wait
{
  cye_admitted_fn admitted;
  void *context;
  cy_result result;
  struct cyn_timer *timer;
};

static void
world_admitted (void *context)
{
  struct world_wait *wait = context;
  wait->admitted (wait->result, wait->context);
  atomic_fetch_add (&world.waited, 1);
  cyn_timer_destroy (wait->timer);
  g_free (wait);
}

static void
world_wait (void *context)
{
  struct world_wait *wait = context;
  wait->timer = cyn_timer_create (world.loop, world_admitted, wait);
  cyn_timer_start (wait->timer, atomic_load (&world.wait_ms));
}

enum cye_admission
cye_agent_admit (struct cye_agent *agent, const char *workspace,
                 cy_time_ns deadline, cye_admitted_fn admitted, void *context)
{
  (void)agent;
  (void)workspace;
  (void)deadline;
  int admission = atomic_load (&world.admission);
  atomic_fetch_add (&world.admits, 1);
  if (admission != CYE_WAITING && admission >= 0)
    return (enum cye_admission)admission;
  struct world_wait *wait = g_new0 (struct world_wait, 1);
  wait->admitted = admitted;
  wait->context = context;
  wait->result = admission < 0 ? CY_E_RATE_EXCEEDED : CY_OK;
  cyn_loop_post (world.loop, world_wait, wait);
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
world_put (void *context)
{
  Cy__Object *object = context;
  cyt_soft_state_put (world.soft, object, 0);
  cy__object__free_unpacked (object, NULL);
  world_view (NULL);
}

void
cye_agent_report (struct cye_agent *agent, const Cy__Object *object)
{
  (void)agent;
  size_t length = cy__object__get_packed_size (object);
  uint8_t *bytes = g_malloc (length);
  cy__object__pack (object, bytes);
  cyn_loop_post (world.loop, world_put,
                 cy__object__unpack (NULL, length, bytes));
  g_free (bytes);
}

static void
world_grant (void *context)
{
  Cy__Envelope *envelope = context;
  world.events.on_message (envelope, world.events.context);
  cy__envelope__free_unpacked (envelope, NULL);
}

cy_result
cye_agent_send (struct cye_agent *agent, const Cy__Envelope *message)
{
  (void)agent;
  if (!atomic_load (&world.grants))
    return CY_OK;
  Cy__SlotAnswer answer = CY__SLOT_ANSWER__INIT;
  Cy__Envelope envelope = CY__ENVELOPE__INIT;
  answer.items = message->slot_ask->items;
  answer.n_items = message->slot_ask->n_items;
  for (size_t i = 0; i < answer.n_items; i++)
    {
      answer.items[i]->granted = 4;
      answer.items[i]->lease_ms = WORLD_LEASE_MS;
    }
  envelope.request = message->request;
  envelope.body_case = CY__ENVELOPE__BODY_SLOT_ANSWER;
  envelope.slot_answer = &answer;
  size_t length = cy__envelope__get_packed_size (&envelope);
  uint8_t *bytes = g_malloc (length);
  cy__envelope__pack (&envelope, bytes);
  cyn_loop_post (world.loop, world_grant,
                 cy__envelope__unpack (NULL, length, bytes));
  g_free (bytes);
  return CY_OK;
}

/* ------------------------------------------------------------ the state */

static void
world_apply (Cy__Object **objects, size_t count)
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
  const Cy__ChangeResult *result = cys_state_apply (world.state, &change);
  ck_assert_int_eq (result->result, CY_OK);
}

static void
world_put_key (const char *id, const char *text, bool withdrawn,
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
  world_apply (objects, 1);
}

/* Service "billing" with the keyed route /, the open route /open and the
   route /safe, where POST is idempotent; workspace w1 with its keys.  */
static void
world_declare (bool serve_cut_off)
{
  Cy__Route whole = CY__ROUTE__INIT;
  Cy__Route open = CY__ROUTE__INIT;
  Cy__Route safe = CY__ROUTE__INIT;
  Cy__Route *routes[] = { &whole, &open, &safe };
  Cy__Service service = CY__SERVICE__INIT;
  Cy__Workspace workspace = CY__WORKSPACE__INIT;
  Cy__Object service_object = CY__OBJECT__INIT;
  Cy__Object workspace_object = CY__OBJECT__INIT;
  Cy__Object *objects[] = { &service_object, &workspace_object };
  whole.prefix = (char *)"/";
  open.prefix = (char *)"/open";
  open.open = true;
  safe.prefix = (char *)"/safe";
  safe.idempotent_post = true;
  service.name = (char *)"billing";
  service.routes = routes;
  service.n_routes = G_N_ELEMENTS (routes);
  service.timeout_ms = 3000;
  service.max_body_bytes = 200000;
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
  world_apply (objects, G_N_ELEMENTS (objects));
  world_put_key ("k1", WORLD_KEY, false, 0);
  world_put_key ("k2", WORLD_WITHDRAWN, true, 0);
  world_put_key ("k3", WORLD_EXPIRED, false, 1);
}

/* Puts a backend server into the register; before or after the start.  */
static inline void
world_backend (const char *instance, uint16_t port, bool draining)
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
  if (world.entry == NULL)
    cyt_soft_state_put (world.soft, &object, 0);
  else
    cye_agent_report (NULL, &object);
}

static void
world_nothing (void *context)
{
  (void)context;
}

static void *
world_run (void *context)
{
  (void)context;
  cyn_loop_run (world.loop);
  return NULL;
}

static void
world_prepare (bool serve_cut_off)
{
  cyh_client_global ();
  memset (&world, 0, sizeof world);
  world.state = cys_state_create ();
  world.soft = cyt_soft_state_create (1);
  world.grants = true;
  world_declare (serve_cut_off);
}

/* Starts the entry VM; returns when it has its view and its credits.  */
static void
world_start (void)
{
  world.loop = cyn_loop_create (cy_system_clock ());
  world.identity
      = (struct cyn_identity){ "c1", "0123456789abcdef", "entry", "vm1", "z1",
                               1 };
  struct cye_entry_options options = { .loop = world.loop,
                                       .identity = &world.identity,
                                       .region = "r1",
                                       .host = "127.0.0.1",
                                       .zones = "127.0.0.1:1",
                                       .workers = 1,
                                       .on_ready = world_nothing };
  ck_assert_int_eq (cye_entry_create (&options, &world.entry), CY_OK);
  world.port = cye_entry_port (world.entry);
  ck_assert_int_eq (pthread_create (&world.thread, NULL, world_run, NULL), 0);
  while (!atomic_load (&world.seen))
    sched_yield ();
}

static void
world_stop (void)
{
  cyn_loop_stop (world.loop);
  pthread_join (world.thread, NULL);
  cye_entry_destroy (world.entry);
  cyn_loop_destroy (world.loop);
  cyt_soft_state_destroy (world.soft);
  cys_state_destroy (world.state);
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

/* Sends METHOD on PATH with EASY (kept connection) and the key KEY, which may
   be NULL.  BODY may be NULL.  The caller frees with reply_clear.  */
static inline struct reply
ask (CURL *easy, const char *method, const char *path, const char *key,
     const char *body, const char *extra_header)
{
  struct reply reply = { 0 };
  char url[256];
  char line[128];
  struct curl_slist *headers = NULL;
  reply.head = g_string_new (NULL);
  reply.body = g_string_new (NULL);
  curl_easy_reset (easy);
  g_snprintf (url, sizeof url, "http://127.0.0.1:%u/s/billing%s", world.port,
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

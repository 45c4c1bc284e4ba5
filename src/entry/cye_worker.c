#include "entry/cye_worker.h"

#include <glib.h>
#include <pthread.h>
#include <stdio.h>

#include "entry/cye_caller.h"
#include "entry/cye_request_internal.h"

#define CYE_REQUEST_CHECK_MS 50 /* ms between time-out checks of requests */

/* Bytes for the headers of one caller's connection.  */
#define CYE_CONNECTION_MEMORY_BYTES 49152

#define CYE_CALLER_IDLE_S 75 /* s without a byte from a caller */

/* Connections of callers to one worker.  */
#define CYE_CALLER_CONNECTIONS_MAX 8192

/* Persistent connections of one worker to backend servers.  */
#define CYE_BACKEND_CONNECTIONS_MAX 512

TAILQ_HEAD (cye_open_requests, cye_request);
STAILQ_HEAD (cye_scheduled_requests, cye_request);

struct cye_worker
{
  struct cye_shared *shared;
  struct cyn_loop *loop;
  struct cyh_server *server;
  struct cyh_client *client;
  struct cyn_timer *check;
  pthread_t thread;
  bool owns_loop; /* the worker owns its loop and a thread that runs it */
  struct cye_open_requests open;
  struct cye_scheduled_requests scheduled;
  bool processing;    /* run_scheduled is active */
  bool server_is_due; /* a connection was resumed */
};

struct cye_shared *
cye_worker_shared (struct cye_worker *worker)
{
  return worker->shared;
}

struct cyn_loop *
cye_worker_loop (struct cye_worker *worker)
{
  return worker->loop;
}

struct cyh_client *
cye_worker_client (struct cye_worker *worker)
{
  return worker->client;
}

/* ------------------------------------------------------------ scheduling */

/* Runs a step of every scheduled request and then the HTTP server, until
   nothing is scheduled.  Must not be called from a callback of libcurl or
   libmicrohttpd.  */
static void
run_scheduled (void *context)
{
  struct cye_worker *worker = context;
  if (worker->processing)
    return;
  worker->processing = true;
  while (!STAILQ_EMPTY (&worker->scheduled) || worker->server_is_due)
    {
      struct cye_request *request = STAILQ_FIRST (&worker->scheduled);
      if (request != NULL)
        {
          STAILQ_REMOVE_HEAD (&worker->scheduled, links.scheduled);
          request->links.is_scheduled = false;
          cye_request_step (request);
        }
      else
        {
          worker->server_is_due = false;
          cyh_server_run (worker->server);
        }
    }
  worker->processing = false;
}

void
cye_worker_add (struct cye_worker *worker, struct cye_request *request)
{
  TAILQ_INSERT_TAIL (&worker->open, request, links.open);
}

void
cye_worker_schedule (struct cye_worker *worker, struct cye_request *request)
{
  if (request->links.is_scheduled)
    return;
  request->links.is_scheduled = true;
  STAILQ_INSERT_TAIL (&worker->scheduled, request, links.scheduled);
}

void
cye_worker_remove (struct cye_worker *worker, struct cye_request *request)
{
  TAILQ_REMOVE (&worker->open, request, links.open);
  if (request->links.is_scheduled)
    STAILQ_REMOVE (&worker->scheduled, request, cye_request, links.scheduled);
}

void
cye_worker_schedule_server (struct cye_worker *worker)
{
  worker->server_is_due = true;
}

void
cye_worker_run_scheduled (struct cye_worker *worker)
{
  run_scheduled (worker);
}

static void
on_call_done (CURL *easy, CURLcode code, void *context)
{
  (void)context;
  cye_call_done (easy, code);
}

static void
check_requests (void *context)
{
  struct cye_worker *worker = context;
  cy_time_ns now = cy_clock_now (worker->shared->clock);
  struct cye_request *request = NULL;
  TAILQ_FOREACH (request, &worker->open, links.open)
  {
    cye_request_check (request, now);
  }
  cyn_timer_start (worker->check, CYE_REQUEST_CHECK_MS);
  run_scheduled (worker);
}

/* ------------------------------------------------------------ thread */

static void *
run_thread (void *context)
{
  struct cye_worker *worker = context;
  cyn_loop_run (worker->loop);
  return NULL;
}

cy_result
cye_worker_create (struct cye_shared *shared, struct cyn_loop *loop,
                   int listen_fd, unsigned number, struct cye_worker **out)
{
  struct cye_worker *worker = g_new0 (struct cye_worker, 1);
  char name[16];
  worker->shared = shared;
  worker->owns_loop = loop == NULL;
  worker->loop = loop != NULL ? loop : cyn_loop_create (shared->clock);
  TAILQ_INIT (&worker->open);
  STAILQ_INIT (&worker->scheduled);
  struct cyh_client_options client
      = { .loop = worker->loop,
          .connections_max = CYE_BACKEND_CONNECTIONS_MAX,
          .on_done = on_call_done,
          .after_round = run_scheduled,
          .context = worker };
  worker->client = cyh_client_create (&client);
  struct cyh_server_options server = {
    .loop = worker->loop,
    .listen_fd = listen_fd,
    .connection_memory = CYE_CONNECTION_MEMORY_BYTES,
    .idle_timeout_s = CYE_CALLER_IDLE_S,
    .connections_max = CYE_CALLER_CONNECTIONS_MAX,
    .on_uri = cye_request_on_uri,
    .on_request = cye_request_on_data,
    .on_completed = cye_request_on_completed,
    .on_connection = cye_caller_on_connection,
    .after_round = run_scheduled,
    .context = worker,
  };
  cy_result result = cyh_server_create (&server, &worker->server);
  if (result != CY_OK)
    goto fail;
  worker->check = cyn_timer_create (worker->loop, check_requests, worker);
  cyn_timer_start (worker->check, CYE_REQUEST_CHECK_MS);
  *out = worker;
  if (!worker->owns_loop)
    return CY_OK;
  *out = NULL;
  if (pthread_create (&worker->thread, NULL, run_thread, worker) != 0)
    {
      result = CY_E_MEMORY;
      goto fail;
    }
  g_snprintf (name, sizeof name, "cy-worker-%u", number);
  pthread_setname_np (worker->thread, name);
  *out = worker;
  return CY_OK;
fail:
  cyn_timer_destroy (worker->check);
  cyh_server_destroy (worker->server);
  cyh_client_destroy (worker->client);
  if (worker->owns_loop)
    cyn_loop_destroy (worker->loop);
  g_free (worker);
  return result;
}

static void
quiesce (void *context)
{
  struct cye_worker *worker = context;
  cyh_server_quiesce (worker->server);
}

void
cye_worker_quiesce (struct cye_worker *worker)
{
  cyn_loop_post (worker->loop, quiesce, worker);
}

/* Abandons the open requests, because the HTTP server can only be stopped once
   no connection is suspended.  */
static void
abandon_all (struct cye_worker *worker)
{
  struct cye_request *request = NULL;
  TAILQ_FOREACH (request, &worker->open, links.open)
  {
    if (request->connection != NULL)
      cye_request_abandon (request);
  }
  run_scheduled (worker);
}

void
cye_worker_destroy (struct cye_worker *worker)
{
  if (worker == NULL)
    return;
  if (worker->owns_loop)
    {
      cyn_loop_stop (worker->loop);
      pthread_join (worker->thread, NULL);
    }
  abandon_all (worker);
  worker->processing = true; /* callbacks of the stop must run no steps */
  cyh_server_destroy (worker->server);
  struct cye_request *request = NULL;
  while ((request = TAILQ_FIRST (&worker->open)) != NULL)
    cye_request_destroy (request);
  cyn_timer_destroy (worker->check);
  cyh_client_destroy (worker->client);
  if (worker->owns_loop)
    cyn_loop_destroy (worker->loop);
  g_free (worker);
}

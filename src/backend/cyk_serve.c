#include "backend/cyk_serve.h"

#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <xxhash.h>

#include "base/cy_system.h"
#include "base/cyu_log.h"
#include "http/cyh_server.h"

#define CYK_CONNECTION_MEMORY_BYTES 32768
#define CYK_IDLE_S                  60 /* timeout of idle connections */
#define CYK_CANCEL_CHECK_MS         10 /* between checks for cancellation */
#define CYK_CONNECTIONS_MAX         4096
#define CYK_BODY_MAX_BYTES          (8 << 20) /* of one answer */

struct cyk_serve
{
  struct cyk_options options;
  struct cyh_server *server;
  struct cyn_timer *cancel_timer;
  GHashTable *suspended_runs; /* set of struct run */
  GHashTable *refused_ids;    /* client port -> id of its refused request */
  int64_t in_flight;          /* requests that are running */
  cy_time_ns started;         /* start of the server */
  bool stopping;              /* requests are answered at once */
};

/* One request.  */
struct run
{
  struct cyk_serve *serve;
  struct MHD_Connection *connection;
  char *uri;
  XXH64_state_t *digest;   /* of the request body read so far */
  uint64_t body_bytes;     /* length of the request body read so far */
  struct cyn_timer *timer; /* ends the service time; NULL: not started */
  enum cyk_fault fault;    /* fault of this request */
  bool headers_read;       /* the headers have been read */
  bool counted;            /* counted in in_flight of SERVE */
  bool suspended;          /* the connection is suspended */
  bool finished;           /* the service time has passed */
  bool key_seen;           /* a caller's key reached the backend server */
  bool cancelled;          /* the caller closed the connection */
};

static const struct
{
  const char *name;
  enum cyk_fault fault;
} fault_names[] = {
  { "", CYK_NONE },
  { "healthy-but-silent", CYK_SILENT },
  { "lying-load", CYK_LYING_LOAD },
  { "slow10x", CYK_SLOW },
  { "close-after-read", CYK_CLOSE },
  { "reset", CYK_RESET },
  { "truncate", CYK_TRUNCATE },
  { "late", CYK_LATE },
  { "shed", CYK_SHED },
  { "echo-key", CYK_ECHO_KEY },
  { "refusal-twice", CYK_REFUSAL_TWICE },
  { "leaving", CYK_LEAVING },
  { "pause", CYK_PAUSE },
};

bool
cyk_fault_parse (const char *text, enum cyk_fault *fault)
{
  for (size_t i = 0; i < G_N_ELEMENTS (fault_names); i++)
    if (strcmp (fault_names[i].name, text) == 0)
      {
        *fault = fault_names[i].fault;
        return true;
      }
  return false;
}

/* ------------------------------------------------------------ record */

static const char *
get_header (struct run *run, const char *name)
{
  const char *value
      = MHD_lookup_connection_value (run->connection, MHD_HEADER_KIND, name);
  return value == NULL ? "" : value;
}

static enum MHD_Result
detect_key (void *context, enum MHD_ValueKind kind, const char *name,
            const char *value)
{
  (void)kind;
  struct run *run = context;
  if (strstr (name, "cyk_") != NULL
      || (value != NULL && strstr (value, "cyk_") != NULL)
      || g_ascii_strcasecmp (name, "Authorization") == 0)
    run->key_seen = true;
  return MHD_YES;
}

static void
write_record (struct run *run, const char *method)
{
  struct cyk_serve *serve = run->serve;
  const struct cye_names *names = serve->options.names;
  if (serve->options.record_fd < 0)
    return;
  MHD_get_connection_values (run->connection, MHD_HEADER_KIND, detect_key,
                             run);
  if (strstr (run->uri, "cyk_") != NULL)
    run->key_seen = true;
  char digest[17];
  g_snprintf (digest, sizeof digest, "%016" PRIx64,
              (uint64_t)XXH64_digest (run->digest));
  json_t *line = json_pack (
      "{ss ss ss ss ss ss sI sI sb sI}", "id",
      get_header (run, "X-Request-Id"), "workspace",
      get_header (run, names->workspace), "instance", serve->options.instance,
      "method", method, "path", run->uri, "digest", digest, "unix_ms",
      (json_int_t)cy_clock_unix_ms (cy_system_clock ()), "in_flight",
      (json_int_t)serve->in_flight, "key_seen", run->key_seen, "timeout_ms",
      (json_int_t)g_ascii_strtoll (get_header (run, names->timeout), NULL,
                                   10));
  char *text = json_dumps (line, JSON_COMPACT);
  char *line_text = g_strconcat (text, "\n", NULL);
  ssize_t written
      = write (serve->options.record_fd, line_text, strlen (line_text));
  (void)written; /* tests detect a missing record */
  g_free (line_text);
  free (text);
  json_decref (line);
}

/* ------------------------------------------------------------ answers */

static int64_t
get_query_number (struct run *run, const char *name, int64_t fallback)
{
  const char *text = MHD_lookup_connection_value (run->connection,
                                                  MHD_GET_ARGUMENT_KIND, name);
  return text == NULL ? fallback : g_ascii_strtoll (text, NULL, 10);
}

static enum MHD_Result
send_text (struct run *run, unsigned status, const char *text)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (text), (void *)text, MHD_RESPMEM_MUST_COPY);
  enum MHD_Result result
      = MHD_queue_response (run->connection, status, response);
  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
send_load (struct run *run)
{
  const struct cyk_serve *serve = run->serve;
  bool reports_idle = serve->options.fault == CYK_LYING_LOAD;
  char text[128];
  g_snprintf (text, sizeof text,
              "{\"in_flight\":%" PRId64 ",\"slots\":%" PRId64 "}\n",
              reports_idle ? 0 : serve->in_flight, serve->options.slots);
  return send_text (run, MHD_HTTP_OK, text);
}

/* Answer body of which the first half is sent.  */
struct truncated_body
{
  char *bytes;
  size_t length;
};

static ssize_t
read_truncated_body (void *context, uint64_t position, char *buffer,
                     size_t capacity)
{
  struct truncated_body *truncated_body = context;
  size_t end = truncated_body->length / 2;
  if (position >= end)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  size_t count = MIN (capacity, end - (size_t)position);
  memcpy (buffer, truncated_body->bytes + position, count);
  return (ssize_t)count;
}

static void
free_truncated_body (void *context)
{
  struct truncated_body *truncated_body = context;
  g_free (truncated_body->bytes);
  g_free (truncated_body);
}

static char *
format_answer_body (struct run *run, const char *method, size_t *length)
{
  GString *body = g_string_new (NULL);
  const struct cye_names *names = run->serve->options.names;
  g_string_printf (body,
                   "id=%s workspace=%s instance=%s method=%s path=%s "
                   "digest=%016" PRIx64 " bytes=%" PRIu64 "\n",
                   get_header (run, "X-Request-Id"),
                   get_header (run, names->workspace),
                   run->serve->options.instance, method, run->uri,
                   (uint64_t)XXH64_digest (run->digest), run->body_bytes);
  int64_t size = MIN (get_query_number (run, "size", 0), CYK_BODY_MAX_BYTES);
  for (uint64_t i = body->len; (int64_t)i < size; i++)
    g_string_append_c (body, (char)('a' + (i * 7 + body->str[i % 32]) % 26));
  *length = body->len;
  return g_string_free (body, FALSE);
}

static void
add_limit (const struct cyk_serve *serve, struct MHD_Response *response)
{
  const struct cyk_options *options = &serve->options;
  int64_t age_ms
      = (cy_clock_now (cy_system_clock ()) - serve->started) / CY_NS_PER_MS;
  if (options->limit[0] != '\0'
      && (options->limit_ms == 0 || age_ms < options->limit_ms))
    MHD_add_response_header (response, options->names->limit, options->limit);
}

/* Copies the request ID to the answer, and stamps it where the dialect wants
   that.  */
static void
add_request_id (struct run *run, struct MHD_Response *response)
{
  const struct cye_names *names = run->serve->options.names;
  const char *id = get_header (run, names->request_id);
  if (id[0] != '\0')
    MHD_add_response_header (response, names->request_id, id);
  if (names->stamp != NULL)
    MHD_add_response_header (response, names->stamp,
                             run->serve->options.instance);
}

static enum MHD_Result
send_answer (struct run *run, const char *method)
{
  size_t length = 0;
  char *body = format_answer_body (run, method, &length);
  char digest[17];
  g_snprintf (digest, sizeof digest, "%016" PRIx64,
              (uint64_t)XXH64 (body, length, 0));
  struct MHD_Response *response = NULL;
  if (run->fault == CYK_TRUNCATE)
    {
      struct truncated_body *truncated_body
          = g_new0 (struct truncated_body, 1);
      truncated_body->bytes = body;
      truncated_body->length = length;
      response = MHD_create_response_from_callback (
          length, 4096, read_truncated_body, truncated_body,
          free_truncated_body);
    }
  else
    response = MHD_create_response_from_buffer_with_free_callback (
        length, body, g_free);
  MHD_add_response_header (response, "X-Content-Digest", digest);
  MHD_add_response_header (response, "Content-Type", "text/plain");
  add_request_id (run, response);
  add_limit (run->serve, response);
  if (run->fault == CYK_LEAVING)
    MHD_add_response_header (response, run->serve->options.names->leaving,
                             "1");
  unsigned status = MHD_HTTP_OK;
  if (run->fault == CYK_ECHO_KEY)
    {
      status = MHD_HTTP_FOUND;
      MHD_add_response_header (response, "Location",
                               "/next?key=cyk_k1_0123456789abcdef");
    }
  enum MHD_Result result
      = MHD_queue_response (run->connection, status, response);
  MHD_destroy_response (response);
  return result;
}

/* Answers with STATUS that the request did not run.  */
static enum MHD_Result
send_refusal (struct run *run, unsigned status)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      5, (void *)"busy\n", MHD_RESPMEM_PERSISTENT);
  const struct cye_names *names = run->serve->options.names;
  MHD_add_response_header (response, names->not_run, "1");
  if (run->fault == CYK_PAUSE)
    MHD_add_response_header (response, names->pause, CYK_PAUSE_S);
  add_request_id (run, response);
  add_limit (run->serve, response);
  enum MHD_Result result
      = MHD_queue_response (run->connection, status, response);
  MHD_destroy_response (response);
  return result;
}

/* True when the request names another instance.  */
static bool
is_misdirected (struct run *run)
{
  const struct cyk_options *options = &run->serve->options;
  const char *expected = get_header (run, options->names->expected_instance);
  return expected[0] != '\0' && strcmp (expected, options->instance) != 0;
}

/* ------------------------------------------------------------ running */

static void
reset_connection (struct run *run)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      run->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };
  if (info != NULL)
    setsockopt (info->connect_fd, SOL_SOCKET, SO_LINGER, &linger,
                sizeof linger);
}

/* CYK_REFUSAL_TWICE: returns true for the first request of a connection, which
   the caller must refuse.  For the second request it sends the refusal of the
   first one again and returns false.  */
static bool
refuse_first_request (struct run *run)
{
  const union MHD_ConnectionInfo *caller = MHD_get_connection_info (
      run->connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      run->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  const struct sockaddr_in *address = (const void *)caller->client_addr;
  const struct cye_names *names = run->serve->options.names;
  gpointer port = GUINT_TO_POINTER (address->sin_port);
  GHashTable *refused_ids = run->serve->refused_ids;
  char *id = NULL;
  if (!g_hash_table_steal_extended (refused_ids, port, NULL, (gpointer *)&id))
    {
      g_hash_table_insert (refused_ids, port,
                           g_strdup (get_header (run, names->request_id)));
      return true;
    }
  char *text = g_strdup_printf ("HTTP/1.1 503 Service Unavailable\r\n"
                                "%s: 1\r\n%s: %s\r\n"
                                "Content-Length: 0\r\n\r\n",
                                names->not_run, names->request_id, id);
  if (send (info->connect_fd, text, strlen (text), MSG_NOSIGNAL) < 0)
    cyu_log (G_LOG_LEVEL_WARNING, "the second refusal was not sent: %s",
             g_strerror (errno));
  g_free (text);
  g_free (id);
  return false;
}

static void
run_resume (struct run *run)
{
  if (!run->suspended)
    return;
  run->suspended = false;
  g_hash_table_remove (run->serve->suspended_runs, run);
  MHD_resume_connection (run->connection);
}

static void
on_service_time (void *context)
{
  struct run *run = context;
  run->finished = true;
  run_resume (run);
  cyh_server_run (run->serve->server);
}

/* Returns the service time of RUN in ms.  */
static int64_t
get_service_time_ms (struct run *run)
{
  const struct cyk_options *options = &run->serve->options;
  int64_t time_ms = get_query_number (run, "work", options->service_time_ms);
  int64_t age_ms = (cy_clock_now (cy_system_clock ()) - run->serve->started)
                   / CY_NS_PER_MS;
  if (age_ms < options->cold_ms)
    time_ms += time_ms * (CYK_COLD_FACTOR - 1) * (options->cold_ms - age_ms)
               / options->cold_ms;
  if (run->fault == CYK_SLOW)
    time_ms *= CYK_SLOW_FACTOR;
  if (run->fault == CYK_LATE)
    time_ms = CYK_LATE_MS;
  return time_ms;
}

static void
run_suspend (struct run *run)
{
  run->suspended = true;
  g_hash_table_add (run->serve->suspended_runs, run);
  MHD_suspend_connection (run->connection);
}

static bool
is_closed_by_caller (struct run *run)
{
  char byte;
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      run->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  return info != NULL
         && recv (info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

/* Ends suspended requests whose callers closed the connection.  */
static void
end_cancelled_runs (void *context)
{
  struct cyk_serve *serve = context;
  GList *suspended_runs = g_hash_table_get_keys (serve->suspended_runs);
  for (GList *item = suspended_runs; item != NULL; item = item->next)
    if (is_closed_by_caller (item->data))
      {
        struct run *run = item->data;
        run->cancelled = true;
        run_resume (run);
      }
  if (suspended_runs != NULL)
    cyh_server_run (serve->server);
  g_list_free (suspended_runs);
  cyn_timer_start (serve->cancel_timer, CYK_CANCEL_CHECK_MS);
}

/* Starts a request that has been read completely, unless its caller closed the
   connection.  */
static enum MHD_Result
run_start (struct run *run, const char *method)
{
  struct cyk_serve *serve = run->serve;
  if (is_closed_by_caller (run))
    return MHD_NO;
  run->counted = true;
  serve->in_flight++;
  write_record (run, method);
  if (run->fault == CYK_SILENT && !serve->stopping)
    {
      run_suspend (run);
      return MHD_YES;
    }
  int64_t time_ms = serve->stopping ? 0 : get_service_time_ms (run);
  if (time_ms <= 0)
    {
      run->finished = true;
      return MHD_YES;
    }
  run->timer = cyn_timer_create (serve->options.loop, on_service_time, run);
  cyn_timer_start (run->timer, time_ms);
  run_suspend (run);
  return MHD_YES;
}

static enum MHD_Result
run_finish (struct run *run, const char *method)
{
  const char *poison_path = run->serve->options.poison_path;
  if (poison_path[0] != '\0' && strcmp (run->uri, poison_path) == 0)
    _exit (EXIT_FAILURE);
  switch (run->fault)
    {
    case CYK_CLOSE:
      return MHD_NO;
    case CYK_RESET:
      reset_connection (run);
      return MHD_NO;
    case CYK_NONE:
    case CYK_SILENT:
    case CYK_LYING_LOAD:
    case CYK_SLOW:
    case CYK_TRUNCATE:
    case CYK_LATE:
    case CYK_SHED:
    case CYK_ECHO_KEY:
    case CYK_REFUSAL_TWICE:
    case CYK_LEAVING:
    case CYK_PAUSE:
      break;
    }
  return send_answer (run, method);
}

/* ------------------------------------------------------------ callbacks */

static void *
on_uri (void *context, const char *uri, struct MHD_Connection *connection)
{
  struct run *run = g_new0 (struct run, 1);
  run->serve = context;
  run->connection = connection;
  run->uri = g_strdup (uri);
  run->digest = XXH64_createState ();
  XXH64_reset (run->digest, 0);
  const struct cyk_options *options = &run->serve->options;
  bool faulty = options->fault_percent >= 100
                || (int64_t)cy_random_below (cy_system_random (), 100)
                       < options->fault_percent;
  run->fault = faulty ? options->fault : CYK_NONE;
  return run;
}

static enum MHD_Result
on_request (void *context, struct MHD_Connection *connection, const char *url,
            const char *method, const char *version, const char *data,
            size_t *size, void **request)
{
  (void)context;
  (void)connection;
  (void)version;
  struct run *run = *request;
  if (run->cancelled)
    return MHD_NO;
  if (!run->headers_read)
    {
      run->headers_read = true;
      return MHD_YES;
    }
  if (*size > 0)
    {
      XXH64_update (run->digest, data, *size);
      run->body_bytes += *size;
      if (g_strstr_len (data, (gssize)*size, "cyk_") != NULL)
        run->key_seen = true;
      *size = 0;
      return MHD_YES;
    }
  if (strcmp (url, "/health") == 0)
    return send_text (run, MHD_HTTP_OK, "ok\n");
  if (strcmp (url, "/load") == 0)
    return send_load (run);
  if (is_misdirected (run))
    return send_refusal (run, MHD_HTTP_MISDIRECTED_REQUEST);
  if (run->fault == CYK_PAUSE)
    write_record (run, method);
  if (run->fault == CYK_SHED || run->fault == CYK_PAUSE)
    return send_refusal (run, MHD_HTTP_SERVICE_UNAVAILABLE);
  if (run->fault == CYK_REFUSAL_TWICE && !run->counted
      && refuse_first_request (run))
    return send_refusal (run, MHD_HTTP_SERVICE_UNAVAILABLE);
  if (!run->counted)
    {
      enum MHD_Result result = run_start (run, method);
      if (!run->finished)
        return result;
    }
  if (!run->finished)
    return MHD_NO;
  return run_finish (run, method);
}

static void
on_completed (void *context, struct MHD_Connection *connection, void **request,
              enum MHD_RequestTerminationCode code)
{
  (void)context;
  (void)connection;
  (void)code;
  struct run *run = *request;
  if (run == NULL)
    return;
  if (run->counted)
    run->serve->in_flight--;
  cyn_timer_destroy (run->timer);
  XXH64_freeState (run->digest);
  g_free (run->uri);
  g_free (run);
  *request = NULL;
}

cy_result
cyk_serve_create (const struct cyk_options *options, struct cyk_serve **out)
{
  struct cyk_serve *serve = g_new0 (struct cyk_serve, 1);
  serve->options = *options;
  serve->started = cy_clock_now (cy_system_clock ());
  serve->suspended_runs = g_hash_table_new (NULL, NULL);
  serve->refused_ids = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  struct cyh_server_options server = {
    .loop = options->loop,
    .listen_fd = options->listen_fd,
    .connection_memory = CYK_CONNECTION_MEMORY_BYTES,
    .idle_timeout_s = CYK_IDLE_S,
    .connections_max = CYK_CONNECTIONS_MAX,
    .on_uri = on_uri,
    .on_request = on_request,
    .on_completed = on_completed,
    .context = serve,
  };
  cy_result result = cyh_server_create (&server, &serve->server);
  if (result != CY_OK)
    {
      g_hash_table_destroy (serve->suspended_runs);
      g_hash_table_destroy (serve->refused_ids);
      g_free (serve);
      return result;
    }
  serve->cancel_timer
      = cyn_timer_create (options->loop, end_cancelled_runs, serve);
  cyn_timer_start (serve->cancel_timer, CYK_CANCEL_CHECK_MS);
  *out = serve;
  return CY_OK;
}

void
cyk_serve_destroy (struct cyk_serve *serve)
{
  if (serve == NULL)
    return;
  serve->stopping = true;
  cyn_timer_destroy (serve->cancel_timer);
  GList *suspended_runs = g_hash_table_get_keys (serve->suspended_runs);
  for (GList *item = suspended_runs; item != NULL; item = item->next)
    run_resume (item->data);
  g_list_free (suspended_runs);
  cyh_server_destroy (serve->server);
  g_hash_table_destroy (serve->suspended_runs);
  g_hash_table_destroy (serve->refused_ids);
  g_free (serve);
}

int64_t
cyk_serve_in_flight (const struct cyk_serve *serve)
{
  return serve->in_flight;
}

#include "load/cyg_drive.h"

#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <xxhash.h>

#include "base/cy_system.h"
#include "http/cyh_client.h"
#include "load/cyg_targets.h"

/* Attempts of one request, each at another entry VM.  */
#define CYG_ATTEMPTS_MAX 4
/* Interval of the checks for requests that are due.  */
#define CYG_TICK_MS 1
/* Time after the deadline of a request at which libcurl ends it.  */
#define CYG_TIMEOUT_MARGIN_MS 2000
/* Largest answer body that is read.  */
#define CYG_ANSWER_MAX_BYTES (16 << 20)

struct cyg_drive
{
  struct cyg_drive_options options;
  struct cyg_targets *targets;
  struct cyh_client *client;
  struct cyn_timer *timer;
  double *due;               /* by key: requests that are due */
  double weight_sum;         /* sum of the weights of all keys */
  uint64_t random_state;     /* state of the random number generator */
  int64_t started_count;     /* requests started, for ids and the limit */
  int64_t open_count;        /* requests without a final result */
  cy_time_ns started_at;     /* start of the load */
  cy_time_ns due_updated_at; /* time of the last addition to due */
  bool running;              /* entry VMs are known and the load has started */
};

/* One request of the load, with all of its attempts.  */
struct request
{
  struct cyg_drive *drive;
  const struct cyg_key *key;
  char *id;
  bool is_post;    /* POST, else GET */
  GString *body;   /* request body */
  GString *answer; /* answer body of the last attempt */
  struct curl_slist *headers;
  char error[CURL_ERROR_SIZE];
  char entry[64];         /* "IP:PORT" of the last attempt */
  char outcome[16];       /* Cy-Outcome of the last answer, "" if missing */
  char digest[20];        /* X-Content-Digest of the last answer */
  double breakdown_ms[5]; /* from Server-Timing, as in struct cyg_result */
  int sent_count;         /* times that libcurl sent the last attempt */
  int attempts;
  bool may_have_run; /* an earlier attempt was sent and received no answer */
  unsigned rank;     /* position of the entry VM in the lookup's answer */
  cy_time_ns started_at; /* start of the first attempt */
  int64_t unix_ms;       /* start of the first attempt, Unix time */
};

static uint64_t
next_random (struct cyg_drive *drive)
{
  uint64_t z = (drive->random_state += UINT64_C (0x9e3779b97f4a7c15));
  z = (z ^ (z >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94d049bb133111eb);
  return z ^ (z >> 31);
}

/* ------------------------------------------------------------ answers */

static size_t
append_answer (char *bytes, size_t size, size_t count, void *context)
{
  struct request *request = context;
  if (request->answer->len + size * count > CYG_ANSWER_MAX_BYTES)
    return 0;
  g_string_append_len (request->answer, bytes, (gssize)(size * count));
  return size * count;
}

static void
parse_server_timing (struct request *request, const char *value)
{
  static const char *const names[5]
      = { "caller;", "waiting;", "connect;", "link;", "backend;" };
  for (int i = 0; i < 5; i++)
    {
      const char *found = strstr (value, names[i]);
      const char *number = found == NULL ? NULL : strstr (found, "dur=");
      if (number != NULL)
        request->breakdown_ms[i] = g_ascii_strtod (number + 4, NULL);
    }
}

static void
copy_value (const char *line, size_t skip, char *out, size_t capacity)
{
  g_strlcpy (out, line + skip, capacity);
  g_strstrip (out);
}

static size_t
parse_header (char *bytes, size_t size, size_t count, void *context)
{
  struct request *request = context;
  char line[512];
  g_snprintf (line, sizeof line, "%.*s", (int)MIN (size * count, 500), bytes);
  if (strncasecmp (line, "Cy-Outcome:", 11) == 0)
    copy_value (line, 11, request->outcome, sizeof request->outcome);
  else if (strncasecmp (line, "X-Content-Digest:", 17) == 0)
    copy_value (line, 17, request->digest, sizeof request->digest);
  else if (strncasecmp (line, "Server-Timing:", 14) == 0)
    parse_server_timing (request, line + 14);
  return size * count;
}

/* libcurl resends a request by itself when a persistent connection turns out
   to be closed.  This is allowed only for requests that may run twice.  */
static int
before_send (void *context, char *ip, char *local_ip, int port, int local_port)
{
  (void)ip;
  (void)local_ip;
  (void)port;
  (void)local_port;
  struct request *request = context;
  request->sent_count++;
  return request->sent_count > 1 && request->is_post ? CURL_PREREQFUNC_ABORT
                                                     : CURL_PREREQFUNC_OK;
}

/* Returns true when a complete answer of a backend server does not belong to
   the request.  */
static bool
is_wrong_answer (struct request *request)
{
  char digest[20];
  g_snprintf (digest, sizeof digest, "%016" PRIx64,
              (uint64_t)XXH64 (request->answer->str, request->answer->len, 0));
  if (strcmp (digest, request->digest) != 0)
    return true;
  char *expected = g_strdup_printf ("id=%s workspace=%s ", request->id,
                                    request->key->workspace);
  char *body = g_strdup_printf (
      " digest=%016" PRIx64 " ",
      (uint64_t)XXH64 (request->body->str, request->body->len, 0));
  bool direct = request->drive->options.direct[0] != '\0';
  bool wrong = (!direct && !g_str_has_prefix (request->answer->str, expected))
               || strstr (request->answer->str, body) == NULL;
  g_free (expected);
  g_free (body);
  return wrong;
}

static int64_t
get_problem_code (const struct request *request)
{
  json_t *root
      = json_loadb (request->answer->str, request->answer->len, 0, NULL);
  int64_t code = json_integer_value (json_object_get (root, "code"));
  json_decref (root);
  return code;
}

/* Returns the outcome of the request.  The last attempt's "not-run" holds for
   the request only if no earlier attempt may have run.  */
static const char *
get_outcome (const struct request *request)
{
  if ((request->may_have_run || request->sent_count > 1)
      && strcmp (request->outcome, "not-run") == 0)
    return "unknown";
  return request->outcome[0] != '\0' ? request->outcome : "none";
}

static void
record_result (struct request *request, CURLcode code, long status)
{
  struct cyg_result result = {
    .id = request->id,
    .workspace = request->key->workspace,
    .method = request->is_post ? "POST" : "GET",
    .service = request->drive->options.service,
    .entry = request->entry,
    .outcome = get_outcome (request),
    .error = code == CURLE_OK ? "" : curl_easy_strerror (code),
    .status = status,
    .attempts = request->attempts,
    .unix_ms = request->unix_ms,
  };
  result.total_ms
      = (double)(cy_clock_now (cy_system_clock ()) - request->started_at)
        / 1e6;
  memcpy (result.breakdown_ms, request->breakdown_ms,
          sizeof result.breakdown_ms);
  if (code == CURLE_OK && status >= 200 && status < 300)
    result.wrong = is_wrong_answer (request);
  else if (code == CURLE_OK)
    result.code = get_problem_code (request);
  cyg_stats_add (request->drive->options.stats, &result);
}

static void
request_free (struct request *request)
{
  curl_slist_free_all (request->headers);
  g_string_free (request->body, TRUE);
  g_string_free (request->answer, TRUE);
  g_free (request->id);
  g_free (request);
}

/* ------------------------------------------------------------ sending */

static void
prepare_headers (struct request *request)
{
  const struct cyg_drive_options *options = &request->drive->options;
  char line[512];
  g_snprintf (line, sizeof line, "Authorization: Bearer %s",
              request->key->key);
  if (options->direct[0] == '\0')
    request->headers = curl_slist_append (request->headers, line);
  g_snprintf (line, sizeof line, "X-Request-Id: %s", request->id);
  request->headers = curl_slist_append (request->headers, line);
  g_snprintf (line, sizeof line, "Cy-Request-Id: %s", request->id);
  request->headers = curl_slist_append (request->headers, line);
  g_snprintf (line, sizeof line, "Cy-Timeout-Ms: %" PRId64,
              options->timeout_ms);
  request->headers = curl_slist_append (request->headers, line);
  request->headers = curl_slist_append (request->headers, "Expect:");
  if (!request->is_post)
    return;
  g_snprintf (line, sizeof line, "Idempotency-Key: %s", request->id);
  request->headers = curl_slist_append (request->headers, line);
  request->headers
      = curl_slist_append (request->headers, "Content-Type: text/plain");
}

static void
request_send (struct request *request)
{
  struct cyg_drive *drive = request->drive;
  const struct cyg_drive_options *options = &drive->options;
  CURL *easy = cyh_client_acquire (drive->client);
  request->sent_count = 0;
  request->attempts++;
  request->outcome[0] = '\0';
  request->digest[0] = '\0';
  g_string_truncate (request->answer, 0);
  g_strlcpy (request->entry, cyg_targets_get (drive->targets, request->rank),
             sizeof request->entry);
  char *url
      = options->direct[0] != '\0'
            ? g_strdup_printf ("http://%s%s", request->entry, options->path)
            : g_strdup_printf ("http://%s/s/%s%s", request->entry,
                               options->service, options->path);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, request->headers);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, append_answer);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, request);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, parse_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, request);
  curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, before_send);
  curl_easy_setopt (easy, CURLOPT_PREREQDATA, request);
  curl_easy_setopt (easy, CURLOPT_PRIVATE, request);
  curl_easy_setopt (easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS, 1000L);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS,
                    (long)options->timeout_ms + CYG_TIMEOUT_MARGIN_MS);
  if (request->is_post)
    {
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE, (long)request->body->len);
      curl_easy_setopt (easy, CURLOPT_POSTFIELDS, request->body->str);
    }
  cyh_client_add (drive->client, easy);
  g_free (url);
}

static void
start_request (struct cyg_drive *drive, const struct cyg_key *key)
{
  const struct cyg_drive_options *options = &drive->options;
  struct request *request = g_new0 (struct request, 1);
  request->drive = drive;
  request->key = key;
  request->id = g_strdup_printf ("%s-%" PRId64, options->prefix,
                                 ++drive->started_count);
  request->is_post
      = (int64_t)(next_random (drive) % 100) < options->post_percent;
  request->body = g_string_new (NULL);
  request->answer = g_string_new (NULL);
  request->started_at = cy_clock_now (cy_system_clock ());
  request->unix_ms = cy_clock_unix_ms (cy_system_clock ());
  request->rank = options->spread ? (unsigned)next_random (drive) : 0;
  if (request->is_post)
    {
      g_string_printf (request->body, "confirm %s\n", request->id);
      while ((int64_t)request->body->len < options->body_bytes)
        g_string_append (request->body, "0123456789abcdef");
    }
  prepare_headers (request);
  drive->open_count++;
  request_send (request);
}

/* Returns true when all requests have been started or the time has passed.  */
static bool
is_limit_reached (const struct cyg_drive *drive)
{
  const struct cyg_drive_options *options = &drive->options;
  if (options->requests > 0 && drive->started_count >= options->requests)
    return true;
  cy_time_ns now = cy_clock_now (cy_system_clock ());
  return options->duration_ms > 0
         && now - drive->started_at >= options->duration_ms * CY_NS_PER_MS;
}

/* Closed loop: returns a random key, chosen by weight.  */
static const struct cyg_key *
choose_key (struct cyg_drive *drive)
{
  const struct cyg_drive_options *options = &drive->options;
  double position = (double)(next_random (drive) >> 11) / 9007199254740992.0
                    * drive->weight_sum;
  for (size_t i = 0; i < options->key_count; i++)
    {
      position -= options->keys[i].weight;
      if (position < 0)
        return &options->keys[i];
    }
  return &options->keys[options->key_count - 1];
}

static void
start_due_requests (struct cyg_drive *drive)
{
  const struct cyg_drive_options *options = &drive->options;
  cy_time_ns now = cy_clock_now (cy_system_clock ());
  double seconds = (double)(now - drive->due_updated_at) / CY_NS_PER_S;
  drive->due_updated_at = now;
  for (size_t i = 0; i < options->key_count; i++)
    {
      drive->due[i] += seconds * (double)options->rate
                       * options->keys[i].weight / drive->weight_sum;
      while (drive->due[i] >= 1 && !is_limit_reached (drive))
        {
          drive->due[i] -= 1;
          if (drive->open_count < options->concurrency)
            start_request (drive, &options->keys[i]);
          else
            cyg_stats_skip (options->stats);
        }
    }
}

static void
start_requests (struct cyg_drive *drive)
{
  if (!drive->running)
    return;
  if (drive->options.rate > 0)
    start_due_requests (drive);
  else
    while (drive->open_count < drive->options.concurrency
           && !is_limit_reached (drive))
      start_request (drive, choose_key (drive));
  if (is_limit_reached (drive) && drive->open_count == 0)
    cyn_loop_stop (drive->options.loop);
}

static void
on_tick (void *context)
{
  struct cyg_drive *drive = context;
  start_requests (drive);
  cyn_timer_start (drive->timer, drive->options.rate > 0 ? CYG_TICK_MS : 50);
}

/* Returns true when the request did not run, or may run twice, and another
   entry VM may accept it.  CURLE_COULDNT_CONNECT alone is no evidence that
   nothing was sent: libcurl also returns it when a persistent connection
   breaks after the request was sent and its new connection attempt fails.  */
static bool
may_retry (const struct request *request, CURLcode code, long status)
{
  if (request->attempts >= CYG_ATTEMPTS_MAX)
    return false;
  if (request->sent_count == 0
      && (code == CURLE_COULDNT_CONNECT || code == CURLE_OPERATION_TIMEDOUT))
    return true;
  if (!request->is_post && code != CURLE_OK
      && code != CURLE_OPERATION_TIMEDOUT)
    return true;
  if (code != CURLE_OK || status != 503
      || strcmp (request->outcome, "not-run") != 0)
    return false;
  int64_t problem = get_problem_code (request);
  return problem == CY_E_STOPPING || problem == CY_E_STATE_STALE
         || problem == CY_E_NO_BACKEND;
}

static void
on_done (CURL *easy, CURLcode code, void *context)
{
  struct cyg_drive *drive = context;
  struct request *request = NULL;
  long status = 0;
  curl_easy_getinfo (easy, CURLINFO_PRIVATE, &request);
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
  cyh_client_release (drive->client, easy);
  if (may_retry (request, code, status))
    {
      request->may_have_run = request->may_have_run
                              || (code != CURLE_OK && request->sent_count > 0);
      request->rank++;
      request_send (request);
      return;
    }
  record_result (request, code, status);
  request_free (request);
  drive->open_count--;
}

static void
after_round (void *context)
{
  struct cyg_drive *drive = context;
  if (drive->options.rate == 0)
    start_requests (drive);
}

static void
start_load (void *context)
{
  struct cyg_drive *drive = context;
  if (drive->running)
    return;
  drive->running = true;
  drive->started_at = cy_clock_now (cy_system_clock ());
  drive->due_updated_at = drive->started_at;
  cyn_timer_start (drive->timer, 0);
}

struct cyg_drive *
cyg_drive_create (const struct cyg_drive_options *options)
{
  struct cyg_drive *drive = g_new0 (struct cyg_drive, 1);
  drive->options = *options;
  drive->random_state = (uint64_t)options->seed;
  drive->due = g_new0 (double, options->key_count);
  for (size_t i = 0; i < options->key_count; i++)
    drive->weight_sum += options->keys[i].weight;
  struct cyh_client_options client
      = { .loop = options->loop,
          .connections_max = (long)options->concurrency + 8,
          .on_done = on_done,
          .after_round = after_round,
          .context = drive };
  drive->client = cyh_client_create (&client);
  drive->timer = cyn_timer_create (options->loop, on_tick, drive);
  drive->targets
      = cyg_targets_create (options->loop, options->lookups, options->direct,
                            options->service, start_load, drive);
  return drive;
}

void
cyg_drive_destroy (struct cyg_drive *drive)
{
  if (drive == NULL)
    return;
  cyg_targets_destroy (drive->targets);
  cyh_client_destroy (drive->client);
  cyn_timer_destroy (drive->timer);
  g_free (drive->due);
  g_free (drive);
}

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

#define CYG_ATTEMPTS_MAX 4    /* entry VMs that one request tries */
#define CYG_TICK_MS      1    /* ms between looks at what is due */
#define CYG_GRACE_MS     2000 /* ms that libcurl waits past the deadline */
#define CYG_ANSWER_MAX   (16 << 20) /* bytes */

struct cyg_drive
{
  struct cyg_drive_options options;
  struct cyg_targets *targets;
  struct cyh_client *client;
  struct cyn_timer *timer;
  double *credit; /* by key: requests due */
  double weights;
  uint64_t random;
  int64_t sent;
  int64_t open;
  cy_time_ns started;
  cy_time_ns paced;
  bool running;
};

/* One request of the load.  */
struct shot
{
  struct cyg_drive *drive;
  const struct cyg_key *key;
  char *id;
  bool post;
  GString *body;
  GString *answer;
  struct curl_slist *headers;
  char error[CURL_ERROR_SIZE];
  char entry[64];
  char outcome[16];
  char digest[20];
  double split_ms[5];
  int sends;
  int attempts;
  bool perhaps_ran; /* an earlier attempt was sent and brought no answer */
  unsigned rank;
  cy_time_ns begun;
  int64_t unix_ms;
};

static uint64_t
next_random (struct cyg_drive *drive)
{
  uint64_t z = (drive->random += UINT64_C (0x9e3779b97f4a7c15));
  z = (z ^ (z >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94d049bb133111eb);
  return z ^ (z >> 31);
}

/* ------------------------------------------------------------ answers */

static size_t
take_answer (char *bytes, size_t size, size_t count, void *context)
{
  struct shot *shot = context;
  if (shot->answer->len + size * count > CYG_ANSWER_MAX)
    return 0;
  g_string_append_len (shot->answer, bytes, (gssize)(size * count));
  return size * count;
}

static void
take_split (struct shot *shot, const char *value)
{
  static const char *const names[5]
      = { "caller;", "waiting;", "connect;", "link;", "backend;" };
  for (int i = 0; i < 5; i++)
    {
      const char *found = strstr (value, names[i]);
      const char *number = found == NULL ? NULL : strstr (found, "dur=");
      if (number != NULL)
        shot->split_ms[i] = g_ascii_strtod (number + 4, NULL);
    }
}

static void
copy_value (const char *line, size_t skip, char *out, size_t room)
{
  g_strlcpy (out, line + skip, room);
  g_strstrip (out);
}

static size_t
take_header (char *bytes, size_t size, size_t count, void *context)
{
  struct shot *shot = context;
  char line[512];
  g_snprintf (line, sizeof line, "%.*s", (int)MIN (size * count, 500), bytes);
  if (strncasecmp (line, "Cy-Outcome:", 11) == 0)
    copy_value (line, 11, shot->outcome, sizeof shot->outcome);
  else if (strncasecmp (line, "X-Content-Digest:", 17) == 0)
    copy_value (line, 17, shot->digest, sizeof shot->digest);
  else if (strncasecmp (line, "Server-Timing:", 14) == 0)
    take_split (shot, line + 14);
  return size * count;
}

/* libcurl sends a request again by itself when a kept connection turns out
   closed: only a request that may run twice is let through.  */
static int
before_send (void *context, char *ip, char *local_ip, int port, int local_port)
{
  (void)ip;
  (void)local_ip;
  (void)port;
  (void)local_port;
  struct shot *shot = context;
  shot->sends++;
  return shot->sends > 1 && shot->post ? CURL_PREREQFUNC_ABORT
                                       : CURL_PREREQFUNC_OK;
}

/* True when a whole answer of a backend server is not the one to SHOT.  */
static bool
is_wrong (struct shot *shot)
{
  char digest[20];
  g_snprintf (digest, sizeof digest, "%016" PRIx64,
              (uint64_t)XXH64 (shot->answer->str, shot->answer->len, 0));
  if (strcmp (digest, shot->digest) != 0)
    return true;
  char *expected = g_strdup_printf ("id=%s workspace=%s ", shot->id,
                                    shot->key->workspace);
  char *body = g_strdup_printf (
      " digest=%016" PRIx64 " ",
      (uint64_t)XXH64 (shot->body->str, shot->body->len, 0));
  bool direct = shot->drive->options.direct[0] != '\0';
  bool wrong = (!direct && !g_str_has_prefix (shot->answer->str, expected))
               || strstr (shot->answer->str, body) == NULL;
  g_free (expected);
  g_free (body);
  return wrong;
}

static int64_t
problem_code (const struct shot *shot)
{
  json_t *root = json_loadb (shot->answer->str, shot->answer->len, 0, NULL);
  int64_t code = json_integer_value (json_object_get (root, "code"));
  json_decref (root);
  return code;
}

/* "not-run" is true of the last attempt; of the request only when no earlier
   one may have run.  */
static const char *
outcome_of (const struct shot *shot)
{
  if ((shot->perhaps_ran || shot->sends > 1)
      && strcmp (shot->outcome, "not-run") == 0)
    return "unknown";
  return shot->outcome[0] != '\0' ? shot->outcome : "none";
}

static void
report (struct shot *shot, CURLcode code, long status)
{
  struct cyg_result result = {
    .id = shot->id,
    .workspace = shot->key->workspace,
    .method = shot->post ? "POST" : "GET",
    .service = shot->drive->options.service,
    .entry = shot->entry,
    .outcome = outcome_of (shot),
    .error = code == CURLE_OK ? "" : curl_easy_strerror (code),
    .status = status,
    .attempts = shot->attempts,
    .unix_ms = shot->unix_ms,
  };
  result.total_ms
      = (double)(cy_clock_now (cy_system_clock ()) - shot->begun) / 1e6;
  memcpy (result.split_ms, shot->split_ms, sizeof result.split_ms);
  if (code == CURLE_OK && status >= 200 && status < 300)
    result.wrong = is_wrong (shot);
  else if (code == CURLE_OK)
    result.code = problem_code (shot);
  cyg_stats_add (shot->drive->options.stats, &result);
}

static void
shot_free (struct shot *shot)
{
  curl_slist_free_all (shot->headers);
  g_string_free (shot->body, TRUE);
  g_string_free (shot->answer, TRUE);
  g_free (shot->id);
  g_free (shot);
}

/* ------------------------------------------------------------ sending */

static void
prepare_headers (struct shot *shot)
{
  const struct cyg_drive_options *options = &shot->drive->options;
  char line[512];
  g_snprintf (line, sizeof line, "Authorization: Bearer %s", shot->key->key);
  if (options->direct[0] == '\0')
    shot->headers = curl_slist_append (shot->headers, line);
  g_snprintf (line, sizeof line, "X-Request-Id: %s", shot->id);
  shot->headers = curl_slist_append (shot->headers, line);
  g_snprintf (line, sizeof line, "Cy-Request-Id: %s", shot->id);
  shot->headers = curl_slist_append (shot->headers, line);
  g_snprintf (line, sizeof line, "Cy-Timeout-Ms: %" PRId64,
              options->timeout_ms);
  shot->headers = curl_slist_append (shot->headers, line);
  shot->headers = curl_slist_append (shot->headers, "Expect:");
  if (!shot->post)
    return;
  g_snprintf (line, sizeof line, "Idempotency-Key: %s", shot->id);
  shot->headers = curl_slist_append (shot->headers, line);
  shot->headers
      = curl_slist_append (shot->headers, "Content-Type: text/plain");
}

static void
shot_send (struct shot *shot)
{
  struct cyg_drive *drive = shot->drive;
  const struct cyg_drive_options *options = &drive->options;
  CURL *easy = cyh_client_acquire (drive->client);
  shot->sends = 0;
  shot->attempts++;
  shot->outcome[0] = '\0';
  shot->digest[0] = '\0';
  g_string_truncate (shot->answer, 0);
  g_strlcpy (shot->entry, cyg_targets_get (drive->targets, shot->rank),
             sizeof shot->entry);
  char *url = options->direct[0] != '\0'
                  ? g_strdup_printf ("http://%s%s", shot->entry, options->path)
                  : g_strdup_printf ("http://%s/s/%s%s", shot->entry,
                                     options->service, options->path);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, shot->headers);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, take_answer);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, shot);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, take_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, shot);
  curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, before_send);
  curl_easy_setopt (easy, CURLOPT_PREREQDATA, shot);
  curl_easy_setopt (easy, CURLOPT_PRIVATE, shot);
  curl_easy_setopt (easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS, 1000L);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS,
                    (long)options->timeout_ms + CYG_GRACE_MS);
  if (shot->post)
    {
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE, (long)shot->body->len);
      curl_easy_setopt (easy, CURLOPT_POSTFIELDS, shot->body->str);
    }
  cyh_client_add (drive->client, easy);
  g_free (url);
}

static void
fire (struct cyg_drive *drive, const struct cyg_key *key)
{
  const struct cyg_drive_options *options = &drive->options;
  struct shot *shot = g_new0 (struct shot, 1);
  shot->drive = drive;
  shot->key = key;
  shot->id = g_strdup_printf ("%s-%" PRId64, options->prefix, ++drive->sent);
  shot->post = (int64_t)(next_random (drive) % 100) < options->post_percent;
  shot->body = g_string_new (NULL);
  shot->answer = g_string_new (NULL);
  shot->begun = cy_clock_now (cy_system_clock ());
  shot->unix_ms = cy_clock_unix_ms (cy_system_clock ());
  shot->rank = options->spread ? (unsigned)next_random (drive) : 0;
  if (shot->post)
    {
      g_string_printf (shot->body, "confirm %s\n", shot->id);
      while ((int64_t)shot->body->len < options->body_bytes)
        g_string_append (shot->body, "0123456789abcdef");
    }
  prepare_headers (shot);
  drive->open++;
  shot_send (shot);
}

static bool
is_over (const struct cyg_drive *drive)
{
  const struct cyg_drive_options *options = &drive->options;
  if (options->requests > 0 && drive->sent >= options->requests)
    return true;
  cy_time_ns now = cy_clock_now (cy_system_clock ());
  return options->duration_ms > 0
         && now - drive->started >= options->duration_ms * CY_NS_PER_MS;
}

/* Closed loop: a key chosen by weight.  */
static const struct cyg_key *
choose_key (struct cyg_drive *drive)
{
  const struct cyg_drive_options *options = &drive->options;
  double place = (double)(next_random (drive) >> 11) / 9007199254740992.0
                 * drive->weights;
  for (size_t i = 0; i < options->key_count; i++)
    {
      place -= options->keys[i].weight;
      if (place < 0)
        return &options->keys[i];
    }
  return &options->keys[options->key_count - 1];
}

static void
fire_due (struct cyg_drive *drive)
{
  const struct cyg_drive_options *options = &drive->options;
  cy_time_ns now = cy_clock_now (cy_system_clock ());
  double seconds = (double)(now - drive->paced) / CY_NS_PER_S;
  drive->paced = now;
  for (size_t i = 0; i < options->key_count; i++)
    {
      drive->credit[i] += seconds * (double)options->rate
                          * options->keys[i].weight / drive->weights;
      while (drive->credit[i] >= 1 && !is_over (drive))
        {
          drive->credit[i] -= 1;
          if (drive->open < options->concurrency)
            fire (drive, &options->keys[i]);
          else
            cyg_stats_skip (options->stats);
        }
    }
}

static void
pump (struct cyg_drive *drive)
{
  if (!drive->running)
    return;
  if (drive->options.rate > 0)
    fire_due (drive);
  else
    while (drive->open < drive->options.concurrency && !is_over (drive))
      fire (drive, choose_key (drive));
  if (is_over (drive) && drive->open == 0)
    cyn_loop_stop (drive->options.loop);
}

static void
on_tick (void *context)
{
  struct cyg_drive *drive = context;
  pump (drive);
  cyn_timer_start (drive->timer, drive->options.rate > 0 ? CYG_TICK_MS : 50);
}

/* Nothing ran and another entry VM may take the request.  "Could not connect"
   alone does not say that: libcurl ends with it when a kept connection died
   after the request was sent and the server is gone by the next try.  */
static bool
may_go_elsewhere (const struct shot *shot, CURLcode code, long status)
{
  if (shot->attempts >= CYG_ATTEMPTS_MAX)
    return false;
  if (shot->sends == 0
      && (code == CURLE_COULDNT_CONNECT || code == CURLE_OPERATION_TIMEDOUT))
    return true;
  if (!shot->post && code != CURLE_OK && code != CURLE_OPERATION_TIMEDOUT)
    return true;
  if (code != CURLE_OK || status != 503
      || strcmp (shot->outcome, "not-run") != 0)
    return false;
  int64_t problem = problem_code (shot);
  return problem == CY_E_STOPPING || problem == CY_E_STATE_STALE
         || problem == CY_E_NO_BACKEND;
}

static void
on_done (CURL *easy, CURLcode code, void *context)
{
  struct cyg_drive *drive = context;
  struct shot *shot = NULL;
  long status = 0;
  curl_easy_getinfo (easy, CURLINFO_PRIVATE, &shot);
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
  cyh_client_release (drive->client, easy);
  if (may_go_elsewhere (shot, code, status))
    {
      shot->perhaps_ran
          = shot->perhaps_ran || (code != CURLE_OK && shot->sends > 0);
      shot->rank++;
      shot_send (shot);
      return;
    }
  report (shot, code, status);
  shot_free (shot);
  drive->open--;
}

static void
after_round (void *context)
{
  struct cyg_drive *drive = context;
  if (drive->options.rate == 0)
    pump (drive);
}

static void
on_targets (void *context)
{
  struct cyg_drive *drive = context;
  if (drive->running)
    return;
  drive->running = true;
  drive->started = cy_clock_now (cy_system_clock ());
  drive->paced = drive->started;
  cyn_timer_start (drive->timer, 0);
}

struct cyg_drive *
cyg_drive_create (const struct cyg_drive_options *options)
{
  struct cyg_drive *drive = g_new0 (struct cyg_drive, 1);
  drive->options = *options;
  drive->random = (uint64_t)options->seed;
  drive->credit = g_new0 (double, options->key_count);
  for (size_t i = 0; i < options->key_count; i++)
    drive->weights += options->keys[i].weight;
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
                            options->service, on_targets, drive);
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
  g_free (drive->credit);
  g_free (drive);
}

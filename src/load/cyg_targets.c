#include "load/cyg_targets.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

#define CYG_LOOKUP_TIMEOUT_MS 1000L /* time limit of one lookup */
#define CYG_LOOKUP_RETRY_MS                                                   \
  50                      /* pause before the retry at the next entry VM */
#define CYG_TTL_MIN_MS 20 /* shortest use of a lookup's answer */

struct cyg_targets
{
  struct cyh_client *client;
  struct cyn_timer *timer;
  char **lookups;       /* "IP:PORT" of entry VMs, ends with NULL */
  unsigned next_lookup; /* index into lookups, modulo its length */
  char *service;
  GPtrArray *entries; /* char *, "IP:PORT" */
  GString *answer;    /* body of the lookup in flight */
  bool direct;        /* no lookups */
  void (*on_change) (void *context);
  void *context;
};

static size_t
append_answer (char *bytes, size_t size, size_t count, void *context)
{
  struct cyg_targets *targets = context;
  g_string_append_len (targets->answer, bytes, (gssize)(size * count));
  return size * count;
}

static void
send_lookup (void *context)
{
  struct cyg_targets *targets = context;
  unsigned count = g_strv_length (targets->lookups);
  const char *address = targets->lookups[targets->next_lookup % count];
  char *url = g_strdup_printf ("http://%s/v1/lookup?service=%s", address,
                               targets->service);
  CURL *easy = cyh_client_acquire (targets->client);
  g_string_truncate (targets->answer, 0);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, CYG_LOOKUP_TIMEOUT_MS);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, append_answer);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, targets);
  curl_easy_setopt (easy, CURLOPT_NOPROXY, "*");
  cyh_client_add (targets->client, easy);
  g_free (url);
}

/* Replaces the entry VMs by those of a lookup's answer.  Returns its time to
   live in ms, 0 if the answer has no entry VM.  */
static int64_t
parse_entries (struct cyg_targets *targets)
{
  int64_t ttl = 0;
  json_t *root
      = json_loadb (targets->answer->str, targets->answer->len, 0, NULL);
  json_t *list = json_object_get (root, "entry_vms");
  size_t count = json_array_size (list);
  if (count == 0)
    goto out;
  g_ptr_array_set_size (targets->entries, 0);
  for (size_t i = 0; i < count; i++)
    {
      json_t *item = json_array_get (list, i);
      const char *host = json_string_value (json_object_get (item, "host"));
      json_int_t port = json_integer_value (json_object_get (item, "port"));
      if (host != NULL)
        g_ptr_array_add (targets->entries,
                         g_strdup_printf ("%s:%d", host, (int)port));
    }
  ttl = json_integer_value (json_object_get (root, "ttl_ms"));
  ttl = MAX (ttl, CYG_TTL_MIN_MS);
out:
  json_decref (root);
  return ttl;
}

static void
on_done (CURL *easy, CURLcode code, void *context)
{
  struct cyg_targets *targets = context;
  long status = 0;
  int64_t ttl = 0;
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
  if (code == CURLE_OK && status == 200)
    ttl = parse_entries (targets);
  cyh_client_release (targets->client, easy);
  if (ttl == 0)
    targets->next_lookup++;
  cyn_timer_start (targets->timer, ttl > 0 ? ttl : CYG_LOOKUP_RETRY_MS);
  if (ttl > 0)
    targets->on_change (targets->context);
}

static void
notify_direct (void *context)
{
  struct cyg_targets *targets = context;
  targets->on_change (targets->context);
}

struct cyg_targets *
cyg_targets_create (struct cyn_loop *loop, const char *lookups,
                    const char *direct, const char *service,
                    void (*on_change) (void *context), void *context)
{
  struct cyg_targets *targets = g_new0 (struct cyg_targets, 1);
  targets->direct = direct[0] != '\0';
  targets->lookups = g_strsplit (lookups, ",", -1);
  targets->service = g_strdup (service);
  targets->entries = g_ptr_array_new_with_free_func (g_free);
  targets->answer = g_string_new (NULL);
  targets->on_change = on_change;
  targets->context = context;
  struct cyh_client_options options = {
    .loop = loop, .connections_max = 8, .on_done = on_done, .context = targets
  };
  targets->client = cyh_client_create (&options);
  targets->timer = cyn_timer_create (
      loop, targets->direct ? notify_direct : send_lookup, targets);
  char **parts = g_strsplit (direct, ",", -1);
  for (char **part = parts; *part != NULL; part++)
    g_ptr_array_add (targets->entries, g_strdup (*part));
  g_strfreev (parts);
  cyn_timer_start (targets->timer, 0);
  return targets;
}

void
cyg_targets_destroy (struct cyg_targets *targets)
{
  if (targets == NULL)
    return;
  cyn_timer_destroy (targets->timer);
  cyh_client_destroy (targets->client);
  g_strfreev (targets->lookups);
  g_free (targets->service);
  g_ptr_array_free (targets->entries, TRUE);
  g_string_free (targets->answer, TRUE);
  g_free (targets);
}

bool
cyg_targets_ready (const struct cyg_targets *targets)
{
  return targets->entries->len > 0;
}

const char *
cyg_targets_get (const struct cyg_targets *targets, unsigned rank)
{
  return g_ptr_array_index (targets->entries, rank % targets->entries->len);
}

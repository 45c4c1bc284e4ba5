#include "backend/cyk_announce.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "http/cyh_client.h"

#define CYK_ANNOUNCE_TIMEOUT_MS 1000L /* of one announcement */

struct cyk_announce
{
  struct cyk_announce_options options;
  struct cyh_client *client;
  struct cyn_timer *timer;
  struct curl_slist *headers;
  char **entries;  /* "IP:PORT" of each entry VM, ends with NULL */
  bool *in_flight; /* by entry VM: an announcement is in flight */
  bool draining;   /* state to announce: "draining" instead of "serving" */
};

static size_t
discard_answer (char *bytes, size_t size, size_t count, void *context)
{
  (void)bytes;
  (void)context;
  return size * count;
}

static char *
format_announcement (const struct cyk_announce *announce)
{
  const struct cyk_announce_options *options = &announce->options;
  json_t *root = json_pack ("{ss ss ss ss sI sI sI ss sI sI}", "service",
                            options->service, "instance", options->instance,
                            "zone", options->zone, "host", options->host,
                            "port", (json_int_t)options->port, "slots",
                            (json_int_t)options->slots, "connections",
                            (json_int_t)options->connections, "state",
                            announce->draining ? "draining" : "serving",
                            "lease_ms", (json_int_t)options->lease_ms,
                            "incarnation", (json_int_t)options->incarnation);
  char *text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  return text;
}

static void
send_announcement (struct cyk_announce *announce, guint entry,
                   const char *text)
{
  if (announce->in_flight[entry])
    return;
  announce->in_flight[entry] = true;
  CURL *easy = cyh_client_acquire (announce->client);
  char *url
      = g_strdup_printf ("http://%s/v1/announce", announce->entries[entry]);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_COPYPOSTFIELDS, text);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, announce->headers);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, CYK_ANNOUNCE_TIMEOUT_MS);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, discard_answer);
  curl_easy_setopt (easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (easy, CURLOPT_PRIVATE, &announce->in_flight[entry]);
  cyh_client_add (announce->client, easy);
  g_free (url);
}

static void
send_announcements (void *context)
{
  struct cyk_announce *announce = context;
  char *text = format_announcement (announce);
  for (guint i = 0; announce->entries[i] != NULL; i++)
    send_announcement (announce, i, text);
  free (text);
  cyn_timer_start (announce->timer, MAX (1, announce->options.lease_ms / 3));
}

static void
on_done (CURL *easy, CURLcode code, void *context)
{
  (void)code; /* no retry: the next announcement is due soon */
  struct cyk_announce *announce = context;
  bool *in_flight = NULL;
  curl_easy_getinfo (easy, CURLINFO_PRIVATE, &in_flight);
  *in_flight = false;
  cyh_client_release (announce->client, easy);
}

struct cyk_announce *
cyk_announce_create (const struct cyk_announce_options *options)
{
  struct cyk_announce *announce = g_new0 (struct cyk_announce, 1);
  announce->options = *options;
  announce->entries = g_strsplit (options->entries, ",", -1);
  announce->in_flight = g_new0 (bool, g_strv_length (announce->entries) + 1);
  announce->headers
      = curl_slist_append (NULL, "Content-Type: application/json");
  struct cyh_client_options client = { .loop = options->loop,
                                       .connections_max = 64,
                                       .on_done = on_done,
                                       .context = announce };
  announce->client = cyh_client_create (&client);
  announce->timer
      = cyn_timer_create (options->loop, send_announcements, announce);
  cyn_timer_start (announce->timer, 0);
  return announce;
}

void
cyk_announce_destroy (struct cyk_announce *announce)
{
  if (announce == NULL)
    return;
  cyn_timer_destroy (announce->timer);
  cyh_client_destroy (announce->client);
  curl_slist_free_all (announce->headers);
  g_strfreev (announce->entries);
  g_free (announce->in_flight);
  g_free (announce);
}

void
cyk_announce_start_draining (struct cyk_announce *announce)
{
  announce->draining = true;
  memset (announce->in_flight, 0,
          g_strv_length (announce->entries) * sizeof *announce->in_flight);
  send_announcements (announce);
}

#include "entry/cye_health.h"

#include <glib.h>
#include <string.h>

#include "entry/cye_answer.h"
#include "http/cyh_client.h"

#define CYE_HEALTH_CONNECTIONS_MAX 256 /* connections that libcurl keeps */

/* The probes of one backend server.  */
struct probe
{
  struct cye_health *health;
  char *service;
  char instance[CYB_NAME_MAX];
  uint64_t incarnation;
  char *url;
  struct cye_answer_head head; /* of the newest answer */
  unsigned failures;           /* consecutive failed probes */
  bool in_flight;              /* a probe is unanswered */
  bool is_listed;              /* the pool held the server in the last round */
  bool is_paused;              /* the server wants no requests, or few */
};

struct cye_health
{
  struct cye_slots *slots;
  const struct cy_clock *clock;
  struct cyh_client *client;
  struct cyn_timer *timer;
  GHashTable *probes; /* "SERVICE/INSTANCE/INCARNATION" -> struct probe */
};

static void
probe_free (void *data)
{
  struct probe *probe = data;
  cye_answer_clear (&probe->head);
  g_free (probe->service);
  g_free (probe->url);
  g_free (probe);
}

static size_t
on_header (char *line, size_t size, size_t count, void *context)
{
  struct probe *probe = context;
  size_t length = size * count;
  return cye_answer_read_line (&probe->head, line, length) == CYE_ANSWER_SOUND
             ? length
             : 0;
}

static size_t
discard_body (char *bytes, size_t size, size_t count, void *context)
{
  (void)bytes;
  (void)context;
  return size * count;
}

static void
update_probe (const char *service, const struct cyb_server *server,
              void *context)
{
  struct cye_health *health = context;
  char *name = g_strdup_printf ("%s/%s/%" G_GUINT64_FORMAT, service,
                                server->instance, server->incarnation);
  struct probe *probe = g_hash_table_lookup (health->probes, name);
  if (probe == NULL)
    {
      bool v6 = strchr (server->host, ':') != NULL;
      probe = g_new0 (struct probe, 1);
      cye_answer_init (&probe->head);
      probe->health = health;
      probe->service = g_strdup (service);
      g_strlcpy (probe->instance, server->instance, sizeof probe->instance);
      probe->incarnation = server->incarnation;
      probe->url = g_strdup_printf (v6 ? "http://[%s]:%u/health"
                                       : "http://%s:%u/health",
                                    server->host, server->port);
      g_hash_table_insert (health->probes, g_strdup (name), probe);
    }
  probe->is_listed = true;
  probe->is_paused
      = cy_clock_now (health->clock) < server->paused_until
        || (cym_limit_is_set (&server->limit) && !server->unhealthy);
  g_free (name);
}

static void
send_probe (struct cye_health *health, struct probe *probe)
{
  CURL *easy = cyh_client_acquire (health->client);
  probe->in_flight = true;
  cye_answer_clear (&probe->head);
  cye_answer_init (&probe->head);
  curl_easy_setopt (easy, CURLOPT_URL, probe->url);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long)CYE_HEALTH_TIMEOUT_MS);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, probe);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, discard_body);
  curl_easy_setopt (easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt (easy, CURLOPT_FORBID_REUSE, 1L);
  curl_easy_setopt (easy, CURLOPT_PRIVATE, probe);
  cyh_client_add (health->client, easy);
}

static void
on_done (CURL *easy, CURLcode code, void *context)
{
  struct cye_health *health = context;
  struct probe *probe = NULL;
  curl_off_t connect_us = 0;
  curl_easy_getinfo (easy, CURLINFO_PRIVATE, &probe);
  curl_easy_getinfo (easy, CURLINFO_CONNECT_TIME_T, &connect_us);
  cyh_client_release (health->client, easy);
  bool succeeded
      = code == CURLE_OK && probe->head.complete && probe->head.status < 300;
  probe->in_flight = false;
  probe->failures = succeeded ? 0 : probe->failures + 1;
  if (succeeded || probe->failures >= CYE_HEALTH_FAILURES_MAX)
    cye_slots_record_probe (health->slots, probe->service, probe->instance,
                            probe->incarnation, succeeded,
                            (cy_time_ns)connect_us * CY_NS_PER_US);
}

static gboolean
is_removable (gpointer name, gpointer value, gpointer context)
{
  (void)name;
  (void)context;
  const struct probe *probe = value;
  return !probe->is_listed && !probe->in_flight;
}

static void
probe_all (void *context)
{
  struct cye_health *health = context;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, health->probes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct probe *)value)->is_listed = false;
  cye_slots_each (health->slots, update_probe, health);
  g_hash_table_foreach_remove (health->probes, is_removable, NULL);
  g_hash_table_iter_init (&iter, health->probes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct probe *probe = value;
      if (!probe->in_flight && !probe->is_paused)
        send_probe (health, probe);
    }
  cyn_timer_start (health->timer, CYE_HEALTH_INTERVAL_MS);
}

struct cye_health *
cye_health_create (struct cyn_loop *loop, struct cye_slots *slots)
{
  struct cye_health *health = g_new0 (struct cye_health, 1);
  health->slots = slots;
  health->clock = cyn_loop_clock (loop);
  health->probes
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, probe_free);
  struct cyh_client_options client
      = { .loop = loop,
          .connections_max = CYE_HEALTH_CONNECTIONS_MAX,
          .on_done = on_done,
          .context = health };
  health->client = cyh_client_create (&client);
  health->timer = cyn_timer_create (loop, probe_all, health);
  cyn_timer_start (health->timer, CYE_HEALTH_INTERVAL_MS);
  return health;
}

void
cye_health_destroy (struct cye_health *health)
{
  if (health == NULL)
    return;
  cyn_timer_destroy (health->timer);
  cyh_client_destroy (health->client);
  g_hash_table_destroy (health->probes);
  g_free (health);
}

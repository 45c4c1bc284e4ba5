#include "entry/cye_announce.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "base/cyu_settings.h"

/* The process that holds the name SERVICE/INSTANCE.  */
struct holder
{
  char *host;
  uint32_t port;
  uint64_t incarnation;
  cy_time_ns first_announced; /* time of the first announcement */
  cy_time_ns expires_at;      /* end of the lease on the name */
};

struct cye_announce
{
  char *zone;
  const struct cy_clock *clock;
  GMutex lock;
  GHashTable *holders; /* "SERVICE/INSTANCE" -> struct holder */
};

static void
holder_free (void *data)
{
  struct holder *holder = data;
  g_free (holder->host);
  g_free (holder);
}

struct cye_announce *
cye_announce_create (const char *zone, const struct cy_clock *clock)
{
  struct cye_announce *announce = g_new0 (struct cye_announce, 1);
  announce->zone = g_strdup (zone);
  announce->clock = clock;
  g_mutex_init (&announce->lock);
  announce->holders
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, holder_free);
  return announce;
}

void
cye_announce_destroy (struct cye_announce *announce)
{
  if (announce == NULL)
    return;
  g_hash_table_destroy (announce->holders);
  g_mutex_clear (&announce->lock);
  g_free (announce->zone);
  g_free (announce);
}

/* ------------------------------------------------------------ parsing */

static bool
is_name (const char *text)
{
  size_t length = text == NULL ? 0 : strlen (text);
  if (length == 0 || length > 100)
    return false;
  for (const char *p = text; *p != '\0'; p++)
    if (!g_ascii_isalnum (*p) && strchr ("-_.", *p) == NULL)
      return false;
  return true;
}

static bool
read_number (const json_t *root, const char *name, int64_t minimum,
             int64_t maximum, int64_t *number)
{
  const json_t *value = json_object_get (root, name);
  *number = json_integer_value (value);
  return json_is_integer (value) && *number >= minimum && *number <= maximum;
}

static cy_result
read_numbers (const json_t *root, Cy__BackendStatus *status)
{
  int64_t port;
  int64_t slots;
  int64_t connections;
  int64_t lease;
  if (!read_number (root, "port", 1, 65535, &port)
      || !read_number (root, "slots", 0, 100000, &slots)
      || !read_number (root, "connections", 1, 1000000, &connections)
      || !read_number (root, "lease_ms", CYE_ANNOUNCE_LEASE_MIN_MS,
                       CYE_ANNOUNCE_LEASE_MAX_MS, &lease))
    return CY_E_ANNOUNCE_INVALID;
  status->port = (uint32_t)port;
  status->slots = (uint32_t)slots;
  status->connections = (uint32_t)connections;
  status->lease_ms = (uint32_t)lease;
  const json_t *incarnation = json_object_get (root, "incarnation");
  if (incarnation != NULL
      && (!json_is_integer (incarnation)
          || json_integer_value (incarnation) < 0))
    return CY_E_ANNOUNCE_INVALID;
  status->incarnation = (uint64_t)json_integer_value (incarnation);
  return CY_OK;
}

static cy_result
read_status (const struct cye_announce *announce, const json_t *root,
             Cy__BackendStatus *status)
{
  const char *service = json_string_value (json_object_get (root, "service"));
  const char *instance
      = json_string_value (json_object_get (root, "instance"));
  const char *zone = json_string_value (json_object_get (root, "zone"));
  const char *host = json_string_value (json_object_get (root, "host"));
  const char *state = json_string_value (json_object_get (root, "state"));
  if (!is_name (service) || !is_name (instance) || !is_name (zone)
      || host == NULL || !cyu_is_ip (host) || state == NULL)
    return CY_E_ANNOUNCE_INVALID;
  if (strcmp (zone, announce->zone) != 0)
    return CY_E_ZONE_MISMATCH;
  status->draining = strcmp (state, "draining") == 0;
  if (!status->draining && strcmp (state, "serving") != 0)
    return CY_E_ANNOUNCE_INVALID;
  status->service = g_strdup (service);
  status->instance = g_strdup (instance);
  status->zone = g_strdup (zone);
  status->host = g_strdup (host);
  return read_numbers (root, status);
}

/* ------------------------------------------------------------ names */

/* Claims NAME for the process of STATUS and sets warm_ms of STATUS to the time
   since the first announcement of that process, limited to the longest lease.
   CY_E_EXISTS when another process holds NAME.  */
static cy_result
claim_name (struct cye_announce *announce, const char *name,
            Cy__BackendStatus *status)
{
  cy_time_ns now = cy_clock_now (announce->clock);
  struct holder *holder = g_hash_table_lookup (announce->holders, name);
  bool is_holder = holder != NULL && holder->incarnation == status->incarnation
                   && holder->port == status->port
                   && strcmp (holder->host, status->host) == 0;
  if (holder != NULL && !is_holder && now < holder->expires_at
      && status->incarnation <= holder->incarnation)
    return CY_E_EXISTS;
  if (!is_holder)
    {
      holder = g_new0 (struct holder, 1);
      holder->host = g_strdup (status->host);
      holder->port = status->port;
      holder->incarnation = status->incarnation;
      holder->first_announced = now;
      g_hash_table_insert (announce->holders, g_strdup (name), holder);
    }
  holder->expires_at = now + (cy_time_ns)status->lease_ms * CY_NS_PER_MS;
  status->warm_ms
      = (uint32_t)MIN ((now - holder->first_announced) / CY_NS_PER_MS,
                       CYE_ANNOUNCE_LEASE_MAX_MS);
  return CY_OK;
}

static gboolean
is_expired (gpointer name, gpointer value, gpointer context)
{
  (void)name;
  const struct holder *holder = value;
  return holder->expires_at < *(const cy_time_ns *)context;
}

cy_result
cye_announce_parse (struct cye_announce *announce, const char *text,
                    size_t length, Cy__Object **out)
{
  json_t *root = json_loadb (text, length, JSON_REJECT_DUPLICATES, NULL);
  Cy__Object *object = g_new (Cy__Object, 1);
  Cy__BackendStatus *status = g_new (Cy__BackendStatus, 1);
  cy__object__init (object);
  cy__backend_status__init (status);
  object->body_case = CY__OBJECT__BODY_BACKEND;
  object->backend = status;
  cy_result result = CY_E_ANNOUNCE_INVALID;
  if (!json_is_object (root))
    goto out;
  result = read_status (announce, root, status);
  if (result != CY_OK)
    goto out;
  object->key
      = g_strdup_printf ("backend/%s/%s", status->service, status->instance);
  cy_time_ns now = cy_clock_now (announce->clock);
  g_mutex_lock (&announce->lock);
  g_hash_table_foreach_remove (announce->holders, is_expired, &now);
  result = claim_name (announce, object->key, status);
  g_mutex_unlock (&announce->lock);
out:
  json_decref (root);
  if (result == CY_OK)
    *out = object;
  else
    cy__object__free_unpacked (object, NULL);
  return result;
}

#include "core/cya_access.h"

#include <glib.h>
#include <string.h>

#define CYA_DIGEST_BYTES 32 /* bytes of a SHA-256 digest */

struct cya_key
{
  char *workspace;                  /* name */
  uint8_t digest[CYA_DIGEST_BYTES]; /* SHA-256 of the complete key */
  int64_t expires_unix_ms;          /* 0: never */
  bool withdrawn;
};

struct cya_access
{
  uint64_t version;
  struct cya_limits limits;
  GHashTable *services;   /* name -> struct cya_service */
  GHashTable *workspaces; /* name -> struct cya_workspace */
  GHashTable *keys;       /* id -> struct cya_key */
  GHashTable *drains;     /* set of "KIND:NAME" */
};

/* ------------------------------------------------- create and destroy */

static void
service_free (void *data)
{
  struct cya_service *service = data;
  for (size_t i = 0; i < service->route_count; i++)
    g_free ((char *)service->routes[i].prefix);
  g_free (service->routes);
  g_free ((char *)service->name);
  g_free (service);
}

static void
workspace_free (void *data)
{
  struct cya_workspace *workspace = data;
  g_free ((char *)workspace->name);
  g_free (workspace);
}

static void
key_free (void *data)
{
  struct cya_key *key = data;
  g_free (key->workspace);
  g_free (key);
}

static int
compare_routes (const void *a, const void *b)
{
  const struct cya_route *left = a;
  const struct cya_route *right = b;
  size_t left_length = strlen (left->prefix);
  size_t right_length = strlen (right->prefix);
  return left_length < right_length ? 1 : -(left_length > right_length);
}

static bool
add_service (const Cy__Object *object, void *context)
{
  struct cya_access *access = context;
  const Cy__Service *declared = object->service;
  if (object->body_case != CY__OBJECT__BODY_SERVICE)
    return true;
  struct cya_service *service = g_new0 (struct cya_service, 1);
  service->name = g_strdup (declared->name);
  service->timeout_ms
      = declared->timeout_ms > 0 ? declared->timeout_ms : CYA_TIMEOUT_MS;
  service->max_body_bytes = declared->max_body_bytes > 0
                                ? declared->max_body_bytes
                                : CYA_BODY_MAX_BYTES;
  service->route_count = declared->n_routes;
  service->routes = g_new0 (struct cya_route, declared->n_routes + 1);
  for (size_t i = 0; i < declared->n_routes; i++)
    {
      service->routes[i].prefix = g_strdup (declared->routes[i]->prefix);
      service->routes[i].open = declared->routes[i]->open;
      service->routes[i].idempotent_post
          = declared->routes[i]->idempotent_post;
    }
  qsort (service->routes, service->route_count, sizeof *service->routes,
         compare_routes);
  g_hash_table_insert (access->services, g_strdup (declared->name), service);
  return true;
}

static bool
add_workspace (const Cy__Object *object, void *context)
{
  struct cya_access *access = context;
  const Cy__Workspace *declared = object->workspace;
  if (object->body_case != CY__OBJECT__BODY_WORKSPACE)
    return true;
  struct cya_workspace *workspace = g_new0 (struct cya_workspace, 1);
  workspace->name = g_strdup (declared->name);
  workspace->weight = declared->weight > 0 ? declared->weight : 1;
  workspace->serve_cut_off = declared->serve_cut_off;
  workspace->cut_off_max_ms = declared->cut_off_max_ms;
  g_hash_table_insert (access->workspaces, g_strdup (declared->name),
                       workspace);
  return true;
}

static bool
add_key (const Cy__Object *object, void *context)
{
  struct cya_access *access = context;
  const Cy__Key *declared = object->access_key;
  if (object->body_case != CY__OBJECT__BODY_ACCESS_KEY
      || declared->digest.len != CYA_DIGEST_BYTES)
    return true;
  struct cya_key *key = g_new0 (struct cya_key, 1);
  key->workspace = g_strdup (declared->workspace);
  memcpy (key->digest, declared->digest.data, CYA_DIGEST_BYTES);
  key->expires_unix_ms = declared->expires_unix_ms;
  key->withdrawn = declared->withdrawn;
  g_hash_table_insert (access->keys, g_strdup (declared->id), key);
  return true;
}

static bool
add_drain (const Cy__Object *object, void *context)
{
  struct cya_access *access = context;
  if (object->body_case == CY__OBJECT__BODY_DRAIN)
    g_hash_table_add (
        access->drains,
        g_strdup_printf ("%s:%s", object->drain->kind, object->drain->name));
  return true;
}

static void
load_limits (struct cya_access *access, const struct cys_state *state)
{
  access->limits
      = (struct cya_limits){ CYA_KEY_MAX_AGE_MS, CYA_DRAIN_NOTICE_MS,
                             CYA_LOOKUP_TTL_MS, CYA_RETRY_BUDGET };
  const Cy__Object *object = cys_state_get (state, "limits/fleet");
  if (object == NULL || object->body_case != CY__OBJECT__BODY_LIMITS)
    return;
  const Cy__Limits *limits = object->limits;
  if (limits->key_max_age_ms > 0)
    access->limits.key_max_age_ms = limits->key_max_age_ms;
  access->limits.drain_notice_ms = limits->drain_notice_ms;
  if (limits->lookup_ttl_ms > 0)
    access->limits.lookup_ttl_ms = limits->lookup_ttl_ms;
  access->limits.retry_budget = limits->retry_budget;
}

struct cya_access *
cya_access_create (const struct cys_state *state)
{
  struct cya_access *access = g_new0 (struct cya_access, 1);
  access->version = cys_state_version (state);
  access->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, service_free);
  access->workspaces = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                              workspace_free);
  access->keys
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, key_free);
  access->drains
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  load_limits (access, state);
  cys_state_each (state, "service/", add_service, access);
  cys_state_each (state, "workspace/", add_workspace, access);
  cys_state_each (state, "key/", add_key, access);
  cys_state_each (state, "drain/", add_drain, access);
  return access;
}

void
cya_access_destroy (struct cya_access *access)
{
  if (access == NULL)
    return;
  g_hash_table_destroy (access->services);
  g_hash_table_destroy (access->workspaces);
  g_hash_table_destroy (access->keys);
  g_hash_table_destroy (access->drains);
  g_free (access);
}

/* ------------------------------------------------------------ lookups */

uint64_t
cya_access_version (const struct cya_access *access)
{
  return access->version;
}

const struct cya_limits *
cya_access_limits (const struct cya_access *access)
{
  return &access->limits;
}

const struct cya_service *
cya_access_find_service (const struct cya_access *access, const char *name)
{
  return g_hash_table_lookup (access->services, name);
}

const struct cya_workspace *
cya_access_find_workspace (const struct cya_access *access, const char *name)
{
  return g_hash_table_lookup (access->workspaces, name);
}

static bool
prefix_matches (const char *prefix, const char *path)
{
  size_t length = strlen (prefix);
  if (strncmp (prefix, path, length) != 0)
    return false;
  return length == 0 || prefix[length - 1] == '/' || path[length] == '\0'
         || path[length] == '/';
}

const struct cya_route *
cya_service_find_route (const struct cya_service *service, const char *path)
{
  static const struct cya_route implicit = { "/", false, false };
  if (service->route_count == 0)
    return &implicit;
  for (size_t i = 0; i < service->route_count; i++)
    if (prefix_matches (service->routes[i].prefix, path))
      return &service->routes[i];
  return NULL;
}

/* ------------------------------------------------------------ keys */

static bool
equal_in_constant_time (const uint8_t *a, const uint8_t *b)
{
  volatile uint8_t difference = 0;
  for (size_t i = 0; i < CYA_DIGEST_BYTES; i++)
    difference = difference | (uint8_t)(a[i] ^ b[i]);
  return difference == 0;
}

static void
compute_digest (const char *key, size_t length, uint8_t *digest)
{
  gsize size = CYA_DIGEST_BYTES;
  GChecksum *sum = g_checksum_new (G_CHECKSUM_SHA256);
  g_checksum_update (sum, (const guchar *)key, (gssize)length);
  g_checksum_get_digest (sum, digest, &size);
  g_checksum_free (sum);
}

/* Returns the key whose id is between the prefix and an underscore of KEY,
   NULL if there is none.  An id may contain underscores, so each one is tried.
   *WELL_FORMED gets whether KEY has an id and a secret.  */
static const struct cya_key *
find_key (const struct cya_access *access, const char *key, size_t length,
          bool *well_formed)
{
  char id[CYA_KEY_MAX];
  size_t start = strlen (CYA_KEY_PREFIX);
  *well_formed = false;
  for (size_t i = start + 1; i + 1 < length; i++)
    {
      if (key[i] != '_')
        continue;
      *well_formed = true;
      memcpy (id, key + start, i - start);
      id[i - start] = '\0';
      const struct cya_key *found = g_hash_table_lookup (access->keys, id);
      if (found != NULL)
        return found;
    }
  return NULL;
}

cy_result
cya_access_check_key (const struct cya_access *access, const char *key,
                      size_t length, int64_t unix_ms,
                      const struct cya_workspace **workspace)
{
  static const struct cya_key no_key;
  uint8_t digest[CYA_DIGEST_BYTES];
  bool well_formed = false;
  *workspace = NULL;
  if (length >= CYA_KEY_MAX || memchr (key, '\0', length) != NULL
      || length <= strlen (CYA_KEY_PREFIX)
      || memcmp (key, CYA_KEY_PREFIX, strlen (CYA_KEY_PREFIX)) != 0)
    return CY_E_KEY_MALFORMED;
  const struct cya_key *found = find_key (access, key, length, &well_formed);
  if (!well_formed)
    return CY_E_KEY_MALFORMED;
  compute_digest (key, length, digest);
  bool equal = equal_in_constant_time (digest, found != NULL ? found->digest
                                                             : no_key.digest);
  if (found == NULL || !equal)
    return CY_E_KEY_UNKNOWN;
  if (found->withdrawn)
    return CY_E_KEY_WITHDRAWN;
  if (found->expires_unix_ms != 0 && unix_ms >= found->expires_unix_ms)
    return CY_E_KEY_EXPIRED;
  *workspace = cya_access_find_workspace (access, found->workspace);
  return *workspace == NULL ? CY_E_KEY_UNKNOWN : CY_OK;
}

bool
cya_access_is_drained (const struct cya_access *access, const char *kind,
                       const char *name)
{
  char *key = g_strdup_printf ("%s:%s", kind, name);
  bool drained = g_hash_table_contains (access->drains, key);
  g_free (key);
  return drained;
}

#include "core/cym_notices.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define PRUNE_INTERVAL_S 10 /* between two removals of outdated notices */

struct noted_server
{
  uint64_t incarnation;
  struct cym_notice notice;
  cy_time_ns recorded_at; /* time of the latest change */
};

struct cym_notices
{
  GHashTable *servers; /* id to struct noted_server */
  cy_time_ns pruned_at;
};

struct cym_notices *
cym_notices_create (void)
{
  struct cym_notices *notices = g_new0 (struct cym_notices, 1);
  notices->servers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return notices;
}

void
cym_notices_destroy (struct cym_notices *notices)
{
  if (notices == NULL)
    return;
  g_hash_table_destroy (notices->servers);
  g_free (notices);
}

/* True when SERVER wants no request of this VM at NOW.  */
static bool
forbids_requests (const struct noted_server *server, cy_time_ns now)
{
  cy_time_ns age = now - server->recorded_at;
  return server->notice.paused_until > now
         || (server->notice.leaving && age < CYM_LEAVING_KEPT_S * CY_NS_PER_S);
}

static bool
is_in_force (const struct noted_server *server, cy_time_ns now)
{
  const struct cym_limit *limit = &server->notice.limit;
  return forbids_requests (server, now)
         || (cym_limit_is_set (limit)
             && now - limit->confirmed_at < CYM_LIMIT_KEPT_S * CY_NS_PER_S);
}

static void
prune (struct cym_notices *notices, cy_time_ns now)
{
  GHashTableIter iter;
  gpointer value;
  if (now - notices->pruned_at < PRUNE_INTERVAL_S * CY_NS_PER_S)
    return;
  notices->pruned_at = now;
  g_hash_table_iter_init (&iter, notices->servers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (!is_in_force (value, now))
      g_hash_table_iter_remove (&iter);
}

/* Returns the entry of INCARNATION of server ID, which is created if there is
   none; NULL when a later incarnation is known.  */
static struct noted_server *
get_or_add (struct cym_notices *notices, const char *id, uint64_t incarnation,
            cy_time_ns now)
{
  prune (notices, now);
  struct noted_server *server = g_hash_table_lookup (notices->servers, id);
  if (server != NULL && incarnation < server->incarnation)
    return NULL;
  if (server != NULL && incarnation == server->incarnation)
    return server;
  server = g_new0 (struct noted_server, 1);
  server->incarnation = incarnation;
  cym_limit_init (&server->notice.limit);
  g_hash_table_replace (notices->servers, g_strdup (id), server);
  return server;
}

enum cym_notice_change
cym_notices_record (struct cym_notices *notices, const char *id,
                    uint64_t incarnation, const struct cym_load *load,
                    cy_time_ns now)
{
  if (!load->leaving && load->pause_ms == 0)
    return CYM_NOTICE_UNCHANGED;
  struct noted_server *server = get_or_add (notices, id, incarnation, now);
  if (server == NULL)
    return CYM_NOTICE_UNCHANGED;
  bool was_leaving = server->notice.leaving;
  cy_time_ns until
      = now + MIN (load->pause_ms, CYM_PAUSE_MAX_MS) * CY_NS_PER_MS;
  bool is_longer = load->pause_ms > 0 && until > server->notice.paused_until;
  server->notice.leaving = was_leaving || load->leaving;
  if (is_longer)
    server->notice.paused_until = until;
  server->recorded_at = now;
  if (!was_leaving && load->leaving)
    return CYM_NOTICE_LEAVING;
  return is_longer ? CYM_NOTICE_PAUSED : CYM_NOTICE_UNCHANGED;
}

bool
cym_notices_record_limit (struct cym_notices *notices, const char *id,
                          uint64_t incarnation, double per_s,
                          cy_time_ns sent_at, cy_time_ns received_at)
{
  if (isinf (per_s) && g_hash_table_lookup (notices->servers, id) == NULL)
    return false;
  struct noted_server *server
      = get_or_add (notices, id, incarnation, received_at);
  return server != NULL
         && cym_limit_record (&server->notice.limit, per_s, sent_at,
                              received_at);
}

struct cym_notice
cym_notices_get (const struct cym_notices *notices, const char *id,
                 uint64_t incarnation)
{
  const struct noted_server *server
      = g_hash_table_lookup (notices->servers, id);
  if (server == NULL || server->incarnation != incarnation)
    return (struct cym_notice){ .limit.per_s = INFINITY };
  return server->notice;
}

bool
cym_notices_allow (const struct cym_notices *notices, const char *id,
                   uint64_t incarnation, cy_time_ns now)
{
  const struct noted_server *server
      = g_hash_table_lookup (notices->servers, id);
  return server == NULL || server->incarnation != incarnation
         || !forbids_requests (server, now);
}

void
cym_notices_each (const struct cym_notices *notices, cy_time_ns now,
                  cym_notice_fn each, void *context)
{
  GHashTableIter iter;
  gpointer id;
  gpointer value;
  g_hash_table_iter_init (&iter, notices->servers);
  while (g_hash_table_iter_next (&iter, &id, &value))
    {
      const struct noted_server *server = value;
      if (is_in_force (server, now))
        each (id, server->incarnation, &server->notice, context);
    }
}

bool
cym_pause_parse (const char *text, uint32_t *ms)
{
  char *end = NULL;
  if (!g_ascii_isdigit (text[0]) || text[strspn (text, "0123456789.")] != '\0')
    return false;
  double seconds = g_ascii_strtod (text, &end);
  if (*end != '\0' || !isfinite (seconds))
    return false;
  *ms = (uint32_t)fmin (ceil (seconds * 1000), CYM_PAUSE_MAX_MS);
  return true;
}

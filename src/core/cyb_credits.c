#include "core/cyb_credits_internal.h"

#include <stdlib.h>
#include <string.h>

/* ------------------------------------------------------------ life cycle */

static void
server_free (struct server *server)
{
  struct grant *grant = NULL;
  struct grant *next = NULL;
  CK_LIST_FOREACH_SAFE (grant, &server->grants, link, next) { g_free (grant); }
  g_free (server->instance);
  g_free (server);
}

static void
service_free (void *data)
{
  struct service *service = data;
  struct server *server = NULL;
  struct server *next_server = NULL;
  CK_LIST_FOREACH_SAFE (server, &service->servers, link, next_server)
  {
    server_free (server);
  }
  struct holder *holder = NULL;
  struct holder *next_holder = NULL;
  CK_LIST_FOREACH_SAFE (holder, &service->holders, link, next_holder)
  {
    g_free (holder->name);
    g_free (holder);
  }
  g_free (service->name);
  g_free (service);
}

struct cyb_credits *
cyb_credits_create (const struct cy_clock *clock)
{
  struct cyb_credits *ledger = g_new0 (struct cyb_credits, 1);
  ledger->clock = clock;
  ledger->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, service_free);
  ledger->request_times
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return ledger;
}

void
cyb_credits_destroy (struct cyb_credits *ledger)
{
  if (ledger == NULL)
    return;
  g_hash_table_destroy (ledger->services);
  g_hash_table_destroy (ledger->request_times);
  g_free (ledger);
}

void
cyb_credits_set_entry_count (struct cyb_credits *ledger, uint32_t count)
{
  ledger->entry_count = count;
}

/* ------------------------------------------------------------ register */

struct service *
cyb_credits_get_service (struct cyb_credits *ledger, const char *name)
{
  struct service *service = g_hash_table_lookup (ledger->services, name);
  if (service != NULL)
    return service;
  service = g_new0 (struct service, 1);
  service->name = g_strdup (name);
  CK_LIST_INIT (&service->servers);
  CK_LIST_INIT (&service->holders);
  g_hash_table_insert (ledger->services, service->name, service);
  return service;
}

struct server *
cyb_credits_find_server (const struct service *service, const char *instance,
                         uint64_t incarnation)
{
  struct server *server = NULL;
  CK_LIST_FOREACH (server, &service->servers, link)
  {
    if (server->incarnation == incarnation
        && strcmp (server->instance, instance) == 0)
      return server;
  }
  return NULL;
}

void
cyb_credits_begin_update (struct cyb_credits *ledger)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, ledger->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct server *server = NULL;
      CK_LIST_FOREACH (server, &((struct service *)value)->servers, link)
      {
        server->listed = false;
      }
    }
}

void
cyb_credits_put_server (struct cyb_credits *ledger,
                        const Cy__BackendStatus *status)
{
  struct service *service = cyb_credits_get_service (ledger, status->service);
  struct server *server = cyb_credits_find_server (service, status->instance,
                                                   status->incarnation);
  if (server == NULL)
    {
      server = g_new0 (struct server, 1);
      server->instance = g_strdup (status->instance);
      server->incarnation = status->incarnation;
      CK_LIST_INIT (&server->grants);
      CK_LIST_INSERT_HEAD (&service->servers, server, link);
    }
  server->slots = MIN (status->slots, status->connections);
  server->draining = status->draining;
  server->listed = true;
}

void
cyb_credits_end_update (struct cyb_credits *ledger)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, ledger->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct service *service = value;
      struct server *server = NULL;
      struct server *next = NULL;
      CK_LIST_FOREACH_SAFE (server, &service->servers, link, next)
      {
        if (server->listed || server->granted > 0)
          continue;
        CK_LIST_REMOVE (server, link);
        server_free (server);
      }
    }
}

/* ------------------------------------------------------------ grants */

struct holder *
cyb_credits_get_holder (struct service *service, const char *name)
{
  struct holder *holder = NULL;
  CK_LIST_FOREACH (holder, &service->holders, link)
  {
    if (strcmp (holder->name, name) == 0)
      return holder;
  }
  holder = g_new0 (struct holder, 1);
  holder->name = g_strdup (name);
  CK_LIST_INSERT_HEAD (&service->holders, holder, link);
  return holder;
}

struct grant *
cyb_credits_get_grant (struct server *server, struct holder *holder)
{
  struct grant *grant = NULL;
  CK_LIST_FOREACH (grant, &server->grants, link)
  {
    if (grant->holder == holder)
      return grant;
  }
  grant = g_new0 (struct grant, 1);
  grant->holder = holder;
  CK_LIST_INSERT_HEAD (&server->grants, grant, link);
  return grant;
}

void
cyb_credits_set_grant (struct server *server, struct grant *grant,
                       uint32_t granted)
{
  server->granted = server->granted - grant->granted + granted;
  grant->holder->held = grant->holder->held - grant->granted + granted;
  grant->granted = granted;
  grant->target = MIN (grant->target, granted);
  grant->target_sent = MIN (grant->target_sent, granted);
}

static void
expire_service (struct service *service, cy_time_ns now)
{
  struct server *server = NULL;
  CK_LIST_FOREACH (server, &service->servers, link)
  {
    struct grant *grant = NULL;
    struct grant *next = NULL;
    CK_LIST_FOREACH_SAFE (grant, &server->grants, link, next)
    {
      if (now < grant->lease_end)
        continue;
      cyb_credits_set_grant (server, grant, 0);
      CK_LIST_REMOVE (grant, link);
      g_free (grant);
    }
  }
  struct holder *holder = NULL;
  struct holder *next = NULL;
  CK_LIST_FOREACH_SAFE (holder, &service->holders, link, next)
  {
    if (now < holder->lease_end || holder->held > 0)
      continue;
    CK_LIST_REMOVE (holder, link);
    g_free (holder->name);
    g_free (holder);
  }
}

static gboolean
is_before (gpointer name, gpointer value, gpointer context)
{
  (void)name;
  return *(const cy_time_ns *)value < *(const cy_time_ns *)context;
}

cy_time_ns
cyb_credits_lease_ns (void)
{
  return (CYB_CREDITS_LEASE_MS + CYB_CREDITS_LEASE_MARGIN_MS) * CY_NS_PER_MS;
}

void
cyb_credits_expire (struct cyb_credits *ledger)
{
  cy_time_ns now = cy_clock_now (ledger->clock);
  cy_time_ns oldest_valid = now - cyb_credits_lease_ns ();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, ledger->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    expire_service (value, now);
  g_hash_table_foreach_remove (ledger->request_times, is_before,
                               &oldest_valid);
}

#include "entry/cye_slots.h"

#include <glib.h>
#include <string.h>

#define CYE_KEEP_SHARES 8    /* connections one slot may need over the zone */
#define CYE_SERVERS_MAX 1024 /* backend servers in one ask */

/* One service: its backend servers and the requests that wait.  */
struct service
{
  char *name;
  struct cyb_pool *pool;
  struct cyw_fair_queue *queue;
};

/* A slot whose request was cancelled a moment ago.  */
struct lingering
{
  struct service *service;
  struct cyb_server *server;
  enum cyb_ending ending;
  cy_time_ns until;
};

struct cye_slots
{
  struct cye_slots_options options;
  GMutex lock;
  GHashTable *services; /* name -> struct service */
  GQueue lingering;     /* struct lingering, by time */
  uint64_t asked_number;
  cy_time_ns asked;
};

static void
service_free (void *data)
{
  struct service *service = data;
  cyw_fair_queue_destroy (service->queue);
  cyb_pool_destroy (service->pool);
  g_free (service->name);
  g_free (service);
}

struct cye_slots *
cye_slots_create (const struct cye_slots_options *options)
{
  struct cye_slots *slots = g_new0 (struct cye_slots, 1);
  slots->options = *options;
  g_mutex_init (&slots->lock);
  slots->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, service_free);
  return slots;
}

void
cye_slots_destroy (struct cye_slots *slots)
{
  if (slots == NULL)
    return;
  g_queue_clear_full (&slots->lingering, g_free);
  g_hash_table_destroy (slots->services);
  g_mutex_clear (&slots->lock);
  g_free (slots);
}

static struct service *
service_get (struct cye_slots *slots, const char *name)
{
  struct service *service = g_hash_table_lookup (slots->services, name);
  if (service != NULL)
    return service;
  service = g_new0 (struct service, 1);
  service->name = g_strdup (name);
  service->pool = cyb_pool_create (slots->options.clock, slots->options.random,
                                   slots->options.with_credits);
  service->queue = cyw_fair_queue_create ();
  g_hash_table_insert (slots->services, service->name, service);
  return service;
}

/* ------------------------------------------------------------ slots */

static void
fill_place (struct service *service, struct cye_ticket *ticket,
            struct cyb_server *server)
{
  cyb_pool_start (service->pool, server);
  ticket->server = server;
  g_strlcpy (ticket->instance, server->instance, sizeof ticket->instance);
  g_strlcpy (ticket->host, server->host, sizeof ticket->host);
  ticket->port = server->port;
  ticket->keep = server->connections >= server->slots * CYE_KEEP_SHARES;
  ticket->suspect = server->suspect;
  ticket->link_ns = server->link_ns;
  ticket->answer_ns = cyb_pool_answer_ns (service->pool);
}

/* Tells the queue what the credits held allow: a pace, or nothing.  */
static void
note_credits (struct cye_slots *slots, struct service *service)
{
  const struct cyb_server *server = NULL;
  cy_time_ns answer = cyb_pool_answer_ns (service->pool);
  uint32_t held = 0;
  CK_LIST_FOREACH (server, cyb_pool_servers (service->pool), entry)
  {
    held += server->credits;
  }
  cyw_fair_queue_set_stalled (service->queue, held == 0,
                              cy_clock_now (slots->options.clock));
  if (held > 0 && answer > 0)
    cyw_fair_queue_set_rate (service->queue, (double)held * (double)CY_NS_PER_S
                                                 / (double)answer);
}

/* Gives free slots to the requests that wait, in fair order.  */
static void
dispatch (struct cye_slots *slots, struct service *service)
{
  struct cyb_server *server = NULL;
  if (cyw_fair_queue_length (service->queue) > 0)
    note_credits (slots, service);
  while (cyw_fair_queue_length (service->queue) > 0
         && cyb_pool_choose (service->pool, NULL, &server) == CY_OK)
    {
      cy_time_ns now = cy_clock_now (slots->options.clock);
      struct cyw_item *item = cyw_fair_queue_pop (service->queue, now);
      struct cye_ticket *ticket = (struct cye_ticket *)item;
      if (ticket->avoid != NULL
          && strcmp (ticket->avoid, server->instance) == 0)
        cyb_pool_choose (service->pool, ticket->avoid, &server);
      ticket->waited = now - item->since;
      fill_place (service, ticket, server);
      ticket->answered (ticket, CY_OK);
    }
}

static cy_result
wait_for_slot (struct cye_slots *slots, struct service *service,
               struct cye_ticket *ticket)
{
  note_credits (slots, service);
  cy_result result = cyw_fair_queue_push (
      service->queue, &ticket->item, ticket->workspace, ticket->weight,
      cy_clock_now (slots->options.clock), ticket->deadline,
      cyb_pool_answer_ns (service->pool));
  return result == CY_OK ? CY_E_AGAIN : result;
}

cy_result
cye_slots_take (struct cye_slots *slots, struct cye_ticket *ticket)
{
  struct cyb_server *server = NULL;
  bool need = false;
  ticket->server = NULL;
  ticket->waited = 0;
  g_mutex_lock (&slots->lock);
  struct service *service = service_get (slots, ticket->service);
  uint32_t room = 0;
  cy_result result = CY_E_NO_ROOM;
  if (cyw_fair_queue_length (service->queue) == 0)
    result = cyb_pool_choose (service->pool, ticket->avoid, &server);
  else if (cyb_pool_healthy (service->pool, &room) == 0)
    result = CY_E_NO_BACKEND;
  if (result == CY_OK)
    fill_place (service, ticket, server);
  else if (result == CY_E_NO_ROOM)
    {
      result = wait_for_slot (slots, service, ticket);
      need = result == CY_E_AGAIN;
    }
  g_mutex_unlock (&slots->lock);
  if (need)
    slots->options.on_need (slots->options.context);
  return result;
}

bool
cye_slots_cancel (struct cye_slots *slots, struct cye_ticket *ticket)
{
  g_mutex_lock (&slots->lock);
  bool waits = ticket->item.flow != NULL;
  if (waits)
    cyw_fair_queue_remove (service_get (slots, ticket->service)->queue,
                           &ticket->item);
  g_mutex_unlock (&slots->lock);
  return waits;
}

/* Keeps the slot for a while: the backend server may not know yet that its
   request was cancelled.  */
static void
linger (struct cye_slots *slots, struct service *service,
        struct cyb_server *server, enum cyb_ending ending)
{
  struct lingering *one = g_new0 (struct lingering, 1);
  one->service = service;
  one->server = server;
  one->ending = ending;
  one->until
      = cy_clock_now (slots->options.clock) + CYE_LINGER_MS * CY_NS_PER_MS;
  g_queue_push_tail (&slots->lingering, one);
}

static void
end_lingering (struct cye_slots *slots)
{
  cy_time_ns now = cy_clock_now (slots->options.clock);
  struct lingering *one = NULL;
  while ((one = g_queue_peek_head (&slots->lingering)) != NULL
         && one->until <= now)
    {
      g_queue_pop_head (&slots->lingering);
      cyb_pool_finish (one->service->pool, one->server, one->ending, 0);
      dispatch (slots, one->service);
      g_free (one);
    }
}

void
cye_slots_give (struct cye_slots *slots, struct cye_ticket *ticket,
                enum cyb_ending ending, cy_time_ns answer_ns, bool silent,
                bool sent)
{
  g_mutex_lock (&slots->lock);
  struct service *service = service_get (slots, ticket->service);
  struct cyb_server *server = ticket->server;
  ticket->server = NULL;
  if (silent)
    server->suspect = cy_clock_now (slots->options.clock);
  if (sent)
    linger (slots, service, server, ending);
  else
    {
      cyb_pool_finish (service->pool, server, ending, answer_ns);
      dispatch (slots, service);
    }
  g_mutex_unlock (&slots->lock);
}

static void
tick_service (struct cye_slots *slots, struct service *service)
{
  if (cyw_fair_queue_length (service->queue) == 0)
    return;
  dispatch (slots, service);
  uint32_t room = 0;
  bool healthy = cyb_pool_healthy (service->pool, &room) > 0;
  cy_time_ns now = cy_clock_now (slots->options.clock);
  struct cyw_item *item = NULL;
  while ((item = cyw_fair_queue_expire (service->queue, now)) != NULL)
    {
      struct cye_ticket *ticket = (struct cye_ticket *)item;
      ticket->waited = now - item->since;
      ticket->answered (ticket, healthy ? CY_E_NO_ROOM : CY_E_NO_BACKEND);
    }
}

void
cye_slots_tick (struct cye_slots *slots)
{
  GHashTableIter iter;
  gpointer value;
  g_mutex_lock (&slots->lock);
  end_lingering (slots);
  g_hash_table_iter_init (&iter, slots->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    tick_service (slots, value);
  g_mutex_unlock (&slots->lock);
}

bool
cye_slots_waiting (struct cye_slots *slots)
{
  GHashTableIter iter;
  gpointer value;
  bool waiting = false;
  g_mutex_lock (&slots->lock);
  g_hash_table_iter_init (&iter, slots->services);
  while (!waiting && g_hash_table_iter_next (&iter, NULL, &value))
    waiting = cyw_fair_queue_length (((struct service *)value)->queue) > 0;
  g_mutex_unlock (&slots->lock);
  return waiting;
}

/* ------------------------------------------------------------ register */

struct update
{
  struct cye_slots *slots;
  const struct cya_access *access;
};

static bool
put_server (const Cy__Object *object, void *context)
{
  struct update *update = context;
  if (object->body_case != CY__OBJECT__BODY_BACKEND)
    return true;
  const Cy__BackendStatus *status = object->backend;
  if (strcmp (status->zone, update->slots->options.zone) != 0)
    return true;
  struct service *service = service_get (update->slots, status->service);
  bool drained
      = cya_access_drained (update->access, "backend", status->instance);
  cyb_pool_put (service->pool, status, drained);
  return true;
}

void
cye_slots_update (struct cye_slots *slots, const struct cya_access *access,
                  const struct cyt_soft_state *soft)
{
  struct update update = { slots, access };
  GHashTableIter iter;
  gpointer value;
  g_mutex_lock (&slots->lock);
  g_hash_table_iter_init (&iter, slots->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    cyb_pool_begin (((struct service *)value)->pool);
  cyt_soft_state_each (soft, "backend/", put_server, &update);
  g_hash_table_iter_init (&iter, slots->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      cyb_pool_end (((struct service *)value)->pool);
      dispatch (slots, value);
    }
  g_mutex_unlock (&slots->lock);
}

void
cye_slots_probed (struct cye_slots *slots, const char *name,
                  const char *instance, uint64_t incarnation, bool healthy,
                  cy_time_ns connect_ns)
{
  g_mutex_lock (&slots->lock);
  struct service *service = service_get (slots, name);
  struct cyb_server *server
      = cyb_pool_find (service->pool, instance, incarnation);
  if (server != NULL)
    {
      server->unhealthy = !healthy;
      if (connect_ns > 0)
        server->link_ns = connect_ns;
    }
  dispatch (slots, service);
  g_mutex_unlock (&slots->lock);
}

void
cye_slots_each (struct cye_slots *slots, cye_slots_each_fn each, void *context)
{
  GHashTableIter iter;
  gpointer value;
  g_mutex_lock (&slots->lock);
  g_hash_table_iter_init (&iter, slots->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct service *service = value;
      const struct cyb_server *server = NULL;
      CK_LIST_FOREACH (server, cyb_pool_servers (service->pool), entry)
      {
        if (server->listed)
          each (service->name, server, context);
      }
    }
  g_mutex_unlock (&slots->lock);
}

void
cye_slots_room (struct cye_slots *slots, const char *name,
                struct cye_room *room)
{
  memset (room, 0, sizeof *room);
  g_mutex_lock (&slots->lock);
  struct service *service = service_get (slots, name);
  const struct cyb_server *server = NULL;
  room->backends = (uint32_t)cyb_pool_healthy (service->pool, &room->slots);
  CK_LIST_FOREACH (server, cyb_pool_servers (service->pool), entry)
  {
    room->in_flight += server->in_flight;
  }
  room->waiting = (uint32_t)cyw_fair_queue_length (service->queue);
  room->answer_ms
      = (double)cyb_pool_answer_ns (service->pool) / (double)CY_NS_PER_MS;
  g_mutex_unlock (&slots->lock);
}

/* ------------------------------------------------------------ credits */

/* Credits that this VM holds or uses at SERVER.  */
static uint32_t
held_at (const struct cyb_server *server)
{
  return MAX (server->credits, server->in_flight);
}

/* True when the zone must hear of SERVER: something is held, wanted, or has
   been given back since the last ask.  */
static bool
is_news (const struct service *service, const struct cyb_server *server)
{
  return held_at (server) > 0 || server->named > 0
         || (!server->draining && cyw_fair_queue_length (service->queue) > 0);
}

static Cy__SlotItem *
item_create (const struct service *service, struct cyb_server *server)
{
  Cy__SlotItem *item = g_new (Cy__SlotItem, 1);
  server->named = held_at (server);
  cy__slot_item__init (item);
  item->service = g_strdup (service->name);
  item->instance = g_strdup (server->instance);
  item->incarnation = server->incarnation;
  item->held = server->named;
  item->used = server->in_flight;
  item->wanted = server->draining
                     ? 0
                     : (uint32_t)cyw_fair_queue_length (service->queue);
  return item;
}

bool
cye_slots_has_news (struct cye_slots *slots)
{
  bool news = false;
  GHashTableIter iter;
  gpointer value;
  g_mutex_lock (&slots->lock);
  g_hash_table_iter_init (&iter, slots->services);
  while (!news && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct service *service = value;
      struct cyb_server *server = NULL;
      CK_LIST_FOREACH (server, cyb_pool_servers (service->pool), entry)
      {
        news = news || is_news (service, server);
      }
    }
  g_mutex_unlock (&slots->lock);
  return news;
}

void
cye_slots_ask (struct cye_slots *slots, uint64_t number, Cy__SlotAsk *ask)
{
  GPtrArray *items = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  cy__slot_ask__init (ask);
  g_mutex_lock (&slots->lock);
  g_hash_table_iter_init (&iter, slots->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct service *service = value;
      struct cyb_server *server = NULL;
      CK_LIST_FOREACH (server, cyb_pool_servers (service->pool), entry)
      {
        if (items->len < CYE_SERVERS_MAX && is_news (service, server))
          g_ptr_array_add (items, item_create (service, server));
      }
    }
  g_mutex_unlock (&slots->lock);
  slots->asked_number = number;
  slots->asked = cy_clock_now (slots->options.clock);
  ask->n_items = items->len;
  ask->items = (Cy__SlotItem **)(void *)g_ptr_array_free (items, FALSE);
}

void
cye_slots_ask_clear (Cy__SlotAsk *ask)
{
  for (size_t i = 0; i < ask->n_items; i++)
    {
      g_free (ask->items[i]->service);
      g_free (ask->items[i]->instance);
      g_free (ask->items[i]);
    }
  g_free (ask->items);
}

bool
cye_slots_answer (struct cye_slots *slots, uint64_t number,
                  const Cy__SlotAnswer *answer)
{
  bool own = number != 0 && number == slots->asked_number;
  bool lowered = false;
  g_mutex_lock (&slots->lock);
  for (size_t i = 0; i < answer->n_items; i++)
    {
      const Cy__SlotItem *item = answer->items[i];
      struct service *service
          = g_hash_table_lookup (slots->services, item->service);
      struct cyb_server *server
          = service == NULL ? NULL
                            : cyb_pool_find (service->pool, item->instance,
                                             item->incarnation);
      if (server == NULL)
        continue;
      lowered = lowered || item->granted < server->credits;
      if (own)
        cyb_pool_grant (service->pool, server, item->granted,
                        slots->asked
                            + (cy_time_ns)item->lease_ms * CY_NS_PER_MS);
      else
        server->credits = MIN (server->credits, item->granted);
    }
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, slots->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    dispatch (slots, value);
  g_mutex_unlock (&slots->lock);
  return lowered;
}

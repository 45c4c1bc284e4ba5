#include "entry/cye_slots.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "base/cyu_server_events.h"

/* Connections are kept open only at servers that accept at least this many
   connections per slot, because all entry VMs of the zone share the
   connections that a server accepts.  */
#define CYE_KEEP_CONNECTIONS_PER_SLOT 8
#define CYE_CREDIT_ITEMS_MAX          1024 /* servers in one credit request */

/* Backend servers and waiting requests of one service.  */
struct service
{
  char *name;
  struct cyb_pool *pool;
  struct cyw_fair_queue *queue;
};

/* A slot that stays occupied after its request was cancelled.  */
struct lingering
{
  struct service *service;
  struct cyb_server *server;
  enum cyb_outcome ending;
  cy_time_ns release_at; /* monotonic, ns */
};

struct cye_slots
{
  struct cye_slots_options options;
  GMutex lock;
  GHashTable *services;    /* name -> struct service */
  GQueue lingering;        /* struct lingering, earliest release_at first */
  uint64_t request_number; /* of the message with the newest credit request */
  cy_time_ns requested_at; /* monotonic time of the newest credit request */
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
get_service (struct cye_slots *slots, const char *name)
{
  struct service *service = g_hash_table_lookup (slots->services, name);
  if (service != NULL)
    return service;
  service = g_new0 (struct service, 1);
  service->name = g_strdup (name);
  service->pool = cyb_pool_create (slots->options.clock, slots->options.random,
                                   slots->options.uses_credits);
  service->queue = cyw_fair_queue_create ();
  g_hash_table_insert (slots->services, service->name, service);
  return service;
}

/* ------------------------------------------------------------ slots */

static void
assign_server (struct service *service, struct cye_ticket *ticket,
               struct cyb_server *server)
{
  cyb_pool_start_request (service->pool, server);
  ticket->server = server;
  g_strlcpy (ticket->instance, server->instance, sizeof ticket->instance);
  g_strlcpy (ticket->host, server->host, sizeof ticket->host);
  ticket->port = server->port;
  ticket->keep_connection
      = server->connections >= server->slots * CYE_KEEP_CONNECTIONS_PER_SLOT;
  ticket->suspect_before = server->suspect_before;
  ticket->link_ns = server->connect_ns;
  ticket->expected_answer_ns = cyb_pool_median_answer_ns (service->pool);
}

/* Sets the service rate of the queue from the credits held; without credits
   the queue is stalled.  */
static void
update_queue_rate (struct cye_slots *slots, struct service *service)
{
  const struct cyb_server *server = NULL;
  cy_time_ns answer = cyb_pool_median_answer_ns (service->pool);
  uint32_t held = 0;
  double rate = 0;
  CK_LIST_FOREACH (server, cyb_pool_servers (service->pool), entry)
  {
    held += server->credits;
    if (answer > 0)
      rate += fmin ((double)server->credits * (double)CY_NS_PER_S
                        / (double)answer,
                    cyb_pool_limit_rate (service->pool, server));
  }
  cyw_fair_queue_set_stalled (service->queue, held == 0,
                              cy_clock_now (slots->options.clock));
  if (held > 0 && answer > 0)
    cyw_fair_queue_set_rate (service->queue, rate);
}

/* Assigns free slots to the waiting requests in fair order.  */
static void
dispatch (struct cye_slots *slots, struct service *service)
{
  struct cyb_server *server = NULL;
  if (cyw_fair_queue_length (service->queue) > 0)
    update_queue_rate (slots, service);
  while (cyw_fair_queue_length (service->queue) > 0
         && cyb_pool_choose_server (service->pool, NULL, &server) == CY_OK)
    {
      cy_time_ns now = cy_clock_now (slots->options.clock);
      struct cyw_item *item = cyw_fair_queue_pop (service->queue, now);
      struct cye_ticket *ticket = (struct cye_ticket *)item;
      if (ticket->avoid_instance != NULL
          && strcmp (ticket->avoid_instance, server->instance) == 0)
        cyb_pool_choose_server (service->pool, ticket->avoid_instance,
                                &server);
      ticket->waited = now - item->queued_at;
      assign_server (service, ticket, server);
      ticket->on_answer (ticket, CY_OK);
    }
}

static cy_result
wait_for_slot (struct cye_slots *slots, struct service *service,
               struct cye_ticket *ticket)
{
  update_queue_rate (slots, service);
  cy_result result = cyw_fair_queue_push (
      service->queue, &ticket->item, ticket->workspace, ticket->weight,
      cy_clock_now (slots->options.clock), ticket->deadline,
      cyb_pool_median_answer_ns (service->pool));
  return result == CY_OK ? CY_E_AGAIN : result;
}

cy_result
cye_slots_acquire (struct cye_slots *slots, struct cye_ticket *ticket)
{
  struct cyb_server *server = NULL;
  bool need = false;
  ticket->server = NULL;
  ticket->waited = 0;
  g_mutex_lock (&slots->lock);
  struct service *service = get_service (slots, ticket->service);
  uint32_t slot_count = 0;
  cy_result result = CY_E_NO_ROOM;
  if (cyw_fair_queue_length (service->queue) == 0)
    result = cyb_pool_choose_server (service->pool, ticket->avoid_instance,
                                     &server);
  else if (cyb_pool_count_healthy (service->pool, &slot_count) == 0)
    result = CY_E_NO_BACKEND;
  if (result == CY_OK)
    assign_server (service, ticket, server);
  else if (result == CY_E_NO_ROOM)
    {
      result = wait_for_slot (slots, service, ticket);
      need = result == CY_E_AGAIN;
    }
  g_mutex_unlock (&slots->lock);
  if (need)
    slots->options.on_wait (slots->options.context);
  return result;
}

bool
cye_slots_cancel (struct cye_slots *slots, struct cye_ticket *ticket)
{
  g_mutex_lock (&slots->lock);
  bool waits = ticket->item.flow != NULL;
  if (waits)
    cyw_fair_queue_remove (get_service (slots, ticket->service)->queue,
                           &ticket->item);
  g_mutex_unlock (&slots->lock);
  return waits;
}

/* Keeps the slot occupied for CYE_LINGER_MS, as the backend server may still
   run the cancelled request.  */
static void
linger (struct cye_slots *slots, struct service *service,
        struct cyb_server *server, enum cyb_outcome ending)
{
  struct lingering *lingering = g_new0 (struct lingering, 1);
  lingering->service = service;
  lingering->server = server;
  lingering->ending = ending;
  lingering->release_at
      = cy_clock_now (slots->options.clock) + CYE_LINGER_MS * CY_NS_PER_MS;
  g_queue_push_tail (&slots->lingering, lingering);
}

static void
release_lingering (struct cye_slots *slots)
{
  cy_time_ns now = cy_clock_now (slots->options.clock);
  struct lingering *lingering = NULL;
  while ((lingering = g_queue_peek_head (&slots->lingering)) != NULL
         && lingering->release_at <= now)
    {
      g_queue_pop_head (&slots->lingering);
      cyb_pool_finish_request (lingering->service->pool, lingering->server,
                               lingering->ending, 0);
      dispatch (slots, lingering->service);
      g_free (lingering);
    }
}

void
cye_slots_release (struct cye_slots *slots, struct cye_ticket *ticket,
                   enum cyb_outcome ending, cy_time_ns answer_ns,
                   bool timed_out, bool interrupted)
{
  g_mutex_lock (&slots->lock);
  struct service *service = get_service (slots, ticket->service);
  struct cyb_server *server = ticket->server;
  ticket->server = NULL;
  if (timed_out)
    server->suspect_before = cy_clock_now (slots->options.clock);
  if (interrupted)
    linger (slots, service, server, ending);
  else
    {
      cyb_pool_finish_request (service->pool, server, ending, answer_ns);
      dispatch (slots, service);
    }
  g_mutex_unlock (&slots->lock);
}

void
cye_slots_notice (struct cye_slots *slots, const struct cye_ticket *ticket,
                  const struct cym_load *load, cy_time_ns sent_at)
{
  double per_s = load->limited ? load->limit_per_s : INFINITY;
  g_mutex_lock (&slots->lock);
  struct service *service = get_service (slots, ticket->service);
  cyb_pool_notice (service->pool, ticket->server, load->leaving,
                   load->pause_ms);
  bool has_changed = (load->limited || load->unlimited)
                     && cyb_pool_record_limit (service->pool, ticket->server,
                                               per_s, sent_at);
  uint64_t incarnation = ticket->server->incarnation;
  g_mutex_unlock (&slots->lock);
  if (has_changed)
    cyu_event_server_limit (ticket->instance, incarnation, per_s, NULL);
}

bool
cye_slots_may_send (struct cye_slots *slots, const struct cye_ticket *ticket)
{
  g_mutex_lock (&slots->lock);
  struct service *service = get_service (slots, ticket->service);
  bool allowed = ticket->server == NULL
                 || cyb_pool_may_send (service->pool, ticket->server);
  g_mutex_unlock (&slots->lock);
  return allowed;
}

static void
dispatch_and_expire (struct cye_slots *slots, struct service *service)
{
  if (cyw_fair_queue_length (service->queue) == 0)
    return;
  dispatch (slots, service);
  uint32_t slot_count = 0;
  bool healthy = cyb_pool_count_healthy (service->pool, &slot_count) > 0;
  cy_time_ns now = cy_clock_now (slots->options.clock);
  struct cyw_item *item = NULL;
  while ((item = cyw_fair_queue_expire (service->queue, now)) != NULL)
    {
      struct cye_ticket *ticket = (struct cye_ticket *)item;
      ticket->waited = now - item->queued_at;
      ticket->on_answer (ticket, healthy ? CY_E_NO_ROOM : CY_E_NO_BACKEND);
    }
}

void
cye_slots_tick (struct cye_slots *slots)
{
  GHashTableIter iter;
  gpointer value;
  g_mutex_lock (&slots->lock);
  release_lingering (slots);
  g_hash_table_iter_init (&iter, slots->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    dispatch_and_expire (slots, value);
  g_mutex_unlock (&slots->lock);
}

bool
cye_slots_has_waiting (struct cye_slots *slots)
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
  struct service *service = get_service (update->slots, status->service);
  bool drained
      = cya_access_is_drained (update->access, "backend", status->instance);
  cyb_pool_put_server (service->pool, status, drained);
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
    cyb_pool_begin_update (((struct service *)value)->pool);
  cyt_soft_state_each (soft, "backend/", put_server, &update);
  g_hash_table_iter_init (&iter, slots->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      cyb_pool_end_update (((struct service *)value)->pool);
      dispatch (slots, value);
    }
  g_mutex_unlock (&slots->lock);
}

void
cye_slots_record_probe (struct cye_slots *slots, const char *name,
                        const char *instance, uint64_t incarnation,
                        bool healthy, cy_time_ns connect_ns)
{
  g_mutex_lock (&slots->lock);
  struct service *service = get_service (slots, name);
  struct cyb_server *server
      = cyb_pool_find_server (service->pool, instance, incarnation);
  if (server != NULL)
    {
      server->unhealthy = !healthy;
      if (connect_ns > 0)
        server->connect_ns = connect_ns;
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
cye_slots_get_load (struct cye_slots *slots, const char *name,
                    struct cye_service_load *load)
{
  memset (load, 0, sizeof *load);
  g_mutex_lock (&slots->lock);
  struct service *service = get_service (slots, name);
  const struct cyb_server *server = NULL;
  load->backends
      = (uint32_t)cyb_pool_count_healthy (service->pool, &load->slots);
  CK_LIST_FOREACH (server, cyb_pool_servers (service->pool), entry)
  {
    load->in_flight += server->in_flight;
  }
  load->waiting = (uint32_t)cyw_fair_queue_length (service->queue);
  load->answer_ms = (double)cyb_pool_median_answer_ns (service->pool)
                    / (double)CY_NS_PER_MS;
  g_mutex_unlock (&slots->lock);
}

/* ------------------------------------------------------------ credits */

/* Credits at SERVER that this VM holds or whose slots it still uses.  */
static uint32_t
credits_in_use (const struct cyb_server *server)
{
  return MAX (server->credits, server->in_flight);
}

/* True when the next credit request must list SERVER: credits are held,
   wanted, or were returned since the last request.  */
static bool
must_report (const struct service *service, const struct cyb_server *server)
{
  return credits_in_use (server) > 0 || server->credits_reported > 0
         || (!server->draining && !server->leaving
             && cyw_fair_queue_length (service->queue) > 0);
}

static Cy__SlotItem *
create_item (const struct service *service, struct cyb_server *server)
{
  Cy__SlotItem *item = g_new (Cy__SlotItem, 1);
  server->credits_reported = credits_in_use (server);
  cy__slot_item__init (item);
  item->service = g_strdup (service->name);
  item->instance = g_strdup (server->instance);
  item->incarnation = server->incarnation;
  item->held = server->credits_reported;
  item->used = server->in_flight;
  item->wanted = server->draining || server->leaving
                     ? 0
                     : (uint32_t)cyw_fair_queue_length (service->queue);
  return item;
}

bool
cye_slots_has_changes (struct cye_slots *slots)
{
  bool must_send = false;
  GHashTableIter iter;
  gpointer value;
  g_mutex_lock (&slots->lock);
  g_hash_table_iter_init (&iter, slots->services);
  while (!must_send && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct service *service = value;
      struct cyb_server *server = NULL;
      CK_LIST_FOREACH (server, cyb_pool_servers (service->pool), entry)
      {
        must_send = must_send || must_report (service, server);
      }
    }
  g_mutex_unlock (&slots->lock);
  return must_send;
}

void
cye_slots_fill_request (struct cye_slots *slots, uint64_t number,
                        Cy__SlotAsk *ask)
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
        if (items->len < CYE_CREDIT_ITEMS_MAX && must_report (service, server))
          g_ptr_array_add (items, create_item (service, server));
      }
    }
  g_mutex_unlock (&slots->lock);
  slots->request_number = number;
  slots->requested_at = cy_clock_now (slots->options.clock);
  ask->n_items = items->len;
  ask->items = (Cy__SlotItem **)(void *)g_ptr_array_free (items, FALSE);
}

void
cye_slots_clear_request (Cy__SlotAsk *ask)
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
cye_slots_apply_answer (struct cye_slots *slots, uint64_t number,
                        const Cy__SlotAnswer *answer)
{
  bool is_reply = number != 0 && number == slots->request_number;
  bool lowered = false;
  g_mutex_lock (&slots->lock);
  for (size_t i = 0; i < answer->n_items; i++)
    {
      const Cy__SlotItem *item = answer->items[i];
      struct service *service
          = g_hash_table_lookup (slots->services, item->service);
      struct cyb_server *server
          = service == NULL
                ? NULL
                : cyb_pool_find_server (service->pool, item->instance,
                                        item->incarnation);
      if (server == NULL)
        continue;
      lowered = lowered || item->granted < server->credits;
      if (is_reply)
        cyb_pool_set_credits (service->pool, server, item->granted,
                              slots->requested_at
                                  + (cy_time_ns)item->lease_ms * CY_NS_PER_MS);
      else
        cyb_pool_set_credits (service->pool, server,
                              MIN (server->credits, item->granted),
                              server->credits_until);
    }
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, slots->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    dispatch (slots, value);
  g_mutex_unlock (&slots->lock);
  return lowered;
}

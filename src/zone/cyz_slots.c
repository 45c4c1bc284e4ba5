#include "zone/cyz_slots.h"

#include <glib.h>
#include <string.h>

#include "base/cyu_metrics.h"
#include "core/cyb_credits.h"

#define CYZ_SLOTS_EXPIRE_MS 100 /* interval of checks of the leases */

struct cyz_slots
{
  struct cyz_zone *zone;
  const char *zone_name;
  struct cyb_credits *ledger;
  struct cyn_timer *timer;
  uint64_t sequence; /* sequence number of the soft objects in the ledger */
  GHashTable *last_requests; /* entry VM -> its last request, uint64_t */
  struct cyu_metric *requests;
  struct cyu_metric *recalls;
};

/* ------------------------------------------------------------ register */

static bool
put_backend (const Cy__Object *object, void *context)
{
  struct cyz_slots *slots = context;
  if (object->body_case == CY__OBJECT__BODY_BACKEND)
    cyb_credits_put_server (slots->ledger, object->backend);
  return true;
}

/* Number of entry VMs in one availability zone.  */
struct entry_count
{
  const char *zone;
  uint32_t count;
};

static bool
count_entry (const Cy__Object *object, void *context)
{
  struct entry_count *entries = context;
  if (object->body_case == CY__OBJECT__BODY_ENTRY
      && strcmp (object->entry->zone, entries->zone) == 0)
    entries->count++;
  return true;
}

/* Updates the ledger from the register of backend servers and entry VMs.  */
static void
on_soft (void *context)
{
  struct cyz_slots *slots = context;
  const struct cyt_soft_state *soft = cyz_zone_soft (slots->zone);
  slots->sequence = cyt_soft_state_sequence (soft);
  struct entry_count entries = { slots->zone_name, 0 };
  cyb_credits_begin_update (slots->ledger);
  cyt_soft_state_each (soft, "backend/", put_backend, slots);
  cyb_credits_end_update (slots->ledger);
  cyt_soft_state_each (soft, "entry/", count_entry, &entries);
  cyb_credits_set_entry_count (slots->ledger, entries.count);
}

/* ------------------------------------------------------------ messages */

static void
send_answer (struct cyn_conn *conn, uint64_t request,
             const Cy__SlotAnswer *answer)
{
  Cy__Envelope envelope = CY__ENVELOPE__INIT;
  envelope.request = request;
  envelope.body_case = CY__ENVELOPE__BODY_SLOT_ANSWER;
  envelope.slot_answer = (Cy__SlotAnswer *)answer;
  cyn_conn_send (conn, &envelope);
}

static void
send_recall (const char *entry, const Cy__SlotAnswer *answer, void *context)
{
  struct cyz_slots *slots = context;
  struct cyn_conn *conn = cyz_zone_entry (slots->zone, entry);
  cyu_metric_add (slots->recalls, 1);
  if (conn != NULL)
    send_answer (conn, 0, answer);
}

/* Grants credits that became free to the entry VMs other than REQUESTER that
   wait for them.  */
static void
grant_freed_credits (struct cyz_slots *slots, const char *requester)
{
  Cy__SlotAnswer answer;
  GHashTableIter iter;
  gpointer name;
  gpointer number;
  g_hash_table_iter_init (&iter, slots->last_requests);
  while (g_hash_table_iter_next (&iter, &name, &number))
    {
      struct cyn_conn *conn = cyz_zone_entry (slots->zone, name);
      if (conn == NULL || strcmp (name, requester) == 0
          || !cyb_credits_grant_freed (slots->ledger, name, &answer))
        continue;
      send_answer (conn, *(const uint64_t *)number, &answer);
      cyb_credits_answer_clear (&answer);
    }
}

static void
on_entry_message (struct cyn_conn *conn, const Cy__Envelope *message,
                  void *context)
{
  struct cyz_slots *slots = context;
  Cy__SlotAnswer answer;
  if (message->body_case != CY__ENVELOPE__BODY_SLOT_ASK)
    return;
  cyu_metric_add (slots->requests, 1);
  cyb_credits_request (slots->ledger, cyn_conn_peer (conn)->name,
                       message->slot_ask, &answer);
  send_answer (conn, message->request, &answer);
  cyb_credits_answer_clear (&answer);
  uint64_t *number = g_new (uint64_t, 1);
  *number = message->request;
  g_hash_table_insert (slots->last_requests,
                       g_strdup (cyn_conn_peer (conn)->name), number);
  cyb_credits_send_recalls (slots->ledger, send_recall, slots);
  grant_freed_credits (slots, cyn_conn_peer (conn)->name);
}

static void
on_expire (void *context)
{
  struct cyz_slots *slots = context;
  if (cyt_soft_state_sequence (cyz_zone_soft (slots->zone)) != slots->sequence)
    on_soft (slots);
  cyb_credits_expire (slots->ledger);
  cyn_timer_start (slots->timer, CYZ_SLOTS_EXPIRE_MS);
}

struct cyz_slots *
cyz_slots_create (struct cyz_zone *zone, const char *zone_name)
{
  struct cyz_slots *slots = g_new0 (struct cyz_slots, 1);
  struct cyn_loop *loop = cyz_zone_loop (zone);
  slots->zone = zone;
  slots->zone_name = zone_name;
  slots->last_requests
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  slots->ledger = cyb_credits_create (cyn_loop_clock (loop));
  slots->requests
      = cyu_counter ("cy_zone_slot_asks_total", "", "asks for slot credits");
  slots->recalls = cyu_counter ("cy_zone_slot_recalls_total", "",
                                "recalls of slot credits");
  slots->timer = cyn_timer_create (loop, on_expire, slots);
  cyn_timer_start (slots->timer, CYZ_SLOTS_EXPIRE_MS);
  struct cyz_module module = { .on_entry_message = on_entry_message,
                               .on_soft = on_soft,
                               .context = slots };
  cyz_zone_add_module (zone, &module);
  return slots;
}

void
cyz_slots_destroy (struct cyz_slots *slots)
{
  if (slots == NULL)
    return;
  cyn_timer_destroy (slots->timer);
  cyb_credits_destroy (slots->ledger);
  g_hash_table_destroy (slots->last_requests);
  g_free (slots);
}

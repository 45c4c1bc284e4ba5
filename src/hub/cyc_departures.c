/* Departures, that is backend servers that leave or drain, on the disk of this
   control VM.  A leave or drain is confirmed once it is on enough disks, as
   the registers of all control VMs are lost when these end at the same time: a
   late announcement of before would then make the server ready again.  */

#include <inttypes.h>

#include "base/cyu_log.h"
#include "base/cyu_metrics.h"
#include "hub/cyc_departure_writer.h"
#include "hub/cyc_internal.h"
#include "store/cyd_store.h"

/* Age from which the record of a server that is gone is not used any more, ms.
   Far above CYC_TOMBSTONE_S, as the time of day may have jumped.  */
#define RECORD_AGE_MAX_MS INT64_C (600000)

/* Largest age that a record on the disk gets in the register, ms, so that it
   outlasts late announcements whatever the time of day is.  */
#define RESTORED_AGE_MAX_MS (CYC_TOMBSTONE_S * 1000 / 2)

struct cyc_departures
{
  struct cyc_departure_writer *writer;
  GHashTable *ids;  /* of the servers with a record, owned */
  uint64_t scanned; /* register sequence up to which departures are queued */
  uint64_t queued;  /* ticket of the newest change of the journal */
  uint64_t written; /* tickets up to it are durable */
  struct cyc_stored stored; /* of the register of this VM */
  struct cyu_metric *count;
};

/* ------------------------------------------------------------ restart */

struct restoring
{
  struct cyc_hub *hub;
  int64_t unix_ms;
  unsigned outdated;
};

/* Adds DEPARTURE to the register.  A server that drains or leaves may announce
   itself again, so its age starts anew.  */
static void
restore_departure (struct restoring *restoring, const Cy__Departure *departure)
{
  struct cyc_hub *hub = restoring->hub;
  Cy__Instance *info = departure->instance;
  int64_t age_ms = MAX (restoring->unix_ms - departure->unix_ms, 0);
  if (info->gone && age_ms > RECORD_AGE_MAX_MS)
    {
      restoring->outdated++;
      return;
    }
  info->age_ms = info->gone ? (uint32_t)MIN (age_ms, RESTORED_AGE_MAX_MS) : 0;
  cyc_register_instance (hub->reg, info, false, cyc_now (hub));
  g_hash_table_add (hub->departures->ids, g_strdup (info->id));
}

static void
restore_record (const char *id, GBytes *record, void *context)
{
  gsize length;
  const uint8_t *bytes = g_bytes_get_data (record, &length);
  Cy__Departure *departure = cy__departure__unpack (NULL, length, bytes);
  if (departure == NULL || departure->instance == NULL)
    cyu_log (G_LOG_LEVEL_WARNING,
             "departure of backend server %s on the disk cannot be read", id);
  else
    restore_departure (context, departure);
  if (departure != NULL)
    cy__departure__free_unpacked (departure, NULL);
}

static void
on_written (uint64_t ticket, void *context)
{
  struct cyc_hub *hub = context;
  hub->departures->written = ticket;
  cyc_links_confirm_stored (hub);
  cyc_announce_complete_pending (hub);
}

cy_result
cyc_departures_create (struct cyc_hub *hub)
{
  struct cyd_journal *journal = NULL;
  cy_result result
      = cyd_journal_open (cyd_system_files (), hub->options.data_folder,
                          CYD_DEPARTURES_NAME, &journal);
  if (result != CY_OK)
    {
      cyu_log (G_LOG_LEVEL_CRITICAL, "%s/%s cannot be read: %s",
               hub->options.data_folder, CYD_DEPARTURES_NAME,
               cy_result_text (result));
      return result;
    }
  struct cyc_departures *departures = g_new0 (struct cyc_departures, 1);
  hub->departures = departures;
  departures->ids
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  departures->count = cyu_gauge (
      "cy_departures", "", "Backend servers that leave or drain, on the disk");
  struct restoring restoring
      = { .hub = hub, .unix_ms = cy_clock_unix_ms (hub->clock) };
  cyd_journal_each (journal, restore_record, &restoring);
  unsigned restored = g_hash_table_size (departures->ids);
  if (restored > 0 || restoring.outdated > 0)
    cyu_log (G_LOG_LEVEL_INFO,
             "departures of %u backend servers read from the disk, %u more "
             "outdated",
             restored, restoring.outdated);
  cyu_metric_set (departures->count, restored);
  departures->scanned = cyc_register_sequence (hub->reg);
  departures->queued = CYC_DEPARTURE_FIRST_TICKET;
  departures->writer = cyc_departure_writer_create (hub->options.loop, journal,
                                                    on_written, hub);
  return CY_OK;
}

void
cyc_departures_destroy (struct cyc_hub *hub)
{
  struct cyc_departures *departures = hub->departures;
  if (departures == NULL)
    return;
  cyc_departure_writer_destroy (departures->writer);
  g_hash_table_destroy (departures->ids);
  g_free (departures);
  hub->departures = NULL;
}

/* ------------------------------------------------------------ recording */

static void
queue_record (struct cyc_hub *hub, const struct cyc_instance *instance)
{
  struct cyc_departures *departures = hub->departures;
  Cy__Departure departure = CY__DEPARTURE__INIT;
  departure.instance = instance->info;
  cy_time_ns age = cyc_now (hub) - instance->last_received;
  departure.unix_ms = cy_clock_unix_ms (hub->clock) - age / CY_NS_PER_MS;
  size_t length = cy__departure__get_packed_size (&departure);
  uint8_t *bytes = g_malloc (length);
  cy__departure__pack (&departure, bytes);
  GBytes *record = g_bytes_new_take (bytes, length);
  departures->queued = cyc_departure_writer_put (departures->writer,
                                                 instance->info->id, record);
  g_bytes_unref (record);
  g_hash_table_add (departures->ids, g_strdup (instance->info->id));
}

/* Queues the departures that have changed in the register since the last
   call.  */
static void
record_changes (struct cyc_hub *hub)
{
  struct cyc_departures *departures = hub->departures;
  uint64_t sequence = cyc_register_sequence (hub->reg);
  const struct cyc_instance *instance = NULL;
  if (sequence == departures->scanned)
    return;
  CK_LIST_FOREACH (instance, cyc_register_instances (hub->reg), entry)
  {
    if (instance->sequence > departures->scanned
        && cyc_instance_departs (instance))
      queue_record (hub, instance);
  }
  departures->scanned = sequence;
  cyu_metric_set (departures->count, g_hash_table_size (departures->ids));
}

void
cyc_departures_expire (struct cyc_hub *hub)
{
  struct cyc_departures *departures = hub->departures;
  GHashTableIter iter;
  gpointer id;
  g_hash_table_iter_init (&iter, departures->ids);
  while (g_hash_table_iter_next (&iter, &id, NULL))
    {
      const struct cyc_instance *held = cyc_register_find (hub->reg, id);
      if (held != NULL && cyc_instance_departs (held))
        continue;
      departures->queued
          = cyc_departure_writer_put (departures->writer, id, NULL);
      g_hash_table_iter_remove (&iter);
    }
  cyu_metric_set (departures->count, g_hash_table_size (departures->ids));
}

/* ------------------------------------------------------------ durability */

bool
cyc_departures_follow (struct cyc_hub *hub, struct cyc_stored *stored,
                       uint64_t sequence)
{
  record_changes (hub);
  return cyc_stored_follow (stored, sequence, hub->departures->queued,
                            hub->departures->written);
}

uint64_t
cyc_departures_stored (struct cyc_hub *hub)
{
  cyc_departures_follow (hub, &hub->departures->stored,
                         cyc_register_sequence (hub->reg));
  return hub->departures->stored.sequence;
}

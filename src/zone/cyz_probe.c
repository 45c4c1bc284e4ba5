/* Probes between zones: a ping every second to each other zone of the local
   region and to one zone of every remote region.  Remote zones ping back, so
   every pair of regions has at least two observers.  */

#include <string.h>

#include "zone/cyz_internal.h"

#define PING_INTERVAL_MS 1000 /* interval of pings */
#define TARGETS_MAX      64   /* maximum number of probed zones */
#define RECONNECT_MS     1000 /* delay of a reconnection */

struct target
{
  CK_STAILQ_ENTRY (target) link;
  struct cyz_probes *probes;
  char *zone;
  char *host;
  uint16_t port;
  struct cyn_conn *conn;
  bool open;
  bool selected;        /* the zone is to be probed */
  cy_time_ns dial_at;   /* earliest time of the next connection attempt */
  cy_time_ns pinged_at; /* send time of the ping in flight, 0: none */
  uint64_t sequence;    /* sequence number of the last ping */

  /* Pings since the results were last read.  */
  uint32_t sent;
  uint32_t lost;
  uint32_t answered;
  double round_trip_sum_ms; /* sum over the answered pings */
};

struct cyz_probes
{
  struct cyz_zone *zone;
  struct cyn_identity identity;
  CK_STAILQ_HEAD (target_list, target) targets;
  uint32_t target_count;
  uint64_t view_sequence; /* sequence number of the view at the last choice */
  cy_time_ns next_ping;   /* time of the next ping */
};

static cy_time_ns
current_time (const struct cyz_probes *probes)
{
  return cy_clock_now (probes->zone->clock);
}

/* ------------------------------------------------------------ targets */

static void
target_open (struct cyn_conn *conn, void *context)
{
  (void)conn;
  ((struct target *)context)->open = true;
}

static void
target_message (struct cyn_conn *conn, const Cy__Envelope *message,
                void *context)
{
  (void)conn;
  struct target *target = context;
  if (message->body_case != CY__ENVELOPE__BODY_PONG || target->pinged_at == 0
      || message->pong->sequence != target->sequence)
    return;
  cy_time_ns round_trip = current_time (target->probes) - target->pinged_at;
  target->pinged_at = 0;
  target->answered++;
  target->round_trip_sum_ms += (double)round_trip / CY_NS_PER_MS;
}

static void
target_close (struct cyn_conn *conn, cy_result reason, void *context)
{
  (void)conn;
  (void)reason;
  struct target *target = context;
  target->conn = NULL;
  target->open = false;
  target->dial_at
      = current_time (target->probes) + RECONNECT_MS * CY_NS_PER_MS;
}

static const struct cyn_handlers target_handlers
    = { target_open, target_message, target_close };

static struct target *
target_find (const struct cyz_probes *probes, const char *zone)
{
  struct target *target = NULL;
  CK_STAILQ_FOREACH (target, &probes->targets, link)
  {
    if (strcmp (target->zone, zone) == 0)
      return target;
  }
  return NULL;
}

static void
select_target (struct cyz_probes *probes, const Cy__ZoneStatus *status)
{
  struct target *target = target_find (probes, status->zone);
  if (target == NULL && probes->target_count >= TARGETS_MAX)
    return;
  if (target == NULL)
    {
      target = g_new0 (struct target, 1);
      target->probes = probes;
      target->zone = g_strdup (status->zone);
      target->host = g_strdup (status->host);
      CK_STAILQ_INSERT_TAIL (&probes->targets, target, link);
      probes->target_count++;
    }
  target->selected = true;
  if (strcmp (target->host, status->host) == 0 && target->port == status->port)
    return;
  g_free (target->host);
  target->host = g_strdup (status->host);
  target->port = (uint16_t)status->port;
  if (target->conn != NULL)
    cyn_conn_close (target->conn);
}

/* ------------------------------------------------------------ choosing */

struct choice
{
  struct cyz_probes *probes;
  GHashTable *regions; /* region -> GPtrArray of Cy__ZoneStatus */
};

static bool
group_zone (const Cy__Object *object, void *context)
{
  struct choice *choice = context;
  const struct cyz_zone *zone = choice->probes->zone;
  if (object->body_case != CY__OBJECT__BODY_ZONE_STATUS)
    return true;
  const Cy__ZoneStatus *status = object->zone_status;
  if (strcmp (status->zone, zone->options.identity->zone) == 0)
    return true;
  GPtrArray *list = g_hash_table_lookup (choice->regions, status->region);
  if (list == NULL)
    {
      list = g_ptr_array_new ();
      g_hash_table_insert (choice->regions, status->region, list);
    }
  g_ptr_array_add (list, (gpointer)status);
  return true;
}

/* Chooses the targets from the current view.  The hash of the local zone's
   name selects the zone of each remote region.  */
static void
choose_targets (struct cyz_probes *probes)
{
  struct cyz_zone *zone = probes->zone;
  struct target *target = NULL;
  CK_STAILQ_FOREACH (target, &probes->targets, link)
  target->selected = false;
  struct choice choice
      = { probes, g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                         (GDestroyNotify)g_ptr_array_unref) };
  cyt_soft_state_each (zone->view, "zone/", group_zone, &choice);
  guint hash = g_str_hash (zone->options.identity->zone);
  GHashTableIter iter;
  gpointer region;
  gpointer value;
  g_hash_table_iter_init (&iter, choice.regions);
  while (g_hash_table_iter_next (&iter, &region, &value))
    {
      GPtrArray *list = value;
      bool is_local = strcmp (region, zone->options.region) == 0;
      for (guint i = 0; i < list->len; i++)
        if (is_local || i == hash % list->len)
          select_target (probes, g_ptr_array_index (list, i));
    }
  g_hash_table_destroy (choice.regions);
  CK_STAILQ_FOREACH (target, &probes->targets, link)
  {
    if (!target->selected && target->conn != NULL)
      cyn_conn_close (target->conn);
  }
}

/* ------------------------------------------------------------ pings */

static void
send_ping (struct target *target, cy_time_ns now)
{
  target->sent++;
  if (target->pinged_at != 0 || !target->open)
    target->lost++;
  target->pinged_at = 0;
  if (!target->open)
    return;
  Cy__ProbePing ping = CY__PROBE_PING__INIT;
  ping.sequence = ++target->sequence;
  Cy__Envelope envelope = CY__ENVELOPE__INIT;
  envelope.body_case = CY__ENVELOPE__BODY_PING;
  envelope.ping = &ping;
  target->pinged_at = now;
  cyn_conn_send (target->conn, &envelope);
}

void
cyz_probes_tick (struct cyz_probes *probes)
{
  cy_time_ns now = current_time (probes);
  if (now < probes->next_ping)
    return;
  probes->next_ping = now + PING_INTERVAL_MS * CY_NS_PER_MS;
  uint64_t sequence = cyt_soft_state_sequence (probes->zone->view);
  if (sequence != probes->view_sequence)
    choose_targets (probes);
  probes->view_sequence = sequence;
  struct target *target = NULL;
  CK_STAILQ_FOREACH (target, &probes->targets, link)
  {
    if (!target->selected)
      continue;
    if (target->conn == NULL && now >= target->dial_at)
      target->conn = cyn_conn_dial (probes->zone->options.loop,
                                    &probes->identity, target->host,
                                    target->port, &target_handlers, target);
    send_ping (target, now);
  }
}

void
cyz_probes_take_results (struct cyz_probes *probes, Cy__ZoneStatus *status)
{
  status->probes = g_new0 (Cy__Probe *, probes->target_count + 1);
  int64_t unix_ms = cy_clock_unix_ms (probes->zone->clock);
  struct target *target = NULL;
  CK_STAILQ_FOREACH (target, &probes->targets, link)
  {
    if (!target->selected || target->sent == 0)
      continue;
    Cy__Probe *probe = g_new (Cy__Probe, 1);
    cy__probe__init (probe);
    probe->from_zone = (char *)probes->zone->options.identity->zone;
    probe->to_zone = target->zone;
    probe->sent = target->sent;
    probe->lost = target->lost;
    if (target->answered > 0)
      probe->round_trip_ms = target->round_trip_sum_ms / target->answered;
    probe->unix_ms = unix_ms;
    status->probes[status->n_probes++] = probe;
    target->sent = 0;
    target->lost = 0;
    target->answered = 0;
    target->round_trip_sum_ms = 0;
  }
}

struct cyz_probes *
cyz_probes_create (struct cyz_zone *zone)
{
  struct cyz_probes *probes = g_new0 (struct cyz_probes, 1);
  probes->zone = zone;
  probes->identity = *zone->options.identity;
  CK_STAILQ_INIT (&probes->targets);
  return probes;
}

void
cyz_probes_destroy (struct cyz_probes *probes)
{
  if (probes == NULL)
    return;
  struct target *target = NULL, *next = NULL;
  CK_STAILQ_FOREACH_SAFE (target, &probes->targets, link, next)
  {
    g_free (target->zone);
    g_free (target->host);
    g_free (target);
  }
  g_free (probes);
}

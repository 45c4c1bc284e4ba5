/* Announcements of backend servers.  An announcement that a server drains or
   leaves is confirmed only after every reachable control VM has acknowledged
   it and these are a majority.  So every control VM that places requests for
   the server has received the announcement, or is isolated and gets no
   requests any more.  It must also be on the disks of a majority of the voters
   and on more disks than may fail: after a restart of all control VMs, each
   one that is not isolated has read it or received it from another.  */

#include <inttypes.h>
#include <jansson.h>
#include <string.h>

#include "base/cyu_log.h"
#include "base/cyu_metrics.h"
#include "hub/cyc_internal.h"

/* Announcement whose answer waits for acknowledgements of the other control
   VMs.  */
struct cyc_pending_announcement
{
  uint64_t sequence; /* register sequence that the others must acknowledge */
  cy_time_ns expires_at; /* answered with CY_E_NO_QUORUM from then on */
  cyc_done_fn done;
  void *context;
};

/* True when the departures in the register up to SEQUENCE are on enough disks
   to outlast a restart of all control VMs.  */
static bool
is_stored (struct cyc_hub *hub, uint64_t sequence)
{
  size_t needed
      = MAX (cyc_log_majority (hub), (size_t)hub->options.spare_disks + 1);
  const struct cyc_peer *peer = NULL;
  size_t copies = cyc_log_is_voter (hub, hub->member)
                  && cyc_departures_stored (hub) >= sequence;
  CK_LIST_FOREACH (peer, &hub->peers, entry)
  {
    copies += peer->acked_stored >= sequence
              && cyc_log_is_voter (hub, peer->member);
  }
  return copies >= needed;
}

/* True when this VM reaches a majority, every reachable control VM has
   acknowledged the register up to SEQUENCE, and its departures are stored.  */
static bool
is_acknowledged (struct cyc_hub *hub, uint64_t sequence, cy_time_ns now)
{
  const struct cyc_peer *peer = NULL;
  if (cyc_links_is_isolated (hub))
    return false;
  CK_LIST_FOREACH (peer, &hub->peers, entry)
  {
    if (cyc_peer_is_live (peer, now) && peer->acked_sequence < sequence)
      return false;
  }
  return is_stored (hub, sequence);
}

void
cyc_announce_complete_pending (struct cyc_hub *hub)
{
  cy_time_ns now = cyc_now (hub);
  GList *link = hub->pending_announcements.head;
  while (link != NULL)
    {
      struct cyc_pending_announcement *pending = link->data;
      GList *next = link->next;
      bool acknowledged = is_acknowledged (hub, pending->sequence, now);
      if (acknowledged || now >= pending->expires_at)
        {
          g_queue_delete_link (&hub->pending_announcements, link);
          pending->done (acknowledged ? CY_OK : CY_E_NO_QUORUM,
                         pending->context);
          g_free (pending);
        }
      link = next;
    }
}

void
cyc_announce_destroy (struct cyc_hub *hub)
{
  struct cyc_pending_announcement *pending = NULL;
  while ((pending = g_queue_pop_head (&hub->pending_announcements)) != NULL)
    {
      pending->done (CY_E_CLOSED, pending->context);
      g_free (pending);
    }
}

static void
log_change (const Cy__Instance *info)
{
  cyu_log (G_LOG_LEVEL_INFO,
           "backend server %s of %s at %s:%u, start %" PRIu64
           ", announcement %" PRIu64 ": %s%s",
           info->id, info->service, info->host, info->port, info->born,
           info->sequence,
           info->gone       ? "gone"
           : info->draining ? "draining"
           : info->leaving  ? "leaving"
                            : "ready",
           info->cold_ms > 0 ? ", cold" : "");
}

/* True when a server ID that is not gone is known.  A leave without a start
   time counts for that one; otherwise, as after a restart of this VM, for all
   incarnations that have started so far.  */
static bool
is_present (const struct cyc_hub *hub, const char *id)
{
  const struct cyc_instance *held = cyc_register_find (hub->reg, id);
  return held != NULL && !held->info->gone;
}

/* True when INFO names no instance to use: it has the id of a server of a
   declared service and names a service that is not declared.  */
static bool
is_foreign (const struct cyc_hub *hub, const Cy__Instance *info)
{
  const struct cyc_instance *held = cyc_register_find (hub->reg, info->id);
  const struct cyi_document *document = hub->document;
  return document != NULL && held != NULL && !held->info->gone && !info->gone
         && cyi_document_find_service (document, info->service) == NULL
         && cyi_document_find_service (document, held->info->service) != NULL;
}

static void
count_refused (const char *reason)
{
  char *labels = g_strdup_printf ("reason=\"%s\"", reason);
  cyu_metric_add (cyu_counter ("cy_hub_announcements_refused_total", labels,
                               "Announcements that did not count."),
                  1);
  g_free (labels);
}

/* True when the server of INFO is known at the address of INFO.  */
static bool
has_claim (const struct cyc_hub *hub, const Cy__Instance *info)
{
  const struct cyc_instance *held = cyc_register_find (hub->reg, info->id);
  return held != NULL && !held->info->gone && held->info->born == info->born
         && held->info->port == info->port
         && strcmp (held->info->host, info->host) == 0;
}

/* Reports that the server ID has announced an address that another server
   has, which may be used.  */
static void
report_conflict (const struct cyc_hub *hub, const char *id)
{
  const struct cyc_instance *claimant = cyc_register_find (hub->reg, id);
  const struct cyc_instance *holder
      = claimant == NULL || cyc_instance_departs (claimant)
            ? NULL
            : cyc_register_rival (claimant, hub->document);
  if (holder == NULL)
    return;
  const Cy__Instance *info = claimant->info;
  bool declared
      = cyi_document_find_service (hub->document, info->service) != NULL;
  cyu_event (CYU_CHANGE, "address_conflict", "{ss si ss sI ss sb ss sI ss}",
             "host", info->host, "port", (int)info->port, "instance", info->id,
             "born", (json_int_t)info->born, "service", info->service,
             "declared", declared, "holder", holder->info->id, "holder_born",
             (json_int_t)holder->info->born, "holder_service",
             holder->info->service);
  cyu_metric_add (cyu_counter ("cy_hub_address_conflicts_total", "",
                               "Announcements of another server's address."),
                  1);
}

void
cyc_hub_announce (struct cyc_hub *hub, const Cy__Instance *info,
                  cyc_done_fn done, void *context)
{
  cy_time_ns now = cyc_now (hub);
  if (!info->gone
      && cyc_topology_region (hub->options.topology, info->zone) == NULL)
    {
      done (CY_E_ARGUMENT, context);
      return;
    }
  if (is_foreign (hub, info))
    {
      count_refused ("service");
      done (CY_E_ANNOUNCE_INVALID, context);
      return;
    }
  bool had_claim = has_claim (hub, info);
  Cy__Instance received = *info;
  if (info->gone && info->born == 0 && !is_present (hub, info->id))
    received.born = (uint64_t)cy_clock_unix_ms (hub->clock);
  enum cyc_register_effect effect
      = cyc_register_instance (hub->reg, &received, true, now);
  if (effect == CYC_CHANGED)
    {
      log_change (&received);
      cyc_dispatch_update_servers (hub);
      cyc_hub_schedule_flush (hub);
    }
  if (effect != CYC_STALE && !had_claim)
    report_conflict (hub, info->id);
  if (!info->draining && !info->gone)
    {
      if (effect == CYC_STALE)
        count_refused ("stale");
      done (effect == CYC_STALE ? CY_E_VERSION_CONFLICT : CY_OK, context);
      return;
    }
  const struct cyc_instance *held = cyc_register_find (hub->reg, info->id);
  struct cyc_pending_announcement *pending
      = g_new0 (struct cyc_pending_announcement, 1);
  pending->sequence
      = held == NULL ? cyc_register_sequence (hub->reg) : held->sequence;
  pending->expires_at = now + CYC_ANNOUNCE_ACK_TIMEOUT_MS * CY_NS_PER_MS;
  pending->done = done;
  pending->context = context;
  g_queue_push_tail (&hub->pending_announcements, pending);
  cyc_announce_complete_pending (hub);
}

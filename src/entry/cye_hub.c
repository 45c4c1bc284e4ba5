#include "entry/cye_hub.h"

#include <jansson.h>
#include <string.h>
#include <xxhash.h>

#include "base/cyu_log.h"
#include "entry/cye_hub_internal.h"

#define BACKOFF_MIN_MS    100 /* of the first redial, then doubled */
#define BACKOFF_MAX_MS    300
#define SPARE_LINKS_COUNT 1 /* open links to control VMs of other regions */

/* While requests wait at the placer: after PLACER_PING_MS without a byte from
   the placer this VM sends a report, which the placer must answer; after
   PLACER_TIMEOUT_MS without a byte the placer counts as unreachable.  */
#define PLACER_PING_MS    150
#define PLACER_TIMEOUT_MS 450

/* Time for which a link must have been open before its control VM replaces
   another placer, ms.  */
#define LINK_STEADY_MS 700

/* ------------------------------------------------------------ reports */

void
cye_hub_report (struct cye_hub *hub, struct cye_link *link)
{
  const struct cyn_identity *identity = hub->options.identity;
  Cy__EntryVm self = CY__ENTRY_VM__INIT;
  Cy__EntryReport report = CY__ENTRY_REPORT__INIT;
  Cy__Envelope envelope = CY__ENVELOPE__INIT;
  if (link->conn == NULL || !cyn_conn_is_open (link->conn))
    return;
  self.vm = (char *)identity->name;
  self.zone = (char *)identity->zone;
  self.region = (char *)hub->options.region;
  self.host = (char *)hub->options.host;
  self.port = hub->options.port;
  self.ready = cye_hub_is_ready (hub);
  self.incarnation = identity->incarnation;
  self.sequence = hub->change_number;
  if (link->self_sent != hub->change_number)
    report.self = &self;
  report.document_number = hub->document == NULL ? 0 : hub->document->number;
  report.epoch = link->epoch;
  report.sequence = link->sequence;
  report.attached = hub->placer == link;
  /* Without a placer this VM needs the register itself.  */
  report.standby = hub->standby == link || hub->placer == NULL;
  report.number = ++hub->report_number;
  if (report.attached && link->notices_due)
    cye_hub_place_fill_notices (hub, &report);
  envelope.body_case = CY__ENVELOPE__BODY_ENTRY_REPORT;
  envelope.entry_report = &report;
  if (cyn_conn_send (link->conn, &envelope) == CY_OK)
    {
      link->self_sent = hub->change_number;
      link->notices_due = link->notices_due && !report.attached;
    }
  cye_hub_place_clear_notices (&report);
  link->last_reported = cye_hub_now (hub);
}

void
cye_hub_report_all (struct cye_hub *hub)
{
  struct cye_link *link = NULL;
  hub->change_number++;
  CK_LIST_FOREACH (link, &hub->links, entry) { cye_hub_report (hub, link); }
}

/* ------------------------------------------------------------ links */

static void
link_opened (struct cyn_conn *conn, void *context)
{
  struct cye_link *link = cyn_conn_data (conn);
  (void)context;
  if (link == NULL)
    return;
  link->backoff_ms = BACKOFF_MIN_MS;
  link->opened_at = cye_hub_now (link->hub);
  link->last_received = 0;
  link->view_received = false;
  link->epoch = 0;
  link->sequence = 0;
  link->notices_due = true;
  link->self_sent = 0;
  cye_hub_report (link->hub, link);
}

static void
link_message (struct cyn_conn *conn, const Cy__Envelope *message,
              void *context)
{
  struct cye_link *link = cyn_conn_data (conn);
  (void)context;
  if (link == NULL)
    return;
  link->last_received = cye_hub_now (link->hub);
  if (message->body_case == CY__ENVELOPE__BODY_HUB_VIEW)
    cye_hub_view (link->hub, link, message->hub_view);
  else if (message->body_case == CY__ENVELOPE__BODY_PLACE_ANSWER)
    cye_hub_place_answer (link->hub, message->place_answer);
}

static void
link_closed (struct cyn_conn *conn, cy_result reason, void *context)
{
  struct cye_link *link = cyn_conn_data (conn);
  (void)context;
  if (link == NULL)
    return;
  if (link->view_received)
    cyu_log (G_LOG_LEVEL_WARNING, "lost control VM %s at %s: %s",
             link->vm == NULL ? "" : link->vm, link->host,
             cy_result_text (reason));
  link->conn = NULL;
  link->view_received = false;
  link->last_received = 0;
  cyn_timer_start (link->redial, link->backoff_ms);
  link->backoff_ms = MIN (2 * link->backoff_ms, BACKOFF_MAX_MS);
  cye_hub_choose_placer (link->hub);
}

static const struct cyn_handlers link_handlers
    = { link_opened, link_message, link_closed };

static void
dial (void *context)
{
  struct cye_link *link = context;
  const struct cye_hub_options *options = &link->hub->options;
  if (link->conn != NULL || !link->wanted)
    return;
  link->conn = cyn_conn_dial (options->loop, options->identity, link->host,
                              options->peer_port, &link_handlers, NULL);
  if (link->conn != NULL)
    cyn_conn_set_data (link->conn, link);
  else
    cyn_timer_start (link->redial, BACKOFF_MAX_MS);
}

void
cye_hub_close_link (struct cye_link *link)
{
  if (link->conn == NULL)
    return;
  cyn_conn_set_data (link->conn, NULL);
  cyn_conn_close (link->conn);
  link->conn = NULL;
  link->view_received = false;
  link->last_received = 0;
}

static struct cye_link *
find_link (const struct cye_hub *hub, const char *host)
{
  struct cye_link *link = NULL;
  CK_LIST_FOREACH (link, &hub->links, entry)
  {
    if (strcmp (link->host, host) == 0)
      return link;
  }
  return NULL;
}

static struct cye_link *
add_link (struct cye_hub *hub, const char *host)
{
  struct cye_link *link = g_new0 (struct cye_link, 1);
  link->hub = hub;
  link->host = g_strdup (host);
  link->backoff_ms = BACKOFF_MIN_MS;
  link->redial = cyn_timer_create (hub->options.loop, dial, link);
  CK_LIST_INSERT_HEAD (&hub->links, link, entry);
  return link;
}

void
cye_hub_add_control_vm (struct cye_hub *hub, const char *vm,
                        const char *region, const char *host)
{
  struct cye_link *link = find_link (hub, host);
  if (host[0] == '\0')
    return;
  if (link == NULL)
    link = add_link (hub, host);
  if (link->vm == NULL || strcmp (link->vm, vm) != 0)
    {
      g_free (link->vm);
      g_free (link->region);
      link->vm = g_strdup (vm);
      link->region = g_strdup (region);
    }
}

static void
destroy_link (struct cye_link *link)
{
  cye_hub_close_link (link);
  CK_LIST_REMOVE (link, entry);
  if (link->hub->standby == link)
    link->hub->standby = NULL;
  cyn_timer_destroy (link->redial);
  g_free (link->host);
  g_free (link->vm);
  g_free (link->region);
  g_free (link);
}

/* Monotonic time at which the last bytes of LINK arrived.  Bytes of an
   incomplete message count, as a long message may take long on a slow link. */
static cy_time_ns
last_received_at (const struct cye_link *link)
{
  bool open = link->conn != NULL && cyn_conn_is_open (link->conn);
  return open ? MAX (link->last_received, cyn_conn_last_read_at (link->conn))
              : link->last_received;
}

/* ------------------------------------------------------------ link choice */

static bool
is_local_region (const struct cye_link *link)
{
  return link->region != NULL
         && strcmp (link->region, link->hub->options.region) == 0;
}

static bool
is_live (const struct cye_link *link, cy_time_ns now)
{
  return link->view_received && link->last_received != 0
         && now - last_received_at (link) < CYE_LINK_TIMEOUT_MS * CY_NS_PER_MS;
}

/* Order in which this VM prefers control VMs of other regions; lower is
   better.  The order differs between entry VMs, so that the load is shared. */
static uint64_t
preference (const struct cye_link *link)
{
  const char *vm = link->hub->options.identity->name;
  return XXH64 (link->host, strlen (link->host), XXH64 (vm, strlen (vm), 0));
}

static void
set_wanted (struct cye_link *link, bool wanted)
{
  if (wanted == link->wanted)
    return;
  link->wanted = wanted;
  if (wanted)
    cyn_timer_start (link->redial, 0);
  else
    {
      cyn_timer_stop (link->redial);
      cye_hub_close_link (link);
    }
}

/* Keeps links to every control VM of the region, and to the SPARE_LINKS_COUNT
   preferred live ones of other regions.  Keeps links to the seeds while no
   link is live.  */
static void
choose_links (struct cye_hub *hub)
{
  cy_time_ns now = cye_hub_now (hub);
  struct cye_link *link = NULL;
  unsigned live = 0;
  unsigned others = 0;
  CK_LIST_FOREACH (link, &hub->links, entry)
  {
    live += is_live (link, now);
    others += is_live (link, now) && !is_local_region (link);
  }
  CK_LIST_FOREACH (link, &hub->links, entry)
  {
    const struct cye_link *other = NULL;
    unsigned better = 0;
    if (is_local_region (link) || (live == 0 && link->is_seed))
      {
        set_wanted (link, true);
        continue;
      }
    CK_LIST_FOREACH (other, &hub->links, entry)
    {
      bool counts = others >= SPARE_LINKS_COUNT ? is_live (other, now) : true;
      better += counts && other != link && !is_local_region (other)
                && preference (other) < preference (link);
    }
    /* All control VMs of other regions are dialed while fewer than
       SPARE_LINKS_COUNT of their links are live.  */
    set_wanted (link,
                others < SPARE_LINKS_COUNT
                    || (is_live (link, now) && better < SPARE_LINKS_COUNT));
  }
}

/* ------------------------------------------------------------ placer */

/* True when the control VM of LINK may place requests.  NEW: it is not the
   placer now, so its link must have been open for LINK_STEADY_MS, unless there
   is no placer.  */
static bool
is_eligible_placer (const struct cye_link *link, bool new, cy_time_ns now)
{
  bool steady = now - link->opened_at > LINK_STEADY_MS * CY_NS_PER_MS;
  return is_local_region (link) && is_live (link, now) && !link->leaving
         && (!new || steady || link->hub->placer == NULL);
}

/* Returns the control VM that places requests, of those that are isolated or
   not.  SKIP, which may be NULL, is left out.  */
static struct cye_link *
best_link (struct cye_hub *hub, const struct cye_link *skip, bool isolated,
           cy_time_ns now)
{
  struct cye_link *link = NULL;
  struct cye_link *best = NULL;
  CK_LIST_FOREACH (link, &hub->links, entry)
  {
    if (!is_eligible_placer (link, link != hub->placer, now)
        || link->isolated != isolated || link == skip)
      continue;
    if (best == NULL || strcmp (link->vm, best->vm) < 0)
      best = link;
  }
  return best;
}

static bool
has_majority_link (const struct cye_hub *hub, cy_time_ns now)
{
  const struct cye_link *link = NULL;
  CK_LIST_FOREACH (link, &hub->links, entry)
  {
    if (is_live (link, now) && link->reaches_majority)
      return true;
  }
  return false;
}

/* Chooses the control VM that places requests after PLACER.  */
static void
choose_standby (struct cye_hub *hub, const struct cye_link *placer,
                cy_time_ns now)
{
  struct cye_link *standby = best_link (hub, placer, false, now);
  if (standby == hub->standby)
    return;
  hub->standby = standby;
  if (standby != NULL)
    cye_hub_report (hub, standby);
}

void
cye_hub_choose_placer (struct cye_hub *hub)
{
  cy_time_ns now = cye_hub_now (hub);
  struct cye_link *before = hub->placer;
  struct cye_link *best = best_link (hub, NULL, false, now);
  /* An isolated control VM does not receive drains.  It is chosen only while
     no control VM with a majority is connected.  */
  if (best == NULL && !has_majority_link (hub, now))
    best = best_link (hub, NULL, true, now);
  choose_standby (hub, best, now);
  if (best == before)
    return;
  hub->placer = best;
  cyu_event (CYU_CHANGE, "placer", "{ss ss si}", "control_vm",
             best == NULL ? "" : best->vm, "before",
             before == NULL || before->vm == NULL ? "" : before->vm,
             "entry_vms_of_region", (int)hub->region_entries);
  if (before != NULL)
    cye_hub_report (hub, before);
  if (best != NULL)
    {
      best->notices_due = true;
      cye_hub_report (hub, best);
    }
  else
    cye_hub_report_all (hub);
  cye_hub_place_reassign (hub, before);
}

/* ------------------------------------------------------------ timers */

static void
on_heartbeat_timer (void *context)
{
  struct cye_hub *hub = context;
  struct cye_link *link = NULL;
  cy_time_ns now = cye_hub_now (hub);
  CK_LIST_FOREACH (link, &hub->links, entry)
  {
    bool open = link->conn != NULL && cyn_conn_is_open (link->conn);
    cy_time_ns last = MAX (last_received_at (link), link->opened_at);
    if (open && now - last > 2 * CYE_LINK_TIMEOUT_MS * CY_NS_PER_MS)
      {
        cyu_log (G_LOG_LEVEL_WARNING, "control VM at %s is silent",
                 link->host);
        cye_hub_close_link (link);
        cyn_timer_start (link->redial, 0);
      }
    else if (open
             && now - link->last_reported
                    >= CYE_REPORT_INTERVAL_MS * CY_NS_PER_MS * 9 / 10)
      cye_hub_report (hub, link);
  }
  choose_links (hub);
  cye_hub_choose_placer (hub);
  cyn_timer_start (hub->heartbeat_timer, CYE_REPORT_INTERVAL_MS / 2);
}

/* Checks whether the placer still answers.  */
static void
on_placer_check_timer (void *context)
{
  struct cye_hub *hub = context;
  struct cye_link *link = hub->placer;
  cy_time_ns now = cye_hub_now (hub);
  cy_time_ns oldest = cye_hub_place_oldest_at (hub);
  cym_match_tick (hub->match, now);
  if (link != NULL && oldest != 0)
    {
      cy_time_ns unanswered = now - MAX (last_received_at (link), oldest);
      if (unanswered > PLACER_TIMEOUT_MS * CY_NS_PER_MS)
        {
          cyu_log (G_LOG_LEVEL_WARNING,
                   "control VM %s does not place requests any more", link->vm);
          cye_hub_close_link (link);
          cyn_timer_start (link->redial, BACKOFF_MIN_MS);
          cye_hub_choose_placer (hub);
        }
      else if (unanswered > PLACER_PING_MS * CY_NS_PER_MS
               && now - link->last_reported > PLACER_PING_MS * CY_NS_PER_MS)
        cye_hub_report (hub, link);
    }
  bool waits_locally = cym_match_next_tick (hub->match) != INT64_MAX;
  if (waits_locally || cye_hub_place_oldest_at (hub) != 0)
    cyn_timer_start (hub->placer_check_timer,
                     waits_locally ? 10 : CYE_PLACER_CHECK_MS);
}

/* ------------------------------------------------------------ lifetime */

bool
cye_hub_is_ready (const struct cye_hub *hub)
{
  return hub->document != NULL && !hub->leaving;
}

const struct cyi_document *
cye_hub_document (const struct cye_hub *hub)
{
  return hub->document;
}

void
cye_hub_status (const struct cye_hub *hub, struct cye_hub_status *status)
{
  const struct cye_link *link = hub->placer;
  const struct cyc_instance *instance = NULL;
  memset (status, 0, sizeof *status);
  status->view_age_ms = -1;
  if (hub->document != NULL)
    status->declaration_version = hub->document->number;
  if (link != NULL)
    {
      status->placer = link->vm;
      status->view_age_ms
          = (cye_hub_now (hub) - link->last_received) / CY_NS_PER_MS;
    }
  CK_LIST_FOREACH (instance, cyc_register_instances (hub->server_register),
                   entry)
  {
    status->servers += !instance->info->gone;
  }
}

void
cye_hub_leave (struct cye_hub *hub)
{
  hub->leaving = true;
  cye_hub_report_all (hub);
}

struct cye_hub *
cye_hub_create (const struct cye_hub_options *options)
{
  struct cye_hub *hub = g_new0 (struct cye_hub, 1);
  hub->options = *options;
  hub->clock = cyn_loop_clock (options->loop);
  hub->change_number = 1;
  hub->server_register = cyc_register_create ();
  hub->drained_zones = g_ptr_array_new_with_free_func (g_free);
  CK_LIST_INIT (&hub->links);
  hub->declaration_reader = cye_declaration_reader_create (
      options->loop, cye_hub_view_declaration_read, hub);
  cye_hub_place_create (hub);
  char **seeds = g_strsplit (options->seeds, ",", -1);
  for (char **seed = seeds; *seed != NULL; seed++)
    {
      char *colon = strrchr (*seed, ':');
      if (colon != NULL)
        *colon = '\0';
      if (find_link (hub, *seed) == NULL)
        add_link (hub, *seed)->is_seed = true;
    }
  g_strfreev (seeds);
  hub->heartbeat_timer
      = cyn_timer_create (options->loop, on_heartbeat_timer, hub);
  hub->placer_check_timer
      = cyn_timer_create (options->loop, on_placer_check_timer, hub);
  cyn_timer_start (hub->heartbeat_timer, 0);
  return hub;
}

void
cye_hub_destroy (struct cye_hub *hub)
{
  if (hub == NULL)
    return;
  struct cye_link *link = NULL;
  struct cye_link *next = NULL;
  CK_LIST_FOREACH_SAFE (link, &hub->links, entry, next)
  {
    destroy_link (link);
  }
  cyn_timer_destroy (hub->heartbeat_timer);
  cyn_timer_destroy (hub->placer_check_timer);
  cye_hub_place_destroy (hub);
  cye_declaration_reader_destroy (hub->declaration_reader);
  cyi_document_destroy (hub->document);
  cyc_register_destroy (hub->server_register);
  g_ptr_array_unref (hub->drained_zones);
  g_free (hub);
}

#include "entry/cye_hub.h"

#include <jansson.h>
#include <string.h>
#include <xxhash.h>

#include "base/cyu_log.h"
#include "entry/cye_hub_internal.h"

#define BACKOFF_MS  100 /* ms, doubled up to the limit */
#define BACKOFF_MAX 300 /* ms */
#define SPARES      1   /* control VMs of other regions that are kept open */
#define PING_MS     150 /* ms that a request waits until its placer is asked */
#define SILENT_MS   450 /* ms of silence after that until it is given up */
#define STEADY_MS                                                             \
  700 /* ms that a link is open until it is preferred again                   \
       */

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
  self.sequence = hub->changes;
  report.self = &self;
  report.document_number = hub->document == NULL ? 0 : hub->document->number;
  report.epoch = link->epoch;
  report.sequence = link->sequence;
  report.attached = hub->dispatcher == link;
  report.number = ++hub->reports;
  envelope.body_case = CY__ENVELOPE__BODY_ENTRY_REPORT;
  envelope.entry_report = &report;
  cyn_conn_send (link->conn, &envelope);
  link->said = cye_hub_now (hub);
}

void
cye_hub_report_all (struct cye_hub *hub)
{
  struct cye_link *link = NULL;
  hub->changes++;
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
  link->backoff_ms = BACKOFF_MS;
  link->opened = cye_hub_now (link->hub);
  link->heard = 0;
  link->told = false;
  link->epoch = 0;
  link->sequence = 0;
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
  link->heard = cye_hub_now (link->hub);
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
  if (link->told)
    cyu_log (G_LOG_LEVEL_WARNING, "lost control VM %s at %s: %s",
             link->vm == NULL ? "" : link->vm, link->host,
             cy_result_text (reason));
  link->conn = NULL;
  link->told = false;
  link->heard = 0;
  cyn_timer_start (link->redial, link->backoff_ms);
  link->backoff_ms = MIN (2 * link->backoff_ms, BACKOFF_MAX);
  cye_hub_choose (link->hub);
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
    cyn_timer_start (link->redial, BACKOFF_MAX);
}

void
cye_hub_hang_up (struct cye_link *link)
{
  if (link->conn == NULL)
    return;
  cyn_conn_set_data (link->conn, NULL);
  cyn_conn_close (link->conn);
  link->conn = NULL;
  link->told = false;
  link->heard = 0;
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
  link->backoff_ms = BACKOFF_MS;
  link->redial = cyn_timer_create (hub->options.loop, dial, link);
  CK_LIST_INSERT_HEAD (&hub->links, link, entry);
  return link;
}

void
cye_hub_know (struct cye_hub *hub, const char *vm, const char *region,
              const char *host)
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
forget_link (struct cye_link *link)
{
  cye_hub_hang_up (link);
  CK_LIST_REMOVE (link, entry);
  cyn_timer_destroy (link->redial);
  g_free (link->host);
  g_free (link->vm);
  g_free (link->region);
  g_free (link);
}

/* When anything last came from LINK: a long message on a slow link is no
   silence.  */
static cy_time_ns
heard_at (const struct cye_link *link)
{
  bool open = link->conn != NULL && cyn_conn_is_open (link->conn);
  return open ? MAX (link->heard, cyn_conn_read_at (link->conn)) : link->heard;
}

/* ------------------------------------------------------------ which links */

static bool
is_own_region (const struct cye_link *link)
{
  return link->region != NULL
         && strcmp (link->region, link->hub->options.region) == 0;
}

static bool
is_live (const struct cye_link *link, cy_time_ns now)
{
  return link->told && link->heard != 0
         && now - heard_at (link) < CYE_LINK_LIVE_MS * CY_NS_PER_MS;
}

/* Order in which this VM prefers control VMs of other regions: another one at
   each VM, so that they share the load.  */
static uint64_t
preference (const struct cye_link *link)
{
  const char *own = link->hub->options.identity->name;
  return XXH64 (link->host, strlen (link->host), XXH64 (own, strlen (own), 0));
}

static void
want (struct cye_link *link, bool wanted)
{
  if (wanted == link->wanted)
    return;
  link->wanted = wanted;
  if (wanted)
    cyn_timer_start (link->redial, 0);
  else
    {
      cyn_timer_stop (link->redial);
      cye_hub_hang_up (link);
    }
}

/* Keeps every control VM of the region and the live ones among the SPARES best
   of the others; seeds until any is known.  */
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
    others += is_live (link, now) && !is_own_region (link);
  }
  CK_LIST_FOREACH (link, &hub->links, entry)
  {
    const struct cye_link *other = NULL;
    unsigned better = 0;
    if (is_own_region (link) || (live == 0 && link->seed))
      {
        want (link, true);
        continue;
      }
    CK_LIST_FOREACH (other, &hub->links, entry)
    {
      bool counts = others >= SPARES ? is_live (other, now) : true;
      better += counts && other != link && !is_own_region (other)
                && preference (other) < preference (link);
    }
    /* While too few are live all are tried.  */
    want (link, others < SPARES || (is_live (link, now) && better < SPARES));
  }
}

/* ------------------------------------------------------------ dispatcher */

/* True when LINK may place requests.  NEW: it does not do so now, and should
   have been steady for a while.  */
static bool
may_place (const struct cye_link *link, bool new, cy_time_ns now)
{
  bool steady = now - link->opened > STEADY_MS * CY_NS_PER_MS;
  return is_own_region (link) && is_live (link, now) && !link->leaving
         && (!new || steady || link->hub->dispatcher == NULL);
}

static struct cye_link *
best_link (struct cye_hub *hub, bool isolated, cy_time_ns now)
{
  struct cye_link *link = NULL;
  struct cye_link *best = NULL;
  CK_LIST_FOREACH (link, &hub->links, entry)
  {
    if (!may_place (link, link != hub->dispatcher, now)
        || link->isolated != isolated)
      continue;
    if (best == NULL || strcmp (link->vm, best->vm) < 0)
      best = link;
  }
  return best;
}

static bool
knows_majority (const struct cye_hub *hub, cy_time_ns now)
{
  const struct cye_link *link = NULL;
  CK_LIST_FOREACH (link, &hub->links, entry)
  {
    if (is_live (link, now) && link->majority)
      return true;
  }
  return false;
}

void
cye_hub_choose (struct cye_hub *hub)
{
  cy_time_ns now = cye_hub_now (hub);
  struct cye_link *before = hub->dispatcher;
  struct cye_link *best = best_link (hub, false, now);
  /* One that is cut off does not learn which servers drain; it is better
     than none only while nobody else does either.  */
  if (best == NULL && !knows_majority (hub, now))
    best = best_link (hub, true, now);
  if (best == before)
    return;
  hub->dispatcher = best;
  cyu_event (CYU_CHANGE, "placer", "{ss ss si}", "control_vm",
             best == NULL ? "" : best->vm, "before",
             before == NULL || before->vm == NULL ? "" : before->vm,
             "entry_vms_of_region", (int)hub->region_entries);
  if (before != NULL)
    cye_hub_report (hub, before);
  if (best != NULL)
    cye_hub_report (hub, best);
  cye_hub_place_move (hub, before);
}

/* ------------------------------------------------------------ time */

static void
beat_due (void *context)
{
  struct cye_hub *hub = context;
  struct cye_link *link = NULL;
  cy_time_ns now = cye_hub_now (hub);
  CK_LIST_FOREACH (link, &hub->links, entry)
  {
    bool open = link->conn != NULL && cyn_conn_is_open (link->conn);
    cy_time_ns last = MAX (heard_at (link), link->opened);
    if (open && now - last > 2 * CYE_LINK_LIVE_MS * CY_NS_PER_MS)
      {
        cyu_log (G_LOG_LEVEL_WARNING, "control VM at %s is silent",
                 link->host);
        cye_hub_hang_up (link);
        cyn_timer_start (link->redial, 0);
      }
    else if (open
             && now - link->said >= CYE_REPORT_REST_MS * CY_NS_PER_MS * 9 / 10)
      cye_hub_report (hub, link);
  }
  choose_links (hub);
  cye_hub_choose (hub);
  cyn_timer_start (hub->beat, CYE_REPORT_REST_MS / 2);
}

/* Looks for a dispatcher that does not answer.  */
static void
watch_due (void *context)
{
  struct cye_hub *hub = context;
  struct cye_link *link = hub->dispatcher;
  cy_time_ns now = cye_hub_now (hub);
  cy_time_ns oldest = cye_hub_place_oldest (hub);
  cym_match_tick (hub->match, now);
  if (link != NULL && oldest != 0)
    {
      cy_time_ns silent = now - MAX (heard_at (link), oldest);
      if (silent > SILENT_MS * CY_NS_PER_MS)
        {
          cyu_log (G_LOG_LEVEL_WARNING,
                   "control VM %s does not place requests any more", link->vm);
          cye_hub_hang_up (link);
          cyn_timer_start (link->redial, BACKOFF_MS);
          cye_hub_choose (hub);
        }
      else if (silent > PING_MS * CY_NS_PER_MS
               && now - link->said > PING_MS * CY_NS_PER_MS)
        cye_hub_report (hub, link);
    }
  bool own_waits = cym_match_next_tick (hub->match) != INT64_MAX;
  if (own_waits || cye_hub_place_oldest (hub) != 0)
    cyn_timer_start (hub->watch, own_waits ? 10 : CYE_WATCH_MS);
}

/* ------------------------------------------------------------ life */

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
cye_hub_age (const struct cye_hub *hub, struct cye_hub_age *age)
{
  const struct cye_link *link = hub->dispatcher;
  const struct cyc_instance *instance = NULL;
  memset (age, 0, sizeof *age);
  age->view_ms = -1;
  if (hub->document != NULL)
    age->declaration = hub->document->number;
  if (link != NULL)
    {
      age->placer = link->vm;
      age->view_ms = (cye_hub_now (hub) - link->heard) / CY_NS_PER_MS;
    }
  CK_LIST_FOREACH (instance, cyc_register_instances (hub->reg), entry)
  {
    age->servers += !instance->facts->gone;
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
  hub->reg = cyc_register_create ();
  hub->drained = g_ptr_array_new_with_free_func (g_free);
  CK_LIST_INIT (&hub->links);
  hub->reading
      = cye_declaration_reader_create (options->loop, cye_hub_view_read, hub);
  cye_hub_place_create (hub);
  char **seeds = g_strsplit (options->seeds, ",", -1);
  for (char **seed = seeds; *seed != NULL; seed++)
    {
      char *colon = strrchr (*seed, ':');
      if (colon != NULL)
        *colon = '\0';
      if (find_link (hub, *seed) == NULL)
        add_link (hub, *seed)->seed = true;
    }
  g_strfreev (seeds);
  hub->beat = cyn_timer_create (options->loop, beat_due, hub);
  hub->watch = cyn_timer_create (options->loop, watch_due, hub);
  cyn_timer_start (hub->beat, 0);
  return hub;
}

void
cye_hub_destroy (struct cye_hub *hub)
{
  if (hub == NULL)
    return;
  struct cye_link *link = NULL;
  struct cye_link *next = NULL;
  CK_LIST_FOREACH_SAFE (link, &hub->links, entry, next) { forget_link (link); }
  cyn_timer_destroy (hub->beat);
  cyn_timer_destroy (hub->watch);
  cye_hub_place_destroy (hub);
  cye_declaration_reader_destroy (hub->reading);
  cyi_document_destroy (hub->document);
  cyc_register_destroy (hub->reg);
  g_ptr_array_unref (hub->drained);
  g_free (hub);
}

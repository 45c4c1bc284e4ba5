#include "zone/cyz_parent.h"

#include <ck_queue.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/cyu_log.h"

#define TICK_INTERVAL_MS   100  /* interval of checks of the links */
#define LINKS_MAX          16   /* maximum number of parents */
#define STANDBY_AGE_MAX_MS 2500 /* maximum age of a standby's confirmation */

struct link
{
  CK_STAILQ_ENTRY (link) list_entry; /* list in order of preference */
  struct cyz_parent *parent;
  char *host;
  uint16_t port;
  struct cyn_conn *conn; /* NULL: neither connected nor connecting */
  bool open;
  bool leaving;            /* the parent is stopping */
  cy_time_ns opened_at;    /* time at which the connection opened */
  cy_time_ns dial_at;      /* earliest time of the next connection attempt */
  uint32_t backoff_ms;     /* delay of the next reconnection, before jitter */
  cy_time_ns last_request; /* time of the last request to this parent */
  cy_time_ns confirmed_at; /* time of the last confirming answer, 0: none */
};

struct cyz_parent
{
  struct cyz_parent_options options;
  const struct cy_clock *clock;
  CK_STAILQ_HEAD (link_list, link) links;
  uint32_t link_count;
  struct link *current;
  cy_time_ns current_since;
  struct cyn_timer *timer;
  struct cys_state *state;
  struct cyt_soft_state *soft;
  struct cyf_freshness freshness;
  char *cursor; /* position in a full state sent in chunks, NULL: none */
};

static cy_time_ns
current_time (const struct cyz_parent *parent)
{
  return cy_clock_now (parent->clock);
}

static bool
is_recent (cy_time_ns when, cy_time_ns now, int64_t within_ms)
{
  return when != 0 && now - when < within_ms * CY_NS_PER_MS;
}

/* ------------------------------------------------------------ requests */

static void
send_request (struct cyz_parent *parent, struct link *link)
{
  cy_time_ns now = current_time (parent);
  Cy__SyncAsk sync = CY__SYNC_ASK__INIT;
  sync.version = cys_state_version (parent->state);
  sync.soft_epoch = cyt_soft_state_epoch (parent->soft);
  sync.soft_sequence = cyt_soft_state_sequence (parent->soft);
  sync.standby = link != parent->current;
  if (parent->cursor != NULL && !sync.standby)
    sync.cursor = parent->cursor;
  Cy__Envelope envelope = CY__ENVELOPE__INIT;
  envelope.request = cyf_freshness_record_request (&parent->freshness, now);
  envelope.body_case = CY__ENVELOPE__BODY_SYNC_ASK;
  envelope.sync_ask = &sync;
  link->last_request = now;
  cyn_conn_send (link->conn, &envelope);
}

static void
set_current (struct cyz_parent *parent, struct link *link)
{
  if (parent->current == link)
    return;
  parent->current = link;
  parent->current_since = current_time (parent);
  g_clear_pointer (&parent->cursor, g_free);
  struct cyz_parent_events *events = &parent->options.events;
  if (events->on_current != NULL)
    events->on_current (link == NULL ? NULL : link->conn, events->context);
  if (link != NULL)
    send_request (parent, link);
}

/* ------------------------------------------------------------ answers */

static void
store_cursor (struct cyz_parent *parent, const Cy__SyncAnswer *answer)
{
  g_clear_pointer (&parent->cursor, g_free);
  if (answer->more && answer->from_version == 0 && answer->cursor[0] != '\0')
    parent->cursor = g_strdup (answer->cursor);
}

/* Applies the content of ANSWER.  Returns false if ANSWER does not fit the
   state, so that a new request is needed.  */
static bool
apply_content (struct cyz_parent *parent, const Cy__SyncAnswer *answer,
               bool is_current)
{
  uint64_t version = cys_state_version (parent->state);
  uint64_t sequence = cyt_soft_state_sequence (parent->soft);
  uint64_t epoch = cyt_soft_state_epoch (parent->soft);
  bool fits = true;
  if (answer->n_objects > 0 || answer->to_version > version)
    fits = cys_state_apply_answer (parent->state, answer) == CY_OK;
  if (is_current && answer->soft_epoch != 0)
    fits = cyt_soft_state_sync (parent->soft, answer) == CY_OK && fits;
  struct cyz_parent_events *events = &parent->options.events;
  bool changed = version != cys_state_version (parent->state)
                 || sequence != cyt_soft_state_sequence (parent->soft)
                 || epoch != cyt_soft_state_epoch (parent->soft);
  if (changed && events->on_change != NULL)
    events->on_change (events->context);
  return fits;
}

static void
process_answer (struct link *link, uint64_t request,
                const Cy__SyncAnswer *answer)
{
  struct cyz_parent *parent = link->parent;
  bool is_current = link == parent->current;
  bool fits = apply_content (parent, answer, is_current);
  if (answer->pushed)
    return;
  if (is_current)
    store_cursor (parent, answer);
  bool is_complete
      = fits && !answer->more
        && cys_state_version (parent->state) >= answer->to_version;
  if (answer->confirmed && is_complete)
    {
      link->confirmed_at = current_time (parent);
      struct cyz_parent_events *events = &parent->options.events;
      if (cyf_freshness_confirm (&parent->freshness, request,
                                 (cy_time_ns)answer->age_ms * CY_NS_PER_MS)
          && events->on_confirmed != NULL)
        events->on_confirmed (events->context);
    }
  if (is_current && (answer->more || !fits))
    send_request (parent, link);
}

static struct link *link_add (struct cyz_parent *parent, const char *host,
                              uint16_t port);
static void choose_parent (struct cyz_parent *parent, cy_time_ns now);

static struct link *
link_find (const struct cyz_parent *parent, const char *host, uint32_t port)
{
  struct link *link = NULL;
  CK_STAILQ_FOREACH (link, &parent->links, list_entry)
  {
    if (link->port == port && strcmp (link->host, host) == 0)
      return link;
  }
  return NULL;
}

/* Applies a redirect from FROM: port 0 means that the parent is stopping, else
   the redirect names the parent to use.  */
static void
process_redirect (struct link *from, const Cy__Redirect *redirect)
{
  struct cyz_parent *parent = from->parent;
  if (redirect->port == 0)
    {
      from->leaving = true;
      choose_parent (parent, current_time (parent));
      return;
    }
  struct link *link = link_find (parent, redirect->host, redirect->port);
  if (link == NULL && redirect->port <= UINT16_MAX
      && parent->link_count < LINKS_MAX)
    link = link_add (parent, redirect->host, (uint16_t)redirect->port);
  if (link == NULL || link == from)
    return;
  if (from == parent->current && link->open)
    set_current (parent, link);
}

/* ------------------------------------------------------------ links */

static void
link_opened (struct cyn_conn *conn, void *context)
{
  struct link *link = context;
  struct cyz_parent *parent = link->parent;
  struct cyz_parent_events *events = &parent->options.events;
  link->open = true;
  link->leaving = false;
  link->opened_at = current_time (parent);
  link->backoff_ms = CYZ_RECONNECT_MIN_MS;
  if (events->on_open != NULL)
    events->on_open (conn, events->context);
  if (parent->current == NULL)
    set_current (parent, link);
}

static void
link_message (struct cyn_conn *conn, const Cy__Envelope *message,
              void *context)
{
  struct link *link = context;
  struct cyz_parent_events *events = &link->parent->options.events;
  if (message->body_case == CY__ENVELOPE__BODY_SYNC_ANSWER)
    process_answer (link, message->request, message->sync_answer);
  else if (message->body_case == CY__ENVELOPE__BODY_REDIRECT
           && message->redirect->port != 0)
    process_redirect (link, message->redirect);
  else if (events->on_message != NULL)
    events->on_message (conn, message, events->context);
  if (message->body_case == CY__ENVELOPE__BODY_REDIRECT
      && message->redirect->port == 0)
    process_redirect (link, message->redirect);
}

static void
link_closed (struct cyn_conn *conn, cy_result reason, void *context)
{
  (void)reason;
  struct link *link = context;
  struct cyz_parent *parent = link->parent;
  struct cyz_parent_events *events = &parent->options.events;
  bool was_open = link->open;
  uint64_t jitter
      = cy_random_below (parent->options.random, link->backoff_ms / 2 + 1);
  link->conn = NULL;
  link->open = false;
  link->confirmed_at = 0;
  link->dial_at = current_time (parent)
                  + (cy_time_ns)(link->backoff_ms / 2 + jitter) * CY_NS_PER_MS;
  link->backoff_ms = MIN (link->backoff_ms * 2, CYZ_RECONNECT_MAX_MS);
  if (was_open && events->on_close != NULL)
    events->on_close (conn, events->context);
  if (parent->current == link)
    set_current (parent, NULL);
}

static const struct cyn_handlers link_handlers
    = { link_opened, link_message, link_closed };

static struct link *
link_add (struct cyz_parent *parent, const char *host, uint16_t port)
{
  struct link *link = g_new0 (struct link, 1);
  link->parent = parent;
  link->host = g_strdup (host);
  link->port = port;
  link->backoff_ms = CYZ_RECONNECT_MIN_MS;
  CK_STAILQ_INSERT_TAIL (&parent->links, link, list_entry);
  parent->link_count++;
  return link;
}

static void
dial_link (struct cyz_parent *parent, struct link *link, cy_time_ns now)
{
  if (link->conn != NULL || now < link->dial_at)
    return;
  link->conn = cyn_conn_dial (parent->options.loop, parent->options.identity,
                              link->host, link->port, &link_handlers, link);
  if (link->conn == NULL)
    link->dial_at = now + CYZ_RECONNECT_MAX_MS * CY_NS_PER_MS;
}

/* ------------------------------------------------------------ choosing */

/* Finds the open link to switch to if the current one does not confirm: a link
   with a recent confirmation, else the next one in the list.  */
static struct link *
find_other (struct cyz_parent *parent, cy_time_ns now)
{
  struct link *link = NULL;
  struct link *next = NULL;
  struct link *first = NULL;
  bool passed_current = parent->current == NULL;
  CK_STAILQ_FOREACH (link, &parent->links, list_entry)
  {
    if (link == parent->current)
      {
        passed_current = true;
        continue;
      }
    if (!link->open || link->leaving)
      continue;
    if (is_recent (link->confirmed_at, now, STANDBY_AGE_MAX_MS))
      return link;
    if (first == NULL)
      first = link;
    if (passed_current && next == NULL)
      next = link;
  }
  return next != NULL ? next : first;
}

/* Finds a link with a higher preference than the current one that has
   confirmed recently and has been open for STANDBY_AGE_MAX_MS.  */
static struct link *
find_preferred (struct cyz_parent *parent, cy_time_ns now)
{
  struct link *link = NULL;
  CK_STAILQ_FOREACH (link, &parent->links, list_entry)
  {
    if (link == parent->current)
      return NULL;
    if (link->open && !link->leaving
        && is_recent (link->confirmed_at, now, STANDBY_AGE_MAX_MS)
        && now - link->opened_at > STANDBY_AGE_MAX_MS * CY_NS_PER_MS)
      return link;
  }
  return NULL;
}

static void
choose_parent (struct cyz_parent *parent, cy_time_ns now)
{
  struct link *current = parent->current;
  bool confirms
      = current != NULL && current->open && !current->leaving
        && (is_recent (current->confirmed_at, now, CYZ_SWITCH_TIMEOUT_MS)
            || is_recent (parent->current_since, now, CYZ_SWITCH_TIMEOUT_MS));
  struct link *link = NULL;
  if (!confirms)
    link = find_other (parent, now);
  else if (parent->options.in_preference_order)
    link = find_preferred (parent, now);
  if (link != NULL)
    set_current (parent, link);
}

static void
on_tick (void *context)
{
  struct cyz_parent *parent = context;
  cy_time_ns now = current_time (parent);
  choose_parent (parent, now);
  struct link *link = NULL;
  CK_STAILQ_FOREACH (link, &parent->links, list_entry)
  {
    int64_t interval = link == parent->current ? CYZ_REQUEST_INTERVAL_MS
                                               : CYZ_STANDBY_INTERVAL_MS;
    dial_link (parent, link, now);
    if (link->open && !is_recent (link->last_request, now, interval))
      send_request (parent, link);
  }
  cyn_timer_start (parent->timer, TICK_INTERVAL_MS);
}

/* ------------------------------------------------------------ public */

struct cyz_parent *
cyz_parent_create (const struct cyz_parent_options *options)
{
  struct cyz_parent *parent = g_new0 (struct cyz_parent, 1);
  parent->options = *options;
  parent->clock = cyn_loop_clock (options->loop);
  parent->state = cys_state_create ();
  parent->soft = cyt_soft_state_create (0);
  CK_STAILQ_INIT (&parent->links);
  char **parts = g_strsplit (options->addresses, ",", -1);
  for (char **part = parts; *part != NULL; part++)
    {
      char *colon = strrchr (*part, ':');
      if (colon == NULL)
        continue;
      *colon = '\0';
      link_add (parent, *part, (uint16_t)strtoul (colon + 1, NULL, 10));
    }
  g_strfreev (parts);
  parent->timer = cyn_timer_create (options->loop, on_tick, parent);
  cyn_timer_start (parent->timer, 0);
  return parent;
}

void
cyz_parent_destroy (struct cyz_parent *parent)
{
  if (parent == NULL)
    return;
  cyn_timer_destroy (parent->timer);
  struct link *link = NULL, *next = NULL;
  CK_STAILQ_FOREACH_SAFE (link, &parent->links, list_entry, next)
  {
    g_free (link->host);
    g_free (link);
  }
  cys_state_destroy (parent->state);
  cyt_soft_state_destroy (parent->soft);
  g_free (parent->cursor);
  g_free (parent);
}

const struct cys_state *
cyz_parent_state (const struct cyz_parent *parent)
{
  return parent->state;
}

const struct cyt_soft_state *
cyz_parent_soft (const struct cyz_parent *parent)
{
  return parent->soft;
}

const struct cyf_freshness *
cyz_parent_freshness (const struct cyz_parent *parent)
{
  return &parent->freshness;
}

struct cyn_conn *
cyz_parent_current (const struct cyz_parent *parent)
{
  return parent->current != NULL && parent->current->open
             ? parent->current->conn
             : NULL;
}

void
cyz_parent_broadcast (struct cyz_parent *parent, const Cy__Envelope *message)
{
  struct link *link = NULL;
  CK_STAILQ_FOREACH (link, &parent->links, list_entry)
  {
    if (link->open)
      cyn_conn_send (link->conn, message);
  }
}

/* Connections among control VMs.  Each sends on a connection that it opened
   itself, and hears on those that others opened.  What it heard itself of
   backend servers and entry VMs it passes on at once; at rest it says four
   times a second that it is there.  */

#include <string.h>

#include "base/cyu_log.h"
#include "hub/cyc_internal.h"

#define BACKOFF_MS  100 /* ms, doubled up to the limit */
#define BACKOFF_MAX 300 /* ms */

/* ------------------------------------------------------------ dialling */

static void
peer_opened (struct cyn_conn *conn, void *context)
{
  struct cyc_peer *peer = cyn_conn_data (conn);
  (void)context;
  if (peer == NULL)
    return;
  peer->backoff_ms = BACKOFF_MS;
  peer->sent = 0;
  peer->said = 0;
  cyc_hub_changed (peer->hub);
}

static void
peer_message (struct cyn_conn *conn, const Cy__Envelope *message,
              void *context)
{
  (void)conn;
  (void)message;
  (void)context;
}

static void
peer_closed (struct cyn_conn *conn, cy_result reason, void *context)
{
  struct cyc_peer *peer = cyn_conn_data (conn);
  (void)reason;
  (void)context;
  if (peer == NULL)
    return;
  peer->conn = NULL;
  cyn_timer_start (peer->redial, peer->backoff_ms);
  peer->backoff_ms = MIN (2 * peer->backoff_ms, BACKOFF_MAX);
}

static const struct cyn_handlers peer_handlers
    = { peer_opened, peer_message, peer_closed };

static void
dial (void *context)
{
  struct cyc_peer *peer = context;
  const struct cyc_hub_options *options = &peer->hub->options;
  if (peer->conn != NULL)
    return;
  peer->conn = cyn_conn_dial (options->loop, options->identity, peer->host,
                              options->port, &peer_handlers, NULL);
  if (peer->conn != NULL)
    cyn_conn_set_data (peer->conn, peer);
  else
    cyn_timer_start (peer->redial, BACKOFF_MAX);
}

static void
hang_up (struct cyc_peer *peer)
{
  if (peer->conn == NULL)
    return;
  cyn_conn_set_data (peer->conn, NULL);
  cyn_conn_close (peer->conn);
  peer->conn = NULL;
}

/* ------------------------------------------------------------ peers */

static struct cyc_peer *
find_peer (const struct cyc_hub *hub, const char *host)
{
  struct cyc_peer *peer = NULL;
  CK_LIST_FOREACH (peer, &hub->peers, entry)
  {
    if (strcmp (peer->host, host) == 0)
      return peer;
  }
  return NULL;
}

/* Returns the control VM at HOST, made at the first call; NULL for this one.
 */
static struct cyc_peer *
know_peer (struct cyc_hub *hub, const char *host)
{
  if (host[0] == '\0' || strcmp (host, hub->options.host) == 0)
    return NULL;
  struct cyc_peer *peer = find_peer (hub, host);
  if (peer != NULL)
    return peer;
  peer = g_new0 (struct cyc_peer, 1);
  peer->hub = hub;
  peer->host = g_strdup (host);
  peer->known = cyc_now (hub);
  peer->backoff_ms = BACKOFF_MS;
  peer->lent = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  peer->placed
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  peer->redial = cyn_timer_create (hub->options.loop, dial, peer);
  CK_LIST_INSERT_HEAD (&hub->peers, peer, entry);
  cyn_timer_start (peer->redial, 0);
  return peer;
}

static void
forget_peer (struct cyc_peer *peer)
{
  hang_up (peer);
  CK_LIST_REMOVE (peer, entry);
  cyn_timer_destroy (peer->redial);
  g_hash_table_destroy (peer->lent);
  g_hash_table_destroy (peer->placed);
  g_free (peer->host);
  g_free (peer->vm);
  g_free (peer->zone);
  g_free (peer->region);
  g_free (peer);
}

void
cyc_links_create (struct cyc_hub *hub)
{
  char **seeds = g_strsplit (hub->options.seeds, ",", -1);
  for (char **seed = seeds; *seed != NULL; seed++)
    {
      char *colon = strrchr (*seed, ':');
      if (colon != NULL)
        *colon = '\0';
      know_peer (hub, *seed);
    }
  g_strfreev (seeds);
  /* After a restart the log knows the others, seeds or not.  */
  const Cy__MemberSet *set = cyx_replica_members (hub->replica);
  for (size_t i = 0; i < set->n_members; i++)
    know_peer (hub, set->members[i]->host);
}

void
cyc_links_destroy (struct cyc_hub *hub)
{
  struct cyc_peer *peer = NULL;
  struct cyc_peer *next = NULL;
  CK_LIST_FOREACH_SAFE (peer, &hub->peers, entry, next) { forget_peer (peer); }
}

bool
cyc_peer_is_live (const struct cyc_peer *peer, cy_time_ns now)
{
  return peer->heard != 0 && now - peer->heard < CYC_LIVE_MS * CY_NS_PER_MS;
}

bool
cyc_links_isolated (const struct cyc_hub *hub)
{
  const Cy__MemberSet *set = cyx_replica_members (hub->replica);
  const struct cyc_peer *peer = NULL;
  cy_time_ns now = cyc_now (hub);
  size_t voters = 0;
  size_t reached = 0;
  for (size_t i = 0; i < set->n_members; i++)
    {
      const Cy__Member *member = set->members[i];
      if (!member->voter)
        continue;
      voters++;
      reached += member->id == hub->member;
      CK_LIST_FOREACH (peer, &hub->peers, entry)
      {
        reached += peer->member == member->id && cyc_peer_is_live (peer, now);
      }
    }
  return voters == 0 || reached < voters / 2 + 1;
}

bool
cyc_links_led (const struct cyc_hub *hub)
{
  const struct cyc_peer *peer = NULL;
  cy_time_ns now = cyc_now (hub);
  CK_LIST_FOREACH (peer, &hub->peers, entry)
  {
    if (peer->leads && cyc_peer_is_live (peer, now))
      return true;
  }
  return cyx_replica_is_ready (hub->replica);
}

/* ------------------------------------------------------------ sending */

/* True when this process heard of it itself and lately.  */
static bool
is_own (cy_time_ns direct, cy_time_ns now)
{
  return direct != 0 && now - direct < CYC_INSTANCE_MS * CY_NS_PER_MS;
}

static void
fill_instances (struct cyc_hub *hub, const struct cyc_peer *peer,
                Cy__HubSync *sync, cy_time_ns now)
{
  struct cyc_instance *instance = NULL;
  GPtrArray *list = g_ptr_array_new ();
  CK_LIST_FOREACH (instance, cyc_register_instances (hub->reg), entry)
  {
    bool told = instance->sequence <= peer->sent;
    if (told || !(is_own (instance->direct, now) || instance->facts->gone))
      continue;
    instance->facts->age_ms
        = (uint32_t)((now - instance->heard) / CY_NS_PER_MS);
    instance->facts->cold_ms = cyc_instance_cold_ms (instance, now);
    g_ptr_array_add (list, instance->facts);
  }
  sync->n_instances = list->len;
  sync->instances = (Cy__Instance **)(void *)g_ptr_array_free (list, FALSE);
}

static void
fill_entries (struct cyc_hub *hub, const struct cyc_peer *peer,
              Cy__HubSync *sync, cy_time_ns now)
{
  struct cyc_entry *one = NULL;
  GPtrArray *list = g_ptr_array_new ();
  CK_LIST_FOREACH (one, cyc_register_entries (hub->reg), entry)
  {
    if (one->sequence > peer->sent && is_own (one->direct, now))
      g_ptr_array_add (list, one->facts);
  }
  sync->n_entries = list->len;
  sync->entries = (Cy__EntryVm **)(void *)g_ptr_array_free (list, FALSE);
}

/* Hashes of what this process heard itself since it last told.  */
static GArray *
collect_renewed (struct cyc_hub *hub, cy_time_ns since)
{
  GArray *hashes = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  struct cyc_instance *instance = NULL;
  struct cyc_entry *one = NULL;
  CK_LIST_FOREACH (instance, cyc_register_instances (hub->reg), entry)
  {
    if (instance->direct > since && !instance->facts->gone)
      g_array_append_val (hashes, instance->hash);
  }
  CK_LIST_FOREACH (one, cyc_register_entries (hub->reg), entry)
  {
    if (one->direct > since)
      g_array_append_val (hashes, one->hash);
  }
  return hashes;
}

static void
fill_known (struct cyc_hub *hub, Cy__HubSync *sync)
{
  struct cyc_peer *peer = NULL;
  GPtrArray *list = g_ptr_array_new ();
  CK_LIST_FOREACH (peer, &hub->peers, entry)
  {
    if (peer->heard == 0)
      continue;
    Cy__ControlVm *one = g_new (Cy__ControlVm, 1);
    cy__control_vm__init (one);
    one->host = peer->host;
    g_ptr_array_add (list, one);
  }
  sync->n_known = list->len;
  sync->known = (Cy__ControlVm **)(void *)g_ptr_array_free (list, FALSE);
}

static void
sync_clear (Cy__HubSync *sync)
{
  for (size_t i = 0; i < sync->n_known; i++)
    g_free (sync->known[i]);
  g_free (sync->known);
  g_free (sync->instances);
  g_free (sync->entries);
}

static void
send_to (struct cyc_peer *peer, Cy__HubSync *sync, cy_time_ns now)
{
  struct cyc_hub *hub = peer->hub;
  Cy__Envelope envelope = CY__ENVELOPE__INIT;
  fill_instances (hub, peer, sync, now);
  fill_entries (hub, peer, sync, now);
  fill_known (hub, sync);
  sync->heard_epoch = peer->epoch;
  sync->heard_sequence = peer->sequence;
  envelope.body_case = CY__ENVELOPE__BODY_HUB_SYNC;
  envelope.hub_sync = sync;
  if (cyn_conn_send (peer->conn, &envelope) == CY_OK)
    {
      peer->sent = sync->sequence;
      peer->said = now;
    }
  sync_clear (sync);
}

void
cyc_links_send (struct cyc_hub *hub, bool beat)
{
  cy_time_ns now = cyc_now (hub);
  bool renew = beat && now - hub->renewed >= CYC_RENEW_MS * CY_NS_PER_MS;
  GArray *renewed = renew ? collect_renewed (hub, hub->renewed) : NULL;
  struct cyc_peer *peer = NULL;
  Cy__ControlVm self = CY__CONTROL_VM__INIT;
  self.vm = (char *)hub->options.identity->name;
  self.zone = (char *)hub->options.identity->zone;
  self.region = (char *)hub->options.region;
  self.host = (char *)hub->options.host;
  self.port = hub->options.port;
  self.http_port = hub->options.http_port;
  self.member = hub->member;
  Cy__HubSync frame = CY__HUB_SYNC__INIT;
  frame.self = &self;
  frame.epoch = hub->epoch;
  frame.sequence = cyc_register_sequence (hub->reg);
  frame.isolated = cyc_links_isolated (hub) || hub->leaving;
  frame.leads = cyx_replica_is_ready (hub->replica);
  frame.committed = cyx_replica_committed (hub->replica);
  frame.wants_join
      = cyx_replica_leader (hub->replica) == 0 || !cyc_join_is_member (hub);
  if (renew)
    {
      frame.n_renewed = renewed->len;
      frame.renewed = (uint64_t *)(void *)renewed->data;
    }
  frame.rests = beat;
  if (beat)
    {
      cyc_lending_fill (hub, &frame);
      cyc_retry_budget_fill (hub, &frame);
    }
  CK_LIST_FOREACH (peer, &hub->peers, entry)
  {
    if (peer->conn == NULL || !cyn_conn_is_open (peer->conn))
      continue;
    Cy__HubSync sync = frame;
    if (beat || peer->sent < frame.sequence || peer->said == 0
        || peer->acks_due)
      send_to (peer, &sync, now);
    peer->acks_due = false;
  }
  if (beat)
    {
      cyc_lending_clear (&frame);
      cyc_retry_budget_clear (&frame);
    }
  if (renew)
    {
      hub->renewed = now;
      g_array_free (renewed, TRUE);
    }
}

/* ------------------------------------------------------------ hearing */

static void
take_self (struct cyc_peer *peer, const Cy__HubSync *sync, cy_time_ns now)
{
  const Cy__ControlVm *self = sync->self;
  bool was_live = cyc_peer_is_live (peer, now);
  if (peer->vm == NULL || strcmp (peer->vm, self->vm) != 0
      || peer->zone == NULL)
    {
      g_free (peer->vm);
      g_free (peer->zone);
      g_free (peer->region);
      peer->vm = g_strdup (self->vm);
      peer->zone = g_strdup (self->zone);
      peer->region = g_strdup (self->region);
    }
  peer->http_port = (uint16_t)self->http_port;
  peer->member = self->member;
  peer->heard = now;
  peer->isolated = sync->isolated;
  peer->wants_join = sync->wants_join;
  peer->leads = sync->leads;
  peer->committed = sync->committed;
  if (peer->epoch != sync->epoch)
    peer->acked = 0;
  peer->epoch = sync->epoch;
  if (sync->heard_epoch == peer->hub->epoch)
    peer->acked = MAX (peer->acked, sync->heard_sequence);
  if (!was_live)
    {
      cyu_log (G_LOG_LEVEL_INFO, "control VM %s at %s is in reach", peer->vm,
               peer->host);
      /* It may have been dialled in vain for long.  */
      if (peer->conn == NULL)
        cyn_timer_start (peer->redial, 0);
    }
}

static void
take_register (struct cyc_hub *hub, const Cy__HubSync *sync, cy_time_ns now)
{
  uint64_t before = cyc_register_sequence (hub->reg);
  for (size_t i = 0; i < sync->n_instances; i++)
    cyc_register_instance (hub->reg, sync->instances[i], false, now);
  for (size_t i = 0; i < sync->n_entries; i++)
    cyc_register_entry (hub->reg, sync->entries[i], false, now);
  for (size_t i = 0; i < sync->n_renewed; i++)
    cyc_register_renew (hub->reg, sync->renewed[i], now);
  if (cyc_register_sequence (hub->reg) == before)
    return;
  cyc_dispatch_update (hub);
  cyc_hub_changed (hub);
}

void
cyc_links_message (struct cyc_hub *hub, const Cy__HubSync *sync)
{
  cy_time_ns now = cyc_now (hub);
  if (sync->self == NULL)
    return;
  struct cyc_peer *peer = know_peer (hub, sync->self->host);
  if (peer == NULL)
    return;
  take_self (peer, sync, now);
  take_register (hub, sync, now);
  if (sync->n_instances > 0 || sync->n_entries > 0)
    {
      /* Somebody may wait for this to be known here.  */
      peer->acks_due = true;
      cyc_hub_changed (hub);
    }
  peer->sequence = sync->sequence;
  for (size_t i = 0; i < sync->n_known; i++)
    know_peer (hub, sync->known[i]->host);
  if (sync->leads && !hub->standing.current
      && cyx_replica_committed (hub->replica) >= sync->committed
      && cyx_replica_leader (hub->replica) == sync->self->member)
    {
      hub->standing.current = true;
      cyu_log (G_LOG_LEVEL_INFO, "holds all that leader %s had committed",
               sync->self->vm);
      cyc_hub_changed (hub);
    }
  cyc_hub_look (hub);
  cyc_lending_take (hub, peer, sync);
  cyc_retry_budget_take (hub, peer, sync);
  cyc_announce_check (hub);
}

/* Forgets control VMs that have not been heard of for long and are no
   members.  */
void
cyc_links_heartbeat (struct cyc_hub *hub)
{
  cy_time_ns now = cyc_now (hub);
  struct cyc_peer *peer = NULL;
  struct cyc_peer *next = NULL;
  CK_LIST_FOREACH_SAFE (peer, &hub->peers, entry, next)
  {
    cy_time_ns last = MAX (peer->heard, peer->known);
    if (now - last > CYC_KNOWN_MS * CY_NS_PER_MS
        && !cyc_join_has (hub, peer->member))
      forget_peer (peer);
  }
}

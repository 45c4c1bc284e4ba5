/* Connections among control VMs.  Each control VM sends on the connections
   that it opened and receives on those that the others opened.  Changes that
   backend servers and entry VMs report to it are forwarded at once; a
   heartbeat is sent every CYC_HEARTBEAT_MS.  */

#include <string.h>

#include "base/cyu_log.h"
#include "hub/cyc_internal.h"

#define BACKOFF_FIRST_MS 100 /* delay of the first redial, then doubled */
#define BACKOFF_MAX_MS   300 /* largest delay of a redial */

/* ------------------------------------------------------------ dialing */

static void
peer_opened (struct cyn_conn *conn, void *context)
{
  struct cyc_peer *peer = cyn_conn_data (conn);
  (void)context;
  if (peer == NULL)
    return;
  peer->backoff_ms = BACKOFF_FIRST_MS;
  peer->sent_sequence = 0;
  peer->last_sent = 0;
  peer->names_sent_at = 0;
  cyc_hub_schedule_flush (peer->hub);
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
  cyn_timer_start (peer->redial_timer, peer->backoff_ms);
  peer->backoff_ms = MIN (2 * peer->backoff_ms, BACKOFF_MAX_MS);
}

static const struct cyn_handlers peer_handlers
    = { peer_opened, peer_message, peer_closed };

static void
dial_peer (void *context)
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
    cyn_timer_start (peer->redial_timer, BACKOFF_MAX_MS);
}

static void
disconnect_peer (struct cyc_peer *peer)
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

/* Returns the control VM at HOST, created at the first call; NULL for this
   VM.  */
static struct cyc_peer *
get_peer (struct cyc_hub *hub, const char *host)
{
  if (host[0] == '\0' || strcmp (host, hub->options.host) == 0)
    return NULL;
  struct cyc_peer *peer = find_peer (hub, host);
  if (peer != NULL)
    return peer;
  peer = g_new0 (struct cyc_peer, 1);
  peer->hub = hub;
  peer->host = g_strdup (host);
  peer->added_at = cyc_now (hub);
  peer->backoff_ms = BACKOFF_FIRST_MS;
  peer->borrowed
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  peer->placed_counts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  peer->redial_timer = cyn_timer_create (hub->options.loop, dial_peer, peer);
  CK_LIST_INSERT_HEAD (&hub->peers, peer, entry);
  cyn_timer_start (peer->redial_timer, 0);
  return peer;
}

static void
remove_peer (struct cyc_peer *peer)
{
  disconnect_peer (peer);
  CK_LIST_REMOVE (peer, entry);
  cyn_timer_destroy (peer->redial_timer);
  g_hash_table_destroy (peer->borrowed);
  g_hash_table_destroy (peer->placed_counts);
  g_free (peer->host);
  g_free (peer->vm);
  g_free (peer->zone);
  g_free (peer->region);
  g_free (peer);
}

/* Adds the members of the log as peers.  */
static void
add_members (struct cyc_hub *hub)
{
  const Cy__MemberSet *set = cyx_replica_members (hub->replica);
  for (size_t i = 0; i < set->n_members; i++)
    get_peer (hub, set->members[i]->host);
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
      get_peer (hub, *seed);
    }
  g_strfreev (seeds);
  /* After a restart the log also names the members that are no seeds.  */
  add_members (hub);
}

void
cyc_links_destroy (struct cyc_hub *hub)
{
  struct cyc_peer *peer = NULL;
  struct cyc_peer *next = NULL;
  CK_LIST_FOREACH_SAFE (peer, &hub->peers, entry, next) { remove_peer (peer); }
}

bool
cyc_peer_is_live (const struct cyc_peer *peer, cy_time_ns now)
{
  return peer->last_received != 0
         && now - peer->last_received < CYC_PEER_TIMEOUT_MS * CY_NS_PER_MS;
}

bool
cyc_links_is_isolated (const struct cyc_hub *hub)
{
  const Cy__MemberSet *set = cyx_replica_members (hub->replica);
  const struct cyc_peer *peer = NULL;
  cy_time_ns now = cyc_now (hub);
  size_t voters = 0;
  size_t reachable = 0;
  for (size_t i = 0; i < set->n_members; i++)
    {
      const Cy__Member *member = set->members[i];
      if (!member->voter)
        continue;
      voters++;
      reachable += member->id == hub->member;
      CK_LIST_FOREACH (peer, &hub->peers, entry)
      {
        reachable
            += peer->member == member->id && cyc_peer_is_live (peer, now);
      }
    }
  return voters == 0 || reachable < voters / 2 + 1;
}

bool
cyc_links_has_leader (const struct cyc_hub *hub)
{
  const struct cyc_peer *peer = NULL;
  cy_time_ns now = cyc_now (hub);
  CK_LIST_FOREACH (peer, &hub->peers, entry)
  {
    if (peer->is_leader && cyc_peer_is_live (peer, now))
      return true;
  }
  return cyx_replica_is_ready (hub->replica);
}

uint64_t
cyc_links_committed (const struct cyc_hub *hub, cy_time_ns now)
{
  const struct cyc_peer *peer = NULL;
  uint64_t committed = 0;
  CK_LIST_FOREACH (peer, &hub->peers, entry)
  {
    if (cyc_peer_is_live (peer, now))
      committed = MAX (committed, peer->committed_count);
  }
  return committed;
}

/* ------------------------------------------------------------ sending */

/* True when a server or an entry VM reported to this process itself, at
   LAST_DIRECT, less than CYC_INSTANCE_EXPIRY_MS before NOW.  */
static bool
is_direct (cy_time_ns last_direct, cy_time_ns now)
{
  return last_direct != 0
         && now - last_direct < CYC_INSTANCE_EXPIRY_MS * CY_NS_PER_MS;
}

static void
fill_instances (struct cyc_hub *hub, const struct cyc_peer *peer,
                Cy__HubSync *sync, cy_time_ns now)
{
  struct cyc_instance *instance = NULL;
  GPtrArray *list = g_ptr_array_new ();
  CK_LIST_FOREACH (instance, cyc_register_instances (hub->reg), entry)
  {
    bool was_sent = instance->sequence <= peer->sent_sequence;
    if (was_sent
        || !(is_direct (instance->last_direct, now)
             || cyc_instance_departs (instance)))
      continue;
    instance->info->age_ms
        = (uint32_t)((now - instance->last_received) / CY_NS_PER_MS);
    instance->info->cold_ms = cyc_instance_cold_ms (instance, now);
    g_ptr_array_add (list, instance->info);
  }
  sync->n_instances = list->len;
  sync->instances = (Cy__Instance **)(void *)g_ptr_array_free (list, FALSE);
}

static void
fill_entries (struct cyc_hub *hub, const struct cyc_peer *peer,
              Cy__HubSync *sync, cy_time_ns now)
{
  struct cyc_entry *vm = NULL;
  GPtrArray *list = g_ptr_array_new ();
  CK_LIST_FOREACH (vm, cyc_register_entries (hub->reg), entry)
  {
    if (vm->sequence > peer->sent_sequence && is_direct (vm->last_direct, now))
      g_ptr_array_add (list, vm->info);
  }
  sync->n_entries = list->len;
  sync->entries = (Cy__EntryVm **)(void *)g_ptr_array_free (list, FALSE);
}

/* Returns the hashes of the servers and entry VMs that reported to this
   process itself after SINCE.  */
static GArray *
collect_renewals (struct cyc_hub *hub, cy_time_ns since)
{
  GArray *hashes = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  struct cyc_instance *instance = NULL;
  struct cyc_entry *vm = NULL;
  CK_LIST_FOREACH (instance, cyc_register_instances (hub->reg), entry)
  {
    if (instance->last_direct > since && !instance->info->gone)
      g_array_append_val (hashes, instance->hash);
  }
  CK_LIST_FOREACH (vm, cyc_register_entries (hub->reg), entry)
  {
    if (vm->last_direct > since)
      g_array_append_val (hashes, vm->hash);
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
    if (peer->last_received == 0)
      continue;
    Cy__ControlVm *control = g_new (Cy__ControlVm, 1);
    cy__control_vm__init (control);
    control->host = peer->host;
    g_ptr_array_add (list, control);
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
  g_free (sync->loans);
}

/* Keeps the loans to the region of PEER only.  The array is copied, the loans
   stay with the caller.  */
static void
select_loans (const struct cyc_peer *peer, Cy__HubSync *sync)
{
  Cy__Loan **all = sync->loans;
  size_t count = sync->n_loans;
  sync->loans = g_new (Cy__Loan *, count);
  sync->n_loans = 0;
  for (size_t i = 0; i < count; i++)
    if (peer->region == NULL || strcmp (all[i]->region, peer->region) == 0)
      sync->loans[sync->n_loans++] = all[i];
}

/* True when PEER may lend slots to this VM's region.  */
static bool
is_lender (const struct cyc_peer *peer)
{
  return peer->region == NULL
         || (peer->attached_entries > 0
             && strcmp (peer->region, peer->hub->options.region) != 0);
}

/* Sends SYNC, which the function completes for PEER.  UNNAMED takes the place
   of the sender in SYNC when PEER has got the names lately.  */
static void
send_sync (struct cyc_peer *peer, Cy__HubSync *sync, Cy__ControlVm *unnamed,
           cy_time_ns now)
{
  struct cyc_hub *hub = peer->hub;
  Cy__Envelope envelope = CY__ENVELOPE__INIT;
  bool names_due
      = peer->names_sent_at == 0
        || now - peer->names_sent_at >= CYC_NAMES_INTERVAL_MS * CY_NS_PER_MS;
  fill_instances (hub, peer, sync, now);
  fill_entries (hub, peer, sync, now);
  select_loans (peer, sync);
  if (!is_lender (peer))
    sync->n_slot_needs = 0;
  if (names_due)
    fill_known (hub, sync);
  else
    sync->self = unnamed;
  sync->heard_epoch = peer->epoch;
  sync->heard_sequence = peer->received_sequence;
  cyc_departures_follow (hub, &peer->stored, peer->received_sequence);
  sync->unstored = peer->received_sequence - peer->stored.sequence;
  envelope.body_case = CY__ENVELOPE__BODY_HUB_SYNC;
  envelope.hub_sync = sync;
  if (cyn_conn_send (peer->conn, &envelope) == CY_OK)
    {
      peer->sent_sequence = sync->sequence;
      peer->last_sent = now;
      if (names_due)
        peer->names_sent_at = now;
    }
  sync_clear (sync);
}

/* True when a connection to another control VM has carried nothing yet.  */
static bool
has_new_peer (const struct cyc_hub *hub)
{
  const struct cyc_peer *peer = NULL;
  CK_LIST_FOREACH (peer, &hub->peers, entry)
  {
    if (peer->conn != NULL && cyn_conn_is_open (peer->conn)
        && peer->last_sent == 0)
      return true;
  }
  return false;
}

void
cyc_links_send (struct cyc_hub *hub, bool heartbeat)
{
  cy_time_ns now = cyc_now (hub);
  bool sends_renewals = heartbeat
                        && now - hub->renewals_sent_at
                               >= CYC_RENEWAL_INTERVAL_MS * CY_NS_PER_MS;
  GArray *renewals
      = sends_renewals ? collect_renewals (hub, hub->renewals_sent_at) : NULL;
  struct cyc_peer *peer = NULL;
  Cy__ControlVm self = CY__CONTROL_VM__INIT;
  self.vm = (char *)hub->options.identity->name;
  self.zone = (char *)hub->options.identity->zone;
  self.region = (char *)hub->options.region;
  self.host = (char *)hub->options.host;
  self.port = hub->options.port;
  self.http_port = hub->options.http_port;
  self.member = hub->member;
  Cy__ControlVm unnamed = self;
  unnamed.vm = unnamed.zone = unnamed.region = (char *)"";
  Cy__HubSync common = CY__HUB_SYNC__INIT;
  common.self = &self;
  common.epoch = hub->epoch;
  common.sequence = cyc_register_sequence (hub->reg);
  common.isolated = cyc_links_is_isolated (hub) || hub->leaving;
  common.leads = cyx_replica_is_ready (hub->replica);
  common.committed = cyx_replica_committed (hub->replica);
  common.wants_join
      = cyx_replica_leader (hub->replica) == 0 || !cyc_join_is_member (hub);
  common.fresh = common.wants_join && hub->fresh;
  common.leaving = hub->leaving;
  if (sends_renewals)
    {
      common.n_renewed = renewals->len;
      common.renewed = (uint64_t *)(void *)renewals->data;
    }
  common.rests = heartbeat;
  if (heartbeat)
    {
      cyc_lending_fill_sync (hub, &common);
      cyc_retry_budget_fill_sync (hub, &common);
    }
  cyc_poison_fill_sync (hub, &common, heartbeat || has_new_peer (hub));
  CK_LIST_FOREACH (peer, &hub->peers, entry)
  {
    if (peer->conn == NULL || !cyn_conn_is_open (peer->conn))
      continue;
    Cy__HubSync sync = common;
    if (heartbeat || peer->sent_sequence < common.sequence
        || peer->last_sent == 0 || peer->ack_due || common.n_poison > 0)
      send_sync (peer, &sync, &unnamed, now);
    peer->ack_due = false;
  }
  if (heartbeat)
    {
      cyc_lending_clear_sync (&common);
      cyc_retry_budget_clear_sync (&common);
    }
  cyc_poison_clear_sync (&common);
  if (sends_renewals)
    {
      hub->renewals_sent_at = now;
      g_array_free (renewals, TRUE);
    }
}

/* ------------------------------------------------------------ receiving */

static void
receive_self (struct cyc_peer *peer, const Cy__HubSync *sync, cy_time_ns now)
{
  const Cy__ControlVm *self = sync->self;
  bool was_live = cyc_peer_is_live (peer, now);
  if (self->vm[0] != '\0'
      && (peer->vm == NULL || strcmp (peer->vm, self->vm) != 0
          || peer->zone == NULL))
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
  peer->last_received = now;
  peer->isolated = sync->isolated;
  peer->wants_join = sync->wants_join;
  peer->fresh = sync->fresh;
  peer->leaving = sync->leaving;
  peer->is_leader = sync->leads;
  peer->committed_count = sync->committed;
  if (peer->epoch != sync->epoch)
    {
      peer->acked_sequence = 0;
      peer->acked_stored = 0;
      peer->stored = (struct cyc_stored){ 0 };
    }
  peer->epoch = sync->epoch;
  if (sync->heard_epoch == peer->hub->epoch)
    {
      uint64_t unstored = MIN (sync->unstored, sync->heard_sequence);
      peer->acked_sequence = MAX (peer->acked_sequence, sync->heard_sequence);
      peer->acked_stored
          = MAX (peer->acked_stored, sync->heard_sequence - unstored);
    }
  if (!was_live)
    {
      cyu_log (G_LOG_LEVEL_INFO, "control VM %s at %s is reachable",
               peer->vm == NULL ? "" : peer->vm, peer->host);
      /* Dial at once: the timer may wait for the largest backoff.  */
      if (peer->conn == NULL)
        cyn_timer_start (peer->redial_timer, 0);
    }
}

static void
receive_register (struct cyc_hub *hub, const Cy__HubSync *sync, cy_time_ns now)
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
  cyc_dispatch_update_servers (hub);
  cyc_hub_schedule_flush (hub);
}

void
cyc_links_receive (struct cyc_hub *hub, const Cy__HubSync *sync)
{
  cy_time_ns now = cyc_now (hub);
  if (sync->self == NULL)
    return;
  struct cyc_peer *peer = get_peer (hub, sync->self->host);
  if (peer == NULL)
    return;
  receive_self (peer, sync, now);
  receive_register (hub, sync, now);
  peer->received_sequence = sync->sequence;
  cyc_departures_follow (hub, &peer->stored, peer->received_sequence);
  if ((sync->n_instances > 0 || sync->n_entries > 0) && !peer->stored.waits)
    {
      /* An announcement at the peer may wait for this acknowledgement.  That
         of departures follows their write, or comes with the heartbeat.  */
      peer->ack_due = true;
      cyc_hub_schedule_flush (hub);
    }
  for (size_t i = 0; i < sync->n_known; i++)
    get_peer (hub, sync->known[i]->host);
  if (sync->leads && !hub->serving.caught_up
      && cyx_replica_applied (hub->replica) >= sync->committed
      && cyx_replica_leader (hub->replica) == sync->self->member)
    {
      cyc_serving_catch_up (&hub->serving);
      cyu_log (G_LOG_LEVEL_INFO, "holds all that leader %s had committed",
               peer->vm == NULL ? sync->self->host : peer->vm);
      cyc_hub_schedule_flush (hub);
    }
  cyc_hub_update_serving (hub);
  cyc_lending_receive (hub, peer, sync);
  cyc_retry_budget_receive (hub, peer, sync);
  cyc_poison_receive (hub, sync);
  cyc_announce_complete_pending (hub);
}

void
cyc_links_confirm_stored (struct cyc_hub *hub)
{
  struct cyc_peer *peer = NULL;
  bool due = false;
  CK_LIST_FOREACH (peer, &hub->peers, entry)
  {
    if (!cyc_departures_follow (hub, &peer->stored, peer->received_sequence))
      continue;
    peer->ack_due = true;
    due = true;
  }
  if (due)
    cyc_hub_schedule_flush (hub);
}

/* Adds the members of the log, of which this VM may know nothing else, and
   removes control VMs that are no members and have sent nothing for
   CYC_PEER_EXPIRY_MS.  */
void
cyc_links_heartbeat (struct cyc_hub *hub)
{
  cy_time_ns now = cyc_now (hub);
  struct cyc_peer *peer = NULL;
  struct cyc_peer *next = NULL;
  add_members (hub);
  CK_LIST_FOREACH_SAFE (peer, &hub->peers, entry, next)
  {
    cy_time_ns last = MAX (peer->last_received, peer->added_at);
    if (now - last > CYC_PEER_EXPIRY_MS * CY_NS_PER_MS
        && !cyc_join_has_member (hub, peer->member))
      remove_peer (peer);
  }
}

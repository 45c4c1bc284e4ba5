#include "hub/cyc_hub.h"

#include <jansson.h>
#include <string.h>

#include "base/cyu_log.h"
#include "hub/cyc_internal.h"

#define STOP_CHECK_MS   50 /* ms between checks of whether this VM leads */
#define STOP_CHECKS_MAX 20 /* checks, then it stops although it leads */

/* ------------------------------------------------------------ peers */

enum peer_role
{
  PEER_CONTROL,
  PEER_ENTRY,
  PEER_OTHER
};

static enum peer_role
get_peer_role (const struct cyn_conn *conn)
{
  const char *role = cyn_conn_peer (conn)->role;
  if (strcmp (role, "control") == 0)
    return PEER_CONTROL;
  return strcmp (role, "entry") == 0 ? PEER_ENTRY : PEER_OTHER;
}

static void
peer_open (struct cyn_conn *conn, void *context)
{
  switch (get_peer_role (conn))
    {
    case PEER_CONTROL:
      break;
    case PEER_ENTRY:
      cyc_children_open (context, conn);
      break;
    case PEER_OTHER:
      cyu_log (G_LOG_LEVEL_WARNING,
               "connection of a peer with role %s refused",
               cyn_conn_peer (conn)->role);
      cyn_conn_close (conn);
      break;
    }
}

static void
receive_control_message (struct cyc_hub *hub, const Cy__Envelope *message)
{
  if (message->body_case == CY__ENVELOPE__BODY_RAFT)
    cyx_replica_receive (hub->replica, message->raft);
  else if (message->body_case == CY__ENVELOPE__BODY_HUB_SYNC)
    cyc_links_receive (hub, message->hub_sync);
  else if (message->body_case == CY__ENVELOPE__BODY_TOKEN_GIFT)
    cyc_lending_receive_tokens (hub, message->token_gift);
}

static void
receive_entry_message (struct cyc_hub *hub, struct cyn_conn *conn,
                       const Cy__Envelope *message)
{
  struct cyc_child *child = cyc_children_find (hub, conn);
  if (child == NULL)
    return;
  child->last_received = cyc_now (hub);
  if (message->body_case == CY__ENVELOPE__BODY_ENTRY_REPORT)
    cyc_children_receive_report (hub, conn, message->entry_report);
  else if (message->body_case == CY__ENVELOPE__BODY_PLACE_ASK)
    cyc_dispatch_place (hub, child, message->place_ask);
  else if (message->body_case == CY__ENVELOPE__BODY_PLACE_DONE)
    cyc_dispatch_finish (hub, child, message->place_done);
}

static void
peer_message (struct cyn_conn *conn, const Cy__Envelope *message,
              void *context)
{
  switch (get_peer_role (conn))
    {
    case PEER_CONTROL:
      receive_control_message (context, message);
      break;
    case PEER_ENTRY:
      receive_entry_message (context, conn, message);
      break;
    case PEER_OTHER:
      break;
    }
}

static void
peer_close (struct cyn_conn *conn, cy_result reason, void *context)
{
  if (cyn_conn_peer (conn) == NULL)
    {
      cyu_log (G_LOG_LEVEL_DEBUG, "connection closed before its handshake: %s",
               cy_result_text (reason));
      return;
    }
  cyc_children_close (context, conn);
}

static const struct cyn_handlers peer_handlers
    = { peer_open, peer_message, peer_close };

/* ------------------------------------------------------------ timers */

static void
flush_due (void *context)
{
  struct cyc_hub *hub = context;
  hub->flush_scheduled = false;
  cyc_links_send (hub, false);
  cyc_children_send_views (hub);
}

void
cyc_hub_schedule_flush (struct cyc_hub *hub)
{
  if (hub->flush_scheduled || hub->flush_timer == NULL)
    return;
  hub->flush_scheduled = true;
  cyn_timer_start (hub->flush_timer, CYC_FLUSH_DELAY_MS);
}

bool
cyc_hub_serves (const struct cyc_hub *hub)
{
  return cyc_serving_is_allowed (&hub->serving, cyc_now (hub));
}

/* Stops serving when changes that peers have committed do not arrive here.  */
static void
check_lag (struct cyc_hub *hub)
{
  cy_time_ns now = cyc_now (hub);
  uint64_t applied = cyx_replica_applied (hub->replica);
  uint64_t committed = cyc_links_committed (hub, now);
  if (!cyc_serving_follow (&hub->serving, applied, committed, now))
    return;
  cyu_event (CYU_CHANGE, "serves_no_longer", "{sI sI sb}", "applied",
             (json_int_t)applied, "committed", (json_int_t)committed,
             "removed", cyx_replica_is_removed (hub->replica));
  hub->all_views_due = true;
  cyc_hub_schedule_flush (hub);
}

void
cyc_hub_update_serving (struct cyc_hub *hub)
{
  check_lag (hub);
  const Cy__Document *held = cyc_hub_document (hub);
  struct cyc_serving_input input
      = { .has_declaration = held != NULL,
          .isolated = cyc_links_is_isolated (hub),
          .has_leader = cyc_links_has_leader (hub) };
  if (!cyc_serving_update (&hub->serving, &input, cyc_now (hub))
      || held == NULL)
    return;
  cyu_event (CYU_CHANGE, "serves_without_leader", "{sI sI}", "declaration",
             (json_int_t)held->number, "committed",
             (json_int_t)cyx_replica_committed (hub->replica));
  hub->all_views_due = true;
  cyc_hub_schedule_flush (hub);
}

/* Records whether this VM reaches a majority and serves its declaration.
   Returns true when either has changed, which the views report.  */
static bool
record_standing (struct cyc_hub *hub)
{
  bool isolated = cyc_links_is_isolated (hub);
  bool serves = cyc_hub_serves (hub);
  bool changed = isolated != hub->was_isolated || serves != hub->was_serving;
  hub->was_serving = serves;
  if (isolated != hub->was_isolated)
    cyu_log (G_LOG_LEVEL_WARNING, "%s",
             isolated ? "reaches no majority of the control VMs"
                      : "reaches a majority of the control VMs");
  hub->was_isolated = isolated;
  return changed;
}

static void
heartbeat_due (void *context)
{
  struct cyc_hub *hub = context;
  cy_time_ns now = cyc_now (hub);
  if (cyx_replica_is_ready (hub->replica))
    cyc_serving_catch_up (&hub->serving);
  unsigned expired = cyc_register_expire (
      hub->reg, now, CYC_INSTANCE_EXPIRY_MS * CY_NS_PER_MS,
      CYC_ENTRY_EXPIRY_MS * CY_NS_PER_MS);
  if (expired > 0)
    {
      cyc_departures_expire (hub);
      cyc_dispatch_update_servers (hub);
    }
  cyc_hub_update_serving (hub);
  hub->all_views_due = record_standing (hub);
  cyc_links_heartbeat (hub);
  cyc_join_heartbeat (hub);
  cyc_voter_watch_heartbeat (hub);
  cyc_dispatch_heartbeat (hub);
  cyc_lending_heartbeat (hub);
  cyc_retry_budget_heartbeat (hub);
  cyc_announce_complete_pending (hub);
  cyc_links_send (hub, true);
  cyc_children_send_views (hub);
  cyn_timer_start (hub->heartbeat_timer, CYC_HEARTBEAT_MS);
}

/* ------------------------------------------------------------ planned stop */

static void
stop_due (void *context)
{
  struct cyc_hub *hub = context;
  if (cyx_replica_is_leader (hub->replica)
      && hub->stop_checks++ < STOP_CHECKS_MAX)
    {
      cyn_timer_start (hub->stop_timer, STOP_CHECK_MS);
      return;
    }
  hub->stopped (hub->stopped_context);
}

void
cyc_hub_leave (struct cyc_hub *hub, cyn_callback stopped, void *context)
{
  if (hub->leaving)
    return;
  cyu_log (G_LOG_LEVEL_INFO, "control VM stops as planned");
  hub->leaving = true;
  hub->stopped = stopped;
  hub->stopped_context = context;
  hub->all_views_due = true;
  cyx_replica_transfer_leadership (hub->replica);
  cyc_links_send (hub, true);
  cyc_children_send_views (hub);
  /* Entry VMs move to another control VM meanwhile, with their open
     requests.  */
  cyn_timer_start (hub->stop_timer, STOP_CHECK_MS * 4);
}

/* ------------------------------------------------------------ lifecycle */

cy_result
cyc_hub_create (const struct cyc_hub_options *options, struct cyc_hub **out)
{
  struct cyc_hub *hub = g_new0 (struct cyc_hub, 1);
  hub->options = *options;
  hub->clock = cyn_loop_clock (options->loop);
  hub->epoch = options->identity->incarnation;
  hub->runs_since = hub->ran_at = cyc_now (hub);
  hub->state = cys_state_create ();
  hub->drained = g_ptr_array_new_with_free_func (g_free);
  hub->undrained_at
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  hub->reg = cyc_register_create ();
  CK_LIST_INIT (&hub->peers);
  CK_LIST_INIT (&hub->children);
  g_queue_init (&hub->pending_announcements);
  cyc_dispatch_create (hub);
  cyc_lending_create (hub);
  cyc_retry_budget_create (hub);
  cyc_voter_watch_create (hub);
  cy_result result = cyc_log_create (hub);
  if (result == CY_OK)
    result = cyc_departures_create (hub);
  if (result != CY_OK)
    goto fail;
  result = cyn_listener_create (options->loop, options->identity,
                                options->host, options->port, &peer_handlers,
                                hub, &hub->listener);
  if (result != CY_OK)
    goto fail;
  hub->heartbeat_timer = cyn_timer_create (options->loop, heartbeat_due, hub);
  hub->flush_timer = cyn_timer_create (options->loop, flush_due, hub);
  hub->stop_timer = cyn_timer_create (options->loop, stop_due, hub);
  cyc_links_create (hub);
  cyn_timer_start (hub->heartbeat_timer, 0);
  *out = hub;
  return CY_OK;
fail:
  cyc_hub_destroy (hub);
  return result;
}

void
cyc_hub_destroy (struct cyc_hub *hub)
{
  if (hub == NULL)
    return;
  cyc_announce_destroy (hub);
  cyc_departures_destroy (hub);
  cyc_log_destroy (hub);
  cyn_listener_destroy (hub->listener);
  if (hub->heartbeat_timer != NULL)
    cyn_timer_destroy (hub->heartbeat_timer);
  if (hub->flush_timer != NULL)
    cyn_timer_destroy (hub->flush_timer);
  if (hub->stop_timer != NULL)
    cyn_timer_destroy (hub->stop_timer);
  cyc_links_destroy (hub);
  struct cyc_child *child = NULL;
  while ((child = CK_LIST_FIRST (&hub->children)) != NULL)
    cyc_children_close (hub, child->conn);
  cyc_lending_destroy (hub);
  cyc_retry_budget_destroy (hub);
  cyc_voter_watch_destroy (hub);
  cyc_dispatch_destroy (hub);
  if (hub->versions != NULL)
    g_ptr_array_unref (hub->versions);
  cyc_register_destroy (hub->reg);
  cyi_document_destroy (hub->document);
  cyi_document_destroy (hub->proposed);
  free (hub->proposed_text);
  g_ptr_array_unref (hub->drained);
  g_hash_table_destroy (hub->undrained_at);
  cys_state_destroy (hub->state);
  g_free (hub);
}

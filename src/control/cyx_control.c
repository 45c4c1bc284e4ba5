#include "control/cyx_control.h"

#include <glib.h>
#include <string.h>

#include "base/cy_system.h"
#include "base/cyu_log.h"
#include "base/cyu_metrics.h"
#include "control/cyx_calls.h"
#include "control/cyx_fanout.h"
#include "control/cyx_planner.h"
#include "control/cyx_process.h"

struct cyx_control
{
  struct cyn_loop *loop;
  const struct cy_clock *clock;
  uint64_t member_id;
  GMutex lock; /* guards the state, soft state, fan-out and planner, which
                  HTTP threads read */
  struct cys_state *state;
  struct cyt_soft_state *soft;
  struct cyx_replica *replica;
  struct cyx_fanout *fanout;
  struct cyx_planner *planner;
  struct cyn_listener *listener;
  struct cyn_timer *plan_timer;
  struct cyu_metric *version_gauge;
  struct cyu_metric *leader_gauge;
  struct cyu_metric *applied_counter;
};

/* ------------------------------------------------------------ machine */

static void
machine_apply (uint64_t index, const uint8_t *data, size_t length,
               void *context)
{
  struct cyx_control *control = context;
  Cy__Change *change = cy__change__unpack (NULL, length, data);
  if (change == NULL)
    g_error ("log record %" G_GUINT64_FORMAT " cannot be unpacked as a change",
             index);
  g_mutex_lock (&control->lock);
  uint64_t before = cys_state_version (control->state);
  cys_state_apply (control->state, change);
  uint64_t after = cys_state_version (control->state);
  if (after != before && control->fanout != NULL)
    cyx_fanout_state_changed (control->fanout);
  g_mutex_unlock (&control->lock);
  cyu_metric_set (control->version_gauge, (int64_t)after);
  cyu_metric_add (control->applied_counter, 1);
  cy__change__free_unpacked (change, NULL);
}

static cy_result
machine_save (uint8_t **bytes, size_t *length, void *context)
{
  struct cyx_control *control = context;
  return cys_state_save (control->state, bytes, length);
}

static cy_result
machine_load (const uint8_t *bytes, size_t length, void *context)
{
  struct cyx_control *control = context;
  g_mutex_lock (&control->lock);
  cy_result result = cys_state_load (control->state, bytes, length);
  if (result == CY_OK && control->fanout != NULL)
    cyx_fanout_state_changed (control->fanout);
  g_mutex_unlock (&control->lock);
  return result;
}

static void
machine_changed (void *context)
{
  struct cyx_control *control = context;
  if (control->replica == NULL || control->fanout == NULL)
    return;
  bool leader = cyx_replica_is_leader (control->replica);
  cyu_metric_set (control->leader_gauge, leader);
  g_mutex_lock (&control->lock);
  cyx_fanout_role_changed (control->fanout);
  g_mutex_unlock (&control->lock);
}

/* ------------------------------------------------------------ peers */

enum peer_role
{
  PEER_CONTROL,
  PEER_ZONE,
  PEER_OTHER
};

static enum peer_role
peer_role (const struct cyn_conn *conn)
{
  const char *role = cyn_conn_peer (conn)->role;
  if (strcmp (role, "control") == 0)
    return PEER_CONTROL;
  if (strcmp (role, "zone") == 0)
    return PEER_ZONE;
  return PEER_OTHER;
}

static void
peer_open (struct cyn_conn *conn, void *context)
{
  struct cyx_control *control = context;
  switch (peer_role (conn))
    {
    case PEER_CONTROL:
      break;
    case PEER_ZONE:
      g_mutex_lock (&control->lock);
      cyx_fanout_open (control->fanout, conn);
      g_mutex_unlock (&control->lock);
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
peer_message (struct cyn_conn *conn, const Cy__Envelope *message,
              void *context)
{
  struct cyx_control *control = context;
  switch (peer_role (conn))
    {
    case PEER_CONTROL:
      if (message->body_case == CY__ENVELOPE__BODY_RAFT)
        cyx_replica_receive (control->replica, message->raft);
      break;
    case PEER_ZONE:
      g_mutex_lock (&control->lock);
      cyx_fanout_message (control->fanout, conn, message);
      g_mutex_unlock (&control->lock);
      break;
    case PEER_OTHER:
      break;
    }
}

static void
peer_close (struct cyn_conn *conn, cy_result reason, void *context)
{
  struct cyx_control *control = context;
  if (cyn_conn_peer (conn) == NULL)
    {
      cyu_log (G_LOG_LEVEL_DEBUG, "connection closed before its handshake: %s",
               cy_result_text (reason));
      return;
    }
  if (peer_role (conn) != PEER_ZONE)
    return;
  g_mutex_lock (&control->lock);
  cyx_fanout_close (control->fanout, conn);
  g_mutex_unlock (&control->lock);
}

static const struct cyn_handlers peer_handlers
    = { peer_open, peer_message, peer_close };

/* ------------------------------------------------------------ planning */

static void
run_planner (void *context)
{
  struct cyx_control *control = context;
  g_mutex_lock (&control->lock);
  cyt_soft_state_expire (control->soft, cy_clock_now (control->clock));
  cyx_planner_observe (control->planner, control->state, control->soft);
  if (cyx_replica_is_ready (control->replica))
    cyx_planner_plan (control->planner, control->state, control->soft);
  g_mutex_unlock (&control->lock);
  cyn_timer_start (control->plan_timer, CYX_PLAN_INTERVAL_MS);
}

/* ------------------------------------------------------------ life */

static void
create_metrics (struct cyx_control *control)
{
  control->version_gauge = cyu_gauge ("cy_control_state_version", "",
                                      "Version of the declared state.");
  control->leader_gauge = cyu_gauge ("cy_control_is_leader", "",
                                     "1 on the leader, 0 elsewhere.");
  control->applied_counter = cyu_counter ("cy_control_records_applied_total",
                                          "", "Log records applied.");
}

static cy_result
start_replica (struct cyx_control *control,
               const struct cyx_control_options *options)
{
  struct cyx_replica_options replica = {
    .loop = options->loop,
    .identity = options->identity,
    .random = cy_system_random (),
    .data_folder = options->data_folder,
    .member_id = options->member_id,
    .bootstrap = options->bootstrap,
    .machine
    = { machine_apply, machine_save, machine_load, machine_changed, control },
  };
  return cyx_replica_create (&replica, &control->replica);
}

cy_result
cyx_control_create (const struct cyx_control_options *options,
                    struct cyx_control **created)
{
  struct cyx_control *control = g_new0 (struct cyx_control, 1);
  control->loop = options->loop;
  control->clock = cyn_loop_clock (options->loop);
  control->member_id = options->member_id;
  g_mutex_init (&control->lock);
  control->state = cys_state_create ();
  control->soft = cyt_soft_state_create (options->identity->incarnation);
  control->planner = cyx_planner_create (control->clock);
  create_metrics (control);

  cy_result result = start_replica (control, options);
  if (result != CY_OK)
    goto fail;
  struct cyx_fanout_options fanout = {
    .loop = options->loop,
    .state = control->state,
    .soft = control->soft,
    .replica = control->replica,
  };
  control->fanout = cyx_fanout_create (&fanout);
  result = cyn_listener_create (options->loop, options->identity,
                                options->host, options->port, &peer_handlers,
                                control, &control->listener);
  if (result != CY_OK)
    goto fail;
  control->plan_timer = cyn_timer_create (options->loop, run_planner, control);
  cyn_timer_start (control->plan_timer, CYX_PLAN_INTERVAL_MS);
  *created = control;
  return CY_OK;

fail:
  cyx_control_destroy (control);
  return result;
}

uint16_t
cyx_control_port (const struct cyx_control *control)
{
  return cyn_listener_port (control->listener);
}

void
cyx_control_step_down (struct cyx_control *control)
{
  cyx_replica_transfer_leadership (control->replica);
}

bool
cyx_control_is_leader (const struct cyx_control *control)
{
  return cyx_replica_is_leader (control->replica);
}

void
cyx_control_destroy (struct cyx_control *control)
{
  if (control == NULL)
    return;
  cyn_timer_destroy (control->plan_timer);
  cyn_listener_destroy (control->listener);
  if (control->fanout != NULL)
    cyx_fanout_destroy (control->fanout);
  if (control->replica != NULL)
    cyx_replica_destroy (control->replica);
  cyx_planner_destroy (control->planner);
  cyt_soft_state_destroy (control->soft);
  cys_state_destroy (control->state);
  g_mutex_clear (&control->lock);
  g_free (control);
}

/* ------------------------------------------------------------ reading */

void
cyx_control_read (struct cyx_control *control, cyx_read_fn read, void *context)
{
  g_mutex_lock (&control->lock);
  read (control->state, control->soft, context);
  g_mutex_unlock (&control->lock);
}

struct cyx_child *
cyx_control_children (struct cyx_control *control, size_t *count)
{
  g_mutex_lock (&control->lock);
  struct cyx_child *children = cyx_fanout_children (control->fanout, count);
  g_mutex_unlock (&control->lock);
  return children;
}

void
cyx_children_clear (struct cyx_child *children, size_t count)
{
  for (size_t i = 0; i < count; i++)
    g_free (children[i].name);
  g_free (children);
}

char *
cyx_control_why (struct cyx_control *control, const char *service,
                 const char *workspace, int64_t since_ms)
{
  g_mutex_lock (&control->lock);
  char *answer = cyx_planner_why (control->planner, control->state, service,
                                  workspace, since_ms);
  g_mutex_unlock (&control->lock);
  return answer;
}

char *
cyx_control_preview (struct cyx_control *control, const char *kind,
                     const char *name, bool *fits)
{
  g_mutex_lock (&control->lock);
  char *answer = cyx_planner_preview (control->planner, control->state,
                                      control->soft, kind, name, fits);
  g_mutex_unlock (&control->lock);
  return answer;
}

/* ------------------------------------------------------------ for calls */

struct cyn_loop *
cyx_control_loop (struct cyx_control *control)
{
  return control->loop;
}

struct cyx_replica *
cyx_control_replica (struct cyx_control *control)
{
  return control->replica;
}

const struct cys_state *
cyx_control_state (struct cyx_control *control)
{
  return control->state;
}

uint64_t
cyx_control_member_id (const struct cyx_control *control)
{
  return control->member_id;
}

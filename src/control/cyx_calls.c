#include "control/cyx_calls.h"

#include <glib.h>
#include <string.h>

#include "base/cy_system.h"
#include "core/cy_copy.h"

/* Work for the loop's thread.  */
enum call_kind
{
  CALL_CHANGE,
  CALL_ADD,
  CALL_REMOVE,
  CALL_STATUS
};

/* One call, shared by the waiting thread and the loop's thread; the last one
   that releases its reference frees the call.  */
struct call
{
  struct cyx_control *control;
  enum call_kind kind;
  union
  {
    struct
    {
      Cy__Change *copy;
    } change;
    Cy__Member *add;
    uint64_t remove;
    struct cyx_status status;
  } body;
  struct cyx_outcome outcome;
  GMutex lock;
  GCond finished_cond;
  bool finished;
};

static struct call *
call_create (struct cyx_control *control, enum call_kind kind)
{
  struct call *call = g_atomic_rc_box_new0 (struct call);
  call->control = control;
  call->kind = kind;
  g_mutex_init (&call->lock);
  g_cond_init (&call->finished_cond);
  return call;
}

static void
call_clear (gpointer data)
{
  struct call *call = data;
  switch (call->kind)
    {
    case CALL_CHANGE:
      cy__change__free_unpacked (call->body.change.copy, NULL);
      break;
    case CALL_ADD:
      cy__member__free_unpacked (call->body.add, NULL);
      break;
    case CALL_REMOVE:
      break;
    case CALL_STATUS:
      cyx_status_clear (&call->body.status);
      break;
    }
  cyx_outcome_clear (&call->outcome);
  g_mutex_clear (&call->lock);
  g_cond_clear (&call->finished_cond);
}

static void
call_release (struct call *call)
{
  g_atomic_rc_box_release_full (call, call_clear);
}

/* Wakes the waiting thread and releases the loop's reference to CALL.  */
static void
call_finish (struct call *call)
{
  g_mutex_lock (&call->lock);
  call->finished = true;
  g_cond_signal (&call->finished_cond);
  g_mutex_unlock (&call->lock);
  call_release (call);
}

/* Waits until the loop's thread has finished CALL; false after TIMEOUT_MS.  */
static bool
call_wait (struct call *call, uint32_t timeout_ms)
{
  gint64 deadline = g_get_monotonic_time () + (gint64)timeout_ms * 1000;
  g_mutex_lock (&call->lock);
  while (!call->finished)
    if (!g_cond_wait_until (&call->finished_cond, &call->lock, deadline))
      break;
  bool finished = call->finished;
  g_mutex_unlock (&call->lock);
  return finished;
}

void
cyx_outcome_clear (struct cyx_outcome *outcome)
{
  g_clear_pointer (&outcome->conflict_who, g_free);
  g_clear_pointer (&outcome->conflict_request_id, g_free);
  g_clear_pointer (&outcome->leader_host, g_free);
}

/* ------------------------------------------------------------ outcomes */

static const Cy__Member *
find_member (const Cy__MemberSet *members, uint64_t id)
{
  for (size_t i = 0; members != NULL && i < members->n_members; i++)
    if (members->members[i]->id == id)
      return members->members[i];
  return NULL;
}

static void
set_leader_address (struct cyx_control *control, struct cyx_outcome *outcome)
{
  struct cyx_replica *replica = cyx_control_replica (control);
  uint64_t leader = cyx_replica_leader (replica);
  if (leader == 0 || leader == cyx_control_member_id (control))
    return;
  const Cy__Member *member
      = find_member (cyx_replica_members (replica), leader);
  if (member == NULL)
    return;
  outcome->leader_host = g_strdup (member->host);
  outcome->leader_http_port = (uint16_t)member->http_port;
}

static void
copy_change_result (struct call *call)
{
  const struct cys_state *state = cyx_control_state (call->control);
  const Cy__ChangeResult *result
      = cys_state_result (state, call->body.change.copy->request_id);
  if (result == NULL)
    {
      call->outcome.result = CY_E_OUTCOME_UNKNOWN;
      return;
    }
  bool reused = result->digest != cys_change_digest (call->body.change.copy);
  call->outcome.result
      = reused ? CY_E_REQUEST_REUSED : (cy_result)result->result;
  call->outcome.version = result->version;
  call->outcome.conflict_who = g_strdup (result->conflict_who);
  call->outcome.conflict_request_id = g_strdup (result->conflict_request_id);
}

static void
call_proposed (cy_result result, uint64_t index, void *context)
{
  (void)index;
  struct call *call = context;
  call->outcome.result = result;
  call->outcome.version
      = cys_state_version (cyx_control_state (call->control));
  if (result == CY_OK && call->kind == CALL_CHANGE)
    copy_change_result (call);
  if (result == CY_E_NOT_LEADER)
    set_leader_address (call->control, &call->outcome);
  call_finish (call);
}

/* ------------------------------------------------------ loop's thread */

static void
propose_change (struct call *call)
{
  Cy__Change *change = call->body.change.copy;
  change->unix_ms = cy_clock_unix_ms (cy_system_clock ());
  size_t length = cy__change__get_packed_size (change);
  uint8_t *bytes = g_malloc (length);
  cy__change__pack (change, bytes);
  cyx_replica_propose (cyx_control_replica (call->control), bytes, length,
                       call_proposed, call);
  g_free (bytes);
}

static void
copy_member (const struct cyx_replica *replica, const Cy__Member *member,
             struct cyx_member_status *copy)
{
  copy->id = member->id;
  copy->host = g_strdup (member->host);
  copy->port = (uint16_t)member->port;
  copy->http_port = (uint16_t)member->http_port;
  copy->voter = member->voter;
  copy->leader = cyx_replica_leader (replica) == member->id;
  copy->acknowledged_index = cyx_replica_match (replica, member->id);
}

static void
read_status (struct call *call)
{
  struct cyx_status *status = &call->body.status;
  const struct cyx_replica *replica = cyx_control_replica (call->control);
  const Cy__MemberSet *members = cyx_replica_members (replica);
  cy_time_ns age = cyx_replica_confirmation_age (replica);
  status->self_id = cyx_control_member_id (call->control);
  status->leader = cyx_replica_is_leader (replica);
  status->ready = cyx_replica_is_ready (replica);
  status->term = cyx_replica_term (replica);
  status->committed_index = cyx_replica_committed (replica);
  status->version = cys_state_version (cyx_control_state (call->control));
  /* Until a leader has committed its first record, it may lack changes that
     the former leader acknowledged: its version is not confirmed.  */
  status->age_ms = age < 0 || !status->ready ? -1 : age / CY_NS_PER_MS;
  status->member_count = members == NULL ? 0 : members->n_members;
  status->members
      = g_new0 (struct cyx_member_status, status->member_count + 1);
  for (size_t i = 0; i < status->member_count; i++)
    copy_member (replica, members->members[i], &status->members[i]);
  call_finish (call);
}

static void
call_run (void *context)
{
  struct call *call = context;
  struct cyx_replica *replica = cyx_control_replica (call->control);
  switch (call->kind)
    {
    case CALL_CHANGE:
      propose_change (call);
      break;
    case CALL_ADD:
      cyx_replica_add_member (replica, call->body.add, 0, call_proposed, call);
      break;
    case CALL_REMOVE:
      cyx_replica_remove_member (replica, call->body.remove, 0, call_proposed,
                                 call);
      break;
    case CALL_STATUS:
      read_status (call);
      break;
    }
}

/* ------------------------------------------------------------ calling */

/* Runs CALL in the loop's thread, waits for the end and moves the outcome to
   OUTCOME; CY_E_OUTCOME_UNKNOWN after TIMEOUT_MS.  */
static void
call_and_wait (struct call *call, uint32_t timeout_ms,
               struct cyx_outcome *outcome)
{
  g_atomic_rc_box_acquire (call);
  cyn_loop_post (cyx_control_loop (call->control), call_run, call);
  memset (outcome, 0, sizeof *outcome);
  if (call_wait (call, timeout_ms))
    {
      *outcome = call->outcome;
      memset (&call->outcome, 0, sizeof call->outcome);
    }
  else
    outcome->result = CY_E_OUTCOME_UNKNOWN;
  call_release (call);
}

void
cyx_control_propose (struct cyx_control *control, Cy__Change *change,
                     uint32_t timeout_ms, struct cyx_outcome *outcome)
{
  struct call *call = call_create (control, CALL_CHANGE);
  call->body.change.copy = cy_copy (change);
  call_and_wait (call, timeout_ms, outcome);
}

void
cyx_control_add_member (struct cyx_control *control, const Cy__Member *member,
                        uint32_t timeout_ms, struct cyx_outcome *outcome)
{
  struct call *call = call_create (control, CALL_ADD);
  call->body.add = cy_copy (member);
  call_and_wait (call, timeout_ms, outcome);
}

void
cyx_control_remove_member (struct cyx_control *control, uint64_t id,
                           uint32_t timeout_ms, struct cyx_outcome *outcome)
{
  struct call *call = call_create (control, CALL_REMOVE);
  call->body.remove = id;
  call_and_wait (call, timeout_ms, outcome);
}

#define CYX_STATUS_TIMEOUT_MS 2000

void
cyx_control_status (struct cyx_control *control, struct cyx_status *status)
{
  struct call *call = call_create (control, CALL_STATUS);
  struct cyx_outcome outcome;
  memset (status, 0, sizeof *status);
  g_atomic_rc_box_acquire (call);
  call_and_wait (call, CYX_STATUS_TIMEOUT_MS, &outcome);
  if (outcome.result == CY_OK)
    {
      *status = call->body.status;
      memset (&call->body.status, 0, sizeof call->body.status);
    }
  cyx_outcome_clear (&outcome);
  call_release (call);
}

void
cyx_status_clear (struct cyx_status *status)
{
  for (size_t i = 0; i < status->member_count; i++)
    g_free (status->members[i].host);
  g_clear_pointer (&status->members, g_free);
  status->member_count = 0;
}

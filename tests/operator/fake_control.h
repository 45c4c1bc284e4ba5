/* A fake of cyx_control for the tests of the operators' HTTP interface: it has
   no replica and applies changes at once.  */

#ifndef FAKE_CONTROL_H
#define FAKE_CONTROL_H

#include <glib.h>
#include <string.h>

#include "control/cyx_control.h"

struct cyx_control
{
  GMutex lock;
  GCond changed;
  struct cys_state *state;
  bool leader;
  uint16_t leader_http_port; /* port of another leader, 0: unknown */
  bool hold;                 /* proposals block while this is set */
  bool no_quorum;            /* proposals time out */
  unsigned waiting_count;    /* blocked proposals */
  bool preview_fits;         /* result of every drain's preview */
  int64_t unix_ms;
};

static inline void
fake_control_init (struct cyx_control *control)
{
  memset (control, 0, sizeof *control);
  control->state = cys_state_create ();
  control->leader = true;
  control->preview_fits = true;
  control->unix_ms = 1700000000000;
}

static inline void
fake_control_clear (struct cyx_control *control)
{
  cys_state_destroy (control->state);
}

static inline void
fake_control_hold (struct cyx_control *control, bool hold)
{
  g_mutex_lock (&control->lock);
  control->hold = hold;
  g_cond_broadcast (&control->changed);
  g_mutex_unlock (&control->lock);
}

void
cyx_outcome_clear (struct cyx_outcome *outcome)
{
  g_free (outcome->conflict_who);
  g_free (outcome->conflict_request_id);
  g_free (outcome->leader_host);
  memset (outcome, 0, sizeof *outcome);
}

void
cyx_control_propose (struct cyx_control *control, Cy__Change *change,
                     uint32_t timeout_ms, struct cyx_outcome *outcome)
{
  (void)timeout_ms;
  g_mutex_lock (&control->lock);
  control->waiting_count++;
  g_cond_broadcast (&control->changed);
  while (control->hold)
    g_cond_wait (&control->changed, &control->lock);
  control->waiting_count--;
  if (control->no_quorum)
    outcome->result = CY_E_TIMEOUT;
  else if (control->leader)
    {
      change->unix_ms = control->unix_ms++;
      const Cy__ChangeResult *result
          = cys_state_apply (control->state, change);
      outcome->result = (cy_result)result->result;
      outcome->version = result->version;
      outcome->conflict_who = g_strdup (result->conflict_who);
      outcome->conflict_request_id = g_strdup (result->conflict_request_id);
    }
  else
    outcome->result = CY_E_NOT_LEADER;
  g_mutex_unlock (&control->lock);
}

void
cyx_control_read (struct cyx_control *control, cyx_read_fn read, void *context)
{
  g_mutex_lock (&control->lock);
  read (control->state, NULL, context);
  g_mutex_unlock (&control->lock);
}

void
cyx_control_status (struct cyx_control *control, struct cyx_status *status)
{
  g_mutex_lock (&control->lock);
  status->self_id = 1;
  status->leader = control->leader;
  status->ready = control->leader;
  status->term = 3;
  status->version = cys_state_version (control->state);
  status->age_ms = control->leader ? 5 : -1;
  status->member_count = 2;
  status->members = g_new0 (struct cyx_member_status, 2);
  status->members[0].id = 1;
  status->members[0].leader = control->leader;
  status->members[1].id = 2;
  status->members[1].host = g_strdup ("127.0.0.1");
  status->members[1].http_port = control->leader_http_port;
  status->members[1].leader = control->leader_http_port != 0;
  g_mutex_unlock (&control->lock);
}

void
cyx_status_clear (struct cyx_status *status)
{
  for (size_t i = 0; i < status->member_count; i++)
    g_free (status->members[i].host);
  g_free (status->members);
  memset (status, 0, sizeof *status);
}

void
cyx_control_add_member (struct cyx_control *control, const Cy__Member *member,
                        uint32_t timeout_ms, struct cyx_outcome *outcome)
{
  (void)control;
  (void)timeout_ms;
  outcome->result = member->id == 9 ? CY_E_MEMBER_BUSY : CY_OK;
}

void
cyx_control_remove_member (struct cyx_control *control, uint64_t id,
                           uint32_t timeout_ms, struct cyx_outcome *outcome)
{
  (void)control;
  (void)timeout_ms;
  outcome->result = id == 2 ? CY_OK : CY_E_NOT_FOUND;
}

struct cyx_child *
cyx_control_children (struct cyx_control *control, size_t *count)
{
  struct cyx_child *children = g_new0 (struct cyx_child, 1);
  *count = 1;
  children[0].name = g_strdup ("entry-1");
  children[0].version = cys_state_version (control->state);
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
  (void)control;
  (void)workspace;
  (void)since_ms;
  return g_strdup_printf ("{\"service\":\"%s\"}", service);
}

char *
cyx_control_preview (struct cyx_control *control, const char *kind,
                     const char *name, bool *fits)
{
  (void)kind;
  (void)name;
  *fits = control->preview_fits;
  return g_strdup ("{}");
}

#endif /* FAKE_CONTROL_H */

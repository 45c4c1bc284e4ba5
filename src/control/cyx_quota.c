#include "control/cyx_quota.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "base/cyu_log.h"
#include "core/cyf_freshness.h"
#include "core/cyq_node.h"

#define RATE_MAX 1e9 /* limit of rates in requests/s, bursts in requests */

struct cyx_quota
{
  const struct cys_state *state;
  const struct cyx_replica *replica;
  const struct cy_clock *clock;
  struct cyq_node *node;  /* NULL: this VM is not the root */
  uint64_t term;          /* leader term of this root */
  uint64_t start_version; /* declared state's version when this root started */
  cy_time_ns adopt_until; /* end of the adoption of the former root's leases */
  GHashTable *declared_names; /* names of the workspaces that the node holds */
};

static int64_t
to_millionths (double amount)
{
  if (!isfinite (amount) || amount <= 0)
    return 0;
  return (int64_t)(fmin (amount, RATE_MAX) * (double)CYQ_ONE_REQUEST + 0.5);
}

/* ------------------------------------------------------------ workspaces */

struct declaration_pass
{
  struct cyx_quota *quota;
  GHashTable *current_names; /* borrowed names of the declared workspaces */
  cy_time_ns now;
};

static bool
declare_workspace (const Cy__Object *object, void *context)
{
  struct declaration_pass *pass = context;
  struct cyx_quota *quota = pass->quota;
  const Cy__Workspace *workspace = object->workspace;
  if (object->body_case != CY__OBJECT__BODY_WORKSPACE)
    return true;
  bool is_new = object->version > quota->start_version
                && pass->now >= quota->adopt_until;
  g_hash_table_add (pass->current_names, workspace->name);
  g_hash_table_add (quota->declared_names, g_strdup (workspace->name));
  cyq_node_declare (quota->node, workspace->name,
                    to_millionths (workspace->rate),
                    to_millionths (workspace->burst), is_new, pass->now);
  return true;
}

void
cyx_quota_state_changed (struct cyx_quota *quota)
{
  if (quota->node == NULL)
    return;
  struct declaration_pass pass
      = { quota, g_hash_table_new (g_str_hash, g_str_equal),
          cy_clock_now (quota->clock) };
  cys_state_each (quota->state, "workspace/", declare_workspace, &pass);
  GHashTableIter iter;
  gpointer name;
  g_hash_table_iter_init (&iter, quota->declared_names);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    if (!g_hash_table_contains (pass.current_names, name))
      cyq_node_declare (quota->node, name, 0, 0, false, pass.now);
  g_hash_table_destroy (pass.current_names);
}

/* ------------------------------------------------------------ the root */

static void
end_root (struct cyx_quota *quota)
{
  cyq_node_destroy (quota->node);
  quota->node = NULL;
  g_hash_table_remove_all (quota->declared_names);
}

static void
start_root (struct cyx_quota *quota, cy_time_ns now)
{
  struct cyq_options options = { .is_root = true,
                                 .epoch = cyx_replica_term (quota->replica),
                                 .term_ms = CYQ_ROOT_TERM_MS };
  quota->node = cyq_node_create (&options);
  quota->term = options.epoch;
  quota->start_version = cys_state_version (quota->state);
  quota->adopt_until = now;
  /* At version 0 nothing was ever declared: no former root granted quota.  */
  if (quota->start_version > 0)
    {
      quota->adopt_until = now
                           + cyf_widen_span (CYQ_ROOT_TERM_MS * CY_NS_PER_MS)
                           + CY_NS_PER_MS;
      cyq_node_accept_claims_until (quota->node, quota->adopt_until);
    }
  cyu_log (G_LOG_LEVEL_INFO, "quota root starts in term %" G_GUINT64_FORMAT,
           quota->term);
  cyx_quota_state_changed (quota);
}

/* Starts or ends the root after a change of leadership, and extends the root's
   authority.  */
static void
update_authority (struct cyx_quota *quota, cy_time_ns age)
{
  cy_time_ns now = cy_clock_now (quota->clock);
  bool leader = cyx_replica_is_leader (quota->replica);
  if (quota->node != NULL
      && (!leader || quota->term != cyx_replica_term (quota->replica)))
    end_root (quota);
  if (age < 0)
    return;
  if (quota->node == NULL)
    start_root (quota, now);
  cyq_node_tick (quota->node, now);
  cyq_node_set_authority_end (quota->node,
                              now - cyf_widen_span (age)
                                  + CYQ_ROOT_TERM_MS * CY_NS_PER_MS);
}

void
cyx_quota_tick (struct cyx_quota *quota, cy_time_ns age)
{
  update_authority (quota, age);
}

/* ------------------------------------------------------------ messages */

static void
send_answer (struct cyn_conn *conn, Cy__QuotaAnswer *answer)
{
  Cy__Envelope envelope = CY__ENVELOPE__INIT;
  envelope.body_case = CY__ENVELOPE__BODY_QUOTA_ANSWER;
  envelope.quota_answer = answer;
  cyn_conn_send (conn, &envelope);
  cy__quota_answer__free_unpacked (answer, NULL);
}

void
cyx_quota_answer (struct cyx_quota *quota, struct cyn_conn *conn,
                  const Cy__QuotaAsk *ask, cy_time_ns age)
{
  update_authority (quota, age);
  if (quota->node == NULL)
    return;
  const char *holder = cyn_conn_peer (conn)->name;
  send_answer (conn, cyq_node_grant (quota->node, holder, ask,
                                     cy_clock_now (quota->clock)));
}

void
cyx_quota_push (struct cyx_quota *quota, struct cyn_conn *conn)
{
  if (quota->node == NULL)
    return;
  Cy__QuotaAnswer *answer = cyq_node_push (
      quota->node, cyn_conn_peer (conn)->name, cy_clock_now (quota->clock));
  if (answer != NULL)
    send_answer (conn, answer);
}

struct cyx_quota *
cyx_quota_create (const struct cys_state *state,
                  const struct cyx_replica *replica,
                  const struct cy_clock *clock)
{
  struct cyx_quota *quota = g_new0 (struct cyx_quota, 1);
  quota->state = state;
  quota->replica = replica;
  quota->clock = clock;
  quota->declared_names
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return quota;
}

void
cyx_quota_destroy (struct cyx_quota *quota)
{
  if (quota == NULL)
    return;
  cyq_node_destroy (quota->node);
  g_hash_table_destroy (quota->declared_names);
  g_free (quota);
}

#include "entry/cye_agent.h"

#include "base/cy_system.h"
#include "entry/cye_agent_internal.h"

/* ------------------------------------------------------------ parents */

static void
parent_change (void *context)
{
  struct cye_agent *agent = context;
  const struct cys_state *state = cyz_parent_state (agent->parent);
  cye_quota_update_workspaces (agent->quota, state);
  cye_reports_set_version (agent->reports, cys_state_version (state));
  if (agent->options.events.on_view != NULL)
    agent->options.events.on_view (state, cyz_parent_soft (agent->parent),
                                   agent->options.events.context);
}

static void
parent_confirmed (void *context)
{
  struct cye_agent *agent = context;
  atomic_store (&agent->confirmed_at,
                cyz_parent_freshness (agent->parent)->confirmed_at);
}

static void
parent_message (struct cyn_conn *conn, const Cy__Envelope *message,
                void *context)
{
  struct cye_agent *agent = context;
  if (message->body_case == CY__ENVELOPE__BODY_QUOTA_ANSWER)
    cye_quota_receive_answer (agent->quota, conn, message->quota_answer);
  else if (message->body_case == CY__ENVELOPE__BODY_REDIRECT)
    cye_quota_return_all (agent->quota, conn);
  else if (agent->options.events.on_message != NULL)
    agent->options.events.on_message (message, agent->options.events.context);
}

static void
parent_open (struct cyn_conn *conn, void *context)
{
  struct cye_agent *agent = context;
  cye_quota_open (agent->quota, conn);
  cye_reports_open (agent->reports, conn);
}

static void
parent_close (struct cyn_conn *conn, void *context)
{
  struct cye_agent *agent = context;
  cye_quota_close (agent->quota, conn);
  cye_reports_close (agent->reports, conn);
}

static void
set_linked (struct cye_agent *agent, bool open)
{
  if (agent->linked == open)
    return;
  agent->linked = open;
  if (agent->options.events.on_link != NULL)
    agent->options.events.on_link (open, agent->options.events.context);
}

static void
parent_current (struct cyn_conn *conn, void *context)
{
  struct cye_agent *agent = context;
  cye_quota_set_current (agent->quota, conn);
  set_linked (agent, false);
  set_linked (agent, conn != NULL);
}

/* ------------------------------------------------------------ public */

struct cye_agent *
cye_agent_create (const struct cye_agent_options *options)
{
  struct cye_agent *agent = g_new0 (struct cye_agent, 1);
  agent->options = *options;
  agent->clock = cyn_loop_clock (options->loop);
  atomic_store (&agent->confirmed_at, INT64_MIN);
  agent->quota = cye_quota_create (agent);
  agent->reports = cye_reports_create (agent);
  struct cyz_parent_options parent_options
      = { .loop = options->loop,
          .identity = options->identity,
          .addresses = options->zones,
          .in_preference_order = true,
          .random = cy_system_random (),
          .events = { .on_change = parent_change,
                      .on_confirmed = parent_confirmed,
                      .on_message = parent_message,
                      .on_open = parent_open,
                      .on_close = parent_close,
                      .on_current = parent_current,
                      .context = agent } };
  agent->parent = cyz_parent_create (&parent_options);
  return agent;
}

void
cye_agent_destroy (struct cye_agent *agent)
{
  if (agent == NULL)
    return;
  cyz_parent_destroy (agent->parent);
  cye_reports_destroy (agent->reports);
  cye_quota_destroy (agent->quota);
  g_free (agent);
}

cy_time_ns
cye_agent_confirmation_age (const struct cye_agent *agent)
{
  cy_time_ns confirmed_at = atomic_load (&agent->confirmed_at);
  if (confirmed_at == INT64_MIN)
    return INT64_MAX;
  return cyf_widen_span (cy_clock_now (agent->clock) - confirmed_at);
}

enum cye_admission
cye_agent_admit (struct cye_agent *agent, const char *workspace,
                 cy_time_ns deadline, cye_admitted_fn admitted, void *context)
{
  return cye_quota_admit (agent->quota, workspace, deadline, admitted,
                          context);
}

uint32_t
cye_agent_retry_after_ms (struct cye_agent *agent, const char *workspace)
{
  return cye_quota_retry_after_ms (agent->quota, workspace);
}

void
cye_agent_report (struct cye_agent *agent, const Cy__Object *object)
{
  cye_reports_put (agent->reports, object);
}

cy_result
cye_agent_send (struct cye_agent *agent, const Cy__Envelope *message)
{
  struct cyn_conn *conn = cyz_parent_current (agent->parent);
  return conn == NULL ? CY_E_CLOSED : cyn_conn_send (conn, message);
}

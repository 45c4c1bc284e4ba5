/* Fan-out of a control VM, zone process and entry VM's agent in one loop, with
   a fake of the control VM's replica.  Checks that the declared state, soft
   objects and quota of the control VM reach the entry VM, and that reports of
   the entry VM reach the control VM.  */

#include <glib.h>
#include <string.h>

#include "base/cy_system.h"
#include "control/cyx_fanout.h"
#include "cy_test.h"
#include "entry/cye_agent.h"
#include "zone/cyz_zone.h"

#define SECRET     "0123456789abcdef0123"
#define TIMEOUT_MS 15000
#define POLL_MS    10

/* ------------------------------------------------------------ replica */

static struct
{
  bool leader;
  bool confirms;
  uint64_t term;
} fake_replica = { true, true, 1 };

bool
cyx_replica_is_leader (const struct cyx_replica *replica)
{
  (void)replica;
  return fake_replica.leader;
}

bool
cyx_replica_is_ready (const struct cyx_replica *replica)
{
  (void)replica;
  return fake_replica.leader;
}

uint64_t
cyx_replica_term (const struct cyx_replica *replica)
{
  (void)replica;
  return fake_replica.term;
}

uint64_t
cyx_replica_leader (const struct cyx_replica *replica)
{
  (void)replica;
  return 1;
}

const Cy__MemberSet *
cyx_replica_members (const struct cyx_replica *replica)
{
  (void)replica;
  return NULL;
}

cy_time_ns
cyx_replica_confirmation_age (const struct cyx_replica *replica)
{
  (void)replica;
  return fake_replica.confirms ? CY_NS_PER_MS : -1;
}

/* ------------------------------------------------------------ the chain */

struct chain
{
  struct cyn_loop *loop;
  struct cyn_identity identities[3];
  struct cys_state *state;
  struct cyt_soft_state *soft;
  struct cyx_fanout *fanout;
  struct cyn_listener *listener;
  struct cyz_zone *zone;
  struct cye_agent *agent;
  struct cyn_timer *poll;
  struct cyn_timer *timeout;
  bool (*is_done) (struct chain *chain);
  bool timed_out;
  uint64_t version; /* declared version that the entry VM has */
  int admitted;     /* requests */
  int refused;      /* requests */
  int waiting;      /* requests that wait for a token */
};

static void
control_open (struct cyn_conn *conn, void *context)
{
  cyx_fanout_open (((struct chain *)context)->fanout, conn);
}

static void
control_message (struct cyn_conn *conn, const Cy__Envelope *message,
                 void *context)
{
  cyx_fanout_message (((struct chain *)context)->fanout, conn, message);
}

static void
control_close (struct cyn_conn *conn, cy_result reason, void *context)
{
  (void)reason;
  cyx_fanout_close (((struct chain *)context)->fanout, conn);
}

static const struct cyn_handlers control_handlers
    = { control_open, control_message, control_close };

static void
on_view (const struct cys_state *state, const struct cyt_soft_state *soft,
         void *context)
{
  (void)soft;
  ((struct chain *)context)->version = cys_state_version (state);
}

static void
poll_chain (void *context)
{
  struct chain *chain = context;
  if (chain->is_done (chain))
    cyn_loop_stop (chain->loop);
  else
    cyn_timer_start (chain->poll, POLL_MS);
}

static void
on_timeout (void *context)
{
  struct chain *chain = context;
  chain->timed_out = true;
  cyn_loop_stop (chain->loop);
}

static void
declare_workspace (struct chain *chain, const char *name, double rate,
                   double burst)
{
  char *key = g_strconcat ("workspace/", name, NULL);
  char *id = g_strdup_printf ("r%u", g_random_int ());
  Cy__Workspace workspace = CY__WORKSPACE__INIT;
  workspace.name = (char *)name;
  workspace.rate = rate;
  workspace.burst = burst;
  Cy__Object object = CY__OBJECT__INIT;
  object.key = key;
  object.body_case = CY__OBJECT__BODY_WORKSPACE;
  object.workspace = &workspace;
  Cy__Object *objects[] = { &object };
  Cy__Change change = CY__CHANGE__INIT;
  change.request_id = id;
  change.who = (char *)"test";
  change.action = (char *)"submit";
  change.n_objects = 1;
  change.objects = objects;
  const Cy__ChangeResult *result = cys_state_apply (chain->state, &change);
  ck_assert_uint_eq (result->result, CY_OK);
  cyx_fanout_state_changed (chain->fanout);
  g_free (key);
  g_free (id);
}

static void
chain_setup (struct chain *chain)
{
  memset (chain, 0, sizeof *chain);
  fake_replica.leader = true;
  fake_replica.confirms = true;
  fake_replica.term = 1;
  chain->loop = cyn_loop_create (cy_system_clock ());
  chain->identities[0]
      = (struct cyn_identity){ "c1", SECRET, "control", "c", "z1", 1 };
  chain->identities[1]
      = (struct cyn_identity){ "c1", SECRET, "zone", "z", "z1", 2 };
  chain->identities[2]
      = (struct cyn_identity){ "c1", SECRET, "entry", "e", "z1", 3 };
  chain->state = cys_state_create ();
  chain->soft = cyt_soft_state_create (1);
  struct cyx_fanout_options fanout
      = { .loop = chain->loop, .state = chain->state, .soft = chain->soft };
  chain->fanout = cyx_fanout_create (&fanout);
  ck_assert_int_eq (cyn_listener_create (chain->loop, &chain->identities[0],
                                         "127.0.0.1", 0, &control_handlers,
                                         chain, &chain->listener),
                    CY_OK);
  char *controls
      = g_strdup_printf ("127.0.0.1:%u", cyn_listener_port (chain->listener));
  struct cyz_options zone = { .loop = chain->loop,
                              .identity = &chain->identities[1],
                              .region = "r1",
                              .host = "127.0.0.1",
                              .controls = controls,
                              .random = cy_system_random () };
  ck_assert_int_eq (cyz_zone_create (&zone, &chain->zone), CY_OK);
  char *zones = g_strdup_printf ("127.0.0.1:%u", cyz_zone_port (chain->zone));
  struct cye_agent_options agent
      = { .loop = chain->loop,
          .identity = &chain->identities[2],
          .zones = zones,
          .events = { .on_view = on_view, .context = chain } };
  chain->agent = cye_agent_create (&agent);
  g_free (controls);
  g_free (zones);
  chain->poll = cyn_timer_create (chain->loop, poll_chain, chain);
  chain->timeout = cyn_timer_create (chain->loop, on_timeout, chain);
}

static void
run_until (struct chain *chain, bool (*is_done) (struct chain *chain))
{
  chain->is_done = is_done;
  cyn_timer_start (chain->poll, 0);
  cyn_timer_start (chain->timeout, TIMEOUT_MS);
  cyn_loop_run (chain->loop);
}

static void
on_admitted (cy_result result, void *context)
{
  struct chain *chain = context;
  chain->waiting--;
  if (result == CY_OK)
    chain->admitted++;
  else
    chain->refused++;
}

static void
request_admission (struct chain *chain, const char *workspace, int count,
                   int wait_ms)
{
  cy_time_ns deadline
      = cy_clock_now (cy_system_clock ()) + wait_ms * CY_NS_PER_MS;
  for (int i = 0; i < count; i++)
    switch (cye_agent_admit (chain->agent, workspace, deadline, on_admitted,
                             chain))
      {
      case CYE_ADMITTED:
        chain->admitted++;
        break;
      case CYE_REFUSED:
        chain->refused++;
        break;
      case CYE_WAITING:
        chain->waiting++;
        break;
      }
}

/* ------------------------------------------------------------ tests */

static bool
burst_settled (struct chain *chain)
{
  return chain->admitted + chain->refused > 0 && chain->waiting == 0;
}

static bool
entry_confirmed (struct chain *chain)
{
  if (cye_agent_confirmation_age (chain->agent) == INT64_MAX)
    return false;
  if (cys_state_version (chain->state) == 0)
    declare_workspace (chain, "w1", 0.001, 40);
  if (chain->version == 0 || chain->admitted + chain->refused + chain->waiting)
    return burst_settled (chain);
  request_admission (chain, "w1", 60, 3000);
  return false;
}

/* One entry VM admits a workspace's complete burst at once and refuses further
   requests at their deadline.  */
START_TEST (test_burst_reaches_one_entry)
{
  struct chain chain;
  chain_setup (&chain);
  run_until (&chain, entry_confirmed);
  ck_assert (!chain.timed_out);
  ck_assert_int_eq (chain.admitted, 40);
  ck_assert_int_eq (chain.refused, 20);
}
END_TEST

static bool
entry_reported (struct chain *chain)
{
  size_t count = 0;
  struct cyx_child *children = cyx_fanout_children (chain->fanout, &count);
  bool known = count == 1 && strcmp (children[0].name, "e") == 0
               && children[0].version == 1;
  for (size_t i = 0; i < count; i++)
    g_free (children[i].name);
  g_free (children);
  return known && cyt_soft_state_get (chain->soft, "entry/e") != NULL
         && cyt_soft_state_get (chain->soft, "zone/z1") != NULL
         && cyt_soft_state_get (cyz_zone_soft (chain->zone), "backend/s/i")
                != NULL;
}

/* Reports of the entry VM reach the control VM, except backend servers, which
   stay within the zone.  */
START_TEST (test_reports_go_up)
{
  struct chain chain;
  chain_setup (&chain);
  declare_workspace (&chain, "w1", 1, 1);
  Cy__EntryStatus entry = CY__ENTRY_STATUS__INIT;
  entry.vm = (char *)"e";
  entry.zone = (char *)"z1";
  Cy__Object object = CY__OBJECT__INIT;
  object.key = (char *)"entry/e";
  object.body_case = CY__OBJECT__BODY_ENTRY;
  object.entry = &entry;
  cye_agent_report (chain.agent, &object);
  Cy__BackendStatus backend = CY__BACKEND_STATUS__INIT;
  backend.service = (char *)"s";
  backend.instance = (char *)"i";
  backend.lease_ms = 60000;
  Cy__Object other = CY__OBJECT__INIT;
  other.key = (char *)"backend/s/i";
  other.body_case = CY__OBJECT__BODY_BACKEND;
  other.backend = &backend;
  cye_agent_report (chain.agent, &other);
  run_until (&chain, entry_reported);
  ck_assert (!chain.timed_out);
  ck_assert_ptr_null (cyt_soft_state_get (chain.soft, "backend/s/i"));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("chain");
  TCase *tcase = tcase_create ("chain");
  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, test_burst_reaches_one_entry);
  tcase_add_test (tcase, test_reports_go_up);
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}

/* Seeded simulations of the quota core over lossy messages: consecutive roots,
   relays and leaves with killed processes, cut links, pauses longer than a
   lease and changes of the limit.  A checker, which is independent of shares,
   replays all admissions against one bucket with the declared limit.  It fails
   if shares are duplicated, so that the fleet admits more than the limit.

   CY_SEED=N runs one seed, CY_SEEDS=N another number of them.  */

#include <glib.h>
#include <string.h>

#include "core/cyf_freshness.h"
#include "core/cyq_node.h"
#include "cy_test.h"

#define STEP      (10 * CY_NS_PER_MS) /* time step of a run, ns */
#define RUN       (14 * CY_NS_PER_S)  /* simulated time of a run, ns */
#define ROOTS     2
#define RELAYS    4 /* two per zone */
#define LEAVES    4 /* two per zone */
#define NODES     (ROOTS + RELAYS + LEAVES)
#define LINKS     2 /* relays that a leaf is connected to */
#define SEEDS     10000
#define DRIFT_PPM 250 /* most drift of one clock, so two differ by 500 */

/* Longest time in ns until a changed limit is in force at all nodes.  */
#define CHANGE_MAX (6500 * CY_NS_PER_MS)

#define RETIRED   16 /* retired nodes that are stored for a leaf */
#define WORKSPACE "w"
#define BURST     25 /* requests of a burst */

struct member
{
  struct cyq_node *node[LINKS]; /* one for each relay at a leaf, else one */

  /* Nodes of a leaf whose session the relay no longer has; their tokens stay
     valid until the lease ends.  */
  struct cyq_node *retired[RETIRED];
  int retired_count;
  bool alive;
  cy_time_ns restart_at;   /* time of the next start, if not alive */
  cy_time_ns paused_until; /* time until which the process is stopped */
  cy_time_ns clock_offset; /* offset of the local clock */
  int drift_ppm;           /* drift of the local clock */
  uint64_t incarnation;
  int parent; /* index of the parent; at a leaf that of the current link */
};

struct packet
{
  cy_time_ns due; /* time of delivery */
  int from;
  int to;
  int link; /* link of the leaf that sends or receives the packet */
  Cy__QuotaAsk *ask;
  Cy__QuotaAnswer *answer;
};

struct limit
{
  cy_time_ns since; /* time of the declaration */
  int64_t rate;     /* millionths of a request per second */
  int64_t burst;    /* millionths of a request */
};

struct sim
{
  struct cy_random random;
  cy_time_ns now;
  struct member members[NODES];
  GPtrArray *packets;
  bool cut[NODES][NODES];  /* links that drop packets, by sender, receiver */
  GArray *admissions;      /* cy_time_ns of each admission */
  GArray *limits;          /* struct limit, by time */
  GArray *root_starts;     /* cy_time_ns of the start of each new root */
  int root;                /* index of the current root */
  cy_time_ns quorum_since; /* time of the current root's first quorum */
  uint64_t epoch;
  int loss_percent;      /* packets that are lost */
  uint64_t delay_max_ms; /* upper bound of the transit time */
  uint64_t packet_count; /* number of packets sent */
  unsigned load;         /* mean requests of a leaf per step */
  int only_leaf;         /* the one leaf that gets requests, -1: all */
  int burst_leaf; /* the leaf that gets a burst in this step, -1: none */
};

static bool
chance (struct sim *sim, unsigned percent)
{
  return cy_random_below (&sim->random, 100) < percent;
}

static bool
is_root (int index)
{
  return index < ROOTS;
}

static bool
is_leaf (int index)
{
  return index >= ROOTS + RELAYS;
}

/* Index of the relay at LINK of the leaf INDEX.  Each zone has two leaves and
   two relays.  */
static int
relay_of (int index, int link)
{
  return ROOTS + (index - ROOTS - RELAYS) / 2 * LINKS + link;
}

static cy_time_ns
local_time (const struct sim *sim, int index)
{
  const struct member *member = &sim->members[index];
  return member->clock_offset + sim->now
         + sim->now / 1000000 * member->drift_ppm;
}

/* ------------------------------------------------------------ members */

static struct cyq_node *
make_node (struct sim *sim, int index)
{
  struct member *member = &sim->members[index];
  struct cyq_options options
      = { .is_root = is_root (index),
          .may_claim = !is_leaf (index),
          .epoch = ++sim->epoch,
          .incarnation = ++member->incarnation,
          .term_ms = is_root (index) ? CYQ_ROOT_TERM_MS : CYQ_RELAY_TERM_MS };
  return cyq_node_create (&options);
}

static const struct limit *
last_limit (const struct sim *sim)
{
  return &g_array_index (sim->limits, struct limit, sim->limits->len - 1);
}

static void
kill_member (struct sim *sim, int index)
{
  struct member *member = &sim->members[index];
  for (int link = 0; link < LINKS; link++)
    g_clear_pointer (&member->node[link], cyq_node_destroy);
  while (member->retired_count > 0)
    cyq_node_destroy (member->retired[--member->retired_count]);
  member->alive = false;
}

static void
start_member (struct sim *sim, int index)
{
  struct member *member = &sim->members[index];
  member->alive = true;
  for (int link = 0; link < (is_leaf (index) ? LINKS : 1); link++)
    member->node[link] = make_node (sim, index);
}

/* Starts the other root.  The old one continues without a quorum until it is
   killed.  */
static void
change_root (struct sim *sim)
{
  int next = 1 - sim->root;
  if (sim->members[next].alive)
    kill_member (sim, next);
  start_member (sim, next);
  sim->members[next].paused_until = 0;
  sim->root = next;
  sim->quorum_since = sim->now;
  g_array_append_val (sim->root_starts, sim->now);
  struct cyq_node *node = sim->members[next].node[0];
  cyq_node_tick (node, local_time (sim, next));
  cyq_node_accept_claims_until (
      node, local_time (sim, next)
                + cyf_widen_span (CYQ_ROOT_TERM_MS * CY_NS_PER_MS)
                + CY_NS_PER_MS);
  cyq_node_declare (node, WORKSPACE, last_limit (sim)->rate,
                    last_limit (sim)->burst, false, local_time (sim, next));
}

/* ------------------------------------------------------------ messages */

static void
packet_free (gpointer data)
{
  struct packet *packet = data;
  if (packet->ask != NULL)
    cy__quota_ask__free_unpacked (packet->ask, NULL);
  if (packet->answer != NULL)
    cy__quota_answer__free_unpacked (packet->answer, NULL);
  g_free (packet);
}

static void
send_packet (struct sim *sim, int from, int to, int link, Cy__QuotaAsk *ask,
             Cy__QuotaAnswer *answer)
{
  struct packet *packet = g_new0 (struct packet, 1);
  *packet = (struct packet){ sim->now, from, to, link, ask, answer };
  packet->due += (cy_time_ns)cy_random_below (&sim->random, sim->delay_max_ms)
                 * CY_NS_PER_MS;
  sim->packet_count++;
  if (sim->cut[from][to] || chance (sim, (unsigned)sim->loss_percent))
    packet_free (packet);
  else
    g_ptr_array_add (sim->packets, packet);
}

static void
retire_node (struct sim *sim, int index, int link)
{
  struct member *member = &sim->members[index];
  if (member->retired_count < RETIRED)
    member->retired[member->retired_count++] = member->node[link];
  else
    cyq_node_destroy (member->node[link]);
  member->node[link] = make_node (sim, index);
}

static void
deliver (struct sim *sim, struct packet *packet)
{
  struct member *to = &sim->members[packet->to];
  cy_time_ns now = local_time (sim, packet->to);
  if (!to->alive)
    return;
  if (packet->ask != NULL)
    {
      char *holder = g_strdup_printf ("m%d", packet->from);
      send_packet (sim, packet->to, packet->from, packet->link, NULL,
                   cyq_node_grant (to->node[0], holder, packet->ask, now));
      g_free (holder);
      return;
    }
  int link = is_leaf (packet->to) ? packet->link : 0;
  if (cyq_node_receive_answer (to->node[link], packet->answer, now)
          == CY_E_LEASE_UNKNOWN
      && is_leaf (packet->to))
    retire_node (sim, packet->to, link);
}

static void
deliver_due (struct sim *sim)
{
  for (guint i = sim->packets->len; i > 0; i--)
    {
      struct packet *packet = g_ptr_array_index (sim->packets, i - 1);
      if (packet->due > sim->now
          || sim->members[packet->to].paused_until > sim->now)
        continue;
      g_ptr_array_steal_index_fast (sim->packets, i - 1);
      deliver (sim, packet);
      packet_free (packet);
    }
}

/* ------------------------------------------------------------ a step */

static void
handle_request (struct sim *sim, int index)
{
  struct member *member = &sim->members[index];
  cy_time_ns now = local_time (sim, index);
  cyq_node_record_arrival (member->node[member->parent], WORKSPACE);
  bool taken = false;
  for (int link = 0; link < LINKS && !taken; link++)
    taken = cyq_node_take_token (member->node[link], WORKSPACE, now);
  for (int i = 0; i < member->retired_count && !taken; i++)
    taken = cyq_node_take_token (member->retired[i], WORKSPACE, now);
  if (taken)
    g_array_append_val (sim->admissions, sim->now);
}

static void
run_leaf (struct sim *sim, int index, unsigned load)
{
  struct member *member = &sim->members[index];
  cy_time_ns now = local_time (sim, index);
  for (unsigned i = 0; i < load; i++)
    handle_request (sim, index);
  for (int link = 0; link < LINKS; link++)
    {
      cyq_node_set_waiting (member->node[link], WORKSPACE,
                            link == member->parent ? load : 0, now);
      cyq_node_tick (member->node[link], now);
      Cy__QuotaAsk *ask = cyq_node_request (member->node[link], now);
      if (ask != NULL)
        send_packet (sim, index, relay_of (index, link), link, ask, NULL);
    }
}

static void
send_push (struct sim *sim, int from, int to, int link)
{
  char *holder = g_strdup_printf ("m%d", to);
  Cy__QuotaAnswer *answer = cyq_node_push (sim->members[from].node[0], holder,
                                           local_time (sim, from));
  g_free (holder);
  if (answer != NULL)
    send_packet (sim, from, to, link, NULL, answer);
}

static void
run_relay (struct sim *sim, int index)
{
  struct member *member = &sim->members[index];
  cy_time_ns now = local_time (sim, index);
  cyq_node_tick (member->node[0], now);
  Cy__QuotaAsk *ask = cyq_node_request (member->node[0], now);
  if (ask != NULL)
    send_packet (sim, index, member->parent, 0, ask, NULL);
  for (int leaf = ROOTS + RELAYS; leaf < NODES; leaf++)
    for (int link = 0; link < LINKS; link++)
      if (relay_of (leaf, link) == index)
        send_push (sim, index, leaf, link);
}

static void
run_root (struct sim *sim, int index)
{
  cy_time_ns now = local_time (sim, index);
  struct cyq_node *node = sim->members[index].node[0];
  cyq_node_tick (node, now);
  if (index == sim->root)
    {
      cy_time_ns age
          = (cy_time_ns)cy_random_below (&sim->random, 200) * CY_NS_PER_MS;
      age = MIN (age, sim->now - sim->quorum_since);
      cyq_node_set_authority_end (node, now - cyf_widen_span (age)
                                            + CYQ_ROOT_TERM_MS * CY_NS_PER_MS);
    }
  for (int relay = ROOTS; relay < ROOTS + RELAYS; relay++)
    send_push (sim, index, relay, 0);
}

/* Starts or ends one fault.  */
static void
inject_fault (struct sim *sim)
{
  int index = (int)cy_random_below (&sim->random, NODES);
  int other = (int)cy_random_below (&sim->random, NODES);
  struct member *member = &sim->members[index];
  cy_time_ns span
      = (cy_time_ns)cy_random_below (&sim->random, 6000) * CY_NS_PER_MS;
  switch (cy_random_below (&sim->random, 8))
    {
    case 0: /* kill, restart later */
      if (member->alive && index != sim->root)
        kill_member (sim, index);
      member->restart_at = sim->now + span / 4;
      break;
    case 1: /* SIGSTOP, often longer than the lease */
      member->paused_until = sim->now + span;
      break;
    case 2: /* one-way cut */
      sim->cut[index][other] = true;
      break;
    case 3: /* end of all cuts */
      memset (sim->cut, 0, sizeof sim->cut);
      break;
    case 4:
      change_root (sim);
      break;
    case 5: /* a child changes its parent */
      if (is_leaf (index))
        member->parent = (int)cy_random_below (&sim->random, LINKS);
      else
        member->parent = (int)cy_random_below (&sim->random, ROOTS);
      break;
    case 6: /* all relays connect to the current root */
      for (int i = ROOTS; i < ROOTS + RELAYS; i++)
        sim->members[i].parent = sim->root;
      break;
    case 7:
      sim->loss_percent = (int)cy_random_below (&sim->random, 30);
      break;
    }
}

static void
change_limit (struct sim *sim)
{
  struct limit limit
      = { sim->now,
          (int64_t)cy_random_below (&sim->random, 80) * CYQ_ONE_REQUEST,
          (int64_t)cy_random_below (&sim->random, 40) * CYQ_ONE_REQUEST };
  g_array_append_val (sim->limits, limit);
  cyq_node_declare (sim->members[sim->root].node[0], WORKSPACE, limit.rate,
                    limit.burst, false, local_time (sim, sim->root));
}

/* Number of requests that arrive at the leaf INDEX in this step.  */
static unsigned
requests_of (struct sim *sim, int index)
{
  if (sim->burst_leaf == index)
    return BURST;
  if (sim->load == 0 || (sim->only_leaf >= 0 && sim->only_leaf != index))
    return 0;
  return (unsigned)cy_random_below (&sim->random, 2 * sim->load + 1);
}

static void
run_member (struct sim *sim, int index)
{
  bool due = (sim->now / STEP + index) % 5 == 0;
  if (is_leaf (index))
    {
      unsigned load = requests_of (sim, index);
      if (due || load == BURST)
        run_leaf (sim, index, load);
      else if (load > 0)
        handle_request (sim, index);
    }
  else if (due && is_root (index))
    run_root (sim, index);
  else if (due)
    run_relay (sim, index);
}

/* Starts the next phase of the load: none, at all leaves or at one leaf.  */
static void
change_load (struct sim *sim)
{
  sim->load = (unsigned)cy_random_below (&sim->random, 4);
  sim->only_leaf
      = chance (sim, 30)
            ? ROOTS + RELAYS + (int)cy_random_below (&sim->random, LEAVES)
            : -1;
  if (chance (sim, 50))
    sim->load = 0;
}

static void
run_step (struct sim *sim)
{
  deliver_due (sim);
  if (cy_random_below (&sim->random, 150) == 0)
    change_load (sim);
  sim->burst_leaf = -1;
  if (cy_random_below (&sim->random, 100) == 0)
    sim->burst_leaf
        = ROOTS + RELAYS + (int)cy_random_below (&sim->random, LEAVES);
  for (int index = 0; index < NODES; index++)
    {
      struct member *member = &sim->members[index];
      if (!member->alive && !is_root (index) && member->restart_at <= sim->now)
        start_member (sim, index);
      if (member->alive && member->paused_until <= sim->now)
        run_member (sim, index);
    }
}

/* ------------------------------------------------------------ checker */

/* Time until which a limit that was replaced at WHEN may be in force: a new
   root starts the recall of outstanding shares again.  */
static cy_time_ns
in_force_until (const struct sim *sim, cy_time_ns when)
{
  cy_time_ns end = when + CHANGE_MAX;
  for (guint i = 0; i < sim->root_starts->len; i++)
    {
      cy_time_ns start = g_array_index (sim->root_starts, cy_time_ns, i);
      if (start >= when && start <= end)
        end = start + CHANGE_MAX;
    }
  return end;
}

/* The highest rate and burst that may be in force at WHEN.  */
static struct limit
limit_at (const struct sim *sim, cy_time_ns when)
{
  struct limit highest = { 0 };
  for (guint i = 0; i < sim->limits->len; i++)
    {
      const struct limit *limit
          = &g_array_index (sim->limits, struct limit, i);
      bool last = i + 1 == sim->limits->len;
      if (limit->since > when
          || (!last && in_force_until (sim, limit[1].since) < when))
        continue;
      highest.rate = MAX (highest.rate, limit->rate);
      highest.burst = MAX (highest.burst, limit->burst);
    }
  return highest;
}

/* Replays all admissions against one bucket.  The bucket's level falls below
   zero if, and only if, some window admits too many requests.  Returns the
   largest excess in requests.  */
static double
find_excess (const struct sim *sim)
{
  double level = 1e18;
  double worst = 0;
  cy_time_ns last = 0;
  for (guint i = 0; i < sim->admissions->len; i++)
    {
      cy_time_ns when = g_array_index (sim->admissions, cy_time_ns, i);
      /* The limit may change between two admissions.  */
      for (; last < when; last = MIN (when, last + STEP))
        {
          struct limit limit = limit_at (sim, last);
          level += (double)limit.rate / CYQ_ONE_REQUEST
                   * (double)MIN (when - last, STEP) / CY_NS_PER_S;
          level = MIN (level, (double)limit.burst / CYQ_ONE_REQUEST);
        }
      level
          = MIN (level, (double)limit_at (sim, when).burst / CYQ_ONE_REQUEST);
      level -= 1;
      worst = MAX (worst, -level);
    }
  return worst;
}

/* ------------------------------------------------------------ runs */

struct outcome
{
  double excess;
  guint admitted;
  uint64_t messages;
};

static struct outcome
run_seed (uint64_t seed)
{
  uint64_t state = seed;
  struct sim sim = { .random = cy_seeded_random (&state) };
  sim.packets = g_ptr_array_new ();
  sim.admissions = g_array_new (FALSE, FALSE, sizeof (cy_time_ns));
  sim.limits = g_array_new (FALSE, FALSE, sizeof (struct limit));
  sim.root_starts = g_array_new (FALSE, FALSE, sizeof (cy_time_ns));
  struct limit first
      = { 0,
          (int64_t)(1 + cy_random_below (&sim.random, 80)) * CYQ_ONE_REQUEST,
          (int64_t)cy_random_below (&sim.random, 40) * CYQ_ONE_REQUEST };
  g_array_append_val (sim.limits, first);
  sim.now = CY_NS_PER_S;
  for (int index = 0; index < NODES; index++)
    {
      struct member *member = &sim.members[index];
      member->clock_offset
          = (cy_time_ns)cy_random_below (&sim.random, 1000) * CY_NS_PER_S;
      member->drift_ppm
          = (int)cy_random_below (&sim.random, 2 * DRIFT_PPM + 1) - DRIFT_PPM;
      member->incarnation = (uint64_t)index * 1000;
      if (!is_root (index) || index == 0)
        start_member (&sim, index);
    }
  sim.quorum_since = sim.now;
  cyq_node_tick (sim.members[0].node[0], local_time (&sim, 0));
  cyq_node_declare (sim.members[0].node[0], WORKSPACE, first.rate, first.burst,
                    true, local_time (&sim, 0));
  static const uint64_t delays_ms[] = { 20, 60, 1500 };
  sim.delay_max_ms = delays_ms[cy_random_below (&sim.random, 3)];
  sim.only_leaf = -1;
  unsigned faults = (unsigned)cy_random_below (&sim.random, 4);
  unsigned changes = (unsigned)cy_random_below (&sim.random, 2);
  for (; sim.now < RUN; sim.now += STEP)
    {
      if (cy_random_below (&sim.random, 100) < faults)
        inject_fault (&sim);
      if (cy_random_below (&sim.random, 500) < changes)
        change_limit (&sim);
      run_step (&sim);
    }
  struct outcome outcome
      = { find_excess (&sim), sim.admissions->len, sim.packet_count };
  for (int index = 0; index < NODES; index++)
    kill_member (&sim, index);
  for (guint i = 0; i < sim.packets->len; i++)
    packet_free (g_ptr_array_index (sim.packets, i));
  g_ptr_array_free (sim.packets, TRUE);
  g_array_free (sim.admissions, TRUE);
  g_array_free (sim.limits, TRUE);
  g_array_free (sim.root_starts, TRUE);
  return outcome;
}

static uint64_t
number_from (const char *variable, uint64_t fallback)
{
  const char *text = getenv (variable);
  return text == NULL ? fallback : g_ascii_strtoull (text, NULL, 10);
}

/* Range of seeds that one thread runs, and its results.  Runs share no
   state.  */
struct worker
{
  uint64_t first;
  uint64_t end;
  uint64_t failed_seeds;
  uint64_t worst_seed;
  double worst_excess;
  uint64_t admitted;
  uint64_t messages;
};

static gpointer
run_worker (gpointer data)
{
  struct worker *worker = data;
  for (uint64_t seed = worker->first; seed < worker->end; seed++)
    {
      struct outcome outcome = run_seed (seed);
      worker->admitted += outcome.admitted;
      worker->messages += outcome.messages;
      if (outcome.excess <= 1e-6)
        continue;
      worker->failed_seeds++;
      worker->worst_seed = seed;
      worker->worst_excess = MAX (worker->worst_excess, outcome.excess);
    }
  return NULL;
}

#define WORKERS 4

START_TEST (test_no_window_admits_too_much)
{
  uint64_t only = number_from ("CY_SEED", 0);
  uint64_t seeds = only != 0 ? 1 : number_from ("CY_SEEDS", SEEDS);
  uint64_t first = only != 0 ? only : 1;
  struct worker workers[WORKERS] = { 0 };
  GThread *threads[WORKERS];
  for (uint64_t i = 0; i < WORKERS; i++)
    {
      workers[i].first = first + seeds * i / WORKERS;
      workers[i].end = first + seeds * (i + 1) / WORKERS;
      threads[i] = g_thread_new ("seeds", run_worker, &workers[i]);
    }
  struct worker sum = { 0 };
  for (int i = 0; i < WORKERS; i++)
    {
      g_thread_join (threads[i]);
      sum.failed_seeds += workers[i].failed_seeds;
      sum.admitted += workers[i].admitted;
      sum.messages += workers[i].messages;
      if (workers[i].worst_excess <= sum.worst_excess)
        continue;
      sum.worst_excess = workers[i].worst_excess;
      sum.worst_seed = workers[i].worst_seed;
    }
  printf ("seeds %llu to %llu: %llu admitted, %llu messages\n",
          (unsigned long long)first, (unsigned long long)(first + seeds - 1),
          (unsigned long long)sum.admitted, (unsigned long long)sum.messages);
  ck_assert_msg (
      sum.failed_seeds == 0,
      "%llu seeds exceed the limit, the worst by %.3f requests: CY_SEED=%llu",
      (unsigned long long)sum.failed_seeds, sum.worst_excess,
      (unsigned long long)sum.worst_seed);
  ck_assert_uint_gt (sum.admitted, seeds);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("quota_sim");
  TCase *tcase = tcase_create ("seeds");
  tcase_set_timeout (tcase, 240);
  tcase_add_test (tcase, test_no_window_admits_too_much);
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}

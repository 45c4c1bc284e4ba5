/* Compares three policies of sharing a quota on the same arrivals: static
   shares, leases on demand and leases with a forecast.  The simulated fleet
   has one root and three regions of two zones with four entry VMs each; the
   round-trip time between regions is 55 ms.

   A request waits for a token for at most 1 s.  A refusal is wrongful if one
   bucket for the whole fleet, with the same wait, would have had a token.  The
   refusals of a workspace that exceeds its rate are counted separately.  Exits
   with an error if leases on demand exceed a limit or their wrongful refusals
   exceed the bound.  */

#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "core/cyf_freshness.h"
#include "core/cyq_node.h"

#define STEP_MS           1
#define RUN_MS            30000
#define WAIT_MS           1000 /* maximum wait of a request for a token */
#define ZONES             6
#define PER_ZONE          4
#define LEAVES            (ZONES * PER_ZONE)
#define NODES             (1 + ZONES + LEAVES)
#define REMOTE_TRANSIT_MS 27 /* one-way time between two regions */
#define LOCAL_TRANSIT_MS  1  /* one-way time within a region */

/* Bounds on wrongful refusals, as a share of the requests that one bucket
   admits; the second is for a workspace that exceeds its rate.  */
#define WRONGFUL_MAX  0.005
#define OVER_RATE_MAX 0.01

#define START_UP_MS 5000 /* requests before this time are not counted */

struct workspace
{
  const char *name;
  double rate;  /* requests per second */
  double burst; /* requests */
};

static const struct workspace workspaces[] = {
  { "large", 300, 600 }, { "second", 120, 240 }, { "third", 60, 60 },
  { "fourth", 40, 20 },  { "small", 10, 20 },    { "smaller", 5, 10 },
  { "tiny", 2, 5 },      { "least", 1, 5 },
};
#define WORKSPACES G_N_ELEMENTS (workspaces)

/* In this file W is the index of a workspace in workspaces.  */

enum shape
{
  SHAPE_EVEN,
  SHAPE_ONE_ENTRY,
  SHAPE_MOVES,
  SHAPE_BURSTS,
  SHAPE_GREEDY,
  SHAPES
};

static const char *const shape_names[] = {
  [SHAPE_EVEN] = "even over all entry VMs, 0.9 of the rate",
  [SHAPE_ONE_ENTRY] = "all at one entry VM, 0.9 of the rate",
  [SHAPE_MOVES] = "moves to another zone every 5 s",
  [SHAPE_BURSTS] = "whole burst at once every 10 s",
  [SHAPE_GREEDY] = "one workspace at 5 times its rate",
};

struct request
{
  int64_t arrived_ms;  /* time of arrival */
  int64_t deadline_ms; /* time at which the request is refused */
};

struct leaf
{
  GQueue waiting[WORKSPACES]; /* struct request */
};

struct packet
{
  int64_t due_ms; /* time of delivery */
  int from;
  int to;
  Cy__QuotaAsk *ask;
  Cy__QuotaAnswer *answer;
};

/* Requests of one workspace in a run.  */
struct tally
{
  uint64_t arrived;
  uint64_t admitted;
  uint64_t refused;
  uint64_t ideal_refused; /* refused by one bucket for the whole fleet */
  double excess;          /* requests above the limit in the worst window */
};

struct run
{
  enum shape shape;
  uint64_t seed;
  int64_t now_ms;
  struct cyq_node *nodes[NODES];
  struct leaf leaves[LEAVES];
  GPtrArray *packets;
  uint64_t messages;                /* number of packets sent */
  GArray *log[WORKSPACES];          /* int64_t ms, time of each admission */
  double ideal_level[WORKSPACES];   /* tokens of the fleet's one bucket */
  GQueue ideal_waiting[WORKSPACES]; /* struct request, for that bucket */
  struct tally tally[WORKSPACES];
};

static double
uniform (struct run *run)
{
  uint64_t z = (run->seed += UINT64_C (0x9e3779b97f4a7c15));
  z = (z ^ (z >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94d049bb133111eb);
  z ^= z >> 31;
  return (double)(z >> 11) / 9007199254740992.0;
}

static cy_time_ns
node_time (const struct run *run)
{
  return (run->now_ms + 100000) * CY_NS_PER_MS;
}

/* ------------------------------------------------------------ arrivals */

/* Draws from the Poisson distribution with MEAN.  */
static int
poisson (struct run *run, double mean)
{
  double limit = exp (-mean);
  double product = uniform (run);
  int count = 0;
  for (; product > limit; count++)
    product *= uniform (run);
  return count;
}

static int
count_arrivals (struct run *run, size_t w)
{
  const struct workspace *workspace = &workspaces[w];
  double per_step = workspace->rate * STEP_MS / 1000.0;
  if (run->shape == SHAPE_BURSTS)
    {
      int64_t phase = (run->now_ms + (int64_t)w * 1100) % 10000;
      if (phase == 9000)
        return (int)workspace->burst;
      return phase < 2000 ? poisson (run, per_step * 0.3) : 0;
    }
  if (run->shape == SHAPE_GREEDY)
    return poisson (run, per_step * (w == 0 ? 5 : 0.9));
  return poisson (run, per_step * 0.9);
}

static int
choose_leaf (struct run *run, size_t w)
{
  int random_leaf = (int)(uniform (run) * LEAVES);
  int64_t zone = run->now_ms / 5000 + (int64_t)w;
  switch (run->shape)
    {
    case SHAPE_ONE_ENTRY:
      return (int)(w * 7 + 3) % LEAVES;
    case SHAPE_MOVES:
      return (int)(zone % ZONES) * PER_ZONE + random_leaf % PER_ZONE;
    case SHAPE_BURSTS:
      return (int)((run->now_ms / 10000 * 5 + (int64_t)w * 3) % LEAVES);
    case SHAPE_EVEN:
    case SHAPE_GREEDY:
    case SHAPES:
      break;
    }
  return random_leaf;
}

/* ------------------------------------------------------------ messages */

static int
parent_of (int node)
{
  return node <= ZONES ? 0 : 1 + (node - 1 - ZONES) / PER_ZONE;
}

static int64_t
transit_ms (int child)
{
  /* Zones 1 and 2 are in the root's region.  */
  return child >= 3 && child <= ZONES ? REMOTE_TRANSIT_MS : LOCAL_TRANSIT_MS;
}

static void
send_packet (struct run *run, int from, int to, Cy__QuotaAsk *ask,
             Cy__QuotaAnswer *answer)
{
  struct packet *packet = g_new (struct packet, 1);
  int child = MAX (from, to);
  *packet = (struct packet){ run->now_ms + transit_ms (child), from, to, ask,
                             answer };
  g_ptr_array_add (run->packets, packet);
  run->messages++;
}

static void
send_request (struct run *run, int node)
{
  Cy__QuotaAsk *ask
      = node == 0 ? NULL
                  : cyq_node_request (run->nodes[node], node_time (run));
  if (ask != NULL)
    send_packet (run, node, parent_of (node), ask, NULL);
}

static void
push_children (struct run *run, int node)
{
  int first = node == 0 ? 1 : 1 + ZONES + (node - 1) * PER_ZONE;
  int count = node == 0 ? ZONES : PER_ZONE;
  for (int child = first; child < first + count; child++)
    {
      char holder[16];
      g_snprintf (holder, sizeof holder, "n%d", child);
      Cy__QuotaAnswer *answer
          = cyq_node_push (run->nodes[node], holder, node_time (run));
      if (answer != NULL)
        send_packet (run, node, child, NULL, answer);
    }
}

static void
deliver (struct run *run, const struct packet *packet)
{
  struct cyq_node *node = run->nodes[packet->to];
  if (packet->ask != NULL)
    {
      char holder[16];
      g_snprintf (holder, sizeof holder, "n%d", packet->from);
      send_packet (
          run, packet->to, packet->from, NULL,
          cyq_node_grant (node, holder, packet->ask, node_time (run)));
      cy__quota_ask__free_unpacked (packet->ask, NULL);
    }
  else
    {
      cyq_node_receive_answer (node, packet->answer, node_time (run));
      cy__quota_answer__free_unpacked (packet->answer, NULL);
    }
  if (packet->to <= ZONES)
    push_children (run, packet->to);
  send_request (run, packet->to);
}

static void
deliver_due (struct run *run)
{
  for (guint i = 0; i < run->packets->len;)
    {
      struct packet *packet = g_ptr_array_index (run->packets, i);
      if (packet->due_ms > run->now_ms)
        {
          i++;
          continue;
        }
      g_ptr_array_remove_index (run->packets, i);
      deliver (run, packet);
      g_free (packet);
    }
}

/* ------------------------------------------------------------ requests */

static bool
is_counted (const struct request *request)
{
  return request->arrived_ms >= START_UP_MS;
}

static void
record_admission (struct run *run, size_t w, const struct request *request)
{
  g_array_append_val (run->log[w], run->now_ms);
  if (is_counted (request))
    run->tally[w].admitted++;
}

static void
serve_waiting (struct run *run, int leaf, size_t w)
{
  GQueue *queue = &run->leaves[leaf].waiting[w];
  struct cyq_node *node = run->nodes[1 + ZONES + leaf];
  if (g_queue_is_empty (queue))
    return;
  struct request *request;
  while ((request = g_queue_peek_head (queue)) != NULL)
    {
      bool late = request->deadline_ms <= run->now_ms;
      if (late && is_counted (request))
        run->tally[w].refused++;
      if (!late)
        {
          if (!cyq_node_take_token (node, workspaces[w].name, node_time (run)))
            break;
          record_admission (run, w, request);
        }
      g_free (g_queue_pop_head (queue));
    }
  cyq_node_set_waiting (node, workspaces[w].name, g_queue_get_length (queue),
                        node_time (run));
}

static void
add_arrivals (struct run *run, size_t w)
{
  int count = count_arrivals (run, w);
  for (int i = 0; i < count; i++)
    {
      int leaf = choose_leaf (run, w);
      struct request *request = g_new (struct request, 1);
      *request = (struct request){ run->now_ms, run->now_ms + WAIT_MS };
      if (is_counted (request))
        run->tally[w].arrived++;
      g_queue_push_tail (&run->leaves[leaf].waiting[w], request);
      cyq_node_record_arrival (run->nodes[1 + ZONES + leaf],
                               workspaces[w].name);
      g_queue_push_tail (&run->ideal_waiting[w],
                         g_memdup2 (request, sizeof *request));
    }
}

/* Serves the requests of workspace W from one bucket for the whole fleet.  */
static void
serve_ideal (struct run *run, size_t w)
{
  const struct workspace *workspace = &workspaces[w];
  double *level = &run->ideal_level[w];
  *level = MIN (workspace->burst, *level + workspace->rate * STEP_MS / 1000.0);
  struct request *request;
  while ((request = g_queue_peek_head (&run->ideal_waiting[w])) != NULL)
    {
      bool late = request->deadline_ms <= run->now_ms;
      if (late && is_counted (request))
        run->tally[w].ideal_refused++;
      if (!late && *level < 1)
        break;
      if (!late)
        *level -= 1;
      g_free (g_queue_pop_head (&run->ideal_waiting[w]));
    }
}

/* ------------------------------------------------------------ a run */

static void
make_nodes (struct run *run, enum cyq_policy policy)
{
  for (int i = 0; i < NODES; i++)
    {
      struct cyq_options options
          = { .is_root = i == 0,
              .may_claim = i <= ZONES,
              .policy = policy,
              .epoch = 1,
              .incarnation = (uint64_t)i + 1,
              .term_ms = i == 0 ? CYQ_ROOT_TERM_MS : CYQ_RELAY_TERM_MS,
              .static_holder_count = i == 0 ? ZONES : PER_ZONE };
      run->nodes[i] = cyq_node_create (&options);
    }
  cyq_node_tick (run->nodes[0], node_time (run));
  for (size_t w = 0; w < WORKSPACES; w++)
    cyq_node_declare (run->nodes[0], workspaces[w].name,
                      (int64_t)(workspaces[w].rate * CYQ_ONE_REQUEST),
                      (int64_t)(workspaces[w].burst * CYQ_ONE_REQUEST), true,
                      node_time (run));
}

static void
tick_nodes (struct run *run)
{
  cyq_node_set_authority_end (
      run->nodes[0], node_time (run) + CYQ_ROOT_TERM_MS * CY_NS_PER_MS);
  for (int i = 0; i < NODES; i++)
    {
      if ((run->now_ms + i) % CYQ_TICK_MS == 0)
        cyq_node_tick (run->nodes[i], node_time (run));
      if (i <= ZONES && (run->now_ms + i) % CYQ_TICK_MS == 0)
        push_children (run, i);
      if (i != 0 && (run->now_ms + i) % 5 == 0)
        send_request (run, i);
    }
}

/* Number of requests by which the worst window exceeds rate x time + burst. */
static double
find_excess (const struct run *run, size_t w)
{
  double level = workspaces[w].burst;
  double worst = 0;
  int64_t last = 0;
  for (guint i = 0; i < run->log[w]->len; i++)
    {
      int64_t admitted_at = g_array_index (run->log[w], int64_t, i);
      level += workspaces[w].rate * (double)(admitted_at - last) / 1000.0;
      level = MIN (level, workspaces[w].burst) - 1;
      last = admitted_at;
      worst = MAX (worst, -level);
    }
  return worst;
}

static void
simulate (struct run *run, enum shape shape, enum cyq_policy policy)
{
  *run = (struct run){ .shape = shape, .seed = 42 };
  run->packets = g_ptr_array_new ();
  make_nodes (run, policy);
  for (size_t w = 0; w < WORKSPACES; w++)
    {
      run->log[w] = g_array_new (FALSE, FALSE, sizeof (int64_t));
      run->ideal_level[w] = workspaces[w].burst;
    }
  for (; run->now_ms < RUN_MS; run->now_ms += STEP_MS)
    {
      deliver_due (run);
      for (size_t w = 0; w < WORKSPACES; w++)
        {
          add_arrivals (run, w);
          serve_ideal (run, w);
          for (int leaf = 0; leaf < LEAVES; leaf++)
            serve_waiting (run, leaf, w);
        }
      tick_nodes (run);
    }
  for (size_t w = 0; w < WORKSPACES; w++)
    run->tally[w].excess = find_excess (run, w);
}

static void
run_clear (struct run *run)
{
  for (int i = 0; i < NODES; i++)
    cyq_node_destroy (run->nodes[i]);
  for (size_t w = 0; w < WORKSPACES; w++)
    {
      g_array_free (run->log[w], TRUE);
      g_queue_clear_full (&run->ideal_waiting[w], g_free);
      for (int leaf = 0; leaf < LEAVES; leaf++)
        g_queue_clear_full (&run->leaves[leaf].waiting[w], g_free);
    }
  g_ptr_array_free (run->packets, TRUE);
}

struct verdict
{
  double excess;          /* requests above the limit in the worst window */
  double wrongful;        /* wrongful refusals, of what one bucket admits */
  double over_rate;       /* wrongful refusals above the declared rate */
  double worst;           /* lowest ratio of admissions to one bucket's */
  const char *worst_name; /* workspace with that ratio */
};

static struct verdict
evaluate (const struct run *run)
{
  struct verdict verdict = { .worst = 1, .worst_name = "none" };
  double wrongful = 0;
  double ideal = 0;
  for (size_t w = 0; w < WORKSPACES; w++)
    {
      const struct tally *tally = &run->tally[w];
      double ideal_admitted
          = (double)tally->arrived - (double)tally->ideal_refused;
      verdict.excess = MAX (verdict.excess, tally->excess);
      double wrongly_refused
          = MAX (0, (double)tally->refused - (double)tally->ideal_refused);
      if (run->shape == SHAPE_GREEDY && w == 0)
        verdict.over_rate = wrongly_refused / ideal_admitted;
      else
        {
          wrongful += wrongly_refused;
          ideal += ideal_admitted;
        }
      double share
          = ideal_admitted > 0 ? (double)tally->admitted / ideal_admitted : 1;
      if (share >= verdict.worst)
        continue;
      verdict.worst = share;
      verdict.worst_name = workspaces[w].name;
    }
  verdict.wrongful = wrongful / ideal;
  return verdict;
}

int
main (void)
{
  static const char *const policy_names[]
      = { [CYQ_STATIC] = "static shares",
          [CYQ_DEMAND] = "leases on demand",
          [CYQ_FORECAST] = "leases, forecast" };
  static const enum cyq_policy policies[]
      = { CYQ_STATIC, CYQ_DEMAND, CYQ_FORECAST };
  bool broken = false;
  printf ("%-44s %-18s %9s %10s %-18s %10s\n", "arrivals", "policy", "excess",
          "wrongful", "worst-served", "messages/s");
  for (int shape = 0; shape < SHAPES; shape++)
    for (size_t p = 0; p < G_N_ELEMENTS (policies); p++)
      {
        struct run *run = g_new (struct run, 1);
        simulate (run, shape, policies[p]);
        struct verdict verdict = evaluate (run);
        printf ("%-44s %-18s %9.3f %9.3f%% %-9s %7.1f%% %10.1f\n",
                shape_names[shape], policy_names[policies[p]], verdict.excess,
                100 * verdict.wrongful, verdict.worst_name,
                100 * verdict.worst, (double)run->messages * 1000.0 / RUN_MS);
        if (getenv ("V"))
          for (size_t w = 0; w < WORKSPACES; w++)
            {
              struct tally *tally = &run->tally[w];
              struct cyq_share held
                  = cyq_node_held (run->nodes[0], workspaces[w].name);
              int64_t level_sum = 0;
              (void)held;
              for (int i = 0; i < NODES; i++)
                level_sum
                    += cyq_node_held (run->nodes[i], workspaces[w].name).level;
              printf (
                  "   %-8s arrived %lu admitted %lu refused %lu ideal %lu\n",
                  workspaces[w].name, tally->arrived, tally->admitted,
                  tally->refused, tally->ideal_refused);
            }
        broken = broken || verdict.excess > 1e-6
                 || (policies[p] == CYQ_DEMAND
                     && (verdict.wrongful > WRONGFUL_MAX
                         || verdict.over_rate > OVER_RATE_MAX));
        run_clear (run);
        g_free (run);
      }
  printf ("bound: no window above rate x time + burst; leases on demand "
          "refuse at most %.1f%% wrongfully: %s\n",
          100 * WRONGFUL_MAX, broken ? "BROKEN" : "held");
  return broken ? EXIT_FAILURE : EXIT_SUCCESS;
}

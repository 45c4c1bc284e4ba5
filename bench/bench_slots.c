/* Compares four methods of sharing slots between entry VMs on the same
   arrivals:
     p2c      power of two choices, on local counts plus reported load
     scan     server with the fewest local requests in flight
     credits  slot credits of the zone's ledger, which the product uses
     central  one dispatcher for the zone
   A seeded simulation of the core with a fake clock: five entry VMs, eight
   workspaces, twelve servers with 4 slots and a service time of 20 ms.  A full
   server refuses requests of p2c and scan, which try up to three servers.  */

#include <glib.h>
#include <math.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/cy_clock.h"
#include "core/cyb_credits.h"
#include "core/cyb_pool.h"
#include "core/cyw_fair_queue.h"

#define ENTRIES             5
#define SERVERS             12
#define SLOTS               4
#define WORKSPACES          8
#define SERVICE_MS          20.0
#define STEP_NS             (CY_NS_PER_MS / 2)
#define RUN_S               20
#define QUIET_S             3    /* time without arrivals, covers one lease */
#define WARM_S              4    /* time before measurements */
#define REPORT_INTERVAL_MS  1000 /* interval of a server's load reports */
#define REQUEST_INTERVAL_MS 2    /* interval of requests for credits */
#define DEADLINE_MS         1000
#define TRIES               3

enum method
{
  METHOD_P2C,
  METHOD_SCAN,
  METHOD_CREDITS,
  METHOD_CENTRAL,
  METHODS
};

static const char *const method_names[METHODS]
    = { "p2c", "scan", "credits", "central" };

struct request
{
  struct cyw_item item;
  cy_time_ns arrived;
  int workspace;
};

struct running
{
  cy_time_ns ends_at;
  cy_time_ns started_at;
  struct request *request;
  int entry;
  int server;
};

struct server
{
  int in_flight;
  int reported; /* requests in flight as the server last reported */
  double service_time_factor; /* ratio to SERVICE_MS */
  bool reports_zero_load;     /* the server reports zero load */
  double cold_until;          /* end of the slow phase after a start, s */
};

struct sim
{
  enum method method;
  cy_time_ns now;
  uint64_t seed;
  struct cy_clock clock;
  struct cy_random random;
  struct server servers[SERVERS];
  struct cyb_pool *pools[ENTRIES];
  struct cyw_fair_queue *queues[ENTRIES];
  struct cyb_credits *ledger;
  GPtrArray *running;
  GArray *times[WORKSPACES];
  uint64_t arrivals;
  uint64_t refused;

  /* Sums over the steps with waiting requests: slots in use, and slots that
     the running and waiting requests could use.  */
  double busy_slots;
  double usable_slots;
  int max_in_flight; /* maximum of requests in flight at one server */
};

static cy_time_ns
sim_now (void *context)
{
  return ((struct sim *)context)->now;
}

static int64_t
sim_unix (void *context)
{
  return sim_now (context) / CY_NS_PER_MS;
}

static uint64_t
next_random (void *context)
{
  uint64_t *state = context;
  uint64_t z = (*state += UINT64_C (0x9e3779b97f4a7c15));
  z = (z ^ (z >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94d049bb133111eb);
  return z ^ (z >> 31);
}

static double
uniform (struct sim *sim)
{
  return (double)(next_random (&sim->seed) >> 11) / 9007199254740992.0;
}

/* Index of the queue and pool that serve ENTRY.  */
static int
queue_index (const struct sim *sim, int entry)
{
  return sim->method == METHOD_CENTRAL ? 0 : entry;
}

/* ------------------------------------------------------------ choosing */

static int
server_index (const struct cyb_server *server)
{
  return server == NULL || server->instance[0] == '\0'
             ? 0
             : atoi (server->instance + 1);
}

static struct cyb_server *
choose_p2c (struct sim *sim, int entry)
{
  struct cyb_server *best = NULL;
  for (int i = 0; i < 2; i++)
    {
      char name[8];
      int number = (int)(next_random (&sim->seed) % SERVERS);
      g_snprintf (name, sizeof name, "b%d", number);
      struct cyb_server *server
          = cyb_pool_find_server (sim->pools[entry], name, 0);
      int load = (int)server->in_flight + sim->servers[number].reported;
      if (best == NULL
          || load < (int)best->in_flight
                        + sim->servers[server_index (best)].reported)
        best = server;
    }
  return best;
}

static struct cyb_server *
choose_scan (struct sim *sim, int entry)
{
  struct cyb_server *best = NULL;
  struct cyb_server *server = NULL;
  int ties = 1;
  CK_LIST_FOREACH (server, cyb_pool_servers (sim->pools[entry]), entry)
  {
    if (best != NULL && server->in_flight == best->in_flight)
      ties++;
    else if (best == NULL || server->in_flight < best->in_flight)
      ties = 1;
    else
      continue;
    if (ties == 1 || uniform (sim) * ties < 1)
      best = server;
  }
  return best;
}

static struct cyb_server *
choose_server (struct sim *sim, int entry)
{
  struct cyb_server *server = NULL;
  switch (sim->method)
    {
    case METHOD_P2C:
      return choose_p2c (sim, entry);
    case METHOD_SCAN:
      return choose_scan (sim, entry);
    case METHOD_CREDITS:
    case METHOD_CENTRAL:
      cyb_pool_choose_server (sim->pools[entry], NULL, &server);
      return server;
    case METHODS:
      break;
    }
  return NULL;
}

/* ------------------------------------------------------------ running */

static void
start_request (struct sim *sim, int entry, struct cyb_server *target,
               struct request *request)
{
  struct running *run = g_new0 (struct running, 1);
  struct server *server = &sim->servers[server_index (target)];
  double cold = (double)sim->now / 1e9 < server->cold_until ? 5 : 1;
  double ms = SERVICE_MS * server->service_time_factor * cold
              * (0.5 + uniform (sim));
  run->started_at = sim->now;
  run->ends_at = sim->now + (cy_time_ns)(ms * (double)CY_NS_PER_MS);
  run->request = request;
  run->entry = entry;
  run->server = server_index (target);
  server->in_flight++;
  sim->max_in_flight = MAX (sim->max_in_flight, server->in_flight);
  cyb_pool_start_request (sim->pools[entry], target);
  g_ptr_array_add (sim->running, run);
}

static bool
is_measured (const struct request *request)
{
  return request->arrived >= WARM_S * CY_NS_PER_S;
}

static void
refuse (struct sim *sim, struct request *request)
{
  sim->refused += is_measured (request);
  g_free (request);
}

/* Serves the queue without credits: a full server refuses, and after TRIES
   refusals the request is refused.  */
static void
serve_with_retries (struct sim *sim, int entry)
{
  struct cyw_item *item = NULL;
  while ((item = cyw_fair_queue_pop (sim->queues[entry], sim->now)) != NULL)
    {
      bool started = false;
      for (int i = 0; i < TRIES && !started; i++)
        {
          struct cyb_server *server = choose_server (sim, entry);
          if (sim->servers[server_index (server)].in_flight >= SLOTS)
            continue;
          start_request (sim, entry, server, (struct request *)item);
          started = true;
        }
      if (!started)
        refuse (sim, (struct request *)item);
    }
}

static void
serve_free_slots (struct sim *sim, int entry)
{
  struct cyb_server *server = NULL;
  while (cyw_fair_queue_length (sim->queues[entry]) > 0
         && (server = choose_server (sim, entry)) != NULL)
    start_request (
        sim, entry, server,
        (struct request *)cyw_fair_queue_pop (sim->queues[entry], sim->now));
  struct cyw_item *item = NULL;
  while ((item = cyw_fair_queue_expire (sim->queues[entry], sim->now)) != NULL)
    refuse (sim, (struct request *)item);
}

static void
serve_queue (struct sim *sim, int entry)
{
  if (sim->method == METHOD_P2C || sim->method == METHOD_SCAN)
    serve_with_retries (sim, entry);
  else
    serve_free_slots (sim, entry);
}

static void
finish_requests (struct sim *sim)
{
  for (guint i = sim->running->len; i-- > 0;)
    {
      struct running *run = g_ptr_array_index (sim->running, i);
      if (run->ends_at > sim->now)
        continue;
      char name[8];
      g_snprintf (name, sizeof name, "b%d", run->server);
      cyb_pool_finish_request (
          sim->pools[run->entry],
          cyb_pool_find_server (sim->pools[run->entry], name, 0), CYB_ANSWERED,
          run->ends_at - run->started_at);
      sim->servers[run->server].in_flight--;
      if (is_measured (run->request))
        {
          double ms = (double)(sim->now - run->request->arrived) / 1e6;
          g_array_append_val (sim->times[run->request->workspace], ms);
        }
      g_free (run->request);
      g_free (run);
      g_ptr_array_remove_index_fast (sim->running, i);
    }
}

static void
add_request (struct sim *sim, int workspace)
{
  char name[8];
  struct request *request = g_new0 (struct request, 1);
  int entry = queue_index (sim, (int)(next_random (&sim->seed) % ENTRIES));
  request->arrived = sim->now;
  request->workspace = workspace;
  sim->arrivals += is_measured (request);
  g_snprintf (name, sizeof name, "w%d", workspace);
  if (cyw_fair_queue_push (sim->queues[entry], &request->item, name, 1,
                           sim->now, sim->now + DEADLINE_MS * CY_NS_PER_MS,
                           (cy_time_ns)(SERVICE_MS * CY_NS_PER_MS))
      != CY_OK)
    refuse (sim, request);
  else
    serve_queue (sim, entry);
}

/* ------------------------------------------------------------ credits */

static void
apply_answer (struct sim *sim, int entry, const Cy__SlotAnswer *answer,
              bool is_reply)
{
  for (size_t i = 0; i < answer->n_items; i++)
    {
      struct cyb_server *server = cyb_pool_find_server (
          sim->pools[entry], answer->items[i]->instance, 0);
      uint32_t granted = answer->items[i]->granted;
      if (is_reply)
        cyb_pool_set_credits (sim->pools[entry], server, granted,
                              sim->now + CYB_CREDITS_LEASE_MS * CY_NS_PER_MS);
      else
        server->credits = MIN (server->credits, granted);
    }
}

static void
on_recall (const char *name, const Cy__SlotAnswer *answer, void *context)
{
  apply_answer (context, atoi (name + 1), answer, false);
}

static void
send_credit_request (struct sim *sim, int entry)
{
  Cy__SlotItem items[SERVERS];
  Cy__SlotItem *pointers[SERVERS];
  Cy__SlotAsk message = CY__SLOT_ASK__INIT;
  Cy__SlotAnswer answer;
  char name[8];
  struct cyb_server *server = NULL;
  CK_LIST_FOREACH (server, cyb_pool_servers (sim->pools[entry]), entry)
  {
    Cy__SlotItem *item = &items[message.n_items];
    cy__slot_item__init (item);
    item->service = (char *)"s";
    item->instance = server->instance;
    item->held = MAX (server->credits, server->in_flight);
    item->used = server->in_flight;
    item->wanted = (uint32_t)cyw_fair_queue_length (sim->queues[entry]);
    pointers[message.n_items++] = item;
  }
  message.items = pointers;
  g_snprintf (name, sizeof name, "e%d", entry);
  cyb_credits_request (sim->ledger, name, &message, &answer);
  apply_answer (sim, entry, &answer, true);
  cyb_credits_answer_clear (&answer);
  cyb_credits_send_recalls (sim->ledger, on_recall, sim);
  for (int e = 0; e < ENTRIES; e++)
    {
      g_snprintf (name, sizeof name, "e%d", e);
      if (e == entry || !cyb_credits_grant_freed (sim->ledger, name, &answer))
        continue;
      apply_answer (sim, e, &answer, true);
      cyb_credits_answer_clear (&answer);
    }
}

/* ------------------------------------------------------------ one run */

static void
start (struct sim *sim, enum method method, uint64_t seed)
{
  memset (sim, 0, sizeof *sim);
  sim->method = method;
  sim->seed = seed;
  sim->clock = (struct cy_clock){ sim_now, sim_unix, sim };
  sim->random = (struct cy_random){ next_random, &sim->seed };
  sim->ledger = cyb_credits_create (&sim->clock);
  sim->running = g_ptr_array_new ();
  for (int w = 0; w < WORKSPACES; w++)
    sim->times[w] = g_array_new (FALSE, FALSE, sizeof (double));
  cyb_credits_begin_update (sim->ledger);
  for (int e = 0; e < ENTRIES; e++)
    {
      sim->queues[e] = cyw_fair_queue_create ();
      sim->pools[e] = cyb_pool_create (&sim->clock, &sim->random,
                                       method == METHOD_CREDITS);
      cyb_pool_begin_update (sim->pools[e]);
    }
  for (int s = 0; s < SERVERS; s++)
    {
      char name[8];
      Cy__BackendStatus status = CY__BACKEND_STATUS__INIT;
      g_snprintf (name, sizeof name, "b%d", s);
      status.service = (char *)"s";
      status.instance = name;
      status.slots = SLOTS;
      status.connections = 900;
      status.warm_ms = 60000;
      for (int e = 0; e < ENTRIES; e++)
        cyb_pool_put_server (sim->pools[e], &status, false);
      cyb_credits_put_server (sim->ledger, &status);
      sim->servers[s].service_time_factor = 1;
    }
  cyb_credits_end_update (sim->ledger);
}

static void
run_step (struct sim *sim, double rate)
{
  finish_requests (sim);
  for (int w = 0; w < WORKSPACES && sim->now >= QUIET_S * CY_NS_PER_S; w++)
    if (uniform (sim) < rate / WORKSPACES * (double)STEP_NS / 1e9)
      add_request (sim, w);
  for (int s = 0; s < SERVERS; s++)
    if (sim->now % (REPORT_INTERVAL_MS * CY_NS_PER_MS) == 0)
      sim->servers[s].reported
          = sim->servers[s].reports_zero_load ? 0 : sim->servers[s].in_flight;
  for (int e = 0; e < ENTRIES; e++)
    {
      if (sim->method == METHOD_CREDITS
          && (sim->now / STEP_NS + e)
                     % (REQUEST_INTERVAL_MS * CY_NS_PER_MS / STEP_NS)
                 == 0)
        send_credit_request (sim, e);
      serve_queue (sim, e);
    }
  size_t waiting = 0;
  for (int e = 0; e < ENTRIES; e++)
    waiting += cyw_fair_queue_length (sim->queues[e]);
  if (waiting > 0 && sim->now >= WARM_S * CY_NS_PER_S)
    {
      sim->busy_slots += MIN (sim->running->len, SERVERS * SLOTS);
      sim->usable_slots += MIN (SERVERS * SLOTS, sim->running->len + waiting);
    }
  sim->now += STEP_NS;
}

static int
compare_double (const void *a, const void *b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;
  return left < right ? -1 : left > right;
}

static double
worst_p99 (struct sim *sim)
{
  double worst = 0;
  for (int w = 0; w < WORKSPACES; w++)
    {
      GArray *times = sim->times[w];
      if (times->len == 0)
        continue;
      g_array_sort (times, compare_double);
      worst
          = MAX (worst, g_array_index (times, double, times->len * 99 / 100));
    }
  return worst;
}

struct scene
{
  const char *name;
  double load;            /* arrivals, as a ratio of the capacity */
  bool slow;              /* one server is ten times slower */
  bool zero_load_reports; /* a third of the servers report zero load */
  bool cold; /* a third of the servers restart in the middle of the run */
};

static const struct scene scenes[] = {
  { "half load", 0.5, false, false, false },
  { "nine tenths", 0.9, false, false, false },
  { "saturated", 1.3, false, false, false },
  { "one 10x slower", 0.6, true, false, false },
  { "zero load report", 0.9, false, true, false },
  { "cold starts", 0.6, false, false, true },
};

struct figures
{
  double p99; /* highest 99th percentile of a workspace's answer times, ms */
  double refused;    /* ratio of refused requests to arrivals */
  double wasted;     /* ratio of unused slots while requests waited */
  int max_in_flight; /* maximum of requests in flight at one server */
};

static struct figures
run (enum method method, const struct scene *scene)
{
  struct sim sim;
  double rate = scene->load * SERVERS * SLOTS * 1000 / SERVICE_MS;
  start (&sim, method, 4242);
  for (int s = 0; s < SERVERS; s++)
    {
      sim.servers[s].service_time_factor = scene->slow && s == 0 ? 10 : 1;
      sim.servers[s].reports_zero_load
          = scene->zero_load_reports && s % 3 == 0;
    }
  while (sim.now < RUN_S * CY_NS_PER_S)
    {
      if (scene->cold && sim.now == RUN_S / 2 * CY_NS_PER_S)
        for (int s = 0; s < SERVERS; s += 3)
          sim.servers[s].cold_until = RUN_S / 2.0 + 3;
      run_step (&sim, rate);
    }
  struct figures figures
      = { worst_p99 (&sim), (double)sim.refused / (double)sim.arrivals,
          sim.usable_slots > 0 ? 1 - sim.busy_slots / sim.usable_slots : 0,
          sim.max_in_flight };
  return figures;
}

int
main (void)
{
  int broken = 0;
  printf ("%-16s %-8s %12s %10s %10s %6s\n", "scene", "method", "worst p99 ms",
          "refused", "wasted", "max");
  for (size_t i = 0; i < G_N_ELEMENTS (scenes); i++)
    for (int method = 0; method < METHODS; method++)
      {
        struct figures figures = run ((enum method)method, &scenes[i]);
        printf ("%-16s %-8s %12.1f %9.2f%% %9.2f%% %6d\n", scenes[i].name,
                method_names[method], figures.p99, figures.refused * 100,
                figures.wasted * 100, figures.max_in_flight);
        bool is_product = method == METHOD_CREDITS;
        if (is_product
            && (figures.max_in_flight > SLOTS
                || (scenes[i].load > 1 && figures.wasted > 0.05)
                || (scenes[i].load < 1 && figures.refused > 0)))
          {
            printf ("BROKEN bound: at most %d requests in flight at a server, "
                    "wasted <= 5 %% when saturated, none refused below\n",
                    SLOTS);
            broken = 1;
          }
      }
  return broken;
}

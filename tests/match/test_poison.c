/* Guards against a request that ends one backend server after the other, and
   against the refusal of requests that only ran beside it.  */

#include <glib.h>
#include <math.h>
#include <string.h>

#include "core/cym_match.h"
#include "core/cym_poison.h"
#include "cy_test.h"

#define MS CY_NS_PER_MS
#define S  CY_NS_PER_S

/* ------------------------------------------------------------ table */

enum op
{
  OP_END = 1,       /* this process saw that SERVER ended under a trial */
  OP_BESIDE,        /* the same, under a request that was no trial */
  OP_HEARD,         /* another placer reported that SERVER ended */
  OP_HEARD_CLEARED, /* another placer reported that the request did not */
  OP_ANSWER,        /* a server answered the request */
  OP_ALIVE,         /* SERVER was alive at PLACED_S */
  OP_TOLD,          /* another placer blocks it for PLACED_S */
  OP_TRIAL,         /* a trial starts */
  OP_TRIAL_END
};

struct step
{
  double at_s;
  enum op op; /* 0: end of the list */
  const char *server;
  uint64_t incarnation;
  double placed_s; /* of OP_ALIVE and OP_TOLD; age in s of OP_HEARD */
};

static const struct
{
  const char *name;
  struct step steps[12];
  double check_s;
  enum cym_poison_state state;
  enum cym_poison_verdict verdict;
  double blocked_s;
} tables[] = {
  { "unknown",
    { { 0, 0, "", 0, 0 } },
    1,
    CYM_POISON_NONE,
    CYM_POISON_PLACE,
    0 },
  { "one server",
    { { 0, OP_END, "a", 1, 0 } },
    1,
    CYM_POISON_SUSPECT,
    CYM_POISON_PLACE,
    0 },
  { "one trial at a time",
    { { 0, OP_END, "a", 1, 0 }, { 0, OP_TRIAL, "", 0, 0 } },
    1,
    CYM_POISON_SUSPECT,
    CYM_POISON_WAIT,
    0 },
  { "the trial has ended",
    { { 0, OP_END, "a", 1, 0 },
      { 0, OP_TRIAL, "", 0, 0 },
      { 1, OP_TRIAL_END, "", 0, 0 } },
    1,
    CYM_POISON_SUSPECT,
    CYM_POISON_PLACE,
    0 },
  { "the same server twice",
    { { 0, OP_END, "a", 1, 0 }, { 0, OP_END, "a", 1, 0 } },
    1,
    CYM_POISON_SUSPECT,
    CYM_POISON_PLACE,
    0 },
  { "a server and its restart",
    { { 0, OP_END, "a", 1, 0 }, { 0, OP_END, "a", 2, 0 } },
    1,
    CYM_POISON_BLOCKED,
    CYM_POISON_REFUSE,
    29 },
  { "two servers",
    { { 0, OP_END, "a", 1, 0 }, { 1, OP_END, "b", 1, 0 } },
    2,
    CYM_POISON_BLOCKED,
    CYM_POISON_REFUSE,
    29 },
  { "two servers at once, none under a trial",
    { { 0, OP_BESIDE, "a", 1, 0 }, { 0, OP_BESIDE, "b", 1, 0 } },
    1,
    CYM_POISON_SUSPECT,
    CYM_POISON_PLACE,
    0 },
  { "two servers at once, then one under a trial",
    { { 0, OP_BESIDE, "a", 1, 0 },
      { 0, OP_BESIDE, "b", 1, 0 },
      { 1, OP_END, "c", 1, 0 } },
    1,
    CYM_POISON_BLOCKED,
    CYM_POISON_REFUSE,
    60 },
  { "one server here, one elsewhere",
    { { 0, OP_END, "a", 1, 0 }, { 1, OP_HEARD, "b", 1, 0.5 } },
    1,
    CYM_POISON_BLOCKED,
    CYM_POISON_REFUSE,
    29.5 },
  { "both elsewhere: a placer without memory",
    { { 10, OP_HEARD, "a", 1, 9 }, { 10, OP_HEARD, "b", 1, 8 } },
    10,
    CYM_POISON_BLOCKED,
    CYM_POISON_REFUSE,
    22 },
  { "an answer clears a suspect",
    { { 0, OP_END, "a", 1, 0 }, { 1, OP_ANSWER, "", 0, 0 } },
    1,
    CYM_POISON_NONE,
    CYM_POISON_PLACE,
    0 },
  { "an answer clears a block",
    { { 0, OP_END, "a", 1, 0 },
      { 0, OP_END, "b", 1, 0 },
      { 1, OP_ANSWER, "", 0, 0 } },
    1,
    CYM_POISON_NONE,
    CYM_POISON_PLACE,
    0 },
  { "heard of again after an answer",
    { { 0, OP_END, "a", 1, 0 },
      { 1, OP_ANSWER, "", 0, 0 },
      { 2, OP_HEARD, "a", 1, 0.1 } },
    2,
    CYM_POISON_NONE,
    CYM_POISON_PLACE,
    0 },
  { "cleared elsewhere",
    { { 0, OP_END, "a", 1, 0 }, { 1, OP_HEARD_CLEARED, "a", 1, 1 } },
    1,
    CYM_POISON_NONE,
    CYM_POISON_PLACE,
    0 },
  { "cleared elsewhere before it was heard of",
    { { 1, OP_HEARD_CLEARED, "a", 1, 1 }, { 1, OP_HEARD, "a", 1, 1 } },
    1,
    CYM_POISON_NONE,
    CYM_POISON_PLACE,
    0 },
  { "the server goes on answering",
    { { 1, OP_END, "a", 1, 0 }, { 2, OP_ALIVE, "a", 1, 1.5 } },
    2,
    CYM_POISON_NONE,
    CYM_POISON_PLACE,
    0 },
  { "an answer to an earlier request proves nothing",
    { { 1, OP_END, "a", 1, 0 }, { 2, OP_ALIVE, "a", 1, 0.5 } },
    2,
    CYM_POISON_SUSPECT,
    CYM_POISON_PLACE,
    0 },
  { "an answer of the restarted server proves nothing",
    { { 1, OP_END, "a", 1, 0 }, { 2, OP_ALIVE, "a", 2, 1.5 } },
    2,
    CYM_POISON_SUSPECT,
    CYM_POISON_PLACE,
    0 },
  { "one of two servers goes on answering",
    { { 0, OP_END, "a", 1, 0 },
      { 0, OP_END, "b", 1, 0 },
      { 1, OP_ALIVE, "a", 1, 0.5 } },
    1,
    CYM_POISON_SUSPECT,
    CYM_POISON_PLACE,
    0 },
  { "blocked by another placer",
    { { 0, OP_TOLD, "", 0, 20 } },
    1,
    CYM_POISON_BLOCKED,
    CYM_POISON_REFUSE,
    19 },
  { "blocked by another placer after an end",
    { { 0, OP_END, "a", 1, 0 }, { 0, OP_TOLD, "", 0, 20 } },
    20,
    CYM_POISON_SUSPECT,
    CYM_POISON_PLACE,
    0 },
  { "another placer's block has ended",
    { { 0, OP_TOLD, "", 0, 20 } },
    20,
    CYM_POISON_NONE,
    CYM_POISON_PLACE,
    0 },
  { "answered in spite of another placer's block",
    { { 0, OP_TOLD, "", 0, 20 }, { 1, OP_ANSWER, "", 0, 0 } },
    1,
    CYM_POISON_NONE,
    CYM_POISON_PLACE,
    0 },
  { "a trial after the block",
    { { 0, OP_END, "a", 1, 0 }, { 0, OP_END, "b", 1, 0 } },
    30,
    CYM_POISON_SUSPECT,
    CYM_POISON_PLACE,
    0 },
  { "one trial after the block",
    { { 0, OP_END, "a", 1, 0 },
      { 0, OP_END, "b", 1, 0 },
      { 30, OP_TRIAL, "", 0, 0 } },
    30,
    CYM_POISON_SUSPECT,
    CYM_POISON_WAIT,
    0 },
  { "the block doubles",
    { { 0, OP_END, "a", 1, 0 },
      { 0, OP_END, "b", 1, 0 },
      { 30, OP_END, "c", 1, 0 } },
    30,
    CYM_POISON_BLOCKED,
    CYM_POISON_REFUSE,
    60 },
  { "the block is bounded",
    { { 0, OP_END, "a", 1, 0 },
      { 0, OP_END, "b", 1, 0 },
      { 0, OP_END, "c", 1, 0 },
      { 0, OP_END, "d", 1, 0 },
      { 0, OP_END, "e", 1, 0 },
      { 0, OP_END, "f", 1, 0 },
      { 0, OP_END, "g", 1, 0 },
      { 0, OP_END, "h", 1, 0 },
      { 0, OP_END, "i", 1, 0 },
      { 0, OP_END, "j", 1, 0 } },
    0,
    CYM_POISON_BLOCKED,
    CYM_POISON_REFUSE,
    480 },
  { "forgotten",
    { { 0, OP_END, "a", 1, 0 }, { 0, OP_END, "b", 1, 0 } },
    901,
    CYM_POISON_NONE,
    CYM_POISON_PLACE,
    0 },
  { "too old to be heard of",
    { { 1000, OP_HEARD, "a", 1, 901 }, { 1000, OP_HEARD, "b", 1, 901 } },
    1000,
    CYM_POISON_NONE,
    CYM_POISON_PLACE,
    0 },
};

static cy_time_ns
at_s (double seconds)
{
  return 5000 * S + (cy_time_ns)(seconds * (double)S);
}

static void
apply (struct cym_poison *poison, const struct step *step)
{
  cy_time_ns now = at_s (step->at_s);
  struct cym_poison_end end = { .fingerprint = 7,
                                .id = step->server,
                                .incarnation = step->incarnation,
                                .trial = true,
                                .at = now };
  switch (step->op)
    {
    case OP_END:
      cym_poison_record (poison, &end, NULL, now);
      break;
    case OP_BESIDE:
      end.trial = false;
      cym_poison_record (poison, &end, NULL, now);
      break;
    case OP_HEARD:
    case OP_HEARD_CLEARED:
      end.at = at_s (step->at_s - step->placed_s);
      end.cleared = step->op == OP_HEARD_CLEARED;
      cym_poison_merge (poison, &end, NULL, now);
      break;
    case OP_ANSWER:
      cym_poison_clear (poison, 7, NULL, now);
      break;
    case OP_ALIVE:
      cym_poison_clear_server (poison, step->server, step->incarnation,
                               at_s (step->placed_s), NULL, now);
      break;
    case OP_TOLD:
      cym_poison_block (poison, 7, now + (cy_time_ns)(step->placed_s * S),
                        now);
      break;
    case OP_TRIAL:
      ck_assert (cym_poison_start_trial (poison, 7, now));
      break;
    case OP_TRIAL_END:
      cym_poison_end_trial (poison, 7);
      break;
    }
}

START_TEST (test_table)
{
  struct cym_poison *poison = cym_poison_create (NULL, NULL);
  cy_time_ns now = at_s (tables[_i].check_s);
  for (const struct step *step = tables[_i].steps; step->op != 0; step++)
    apply (poison, step);
  double blocked_s
      = (double)cym_poison_blocked_time (poison, 7, now) / (double)S;
  ck_assert_msg (cym_poison_get_state (poison, 7, now) == tables[_i].state
                     && cym_poison_check (poison, 7, now) == tables[_i].verdict
                     && fabs (blocked_s - tables[_i].blocked_s) < 1e-6
                     && cym_poison_check (poison, 8, now) == CYM_POISON_PLACE,
                 "%s: state %d, verdict %d, blocked for %g s", tables[_i].name,
                 cym_poison_get_state (poison, 7, now),
                 cym_poison_check (poison, 7, now), blocked_s);
  cym_poison_destroy (poison);
}
END_TEST

/* A blocked request stays when far more suspect ones than the table holds come
   after it.  */
START_TEST (test_bounds)
{
  struct cym_poison *poison = cym_poison_create (NULL, NULL);
  struct cym_poison_end end
      = { .fingerprint = 7, .incarnation = 1, .trial = true };
  static const char *const ids[] = { "a", "b" };
  for (int i = 0; i < 2; i++)
    {
      end.id = ids[i];
      end.at = at_s (0);
      cym_poison_record (poison, &end, NULL, end.at);
    }
  for (uint64_t i = 0; i < 3 * CYM_POISON_ENTRIES_MAX; i++)
    {
      end.fingerprint = 100 + i;
      end.at = at_s (1 + (double)i / 1000);
      cym_poison_record (poison, &end, NULL, end.at);
    }
  ck_assert_uint_eq (cym_poison_count (poison), CYM_POISON_ENTRIES_MAX);
  ck_assert_int_eq (cym_poison_check (poison, 7, at_s (5)), CYM_POISON_REFUSE);
  ck_assert_int_eq (cym_poison_get_state (poison, end.fingerprint, at_s (5)),
                    CYM_POISON_SUSPECT);
  ck_assert_int_eq (cym_poison_get_state (poison, 100, at_s (5)),
                    CYM_POISON_NONE);
  cym_poison_destroy (poison);
}
END_TEST

/* ------------------------------------------------------------ world */

#define REGION_COUNT       3
#define SERVERS_PER_REGION 8
#define SERVER_COUNT       (REGION_COUNT * SERVERS_PER_REGION)
#define ENTRY_VM_COUNT     24 /* of all regions */
#define POISON             1  /* fingerprint of the first poison request */
#define POPULAR            50 /* fingerprint of an object that all ask for */
#define REPORT_MS          60 /* way of a report to another region */
#define HEARTBEAT_MS       250
#define RUN_MS             70 /* time of a request at a server */
#define RESTART_MS         900

/* One server.  */
struct server
{
  bool down;
  uint64_t incarnation;
  cy_time_ns restarts_at;
};

/* One attempt at a request.  */
struct attempt
{
  struct cym_request request;
  unsigned region;
  unsigned attempt; /* 1 or 2 */
  cy_time_ns ends_at;
  bool reset;
  bool placed;
};

/* Report on its way to a region.  */
struct report
{
  cy_time_ns arrives_at;
  unsigned to;
  struct cym_poison_end end;
};

static struct
{
  struct cym_match *matches[REGION_COUNT];
  struct server servers[SERVER_COUNT];
  GQueue attempts; /* struct attempt * that are placed or wait */
  GQueue reports;  /* struct report * in the order of their arrival */
  cy_time_ns now;
  uint64_t seed;
  struct cy_random random;
  unsigned next_entry_vm;
  uint64_t next_fingerprint;
  /* Server I resets the connections of one request in ten.  */
  bool resets[SERVER_COUNT];
  /* Results.  */
  unsigned ended;           /* servers */
  unsigned sent_late;       /* poison requests sent after the third end */
  unsigned popular_sent;    /* requests for the popular object */
  unsigned popular_blocked; /* of them refused as poison */
  unsigned popular_answered;
  cy_time_ns popular_waited; /* longest time that one waited */
  unsigned other_sent;
  unsigned other_answered;
} world;

static const char *const region_names[REGION_COUNT] = { "r0", "r1", "r2" };

static void
put_servers (void)
{
  for (unsigned r = 0; r < REGION_COUNT; r++)
    {
      cym_match_begin_update (world.matches[r]);
      for (unsigned i = 0; i < SERVERS_PER_REGION; i++)
        {
          unsigned index = r * SERVERS_PER_REGION + i;
          char id[8];
          g_snprintf (id, sizeof id, "i%u", index);
          struct cym_server_info info
              = { .id = id,
                  .service = "s",
                  .host = "10.0.0.1",
                  .port = (uint16_t)(100 + index),
                  .zone = "a",
                  .region = region_names[r],
                  .incarnation = world.servers[index].incarnation,
                  .slots = 6 };
          if (!world.servers[index].down)
            cym_match_put_server (world.matches[r], &info, world.now);
        }
      cym_match_end_update (world.matches[r], world.now);
    }
}

static struct cym_match *
create_match (unsigned region)
{
  struct cym_options options = {
    .region = region_names[region],
    .random = &world.random,
    .limits = { .retries = { .window = 10 * S, .ratio = 1, .fixed = 1000 } },
  };
  return cym_match_create (&options);
}

static void
world_create (void)
{
  memset (&world, 0, sizeof world);
  world.now = 1000 * S;
  world.seed = 5;
  world.random = cy_seeded_random (&world.seed);
  world.next_fingerprint = 1000;
  g_queue_init (&world.attempts);
  g_queue_init (&world.reports);
  for (unsigned i = 0; i < SERVER_COUNT; i++)
    world.servers[i].incarnation = 1;
  for (unsigned r = 0; r < REGION_COUNT; r++)
    world.matches[r] = create_match (r);
  put_servers ();
}

static void
world_destroy (void)
{
  g_queue_clear_full (&world.reports, g_free);
  for (unsigned r = 0; r < REGION_COUNT; r++)
    cym_match_destroy (world.matches[r]);
}

static unsigned
index_of (const struct cym_server *server)
{
  return (unsigned)atoi (server->id + 1);
}

static void
start_attempt (struct attempt *attempt)
{
  unsigned index = index_of (attempt->request.server);
  uint64_t fingerprint = attempt->request.fingerprint;
  attempt->placed = true;
  attempt->reset
      = world.resets[index] && cy_random_below (&world.random, 10) == 0;
  attempt->ends_at = world.now + (world.servers[index].down ? 1 : RUN_MS) * MS;
  world.sent_late += fingerprint < POPULAR && world.ended >= 3;
  if (fingerprint == POPULAR)
    world.popular_waited = MAX (world.popular_waited, attempt->request.waited);
}

static void
handle_result (struct attempt *attempt, cy_result result)
{
  if (result == CY_OK)
    {
      start_attempt (attempt);
      return;
    }
  if (result == CY_E_POISON_REQUEST && attempt->request.fingerprint == POPULAR)
    world.popular_blocked++;
  if (result == CY_E_POISON_REQUEST)
    ck_assert_uint_gt (attempt->request.retry_after_ms, 0);
  g_queue_remove (&world.attempts, attempt);
  g_free (attempt);
}

static void
on_decision (struct cym_request *request, cy_result result)
{
  handle_result (request->owner, result);
}

static void
send_attempt (unsigned region, uint64_t fingerprint, unsigned number)
{
  struct attempt *attempt = g_new0 (struct attempt, 1);
  struct cym_request *request = &attempt->request;
  attempt->region = region;
  attempt->attempt = number;
  request->service = "s";
  request->route = "r";
  request->workspace = "";
  request->zone = "a";
  request->entry_vm = 1 + world.next_entry_vm++ % ENTRY_VM_COUNT;
  request->goal_at = world.now + 500 * MS;
  request->deadline_at = world.now + 2000 * MS;
  request->is_retry = number > 1;
  request->fingerprint = fingerprint;
  request->on_decision = on_decision;
  request->owner = attempt;
  g_queue_push_tail (&world.attempts, attempt);
  cy_result result
      = cym_match_place (world.matches[region], request, world.now);
  if (result != CY_E_AGAIN)
    handle_result (attempt, result);
}

static void
send_request (unsigned region, uint64_t fingerprint)
{
  world.popular_sent += fingerprint == POPULAR;
  world.other_sent += fingerprint > POPULAR;
  send_attempt (region, fingerprint, 1);
}

/* Ends server INDEX with all that runs there.  */
static void
end_server (unsigned index)
{
  world.ended++;
  world.servers[index].down = true;
  world.servers[index].restarts_at = world.now + RESTART_MS * MS;
  for (GList *item = world.attempts.head; item != NULL; item = item->next)
    {
      struct attempt *attempt = item->data;
      if (!attempt->placed || index_of (attempt->request.server) != index)
        continue;
      attempt->reset = true;
      attempt->ends_at = world.now;
    }
}

static void
finish_attempt (struct attempt *attempt)
{
  struct cym_load load = { 0 };
  uint64_t fingerprint = attempt->request.fingerprint;
  unsigned index = index_of (attempt->request.server);
  unsigned region = attempt->region;
  unsigned number = attempt->attempt;
  bool refused = world.servers[index].down && !attempt->reset;
  enum cym_outcome outcome = CYM_ANSWERED;
  if (attempt->reset || refused)
    outcome = refused ? CYM_UNREACHABLE : CYM_BROKEN;
  attempt->request.reset = attempt->reset;
  cym_match_finish (world.matches[region], &attempt->request, outcome,
                    outcome == CYM_ANSWERED ? RUN_MS * MS : 0, &load,
                    world.now);
  g_free (attempt);
  if (outcome != CYM_ANSWERED && number == 1)
    send_attempt (region, fingerprint, 2);
  if (outcome != CYM_ANSWERED)
    return;
  world.popular_answered += fingerprint == POPULAR;
  world.other_answered += fingerprint > POPULAR;
}

static struct attempt *
find_ended (void)
{
  for (GList *item = world.attempts.head; item != NULL; item = item->next)
    {
      struct attempt *attempt = item->data;
      if (attempt->placed && attempt->ends_at <= world.now)
        return attempt;
    }
  return NULL;
}

static void
finish_ended (void)
{
  struct attempt *attempt = NULL;
  while ((attempt = find_ended ()) != NULL)
    {
      unsigned index = index_of (attempt->request.server);
      if (attempt->request.fingerprint < POPULAR && !world.servers[index].down)
        end_server (index);
      g_queue_remove (&world.attempts, attempt);
      finish_attempt (attempt);
    }
}

/* Queues END for all regions but the sender.  */
static void
queue_report (const struct cym_poison_end *end, void *context)
{
  const unsigned *from = context;
  for (unsigned r = 0; r < REGION_COUNT; r++)
    {
      if (r == *from)
        continue;
      struct report *report = g_new0 (struct report, 1);
      report->arrives_at = world.now + REPORT_MS * MS;
      report->to = r;
      report->end = *end;
      report->end.id = g_intern_string (end->id);
      /* An age is sent, so the way counts as younger.  */
      report->end.at += REPORT_MS * MS;
      g_queue_push_tail (&world.reports, report);
    }
}

static void
exchange_reports (bool heartbeat)
{
  struct report *report = NULL;
  for (unsigned r = 0; r < REGION_COUNT; r++)
    cym_poison_report (cym_match_poison (world.matches[r]), heartbeat,
                       world.now, queue_report, &r);
  while ((report = g_queue_peek_head (&world.reports)) != NULL
         && report->arrives_at <= world.now)
    {
      cym_match_merge_poison (world.matches[report->to], &report->end,
                              world.now);
      g_free (g_queue_pop_head (&world.reports));
    }
}

static void
restart_servers (void)
{
  bool changed = false;
  for (unsigned i = 0; i < SERVER_COUNT; i++)
    {
      struct server *server = &world.servers[i];
      if (!server->down || server->restarts_at > world.now)
        continue;
      server->down = false;
      server->incarnation++;
      changed = true;
    }
  if (changed)
    put_servers ();
}

/* Requests per second in each region.  */
struct traffic
{
  double poison;    /* of each poison request */
  unsigned poisons; /* different ones */
  double popular;   /* for one object */
  double other;     /* each different */
};

static bool
arrives (double per_s)
{
  return (double)cy_random_below (&world.random, 1000000) / 1e6 < per_s / 1000;
}

static void
world_run (const struct traffic *traffic, int64_t ms)
{
  for (int64_t i = 0; i < ms; i++, world.now += MS)
    {
      finish_ended ();
      restart_servers ();
      exchange_reports (i % HEARTBEAT_MS == 0);
      for (unsigned r = 0; r < REGION_COUNT; r++)
        {
          for (unsigned p = 0; p < traffic->poisons; p++)
            if (arrives (traffic->poison))
              send_request (r, POISON + p);
          if (arrives (traffic->popular))
            send_request (r, POPULAR);
          if (arrives (traffic->other))
            send_request (r, world.next_fingerprint++);
          cym_match_tick (world.matches[r], world.now);
        }
    }
}

static const struct
{
  const char *name;
  struct traffic traffic;
  unsigned ended_max; /* servers */
  unsigned late_max;  /* sent after the third end */
} worlds[] = {
  { "no poison", { 0, 0, 40, 150 }, 0, 0 },
  { "rare", { 0.5, 1, 40, 150 }, 3, 0 },
  { "usual", { 3, 1, 40, 150 }, 5, 2 },
  { "frequent", { 20, 1, 40, 150 }, 9, 8 },
  { "two at once", { 3, 2, 40, 150 }, 9, 6 },
};

START_TEST (test_world)
{
  world_create ();
  world_run (&worlds[_i].traffic, 25000);
  struct traffic none = { 0 };
  world_run (&none, 3000);
  ck_assert_msg (
      world.ended <= worlds[_i].ended_max
          && world.sent_late <= worlds[_i].late_max
          && world.popular_blocked == 0
          && world.popular_waited <= 2 * RUN_MS * MS
          && world.popular_answered >= world.popular_sent * 0.995
          && world.other_answered >= world.other_sent * 0.99,
      "%s: %u servers ended, %u poison requests sent after the third, of %u "
      "for the popular object %u answered and %u blocked, longest wait %g ms; "
      "of %u others %u answered",
      worlds[_i].name, world.ended, world.sent_late, world.popular_sent,
      world.popular_answered, world.popular_blocked,
      (double)world.popular_waited / MS, world.other_sent,
      world.other_answered);
  world_destroy ();
}
END_TEST

/* Servers that reset connections but go on answering block no request.  */
START_TEST (test_resets)
{
  const struct traffic traffic = { 0, 0, 40, 150 };
  const struct traffic none = { 0 };
  world_create ();
  for (unsigned i = 0; i < SERVER_COUNT; i += 4)
    world.resets[i] = true;
  world_run (&traffic, 15000);
  world_run (&none, 3000);
  ck_assert_msg (
      world.popular_blocked <= 2
          && world.popular_answered >= world.popular_sent * 0.98
          && world.other_answered >= world.other_sent * 0.98,
      "of %u for the popular object %u answered, %u blocked, longest wait %g "
      "ms; of %u others %u answered",
      world.popular_sent, world.popular_answered, world.popular_blocked,
      (double)world.popular_waited / MS, world.other_sent,
      world.other_answered);
  world_destroy ();
}
END_TEST

/* A placer that starts without memory learns a block with the first heartbeat
   of its peers.  */
START_TEST (test_new_placer)
{
  const struct traffic traffic = { 3, 1, 40, 150 };
  const struct traffic none = { 0 };
  world_create ();
  world_run (&traffic, 5000);
  world_run (&none, 1000);
  unsigned ended = world.ended;
  ck_assert_uint_ge (ended, 2);
  cym_match_destroy (world.matches[0]);
  world.matches[0] = create_match (0);
  put_servers ();
  world_run (&none, HEARTBEAT_MS + REPORT_MS + 1);
  world_run (&traffic, 10000);
  ck_assert_uint_eq (world.ended, ended);
  world_run (&none, 3000);
  world_destroy ();
}
END_TEST

/* An adopted request that is answered proves nothing about its server; one
   whose connection ends counts.  */
START_TEST (test_adopted)
{
  struct cym_load load = { 0 };
  world_create ();
  for (int i = 0; i < 2; i++)
    {
      struct cym_request request = { .service = "s",
                                     .route = "r",
                                     .workspace = "",
                                     .zone = "a",
                                     .fingerprint = POISON,
                                     .reset = true };
      ck_assert (cym_match_adopt (world.matches[0], &request,
                                  i == 0 ? "i0" : "i1", 1, world.now));
      cym_match_finish (world.matches[0], &request, CYM_BROKEN, 0, &load,
                        world.now);
      struct cym_request other = { .service = "s",
                                   .route = "r",
                                   .workspace = "",
                                   .zone = "a",
                                   .fingerprint = POPULAR };
      ck_assert (cym_match_adopt (world.matches[0], &other,
                                  i == 0 ? "i0" : "i1", 1, world.now));
      cym_match_finish (world.matches[0], &other, CYM_ANSWERED, MS, &load,
                        world.now + MS);
    }
  ck_assert_int_eq (cym_poison_check (cym_match_poison (world.matches[0]),
                                      POISON, world.now + MS),
                    CYM_POISON_REFUSE);
  world_destroy ();
}
END_TEST

/* Signs of life of a server that reset the connection of a request 100 ms
   after the start, and those of others again and again.  */
static const struct
{
  const char *name;
  int64_t placed_ms; /* of a request that the server answers */
  int64_t answer_ms; /* from then to the first byte of the answer */
  enum cym_outcome outcome;
  bool shows_life;
} signs[] = {
  { "placed and answered before", 10, 60, CYM_ANSWERED, false },
  { "answered soon after, may be on its way", 10, 200, CYM_ANSWERED, false },
  { "answered late", 10, 300, CYM_ANSWERED, true },
  { "placed later", 101, 20, CYM_ANSWERED, true },
  { "placed later, an error", 101, 20, CYM_ERROR, true },
  { "placed later, not run", 101, 20, CYM_NOT_RUN, true },
  { "placed later, timed out", 101, 0, CYM_TIMED_OUT, false },
  { "placed later, broken", 101, 20, CYM_BROKEN, false },
  { "placed later, cancelled", 101, 0, CYM_CANCELLED, false },
};

START_TEST (test_signs_of_life)
{
  struct cym_load load = { 0 };
  struct cym_request others[8];
  struct cym_request poison = { .service = "s",
                                .route = "r",
                                .workspace = "",
                                .zone = "a",
                                .goal_at = 2000 * S,
                                .deadline_at = 2000 * S };
  struct cym_request answered = poison;
  world_create ();
  cy_time_ns start = world.now;
  /* One server is left.  */
  for (unsigned i = 1; i < SERVER_COUNT; i++)
    world.servers[i].down = true;
  put_servers ();
  struct cym_match *match = world.matches[0];
  poison.fingerprint = POISON;
  poison.reset = true;
  answered.fingerprint = POPULAR;
  ck_assert_int_eq (cym_match_place (match, &poison, start), CY_OK);
  if (signs[_i].placed_ms < 100)
    ck_assert_int_eq (
        cym_match_place (match, &answered, start + signs[_i].placed_ms * MS),
        CY_OK);
  cym_match_finish (match, &poison, CYM_CANCELLED, 0, &load, start + 100 * MS);
  if (signs[_i].placed_ms > 100)
    ck_assert_int_eq (
        cym_match_place (match, &answered, start + signs[_i].placed_ms * MS),
        CY_OK);
  for (unsigned i = 0; i < G_N_ELEMENTS (others); i++)
    {
      cy_time_ns now = start + (105 + i * 20) * MS;
      others[i] = poison;
      others[i].fingerprint = 1000 + i;
      ck_assert_int_eq (cym_match_place (match, &others[i], now), CY_OK);
      cym_match_finish (match, &others[i], CYM_CANCELLED, 0, &load, now + MS);
    }
  cy_time_ns end = start + 500 * MS;
  cym_match_finish (match, &answered, signs[_i].outcome,
                    signs[_i].answer_ms * MS, &load, end);
  bool cleared = cym_poison_get_state (cym_match_poison (match), POISON, end)
                 == CYM_POISON_NONE;
  ck_assert_msg (cleared == signs[_i].shows_life, "%s: %s", signs[_i].name,
                 cleared ? "cleared" : "suspect");
  world_destroy ();
}
END_TEST

static void
ignore_decision (struct cym_request *request, cy_result result)
{
  (void)request;
  (void)result;
}

/* Many copies of a suspect request don't fill the queue for other requests. */
START_TEST (test_held)
{
  struct cym_load load = { 0 };
  struct cym_request held[600];
  struct cym_request running[SERVERS_PER_REGION * 6];
  unsigned waiting = 0;
  world_create ();
  struct cym_match *match = world.matches[0];
  struct cym_request poison = { .service = "s",
                                .route = "r",
                                .workspace = "",
                                .zone = "a",
                                .fingerprint = POISON,
                                .reset = true,
                                .goal_at = 2000 * S,
                                .deadline_at = 2000 * S,
                                .on_decision = ignore_decision };
  struct cym_request trial = poison;
  struct cym_request other = poison;
  other.fingerprint = POPULAR;
  ck_assert_int_eq (cym_match_place (match, &poison, world.now), CY_OK);
  cym_match_finish (match, &poison, CYM_BROKEN, 0, &load, world.now);
  ck_assert_int_eq (cym_match_place (match, &trial, world.now), CY_OK);
  for (unsigned i = 0; i < G_N_ELEMENTS (held); i++)
    {
      held[i] = trial;
      cy_result result = cym_match_place (match, &held[i], world.now);
      ck_assert (result == CY_E_AGAIN || result == CY_E_POISON_REQUEST);
      waiting += result == CY_E_AGAIN;
    }
  ck_assert_uint_ge (waiting, 1);
  /* All slots are in use: OTHER waits for one, and for few others.  */
  for (unsigned i = 0; i < SERVERS_PER_REGION * 6 - 1; i++)
    {
      running[i] = other;
      running[i].fingerprint = 1000 + i;
      cym_match_place (match, &running[i], world.now);
    }
  ck_assert_uint_le (waiting, 16);
  ck_assert_int_eq (cym_match_place (match, &other, world.now), CY_E_AGAIN);
  /* The rest of the world is not played: it owns no request.  */
  for (unsigned i = 0; i < G_N_ELEMENTS (held); i++)
    cym_match_cancel (match, &held[i]);
  cym_match_cancel (match, &other);
  world_destroy ();
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("poison");
  TCase *tcase = tcase_create ("poison");
  tcase_add_loop_test (tcase, test_table, 0, G_N_ELEMENTS (tables));
  tcase_add_test (tcase, test_bounds);
  tcase_add_loop_test (tcase, test_world, 0, G_N_ELEMENTS (worlds));
  tcase_add_test (tcase, test_resets);
  tcase_add_test (tcase, test_new_placer);
  tcase_add_test (tcase, test_adopted);
  tcase_add_test (tcase, test_held);
  tcase_add_loop_test (tcase, test_signs_of_life, 0, G_N_ELEMENTS (signs));
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}

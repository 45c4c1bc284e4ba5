/* Loans of slots to other regions while servers appear, disappear and restart
   under the same names.  */

#include "core/cym_loans.h"
#include "match_world.h"

#define SERVERS 4
#define SLOTS   5
#define SEEDS   200
#define STEPS   200

struct loan_counts
{
  unsigned lent_to[2]; /* slots lent, by index of the borrowing region */
  unsigned faults;     /* loans of incarnations that cannot lend */
  const char *server;  /* counts only loans of this server, NULL: of all */
};

static const char *const regions[] = { "r2", "r3" };
static uint64_t incarnations[SERVERS];
static bool listed[SERVERS];
static bool draining[SERVERS];

static void
count_loan (const struct cym_loan *loan, void *context)
{
  struct loan_counts *loan_counts = context;
  const struct cym_server *server = cym_match_find (sim.match, loan->server);
  if (loan_counts->server != NULL
      && strcmp (loan_counts->server, loan->server) != 0)
    return;
  loan_counts->lent_to[strcmp (loan->region, regions[0]) != 0] += loan->slots;
  loan_counts->faults += server == NULL
                         || server->incarnation != loan->incarnation
                         || !server->listed || server->draining;
}

static struct loan_counts
count_loans (struct cym_loans *loans, const char *server)
{
  struct loan_counts loan_counts = { .server = server };
  cym_loans_each (loans, count_loan, &loan_counts);
  return loan_counts;
}

static void
update_servers (void)
{
  cym_match_begin_update (sim.match);
  for (unsigned i = 0; i < SERVERS; i++)
    {
      char id[8];
      if (!listed[i])
        continue;
      g_snprintf (id, sizeof id, "i%u", i);
      struct cym_server_info info = { .id = id,
                                      .service = "s",
                                      .host = "10.0.0.1",
                                      .port = (uint16_t)(100 + i),
                                      .zone = "a",
                                      .region = "r1",
                                      .incarnation = incarnations[i],
                                      .slots = SLOTS,
                                      .draining = draining[i] };
      cym_match_put_server (sim.match, &info, sim.now);
    }
  cym_match_end_update (sim.match, sim.now);
}

static void
create_servers (void)
{
  sim_create ();
  for (unsigned i = 0; i < SERVERS; i++)
    {
      incarnations[i] = 1;
      listed[i] = true;
      draining[i] = false;
    }
  update_servers ();
}

/* A server restarts while a request still runs at its former incarnation: the
   matcher has two incarnations with one name for a while.  Guards against
   slots that are counted at the wrong incarnation.  */
START_TEST (test_starts_anew)
{
  create_servers ();
  struct cym_loans *loans = cym_loans_create (sim.match);
  cym_loans_set (loans, "r2", "s", 8, sim.now);
  ck_assert_uint_eq (count_loans (loans, NULL).lent_to[0], 8);
  struct cym_server *former = cym_match_find (sim.match, "i0");
  former->in_flight = 1;
  incarnations[0] = 2;
  update_servers ();
  ck_assert_ptr_ne (cym_match_find (sim.match, "i0"), former);
  cym_loans_set (loans, "r2", "s", 1, sim.now);
  ck_assert_uint_eq (count_loans (loans, NULL).lent_to[0], 1);
  cym_loans_set (loans, "r2", "s", 8, sim.now);
  struct loan_counts loan_counts = count_loans (loans, NULL);
  ck_assert_uint_eq (loan_counts.lent_to[0], 8);
  ck_assert_uint_eq (loan_counts.faults, 0);
  former->in_flight = 0;
  cym_loans_destroy (loans);
  sim_destroy ();
}
END_TEST

/* Random changes of the servers.  A server must lend fewer slots than it has,
   and the lent slots that are counted at a server must be those of the
   loans.  */
START_TEST (test_lent_slots_match_loans)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      create_servers ();
      sim.seed = seed;
      struct cym_loans *loans = cym_loans_create (sim.match);
      for (int step = 0; step < STEPS; step++)
        {
          unsigned i = (unsigned)cy_random_below (&sim.random, SERVERS);
          char id[8];
          g_snprintf (id, sizeof id, "i%u", i);
          struct cym_server *server = cym_match_find (sim.match, id);
          switch (cy_random_below (&sim.random, 6))
            {
            case 0:
              incarnations[i]++;
              break;
            case 1:
              listed[i] = !listed[i];
              break;
            case 2:
              draining[i] = !draining[i];
              break;
            case 3:
              if (server != NULL)
                server->in_flight = !server->in_flight;
              break;
            case 4:
              if (server != NULL)
                server->ejected_until = sim.now + 100 * SIM_MS;
              break;
            default:
              break;
            }
          sim.now += 30 * SIM_MS;
          update_servers ();
          uint32_t wanted[2];
          for (unsigned r = 0; r < 2; r++)
            {
              wanted[r] = (uint32_t)cy_random_below (&sim.random, 12);
              cym_loans_set (loans, regions[r], "s", wanted[r], sim.now);
            }
          struct loan_counts loan_counts = count_loans (loans, NULL);
          ck_assert_uint_le (loan_counts.lent_to[0], wanted[0]);
          ck_assert_uint_le (loan_counts.lent_to[1], wanted[1]);
          ck_assert_uint_eq (loan_counts.faults, 0);
          for (unsigned k = 0; k < SERVERS; k++)
            {
              g_snprintf (id, sizeof id, "i%u", k);
              server = cym_match_find (sim.match, id);
              loan_counts = count_loans (loans, id);
              unsigned lent_out = server == NULL ? 0 : server->lent_out;
              ck_assert_uint_eq (lent_out, loan_counts.lent_to[0]
                                               + loan_counts.lent_to[1]);
              ck_assert_uint_lt (lent_out, SLOTS);
            }
        }
      cym_loans_destroy (loans);
      sim_destroy ();
    }
}
END_TEST

/* A loan of one incarnation must not be used with another one.  */
START_TEST (test_loan_of_other_incarnation)
{
  create_servers ();
  sim_put_servers (1, 4, 0, 6);
  struct cym_server *remote = cym_match_find (sim.match, "i40");
  cym_match_set_loan (sim.match, "i40", 2, 3, sim.now);
  ck_assert_uint_eq (remote->borrowed, 0);
  cym_match_set_loan (sim.match, "i40", 1, 3, sim.now);
  ck_assert_uint_eq (remote->borrowed, 3);
  sim_destroy ();
}
END_TEST

/* Slots that a region needs in every heartbeat interval, and bounds of the
   slots that it has on loan after the fourth interval, one second later.  */
static const struct
{
  const char *pattern;
  double remote_only; /* slots for requests that only the lender may serve */
  double spillover;   /* slots for other requests */
  uint32_t min;
  uint32_t max;
} ramps[] = {
  { "requests that only the lender may serve", 90, 0, 90, 90 },
  { "requests that find no free slot in their region", 0, 90, 8, 8 },
  { "both", 90, 90, 98, 98 },
  { "fewer slots than the smallest loan", 0.1, 0.1, 0, 0 },
};

START_TEST (test_ramps)
{
  struct cym_loan_target target = { 0 };
  uint32_t slots = 0;
  for (int interval = 0; interval < 4; interval++)
    slots = cym_loan_target_step (&target, ramps[_i].remote_only,
                                  ramps[_i].spillover);
  ck_assert_msg (slots >= ramps[_i].min && slots <= ramps[_i].max, "%s: %u",
                 ramps[_i].pattern, slots);
  for (int interval = 0; interval < 60; interval++)
    slots = cym_loan_target_step (&target, 0, 0);
  ck_assert_uint_eq (slots, 0);
}
END_TEST

/* Fair share of the slots of a region for requests that only this region may
   serve.  */
static const struct
{
  const char *pattern;
  /* Local slots, slots wanted by local callers, borrowed slots in use.  */
  struct cym_demand demand;
  double remote_only; /* slots wanted by other regions, only here */
  double min;         /* bounds of the share */
  double max;
} shares[] = {
  { "slots for all", { 80, 40, 0 }, 20, 1, 1 },
  { "slightly too few slots", { 80, 80, 0 }, 20, 0.79, 0.81 },
  { "overload by local callers", { 84, 820, 0 }, 20, 0.09, 0.11 },
  { "overload by local callers, part of them served by other regions",
    { 84, 820, 252 },
    20,
    0.39,
    0.41 },
  { "local callers have enough slots in other regions",
    { 84, 200, 150 },
    20,
    1,
    1 },
  { "no local slots", { 0, 820, 0 }, 20, 0, 0 },
  { "no demand", { 0, 0, 0 }, 0, 1, 1 },
};

START_TEST (test_shares)
{
  double ratio = cym_loan_target_fair_share (&shares[_i].demand,
                                             shares[_i].remote_only);
  ck_assert_msg (ratio >= shares[_i].min && ratio <= shares[_i].max,
                 "%s: %.2f", shares[_i].pattern, ratio);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("loans");
  TCase *tcase = tcase_create ("loans");
  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, test_starts_anew);
  tcase_add_test (tcase, test_lent_slots_match_loans);
  tcase_add_test (tcase, test_loan_of_other_incarnation);
  tcase_add_loop_test (tcase, test_shares, 0, G_N_ELEMENTS (shares));
  tcase_add_loop_test (tcase, test_ramps, 0, G_N_ELEMENTS (ramps));
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}

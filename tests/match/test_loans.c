/* Loans of slots to other regions, while servers come, go and start anew under
   the same names.  */

#include "core/cym_loans.h"
#include "match_world.h"

#define SERVERS 4
#define SLOTS   5
#define SEEDS   200
#define STEPS   200

struct census
{
  unsigned to[2];     /* slots lent, by region */
  unsigned faults;    /* loans of an incarnation that cannot lend */
  const char *server; /* counts the loans of this one alone, NULL: all */
};

static const char *const regions[] = { "r2", "r3" };
static uint64_t born[SERVERS];
static bool listed[SERVERS];
static bool draining[SERVERS];

static void
count (const struct cym_loan *loan, void *context)
{
  struct census *census = context;
  const struct cym_server *server = cym_match_find (world.match, loan->server);
  if (census->server != NULL && strcmp (census->server, loan->server) != 0)
    return;
  census->to[strcmp (loan->region, regions[0]) != 0] += loan->slots;
  census->faults += server == NULL || server->born != loan->born
                    || !server->listed || server->draining;
}

static struct census
take_census (struct cym_loans *loans, const char *server)
{
  struct census census = { .server = server };
  cym_loans_each (loans, count, &census);
  return census;
}

static void
put_servers (void)
{
  cym_match_begin (world.match);
  for (unsigned i = 0; i < SERVERS; i++)
    {
      char id[8];
      if (!listed[i])
        continue;
      g_snprintf (id, sizeof id, "i%u", i);
      struct cym_server_info facts = { .id = id,
                                       .service = "s",
                                       .host = "10.0.0.1",
                                       .port = (uint16_t)(100 + i),
                                       .zone = "a",
                                       .region = "r1",
                                       .born = born[i],
                                       .slots = SLOTS,
                                       .draining = draining[i] };
      cym_match_put (world.match, &facts, world.now);
    }
  cym_match_end (world.match, world.now);
}

static void
start (void)
{
  world_start ();
  for (unsigned i = 0; i < SERVERS; i++)
    {
      born[i] = 1;
      listed[i] = true;
      draining[i] = false;
    }
  put_servers ();
}

/* A server starts anew while a request still runs at its former incarnation:
   both are known under one name for a while.  */
START_TEST (test_starts_anew)
{
  start ();
  struct cym_loans *loans = cym_loans_create (world.match);
  cym_loans_set (loans, "r2", "s", 8, world.now);
  ck_assert_uint_eq (take_census (loans, NULL).to[0], 8);
  struct cym_server *former = cym_match_find (world.match, "i0");
  former->in_flight = 1;
  born[0] = 2;
  put_servers ();
  ck_assert_ptr_ne (cym_match_find (world.match, "i0"), former);
  cym_loans_set (loans, "r2", "s", 1, world.now);
  ck_assert_uint_eq (take_census (loans, NULL).to[0], 1);
  cym_loans_set (loans, "r2", "s", 8, world.now);
  struct census census = take_census (loans, NULL);
  ck_assert_uint_eq (census.to[0], 8);
  ck_assert_uint_eq (census.faults, 0);
  former->in_flight = 0;
  cym_loans_destroy (loans);
  world_stop ();
}
END_TEST

/* Servers lend less than all they have, and what is counted at them is what
   the loans say.  */
START_TEST (test_counts)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      start ();
      world.seed = seed;
      struct cym_loans *loans = cym_loans_create (world.match);
      for (int step = 0; step < STEPS; step++)
        {
          unsigned i = (unsigned)cy_random_below (&world.random, SERVERS);
          char id[8];
          g_snprintf (id, sizeof id, "i%u", i);
          struct cym_server *server = cym_match_find (world.match, id);
          switch (cy_random_below (&world.random, 6))
            {
            case 0:
              born[i]++;
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
                server->ejected_until = world.now + 100 * WORLD_MS;
              break;
            default:
              break;
            }
          world.now += 30 * WORLD_MS;
          put_servers ();
          uint32_t wanted[2];
          for (unsigned r = 0; r < 2; r++)
            {
              wanted[r] = (uint32_t)cy_random_below (&world.random, 12);
              cym_loans_set (loans, regions[r], "s", wanted[r], world.now);
            }
          struct census census = take_census (loans, NULL);
          ck_assert_uint_le (census.to[0], wanted[0]);
          ck_assert_uint_le (census.to[1], wanted[1]);
          ck_assert_uint_eq (census.faults, 0);
          for (unsigned k = 0; k < SERVERS; k++)
            {
              g_snprintf (id, sizeof id, "i%u", k);
              server = cym_match_find (world.match, id);
              census = take_census (loans, id);
              unsigned given = server == NULL ? 0 : server->lent_out;
              ck_assert_uint_eq (given, census.to[0] + census.to[1]);
              ck_assert_uint_lt (given, SLOTS);
            }
        }
      cym_loans_destroy (loans);
      world_stop ();
    }
}
END_TEST

/* A loan of a former incarnation is none of the next one.  */
START_TEST (test_borrowed)
{
  start ();
  world_servers (1, 4, 0, 6);
  struct cym_server *away = cym_match_find (world.match, "i40");
  cym_match_set_loan (world.match, "i40", 2, 3, world.now);
  ck_assert_uint_eq (away->borrowed, 0);
  cym_match_set_loan (world.match, "i40", 1, 3, world.now);
  ck_assert_uint_eq (away->borrowed, 3);
  world_stop ();
}
END_TEST

/* What a region wants from its first beat on, and the slots that it has on
   loan after the fourth, a second later.  */
static const struct
{
  const char *pattern;
  double homed;
  double spill;
  uint32_t least;
  uint32_t most;
} ramps[] = {
  { "requests that only the lender may serve", 90, 0, 90, 90 },
  { "requests that find no room at home", 0, 90, 8, 8 },
  { "both", 90, 90, 98, 98 },
  { "next to nothing", 0.1, 0.1, 0, 0 },
};

START_TEST (test_ramps)
{
  struct cym_loan_target want = { 0 };
  uint32_t slots = 0;
  for (int beat = 0; beat < 4; beat++)
    slots = cym_loan_target_step (&want, ramps[_i].homed, ramps[_i].spill);
  ck_assert_msg (slots >= ramps[_i].least && slots <= ramps[_i].most, "%s: %u",
                 ramps[_i].pattern, slots);
  for (int beat = 0; beat < 60; beat++)
    slots = cym_loan_target_step (&want, 0, 0);
  ck_assert_uint_eq (slots, 0);
}
END_TEST

/* Who gets how much of a region's slots for requests that only it serves.  */
static const struct
{
  const char *pattern;
  struct cym_demand demand; /* own, local, borrowed */
  double homed;
  double least;
  double most;
} shares[] = {
  { "room for all", { 80, 40, 0 }, 20, 1, 1 },
  { "a little short", { 80, 80, 0 }, 20, 0.79, 0.81 },
  { "own callers press", { 84, 820, 0 }, 20, 0.09, 0.11 },
  { "own callers press and go elsewhere", { 84, 820, 252 }, 20, 0.39, 0.41 },
  { "own callers have room elsewhere", { 84, 200, 150 }, 20, 1, 1 },
  { "no slots left", { 0, 820, 0 }, 20, 0, 0 },
  { "nobody wants any", { 0, 0, 0 }, 0, 1, 1 },
};

START_TEST (test_shares)
{
  double part
      = cym_loan_target_fair_share (&shares[_i].demand, shares[_i].homed);
  ck_assert_msg (part >= shares[_i].least && part <= shares[_i].most,
                 "%s: %.2f", shares[_i].pattern, part);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("loans");
  TCase *tcase = tcase_create ("loans");
  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, test_starts_anew);
  tcase_add_test (tcase, test_counts);
  tcase_add_test (tcase, test_borrowed);
  tcase_add_loop_test (tcase, test_shares, 0, G_N_ELEMENTS (shares));
  tcase_add_loop_test (tcase, test_ramps, 0, G_N_ELEMENTS (ramps));
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}

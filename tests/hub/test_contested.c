/* Servers that claim one address: the register and a matcher as a control VM
   uses them, second by second.  The server that answers at the address must be
   the one that is used, whoever else announces the address, and registers that
   receive the announcements in another order must hold the same.  */

#include <glib.h>
#include <string.h>

#include "core/cyc_claims.h"
#include "core/cyc_register.h"
#include "core/cym_internal.h"
#include "cy_test.h"

#define PERIOD_MS    20 /* between requests of one service */
#define CONTACT_S    4  /* after which the server that is there is used */
#define EXPIRY_S     8  /* of a silent server, as in cy-hub */
#define UNSERVED_MAX 1  /* requests of one service in one second */

/* Requests in one second that another server answers: each of three servers is
   tried once a report.  */
#define MISDIRECTED_MAX 3

/* Servers A and D are of service s, B is of service t, C is of a service that
   is not declared.  One character a second: who is at the address, and for
   each server 1 if it reports, d if it reports that it drains, g if it leaves.
 */
static const struct
{
  const char *name;
  const char *present;
  const char *reports[4]; /* of A, B, C and D, NULL: none */
} rows[] = {
  { "one server", "aaaaaaaaaa", { "1111111111" } },
  { "one report of an undeclared service",
    "aaaaaaaaaa",
    { "1111111111", NULL, "..1......." } },
  { "reports of an undeclared service",
    "aaaaaaaaaa",
    { "1111111111", NULL, "..11111111" } },
  { "one report of another service",
    "aaaaaaaaaa",
    { "1111111111", "..1......." } },
  { "reports of another service",
    "aaaaaaaaaaaaaaaa",
    { "1111111111111111", "..11111111111111" } },
  { "one report of the same service",
    "aaaaaaaaaa",
    { "1111111111", NULL, NULL, "..1......." } },
  { "reports of the same service",
    "aaaaaaaaaaaaaaaa",
    { "1111111111111111", NULL, NULL, "..11111111111111" } },
  { "reports of all others",
    "aaaaaaaaaaaaaaaa",
    { "1111111111111111", "..11111111111111", "...1111111111111",
      "....111111111111" } },
  { "crashes, another service follows",
    "aaa..bbbbbbbbbbb",
    { "111.............", ".....11111111111" } },
  { "crashes, a server of the same service follows",
    "aaa..ddddddddddd",
    { "111.............", NULL, NULL, ".....11111111111" } },
  { "drains and leaves, another service follows",
    "aaaa..bbbbbb",
    { "1d1g........", "......111111" } },
  { "late report of a crashed server",
    "aaa..bbbbbbbbbbb",
    { "111.....1.......", ".....11111111111" } },
  { "late report of a crashed server that was forgotten",
    "aaa..bbbbbbbbbbbbbbb",
    { "111...........1.....", ".....111111111111111" } },
  { "two servers in turn, the one that is there reports",
    "aaaaabbbbbaaaaabbbbb",
    { "11111.....11111.....", ".....11111.....11111" } },
  { "two servers in turn, both report",
    "aaaaabbbbbbaaaaaabbbbbb",
    { "11111111111111111111111", "11111111111111111111111" } },
  { "two servers of one service in turn, both report",
    "aaaaaddddddaaaaaadddddd",
    { "11111111111111111111111", NULL, NULL, "11111111111111111111111" } },
};

static const char *const services[] = { "s", "t", "u", "s" };

struct world
{
  struct cyc_register *reg;
  struct cyc_register *peer; /* gets the announcements in reverse order */
  struct cym_match *match;
  struct cyi_document *document;
  cy_time_ns now;
  uint64_t seed;
  struct cy_random random;
};

static void
on_decided (struct cym_request *request, cy_result result)
{
  *(cy_result *)request->owner = result;
}

static void
world_create (struct world *world)
{
  struct cyj_error error;
  struct cym_options options
      = { .region = "r",
          .random = &world->random,
          .limits = { .retries = { .window = 10 * CY_NS_PER_S } } };
  memset (world, 0, sizeof *world);
  world->now = 1000 * CY_NS_PER_S;
  world->seed = 7;
  world->random = cy_seeded_random (&world->seed);
  world->reg = cyc_register_create ();
  world->peer = cyc_register_create ();
  world->match = cym_match_create (&options);
  world->document = cyi_document_create (1);
  cyi_document_add_service (world->document)->name = g_strdup ("s");
  cyi_document_add_service (world->document)->name = g_strdup ("t");
  ck_assert_int_eq (cyi_document_check (world->document, &error), CY_OK);
}

static void
world_destroy (struct world *world)
{
  cym_match_destroy (world->match);
  cyc_register_destroy (world->reg);
  cyc_register_destroy (world->peer);
  cyi_document_destroy (world->document);
}

/* Gives the servers of the register to the matcher, as cyc_dispatch.c does. */
static void
update_servers (struct world *world)
{
  const struct cyc_instance *instance = NULL;
  cym_match_begin_update (world->match);
  CK_LIST_FOREACH (instance, cyc_register_instances (world->reg), entry)
  {
    const Cy__Instance *info = instance->info;
    struct cym_server_info server = {
      .id = info->id,
      .service = info->service,
      .host = info->host,
      .port = (uint16_t)info->port,
      .zone = info->zone,
      .region = "r",
      .incarnation = info->born,
      .slots = info->slots,
      .draining = info->draining,
      .reported_at = instance->last_received,
      .contested = cyc_register_rival (instance, world->document) != NULL,
    };
    if (!info->gone)
      cym_match_put_server (world->match, &server, world->now);
  }
  cym_match_end_update (world->match, world->now);
}

/* Announces server NUMBER, 0 for A, to REG.  */
static void
announce (struct cyc_register *reg, unsigned number, char report,
          uint64_t sequence, cy_time_ns now)
{
  char id[2] = { (char)('a' + number), '\0' };
  Cy__Instance info = CY__INSTANCE__INIT;
  info.id = id;
  info.service = (char *)services[number];
  info.host = (char *)"10.0.0.1";
  info.zone = (char *)"z";
  info.port = 1;
  info.born = 10 + number;
  info.sequence = sequence;
  info.slots = 4;
  info.draining = report == 'd';
  info.gone = report == 'g';
  cyc_register_instance (reg, &info, true, now);
}

/* Announces at the start of a second what ROW says, to the peer in reverse
   order.  */
static void
announce_all (struct world *world, int row, unsigned second)
{
  for (unsigned i = 0; i < 4; i++)
    {
      const char *mine = rows[row].reports[i];
      const char *last = rows[row].reports[3 - i];
      if (mine != NULL && mine[second] != '.')
        announce (world->reg, i, mine[second], second, world->now);
      if (last != NULL && last[second] != '.')
        announce (world->peer, 3 - i, last[second], second, world->now);
    }
  cyc_register_expire (world->reg, world->now, EXPIRY_S * CY_NS_PER_S, 1);
  cyc_register_expire (world->peer, world->now, EXPIRY_S * CY_NS_PER_S, 1);
  update_servers (world);
}

/* Sends one request of SERVICE, with one repeat if another server answers;
   true when server PRESENT ran it.  */
static bool
send_request (struct world *world, const char *service, char present,
              unsigned *misdirected)
{
  char avoid[CYM_NAME_MAX] = "";
  for (int attempt = 0; attempt < 2; attempt++)
    {
      cy_result result = CY_E_AGAIN;
      struct cym_load load = { 0 };
      struct cym_request request = { .service = service,
                                     .route = service,
                                     .workspace = "",
                                     .zone = "z",
                                     .avoid = attempt == 0 ? NULL : avoid,
                                     .goal_at = world->now + CY_NS_PER_S,
                                     .deadline_at = world->now + CY_NS_PER_S,
                                     .on_decision = on_decided,
                                     .owner = &result };
      result = cym_match_place (world->match, &request, world->now);
      if (result != CY_OK)
        {
          cym_match_cancel (world->match, &request);
          return false;
        }
      bool is_there = request.server->id[0] == present;
      enum cym_outcome outcome = is_there         ? CYM_ANSWERED
                                 : present == '.' ? CYM_UNREACHABLE
                                                  : CYM_WRONG_SERVER;
      g_strlcpy (avoid, request.server->id, sizeof avoid);
      *misdirected += outcome == CYM_WRONG_SERVER;
      cym_match_finish (world->match, &request, outcome,
                        is_there ? 5 * CY_NS_PER_MS : 0, &load, world->now);
      if (is_there)
        return true;
    }
  return false;
}

/* True when the server that is there in SECOND has been there and reported for
   long enough to be in use: at once if it is the one of the start.  */
static bool
must_serve (int row, unsigned second)
{
  const char *present = rows[row].present;
  char id = present[second];
  const char *reports = id == '.' ? NULL : rows[row].reports[id - 'a'];
  bool was_there = true;
  if (reports == NULL || reports[second] != '1')
    return false;
  for (unsigned i = 0; i < second; i++)
    was_there = was_there && present[i] == id;
  if (was_there)
    return true;
  if (second < CONTACT_S)
    return false;
  for (unsigned i = second - CONTACT_S; i < second; i++)
    if (present[i] != id || reports[i] != '1')
      return false;
  return true;
}

static void
check_peer (struct world *world, int row)
{
  for (unsigned i = 0; i < 4; i++)
    {
      char id[2] = { (char)('a' + i), '\0' };
      const struct cyc_instance *mine = cyc_register_find (world->reg, id);
      const struct cyc_instance *other = cyc_register_find (world->peer, id);
      ck_assert_msg ((mine == NULL) == (other == NULL), "%s: %s",
                     rows[row].name, id);
      ck_assert_msg (mine == NULL || mine->info->gone == other->info->gone,
                     "%s: %s", rows[row].name, id);
    }
}

START_TEST (test_rows)
{
  struct world world;
  const char *present = rows[_i].present;
  world_create (&world);
  for (unsigned second = 0; second < strlen (present); second++)
    {
      unsigned unserved = 0;
      unsigned misdirected = 0;
      const char *service
          = present[second] == '.' ? "s" : services[present[second] - 'a'];
      announce_all (&world, _i, second);
      for (int ms = 0; ms < 1000; ms += PERIOD_MS)
        {
          unserved += !send_request (&world, service, present[second],
                                     &misdirected);
          send_request (&world, strcmp (service, "s") == 0 ? "t" : "s",
                        present[second], &misdirected);
          world.now += PERIOD_MS * CY_NS_PER_MS;
          cym_match_tick (world.match, world.now);
        }
      check_peer (&world, _i);
      ck_assert_msg (misdirected <= MISDIRECTED_MAX,
                     "%s, second %u: %u misdirected", rows[_i].name, second,
                     misdirected);
      ck_assert_msg (!must_serve (_i, second) || unserved <= UNSERVED_MAX,
                     "%s, second %u: %u requests not served", rows[_i].name,
                     second, unserved);
    }
  world_destroy (&world);
}
END_TEST

/* Servers of other processes that name the address never displace the server
   that goes on reporting, and are bounded in number.  */
START_TEST (test_many_claims)
{
  struct cyc_register *reg = cyc_register_create ();
  cy_time_ns now = CY_NS_PER_S;
  for (unsigned i = 0; i < 1000; i++)
    {
      char id[16];
      Cy__Instance info = CY__INSTANCE__INIT;
      g_snprintf (id, sizeof id, "agent-%u", i);
      info.id = id;
      info.service = info.zone = (char *)"s";
      info.host = (char *)"10.0.0.1";
      info.port = 1;
      info.born = 100 + i;
      now += 500 * CY_NS_PER_MS;
      if (i % 3 == 0)
        announce (reg, 0, '1', i, now);
      cyc_register_instance (reg, &info, true, now);
      const struct cyc_instance *holder = cyc_register_find (reg, "a");
      ck_assert_ptr_nonnull (holder);
      ck_assert (!holder->info->gone);
      ck_assert_uint_le (holder->claims->len, CYC_CLAIMS_MAX);
    }
  cyc_register_destroy (reg);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("contested");
  TCase *all = tcase_create ("all");
  tcase_add_loop_test (all, test_rows, 0, G_N_ELEMENTS (rows));
  tcase_add_test (all, test_many_claims);
  suite_add_tcase (suite, all);
  return cy_test_run (suite);
}

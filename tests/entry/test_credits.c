/* Slot credits of the zone: never more than the slots, over all entry VMs
   together, whatever is killed, restarted or asked; shared out fairly and
   soon.  */

#include <glib.h>
#include <string.h>

#include "core/cyb_credits.h"
#include "cy_test.h"

#define ENTRIES 5
#define SERVERS 3
#define STEP_MS 5

struct entry
{
  char name[16];
  uint32_t held[SERVERS];
  uint32_t used[SERVERS];
  uint32_t waiting;
  cy_time_ns until; /* its lease, as it counts */
};

struct zone
{
  struct cy_fake_clock fake;
  struct cy_clock clock;
  struct cyb_credits *ledger;
  struct entry entries[ENTRIES];
};

static void
put_servers (struct zone *zone, uint32_t slots)
{
  cyb_credits_begin (zone->ledger);
  for (int i = 0; i < SERVERS; i++)
    {
      char name[8];
      Cy__BackendStatus status = CY__BACKEND_STATUS__INIT;
      g_snprintf (name, sizeof name, "b%d", i);
      status.service = (char *)"billing";
      status.instance = name;
      status.slots = slots;
      status.connections = 900;
      cyb_credits_put (zone->ledger, &status);
    }
  cyb_credits_end (zone->ledger);
}

static void
zone_start (struct zone *zone)
{
  memset (zone, 0, sizeof *zone);
  zone->fake.now = CY_NS_PER_S;
  zone->clock = cy_fake_clock_interface (&zone->fake);
  zone->clock.context = &zone->fake;
  zone->ledger = cyb_credits_create (&zone->clock);
  put_servers (zone, 4);
  for (int i = 0; i < ENTRIES; i++)
    g_snprintf (zone->entries[i].name, sizeof zone->entries[i].name, "e%d", i);
}

static void
take_answer (struct zone *zone, struct entry *entry,
             const Cy__SlotAnswer *answer, bool asked)
{
  for (size_t i = 0; i < answer->n_items; i++)
    {
      int server = answer->items[i]->instance[1] - '0';
      uint32_t granted = answer->items[i]->granted;
      entry->held[server]
          = asked ? granted : MIN (entry->held[server], granted);
    }
  if (asked)
    entry->until = zone->fake.now + CYB_CREDITS_LEASE_MS * CY_NS_PER_MS;
}

static void
on_recall (const char *name, const Cy__SlotAnswer *answer, void *context)
{
  struct zone *zone = context;
  take_answer (zone, &zone->entries[name[1] - '0'], answer, false);
}

/* ENTRY asks, as cye_slots_ask does; uses what it gets at once.  */
static void
ask (struct zone *zone, struct entry *entry)
{
  Cy__SlotItem items[SERVERS];
  Cy__SlotItem *pointers[SERVERS];
  char names[SERVERS][8];
  Cy__SlotAsk message = CY__SLOT_ASK__INIT;
  Cy__SlotAnswer answer;
  if (zone->fake.now >= entry->until)
    memset (entry->held, 0, sizeof entry->held);
  for (int i = 0; i < SERVERS; i++)
    {
      cy__slot_item__init (&items[i]);
      g_snprintf (names[i], sizeof names[i], "b%d", i);
      items[i].service = (char *)"billing";
      items[i].instance = names[i];
      items[i].held = MAX (entry->held[i], entry->used[i]);
      items[i].used = entry->used[i];
      items[i].wanted = entry->waiting;
      pointers[i] = &items[i];
    }
  message.items = pointers;
  message.n_items = SERVERS;
  cyb_credits_request (zone->ledger, entry->name, &message, &answer);
  take_answer (zone, entry, &answer, true);
  cyb_credits_answer_clear (&answer);
  cyb_credits_recall (zone->ledger, on_recall, zone);
}

static void
use (struct zone *zone, struct entry *entry)
{
  for (int i = 0; i < SERVERS && zone->fake.now < entry->until; i++)
    while (entry->waiting > 0 && entry->used[i] < entry->held[i])
      {
        entry->used[i]++;
        entry->waiting--;
      }
}

static uint32_t
held_by (const struct entry *entry)
{
  return entry->held[0] + entry->held[1] + entry->held[2];
}

static void
advance (struct zone *zone, int ms)
{
  zone->fake.now += ms * CY_NS_PER_MS;
}

/* A ledger that starts grants nothing for one lease, then shares out.  */
START_TEST (test_learning)
{
  struct zone zone;
  zone_start (&zone);
  zone.entries[0].waiting = 1;
  ask (&zone, &zone.entries[0]);
  ck_assert_uint_eq (held_by (&zone.entries[0]), 0);
  for (int i = 0; i < 600; i++)
    {
      advance (&zone, STEP_MS);
      ask (&zone, &zone.entries[0]);
    }
  ck_assert_uint_ge (held_by (&zone.entries[0]), 1);
  cyb_credits_destroy (zone.ledger);
}
END_TEST

static const struct
{
  uint32_t waiting[ENTRIES];
  uint32_t held[ENTRIES]; /* at least, once settled */
} shares[] = {
  { { 100, 0, 0, 0, 0 }, { 12, 0, 0, 0, 0 } },
  { { 100, 100, 0, 0, 0 }, { 6, 6, 0, 0, 0 } },
  { { 100, 100, 100, 0, 0 }, { 4, 4, 4, 0, 0 } },
  { { 100, 1, 100, 0, 0 }, { 5, 1, 5, 0, 0 } },
  { { 100, 100, 100, 100, 100 }, { 2, 2, 2, 2, 2 } },
  { { 0, 0, 0, 0, 0 }, { 2, 2, 2, 2, 2 } },
};

/* Who wants slots gets a fair share of them within a few asks, also when one
   entry VM held all.  */
START_TEST (test_shares)
{
  struct zone zone;
  zone_start (&zone);
  for (int i = 0; i < 600; i++)
    {
      advance (&zone, STEP_MS);
      for (int e = 0; e < ENTRIES; e++)
        {
          zone.entries[e].waiting = e == 0 ? 100 : 0;
          ask (&zone, &zone.entries[e]);
        }
    }
  for (int i = 0; i < 20; i++)
    {
      advance (&zone, STEP_MS);
      for (int e = 0; e < ENTRIES; e++)
        {
          zone.entries[e].waiting = shares[_i].waiting[e];
          ask (&zone, &zone.entries[e]);
        }
    }
  for (int e = 0; e < ENTRIES; e++)
    ck_assert_msg (held_by (&zone.entries[e]) >= shares[_i].held[e],
                   "e%d holds %u, not %u", e, held_by (&zone.entries[e]),
                   shares[_i].held[e]);
  cyb_credits_destroy (zone.ledger);
}
END_TEST

/* Fewer slots than entry VMs: each gets one in turn.  */
START_TEST (test_turns)
{
  struct zone zone;
  int turns[ENTRIES] = { 0 };
  zone_start (&zone);
  put_servers (&zone, 1);
  for (int i = 0; i < 1000; i++)
    {
      advance (&zone, STEP_MS);
      for (int e = 0; e < ENTRIES; e++)
        {
          struct entry *entry = &zone.entries[e];
          entry->waiting = 10;
          ask (&zone, entry);
          turns[e] += held_by (entry) > 0;
        }
    }
  for (int e = 0; e < ENTRIES; e++)
    ck_assert_msg (turns[e] > 100, "e%d got %d of 1000", e, turns[e]);
  cyb_credits_destroy (zone.ledger);
}
END_TEST

/* Random arrivals, ends, killed entry VMs and restarted ledgers: what entry
   VMs hold or use never exceeds the slots of a server.  */
START_TEST (test_never_above)
{
  uint64_t seed = 1000 + (uint64_t)_i;
  struct cy_random random = cy_seeded_random (&seed);
  struct zone zone;
  uint32_t most = 0;
  zone_start (&zone);
  for (int i = 0; i < 4000; i++)
    {
      advance (&zone, STEP_MS);
      struct entry *entry = &zone.entries[cy_random_below (&random, ENTRIES)];
      entry->waiting = (uint32_t)cy_random_below (&random, 12);
      for (int s = 0; s < SERVERS; s++)
        entry->used[s]
            -= (uint32_t)cy_random_below (&random, entry->used[s] + 1);
      ask (&zone, entry);
      use (&zone, entry);
      if (cy_random_below (&random, 400) == 0)
        {
          memset (entry->held, 0, sizeof entry->held);
          memset (entry->used, 0, sizeof entry->used);
        }
      if (cy_random_below (&random, 800) == 0)
        {
          cyb_credits_destroy (zone.ledger);
          zone.ledger = cyb_credits_create (&zone.clock);
          put_servers (&zone, 4);
        }
      for (int s = 0; s < SERVERS; s++)
        {
          uint32_t sum = 0;
          for (int e = 0; e < ENTRIES; e++)
            sum += MAX (zone.fake.now < zone.entries[e].until
                            ? zone.entries[e].held[s]
                            : 0,
                        zone.entries[e].used[s]);
          most = MAX (most, sum);
          ck_assert_msg (sum <= 4, "seed %d, step %d: %u at b%d", 1000 + _i, i,
                         sum, s);
        }
    }
  ck_assert_uint_eq (most, 4);
  cyb_credits_destroy (zone.ledger);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("ledger");
  TCase *tcase = tcase_create ("ledger");
  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, test_learning);
  tcase_add_loop_test (tcase, test_shares, 0, G_N_ELEMENTS (shares));
  tcase_add_test (tcase, test_turns);
  tcase_add_loop_test (tcase, test_never_above, 0, 8);
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}

/* Slot credits of a zone.  Over all entry VMs they must not exceed the slots,
   also after entry VMs are killed and the ledger restarts, and they must be
   divided fairly within a few requests.  */

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
  uint32_t held[SERVERS]; /* credits */
  uint32_t used[SERVERS]; /* requests in flight */
  uint32_t waiting;       /* requests that wait for a credit */
  cy_time_ns lease_end;   /* end of the lease, as the entry VM counts it */
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
  cyb_credits_begin_update (zone->ledger);
  for (int i = 0; i < SERVERS; i++)
    {
      char name[8];
      Cy__BackendStatus status = CY__BACKEND_STATUS__INIT;
      g_snprintf (name, sizeof name, "b%d", i);
      status.service = (char *)"billing";
      status.instance = name;
      status.slots = slots;
      status.connections = 900;
      cyb_credits_put_server (zone->ledger, &status);
    }
  cyb_credits_end_update (zone->ledger);
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
apply_answer (struct zone *zone, struct entry *entry,
              const Cy__SlotAnswer *answer, bool is_reply)
{
  for (size_t i = 0; i < answer->n_items; i++)
    {
      int server = answer->items[i]->instance[1] - '0';
      uint32_t granted = answer->items[i]->granted;
      entry->held[server]
          = is_reply ? granted : MIN (entry->held[server], granted);
    }
  if (is_reply)
    entry->lease_end = zone->fake.now + CYB_CREDITS_LEASE_MS * CY_NS_PER_MS;
}

static void
on_recall (const char *name, const Cy__SlotAnswer *answer, void *context)
{
  struct zone *zone = context;
  apply_answer (zone, &zone->entries[name[1] - '0'], answer, false);
}

/* Sends a request of ENTRY to the ledger and applies the answer, as the entry
   VM's slots module does.  */
static void
send_request (struct zone *zone, struct entry *entry)
{
  Cy__SlotItem items[SERVERS];
  Cy__SlotItem *pointers[SERVERS];
  char names[SERVERS][8];
  Cy__SlotAsk message = CY__SLOT_ASK__INIT;
  Cy__SlotAnswer answer;
  if (zone->fake.now >= entry->lease_end)
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
  apply_answer (zone, entry, &answer, true);
  cyb_credits_answer_clear (&answer);
  cyb_credits_send_recalls (zone->ledger, on_recall, zone);
}

static void
start_waiting (struct zone *zone, struct entry *entry)
{
  for (int i = 0; i < SERVERS && zone->fake.now < entry->lease_end; i++)
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

/* A new ledger grants nothing for one lease: an earlier ledger's credits may
   still be in use.  */
START_TEST (test_no_grants_at_start)
{
  struct zone zone;
  zone_start (&zone);
  zone.entries[0].waiting = 1;
  send_request (&zone, &zone.entries[0]);
  ck_assert_uint_eq (held_by (&zone.entries[0]), 0);
  for (int i = 0; i < 600; i++)
    {
      advance (&zone, STEP_MS);
      send_request (&zone, &zone.entries[0]);
    }
  ck_assert_uint_ge (held_by (&zone.entries[0]), 1);
  cyb_credits_destroy (zone.ledger);
}
END_TEST

static const struct
{
  uint32_t waiting[ENTRIES];
  uint32_t held[ENTRIES]; /* minimum of credits after 20 requests */
} shares[] = {
  { { 100, 0, 0, 0, 0 }, { 12, 0, 0, 0, 0 } },
  { { 100, 100, 0, 0, 0 }, { 6, 6, 0, 0, 0 } },
  { { 100, 100, 100, 0, 0 }, { 4, 4, 4, 0, 0 } },
  { { 100, 1, 100, 0, 0 }, { 5, 1, 5, 0, 0 } },
  { { 100, 100, 100, 100, 100 }, { 2, 2, 2, 2, 2 } },
  { { 0, 0, 0, 0, 0 }, { 2, 2, 2, 2, 2 } },
};

/* Entry VMs with demand get a fair share of the credits within a few requests,
   also if one entry VM held all of them before.  */
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
          send_request (&zone, &zone.entries[e]);
        }
    }
  for (int i = 0; i < 20; i++)
    {
      advance (&zone, STEP_MS);
      for (int e = 0; e < ENTRIES; e++)
        {
          zone.entries[e].waiting = shares[_i].waiting[e];
          send_request (&zone, &zone.entries[e]);
        }
    }
  for (int e = 0; e < ENTRIES; e++)
    ck_assert_msg (held_by (&zone.entries[e]) >= shares[_i].held[e],
                   "e%d holds %u credits, expected at least %u", e,
                   held_by (&zone.entries[e]), shares[_i].held[e]);
  cyb_credits_destroy (zone.ledger);
}
END_TEST

/* With fewer slots than entry VMs the credits rotate over the entry VMs.  */
START_TEST (test_rotation)
{
  struct zone zone;
  int held_steps[ENTRIES] = { 0 };
  zone_start (&zone);
  put_servers (&zone, 1);
  for (int i = 0; i < 1000; i++)
    {
      advance (&zone, STEP_MS);
      for (int e = 0; e < ENTRIES; e++)
        {
          struct entry *entry = &zone.entries[e];
          entry->waiting = 10;
          send_request (&zone, entry);
          held_steps[e] += held_by (entry) > 0;
        }
    }
  for (int e = 0; e < ENTRIES; e++)
    ck_assert_msg (held_steps[e] > 100,
                   "e%d held a credit in %d of 1000 steps", e, held_steps[e]);
  cyb_credits_destroy (zone.ledger);
}
END_TEST

/* The credits that entry VMs hold or use never exceed a server's slots, with
   random starts and ends of requests, killed entry VMs and restarts of the
   ledger.  */
START_TEST (test_never_above_slots)
{
  uint64_t seed = 1000 + (uint64_t)_i;
  struct cy_random random = cy_seeded_random (&seed);
  struct zone zone;
  uint32_t max_sum = 0;
  zone_start (&zone);
  for (int i = 0; i < 4000; i++)
    {
      advance (&zone, STEP_MS);
      struct entry *entry = &zone.entries[cy_random_below (&random, ENTRIES)];
      entry->waiting = (uint32_t)cy_random_below (&random, 12);
      for (int s = 0; s < SERVERS; s++)
        entry->used[s]
            -= (uint32_t)cy_random_below (&random, entry->used[s] + 1);
      send_request (&zone, entry);
      start_waiting (&zone, entry);
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
            sum += MAX (zone.fake.now < zone.entries[e].lease_end
                            ? zone.entries[e].held[s]
                            : 0,
                        zone.entries[e].used[s]);
          max_sum = MAX (max_sum, sum);
          ck_assert_msg (sum <= 4,
                         "seed %d, step %d: %u credits held or used at b%d",
                         1000 + _i, i, sum, s);
        }
    }
  ck_assert_uint_eq (max_sum, 4);
  cyb_credits_destroy (zone.ledger);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("ledger");
  TCase *tcase = tcase_create ("ledger");
  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, test_no_grants_at_start);
  tcase_add_loop_test (tcase, test_shares, 0, G_N_ELEMENTS (shares));
  tcase_add_test (tcase, test_rotation);
  tcase_add_loop_test (tcase, test_never_above_slots, 0, 8);
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}

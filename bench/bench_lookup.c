/* The lookup table at its design size: 180,000 client blocks of 140 sites.
   Bounds: 1 s to build, 32 MB of memory, and a lookup within six times the
   cost of a bare hash probe in a table with as many entries.  Prints slopes
   for the capacity page.  */

#include <ck_pr.h>
#include <glib.h>
#include <inttypes.h>
#include <pthread.h>
#include <string.h>
#include <time.h>

#include "core/cyl_table.h"
#include "cy_test.h"
#include "entry/cye_lookup.h"
#include "steer/steer_state.h"

#define BLOCK_COUNT         180000
#define SITE_COUNT          140
#define ZONE_COUNT          36
#define REGION_COUNT        10
#define SERVICE_COUNT       10
#define ENTRY_VM_COUNT      730
#define LOOKUP_COUNT        2000000
#define ANSWER_COUNT        200000
#define BUILD_MAX_S         1.0
#define BYTES_MAX           (32.0 * 1024 * 1024)
#define FIND_RATIO_MAX      6.0
#define FLEET_LOOKUPS_PER_S 360000.0 /* lookups a second of the fleet */
#define UPDATE_COUNT        50
#define ROUND_COUNT         5
#define BLOCKS_PER_V6       6 /* one of this many blocks is IPv6 */

static unsigned broken_checks;

static void
check (bool holds, const char *what)
{
  printf ("%s %s\n", holds ? "holds " : "BROKEN", what);
  broken_checks += !holds;
}

static double
now_s (void)
{
  struct timespec now;
  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double)now.tv_sec + (double)now.tv_nsec * 1e-9;
}

static void
free_immediately (void *memory, void *context)
{
  (void)context;
  g_free (memory);
}

static struct cyl_prefix
random_prefix (const struct cy_random *random, bool v6)
{
  struct cyl_prefix prefix = { .address.v6 = v6 };
  unsigned low = v6 ? 32 : 16;
  unsigned high = v6 ? 48 : 24;
  prefix.length = (uint8_t)(low + cy_random_below (random, high - low + 1));
  uint64_t bits = cy_random_next (random);
  if (v6)
    bits = (bits & UINT64_C (0x000fffffffffffff))
           | UINT64_C (0x2000000000000000);
  prefix.address.high = bits & (UINT64_MAX << (64 - prefix.length));
  return prefix;
}

/* Hash table with open addressing and 64-bit keys, as the reference for the
   cost of a bare probe.  */
struct probe_table
{
  uint64_t mask;
  struct
  {
    uint64_t key;
    uint64_t site;
  } * slots;
};

static inline uint64_t
probe_hash (uint64_t key)
{
  key *= UINT64_C (0x9e3779b97f4a7c15);
  return key ^ (key >> 32);
}

static void
probe_put (struct probe_table *table, uint64_t key, uint64_t site)
{
  uint64_t index = probe_hash (key) & table->mask;
  while (table->slots[index].key != 0 && table->slots[index].key != key)
    index = (index + 1) & table->mask;
  table->slots[index].key = key;
  table->slots[index].site = site;
}

static inline uint64_t
probe_find (const struct probe_table *table, uint64_t key)
{
  uint64_t index = probe_hash (key) & table->mask;
  while (table->slots[index].key != 0 && table->slots[index].key != key)
    index = (index + 1) & table->mask;
  return table->slots[index].site;
}

struct blocks
{
  struct cyl_prefix *prefixes;
  struct cyl_address *callers; /* one address in each block */
  struct cyl_table *table;
  struct probe_table probe;
  double build_s;
};

static void
blocks_build (struct blocks *blocks, size_t count)
{
  uint64_t seed = 99;
  struct cy_random random = cy_seeded_random (&seed);
  struct cyl_reclaim reclaim = { free_immediately, NULL };
  blocks->prefixes = g_new (struct cyl_prefix, count);
  blocks->callers = g_new (struct cyl_address, count);
  for (size_t i = 0; i < count; i++)
    {
      struct cyl_prefix prefix
          = random_prefix (&random, i % BLOCKS_PER_V6 == 0);
      blocks->prefixes[i] = prefix;
      blocks->callers[i] = prefix.address;
      blocks->callers[i].high |= cy_random_next (&random) >> prefix.length;
    }
  double start = now_s ();
  blocks->table = cyl_table_create (&reclaim);
  for (size_t i = 0; i < count; i++)
    cyl_table_put (blocks->table, &blocks->prefixes[i],
                   (uint16_t)(i % SITE_COUNT));
  blocks->build_s = now_s () - start;
  size_t slots = 1;
  while (slots < 2 * count)
    slots *= 2;
  blocks->probe.mask = slots - 1;
  blocks->probe.slots = g_malloc0 (slots * sizeof *blocks->probe.slots);
  for (size_t i = 0; i < count; i++)
    probe_put (&blocks->probe, blocks->callers[i].high | 1, i % SITE_COUNT);
}

static void
blocks_free (struct blocks *blocks)
{
  cyl_table_destroy (blocks->table);
  g_free (blocks->prefixes);
  g_free (blocks->callers);
  g_free (blocks->probe.slots);
}

/* Returns the time of one lookup in ns, in the table or with a bare probe: the
   shortest of ROUND_COUNT rounds.  */
static double
find_ns (const struct blocks *blocks, size_t count, bool is_bare_probe)
{
  double best_ns = 1e9;
  uint64_t sum = 0;
  for (unsigned round = 0; round < ROUND_COUNT; round++)
    {
      uint64_t seed = 3;
      double start = now_s ();
      for (size_t i = 0; i < LOOKUP_COUNT; i++)
        {
          seed = seed * UINT64_C (6364136223846793005) + 1442695040888963407U;
          size_t index = (size_t)((seed >> 33) * count >> 31);
          const struct cyl_address *caller = &blocks->callers[index];
          sum += is_bare_probe ? probe_find (&blocks->probe, caller->high | 1)
                               : cyl_table_find (blocks->table, caller);
        }
      best_ns = MIN (best_ns, (now_s () - start) / LOOKUP_COUNT * 1e9);
    }
  if (sum == 1)
    printf ("\n");
  return best_ns;
}

static void
bench_table (void)
{
  static const size_t counts[] = { 20000, 60000, BLOCK_COUNT };
  printf ("| blocks | build ms | MB | find ns | bare probe ns | ratio |\n"
          "|---|---|---|---|---|---|\n");
  double first_bytes = 0;
  for (size_t i = 0; i < G_N_ELEMENTS (counts); i++)
    {
      struct blocks blocks;
      blocks_build (&blocks, counts[i]);
      double bytes = (double)cyl_table_bytes (blocks.table);
      double lookup_ns = find_ns (&blocks, counts[i], false);
      double bare_probe_ns = find_ns (&blocks, counts[i], true);
      printf ("| %zu | %.1f | %.1f | %.1f | %.1f | %.2f |\n", counts[i],
              blocks.build_s * 1e3, bytes / 1048576, lookup_ns, bare_probe_ns,
              lookup_ns / bare_probe_ns);
      if (i == 0)
        first_bytes = bytes;
      if (counts[i] == BLOCK_COUNT)
        {
          check (blocks.build_s <= BUILD_MAX_S, "built in 1 s");
          check (bytes <= BYTES_MAX, "32 MB");
          check (lookup_ns <= FIND_RATIO_MAX * bare_probe_ns,
                 "six bare hash probes");
          printf ("slope lookup_bytes_per_block %.1f bytes\n",
                  (bytes - first_bytes) / (double)(BLOCK_COUNT - counts[0]));
          printf ("slope lookup_find %.1f ns\n", lookup_ns);
        }
      blocks_free (&blocks);
    }
}

/* ------------------------------------------------------------ answers */

struct fleet
{
  struct cys_state *state;
  struct cyt_soft_state *soft;
  struct cye_lookup *lookup;
  struct cy_fake_clock fake;
  struct cy_clock clock;
};

static void
fleet_declare (struct fleet *fleet)
{
  char name[32];
  char region[32];
  for (int s = 0; s < SERVICE_COUNT; s++)
    {
      g_snprintf (name, sizeof name, "service-%d", s);
      steer_declare_service (fleet->state, name);
    }
  for (int z = 0; z < ZONE_COUNT; z++)
    {
      g_snprintf (name, sizeof name, "zone-%d", z);
      g_snprintf (region, sizeof region, "region-%d", z % REGION_COUNT);
      steer_declare_zone (fleet->state, name, region);
    }
  for (int e = 0; e < ENTRY_VM_COUNT; e++)
    {
      char vm[32];
      g_snprintf (vm, sizeof vm, "entry-%d", e);
      g_snprintf (name, sizeof name, "zone-%d", e % ZONE_COUNT);
      steer_put_entry (fleet->soft, vm, name, "serving");
    }
}

static void
fleet_declare_blocks (struct fleet *fleet)
{
  uint64_t seed = 99;
  struct cy_random random = cy_seeded_random (&seed);
  size_t blocks_per_site = BLOCK_COUNT / SITE_COUNT;
  for (int site = 0; site < SITE_COUNT; site++)
    {
      char name[32];
      char region[32];
      char **prefixes = g_new0 (char *, blocks_per_site + 1);
      for (size_t i = 0; i < blocks_per_site; i++)
        {
          struct cyl_prefix prefix = random_prefix (&random, false);
          uint32_t bits = (uint32_t)(prefix.address.high >> 32);
          prefixes[i] = g_strdup_printf ("%u.%u.%u.%u/%u", bits >> 24,
                                         (bits >> 16) & 255, (bits >> 8) & 255,
                                         bits & 255, prefix.length);
        }
      g_snprintf (name, sizeof name, "site-%d", site);
      g_snprintf (region, sizeof region, "region-%d", site % REGION_COUNT);
      steer_declare_blocks (fleet->state, name, region, prefixes,
                            blocks_per_site);
      g_strfreev (prefixes);
    }
}

static double
update_ms (struct fleet *fleet)
{
  double start = now_s ();
  cye_lookup_update (fleet->lookup, fleet->state, fleet->soft);
  return (now_s () - start) * 1e3;
}

static double
answer_ns (struct fleet *fleet)
{
  struct cye_answer answer;
  char client[32];
  double start = now_s ();
  for (unsigned i = 0; i < ANSWER_COUNT; i++)
    {
      g_snprintf (client, sizeof client, "%u.%u.%u.%u", i * 7 % 223 + 1,
                  i % 256, i / 256 % 256, i % 251);
      cye_lookup_answer (fleet->lookup, client, "service-3", &answer);
    }
  return (now_s () - start) / ANSWER_COUNT * 1e9;
}

static void
bench_answers (void)
{
  struct fleet fleet
      = { .state = cys_state_create (), .soft = cyt_soft_state_create (1) };
  fleet.fake.now = CY_NS_PER_S;
  fleet.clock = cy_fake_clock_interface (&fleet.fake);
  fleet_declare (&fleet);
  fleet_declare_blocks (&fleet);
  fleet.lookup = cye_lookup_create ("zone-0", "region-0", &fleet.clock, NULL);
  double first_update_ms = update_ms (&fleet);
  char *new_prefixes[] = { (char *)"203.0.113.0/24" };
  steer_declare_blocks (fleet.state, "site-new", "region-1", new_prefixes, 1);
  double block_update_ms = update_ms (&fleet);
  double entry_update_ms = 0;
  for (unsigned i = 0; i < UPDATE_COUNT; i++)
    {
      steer_put_entry (fleet.soft, "entry-7", "zone-7",
                       i % 2 == 0 ? "leaving" : "serving");
      entry_update_ms += update_ms (&fleet) / UPDATE_COUNT;
    }
  double lookup_ns = answer_ns (&fleet);
  printf (
      "\n| whole look-up | value |\n|---|---|\n"
      "| first update, %d blocks, %d entry VMs, %d zones | %.1f ms |\n"
      "| update after one block changed | %.2f ms |\n"
      "| update after one entry VM changed | %.2f ms |\n"
      "| answer (text of the caller's IP number to entry VMs) | %.0f ns |\n"
      "| look-ups a second of one core | %.0f |\n"
      "| share of one core at %.0f look-ups/s over %d VMs | %.3f %% |\n",
      BLOCK_COUNT, ENTRY_VM_COUNT, ZONE_COUNT, first_update_ms,
      block_update_ms, entry_update_ms, lookup_ns, 1e9 / lookup_ns,
      FLEET_LOOKUPS_PER_S, ENTRY_VM_COUNT,
      FLEET_LOOKUPS_PER_S / ENTRY_VM_COUNT * lookup_ns / 1e9 * 100);
  printf ("slope lookup_answer %.0f ns\n", lookup_ns);
  printf ("slope lookup_update %.2f ms\n", entry_update_ms);
  check (FLEET_LOOKUPS_PER_S / ENTRY_VM_COUNT * lookup_ns / 1e9 < 0.013,
         "look-ups within 1.3 % of a core of each VM");
  cye_lookup_destroy (fleet.lookup);
  cyt_soft_state_destroy (fleet.soft);
  cys_state_destroy (fleet.state);
}

int
main (void)
{
  bench_table ();
  bench_answers ();
  return broken_checks == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

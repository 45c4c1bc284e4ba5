/* Lookup table: finds the longest matching prefix before, during and after
   changes, with the same result as a linear search over all prefixes.  */

#include <ck_pr.h>
#include <glib.h>
#include <pthread.h>

#include "core/cyl_table.h"
#include "cy_test.h"

static void
free_immediately (void *memory, void *context)
{
  (void)context;
  g_free (memory);
}

static const struct cyl_reclaim reclaim_immediately
    = { free_immediately, NULL };

struct parse_row
{
  const char *text;
  cy_result result;
  unsigned length;
};

static const struct parse_row parse_rows[] = {
  { "10.1.0.0/16", CY_OK, 16 },
  { "10.1.2.3", CY_OK, 32 },
  { "0.0.0.0/0", CY_OK, 0 },
  { "::/0", CY_OK, 0 },
  { "2001:db8::/32", CY_OK, 32 },
  { "2001:db8::1", CY_OK, 128 },
  { "2001:db8:0:1::/64", CY_OK, 64 },
  { "10.1.0.1/16", CY_E_BLOCK_INVALID, 0 },
  { "10.0.0.0/33", CY_E_BLOCK_INVALID, 0 },
  { "10.0.0.0/", CY_E_BLOCK_INVALID, 0 },
  { "10.0.0.0/-1", CY_E_BLOCK_INVALID, 0 },
  { "10.0.0.0/8x", CY_E_BLOCK_INVALID, 0 },
  { "2001:db8::1/64", CY_E_BLOCK_INVALID, 0 },
  { "2001:db8::/129", CY_E_BLOCK_INVALID, 0 },
  { "", CY_E_BLOCK_INVALID, 0 },
  { "site", CY_E_BLOCK_INVALID, 0 },
};

START_TEST (test_parse)
{
  const struct parse_row *row = &parse_rows[_i];
  struct cyl_prefix prefix;
  cy_result result = cyl_prefix_parse (row->text, &prefix);
  ck_assert_msg (result == row->result, "%s: %s", row->text,
                 cy_result_name (result));
  if (result == CY_OK)
    ck_assert_uint_eq (prefix.length, row->length);
}
END_TEST

struct find_row
{
  const char *address;
  uint16_t site;
};

/* The index of a prefix is its site.  */
static const char *const nested[]
    = { "10.0.0.0/8",    "10.1.0.0/16",        "10.1.2.0/24",
        "10.1.2.128/25", "2001:db8::/32",      "2001:db8:1::/48",
        "192.0.2.7",     "2001:db8:1:2::5/128" };

static const struct find_row find_rows[] = {
  { "10.9.9.9", 0 },
  { "10.1.9.9", 1 },
  { "10.1.2.3", 2 },
  { "10.1.2.200", 3 },
  { "2001:db8:9::1", 4 },
  { "2001:db8:1::1", 5 },
  { "192.0.2.7", 6 },
  { "192.0.2.8", CYL_SITE_NONE },
  { "2001:db8:1:2::5", 7 },
  { "2001:db8:1:2::6", 5 },
  { "::ffff:10.1.2.3", 2 },
  { "11.0.0.0", CYL_SITE_NONE },
  { "2001:db9::", CYL_SITE_NONE },
};

START_TEST (test_nested_prefixes)
{
  struct cyl_table *table = cyl_table_create (&reclaim_immediately);
  struct cyl_prefix prefix;
  for (size_t i = 0; i < G_N_ELEMENTS (nested); i++)
    {
      ck_assert_int_eq (cyl_prefix_parse (nested[i], &prefix), CY_OK);
      cyl_table_put (table, &prefix, (uint16_t)i);
      ck_assert_uint_eq (cyl_table_get (table, &prefix), i);
    }
  for (size_t i = 0; i < G_N_ELEMENTS (find_rows); i++)
    {
      struct cyl_address address;
      cyl_address_parse (find_rows[i].address, &address);
      ck_assert_msg (cyl_table_find (table, &address) == find_rows[i].site,
                     "%s", find_rows[i].address);
    }
  cyl_table_destroy (table);
}
END_TEST

/* Returns a random prefix in which only a few bits vary, so that many prefixes
   are nested.  */
static struct cyl_prefix
random_prefix (const struct cy_random *random)
{
  struct cyl_prefix prefix = { .address.v6 = cy_random_below (random, 2) };
  unsigned max = prefix.address.v6 ? 128 : 32;
  prefix.length = (uint8_t)cy_random_below (random, max + 1);
  uint64_t high = cy_random_next (random) & UINT64_C (0x0103030103000301);
  uint64_t low = cy_random_next (random) & UINT64_C (0x8000000000010001);
  if (prefix.length < 64)
    high
        = prefix.length == 0 ? 0 : high & (UINT64_MAX << (64 - prefix.length));
  if (prefix.length <= 64)
    low = 0;
  else if (prefix.length < 128)
    low &= UINT64_MAX << (128 - prefix.length);
  prefix.address.high = high;
  prefix.address.low = low;
  return prefix;
}

struct linear_entry
{
  struct cyl_prefix prefix;
  uint16_t site;
};

static bool
prefix_contains (const struct cyl_prefix *prefix,
                 const struct cyl_address *address)
{
  if (prefix->address.v6 != address->v6)
    return false;
  for (unsigned bit = 0; bit < prefix->length; bit++)
    {
      uint64_t left = bit < 64 ? prefix->address.high : prefix->address.low;
      uint64_t right = bit < 64 ? address->high : address->low;
      if (((left ^ right) >> (63 - bit % 64)) & 1)
        return false;
    }
  return true;
}

static uint16_t
linear_find (const GArray *entries, const struct cyl_address *address)
{
  const struct linear_entry *best = NULL;
  for (guint i = 0; i < entries->len; i++)
    {
      const struct linear_entry *entry
          = &g_array_index (entries, struct linear_entry, i);
      if (prefix_contains (&entry->prefix, address)
          && (best == NULL || entry->prefix.length > best->prefix.length))
        best = entry;
    }
  return best == NULL ? CYL_SITE_NONE : best->site;
}

static guint
linear_index (const GArray *entries, const struct cyl_prefix *prefix)
{
  for (guint i = 0; i < entries->len; i++)
    {
      const struct cyl_prefix *other
          = &g_array_index (entries, struct linear_entry, i).prefix;
      if (other->address.high == prefix->address.high
          && other->address.low == prefix->address.low
          && other->address.v6 == prefix->address.v6
          && other->length == prefix->length)
        return i;
    }
  return entries->len;
}

START_TEST (test_matches_linear_search)
{
  uint64_t seed = 7001 + (uint64_t)_i;
  printf ("seed %llu\n", (unsigned long long)seed);
  struct cy_random random = cy_seeded_random (&seed);
  struct cyl_table *table = cyl_table_create (&reclaim_immediately);
  GArray *entries = g_array_new (FALSE, TRUE, sizeof (struct linear_entry));
  for (unsigned round = 0; round < 6000; round++)
    {
      struct linear_entry entry = { .prefix = random_prefix (&random) };
      entry.site = (uint16_t)cy_random_below (&random, 140);
      guint position = linear_index (entries, &entry.prefix);
      bool remove = cy_random_below (&random, 3) == 0;
      if (remove)
        {
          cy_result expected
              = position < entries->len ? CY_OK : CY_E_NOT_FOUND;
          ck_assert_int_eq (cyl_table_remove (table, &entry.prefix), expected);
          if (position < entries->len)
            g_array_remove_index_fast (entries, position);
        }
      else
        {
          cyl_table_put (table, &entry.prefix, entry.site);
          if (position < entries->len)
            g_array_index (entries, struct linear_entry, position).site
                = entry.site;
          else
            g_array_append_val (entries, entry);
        }
      ck_assert_uint_eq (cyl_table_count (table), entries->len);
      struct cyl_prefix probe = random_prefix (&random);
      ck_assert_uint_eq (cyl_table_find (table, &probe.address),
                         linear_find (entries, &probe.address));
    }
  g_array_unref (entries);
  cyl_table_destroy (table);
}
END_TEST

/* Readers that look up one block while the writer moves it between two sites
   and changes other blocks.  They must always find one of the two sites.  */
struct reader
{
  const struct cyl_table *table;
  unsigned stop;
  unsigned lookup_count;
  unsigned wrong_count;
};

static void *
reader_run (void *context)
{
  struct reader *reader = context;
  struct cyl_address address;
  cyl_address_parse ("10.1.2.3", &address);
  while (!ck_pr_load_uint (&reader->stop))
    {
      uint16_t site = cyl_table_find (reader->table, &address);
      if (site != 1 && site != 2)
        ck_pr_inc_uint (&reader->wrong_count);
      ck_pr_inc_uint (&reader->lookup_count);
    }
  return NULL;
}

static void
retain_memory (void *memory, void *context)
{
  g_ptr_array_add (context, memory);
}

/* Numbers of neighbouring blocks: few fit into the leaf of the moved block,
   many turn the leaf into a node.  */
static const uint64_t neighbour_counts[] = { 8, 15, 4000 };

START_TEST (test_readers_during_changes)
{
  uint64_t blocks = neighbour_counts[_i];
  GPtrArray *retained = g_ptr_array_new_with_free_func (g_free);
  struct cyl_reclaim reclaim = { retain_memory, retained };
  struct cyl_table *table = cyl_table_create (&reclaim);
  struct cyl_prefix moved;
  cyl_prefix_parse ("10.1.2.0/28", &moved);
  cyl_table_put (table, &moved, 1);
  struct reader reader = { table, 0, 0, 0 };
  pthread_t thread;
  ck_assert_int_eq (pthread_create (&thread, NULL, reader_run, &reader), 0);
  uint64_t seed = 42;
  struct cy_random random = cy_seeded_random (&seed);
  unsigned round = 0;
  while (round < 20000 || ck_pr_load_uint (&reader.lookup_count) < 1000)
    {
      struct cyl_prefix other = moved;
      other.address.high += (1 + cy_random_below (&random, blocks)) << 36;
      if (cy_random_below (&random, 2) == 0)
        cyl_table_put (table, &other, 9);
      else
        cyl_table_remove (table, &other);
      cyl_table_put (table, &moved, (uint16_t)(1 + round % 2));
      round++;
    }
  ck_pr_store_uint (&reader.stop, 1);
  pthread_join (thread, NULL);
  ck_assert_uint_eq (reader.wrong_count, 0);
  cyl_table_destroy (table);
  g_ptr_array_unref (retained);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("table");
  TCase *tcase = tcase_create ("prefixes");
  tcase_set_timeout (tcase, 60);
  tcase_add_loop_test (tcase, test_parse, 0, G_N_ELEMENTS (parse_rows));
  tcase_add_test (tcase, test_nested_prefixes);
  tcase_add_loop_test (tcase, test_matches_linear_search, 0, 4);
  tcase_add_loop_test (tcase, test_readers_during_changes, 0,
                       G_N_ELEMENTS (neighbour_counts));
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}

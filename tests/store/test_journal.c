/* The journal under injected faults: what a sync reported as durable is read
   back after a power failure at any operation, a full disk or a failed sync.
 */

#include <string.h>

#include "fake_files.h"
#include "store/cyd_journal.h"

#define CUT_SEEDS  400
#define STEPS      60
#define KEYS_COUNT 8
#define MANY_COUNT 10000 /* records, as many as a register keeps */

static struct fake_disk disk;
static uint64_t seed;
static struct cy_random random_source;
static struct cyd_journal *journal;

/* Value of each key: last set, and last set before a successful sync.  0: no
   record.  */
struct model
{
  uint64_t last; /* values increase */
  uint64_t set[KEYS_COUNT];
  uint64_t synced[KEYS_COUNT];
};

static void
set_up (void)
{
  fake_disk_init (&disk);
  seed = 1;
  random_source = cy_seeded_random (&seed);
  disk.files.make_folder (&disk, "/data");
}

static void
tear_down (void)
{
  fake_disk_clear (&disk);
}

static void
open_journal (void)
{
  cy_result result
      = cyd_journal_open (&disk.files, "/data", "departures", &journal);
  ck_assert_msg (result == CY_OK, "seed %lu: %s", seed,
                 cy_result_text (result));
}

static void
put (const char *key, uint64_t value)
{
  GBytes *record = g_bytes_new (&value, sizeof value);
  cyd_journal_put (journal, key, record);
  g_bytes_unref (record);
}

static void
put_number (struct model *model, unsigned number)
{
  char key[2] = { (char)('a' + number), '\0' };
  model->set[number] = ++model->last;
  put (key, model->last);
}

static void
read_record (const char *key, GBytes *record, void *context)
{
  uint64_t *values = context;
  gsize length;
  const void *bytes = g_bytes_get_data (record, &length);
  ck_assert_uint_eq (length, sizeof *values);
  ck_assert (key[0] >= 'a' && key[0] < 'a' + KEYS_COUNT && key[1] == '\0');
  memcpy (&values[key[0] - 'a'], bytes, length);
}

/* Each key has its synced value or a later one, which counts from now on.  */
static void
expect_synced (struct model *model)
{
  uint64_t values[KEYS_COUNT] = { 0 };
  cyd_journal_each (journal, read_record, values);
  for (int i = 0; i < KEYS_COUNT; i++)
    ck_assert_msg (values[i] >= model->synced[i] && values[i] <= model->set[i],
                   "key %d: %lu, synced %lu, set %lu", i, values[i],
                   model->synced[i], model->set[i]);
  memcpy (model->set, values, sizeof values);
}

static bool
sync_model (struct model *model)
{
  if (cyd_journal_sync (journal) != CY_OK)
    return false;
  memcpy (model->synced, model->set, sizeof model->synced);
  return true;
}

/* Sets random keys, with a sync now and then.  */
static void
run_steps (struct model *model)
{
  for (int i = 0; i < STEPS; i++)
    {
      put_number (model,
                  (unsigned)cy_random_below (&random_source, KEYS_COUNT));
      if (cy_random_below (&random_source, 3) == 0 && !sync_model (model)
          && disk.operations_left <= 0)
        return;
    }
}

START_TEST (test_power_cut)
{
  struct model model = { 0 };
  seed = (uint64_t)_i + 1;
  for (int restarts = 0; restarts < 3; restarts++)
    {
      open_journal ();
      expect_synced (&model);
      /* What was read counts as durable after the first sync only.  */
      disk.operations_left = (int64_t)cy_random_below (&random_source, 120);
      run_steps (&model);
      cyd_journal_close (journal);
      disk.operations_left = NO_LIMIT;
      fake_power_cut (&disk, &random_source);
    }
  open_journal ();
  expect_synced (&model);
  cyd_journal_close (journal);
}
END_TEST

/* A process that ended before its sync leaves records that a power failure may
   still take; the sync of the next process keeps them.  */
START_TEST (test_read_is_not_durable)
{
  struct model model = { 0 };
  open_journal ();
  put_number (&model, 0);
  ck_assert (sync_model (&model));
  put_number (&model, 0);
  disk.fail_sync = true;
  ck_assert_int_ne (cyd_journal_sync (journal), CY_OK);
  disk.fail_sync = false;
  cyd_journal_close (journal);
  open_journal ();
  uint64_t values[KEYS_COUNT] = { 0 };
  cyd_journal_each (journal, read_record, values);
  ck_assert_int_eq (cyd_journal_sync (journal), CY_OK);
  cyd_journal_close (journal);
  fake_power_cut (&disk, &random_source);
  uint64_t later[KEYS_COUNT] = { 0 };
  open_journal ();
  cyd_journal_each (journal, read_record, later);
  ck_assert_uint_eq (later[0], values[0]);
  cyd_journal_close (journal);
}
END_TEST

/* Failures of the disk, after which a sync succeeds.  */
static const struct
{
  const char *name;
  bool full;
  bool fail_sync;
  bool rewrites; /* the failed sync rewrites the file */
} failures[] = {
  { "full at an append", true, false, false },
  { "full at a rewrite", true, false, true },
  { "sync fails at an append", false, true, false },
  { "sync fails at a rewrite", false, true, true },
};

START_TEST (test_failure)
{
  struct model model = { 0 };
  open_journal ();
  put_number (&model, 0);
  put_number (&model, 1);
  ck_assert (sync_model (&model));
  if (failures[_i].rewrites)
    {
      cyd_journal_close (journal);
      open_journal ();
    }
  put_number (&model, 0);
  if (failures[_i].full)
    disk.space_bytes = 0;
  disk.fail_sync = failures[_i].fail_sync;
  ck_assert_msg (!sync_model (&model), "%s", failures[_i].name);
  ck_assert_msg (!sync_model (&model), "%s: again", failures[_i].name);
  disk.space_bytes = NO_LIMIT;
  disk.fail_sync = false;
  ck_assert_msg (sync_model (&model), "%s: afterwards", failures[_i].name);
  cyd_journal_close (journal);
  fake_power_cut (&disk, &random_source);
  open_journal ();
  expect_synced (&model);
  cyd_journal_close (journal);
}
END_TEST

static void
count_record (const char *key, GBytes *record, void *context)
{
  (void)key;
  (void)record;
  ++*(unsigned *)context;
}

/* The file stays bounded while keys come and go, and holds as many records as
   a register keeps.  */
START_TEST (test_size)
{
  unsigned count = 0;
  open_journal ();
  for (unsigned i = 0; i < 4 * MANY_COUNT; i++)
    {
      char key[16];
      g_snprintf (key, sizeof key, "i-%u", i);
      put (key, i);
      if (i >= MANY_COUNT)
        {
          g_snprintf (key, sizeof key, "i-%u", i - MANY_COUNT);
          cyd_journal_remove (journal, key);
        }
      if (i % 100 == 99)
        ck_assert_int_eq (cyd_journal_sync (journal), CY_OK);
    }
  ck_assert_uint_le (cyd_journal_size (journal), 4 * MANY_COUNT * 80);
  cyd_journal_close (journal);
  open_journal ();
  ck_assert_int_eq (cyd_journal_sync (journal), CY_OK);
  cyd_journal_each (journal, count_record, &count);
  ck_assert_uint_ge (count, MANY_COUNT);
  cyd_journal_close (journal);
}
END_TEST

/* Bytes at the end that are no record are dropped; the records before them
   count.  */
START_TEST (test_damaged_end)
{
  struct model model = { 0 };
  open_journal ();
  put_number (&model, 3);
  ck_assert (sync_model (&model));
  cyd_journal_close (journal);
  struct fake_file *file = fake_find_last (&disk, "departures");
  ck_assert_ptr_nonnull (file);
  g_byte_array_append (file->data, (const guint8 *)"torn", 4);
  open_journal ();
  expect_synced (&model);
  put_number (&model, 4);
  ck_assert (sync_model (&model));
  cyd_journal_close (journal);
  open_journal ();
  expect_synced (&model);
  cyd_journal_close (journal);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("journal");
  TCase *tcase = tcase_create ("faults");
  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_set_timeout (tcase, 60);
  tcase_add_loop_test (tcase, test_power_cut, 0, CUT_SEEDS);
  tcase_add_test (tcase, test_read_is_not_durable);
  tcase_add_loop_test (tcase, test_failure, 0, G_N_ELEMENTS (failures));
  tcase_add_test (tcase, test_size);
  tcase_add_test (tcase, test_damaged_end);
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}

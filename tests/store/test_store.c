/* The store under injected faults: power failures after any operation, damaged
   and missing files, short writes, a full disk, failed syncs.  */

#include "cy_test.h"
#include "store/cyd_identity.h"
#include "store/cyd_record.h"
#include "store/cyd_store.h"
#include "store/fake_files.h"

#define SEGMENT_BYTES  4096 /* small, so that a few records fill one */
#define CUT_SEEDS      400
#define STEPS          60
#define INDEXES_OFFSET 8192 /* offset of the synced index in the file vote */
#define CYD_FOLDER     "/data"

static uint64_t seed;
static struct cy_random random_source;
static struct fake_disk disk;
static struct cyd_store *store;
static struct cyd_recovered recovered;

static void
set_up (void)
{
  seed = 1;
  random_source = cy_seeded_random (&seed);
  fake_disk_init (&disk);
}

static void
tear_down (void)
{
  fake_disk_clear (&disk);
}

static cy_result
open_as (const char *cluster, uint64_t member)
{
  struct cyd_store_options options = { .files = &disk.files,
                                       .path = CYD_FOLDER,
                                       .cluster = cluster,
                                       .member = member,
                                       .random = &random_source,
                                       .segment_bytes = SEGMENT_BYTES };
  store = NULL;
  return cyd_store_open (&options, &recovered, &store);
}

static cy_result
open_store (void)
{
  return open_as ("c1", 1);
}

static void
close_store (void)
{
  cyd_store_close (store);
  store = NULL;
  cyd_recovered_clear (&recovered);
}

static struct cyr_record *
make_record (uint64_t index, uint64_t term)
{
  uint8_t data[200];
  size_t length = 8 + index * 37 % 190;
  memset (data, (int)(index + term), sizeof data);
  return cyr_record_create (index, term, CYR_RECORD_CHANGE, data, length);
}

static cy_result
append_records (uint64_t first, uint64_t last, uint64_t term)
{
  cy_result result = CY_OK;
  for (uint64_t index = first; index <= last && result == CY_OK; index++)
    {
      struct cyr_record *record = make_record (index, term);
      result = cyd_store_append (store, &record, 1);
      cyr_record_unref (record);
    }
  return result;
}

static struct cyr_members *
create_single_member_set (void)
{
  Cy__MemberSet set = CY__MEMBER_SET__INIT;
  Cy__Member member = CY__MEMBER__INIT;
  Cy__Member *member_pointers[1] = { &member };
  uint64_t folder = 7;
  member.id = 1;
  set.n_members = 1;
  set.members = member_pointers;
  return cyr_members_create_first (&set, &folder);
}

static cy_result
save_snapshot (uint64_t index, uint64_t term, bool install)
{
  struct cyr_snapshot snapshot = { .index = index,
                                   .term = term,
                                   .members = create_single_member_set (),
                                   .bytes = (const uint8_t *)&index,
                                   .length = sizeof index };
  cy_result result = cyd_store_save_snapshot (store, &snapshot, install);
  cyr_members_unref (snapshot.members);
  return result;
}

static uint64_t
recovered_last_index (void)
{
  return recovered.snapshot_index + recovered.records->len;
}

/* Checks that the records after the snapshot are complete and in order.  */
static void
expect_records (uint64_t last)
{
  ck_assert_uint_eq (recovered_last_index (), last);
  for (guint i = 0; i < recovered.records->len; i++)
    {
      const struct cyr_record *record = recovered.records->pdata[i];
      struct cyr_record *expected = make_record (record->index, record->term);
      ck_assert_uint_eq (record->index, recovered.snapshot_index + 1 + i);
      ck_assert_uint_eq (record->length, expected->length);
      ck_assert_mem_eq (record->data, expected->data, record->length);
      cyr_record_unref (expected);
    }
}

/* Creates a folder with term 3, vote 2, records 1 to 60 in several segments
   and a snapshot at 40.  */
static void
make_folder (void)
{
  ck_assert_int_eq (open_store (), CY_OK);
  ck_assert_int_eq (cyd_store_set_vote (store, 3, 2), CY_OK);
  ck_assert_int_eq (append_records (1, 60, 3), CY_OK);
  ck_assert_int_eq (cyd_store_sync (store), CY_OK);
  ck_assert_int_eq (save_snapshot (40, 3, false), CY_OK);
  close_store ();
}

START_TEST (test_round_trip)
{
  make_folder ();
  ck_assert_int_eq (open_store (), CY_OK);
  ck_assert_uint_eq (recovered.term, 3);
  ck_assert_uint_eq (recovered.vote, 2);
  ck_assert_uint_eq (recovered.snapshot_index, 40);
  ck_assert_uint_eq (recovered.torn_bytes, 0);
  expect_records (60);
  ck_assert_int_eq (cyd_store_truncate (store, 45), CY_OK);
  ck_assert_int_eq (append_records (45, 50, 4), CY_OK);
  ck_assert_int_eq (cyd_store_sync (store), CY_OK);
  ck_assert_int_eq (cyd_store_compact (store, 40), CY_OK);
  close_store ();
  ck_assert_int_eq (open_store (), CY_OK);
  expect_records (50);
  ck_assert_int_eq (save_snapshot (90, 5, true), CY_OK);
  close_store ();
  ck_assert_int_eq (open_store (), CY_OK);
  expect_records (90);
  close_store ();
}
END_TEST

/* ------------------------------------------------------------ power cuts */

/* Expected content of the store after the operations so far.  */
struct model
{
  uint64_t term;
  uint64_t vote;
  uint64_t last;   /* last index of the log, synced or not */
  uint64_t synced; /* last durable index that was not truncated */
  uint64_t last_term;
  uint64_t snapshot;
  uint64_t terms[STEPS * 9]; /* term of each record */
};

static cy_result
random_step (struct model *model)
{
  cy_result result = CY_OK;
  uint64_t count = 1 + cy_random_below (&random_source, 8);
  switch (cy_random_below (&random_source, 6))
    {
    case 0:
    case 1:
      result = append_records (model->last + 1, model->last + count,
                               model->last_term);
      while (count-- > 0)
        model->terms[++model->last] = model->last_term;
      break;
    case 2:
      result = cyd_store_sync (store);
      if (result == CY_OK)
        model->synced = model->last;
      break;
    case 3:
      result = cyd_store_set_vote (store, model->term + 1, count);
      if (result == CY_OK)
        {
          model->term++;
          model->vote = count;
        }
      break;
    case 4:
      count = model->last - MIN (count, model->last - model->snapshot);
      model->synced = MIN (model->synced, count);
      result = cyd_store_truncate (store, count + 1);
      model->last = count;
      model->last_term++;
      break;
    case 5:
      if (model->synced <= model->snapshot)
        break;
      result
          = save_snapshot (model->synced, model->terms[model->synced], false);
      if (result == CY_OK)
        model->snapshot = model->synced;
      if (result == CY_OK)
        result = cyd_store_compact (store, model->snapshot);
      break;
    }
  return result;
}

/* After a power failure at a random operation, the store opens and contains
   everything that it reported as durable.  */
START_TEST (test_power_cut)
{
  struct model model = { .last_term = 1 };
  seed = (uint64_t)_i + 1;
  ck_assert_int_eq (open_store (), CY_OK);
  disk.operations_left = (int64_t)cy_random_below (&random_source, 250);
  cy_result result = CY_OK;
  for (int i = 0; i < STEPS && result == CY_OK; i++)
    result = random_step (&model);
  close_store ();
  fake_power_cut (&disk, &random_source);
  result = open_store ();
  ck_assert_msg (result == CY_OK, "seed %d: %s", _i + 1,
                 cy_result_text (result));
  ck_assert_msg (
      recovered.term > model.term
          || (recovered.term == model.term && recovered.vote == model.vote),
      "seed %d: vote lost", _i + 1);
  ck_assert_msg (recovered_last_index () >= model.synced,
                 "seed %d: log ends at %lu, but %lu was synced", _i + 1,
                 recovered_last_index (), model.synced);
  expect_records (recovered_last_index ());
  ck_assert_int_eq (append_records (recovered_last_index () + 1,
                                    recovered_last_index () + 5, 99),
                    CY_OK);
  ck_assert_int_eq (cyd_store_sync (store), CY_OK);
  uint64_t last = recovered_last_index () + 5;
  close_store ();
  ck_assert_int_eq (open_store (), CY_OK);
  expect_records (last);
  close_store ();
}
END_TEST

/* The stored commit index survives a restart and never decreases.  */
START_TEST (test_committed)
{
  make_folder ();
  ck_assert_int_eq (open_store (), CY_OK);
  ck_assert_uint_eq (recovered.commit_index, 0);
  ck_assert_int_eq (cyd_store_commit (store, 55), CY_OK);
  ck_assert_int_eq (cyd_store_commit (store, 50), CY_OK);
  close_store ();
  fake_power_cut (&disk, &random_source);
  ck_assert_int_eq (open_store (), CY_OK);
  ck_assert_uint_eq (recovered.commit_index, 55);
  ck_assert_int_eq (append_records (61, 70, 3), CY_OK);
  ck_assert_int_eq (cyd_store_sync (store), CY_OK);
  ck_assert_int_eq (cyd_store_set_vote (store, 4, 1), CY_OK);
  close_store ();
  ck_assert_int_eq (open_store (), CY_OK);
  ck_assert_uint_eq (recovered.commit_index, 55);
  ck_assert_uint_eq (recovered.term, 4);
  expect_records (70);
  close_store ();
}
END_TEST

/* After a power failure at a random operation, the stored commit index is not
   higher than the committed records, and the log contains them.  */
START_TEST (test_committed_power_cut)
{
  uint64_t synced_last = 0;
  seed = (uint64_t)_i + 1;
  ck_assert_int_eq (open_store (), CY_OK);
  disk.operations_left = (int64_t)cy_random_below (&random_source, 250);
  cy_result result = CY_OK;
  for (uint64_t last = 3; last < 90 && result == CY_OK; last += 3)
    {
      result = append_records (last - 2, last, 1);
      if (result == CY_OK)
        result = cyd_store_sync (store);
      synced_last = result == CY_OK ? last : synced_last;
      if (result == CY_OK && cy_random_below (&random_source, 2) == 0)
        result = cyd_store_commit (store, last);
    }
  close_store ();
  fake_power_cut (&disk, &random_source);
  ck_assert_int_eq (open_store (), CY_OK);
  ck_assert_uint_le (recovered.commit_index, synced_last);
  ck_assert_uint_le (recovered.commit_index, recovered_last_index ());
  close_store ();
}
END_TEST

/* A power failure while the folder is created leaves a folder that opens.  */
START_TEST (test_power_cut_at_creation)
{
  seed = (uint64_t)_i + 1;
  disk.operations_left = _i;
  if (open_store () == CY_OK)
    close_store ();
  fake_power_cut (&disk, &random_source);
  ck_assert_int_eq (open_store (), CY_OK);
  close_store ();
}
END_TEST

/* A discarded folder opens as an empty one of another member, after a power
   failure at any operation of the discarding or of the next opening, too.  */
START_TEST (test_power_cut_in_discard)
{
  uint64_t member = 0;
  seed = (uint64_t)_i + 1;
  make_folder ();
  disk.operations_left = _i;
  bool done = cyd_store_discard (&disk.files, CYD_FOLDER) == CY_OK;
  if (done && open_as ("c1", 2) == CY_OK)
    close_store ();
  fake_power_cut (&disk, &random_source);
  cy_result result = cyd_identity_member (&disk.files, CYD_FOLDER, &member);
  ck_assert_msg (result == CY_OK || result == CY_E_NOT_FOUND, "cut %d: %s", _i,
                 cy_result_text (result));
  ck_assert_msg (!done || result == CY_E_NOT_FOUND || member == 2,
                 "cut %d: the discarded member is used", _i);
  bool is_old = result == CY_OK && member == 1;
  ck_assert_int_eq (open_as ("c1", is_old ? 1 : 2), CY_OK);
  ck_assert_uint_eq (recovered_last_index (), is_old ? 60 : 0);
  ck_assert_uint_eq (recovered.term, is_old ? 3 : 0);
  close_store ();
}
END_TEST

/* After a power failure while a leader's snapshot replaces a log that diverged
   from the leader's, the store opens.  It holds the snapshot alone, or the old
   log if the installation was not reported as done.  */
START_TEST (test_power_cut_in_install)
{
  seed = (uint64_t)_i + 1;
  ck_assert_int_eq (open_store (), CY_OK);
  ck_assert_int_eq (append_records (1, 60, 1), CY_OK);
  ck_assert_int_eq (cyd_store_sync (store), CY_OK);
  disk.operations_left = _i;
  bool done = save_snapshot (40, 7, true) == CY_OK;
  close_store ();
  fake_power_cut (&disk, &random_source);
  ck_assert_int_eq (open_store (), CY_OK);
  if (recovered.snapshot_index == 40)
    expect_records (40);
  else
    ck_assert (!done);
  close_store ();
}
END_TEST

/* ------------------------------------------------------------ damage */

enum damage
{
  FLIP,         /* flip one bit at OFFSET */
  REMOVE_FIRST, /* remove the first file with the prefix */
  REMOVE_LAST
};

struct damage_case
{
  const char *prefix;
  enum damage damage;
  int offset; /* byte in the file, counted from the end when negative */
  cy_result expected;
};

static const struct damage_case damages[]
    = { { "log-", FLIP, 100, CY_E_STORE_CORRUPT }, /* a synced record */
        { "log-", FLIP, 10, CY_E_STORE_CORRUPT },  /* a header */
        { "vote", FLIP, 16, CY_OK },               /* first copy, term */
        { "vote", FLIP, 4096 + 16, CY_OK },        /* second copy */
        { "snapshot-", FLIP, 20, CY_E_STORE_CORRUPT },
        { "snapshot-", FLIP, -1, CY_E_STORE_CORRUPT },
        { "identity", FLIP, 20, CY_E_STORE_CORRUPT },
        { "identity", REMOVE_FIRST, 0, CY_E_STORE_CORRUPT },
        { "vote", REMOVE_FIRST, 0, CY_E_STORE_CORRUPT },
        { "log-", REMOVE_FIRST, 0, CY_E_STORE_GAP },
        { "log-", REMOVE_LAST, 0, CY_E_STORE_CORRUPT },
        { "snapshot-", REMOVE_FIRST, 0, CY_E_STORE_GAP } };

START_TEST (test_damage)
{
  const struct damage_case *row = &damages[_i];
  make_folder ();
  ck_assert_int_eq (open_store (), CY_OK);
  ck_assert_int_eq (cyd_store_compact (store, 40), CY_OK);
  close_store ();
  struct fake_file *file = fake_find_last (&disk, row->prefix);
  int offset
      = row->offset < 0 ? (int)file->data->len + row->offset : row->offset;
  if (row->damage == FLIP)
    file->data->data[offset] ^= 1;
  else
    fake_remove (&disk, row->prefix, row->damage == REMOVE_FIRST);
  cy_result result = open_store ();
  ck_assert_msg (result == row->expected, "row %d: %s", _i,
                 cy_result_name (result));
  if (result == CY_OK)
    {
      ck_assert_uint_eq (recovered.term, 3);
      ck_assert_uint_eq (recovered.vote, 2);
      close_store ();
    }
}
END_TEST

/* Damage to any byte of a synced record is detected, also when it is the last
   record.  */
START_TEST (test_last_record_damaged)
{
  ck_assert_int_eq (open_store (), CY_OK);
  ck_assert_int_eq (append_records (1, 1, 1), CY_OK);
  ck_assert_int_eq (cyd_store_sync (store), CY_OK);
  close_store ();
  struct fake_file *file = fake_find_last (&disk, "log-");
  file->data->data[32 + _i] ^= 4;
  ck_assert_int_eq (open_store (), CY_E_STORE_CORRUPT);
}
END_TEST

/* The stored synced index was lost in a power failure.  A later record still
   shows that the damaged record had been synced.  */
START_TEST (test_mark_lost)
{
  ck_assert_int_eq (open_store (), CY_OK);
  for (uint64_t index = 1; index <= 3; index++)
    {
      ck_assert_int_eq (append_records (index, index, 1), CY_OK);
      ck_assert_int_eq (cyd_store_sync (store), CY_OK);
    }
  close_store ();
  struct fake_file *vote = fake_find_last (&disk, "vote");
  memset (vote->data->data + INDEXES_OFFSET, 0,
          vote->data->len - INDEXES_OFFSET);
  fake_find_last (&disk, "log-")->data->data[100] ^= 1; /* in record 1 */
  ck_assert_int_eq (open_store (), CY_E_STORE_CORRUPT);
}
END_TEST

START_TEST (test_torn_tail)
{
  ck_assert_int_eq (open_store (), CY_OK);
  ck_assert_int_eq (append_records (1, 5, 1), CY_OK);
  ck_assert_int_eq (cyd_store_sync (store), CY_OK);
  ck_assert_int_eq (append_records (6, 8, 1), CY_OK);
  close_store ();
  struct fake_file *file = fake_find_last (&disk, "log-");
  guint end = file->data->len;
  while (file->data->data[end - 1] == 0)
    end--;
  file->data->data[end - 1] ^= 1; /* in record 8 */
  ck_assert_int_eq (open_store (), CY_OK);
  ck_assert_uint_gt (recovered.torn_bytes, 0);
  expect_records (7);
  close_store ();
}
END_TEST

/* ------------------------------------------------------------ errors */

struct owner_case
{
  const char *cluster;
  uint64_t member;
  cy_result expected;
};

static const struct owner_case owners[] = { { "c1", 1, CY_OK },
                                            { "c1", 2, CY_E_STORE_IDENTITY },
                                            { "c2", 1, CY_E_STORE_IDENTITY } };

START_TEST (test_owner)
{
  make_folder ();
  ck_assert_int_eq (open_as (owners[_i].cluster, owners[_i].member),
                    owners[_i].expected);
  if (store != NULL)
    close_store ();
}
END_TEST

START_TEST (test_locked)
{
  ck_assert_int_eq (open_store (), CY_OK);
  struct cyd_store *first = store;
  cyd_recovered_clear (&recovered);
  ck_assert_int_eq (open_store (), CY_E_STORE_LOCKED);
  cyd_store_close (first);
}
END_TEST

START_TEST (test_short_writes)
{
  disk.write_max_bytes = 7;
  make_folder ();
  ck_assert_int_eq (open_store (), CY_OK);
  expect_records (60);
  close_store ();
}
END_TEST

START_TEST (test_failed_sync)
{
  ck_assert_int_eq (open_store (), CY_OK);
  ck_assert_int_eq (append_records (1, 1, 1), CY_OK);
  disk.fail_sync = true;
  ck_assert_int_eq (cyd_store_sync (store), CY_E_STORE_SYNC);
  ck_assert_int_eq (cyd_store_set_vote (store, 2, 1), CY_E_STORE_SYNC);
  close_store ();
}
END_TEST

/* On a full disk, records that fit into the reported free space and a vote can
   be written.  A snapshot and a new log file are rejected.  The free space
   increases again once the disk has space.  */
START_TEST (test_full_disk)
{
  uint64_t last = 0;
  ck_assert_int_eq (open_store (), CY_OK);
  disk.space_bytes = fake_used_bytes (&disk);
  for (;;)
    {
      struct cyr_record *record = make_record (last + 1, 1);
      bool fits
          = cyd_record_size (record->length) <= cyd_store_free_bytes (store);
      cyr_record_unref (record);
      if (!fits)
        break;
      ck_assert_int_eq (append_records (last + 1, last + 1, 1), CY_OK);
      last++;
    }
  ck_assert_uint_gt (last, 10);
  ck_assert_int_eq (cyd_store_sync (store), CY_OK);
  ck_assert_int_eq (cyd_store_set_vote (store, 5, 3), CY_OK);
  ck_assert_int_eq (cyd_store_prepare_spare (store), CY_E_STORE_FULL);
  ck_assert_int_eq (save_snapshot (last, 1, false), CY_E_STORE_FULL);
  close_store ();
  ck_assert_int_eq (open_store (), CY_OK);
  expect_records (last);
  ck_assert_uint_eq (recovered.term, 5);
  disk.space_bytes = NO_LIMIT;
  ck_assert_int_eq (cyd_store_prepare_spare (store), CY_OK);
  ck_assert_uint_gt (cyd_store_free_bytes (store), SEGMENT_BYTES / 2);
  close_store ();
}
END_TEST

/* A disk that temporarily accepts no bytes, not even into preallocated space:
   records and votes are written once the disk accepts bytes again.  */
START_TEST (test_full_temporarily)
{
  ck_assert_int_eq (open_store (), CY_OK);
  ck_assert_int_eq (append_records (1, 3, 1), CY_OK);
  disk.full_pauses = 5;
  ck_assert_int_eq (append_records (4, 6, 1), CY_OK);
  ck_assert_int_eq (cyd_store_sync (store), CY_OK);
  disk.full_pauses = 5;
  ck_assert_int_eq (cyd_store_set_vote (store, 7, 2), CY_OK);
  close_store ();
  ck_assert_int_eq (open_store (), CY_OK);
  expect_records (6);
  ck_assert_uint_eq (recovered.term, 7);
  ck_assert_uint_eq (recovered.vote, 2);
  disk.full_pauses = -1;
  ck_assert_int_eq (cyd_store_set_vote (store, 8, 2), CY_E_STORE_FULL);
  disk.full_pauses = 0;
  close_store ();
}
END_TEST

/* Operations that can't be rejected any more, on a disk that accepts no bytes
   and no files for a time.  Guards against a process that ends because its
   disk is full just when a new log file is due.  */
enum full_operation
{
  FULL_APPEND,
  FULL_APPEND_WITHOUT_SPARE, /* the next log file could not be preallocated */
  FULL_INSTALL,
  FULL_FOUNDING
};

static const enum full_operation full_operations[]
    = { FULL_APPEND, FULL_APPEND_WITHOUT_SPARE, FULL_INSTALL, FULL_FOUNDING };

START_TEST (test_full_at_any_record)
{
  enum full_operation operation = full_operations[_i % 4];
  uint64_t last = (uint64_t)_i / 4 + 1;
  cy_result result = CY_OK;
  ck_assert_int_eq (open_store (), CY_OK);
  disk.full_creates = operation == FULL_APPEND_WITHOUT_SPARE;
  ck_assert_int_eq (append_records (1, last - 1, 1), CY_OK);
  disk.full_creates = true;
  disk.full_pauses = 5;
  switch (operation)
    {
    case FULL_APPEND:
    case FULL_APPEND_WITHOUT_SPARE:
      result = append_records (last, last, 1);
      break;
    case FULL_INSTALL:
      result = save_snapshot (last + 100, 2, true);
      break;
    case FULL_FOUNDING:
      result = cyd_store_set_founding (store, (const uint8_t *)"set", 3);
      break;
    }
  ck_assert_msg (result == CY_OK, "operation %d at record %d: %s", operation,
                 (int)last, cy_result_text (result));
  ck_assert_int_eq (cyd_store_sync (store), CY_OK);
  close_store ();
  ck_assert_int_eq (open_store (), CY_OK);
  if (operation == FULL_INSTALL)
    ck_assert_uint_eq (recovered_last_index (), last + 100);
  else
    expect_records (operation == FULL_FOUNDING ? last - 1 : last);
  close_store ();
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("store");
  TCase *tcase = tcase_create ("faults");
  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, test_round_trip);
  tcase_add_test (tcase, test_committed);
  tcase_add_loop_test (tcase, test_committed_power_cut, 0, CUT_SEEDS);
  tcase_add_loop_test (tcase, test_power_cut, 0, CUT_SEEDS);
  tcase_add_loop_test (tcase, test_power_cut_at_creation, 0, 60);
  tcase_add_loop_test (tcase, test_full_at_any_record, 0, 4 * 60);
  tcase_add_loop_test (tcase, test_power_cut_in_discard, 0, 90);
  tcase_add_loop_test (tcase, test_power_cut_in_install, 0, 60);
  tcase_add_loop_test (tcase, test_damage, 0, G_N_ELEMENTS (damages));
  tcase_add_loop_test (tcase, test_last_record_damaged, 0, 93);
  tcase_add_test (tcase, test_mark_lost);
  tcase_add_test (tcase, test_torn_tail);
  tcase_add_loop_test (tcase, test_owner, 0, G_N_ELEMENTS (owners));
  tcase_add_test (tcase, test_locked);
  tcase_add_test (tcase, test_short_writes);
  tcase_add_test (tcase, test_failed_sync);
  tcase_add_test (tcase, test_full_disk);
  tcase_add_test (tcase, test_full_temporarily);
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}

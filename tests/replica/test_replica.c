/* Replicas over loopback with real files: bootstrap, failover, restart, a lost
   disk and its replacement.  */

#include <errno.h>
#include <fcntl.h>
#include <signal.h>

#include "core/cyr_core.h"
#include "cy_test.h"
#include "replica/members.h"

#define MEMBERS 3

static struct member members[MEMBERS + 2];
static Cy__MemberSet bootstrap;
static char *base_folder;

static void
start_all (size_t count)
{
  base_folder = members_folder ();
  for (size_t i = 0; i < count; i++)
    member_init (&members[i], i + 1, base_folder);
  members_bootstrap (members, count, &bootstrap);
  for (size_t i = 0; i < count; i++)
    {
      members[i].bootstrap = &bootstrap;
      member_start (&members[i]);
    }
}

static void
stop_all (size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      ck_assert_uint_eq (members[i].stale_loads, 0);
      member_clear (&members[i]);
    }
  members_remove_folder (base_folder);
}

/* Proposes VALUE, the next value to be applied.  On a slow machine the leader
   may change: after an unknown outcome, the next leader's applied values show
   whether the proposal was committed.  */
static cy_result
propose_next (size_t count, uint64_t value, size_t length)
{
  for (;;)
    {
      struct member *leader = members_leader (members, count);
      ck_assert_ptr_nonnull (leader);
      cy_result result = member_propose_long (leader, value, length);
      if (result != CY_E_OUTCOME_UNKNOWN && result != CY_E_NOT_LEADER)
        return result;
      leader = members_leader (members, count);
      ck_assert_ptr_nonnull (leader);
      g_mutex_lock (&leader->lock);
      bool applied = member_has_applied (leader, value);
      g_mutex_unlock (&leader->lock);
      if (applied)
        return CY_OK;
    }
}

static void
propose_range (size_t count, uint64_t first, uint64_t last)
{
  for (uint64_t value = first; value <= last; value++)
    ck_assert_int_eq (propose_next (count, value, sizeof value), CY_OK);
}

static void
expect_range (struct member *member, uint64_t last)
{
  ck_assert (member_wait_for (member, member_has_applied, last));
  for (uint64_t i = 0; i < last; i++)
    ck_assert_uint_eq (g_array_index (member->applied, uint64_t, i), i + 1);
}

START_TEST (test_single)
{
  start_all (1);
  propose_range (1, 1, 50);
  member_stop (&members[0]);
  member_start (&members[0]);
  propose_range (1, 51, 60);
  expect_range (&members[0], 60);
  stop_all (1);
}
END_TEST

/* One of three members restarts alone after a planned stop: there is no
   leader, and the member has applied all committed changes.  */
START_TEST (test_restart_alone)
{
  start_all (MEMBERS);
  propose_range (MEMBERS, 1, 400);
  for (size_t i = 0; i < MEMBERS; i++)
    expect_range (&members[i], 400);
  for (size_t i = 0; i < MEMBERS; i++)
    member_stop (&members[i]);
  member_start (&members[0]);
  expect_range (&members[0], 400);
  ck_assert (!member_has_leader (&members[0], 0));
  stop_all (MEMBERS);
}
END_TEST

START_TEST (test_failover)
{
  start_all (MEMBERS);
  propose_range (MEMBERS, 1, 50);
  struct member *leader = members_leader (members, MEMBERS);
  member_stop (leader);
  propose_range (MEMBERS, 51, 100);
  member_start (leader);
  for (size_t i = 0; i < MEMBERS; i++)
    expect_range (&members[i], 100);
  stop_all (MEMBERS);
}
END_TEST

static struct member *
find_follower (size_t count)
{
  struct member *leader = members_leader (members, count);
  ck_assert_ptr_nonnull (leader);
  return leader == &members[0] ? &members[1] : &members[0];
}

static void
change_members (size_t count, const struct member_call *change)
{
  struct member_call call = *change;
  do
    {
      call.member = members_leader (members, count);
      ck_assert_ptr_nonnull (call.member);
      member_run_call (&call);
    }
  while (call.result == CY_E_MEMBER_BUSY || call.result == CY_E_NOT_LEADER);
  ck_assert_int_eq (call.result, CY_OK);
}

/* A member restarts with an empty folder and its old id: it does not count
   towards a quorum.  A new member replaces it, and directly after that another
   member stops: all acknowledged changes remain.  */
START_TEST (test_lost_disk)
{
  start_all (MEMBERS);
  propose_range (MEMBERS, 1, 50);
  struct member *lost = find_follower (MEMBERS);
  member_stop (lost);
  members_remove_folder (lost->folder);
  member_start (lost);
  propose_range (MEMBERS, 51, 60);

  struct member *replacement = &members[MEMBERS];
  member_init (replacement, MEMBERS + 1, base_folder);
  member_start (replacement);
  Cy__Member added = CY__MEMBER__INIT;
  added.id = replacement->id;
  added.host = (char *)"127.0.0.1";
  added.port = replacement->port;
  struct member_call add = { .kind = CALL_ADD, .new_member = &added };
  change_members (MEMBERS + 1, &add);
  ck_assert (member_wait_for (replacement, member_is_voter, 0));
  struct member_call remove = { .kind = CALL_REMOVE, .value = lost->id };
  change_members (MEMBERS + 1, &remove);

  struct member *stopped = &members[2];
  member_stop (stopped);
  propose_range (MEMBERS + 1, 61, 70);
  for (size_t i = 0; i < MEMBERS + 1; i++)
    if (&members[i] != lost && &members[i] != stopped)
      expect_range (&members[i], 70);
  ck_assert_uint_eq (lost->applied->len, 0);
  ck_assert (!atomic_load (&lost->voter));
  stop_all (MEMBERS + 1);
}
END_TEST

/* A member that was stopped while the leader compacted the log receives a
   snapshot.  */
START_TEST (test_snapshot)
{
  start_all (MEMBERS);
  propose_range (MEMBERS, 1, 1);
  struct member *lagging = find_follower (MEMBERS);
  member_stop (lagging);
  for (uint64_t value = 2; value <= 14; value++)
    ck_assert_int_eq (propose_next (MEMBERS, value, 1 << 20), CY_OK);
  member_start (lagging);
  expect_range (lagging, 14);
  propose_range (MEMBERS, 15, 20);
  expect_range (lagging, 20);
  member_stop (lagging);
  member_start (lagging);
  expect_range (lagging, 20);
  stop_all (MEMBERS);
}
END_TEST

START_TEST (test_transfer)
{
  start_all (MEMBERS);
  propose_range (MEMBERS, 1, 5);
  struct member *old_leader = members_leader (members, MEMBERS);
  uint64_t term = atomic_load (&old_leader->term);
  struct member_call call = { .member = old_leader, .kind = CALL_TRANSFER };
  member_run_call (&call);
  struct member *new_leader;
  while ((new_leader = members_leader (members, MEMBERS)) == old_leader)
    g_usleep (1000);
  ck_assert_ptr_nonnull (new_leader);
  ck_assert_uint_eq (atomic_load (&new_leader->term), term + 1);
  propose_range (MEMBERS, 6, 10);
  stop_all (MEMBERS);
}
END_TEST

/* ------------------------------------------------------------ faulty disks */

static atomic_bool disk_full;
static atomic_bool disk_slow;
static atomic_bool disk_broken;

static int
faulty_allocate (void *context, int fd, int64_t length)
{
  if (!atomic_load (&disk_full))
    return cyd_system_files ()->allocate (context, fd, length);
  errno = ENOSPC;
  return -1;
}

static int
faulty_sync (void *context, int fd)
{
  if (atomic_load (&disk_slow))
    g_usleep (2 * CYR_ELECTION_TIMEOUT_MS * 1000);
  if (!atomic_load (&disk_broken))
    return cyd_system_files ()->sync (context, fd);
  errno = EIO;
  return -1;
}

static struct cyd_files
create_faulty_files (void)
{
  struct cyd_files files = *cyd_system_files ();
  files.allocate = faulty_allocate;
  files.sync = faulty_sync;
  return files;
}

/* On a full disk a proposal is rejected before it is accepted.  The member
   continues and accepts changes again once there is space.  */
START_TEST (test_full_disk)
{
  struct cyd_files files = create_faulty_files ();
  base_folder = members_folder ();
  member_init (&members[0], 1, base_folder);
  members_bootstrap (members, 1, &bootstrap);
  members[0].bootstrap = &bootstrap;
  members[0].files = &files;
  member_start (&members[0]);
  propose_range (1, 1, 1);
  atomic_store (&disk_full, true);
  uint64_t last = 1;
  cy_result result = CY_OK;
  while (result == CY_OK)
    {
      ck_assert_uint_lt (last, 100);
      result = propose_next (1, last + 1, 1 << 20);
      last += result == CY_OK;
    }
  ck_assert_int_eq (result, CY_E_STORE_FULL);
  expect_range (&members[0], last);
  ck_assert (atomic_load (&members[0].ready));
  atomic_store (&disk_full, false);
  while ((result = propose_next (1, last + 1, 8)) != CY_OK)
    ck_assert_int_eq (result, CY_E_STORE_FULL);
  expect_range (&members[0], last + 1);
  stop_all (1);
}
END_TEST

/* A leader whose sync takes longer than the election timeout stays leader.  */
START_TEST (test_slow_disk)
{
  struct cyd_files files = create_faulty_files ();
  base_folder = members_folder ();
  for (size_t i = 0; i < MEMBERS; i++)
    member_init (&members[i], i + 1, base_folder);
  members_bootstrap (members, MEMBERS, &bootstrap);
  for (size_t i = 0; i < MEMBERS; i++)
    {
      members[i].bootstrap = &bootstrap;
      members[i].files = &files;
      member_start (&members[i]);
    }
  propose_range (MEMBERS, 1, 1);
  struct member *leader = members_leader (members, MEMBERS);
  uint64_t term = atomic_load (&leader->term);
  atomic_store (&disk_slow, true);
  for (uint64_t value = 2; value <= 3; value++)
    ck_assert_int_eq (member_propose (leader, value), CY_OK);
  atomic_store (&disk_slow, false);
  ck_assert_uint_eq (atomic_load (&leader->term), term);
  stop_all (MEMBERS);
}
END_TEST

#define FULL_MEMBERS 5
#define FULL_MS      1500        /* for which one disk is full */
#define FULL_VALUE   (300 << 10) /* bytes of a proposal */
#define RECOVERY_MS  3000        /* after the last disk has space again */

/* Disk that refuses every write while it is full.  */
struct full_disk
{
  struct cyd_files files;
  atomic_bool full;
};

static struct full_disk full_disks[FULL_MEMBERS];

static bool
refuses_write (void *context)
{
  struct full_disk *disk = context;
  if (!atomic_load (&disk->full))
    return false;
  errno = ENOSPC;
  return true;
}

static int
full_open (void *context, const char *path, int flags)
{
  if ((flags & O_CREAT) != 0 && refuses_write (context))
    return -1;
  return cyd_system_files ()->open (context, path, flags);
}

static ssize_t
full_write (void *context, int fd, const void *bytes, size_t length,
            int64_t offset)
{
  if (refuses_write (context))
    return -1;
  return cyd_system_files ()->write (context, fd, bytes, length, offset);
}

static int
full_allocate (void *context, int fd, int64_t length)
{
  if (refuses_write (context))
    return -1;
  return cyd_system_files ()->allocate (context, fd, length);
}

static void
full_disk_init (struct full_disk *disk)
{
  disk->files = *cyd_system_files ();
  disk->files.open = full_open;
  disk->files.write = full_write;
  disk->files.allocate = full_allocate;
  disk->files.context = disk;
  atomic_store (&disk->full, false);
}

/* Proposes values of FULL_VALUE bytes for DURATION_MS, numbered from *LAST + 1
   on; returns the count of those that were accepted.  */
static unsigned
propose_for (unsigned duration_ms, uint64_t *last)
{
  gint64 until = g_get_monotonic_time () + duration_ms * 1000;
  unsigned accepted = 0;
  while (g_get_monotonic_time () < until)
    {
      struct member *leader = members_leader (members, FULL_MEMBERS);
      ck_assert_ptr_nonnull (leader);
      bool done = member_propose_long (leader, ++*last, FULL_VALUE) == CY_OK;
      accepted += done;
      if (!done)
        g_usleep (20000);
    }
  return accepted;
}

/* Guards against a cluster that accepts no more changes after the disks of its
   members were full, one after another, though all have space again.  In the
   meantime new log files are due on each member.  */
START_TEST (test_full_in_turn)
{
  uint64_t last = 0;
  base_folder = members_folder ();
  for (size_t i = 0; i < FULL_MEMBERS; i++)
    member_init (&members[i], i + 1, base_folder);
  members_bootstrap (members, FULL_MEMBERS, &bootstrap);
  for (size_t i = 0; i < FULL_MEMBERS; i++)
    {
      full_disk_init (&full_disks[i]);
      members[i].bootstrap = &bootstrap;
      members[i].files = &full_disks[i].files;
      member_start (&members[i]);
    }
  propose_for (FULL_MS, &last);
  for (size_t i = 0; i < FULL_MEMBERS; i++)
    {
      atomic_store (&full_disks[i].full, true);
      propose_for (FULL_MS, &last);
      atomic_store (&full_disks[i].full, false);
    }
  propose_for (RECOVERY_MS, &last);
  unsigned accepted = propose_for (RECOVERY_MS, &last);
  ck_assert_msg (accepted >= 10, "accepted %u changes in %d ms", accepted,
                 RECOVERY_MS);
  struct member *leader = members_leader (members, FULL_MEMBERS);
  ck_assert_ptr_nonnull (leader);
  guint applied = leader->applied->len;
  for (size_t i = 0; i < FULL_MEMBERS; i++)
    ck_assert_msg (member_wait_for (&members[i], member_has_applied, applied),
                   "member %zu has applied %u of %u changes", i + 1,
                   members[i].applied->len, applied);
  stop_all (FULL_MEMBERS);
}
END_TEST

START_TEST (test_broken_disk)
{
  struct cyd_files files = create_faulty_files ();
  base_folder = members_folder ();
  member_init (&members[0], 1, base_folder);
  members_bootstrap (members, 1, &bootstrap);
  members[0].bootstrap = &bootstrap;
  members[0].files = &files;
  member_start (&members[0]);
  propose_range (1, 1, 1);
  atomic_store (&disk_broken, true);
  member_propose (&members[0], 2);
  ck_abort_msg ("acknowledged after a failed sync");
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("replica");
  TCase *tcase = tcase_create ("loopback");
  tcase_set_timeout (tcase, 120);
  tcase_add_test (tcase, test_single);
  tcase_add_test (tcase, test_restart_alone);
  tcase_add_test (tcase, test_failover);
  tcase_add_test (tcase, test_lost_disk);
  tcase_add_test (tcase, test_snapshot);
  tcase_add_test (tcase, test_transfer);
  tcase_add_test (tcase, test_full_disk);
  tcase_add_test (tcase, test_full_in_turn);
  tcase_add_test (tcase, test_slow_disk);
  tcase_add_test_raise_signal (tcase, test_broken_disk, SIGABRT);
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}

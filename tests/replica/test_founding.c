/* Bootstrap: the first members agree on one member set whatever messages are
   lost or reordered.  An empty folder never starts a second cluster while a
   disk of the first cluster remains.  */

#include <string.h>

#include "core/cyr_founding.h"
#include "cy_test.h"

#define MEMBERS   3
#define SCHEDULES 3000
#define STEPS     400

/* One member and its disk.  */
struct bootstrap_member
{
  uint64_t folder;
  struct cyr_members *accepted; /* durable accepted set */
  bool founded;                 /* durable: the bootstrap is complete */
  struct cyr_founding *founding;
};

static uint64_t seed;
static struct cy_random random_source;
static struct bootstrap_member bootstrap_members[MEMBERS];
static Cy__MemberSet bootstrap;
static Cy__Member members[MEMBERS];
static Cy__Member *member_pointers[MEMBERS];
static struct cyr_members *first_set; /* first set that was bootstrapped */
static uint64_t wiped_count;

static void
start_member (size_t index)
{
  struct bootstrap_member *member = &bootstrap_members[index];
  cyr_founding_destroy (member->founding);
  member->founding = NULL;
  if (!member->founded)
    member->founding = cyr_founding_create (index + 1, member->folder,
                                            &bootstrap, member->accepted);
}

static void
wipe_disk (size_t index)
{
  struct bootstrap_member *member = &bootstrap_members[index];
  cyr_members_unref (member->accepted);
  member->accepted = NULL;
  member->founded = false;
  member->folder += 1000;
  start_member (index);
  wiped_count++;
}

static void
set_up (uint64_t number)
{
  seed = number;
  random_source = cy_seeded_random (&seed);
  wiped_count = 0;
  cy__member_set__init (&bootstrap);
  bootstrap.n_members = MEMBERS;
  bootstrap.members = member_pointers;
  for (size_t i = 0; i < MEMBERS; i++)
    {
      cy__member__init (&members[i]);
      members[i].id = i + 1;
      member_pointers[i] = &members[i];
      bootstrap_members[i].folder = i + 1;
    }
  for (size_t i = 0; i < MEMBERS; i++)
    start_member (i);
}

static void
tear_down (void)
{
  for (size_t i = 0; i < MEMBERS; i++)
    {
      cyr_founding_destroy (bootstrap_members[i].founding);
      cyr_members_unref (bootstrap_members[i].accepted);
      memset (&bootstrap_members[i], 0, sizeof bootstrap_members[i]);
    }
  cyr_members_unref (first_set);
  first_set = NULL;
}

static bool
are_equal_sets (struct cyr_members *a, struct cyr_members *b)
{
  size_t left_length;
  size_t right_length;
  const uint8_t *left = cyr_members_bytes (a, &left_length);
  const uint8_t *right = cyr_members_bytes (b, &right_length);
  return left_length == right_length && memcmp (left, right, left_length) == 0;
}

static void
process_state (size_t index)
{
  struct bootstrap_member *member = &bootstrap_members[index];
  if (member->founding == NULL)
    return;
  struct cyr_members *accepted = cyr_founding_accepted (member->founding);
  enum cyr_founding_state state = cyr_founding_state (member->founding);
  if (state == CYR_FOUNDING_AGREED && cy_random_below (&random_source, 2) == 0)
    {
      member->accepted = cyr_members_ref (accepted);
      cyr_founding_mark_stored (member->founding);
    }
  if (state != CYR_FOUNDING_DONE)
    return;
  member->founded = true;
  if (first_set == NULL)
    first_set = cyr_members_ref (accepted);
  ck_assert_msg (are_equal_sets (first_set, accepted), "two clusters");
  start_member (index);
}

static void
send_founding_message (size_t from, size_t to)
{
  Cy__RaftFounding body;
  struct bootstrap_member *sender = &bootstrap_members[from];
  Cy__RaftMessage message = CY__RAFT_MESSAGE__INIT;
  if (bootstrap_members[to].founding == NULL || from == to)
    return;
  if (sender->founded)
    cyr_founding_fill_answer (sender->accepted, sender->accepted, to + 1,
                              &body);
  else
    cyr_founding_fill_report (sender->founding, &body);
  message.from = from + 1;
  message.from_folder = sender->folder;
  message.body_case = CY__RAFT_MESSAGE__BODY_FOUNDING;
  message.founding = &body;
  cyr_founding_receive (bootstrap_members[to].founding, &message);
  process_state (to);
}

static void
run_random_steps (int steps, bool faults)
{
  for (int i = 0; i < steps; i++)
    {
      size_t index = cy_random_below (&random_source, MEMBERS);
      if (faults && cy_random_below (&random_source, 40) == 0)
        start_member (index); /* a restart loses state that is not durable */
      process_state (index);
      send_founding_message (cy_random_below (&random_source, MEMBERS), index);
    }
}

/* Without a lost disk every schedule bootstraps one cluster.  */
START_TEST (test_founds)
{
  for (uint64_t number = 1; number <= SCHEDULES; number++)
    {
      set_up (number);
      run_random_steps (STEPS, true);
      run_random_steps (STEPS, false);
      for (size_t i = 0; i < MEMBERS; i++)
        ck_assert_msg (bootstrap_members[i].founded, "seed %lu: member %zu",
                       number, i + 1);
      tear_down ();
    }
}
END_TEST

/* Two of three members lose their disks at any time, whether or not the third
   one is reachable: there is never a second cluster.  */
START_TEST (test_lost_disks)
{
  uint64_t founded = 0;
  for (uint64_t number = 1; number <= SCHEDULES; number++)
    {
      set_up (number);
      run_random_steps ((int)cy_random_below (&random_source, 60), true);
      wipe_disk (0);
      run_random_steps ((int)cy_random_below (&random_source, 60), true);
      wipe_disk (1);
      run_random_steps (STEPS, true);
      founded += first_set != NULL;
      tear_down ();
    }
  ck_assert_uint_gt (founded, SCHEDULES / 10);
}
END_TEST

/* A member that lost its disk detects this from the answer of a member of the
   existing cluster.  */
START_TEST (test_reports_lost_disk)
{
  set_up (1);
  run_random_steps (STEPS, false);
  wipe_disk (0);
  send_founding_message (1, 0);
  ck_assert_int_eq (cyr_founding_state (bootstrap_members[0].founding),
                    CYR_FOUNDING_OTHER_FOLDER);
  run_random_steps (STEPS, false);
  ck_assert (!bootstrap_members[0].founded);
  tear_down ();
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("founding");
  TCase *tcase = tcase_create ("core");
  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, test_founds);
  tcase_add_test (tcase, test_lost_disks);
  tcase_add_test (tcase, test_reports_lost_disk);
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}

/* Single properties of the replication core, each in the situation that needs
   it.  The schedules of test_schedules.c cover what holds at all times.  */

#include "replica/world.h"

#define MEMBERS 3
#define LONG    (3 * CY_NS_PER_S)

static struct world world;

static void
set_up (void)
{
  world_init (&world, 1);
  world_found (&world, MEMBERS);
  world_run (&world, world.now + LONG);
}

static void
tear_down (void)
{
  ck_assert_msg (world.failure == NULL, "%s", world.failure);
  world_clear (&world);
}

static void
pass (cy_time_ns duration)
{
  world_run (&world, world.now + duration);
}

static struct node *
leader_but (const struct node *other)
{
  for (size_t i = 0; i < world.count; i++)
    if (&world.nodes[i] != other && world.nodes[i].up
        && cyr_core_role (world.nodes[i].core) == CYR_LEADER)
      return &world.nodes[i];
  ck_abort_msg ("no leader");
  return NULL;
}

static struct node *
a_follower (void)
{
  return leader_but (NULL) == &world.nodes[0] ? &world.nodes[1]
                                              : &world.nodes[0];
}

static void
cut (const struct node *node, bool from, bool to)
{
  size_t place = (size_t)(node - world.nodes);
  for (size_t i = 0; i < NODES_MAX; i++)
    {
      world.cut[place][i] = from;
      world.cut[i][place] = to;
    }
}

static void
propose (struct node *leader)
{
  uint64_t value = world.next_value++;
  struct cyr_event event = { .kind = CYR_PROPOSE };
  event.propose.data = (const uint8_t *)&value;
  event.propose.length = sizeof value;
  node_step (&world, leader, &event);
}

static struct node *
add (struct node *leader, cy_time_ns sync_time)
{
  struct node *node = world_add_node (&world);
  Cy__Member member = CY__MEMBER__INIT;
  member.id = node->id;
  node->sync_time = sync_time;
  node_start (&world, node);
  struct cyr_event event = { .kind = CYR_ADD_MEMBER };
  event.add.member = &member;
  node_step (&world, leader, &event);
  return node;
}

static void
remove_id (struct node *leader, uint64_t id)
{
  struct cyr_event event = { .kind = CYR_REMOVE_MEMBER };
  event.remove.id = id;
  node_step (&world, leader, &event);
}

#define RETURN_DELAY (60 * CY_NS_PER_MS) /* most, one way between regions */
#define RETURN_SEEDS 500

/* ms after the last start, in 99 runs of 100: the protected time, two rounds
   of preliminary votes, two exchanges of messages.  */
#define RETURN_USUAL (CYR_ELECTION_MS + 2 * 300 + 2 * 120)
/* ms: one lost election more, whose timer runs up to twice as long.  */
#define RETURN_MOST (RETURN_USUAL + 2 * CYR_ELECTION_MS)

/* After all members went and some came back, one after the other, they have a
   leader soon after the time in which a vote might break an old one's lease.
 */
static const struct
{
  size_t members;
  size_t back;
  int64_t step; /* ms between two members' starts */
  int64_t ms;
  int least; /* runs with a leader by then */
} returns[] = {
  { 3, 3, 50, RETURN_USUAL, 495 },
  { 3, 3, 50, RETURN_MOST, 495 },
  { 3, 2, 50, RETURN_USUAL, 495 },
  { 3, 2, 50, RETURN_MOST, 495 },
  { 6, 4, 50, RETURN_USUAL, 495 },
  { 6, 4, 50, RETURN_MOST, 495 },
  /* All at the same moment, as after a loss of power.  */
  { 6, 6, 0, RETURN_USUAL, 495 },
  { 6, 6, 0, RETURN_MOST, 495 },
  { 9, 9, 0, RETURN_USUAL, 495 },
  { 9, 9, 0, RETURN_MOST, 495 },
};

static bool
has_leader (void)
{
  for (size_t i = 0; i < world.count; i++)
    if (world.nodes[i].up && cyr_core_role (world.nodes[i].core) == CYR_LEADER)
      return true;
  return false;
}

START_TEST (test_return)
{
  int soon = 0;
  for (uint64_t seed = 1; seed <= RETURN_SEEDS; seed++)
    {
      world_clear (&world);
      world_init (&world, seed);
      world.delay = RETURN_DELAY;
      world_found (&world, returns[_i].members);
      pass (LONG);
      for (size_t i = 0; i < world.count; i++)
        node_crash (&world, &world.nodes[i]);
      for (size_t i = 0; i < returns[_i].back; i++)
        {
          pass (returns[_i].step * CY_NS_PER_MS);
          node_start (&world, &world.nodes[i]);
        }
      pass (returns[_i].ms * CY_NS_PER_MS);
      soon += has_leader ();
    }
  ck_assert_int_ge (soon, returns[_i].least);
}
END_TEST

/* How many members come back, and how many of the last records their disks
   lost.  */
static const struct
{
  size_t back;
  uint64_t lost;
} restarts[] = { { 1, 0 }, { 2, 0 }, { 6, 0 }, { 1, 3 }, { 6, 3 } };

/* All members lose power; those that come back know what was noted as
   committed at once, without a leader, and no more than their log holds.  */
START_TEST (test_knows_before_leader)
{
  world_clear (&world);
  world_init (&world, 7);
  world_found (&world, 6);
  pass (LONG);
  for (int i = 0; i < 6; i++) /* too few for a snapshot */
    {
      propose (leader_but (NULL));
      pass (100 * CY_NS_PER_MS);
    }
  pass (LONG);
  uint64_t committed = cyr_core_commit (leader_but (NULL)->core);
  for (size_t i = 0; i < world.count; i++)
    node_crash (&world, &world.nodes[i]);
  for (size_t i = 0; i < restarts[_i].back; i++)
    {
      struct node *node = &world.nodes[i];
      disk_cut (&node->disk, committed - restarts[_i].lost + 1);
      ck_assert_uint_gt (node->disk.committed, committed - 3);
      node_start (&world, node);
      struct cyr_event event = { .kind = CYR_TICK };
      node_step (&world, node, &event);
      ck_assert_uint_eq (cyr_core_leader (node->core), 0);
      ck_assert_uint_eq (
          cyr_core_applied (node->core),
          MIN (node->disk.committed, committed - restarts[_i].lost));
      ck_assert_uint_gt (node->state->len, 0);
    }
}
END_TEST

/* A leader that nobody answers steps down, one-way cuts included.  */
START_TEST (test_check_quorum)
{
  struct node *leader = leader_but (NULL);
  cut (leader, _i == 0, _i == 1);
  pass (LONG);
  ck_assert_int_ne (cyr_core_role (leader->core), CYR_LEADER);
  ck_assert_int_lt (cyr_core_age (leader->core, world.now), 0);
  leader_but (leader);
}
END_TEST

/* A paused leader does not vouch for the time that it slept.  */
START_TEST (test_pause)
{
  struct node *leader = leader_but (NULL);
  leader->paused_until = world.now + LONG;
  pass (LONG - 1);
  leader_but (leader);
  ck_assert_int_gt (cyr_core_age (leader->core, world.now),
                    LONG - CY_NS_PER_S);
  pass (LONG);
  ck_assert_int_ne (cyr_core_role (leader->core), CYR_LEADER);
}
END_TEST

/* A member that was cut off for long comes back without disturbing.  */
START_TEST (test_no_disruption)
{
  struct node *leader = leader_but (NULL);
  struct node *away = a_follower ();
  uint64_t term = cyr_core_term (leader->core);
  cut (away, true, true);
  pass (LONG);
  cut (away, false, false);
  pass (LONG);
  ck_assert_ptr_eq (leader_but (NULL), leader);
  ck_assert_uint_eq (cyr_core_term (leader->core), term);
}
END_TEST

/* Half heard: a member that hears nobody but is heard does not disturb.  */
START_TEST (test_one_way)
{
  struct node *leader = leader_but (NULL);
  uint64_t term = cyr_core_term (leader->core);
  cut (a_follower (), false, true);
  pass (2 * LONG);
  ck_assert_uint_eq (cyr_core_term (leader->core), term);
}
END_TEST

/* A member that only the leader does not reach gets no votes from those that
   hear the leader.  */
START_TEST (test_leader_link_cut)
{
  struct node *leader = leader_but (NULL);
  uint64_t term = cyr_core_term (leader->core);
  size_t a = (size_t)(leader - world.nodes);
  size_t b = (size_t)(a_follower () - world.nodes);
  world.cut[a][b] = world.cut[b][a] = true;
  pass (2 * LONG);
  ck_assert_ptr_eq (leader_but (NULL), leader);
  ck_assert_uint_eq (cyr_core_term (leader->core), term);
}
END_TEST

/* A change of members waits for a committed record of the own term and for
   the change before.  */
START_TEST (test_change_waits)
{
  struct node *old = leader_but (NULL);
  cut (old, true, true);
  struct node *fresh = NULL;
  for (int i = 0; i < 8000 && fresh == NULL; i++)
    {
      pass (CY_NS_PER_MS / 4);
      for (size_t k = 0; k < MEMBERS; k++)
        if (&world.nodes[k] != old
            && cyr_core_role (world.nodes[k].core) == CYR_LEADER)
          fresh = &world.nodes[k];
    }
  ck_assert_ptr_nonnull (fresh);
  ck_assert (!cyr_core_is_ready (fresh->core));
  remove_id (fresh, old->id);
  ck_assert_int_eq (world.answer, CY_E_MEMBER_BUSY);
  pass (CY_NS_PER_S);
  remove_id (fresh, old->id);
  ck_assert_int_eq (world.answer, CY_OK);
  remove_id (fresh, fresh->id);
  ck_assert_int_eq (world.answer, CY_E_MEMBER_BUSY);
}
END_TEST

/* A learner becomes a voter only once its own disk holds the log.  */
START_TEST (test_learner_waits)
{
  struct node *leader = leader_but (NULL);
  struct node *learner = add (leader, 4 * LONG);
  pass (LONG);
  ck_assert_ptr_nonnull (
      cyr_members_find (cyr_core_members (leader->core), learner->id));
  ck_assert (
      !cyr_members_is_voter (cyr_core_members (leader->core), learner->id));
  learner->sync_time = CY_NS_PER_MS;
  learner->sync_due = world.now;
  pass (LONG);
  ck_assert (
      cyr_members_is_voter (cyr_core_members (leader->core), learner->id));
}
END_TEST

/* A removed member knows it, also when it was down meanwhile.  */
START_TEST (test_removed_knows)
{
  struct node *leader = leader_but (NULL);
  struct node *removed = a_follower ();
  if (_i == 1)
    node_crash (&world, removed);
  remove_id (leader, removed->id);
  pass (LONG);
  if (_i == 1)
    node_start (&world, removed);
  pass (LONG);
  ck_assert (cyr_core_is_removed (removed->core));
  ck_assert_ptr_eq (leader_but (NULL), leader);
}
END_TEST

/* Flow control: what is in flight to one follower is bounded.  */
START_TEST (test_window)
{
  struct node *leader = leader_but (NULL);
  size_t to = (size_t)(a_follower () - world.nodes);
  size_t sent = 0;
  for (int i = 0; i < 4 * CYR_WINDOW; i++)
    {
      propose (leader);
      node_tick (&world, leader);
    }
  for (guint i = 0; i < world.packets->len; i++)
    sent += g_array_index (world.packets, struct packet, i).to == to;
  ck_assert_uint_le (sent, CYR_WINDOW + 2);
  pass (CY_NS_PER_S);
  ck_assert_uint_eq (world.nodes[to].applied, leader->applied);
}
END_TEST

/* Batching: many proposals make one write and one append per follower.  */
START_TEST (test_batch)
{
  struct node *leader = leader_but (NULL);
  guint before = world.packets->len;
  for (int i = 0; i < CYR_BATCH_RECORDS; i++)
    propose (leader);
  node_tick (&world, leader);
  ck_assert_uint_eq (leader->writes->len, 1);
  ck_assert_uint_le (world.packets->len - before, 2 * (MEMBERS - 1));
  pass (CY_NS_PER_S);
  ck_assert_uint_ge (leader->applied, CYR_BATCH_RECORDS);
}
END_TEST

/* A leader whose disk hangs makes room for another.  */
START_TEST (test_disk_hangs)
{
  struct node *leader = leader_but (NULL);
  leader->sync_time = 10 * LONG;
  propose (leader);
  node_tick (&world, leader);
  pass (2 * LONG);
  ck_assert_int_ne (cyr_core_role (leader->core), CYR_LEADER);
  leader_but (leader);
}
END_TEST

/* A voter of an old folder: the asker binds this member to another one.  */
START_TEST (test_lost_folder)
{
  struct node *lost = a_follower ();
  struct node *other = leader_but (NULL);
  node_crash (&world, lost);
  node_wipe (lost);
  node_start (&world, lost);
  node_crash (&world, other);
  pass (2 * LONG);
  for (size_t i = 0; i < MEMBERS; i++)
    if (world.nodes[i].up)
      ck_assert_int_ne (cyr_core_role (world.nodes[i].core), CYR_LEADER);
  ck_assert_uint_eq (cyr_core_last (lost->core), 0);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("core");
  TCase *tcase = tcase_create ("properties");
  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_set_timeout (tcase, 120); /* under the thread checker */
  tcase_add_loop_test (tcase, test_return, 0, G_N_ELEMENTS (returns));
  tcase_add_loop_test (tcase, test_knows_before_leader, 0,
                       G_N_ELEMENTS (restarts));
  tcase_add_loop_test (tcase, test_check_quorum, 0, 2);
  tcase_add_test (tcase, test_pause);
  tcase_add_test (tcase, test_no_disruption);
  tcase_add_test (tcase, test_one_way);
  tcase_add_test (tcase, test_leader_link_cut);
  tcase_add_test (tcase, test_change_waits);
  tcase_add_test (tcase, test_learner_waits);
  tcase_add_loop_test (tcase, test_removed_knows, 0, 2);
  tcase_add_test (tcase, test_window);
  tcase_add_test (tcase, test_batch);
  tcase_add_test (tcase, test_disk_hangs);
  tcase_add_test (tcase, test_lost_folder);
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}

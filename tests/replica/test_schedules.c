/* Random schedules of the replication core, each from a seed.  Faults occur at
   random, the invariants of world_check.h hold after every step, and after the
   faults have ended there is a leader, progress, and the same state on all
   nodes.

   REPLICA_SEED=N replays one schedule, REPLICA_SCHEDULES=N sets the number of
   schedules.  */

#include <signal.h>
#include <unistd.h>

#include "replica/seeds.h"
#include "replica/world.h"

#define SCHEDULES       10000
#define FAULT_PERIOD_NS (4 * CY_NS_PER_S) /* faults of one schedule */

/* Longest time to a leader, progress and the same state on all nodes.  */
#define CONVERGE_LIMIT_NS (15 * CY_NS_PER_S)

#define SLICE_NS       (30 * CY_NS_PER_MS)
#define FAULT_PERMILLE 120 /* chance of a fault in each slice */

static _Thread_local char seed_text[40]; /* text of print_seed_on_abort */

struct totals
{
  uint64_t acked;
  uint64_t terms;
  uint64_t installed;
  uint64_t changes;
  uint64_t failed;
};

/* ------------------------------------------------------------ clients */

static struct node *
pick_leader (struct cluster *cluster)
{
  struct node *leaders[NODES_MAX];
  size_t count = 0;
  for (size_t i = 0; i < cluster->node_count; i++)
    if (cluster->nodes[i].is_running
        && cluster->nodes[i].paused_until <= cluster->now
        && cyr_core_role (cluster->nodes[i].core) == CYR_LEADER)
      leaders[count++] = &cluster->nodes[i];
  return count == 0 ? NULL : leaders[cluster_random_below (cluster, count)];
}

static void
propose_change (struct cluster *cluster, struct node *leader)
{
  uint64_t value = cluster->next_value++;
  struct cyr_event event = { .kind = CYR_PROPOSE };
  event.propose.data = (const uint8_t *)&value;
  event.propose.length = sizeof value;
  event.propose.token = GSIZE_TO_POINTER (value);
  node_step (cluster, leader, &event);
}

static void
propose_random_count (struct cluster *cluster)
{
  struct node *leader = pick_leader (cluster);
  if (leader == NULL)
    return;
  for (uint64_t i = cluster_random_below (cluster, 4); i > 0; i--)
    propose_change (cluster, leader);
  node_tick (cluster, leader);
}

/* ------------------------------------------------------------ members */

static void
add_member (struct cluster *cluster)
{
  struct node *leader = pick_leader (cluster);
  if (leader == NULL || cluster->node_count == NODES_MAX)
    return;
  struct node *node = cluster_add_node (cluster);
  Cy__Member member = CY__MEMBER__INIT;
  member.id = node->id;
  node_start (cluster, node);
  struct cyr_event event = { .kind = CYR_ADD_MEMBER };
  event.add.member = &member;
  node_step (cluster, leader, &event);
  cluster->member_changes++;
}

static void
remove_member (struct cluster *cluster, uint64_t id)
{
  struct node *leader = pick_leader (cluster);
  if (leader == NULL)
    return;
  struct cyr_event event = { .kind = CYR_REMOVE_MEMBER };
  event.remove.id = id;
  node_step (cluster, leader, &event);
  cluster->member_changes++;
}

/* True when SET still has a quorum after VICTIM lost its disk and LEAVING was
   removed, also if every learner with a lost disk had just been promoted.  */
static bool
keeps_quorum (const struct cluster *cluster, const Cy__MemberSet *set,
              const struct node *victim, const struct node *leaving)
{
  size_t lost_count = 0;
  size_t voters = 0;
  for (size_t i = 0; i < set->n_members; i++)
    {
      const struct node *node
          = &cluster->nodes[cluster_find (cluster, set->members[i]->id)];
      bool has_no_disk = node->has_lost_disk || node == victim;
      if (node == leaving)
        continue;
      lost_count += has_no_disk;
      voters += set->members[i]->voter || has_no_disk;
    }
  return lost_count + voters / 2 + 1 <= voters;
}

/* True when the newest member set of every running node keeps a quorum.  */
static bool
all_sets_keep_quorum (const struct cluster *cluster, const struct node *victim,
                      const struct node *leaving)
{
  for (size_t i = 0; i < cluster->node_count; i++)
    {
      const struct node *node = &cluster->nodes[i];
      if (!node->is_running && !node->has_lost_disk)
        return false; /* a stopped node's member set is not available */
      struct cyr_members *members
          = node->is_running ? cyr_core_members (node->core) : NULL;
      if (members != NULL
          && !keeps_quorum (cluster, cyr_members_set (members), victim,
                            leaving))
        return false;
    }
  return true;
}

/* NODE loses its disk and restarts under its old id with an empty folder.  A
   new member is added to replace it.  */
static void
lose_disk (struct cluster *cluster, struct node *node)
{
  if (!node->is_running || node->has_lost_disk
      || !all_sets_keep_quorum (cluster, node, NULL))
    return;
  node_crash (cluster, node);
  node_wipe (node);
  node_start (cluster, node);
  add_member (cluster);
}

static void
remove_member_without_disk (struct cluster *cluster)
{
  struct node *leader = pick_leader (cluster);
  if (leader == NULL)
    return;
  const Cy__MemberSet *set = cyr_members_set (cyr_core_members (leader->core));
  for (size_t i = 0; i < set->n_members; i++)
    {
      size_t position = cluster_find (cluster, set->members[i]->id);
      if (!cluster->nodes[position].has_lost_disk)
        continue;
      remove_member (cluster, set->members[i]->id);
      return;
    }
}

/* ------------------------------------------------------------ faults */

static void
cut_links (struct cluster *cluster)
{
  size_t a = cluster_random_below (cluster, cluster->node_count);
  size_t b = cluster_random_below (cluster, cluster->node_count);
  bool both = cluster_random_chance (cluster, 500);
  if (cluster_random_chance (cluster, 400))
    {
      for (size_t i = 0; i < cluster->node_count; i++)
        {
          cluster->is_cut[a][i] = true;
          cluster->is_cut[i][a] = both;
        }
      return;
    }
  cluster->is_cut[a][b] = true;
  cluster->is_cut[b][a] |= both;
}

static void
restore_links (struct cluster *cluster)
{
  memset (cluster->is_cut, 0, sizeof cluster->is_cut);
}

static void
crash_node (struct cluster *cluster, struct node *node)
{
  if (!node->is_running)
    return;
  node_crash (cluster, node);
  node->restart_at
      = cluster->now + (cy_time_ns)cluster_random_below (cluster, CY_NS_PER_S);
}

static void
transfer_leadership (struct cluster *cluster)
{
  struct node *leader = pick_leader (cluster);
  struct cyr_event event = { .kind = CYR_TRANSFER };
  if (leader != NULL)
    node_step (cluster, leader, &event);
}

static void
cause_fault (struct cluster *cluster)
{
  struct node *node
      = &cluster->nodes[cluster_random_below (cluster, cluster->node_count)];
  switch (cluster_random_below (cluster, 12))
    {
    case 0:
    case 1:
      crash_node (cluster, node);
      break;
    case 2:
      cut_links (cluster);
      break;
    case 3:
    case 4:
      restore_links (cluster);
      break;
    case 5:
      node->paused_until
          = cluster->now
            + (cy_time_ns)cluster_random_below (cluster, 2 * CY_NS_PER_S);
      break;
    case 6:
      lose_disk (cluster, node);
      break;
    case 7:
      remove_member_without_disk (cluster);
      break;
    case 8:
      add_member (cluster);
      break;
    case 9:
      if (cluster_random_chance (cluster, 300)
          && all_sets_keep_quorum (cluster, NULL, node))
        remove_member (cluster, node->id);
      break;
    case 10:
      transfer_leadership (cluster);
      break;
    case 11:
      cluster->max_sync_duration
          = 1 + (cy_time_ns)cluster_random_below (cluster, 200 * CY_NS_PER_MS);
      cluster->loss_permille = (uint32_t)cluster_random_below (cluster, 200);
      cluster->max_delay
          = 1 + (cy_time_ns)cluster_random_below (cluster, 100 * CY_NS_PER_MS);
      break;
    }
}

static void
restart_due_nodes (struct cluster *cluster, bool all)
{
  for (size_t i = 0; i < cluster->node_count; i++)
    if (cluster->nodes[i].exists && !cluster->nodes[i].is_running
        && (all || cluster->nodes[i].restart_at <= cluster->now))
      node_start (cluster, &cluster->nodes[i]);
}

/* ------------------------------------------------------------ final state */

static void
end_faults (struct cluster *cluster)
{
  cluster->without_faults = true;
  cluster->max_delay = 5 * CY_NS_PER_MS;
  cluster->max_sync_duration = 5 * CY_NS_PER_MS;
  restore_links (cluster);
  restart_due_nodes (cluster, true);
  for (size_t i = 0; i < cluster->node_count; i++)
    cluster->nodes[i].paused_until = 0;
}

/* True when VALUE is acknowledged and every member whose disk is intact has
   applied all records that the leader has applied.  */
static bool
has_converged (struct cluster *cluster, uint64_t value)
{
  struct node *leader = pick_leader (cluster);
  if (leader == NULL || !cyr_core_is_ready (leader->core)
      || g_hash_table_lookup (cluster->acknowledged, GSIZE_TO_POINTER (value))
             == NULL)
    return false;
  const Cy__MemberSet *set = cyr_members_set (cyr_core_members (leader->core));
  for (size_t i = 0; i < set->n_members; i++)
    {
      const struct node *node
          = &cluster->nodes[cluster_find (cluster, set->members[i]->id)];
      if (!node->has_lost_disk && node->applied_index < leader->applied_index)
        return false;
    }
  return true;
}

static void
check_final_state (struct cluster *cluster)
{
  struct node *leader = pick_leader (cluster);
  const Cy__MemberSet *set = cyr_members_set (cyr_core_members (leader->core));
  GHashTable *applied_values = g_hash_table_new (NULL, NULL);
  for (guint i = 0; i < leader->state->len; i++)
    if (!g_hash_table_add (applied_values, GSIZE_TO_POINTER (g_array_index (
                                               leader->state, uint64_t, i))))
      cluster_fail (cluster, "a change was applied twice");
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, cluster->acknowledged);
  while (g_hash_table_iter_next (&iter, &value, NULL))
    if (!g_hash_table_contains (applied_values, value))
      cluster_fail (cluster, "acknowledged change %lu is lost",
                    GPOINTER_TO_SIZE (value));
  for (size_t i = 0; i < set->n_members; i++)
    {
      const struct node *node
          = &cluster->nodes[cluster_find (cluster, set->members[i]->id)];
      if (!node->has_lost_disk && node->applied_index == leader->applied_index
          && (node->state->len != leader->state->len
              || memcmp (node->state->data, leader->state->data,
                         node->state->len * sizeof (uint64_t))
                     != 0))
        cluster_fail (cluster, "state of node %lu differs", node->id);
    }
  g_hash_table_destroy (applied_values);
}

static void
run_until_converged (struct cluster *cluster)
{
  cy_time_ns bound = cluster->now + CONVERGE_LIMIT_NS;
  uint64_t value = 0;
  while (cluster->failure == NULL && cluster->now < bound)
    {
      cluster_run (cluster, cluster->now + SLICE_NS);
      struct node *leader = pick_leader (cluster);
      if (leader != NULL
          && (value == 0 || cluster_random_chance (cluster, 100)))
        {
          value = cluster->next_value;
          propose_change (cluster, leader);
          node_tick (cluster, leader);
        }
      if (value != 0 && has_converged (cluster, value))
        {
          check_final_state (cluster);
          return;
        }
    }
  cluster_fail (cluster, "no leader, progress or agreement within %d s",
                (int)(CONVERGE_LIMIT_NS / CY_NS_PER_S));
}

static void
run_schedule (uint64_t seed, void *context)
{
  struct totals *totals = context;
  static const size_t sizes[] = { 3, 3, 3, 5, 5, 7, 1, 2 };
  struct cluster cluster;
  snprintf (seed_text, sizeof seed_text, "in schedule of seed %lu\n", seed);
  cluster_init (&cluster, seed);
  cluster.loss_permille = (uint32_t)cluster_random_below (&cluster, 100);
  cluster.duplicate_permille = (uint32_t)cluster_random_below (&cluster, 100);
  cluster_bootstrap (
      &cluster, sizes[cluster_random_below (&cluster, G_N_ELEMENTS (sizes))]);
  cy_time_ns end = cluster.now + FAULT_PERIOD_NS;
  while (cluster.now < end && cluster.failure == NULL)
    {
      cluster_run (&cluster, cluster.now + SLICE_NS);
      restart_due_nodes (&cluster, false);
      propose_random_count (&cluster);
      if (cluster_random_chance (&cluster, FAULT_PERMILLE))
        cause_fault (&cluster);
    }
  if (cluster.failure == NULL)
    {
      end_faults (&cluster);
      run_until_converged (&cluster);
    }
  totals->acked += g_hash_table_size (cluster.acknowledged);
  totals->terms += cluster.elected_at->len;
  totals->installed += cluster.snapshots_installed;
  totals->changes += cluster.member_changes;
  if (cluster.failure != NULL)
    {
      totals->failed++;
      printf ("seed %lu: %s\nreplay: REPLICA_SEED=%lu "
              "build/tests/replica/test_schedules\n",
              seed, cluster.failure, seed);
      if (g_getenv ("REPLICA_SEED") != NULL)
        cluster_print (&cluster);
      fflush (stdout);
    }
  cluster_clear (&cluster);
}

/* ------------------------------------------------------------ runs */

/* Prints the seed when a failed assertion of the core aborts the process.  */
static void
print_seed_on_abort (int number)
{
  ssize_t written = write (STDERR_FILENO, seed_text, sizeof seed_text);
  (void)written;
  signal (number, SIG_DFL);
  raise (number);
}

START_TEST (test_schedules)
{
  struct seed_runs runs = { .seed_name = "REPLICA_SEED",
                            .count_name = "REPLICA_SCHEDULES",
                            .count = SCHEDULES,
                            .run = run_schedule,
                            .totals_size = sizeof (struct totals) };
  struct totals totals = { 0 };
  signal (SIGABRT, print_seed_on_abort);
  uint64_t count = run_seeds (&runs, &totals);
  printf ("%lu schedules: %lu acknowledged, %lu terms, "
          "%lu snapshots installed, %lu member changes, %lu failed\n",
          count, totals.acked, totals.terms, totals.installed, totals.changes,
          totals.failed);
  fflush (stdout);
  ck_assert_uint_eq (totals.failed, 0);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("schedules");
  TCase *tcase = tcase_create ("core");
  tcase_set_timeout (tcase, 280);
  tcase_add_test (tcase, test_schedules);
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}

/* Simulated cluster of replication cores for tests with seeds: a network that
   loses, delays, duplicates and reorders messages, disks that lose writes
   which were not synced, and invariants that are checked after every step.  */

#ifndef TESTS_REPLICA_WORLD_H
#define TESTS_REPLICA_WORLD_H

#include "replica/world_check.h"

/* ------------------------------------------------------------ nodes */

static inline struct cyr_members *
unpack_members (const struct image *image)
{
  if (image->members == NULL)
    return NULL;
  return cyr_members_unpack (image->members->data, image->members->len);
}

static inline void
node_start (struct cluster *cluster, struct node *node)
{
  struct cyr_options options = { .member_id = node->id,
                                 .folder_id = node->folder_id,
                                 .random = &cluster->random,
                                 .snapshot_records = 12 };
  uint64_t skip = node->disk.snapshot.index > node->disk.base_index
                      ? node->disk.snapshot.index - node->disk.base_index
                      : 0;
  skip = MIN (skip, node->disk.records->len);
  struct cyr_initial initial
      = { .term = node->disk.term,
          .vote = node->disk.vote,
          .commit_index = node->disk.stored_commit_index,
          .snapshot_index = node->disk.snapshot.index,
          .snapshot_term = node->disk.snapshot.term,
          .members = unpack_members (&node->disk.snapshot),
          .records = (struct cyr_record **)node->disk.records->pdata + skip,
          .record_count = node->disk.records->len - skip };
  node->core = cyr_core_create (&options, &initial, cluster->now);
  cyr_members_unref (initial.members);
  g_array_set_size (node->state, 0);
  if (node->disk.snapshot.state != NULL)
    g_array_append_vals (
        node->state, node->disk.snapshot.state->data,
        (guint)(node->disk.snapshot.state->len / sizeof (uint64_t)));
  node->applied_index = node->commit_index = node->disk.snapshot.index;
  node->is_running = true;
  node->paused_until = 0;
}

static inline struct node *
cluster_add_node (struct cluster *cluster)
{
  struct node *node = &cluster->nodes[cluster->node_count++];
  node->id = cluster->next_id++;
  node->folder_id = 1000 + node->id;
  node->exists = true;
  disk_init (&node->disk);
  node->pending_writes = g_array_new (FALSE, TRUE, sizeof (struct write));
  g_array_set_clear_func (node->pending_writes, write_clear);
  node->state = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  node->pending_proposals
      = g_array_new (FALSE, FALSE, sizeof (struct pending_proposal));
  return node;
}

/* Stops NODE and removes the writes that were not synced, except for a random
   prefix: one prefix for term and vote, another for the log.  */
static inline void
node_crash (struct cluster *cluster, struct node *node)
{
  /* The stored commit index lags behind the applied one.  */
  uint64_t written_commit_index
      = node->applied_index - node->applied_index % 3;
  node->disk.stored_commit_index
      = MAX (node->disk.stored_commit_index, written_commit_index);
  guint kept_state
      = (guint)cluster_random_below (cluster, node->pending_writes->len + 1);
  guint kept_log
      = (guint)cluster_random_below (cluster, node->pending_writes->len + 1);
  for (guint i = 0; i < node->pending_writes->len; i++)
    {
      struct write *write
          = &g_array_index (node->pending_writes, struct write, i);
      guint kept = write->kind == CYR_WRITE_STATE ? kept_state : kept_log;
      if (i < kept)
        disk_write (cluster, &node->disk, write);
    }
  g_array_set_size (node->pending_writes, 0);
  g_array_set_size (node->pending_proposals, 0);
  node->sync_due = 0;
  cyr_core_destroy (node->core);
  node->core = NULL;
  node->is_running = false;
}

static inline void
node_wipe (struct node *node)
{
  if (!node->has_lost_disk)
    node->lost_last_index
        = MAX (disk_last_index (&node->disk), node->disk.snapshot.index);
  disk_clear (&node->disk);
  disk_init (&node->disk);
  node->has_lost_disk = true;
  node->folder_id += 100000;
}

/* ------------------------------------------------------------ network */

static inline void
cluster_send (struct cluster *cluster, struct node *node,
              const Cy__RaftMessage *message)
{
  size_t from = (size_t)(node - cluster->nodes);
  size_t to = cluster_find (cluster, message->to);
  if (to == NODES_MAX || cluster->is_cut[from][to])
    return;
  int copies_left = 1;
  if (!cluster->without_faults
      && cluster_random_chance (cluster, cluster->loss_permille))
    copies_left = 0;
  else if (!cluster->without_faults
           && cluster_random_chance (cluster, cluster->duplicate_permille))
    copies_left = 2;
  for (; copies_left > 0; copies_left--)
    {
      struct packet packet = { .to_node = to };
      packet.length = cy__raft_message__get_packed_size (message);
      packet.bytes = g_malloc (packet.length + 1);
      cy__raft_message__pack (message, packet.bytes);
      packet.due_at = cluster->now + 1
                      + (cy_time_ns)cluster_random_below (
                          cluster, (uint64_t)cluster->max_delay);
      g_array_append_val (cluster->packets, packet);
    }
}

/* ------------------------------------------------------------ actions */

static inline cy_time_ns
draw_sync_end (struct cluster *cluster, const struct node *node)
{
  if (node->sync_duration != 0)
    return cluster->now + node->sync_duration;
  return cluster->now + 1
         + (cy_time_ns)cluster_random_below (
             cluster, (uint64_t)cluster->max_sync_duration);
}

static inline void
enqueue_write (struct cluster *cluster, struct node *node, struct write *write)
{
  g_array_append_val (node->pending_writes, *write);
  if (node->sync_due != 0)
    return;
  node->syncing_sequence = write->sequence;
  node->sync_due = draw_sync_end (cluster, node);
}

static inline void
handle_write (struct cluster *cluster, struct node *node,
              const struct cyr_action *action)
{
  struct write write = { .kind = action->kind, .sequence = action->sequence };
  if (action->kind == CYR_WRITE_STATE)
    {
      write.term = action->state.term;
      write.vote = action->state.vote;
    }
  else if (action->kind == CYR_WRITE_RECORDS)
    {
      write.records = records_new ();
      for (uint64_t i = action->records.first; i <= action->records.last; i++)
        {
          struct cyr_record *record = cyr_core_record (node->core, i);
          check_record (cluster, node, record);
          g_ptr_array_add (write.records, cyr_record_ref (record));
        }
    }
  else if (action->kind == CYR_WRITE_SNAPSHOT
           || action->kind == CYR_SAVE_SNAPSHOT)
    {
      size_t length;
      const uint8_t *members
          = cyr_members_bytes (action->snapshot.members, &length);
      bool is_own_snapshot = action->kind == CYR_SAVE_SNAPSHOT;
      write.image.index = action->snapshot.index;
      write.image.term = action->snapshot.term;
      write.image.members = copy_bytes (members, length);
      write.image.state
          = is_own_snapshot
                ? copy_bytes (node->state->data,
                              node->state->len * sizeof (uint64_t))
                : copy_bytes (action->snapshot.bytes, action->snapshot.length);
    }
  else
    write.index = action->index;
  enqueue_write (cluster, node, &write);
}

static inline void
handle_apply (struct cluster *cluster, struct node *node,
              const struct cyr_record *record)
{
  check_applied (cluster, node, record);
  uint64_t value = 0;
  if (record->kind == CYR_RECORD_CHANGE)
    {
      memcpy (&value, record->data, sizeof value);
      g_array_append_val (node->state, value);
    }
  for (guint i = 0; i < node->pending_proposals->len; i++)
    {
      struct pending_proposal *pending_proposal = &g_array_index (
          node->pending_proposals, struct pending_proposal, i);
      if (pending_proposal->index != record->index)
        continue;
      if (pending_proposal->term == record->term
          && pending_proposal->value != 0)
        g_hash_table_add (cluster->acknowledged,
                          GSIZE_TO_POINTER (pending_proposal->value));
      g_array_remove_index_fast (node->pending_proposals, i);
      return;
    }
}

static inline void
handle_load (struct cluster *cluster, struct node *node,
             const struct cyr_snapshot *snapshot)
{
  if (snapshot->index < node->applied_index)
    cluster_fail (cluster, "node %lu: loaded a snapshot older than its state",
                  node->id);
  node->applied_index = snapshot->index;
  g_array_set_size (node->state, 0);
  g_array_append_vals (node->state, snapshot->bytes,
                       (guint)(snapshot->length / sizeof (uint64_t)));
  cluster->snapshots_installed++;
}

static inline void
send_snapshot_chunk (struct cluster *cluster, struct node *node,
                     Cy__RaftMessage *message)
{
  Cy__RaftSnapshot *body = message->snapshot;
  const struct image *image = &node->disk.snapshot;
  if (image->index != body->last_index || body->offset > image->state->len)
    return;
  body->piece.data = image->state->data + body->offset;
  body->piece.len = MIN (image->state->len - body->offset, CHUNK_BYTES);
  body->last = body->offset + body->piece.len == image->state->len;
  cluster_send (cluster, node, message);
}

static inline void
handle_action (struct cluster *cluster, struct node *node,
               const struct cyr_action *action)
{
  switch (action->kind)
    {
    case CYR_SEND:
      check_durable_reply (cluster, node, action->message);
      cluster_send (cluster, node, action->message);
      break;
    case CYR_SEND_SNAPSHOT:
      send_snapshot_chunk (cluster, node, action->message);
      break;
    case CYR_WRITE_STATE:
    case CYR_TRUNCATE:
    case CYR_WRITE_RECORDS:
    case CYR_WRITE_SNAPSHOT:
    case CYR_SAVE_SNAPSHOT:
    case CYR_COMPACT:
      handle_write (cluster, node, action);
      break;
    case CYR_LOAD:
      handle_load (cluster, node, &action->snapshot);
      break;
    case CYR_APPLY:
      handle_apply (cluster, node, action->record);
      break;
    case CYR_PROPOSED:
      cluster->last_result = action->proposed.result;
      if (action->proposed.result == CY_OK)
        {
          struct pending_proposal pending_proposal
              = { action->proposed.index, cyr_core_term (node->core),
                  GPOINTER_TO_SIZE (action->proposed.token) };
          g_array_append_val (node->pending_proposals, pending_proposal);
        }
      break;
    case CYR_CHANGED:
      break;
    }
}

static inline void
node_step (struct cluster *cluster, struct node *node, struct cyr_event *event)
{
  size_t count;
  struct cyr_members *before = cyr_core_members (node->core);
  if (before != NULL)
    cyr_members_ref (before);
  event->now = cluster->now;
  cyr_core_step (node->core, event);
  const struct cyr_action *actions = cyr_core_actions (node->core, &count);
  for (size_t i = 0; i < count; i++)
    handle_action (cluster, node, &actions[i]);
  check_commit (cluster, node, before);
  cyr_members_unref (before);
  if (cyr_core_role (node->core) == CYR_LEADER)
    {
      check_leader (cluster, node);
      check_confirmation_age (cluster, node);
    }
}

static inline void
node_tick (struct cluster *cluster, struct node *node)
{
  struct cyr_event event = { .kind = CYR_TICK };
  node_step (cluster, node, &event);
}

/* Completes the running sync: the writes that it covers become durable.  */
static inline void
node_complete_sync (struct cluster *cluster, struct node *node)
{
  uint64_t sequence = node->syncing_sequence;
  uint64_t failed_sequence = 0;
  guint done_count = 0;
  while (done_count < node->pending_writes->len)
    {
      struct write *write
          = &g_array_index (node->pending_writes, struct write, done_count);
      if (write->sequence > sequence)
        break;
      if (write->kind == CYR_SAVE_SNAPSHOT && !cluster->without_faults
          && cluster_random_chance (cluster, 100))
        failed_sequence = write->sequence;
      else
        disk_write (cluster, &node->disk, write);
      done_count++;
    }
  g_array_remove_range (node->pending_writes, 0, done_count);
  node->sync_due = 0;
  struct cyr_event event
      = { .kind = CYR_SNAPSHOT_FAILED, .sequence = failed_sequence };
  if (failed_sequence != 0)
    node_step (cluster, node, &event);
  event.kind = CYR_SYNCED;
  event.sequence = sequence;
  node_step (cluster, node, &event);
  if (node->pending_writes->len == 0 || node->sync_due != 0)
    return;
  node->syncing_sequence = g_array_index (node->pending_writes, struct write,
                                          node->pending_writes->len - 1)
                               .sequence;
  node->sync_due = draw_sync_end (cluster, node);
}

/* ------------------------------------------------------------ time */

static inline void
deliver (struct cluster *cluster, guint position)
{
  struct packet packet
      = g_array_index (cluster->packets, struct packet, position);
  struct node *node = &cluster->nodes[packet.to_node];
  g_array_remove_index_fast (cluster->packets, position);
  Cy__RaftMessage *message
      = cy__raft_message__unpack (NULL, packet.length, packet.bytes);
  struct cyr_event event = { .kind = CYR_MESSAGE, .message = message };
  if (node->is_running && message != NULL)
    node_step (cluster, node, &event);
  cy__raft_message__free_unpacked (message, NULL);
  g_free (packet.bytes);
}

static inline cy_time_ns
time_after_pause (const struct node *node, cy_time_ns due)
{
  return MAX (due, node->paused_until);
}

/* Processes the next event that is due before UNTIL; false if there is none.
   Events of a paused node are delayed until the node resumes.  */
static inline bool
cluster_run_next_event (struct cluster *cluster, cy_time_ns until)
{
  cy_time_ns earliest = until;
  guint packet = G_MAXUINT;
  struct node *tick_node = NULL;
  struct node *sync_node = NULL;
  for (guint i = 0; i < cluster->packets->len; i++)
    {
      const struct packet *candidate
          = &g_array_index (cluster->packets, struct packet, i);
      cy_time_ns due = time_after_pause (&cluster->nodes[candidate->to_node],
                                         candidate->due_at);
      if (due >= earliest)
        continue;
      earliest = due;
      packet = i;
    }
  for (size_t i = 0; i < cluster->node_count; i++)
    {
      struct node *node = &cluster->nodes[i];
      if (!node->is_running)
        continue;
      cy_time_ns due
          = time_after_pause (node, cyr_core_next_tick (node->core));
      if (due < earliest)
        {
          earliest = due;
          tick_node = node;
          sync_node = NULL;
        }
      if (node->sync_due != 0
          && time_after_pause (node, node->sync_due) < earliest)
        {
          earliest = time_after_pause (node, node->sync_due);
          sync_node = node;
          tick_node = NULL;
        }
    }
  cluster->now = MAX (cluster->now, earliest);
  if (sync_node != NULL)
    node_complete_sync (cluster, sync_node);
  else if (tick_node != NULL)
    node_tick (cluster, tick_node);
  else if (packet != G_MAXUINT)
    deliver (cluster, packet);
  else
    return false;
  return cluster->failure == NULL;
}

static inline void
cluster_run (struct cluster *cluster, cy_time_ns until)
{
  while (cluster_run_next_event (cluster, until))
    ;
}

/* Prints the state of every node.  */
static inline void
cluster_print (const struct cluster *cluster)
{
  for (size_t i = 0; i < cluster->node_count; i++)
    {
      const struct node *node = &cluster->nodes[i];
      printf ("node %lu folder %lu%s: ", node->id, node->folder_id,
              node->has_lost_disk ? " lost" : "");
      if (!node->is_running)
        {
          printf ("down\n");
          continue;
        }
      printf ("role %d term %lu leader %lu last %lu commit %lu applied %lu "
              "match %lu members",
              (int)cyr_core_role (node->core), cyr_core_term (node->core),
              cyr_core_leader (node->core), cyr_core_last_index (node->core),
              cyr_core_commit_index (node->core),
              cyr_core_applied_index (node->core),
              cyr_core_match_index (node->core, node->id));
      struct cyr_members *members = cyr_core_members (node->core);
      for (size_t k = 0; k < cyr_members_count (members); k++)
        {
          const Cy__Member *member = cyr_members_set (members)->members[k];
          printf (" %lu%s/%lu", member->id, member->voter ? "" : "l",
                  member->folder);
        }
      printf ("\n");
    }
}

/* ------------------------------------------------------------ lifetime */

static inline void
cluster_init (struct cluster *cluster, uint64_t seed)
{
  memset (cluster, 0, sizeof *cluster);
  cluster->seed = seed;
  cluster->random_state = seed;
  cluster->random = cy_seeded_random (&cluster->random_state);
  cluster->now = CY_NS_PER_S;
  cluster->next_id = 1;
  cluster->next_value = 1;
  cluster->max_delay = 5 * CY_NS_PER_MS;
  cluster->max_sync_duration = 5 * CY_NS_PER_MS;
  cluster->packets = g_array_new (FALSE, FALSE, sizeof (struct packet));
  cluster->leader_of_term = g_hash_table_new (NULL, NULL);
  cluster->elected_at = g_array_new (FALSE, FALSE, sizeof (cy_time_ns));
  cluster->votes
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  cluster->records
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  cluster->committed
      = g_array_new (FALSE, FALSE, sizeof (struct cyr_record *));
  cluster->commit_terms = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  cluster->acknowledged = g_hash_table_new (NULL, NULL);
}

/* Bootstraps a cluster of COUNT members.  */
static inline void
cluster_bootstrap (struct cluster *cluster, size_t count)
{
  Cy__Member members[NODES_MAX];
  Cy__Member *member_pointers[NODES_MAX];
  uint64_t folders[NODES_MAX] = { 0 };
  Cy__MemberSet set = CY__MEMBER_SET__INIT;
  set.n_members = count;
  set.members = member_pointers;
  for (size_t i = 0; i < count; i++)
    {
      struct node *node = cluster_add_node (cluster);
      cy__member__init (&members[i]);
      members[i].id = node->id;
      member_pointers[i] = &members[i];
      folders[i] = node->folder_id;
    }
  struct cyr_members *first_set = cyr_members_create_first (&set, folders);
  for (size_t i = 0; i < count; i++)
    {
      struct cyr_event event
          = { .kind = CYR_BOOTSTRAP, .first_set = first_set };
      node_start (cluster, &cluster->nodes[i]);
      node_step (cluster, &cluster->nodes[i], &event);
    }
  cyr_members_unref (first_set);
}

static inline void
cluster_clear (struct cluster *cluster)
{
  for (size_t i = 0; i < cluster->node_count; i++)
    {
      struct node *node = &cluster->nodes[i];
      cyr_core_destroy (node->core);
      g_array_free (node->pending_writes, TRUE);
      g_array_free (node->state, TRUE);
      g_array_free (node->pending_proposals, TRUE);
      disk_clear (&node->disk);
    }
  for (guint i = 0; i < cluster->packets->len; i++)
    g_free (g_array_index (cluster->packets, struct packet, i).bytes);
  for (guint i = 0; i < cluster->committed->len; i++)
    cyr_record_unref (
        g_array_index (cluster->committed, struct cyr_record *, i));
  g_array_free (cluster->packets, TRUE);
  g_array_free (cluster->elected_at, TRUE);
  g_array_free (cluster->committed, TRUE);
  g_array_free (cluster->commit_terms, TRUE);
  g_hash_table_destroy (cluster->leader_of_term);
  g_hash_table_destroy (cluster->votes);
  g_hash_table_destroy (cluster->records);
  g_hash_table_destroy (cluster->acknowledged);
  g_free (cluster->failure);
}

#endif /* TESTS_REPLICA_WORLD_H */

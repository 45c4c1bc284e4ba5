/* A world of replication cores for the seeded schedules: a network that
   loses, delays, repeats and reorders, disks that forget what was not synced,
   and the invariants, checked after every step.  */

#ifndef TESTS_REPLICA_WORLD_H
#define TESTS_REPLICA_WORLD_H

#include "replica/world_check.h"

/* ------------------------------------------------------------ nodes */

static inline struct cyr_members *
members_of (const struct image *image)
{
  if (image->members == NULL)
    return NULL;
  return cyr_members_unpack (image->members->data, image->members->len);
}

static inline void
node_start (struct world *world, struct node *node)
{
  struct cyr_options options = { .self = node->id,
                                 .folder = node->folder,
                                 .random = &world->random,
                                 .snapshot_records = 12 };
  uint64_t skip = node->disk.snapshot.index > node->disk.base
                      ? node->disk.snapshot.index - node->disk.base
                      : 0;
  skip = MIN (skip, node->disk.records->len);
  struct cyr_initial initial
      = { .term = node->disk.term,
          .vote = node->disk.vote,
          .committed = node->disk.committed,
          .snapshot_index = node->disk.snapshot.index,
          .snapshot_term = node->disk.snapshot.term,
          .members = members_of (&node->disk.snapshot),
          .records = (struct cyr_record **)node->disk.records->pdata + skip,
          .record_count = node->disk.records->len - skip };
  node->core = cyr_core_create (&options, &initial, world->now);
  cyr_members_unref (initial.members);
  g_array_set_size (node->state, 0);
  if (node->disk.snapshot.state != NULL)
    g_array_append_vals (
        node->state, node->disk.snapshot.state->data,
        (guint)(node->disk.snapshot.state->len / sizeof (uint64_t)));
  node->applied = node->commit = node->disk.snapshot.index;
  node->up = true;
  node->paused_until = 0;
}

static inline struct node *
world_add_node (struct world *world)
{
  struct node *node = &world->nodes[world->count++];
  node->id = world->next_id++;
  node->folder = 1000 + node->id;
  node->exists = true;
  disk_init (&node->disk);
  node->writes = g_array_new (FALSE, TRUE, sizeof (struct write));
  g_array_set_clear_func (node->writes, write_clear);
  node->state = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  node->waiting = g_array_new (FALSE, FALSE, sizeof (struct waiting));
  return node;
}

/* Stops NODE and forgets what was not synced, but for a random prefix: of
   term and vote one, of the log another.  */
static inline void
node_crash (struct world *world, struct node *node)
{
  /* The notes of what is committed lag behind.  */
  uint64_t noted = node->applied - node->applied % 3;
  node->disk.committed = MAX (node->disk.committed, noted);
  guint kept_state = (guint)world_below (world, node->writes->len + 1);
  guint kept_log = (guint)world_below (world, node->writes->len + 1);
  for (guint i = 0; i < node->writes->len; i++)
    {
      struct write *write = &g_array_index (node->writes, struct write, i);
      guint kept = write->kind == CYR_WRITE_STATE ? kept_state : kept_log;
      if (i < kept)
        disk_write (world, &node->disk, write);
    }
  g_array_set_size (node->writes, 0);
  g_array_set_size (node->waiting, 0);
  node->sync_due = 0;
  cyr_core_destroy (node->core);
  node->core = NULL;
  node->up = false;
}

static inline void
node_wipe (struct node *node)
{
  if (!node->lost)
    node->lost_last = MAX (disk_last (&node->disk), node->disk.snapshot.index);
  disk_clear (&node->disk);
  disk_init (&node->disk);
  node->lost = true;
  node->folder += 100000;
}

/* ------------------------------------------------------------ network */

static inline void
world_post (struct world *world, struct node *node,
            const Cy__RaftMessage *message)
{
  size_t from = (size_t)(node - world->nodes);
  size_t to = world_find (world, message->to);
  if (to == NODES_MAX || world->cut[from][to])
    return;
  int copies = 1;
  if (!world->calm && world_chance (world, world->loss))
    copies = 0;
  else if (!world->calm && world_chance (world, world->duplicate))
    copies = 2;
  for (; copies > 0; copies--)
    {
      struct packet packet = { .to = to };
      packet.length = cy__raft_message__get_packed_size (message);
      packet.bytes = g_malloc (packet.length + 1);
      cy__raft_message__pack (message, packet.bytes);
      packet.due = world->now + 1
                   + (cy_time_ns)world_below (world, (uint64_t)world->delay);
      g_array_append_val (world->packets, packet);
    }
}

/* ------------------------------------------------------------ actions */

static inline cy_time_ns
sync_end (struct world *world, const struct node *node)
{
  if (node->sync_time != 0)
    return world->now + node->sync_time;
  return world->now + 1
         + (cy_time_ns)world_below (world, (uint64_t)world->sync_time);
}

static inline void
add_write (struct world *world, struct node *node, struct write *write)
{
  g_array_append_val (node->writes, *write);
  if (node->sync_due != 0)
    return;
  node->syncing = write->sequence;
  node->sync_due = sync_end (world, node);
}

static inline void
take_write (struct world *world, struct node *node,
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
          check_record (world, node, record);
          g_ptr_array_add (write.records, cyr_record_ref (record));
        }
    }
  else if (action->kind == CYR_WRITE_SNAPSHOT
           || action->kind == CYR_SAVE_SNAPSHOT)
    {
      size_t length;
      const uint8_t *members
          = cyr_members_bytes (action->snapshot.members, &length);
      bool own = action->kind == CYR_SAVE_SNAPSHOT;
      write.image.index = action->snapshot.index;
      write.image.term = action->snapshot.term;
      write.image.members = bytes_of (members, length);
      write.image.state
          = own ? bytes_of (node->state->data,
                            node->state->len * sizeof (uint64_t))
                : bytes_of (action->snapshot.bytes, action->snapshot.length);
    }
  else
    write.index = action->index;
  add_write (world, node, &write);
}

static inline void
take_apply (struct world *world, struct node *node,
            const struct cyr_record *record)
{
  check_applied (world, node, record);
  uint64_t value = 0;
  if (record->kind == CYR_RECORD_CHANGE)
    {
      memcpy (&value, record->data, sizeof value);
      g_array_append_val (node->state, value);
    }
  for (guint i = 0; i < node->waiting->len; i++)
    {
      struct waiting *waiting
          = &g_array_index (node->waiting, struct waiting, i);
      if (waiting->index != record->index)
        continue;
      if (waiting->term == record->term && waiting->value != 0)
        g_hash_table_add (world->acked, GSIZE_TO_POINTER (waiting->value));
      g_array_remove_index_fast (node->waiting, i);
      return;
    }
}

static inline void
take_load (struct world *world, struct node *node,
           const struct cyr_snapshot *snapshot)
{
  if (snapshot->index < node->applied)
    world_fail (world, "node %lu: state went back", node->id);
  node->applied = snapshot->index;
  g_array_set_size (node->state, 0);
  g_array_append_vals (node->state, snapshot->bytes,
                       (guint)(snapshot->length / sizeof (uint64_t)));
  world->snapshots_installed++;
}

static inline void
send_chunk (struct world *world, struct node *node, Cy__RaftMessage *message)
{
  Cy__RaftSnapshot *body = message->snapshot;
  const struct image *image = &node->disk.snapshot;
  if (image->index != body->last_index || body->offset > image->state->len)
    return;
  body->piece.data = image->state->data + body->offset;
  body->piece.len = MIN (image->state->len - body->offset, PIECE_BYTES);
  body->last = body->offset + body->piece.len == image->state->len;
  world_post (world, node, message);
}

static inline void
take_action (struct world *world, struct node *node,
             const struct cyr_action *action)
{
  switch (action->kind)
    {
    case CYR_SEND:
      check_promise (world, node, action->message);
      world_post (world, node, action->message);
      break;
    case CYR_SEND_SNAPSHOT:
      send_chunk (world, node, action->message);
      break;
    case CYR_WRITE_STATE:
    case CYR_TRUNCATE:
    case CYR_WRITE_RECORDS:
    case CYR_WRITE_SNAPSHOT:
    case CYR_SAVE_SNAPSHOT:
    case CYR_COMPACT:
      take_write (world, node, action);
      break;
    case CYR_LOAD:
      take_load (world, node, &action->snapshot);
      break;
    case CYR_APPLY:
      take_apply (world, node, action->record);
      break;
    case CYR_PROPOSED:
      world->answer = action->proposed.result;
      if (action->proposed.result == CY_OK)
        {
          struct waiting waiting
              = { action->proposed.index, cyr_core_term (node->core),
                  GPOINTER_TO_SIZE (action->proposed.token) };
          g_array_append_val (node->waiting, waiting);
        }
      break;
    case CYR_CHANGED:
      break;
    }
}

static inline void
node_step (struct world *world, struct node *node, struct cyr_event *event)
{
  size_t count;
  struct cyr_members *before = cyr_core_members (node->core);
  if (before != NULL)
    cyr_members_ref (before);
  event->now = world->now;
  cyr_core_step (node->core, event);
  const struct cyr_action *actions = cyr_core_actions (node->core, &count);
  for (size_t i = 0; i < count; i++)
    take_action (world, node, &actions[i]);
  check_commit (world, node, before);
  cyr_members_unref (before);
  if (cyr_core_role (node->core) == CYR_LEADER)
    {
      check_leader (world, node);
      check_age (world, node);
    }
}

static inline void
node_tick (struct world *world, struct node *node)
{
  struct cyr_event event = { .kind = CYR_TICK };
  node_step (world, node, &event);
}

/* The sync under way ends: what it covers is durable.  */
static inline void
node_synced (struct world *world, struct node *node)
{
  uint64_t sequence = node->syncing;
  uint64_t failed = 0;
  guint done = 0;
  while (done < node->writes->len)
    {
      struct write *write = &g_array_index (node->writes, struct write, done);
      if (write->sequence > sequence)
        break;
      if (write->kind == CYR_SAVE_SNAPSHOT && !world->calm
          && world_chance (world, 100))
        failed = write->sequence;
      else
        disk_write (world, &node->disk, write);
      done++;
    }
  g_array_remove_range (node->writes, 0, done);
  node->sync_due = 0;
  struct cyr_event event = { .kind = CYR_SNAPSHOT_FAILED, .sequence = failed };
  if (failed != 0)
    node_step (world, node, &event);
  event.kind = CYR_SYNCED;
  event.sequence = sequence;
  node_step (world, node, &event);
  if (node->writes->len == 0 || node->sync_due != 0)
    return;
  node->syncing
      = g_array_index (node->writes, struct write, node->writes->len - 1)
            .sequence;
  node->sync_due = sync_end (world, node);
}

/* ------------------------------------------------------------ time */

static inline void
deliver (struct world *world, guint place)
{
  struct packet packet = g_array_index (world->packets, struct packet, place);
  struct node *node = &world->nodes[packet.to];
  g_array_remove_index_fast (world->packets, place);
  Cy__RaftMessage *message
      = cy__raft_message__unpack (NULL, packet.length, packet.bytes);
  struct cyr_event event = { .kind = CYR_MESSAGE, .message = message };
  if (node->up && message != NULL)
    node_step (world, node, &event);
  cy__raft_message__free_unpacked (message, NULL);
  g_free (packet.bytes);
}

static inline cy_time_ns
awake (const struct node *node, cy_time_ns due)
{
  return MAX (due, node->paused_until);
}

/* Carries out the next thing that is due before UNTIL; false if none.  A
   paused node's events wait until it resumes.  */
static inline bool
world_next (struct world *world, cy_time_ns until)
{
  cy_time_ns best = until;
  guint packet = G_MAXUINT;
  struct node *ticking = NULL;
  struct node *syncing = NULL;
  for (guint i = 0; i < world->packets->len; i++)
    {
      const struct packet *waiting
          = &g_array_index (world->packets, struct packet, i);
      cy_time_ns due = awake (&world->nodes[waiting->to], waiting->due);
      if (due >= best)
        continue;
      best = due;
      packet = i;
    }
  for (size_t i = 0; i < world->count; i++)
    {
      struct node *node = &world->nodes[i];
      if (!node->up)
        continue;
      cy_time_ns due = awake (node, cyr_core_next_tick (node->core));
      if (due < best)
        {
          best = due;
          ticking = node;
          syncing = NULL;
        }
      if (node->sync_due != 0 && awake (node, node->sync_due) < best)
        {
          best = awake (node, node->sync_due);
          syncing = node;
          ticking = NULL;
        }
    }
  world->now = MAX (world->now, best);
  if (syncing != NULL)
    node_synced (world, syncing);
  else if (ticking != NULL)
    node_tick (world, ticking);
  else if (packet != G_MAXUINT)
    deliver (world, packet);
  else
    return false;
  return world->failure == NULL;
}

static inline void
world_run (struct world *world, cy_time_ns until)
{
  while (world_next (world, until))
    ;
}

/* Prints what every node believes.  */
static inline void
world_print (const struct world *world)
{
  for (size_t i = 0; i < world->count; i++)
    {
      const struct node *node = &world->nodes[i];
      printf ("node %lu folder %lu%s: ", node->id, node->folder,
              node->lost ? " lost" : "");
      if (!node->up)
        {
          printf ("down\n");
          continue;
        }
      printf ("role %d term %lu leader %lu last %lu commit %lu applied %lu "
              "match %lu members",
              (int)cyr_core_role (node->core), cyr_core_term (node->core),
              cyr_core_leader (node->core), cyr_core_last (node->core),
              cyr_core_commit (node->core), cyr_core_applied (node->core),
              cyr_core_match (node->core, node->id));
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
world_init (struct world *world, uint64_t seed)
{
  memset (world, 0, sizeof *world);
  world->seed = seed;
  world->random_state = seed;
  world->random = cy_seeded_random (&world->random_state);
  world->now = CY_NS_PER_S;
  world->next_id = 1;
  world->next_value = 1;
  world->delay = 5 * CY_NS_PER_MS;
  world->sync_time = 5 * CY_NS_PER_MS;
  world->packets = g_array_new (FALSE, FALSE, sizeof (struct packet));
  world->leaders = g_hash_table_new (NULL, NULL);
  world->elected = g_array_new (FALSE, FALSE, sizeof (cy_time_ns));
  world->votes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  world->records
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  world->committed = g_array_new (FALSE, FALSE, sizeof (struct cyr_record *));
  world->committed_in = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  world->acked = g_hash_table_new (NULL, NULL);
}

/* Founds a cluster of COUNT members.  */
static inline void
world_found (struct world *world, size_t count)
{
  Cy__Member members[NODES_MAX];
  Cy__Member *places[NODES_MAX];
  uint64_t folders[NODES_MAX] = { 0 };
  Cy__MemberSet set = CY__MEMBER_SET__INIT;
  set.n_members = count;
  set.members = places;
  for (size_t i = 0; i < count; i++)
    {
      struct node *node = world_add_node (world);
      cy__member__init (&members[i]);
      members[i].id = node->id;
      places[i] = &members[i];
      folders[i] = node->folder;
    }
  struct cyr_members *founded = cyr_members_create_first (&set, folders);
  for (size_t i = 0; i < count; i++)
    {
      struct cyr_event event = { .kind = CYR_FOUND, .founded = founded };
      node_start (world, &world->nodes[i]);
      node_step (world, &world->nodes[i], &event);
    }
  cyr_members_unref (founded);
}

static inline void
world_clear (struct world *world)
{
  for (size_t i = 0; i < world->count; i++)
    {
      struct node *node = &world->nodes[i];
      cyr_core_destroy (node->core);
      g_array_free (node->writes, TRUE);
      g_array_free (node->state, TRUE);
      g_array_free (node->waiting, TRUE);
      disk_clear (&node->disk);
    }
  for (guint i = 0; i < world->packets->len; i++)
    g_free (g_array_index (world->packets, struct packet, i).bytes);
  for (guint i = 0; i < world->committed->len; i++)
    cyr_record_unref (
        g_array_index (world->committed, struct cyr_record *, i));
  g_array_free (world->packets, TRUE);
  g_array_free (world->elected, TRUE);
  g_array_free (world->committed, TRUE);
  g_array_free (world->committed_in, TRUE);
  g_hash_table_destroy (world->leaders);
  g_hash_table_destroy (world->votes);
  g_hash_table_destroy (world->records);
  g_hash_table_destroy (world->acked);
  g_free (world->failure);
}

#endif /* TESTS_REPLICA_WORLD_H */

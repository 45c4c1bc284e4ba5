/* Invariants of a simulated cluster of replication cores, checked after every
   step; see world.h.  */

#ifndef TESTS_REPLICA_WORLD_CHECK_H
#define TESTS_REPLICA_WORLD_CHECK_H

#include "replica/world_disk.h"

static inline char *
format_pair (uint64_t a, uint64_t b)
{
  return g_strdup_printf ("%lu %lu", a, b);
}

static inline uint64_t
record_value (const struct cyr_record *record)
{
  uint64_t value = 0;
  memcpy (&value, record->data, MIN (record->length, sizeof value));
  return value ^ ((uint64_t)record->kind << 60);
}

/* A record is identified by index and term: its content and the term of the
   record before it are the same on all nodes.  By induction, logs that share
   a record share all earlier records.  */
static inline void
check_record (struct cluster *cluster, const struct node *node,
              const struct cyr_record *record)
{
  uint64_t previous = 0;
  if (cyr_core_has_record (node->core, record->index - 1))
    previous = cyr_core_record (node->core, record->index - 1)->term;
  char *key = format_pair (record->index, record->term);
  struct known_record *known_record
      = g_hash_table_lookup (cluster->records, key);
  if (known_record == NULL)
    {
      known_record = g_new (struct known_record, 1);
      known_record->previous_term = previous;
      known_record->value = record_value (record);
      g_hash_table_insert (cluster->records, key, known_record);
      return;
    }
  if (known_record->value != record_value (record)
      || (previous != 0 && known_record->previous_term != 0
          && previous != known_record->previous_term))
    cluster_fail (cluster, "node %lu: record %s differs", node->id, key);
  g_free (key);
}

/* State that a message acknowledges must already be durable.  */
static inline void
check_durable_reply (struct cluster *cluster, const struct node *node,
                     const Cy__RaftMessage *message)
{
  if (message->body_case == CY__RAFT_MESSAGE__BODY_APPEND_REPLY
      && message->append_reply->success
      && message->append_reply->match
             > MAX (disk_last_index (&node->disk), node->disk.snapshot.index))
    cluster_fail (cluster, "node %lu acknowledged %lu before its sync",
                  node->id, message->append_reply->match);
  if (message->body_case != CY__RAFT_MESSAGE__BODY_VOTE_REPLY
      || message->vote_reply->pre || !message->vote_reply->granted)
    return;
  uint64_t term = message->vote_reply->term;
  if (node->disk.term < term)
    cluster_fail (cluster, "node %lu voted in term %lu before its sync",
                  node->id, term);
  char *key = format_pair (node->folder_id, term);
  uint64_t other_candidate
      = GPOINTER_TO_SIZE (g_hash_table_lookup (cluster->votes, key));
  if (other_candidate != 0 && other_candidate != message->to)
    cluster_fail (cluster, "node %lu voted twice in term %lu", node->id, term);
  g_hash_table_replace (cluster->votes, key, GSIZE_TO_POINTER (message->to));
}

static inline void
check_leader (struct cluster *cluster, const struct node *node)
{
  uint64_t term = cyr_core_term (node->core);
  gpointer key = GSIZE_TO_POINTER (term);
  uint64_t other_leader
      = GPOINTER_TO_SIZE (g_hash_table_lookup (cluster->leader_of_term, key));
  if (other_leader != 0)
    {
      if (other_leader != node->id)
        cluster_fail (cluster, "two leaders in term %lu", term);
      return;
    }
  g_hash_table_insert (cluster->leader_of_term, key,
                       GSIZE_TO_POINTER (node->id));
  while (cluster->elected_at->len <= term)
    {
      cy_time_ns not_elected = INT64_MAX;
      g_array_append_val (cluster->elected_at, not_elected);
    }
  g_array_index (cluster->elected_at, cy_time_ns, term) = cluster->now;
  for (guint i = 0; i < cluster->committed->len; i++)
    {
      const struct cyr_record *record
          = g_array_index (cluster->committed, struct cyr_record *, i);
      if (g_array_index (cluster->commit_terms, uint64_t, i) >= term)
        continue;
      if (record->index > cyr_core_last_index (node->core)
          || (cyr_core_has_record (node->core, record->index)
              && cyr_core_record (node->core, record->index)->term
                     != record->term))
        cluster_fail (cluster, "leader %lu of term %lu lacks record %lu",
                      node->id, term, record->index);
    }
}

/* No newer leader was elected before the time at which, according to this
   leader, a quorum last confirmed it.  */
static inline void
check_confirmation_age (struct cluster *cluster, const struct node *node)
{
  cy_time_ns age = cyr_core_confirmation_age (node->core, cluster->now);
  if (age < 0)
    return;
  for (guint term = (guint)cyr_core_term (node->core) + 1;
       term < cluster->elected_at->len; term++)
    if (g_array_index (cluster->elected_at, cy_time_ns, term)
        <= cluster->now - age)
      cluster_fail (cluster,
                    "leader %lu reports a confirmation after its successor's "
                    "election",
                    node->id);
}

/* Number of voters of MEMBERS whose disk holds the record, or held it until
   the disk was lost.  */
static inline size_t
count_disks_with_record (const struct cluster *cluster,
                         struct cyr_members *members, uint64_t index,
                         uint64_t term)
{
  const Cy__MemberSet *set = cyr_members_set (members);
  size_t disk_count = 0;
  for (size_t i = 0; i < set->n_members; i++)
    {
      const struct node *voter
          = &cluster->nodes[cluster_find (cluster, set->members[i]->id)];
      if (!set->members[i]->voter)
        continue;
      if (voter->folder_id == set->members[i]->folder)
        disk_count += disk_has_record (&voter->disk, index, term);
      else
        disk_count += voter->has_lost_disk && voter->lost_last_index >= index;
    }
  return disk_count;
}

/* A record that the leader commits is durable on a quorum of the member set
   before or after this step.  */
static inline void
check_commit (struct cluster *cluster, struct node *node,
              struct cyr_members *before)
{
  uint64_t commit = cyr_core_commit_index (node->core);
  struct cyr_members *after = cyr_core_members (node->core);
  if (commit < node->commit_index)
    cluster_fail (cluster, "node %lu: commit index decreased", node->id);
  if (commit == node->commit_index)
    return;
  node->commit_index = commit;
  if (cyr_core_role (node->core) != CYR_LEADER
      || !cyr_core_has_record (node->core, commit))
    return;
  uint64_t term = cyr_core_record (node->core, commit)->term;
  if (term != cyr_core_term (node->core))
    cluster_fail (cluster,
                  "leader %lu of term %lu counted record %lu of term %lu",
                  node->id, cyr_core_term (node->core), commit, term);
  if (count_disks_with_record (cluster, before, commit, term)
          < cyr_members_quorum (before)
      && count_disks_with_record (cluster, after, commit, term)
             < cyr_members_quorum (after))
    cluster_fail (cluster,
                  "leader %lu committed %lu without a quorum of disks",
                  node->id, commit);
}

static inline void
check_applied (struct cluster *cluster, struct node *node,
               const struct cyr_record *record)
{
  if (record->index != node->applied_index + 1)
    cluster_fail (cluster, "node %lu applied %lu after %lu", node->id,
                  record->index, node->applied_index);
  node->applied_index = record->index;
  if (record->index <= cluster->committed->len)
    {
      const struct cyr_record *first_applied = g_array_index (
          cluster->committed, struct cyr_record *, record->index - 1);
      if (first_applied->term != record->term
          || record_value (first_applied) != record_value (record))
        cluster_fail (cluster, "node %lu applied another record %lu", node->id,
                      record->index);
      return;
    }
  struct cyr_record *reference = cyr_record_ref ((struct cyr_record *)record);
  uint64_t term = cyr_core_term (node->core);
  g_array_append_val (cluster->committed, reference);
  g_array_append_val (cluster->commit_terms, term);
}

#endif /* TESTS_REPLICA_WORLD_CHECK_H */

/* Types of a simulated cluster of replication cores, and its disks; see
   world.h.  */

#ifndef TESTS_REPLICA_WORLD_DISK_H
#define TESTS_REPLICA_WORLD_DISK_H

#include <glib.h>
#include <stdarg.h>
#include <string.h>

#include "core/cyr_core.h"
#include "cy_test.h"

#ifndef NODES_MAX
#define NODES_MAX 18
#endif
#define CHUNK_BYTES 48 /* snapshot bytes in one message */

/* ------------------------------------------------------------ types */

/* A snapshot with the packed member set and the state.  */
struct image
{
  uint64_t index;
  uint64_t term;
  GByteArray *members; /* NULL: no snapshot */
  GByteArray *state;
};

/* Durable state of a node.  */
struct disk
{
  uint64_t term;
  uint64_t vote;
  uint64_t stored_commit_index; /* may lag behind the applied index */
  struct image snapshot;
  uint64_t base_index; /* index before the first record */
  GPtrArray *records;  /* struct cyr_record */
};

/* A write that is not durable yet.  */
struct write
{
  enum cyr_action_kind kind;
  uint64_t sequence;
  uint64_t term; /* CYR_WRITE_STATE */
  uint64_t vote;
  uint64_t index; /* CYR_TRUNCATE, CYR_COMPACT */
  GPtrArray *records;
  struct image image;
};

/* A proposal whose record is not applied yet.  */
struct pending_proposal
{
  uint64_t index;
  uint64_t term;
  uint64_t value; /* 0: a member change */
};

struct node
{
  uint64_t id;
  uint64_t folder_id;
  bool exists;
  bool is_running;
  bool has_lost_disk;       /* disk wiped; another id replaces the node */
  uint64_t lost_last_index; /* last index on the wiped disk */
  cy_time_ns paused_until;
  cy_time_ns restart_at;
  struct cyr_core *core;
  struct disk disk;
  GArray *pending_writes;    /* struct write */
  uint64_t syncing_sequence; /* last write that the running sync covers */
  cy_time_ns sync_due;       /* 0: no sync is running */
  cy_time_ns sync_duration;  /* 0: random, see max_sync_duration */
  GArray *state;             /* uint64_t, the applied values */
  GArray *pending_proposals; /* struct pending_proposal */
  uint64_t applied_index;    /* last applied record since the node's start */
  uint64_t commit_index;
};

struct packet
{
  cy_time_ns due_at;
  size_t to_node;
  uint8_t *bytes;
  size_t length;
};

/* Content of the record with one index and term, the same on all nodes.  */
struct known_record
{
  uint64_t previous_term;
  uint64_t value;
};

struct cluster
{
  uint64_t seed;
  uint64_t random_state;
  struct cy_random random;
  cy_time_ns now;
  struct node nodes[NODES_MAX];
  size_t node_count;
  uint64_t next_id;
  GArray *packets; /* struct packet */
  bool is_cut[NODES_MAX][NODES_MAX];
  uint32_t loss_permille;       /* chance to lose a message */
  uint32_t duplicate_permille;  /* chance of a second copy */
  cy_time_ns max_delay;         /* longest transit of a message */
  cy_time_ns max_sync_duration; /* longest random duration of a sync */
  bool without_faults;          /* faults have ended */
  uint64_t next_value;
  GHashTable *leader_of_term; /* term to member id */
  GArray *elected_at;         /* cy_time_ns by term, INT64_MAX: no leader */
  GHashTable *votes;          /* "folder term" to candidate */
  GHashTable *records;        /* "index term" to struct known_record */
  GArray *committed;          /* struct cyr_record *, by index - 1 */
  GArray *commit_terms; /* uint64_t, term of the node that applied it first */
  GHashTable *acknowledged; /* acknowledged values */
  uint64_t snapshots_installed;
  uint64_t member_changes;
  cy_result last_result; /* result of the last proposal or member change */
  char *failure;
};

static inline void
cluster_fail (struct cluster *cluster, const char *format, ...)
{
  if (cluster->failure != NULL)
    return;
  va_list args;
  va_start (args, format);
  cluster->failure = g_strdup_vprintf (format, args);
  va_end (args);
}

static inline uint64_t
cluster_random_below (struct cluster *cluster, uint64_t bound)
{
  return bound == 0 ? 0 : cy_random_below (&cluster->random, bound);
}

static inline bool
cluster_random_chance (struct cluster *cluster, uint32_t permille)
{
  return cluster_random_below (cluster, 1000) < permille;
}

static inline size_t
cluster_find (const struct cluster *cluster, uint64_t id)
{
  for (size_t i = 0; i < cluster->node_count; i++)
    if (cluster->nodes[i].id == id)
      return i;
  return NODES_MAX;
}

/* ------------------------------------------------------------ disks */

static inline GByteArray *
copy_bytes (const void *data, size_t length)
{
  GByteArray *bytes = g_byte_array_new ();
  g_byte_array_append (bytes, data, (guint)length);
  return bytes;
}

static inline void
image_clear (struct image *image)
{
  if (image->members != NULL)
    g_byte_array_unref (image->members);
  if (image->state != NULL)
    g_byte_array_unref (image->state);
  memset (image, 0, sizeof *image);
}

static inline void
write_clear (void *item)
{
  struct write *write = item;
  if (write->records != NULL)
    g_ptr_array_unref (write->records);
  image_clear (&write->image);
}

static inline GPtrArray *
records_new (void)
{
  return g_ptr_array_new_with_free_func ((GDestroyNotify)cyr_record_unref);
}

static inline void
disk_init (struct disk *disk)
{
  memset (disk, 0, sizeof *disk);
  disk->records = records_new ();
}

static inline void
disk_clear (struct disk *disk)
{
  g_ptr_array_unref (disk->records);
  image_clear (&disk->snapshot);
}

static inline uint64_t
disk_last_index (const struct disk *disk)
{
  return disk->base_index + disk->records->len;
}

static inline void
disk_truncate (struct disk *disk, uint64_t first)
{
  if (first <= disk_last_index (disk) && first > disk->base_index)
    g_ptr_array_set_size (disk->records, (gint)(first - disk->base_index - 1));
}

static inline void
disk_set_snapshot (struct disk *disk, struct image *image)
{
  image_clear (&disk->snapshot);
  disk->snapshot = *image;
  memset (image, 0, sizeof *image);
}

/* Makes WRITE durable.  */
static inline void
disk_write (struct cluster *cluster, struct disk *disk, struct write *write)
{
  switch (write->kind)
    {
    case CYR_WRITE_STATE:
      disk->term = write->term;
      disk->vote = write->vote;
      break;
    case CYR_TRUNCATE:
      disk_truncate (disk, write->index);
      break;
    case CYR_WRITE_RECORDS:
      for (guint i = 0; i < write->records->len; i++)
        {
          struct cyr_record *record = write->records->pdata[i];
          if (record->index != disk_last_index (disk) + 1)
            cluster_fail (cluster, "record %lu written after %lu",
                          record->index, disk_last_index (disk));
          g_ptr_array_add (disk->records, cyr_record_ref (record));
        }
      break;
    case CYR_WRITE_SNAPSHOT:
      disk_set_snapshot (disk, &write->image);
      g_ptr_array_set_size (disk->records, 0);
      disk->base_index = disk->snapshot.index;
      break;
    case CYR_SAVE_SNAPSHOT:
      disk_set_snapshot (disk, &write->image);
      break;
    case CYR_COMPACT:
      while (disk->base_index < MIN (write->index, disk->snapshot.index)
             && disk->records->len > 0)
        {
          g_ptr_array_remove_index (disk->records, 0);
          disk->base_index++;
        }
      break;
    case CYR_SEND:
    case CYR_SEND_SNAPSHOT:
    case CYR_LOAD:
    case CYR_APPLY:
    case CYR_PROPOSED:
    case CYR_CHANGED:
      break;
    }
}

/* True when DISK contains the record INDEX of TERM or a snapshot that covers
   it.  */
static inline bool
disk_has_record (const struct disk *disk, uint64_t index, uint64_t term)
{
  if (index <= disk->snapshot.index)
    return true;
  if (index <= disk->base_index || index > disk_last_index (disk))
    return false;
  const struct cyr_record *record
      = disk->records->pdata[index - disk->base_index - 1];
  return record->term == term;
}

#endif /* TESTS_REPLICA_WORLD_DISK_H */

/* The parts of a world of replication cores and its disks; see world.h.  */

#ifndef TESTS_REPLICA_WORLD_DISK_H
#define TESTS_REPLICA_WORLD_DISK_H

#include <glib.h>
#include <stdarg.h>
#include <string.h>

#include "core/cyr_core.h"
#include "cy_test.h"

#define NODES_MAX   12
#define PIECE_BYTES 48 /* of a snapshot in one message */

/* ------------------------------------------------------------ parts */

struct image
{
  uint64_t index;
  uint64_t term;
  GByteArray *members; /* NULL: no snapshot */
  GByteArray *state;
};

/* What is durable.  */
struct disk
{
  uint64_t term;
  uint64_t vote;
  uint64_t committed; /* as far as it was noted */
  struct image snapshot;
  uint64_t base;      /* index before the first record */
  GPtrArray *records; /* struct cyr_record */
};

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

struct waiting
{
  uint64_t index;
  uint64_t term;
  uint64_t value; /* 0: a member change */
};

struct node
{
  uint64_t id;
  uint64_t folder;
  bool exists;
  bool up;
  bool lost;          /* its disk was wiped; another id takes its place */
  uint64_t lost_last; /* what the wiped disk held */
  cy_time_ns paused_until;
  cy_time_ns restart_at;
  struct cyr_core *core;
  struct disk disk;
  GArray *writes;       /* struct write, not durable */
  uint64_t syncing;     /* sequence that the sync under way covers */
  cy_time_ns sync_due;  /* 0: none under way */
  cy_time_ns sync_time; /* 0: the world's */
  GArray *state;        /* uint64_t, the machine */
  GArray *waiting;      /* struct waiting */
  uint64_t applied;     /* highest in this life */
  uint64_t commit;
};

struct packet
{
  cy_time_ns due;
  size_t to;
  uint8_t *bytes;
  size_t length;
};

/* What happened to one index and term, the same wherever it is seen.  */
struct seen
{
  uint64_t previous_term;
  uint64_t value;
};

struct world
{
  uint64_t seed;
  uint64_t random_state;
  struct cy_random random;
  cy_time_ns now;
  struct node nodes[NODES_MAX];
  size_t count;
  uint64_t next_id;
  GArray *packets; /* struct packet */
  bool cut[NODES_MAX][NODES_MAX];
  uint32_t loss;      /* of 1000 */
  uint32_t duplicate; /* of 1000 */
  cy_time_ns delay;   /* longest */
  cy_time_ns sync_time;
  bool calm; /* no faults any more */
  uint64_t next_value;
  GHashTable *leaders;  /* term to id */
  GArray *elected;      /* cy_time_ns by term */
  GHashTable *votes;    /* "folder term" to candidate */
  GHashTable *records;  /* "index term" to struct seen */
  GArray *committed;    /* struct cyr_record *, by index - 1 */
  GArray *committed_in; /* uint64_t, terms of who committed them */
  GHashTable *acked;    /* values */
  uint64_t snapshots_installed;
  uint64_t changes;
  cy_result answer; /* to the last proposal or member change */
  char *failure;
};

static inline void
world_fail (struct world *world, const char *format, ...)
{
  if (world->failure != NULL)
    return;
  va_list args;
  va_start (args, format);
  world->failure = g_strdup_vprintf (format, args);
  va_end (args);
}

static inline uint64_t
world_below (struct world *world, uint64_t bound)
{
  return bound == 0 ? 0 : cy_random_below (&world->random, bound);
}

static inline bool
world_chance (struct world *world, uint32_t of_1000)
{
  return world_below (world, 1000) < of_1000;
}

static inline size_t
world_find (const struct world *world, uint64_t id)
{
  for (size_t i = 0; i < world->count; i++)
    if (world->nodes[i].id == id)
      return i;
  return NODES_MAX;
}

/* ------------------------------------------------------------ disks */

static inline GByteArray *
bytes_of (const void *data, size_t length)
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
write_clear (void *place)
{
  struct write *write = place;
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
disk_last (const struct disk *disk)
{
  return disk->base + disk->records->len;
}

static inline void
disk_cut (struct disk *disk, uint64_t first)
{
  if (first <= disk_last (disk) && first > disk->base)
    g_ptr_array_set_size (disk->records, (gint)(first - disk->base - 1));
}

static inline void
disk_take_image (struct disk *disk, struct image *image)
{
  image_clear (&disk->snapshot);
  disk->snapshot = *image;
  memset (image, 0, sizeof *image);
}

/* Makes WRITE durable.  */
static inline void
disk_write (struct world *world, struct disk *disk, struct write *write)
{
  switch (write->kind)
    {
    case CYR_WRITE_STATE:
      disk->term = write->term;
      disk->vote = write->vote;
      break;
    case CYR_TRUNCATE:
      disk_cut (disk, write->index);
      break;
    case CYR_WRITE_RECORDS:
      for (guint i = 0; i < write->records->len; i++)
        {
          struct cyr_record *record = write->records->pdata[i];
          if (record->index != disk_last (disk) + 1)
            world_fail (world, "record %lu written after %lu", record->index,
                        disk_last (disk));
          g_ptr_array_add (disk->records, cyr_record_ref (record));
        }
      break;
    case CYR_WRITE_SNAPSHOT:
      disk_take_image (disk, &write->image);
      g_ptr_array_set_size (disk->records, 0);
      disk->base = disk->snapshot.index;
      break;
    case CYR_SAVE_SNAPSHOT:
      disk_take_image (disk, &write->image);
      break;
    case CYR_COMPACT:
      while (disk->base < MIN (write->index, disk->snapshot.index)
             && disk->records->len > 0)
        {
          g_ptr_array_remove_index (disk->records, 0);
          disk->base++;
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

/* True when DISK holds the record INDEX of TERM or a snapshot over it.  */
static inline bool
disk_holds (const struct disk *disk, uint64_t index, uint64_t term)
{
  if (index <= disk->snapshot.index)
    return true;
  if (index <= disk->base || index > disk_last (disk))
    return false;
  const struct cyr_record *record
      = disk->records->pdata[index - disk->base - 1];
  return record->term == term;
}

#endif /* TESTS_REPLICA_WORLD_DISK_H */

/* In-memory files for the tests of the store.  Data that was not synced can be
   lost in part; writes can be short; the disk can be full; any operation can
   be the last one before a power failure.  */

#ifndef TESTS_STORE_FAKE_FILES_H
#define TESTS_STORE_FAKE_FILES_H

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <string.h>

#include "cy_test.h"
#include "store/cyd_files.h"

#define SECTOR_BYTES 512 /* unit that a disk writes atomically */
#define FDS_MAX      64
#define NO_LIMIT     INT64_MAX

struct fake_file
{
  int references; /* number of names and open descriptors */
  GByteArray *data;
  GByteArray *durable;
  bool locked;
};

struct fake_disk
{
  struct cyd_files files;
  GHashTable *names;   /* name to struct fake_file */
  GHashTable *durable; /* names at the last sync of the folder */
  struct fake_file *fds[FDS_MAX];
  int64_t space_bytes;     /* bytes that all files together may have */
  int64_t operations_left; /* operations until the power failure */
  size_t write_max_bytes;  /* most bytes of one write */
  int full_pauses;   /* pauses until writes succeed again, below 0: never */
  bool full_creates; /* files can't be created or allocated until then */
  bool fail_sync;
};

static inline void
fake_file_unref (void *item)
{
  struct fake_file *file = item;
  if (--file->references > 0)
    return;
  g_byte_array_unref (file->data);
  g_byte_array_unref (file->durable);
  g_free (file);
}

static inline struct fake_file *
fake_file_ref (struct fake_file *file)
{
  file->references++;
  return file;
}

/* Counts one operation; false after the power failure.  */
static inline bool
fake_count_operation (struct fake_disk *disk)
{
  if (disk->operations_left <= 0)
    errno = EIO;
  return disk->operations_left-- > 0;
}

static inline const char *
fake_base_name (const char *path)
{
  return strrchr (path, '/') + 1;
}

static inline int64_t
fake_used_bytes (struct fake_disk *disk)
{
  int64_t used = 0;
  GHashTableIter iter;
  gpointer file;
  g_hash_table_iter_init (&iter, disk->names);
  while (g_hash_table_iter_next (&iter, NULL, &file))
    used += ((struct fake_file *)file)->data->len;
  return used;
}

static inline bool
fake_grow (struct fake_disk *disk, struct fake_file *file, int64_t length)
{
  int64_t before = file->data->len;
  if (length <= before)
    return true;
  if (fake_used_bytes (disk) + length - before > disk->space_bytes)
    {
      errno = ENOSPC;
      return false;
    }
  g_byte_array_set_size (file->data, (guint)length);
  memset (file->data->data + before, 0, (size_t)(length - before));
  return true;
}

static inline int
fake_open (void *context, const char *path, int flags)
{
  struct fake_disk *disk = context;
  struct fake_file *file
      = g_hash_table_lookup (disk->names, fake_base_name (path));
  bool writes = (flags & (O_CREAT | O_TRUNC)) != 0;
  if (writes && !fake_count_operation (disk))
    return -1;
  if (file == NULL && !(flags & O_CREAT))
    {
      errno = ENOENT;
      return -1;
    }
  if (file == NULL && disk->full_creates)
    {
      errno = ENOSPC;
      return -1;
    }
  if (file == NULL)
    {
      file = g_new0 (struct fake_file, 1);
      file->references = 1;
      file->data = g_byte_array_new ();
      file->durable = g_byte_array_new ();
      g_hash_table_insert (disk->names, g_strdup (fake_base_name (path)),
                           file);
    }
  if (flags & O_TRUNC)
    g_byte_array_set_size (file->data, 0);
  for (int fd = 0; fd < FDS_MAX; fd++)
    {
      if (disk->fds[fd] != NULL)
        continue;
      disk->fds[fd] = fake_file_ref (file);
      return fd;
    }
  errno = EMFILE;
  return -1;
}

static inline int
fake_close (void *context, int fd)
{
  struct fake_disk *disk = context;
  disk->fds[fd]->locked = false;
  fake_file_unref (disk->fds[fd]);
  disk->fds[fd] = NULL;
  return 0;
}

static inline int64_t
fake_size (void *context, int fd)
{
  return ((struct fake_disk *)context)->fds[fd]->data->len;
}

static inline ssize_t
fake_read (void *context, int fd, void *bytes, size_t length, int64_t offset)
{
  const GByteArray *data = ((struct fake_disk *)context)->fds[fd]->data;
  if (offset >= data->len)
    return 0;
  length = MIN (length, data->len - (size_t)offset);
  memcpy (bytes, data->data + offset, length);
  return (ssize_t)length;
}

static inline ssize_t
fake_write (void *context, int fd, const void *bytes, size_t length,
            int64_t offset)
{
  struct fake_disk *disk = context;
  struct fake_file *file = disk->fds[fd];
  length = MIN (length, disk->write_max_bytes);
  if (disk->full_pauses != 0)
    {
      errno = ENOSPC;
      return -1;
    }
  if (!fake_count_operation (disk)
      || !fake_grow (disk, file, offset + (int64_t)length))
    return -1;
  memcpy (file->data->data + offset, bytes, length);
  return (ssize_t)length;
}

static inline int
fake_sync (void *context, int fd)
{
  struct fake_disk *disk = context;
  struct fake_file *file = disk->fds[fd];
  if (!fake_count_operation (disk) || disk->fail_sync)
    {
      errno = EIO;
      return -1;
    }
  g_byte_array_set_size (file->durable, 0);
  g_byte_array_append (file->durable, file->data->data, file->data->len);
  return 0;
}

static inline int
fake_truncate (void *context, int fd, int64_t length)
{
  struct fake_disk *disk = context;
  if (!fake_count_operation (disk))
    return -1;
  g_byte_array_set_size (disk->fds[fd]->data, (guint)length);
  return 0;
}

static inline int
fake_allocate (void *context, int fd, int64_t length)
{
  struct fake_disk *disk = context;
  if (disk->full_creates)
    {
      errno = ENOSPC;
      return -1;
    }
  if (!fake_count_operation (disk))
    return -1;
  return fake_grow (disk, disk->fds[fd], length) ? 0 : -1;
}

static inline int
fake_rename (void *context, const char *from, const char *to)
{
  struct fake_disk *disk = context;
  if (!fake_count_operation (disk))
    return -1;
  struct fake_file *file = fake_file_ref (
      g_hash_table_lookup (disk->names, fake_base_name (from)));
  g_hash_table_remove (disk->names, fake_base_name (from));
  g_hash_table_replace (disk->names, g_strdup (fake_base_name (to)), file);
  return 0;
}

static inline int
fake_unlink (void *context, const char *path)
{
  struct fake_disk *disk = context;
  if (!fake_count_operation (disk))
    return -1;
  if (g_hash_table_remove (disk->names, fake_base_name (path)))
    return 0;
  errno = ENOENT;
  return -1;
}

static inline int
fake_make_folder (void *context, const char *path)
{
  (void)context;
  (void)path;
  return 0;
}

static inline void
fake_copy_names (GHashTable *from, GHashTable *to)
{
  GHashTableIter iter;
  gpointer name;
  gpointer file;
  g_hash_table_remove_all (to);
  g_hash_table_iter_init (&iter, from);
  while (g_hash_table_iter_next (&iter, &name, &file))
    g_hash_table_insert (to, g_strdup (name), fake_file_ref (file));
}

static inline int
fake_sync_folder (void *context, const char *path)
{
  struct fake_disk *disk = context;
  (void)path;
  if (!fake_count_operation (disk) || disk->fail_sync)
    return -1;
  fake_copy_names (disk->names, disk->durable);
  return 0;
}

static inline int
fake_lock (void *context, int fd)
{
  struct fake_disk *disk = context;
  if (disk->fds[fd]->locked)
    return -1;
  disk->fds[fd]->locked = true;
  return 0;
}

static inline char **
fake_list (void *context, const char *path)
{
  struct fake_disk *disk = context;
  (void)path;
  GPtrArray *names = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer name;
  g_hash_table_iter_init (&iter, disk->names);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    g_ptr_array_add (names, g_strdup (name));
  g_ptr_array_add (names, NULL);
  return (char **)g_ptr_array_free (names, FALSE);
}

static inline void
fake_pause (void *context)
{
  struct fake_disk *disk = context;
  if (disk->full_pauses > 0)
    disk->full_pauses--;
  disk->full_creates = disk->full_creates && disk->full_pauses != 0;
}

static inline void
fake_disk_init (struct fake_disk *disk)
{
  memset (disk, 0, sizeof *disk);
  disk->files = (struct cyd_files){
    fake_open,   fake_close,  fake_size,        fake_read,
    fake_write,  fake_sync,   fake_truncate,    fake_allocate,
    fake_rename, fake_unlink, fake_make_folder, fake_sync_folder,
    fake_lock,   fake_list,   fake_pause,       disk
  };
  disk->names = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                       fake_file_unref);
  disk->durable = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                         fake_file_unref);
  disk->space_bytes = NO_LIMIT;
  disk->operations_left = NO_LIMIT;
  disk->write_max_bytes = SIZE_MAX;
}

static inline void
fake_disk_clear (struct fake_disk *disk)
{
  g_hash_table_destroy (disk->names);
  g_hash_table_destroy (disk->durable);
}

/* Simulates a power failure for one file: each sector has its synced or its
   last written content.  */
static inline void
fake_tear_file (struct fake_file *file, const struct cy_random *random)
{
  GByteArray *data = g_byte_array_new ();
  bool grown = cy_random_below (random, 2) == 0;
  guint length = grown ? file->data->len : file->durable->len;
  g_byte_array_set_size (data, length);
  if (length > 0)
    memset (data->data, 0, length);
  for (guint offset = 0; offset < length; offset += SECTOR_BYTES)
    {
      const GByteArray *source
          = cy_random_below (random, 2) == 0 || offset >= file->durable->len
                ? file->data
                : file->durable;
      if (offset < source->len)
        memcpy (data->data + offset, source->data + offset,
                MIN (SECTOR_BYTES, MIN (length, source->len) - offset));
    }
  g_byte_array_unref (file->data);
  file->data = data;
  g_byte_array_set_size (file->durable, 0);
  g_byte_array_append (file->durable, data->data, data->len);
}

/* Simulates a power failure and a restart.  No file may be open.  */
static inline void
fake_power_cut (struct fake_disk *disk, const struct cy_random *random)
{
  GHashTableIter iter;
  gpointer file;
  fake_copy_names (disk->durable, disk->names);
  g_hash_table_iter_init (&iter, disk->names);
  while (g_hash_table_iter_next (&iter, NULL, &file))
    fake_tear_file (file, random);
  disk->operations_left = NO_LIMIT;
}

/* The last file by name whose name starts with PREFIX, NULL if none.  */
static inline struct fake_file *
fake_find_last (struct fake_disk *disk, const char *prefix)
{
  const char *last_name = NULL;
  GHashTableIter iter;
  gpointer name;
  g_hash_table_iter_init (&iter, disk->names);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    if (g_str_has_prefix (name, prefix)
        && (last_name == NULL || strcmp (name, last_name) > 0))
      last_name = name;
  return last_name == NULL ? NULL
                           : g_hash_table_lookup (disk->names, last_name);
}

static inline void
fake_remove (struct fake_disk *disk, const char *prefix, bool first)
{
  const char *matching_name = NULL;
  GHashTableIter iter;
  gpointer name;
  g_hash_table_iter_init (&iter, disk->names);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    if (g_str_has_prefix (name, prefix)
        && (matching_name == NULL
            || (strcmp (name, matching_name) < 0) == first))
      matching_name = name;
  if (matching_name != NULL)
    g_hash_table_remove (disk->names, matching_name);
}

#endif /* TESTS_STORE_FAKE_FILES_H */

/* Files in memory for the store's tests: what was not synced can be lost, in
   part; writes can be short; the disk can be full; any operation can be the
   last before a power cut.  */

#ifndef TESTS_STORE_FAKE_FILES_H
#define TESTS_STORE_FAKE_FILES_H

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <string.h>

#include "cy_test.h"
#include "store/cyd_files.h"

#define SECTOR   512 /* bytes that a disk writes at once */
#define FDS_MAX  64
#define NO_LIMIT INT64_MAX

struct fake_file
{
  int references; /* names and open descriptors */
  GByteArray *data;
  GByteArray *durable;
  bool locked;
};

struct fake_disk
{
  struct cyd_files files;
  GHashTable *names;   /* name to struct fake_file */
  GHashTable *durable; /* the folder after its last sync */
  struct fake_file *fds[FDS_MAX];
  int64_t space;    /* bytes that may be allocated */
  int64_t left;     /* operations before the power cut */
  size_t write_max; /* bytes that one write takes */
  int no_room;      /* pauses until writes find room again, below 0: never */
  bool sync_fails;
};

static inline void
fake_file_unref (void *place)
{
  struct fake_file *file = place;
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

/* Counts one operation; false once the power is cut.  */
static inline bool
fake_works (struct fake_disk *disk)
{
  if (disk->left <= 0)
    errno = EIO;
  return disk->left-- > 0;
}

static inline const char *
fake_name (const char *path)
{
  return strrchr (path, '/') + 1;
}

static inline int64_t
fake_used (struct fake_disk *disk)
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
  if (fake_used (disk) + length - before > disk->space)
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
  struct fake_file *file = g_hash_table_lookup (disk->names, fake_name (path));
  bool writes = (flags & (O_CREAT | O_TRUNC)) != 0;
  if (writes && !fake_works (disk))
    return -1;
  if (file == NULL && !(flags & O_CREAT))
    {
      errno = ENOENT;
      return -1;
    }
  if (file == NULL)
    {
      file = g_new0 (struct fake_file, 1);
      file->references = 1;
      file->data = g_byte_array_new ();
      file->durable = g_byte_array_new ();
      g_hash_table_insert (disk->names, g_strdup (fake_name (path)), file);
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
  length = MIN (length, disk->write_max);
  if (disk->no_room != 0)
    {
      errno = ENOSPC;
      return -1;
    }
  if (!fake_works (disk) || !fake_grow (disk, file, offset + (int64_t)length))
    return -1;
  memcpy (file->data->data + offset, bytes, length);
  return (ssize_t)length;
}

static inline int
fake_sync (void *context, int fd)
{
  struct fake_disk *disk = context;
  struct fake_file *file = disk->fds[fd];
  if (!fake_works (disk) || disk->sync_fails)
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
  if (!fake_works (disk))
    return -1;
  g_byte_array_set_size (disk->fds[fd]->data, (guint)length);
  return 0;
}

static inline int
fake_allocate (void *context, int fd, int64_t length)
{
  struct fake_disk *disk = context;
  if (!fake_works (disk))
    return -1;
  return fake_grow (disk, disk->fds[fd], length) ? 0 : -1;
}

static inline int
fake_rename (void *context, const char *from, const char *to)
{
  struct fake_disk *disk = context;
  if (!fake_works (disk))
    return -1;
  struct fake_file *file
      = fake_file_ref (g_hash_table_lookup (disk->names, fake_name (from)));
  g_hash_table_remove (disk->names, fake_name (from));
  g_hash_table_replace (disk->names, g_strdup (fake_name (to)), file);
  return 0;
}

static inline int
fake_unlink (void *context, const char *path)
{
  struct fake_disk *disk = context;
  if (!fake_works (disk))
    return -1;
  if (g_hash_table_remove (disk->names, fake_name (path)))
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
  if (!fake_works (disk) || disk->sync_fails)
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
  if (disk->no_room > 0)
    disk->no_room--;
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
  disk->space = NO_LIMIT;
  disk->left = NO_LIMIT;
  disk->write_max = SIZE_MAX;
}

static inline void
fake_disk_clear (struct fake_disk *disk)
{
  g_hash_table_destroy (disk->names);
  g_hash_table_destroy (disk->durable);
}

/* What a power cut leaves of one file: each sector as it was synced or as it
   was last written.  */
static inline void
fake_tear (struct fake_file *file, const struct cy_random *random)
{
  GByteArray *data = g_byte_array_new ();
  bool grown = cy_random_below (random, 2) == 0;
  guint length = grown ? file->data->len : file->durable->len;
  g_byte_array_set_size (data, length);
  if (length > 0)
    memset (data->data, 0, length);
  for (guint place = 0; place < length; place += SECTOR)
    {
      const GByteArray *from
          = cy_random_below (random, 2) == 0 || place >= file->durable->len
                ? file->data
                : file->durable;
      if (place < from->len)
        memcpy (data->data + place, from->data + place,
                MIN (SECTOR, MIN (length, from->len) - place));
    }
  g_byte_array_unref (file->data);
  file->data = data;
  g_byte_array_set_size (file->durable, 0);
  g_byte_array_append (file->durable, data->data, data->len);
}

/* Cuts the power and brings it back.  No file may be open.  */
static inline void
fake_power_cut (struct fake_disk *disk, const struct cy_random *random)
{
  GHashTableIter iter;
  gpointer file;
  fake_copy_names (disk->durable, disk->names);
  g_hash_table_iter_init (&iter, disk->names);
  while (g_hash_table_iter_next (&iter, NULL, &file))
    fake_tear (file, random);
  disk->left = NO_LIMIT;
}

/* The file whose name starts with PREFIX, the last one by name.  */
static inline struct fake_file *
fake_find (struct fake_disk *disk, const char *prefix)
{
  const char *best = NULL;
  GHashTableIter iter;
  gpointer name;
  g_hash_table_iter_init (&iter, disk->names);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    if (g_str_has_prefix (name, prefix)
        && (best == NULL || strcmp (name, best) > 0))
      best = name;
  return best == NULL ? NULL : g_hash_table_lookup (disk->names, best);
}

static inline void
fake_remove (struct fake_disk *disk, const char *prefix, bool first)
{
  const char *best = NULL;
  GHashTableIter iter;
  gpointer name;
  g_hash_table_iter_init (&iter, disk->names);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    if (g_str_has_prefix (name, prefix)
        && (best == NULL || (strcmp (name, best) < 0) == first))
      best = name;
  if (best != NULL)
    g_hash_table_remove (disk->names, best);
}

#endif /* TESTS_STORE_FAKE_FILES_H */

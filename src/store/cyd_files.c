#include "store/cyd_files.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <stdio.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#define FILE_MODE   0600 /* only the owner may read and write */
#define FOLDER_MODE 0700

/* ms, short compared with the time until a leader with a stalled disk steps
   down, CYR_DISK_TIMEOUT_MS.  */
#define PAUSE_MS 50

static int
system_open (void *context, const char *path, int flags)
{
  (void)context;
  return open (path, flags | O_CLOEXEC, FILE_MODE);
}

static int
system_close (void *context, int fd)
{
  (void)context;
  return close (fd);
}

static int64_t
system_size (void *context, int fd)
{
  (void)context;
  struct stat status;
  return fstat (fd, &status) == 0 ? (int64_t)status.st_size : -1;
}

static ssize_t
system_read (void *context, int fd, void *bytes, size_t length, int64_t offset)
{
  (void)context;
  return pread (fd, bytes, length, offset);
}

static ssize_t
system_write (void *context, int fd, const void *bytes, size_t length,
              int64_t offset)
{
  (void)context;
  return pwrite (fd, bytes, length, offset);
}

static int
system_sync (void *context, int fd)
{
  (void)context;
  return fdatasync (fd);
}

static int
system_truncate (void *context, int fd, int64_t length)
{
  (void)context;
  return ftruncate (fd, length);
}

static int
system_allocate (void *context, int fd, int64_t length)
{
  (void)context;
  int error = posix_fallocate (fd, 0, length);
  errno = error;
  return error == 0 ? 0 : -1;
}

static int
system_rename (void *context, const char *from, const char *to)
{
  (void)context;
  return rename (from, to);
}

static int
system_unlink (void *context, const char *path)
{
  (void)context;
  return unlink (path);
}

static int
system_make_folder (void *context, const char *path)
{
  (void)context;
  return g_mkdir_with_parents (path, FOLDER_MODE);
}

static int
system_sync_folder (void *context, const char *path)
{
  (void)context;
  int fd = open (path, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (fd < 0)
    return -1;
  int status = fsync (fd);
  close (fd);
  return status;
}

static int
system_lock (void *context, int fd)
{
  (void)context;
  return flock (fd, LOCK_EX | LOCK_NB);
}

static char **
system_list (void *context, const char *path)
{
  (void)context;
  GDir *folder = g_dir_open (path, 0, NULL);
  if (folder == NULL)
    return NULL;
  GPtrArray *names = g_ptr_array_new ();
  const char *name;
  while ((name = g_dir_read_name (folder)) != NULL)
    g_ptr_array_add (names, g_strdup (name));
  g_dir_close (folder);
  g_ptr_array_add (names, NULL);
  return (char **)g_ptr_array_free (names, FALSE);
}

static void
system_pause (void *context)
{
  (void)context;
  g_usleep (PAUSE_MS * 1000);
}

const struct cyd_files *
cyd_system_files (void)
{
  static const struct cyd_files files
      = { system_open,   system_close,  system_size,        system_read,
          system_write,  system_sync,   system_truncate,    system_allocate,
          system_rename, system_unlink, system_make_folder, system_sync_folder,
          system_lock,   system_list,   system_pause,       NULL };
  return &files;
}

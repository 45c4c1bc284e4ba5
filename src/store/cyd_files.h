/* File operations of the store.  They are replaceable so that tests can inject
   short and torn writes, failed syncs, a full disk and crashes.  Each
   operation works like the POSIX function of its name: -1 and errno on
   failure.  */

#ifndef CYD_FILES_H
#define CYD_FILES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

struct cyd_files
{
  int (*open) (void *context, const char *path, int flags);
  int (*close) (void *context, int fd);
  int64_t (*size) (void *context, int fd);
  ssize_t (*read) (void *context, int fd, void *bytes, size_t length,
                   int64_t offset);
  ssize_t (*write) (void *context, int fd, const void *bytes, size_t length,
                    int64_t offset);
  int (*sync) (void *context, int fd);
  int (*truncate) (void *context, int fd, int64_t length);

  /* Allocates space for the first LENGTH bytes; new bytes are zero.  */
  int (*allocate) (void *context, int fd, int64_t length);
  int (*rename) (void *context, const char *from, const char *to);
  int (*unlink) (void *context, const char *path);
  int (*make_folder) (void *context, const char *path);
  int (*sync_folder) (void *context, const char *path);

  /* Acquires the exclusive lock of the open file without waiting.  */
  int (*lock) (void *context, int fd);

  /* Names in the folder PATH, NULL-terminated, freed by g_strfreev.  NULL when
     the folder can't be opened.  */
  char **(*list) (void *context, const char *path);

  /* Waits between two write attempts on a full disk.  */
  void (*pause) (void *context);
  void *context;
};

/* Operations on the files of the operating system.  */
const struct cyd_files *cyd_system_files (void);

#endif /* CYD_FILES_H */

/* File operations of the store, so that tests can inject short and torn
   writes, failed syncs, a full disk and crashes.  Each operation works like
   the POSIX function of its name: -1 and errno on failure.  */

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

  /* Makes sure that writes up to LENGTH find room, zeros at first.  */
  int (*allocate) (void *context, int fd, int64_t length);
  int (*rename) (void *context, const char *from, const char *to);
  int (*unlink) (void *context, const char *path);
  int (*make_folder) (void *context, const char *path);
  int (*sync_folder) (void *context, const char *path);

  /* Takes the exclusive lock of the open file, never waits.  */
  int (*lock) (void *context, int fd);

  /* Names in a folder, NULL-terminated, freed by g_strfreev.  */
  char **(*list) (void *context, const char *path);

  /* Lets some time pass before a full disk is tried again.  */
  void (*pause) (void *context);
  void *context;
};

/* The system's files.  */
const struct cyd_files *cyd_system_files (void);

#endif /* CYD_FILES_H */

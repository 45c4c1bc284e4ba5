/* Files of the data folder that are read and written in full and replaced
   atomically.  A checksum precedes the content.  */

#ifndef CYD_FILE_H
#define CYD_FILE_H

#include <glib.h>

#include "cy_result.h"
#include "store/cyd_files.h"

/* Write attempts on a full disk, one every 50 ms: 10 s, which is longer than a
   stop of the process may take.  */
#define CYD_FULL_DISK_RETRIES 200

/* Bytes before the content: magic, zero, XXH64 of the content.  */
#define CYD_FILE_HEADER 16

/* Read and write exactly LENGTH bytes, with repeated calls if necessary.
   CY_E_IO, CY_E_STORE_FULL.  */
cy_result cyd_read_all (const struct cyd_files *files, int fd, void *bytes,
                        size_t length, int64_t offset);
cy_result cyd_write_all (const struct cyd_files *files, int fd,
                         const void *bytes, size_t length, int64_t offset);

/* Decides whether a write that can't be rejected any more is repeated: true
   after RESULT was CY_E_STORE_FULL, for CYD_FULL_DISK_RETRIES times, then
   false.  Waits before it returns true.  *ATTEMPTS is 0 before the first
   call.  */
bool cyd_wait_for_space (const struct cyd_files *files, cy_result result,
                         int *attempts);

/* Writes like cyd_write_all but waits while the disk is full, for data that
   can't be rejected any more.  CY_E_STORE_FULL when the disk is still full
   after CYD_FULL_DISK_RETRIES attempts.  Blocks.  */
cy_result cyd_write_when_space (const struct cyd_files *files, int fd,
                                const void *bytes, size_t length,
                                int64_t offset);

/* CY_E_STORE_SYNC when the sync failed: no data written since the last sync
   may be trusted, so the process must end.  */
cy_result cyd_sync (const struct cyd_files *files, int fd);
cy_result cyd_sync_folder (const struct cyd_files *files, const char *folder);

/* Replaces FOLDER/NAME by CONTENT durably: a new file, sync, rename, sync of
   the folder.  */
cy_result cyd_file_replace (const struct cyd_files *files, const char *folder,
                            const char *name, const GByteArray *content);

/* Loads FOLDER/NAME into *CONTENT, which the caller frees.  CY_E_NOT_FOUND,
   CY_E_IO, CY_E_STORE_CORRUPT (logged).  */
cy_result cyd_file_load (const struct cyd_files *files, const char *folder,
                         const char *name, GByteArray **content);

/* Removes FOLDER/NAME.  CY_OK also when there is no such file.  */
cy_result cyd_file_unlink (const struct cyd_files *files, const char *folder,
                           const char *name);

/* Store and load little-endian numbers at POSITION, of any alignment.  */
void cyd_put_u64 (uint8_t *position, uint64_t value);
uint64_t cyd_get_u64 (const uint8_t *position);
void cyd_put_u32 (uint8_t *position, uint32_t value);
uint32_t cyd_get_u32 (const uint8_t *position);

#endif /* CYD_FILE_H */

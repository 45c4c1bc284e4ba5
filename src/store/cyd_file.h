/* Whole files of the data folder: read and written in full, replaced
   atomically, with a checksum in front.  */

#ifndef CYD_FILE_H
#define CYD_FILE_H

#include <glib.h>

#include "cy_result.h"
#include "store/cyd_files.h"

#define CYD_PATIENCE    200 /* pauses, of 50 ms: beyond what a stop may take */
#define CYD_FILE_HEADER 16  /* bytes: magic, zero, XXH64 of the content */

/* Reads and writes LENGTH bytes whatever a single call manages.  CY_E_IO,
   CY_E_STORE_FULL.  */
cy_result cyd_read_all (const struct cyd_files *files, int fd, void *bytes,
                        size_t length, int64_t offset);
cy_result cyd_write_all (const struct cyd_files *files, int fd,
                         const void *bytes, size_t length, int64_t offset);

/* The same, but waits for room on a full disk: for what cannot be refused any
   more.  CY_E_STORE_FULL when there is none after CYD_PATIENCE pauses.  */
cy_result cyd_write_patiently (const struct cyd_files *files, int fd,
                               const void *bytes, size_t length,
                               int64_t offset);

/* CY_E_STORE_SYNC when the disk did not take it: nothing written since the
   last sync may be trusted, so the process must end.  */
cy_result cyd_sync (const struct cyd_files *files, int fd);
cy_result cyd_sync_folder (const struct cyd_files *files, const char *folder);

/* Replaces FOLDER/NAME by CONTENT durably: a new file, sync, rename, sync of
   the folder.  */
cy_result cyd_file_replace (const struct cyd_files *files, const char *folder,
                            const char *name, const GByteArray *content);

/* Loads FOLDER/NAME.  CY_E_NOT_FOUND, CY_E_STORE_CORRUPT (logged).  */
cy_result cyd_file_load (const struct cyd_files *files, const char *folder,
                         const char *name, GByteArray **content);

cy_result cyd_file_unlink (const struct cyd_files *files, const char *folder,
                           const char *name);

/* Little-endian numbers.  */
void cyd_put_u64 (uint8_t *place, uint64_t value);
uint64_t cyd_get_u64 (const uint8_t *place);
void cyd_put_u32 (uint8_t *place, uint32_t value);
uint32_t cyd_get_u32 (const uint8_t *place);

#endif /* CYD_FILE_H */

/* The log on disk: segments of preallocated files, named by the index of
   their first record.  One spare file stays preallocated, so that a full disk
   is detected before a record is accepted.

   Opening distinguishes a torn tail, which was never acknowledged and is
   removed, from damage to synced records, which is an error.  */

#ifndef CYD_LOG_H
#define CYD_LOG_H

#include <glib.h>

#include "core/cyr_record.h"
#include "cy_result.h"
#include "store/cyd_files.h"
#include "store/cyd_vote.h"

#define CYD_SEGMENT_BYTES  (8u << 20) /* size of one segment file */
#define CYD_SEGMENT_HEADER 32 /* bytes: magic, zero, folder, first, XXH64 */

struct cyd_log;

struct cyd_log_options
{
  const struct cyd_files *files;
  const char *path;       /* path of the data folder, borrowed */
  uint64_t folder_id;     /* folder id in the header of each segment */
  struct cyd_vote *vote;  /* stores the synced index, borrowed */
  uint32_t segment_bytes; /* size of a segment file, 0: CYD_SEGMENT_BYTES */
};

/* Opens the log that follows a snapshot (index and term 0 if none).  Adds the
   records after the snapshot to RECORDS, one reference each.  *TORN is the
   number of bytes removed as a torn write.  CY_E_STORE_CORRUPT,
   CY_E_STORE_GAP (both logged).  */
cy_result cyd_log_open (const struct cyd_log_options *options,
                        uint64_t snapshot_index, uint64_t snapshot_term,
                        GPtrArray *records, uint64_t *torn,
                        struct cyd_log **log);
void cyd_log_close (struct cyd_log *log);

/* Writes records without a sync.  */
cy_result cyd_log_append (struct cyd_log *log, struct cyr_record **records,
                          size_t count);

/* Makes all written records durable.  */
cy_result cyd_log_sync (struct cyd_log *log);

/* Removes the records from INDEX on, durably.  */
cy_result cyd_log_truncate (struct cyd_log *log, uint64_t index);

/* Removes all records and restarts the log after a snapshot that ends with
   INDEX, durably.  */
cy_result cyd_log_reset (struct cyd_log *log, uint64_t index);

/* Removes segments whose records all have indexes up to INDEX.  */
cy_result cyd_log_compact (struct cyd_log *log, uint64_t index);

/* Preallocates the spare file if there is none.  CY_E_STORE_FULL.  */
cy_result cyd_log_prepare_spare (struct cyd_log *log);

/* Bytes that certainly fit into preallocated space: those of the spare file if
   there is one, else the rest of the newest segment.  Any thread.  */
uint64_t cyd_log_free_bytes (const struct cyd_log *log);

#endif /* CYD_LOG_H */

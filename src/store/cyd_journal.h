/* A set of records, one for each key, in one file of the data folder.  Changes
   are appended with a checksum.  The file is rewritten when it has grown to a
   multiple of the set, and before the first append after an opening or a
   failed write, as its end may be torn then.  One thread at a time.  */

#ifndef CYD_JOURNAL_H
#define CYD_JOURNAL_H

#include <glib.h>

#include "cy_result.h"
#include "store/cyd_files.h"

/* Size up to which the file is never rewritten because it has grown.  */
#define CYD_JOURNAL_REWRITE_BYTES (256u << 10)

/* Largest file that is read.  */
#define CYD_JOURNAL_BYTES_MAX (64u << 20)

struct cyd_journal;

typedef void (*cyd_journal_visit_fn) (const char *key, GBytes *record,
                                      void *context);

/* Reads FOLDER/NAME, which may be missing, up to the first record that is torn
   or damaged.  FOLDER must exist.  What was read is durable
   only after the next sync.  CY_E_IO.  */
cy_result cyd_journal_open (const struct cyd_files *files, const char *folder,
                            const char *name, struct cyd_journal **journal);
void cyd_journal_close (struct cyd_journal *journal);

/* Calls VISIT for all records, in no particular order.  */
void cyd_journal_each (const struct cyd_journal *journal,
                       cyd_journal_visit_fn visit, void *context);

/* Sets the record of KEY.  It is written by the next sync.  */
void cyd_journal_put (struct cyd_journal *journal, const char *key,
                      GBytes *record);

/* Removes the record of KEY.  The file loses it when it is rewritten.  */
void cyd_journal_remove (struct cyd_journal *journal, const char *key);

/* Makes all records durable.  After any failure the set is unchanged and the
   call may be repeated.  CY_E_STORE_FULL, CY_E_STORE_SYNC, CY_E_IO.  */
cy_result cyd_journal_sync (struct cyd_journal *journal);

/* Size of the file in bytes.  */
uint64_t cyd_journal_size (const struct cyd_journal *journal);

/* Number of syncs that have written records.  */
uint64_t cyd_journal_writes (const struct cyd_journal *journal);

#endif /* CYD_JOURNAL_H */

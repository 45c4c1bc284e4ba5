/* Persistent state of a member in its data folder: identity, term and vote,
   log, newest snapshot, founding set.  Any thread may open the store.  After
   that only the writer's thread uses it, except for cyd_store_free_bytes and
   the snapshot readers.

     lock        locked while the store is open
     identity    cluster, member and folder id
     vote        term, vote, synced and committed index of the log
     founding    first member set that this folder accepted
     log-N       records from N on
     spare       the next file of the log, preallocated
     snapshot-N  state after record N
     discard     the next opening removes all files, for another member
     departures  journal of the backend servers that leave; no state of the
                 member, so that a discarded folder keeps it  */

#ifndef CYD_STORE_H
#define CYD_STORE_H

#include <glib.h>

#include "core/cy_clock.h"
#include "core/cyr_core.h"
#include "cy_result.h"
#include "store/cyd_files.h"

/* Bytes reserved for records that the cluster itself writes.  */
#define CYD_RESERVE_BYTES (128u << 10)

#define CYD_DEPARTURES_NAME "departures"

struct cyd_store;
struct cyd_snapshot;

struct cyd_store_options
{
  const struct cyd_files *files;
  const char *path;    /* data folder */
  const char *cluster; /* name of the cluster */
  uint64_t member;     /* id of the member that the folder belongs to */
  const struct cy_random *random;
  uint32_t segment_bytes; /* size of a segment file, 0: CYD_SEGMENT_BYTES */
};

/* Marks the folder of a member that was removed from the cluster: from now on
   cyd_identity_member finds no member, and the next cyd_store_open starts with
   an empty folder.  Durable.  The folder may be open.  CY_E_STORE_FULL,
   CY_E_STORE_SYNC, CY_E_IO.  */
cy_result cyd_store_discard (const struct cyd_files *files, const char *path);

/* State read from the data folder; freed by cyd_recovered_clear.  */
struct cyd_recovered
{
  uint64_t folder_id; /* id of the data folder */
  uint64_t term;
  uint64_t vote;           /* member that has the vote of the term, 0: none */
  uint64_t commit_index;   /* known committed; may exceed the last record */
  uint64_t snapshot_index; /* last record in the snapshot, 0: no snapshot */
  uint64_t snapshot_term;
  GByteArray *members;  /* packed member set of the snapshot, NULL: none */
  GByteArray *state;    /* state in the snapshot, NULL: none */
  GByteArray *founding; /* packed first member set, NULL: none accepted */
  GPtrArray *records;   /* struct cyr_record after the snapshot */
  uint64_t torn_bytes;  /* bytes of a torn write that were removed */
};
void cyd_recovered_clear (struct cyd_recovered *recovered);

/* Opens or creates the folder.  CY_E_STORE_LOCKED, CY_E_STORE_IDENTITY,
   CY_E_STORE_CORRUPT, CY_E_STORE_GAP, CY_E_STORE_FULL, CY_E_IO; the reason is
   logged with file and offset.  */
cy_result cyd_store_open (const struct cyd_store_options *options,
                          struct cyd_recovered *recovered,
                          struct cyd_store **store);
void cyd_store_close (struct cyd_store *store);

/* Write operations.  Those marked durable return after the sync.  After any
   result but CY_OK the store can't be trusted any more, except when a snapshot
   was not saved.  */
cy_result cyd_store_set_vote (struct cyd_store *store, uint64_t term,
                              uint64_t vote); /* durable */
cy_result cyd_store_append (struct cyd_store *store,
                            struct cyr_record **records, size_t count);
cy_result cyd_store_truncate (struct cyd_store *store,
                              uint64_t index); /* durable */
cy_result cyd_store_sync (struct cyd_store *store);
cy_result cyd_store_commit (struct cyd_store *store,
                            uint64_t index); /* durable */
cy_result cyd_store_set_founding (struct cyd_store *store,
                                  const uint8_t *bytes,
                                  size_t length); /* durable */

/* Saves a snapshot, durable.  After CY_E_STORE_FULL the old snapshot is still
   in place.  With INSTALL, the log is removed and restarts after the
   snapshot; waits for space.  */
cy_result cyd_store_save_snapshot (struct cyd_store *store,
                                   const struct cyr_snapshot *snapshot,
                                   bool install);

/* Removes log segments whose records all have indexes up to INDEX.  */
cy_result cyd_store_compact (struct cyd_store *store, uint64_t index);

/* Preallocates the next log file if that failed before.  Call it periodically
   while cyd_store_free_bytes is low.  CY_E_STORE_FULL.  */
cy_result cyd_store_prepare_spare (struct cyd_store *store);

/* Bytes of records that fit into preallocated space, without the reserve.  Any
   thread.  */
uint64_t cyd_store_free_bytes (const struct cyd_store *store);

/* Opens the snapshot INDEX to read chunks of its state.  Any thread.  The
   snapshot stays readable after a newer one has replaced it.  */
cy_result cyd_snapshot_open (const struct cyd_store *store, uint64_t index,
                             struct cyd_snapshot **snapshot);
uint64_t cyd_snapshot_length (const struct cyd_snapshot *snapshot);
cy_result cyd_snapshot_read (const struct cyd_snapshot *snapshot,
                             uint64_t offset, void *bytes, size_t length);
void cyd_snapshot_close (struct cyd_snapshot *snapshot);

#endif /* CYD_STORE_H */

/* Everything that a member keeps under its data folder: identity, term and
   vote, log, newest snapshot, founding set.  Opened in any thread, then used
   by the writer's thread alone, but for cyd_store_room and snapshot readers.

     lock        held while the store is open
     identity    cluster, member and folder id
     vote        term, vote, how far the log was synced and committed
     founding    first member set that this folder accepted
     log-N       records from N on
     spare       the next file of the log, preallocated
     snapshot-N  state after record N  */

#ifndef CYD_STORE_H
#define CYD_STORE_H

#include <glib.h>

#include "core/cy_clock.h"
#include "core/cyr_core.h"
#include "cy_result.h"
#include "store/cyd_files.h"

#define CYD_RESERVE_BYTES                                                     \
  (128u << 10) /* kept for the cluster's own records                          \
                */

struct cyd_store;
struct cyd_snapshot;

struct cyd_store_options
{
  const struct cyd_files *files;
  const char *path;
  const char *cluster;
  uint64_t member;
  const struct cy_random *random;
  uint32_t segment_bytes; /* 0: CYD_SEGMENT_BYTES */
};

/* What the folder held; cleared by cyd_recovered_clear.  */
struct cyd_recovered
{
  uint64_t folder;
  uint64_t term;
  uint64_t vote;
  uint64_t committed;      /* at least; the log may end before it */
  uint64_t snapshot_index; /* 0: no snapshot */
  uint64_t snapshot_term;
  GByteArray *members;  /* packed, of the snapshot; NULL without one */
  GByteArray *state;    /* of the snapshot; NULL without one */
  GByteArray *founding; /* packed member set, NULL if none */
  GPtrArray *records;   /* struct cyr_record after the snapshot */
  uint64_t torn;        /* bytes cut off */
};
void cyd_recovered_clear (struct cyd_recovered *recovered);

/* Opens or creates the folder.  CY_E_STORE_LOCKED, CY_E_STORE_IDENTITY,
   CY_E_STORE_CORRUPT, CY_E_STORE_GAP, CY_E_STORE_FULL, CY_E_IO; the reason is
   logged with file and offset.  */
cy_result cyd_store_open (const struct cyd_store_options *options,
                          struct cyd_recovered *recovered,
                          struct cyd_store **store);
void cyd_store_close (struct cyd_store *store);

/* Writes.  Those marked durable return after the sync.  Any result but CY_OK
   means that the store can't be trusted any more, except for a snapshot.  */
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

/* Saves a snapshot, durable.  CY_E_STORE_FULL leaves the old one.  INSTALL
   replaces the log by it, too.  */
cy_result cyd_store_save (struct cyd_store *store,
                          const struct cyr_snapshot *snapshot, bool install);
cy_result cyd_store_compact (struct cyd_store *store, uint64_t index);

/* Tries to have room for more; call now and then when there is little.  */
cy_result cyd_store_prepare (struct cyd_store *store);

/* Bytes of records that can be written for certain, beside the reserve.  Any
   thread.  */
uint64_t cyd_store_room (const struct cyd_store *store);

/* Opens the snapshot INDEX for reading pieces of its state.  Any thread; it
   stays readable after a newer one has replaced it.  */
cy_result cyd_snapshot_open (const struct cyd_store *store, uint64_t index,
                             struct cyd_snapshot **snapshot);
uint64_t cyd_snapshot_length (const struct cyd_snapshot *snapshot);
cy_result cyd_snapshot_read (const struct cyd_snapshot *snapshot,
                             uint64_t offset, void *bytes, size_t length);
void cyd_snapshot_close (struct cyd_snapshot *snapshot);

#endif /* CYD_STORE_H */

/* In-memory part of the log: the records after a base index and the member
   sets among them.  All calls come from one thread at a time.  */

#ifndef CYR_LOG_H
#define CYR_LOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/cyr_members.h"
#include "core/cyr_record.h"

struct cyr_log;

/* Creates a log that starts after BASE_INDEX of BASE_TERM.  MEMBERS (may be
   NULL) is the member set at the base; the log adds a reference.  */
struct cyr_log *cyr_log_create (uint64_t base_index, uint64_t base_term,
                                struct cyr_members *members);
void cyr_log_destroy (struct cyr_log *log);

uint64_t cyr_log_base_index (const struct cyr_log *log);
uint64_t cyr_log_last_index (const struct cyr_log *log);
uint64_t cyr_log_last_term (const struct cyr_log *log);

/* Bytes of data in the records after INDEX.  */
size_t cyr_log_bytes_after (const struct cyr_log *log, uint64_t index);

/* True when INDEX is between base and last index, both included, so that its
   term is known.  */
bool cyr_log_has_term (const struct cyr_log *log, uint64_t index);
uint64_t cyr_log_term (const struct cyr_log *log, uint64_t index);

/* The record INDEX, which is greater than the base index and at most the last
   one; borrowed.  */
struct cyr_record *cyr_log_get (const struct cyr_log *log, uint64_t index);

/* Appends RECORD, whose index is last + 1, and takes over the reference.  */
void cyr_log_append (struct cyr_log *log, struct cyr_record *record);

/* Removes the records from INDEX on.  */
void cyr_log_truncate (struct cyr_log *log, uint64_t index);

/* Removes the records up to INDEX, which becomes the base.  */
void cyr_log_compact (struct cyr_log *log, uint64_t index);

/* Removes all records and restarts the log after a snapshot that ends with
   BASE_INDEX.  Adds a reference to MEMBERS (may be NULL).  */
void cyr_log_reset (struct cyr_log *log, uint64_t base_index,
                    uint64_t base_term, struct cyr_members *members);

/* The member set in force at INDEX, NULL if none; borrowed.  *MEMBERS_INDEX
   receives the index of that set's record, unless MEMBERS_INDEX is NULL.  */
struct cyr_members *cyr_log_members_at (const struct cyr_log *log,
                                        uint64_t index,
                                        uint64_t *members_index);

#endif /* CYR_LOG_H */

/* Log records, shared between the replication core and the disk writer.
   Records are immutable.  References are counted atomically and may be
   released in any thread.  */

#ifndef CYR_RECORD_H
#define CYR_RECORD_H

#include <stddef.h>
#include <stdint.h>

enum cyr_record_kind
{
  CYR_RECORD_NOOP = 0,
  CYR_RECORD_CHANGE = 1,
  CYR_RECORD_MEMBERS = 2
};

struct cyr_record
{
  uint64_t index;
  uint64_t term;
  uint32_t kind;   /* enum cyr_record_kind */
  uint32_t length; /* bytes of data */
  uint8_t data[];
};

/* Creates a record with a copy of DATA and one reference.  */
struct cyr_record *cyr_record_create (uint64_t index, uint64_t term,
                                      uint32_t kind, const uint8_t *data,
                                      size_t length);
struct cyr_record *cyr_record_ref (struct cyr_record *record);
void cyr_record_unref (struct cyr_record *record);

#endif /* CYR_RECORD_H */

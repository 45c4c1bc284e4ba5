/* Format of a record in a segment file: offset, bytes, content.  Records are
   aligned to 8 bytes, numbers are little-endian:
     0  4  magic "CYR1"
     4  4  length of the data
     8  8  index
    16  8  term
    24  8  index of the last record synced before this one was written
    32  4  kind
    36  4  zero
    40  8  XXH64 over bytes 0 to 39 and the data
    48  -  data, zeros up to the alignment  */

#ifndef CYD_RECORD_H
#define CYD_RECORD_H

#include <glib.h>

#include "core/cyr_record.h"

#define CYD_RECORD_HEADER 48 /* bytes */

/* Bytes that a record with LENGTH bytes of data occupies in a segment.  */
size_t cyd_record_size (size_t length);

/* Appends RECORD to BYTES.  SYNCED is the index of the last synced record.  */
void cyd_record_encode (const struct cyr_record *record, uint64_t synced,
                        GByteArray *bytes);

/* Reads the record at the start of BYTES.  *SYNCED receives the index of the
   last record that was synced before it.  The caller owns the reference.  NULL
   when there is no complete and valid record.  */
struct cyr_record *cyd_record_decode (const uint8_t *bytes, size_t length,
                                      uint64_t *synced);

#endif /* CYD_RECORD_H */

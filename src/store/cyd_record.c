#include "store/cyd_record.h"

#include <string.h>
#include <xxhash.h>

#include "core/cyr_core.h"
#include "store/cyd_file.h"

#define RECORD_MAGIC 0x31525943u /* "CYR1" */
#define ALIGNMENT    8           /* bytes */

size_t
cyd_record_size (size_t length)
{
  size_t unaligned = CYD_RECORD_HEADER + length;
  return (unaligned + ALIGNMENT - 1) / ALIGNMENT * ALIGNMENT;
}

static uint64_t
compute_checksum (const uint8_t *header, const uint8_t *data, size_t length)
{
  uint64_t seed = XXH64 (header, 40, RECORD_MAGIC);
  return XXH64 (data, length, seed);
}

void
cyd_record_encode (const struct cyr_record *record, uint64_t synced,
                   GByteArray *bytes)
{
  guint start = bytes->len;
  size_t size = cyd_record_size (record->length);
  g_byte_array_set_size (bytes, start + (guint)size);
  uint8_t *position = bytes->data + start;
  memset (position, 0, size);
  cyd_put_u32 (position, RECORD_MAGIC);
  cyd_put_u32 (position + 4, record->length);
  cyd_put_u64 (position + 8, record->index);
  cyd_put_u64 (position + 16, record->term);
  cyd_put_u64 (position + 24, synced);
  cyd_put_u32 (position + 32, record->kind);
  cyd_put_u64 (position + 40,
               compute_checksum (position, record->data, record->length));
  if (record->length > 0)
    memcpy (position + CYD_RECORD_HEADER, record->data, record->length);
}

struct cyr_record *
cyd_record_decode (const uint8_t *bytes, size_t length, uint64_t *synced)
{
  if (length < CYD_RECORD_HEADER || cyd_get_u32 (bytes) != RECORD_MAGIC)
    return NULL;
  size_t data_length = cyd_get_u32 (bytes + 4);
  const uint8_t *position = bytes + CYD_RECORD_HEADER;
  if (data_length > CYR_RECORD_BYTES_MAX
      || cyd_record_size (data_length) > length
      || compute_checksum (bytes, position, data_length)
             != cyd_get_u64 (bytes + 40))
    return NULL;
  *synced = cyd_get_u64 (bytes + 24);
  return cyr_record_create (cyd_get_u64 (bytes + 8), cyd_get_u64 (bytes + 16),
                            cyd_get_u32 (bytes + 32), position, data_length);
}

#include "core/cyr_record.h"

#include <glib.h>
#include <string.h>

struct cyr_record *
cyr_record_create (uint64_t index, uint64_t term, uint32_t kind,
                   const uint8_t *data, size_t length)
{
  struct cyr_record *record = g_atomic_rc_box_alloc (sizeof *record + length);
  record->index = index;
  record->term = term;
  record->kind = kind;
  record->length = (uint32_t)length;
  if (length > 0)
    memcpy (record->data, data, length);
  return record;
}

struct cyr_record *
cyr_record_ref (struct cyr_record *record)
{
  return g_atomic_rc_box_acquire (record);
}

void
cyr_record_unref (struct cyr_record *record)
{
  g_atomic_rc_box_release (record);
}

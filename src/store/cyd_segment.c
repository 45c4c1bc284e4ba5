#include "store/cyd_segment.h"

#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/cyu_log.h"
#include "store/cyd_file.h"
#include "store/cyd_record.h"

#define SEGMENT_MAGIC 0x31535943u /* "CYS1" */
#define NAME_PREFIX   "log-"

char *
cyd_segment_name (uint64_t first)
{
  return g_strdup_printf (NAME_PREFIX "%020" PRIu64, first);
}

uint64_t
cyd_segment_parse_name (const char *name)
{
  if (!g_str_has_prefix (name, NAME_PREFIX)
      || strlen (name) != strlen (NAME_PREFIX) + 20)
    return 0;
  return g_ascii_strtoull (name + strlen (NAME_PREFIX), NULL, 10);
}

cy_result
cyd_segment_allocate (const struct cyd_files *files, const char *path,
                      int64_t allocated, int *fd)
{
  *fd = files->open (files->context, path, O_RDWR | O_CREAT | O_TRUNC);
  if (*fd < 0)
    return errno == ENOSPC ? CY_E_STORE_FULL : CY_E_IO;
  if (files->allocate (files->context, *fd, allocated) == 0)
    return CY_OK;
  cy_result result
      = errno == ENOSPC || errno == EDQUOT ? CY_E_STORE_FULL : CY_E_IO;
  files->close (files->context, *fd);
  files->unlink (files->context, path);
  return result;
}

cy_result
cyd_segment_write_header (const struct cyd_files *files, int fd,
                          uint64_t folder, uint64_t first)
{
  uint8_t header[CYD_SEGMENT_HEADER] = { 0 };
  cyd_put_u32 (header, SEGMENT_MAGIC);
  cyd_put_u64 (header + 8, folder);
  cyd_put_u64 (header + 16, first);
  cyd_put_u64 (header + 24, XXH64 (header, 24, SEGMENT_MAGIC));
  return cyd_write_when_space (files, fd, header, sizeof header, 0);
}

static cy_result
check_header (const uint8_t *bytes, int64_t length, uint64_t folder,
              uint64_t first)
{
  if (length < CYD_SEGMENT_HEADER || cyd_get_u32 (bytes) != SEGMENT_MAGIC
      || cyd_get_u64 (bytes + 24) != XXH64 (bytes, 24, SEGMENT_MAGIC)
      || cyd_get_u64 (bytes + 16) != first)
    return CY_E_STORE_CORRUPT;
  return cyd_get_u64 (bytes + 8) == folder ? CY_OK : CY_E_STORE_IDENTITY;
}

/* Searches the bytes after the last complete record, where the record INDEX
   should be, for a record that was written after INDEX had been synced.  */
static void
scan_after_end (const uint8_t *bytes, int64_t length, uint64_t index,
                struct cyd_scan *scan)
{
  for (int64_t position = scan->end_offset; position + 8 <= length;
       position += 8)
    {
      uint64_t synced = 0;
      if (cyd_get_u64 (bytes + position) == 0)
        continue;
      scan->torn_bytes = position + 8 - scan->end_offset;
      struct cyr_record *record = cyd_record_decode (
          bytes + position, (size_t)(length - position), &synced);
      if (record == NULL)
        continue;
      scan->is_damaged |= synced >= index;
      cyr_record_unref (record);
    }
}

static void
scan_records (const uint8_t *bytes, int64_t length,
              struct cyd_segment *segment, struct cyd_scan *scan)
{
  uint64_t index = segment->first_index;
  scan->end_offset = CYD_SEGMENT_HEADER;
  for (;;)
    {
      uint64_t synced;
      struct cyr_record *record
          = cyd_record_decode (bytes + scan->end_offset,
                               (size_t)(length - scan->end_offset), &synced);
      if (record == NULL)
        break;
      if (record->index != index)
        {
          cyr_record_unref (record);
          break;
        }
      uint32_t offset = (uint32_t)scan->end_offset;
      g_array_append_val (segment->record_offsets, offset);
      g_ptr_array_add (scan->records, record);
      scan->end_offset += (int64_t)cyd_record_size (record->length);
      index++;
    }
  scan_after_end (bytes, length, index, scan);
}

cy_result
cyd_segment_open (const struct cyd_log_options *options, uint64_t first,
                  struct cyd_segment *segment, struct cyd_scan *scan)
{
  const struct cyd_files *files = options->files;
  char *name = cyd_segment_name (first);
  char *path = g_strdup_printf ("%s/%s", options->path, name);
  uint8_t *bytes = NULL;
  cy_result result = CY_E_IO;
  segment->first_index = first;
  segment->record_offsets = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  segment->fd = files->open (files->context, path, O_RDWR);
  if (segment->fd < 0)
    goto done;
  segment->allocated_bytes = files->size (files->context, segment->fd);
  if (segment->allocated_bytes < 0)
    goto done;
  bytes = g_malloc ((size_t)segment->allocated_bytes + 8);
  result = cyd_read_all (files, segment->fd, bytes,
                         (size_t)segment->allocated_bytes, 0);
  if (result == CY_OK)
    result = check_header (bytes, segment->allocated_bytes, options->folder_id,
                           first);
  if (result != CY_OK)
    {
      cyu_log (G_LOG_LEVEL_CRITICAL, "%s: invalid segment header: %s", path,
               cy_result_text (result));
      goto done;
    }
  scan_records (bytes, segment->allocated_bytes, segment, scan);
  segment->end_offset = scan->end_offset;
done:
  g_free (bytes);
  g_free (path);
  g_free (name);
  return result;
}

void
cyd_segment_close (const struct cyd_files *files, struct cyd_segment *segment)
{
  if (segment->fd >= 0)
    files->close (files->context, segment->fd);
  if (segment->record_offsets != NULL)
    g_array_free (segment->record_offsets, TRUE);
}

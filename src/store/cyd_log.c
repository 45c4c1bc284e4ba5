#include "store/cyd_log.h"

#include <fcntl.h>
#include <inttypes.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#include "base/cyu_log.h"
#include "core/cyr_core.h"
#include "store/cyd_file.h"
#include "store/cyd_record.h"
#include "store/cyd_segment.h"

#define SPARE_NAME "spare"

struct cyd_log
{
  struct cyd_log_options options;
  GArray *segments;      /* struct cyd_segment, oldest first, never empty */
  uint64_t synced_index; /* last durable record */
  bool has_spare;        /* the file for the next segment is preallocated */
  atomic_uint_fast64_t free_bytes; /* see cyd_log_free_bytes */
};

/* ------------------------------------------------------------ segments */

static struct cyd_segment *
active_segment (const struct cyd_log *log)
{
  return &g_array_index (log->segments, struct cyd_segment,
                         log->segments->len - 1);
}

static int64_t
segment_bytes (const struct cyd_log *log)
{
  return log->options.segment_bytes;
}

static void
update_free_bytes (struct cyd_log *log)
{
  const struct cyd_segment *active = active_segment (log);
  int64_t free_bytes_left = active->allocated_bytes - active->end_offset;
  if (log->has_spare)
    free_bytes_left = segment_bytes (log) - CYD_SEGMENT_HEADER;
  atomic_store (&log->free_bytes, (uint64_t)MAX (free_bytes_left, 0));
}

uint64_t
cyd_log_free_bytes (const struct cyd_log *log)
{
  return atomic_load (&((struct cyd_log *)log)->free_bytes);
}

static char *
create_path (const struct cyd_log *log, const char *name)
{
  return g_strdup_printf ("%s/%s", log->options.path, name);
}

static void
remove_segment (struct cyd_log *log, guint position)
{
  struct cyd_segment *segment
      = &g_array_index (log->segments, struct cyd_segment, position);
  char *name = cyd_segment_name (segment->first_index);
  cyd_file_unlink (log->options.files, log->options.path, name);
  cyd_segment_close (log->options.files, segment);
  g_free (name);
  g_array_remove_index (log->segments, position);
}

cy_result
cyd_log_prepare_spare (struct cyd_log *log)
{
  const struct cyd_files *files = log->options.files;
  char *path = create_path (log, SPARE_NAME);
  int fd = -1;
  cy_result result = CY_OK;
  if (log->has_spare)
    goto done;
  result = cyd_segment_allocate (files, path, segment_bytes (log), &fd);
  if (result != CY_OK)
    goto done;
  files->close (files->context, fd);
  log->has_spare = true;
done:
  update_free_bytes (log);
  g_free (path);
  return result;
}

/* Opens the spare file, or allocates one, when the disk has space.  */
static cy_result
open_spare (struct cyd_log *log, const char *path, int *fd)
{
  const struct cyd_files *files = log->options.files;
  if (!log->has_spare)
    {
      cy_result result;
      int attempts = 0;
      do
        result = cyd_segment_allocate (files, path, segment_bytes (log), fd);
      while (cyd_wait_for_space (files, result, &attempts));
      return result;
    }
  log->has_spare = false;
  *fd = files->open (files->context, path, O_RDWR);
  return *fd < 0 ? CY_E_IO : CY_OK;
}

/* Adds a segment that starts with the record FIRST.  The file gets its final
   name only after its header is durable.  */
static cy_result
add_segment (struct cyd_log *log, uint64_t first)
{
  const struct cyd_files *files = log->options.files;
  char *name = cyd_segment_name (first);
  char *path = create_path (log, name);
  char *spare = create_path (log, SPARE_NAME);
  struct cyd_segment segment = { .first_index = first, .fd = -1 };
  cy_result result = open_spare (log, spare, &segment.fd);
  if (result != CY_OK)
    goto done;
  result = cyd_segment_write_header (files, segment.fd, log->options.folder_id,
                                     first);
  if (result == CY_OK)
    result = cyd_sync (files, segment.fd);
  if (result == CY_OK && files->rename (files->context, spare, path) != 0)
    result = CY_E_IO;
  if (result == CY_OK)
    result = cyd_sync_folder (files, log->options.path);
  if (result != CY_OK)
    {
      files->close (files->context, segment.fd);
      goto done;
    }
  segment.end_offset = CYD_SEGMENT_HEADER;
  segment.allocated_bytes = segment_bytes (log);
  segment.record_offsets = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  g_array_append_val (log->segments, segment);
  cyd_log_prepare_spare (log);
done:
  g_free (spare);
  g_free (path);
  g_free (name);
  return result;
}

/* ------------------------------------------------------------ writing */

static cy_result
write_batch (struct cyd_log *log, GByteArray *bytes)
{
  struct cyd_segment *active = active_segment (log);
  if (bytes->len == 0)
    return CY_OK;
  cy_result result
      = cyd_write_when_space (log->options.files, active->fd, bytes->data,
                              bytes->len, active->end_offset);
  if (result == CY_OK)
    active->end_offset += bytes->len;
  g_byte_array_set_size (bytes, 0);
  return result;
}

/* Syncs the old segment before it creates a newer one, so that only the newest
   segment can have a torn tail.  */
static cy_result
start_next_segment (struct cyd_log *log, GByteArray *bytes, uint64_t first)
{
  cy_result result = write_batch (log, bytes);
  if (result == CY_OK)
    result = cyd_log_sync (log);
  if (result == CY_OK)
    result = add_segment (log, first);
  return result;
}

cy_result
cyd_log_append (struct cyd_log *log, struct cyr_record **records, size_t count)
{
  GByteArray *bytes = g_byte_array_new ();
  cy_result result = CY_OK;
  for (size_t i = 0; i < count && result == CY_OK; i++)
    {
      int64_t size = (int64_t)cyd_record_size (records[i]->length);
      if (active_segment (log)->end_offset + bytes->len + size
          > active_segment (log)->allocated_bytes)
        result = start_next_segment (log, bytes, records[i]->index);
      if (result != CY_OK)
        break;
      uint32_t offset
          = (uint32_t)active_segment (log)->end_offset + bytes->len;
      g_array_append_val (active_segment (log)->record_offsets, offset);
      cyd_record_encode (records[i], log->synced_index, bytes);
    }
  if (result == CY_OK)
    result = write_batch (log, bytes);
  g_byte_array_unref (bytes);
  update_free_bytes (log);
  return result;
}

cy_result
cyd_log_sync (struct cyd_log *log)
{
  struct cyd_segment *active = active_segment (log);
  if (log->synced_index == cyd_segment_last_index (active))
    return CY_OK;
  cy_result result = cyd_sync (log->options.files, active->fd);
  if (result != CY_OK)
    return result;
  log->synced_index = cyd_segment_last_index (active);
  return cyd_vote_set_synced (log->options.vote, log->synced_index);
}

/* Truncates SEGMENT at END, then allocates zeros up to its old size.  */
static cy_result
truncate_segment (struct cyd_log *log, struct cyd_segment *segment,
                  int64_t end)
{
  const struct cyd_files *files = log->options.files;
  int64_t allocated = segment->allocated_bytes;
  if (files->truncate (files->context, segment->fd, end) != 0)
    return CY_E_IO;
  segment->end_offset = end;
  segment->allocated_bytes = end;
  if (files->allocate (files->context, segment->fd, allocated) == 0)
    segment->allocated_bytes = allocated;
  update_free_bytes (log);
  return cyd_sync (files, segment->fd);
}

cy_result
cyd_log_truncate (struct cyd_log *log, uint64_t index)
{
  cy_result result = CY_OK;
  if (index > cyd_segment_last_index (active_segment (log)))
    return CY_OK;
  log->synced_index = MIN (log->synced_index, index - 1);
  if (cyd_vote_synced (log->options.vote) > log->synced_index)
    result = cyd_vote_set_synced (log->options.vote, log->synced_index);
  if (result != CY_OK)
    return result;
  while (log->segments->len > 1 && active_segment (log)->first_index >= index)
    remove_segment (log, log->segments->len - 1);
  /* The removal of newer files must be durable before an older file is
     truncated: a crash would otherwise leave a gap.  */
  result = cyd_sync_folder (log->options.files, log->options.path);
  struct cyd_segment *active = active_segment (log);
  guint kept_count = (guint)(index - active->first_index);
  if (result == CY_OK && kept_count < active->record_offsets->len)
    {
      uint32_t offset
          = g_array_index (active->record_offsets, uint32_t, kept_count);
      g_array_set_size (active->record_offsets, kept_count);
      result = truncate_segment (log, active, offset);
    }
  return result;
}

cy_result
cyd_log_reset (struct cyd_log *log, uint64_t index)
{
  cy_result result = cyd_vote_set_synced (log->options.vote, 0);
  /* Newest first: after a crash, the remaining log still has its old first
     record and no gap.  */
  while (result == CY_OK && log->segments->len > 0)
    {
      remove_segment (log, log->segments->len - 1);
      result = cyd_sync_folder (log->options.files, log->options.path);
    }
  log->synced_index = index;
  if (result == CY_OK)
    result = add_segment (log, index + 1);
  if (result == CY_OK)
    result = cyd_vote_set_synced (log->options.vote, index);
  return result;
}

cy_result
cyd_log_compact (struct cyd_log *log, uint64_t index)
{
  while (log->segments->len > 1
         && cyd_segment_last_index (
                &g_array_index (log->segments, struct cyd_segment, 0))
                <= index)
    remove_segment (log, 0);
  return cyd_log_prepare_spare (log);
}

/* ------------------------------------------------------------ opening */

static gint
compare_indexes (gconstpointer a, gconstpointer b)
{
  uint64_t left = *(const uint64_t *)a;
  uint64_t right = *(const uint64_t *)b;
  return left < right ? -1 : left > right;
}

static GArray *
list_segments (const struct cyd_log_options *options)
{
  GArray *first_indexes = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  char **names = options->files->list (options->files->context, options->path);
  for (char **name = names; name != NULL && *name != NULL; name++)
    {
      uint64_t first = cyd_segment_parse_name (*name);
      if (first != 0)
        g_array_append_val (first_indexes, first);
    }
  g_strfreev (names);
  g_array_sort (first_indexes, compare_indexes);
  return first_indexes;
}

/* Classifies the end of a segment as clean, torn or damaged.  Removes a torn
   end; damage is an error.  */
static cy_result
check_segment_end (struct cyd_log *log, struct cyd_segment *segment,
                   const struct cyd_scan *scan, bool newest, uint64_t *torn)
{
  uint64_t next_index = cyd_segment_last_index (segment) + 1;
  bool was_synced
      = scan->is_damaged || cyd_vote_synced (log->options.vote) >= next_index;
  if ((newest && was_synced) || (!newest && scan->torn_bytes > 0))
    {
      cyu_log (G_LOG_LEVEL_CRITICAL,
               "%s/"
               "log-%020" PRIu64 ": synced record %" PRIu64
               " at offset %" PRId64 " is damaged or missing",
               log->options.path, segment->first_index, next_index,
               scan->end_offset);
      return CY_E_STORE_CORRUPT;
    }
  if (scan->torn_bytes == 0)
    return CY_OK;
  cyu_log (G_LOG_LEVEL_WARNING,
           "%s/log-%020" PRIu64 ": cuts off %" PRId64
           " bytes of a torn write at offset %" PRId64
           ", before record %" PRIu64,
           log->options.path, segment->first_index, scan->torn_bytes,
           scan->end_offset, next_index);
  *torn += (uint64_t)scan->torn_bytes;
  return truncate_segment (log, segment, scan->end_offset);
}

static cy_result
open_segment (struct cyd_log *log, uint64_t first, bool newest,
              GPtrArray *records, uint64_t *torn)
{
  struct cyd_segment segment = { .fd = -1 };
  struct cyd_scan scan = { .records = records };
  uint64_t expected_first
      = log->segments->len == 0
            ? first
            : cyd_segment_last_index (active_segment (log)) + 1;
  if (first != expected_first)
    {
      cyu_log (G_LOG_LEVEL_CRITICAL,
               "%s: record %" PRIu64 " is missing, the next segment starts "
               "with %" PRIu64,
               log->options.path, expected_first, first);
      return CY_E_STORE_CORRUPT;
    }
  cy_result result = cyd_segment_open (&log->options, first, &segment, &scan);
  if (result != CY_OK)
    {
      cyd_segment_close (log->options.files, &segment);
      return result;
    }
  g_array_append_val (log->segments, segment);
  return check_segment_end (log, active_segment (log), &scan, newest, torn);
}

/* Removes from RECORDS the records that the snapshot covers.  When a snapshot
   was installed and the process stopped before the old log was removed, that
   log ends before the snapshot or has another term at its index: all records
   are removed then, and the result is false.  */
static bool
remove_covered (GPtrArray *records, uint64_t first, uint64_t index,
                uint64_t term)
{
  if (first > index)
    return true;
  if (records->len == 0)
    return false;
  uint64_t last = first + records->len - 1;
  bool matches_snapshot
      = last >= index
        && ((struct cyr_record *)records->pdata[index - first])->term == term;
  guint removed_count
      = matches_snapshot ? (guint)(index - first + 1) : records->len;
  g_ptr_array_remove_range (records, 0, removed_count);
  return matches_snapshot;
}

static cy_result
read_segments (struct cyd_log *log, GPtrArray *records, uint64_t *torn)
{
  GArray *first_indexes = list_segments (&log->options);
  cy_result result = CY_OK;
  for (guint i = 0; i < first_indexes->len && result == CY_OK; i++)
    result = open_segment (log, g_array_index (first_indexes, uint64_t, i),
                           i + 1 == first_indexes->len, records, torn);
  g_array_free (first_indexes, TRUE);
  return result;
}

static cy_result
check_records (const GPtrArray *records, uint64_t snapshot_term)
{
  uint64_t term = snapshot_term;
  for (guint i = 0; i < records->len; i++)
    {
      const struct cyr_record *record = records->pdata[i];
      if (record->term < term)
        {
          cyu_log (G_LOG_LEVEL_CRITICAL,
                   "record %" PRIu64
                   " has an older term than the previous record",
                   record->index);
          return CY_E_STORE_CORRUPT;
        }
      term = record->term;
    }
  return CY_OK;
}

static cy_result
reconcile_with_snapshot (struct cyd_log *log, uint64_t snapshot_index,
                         uint64_t snapshot_term, GPtrArray *records)
{
  uint64_t stored_synced_index = cyd_vote_synced (log->options.vote);
  if (log->segments->len == 0)
    {
      if (stored_synced_index > snapshot_index)
        {
          cyu_log (G_LOG_LEVEL_CRITICAL,
                   "%s: no log segment, but records up to %" PRIu64
                   " were synced",
                   log->options.path, stored_synced_index);
          return CY_E_STORE_CORRUPT;
        }
      log->synced_index = snapshot_index;
      return add_segment (log, snapshot_index + 1);
    }
  uint64_t first
      = g_array_index (log->segments, struct cyd_segment, 0).first_index;
  if (first > snapshot_index + 1)
    {
      cyu_log (G_LOG_LEVEL_CRITICAL,
               "%s: snapshot ends at %" PRIu64 ", log starts at %" PRIu64,
               log->options.path, snapshot_index, first);
      return CY_E_STORE_GAP;
    }
  if (!remove_covered (records, first, snapshot_index, snapshot_term))
    return cyd_log_reset (log, snapshot_index);
  /* The records just read may be in the page cache only.  */
  cy_result result = cyd_sync (log->options.files, active_segment (log)->fd);
  log->synced_index = cyd_segment_last_index (active_segment (log));
  if (result == CY_OK)
    result = check_records (records, snapshot_term);
  return result;
}

cy_result
cyd_log_open (const struct cyd_log_options *options, uint64_t snapshot_index,
              uint64_t snapshot_term, GPtrArray *records, uint64_t *torn,
              struct cyd_log **log)
{
  struct cyd_log *opened = g_new0 (struct cyd_log, 1);
  opened->options = *options;
  if (opened->options.segment_bytes == 0)
    opened->options.segment_bytes = CYD_SEGMENT_BYTES;
  opened->segments = g_array_new (FALSE, FALSE, sizeof (struct cyd_segment));
  *torn = 0;
  cy_result result = read_segments (opened, records, torn);
  if (result == CY_OK)
    result = reconcile_with_snapshot (opened, snapshot_index, snapshot_term,
                                      records);
  if (result != CY_OK)
    {
      cyd_log_close (opened);
      return result;
    }
  cyd_log_prepare_spare (opened);
  *log = opened;
  return CY_OK;
}

void
cyd_log_close (struct cyd_log *log)
{
  if (log == NULL)
    return;
  for (guint i = 0; i < log->segments->len; i++)
    cyd_segment_close (log->options.files,
                       &g_array_index (log->segments, struct cyd_segment, i));
  g_array_free (log->segments, TRUE);
  g_free (log);
}

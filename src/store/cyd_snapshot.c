#include "store/cyd_snapshot.h"

#include <fcntl.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/cyu_log.h"
#include "store/cyd_file.h"
#include "store/cyd_private.h"

#define NAME_PREFIX "snapshot-"

/* Offset of the member set in the content of the file, in bytes: after index,
   term and length of the member set.  */
#define MEMBERS_OFFSET 24

struct cyd_snapshot
{
  const struct cyd_files *files;
  int fd;
  int64_t state_offset;  /* offset of the state in the file */
  uint64_t state_length; /* bytes of the state */
};

static char *
create_name (uint64_t index)
{
  return g_strdup_printf (NAME_PREFIX "%020" PRIu64, index);
}

static uint64_t
parse_index (const char *name)
{
  if (!g_str_has_prefix (name, NAME_PREFIX)
      || strlen (name) != strlen (NAME_PREFIX) + 20)
    return 0;
  return g_ascii_strtoull (name + strlen (NAME_PREFIX), NULL, 10);
}

static void
remove_older_snapshots (const struct cyd_files *files, const char *path,
                        uint64_t index)
{
  char **names = files->list (files->context, path);
  for (char **name = names; name != NULL && *name != NULL; name++)
    if (parse_index (*name) != 0 && parse_index (*name) < index)
      cyd_file_unlink (files, path, *name);
  g_strfreev (names);
}

cy_result
cyd_snapshot_save (const struct cyd_files *files, const char *path,
                   const struct cyr_snapshot *snapshot)
{
  uint8_t numbers[MEMBERS_OFFSET];
  size_t length;
  const uint8_t *members = cyr_members_bytes (snapshot->members, &length);
  char *name = create_name (snapshot->index);
  GByteArray *content = g_byte_array_sized_new (
      (guint)(MEMBERS_OFFSET + length + snapshot->length));
  cyd_put_u64 (numbers, snapshot->index);
  cyd_put_u64 (numbers + 8, snapshot->term);
  cyd_put_u64 (numbers + 16, length);
  g_byte_array_append (content, numbers, sizeof numbers);
  g_byte_array_append (content, members, (guint)length);
  g_byte_array_append (content, snapshot->bytes, (guint)snapshot->length);
  cy_result result = cyd_file_replace (files, path, name, content);
  if (result == CY_OK)
    remove_older_snapshots (files, path, snapshot->index);
  g_byte_array_unref (content);
  g_free (name);
  return result;
}

static cy_result
parse_content (const GByteArray *content, struct cyd_recovered *recovered)
{
  if (content->len < MEMBERS_OFFSET)
    return CY_E_STORE_CORRUPT;
  uint64_t length = cyd_get_u64 (content->data + 16);
  if (length > content->len - MEMBERS_OFFSET)
    return CY_E_STORE_CORRUPT;
  const uint8_t *members = content->data + MEMBERS_OFFSET;
  recovered->snapshot_index = cyd_get_u64 (content->data);
  recovered->snapshot_term = cyd_get_u64 (content->data + 8);
  recovered->members = g_byte_array_new ();
  recovered->state = g_byte_array_new ();
  g_byte_array_append (recovered->members, members, (guint)length);
  g_byte_array_append (recovered->state, members + length,
                       (guint)(content->len - MEMBERS_OFFSET - length));
  return CY_OK;
}

cy_result
cyd_snapshot_load (const struct cyd_files *files, const char *path,
                   struct cyd_recovered *recovered)
{
  uint64_t newest = 0;
  char **names = files->list (files->context, path);
  for (char **name = names; name != NULL && *name != NULL; name++)
    newest = MAX (newest, parse_index (*name));
  g_strfreev (names);
  if (newest == 0)
    return CY_OK;
  char *name = create_name (newest);
  GByteArray *content = NULL;
  cy_result result = cyd_file_load (files, path, name, &content);
  g_free (name);
  if (result != CY_OK)
    return result;
  result = parse_content (content, recovered);
  g_byte_array_unref (content);
  if (result == CY_OK)
    remove_older_snapshots (files, path, newest);
  return result;
}

/* ------------------------------------------------------------ chunks */

cy_result
cyd_snapshot_open (const struct cyd_store *store, uint64_t index,
                   struct cyd_snapshot **snapshot)
{
  const struct cyd_files *files = cyd_store_files (store);
  char *name = create_name (index);
  char *path = g_strdup_printf ("%s/%s", cyd_store_path (store), name);
  uint8_t numbers[MEMBERS_OFFSET];
  struct cyd_snapshot *opened = g_new0 (struct cyd_snapshot, 1);
  cy_result result = CY_E_NOT_FOUND;
  opened->files = files;
  opened->fd = files->open (files->context, path, O_RDONLY);
  if (opened->fd < 0)
    goto done;
  int64_t size = files->size (files->context, opened->fd);
  result = cyd_read_all (files, opened->fd, numbers, sizeof numbers,
                         CYD_FILE_HEADER);
  if (result != CY_OK)
    goto done;
  opened->state_offset
      = CYD_FILE_HEADER + MEMBERS_OFFSET + (int64_t)cyd_get_u64 (numbers + 16);
  opened->state_length = (uint64_t)MAX (size - opened->state_offset, 0);
  *snapshot = opened;
  opened = NULL;
done:
  cyd_snapshot_close (opened);
  g_free (path);
  g_free (name);
  return result;
}

uint64_t
cyd_snapshot_length (const struct cyd_snapshot *snapshot)
{
  return snapshot->state_length;
}

cy_result
cyd_snapshot_read (const struct cyd_snapshot *snapshot, uint64_t offset,
                   void *bytes, size_t length)
{
  return cyd_read_all (snapshot->files, snapshot->fd, bytes, length,
                       snapshot->state_offset + (int64_t)offset);
}

void
cyd_snapshot_close (struct cyd_snapshot *snapshot)
{
  if (snapshot == NULL)
    return;
  if (snapshot->fd >= 0)
    snapshot->files->close (snapshot->files->context, snapshot->fd);
  g_free (snapshot);
}

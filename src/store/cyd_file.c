#include "store/cyd_file.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <xxhash.h>

#include "base/cyu_log.h"

#define FILE_MAGIC 0x31465943u /* "CYF1" */

void
cyd_put_u64 (uint8_t *position, uint64_t value)
{
  value = GUINT64_TO_LE (value);
  memcpy (position, &value, sizeof value);
}

uint64_t
cyd_get_u64 (const uint8_t *position)
{
  uint64_t value;
  memcpy (&value, position, sizeof value);
  return GUINT64_FROM_LE (value);
}

void
cyd_put_u32 (uint8_t *position, uint32_t value)
{
  value = GUINT32_TO_LE (value);
  memcpy (position, &value, sizeof value);
}

uint32_t
cyd_get_u32 (const uint8_t *position)
{
  uint32_t value;
  memcpy (&value, position, sizeof value);
  return GUINT32_FROM_LE (value);
}

cy_result
cyd_read_all (const struct cyd_files *files, int fd, void *bytes,
              size_t length, int64_t offset)
{
  uint8_t *position = bytes;
  while (length > 0)
    {
      ssize_t count
          = files->read (files->context, fd, position, length, offset);
      if (count < 0 && errno == EINTR)
        continue;
      if (count <= 0)
        return CY_E_IO;
      position += count;
      offset += count;
      length -= (size_t)count;
    }
  return CY_OK;
}

cy_result
cyd_write_all (const struct cyd_files *files, int fd, const void *bytes,
               size_t length, int64_t offset)
{
  const uint8_t *position = bytes;
  while (length > 0)
    {
      ssize_t count
          = files->write (files->context, fd, position, length, offset);
      if (count < 0 && errno == EINTR)
        continue;
      if (count < 0 && (errno == ENOSPC || errno == EDQUOT))
        return CY_E_STORE_FULL;
      if (count <= 0)
        return CY_E_IO;
      position += count;
      offset += count;
      length -= (size_t)count;
    }
  return CY_OK;
}

bool
cyd_wait_for_space (const struct cyd_files *files, cy_result result,
                    int *attempts)
{
  if (result != CY_E_STORE_FULL)
    {
      if (*attempts > 0 && result == CY_OK)
        cyu_log (G_LOG_LEVEL_INFO, "disk has free space again");
      return false;
    }
  if (*attempts == 0)
    cyu_log (G_LOG_LEVEL_WARNING, "disk is full: waiting for space");
  if ((*attempts)++ >= CYD_FULL_DISK_RETRIES)
    return false;
  files->pause (files->context);
  return true;
}

cy_result
cyd_write_when_space (const struct cyd_files *files, int fd, const void *bytes,
                      size_t length, int64_t offset)
{
  cy_result result;
  int attempts = 0;
  do
    result = cyd_write_all (files, fd, bytes, length, offset);
  while (cyd_wait_for_space (files, result, &attempts));
  return result;
}

cy_result
cyd_sync (const struct cyd_files *files, int fd)
{
  return files->sync (files->context, fd) == 0 ? CY_OK : CY_E_STORE_SYNC;
}

cy_result
cyd_sync_folder (const struct cyd_files *files, const char *folder)
{
  return files->sync_folder (files->context, folder) == 0 ? CY_OK
                                                          : CY_E_STORE_SYNC;
}

static cy_result
write_file (const struct cyd_files *files, const char *path,
            const GByteArray *content)
{
  uint8_t header[CYD_FILE_HEADER] = { 0 };
  int fd = files->open (files->context, path, O_RDWR | O_CREAT | O_TRUNC);
  if (fd < 0)
    return errno == ENOSPC ? CY_E_STORE_FULL : CY_E_IO;
  cyd_put_u32 (header, FILE_MAGIC);
  cyd_put_u64 (header + 8, XXH64 (content->data, content->len, FILE_MAGIC));
  cy_result result = cyd_write_all (files, fd, header, sizeof header, 0);
  if (result == CY_OK)
    result = cyd_write_all (files, fd, content->data, content->len,
                            CYD_FILE_HEADER);
  if (result == CY_OK)
    result = cyd_sync (files, fd);
  files->close (files->context, fd);
  return result;
}

cy_result
cyd_file_replace (const struct cyd_files *files, const char *folder,
                  const char *name, const GByteArray *content)
{
  char *path = g_strdup_printf ("%s/%s", folder, name);
  char *temporary = g_strdup_printf ("%s/%s.tmp", folder, name);
  cy_result result = write_file (files, temporary, content);
  if (result != CY_OK)
    files->unlink (files->context, temporary);
  else if (files->rename (files->context, temporary, path) != 0)
    result = CY_E_IO;
  else
    result = cyd_sync_folder (files, folder);
  g_free (path);
  g_free (temporary);
  return result;
}

static cy_result
read_and_verify (const struct cyd_files *files, int fd, GByteArray *content)
{
  uint8_t header[CYD_FILE_HEADER];
  int64_t size = files->size (files->context, fd);
  if (size < 0)
    return CY_E_IO;
  if (size < CYD_FILE_HEADER)
    return CY_E_STORE_CORRUPT;
  cy_result result = cyd_read_all (files, fd, header, sizeof header, 0);
  if (result != CY_OK)
    return result;
  g_byte_array_set_size (content, (guint)(size - CYD_FILE_HEADER));
  result
      = cyd_read_all (files, fd, content->data, content->len, CYD_FILE_HEADER);
  if (result != CY_OK)
    return result;
  if (cyd_get_u32 (header) != FILE_MAGIC
      || cyd_get_u64 (header + 8)
             != XXH64 (content->data, content->len, FILE_MAGIC))
    return CY_E_STORE_CORRUPT;
  return CY_OK;
}

cy_result
cyd_file_load (const struct cyd_files *files, const char *folder,
               const char *name, GByteArray **content)
{
  char *path = g_strdup_printf ("%s/%s", folder, name);
  cy_result result = CY_OK;
  GByteArray *bytes = g_byte_array_new ();
  int fd = files->open (files->context, path, O_RDONLY);
  if (fd < 0)
    {
      result = errno == ENOENT ? CY_E_NOT_FOUND : CY_E_IO;
      goto done;
    }
  result = read_and_verify (files, fd, bytes);
  files->close (files->context, fd);
  if (result == CY_E_STORE_CORRUPT)
    cyu_log (G_LOG_LEVEL_CRITICAL, "%s: checksum differs", path);
done:
  g_free (path);
  if (result == CY_OK)
    *content = bytes;
  else
    g_byte_array_unref (bytes);
  return result;
}

cy_result
cyd_file_unlink (const struct cyd_files *files, const char *folder,
                 const char *name)
{
  char *path = g_strdup_printf ("%s/%s", folder, name);
  int status = files->unlink (files->context, path);
  g_free (path);
  return status == 0 || errno == ENOENT ? CY_OK : CY_E_IO;
}

#include "store/cyd_journal.h"

#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <string.h>

#include "base/cyu_log.h"
#include "store/cyd_file.h"
#include "store/cyd_record.h"

/* The file is rewritten when it is larger than the set by this factor.  */
#define REWRITE_FACTOR 4

struct cyd_journal
{
  const struct cyd_files *files;
  char *folder;
  char *path;
  GHashTable *records; /* key to GBytes */
  uint64_t set_bytes;  /* that the records take in a file */
  GHashTable *changed; /* keys that are not in the file, of RECORDS */
  int fd;              /* -1: the file has to be rewritten */
  uint64_t end_offset; /* of the last record in the file */
  uint64_t writes;
};

static size_t
encoded_size (const char *key, GBytes *record)
{
  return cyd_record_size (strlen (key) + 1 + g_bytes_get_size (record));
}

/* ------------------------------------------------------------ set */

void
cyd_journal_remove (struct cyd_journal *journal, const char *key)
{
  GBytes *held = g_hash_table_lookup (journal->records, key);
  if (held == NULL)
    return;
  journal->set_bytes -= encoded_size (key, held);
  g_hash_table_remove (journal->changed, key);
  g_hash_table_remove (journal->records, key);
}

void
cyd_journal_put (struct cyd_journal *journal, const char *key, GBytes *record)
{
  cyd_journal_remove (journal, key);
  char *owned = g_strdup (key);
  g_hash_table_insert (journal->records, owned, g_bytes_ref (record));
  g_hash_table_add (journal->changed, owned);
  journal->set_bytes += encoded_size (key, record);
}

void
cyd_journal_each (const struct cyd_journal *journal,
                  cyd_journal_visit_fn visit, void *context)
{
  GHashTableIter iter;
  gpointer key;
  gpointer record;
  g_hash_table_iter_init (&iter, journal->records);
  while (g_hash_table_iter_next (&iter, &key, &record))
    visit (key, record, context);
}

uint64_t
cyd_journal_size (const struct cyd_journal *journal)
{
  return journal->end_offset;
}

uint64_t
cyd_journal_writes (const struct cyd_journal *journal)
{
  return journal->writes;
}

/* ------------------------------------------------------------ writing */

/* A record in the file is the key, a zero byte, and the record's bytes.  */
static void
encode (const char *key, GBytes *record, GByteArray *out)
{
  gsize length;
  const guint8 *bytes = g_bytes_get_data (record, &length);
  GByteArray *data = g_byte_array_new ();
  g_byte_array_append (data, (const guint8 *)key, (guint)strlen (key) + 1);
  if (length > 0)
    g_byte_array_append (data, bytes, (guint)length);
  struct cyr_record *item
      = cyr_record_create (0, 0, CYR_RECORD_NOOP, data->data, data->len);
  cyd_record_encode (item, 0, out);
  cyr_record_unref (item);
  g_byte_array_unref (data);
}

static void
close_file (struct cyd_journal *journal)
{
  if (journal->fd >= 0)
    journal->files->close (journal->files->context, journal->fd);
  journal->fd = -1;
}

static int
open_file (const struct cyd_journal *journal, const char *path, int flags)
{
  return journal->files->open (journal->files->context, path, flags);
}

static cy_result
write_new_file (struct cyd_journal *journal, const char *path,
                const GByteArray *content)
{
  int fd = open_file (journal, path, O_RDWR | O_CREAT | O_TRUNC);
  if (fd < 0)
    return errno == ENOSPC ? CY_E_STORE_FULL : CY_E_IO;
  cy_result result
      = cyd_write_all (journal->files, fd, content->data, content->len, 0);
  if (result == CY_OK)
    result = cyd_sync (journal->files, fd);
  journal->files->close (journal->files->context, fd);
  return result;
}

/* Replaces the file by one with the records of the set.  */
static cy_result
rewrite (struct cyd_journal *journal)
{
  GByteArray *content = g_byte_array_new ();
  char *temporary = g_strconcat (journal->path, ".tmp", NULL);
  GHashTableIter iter;
  gpointer key;
  gpointer record;
  g_hash_table_iter_init (&iter, journal->records);
  while (g_hash_table_iter_next (&iter, &key, &record))
    encode (key, record, content);
  close_file (journal);
  cy_result result = write_new_file (journal, temporary, content);
  if (result == CY_OK
      && journal->files->rename (journal->files->context, temporary,
                                 journal->path)
             != 0)
    result = CY_E_IO;
  if (result == CY_OK)
    result = cyd_sync_folder (journal->files, journal->folder);
  if (result == CY_OK)
    {
      journal->fd = open_file (journal, journal->path, O_RDWR);
      journal->end_offset = content->len;
      g_hash_table_remove_all (journal->changed);
    }
  else
    journal->files->unlink (journal->files->context, temporary);
  g_free (temporary);
  g_byte_array_unref (content);
  return result;
}

/* Appends the changed records to the file.  */
static cy_result
append (struct cyd_journal *journal)
{
  GByteArray *content = g_byte_array_new ();
  GHashTableIter iter;
  gpointer key;
  g_hash_table_iter_init (&iter, journal->changed);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    encode (key, g_hash_table_lookup (journal->records, key), content);
  cy_result result
      = cyd_write_all (journal->files, journal->fd, content->data,
                       content->len, (int64_t)journal->end_offset);
  if (result == CY_OK)
    result = cyd_sync (journal->files, journal->fd);
  if (result == CY_OK)
    {
      journal->end_offset += content->len;
      g_hash_table_remove_all (journal->changed);
    }
  else
    close_file (journal);
  g_byte_array_unref (content);
  return result;
}

cy_result
cyd_journal_sync (struct cyd_journal *journal)
{
  if (g_hash_table_size (journal->changed) == 0)
    return CY_OK;
  uint64_t limit
      = MAX (CYD_JOURNAL_REWRITE_BYTES, REWRITE_FACTOR * journal->set_bytes);
  cy_result result = journal->fd < 0 || journal->end_offset > limit
                         ? rewrite (journal)
                         : append (journal);
  journal->writes += result == CY_OK;
  return result;
}

/* ------------------------------------------------------------ opening */

/* Adds the records of CONTENT to the set.  Returns the bytes up to the first
   record that is torn or damaged.  */
static size_t
decode (struct cyd_journal *journal, const GByteArray *content)
{
  size_t offset = 0;
  while (offset < content->len)
    {
      uint64_t synced;
      struct cyr_record *item = cyd_record_decode (
          content->data + offset, content->len - offset, &synced);
      if (item == NULL)
        break;
      const uint8_t *end = memchr (item->data, '\0', item->length);
      if (end != NULL)
        {
          size_t key_bytes = (size_t)(end - item->data) + 1;
          GBytes *record = g_bytes_new (end + 1, item->length - key_bytes);
          cyd_journal_put (journal, (const char *)item->data, record);
          g_bytes_unref (record);
        }
      offset += cyd_record_size (item->length);
      cyr_record_unref (item);
    }
  return offset;
}

static cy_result
read_file (struct cyd_journal *journal)
{
  GByteArray *content = g_byte_array_new ();
  cy_result result = CY_E_IO;
  int fd = open_file (journal, journal->path, O_RDONLY);
  if (fd < 0)
    {
      result = errno == ENOENT ? CY_OK : CY_E_IO;
      goto done;
    }
  int64_t size = journal->files->size (journal->files->context, fd);
  if (size >= 0 && size <= (int64_t)CYD_JOURNAL_BYTES_MAX)
    {
      g_byte_array_set_size (content, (guint)size);
      result
          = cyd_read_all (journal->files, fd, content->data, content->len, 0);
    }
  journal->files->close (journal->files->context, fd);
  if (result != CY_OK)
    goto done;
  size_t valid = decode (journal, content);
  if (valid < content->len)
    cyu_log (G_LOG_LEVEL_WARNING,
             "%s: %zu bytes after offset %zu are torn or damaged, dropped",
             journal->path, content->len - valid, valid);
done:
  g_byte_array_unref (content);
  return result;
}

cy_result
cyd_journal_open (const struct cyd_files *files, const char *folder,
                  const char *name, struct cyd_journal **out)
{
  struct cyd_journal *journal = g_new0 (struct cyd_journal, 1);
  journal->files = files;
  journal->folder = g_strdup (folder);
  journal->path = g_strdup_printf ("%s/%s", folder, name);
  journal->records = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                            (GDestroyNotify)g_bytes_unref);
  journal->changed = g_hash_table_new (g_str_hash, g_str_equal);
  journal->fd = -1;
  cy_result result = read_file (journal);
  if (result == CY_OK)
    *out = journal;
  else
    cyd_journal_close (journal);
  return result;
}

void
cyd_journal_close (struct cyd_journal *journal)
{
  if (journal == NULL)
    return;
  close_file (journal);
  g_hash_table_destroy (journal->changed);
  g_hash_table_destroy (journal->records);
  g_free (journal->folder);
  g_free (journal->path);
  g_free (journal);
}

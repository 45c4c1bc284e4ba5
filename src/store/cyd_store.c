#include "store/cyd_store.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>

#include "base/cyu_log.h"
#include "store/cyd_file.h"
#include "store/cyd_identity.h"
#include "store/cyd_log.h"
#include "store/cyd_private.h"
#include "store/cyd_snapshot.h"
#include "store/cyd_vote.h"

#define FOUNDING_NAME "founding"
#define LOCK_NAME     "lock"

struct cyd_store
{
  const struct cyd_files *files;
  char *path;
  uint64_t reserve_bytes; /* not reported as free, see CYD_RESERVE_BYTES */
  int lock_fd;            /* open and locked file "lock", -1: none */
  struct cyd_vote *vote;
  struct cyd_log *log;
};

const struct cyd_files *
cyd_store_files (const struct cyd_store *store)
{
  return store->files;
}

const char *
cyd_store_path (const struct cyd_store *store)
{
  return store->path;
}

/* ------------------------------------------------------------ opening */

static cy_result
acquire_lock (struct cyd_store *store)
{
  char *path = g_strdup_printf ("%s/" LOCK_NAME, store->path);
  store->lock_fd
      = store->files->open (store->files->context, path, O_RDWR | O_CREAT);
  g_free (path);
  if (store->lock_fd < 0)
    return errno == ENOSPC ? CY_E_STORE_FULL : CY_E_IO;
  if (store->files->lock (store->files->context, store->lock_fd) == 0)
    return CY_OK;
  cyu_log (G_LOG_LEVEL_CRITICAL, "%s: another process uses the data folder",
           store->path);
  return CY_E_STORE_LOCKED;
}

cy_result
cyd_store_discard (const struct cyd_files *files, const char *path)
{
  GByteArray *content = g_byte_array_new ();
  cy_result result = cyd_file_replace (files, path, CYD_DISCARD_NAME, content);
  g_byte_array_unref (content);
  return result;
}

static bool
survives_discard (const char *name)
{
  return strcmp (name, LOCK_NAME) == 0 || strcmp (name, CYD_DISCARD_NAME) == 0
         || strcmp (name, CYD_DEPARTURES_NAME) == 0 || name[0] == '.';
}

/* Removes all files of a discarded folder.  The mark is the last of them: a
   folder that has lost only some of its files would not open.  */
static cy_result
remove_discarded (const struct cyd_store *store)
{
  const struct cyd_files *files = store->files;
  cy_result result = CY_OK;
  if (!cyd_identity_is_discarded (files, store->path))
    return CY_OK;
  char **names = files->list (files->context, store->path);
  for (char **name = names; name != NULL && *name != NULL && result == CY_OK;
       name++)
    if (!survives_discard (*name))
      result = cyd_file_unlink (files, store->path, *name);
  g_strfreev (names);
  if (result == CY_OK)
    result = cyd_sync_folder (files, store->path);
  if (result == CY_OK)
    result = cyd_file_unlink (files, store->path, CYD_DISCARD_NAME);
  if (result == CY_OK)
    result = cyd_sync_folder (files, store->path);
  return result;
}

/* Removes temporary files of writes that a crash interrupted.  */
static void
remove_unfinished (struct cyd_store *store)
{
  char **names = store->files->list (store->files->context, store->path);
  for (char **name = names; name != NULL && *name != NULL; name++)
    if (g_str_has_suffix (*name, ".tmp"))
      cyd_file_unlink (store->files, store->path, *name);
  g_strfreev (names);
}

static cy_result
load_founding (struct cyd_store *store, struct cyd_recovered *recovered)
{
  cy_result result = cyd_file_load (store->files, store->path, FOUNDING_NAME,
                                    &recovered->founding);
  return result == CY_E_NOT_FOUND ? CY_OK : result;
}

static cy_result
open_log (struct cyd_store *store, const struct cyd_store_options *options,
          struct cyd_recovered *recovered)
{
  struct cyd_log_options log = { .files = store->files,
                                 .path = store->path,
                                 .folder_id = recovered->folder_id,
                                 .vote = store->vote,
                                 .segment_bytes = options->segment_bytes };
  return cyd_log_open (&log, recovered->snapshot_index,
                       recovered->snapshot_term, recovered->records,
                       &recovered->torn_bytes, &store->log);
}

/* A new folder gets the file vote first and the file identity second.  A
   folder with an identity but no vote file, or with a vote but no identity,
   has lost a file: the member must not vote again, it could vote twice.  */
static cy_result
open_identity (struct cyd_store *store,
               const struct cyd_store_options *options, uint64_t *folder)
{
  cy_result result = cyd_identity_load (options, folder);
  bool is_new = result == CY_E_NOT_FOUND;
  if (result != CY_OK && !is_new)
    return result;
  result = cyd_vote_open (store->files, store->path, is_new, &store->vote);
  if (result == CY_E_NOT_FOUND)
    {
      cyu_log (G_LOG_LEVEL_CRITICAL, "%s: file vote is missing", store->path);
      return CY_E_STORE_CORRUPT;
    }
  if (result != CY_OK || !is_new)
    return result;
  if (cyd_vote_term (store->vote) != 0)
    {
      cyu_log (G_LOG_LEVEL_CRITICAL, "%s: file identity is missing",
               store->path);
      return CY_E_STORE_CORRUPT;
    }
  return cyd_identity_create (options, folder);
}

static cy_result
open_files (struct cyd_store *store, const struct cyd_store_options *options,
            struct cyd_recovered *recovered)
{
  cy_result result = open_identity (store, options, &recovered->folder_id);
  if (result != CY_OK)
    return result;
  recovered->term = cyd_vote_term (store->vote);
  recovered->vote = cyd_vote_for (store->vote);
  recovered->commit_index = cyd_vote_committed (store->vote);
  result = cyd_snapshot_load (store->files, store->path, recovered);
  if (result == CY_OK)
    result = load_founding (store, recovered);
  if (result == CY_OK)
    result = open_log (store, options, recovered);
  return result;
}

cy_result
cyd_store_open (const struct cyd_store_options *options,
                struct cyd_recovered *recovered, struct cyd_store **store)
{
  const struct cyd_files *files = options->files;
  struct cyd_store *opened = g_new0 (struct cyd_store, 1);
  memset (recovered, 0, sizeof *recovered);
  recovered->records
      = g_ptr_array_new_with_free_func ((GDestroyNotify)cyr_record_unref);
  opened->files = files;
  opened->path = g_strdup (options->path);
  opened->lock_fd = -1;
  uint32_t segment = options->segment_bytes == 0 ? CYD_SEGMENT_BYTES
                                                 : options->segment_bytes;
  opened->reserve_bytes = MIN (CYD_RESERVE_BYTES, segment / 8);
  cy_result result = CY_E_IO;
  if (files->make_folder (files->context, options->path) != 0)
    goto done;
  result = acquire_lock (opened);
  if (result != CY_OK)
    goto done;
  result = remove_discarded (opened);
  if (result != CY_OK)
    goto done;
  remove_unfinished (opened);
  result = open_files (opened, options, recovered);
done:
  if (result == CY_OK)
    {
      *store = opened;
      return CY_OK;
    }
  cyd_store_close (opened);
  cyd_recovered_clear (recovered);
  return result;
}

void
cyd_store_close (struct cyd_store *store)
{
  if (store == NULL)
    return;
  cyd_log_close (store->log);
  cyd_vote_close (store->vote);
  if (store->lock_fd >= 0)
    store->files->close (store->files->context, store->lock_fd);
  g_free (store->path);
  g_free (store);
}

static void
clear_array (GByteArray **array)
{
  if (*array != NULL)
    g_byte_array_unref (*array);
  *array = NULL;
}

void
cyd_recovered_clear (struct cyd_recovered *recovered)
{
  clear_array (&recovered->members);
  clear_array (&recovered->state);
  clear_array (&recovered->founding);
  if (recovered->records != NULL)
    g_ptr_array_unref (recovered->records);
  recovered->records = NULL;
}

/* ------------------------------------------------------------ writes */

cy_result
cyd_store_set_vote (struct cyd_store *store, uint64_t term, uint64_t vote)
{
  return cyd_vote_set (store->vote, term, vote);
}

cy_result
cyd_store_commit (struct cyd_store *store, uint64_t index)
{
  return cyd_vote_set_committed (store->vote, index);
}

cy_result
cyd_store_append (struct cyd_store *store, struct cyr_record **records,
                  size_t count)
{
  return cyd_log_append (store->log, records, count);
}

cy_result
cyd_store_truncate (struct cyd_store *store, uint64_t index)
{
  return cyd_log_truncate (store->log, index);
}

cy_result
cyd_store_sync (struct cyd_store *store)
{
  return cyd_log_sync (store->log);
}

cy_result
cyd_store_set_founding (struct cyd_store *store, const uint8_t *bytes,
                        size_t length)
{
  GByteArray *content = g_byte_array_new ();
  g_byte_array_append (content, bytes, (guint)length);
  cy_result result;
  int attempts = 0;
  do
    result
        = cyd_file_replace (store->files, store->path, FOUNDING_NAME, content);
  while (cyd_wait_for_space (store->files, result, &attempts));
  g_byte_array_unref (content);
  return result;
}

cy_result
cyd_store_save_snapshot (struct cyd_store *store,
                         const struct cyr_snapshot *snapshot, bool install)
{
  cy_result result;
  int attempts = 0;
  do
    result = cyd_snapshot_save (store->files, store->path, snapshot);
  while (install && cyd_wait_for_space (store->files, result, &attempts));
  if (result == CY_OK && install)
    result = cyd_log_reset (store->log, snapshot->index);
  return result;
}

cy_result
cyd_store_compact (struct cyd_store *store, uint64_t index)
{
  return cyd_log_compact (store->log, index);
}

cy_result
cyd_store_prepare_spare (struct cyd_store *store)
{
  return cyd_log_prepare_spare (store->log);
}

uint64_t
cyd_store_free_bytes (const struct cyd_store *store)
{
  uint64_t free_bytes = cyd_log_free_bytes (store->log);
  return free_bytes > store->reserve_bytes ? free_bytes - store->reserve_bytes
                                           : 0;
}

#include "store/cyd_vote.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <string.h>
#include <xxhash.h>

#include "base/cyu_log.h"
#include "store/cyd_file.h"

#define VOTE_NAME      "vote"
#define VOTE_MAGIC     UINT64_C (0x3145544f56594331)
#define COPY_BYTES     40   /* size of magic, sequence, term, vote, checksum */
#define COPY_STRIDE    4096 /* bytes between copies, one block each */
#define INDEXES_OFFSET (2 * COPY_STRIDE)
#define FILE_BYTES     (3 * COPY_STRIDE)

struct cyd_vote
{
  const struct cyd_files *files;
  int fd;
  uint64_t sequence;
  uint64_t term;
  uint64_t voted_for;
  uint64_t synced_index;
  uint64_t committed_index;
};

static void
encode_copy (uint8_t copy[COPY_BYTES], uint64_t sequence, uint64_t term,
             uint64_t id)
{
  cyd_put_u64 (copy, VOTE_MAGIC);
  cyd_put_u64 (copy + 8, sequence);
  cyd_put_u64 (copy + 16, term);
  cyd_put_u64 (copy + 24, id);
  cyd_put_u64 (copy + 32, XXH64 (copy, 32, VOTE_MAGIC));
}

static bool
is_valid_copy (const uint8_t *copy)
{
  return cyd_get_u64 (copy) == VOTE_MAGIC
         && cyd_get_u64 (copy + 32) == XXH64 (copy, 32, VOTE_MAGIC);
}

static cy_result
write_copy (struct cyd_vote *vote, int64_t offset, uint64_t term, uint64_t id)
{
  uint8_t copy[COPY_BYTES];
  encode_copy (copy, vote->sequence, term, id);
  return cyd_write_when_space (vote->files, vote->fd, copy, sizeof copy,
                               offset);
}

cy_result
cyd_vote_set (struct cyd_vote *vote, uint64_t term, uint64_t id)
{
  cy_result result = CY_OK;
  vote->sequence++;
  for (int i = 0; i < 2 && result == CY_OK; i++)
    {
      result = write_copy (vote, (int64_t)i * COPY_STRIDE, term, id);
      if (result == CY_OK)
        result = cyd_sync (vote->files, vote->fd);
    }
  vote->term = term;
  vote->voted_for = id;
  return result;
}

/* The third copy contains the synced and the committed index in place of term
   and vote.  */
static cy_result
write_indexes (struct cyd_vote *vote)
{
  return write_copy (vote, INDEXES_OFFSET, vote->synced_index,
                     vote->committed_index);
}

cy_result
cyd_vote_set_committed (struct cyd_vote *vote, uint64_t index)
{
  if (index <= vote->committed_index)
    return CY_OK;
  vote->committed_index = index;
  cy_result result = write_indexes (vote);
  if (result == CY_OK)
    result = cyd_sync (vote->files, vote->fd);
  return result;
}

cy_result
cyd_vote_set_synced (struct cyd_vote *vote, uint64_t index)
{
  bool lowered = index < vote->synced_index;
  if (index == vote->synced_index)
    return CY_OK;
  vote->synced_index = index;
  cy_result result = write_indexes (vote);
  if (result == CY_OK && lowered)
    result = cyd_sync (vote->files, vote->fd);
  return result;
}

/* Reads the newest valid copy.  An invalid copy was being written during a
   crash; the other copy then contains the last acknowledged vote.  */
static cy_result
decode_copies (struct cyd_vote *vote, const uint8_t *bytes)
{
  const uint8_t *copies[2] = { bytes, bytes + COPY_STRIDE };
  const uint8_t *newest = NULL;
  for (int i = 0; i < 2; i++)
    if (is_valid_copy (copies[i])
        && (newest == NULL
            || cyd_get_u64 (copies[i] + 8) > cyd_get_u64 (newest + 8)))
      newest = copies[i];
  if (newest == NULL)
    return CY_E_STORE_CORRUPT;
  vote->sequence = cyd_get_u64 (newest + 8);
  vote->term = cyd_get_u64 (newest + 16);
  vote->voted_for = cyd_get_u64 (newest + 24);
  if (is_valid_copy (bytes + INDEXES_OFFSET))
    {
      vote->synced_index = cyd_get_u64 (bytes + INDEXES_OFFSET + 16);
      vote->committed_index = cyd_get_u64 (bytes + INDEXES_OFFSET + 24);
    }
  return CY_OK;
}

static cy_result
create_file (const struct cyd_files *files, const char *folder,
             const char *path)
{
  struct cyd_vote vote = { .files = files, .sequence = 1 };
  char *temporary = g_strdup_printf ("%s.tmp", path);
  cy_result result = CY_E_IO;
  vote.fd
      = files->open (files->context, temporary, O_RDWR | O_CREAT | O_TRUNC);
  if (vote.fd < 0)
    goto done;
  result = CY_E_STORE_FULL;
  if (files->allocate (files->context, vote.fd, FILE_BYTES) != 0)
    goto close_fd;
  result = cyd_vote_set (&vote, 0, 0);
  if (result == CY_OK && files->rename (files->context, temporary, path) != 0)
    result = CY_E_IO;
  if (result == CY_OK)
    result = cyd_sync_folder (files, folder);
close_fd:
  files->close (files->context, vote.fd);
done:
  g_free (temporary);
  return result;
}

static cy_result
load_file (struct cyd_vote *vote, const char *path)
{
  uint8_t bytes[FILE_BYTES];
  const struct cyd_files *files = vote->files;
  vote->fd = files->open (files->context, path, O_RDWR);
  if (vote->fd < 0)
    return errno == ENOENT ? CY_E_NOT_FOUND : CY_E_IO;
  if (files->size (files->context, vote->fd) < FILE_BYTES)
    return CY_E_STORE_CORRUPT;
  cy_result result = cyd_read_all (files, vote->fd, bytes, sizeof bytes, 0);
  if (result == CY_OK)
    result = decode_copies (vote, bytes);
  /* The bytes just read may be in the page cache only: both copies are written
     and synced again before any code relies on them.  */
  if (result == CY_OK)
    result = cyd_vote_set (vote, vote->term, vote->voted_for);
  return result;
}

cy_result
cyd_vote_open (const struct cyd_files *files, const char *folder, bool create,
               struct cyd_vote **vote)
{
  char *path = g_strdup_printf ("%s/%s", folder, VOTE_NAME);
  struct cyd_vote *opened = g_new0 (struct cyd_vote, 1);
  opened->files = files;
  opened->fd = -1;
  cy_result result = load_file (opened, path);
  if (result == CY_E_NOT_FOUND && create)
    {
      result = create_file (files, folder, path);
      if (result == CY_OK)
        result = load_file (opened, path);
    }
  if (result == CY_E_STORE_CORRUPT)
    cyu_log (G_LOG_LEVEL_CRITICAL, "%s: no valid copy of term and vote", path);
  g_free (path);
  if (result == CY_OK)
    *vote = opened;
  else
    cyd_vote_close (opened);
  return result;
}

void
cyd_vote_close (struct cyd_vote *vote)
{
  if (vote == NULL)
    return;
  if (vote->fd >= 0)
    vote->files->close (vote->files->context, vote->fd);
  g_free (vote);
}

uint64_t
cyd_vote_term (const struct cyd_vote *vote)
{
  return vote->term;
}

uint64_t
cyd_vote_for (const struct cyd_vote *vote)
{
  return vote->voted_for;
}

uint64_t
cyd_vote_synced (const struct cyd_vote *vote)
{
  return vote->synced_index;
}

uint64_t
cyd_vote_committed (const struct cyd_vote *vote)
{
  return vote->committed_index;
}

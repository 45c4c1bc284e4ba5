#include "store/cyd_identity.h"

#include <inttypes.h>
#include <string.h>

#include "base/cyu_log.h"
#include "store/cyd_file.h"
#include "store/cyd_segment.h"

#define IDENTITY_NAME "identity"

/* The file contains member id, folder id, name of the cluster; this is the
   offset of the name in bytes.  */
#define CLUSTER_OFFSET 16

static cy_result
check_identity (const struct cyd_store_options *options,
                const GByteArray *content, uint64_t *folder)
{
  if (content->len < CLUSTER_OFFSET)
    return CY_E_STORE_CORRUPT;
  uint64_t member = cyd_get_u64 (content->data);
  size_t length = content->len - CLUSTER_OFFSET;
  char *cluster
      = g_strndup ((const char *)content->data + CLUSTER_OFFSET, length);
  cy_result result = CY_OK;
  *folder = cyd_get_u64 (content->data + 8);
  if (member != options->member || strcmp (cluster, options->cluster) != 0)
    {
      cyu_log (G_LOG_LEVEL_CRITICAL,
               "%s: data folder of member %" PRIu64 " of cluster %s",
               options->path, member, cluster);
      result = CY_E_STORE_IDENTITY;
    }
  g_free (cluster);
  return result;
}

/* True when the folder contains files that are only written after the
   identity.  */
static bool
has_state (const struct cyd_store_options *options)
{
  bool found = false;
  char **names = options->files->list (options->files->context, options->path);
  for (char **name = names; name != NULL && *name != NULL; name++)
    found |= cyd_segment_parse_name (*name) != 0
             || g_str_has_prefix (*name, "snapshot-")
             || strcmp (*name, "founding") == 0;
  g_strfreev (names);
  return found;
}

cy_result
cyd_identity_create (const struct cyd_store_options *options, uint64_t *folder)
{
  uint8_t numbers[CLUSTER_OFFSET];
  if (has_state (options))
    {
      cyu_log (G_LOG_LEVEL_CRITICAL, "%s: file identity is missing",
               options->path);
      return CY_E_STORE_CORRUPT;
    }
  GByteArray *content = g_byte_array_new ();
  do
    *folder = cy_random_next (options->random);
  while (*folder == 0);
  cyd_put_u64 (numbers, options->member);
  cyd_put_u64 (numbers + 8, *folder);
  g_byte_array_append (content, numbers, sizeof numbers);
  g_byte_array_append (content, (const guint8 *)options->cluster,
                       (guint)strlen (options->cluster));
  cy_result result = cyd_file_replace (options->files, options->path,
                                       IDENTITY_NAME, content);
  g_byte_array_unref (content);
  return result;
}

cy_result
cyd_identity_load (const struct cyd_store_options *options, uint64_t *folder)
{
  GByteArray *content = NULL;
  cy_result result
      = cyd_file_load (options->files, options->path, IDENTITY_NAME, &content);
  if (result != CY_OK)
    return result;
  result = check_identity (options, content, folder);
  g_byte_array_unref (content);
  return result;
}

bool
cyd_identity_is_discarded (const struct cyd_files *files, const char *path)
{
  char **names = files->list (files->context, path);
  bool found
      = names != NULL
        && g_strv_contains ((const char *const *)names, CYD_DISCARD_NAME);
  g_strfreev (names);
  return found;
}

cy_result
cyd_identity_member (const struct cyd_files *files, const char *path,
                     uint64_t *member)
{
  GByteArray *content = NULL;
  if (cyd_identity_is_discarded (files, path))
    return CY_E_NOT_FOUND;
  cy_result result = cyd_file_load (files, path, IDENTITY_NAME, &content);
  if (result != CY_OK)
    return result;
  if (content->len < CLUSTER_OFFSET)
    result = CY_E_STORE_CORRUPT;
  else
    *member = cyd_get_u64 (content->data);
  g_byte_array_unref (content);
  return result;
}

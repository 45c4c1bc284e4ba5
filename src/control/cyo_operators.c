/* Operators and the SHA-256 digests of their tokens.  */

#include <string.h>

#include "base/cyu_log.h"
#include "control/cyo_request.h"

#define DIGEST_BYTES    32 /* length of a SHA-256 digest */
#define TOKEN_BYTES_MIN 16
#define SCHEME          "Bearer "

struct operator_entry
{
  char *name;
  uint8_t digest[DIGEST_BYTES];
};

struct cyo_operators
{
  GArray *entries; /* struct operator_entry */
};

static void
compute_digest (const char *token, uint8_t digest[DIGEST_BYTES])
{
  gsize length = DIGEST_BYTES;
  GChecksum *sum = g_checksum_new (G_CHECKSUM_SHA256);
  g_checksum_update (sum, (const guchar *)token, -1);
  g_checksum_get_digest (sum, digest, &length);
  g_checksum_free (sum);
}

static void
clear_entry (gpointer data)
{
  g_free (((struct operator_entry *)data)->name);
}

static bool
parse_line (struct cyo_operators *operators, char *line)
{
  g_strstrip (line);
  if (line[0] == '\0' || line[0] == '#')
    return true;
  char **words = g_strsplit (line, " ", 2);
  bool is_valid = words[0] != NULL && words[1] != NULL
                  && strlen (g_strstrip (words[1])) >= TOKEN_BYTES_MIN;
  if (is_valid)
    {
      struct operator_entry entry = { .name = g_strdup (words[0]) };
      compute_digest (words[1], entry.digest);
      g_array_append_val (operators->entries, entry);
    }
  g_strfreev (words);
  return is_valid;
}

cy_result
cyo_operators_read (const char *file, struct cyo_operators **operators)
{
  char *text = NULL;
  *operators = NULL;
  if (!g_file_get_contents (file, &text, NULL, NULL))
    return CY_E_SETTING_INVALID;
  struct cyo_operators *created = g_new0 (struct cyo_operators, 1);
  created->entries
      = g_array_new (FALSE, FALSE, sizeof (struct operator_entry));
  g_array_set_clear_func (created->entries, clear_entry);
  char **lines = g_strsplit (text, "\n", -1);
  bool is_valid = true;
  for (guint i = 0; lines[i] != NULL && is_valid; i++)
    {
      is_valid = parse_line (created, lines[i]);
      if (!is_valid)
        cyu_log (G_LOG_LEVEL_CRITICAL,
                 "token file %s: line %u is not NAME TOKEN with a token of "
                 "at least %d bytes",
                 file, i + 1, TOKEN_BYTES_MIN);
    }
  g_strfreev (lines);
  g_free (text);
  if (!is_valid || created->entries->len == 0)
    {
      cyo_operators_destroy (created);
      return CY_E_SETTING_INVALID;
    }
  *operators = created;
  return CY_OK;
}

void
cyo_operators_destroy (struct cyo_operators *operators)
{
  if (operators == NULL)
    return;
  g_array_free (operators->entries, TRUE);
  g_free (operators);
}

static bool
digests_equal (const uint8_t *a, const uint8_t *b)
{
  volatile uint8_t difference = 0;
  for (size_t i = 0; i < DIGEST_BYTES; i++)
    difference |= a[i] ^ b[i];
  return difference == 0;
}

const char *
cyo_operators_find (const struct cyo_operators *operators,
                    const char *authorization)
{
  uint8_t digest[DIGEST_BYTES];
  const char *found = NULL;
  if (authorization == NULL
      || g_ascii_strncasecmp (authorization, SCHEME, strlen (SCHEME)) != 0)
    return NULL;
  compute_digest (authorization + strlen (SCHEME), digest);
  for (guint i = 0; i < operators->entries->len; i++)
    {
      const struct operator_entry *entry
          = &g_array_index (operators->entries, struct operator_entry, i);
      if (digests_equal (entry->digest, digest))
        found = entry->name;
    }
  return found;
}

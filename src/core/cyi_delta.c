#include "core/cyi_delta.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>
#include <xxhash.h>

#define TEXT_BYTES_MAX (16u << 20) /* bytes of a text made from a delta */

/* Returns the bytes of the chunk that begins at TEXT and ends before the next
   opening brace.  Texts are JSON, where most changes replace one object.  */
static size_t
chunk_length (const char *text)
{
  if (text[0] == '\0')
    return 0;
  const char *next = strchr (text + 1, '{');
  return next == NULL ? strlen (text) : (size_t)(next - text);
}

/* Returns a table from the hash of each chunk of BASE to the chunk's offset in
   bytes plus one, because 0 stands for no entry.  */
static GHashTable *
index_chunks (const char *base)
{
  GHashTable *index
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  size_t length = 0;
  for (const char *chunk = base; (length = chunk_length (chunk)) > 0;
       chunk += length)
    {
      guint64 *hash = g_new (guint64, 1);
      *hash = XXH64 (chunk, length, 0);
      g_hash_table_insert (index, hash, GSIZE_TO_POINTER (chunk - base + 1));
    }
  return index;
}

static Cy__TextPiece *
add_segment (GPtrArray *segments, size_t from)
{
  Cy__TextPiece *segment = g_new (Cy__TextPiece, 1);
  cy__text_piece__init (segment);
  segment->from = (uint32_t)from;
  g_ptr_array_add (segments, segment);
  return segment;
}

void
cyi_delta_make (const char *base, const char *text, Cy__Document *delta)
{
  GHashTable *index = index_chunks (base);
  GPtrArray *segments = g_ptr_array_new ();
  Cy__TextPiece *segment = add_segment (segments, 0);
  size_t length = 0;
  for (const char *chunk = text; (length = chunk_length (chunk)) > 0;
       chunk += length)
    {
      guint64 hash = XXH64 (chunk, length, 0);
      size_t position = GPOINTER_TO_SIZE (g_hash_table_lookup (index, &hash));
      bool in_base
          = position > 0 && strncmp (base + position - 1, chunk, length) == 0;
      if (in_base
          && (segment->fresh.len > 0
              || segment->from + segment->length != position - 1))
        segment = add_segment (segments, position - 1);
      if (in_base)
        {
          segment->length += (uint32_t)length;
          continue;
        }
      if (segment->fresh.len == 0)
        segment->fresh.data = (uint8_t *)chunk;
      segment->fresh.len += length;
    }
  delta->n_pieces = segments->len;
  delta->pieces = (Cy__TextPiece **)(void *)g_ptr_array_free (segments, FALSE);
  delta->text_digest = XXH64 (text, strlen (text), 0);
  g_hash_table_unref (index);
}

void
cyi_delta_clear (Cy__Document *delta)
{
  for (size_t i = 0; i < delta->n_pieces; i++)
    g_free (delta->pieces[i]);
  g_free (delta->pieces);
  delta->pieces = NULL;
  delta->n_pieces = 0;
}

cy_result
cyi_delta_apply (const char *base, const Cy__Document *delta, char **text)
{
  size_t base_bytes = strlen (base);
  GString *out = g_string_sized_new (base_bytes);
  cy_result result = CY_OK;
  for (size_t i = 0; i < delta->n_pieces && result == CY_OK; i++)
    {
      const Cy__TextPiece *segment = delta->pieces[i];
      if (segment->from > base_bytes
          || segment->length > base_bytes - segment->from
          || out->len + segment->length + segment->fresh.len > TEXT_BYTES_MAX)
        {
          result = CY_E_FRAME_MALFORMED;
          break;
        }
      g_string_append_len (out, base + segment->from, segment->length);
      g_string_append_len (out, (const char *)segment->fresh.data,
                           (gssize)segment->fresh.len);
    }
  if (result == CY_OK && XXH64 (out->str, out->len, 0) != delta->text_digest)
    result = CY_E_FRAME_CHECKSUM;
  if (result != CY_OK)
    {
      g_string_free (out, TRUE);
      return result;
    }
  *text = g_string_free (out, FALSE);
  return CY_OK;
}

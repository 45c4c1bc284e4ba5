#include "core/cyi_pack.h"

#include <glib.h>
#include <zlib.h>

/* Bytes below which a declaration is sent as it is: compression would save
   less than about one packet.  */
#define COMPRESS_BYTES_MIN 2048
/* Bytes of an uncompressed declaration, its text and its source included.  */
#define PLAIN_BYTES_MAX (32u << 20)
/* The fastest level: a control VM compresses while it places requests.  */
#define COMPRESS_LEVEL 1

bool
cyi_pack (const Cy__Document *document, Cy__Document *packed)
{
  size_t size = cy__document__get_packed_size (document);
  if (size < COMPRESS_BYTES_MIN || size > PLAIN_BYTES_MAX)
    return false;
  uint8_t *plain = g_malloc (size);
  uLongf length = compressBound (size);
  uint8_t *data = g_malloc (length);
  cy__document__pack (document, plain);
  int status = compress2 (data, &length, plain, size, COMPRESS_LEVEL);
  g_free (plain);
  if (status != Z_OK || length >= size)
    {
      g_free (data);
      return false;
    }
  cy__document__init (packed);
  packed->number = document->number;
  packed->packed.data = data;
  packed->packed.len = length;
  packed->packed_size = (uint32_t)size;
  return true;
}

void
cyi_pack_clear (Cy__Document *packed)
{
  g_free (packed->packed.data);
  packed->packed.data = NULL;
  packed->packed.len = 0;
}

cy_result
cyi_unpack (const Cy__Document *packed, Cy__Document **document)
{
  uLongf length = packed->packed_size;
  if (length == 0 || length > PLAIN_BYTES_MAX)
    return CY_E_FRAME_MALFORMED;
  uint8_t *plain = g_malloc (length);
  int status
      = uncompress (plain, &length, packed->packed.data, packed->packed.len);
  *document = status == Z_OK && length == packed->packed_size
                  ? cy__document__unpack (NULL, length, plain)
                  : NULL;
  g_free (plain);
  return *document == NULL ? CY_E_FRAME_MALFORMED : CY_OK;
}

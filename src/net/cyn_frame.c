#include "net/cyn_frame.h"

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>
#include <xxhash.h>

static const uint8_t frame_magic[4] = { 'C', 'Y', 'H', '1' };

static uint32_t
read_u32 (const uint8_t *bytes)
{
  uint32_t value;
  memcpy (&value, bytes, sizeof value);
  return ntohl (value);
}

static void
write_u32 (uint8_t *bytes, uint32_t value)
{
  value = htonl (value);
  memcpy (bytes, &value, sizeof value);
}

static uint32_t
compute_checksum (const char *cluster, const uint8_t *payload, size_t length)
{
  XXH64_hash_t seed = XXH64 (cluster, strlen (cluster), 0);
  return (uint32_t)XXH64 (payload, length, seed);
}

cy_result
cyn_frame_write (const char *cluster, const Cy__Envelope *message,
                 void *buffer)
{
  GByteArray *array = buffer;
  size_t length = cy__envelope__get_packed_size (message);
  if (length > CYN_FRAME_PAYLOAD_MAX)
    return CY_E_TOO_LARGE;
  guint start = array->len;
  g_byte_array_set_size (array, start + CYN_FRAME_HEADER + (guint)length);
  uint8_t *header = array->data + start;
  uint8_t *payload = header + CYN_FRAME_HEADER;
  cy__envelope__pack (message, payload);
  memcpy (header, frame_magic, sizeof frame_magic);
  header[4] = CYN_FRAME_VERSION;
  memset (header + 5, 0, 3);
  write_u32 (header + 8, (uint32_t)length);
  write_u32 (header + 12, compute_checksum (cluster, payload, length));
  return CY_OK;
}

/* Checks the part of the header that has been received.  */
static cy_result
check_header (const uint8_t *bytes, size_t length)
{
  if (memcmp (bytes, frame_magic, MIN (length, sizeof frame_magic)) != 0)
    return CY_E_FRAME_MAGIC;
  if (length > 4 && bytes[4] != CYN_FRAME_VERSION)
    return CY_E_FRAME_VERSION;
  if (length < CYN_FRAME_HEADER)
    return CY_E_AGAIN;
  if (bytes[5] != 0 || bytes[6] != 0 || bytes[7] != 0)
    return CY_E_FRAME_MALFORMED;
  if (read_u32 (bytes + 8) > CYN_FRAME_PAYLOAD_MAX)
    return CY_E_FRAME_TOO_LARGE;
  return CY_OK;
}

cy_result
cyn_frame_read (const char *cluster, const uint8_t *bytes, size_t length,
                size_t *used, Cy__Envelope **message)
{
  cy_result result = check_header (bytes, length);
  if (result != CY_OK)
    return result;
  size_t payload_length = read_u32 (bytes + 8);
  if (length - CYN_FRAME_HEADER < payload_length)
    return CY_E_AGAIN;
  const uint8_t *payload = bytes + CYN_FRAME_HEADER;
  if (read_u32 (bytes + 12)
      != compute_checksum (cluster, payload, payload_length))
    return CY_E_FRAME_CHECKSUM;
  *message = cy__envelope__unpack (NULL, payload_length, payload);
  if (*message == NULL)
    return CY_E_FRAME_MALFORMED;
  if ((*message)->body_case == CY__ENVELOPE__BODY__NOT_SET)
    {
      cy__envelope__free_unpacked (*message, NULL);
      *message = NULL;
      return CY_E_FRAME_MALFORMED;
    }
  *used = CYN_FRAME_HEADER + payload_length;
  return CY_OK;
}

#include "core/cyl_table.h"

#include <arpa/inet.h>
#include <endian.h>
#include <stdlib.h>
#include <string.h>

#define V4_BITS  32
#define V6_BITS  128
#define TEXT_MAX 64 /* bytes; longest text of a prefix, with its NUL */
/* Prefix ::ffff:0:0/96 of IPv4-mapped IPv6 addresses.  */
#define MAPPED_HIGH UINT64_C (0)
#define MAPPED_LOW  UINT64_C (0xffff)

static void
address_set_v6 (struct cyl_address *address, const uint8_t bytes[16])
{
  uint64_t halves[2];
  memcpy (halves, bytes, sizeof halves);
  address->high = be64toh (halves[0]);
  address->low = be64toh (halves[1]);
  address->v6 = true;
  if (address->high == MAPPED_HIGH && address->low >> 32 == MAPPED_LOW)
    {
      address->high = address->low << 32;
      address->low = 0;
      address->v6 = false;
    }
}

cy_result
cyl_address_parse (const char *text, struct cyl_address *address)
{
  uint8_t bytes[16];
  if (inet_pton (AF_INET, text, bytes) == 1)
    {
      uint32_t number;
      memcpy (&number, bytes, sizeof number);
      address->high = (uint64_t)be32toh (number) << 32;
      address->low = 0;
      address->v6 = false;
      return CY_OK;
    }
  if (inet_pton (AF_INET6, text, bytes) == 1)
    {
      address_set_v6 (address, bytes);
      return CY_OK;
    }
  return CY_E_BLOCK_INVALID;
}

static bool
has_bits_past_length (const struct cyl_prefix *prefix)
{
  const struct cyl_address *address = &prefix->address;
  unsigned length = prefix->length;
  if (length == 0)
    return address->high != 0 || address->low != 0;
  if (length < 64)
    return (address->high << length) != 0 || address->low != 0;
  if (length == 64)
    return address->low != 0;
  return length < V6_BITS && (address->low << (length - 64)) != 0;
}

static cy_result
length_parse (const char *text, unsigned max, uint8_t *length)
{
  if (text[0] < '0' || text[0] > '9')
    return CY_E_BLOCK_INVALID;
  char *end = NULL;
  unsigned long number = strtoul (text, &end, 10);
  if (*end != '\0' || number > max)
    return CY_E_BLOCK_INVALID;
  *length = (uint8_t)number;
  return CY_OK;
}

cy_result
cyl_prefix_parse (const char *text, struct cyl_prefix *prefix)
{
  char buffer[TEXT_MAX];
  size_t size = strlen (text);
  if (size >= sizeof buffer)
    return CY_E_BLOCK_INVALID;
  memcpy (buffer, text, size + 1);
  char *slash = strchr (buffer, '/');
  if (slash != NULL)
    *slash = '\0';
  cy_result result = cyl_address_parse (buffer, &prefix->address);
  if (result != CY_OK)
    return result;
  unsigned max = prefix->address.v6 ? V6_BITS : V4_BITS;
  prefix->length = (uint8_t)max;
  if (slash != NULL)
    result = length_parse (slash + 1, max, &prefix->length);
  if (result == CY_OK && has_bits_past_length (prefix))
    result = CY_E_BLOCK_INVALID;
  return result;
}

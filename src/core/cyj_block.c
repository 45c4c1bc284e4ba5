/* Address blocks of callers, such as "10.1.0.0/16" or "2001:db8::/32".  */

#include <arpa/inet.h>
#include <string.h>

#include "core/cyj_document.h"

static bool
bits_are_zero (const uint8_t *bytes, size_t from, size_t to)
{
  for (size_t bit = from; bit < to; bit++)
    if (bytes[bit / 8] & (0x80 >> bit % 8))
      return false;
  return true;
}

char *
cyj_block_canonical (const char *text)
{
  uint8_t address[16];
  char host[INET6_ADDRSTRLEN];
  const char *slash = strchr (text, '/');
  guint64 length;
  if (slash == NULL || (size_t)(slash - text) >= sizeof host)
    return NULL;
  memcpy (host, text, (size_t)(slash - text));
  host[slash - text] = '\0';
  int family = strchr (host, ':') != NULL ? AF_INET6 : AF_INET;
  guint64 bits = family == AF_INET6 ? 128 : 32;
  if (inet_pton (family, host, address) != 1
      || !g_ascii_string_to_unsigned (slash + 1, 10, 0, bits, &length, NULL)
      || !bits_are_zero (address, length, bits))
    return NULL;
  inet_ntop (family, address, host, sizeof host);
  return g_strdup_printf ("%s/%u", host, (unsigned)length);
}
